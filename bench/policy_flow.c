/* Runs a request through its stages: the decisions of the request path in order, without its I/O.
 *
 * All policies end a request at its deadline, cancel its running attempts, and retry within the
 * pipeline's attempt limit and a retry budget of the same share. */
#include "policy.h"
#include "service_time.h"
#include <stddef.h>
#include <string.h>
#include <talloc.h>

#define DOCUMENT_TOKENS 64 /* of a retrieved document */
#define CHECK_SHARE 8 /* the check for hopeless requests is due after 1/8 of the remaining time */
#define CHECK_MIN (20 * USEC_PER_MSEC)

static void try_targets (struct policy_request *request, int64_t now);

static const struct pipeline_spec *
spec_of (const struct policy_request *request)
{
  return &request->run->specs[request->pipeline];
}

static bool
is_ours (const struct policy_request *request)
{
  return request->run->config.arm == POLICY_OURS;
}

/* Prompt tokens of a stage's call: the input, plus retrieved documents if the stage takes them. */
static uint32_t
stage_tokens (const struct policy_request *request, uint32_t stage)
{
  const struct pipeline_spec *spec = spec_of (request);
  uint32_t documents = 0;
  uint32_t i;

  for (i = 0; i < stage; i++)
    if (spec->stages[i].kind == STAGE_RETRIEVE || spec->stages[i].kind == STAGE_RERANK)
      documents = spec->stages[i].top;
  if (spec->stages[stage].kind != STAGE_RERANK && spec->stages[stage].kind != STAGE_GENERATE)
    documents = 0;
  return request->trace->input_tokens + documents * DOCUMENT_TOKENS;
}

/* Generation seconds of the request alone on a target with an empty cache. */
double
policy_nominal_work (const struct trace_request *trace, const struct pipeline_spec *spec)
{
  struct service_load load = { .running = 1, .slowdown = 1 };
  double work = 0;
  uint32_t i;

  for (i = 0; i < spec->n_stages; i++)
    if (spec->stages[i].kind == STAGE_GENERATE)
      work += (double) (service_time_first_output (STAGE_GENERATE, trace->input_tokens, 0, &load)
                        + trace->output_tokens * service_time_per_token (&load))
              / USEC_PER_SEC;
  return work;
}

static void
fill_prefix (struct policy_request *request)
{
  const struct trace_request *trace = request->trace;
  uint32_t shared = trace->document == 0 ? 0 : trace->prefix_tokens / DECIDE_BLOCK_TOKENS;
  uint32_t blocks = stage_tokens (request, request->decide.stage) / DECIDE_BLOCK_TOKENS;
  uint32_t i;

  if (blocks > DECIDE_PREFIX_BLOCKS)
    blocks = DECIDE_PREFIX_BLOCKS;
  for (i = 0; i < blocks; i++)
    request->decide.prefix[i] = i < shared
                                    ? policy_block_hash (trace->document, 0, i)
                                    : policy_block_hash (trace->document, request->number + 1, i);
  request->decide.n_prefix = blocks;
}

static void
drop_attempt (struct policy_attempt *attempt, enum decide_end end, int64_t now)
{
  struct policy_request *request = attempt->request;
  struct policy_run *run = request->run;
  struct decide_result result = { .target = attempt->choice.target,
                                  .end = end,
                                  .started = attempt->sent_at,
                                  .first_data = attempt->first_at,
                                  .ended = now,
                                  .input_tokens = attempt->tokens,
                                  .cached_tokens = attempt->cached,
                                  .choice = attempt->choice };
  uint32_t i;

  timer_disarm (run->timers, &attempt->first_due);
  timer_disarm (run->timers, &attempt->give_up);
  timer_disarm (run->timers, &attempt->hedge);
  if (attempt->state != ATTEMPT_OVER)
    policy_target_release (attempt->target, attempt, now);
  for (i = 0; i < 2; i++)
    if (request->live[i] == attempt)
      request->live[i] = NULL;
  if (!is_ours (request))
    return;
  if (spec_of (request)->stages[attempt->stage].kind == STAGE_GENERATE)
    result.output_tokens = request->trace->output_tokens;
  decide_attempt_ended (request->host->decide, &request->decide, &result, now);
}

static void
finish (struct policy_request *request, bool whole, int64_t now)
{
  struct policy_run *run = request->run;
  int64_t third = run->config.length / 3;
  uint32_t i;

  if (request->over)
    return;
  for (i = 0; i < 2; i++)
    if (request->live[i] != NULL)
      drop_attempt (request->live[i], DECIDE_END_LOST, now);
  request->over = true;
  timer_disarm (run->timers, &request->deadline);
  timer_disarm (run->timers, &request->check);
  if (is_ours (request))
    decide_finish (request->host->decide, &request->decide, whole, now);
  run->result.wasted += whole ? request->cost - request->kept_cost : request->cost;
  if (!whole)
    return;
  run->latencies[run->result.attained++] = (float) (now - request->trace->at) / USEC_PER_SEC;
  run->attained[request->organisation] += !request->flooding;
  if (run->count_always || (now >= third + POLICY_MIDDLE_SETTLE && now < 2 * third))
    run->middle_work += policy_nominal_work (request->trace, spec_of (request));
}

static void
give_up (struct timer *timer, int64_t now)
{
  struct policy_attempt *attempt =
      (struct policy_attempt *) ((char *) timer - offsetof (struct policy_attempt, give_up));

  if (attempt->state == ATTEMPT_ANSWERED)
    return;
  policy_attempt_ended (attempt, DECIDE_END_TIMED_OUT, now);
}

static void
first_due (struct timer *timer, int64_t now)
{
  struct policy_attempt *attempt =
      (struct policy_attempt *) ((char *) timer - offsetof (struct policy_attempt, first_due));

  if (attempt->state != ATTEMPT_DECODE && attempt->state != ATTEMPT_ANSWERED)
    policy_attempt_ended (attempt, DECIDE_END_TIMED_OUT, now);
}

static void start_attempt (struct policy_request *request,
                           const struct decide_choice *choice,
                           bool is_hedge,
                           int64_t now);

static void
hedge (struct timer *timer, int64_t now)
{
  struct policy_attempt *slow =
      (struct policy_attempt *) ((char *) timer - offsetof (struct policy_attempt, hedge));
  struct policy_request *request = slow->request;
  struct handle tried[DECIDE_TRIED_MAX + 1];
  struct decide_choice choice;

  if (slow->state == ATTEMPT_DECODE || request->live[1] != NULL)
    return;
  memcpy (tried, request->tried, request->n_tried * sizeof *tried);
  tried[request->n_tried] = slow->choice.target;
  if (decide_choose (request->host->decide, &request->decide, slow->tokens, tried,
                     request->n_tried + 1, now, &choice)
      != DECIDE_ADMITTED)
    return;
  if (decide_hedge (request->host->decide, &request->decide, now) != DECIDE_ADMITTED)
    return;
  request->run->result.hedges++;
  start_attempt (request, &choice, true, now);
}

static const struct timer_ops give_up_ops = { .fire = give_up };
static const struct timer_ops first_due_ops = { .fire = first_due };
static const struct timer_ops hedge_ops = { .fire = hedge };

static struct policy_target *
target_of (struct policy_run *run, struct handle handle)
{
  uint32_t i;

  for (i = 0; i < run->n_targets; i++)
    if (handle_equal (run->targets[i].handle, handle))
      return &run->targets[i];
  return NULL;
}

static void
start_attempt (struct policy_request *request,
               const struct decide_choice *choice,
               bool is_hedge,
               int64_t now)
{
  struct policy_run *run = request->run;
  struct policy_attempt *attempt = talloc_zero (run, struct policy_attempt);

  attempt->request = request;
  attempt->choice = *choice;
  attempt->target = target_of (run, choice->target);
  attempt->is_hedge = is_hedge;
  attempt->stage = request->decide.stage;
  attempt->tokens = stage_tokens (request, attempt->stage);
  attempt->sent_at = now;
  attempt->give_up.ops = &give_up_ops;
  attempt->first_due.ops = &first_due_ops;
  attempt->hedge.ops = &hedge_ops;
  request->live[is_hedge] = attempt;
  request->stage_attempts += !is_hedge;
  run->result.attempts++;
  if (!request->decide.repeatable && request->sent[attempt->stage]++ > 0)
    run->result.duplicates++;
  if (request->decide.repeatable && choice->first_output_by < request->decide.deadline)
    timer_arm (run->timers, &attempt->first_due, choice->first_output_by);
  if (request->decide.repeatable && choice->timeout_at < request->decide.deadline)
    timer_arm (run->timers, &attempt->give_up, choice->timeout_at);
  if (request->decide.repeatable && !is_hedge && choice->hedge_at < request->decide.deadline)
    timer_arm (run->timers, &attempt->hedge, choice->hedge_at);
  if (is_ours (request))
    decide_attempt_started (request->host->decide, &request->decide, choice, now);
  policy_target_send (attempt->target, attempt, now);
}

static bool
take_retry (struct policy_request *request, int64_t now)
{
  const struct pipeline_spec *spec = spec_of (request);
  bool granted;

  if (is_ours (request))
    granted = decide_retry (request->host->decide, &request->decide, request->stage_attempts, now)
              == DECIDE_ADMITTED;
  else
    granted = request->stage_attempts < spec->max_attempts
              && budget_take (&request->host->retries[request->pipeline]);
  request->run->result.retries += granted;
  return granted;
}

static void
try_targets (struct policy_request *request, int64_t now)
{
  struct decide_choice choice;
  enum decide_reason reason;

  if (is_ours (request))
    reason = decide_choose (request->host->decide, &request->decide,
                            stage_tokens (request, request->decide.stage), request->tried,
                            request->n_tried, now, &choice);
  else
    reason = policy_choose_simple (request, now, &choice);
  if (reason != DECIDE_ADMITTED)
    finish (request, false, now);
  else
    start_attempt (request, &choice, false, now);
}

static void
begin_stage (struct policy_request *request, int64_t now)
{
  request->n_tried = 0;
  request->stage_attempts = 0;
  request->decide.n_prefix = 0;
  if (spec_of (request)->stages[request->decide.stage].kind == STAGE_GENERATE)
    fill_prefix (request);
  if (is_ours (request)
      && decide_deadline_is_unreachable (request->host->decide, &request->decide, now))
    finish (request, false, now);
  else
    try_targets (request, now);
}

void
policy_attempt_ended (struct policy_attempt *attempt, enum decide_end end, int64_t now)
{
  struct policy_request *request = attempt->request;
  uint32_t other = attempt->is_hedge ? 0 : 1;

  drop_attempt (attempt, end, now);
  if (end != DECIDE_END_WHOLE)
    {
      if (request->n_tried < DECIDE_TRIED_MAX)
        request->tried[request->n_tried++] = attempt->choice.target;
      if (request->live[other] != NULL)
        return;
      if (request->decide.repeatable && take_retry (request, now))
        try_targets (request, now);
      else
        finish (request, false, now);
      return;
    }
  if (request->live[other] != NULL)
    drop_attempt (request->live[other], DECIDE_END_LOST, now);
  request->kept_cost += attempt->cost;
  if (!is_ours (request))
    budget_earn (&request->host->retries[request->pipeline], spec_of (request)->retry_share);
  if (request->decide.stage + 1 == spec_of (request)->n_stages)
    {
      finish (request, now <= request->decide.deadline, now);
      return;
    }
  request->decide.stage++;
  begin_stage (request, now);
}

static void
at_deadline (struct timer *timer, int64_t now)
{
  finish ((struct policy_request *) ((char *) timer - offsetof (struct policy_request, deadline)),
          false, now);
}

static void
check (struct timer *timer, int64_t now)
{
  struct policy_request *request =
      (struct policy_request *) ((char *) timer - offsetof (struct policy_request, check));
  int64_t step = (request->decide.deadline - now) / CHECK_SHARE;

  if (request->decide.repeatable
      && decide_deadline_is_unreachable (request->host->decide, &request->decide, now))
    finish (request, false, now);
  else
    timer_arm (request->run->timers, timer, now + (step > CHECK_MIN ? step : CHECK_MIN));
}

static const struct timer_ops deadline_ops = { .fire = at_deadline };
static const struct timer_ops check_ops = { .fire = check };

void
policy_request_start (struct policy_request *request, int64_t now)
{
  struct policy_run *run = request->run;
  const struct trace_request *trace = request->trace;

  request->decide = (struct decide_request){
    .pipeline = request->host->pipelines[request->pipeline],
    .organisation = request->host->organisations[request->organisation],
    .arrived = now,
    .deadline = now + trace->deadline,
    .input_tokens = trace->input_tokens,
    .output_tokens = trace->output_tokens,
    .priority = trace->priority,
    .repeatable = trace->repeatable,
  };
  run->result.requests++;
  run->offered[request->organisation] += !request->flooding;
  if (is_ours (request)
      && decide_admit (request->host->decide, &request->decide, now).reason != DECIDE_ADMITTED)
    {
      run->result.refused++;
      request->over = true;
      return;
    }
  request->deadline.ops = &deadline_ops;
  request->check.ops = &check_ops;
  timer_arm (run->timers, &request->deadline, request->decide.deadline);
  if (is_ours (request))
    timer_arm (run->timers, &request->check, now + trace->deadline / CHECK_SHARE);
  begin_stage (request, now);
}
