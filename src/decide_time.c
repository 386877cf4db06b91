/* Expected times of stages, learned by pool, model and number of tokens. */
#include "decide_state.h"
#include <math.h>

#define DEFAULT_FIRST_OUTPUT_US                                                                    \
  (100.0 * USEC_PER_MSEC)      /* to compare targets before a time is learned */
#define EXTRA_WEIGHT 0.1       /* of a new sample of a stage's extra tokens */
#define SLOWNESS_WEIGHT 0.15   /* of a new sample */
#define SLOWNESS_DEAD_BAND 0.2 /* log ratio within random variation */
#define SLOWNESS_HALF_LIFE (20.0 * USEC_PER_SEC)
#define TIMEOUTS_HALF_LIFE (10.0 * USEC_PER_SEC)
#define SLOW_POOL_TIMEOUT_SHARE 0.25 /* of the targets timing out: from there, longer timeouts */
#define SLOW_POOL_TIMEOUT_FACTOR 4   /* factor on the timeouts */
#define DRIFT_WEIGHT 0.1             /* of a new sample */
#define DRIFT_DEAD_BAND 0.4          /* log ratio within random variation */
#define DRIFT_HALF_LIFE (5.0 * USEC_PER_SEC)
#define LOG_DRIFT_MAX 2.5
#define TOKEN_SIZE 1 /* the time per token does not depend on their number */
#define SLOPE_RATE 2.0
#define SLOPE_MAX 8.0
#define SLOPE_MEAN_WEIGHT 0.02
#define LOG_RESIDUAL_MAX 1.0 /* bound on a sample's log residual: a larger one is an outlier */
#define LOG_SLOWNESS_MAX 3.5 /* 33 times slower or faster */

static struct learn_quantiles
scale_quantiles (struct learn_quantiles span, double times)
{
  return (struct learn_quantiles){ .low = span.low * times,
                                   .median = span.median * times,
                                   .high = span.high * times };
}

static uint32_t
generated_tokens (const struct decide_request *request, const struct stage_spec *spec)
{
  uint32_t tokens = request->output_tokens;

  if (spec->kind != STAGE_GENERATE)
    return 0;
  if (spec->max_tokens > 0 && (tokens == 0 || tokens > spec->max_tokens))
    tokens = spec->max_tokens;
  return tokens;
}

struct decide_work
decide_stage_time (struct decide *decide,
                   const struct decide_request *request,
                   const struct stage_spec *spec,
                   uint32_t tokens,
                   uint32_t cached_tokens)
{
  struct decide_work work = { .first = { .median = DEFAULT_FIRST_OUTPUT_US,
                                         .high = DEFAULT_FIRST_OUTPUT_US } };
  struct decide_pool *pool = decide_pool_get (decide, spec->pool);
  uint32_t generated = generated_tokens (request, spec);
  const struct decide_model *model;
  struct learn_quantiles token;

  if (pool == NULL)
    return work;
  model = decide_model_get (pool, spec->model);
  work.first_slope = model->first_slope.slope;
  work.token_slope = model->token_slope.slope;
  work.known =
      learn_read (&model->first, tokens > cached_tokens ? tokens - cached_tokens : 0, &work.first);
  work.first = scale_quantiles (work.first, pool->drift);
  if (!work.known || generated == 0)
    return work;
  work.known = learn_read (&model->token, TOKEN_SIZE, &token);
  if (work.known)
    work.tokens = scale_quantiles (token, generated * pool->drift);
  return work;
}

uint32_t
decide_stage_tokens (struct decide *decide, const struct decide_request *request, uint32_t stage)
{
  const struct decide_pipeline *pipeline = decide_pipeline_get (decide, request->pipeline);
  double tokens = request->input_tokens;

  if (pipeline != NULL && stage < RESOURCE_STAGES_MAX && pipeline->stages[stage].known)
    tokens += pipeline->stages[stage].extra_tokens;
  return tokens < 1 ? 1 : (uint32_t) tokens;
}

static double
cached_share (struct decide *decide, const struct decide_request *request, uint32_t stage)
{
  const struct decide_pipeline *pipeline = decide_pipeline_get (decide, request->pipeline);

  return pipeline != NULL && stage < RESOURCE_STAGES_MAX ? pipeline->stages[stage].cached_share : 0;
}

uint32_t
decide_stage_cached (struct decide *decide,
                     const struct decide_request *request,
                     uint32_t stage,
                     uint32_t tokens)
{
  return (uint32_t) (cached_share (decide, request, stage) * tokens);
}

/* `low` leaves out the time to the first output when any tokens are expected to be cached: a long
 * document that is cached takes hardly any time, and a request that could still meet its deadline
 * must not be cancelled. */
struct decide_remaining
decide_remaining_time (struct decide *decide,
                       const struct decide_request *request,
                       const struct board_pipeline *pipeline,
                       uint32_t stage)
{
  struct decide_remaining remaining = { .known = true };

  for (; stage < pipeline->spec.n_stages; stage++)
    {
      const struct stage_spec *spec = &pipeline->spec.stages[stage];
      struct decide_pool *pool = decide_pool_get (decide, spec->pool);
      uint32_t tokens = decide_stage_tokens (decide, request, stage);
      uint32_t cached = decide_stage_cached (decide, request, stage, tokens);
      struct decide_work work = decide_stage_time (decide, request, spec, tokens, cached);
      double low = decide_work_low (&work);

      if (cached > 0)
        low = work.tokens.low;
      remaining.low += low;
      remaining.expected +=
          decide_work_at (&work, pool == NULL ? 0 : decide_pool_fill (decide, pool));
      remaining.known = remaining.known && work.known;
    }
  return remaining;
}

static void
learn_tokens (struct decide *decide,
              const struct decide_request *request,
              uint32_t tokens,
              uint32_t cached)
{
  struct decide_pipeline *pipeline = decide_pipeline_get (decide, request->pipeline);
  double extra = (double) tokens - request->input_tokens;
  struct decide_stage *stage;

  if (pipeline == NULL || request->stage >= RESOURCE_STAGES_MAX)
    return;
  stage = &pipeline->stages[request->stage];
  if (!stage->known)
    stage->extra_tokens = extra;
  stage->cached_share += ((double) cached / fmax (tokens, 1) - stage->cached_share) * EXTRA_WEIGHT;
  stage->known = true;
  stage->extra_tokens += (extra - stage->extra_tokens) * EXTRA_WEIGHT;
}

static double
apply_dead_band (double log_ratio, double dead_band)
{
  if (fabs (log_ratio) <= dead_band)
    return 0;
  return log_ratio > 0 ? log_ratio - dead_band : log_ratio + dead_band;
}

static void
set_slowness (struct decide_target *target, double log_slowness)
{
  struct decide_pool *pool = target->pool;
  double mean;

  pool->log_slowness += log_slowness - target->log_slowness;
  target->log_slowness = log_slowness;
  mean = pool->log_slowness / pool->n_targets;
  target->slowness = exp (apply_dead_band (log_slowness - mean, SLOWNESS_DEAD_BAND));
}

/* `ratio` is the target's time over the pool's.  Slowness is relative to the pool's mean: what all
 * targets have in common belongs to the pool's times, or the two estimates would diverge. */
static void
learn_slowness (struct decide_target *target, double ratio)
{
  double sample = fmin (fmax (log (ratio), -LOG_SLOWNESS_MAX), LOG_SLOWNESS_MAX);

  set_slowness (target, target->log_slowness + SLOWNESS_WEIGHT * (sample - target->log_slowness));
}

void
decide_slowness_reset (struct decide_target *target)
{
  set_slowness (target, 0);
}

/* Decays the slowness: a target that is estimated slow gets less work, and so too few samples to
 * correct the estimate. */
void
decide_slowness_decay (struct decide_target *target, int64_t span)
{
  set_slowness (target, target->log_slowness * exp2 (-(double) span / SLOWNESS_HALF_LIFE));
}

/* Ignores a drift within random variation.  The drift decays with time, so that a pool estimated
 * too slow for any request is tried again. */
void
decide_drift_update (struct decide_pool *pool, int64_t now)
{
  if (now > pool->drift_at)
    pool->log_drift *= exp2 (-(double) (now - pool->drift_at) / DRIFT_HALF_LIFE);
  pool->drift_at = now;
  pool->drift = exp (apply_dead_band (pool->log_drift, DRIFT_DEAD_BAND));
}

/* When a whole pool slows down, its next few answers show it, but the times by size need hundreds
 * of samples.  The drift follows at once; as it decays, the learned times take over the change. */
static void
learn_drift (struct decide_pool *pool, double ratio, int64_t now)
{
  double residual = fmin (fmax (log (ratio), -LOG_RESIDUAL_MAX), LOG_RESIDUAL_MAX);

  decide_drift_update (pool, now);
  pool->log_drift += DRIFT_WEIGHT * residual;
  pool->log_drift = fmin (fmax (pool->log_drift, -LOG_DRIFT_MAX), LOG_DRIFT_MAX);
  pool->drift = exp (apply_dead_band (pool->log_drift, DRIFT_DEAD_BAND));
}

static double
decayed_timeouts (const struct decide_pool *pool, int64_t now)
{
  return pool->recent_timeouts * exp2 (-(double) (now - pool->timeouts_at) / TIMEOUTS_HALF_LIFE);
}

double
decide_timeout_factor (const struct decide_pool *pool, int64_t now)
{
  double share = pool->n_usable > 0 ? decayed_timeouts (pool, now) / pool->n_usable : 0;

  return share < SLOW_POOL_TIMEOUT_SHARE ? 1 : SLOW_POOL_TIMEOUT_FACTOR;
}

/* The time of an attempt that timed out is a lower bound, used as a sample of the drift. */
void
decide_learn_timeout (struct decide_target *target, const struct decide_result *result, int64_t now)
{
  double expected = (double) (result->choice.expected_at - result->started);
  double took = (double) (result->ended - result->started);

  if (!target->timed_out)
    {
      target->pool->recent_timeouts = decayed_timeouts (target->pool, now) + 1;
      target->pool->timeouts_at = now;
    }
  target->timed_out = true;
  if (result->choice.known && expected > 0 && took > expected && result->choice.wait <= 0)
    learn_drift (target->pool, took / expected, now);
}

/* Updates the slope and returns `span` without what the target's other calls added.  Only the
 * correlation of the residual with the fill changes the slope; the mean of the residual belongs to
 * the learned time. */
static double
learn_slope (struct decide_slope *slope, double fill, double span, double expected_alone)
{
  double factor = 1 + slope->slope * fill;

  if (expected_alone > 0 && span > 0)
    {
      double residual = log (span / (expected_alone * factor));

      residual = fmin (fmax (residual, -LOG_RESIDUAL_MAX), LOG_RESIDUAL_MAX);
      slope->slope += SLOPE_RATE * residual * (fill - slope->mean_fill);
      slope->slope = fmin (fmax (slope->slope, 0), SLOPE_MAX);
      slope->mean_fill += SLOPE_MEAN_WEIGHT * (fill - slope->mean_fill);
    }
  return span / factor;
}

/* Records a time on this target in the pool's times, after dividing by the target's slowness and
 * the pool's drift.  Returns its ratio to the pool's time; 0 when that is unknown. */
static double
learn_time (struct decide *decide,
            struct learn_sizes *times,
            struct decide_slope *slope,
            uint32_t tokens,
            double span,
            const struct decide_target *target,
            double fill)
{
  struct learn_quantiles known = { .median = 0 };
  double normal = span / target->slowness / target->pool->drift;
  double alone;

  learn_read (times, tokens, &known);
  alone = learn_slope (slope, fill, normal, known.median);
  learn_record (times, decide, tokens, alone);
  return known.median > 0 ? alone * target->slowness / known.median : 0;
}

/* Splits the attempt's time into the expected queueing delay, the target's slowness, the effect of
 * the target's other calls, and the remainder, a sample of the pool's times. */
void
decide_learn_attempt (struct decide *decide,
                      const struct decide_request *request,
                      const struct stage_spec *spec,
                      struct decide_target *target,
                      const struct decide_result *result)
{
  struct decide_model *model = decide_model_get (target->pool, spec->model);
  double expected = (double) (result->choice.expected_at - result->started);
  double took = (double) (result->ended - result->started);
  bool generates = spec->kind == STAGE_GENERATE && result->first_data > 0;
  double first = generates ? (double) (result->first_data - result->started) : took;
  uint32_t uncached = result->input_tokens > result->cached_tokens
                          ? result->input_tokens - result->cached_tokens
                          : 1;
  double fill = result->choice.fill;
  struct learn_quantiles known;
  bool was_known = learn_read (&model->first, uncached, &known);
  double ratio = 0;

  learn_tokens (decide, request, result->input_tokens, result->cached_tokens);
  /* The time to the first output of a queued call includes an unknown wait. */
  if (result->choice.wait <= 0 || !was_known)
    ratio = learn_time (decide, &model->first, &model->first_slope, uncached, first, target, fill);
  /* The time per token varies little and does not depend on caching, so it is the best measure of
   * the target's slowness. */
  if (generates && result->output_tokens > 0)
    ratio = learn_time (decide, &model->token, &model->token_slope, TOKEN_SIZE,
                        (took - first) / result->output_tokens, target, fill);
  if (ratio > 0)
    learn_slowness (target, ratio);
  /* Calls chosen before a time was learned had an assumed one: their ratio to it is no drift, and
   * as many as run at the start of a slow pool would have new requests refused for seconds. */
  if (result->choice.known && expected > 0 && took > 0 && result->choice.wait <= 0)
    learn_drift (target->pool, took / expected, result->ended);
}
