/* Sequence of stages: target selection, retries, hedges and early failure.  decide.c makes the
 * decisions; this file applies them in order. */
#include "flow_private.h"
#include <string.h>
#include <xxhash.h>

#define PREFIX_BLOCK_BYTES (DECIDE_BLOCK_TOKENS * STAGE_BYTES_PER_TOKEN)

static const enum flow_reason reasons_of_end[] = {
  [DECIDE_END_WHOLE] = FLOW_REASON_DONE,
  [DECIDE_END_FAILED] = FLOW_REASON_TARGET_FAILED,
  [DECIDE_END_REFUSED] = FLOW_REASON_TARGET_REFUSED,
  [DECIDE_END_WRONG] = FLOW_REASON_TARGET_WRONG,
  [DECIDE_END_TIMED_OUT] = FLOW_REASON_TARGET_TIMEOUT,
  [DECIDE_END_BROKEN] = FLOW_REASON_TARGET_BROKEN,
  [DECIDE_END_LOST] = FLOW_REASON_TARGET_TIMEOUT,
};

static uint32_t
stage_input_tokens (const struct flow_request *request)
{
  if (request->raw != NULL)
    return request->decide.input_tokens;
  return stage_estimate_tokens (flow_stage_spec (request), &request->data);
}

/* Computes the hashes by which engines identify the blocks of a prompt, see docs/INTERFACES.md. */
static void
hash_prefix (struct flow_request *request)
{
  struct bytes prompt;
  uint64_t hash = 0;
  uint32_t n;

  bytes_init (&prompt, request->memory);
  stage_append_prompt_start (&request->data, (size_t) DECIDE_PREFIX_BLOCKS * PREFIX_BLOCK_BYTES,
                             &prompt);
  for (n = 0; (n + 1) * PREFIX_BLOCK_BYTES <= prompt.length; n++)
    {
      hash = XXH3_64bits_withSeed (prompt.data + (size_t) n * PREFIX_BLOCK_BYTES,
                                   PREFIX_BLOCK_BYTES, hash);
      request->decide.prefix[n] = hash;
    }
  request->decide.n_prefix = n;
  bytes_clear (&prompt);
}

static void
add_tried (struct flow_request *request, struct handle target)
{
  /* When full, drop the oldest entry: the target that failed longest ago becomes eligible again
   * before one that failed recently. */
  if (request->n_tried == DECIDE_TRIED_MAX)
    memmove (request->tried, request->tried + 1, --request->n_tried * sizeof *request->tried);
  request->tried[request->n_tried++] = target;
}

static bool
has_live_attempt (const struct flow_request *request)
{
  int i;

  for (i = 0; i < FLOW_LIVE_ATTEMPTS_MAX; i++)
    {
      if (!handle_is_none (request->live_attempts[i]))
        return true;
    }
  return false;
}

bool
flow_can_send_again (const struct flow_request *request, bool certainly_not_run)
{
  /* An unrepeatable request runs at most once.  Another attempt may start only when the last one
   * certainly did not run: no byte of it was sent, or its target answered, with our id and attempt
   * number, that it did not start the work.  Nothing is inferred from a closed connection or a
   * missing answer.
   *
   * The rule also covers read-only stages (encode, retrieve, rerank), which could safely run twice:
   * the owner of an unrepeatable pipeline may have put a stage with an effect behind any of the
   * interfaces, and a single rule is easier to rely on. */
  return request->decide.repeatable || certainly_not_run;
}

/* ---- target selection ---- */

/* No target is usable.  A request that has work done waits up to FLOW_TARGET_WAITS_MAX times for a
 * target to come back, since failing would lose that work; one that has sent nothing is refused at
 * once, which costs nothing. */
static void
handle_no_target (struct flow_request *request, enum decide_reason reason, int64_t now)
{
  struct flow_stage_record *record = flow_stage_record (request);
  bool can_recover = reason == DECIDE_NO_TARGET || reason == DECIDE_FULL;

  if (can_recover && request->n_sent > 0 && record->waits < FLOW_TARGET_WAITS_MAX)
    {
      record->waits++;
      request->n_tried = 0;
      request->waiting_for_target = true;
      timer_arm (request->flow->config.timers, &request->check, now + FLOW_TARGET_WAIT_INTERVAL);
      return;
    }
  if (reason == DECIDE_WINDOW)
    flow_end_with_reason (request, FLOW_REASON_WINDOW, 0, now);
  else if (reason == DECIDE_FULL)
    flow_end_with_reason (request, FLOW_REASON_FULL, FLOW_RETRY_AFTER_DEFAULT, now);
  else
    flow_end_without_target (request, now);
}

/* An attempt that certainly did not run used no capacity, so its retry is not charged to the retry
 * budget: a single full target would otherwise exhaust the retries needed for failures, and fail
 * requests that other targets have room for.  The limit on attempts still applies. */
static enum decide_reason
check_retry (const struct flow_request *request, uint32_t attempts, bool not_run, int64_t now)
{
  if (!not_run)
    return decide_retry (request->flow->config.decide, &request->decide, attempts, now);
  return attempts < request->spec->max_attempts ? DECIDE_ADMITTED : DECIDE_ATTEMPTS;
}

static bool
admit_retry (struct flow_request *request, enum decide_end end, bool not_run, int64_t now)
{
  enum decide_reason reason =
      check_retry (request, flow_stage_record (request)->attempts, not_run, now);

  if (reason == DECIDE_ADMITTED)
    {
      flow_count_retry (request->flow);
      return true;
    }
  if (reason == DECIDE_WINDOW)
    flow_end_with_reason (request, FLOW_REASON_WINDOW, 0, now);
  else if (reason == DECIDE_BUDGET)
    flow_end_with_reason (request, FLOW_REASON_BUDGET, FLOW_RETRY_AFTER_DEFAULT, now);
  else
    flow_end_with_reason (request, reasons_of_end[end], FLOW_RETRY_AFTER_DEFAULT, now);
  return false;
}

bool
flow_stage_take_retry (struct flow_request *request, int64_t now)
{
  return request->phase == FLOW_PHASE_RUNNING
         && check_retry (request, flow_stage_record (request)->attempts, false, now)
                == DECIDE_ADMITTED;
}

static void
try_targets (struct flow_request *request, int64_t now)
{
  struct decide *decide = request->flow->config.decide;
  struct decide_choice choice;
  enum decide_reason reason;

  do
    {
      reason = decide_choose (decide, &request->decide, stage_input_tokens (request),
                              request->tried, request->n_tried, now, &choice);
      if (reason != DECIDE_ADMITTED)
        return handle_no_target (request, reason, now);
      if (flow_attempt_start (request, &choice, false, now) == STATUS_OK)
        return;
      add_tried (request, choice.target);
    }
  while (admit_retry (request, DECIDE_END_BROKEN, true, now));
}

void
flow_stage_retry (struct flow_request *request, struct handle left, int64_t now)
{
  flow_count_retry (request->flow);
  add_tried (request, left);
  try_targets (request, now);
}

bool
flow_stage_has_other_attempt (const struct flow_request *request, struct handle attempt)
{
  int i;

  for (i = 0; i < FLOW_LIVE_ATTEMPTS_MAX; i++)
    {
      if (!handle_is_none (request->live_attempts[i])
          && !handle_equal (request->live_attempts[i], attempt))
        return true;
    }
  return false;
}

/* ---- start and end of a stage ---- */

void
flow_stage_begin (struct flow_request *request, int64_t now)
{
  struct flow_stage_record *record = flow_stage_record (request);

  request->phase = FLOW_PHASE_RUNNING;
  request->n_started_stages = request->decide.stage + 1;
  request->n_tried = 0;
  record->started = now;
  bytes_clear (&request->text.text);
  bytes_clear (&request->text.piece_ends);
  request->text.n_pieces = 0;
  request->text.finished = false;
  request->text.source = (struct handle){ 0 };
  if (flow_stage_spec (request)->kind == STAGE_GENERATE)
    hash_prefix (request);
  if (decide_deadline_is_unreachable (request->flow->config.decide, &request->decide, now))
    return flow_end_with_reason (request, FLOW_REASON_WINDOW, 0, now);
  flow_check_arm (request, now);
  try_targets (request, now);
}

void
flow_stage_complete (struct flow_request *request, int64_t now)
{
  struct flow_verdict verdict = { .outcome = FLOW_WHOLE, .reason = FLOW_REASON_DONE };

  flow_stage_record (request)->ended = now;
  if (request->decide.stage + 1 == request->spec->n_stages)
    return flow_end (request, &verdict, now);
  /* The caller got "unknown" at the deadline, so the remaining stages are not run. */
  if (request->phase == FLOW_PHASE_SETTLING)
    return flow_end_with_reason (request, FLOW_REASON_WINDOW, 0, now);
  request->decide.stage++;
  flow_stage_begin (request, now);
}

void
flow_stage_failed (struct flow_request *request, const struct flow_failure *failure, int64_t now)
{
  if (has_live_attempt (request))
    return;
  add_tried (request, failure->target);
  if (failure->rejected)
    return flow_end_with_reason (request, FLOW_REASON_TARGET_REJECTED, 0, now);
  if (!flow_can_send_again (request, failure->not_run) || request->phase == FLOW_PHASE_SETTLING)
    return flow_end_with_reason (request, reasons_of_end[failure->end], 0, now);
  if (decide_deadline_is_unreachable (request->flow->config.decide, &request->decide, now))
    return flow_end_with_reason (request, FLOW_REASON_WINDOW, 0, now);
  if (admit_retry (request, failure->end, failure->not_run, now))
    try_targets (request, now);
}

void
flow_stage_hedge (struct flow_request *request, struct flow_attempt *slow, int64_t now)
{
  struct decide *decide = request->flow->config.decide;
  struct handle tried[DECIDE_TRIED_MAX + 1];
  struct decide_choice choice;

  /* Unrepeatable work is never sent twice.  An attempt that has returned data makes progress, while
   * a hedge would start from the beginning. */
  if (!request->decide.repeatable || slow->first_data > 0 || request->phase != FLOW_PHASE_RUNNING
      || !handle_is_none (request->live_attempts[0]) == !handle_is_none (request->live_attempts[1]))
    return;
  memcpy (tried, request->tried, request->n_tried * sizeof *tried);
  tried[request->n_tried] = slow->choice.target;
  if (decide_choose (decide, &request->decide, stage_input_tokens (request), tried,
                     request->n_tried + 1, now, &choice)
          != DECIDE_ADMITTED
      || handle_equal (choice.target, slow->choice.target))
    return;
  if (decide_hedge (decide, &request->decide, now) != DECIDE_ADMITTED)
    return;
  if (flow_attempt_start (request, &choice, true, now) != STATUS_OK)
    return;
  flow_stage_record (request)->hedges++;
  flow_count_hedge (request->flow);
}

/* ---- periodic check whether the deadline can be met ---- */

void
flow_check_arm (struct flow_request *request, int64_t now)
{
  int64_t step = (request->decide.deadline - now) / FLOW_CHECK_INTERVAL_DIVISOR;

  timer_arm (request->flow->config.timers, &request->check,
             now + (step > FLOW_CHECK_INTERVAL_MIN ? step : FLOW_CHECK_INTERVAL_MIN));
}

void
flow_check_fire (struct timer *timer, int64_t now)
{
  struct flow_request *request = CONTAINER_OF (timer, struct flow_request, check);
  bool can_end = request->decide.repeatable || !has_live_attempt (request);

  if (request->phase != FLOW_PHASE_RUNNING)
    return;
  if (can_end
      && decide_deadline_is_unreachable (request->flow->config.decide, &request->decide, now))
    return flow_end_with_reason (request, FLOW_REASON_WINDOW, 0, now);
  flow_check_arm (request, now);
  if (!request->waiting_for_target)
    return;
  request->waiting_for_target = false;
  try_targets (request, now);
}
