/* What callers read: JSON answers and SSE events. */
#include "flow_private.h"
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

  for (i = 0; i < request->n_begun_stages; i++)
    json_array_append_new (stages, describe_stage (&request->spec->stages[i], &request->stages[i]));
  return stages;
}

static json_t *
whole_answer (const struct flow_request *request)
{
  enum stage_kind last = request->spec->stages[request->spec->n_stages - 1].kind;

  return json_pack ("{s:s,s:s,s:o,s:o}", "request_id", request->id, "outcome",
                    flow_outcome_text (FLOW_WHOLE), "result", stage_result (last, &request->data),
                    "stages", flow_answer_stages (request));
}

static json_t *
other_answer (const struct flow_request *request, const struct flow_verdict *verdict)
{
  const char *message =
      verdict->detail != NULL ? verdict->detail : reasons[verdict->reason].message;
  json_t *error = json_pack ("{s:s,s:n,s:s}", "code", flow_reason_code (verdict->reason), "field",
                             "message", message);
  json_t *answer = json_pack ("{s:s,s:s,s:o,s:o}", "request_id", request->id, "outcome",
                              flow_outcome_text (verdict->outcome), "error", error, "stages",
                              flow_answer_stages (request));

  if (answer != NULL && verdict->retry_after > 0)
    json_object_set_new (answer, "retry_after_ms",
                         json_integer (verdict->retry_after / USEC_PER_MSEC));
  return answer;
}

static char *
service_answer (const struct flow_request *request, size_t *length)
{
  char *body = malloc (request->raw_length + 1);

  if (body == NULL)
    return NULL;
  memcpy (body, request->raw, request->raw_length);
  body[request->raw_length] = '\0';
  *length = request->raw_length;
  return body;
}

char *
flow_answer_body (const struct flow_request *request,
                  const struct flow_verdict *verdict,
                  size_t *length)
{
  json_t *answer;
  char *body;

  *length = 0;
  if (verdict->outcome == FLOW_WHOLE && verdict->reason == FLOW_REASON_REPLAYED)
    return NULL;
  if (verdict->outcome == FLOW_WHOLE && request->spec->service)
    return service_answer (request, length);
  answer =
      verdict->outcome == FLOW_WHOLE ? whole_answer (request) : other_answer (request, verdict);
  body = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  *length = body != NULL ? strlen (body) : 0;
  return body;
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

/* The outcome of a stream is in its `end` event: the head goes out before it is known. */
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

  /* No memory for the answer: a connection that breaks is the only honest one left. */
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
  /* Compact JSON has no line break, so one data line holds it. */
  write_text (exchange, "event: end\ndata: ");
  exchange->ops->write (exchange, body, length);
  write_text (exchange, "\n\n");
  exchange->ops->finish (exchange);
}

void
flow_answer_piece (struct flow_request *request, const char *text, size_t length, uint32_t index)
{
  struct http_exchange *exchange = request->exchange;
  json_t *json;
  char *data;

  json = json_pack ("{s:s%,s:I}", "text", text, length, "index", (json_int_t) index);
  data = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  if (!request->begun)
    begin_stream (exchange, request->id);
  request->begun = true;
  if (data == NULL)
    return;
  write_text (exchange, "event: token\ndata: ");
  write_text (exchange, data);
  write_text (exchange, "\n\n");
  free (data);
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
