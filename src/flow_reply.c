/* Events of one call: only a complete answer to this attempt is accepted. */
#include "flow_private.h"
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define NUMBER_SIZE 24

static const char *
find_header (const struct http_field *headers, size_t n, const char *name)
{
  size_t i;

  for (i = 0; i < n; i++)
    {
      if (strcmp (headers[i].name, name) == 0)
        return headers[i].value;
    }
  return NULL;
}

/* True when the answer carries this attempt's request id and number.  A target, or a proxy in front
 * of it, may mix up answers; one to another request or to an abandoned attempt must not be
 * delivered. */
static bool
answer_is_for_attempt (const struct flow_attempt *attempt,
                       const struct flow_request *request,
                       const struct http_field *headers,
                       size_t n)
{
  const char *id = find_header (headers, n, "x-request-id");
  const char *number = find_header (headers, n, "x-attempt");
  char expected[NUMBER_SIZE];

  snprintf (expected, sizeof expected, "%" PRIu32, attempt->number);
  return id != NULL && strcmp (id, request->id) == 0 && number != NULL
         && strcmp (number, expected) == 0;
}

/* The request itself is invalid: every target would reject it. */
static bool
code_is_rejection (int code)
{
  return code == 400 || code == 413 || code == 422;
}

static void
handle_head (struct http_call_sink *sink,
             int code,
             const struct http_field *headers,
             size_t n_headers,
             int64_t now)
{
  struct flow_attempt *attempt = CONTAINER_OF (sink, struct flow_attempt, sink);
  struct flow_request *request = flow_find_request (attempt->flow, attempt->request);
  const char *not_run = find_header (headers, n_headers, "x-not-run");

  if (!answer_is_for_attempt (attempt, request, headers, n_headers))
    {
      flow_count_dropped (attempt->flow);
      return flow_attempt_fail (attempt, DECIDE_END_WRONG, false, false, now);
    }
  flow_notice_take (attempt->flow, attempt->choice.target, code,
                    find_header (headers, n_headers, "retry-after"),
                    find_header (headers, n_headers, "x-leaving"), now);
  attempt->code = code;
  if (code == 200)
    return;
  /* After a byte was sent, only the target's own statement about this attempt proves that the work
   * was not started.  The byte still counts as sent, so the caller never gets "not-run" for it. */
  if (code == 503 && not_run != NULL && strcmp (not_run, "yes") == 0)
    return flow_attempt_fail (attempt, DECIDE_END_REFUSED, true, false, now);
  flow_attempt_fail (attempt, DECIDE_END_FAILED, false, code_is_rejection (code), now);
}

static void
handle_data (struct http_call_sink *sink, const void *data, size_t length, int64_t now)
{
  struct flow_attempt *attempt = CONTAINER_OF (sink, struct flow_attempt, sink);
  struct flow_request *request = flow_find_request (attempt->flow, attempt->request);

  if (request->spec->stages[attempt->stage].kind == STAGE_GENERATE)
    return flow_stream_data (attempt, data, length, now);
  flow_attempt_note_data (attempt, now);
  bytes_append (&attempt->body, data, length);
}

/* Keeps a service's answer unchanged, after a syntax check. */
static enum status
store_raw_answer (struct flow_request *request, const struct bytes *body)
{
  char *copy;

  if (stage_check_json (body->data, body->length, STAGE_JSON_DEPTH) != STATUS_OK)
    return STATUS_MALFORMED;
  copy = talloc_memdup (request->memory, body->data, body->length + 1);
  if (copy == NULL)
    return STATUS_NO_MEMORY;
  talloc_free (request->raw);
  request->raw = copy;
  request->raw_length = body->length;
  return STATUS_OK;
}

static void
handle_end (struct http_call_sink *sink, int64_t now)
{
  struct flow_attempt *attempt = CONTAINER_OF (sink, struct flow_attempt, sink);
  struct flow_request *request = flow_find_request (attempt->flow, attempt->request);
  const struct stage_spec *spec = &request->spec->stages[attempt->stage];
  enum status status;

  attempt->call = NULL;
  if (spec->kind == STAGE_GENERATE)
    return flow_stream_end (attempt, DECIDE_END_BROKEN, now);
  if (attempt->body.length == 0 || bytes_has_failed (&attempt->body))
    status = STATUS_MALFORMED;
  else if (request->spec->service)
    status = store_raw_answer (request, &attempt->body);
  else
    status = stage_accept_answer (spec, &request->data, attempt->body.data, attempt->body.length,
                                  &attempt->usage);
  if (status == STATUS_OK)
    return flow_attempt_complete (attempt, request, now);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "answer-malformed", "{s:s,s:s,s:s,s:s}",
             "request_id", request->id, "target", attempt->target, "stage", spec->name, "error",
             status_message ());
  flow_count_dropped (attempt->flow);
  flow_attempt_fail (attempt, DECIDE_END_WRONG, false, false, now);
}

static void
handle_failure (struct http_call_sink *sink, enum status why, bool sent, int64_t now)
{
  struct flow_attempt *attempt = CONTAINER_OF (sink, struct flow_attempt, sink);
  struct flow_request *request = flow_find_request (attempt->flow, attempt->request);
  enum decide_end end = why == STATUS_TIMEOUT ? DECIDE_END_TIMED_OUT : DECIDE_END_BROKEN;

  attempt->call = NULL;
  if (!sent)
    {
      attempt->sent = false;
      request->n_sent--;
    }
  if (request->spec->stages[attempt->stage].kind == STAGE_GENERATE)
    return flow_stream_end (attempt, end, now);
  flow_attempt_fail (attempt, end, !sent, false, now);
}

/* The target may have asked for a backoff while the connection was opened. */
static bool
may_send (struct http_call_sink *sink, int64_t now)
{
  const struct flow_attempt *attempt = CONTAINER_OF (sink, struct flow_attempt, sink);

  return flow_notice_may_send (attempt->flow, attempt->choice.target, now);
}

const struct http_call_sink_ops flow_reply_ops = {
  .may_send = may_send,
  .head = handle_head,
  .data = handle_data,
  .end = handle_end,
  .failed = handle_failure,
};
