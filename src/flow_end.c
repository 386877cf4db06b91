/* End of a request: its outcome is determined, reported, settled and logged. */
#include "flow_private.h"
#include <talloc.h>

static void
log_outcome (const struct flow_request *request,
             const struct flow_verdict *verdict,
             const char *event,
             int64_t now)
{
  if (!log_is_enabled (LOG_MODULE_FLOW, LOG_LEVEL_INFO))
    return;
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, event, "{s:s,s:s,s:s,s:s,s:s,s:b,s:b,s:I,s:o}",
             "request_id", request->id, "organisation", request->organisation, "pipeline",
             request->spec->name, "outcome", flow_outcome_text (verdict->outcome), "reason",
             flow_reason_code (verdict->reason), "repeatable", request->decide.repeatable, "sent",
             request->n_sent > 0, "us", (json_int_t) (now - request->decide.arrived), "stages",
             flow_answer_stages (request));
}

static void
report_outcome (struct flow_request *request,
                const struct flow_verdict *verdict,
                const struct bytes *body,
                int64_t now)
{
  struct flow *flow = request->flow;
  struct http_exchange *exchange = request->exchange;

  if (request->outcome_reported)
    {
      log_outcome (request, verdict, "settled", now);
      return;
    }
  request->outcome_reported = true;
  log_outcome (request, verdict, "outcome", now);
  flow_count_outcome (flow, verdict);
  flow_count_duration (flow, verdict->outcome, now - request->decide.arrived);
  if (exchange == NULL)
    return;
  request->exchange = NULL;
  exchange->watcher = NULL;
  flow_answer_send (exchange, request->id, verdict, request->stream, request->stream_begun,
                    bytes_has_failed (body) ? NULL : body->data, body->length);
}

void
flow_report_outcome (struct flow_request *request, const struct flow_verdict *verdict, int64_t now)
{
  struct bytes body;

  bytes_init (&body, request->memory);
  flow_answer_body (request, verdict, &body);
  report_outcome (request, verdict, &body, now);
  bytes_clear (&body);
}

static double
stage_seconds (const struct flow_request *request)
{
  double seconds = 0;
  uint32_t i;

  for (i = 0; i < request->n_started_stages; i++)
    seconds += request->stages[i].successful_slot_seconds;
  return seconds;
}

static void
free_request (struct flow_request *request)
{
  struct flow *flow = request->flow;

  timer_disarm (flow->config.timers, &request->deadline);
  timer_disarm (flow->config.timers, &request->check);
  stage_data_clear (&request->data);
  talloc_free (request->memory);
  table_remove (flow->requests, request->self);
  flow_update_load (flow);
}

void
flow_finish (struct flow_request *request, int64_t now)
{
  struct flow *flow = request->flow;

  report_outcome (request, &request->verdict, &request->answer, now);
  bytes_clear (&request->answer);
  if (request->admitted)
    decide_finish (flow->config.decide, &request->decide, request->verdict.outcome == FLOW_WHOLE,
                   now);
  request->admitted = false;
  /* While the claims hold the waiter, the entry stays in the table without its caller. */
  request->ended = true;
  if (!request->awaits_claim)
    free_request (request);
}

void
flow_end (struct flow_request *request, const struct flow_verdict *verdict, int64_t now)
{
  /* The outcome is already known and only being stored; the new verdict does not apply. */
  if (request->phase == FLOW_PHASE_STORING)
    {
      flow_claim_withdraw (request);
      flow_finish (request, now);
      return;
    }
  flow_attempts_cancel (request, now);
  if (request->n_started_stages > 0 && flow_stage_record (request)->ended == 0)
    flow_stage_record (request)->ended = now;
  if (verdict->outcome != FLOW_WHOLE)
    flow_count_wasted (request->flow, stage_seconds (request));
  request->verdict = *verdict;
  bytes_init (&request->answer, request->memory);
  if (verdict->reason != FLOW_REASON_REPLAYED)
    flow_answer_body (request, verdict, &request->answer);
  if (!flow_claim_settle (request, now))
    flow_finish (request, now);
}

/* Outcome of a request that ends without a complete answer.  An unrepeatable one is in doubt when a
 * call that may have had an effect was sent and its result is not known. */
static enum flow_outcome
outcome_without_answer (const struct flow_request *request)
{
  if (request->n_sent == 0)
    return FLOW_NOT_RUN;
  return !request->decide.repeatable && request->in_doubt ? FLOW_UNKNOWN : FLOW_FAILED;
}

void
flow_end_with_reason (struct flow_request *request,
                      enum flow_reason reason,
                      int64_t retry_after,
                      int64_t now)
{
  struct flow_verdict verdict = { .reason = reason, .retry_after = retry_after };

  /* Closing a call may put the request in doubt, so it is done before the outcome is determined. */
  flow_attempts_cancel (request, now);
  verdict.outcome = outcome_without_answer (request);
  flow_end (request, &verdict, now);
}

static bool
has_live_effect (const struct flow_request *request)
{
  int i;

  for (i = 0; i < FLOW_LIVE_ATTEMPTS_MAX; i++)
    {
      if (!handle_is_none (request->live_attempts[i]))
        return flow_stage_has_effect (flow_stage_spec (request)->kind);
    }
  return false;
}

/* The deadline of an unrepeatable request passed while its call runs.  The caller gets "unknown" at
 * once.  Closing the call would make that final, so it continues for FLOW_SETTLE_GRACE and a resend
 * gets its actual outcome. */
static void
settle_after_deadline (struct flow_request *request, int64_t now)
{
  struct flow_verdict verdict = { .outcome = FLOW_UNKNOWN,
                                  .reason = FLOW_REASON_WINDOW,
                                  .retry_after = FLOW_RETRY_AFTER_DEFAULT };

  request->phase = FLOW_PHASE_SETTLING;
  timer_disarm (request->flow->config.timers, &request->check);
  timer_arm (request->flow->config.timers, &request->deadline, now + FLOW_SETTLE_GRACE);
  flow_report_outcome (request, &verdict, now);
}

/* The deadline passed before the claims answered.  This host sent nothing, but the request may be a
 * resend whose first run is in flight elsewhere, so the outcome is "unknown". */
static void
end_without_claim (struct flow_request *request, int64_t now)
{
  struct flow_verdict verdict = { .outcome = FLOW_UNKNOWN,
                                  .reason = FLOW_REASON_CLAIMS_UNREACHABLE,
                                  .retry_after = FLOW_RETRY_AFTER_DEFAULT };

  flow_end (request, &verdict, now);
}

void
flow_deadline_fire (struct timer *timer, int64_t now)
{
  struct flow_request *request = CONTAINER_OF (timer, struct flow_request, deadline);

  if (request->awaits_claim)
    end_without_claim (request, now);
  else if (request->phase == FLOW_PHASE_SETTLING || request->phase == FLOW_PHASE_STORING)
    flow_end_with_reason (request, FLOW_REASON_TARGET_TIMEOUT, 0, now);
  else if (!request->decide.repeatable && has_live_effect (request))
    settle_after_deadline (request, now);
  else
    flow_end_with_reason (request, FLOW_REASON_WINDOW, 0, now);
}

/* A request whose caller has disconnected is ended, except an unrepeatable one that was sent: it
 * may have its effect regardless, so it continues and a resend gets its outcome. */
static void
continue_without_caller (struct flow_request *request, enum flow_reason reason, int64_t now)
{
  request->exchange = NULL;
  if (request->awaits_claim || request->phase == FLOW_PHASE_STORING)
    return;
  if (request->decide.repeatable || request->n_sent == 0)
    flow_end_with_reason (request, reason, 0, now);
}

void
flow_caller_closed (struct http_watcher *watcher, int64_t now)
{
  struct flow_request *request = CONTAINER_OF (watcher, struct flow_request, watcher);

  continue_without_caller (request, FLOW_REASON_CALLER_GONE, now);
}

void
flow_abort_answer (struct flow_request *request, int64_t now)
{
  struct http_exchange *exchange = request->exchange;

  exchange->watcher = NULL;
  exchange->ops->abort (exchange);
  continue_without_caller (request, FLOW_REASON_NO_MEMORY, now);
}
