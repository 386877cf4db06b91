/* Start and end of one call to a target.  flow_reply.c validates its answer.
 *
 * The call's events are delivered to an entry of the attempts table.  When an attempt ends, its
 * call is closed and the entry removed, so that a late or duplicate answer has no effect. */
#include "flow_private.h"
#include "text.h"
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define HEADERS_MAX 8
#define NUMBER_SIZE 24

/* ---- the live attempts of a request ---- */

static bool
add_live (struct flow_request *request, struct handle attempt)
{
  int i;

  for (i = 0; i < FLOW_LIVE_ATTEMPTS_MAX; i++)
    {
      if (!handle_is_none (request->live_attempts[i]))
        continue;
      request->live_attempts[i] = attempt;
      return true;
    }
  return false;
}

static void
remove_live (struct flow_request *request, struct handle attempt)
{
  int i;

  for (i = 0; i < FLOW_LIVE_ATTEMPTS_MAX; i++)
    {
      if (handle_equal (request->live_attempts[i], attempt))
        request->live_attempts[i] = (struct handle){ 0 };
    }
}

void
flow_attempts_cancel (struct flow_request *request, int64_t now)
{
  int i;

  for (i = 0; i < FLOW_LIVE_ATTEMPTS_MAX; i++)
    {
      struct flow_attempt *attempt = flow_find_attempt (request->flow, request->live_attempts[i]);

      if (attempt != NULL)
        flow_attempt_cancel (attempt, DECIDE_END_LOST, now);
    }
}

/* ---- the end ---- */

static double
cost_per_second (const struct flow *flow, const char *pool)
{
  const struct board_pool *found = board_find_pool (flow->config.board, pool, NULL);

  return found != NULL ? found->spec.cost_per_second : 0;
}

static void
record_end (struct flow_request *request,
            const struct flow_attempt *attempt,
            enum decide_end end,
            int64_t now)
{
  struct flow *flow = request->flow;
  struct flow_stage_record *record = &request->stages[attempt->stage];
  double seconds = (double) (now - attempt->started) / USEC_PER_SEC;
  double cost = seconds * cost_per_second (flow, request->spec->stages[attempt->stage].pool);

  record->cost += cost;
  text_copy_truncated (record->target, sizeof record->target, attempt->target);
  if (end == DECIDE_END_WHOLE)
    {
      record->usage = attempt->usage;
      record->successful_slot_seconds = seconds;
    }
  else
    flow_count_wasted (flow, seconds);
  flow_count_attempt (flow, request, attempt, end, cost, now - attempt->started);
}

void
flow_attempt_result (const struct flow_attempt *attempt,
                     enum decide_end end,
                     int64_t now,
                     struct decide_result *out)
{
  *out = (struct decide_result){
    .target = attempt->choice.target,
    .end = end,
    .started = attempt->started,
    .first_data = attempt->first_data,
    .ended = now,
    .input_tokens = attempt->input_tokens,
    .output_tokens = attempt->usage.output_tokens,
    .cached_tokens = attempt->usage.cached_tokens,
    .choice = attempt->choice,
  };
}

static void
report_to_decide (struct flow_request *request,
                  const struct flow_attempt *attempt,
                  enum decide_end end,
                  int64_t now)
{
  struct decide_result result;

  flow_attempt_result (attempt, end, now, &result);
  decide_attempt_ended (request->flow->config.decide, &request->decide, &result, now);
}

/* True for a call that may have had an effect and whose result is not known. */
static bool
result_is_unknown (const struct flow_request *request,
                   const struct flow_attempt *attempt,
                   enum decide_end end)
{
  return !request->decide.repeatable
         && flow_stage_has_effect (request->spec->stages[attempt->stage].kind)
         && (end == DECIDE_END_WRONG || end == DECIDE_END_TIMED_OUT || end == DECIDE_END_BROKEN
             || end == DECIDE_END_LOST);
}

void
flow_attempt_finish (struct flow_attempt *attempt, enum decide_end end, int64_t now)
{
  struct flow *flow = attempt->flow;
  struct flow_request *request = flow_find_request (flow, attempt->request);
  struct board_target *target = table_get (flow->config.board->targets, attempt->choice.target);

  INVARIANT (request != NULL);
  if (target != NULL && target->in_flight > 0)
    target->in_flight--;
  record_end (request, attempt, end, now);
  report_to_decide (request, attempt, end, now);
  if (attempt->sent && result_is_unknown (request, attempt, end))
    request->in_doubt = true;
  remove_live (request, attempt->self);
  timer_disarm (flow->config.timers, &attempt->give_up);
  timer_disarm (flow->config.timers, &attempt->hedge);
  sse_clear (&attempt->sse);
  bytes_clear (&attempt->body);
  table_remove (flow->attempts, attempt->self);
}

static void
close_call (struct flow_attempt *attempt)
{
  struct http_call *call = attempt->call;
  struct http_client *client = attempt->flow->config.client;

  attempt->call = NULL;
  if (call != NULL)
    client->ops->cancel (client, call);
}

void
flow_attempt_cancel (struct flow_attempt *attempt, enum decide_end end, int64_t now)
{
  struct flow_request *request = flow_find_request (attempt->flow, attempt->request);

  if (attempt->call != NULL)
    {
      close_call (attempt);
      /* No cancel for an unrepeatable call, as cancelling cannot undo its effect, nor to a target
       * that wants no calls. */
      if (request->decide.repeatable
          && flow_notice_may_send (attempt->flow, attempt->choice.target, now))
        flow_cancel_send (attempt->flow, attempt->address, request->id, attempt->number, now);
    }
  flow_attempt_finish (attempt, end, now);
}

void
flow_attempt_fail (
    struct flow_attempt *attempt, enum decide_end end, bool not_run, bool rejected, int64_t now)
{
  struct flow_request *request = flow_find_request (attempt->flow, attempt->request);
  struct flow_failure failure = {
    .end = end,
    .target = attempt->choice.target,
    .not_run = not_run,
    .rejected = rejected,
  };

  close_call (attempt);
  flow_attempt_finish (attempt, end, now);
  flow_stage_failed (request, &failure, now);
}

void
flow_attempt_complete (struct flow_attempt *attempt, struct flow_request *request, int64_t now)
{
  close_call (attempt);
  flow_attempt_finish (attempt, DECIDE_END_WHOLE, now);
  flow_attempts_cancel (request, now);
  flow_stage_complete (request, now);
}

/* ---- timers ---- */

static void
hedge (struct timer *timer, int64_t now)
{
  struct flow_attempt *attempt = CONTAINER_OF (timer, struct flow_attempt, hedge);

  flow_stage_hedge (flow_find_request (attempt->flow, attempt->request), attempt, now);
}

static const struct timer_ops hedge_ops = { .fire = hedge };

static void
arm_timers (struct flow_attempt *attempt, const struct flow_request *request)
{
  struct timer_service *timers = attempt->flow->config.timers;
  const struct decide_choice *choice = &attempt->choice;

  int64_t first =
      choice->first_output_by < choice->timeout_at ? choice->first_output_by : choice->timeout_at;

  /* Ending an unrepeatable call early would only make its outcome unknown: it runs until the
   * deadline. */
  if (request->decide.repeatable && first < request->decide.deadline)
    timer_arm (timers, &attempt->give_up, first);
  if (request->decide.repeatable && !attempt->is_hedge
      && choice->hedge_at < request->decide.deadline)
    timer_arm (timers, &attempt->hedge, choice->hedge_at);
}

/* An engine may accept a call and never answer, so an attempt without data by `first_output_by`
 * ends.  After the first data it has until `give_up`. */
void
flow_attempt_note_data (struct flow_attempt *attempt, int64_t now)
{
  struct timer_service *timers = attempt->flow->config.timers;

  if (attempt->first_data != 0)
    return;
  attempt->first_data = now;
  attempt->is_judged = false;
  decide_attempt_answers (attempt->flow->config.decide, &attempt->choice, now);
  if (!timer_is_armed (&attempt->give_up))
    return;
  if (attempt->choice.timeout_at == USEC_NEVER)
    timer_disarm (timers, &attempt->give_up);
  else
    timer_arm (timers, &attempt->give_up, attempt->choice.timeout_at);
}

/* ---- the start ---- */

static void
make_body (struct flow_request *request, struct bytes *out)
{
  const struct stage_spec *spec = flow_stage_spec (request);
  struct stage_call call = {
    .max_tokens = spec->max_tokens,
    .priority = request->decide.priority,
    .resume_from = request->text.n_pieces,
  };

  if (request->max_tokens > 0 && request->max_tokens < spec->max_tokens)
    call.max_tokens = request->max_tokens;
  stage_append_body (spec, &request->data, &call, out);
}

static enum status
start_call (struct flow_attempt *attempt,
            const struct flow_request *request,
            const char *body,
            size_t length,
            int64_t now)
{
  struct http_client *client = attempt->flow->config.client;
  const struct stage_spec *spec = flow_stage_spec (request);
  int64_t remaining = request->decide.deadline - now;
  char number[NUMBER_SIZE];
  char remaining_ms[NUMBER_SIZE];
  char priority[NUMBER_SIZE];
  struct http_field headers[HEADERS_MAX] = {
    { .name = "content-type", .value = "application/json" },
    { .name = "x-request-id", .value = request->id },
    { .name = "x-attempt", .value = number },
    { .name = "x-stage", .value = spec->name },
    { .name = "x-deadline-ms", .value = remaining_ms },
    { .name = "x-priority", .value = priority },
    { .name = "x-organisation", .value = request->organisation },
    { .name = "accept",
      .value = spec->kind == STAGE_GENERATE ? "text/event-stream" : "application/json" },
  };
  struct http_call_spec call = {
    .address = attempt->address,
    .method = "POST",
    .path = stage_path (spec->kind),
    .headers = headers,
    .n_headers = HEADERS_MAX,
    .body = body,
    .body_length = length,
    .deadline = request->decide.deadline + (request->decide.repeatable ? 0 : FLOW_SETTLE_GRACE),
  };

  snprintf (number, sizeof number, "%" PRIu32, attempt->number);
  snprintf (remaining_ms, sizeof remaining_ms, "%" PRId64,
            remaining > 0 ? remaining / USEC_PER_MSEC : 0);
  snprintf (priority, sizeof priority, "%" PRIu32, request->decide.priority);
  return client->ops->start (client, &call, &attempt->sink, now, &attempt->call);
}

static struct flow_attempt *
add_attempt (struct flow_request *request,
             const struct decide_choice *choice,
             const struct board_target *target,
             int64_t now)
{
  struct flow *flow = request->flow;
  struct handle handle;
  struct flow_attempt *attempt = table_add (flow->attempts, &handle);

  if (attempt == NULL)
    return NULL;
  attempt->sink.ops = &flow_reply_ops;
  attempt->event_sink.ops = &flow_stream_ops;
  attempt->give_up.ops = &flow_slow_ops;
  attempt->hedge.ops = &hedge_ops;
  attempt->flow = flow;
  attempt->self = handle;
  attempt->request = request->self;
  attempt->choice = *choice;
  attempt->number = ++request->n_attempts;
  attempt->stage = request->decide.stage;
  attempt->input_tokens = request->raw != NULL
                              ? request->decide.input_tokens
                              : stage_estimate_tokens (flow_stage_spec (request), &request->data);
  attempt->resumed_from = request->text.n_pieces;
  attempt->n_pieces = request->text.n_pieces;
  attempt->started = now;
  text_copy (attempt->target, sizeof attempt->target, target->name);
  text_copy (attempt->address, sizeof attempt->address, target->address);
  bytes_init (&attempt->body, request->memory);
  sse_init (&attempt->sse, request->memory, FLOW_EVENT_BYTES_MAX);
  return attempt;
}

enum status
flow_attempt_start (struct flow_request *request,
                    const struct decide_choice *choice,
                    bool is_hedge,
                    int64_t now)
{
  struct flow *flow = request->flow;
  struct board_target *target = table_get (flow->config.board->targets, choice->target);
  struct flow_attempt *attempt;
  enum status status;
  struct bytes body;

  if (target == NULL)
    return status_fail (STATUS_NOT_FOUND, "target is no longer registered");
  attempt = add_attempt (request, choice, target, now);
  if (attempt == NULL)
    return status_fail (STATUS_LIMIT, "too many attempts in flight");
  flow_stage_record (request)->attempts++;
  bytes_init (&body, request->memory);
  if (request->raw == NULL)
    make_body (request, &body);
  if (bytes_has_failed (&body))
    status = status_fail (STATUS_NO_MEMORY, "no memory for a call's body");
  else if (request->raw != NULL)
    status = start_call (attempt, request, request->raw, request->raw_length, now);
  else
    status = start_call (attempt, request, body.data, body.length, now);
  bytes_clear (&body);
  if (status != STATUS_OK)
    {
      table_remove (flow->attempts, attempt->self);
      return status;
    }
  attempt->is_hedge = is_hedge;
  attempt->sent = true;
  request->n_sent++;
  INVARIANT (add_live (request, attempt->self));
  target->in_flight++;
  decide_attempt_started (flow->config.decide, &request->decide, choice, now);
  if (attempt->resumed_from > 0)
    flow_count_resume (flow);
  arm_timers (attempt, request);
  return STATUS_OK;
}
