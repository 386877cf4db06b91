/* Answers to callers: JSON bodies and SSE events. */
#include "flow_private.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define FIELDS_MAX 6

static const struct
{
  int status;
  const char *message;
} reasons[] = {
#define X(name, code, status, message) [FLOW_REASON_##name] = { status, message },
  FLOW_REASON_LIST (X)
#undef X
};

int
flow_http_code (const struct flow_verdict *verdict)
{
  if (verdict->reason == FLOW_REASON_REPLAYED)
    return verdict->replayed_code;
  switch (verdict->outcome)
    {
    case FLOW_WHOLE:
      return 200;
    case FLOW_FAILED:
      return verdict->reason == FLOW_REASON_WINDOW ? 504 : 502;
    case FLOW_UNKNOWN:
      return verdict->reason == FLOW_REASON_IN_FLIGHT ? 409 : 500;
    case FLOW_NOT_RUN:
    case FLOW_OUTCOME_COUNT:
    default:
      return reasons[verdict->reason].status;
    }
}

/* ---- bodies ---- */

static json_t *
describe_stage (const struct stage_spec *spec, const struct flow_stage_record *record)
{
  int64_t span = record->ended > 0 ? record->ended - record->started : 0;

  return json_pack ("{s:s,s:s,s:I,s:f,s:f,s:I,s:I,s:I}", "name", spec->name, "target",
                    record->target, "attempts", (json_int_t) record->attempts, "ms",
                    (double) span / USEC_PER_MSEC, "cost", record->cost, "input_tokens",
                    (json_int_t) record->usage.input_tokens, "cached_tokens",
                    (json_int_t) record->usage.cached_tokens, "output_tokens",
                    (json_int_t) record->usage.output_tokens);
}

json_t *
flow_answer_stages (const struct flow_request *request)
{
  json_t *stages = json_array ();
  uint32_t i;

  for (i = 0; i < request->n_started_stages; i++)
    json_array_append_new (stages, describe_stage (&request->spec->stages[i], &request->stages[i]));
  return stages;
}

/* Names and ids rarely need JSON escapes.  Building a JSON string object for each would be most of
 * the cost of an answer. */
static void
append_json_string (struct bytes *out, const char *text)
{
  const char *at;
  json_t *json;

  for (at = text; *at >= ' ' && *at <= '~' && *at != '"' && *at != '\\'; at++)
    ;
  if (*at == '\0')
    {
      bytes_append_format (out, "\"%s\"", text);
      return;
    }
  json = json_string (text);
  stage_append_json (json, out);
  json_decref (json);
}

static void
append_stage (struct bytes *out,
              const struct stage_spec *spec,
              const struct flow_stage_record *record)
{
  int64_t span = record->ended > 0 ? record->ended - record->started : 0;

  bytes_append_text (out, "{\"name\":");
  append_json_string (out, spec->name);
  bytes_append_text (out, ",\"target\":");
  append_json_string (out, record->target);
  bytes_append_format (out,
                       ",\"attempts\":%" PRIu32 ",\"ms\":%" PRId64 ".%03" PRId64
                       ",\"cost\":%.9g,\"input_tokens\":%" PRIu32 ",\"cached_tokens\":%" PRIu32
                       ",\"output_tokens\":%" PRIu32 "}",
                       record->attempts, span / USEC_PER_MSEC, span % USEC_PER_MSEC, record->cost,
                       record->usage.input_tokens, record->usage.cached_tokens,
                       record->usage.output_tokens);
}

static void
append_stages (struct bytes *out, const struct flow_request *request)
{
  uint32_t i;

  bytes_append_text (out, ",\"stages\":[");
  for (i = 0; i < request->n_started_stages; i++)
    {
      if (i > 0)
        bytes_append_text (out, ",");
      append_stage (out, &request->spec->stages[i], &request->stages[i]);
    }
  bytes_append_text (out, "]}");
}

static void
append_error (struct bytes *out, const struct flow_verdict *verdict)
{
  bytes_append_format (out, ",\"error\":{\"code\":\"%s\",\"field\":null,\"message\":\"%s\"}",
                       flow_reason_code (verdict->reason), reasons[verdict->reason].message);
  if (verdict->retry_after > 0)
    bytes_append_format (out, ",\"retry_after_ms\":%" PRId64, verdict->retry_after / USEC_PER_MSEC);
}

void
flow_answer_body (struct flow_request *request,
                  const struct flow_verdict *verdict,
                  struct bytes *out)
{
  bool whole = verdict->outcome == FLOW_WHOLE;

  if (whole && request->spec->service)
    {
      bytes_append (out, request->raw, request->raw_length);
      return;
    }
  bytes_append_text (out, "{\"request_id\":");
  append_json_string (out, request->id);
  bytes_append_format (out, ",\"outcome\":\"%s\"", flow_outcome_text (verdict->outcome));
  if (whole)
    {
      bytes_append_text (out, ",\"result\":");
      stage_append_result (request->spec->stages[request->spec->n_stages - 1].kind, &request->data,
                           out);
    }
  else
    append_error (out, verdict);
  append_stages (out, request);
}

/* ---- sending ---- */

struct fields
{
  struct http_field list[FIELDS_MAX];
  size_t n;
  char retry_after[24];
};

static void
add_field (struct fields *fields, const char *name, const char *value)
{
  fields->list[fields->n++] = (struct http_field){ .name = name, .value = value };
}

static void
fill_fields (struct fields *fields, const char *id, const struct flow_verdict *verdict)
{
  fields->n = 0;
  add_field (fields, "content-type", "application/json");
  if (id[0] != '\0')
    add_field (fields, "x-request-id", id);
  add_field (fields, "x-outcome", flow_outcome_text (verdict->outcome));
  if (verdict->reason == FLOW_REASON_REPLAYED)
    add_field (fields, "x-replayed", "yes");
  if (verdict->retry_after > 0)
    {
      snprintf (fields->retry_after, sizeof fields->retry_after, "%lld",
                (long long) ((verdict->retry_after + USEC_PER_SEC - 1) / USEC_PER_SEC));
      add_field (fields, "retry-after", fields->retry_after);
    }
}

/* The outcome of a stream is in its `end` event, since the head is sent before it is known. */
static void
begin_stream (struct http_exchange *exchange, const char *id)
{
  struct http_field fields[] = {
    { .name = "content-type", .value = "text/event-stream" },
    { .name = "cache-control", .value = "no-cache" },
    { .name = "x-request-id", .value = id },
  };

  exchange->ops->begin (exchange, 200, fields, sizeof fields / sizeof *fields);
}

static void
write_text (struct http_exchange *exchange, const char *text)
{
  exchange->ops->write (exchange, text, strlen (text));
}

void
flow_answer_send (struct http_exchange *exchange,
                  const char *id,
                  const struct flow_verdict *verdict,
                  bool stream,
                  bool begun,
                  const char *body,
                  size_t length)
{
  struct fields fields;

  /* No memory for the answer: abort the connection, so that the caller sees a failure. */
  if (body == NULL)
    return exchange->ops->abort (exchange);
  if (!begun && (!stream || verdict->outcome != FLOW_WHOLE))
    {
      fill_fields (&fields, id, verdict);
      exchange->ops->reply (exchange, flow_http_code (verdict), fields.list, fields.n, body,
                            length);
      return;
    }
  if (!begun)
    begin_stream (exchange, id);
  /* Compact JSON has no line breaks and fits one data line. */
  write_text (exchange, "event: end\ndata: ");
  exchange->ops->write (exchange, body, length);
  write_text (exchange, "\n\n");
  exchange->ops->finish (exchange);
}

bool
flow_answer_piece (struct flow_request *request, const char *text, size_t length, uint32_t index)
{
  struct http_exchange *exchange = request->exchange;
  json_t *json = json_pack ("{s:s%,s:I}", "text", text, length, "index", (json_int_t) index);
  char *data = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  if (data == NULL)
    return false;
  if (!request->stream_begun)
    begin_stream (exchange, request->id);
  request->stream_begun = true;
  write_text (exchange, "event: token\ndata: ");
  write_text (exchange, data);
  write_text (exchange, "\n\n");
  free (data);
  return true;
}

void
flow_answer_invalid (struct http_exchange *exchange, const struct caller_error *error)
{
  const char *id = http_header (exchange, "x-request-id");
  struct flow_verdict verdict = { .outcome = FLOW_NOT_RUN };
  struct fields fields;
  json_t *json = json_pack ("{s:{s:s,s:s?,s:s}}", "error", "code", "invalid", "field", error->field,
                            "message", error->message);
  char *body = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  if (body == NULL)
    return exchange->ops->abort (exchange);
  fill_fields (&fields, id != NULL && caller_id_is_valid (id) ? id : "", &verdict);
  exchange->ops->reply (exchange, error->code, fields.list, fields.n, body, strlen (body));
  free (body);
}
