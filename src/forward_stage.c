/* The stages of a request: each is ordered when its inputs are ready, and its results are freed
 * when they are no longer needed. */
#include "container.h"
#include "forward_private.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>

/* Time from the last result to the answer's first byte: DEFAULT_PREFILL_TIME is the prefill of the
 * prompt where no estimate exists, RESULT_FETCH_TIME the fetching of results and the network
 * latency. */
#define DEFAULT_PREFILL_TIME (160 * USEC_PER_MSEC)
#define RESULT_FETCH_TIME (40 * USEC_PER_MSEC)

/* Least queueing delay assumed for a stage, added to the duration of its work. */
#define STAGE_MIN_QUEUE_TIME (100 * USEC_PER_MSEC)

/* Margin for the variation of call durations and queueing delays. */
#define EARLY_MARGIN (100 * USEC_PER_MSEC)

/* Retry-After, in seconds: the stage targets may have caught up after about two calls. */
#define STAGE_RETRY_AFTER_SEC 0.5

/* The Retry-After of a shed request is at least SHED_RETRY_MIN_SHARE of the longest delay after
 * which it can still meet its objective.  Where that delay is SHED_RETRY_MIN_DELAY or less, the
 * request is not shed. */
#define SHED_RETRY_MIN_SHARE 0.5
#define SHED_RETRY_MIN_DELAY (150 * USEC_PER_MSEC)

uint32_t
job_pieces (const struct forward_job *job, uint32_t stage)
{
  return job->stages[stage].pieces;
}

bool
job_has_stages (const struct forward_job *job)
{
  for (uint32_t i = 0; i < job->route.n_stages; i++)
    if (job_pieces (job, i) > 0)
      return true;
  return false;
}

/* The stages are in topological order, so one pass from the last to the first is enough. */
static void
plan_tails (struct forward_job *job, int64_t prefill, int64_t now)
{
  for (uint32_t i = job->route.n_stages; i-- > 0;)
    {
      int64_t tail = prefill + RESULT_FETCH_TIME;

      for (uint32_t j = i + 1; j < job->route.n_stages; j++)
        {
          int64_t wait = work_smoothed_wait (job->forward->config.work, job->stages[j].pool, now);
          int64_t through = job->stages[j].tail + job->stages[j].expected
                            + (wait > STAGE_MIN_QUEUE_TIME ? wait : STAGE_MIN_QUEUE_TIME);

          if ((job->route.stages[j].depends_on & (UINT32_C (1) << i)) != 0 && through > tail)
            tail = through;
        }
      job->stages[i].tail = tail;
    }
}

/* `routing` must be the one that `job->route` was copied from, as stages refer to its pools by
 * index. */
enum status
job_plan_stages (struct forward_job *job, const struct routing *routing)
{
  for (uint32_t i = 0; i < job->route.n_stages; i++)
    {
      struct forward_stage *stage = &job->stages[i];
      const struct pool *pool = &routing->pools[job->route.stages[i].pool];

      stage->job = job;
      stage->pieces = i < job->facts.n_stages ? job->facts.pieces[i] : 0;
      if (stage->pieces > 0)
        stage->expected = pool->batch.call_time + stage->pieces * pool->batch.piece_time;
      text_copy_truncated (stage->pool, sizeof stage->pool, pool->name);
      stage->results = talloc_zero_array (job, struct stage_result, stage->pieces + 1);
      if (stage->results == NULL)
        return status_fail (STATUS_NO_MEMORY, "out of memory");
    }
  return STATUS_OK;
}

/* The shortest time to the answer's first byte. */
static int64_t
critical_path (const struct forward_job *job)
{
  int64_t longest = 0;

  for (uint32_t i = 0; i < job->route.n_stages; i++)
    {
      int64_t path = job->stages[i].tail + job->stages[i].expected;

      if (job_pieces (job, i) > 0 && path > longest)
        longest = path;
    }
  return longest;
}

/* Replaces each skipped stage by the stages that it depends on. */
uint32_t
job_replace_skipped (const struct forward_job *job, uint32_t stages)
{
  for (uint32_t i = job->route.n_stages; i-- > 0;)
    if ((stages & (UINT32_C (1) << i)) != 0 && job_pieces (job, i) == 0)
      {
        stages &= ~(UINT32_C (1) << i);
        stages |= job->route.stages[i].depends_on;
      }
  return stages;
}

bool
job_is_read_by_engine (const struct forward_job *job, uint32_t stage)
{
  uint32_t last = job_replace_skipped (job, route_last_stages (&job->route));

  return (last & (UINT32_C (1) << stage)) != 0;
}

void
job_write_inputs (const struct forward_job *job, uint32_t stages, struct bytes *out)
{
  uint32_t from = job_replace_skipped (job, stages);

  for (uint32_t i = 0; i < job->route.n_stages; i++)
    for (uint32_t j = 0; (from & (UINT32_C (1) << i)) != 0 && j < job_pieces (job, i); j++)
      {
        if (out->length > 0)
          bytes_append (out, ",", 1);
        bytes_append_text (out, job->stages[i].results[j].handle);
      }
}

static void advance (struct forward_job *job, int64_t now);

/* The longest delay of a retry after which the request can still meet its objective. */
static int64_t
longest_retry_delay (const struct forward_job *job, int64_t now)
{
  return job->objective_at - now - job->critical_path_time;
}

/* Only a first try is shed: a client that is refused a second time does not retry. */
static bool
may_turn_away (const struct forward_job *job, int64_t now)
{
  return job->age == 0 && !job->stages_rerun
         && longest_retry_delay (job, now) > SHED_RETRY_MIN_DELAY;
}

/* Sheds the request with a random delay, so that requests shed together do not return together. */
static void
shed (struct forward_job *job, int64_t now)
{
  double share = SHED_RETRY_MIN_SHARE + (1 - SHED_RETRY_MIN_SHARE) * rng_unit (&job->forward->rng);
  int64_t delay = longest_retry_delay (job, now);

  if (delay < SHED_RETRY_MIN_DELAY)
    delay = SHED_RETRY_MIN_DELAY;
  job_give_up (job, FORWARD_OVERLOADED, share * (double) delay / (double) USEC_PER_SEC);
}

static void
stage_done (struct work_order *order, enum piece_outcome end, int64_t now)
{
  struct forward_stage *stage = CONTAINER_OF (order, struct forward_stage, order);
  struct forward_job *job = stage->job;

  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "stage-ended", "{s:s,s:i,s:s,s:i,s:s,s:s,s:I}", "id",
             job->facts.id, "stage", (int) order->stage, "pool", order->pool, "pieces",
             (int) order->n_pieces, "outcome", piece_outcome_text (end), "owner", order->owner,
             "since_arrival_us", (json_int_t) (now - job->arrived));
  if (end == PIECE_DONE)
    {
      stage->state = STAGE_DONE;
      job_free_used_results (job, now);
      advance (job, now);
      return;
    }
  stage->state = STAGE_IDLE;
  if (end == PIECE_BUSY)
    {
      shed (job, now);
      return;
    }
  if (end == PIECE_ENDS_TARGETS)
    {
      job_quarantine (job, now);
      return;
    }
  if (end == PIECE_UNREACHED)
    {
      job_give_up (job, FORWARD_CUT_OFF, STAGE_RETRY_AFTER_SEC);
      return;
    }
  if (end != PIECE_LATE && job_rerun_stages (job, now))
    return;
  job_give_up (job, end == PIECE_LATE ? FORWARD_NO_TIME : FORWARD_STAGE, STAGE_RETRY_AFTER_SEC);
}

static void
stage_taken (struct work_order *order, int64_t now)
{
  struct forward_stage *stage = CONTAINER_OF (order, struct forward_stage, order);

  job_expect_fetch (stage->job, &stage->fetched_at, now);
}

static const struct work_order_ops stage_ops = { .done = stage_done, .taken = stage_taken };

static void
booking_refused (struct work_booking *booking, int64_t now)
{
  struct forward_job *job = CONTAINER_OF (booking, struct forward_stage, booking)->job;

  /* The refusal may come so late that no time is left for a retry. */
  if (may_turn_away (job, now))
    shed (job, now);
}

static const struct work_booking_ops booking_ops = { .refused = booking_refused };

/* Books the stages that depend on others, as it may be their pools that are overloaded. */
static void
book_later_stages (struct forward_job *job, int64_t now)
{
  for (uint32_t i = 0; i < job->route.n_stages; i++)
    {
      struct forward_stage *stage = &job->stages[i];

      if (job_pieces (job, i) == 0
          || job_replace_skipped (job, job->route.stages[i].depends_on) == 0)
        continue;
      stage->booking = (struct work_booking){
        .ops = &booking_ops,
        .stage = i,
        .demand = { .n_pieces = job_pieces (job, i),
                    .urgency = job->route.priority,
                    .due = job->objective_at - stage->tail,
                    .may_reject = true },
      };
      memcpy (stage->booking.request, job->facts.id, sizeof stage->booking.request);
      memcpy (stage->booking.pool, stage->pool, sizeof stage->booking.pool);
      memcpy (stage->booking.home_domain, job->engine_domain, sizeof stage->booking.home_domain);
      work_book (job->forward->config.work, &stage->booking, now);
    }
}

static void
order_stage (struct forward_job *job, uint32_t number, int64_t now)
{
  struct forward_stage *stage = &job->stages[number];
  const struct route_stage *route = &job->route.stages[number];
  struct bytes inputs;

  bytes_init (&inputs, NULL);
  job_write_inputs (job, route->depends_on, &inputs);
  stage->order = (struct work_order){
    .ops = &stage_ops,
    .stage = number,
    .result_size = route->result_size,
    .inputs = inputs.length > 0 ? inputs.data : NULL,
    .due = job->objective_at - stage->tail,
    .deadline = job->give_up_at - stage->tail,
    .may_reject = stage->booking.work == NULL && may_turn_away (job, now),
    .urgency = job->route.priority,
    .n_pieces = job_pieces (job, number),
    .results = stage->results,
  };
  memcpy (stage->order.request, job->facts.id, sizeof stage->order.request);
  memcpy (stage->order.key, job->facts.piece_key, sizeof stage->order.key);
  job_choose_domain (job, number, stage->order.preferred_domain);
  memcpy (stage->order.home_domain, job->engine_domain, sizeof stage->order.home_domain);
  memcpy (stage->order.pool, stage->pool, sizeof stage->order.pool);
  work_use_booking (&stage->booking, &stage->order);
  stage->state = STAGE_RUNNING;
  stage->started_at = now;
  stage->fetched_at = 0;
  stage->is_evictable = false;
  work_submit (job->forward->config.work, &stage->order, now);
  bytes_clear (&inputs);
}

/* The longest time to the answer's first byte over the other stages that are not done. */
static int64_t
longest_rest_without (const struct forward_job *job, uint32_t stage, int64_t now)
{
  int64_t longest = 0;

  for (uint32_t i = 0; i < job->route.n_stages; i++)
    {
      const struct forward_stage *other = &job->stages[i];
      int64_t rest = other->expected + other->tail;

      if (i == stage || job_stage_is_done (job, i))
        continue;
      if (other->state == STAGE_RUNNING)
        rest -= now - other->started_at;
      if (rest > longest)
        longest = rest;
    }
  return longest;
}

/* Results are held by their makers, whose memory is small.  A stage on which only the engine
 * depends starts when the rest of the path is not much longer than its own, so that its results are
 * held for a fraction of a second and not for the duration of the whole chain. */
static bool
starts_too_early (const struct forward_job *job, uint32_t stage, int64_t now)
{
  const struct forward_stage *at = &job->stages[stage];
  uint32_t last = route_last_stages (&job->route);

  return (last & (UINT32_C (1) << stage)) != 0
         && longest_rest_without (job, stage, now) > at->expected + at->tail + EARLY_MARGIN;
}

static void
advance (struct forward_job *job, int64_t now)
{
  uint32_t all = (UINT32_C (1) << job->route.n_stages) - 1;

  for (uint32_t i = 0; i < job->route.n_stages; i++)
    if (job->stages[i].state == STAGE_IDLE && job_pieces (job, i) > 0
        && job_stages_are_done (job, job_replace_skipped (job, job->route.stages[i].depends_on))
        && !starts_too_early (job, i, now))
      order_stage (job, i, now);
  if (!job_stages_are_done (job, all))
    return;
  job->stages_done = now;
  histogram_record (job->forward->stage_time, (double) (now - job->arrived));
  job_send (job, now);
}

/* Expected prefill time.  It is seconds for a long prompt, whose stages are therefore due earlier
 * than those of a short one. */
static int64_t
expected_prefill (const struct forward_job *job, const struct balance_target *likely, int64_t now)
{
  struct engine_cost cost;

  if (likely == NULL || !job->prompt.present)
    return DEFAULT_PREFILL_TIME;
  engine_load_cost (job->forward->config.balance->engines, likely->id_hash, &job->prompt.prompt,
                    now, &cost);
  return cost.wait;
}

void
job_begin_stages (struct forward_job *job, int64_t now)
{
  struct balance_query query = {
    .pool = job->pool,
    .binding = job_binding (job),
    .prompt = &job->prompt,
  };
  const struct balance_target *likely;

  job->prompt.n_locations = 0;
  likely = balance_choose (job->forward->config.balance, &query, now);
  /* All stages should run in one failure domain: that of the engine which would be chosen for the
   * request now. */
  if (likely != NULL && job->engine_domain[0] == '\0')
    text_copy_truncated (job->engine_domain, sizeof job->engine_domain, likely->domain);
  plan_tails (job, expected_prefill (job, likely, now), now);
  job->critical_path_time = critical_path (job);
  if (now + job->critical_path_time > job->give_up_at)
    {
      job_give_up (job, FORWARD_NO_TIME, STAGE_RETRY_AFTER_SEC);
      return;
    }
  if (may_turn_away (job, now))
    book_later_stages (job, now);
  advance (job, now);
}

bool
job_rerun_stages (struct forward_job *job, int64_t now)
{
  if (job->stages_rerun || !job_has_stages (job))
    return false;
  job->stages_rerun = true;
  job_cancel_stages (job, now);
  job->stages_done = 0;
  job_begin_stages (job, now);
  return true;
}
