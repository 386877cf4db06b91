/* POST /v1/cancel to targets: behind an HTTP front end, not every engine is stopped by a closed
 * connection. */
#include "flow_private.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

struct flow_cancel
{
  struct http_call_sink sink;
  struct flow *flow;
  struct handle self;
  struct http_call *call;
};

bool
flow_cancel_init (struct flow *flow)
{
  flow->cancels = table_new (flow, sizeof (struct flow_cancel), FLOW_CANCELS_MAX);
  return flow->cancels != NULL;
}

static void
remove_cancel (struct http_call_sink *sink)
{
  struct flow_cancel *cancel = CONTAINER_OF (sink, struct flow_cancel, sink);

  table_remove (cancel->flow->cancels, cancel->self);
}

static void
head (struct http_call_sink *sink,
      int code,
      const struct http_field *headers,
      size_t n_headers,
      int64_t now)
{
  (void) sink;
  (void) code;
  (void) headers;
  (void) n_headers;
  (void) now;
}

static void
data (struct http_call_sink *sink, const void *bytes, size_t length, int64_t now)
{
  (void) sink;
  (void) bytes;
  (void) length;
  (void) now;
}

static void
end (struct http_call_sink *sink, int64_t now)
{
  (void) now;
  remove_cancel (sink);
}

static void
failed (struct http_call_sink *sink, enum status why, bool sent, int64_t now)
{
  (void) why;
  (void) sent;
  (void) now;
  remove_cancel (sink);
}

static const struct http_call_sink_ops sink_ops = {
  .head = head,
  .data = data,
  .end = end,
  .failed = failed,
};

static enum status
start (struct flow *flow,
       struct flow_cancel *cancel,
       const char *address,
       const char *body,
       int64_t now)
{
  struct http_client *client = flow->config.client;
  struct http_field header = { .name = "content-type", .value = "application/json" };
  struct http_call_spec spec = {
    .address = address,
    .method = "POST",
    .path = "/v1/cancel",
    .headers = &header,
    .n_headers = 1,
    .body = body,
    .body_length = strlen (body),
    .deadline = now + FLOW_CANCEL_TIMEOUT,
  };

  return client->ops->start (client, &spec, &cancel->sink, now, &cancel->call);
}

void
flow_cancels_close (struct flow *flow)
{
  struct http_client *client = flow->config.client;
  uint32_t cursor = 0;
  const struct flow_cancel *cancel;

  while ((cancel = table_next (flow->cancels, &cursor, NULL)) != NULL)
    client->ops->cancel (client, cancel->call);
}

void
flow_cancel_send (
    struct flow *flow, const char *address, const char *request_id, uint32_t attempt, int64_t now)
{
  struct handle handle;
  struct flow_cancel *cancel = table_add (flow->cancels, &handle);
  json_t *json;
  char *body;
  bool sent;

  /* Over the limit only the connection is closed: a cancel saves work, correctness does not depend
   * on it. */
  if (cancel == NULL)
    return flow_count_cancel (flow, false);
  *cancel = (struct flow_cancel){ .sink.ops = &sink_ops, .flow = flow, .self = handle };
  json = json_pack ("{s:s,s:I}", "request_id", request_id, "attempt", (json_int_t) attempt);
  body = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  sent = body != NULL && start (flow, cancel, address, body, now) == STATUS_OK;
  if (!sent)
    table_remove (flow->cancels, handle);
  flow_count_cancel (flow, sent);
  free (body);
}
