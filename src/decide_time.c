/* What stages are expected to take, learned by pool, model and size. */
#include "decide_state.h"
#include <math.h>

#define UNKNOWN_MIDDLE                                                                             \
  (100.0 * USEC_PER_MSEC) /* to compare targets by, before anything is known                       \
                           */
#define EXTRA_WEIGHT 0.1  /* of a new sample of a stage's extra tokens */
#define SLOWNESS_WEIGHT 0.15
#define SLOWNESS_IGNORED 0.2 /* what chance makes */
#define SLOWNESS_HALF_LIFE (20.0 * USEC_PER_SEC)
#define TIMEOUTS_HALF_LIFE (10.0 * USEC_PER_SEC)
#define PATIENT_SHARE 0.25 /* of the targets */
#define PATIENCE 4
#define DRIFT_WEIGHT 0.1
#define DRIFT_IGNORED 0.4
#define DRIFT_HALF_LIFE (5.0 * USEC_PER_SEC)
#define LOG_DRIFT_MAX 2.5
#define TOKEN_SIZE 1 /* a token takes what it takes, however many there are */
#define SLOPE_RATE 2.0
#define SLOPE_MAX 8.0
#define SLOPE_MEAN_WEIGHT 0.02
#define REST_MAX 1.0         /* a sample far off is an accident, not a slope */
#define LOG_SLOWNESS_MAX 3.5 /* 33 times slower or faster */

static struct learn_span
span_times (struct learn_span span, double times)
{
  return (struct learn_span){ .low = span.low * times,
                              .middle = span.middle * times,
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
  struct decide_work work = { .first = { .middle = UNKNOWN_MIDDLE, .high = UNKNOWN_MIDDLE } };
  struct decide_pool *pool = decide_pool_get (decide, spec->pool);
  uint32_t generated = generated_tokens (request, spec);
  const struct decide_class *class;
  struct learn_span token;

  if (pool == NULL)
    return work;
  class = decide_class_get (pool, spec->model);
  work.first_slope = class->first_slope.slope;
  work.token_slope = class->token_slope.slope;
  work.known =
      learn_read (&class->first, tokens > cached_tokens ? tokens - cached_tokens : 0, &work.first);
  work.first = span_times (work.first, pool->drift);
  if (!work.known || generated == 0)
    return work;
  work.known = learn_read (&class->token, TOKEN_SIZE, &token);
  if (work.known)
    work.tokens = span_times (token, generated * pool->drift);
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

/* The least time counts nearly all as cached once anything was: a long document that is in a cache
 * takes hardly any time, and a request must not be cancelled that could still end. */
struct decide_rest
decide_rest_time (struct decide *decide,
                  const struct decide_request *request,
                  const struct board_pipeline *pipeline,
                  uint32_t stage)
{
  struct decide_rest rest = { .known = true };

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
      rest.low += low;
      rest.middle += decide_work_at (&work, pool == NULL ? 0 : decide_pool_fill (decide, pool));
      rest.known = rest.known && work.known;
    }
  return rest;
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
beyond (double log_ratio, double ignored)
{
  if (fabs (log_ratio) <= ignored)
    return 0;
  return log_ratio > 0 ? log_ratio - ignored : log_ratio + ignored;
}

static void
set_slowness (struct decide_target *target, double log_slowness)
{
  struct decide_pool *pool = target->pool;
  double mean;

  pool->log_slowness += log_slowness - target->log_slowness;
  target->log_slowness = log_slowness;
  mean = pool->log_slowness / pool->n_targets;
  target->slowness = exp (beyond (log_slowness - mean, SLOWNESS_IGNORED));
}

/* A target's slowness is relative to its pool: what all have in common belongs to the pool's
 * times, or the two would drift apart.  `ratio` is its time over the pool's. */
static void
learn_slowness (struct decide_target *target, double ratio)
{
  double sample = fmin (fmax (log (ratio), -LOG_SLOWNESS_MAX), LOG_SLOWNESS_MAX);

  set_slowness (target, target->log_slowness + SLOWNESS_WEIGHT * (sample - target->log_slowness));
}

void
decide_slowness_forget (struct decide_target *target)
{
  set_slowness (target, 0);
}

/* A target thought slow gets less work and so fewer samples to show that it is not: what is thought
 * of it fades. */
void
decide_slowness_fade (struct decide_target *target, int64_t span)
{
  set_slowness (target, target->log_slowness * exp2 (-(double) span / SLOWNESS_HALF_LIFE));
}

/* Only a drift beyond what chance makes counts; it fades with time, so that a pool thought too slow
 * for any work is tried again. */
void
decide_drift_refresh (struct decide_pool *pool, int64_t now)
{
  if (now > pool->drift_at)
    pool->log_drift *= exp2 (-(double) (now - pool->drift_at) / DRIFT_HALF_LIFE);
  pool->drift_at = now;
  pool->drift = exp (beyond (pool->log_drift, DRIFT_IGNORED));
}

/* A whole pool that turns slow shows in its next few answers; the times by size need hundreds.
 * The drift takes it up at once and gives it over to the times in the long run. */
static void
learn_drift (struct decide_pool *pool, double ratio, int64_t now)
{
  double rest = fmin (fmax (log (ratio), -REST_MAX), REST_MAX);

  decide_drift_refresh (pool, now);
  pool->log_drift += DRIFT_WEIGHT * rest;
  pool->log_drift = fmin (fmax (pool->log_drift, -LOG_DRIFT_MAX), LOG_DRIFT_MAX);
  pool->drift = exp (beyond (pool->log_drift, DRIFT_IGNORED));
}

static double
timeouts_now (const struct decide_pool *pool, int64_t now)
{
  return pool->timeouts * exp2 (-(double) (now - pool->timeouts_at) / TIMEOUTS_HALF_LIFE);
}

double
decide_patience (const struct decide_pool *pool, int64_t now)
{
  double share = pool->n_usable > 0 ? timeouts_now (pool, now) / pool->n_usable : 0;

  return share < PATIENT_SHARE ? 1 : PATIENCE;
}

/* An attempt that timed out took at least that long. */
void
decide_time_timed_out (struct decide_target *target,
                       const struct decide_result *result,
                       int64_t now)
{
  double expected = (double) (result->choice.expected - result->started);
  double took = (double) (result->ended - result->started);

  if (!target->timed_out)
    {
      target->pool->timeouts = timeouts_now (target->pool, now) + 1;
      target->pool->timeouts_at = now;
    }
  target->timed_out = true;
  if (expected > 0 && took > expected && result->choice.wait <= 0)
    learn_drift (target->pool, took / expected, now);
}

/* Take out of `span` what the target's other calls added, and teach the slope with the rest.  Only
 * the way the rest goes with the fill teaches the slope; its mean teaches the time. */
static double
learn_slope (struct decide_slope *slope, double fill, double span, double expected_alone)
{
  double factor = 1 + slope->slope * fill;

  if (expected_alone > 0 && span > 0)
    {
      double rest = log (span / (expected_alone * factor));

      rest = fmin (fmax (rest, -REST_MAX), REST_MAX);
      slope->slope += SLOPE_RATE * rest * (fill - slope->mean_fill);
      slope->slope = fmin (fmax (slope->slope, 0), SLOPE_MAX);
      slope->mean_fill += SLOPE_MEAN_WEIGHT * (fill - slope->mean_fill);
    }
  return span / factor;
}

/* A time on this target: teaches the pool's times, without the target's slowness.  Returns the time
 * over the pool's; 0 when that is not known. */
static double
learn_part (struct decide *decide,
            struct learn_sizes *times,
            struct decide_slope *slope,
            uint32_t tokens,
            double span,
            const struct decide_target *target,
            double fill)
{
  struct learn_span known = { .middle = 0 };
  double normal = span / target->slowness / target->pool->drift;
  double alone;

  learn_read (times, tokens, &known);
  alone = learn_slope (slope, fill, normal, known.middle);
  learn_record (times, decide, tokens, alone);
  return known.middle > 0 ? alone * target->slowness / known.middle : 0;
}

/* What the attempt took is split into waiting, as was expected, the target's slowness, what its
 * other calls added, and the pool's times, which learn what is left. */
void
decide_time_learn (struct decide *decide,
                   const struct decide_request *request,
                   const struct stage_spec *spec,
                   struct decide_target *target,
                   const struct decide_result *result)
{
  struct decide_class *class = decide_class_get (target->pool, spec->model);
  double expected = (double) (result->choice.expected - result->started);
  double took = (double) (result->ended - result->started);
  bool generates = spec->kind == STAGE_GENERATE && result->first_data > 0;
  double first = generates ? (double) (result->first_data - result->started) : took;
  uint32_t uncached = result->input_tokens > result->cached_tokens
                          ? result->input_tokens - result->cached_tokens
                          : 1;
  double fill = result->choice.fill;
  struct learn_span known;
  bool was_known = learn_read (&class->first, uncached, &known);
  double ratio = 0;

  learn_tokens (decide, request, result->input_tokens, result->cached_tokens);
  /* A call that waited says little of the time to the first output. */
  if (result->choice.wait <= 0 || !was_known)
    ratio = learn_part (decide, &class->first, &class->first_slope, uncached, first, target, fill);
  /* Tokens come one like the other, and whatever was cached: they say most of the target. */
  if (generates && result->output_tokens > 0)
    ratio = learn_part (decide, &class->token, &class->token_slope, TOKEN_SIZE,
                        (took - first) / result->output_tokens, target, fill);
  if (ratio > 0)
    learn_slowness (target, ratio);
  if (was_known && expected > 0 && took > 0 && result->choice.wait <= 0)
    learn_drift (target->pool, took / expected, result->ended);
}
