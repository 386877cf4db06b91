/* Synchronous HTTP calls, one at a time, on a private event loop and client. */
#include "call.h"
#include "counter.h"
#include "http_client.h"
#include "text.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define CONNECTIONS_MAX 4096
#define CALLS_MAX 4096
#define ANSWER_BYTES_MAX (64 * 1024 * 1024)
#define CONNECT_TIMEOUT (2 * USEC_PER_SEC)
#define LOOP_TIMEOUT (10 * USEC_PER_MSEC)

struct caller
{
  struct loop *loop;
  struct http_client *client;
};

struct pending_call
{
  struct http_call_sink sink; /* must be first: callbacks cast it back */
  struct call_answer *answer;
  bool ended;
};

struct caller *
caller_new (void *parent)
{
  struct caller *caller = talloc_zero (parent, struct caller);
  struct http_client_config config = {
    .counters = counters_new (caller),
    .calls_max = CALLS_MAX,
    .answer_bytes_max = ANSWER_BYTES_MAX,
    .connect_timeout = CONNECT_TIMEOUT,
  };

  caller->loop = loop_new (caller, CONNECTIONS_MAX);
  config.loop = caller->loop;
  caller->client = caller->loop ? http_client_new (caller->loop, &config) : NULL;
  if (caller->client)
    return caller;
  talloc_free (caller);
  return NULL;
}

struct loop *
caller_loop (struct caller *caller)
{
  return caller->loop;
}

struct http_client *
caller_client (struct caller *caller)
{
  return caller->client;
}

static void
on_head (struct http_call_sink *sink,
         int code,
         const struct http_field *headers,
         size_t n_headers,
         int64_t now)
{
  struct call_answer *answer = ((struct pending_call *) sink)->answer;

  (void) now;
  answer->code = code;
  for (size_t i = 0; i < n_headers; i++)
    {
      if (strcmp (headers[i].name, "x-outcome") == 0)
        text_copy_truncated (answer->outcome, sizeof answer->outcome, headers[i].value);
      if (strcmp (headers[i].name, "x-request-id") == 0)
        text_copy_truncated (answer->request_id, sizeof answer->request_id, headers[i].value);
    }
}

static void
on_data (struct http_call_sink *sink, const void *data, size_t length, int64_t now)
{
  (void) now;
  bytes_append (&((struct pending_call *) sink)->answer->body, data, length);
}

static void
on_end (struct http_call_sink *sink, int64_t now)
{
  struct pending_call *pending = (struct pending_call *) sink;

  (void) now;
  pending->answer->sent = true;
  pending->ended = true;
}

static void
on_failed (struct http_call_sink *sink, enum status why, bool sent, int64_t now)
{
  struct pending_call *pending = (struct pending_call *) sink;

  (void) why;
  (void) now;
  pending->answer->code = 0;
  pending->answer->sent = sent;
  pending->ended = true;
}

void
call (struct caller *caller,
      const struct http_call_spec *spec,
      int64_t timeout,
      struct call_answer *out)
{
  static const struct http_call_sink_ops ops = {
    .head = on_head, .data = on_data, .end = on_end, .failed = on_failed
  };
  struct pending_call pending = { .sink = { .ops = &ops }, .answer = out };
  struct http_call_spec timed = *spec;
  int64_t now = loop_now (caller->loop);
  struct http_call *handle;

  *out = (struct call_answer){ .code = 0 };
  bytes_init (&out->body, caller);
  timed.deadline = now + timeout;
  if (caller->client->ops->start (caller->client, &timed, &pending.sink, now, &handle) != STATUS_OK)
    return;
  while (!pending.ended)
    loop_run_once (caller->loop, LOOP_TIMEOUT);
}

json_t *
call_json (struct caller *caller,
           const char *address,
           const char *method,
           const char *path,
           json_t *body,
           int64_t timeout,
           int *code)
{
  static const struct http_field fields[] = { { "content-type", "application/json" } };
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  const struct http_call_spec spec = {
    .address = address,
    .method = method,
    .path = path,
    .headers = fields,
    .n_headers = text ? 1 : 0,
    .body = text,
    .body_length = text ? strlen (text) : 0,
  };
  struct call_answer answer;
  json_t *json = NULL;

  call (caller, &spec, timeout, &answer);
  json_decref (body);
  free (text);
  if (code)
    *code = answer.code;
  if (answer.code != 0 && answer.body.data)
    json = json_loadb (answer.body.data, answer.body.length, JSON_DECODE_ANY, NULL);
  bytes_clear (&answer.body);
  return json;
}
