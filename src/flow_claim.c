/* Claims on unrepeatable requests: acquired before the first byte is sent to a target, settled with
 * the outcome, released when nothing was sent. */
#include "flow_private.h"
#include <string.h>
#include <talloc.h>

static void
end_without_claim (struct flow_request *request,
                   enum flow_outcome outcome,
                   enum flow_reason reason,
                   int64_t retry_after,
                   int64_t now)
{
  struct flow_verdict verdict = { .outcome = outcome,
                                  .reason = reason,
                                  .retry_after = retry_after };

  flow_end (request, &verdict, now);
}

/* Answers with the stored outcome of the first run, byte for byte, without running it again. */
static void
replay (struct flow_request *request, const struct claim_answer *answer, int64_t now)
{
  struct flow_verdict verdict = { .outcome = FLOW_UNKNOWN, .reason = FLOW_REASON_REPLAYED };
  struct http_exchange *exchange = request->exchange;
  int outcome;

  if (request->ended)
    return flow_end (request, &verdict, now);
  for (outcome = 0; outcome < FLOW_OUTCOME_COUNT; outcome++)
    {
      if (strcmp (answer->outcome, flow_outcome_text (outcome)) == 0)
        verdict.outcome = (enum flow_outcome) outcome;
    }
  verdict.replayed_code = answer->code;
  if (exchange != NULL)
    {
      request->exchange = NULL;
      exchange->watcher = NULL;
      flow_answer_send (exchange, request->id, &verdict, request->stream, false, answer->body,
                        answer->body_length);
    }
  flow_end (request, &verdict, now);
}

static void
handle_grant (struct flow_request *request, int64_t now)
{
  request->claimed = true;
  /* The caller disconnected or the deadline passed, and nothing was sent: the caller may resend the
   * request, so the claim is released. */
  if (request->ended || request->exchange == NULL)
    return flow_end_with_reason (request, FLOW_REASON_CALLER_GONE, 0, now);
  flow_admit (request, now);
}

static void
answered (struct claim_waiter *waiter, const struct claim_answer *answer, int64_t now)
{
  struct flow_request *request = CONTAINER_OF (waiter, struct flow_request, waiter);

  request->awaits_claim = false;
  switch (answer->verdict)
    {
    case CLAIM_GRANTED:
      return handle_grant (request, now);
    case CLAIM_SETTLED:
      return replay (request, answer, now);
    case CLAIM_IN_FLIGHT:
      /* Not run by this host, but "not-run" would allow the caller to send it elsewhere while the
       * claim's holder may be running it. */
      return end_without_claim (request, FLOW_UNKNOWN, FLOW_REASON_IN_FLIGHT,
                                FLOW_RETRY_AFTER_DEFAULT, now);
    case CLAIM_MISMATCH:
      return end_without_claim (request, FLOW_NOT_RUN, FLOW_REASON_MISMATCH, 0, now);
    case CLAIM_EXPIRED:
      return end_without_claim (request, FLOW_NOT_RUN, FLOW_REASON_EXPIRED, 0, now);
    case CLAIM_FULL:
      return end_without_claim (request, FLOW_NOT_RUN, FLOW_REASON_CLAIMS_FULL,
                                FLOW_RETRY_AFTER_DEFAULT, now);
    case CLAIM_UNREACHABLE:
      /* This host sent nothing, but without a quorum it is not known whether this is a resend of a
       * request that ran. */
      return end_without_claim (request, FLOW_UNKNOWN, FLOW_REASON_CLAIMS_UNREACHABLE,
                                FLOW_RETRY_AFTER_DEFAULT, now);
    case CLAIM_UNKNOWN:
    case CLAIM_VERDICT_COUNT:
    default:
      return end_without_claim (request, FLOW_UNKNOWN, FLOW_REASON_HOLDER_LOST, 0, now);
    }
}

static const struct claim_waiter_ops waiter_ops = { .answered = answered };

/* Earlier than the request's deadline, so that the claims' own answer (in flight elsewhere, no
 * quorum) still reaches the caller. */
static int64_t
claim_deadline (const struct flow_request *request, int64_t now)
{
  int64_t quarter = (request->decide.deadline - now) / 4;

  return request->decide.deadline - (quarter < FLOW_CLAIM_MARGIN ? quarter : FLOW_CLAIM_MARGIN);
}

void
flow_claim_acquire (struct flow_request *request, int64_t now)
{
  struct flow *flow = request->flow;
  struct claims *claims = flow->config.claims;
  struct claim_request ask = {
    .key = { .organisation = request->organisation, .request_id = request->id },
    .issued_at_ms = flow->config.wall_clock_ms != NULL ? flow->config.wall_clock_ms () : 0,
  };

  if (claims == NULL)
    return flow_end_with_reason (request, FLOW_REASON_CLAIMS_OFF, 0, now);
  memcpy (ask.body_hash, request->body_hash, CLAIM_HASH_SIZE);
  request->waiter.ops = &waiter_ops;
  if (claims->ops->acquire (claims, &ask, &request->waiter, claim_deadline (request, now), now)
      != STATUS_OK)
    return flow_end_with_reason (request, FLOW_REASON_CLAIMS_UNREACHABLE, FLOW_RETRY_AFTER_DEFAULT,
                                 now);
  request->awaits_claim = true;
}

void
flow_claim_withdraw (struct flow_request *request)
{
  struct claims *claims = request->flow->config.claims;

  if (!request->awaits_claim && request->phase != FLOW_PHASE_STORING)
    return;
  claims->ops->withdraw (claims, &request->waiter);
  request->awaits_claim = false;
}

static void
handle_stored (struct claim_waiter *waiter, const struct claim_answer *answer, int64_t now)
{
  (void) answer;
  flow_finish (CONTAINER_OF (waiter, struct flow_request, waiter), now);
}

static const struct claim_waiter_ops stored_ops = { .answered = handle_stored };

/* The answer is held until the outcome is in the claim log, for FLOW_STORE_TIMEOUT and until the
 * deadline at most.  If this host failed before that, a resend would get "unknown" although the
 * caller had received the complete answer. */
static struct claim_waiter *
wait_for_store (struct flow_request *request, int64_t now)
{
  int64_t due = now + FLOW_STORE_TIMEOUT;

  if (due >= request->decide.deadline)
    due = request->decide.deadline - 1;
  if (request->outcome_reported || request->exchange == NULL || due <= now
      || request->verdict.reason == FLOW_REASON_ABORTED)
    return NULL;
  request->phase = FLOW_PHASE_STORING;
  request->waiter.ops = &stored_ops;
  timer_arm (request->flow->config.timers, &request->deadline, due);
  return &request->waiter;
}

static enum status
settle (struct flow_request *request,
        const struct claim_key *key,
        const struct flow_verdict *verdict,
        const struct bytes *body,
        struct claim_waiter *waiter,
        int64_t now)
{
  struct claims *claims = request->flow->config.claims;

  return claims->ops->settle (claims, key, flow_http_code (verdict),
                              flow_outcome_text (verdict->outcome), body->data,
                              bytes_has_failed (body) ? 0 : body->length, waiter, now);
}

/* A truncated answer must not be replayed as complete: an answer over the size limit is stored as a
 * failure whose reason states that the request ran. */
static enum status
settle_as_not_kept (struct flow_request *request,
                    const struct claim_key *key,
                    struct claim_waiter *waiter,
                    int64_t now)
{
  struct flow_verdict verdict = { .outcome = FLOW_FAILED, .reason = FLOW_REASON_ANSWER_NOT_KEPT };
  struct bytes body;
  enum status status;

  bytes_init (&body, request->memory);
  flow_answer_body (request, &verdict, &body);
  status = settle (request, key, &verdict, &body, waiter, now);
  bytes_clear (&body);
  return status;
}

bool
flow_claim_settle (struct flow_request *request, int64_t now)
{
  struct flow *flow = request->flow;
  struct claims *claims = flow->config.claims;
  struct claim_key key = { .organisation = request->organisation, .request_id = request->id };
  const struct bytes *body = &request->answer;
  struct claim_waiter *waiter = NULL;
  enum status status;

  if (!request->claimed)
    return false;
  request->claimed = false;
  if (request->n_sent > 0)
    waiter = wait_for_store (request, now);
  if (request->n_sent == 0)
    status = claims->ops->release (claims, &key, now);
  else if (bytes_has_failed (body) || body->length > flow->config.settings->claim_answer_bytes)
    status = settle_as_not_kept (request, &key, waiter, now);
  else
    status = settle (request, &key, &request->verdict, body, waiter, now);
  if (status == STATUS_OK)
    return waiter != NULL;
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_ERROR, "claim-not-settled", "{s:s,s:s,s:s}", "request_id",
             request->id, "organisation", request->organisation, "error", status_message ());
  return false;
}
