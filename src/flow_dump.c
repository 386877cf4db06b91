/* JSON dump of requests and attempts in flight. */
#include "flow_private.h"

static const char *const phases[] = {
#define X(name, text) [FLOW_PHASE_##name] = text,
  FLOW_PHASE_LIST (X)
#undef X
};

static json_t *
describe_attempt (const struct flow_attempt *attempt, int64_t now)
{
  return json_pack ("{s:s,s:I,s:b,s:I,s:b,s:I}", "target", attempt->target, "number",
                    (json_int_t) attempt->number, "hedge", attempt->is_hedge, "age_us",
                    (json_int_t) (now - attempt->started), "answering", attempt->first_data > 0,
                    "resumed_from", (json_int_t) attempt->resumed_from);
}

static json_t *
describe_request (const struct flow *flow, const struct flow_request *request, int64_t now)
{
  json_t *attempts = json_array ();
  int i;

  for (i = 0; i < FLOW_LIVE_ATTEMPTS_MAX; i++)
    {
      const struct flow_attempt *attempt = flow_find_attempt (flow, request->live_attempts[i]);

      if (attempt != NULL)
        json_array_append_new (attempts, describe_attempt (attempt, now));
    }
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:b,s:b,s:b,s:b,s:I,s:I,s:I,s:o}", "request_id",
                    request->id, "organisation", request->organisation, "pipeline",
                    request->spec->name, "phase", phases[request->phase], "stage",
                    flow_stage_spec (request)->name, "repeatable", request->decide.repeatable,
                    "sent", request->n_sent > 0, "caller_there", request->exchange != NULL,
                    "waiting", request->waiting_for_target, "age_us",
                    (json_int_t) (now - request->decide.arrived), "left_us",
                    (json_int_t) (request->decide.deadline - now), "pieces",
                    (json_int_t) request->text.n_pieces, "attempts", attempts);
}

json_t *
flow_describe (struct dump_source *source, int64_t now)
{
  const struct flow *flow = CONTAINER_OF (source, struct flow, dump);
  json_t *requests = json_array ();
  const struct flow_request *request;
  uint32_t cursor = 0;

  while ((request = table_next (flow->requests, &cursor, NULL)) != NULL)
    json_array_append_new (requests, describe_request (flow, request, now));
  return json_pack ("{s:I,s:I,s:I,s:o}", "requests_in_flight",
                    (json_int_t) table_count (flow->requests), "attempts_in_flight",
                    (json_int_t) table_count (flow->attempts), "cancels_in_flight",
                    (json_int_t) table_count (flow->cancels), "requests", requests);
}
