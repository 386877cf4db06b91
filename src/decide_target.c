/* Choice of a target: the earliest expected finish among a few random candidates.
 *
 * Two random choices instead of one make the longest queue exponentially shorter (Mitzenmacher,
 * "The power of two choices in randomized load balancing", 2001).  Sampling also prevents herding:
 * hosts that see the same old reports don't all choose the target that looks idle. */
#include "decide_state.h"
#include <math.h>
#include <string.h>

#define SAMPLES 2
#define RETRY_SAMPLES 16
#define DRAWS_MAX 16            /* random draws before the pool is scanned */
#define OTHER_DOMAIN_FACTOR 0.5 /* factor on the score of a retry in another failure domain */
/* Additional weight of the prefill time for the cost objective: a prefill also evicts another
 * prompt from the cache.
 * XXX: on the bkk trace the cost is 13% below that of the least-reported-load policy, not 15%. */
#define PREFILL_WEIGHT 3
#define SLOW_START (5 * USEC_PER_SEC)
#define SLOW_START_FACTOR 4.0 /* factor on a new target's score, falling to 1 during SLOW_START */
#define LOAD_BOUND 1.5
#define LOAD_BOUND_EXTRA 2
#define TIMEOUT_FACTOR 3.0     /* of the expected high time: an attempt's timeout */
#define TIMEOUT_FACTOR_MIN 1.5 /* of the same: no timeout when less time is left */
#define TIMEOUT_MIN (250.0 * USEC_PER_MSEC)

struct candidate
{
  struct decide_target *target;
  const struct board_target *entry;
  uint32_t cached; /* tokens of the prompt expected in its cache */
  struct decide_work work;
  double fill;     /* share of its slots in use, with this call */
  double wait;     /* queueing delay, microseconds */
  double expected; /* time to the end, microseconds */
  double score;
};

struct search
{
  struct decide *decide;
  struct decide_pool *pool;
  const struct stage_spec *spec;
  const struct decide_request *request;
  const struct handle *tried;
  uint32_t n_tried;
  uint32_t tokens;
  enum objective objective;
  struct decide_work work; /* without cached tokens */
  double hosts;
  int64_t now;
};

static bool
has_name (const char names[][RESOURCE_NAME_SIZE], uint32_t count, const char *name)
{
  uint32_t i;

  for (i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return false;
}

static bool
serves_stage (const struct board_target *entry, const struct stage_spec *spec)
{
  if (spec->model[0] != '\0' && !has_name (entry->models, entry->n_models, spec->model))
    return false;
  return spec->adapter[0] == '\0' || has_name (entry->adapters, entry->n_adapters, spec->adapter);
}

static bool
was_tried (const struct search *search, struct handle handle)
{
  uint32_t i;

  for (i = 0; i < search->n_tried; i++)
    if (handle_equal (search->tried[i], handle))
      return true;
  return false;
}

static bool
same_domain_tried (const struct search *search, const struct board_target *entry)
{
  uint32_t i;

  for (i = 0; i < search->n_tried; i++)
    {
      const struct board_target *tried =
          table_get (search->decide->board->targets, search->tried[i]);

      if (tried != NULL && strcmp (tried->domain, entry->domain) == 0)
        return true;
    }
  return false;
}

/* Number of calls of other hosts on the target: the reported calls minus ours.  As the report ages
 * the weight moves to an estimate: each other host has as many attempts in the pool as this one,
 * spread evenly over its targets. */
static double
other_hosts_calls (const struct search *search, const struct candidate *candidate)
{
  double fresh = decide_report_weight (&candidate->entry->report, search->now);
  double reported = (double) candidate->entry->report.running + candidate->entry->report.waiting;
  double beyond = fmax (0, reported - candidate->target->in_flight);
  double estimated = search->pool->running * (search->hosts - 1) / search->pool->n_targets;

  return fresh * beyond + (1 - fresh) * estimated;
}

static void
estimate (const struct search *search, struct candidate *candidate)
{
  const struct decide_target *target = candidate->target;
  double slots = decide_target_slots (search->decide, target);
  double load = target->in_flight + other_hosts_calls (search, candidate);
  double alone = decide_work_alone (&candidate->work);
  double mean = target->in_flight > 0 ? target->work / target->in_flight * USEC_PER_SEC : alone;
  int64_t age = search->now - target->added_at;

  candidate->fill = fmin ((load + 1) / slots, 1);
  /* Each call that ends frees a slot: the n-th in the queue waits for n calls to end. */
  candidate->wait = load < slots ? 0 : (load - slots + 1) * mean / slots;
  candidate->wait *= 1 + candidate->work.token_slope;
  candidate->expected =
      target->slowness * (decide_work_at (&candidate->work, candidate->fill) + candidate->wait);
  candidate->score = candidate->expected;
  if (search->objective == OBJECTIVE_COST)
    candidate->score += PREFILL_WEIGHT * candidate->work.first.median
                        * (1 + candidate->work.first_slope * candidate->fill);
  if (age < SLOW_START)
    candidate->score *= 1 + (SLOW_START_FACTOR - 1) * (1 - (double) age / SLOW_START);
  if (search->n_tried > 0 && !same_domain_tried (search, candidate->entry))
    candidate->score *= OTHER_DOMAIN_FACTOR;
}

/* True, and `out` set, when the target may be chosen. */
static bool
is_candidate (const struct search *search, struct decide_target *target, struct candidate *out)
{
  const struct board_target *entry = table_get (search->decide->board->targets, target->handle);

  if (entry == NULL || !board_target_is_usable (entry, search->now))
    return false;
  if (eject_state (&target->eject, search->now) == EJECT_EJECTED)
    return false;
  if (!serves_stage (entry, search->spec) || was_tried (search, target->handle))
    return false;
  *out = (struct candidate){ .target = target, .entry = entry, .work = search->work };
  estimate (search, out);
  return true;
}

static void
keep_better (struct candidate *best, const struct candidate *other)
{
  if (best->target == NULL || other->score < best->score)
    *best = *other;
}

/* Scans the pool from a random position until `enough` candidates were found. */
static void
scan_pool (struct search *search, uint32_t enough, struct candidate *best)
{
  uint32_t n = search->pool->n_targets;
  uint32_t start = (uint32_t) rng_below (&search->decide->rng, n);
  uint32_t found = 0;
  uint32_t i;

  for (i = 0; i < n && found < enough; i++)
    {
      struct candidate candidate;

      if (!is_candidate (search, search->pool->targets[(start + i) % n], &candidate))
        continue;
      keep_better (best, &candidate);
      found++;
    }
}

/* Draws candidates at random, without repetition. */
static void
sample_pool (struct search *search, struct candidate *best)
{
  uint32_t places[SAMPLES];
  uint32_t found = 0;
  uint32_t draws;

  for (draws = 0; draws < DRAWS_MAX && found < SAMPLES; draws++)
    {
      uint32_t place = (uint32_t) rng_below (&search->decide->rng, search->pool->n_targets);
      struct candidate candidate;
      uint32_t i;

      for (i = 0; i < found && places[i] != place; i++)
        continue;
      if (i < found || !is_candidate (search, search->pool->targets[place], &candidate))
        continue;
      keep_better (best, &candidate);
      places[found++] = place;
    }
  /* The pool is small, or most of it is unusable: scan it. */
  if (found < SAMPLES)
    scan_pool (search, SAMPLES, best);
}

/* True when the target has more than LOAD_BOUND times its even share of our attempts, plus
 * LOAD_BOUND_EXTRA: a popular prefix must not overload the target that has it cached (Mirrokni et
 * al., "Consistent hashing with bounded loads", 2018). */
static bool
is_over_bound (const struct search *search, const struct decide_target *target)
{
  double even = (double) search->pool->running / search->pool->n_targets;

  return target->in_flight > LOAD_BOUND * even + LOAD_BOUND_EXTRA;
}

/* Evaluates the targets that have part of the prompt cached, by the time for the remaining part. */
static void
evaluate_holders (struct search *search, struct candidate *best)
{
  const struct decide_request *request = search->request;
  struct prefix_holder holders[PREFIX_HOLDERS];
  uint32_t count = 0;
  uint32_t i;

  if (search->spec->kind == STAGE_GENERATE)
    count = prefix_find (search->decide->prefixes, request->prefix, request->n_prefix, search->now,
                         holders);
  for (i = 0; i < count; i++)
    {
      const struct board_target *entry =
          table_get (search->decide->board->targets, holders[i].target);
      struct candidate candidate;

      if (entry == NULL || entry->decide == NULL || entry->decide->pool != search->pool
          || !is_candidate (search, entry->decide, &candidate)
          || is_over_bound (search, entry->decide))
        continue;
      candidate.cached =
          decide_prefix_tokens (search->pool, request, holders[i].blocks, search->tokens);
      candidate.work = decide_stage_time (search->decide, request, search->spec, search->tokens,
                                          candidate.cached);
      estimate (search, &candidate);
      keep_better (best, &candidate);
    }
}

static void
search_pool (struct search *search, struct candidate *best)
{
  /* A retry has lost time already, so more targets are scanned to find another failure domain. */
  if (search->n_tried > 0)
    scan_pool (search, RETRY_SAMPLES, best);
  else
    sample_pool (search, best);
  evaluate_holders (search, best);
}

/* Timeout of an attempt, so that one that hangs ends while another can still meet the deadline:
 * TIMEOUT_FACTOR `span`, a time that nearly all attempts stay under; at the latest when the time
 * left just suffices for the stages from this one on.  USEC_NEVER when no other attempt is allowed
 * or could end in time. */
static int64_t
attempt_timeout_at (const struct search *search, const struct board_pipeline *pipeline, double span)
{
  const struct decide_request *request = search->request;
  struct decide_remaining remaining;
  double latest;

  if (!request->repeatable || search->n_tried + 1 >= pipeline->spec.max_attempts)
    return USEC_NEVER;
  remaining = decide_remaining_time (search->decide, request, pipeline, request->stage);
  latest = (double) (request->deadline - search->now) - remaining.expected;
  span = fmax (span, TIMEOUT_MIN);
  if (span * TIMEOUT_FACTOR <= latest)
    return search->now + (int64_t) (span * TIMEOUT_FACTOR);
  return span * TIMEOUT_FACTOR_MIN <= latest ? search->now + (int64_t) latest : USEC_NEVER;
}

/* Sets the attempt's timeouts.  While its time is unknown: half of the time left, so that another
 * attempt is possible after a hang. */
static void
set_timeouts (const struct search *search,
              const struct board_pipeline *pipeline,
              const struct candidate *best,
              struct decide_choice *out)
{
  /* For an uncached prompt: the cached prefix may have been evicted, which is not a hang. */
  const struct decide_work *work = &search->work;
  double slowness =
      fmax (1, best->target->slowness) * decide_timeout_factor (search->pool, search->now);
  double first = work->first.high * (1 + work->first_slope * best->fill);
  double half = (double) (search->request->deadline - search->now) / 2;

  if (!work->known)
    {
      out->first_output_by = attempt_timeout_at (search, pipeline, half / TIMEOUT_FACTOR);
      return;
    }
  out->first_output_by = attempt_timeout_at (search, pipeline, (first + best->wait) * slowness);
  if (work->tokens.median <= 0)
    out->timeout_at = out->first_output_by;
  else
    out->timeout_at = attempt_timeout_at (
        search, pipeline, (decide_work_high_at (work, best->fill) + best->wait) * slowness);
}

static void
fill_choice (const struct search *search,
             const struct board_pipeline *pipeline,
             const struct candidate *best,
             struct decide_choice *out)
{
  bool hedges = search->request->repeatable && pipeline->spec.hedge_share > 0 && best->work.known;

  *out = (struct decide_choice){ .target = best->target->handle,
                                 .expected_at = search->now + (int64_t) best->expected,
                                 .first_output_by = USEC_NEVER,
                                 .timeout_at = USEC_NEVER,
                                 .hedge_at = USEC_NEVER,
                                 .prefix_tokens = best->cached,
                                 .work = decide_work_alone (&best->work) / USEC_PER_SEC,
                                 .fill = best->fill,
                                 .wait = best->wait,
                                 .known = best->work.known };
  set_timeouts (search, pipeline, best, out);
  if (hedges)
    out->hedge_at =
        search->now
        + (int64_t) fmax (best->expected, decide_work_high_at (&best->work, best->fill));
}

enum decide_reason
decide_choose (struct decide *decide,
               const struct decide_request *request,
               uint32_t stage_tokens,
               const struct handle *tried,
               uint32_t n_tried,
               int64_t now,
               struct decide_choice *out)
{
  const struct board_pipeline *pipeline = table_get (decide->board->pipelines, request->pipeline);
  const struct stage_spec *spec = decide_stage_spec (decide, request);
  struct candidate best = { .target = NULL };
  struct search search;

  if (pipeline == NULL || spec == NULL)
    return DECIDE_NO_TARGET;
  decide_hosts_refresh (decide, now);
  search = (struct search){ .decide = decide,
                            .pool = decide_pool_get (decide, spec->pool),
                            .spec = spec,
                            .request = request,
                            .tried = tried,
                            .n_tried = n_tried,
                            .tokens = stage_tokens,
                            .objective = pipeline->spec.objective,
                            .hosts = decide_hosts (decide),
                            .now = now };
  if (search.pool == NULL || search.pool->n_targets == 0)
    return DECIDE_NO_TARGET;
  search.work = decide_stage_time (decide, request, spec, stage_tokens, 0);
  search_pool (&search, &best);
  if (best.target == NULL)
    return DECIDE_NO_TARGET;
  if (best.work.known && now + (int64_t) decide_work_low (&best.work) >= request->deadline)
    return DECIDE_WINDOW;
  fill_choice (&search, pipeline, &best, out);
  return DECIDE_ADMITTED;
}
