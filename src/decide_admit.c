/* Admission control: first the limits, then whether the request can end before its deadline, then
 * priority and the organisations' fair shares. */
#include "decide_state.h"
#include <math.h>

#define FAIR_SHARE_WAIT 0.7 /* of the spare time spent queueing: fair shares apply above */
#define RETRY_AFTER_MIN (100 * USEC_PER_MSEC)

static double
limit_tokens (const struct decide_request *request)
{
  return (double) request->input_tokens + request->output_tokens;
}

static enum decide_reason
check_limits (struct decide *decide,
              const struct decide_request *request,
              int64_t now,
              int64_t *retry_after)
{
  struct decide_organisation *organisation =
      decide_organisation_get (decide, request->organisation);
  const struct board_organisation *entry =
      table_get (decide->board->organisations, request->organisation);

  if (organisation == NULL || entry == NULL)
    return DECIDE_ADMITTED;
  limit_demand_add (&organisation->limit, now);
  switch (limit_take (&organisation->limit, &entry->spec, limit_tokens (request), now, retry_after))
    {
    case LIMIT_REQUESTS:
      return DECIDE_RATE;
    case LIMIT_TOKENS:
      return DECIDE_TOKENS;
    case LIMIT_RUNNING:
      return DECIDE_CONCURRENCY;
    default:
      return DECIDE_ADMITTED;
    }
}

static void
undo_limits (struct decide *decide, const struct decide_request *request)
{
  struct decide_organisation *organisation =
      decide_organisation_get (decide, request->organisation);
  const struct board_organisation *entry =
      table_get (decide->board->organisations, request->organisation);

  if (organisation != NULL && entry != NULL)
    limit_undo (&organisation->limit, &entry->spec, limit_tokens (request));
}

/* Share of the remaining time that the expected time may use.  The cost objective keeps a larger
 * reserve for delays. */
static const double usable_time_share[] = { [OBJECTIVE_ATTAINMENT] = 1.0, [OBJECTIVE_COST] = 0.9 };

struct forecast
{
  double work; /* slot seconds over all stages */
  double service;
  double wait;     /* queueing delay at the request's priority, microseconds */
  double top_wait; /* queueing delay at the highest priority, microseconds */
  bool known;
  enum objective objective;
  bool has_targets; /* every stage has a usable target */
};

static uint32_t
priority_of (const struct decide_request *request)
{
  return request->priority < DECIDE_PRIORITIES ? request->priority : DECIDE_PRIORITIES - 1;
}

/* Relative increase of the work's time when all slots are in use. */
static double
stage_slope (const struct decide_work *work)
{
  double alone = decide_work_alone (work);

  return alone > 0 ? decide_work_at (work, 1) / alone - 1 : 0;
}

static struct forecast
forecast_request (struct decide *decide,
                  struct decide_request *request,
                  const struct board_pipeline *pipeline,
                  int64_t now)
{
  struct forecast forecast = { .known = true,
                               .has_targets = true,
                               .objective = pipeline->spec.objective };
  uint32_t stage;

  for (stage = request->stage; stage < pipeline->spec.n_stages; stage++)
    {
      const struct stage_spec *spec = &pipeline->spec.stages[stage];
      struct decide_pool *pool = decide_pool_get (decide, spec->pool);
      uint32_t tokens = decide_stage_tokens (decide, request, stage);
      uint32_t cached = decide_stage_cached (decide, request, stage, tokens);
      struct decide_work work = decide_stage_time (decide, request, spec, tokens, cached);
      double alone = decide_work_alone (&work);

      if (pool == NULL)
        continue;
      decide_pool_refresh (decide, pool, now);
      forecast.has_targets = forecast.has_targets && pool->n_usable > 0;
      forecast.known = forecast.known && work.known;
      forecast.service += decide_work_at (&work, decide_pool_fill (decide, pool));
      forecast.wait +=
          decide_queue_wait (decide, pool, priority_of (request), stage_slope (&work), now);
      forecast.top_wait +=
          decide_queue_wait (decide, pool, DECIDE_PRIORITIES - 1, stage_slope (&work), now);
      request->stage_work[stage] = alone / USEC_PER_SEC;
      forecast.work += request->stage_work[stage];
    }
  return forecast;
}

/* True when the organisation exceeds its weighted fair share of the work admitted here.  One more
 * organisation of mean weight is assumed to be present: otherwise an organisation that is alone on
 * the host could fill the whole window with its own backlog, and every request of smaller
 * organisations that come later would be refused. */
static bool
is_over_share (struct decide *decide, const struct decide_request *request)
{
  const struct decide_organisation *own = decide_organisation_get (decide, request->organisation);
  const struct board_organisation *entry;
  struct handle handle;
  double weights = 0;
  double work = 0;
  double weight = 1;
  uint32_t count = 0;
  uint32_t cursor = 0;

  if (own == NULL)
    return false;
  while ((entry = table_next (decide->board->organisations, &cursor, &handle)) != NULL)
    {
      const struct decide_organisation *other = decide->organisations[handle.index];

      if (other == own)
        weight = entry->spec.weight;
      if (other == NULL || other->generation != handle.generation || other->work <= 0)
        continue;
      weights += entry->spec.weight;
      work += other->work;
      count++;
    }
  if (count == 0)
    return false;
  return own->work * (weights + weights / count) > work * weight;
}

static struct decide_admission
check_window (struct decide *decide,
              const struct decide_request *request,
              const struct forecast *forecast,
              int64_t now)
{
  double left = (double) (request->deadline - now) * usable_time_share[forecast->objective];
  double spare = left - forecast->service;
  double excess = forecast->wait - spare;

  if (!forecast->known)
    return (struct decide_admission){ .reason = DECIDE_ADMITTED };
  if (spare < 0)
    return (struct decide_admission){ .reason = DECIDE_WINDOW };
  if (excess > 0)
    return (struct decide_admission){
      .reason = forecast->top_wait > spare ? DECIDE_WINDOW : DECIDE_PRIORITY,
      .retry_after = RETRY_AFTER_MIN + (int64_t) excess,
    };
  excess = forecast->wait - spare * FAIR_SHARE_WAIT;
  if (excess > 0 && is_over_share (decide, request))
    return (struct decide_admission){ .reason = DECIDE_SHARE,
                                      .retry_after = RETRY_AFTER_MIN + (int64_t) excess };
  return (struct decide_admission){ .reason = DECIDE_ADMITTED };
}

static struct decide_queue *
queue_of (struct decide *decide, const struct decide_request *request, uint32_t stage)
{
  const struct board_pipeline *pipeline = table_get (decide->board->pipelines, request->pipeline);
  struct decide_pool *pool;

  if (pipeline == NULL || stage >= pipeline->spec.n_stages)
    return NULL;
  pool = decide_pool_get (decide, pipeline->spec.stages[stage].pool);
  return pool == NULL ? NULL : &pool->queues[priority_of (request)];
}

void
decide_stage_finish (struct decide *decide, struct decide_request *request, uint32_t stage)
{
  struct decide_queue *queue = queue_of (decide, request, stage);

  if (queue != NULL && request->stage_work[stage] > 0)
    decide_queue_remove (queue, request->stage_work[stage]);
  request->stage_work[stage] = 0;
}

static void
count_request (struct decide *decide, struct decide_request *request, double work, int64_t now)
{
  struct decide_organisation *organisation =
      decide_organisation_get (decide, request->organisation);
  uint32_t stage;

  request->estimated_work = work;
  request->admitted = true;
  decide->n_running++;
  if (organisation != NULL)
    organisation->work += work;
  for (stage = request->stage; stage < RESOURCE_STAGES_MAX; stage++)
    {
      struct decide_queue *queue = queue_of (decide, request, stage);

      if (queue != NULL && request->stage_work[stage] > 0)
        decide_queue_add (queue, request->stage_work[stage], now);
    }
}

struct decide_admission
decide_admit (struct decide *decide, struct decide_request *request, int64_t now)
{
  const struct board_pipeline *pipeline = table_get (decide->board->pipelines, request->pipeline);
  struct decide_admission admission = { .reason = DECIDE_NO_TARGET };
  struct forecast forecast;

  if (pipeline == NULL)
    return admission;
  decide_hosts_refresh (decide, now);
  admission.reason = check_limits (decide, request, now, &admission.retry_after);
  if (admission.reason == DECIDE_ADMITTED)
    {
      forecast = forecast_request (decide, request, pipeline, now);
      if (forecast.has_targets)
        admission = check_window (decide, request, &forecast, now);
      else
        admission =
            (struct decide_admission){ .reason = DECIDE_NO_TARGET, .retry_after = USEC_PER_SEC };
      if (admission.reason == DECIDE_ADMITTED)
        count_request (decide, request, forecast.work, now);
      else
        undo_limits (decide, request);
      if (admission.reason == DECIDE_WINDOW)
        counter_add (decide->saved_work, forecast.work);
    }
  counter_add (decide->verdicts[admission.reason], 1);
  return admission;
}

void
decide_finish (struct decide *decide, struct decide_request *request, bool whole, int64_t now)
{
  struct decide_organisation *organisation =
      decide_organisation_get (decide, request->organisation);
  const struct board_organisation *entry =
      table_get (decide->board->organisations, request->organisation);
  uint32_t stage;

  (void) now;
  if (!request->admitted)
    return;
  request->admitted = false;
  counter_add (whole ? decide->finished_whole : decide->finished_other, 1);
  for (stage = 0; stage < RESOURCE_STAGES_MAX; stage++)
    decide_stage_finish (decide, request, stage);
  if (decide->n_running > 0)
    decide->n_running--;
  if (organisation == NULL)
    return;
  organisation->work = fmax (0, organisation->work - request->estimated_work);
  if (entry != NULL)
    limit_finish (&organisation->limit, &entry->spec, 0);
}
