/* Construction, bookkeeping of attempts, retries and hedges.  Admission is in decide_admit.c, the
 * choice of a target in decide_target.c. */
#include "decide_state.h"
#include <math.h>
#include <talloc.h>

#define DEFAULT_EJECT_SHARE 0.3 /* of the targets of an undeclared pool */
#define WRONG_ANSWER_FAILURES 3 /* failures that one answer to another request counts as */

static const char *const reasons[] = {
#define X(name, text) [DECIDE_##name] = text,
  DECIDE_REASON_LIST (X)
#undef X
};

static const char *const ends[] = {
#define X(name, text) [DECIDE_END_##name] = text,
  DECIDE_END_LIST (X)
#undef X
};

const char *
decide_reason_text (enum decide_reason reason)
{
  return (unsigned) reason < DECIDE_REASON_COUNT ? reasons[reason] : "unknown";
}

const char *
decide_end_text (enum decide_end end)
{
  return (unsigned) end < DECIDE_END_COUNT ? ends[end] : "unknown";
}

static const struct board_subscriber_ops subscriber_ops = { .changed = decide_index_changed };

static void
register_counters (struct decide *decide, struct counters *counters)
{
  char labels[64];
  uint32_t i;

  for (i = 0; i < DECIDE_REASON_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "reason=\"%s\"", reasons[i]);
      decide->verdicts[i] = counter_get (counters, "cherryarch_admissions_total",
                                         "Requests by the verdict of admission", labels);
    }
  for (i = 0; i < DECIDE_END_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "end=\"%s\"", ends[i]);
      decide->ends[i] = counter_get (counters, "cherryarch_attempts_total",
                                     "Attempts on targets by how they ended", labels);
    }
  decide->finished_whole = counter_get (counters, "cherryarch_finished_total",
                                        "Admitted requests that ended", "whole=\"yes\"");
  decide->finished_other = counter_get (counters, "cherryarch_finished_total",
                                        "Admitted requests that ended", "whole=\"no\"");
  decide->ejections = counter_get (counters, "cherryarch_ejections_total", "Targets ejected", NULL);
  decide->saved_work = counter_get (counters, "cherryarch_saved_slot_seconds_total",
                                    "Work not spent on requests that could not end in time", NULL);
}

/* uthash's table is not allocated with talloc. */
static int
decide_free (struct decide *decide)
{
  HASH_CLEAR (hh, decide->pools);
  return 0;
}

/* The board keeps a pointer to the subscriber, so `decide` must live as long as the board. */
struct decide *
decide_new (void *parent, struct board *board, struct counters *counters, uint64_t seed)
{
  struct decide *decide = talloc_zero (parent, struct decide);

  if (decide == NULL)
    return NULL;
  talloc_set_destructor (decide, decide_free);
  decide->board = board;
  decide->subscriber.ops = &subscriber_ops;
  decide->pipelines = talloc_zero_array (decide, struct decide_pipeline *, BOARD_PIPELINES_MAX);
  decide->organisations =
      talloc_zero_array (decide, struct decide_organisation *, BOARD_ORGANISATIONS_MAX);
  decide->prefixes = prefix_index_new (decide, PREFIX_SETS);
  if (decide->prefixes == NULL || decide->pipelines == NULL || decide->organisations == NULL)
    {
      talloc_free (decide);
      return NULL;
    }
  rng_init (&decide->rng, seed);
  register_counters (decide, counters);
  decide_index_all (decide, 0);
  board_subscribe (board, &decide->subscriber);
  return decide;
}

struct decide_pipeline *
decide_pipeline_get (struct decide *decide, struct handle handle)
{
  struct decide_pipeline **slot;

  if (handle.generation == 0 || handle.index >= BOARD_PIPELINES_MAX)
    return NULL;
  slot = &decide->pipelines[handle.index];
  if (*slot == NULL)
    *slot = talloc_zero (decide, struct decide_pipeline);
  if (*slot != NULL && (*slot)->generation != handle.generation)
    **slot = (struct decide_pipeline){ .generation = handle.generation,
                                       .retries = budget_new (),
                                       .hedges = budget_new () };
  return *slot;
}

struct decide_organisation *
decide_organisation_get (struct decide *decide, struct handle handle)
{
  struct decide_organisation **slot;

  if (handle.generation == 0 || handle.index >= BOARD_ORGANISATIONS_MAX)
    return NULL;
  slot = &decide->organisations[handle.index];
  if (*slot == NULL)
    *slot = talloc_zero (decide, struct decide_organisation);
  /* An even split until a share is granted, so that all hosts together keep to the limit. */
  if (*slot != NULL && (*slot)->generation != handle.generation)
    **slot = (struct decide_organisation){ .generation = handle.generation,
                                           .limit = { .share = 1 / decide_hosts (decide) } };
  return *slot;
}

const struct stage_spec *
decide_stage_spec (const struct decide *decide, const struct decide_request *request)
{
  const struct board_pipeline *pipeline = table_get (decide->board->pipelines, request->pipeline);

  if (pipeline == NULL || request->stage >= pipeline->spec.n_stages)
    return NULL;
  return &pipeline->spec.stages[request->stage];
}

struct decide_target *
decide_target_find (const struct decide *decide, struct handle handle)
{
  const struct board_target *entry = table_get (decide->board->targets, handle);

  return entry == NULL ? NULL : entry->decide;
}

void
decide_attempt_started (struct decide *decide,
                        const struct decide_request *request,
                        const struct decide_choice *choice,
                        int64_t now)
{
  struct decide_target *target = decide_target_find (decide, choice->target);
  struct decide_pipeline *pipeline = decide_pipeline_get (decide, request->pipeline);
  const struct board_pipeline *entry = table_get (decide->board->pipelines, request->pipeline);

  if (pipeline != NULL && entry != NULL)
    budget_earn (&pipeline->hedges, entry->spec.hedge_share);
  if (target == NULL)
    return;
  target->in_flight++;
  target->work += choice->work;
  target->pool->running++;
  slow_target_sent (&target->slow, now);
  eject_attempt_started (&target->eject, now);
  decide_prefix_started (decide, request, choice->target, now);
}

/* Whether one more target may be ejected: the pool's bound is not reached, and at least one target
 * stays in use. */
static bool
can_eject (const struct decide *decide, const struct decide_target *target)
{
  const struct decide_pool *pool = target->pool;
  const struct board_target *entry = table_get (decide->board->targets, target->handle);
  const struct board_pool *declared =
      entry == NULL ? NULL : table_get (decide->board->pools, entry->pool_handle);
  double share = declared == NULL ? DEFAULT_EJECT_SHARE : declared->spec.eject_share_max;
  uint32_t most = (uint32_t) (share * pool->n_targets);

  if (most == 0 && share > 0)
    most = 1;
  if (most + 1 > pool->n_targets)
    most = pool->n_targets - 1;
  return pool->n_ejected < most;
}

void
decide_ejection_update (struct decide *decide,
                        struct decide_target *target,
                        enum decide_end end,
                        int64_t now)
{
  bool was_ejected = target->eject.until != 0;

  switch (end)
    {
    case DECIDE_END_WHOLE:
      target->timed_out = false;
      eject_attempt_succeeded (&target->eject);
      break;
    case DECIDE_END_WRONG:
      /* It confuses requests, so none of its answers can be trusted. */
      if (eject_attempt_failed (&target->eject, WRONG_ANSWER_FAILURES, can_eject (decide, target),
                                now))
        counter_add (decide->ejections, 1);
      break;
    case DECIDE_END_REFUSED:
      /* An occasional refusal is not a fault, and one answer resets the count.  But a target that
       * refuses everything looks idle and would attract every request. */
    case DECIDE_END_FAILED:
    case DECIDE_END_TIMED_OUT:
    case DECIDE_END_BROKEN:
      if (eject_attempt_failed (&target->eject, 1, can_eject (decide, target), now))
        counter_add (decide->ejections, 1);
      break;
    default: /* cancelled by us: no evidence about the target */
      eject_attempt_cancelled (&target->eject);
      break;
    }
  if (!was_ejected && target->eject.until != 0)
    target->pool->n_ejected++;
  else if (was_ejected && target->eject.until == 0)
    target->pool->n_ejected--;
}

void
decide_attempt_ended (struct decide *decide,
                      struct decide_request *request,
                      const struct decide_result *result,
                      int64_t now)
{
  struct decide_target *target = decide_target_find (decide, result->target);
  struct decide_pipeline *pipeline = decide_pipeline_get (decide, request->pipeline);
  const struct board_pipeline *entry = table_get (decide->board->pipelines, request->pipeline);
  const struct stage_spec *spec = decide_stage_spec (decide, request);

  counter_add (decide->ends[result->end], 1);
  if (result->end == DECIDE_END_WHOLE)
    {
      if (pipeline != NULL && entry != NULL)
        budget_earn (&pipeline->retries, entry->spec.retry_share);
      if (request->admitted)
        decide_stage_finish (decide, request, request->stage);
    }
  if (target == NULL)
    return;
  if (target->in_flight > 0)
    target->in_flight--;
  target->work = target->in_flight == 0 ? 0 : fmax (0, target->work - result->choice.work);
  if (target->pool->running > 0)
    target->pool->running--;
  if (result->first_data == 0)
    slow_target_ended (&target->slow);
  if (result->end == DECIDE_END_WHOLE && result->first_data > 0)
    slow_target_learn (&target->slow, result->started, result->first_data - result->started);
  decide_ejection_update (decide, target, result->end, now);
  if (result->end == DECIDE_END_TIMED_OUT)
    decide_learn_timeout (target, result, now);
  if (result->end == DECIDE_END_WHOLE && spec != NULL)
    {
      decide_learn_attempt (decide, request, spec, target, result);
      decide_prefix_ended (decide, request, target->pool, result, now);
    }
}

enum decide_reason
decide_retry (struct decide *decide,
              const struct decide_request *request,
              uint32_t attempts,
              int64_t now)
{
  struct decide_pipeline *pipeline = decide_pipeline_get (decide, request->pipeline);
  const struct board_pipeline *entry = table_get (decide->board->pipelines, request->pipeline);
  struct decide_remaining remaining;

  if (pipeline == NULL || entry == NULL || attempts >= entry->spec.max_attempts)
    return DECIDE_ATTEMPTS;
  remaining = decide_remaining_time (decide, request, entry, request->stage);
  if (now >= request->deadline || (remaining.known && now + remaining.low > request->deadline))
    return DECIDE_WINDOW;
  return budget_take (&pipeline->retries) ? DECIDE_ADMITTED : DECIDE_BUDGET;
}

enum decide_reason
decide_hedge (struct decide *decide, const struct decide_request *request, int64_t now)
{
  struct decide_pipeline *pipeline = decide_pipeline_get (decide, request->pipeline);
  const struct board_pipeline *entry = table_get (decide->board->pipelines, request->pipeline);
  struct decide_remaining remaining;

  if (pipeline == NULL || entry == NULL || !request->repeatable || entry->spec.hedge_share <= 0)
    return DECIDE_ATTEMPTS;
  remaining = decide_remaining_time (decide, request, entry, request->stage);
  if (remaining.known && (double) now + remaining.expected > (double) request->deadline)
    return DECIDE_WINDOW;
  return budget_take (&pipeline->hedges) ? DECIDE_ADMITTED : DECIDE_BUDGET;
}

/* The running stage may be nearly done, so only the stages after it count. */
bool
decide_deadline_is_unreachable (const struct decide *decide,
                                const struct decide_request *request,
                                int64_t now)
{
  const struct board_pipeline *pipeline = table_get (decide->board->pipelines, request->pipeline);
  struct decide_remaining remaining;

  if (now >= request->deadline)
    return true;
  if (pipeline == NULL)
    return false;
  /* The cast: the lookup may create the entry of a pool or model, which affects no decision. */
  remaining =
      decide_remaining_time ((struct decide *) decide, request, pipeline, request->stage + 1);
  return remaining.known && (double) now + remaining.low > (double) request->deadline;
}

void
decide_set_share (struct decide *decide, struct handle organisation, double share, int64_t now)
{
  struct decide_organisation *own = decide_organisation_get (decide, organisation);

  (void) now;
  if (own != NULL)
    own->limit.share = fmin (fmax (share, 0), 1);
}

double
decide_demand (const struct decide *decide, struct handle organisation, int64_t now)
{
  const struct decide_organisation *own;

  if (organisation.generation == 0 || organisation.index >= BOARD_ORGANISATIONS_MAX)
    return 0;
  own = decide->organisations[organisation.index];
  return own == NULL || own->generation != organisation.generation
             ? 0
             : limit_demand (&own->limit, now);
}
