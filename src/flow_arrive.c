/* Arrival of a request: parsed, added to the table, claimed if unrepeatable, admitted. */
#include "config.h"
#include "flow_private.h"
#include "text.h"
#include <sodium.h>
#include <string.h>
#include <talloc.h>

static const struct http_watcher_ops watcher_ops = { .closed = flow_caller_closed };
static const struct timer_ops deadline_ops = { .fire = flow_deadline_fire };
static const struct timer_ops check_ops = { .fire = flow_check_fire };

static void
refuse (struct flow *flow,
        struct http_exchange *exchange,
        const char *id,
        enum flow_reason reason,
        int64_t retry_after)
{
  struct flow_verdict verdict = {
    .outcome = reason == FLOW_REASON_IN_FLIGHT ? FLOW_UNKNOWN : FLOW_NOT_RUN,
    .reason = reason,
    .retry_after = retry_after,
  };
  struct flow_request placeholder = { .flow = flow };
  struct bytes body;

  text_copy_truncated (placeholder.id, sizeof placeholder.id, id);
  bytes_init (&body, flow);
  flow_answer_body (&placeholder, &verdict, &body);
  flow_count_outcome (flow, &verdict);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "refused", "{s:s,s:s,s:s}", "request_id", id,
             "outcome", flow_outcome_text (verdict.outcome), "reason", flow_reason_code (reason));
  flow_answer_send (exchange, id, &verdict, false, false,
                    bytes_has_failed (&body) ? NULL : body.data, body.length);
  bytes_clear (&body);
}

static void
refuse_invalid (struct flow *flow,
                struct http_exchange *exchange,
                int code,
                const char *field,
                const char *message)
{
  struct caller_error error = { .code = code, .field = field };

  text_copy_truncated (error.message, sizeof error.message, message);
  flow_count_invalid (flow, code);
  flow_answer_invalid (exchange, &error);
}

/* Another unrepeatable request in flight on this host with the same organisation and id.  The
 * claims would find it as well, but they cannot distinguish two claims of one host when one of them
 * is released.
 * XXX: linear in the requests in flight, for unrepeatable arrivals only; add an index when it shows
 * in a profile. */
static const struct flow_request *
find_duplicate (const struct flow *flow, const struct flow_request *request)
{
  uint32_t cursor = 0;
  const struct flow_request *other;

  while ((other = table_next (flow->requests, &cursor, NULL)) != NULL)
    {
      if (other != request && !other->decide.repeatable && strcmp (other->id, request->id) == 0
          && strcmp (other->organisation, request->organisation) == 0)
        return other;
    }
  return NULL;
}

static void
make_id (struct flow *flow, char *out, size_t size)
{
  snprintf (out, size, "%s-%016llx", flow->config.self, (unsigned long long) rng_u64 (&flow->rng));
}

/* The hash covers path and body: the same id with another body or pipeline is another request. */
static void
hash_body (const struct http_exchange *exchange, uint8_t out[CLAIM_HASH_SIZE])
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, CLAIM_HASH_SIZE);
  crypto_generichash_update (&state, (const uint8_t *) exchange->path, strlen (exchange->path) + 1);
  crypto_generichash_update (&state, (const uint8_t *) exchange->body, exchange->body_length);
  crypto_generichash_final (&state, out, CLAIM_HASH_SIZE);
}

/* Maximum output tokens of the last generation, given the caller's limit (0 for none). */
static uint32_t
output_tokens (const struct pipeline_spec *spec, uint32_t asked)
{
  uint32_t tokens = 0;
  uint32_t i;

  for (i = 0; i < spec->n_stages; i++)
    {
      if (spec->stages[i].kind == STAGE_GENERATE)
        tokens = spec->stages[i].max_tokens;
    }
  return asked > 0 && asked < tokens ? asked : tokens;
}

static void
fill_decide (struct flow_request *request,
             const struct caller_request *caller,
             struct handle pipeline,
             struct handle organisation,
             int64_t now)
{
  const struct pipeline_spec *spec = request->spec;
  int64_t window =
      caller->timeout > 0 && caller->timeout < spec->deadline ? caller->timeout : spec->deadline;
  uint32_t priority = spec->priority;
  size_t bytes = caller->service ? request->raw_length : json_string_length (caller->input);

  if (caller->priority >= 0 && (uint32_t) caller->priority < priority)
    priority = (uint32_t) caller->priority;
  request->decide = (struct decide_request){
    .pipeline = pipeline,
    .organisation = organisation,
    .arrived = now,
    .deadline = now + window,
    .input_tokens = (uint32_t) (bytes / STAGE_BYTES_PER_TOKEN) + 1,
    .output_tokens = output_tokens (spec, caller->max_tokens),
    .priority = priority,
    .repeatable =
        caller->repeatable == CALLER_UNSET ? spec->repeatable : caller->repeatable == CALLER_YES,
  };
}

/* Allocates what the request owns; false when out of memory. */
static bool
fill_memory (struct flow *flow,
             struct flow_request *request,
             const struct pipeline_spec *spec,
             struct caller_request *caller,
             const struct http_exchange *exchange)
{
  request->memory = talloc_new (flow);
  if (request->memory == NULL)
    return false;
  bytes_init (&request->text.text, request->memory);
  bytes_init (&request->text.piece_ends, request->memory);
  request->spec = talloc_memdup (request->memory, spec, sizeof *spec);
  if (caller->service)
    {
      request->raw = talloc_memdup (request->memory, exchange->body, exchange->body_length + 1);
      request->raw_length = exchange->body_length;
    }
  request->data.input = caller->input;
  caller->input = NULL;
  return request->spec != NULL && (!caller->service || request->raw != NULL);
}

static struct flow_request *
add_request (struct flow *flow,
             struct http_exchange *exchange,
             const struct pipeline_spec *spec,
             struct caller_request *caller)
{
  struct handle handle;
  struct flow_request *request;

  if (table_count (flow->requests) >= flow->config.settings->requests_in_flight)
    return NULL;
  request = table_add (flow->requests, &handle);
  if (request == NULL)
    return NULL;
  request->flow = flow;
  request->self = handle;
  request->watcher.ops = &watcher_ops;
  request->deadline.ops = &deadline_ops;
  request->check.ops = &check_ops;
  request->phase = FLOW_PHASE_CLAIMING;
  request->stream = caller->stream && !caller->service;
  request->max_tokens = caller->max_tokens;
  /* Attempt numbers start at a random value: two organisations may use the same request id, and a
   * cancel carries only id and attempt, so with small numbers one could cancel the other's call. */
  request->n_attempts = (uint32_t) rng_below (&flow->rng, 1u << 24) << 6;
  text_copy (request->id, sizeof request->id, caller->id);
  if (!fill_memory (flow, request, spec, caller, exchange))
    {
      stage_data_clear (&request->data);
      talloc_free (request->memory);
      table_remove (flow->requests, handle);
      return NULL;
    }
  request->exchange = exchange;
  exchange->watcher = &request->watcher;
  flow_update_load (flow);
  return request;
}

static enum flow_reason
reason_of_admission (enum decide_reason reason)
{
  static const enum flow_reason reasons_of[] = {
    [DECIDE_ADMITTED] = FLOW_REASON_DONE,
    [DECIDE_RATE] = FLOW_REASON_RATE,
    [DECIDE_CONCURRENCY] = FLOW_REASON_CONCURRENCY,
    [DECIDE_TOKENS] = FLOW_REASON_TOKENS,
    [DECIDE_SHARE] = FLOW_REASON_SHARE,
    [DECIDE_PRIORITY] = FLOW_REASON_PRIORITY,
    [DECIDE_WINDOW] = FLOW_REASON_WINDOW,
    [DECIDE_NO_TARGET] = FLOW_REASON_NO_TARGET,
    [DECIDE_FULL] = FLOW_REASON_FULL,
    [DECIDE_BUDGET] = FLOW_REASON_BUDGET,
    [DECIDE_ATTEMPTS] = FLOW_REASON_BUDGET,
  };

  return reasons_of[reason];
}

void
flow_admit (struct flow_request *request, int64_t now)
{
  struct flow *flow = request->flow;
  struct decide_admission admission;

  if (flow->config.board->refusing)
    return flow_end_with_reason (request, FLOW_REASON_LEAVING, 0, now);
  if (flow->config.board->targets_unknown)
    return flow_end_with_reason (request, FLOW_REASON_NOT_READY, FLOW_RETRY_AFTER_DEFAULT, now);
  admission = decide_admit (flow->config.decide, &request->decide, now);
  if (admission.reason == DECIDE_NO_TARGET)
    return flow_end_without_target (request, now);
  if (admission.reason != DECIDE_ADMITTED)
    return flow_end_with_reason (request, reason_of_admission (admission.reason),
                                 admission.retry_after, now);
  request->admitted = true;
  flow_stage_begin (request, now);
}

/* An unrepeatable request is claimed before any check that can refuse it: it may be a resend, and
 * "not-run" from a host that is full or has no target could be wrong about the first run. */
static void
start_unrepeatable (struct flow_request *request, int64_t now)
{
  const struct flow_request *duplicate = find_duplicate (request->flow, request);
  struct flow_verdict verdict = { .outcome = FLOW_UNKNOWN,
                                  .reason = FLOW_REASON_IN_FLIGHT,
                                  .retry_after = FLOW_RETRY_AFTER_DEFAULT };

  if (duplicate == NULL)
    flow_claim_acquire (request, now);
  else if (memcmp (duplicate->body_hash, request->body_hash, CLAIM_HASH_SIZE) != 0)
    flow_end_with_reason (request, FLOW_REASON_MISMATCH, 0, now);
  else
    flow_end (request, &verdict, now);
}

/* Called with the request in the table. */
static void
start_request (struct flow_request *request, int64_t now)
{
  timer_arm (request->flow->config.timers, &request->deadline, request->decide.deadline);
  if (request->decide.repeatable)
    flow_admit (request, now);
  else
    start_unrepeatable (request, now);
}

/* Denies a request whose token or path this host does not know.  While its configuration is not
 * confirmed, a newer one may know them, and other hosts too. */
static void
deny (struct flow *flow,
      struct http_exchange *exchange,
      const struct caller_request *caller,
      const struct caller_error *why,
      int64_t now)
{
  if (config_is_confirmed (flow->config.board, now))
    refuse_invalid (flow, exchange, why->code, why->field, why->message);
  else
    refuse (flow, exchange, caller->id, FLOW_REASON_NOT_READY, FLOW_RETRY_AFTER_DEFAULT);
}

static void
handle_request (struct flow *flow,
                struct http_exchange *exchange,
                struct caller_request *caller,
                struct handle organisation,
                const char *organisation_name,
                int64_t now)
{
  struct handle handle;
  const struct board_pipeline *pipeline =
      board_find_pipeline (flow->config.board, caller->pipeline, &handle);
  struct flow_request *request;

  if (pipeline == NULL || pipeline->spec.service != caller->service)
    {
      struct caller_error why = { .code = 404, .field = "path" };

      text_copy (why.message, sizeof why.message,
                 caller->service ? "no such service" : "no such pipeline");
      deny (flow, exchange, caller, &why, now);
      return;
    }
  if (caller->id[0] == '\0'
      && (caller->repeatable == CALLER_NO
          || (caller->repeatable == CALLER_UNSET && !pipeline->spec.repeatable)))
    return refuse_invalid (flow, exchange, 400, "x-request-id",
                           "required for an unrepeatable request");
  if (caller->id[0] == '\0')
    make_id (flow, caller->id, sizeof caller->id);
  request = add_request (flow, exchange, &pipeline->spec, caller);
  if (request == NULL)
    return refuse (flow, exchange, caller->id, FLOW_REASON_FULL, FLOW_RETRY_AFTER_DEFAULT);
  text_copy (request->organisation, sizeof request->organisation, organisation_name);
  fill_decide (request, caller, handle, organisation, now);
  if (!request->decide.repeatable)
    hash_body (exchange, request->body_hash);
  start_request (request, now);
}

void
flow_arrive (struct http_route *route, struct http_exchange *exchange, int64_t now)
{
  struct flow *flow = CONTAINER_OF (route, struct flow_route, route)->flow;
  const struct board *board = flow->config.board;
  struct caller_request caller;
  struct caller_error error;
  struct handle organisation = { 0 };
  char name[RESOURCE_NAME_SIZE];

  flow->last_arrival = now;
  if (caller_parse_request (exchange, flow->config.settings, &caller, &error) != STATUS_OK)
    {
      flow_count_invalid (flow, error.code);
      return flow_answer_invalid (exchange, &error);
    }
  if (!board->config_ready)
    refuse (flow, exchange, caller.id, FLOW_REASON_NOT_READY, FLOW_RETRY_AFTER_DEFAULT);
  else if (access_authenticate_caller (flow->config.access, exchange, &organisation, name)
           != STATUS_OK)
    {
      error = (struct caller_error){
        .code = http_header (exchange, "authorization") == NULL ? 401 : 403,
        .field = "authorization",
      };
      text_copy_truncated (error.message, sizeof error.message, status_message ());
      deny (flow, exchange, &caller, &error, now);
    }
  else
    handle_request (flow, exchange, &caller, organisation, name, now);
  caller_clear (&caller);
}
