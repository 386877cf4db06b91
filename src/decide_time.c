/* What stages are expected to take, learned by pool, model and size. */
#include "decide_state.h"
#include <math.h>

#define UNKNOWN_MIDDLE                                                                             \
  (100.0 * USEC_PER_MSEC) /* to compare targets by, before anything is known                       \
                           */
#define EXTRA_WEIGHT 0.1  /* of a new sample of a stage's extra tokens */
#define SLOWNESS_WEIGHT 0.15
#define LOG_SLOWNESS_MAX 3.5 /* 33 times slower or faster */

static struct learn_span
span_add (struct learn_span a, struct learn_span b, double times)
{
  return (struct learn_span){ .low = a.low + b.low * times,
                              .middle = a.middle + b.middle * times,
                              .high = a.high + b.high * times };
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
  struct decide_work work = { .span = { .middle = UNKNOWN_MIDDLE, .high = UNKNOWN_MIDDLE } };
  struct decide_pool *pool = decide_pool_get (decide, spec->pool);
  uint32_t generated = generated_tokens (request, spec);
  const struct decide_class *class;
  struct learn_span first;
  struct learn_span token;

  if (pool == NULL)
    return work;
  class = decide_class_get (pool, spec->model);
  if (!learn_read (&class->first, tokens > cached_tokens ? tokens - cached_tokens : 0, &first))
    return work;
  work.span = first;
  work.known = true;
  if (generated == 0)
    return work;
  work.known = learn_read (&class->token, generated, &token);
  if (work.known)
    work.span = span_add (first, token, generated);
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

struct decide_work
decide_rest_time (struct decide *decide,
                  const struct decide_request *request,
                  const struct board_pipeline *pipeline,
                  uint32_t stage)
{
  struct decide_work rest = { .known = true };

  for (; stage < pipeline->spec.n_stages; stage++)
    {
      uint32_t tokens = decide_stage_tokens (decide, request, stage);
      struct decide_work work =
          decide_stage_time (decide, request, &pipeline->spec.stages[stage], tokens, 0);

      rest.span = span_add (rest.span, work.span, 1);
      rest.known = rest.known && work.known;
    }
  return rest;
}

static void
learn_tokens (struct decide *decide, const struct decide_request *request, uint32_t tokens)
{
  struct decide_pipeline *pipeline = decide_pipeline_get (decide, request->pipeline);
  double extra = (double) tokens - request->input_tokens;
  struct decide_stage *stage;

  if (pipeline == NULL || request->stage >= RESOURCE_STAGES_MAX)
    return;
  stage = &pipeline->stages[request->stage];
  if (!stage->known)
    stage->extra_tokens = extra;
  stage->known = true;
  stage->extra_tokens += (extra - stage->extra_tokens) * EXTRA_WEIGHT;
}

/* A target's slowness is relative to its pool: what all have in common belongs to the pool's
 * times, or the two would drift apart. */
static void
learn_slowness (struct decide_target *target, double ratio)
{
  struct decide_pool *pool = target->pool;
  double before = target->log_slowness;
  double after = before + SLOWNESS_WEIGHT * log (ratio);

  after = fmin (fmax (after, -LOG_SLOWNESS_MAX), LOG_SLOWNESS_MAX);
  target->log_slowness = after;
  pool->log_slowness += after - before;
}

double
decide_target_slowness (const struct decide_target *target)
{
  double mean = target->pool->log_slowness / target->pool->n_targets;

  return exp (target->log_slowness - mean);
}

/* What the attempt took over what was expected, split into what its target's queue and slowness
 * explain (the expected time over the work), which is taken out, and the rest, which the target's
 * slowness and the pool's times learn. */
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
  double service = result->choice.work * USEC_PER_SEC;
  bool generates = spec->kind == STAGE_GENERATE && result->first_data > 0;
  double first = generates ? (double) (result->first_data - result->started) : took;
  double crowding = 1;
  struct learn_span known;
  uint32_t uncached = result->input_tokens > result->cached_tokens
                          ? result->input_tokens - result->cached_tokens
                          : 1;

  learn_tokens (decide, request, result->input_tokens);
  if (learn_read (&class->first, uncached, &known) && service > 0 && expected > 0 && took > 0)
    {
      crowding = expected / service;
      learn_slowness (target, took / expected);
    }
  learn_record (&class->first, decide, uncached, first / crowding);
  if (generates && result->output_tokens > 0)
    learn_record (&class->token, decide, result->output_tokens,
                  (took - first) / result->output_tokens / crowding);
}
