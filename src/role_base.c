/* The common part of entry hosts and controllers. */
#include "role_base.h"
#include "container.h"
#include "evacuation_api.h"
#include "log.h"
#include "peer_direct.h"
#include "peer_zmq.h"
#include <jansson.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

/* Messages queued for a slow peer; more would be stale when sent. */
#define PEER_QUEUE_MESSAGES 200

/* Peers reconnect within half a second of their restart: a controller that restarts without data
 * must have received all state a few seconds later, reconnection included. */
#define PEER_RECONNECT_MAX_MS 300
#define PEER_CONNECT_TIMEOUT_MS 500
#define PEER_RETRANSMIT_MAX_MS 2000

/* Idle timeout of connections to this host's own interfaces. */
#define OWN_IDLE_TIMEOUT (30 * USEC_PER_SEC)

static void
reply_json (struct h1_exchange *exchange, json_t *json)
{
  char *text = json == NULL ? NULL : json_dumps (json, JSON_INDENT (1));

  h1_reply (exchange, HTTP_STATUS_OK, "Content-Type: application/json\r\n", text,
            text == NULL ? 0 : strlen (text));
  free (text);
  json_decref (json);
}

static void
release_request (struct role_base *base,
                 struct h1_exchange *exchange,
                 const char *content,
                 int64_t now)
{
  struct request_digest digest;
  unsigned status = HTTP_STATUS_OK;

  if (exchange->head->method != HTTP_POST)
    status = HTTP_STATUS_METHOD_NOT_ALLOWED;
  else if (!request_digest_parse (content, &digest))
    status = HTTP_STATUS_BAD_REQUEST;
  else if (quarantine_find (quarantine_control_table (base->quarantine), &digest) == NULL)
    status = HTTP_STATUS_NOT_FOUND;
  else
    quarantine_control_clear (base->quarantine, &digest, "an operator", now);
  log_event (LOG_MODULE_AUDIT, LOG_LEVEL_INFO, "request-release", "{s:s,s:i}", "content", content,
             "status", (int) status);
  h1_reply (exchange, status, NULL, NULL, 0);
}

static const char *
skip_prefix (const char *text, const char *prefix)
{
  size_t length = strlen (prefix);

  return strncmp (text, prefix, length) == 0 ? text + length : NULL;
}

static void
reply_counters (struct role_base *base, struct h1_exchange *exchange)
{
  struct bytes text;

  bytes_init (&text, NULL);
  counters_write (base->counters, &text);
  h1_reply (exchange, HTTP_STATUS_OK, "Content-Type: text/plain; version=0.0.4\r\n", text.data,
            text.length);
  bytes_clear (&text);
}

static void
serve_metrics (struct h1_handler *handler, struct h1_exchange *exchange, int64_t now)
{
  struct role_base *base = CONTAINER_OF (handler, struct role_base, metrics);
  const char *target = exchange->head->target;
  const char *content = skip_prefix (target, "/quarantine/release/");

  if (content != NULL && base->quarantine != NULL)
    release_request (base, exchange, content, now);
  else if (strcmp (target, "/quarantine") == 0 && base->quarantine != NULL)
    reply_json (exchange, quarantine_control_describe (base->quarantine, now));
  else if (base->evacuations != NULL
           && evacuation_api_serve_metrics (base->evacuations, exchange, now))
    ;
  else if (skip_prefix (target, "/dump") != NULL)
    reply_json (exchange, dump_describe (&base->dump, now));
  else
    reply_counters (base, exchange);
}

static void
metrics_gone (struct h1_handler *handler, struct h1_exchange *exchange, int64_t now)
{
  (void) handler;
  evacuation_api_gone (exchange, now);
}

static const struct h1_handler_ops metrics_ops = {
  .request = serve_metrics,
  .gone = metrics_gone,
};

static enum status
build_port (struct role_base *base)
{
  struct peer_zmq_config config = {
    .loop = base->loop,
    .counters = base->counters,
    .name = base->settings.peer_address,
    .listen = base->settings.peer_address,
    .queue_messages = PEER_QUEUE_MESSAGES,
    .reconnect_max_ms = PEER_RECONNECT_MAX_MS,
    .connect_timeout_ms = PEER_CONNECT_TIMEOUT_MS,
    .retransmit_max_ms = PEER_RETRANSMIT_MAX_MS,
  };
  struct peer_port *port = peer_zmq_new (base, &config);

  if (port == NULL)
    return STATUS_IO;
  base->port = peer_direct_new (base, port);
  return base->port == NULL ? status_fail (STATUS_NO_MEMORY, "out of memory") : STATUS_OK;
}

enum status
role_base_listen (struct role_base *base,
                  const char *address,
                  struct h1_handler *handler,
                  const char *label,
                  struct h1_server **out)
{
  struct h1_server_config config = {
    .loop = base->loop,
    .listen = address,
    .handler = handler,
    .limits = &base->limits,
    .quota = base->quota,
    .counters = base->counters,
    .label = label,
  };
  struct h1_server *server = h1_server_new (base, &config);

  if (out != NULL)
    *out = server;
  return server == NULL ? STATUS_IO : STATUS_OK;
}

enum status
role_base_build (struct role_base *base, const struct role_settings *settings)
{
  enum status status;

  if (sodium_init () < 0)
    return status_fail (STATUS_UNAVAILABLE, "libsodium failed to initialise");
  base->settings = *settings;
  /* Random, because a clock may step back. */
  randombytes_buf (&base->incarnation, sizeof base->incarnation);
  randombytes_buf (&base->seed, sizeof base->seed);
  base->limits = (struct h1_limits){
    .header_bytes = H1_DEFAULT_HEADER_BYTES,
    .body_bytes = H1_DEFAULT_BODY_BYTES,
    .request_timeout = H1_DEFAULT_REQUEST_TIMEOUT,
    .idle_timeout = OWN_IDLE_TIMEOUT,
  };
  base->loop = loop_new_without_tls (base, settings->connections_max);
  base->counters = counters_new (base);
  if (base->loop == NULL || base->counters == NULL)
    return STATUS_NO_MEMORY;
  base->timers = loop_timers (base->loop);
  base->quota = quota_new (base, &(struct quota_config){
                                     .bytes_max = settings->client_memory_bytes,
                                     .connections_max = settings->connections_max,
                                     .counters = base->counters,
                                 });
  if (base->quota == NULL)
    return STATUS_NO_MEMORY;
  status = build_port (base);
  base->metrics.ops = &metrics_ops;
  if (status == STATUS_OK && settings->metrics_address[0] != '\0')
    status = role_base_listen (base, settings->metrics_address, &base->metrics, "metrics", NULL);
  return status;
}

void
role_log_start_failed (enum status status)
{
  log_event (LOG_MODULE_HOST, LOG_LEVEL_ERROR, "start-failed", "{s:s,s:s}", "status",
             status_text (status), "message", status_message ());
}
