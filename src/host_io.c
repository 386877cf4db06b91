/* Builds a host's event loop, HTTP server and client, peer port and keys. */
#include "host_private.h"
#include "text.h"
#include <sodium.h>
#include <string.h>

/* File descriptors in addition to the callers' connections: listeners, signals, files of the data
 * folder, and those that ZeroMQ holds per peer. */
#define HOST_RESERVED_DESCRIPTORS 256
#define HOST_UNSENT_BYTES_MAX (1u << 20)
#define HOST_ANSWER_BYTES_MAX (16u << 20)
#define HOST_CONNECT_TIMEOUT (500 * USEC_PER_MSEC)
#define HOST_PEER_QUEUE_MESSAGES 1000

uint64_t
host_random_seed (void)
{
  uint64_t seed;

  randombytes_buf (&seed, sizeof seed);
  return seed;
}

static enum status
read_keys (struct host *host)
{
  if (host->settings->key_file[0] == '\0')
    return STATUS_OK;
  return keyfile_read (host->settings->key_file, &host->keys);
}

/* Write the listen address as "ip:port", with the bound port in place of 0. */
static enum status
bound_address (const char *listen, uint16_t port, char out[RESOURCE_ADDRESS_SIZE])
{
  const char *colon = strrchr (listen, ':');
  int length;

  if (colon == NULL)
    return status_fail (STATUS_INVALID, "address %s has no port", listen);
  length = snprintf (out, RESOURCE_ADDRESS_SIZE, "%.*s:%u", (int) (colon - listen), listen, port);
  if (length < 0 || length >= RESOURCE_ADDRESS_SIZE)
    return status_fail (STATUS_INVALID, "address %s is too long", listen);
  return STATUS_OK;
}

static const char *
text_or_null (const char *text)
{
  return text[0] == '\0' ? NULL : text;
}

static enum status
build_server (struct host *host)
{
  const struct settings *settings = host->settings;
  struct http_server_config config = {
    .loop = host->loop,
    .counters = host->counters,
    .listen = { [HTTP_LISTENER_CALLERS] = settings->listen_callers,
                [HTTP_LISTENER_OPERATORS] = settings->listen_operators,
                [HTTP_LISTENER_TARGETS] = settings->listen_targets },
    .limits = { .header_bytes = settings->header_bytes,
                .body_bytes = settings->body_bytes,
                .connections_per_caller = settings->connections_per_caller,
                .idle_timeout = settings->idle_timeout,
                .body_timeout = settings->body_timeout,
                .unsent_bytes = HOST_UNSENT_BYTES_MAX },
    .tls_certificate = text_or_null (settings->tls_certificate),
    .tls_key = text_or_null (settings->tls_key),
  };
  int listener;

  config.quota = quota_new (host, &(struct quota_config){
                                      .bytes_max = (uint64_t) settings->client_memory_mb << 20,
                                      .connections_max = settings->connections,
                                      .counters = host->counters,
                                  });
  if (config.quota == NULL)
    return host_no_memory ();
  host->server = http_server_new (host, &config);
  if (host->server == NULL)
    return STATUS_IO;
  for (listener = 0; listener < HTTP_LISTENER_COUNT; listener++)
    {
      uint16_t port = http_server_port (host->server, (enum http_listener) listener);
      enum status status = bound_address (config.listen[listener], port, host->addresses[listener]);

      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}

static enum status
build_client (struct host *host)
{
  struct http_client_config config = {
    .loop = host->loop,
    .counters = host->counters,
    .calls_max = host->settings->requests_in_flight * 2,
    .answer_bytes_max = HOST_ANSWER_BYTES_MAX,
    .connect_timeout = HOST_CONNECT_TIMEOUT,
  };

  host->client = http_client_new (host, &config);
  return host->client == NULL ? STATUS_IO : STATUS_OK;
}

/* Trust the peers in the settings with the key given there, and set their addresses. */
static enum status
trust_peers (struct host *host, const struct settings_peer *peers, uint32_t n_peers)
{
  uint32_t i;

  for (i = 0; i < n_peers; i++)
    {
      const struct settings_peer *peer = &peers[i];
      enum status status;

      if (strcmp (peer->name, host->settings->name) == 0)
        continue;
      if (peer->public_key[0] != '\0')
        {
          status = peer_zmq_set_trusted_key (host->port, peer->name, peer->public_key);
          if (status != STATUS_OK)
            return status;
        }
      status = host->port->ops->set_address (host->port, peer->name, peer->address,
                                             text_or_null (peer->public_key));
      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}

static enum status
build_peers (struct host *host)
{
  const struct settings *settings = host->settings;
  struct peer_zmq_config config = {
    .loop = host->loop,
    .counters = host->counters,
    .name = settings->name,
    .listen = settings->listen_peers,
    .secret_key = text_or_null (host->keys.secret_key),
    .public_key = text_or_null (host->keys.public_key),
    .queue_messages = HOST_PEER_QUEUE_MESSAGES,
  };
  enum status status;

  host->port = peer_zmq_new (host, &config);
  if (host->port == NULL)
    return STATUS_IO;
  status = bound_address (settings->listen_peers, peer_zmq_port (host->port), host->peer_address);
  if (status == STATUS_OK)
    status = trust_peers (host, settings->seeds, settings->n_seeds);
  if (status == STATUS_OK)
    status = trust_peers (host, settings->voters, settings->n_voters);
  return status;
}

enum status
host_build_io (struct host *host)
{
  enum status status = read_keys (host);

  if (status != STATUS_OK)
    return status;
  host->loop = loop_new (host, host->settings->connections + HOST_RESERVED_DESCRIPTORS);
  if (host->loop == NULL)
    return STATUS_IO;
  host->timers = loop_timers (host->loop);
  host->counters = counters_new (host);
  if (host->counters == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  status = build_server (host);
  if (status == STATUS_OK)
    status = build_client (host);
  if (status == STATUS_OK)
    status = build_peers (host);
  return status;
}
