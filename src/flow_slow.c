/* Attempts without an answer, or without its end: kept, or left for another target. */
#include "flow_private.h"

static void
arm (struct flow_attempt *attempt, int64_t due)
{
  timer_arm (attempt->flow->config.timers, &attempt->give_up, due);
}

/* An answer that has begun is late by its own time-out. */
static struct slow_judgement
judge (const struct flow_attempt *attempt, int64_t now)
{
  struct slow_judgement judgement =
      decide_attempt_judge (attempt->flow->config.decide, &attempt->choice, attempt->started, now);

  if (attempt->first_data != 0)
    judgement.verdict = SLOW_LATE;
  return judgement;
}

static void
note_verdict (struct flow_attempt *attempt,
              const struct flow_request *request,
              const struct slow_judgement *judgement,
              bool left,
              int64_t now)
{
  if (!left && attempt->is_judged && attempt->slow_verdict == judgement->verdict)
    return;
  attempt->is_judged = true;
  attempt->slow_verdict = judgement->verdict;
  flow_count_slow (attempt->flow, judgement->verdict, left);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "attempt-slow",
             "{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:i,s:i,s:I}", "request_id", request->id, "target",
             attempt->target, "decision", left ? "left" : "kept", "why",
             slow_verdict_text (judgement->verdict), "age_us",
             (json_int_t) (now - attempt->started), "limit_us", (json_int_t) judgement->limit,
             "others_us", (json_int_t) judgement->mean, "others_late", (int) judgement->n_late,
             "others_sooner", (int) judgement->n_sooner, "left_ms",
             (json_int_t) ((request->decide.deadline - now) / USEC_PER_MSEC));
}

static void
note_late (struct flow_attempt *attempt, int64_t now)
{
  struct decide_result result;

  if (attempt->is_late)
    return;
  attempt->is_late = true;
  flow_attempt_result (attempt, DECIDE_END_TIMED_OUT, now, &result);
  decide_attempt_late (attempt->flow->config.decide, &result, now);
}

/* The target's failure is counted already, so the end counts as a cancellation. */
static void
leave (struct flow_attempt *attempt, struct flow_request *request, bool retry, int64_t now)
{
  struct handle target = attempt->choice.target;

  flow_attempt_cancel (attempt, DECIDE_END_LOST, now);
  if (retry)
    flow_stage_retry (request, target, now);
}

static void
fire (struct timer *timer, int64_t now)
{
  struct flow_attempt *attempt = CONTAINER_OF (timer, struct flow_attempt, give_up);
  struct flow_request *request = flow_find_request (attempt->flow, attempt->request);
  struct slow_judgement judgement;
  bool other;
  bool left = false;

  if (flow_stream_is_whole (attempt, request))
    return flow_stream_end (attempt, DECIDE_END_TIMED_OUT, now);
  judgement = judge (attempt, now);
  other = flow_stage_has_other_attempt (request, attempt->self);
  if (judgement.verdict == SLOW_LATE)
    {
      note_late (attempt, now);
      left = other || flow_stage_take_retry (request, now);
    }
  note_verdict (attempt, request, &judgement, left, now);
  if (left)
    leave (attempt, request, !other, now);
  else
    arm (attempt, judgement.look_again);
}

const struct timer_ops flow_slow_ops = { .fire = fire };
