/* HTTP client for internal calls. */
#include "http_client.h"
#include "container.h"
#include "h1_client.h"
#include "http_headers.h"
#include "inet_address.h"
#include <ctype.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#define ADDRESS_SIZE 64

/* name, text, help */
#define CLIENT_COUNTER_LIST(X)                                                                     \
  X (CALLS, "cherryarch_http_client_calls", "Calls started")                                       \
  X (FAILED, "cherryarch_http_client_failed", "Calls that ended without a whole answer")           \
  X (TRUNCATED, "cherryarch_http_client_cut", "Answers cut short by the other side")

enum client_counter
{
#define X(name, text, help) CLIENT_##name,
  CLIENT_COUNTER_LIST (X)
#undef X
      CLIENT_COUNTER_COUNT
};

struct client
{
  struct http_client http;
  struct http_client_config config;
  struct timer_service *timers;
  struct h1_client *h1;
  struct counter *counters[CLIENT_COUNTER_COUNT];
  struct http_call *calls;
  uint32_t n_calls;
};

struct http_call
{
  struct h1_call h1;
  struct client *client;
  struct http_call_sink *sink;
  struct timer timer;
  int64_t connect_deadline;
  char address[ADDRESS_SIZE];
  size_t max_body_bytes;
  size_t received; /* bytes of the answer's body */
  bool head_seen;
  struct http_call *prev;
  struct http_call *next;
};

static void
count (struct client *client, enum client_counter counter)
{
  counter_add (client->counters[counter], 1);
}

/* ---- the end of a call ---- */

static void
free_call (struct http_call *call)
{
  struct client *client = call->client;

  timer_disarm (client->timers, &call->timer);
  DL_DELETE (client->calls, call);
  client->n_calls--;
  h1_call_cancel (&call->h1);
  talloc_free (call);
}

static void
fail (struct http_call *call, enum status why, int64_t now)
{
  struct http_call_sink *sink = call->sink;
  bool sent = call->h1.request_sent;

  count (call->client, CLIENT_FAILED);
  free_call (call);
  sink->ops->failed (sink, why, sent, now);
}

/* The call ends because of what the other side sent. */
static void
reject (struct http_call *call, enum status why, int64_t now)
{
  h1_call_reject (&call->h1, status_message (), now);
  fail (call, why, now);
}

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct http_call *call = CONTAINER_OF (timer, struct http_call, timer);

  status_fail (STATUS_TIMEOUT,
               call->h1.request_sent ? "no whole answer in time" : "no connection in time");
  fail (call, STATUS_TIMEOUT, now);
}

static const struct timer_ops call_timer_ops = { .fire = timer_fired };

static enum status
status_of (const struct http_call *call, enum h1_end end, int64_t now)
{
  if (end == H1_END_WITHDRAWN)
    return status_fail (STATUS_UNAVAILABLE, "%s", h1_end_text (end));
  if (!call->h1.request_sent && now >= call->connect_deadline)
    return status_fail (STATUS_TIMEOUT, "no connection to %s in time", call->address);
  if (!call->h1.request_sent)
    return status_fail (STATUS_UNAVAILABLE, "cannot connect to %s", call->address);
  if (end == H1_END_TOO_LARGE)
    return status_fail (STATUS_TOO_LARGE, "%s", h1_end_text (end));
  return status_fail (end == H1_END_MALFORMED ? STATUS_MALFORMED : STATUS_IO, "%s",
                      h1_end_text (end));
}

static void
on_ended (struct h1_call *h1, enum h1_end end, int64_t now)
{
  struct http_call *call = CONTAINER_OF (h1, struct http_call, h1);
  struct http_call_sink *sink = call->sink;

  if (end == H1_END_WHOLE)
    {
      free_call (call);
      sink->ops->end (sink, now);
      return;
    }
  if (call->head_seen)
    count (call->client, CLIENT_TRUNCATED);
  fail (call, status_of (call, end, now), now);
}

/* ---- the answer ---- */

/* A response that ends with its connection is rejected: it cannot be distinguished from a truncated
 * one. */
static enum status
check_head (const struct http_call *call, const struct h1_head *head)
{
  if (head->framing == H1_FRAMING_CLOSE)
    return status_fail (STATUS_MALFORMED, "the answer's end cannot be told");
  if (head->framing == H1_FRAMING_LENGTH && head->length > call->max_body_bytes)
    return status_fail (STATUS_TOO_LARGE, "the answer is over %zu bytes", call->max_body_bytes);
  return STATUS_OK;
}

static void
to_lower (char *text)
{
  for (; *text != '\0'; text++)
    *text = (char) tolower ((unsigned char) *text);
}

/* Copies the names in lower case, as sinks look them up.  Values are not copied and live as long as
 * the head. */
static struct http_field *
copy_fields (const struct h1_head *head)
{
  struct http_field *fields = talloc_zero_array (NULL, struct http_field, head->n_fields + 1);

  for (uint32_t i = 0; fields != NULL && i < head->n_fields; i++)
    {
      char *name = talloc_strdup (fields, head->fields[i].name);

      if (name == NULL)
        {
          talloc_free (fields);
          return NULL;
        }
      to_lower (name);
      fields[i] = (struct http_field){ .name = name, .value = head->fields[i].value };
    }
  return fields;
}

static bool
on_head (struct h1_call *h1, const struct h1_head *head, int64_t now)
{
  struct http_call *call = CONTAINER_OF (h1, struct http_call, h1);
  enum status status = check_head (call, head);
  struct http_field *fields = status == STATUS_OK ? copy_fields (head) : NULL;

  if (status != STATUS_OK)
    {
      reject (call, status, now);
      return true;
    }
  if (fields == NULL)
    {
      fail (call, status_fail (STATUS_NO_MEMORY, "no memory for headers"), now);
      return true;
    }
  call->head_seen = true;
  call->sink->ops->head (call->sink, (int) head->status, fields, head->n_fields, now);
  talloc_free (fields);
  return true;
}

static void
on_data (struct h1_call *h1, const char *data, size_t length, int64_t now)
{
  struct http_call *call = CONTAINER_OF (h1, struct http_call, h1);

  call->received += length;
  if (call->received > call->max_body_bytes)
    {
      reject (call,
              status_fail (STATUS_TOO_LARGE, "the answer is over %zu bytes", call->max_body_bytes),
              now);
      return;
    }
  /* A sink without a limit keeps nothing of the answer. */
  if (call->max_body_bytes != SIZE_MAX)
    h1_call_set_held (h1, call->received, now);
  call->sink->ops->data (call->sink, data, length, now);
}

static bool
may_send (struct h1_call *h1, int64_t now)
{
  struct http_call_sink *sink = CONTAINER_OF (h1, struct http_call, h1)->sink;

  return sink->ops->may_send == NULL || sink->ops->may_send (sink, now);
}

static const struct h1_call_ops h1_ops = {
  .may_send = may_send,
  .head = on_head,
  .data = on_data,
  .ended = on_ended,
};

/* ---- the request ---- */

static void
write_message (const struct http_call_spec *spec, struct bytes *out)
{
  bytes_append_format (out, "%s %s HTTP/1.1\r\n", spec->method, spec->path);
  h1_write_field (out, "host", spec->address);
  for (size_t i = 0; i < spec->n_headers; i++)
    h1_write_field (out, spec->headers[i].name, spec->headers[i].value);
  if (spec->body_length > 0 || spec->method[0] == 'P')
    bytes_append_format (out, "content-length: %zu\r\n", spec->body_length);
  bytes_append_text (out, "\r\n");
  if (spec->body_length > 0)
    bytes_append (out, spec->body, spec->body_length);
}

static enum status
check_spec (const struct http_call_spec *spec)
{
  struct inet_address address;

  if (strlen (spec->address) >= ADDRESS_SIZE)
    return status_fail (STATUS_INVALID, "the address is too long");
  if (!http_header_text_is_valid (spec->path) || strchr (spec->path, ' ') != NULL)
    return status_fail (STATUS_INVALID, "a path must not hold spaces or control characters");
  for (size_t i = 0; i < spec->n_headers; i++)
    if (!http_header_text_is_valid (spec->headers[i].name)
        || !http_header_text_is_valid (spec->headers[i].value))
      return status_fail (STATUS_INVALID, "a header must not hold control characters");
  return inet_address_parse (spec->address, &address);
}

static struct http_call *
make_call (struct client *client,
           const struct http_call_spec *spec,
           struct http_call_sink *sink,
           int64_t now)
{
  struct http_call *call = talloc_zero (client, struct http_call);

  if (call == NULL)
    return NULL;
  call->h1.ops = &h1_ops;
  call->h1.no_body = strcmp (spec->method, "HEAD") == 0;
  call->client = client;
  call->sink = sink;
  call->timer.ops = &call_timer_ops;
  call->connect_deadline = now + client->config.connect_timeout;
  memcpy (call->address, spec->address, strlen (spec->address) + 1);
  call->max_body_bytes =
      spec->max_body_bytes > 0 ? spec->max_body_bytes : client->config.answer_bytes_max;
  DL_APPEND (client->calls, call);
  client->n_calls++;
  return call;
}

static enum status
send_message (struct http_call *call, const struct http_call_spec *spec, int64_t now)
{
  struct bytes message;
  enum status status;

  bytes_init (&message, NULL);
  write_message (spec, &message);
  status = h1_call_start (call->client->h1, &call->h1, spec->address, &message, false, now);
  bytes_clear (&message);
  return status;
}

static enum status
start (struct http_client *http,
       const struct http_call_spec *spec,
       struct http_call_sink *sink,
       int64_t now,
       struct http_call **out)
{
  struct client *client = (struct client *) http;
  struct http_call *call;
  enum status status = check_spec (spec);

  if (status != STATUS_OK)
    return status;
  if (client->n_calls >= client->config.calls_max)
    return status_fail (STATUS_LIMIT, "%u calls at one time are the limit", client->n_calls);
  call = make_call (client, spec, sink, now);
  if (call == NULL)
    return status_fail (STATUS_NO_MEMORY, "no memory for a call");
  status = send_message (call, spec, now);
  if (status != STATUS_OK)
    {
      free_call (call);
      return status;
    }
  timer_arm (client->timers, &call->timer, spec->deadline);
  count (client, CLIENT_CALLS);
  *out = call;
  return STATUS_OK;
}

static void
cancel (struct http_client *http, struct http_call *call)
{
  (void) http;
  free_call (call);
}

static const struct http_client_ops client_ops = { .start = start, .cancel = cancel };

/* ---- the client ---- */

static int
destroy_client (struct client *client)
{
  while (client->calls != NULL)
    free_call (client->calls);
  return 0;
}

static enum status
make_h1_client (struct client *client, struct counters *counters)
{
  const struct http_client_config *config = &client->config;
  struct h1_client_config h1 = {
    .loop = config->loop,
    .counters = counters,
    .connect_timeout = config->connect_timeout,
  };

  if (config->tls_ca != NULL)
    {
      h1.trust = tls_trust_new (client, config->tls_ca);
      if (h1.trust == NULL)
        return STATUS_INVALID;
    }
  client->h1 = h1_client_new (client, &h1);
  return client->h1 == NULL ? status_fail (STATUS_NO_MEMORY, "out of memory") : STATUS_OK;
}

struct http_client *
http_client_new (void *parent, const struct http_client_config *config)
{
  static const char *const names[][2] = {
#define X(name, text, help) { text, help },
    CLIENT_COUNTER_LIST (X)
#undef X
  };
  struct client *client = talloc_zero (parent, struct client);
  struct counters *counters = config->counters;

  if (client == NULL)
    return NULL;
  client->http.ops = &client_ops;
  client->config = *config;
  client->timers = loop_timers (config->loop);
  if (counters == NULL)
    counters = counters_new (client);
  if (counters == NULL || make_h1_client (client, counters) != STATUS_OK)
    {
      talloc_free (client);
      return NULL;
    }
  for (int i = 0; i < CLIENT_COUNTER_COUNT; i++)
    client->counters[i] = counter_get (counters, names[i][0], names[i][1], NULL);
  talloc_set_destructor (client, destroy_client);
  return &client->http;
}
