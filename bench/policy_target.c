/* A simulated target: slots, a priority queue, and a prefix cache keyed by document. */
#include "policy.h"
#include "service_time.h"
#include <string.h>
#include <talloc.h>
#include <utlist.h>
#include <xxhash.h>

#define CACHE_EVENT_LOST 10 /* one in this many cache events is lost */

static void advance (struct timer *timer, int64_t now);

static const struct timer_ops advance_ops = { .fire = advance };

static void
arm (struct policy_attempt *attempt, int64_t due)
{
  attempt->done.ops = &advance_ops;
  timer_arm (attempt->target->run->timers, &attempt->done, due);
}

static bool
is_unresponsive (const struct policy_target *target, int64_t now)
{
  return target->hangs || target->lost_at <= now;
}

uint64_t
policy_block_hash (uint32_t document, uint32_t request, uint32_t index)
{
  uint32_t key[3] = { document, request, index };

  return XXH3_64bits (key, sizeof key);
}

/* Sends the events to all hosts at once; only their loss is modelled here, their delay is that of
 * the store. */
static void
publish (struct policy_target *target, const struct policy_cached *cached, bool stored, int64_t now)
{
  struct policy_run *run = target->run;
  uint32_t blocks = cached->tokens / DECIDE_BLOCK_TOKENS;
  uint32_t h;
  uint32_t i;

  if (run->config.arm != POLICY_OURS || rng_below (&run->rng, CACHE_EVENT_LOST) == 0)
    return;
  if (blocks > DECIDE_PREFIX_BLOCKS)
    blocks = DECIDE_PREFIX_BLOCKS;
  for (h = 0; h < run->config.hosts; h++)
    for (i = 0; i < blocks; i++)
      decide_cache_event (run->hosts[h].decide, target->handle,
                          policy_block_hash (cached->document, 0, i), stored, now);
}

static void
drop_oldest (struct policy_target *target, int64_t now)
{
  struct policy_cached *oldest = target->cache;

  INVARIANT (oldest != NULL);
  publish (target, oldest, false, now);
  DL_DELETE (target->cache, oldest);
  target->cached_tokens -= oldest->tokens;
  talloc_free (oldest);
}

void
policy_target_clear_cache (struct policy_target *target, int64_t now)
{
  while (target->cache != NULL)
    drop_oldest (target, now);
}

static struct policy_cached *
find_cached (struct policy_target *target, uint32_t document)
{
  struct policy_cached *cached;

  DL_FOREACH (target->cache, cached)
    if (cached->document == document)
      return cached;
  return NULL;
}

/* Returns the cached tokens of the prompt and marks the document most recently used. */
static uint32_t
match_cache (struct policy_target *target, const struct trace_request *trace)
{
  struct policy_cached *cached = find_cached (target, trace->document);

  if (trace->document == 0 || cached == NULL)
    return 0;
  DL_DELETE (target->cache, cached);
  DL_APPEND (target->cache, cached);
  return cached->tokens;
}

static void
store_cache (struct policy_target *target, const struct trace_request *trace, int64_t now)
{
  uint32_t tokens = trace->prefix_tokens - trace->prefix_tokens % DECIDE_BLOCK_TOKENS;
  struct policy_cached *cached;

  if (trace->document == 0 || tokens == 0 || tokens > target->cache_size
      || find_cached (target, trace->document) != NULL)
    return;
  while (target->cache != NULL && target->cached_tokens + tokens > target->cache_size)
    drop_oldest (target, now);
  cached = talloc_zero (target->run, struct policy_cached);
  cached->document = trace->document;
  cached->tokens = tokens;
  target->cached_tokens += tokens;
  DL_APPEND (target->cache, cached);
  publish (target, cached, true, now);
}

static void
begin (struct policy_target *target, struct policy_attempt *attempt, int64_t now)
{
  const struct stage_spec *spec =
      &target->run->specs[attempt->request->pipeline].stages[attempt->stage];
  struct service_load load;

  target->running++;
  load = (struct service_load){ .running = target->running, .slowdown = target->slowdown };
  attempt->state = ATTEMPT_PREFILL;
  attempt->begun_at = now;
  if (spec->kind == STAGE_GENERATE)
    {
      attempt->cached = match_cache (target, attempt->request->trace);
      target->run->result.cached_tokens += attempt->cached;
      target->run->result.prompt_tokens += attempt->tokens;
    }
  arm (attempt,
       now + service_time_first_output (spec->kind, attempt->tokens, attempt->cached, &load));
}

static void
begin_waiting (struct policy_target *target, int64_t now)
{
  while (target->queue != NULL && target->running < target->slots && !is_unresponsive (target, now))
    {
      struct policy_attempt *attempt = target->queue;

      DL_DELETE (target->queue, attempt);
      target->waiting--;
      begin (target, attempt, now);
    }
}

static void
enqueue (struct policy_target *target, struct policy_attempt *attempt, int64_t now)
{
  uint32_t priority = attempt->request->decide.priority;
  struct policy_attempt *at;

  attempt->state = ATTEMPT_WAITING;
  DL_FOREACH (target->queue, at)
    if (at->request->decide.priority < priority)
      break;
  if (at != NULL)
    DL_PREPEND_ELEM (target->queue, at, attempt);
  else
    DL_APPEND (target->queue, attempt);
  target->waiting++;
  begin_waiting (target, now);
}

static void
charge (struct policy_attempt *attempt, int64_t now)
{
  struct policy_target *target = attempt->target;
  struct policy_run *run = target->run;
  const struct site_pool *pool = &run->site->pools[target->pool];

  if (attempt->begun_at == 0)
    return;
  attempt->cost = (double) (now - attempt->begun_at) / USEC_PER_SEC * pool->cost_per_second;
  run->result.cost[pool->kind] += attempt->cost;
  attempt->request->cost += attempt->cost;
}

/* Releases the slot or the place in the queue. */
void
policy_target_release (struct policy_target *target, struct policy_attempt *attempt, int64_t now)
{
  timer_disarm (target->run->timers, &attempt->done);
  if (attempt->state == ATTEMPT_WAITING)
    {
      DL_DELETE (target->queue, attempt);
      target->waiting--;
    }
  else if (attempt->state == ATTEMPT_PREFILL || attempt->state == ATTEMPT_DECODE)
    {
      target->running--;
      charge (attempt, now);
    }
  attempt->state = ATTEMPT_OVER;
  begin_waiting (target, now);
}

static void
answer (struct policy_attempt *attempt, int64_t now)
{
  policy_target_release (attempt->target, attempt, now);
  attempt->state = ATTEMPT_ANSWERED;
  arm (attempt, now + POLICY_HOP_USEC);
}

static void
first_output (struct policy_attempt *attempt, int64_t now)
{
  struct policy_target *target = attempt->target;
  const struct stage_spec *spec =
      &target->run->specs[attempt->request->pipeline].stages[attempt->stage];
  struct service_load load = { .running = target->running, .slowdown = target->slowdown };

  attempt->first_at = now;
  attempt->state = ATTEMPT_DECODE;
  if (spec->kind == STAGE_GENERATE)
    {
      store_cache (target, attempt->request->trace, now);
      arm (attempt, now + attempt->request->trace->output_tokens * service_time_per_token (&load));
      return;
    }
  answer (attempt, now);
}

static void
advance (struct timer *timer, int64_t now)
{
  struct policy_attempt *attempt = (struct policy_attempt *) timer;
  struct policy_target *target = attempt->target;

  /* An unresponsive target keeps its attempts; only the host's timers end them.  An answer already
   * in transit still arrives. */
  if (is_unresponsive (target, now) && attempt->state != ATTEMPT_ANSWERED)
    {
      if (attempt->state == ATTEMPT_ON_ITS_WAY)
        enqueue (target, attempt, now);
      return;
    }
  switch (attempt->state)
    {
    case ATTEMPT_ON_ITS_WAY:
      enqueue (target, attempt, now);
      break;
    case ATTEMPT_PREFILL:
      first_output (attempt, now);
      break;
    case ATTEMPT_DECODE:
      answer (attempt, now);
      break;
    case ATTEMPT_ANSWERED:
      policy_attempt_ended (attempt, DECIDE_END_WHOLE, now);
      break;
    default:
      break;
    }
}

void
policy_target_send (struct policy_target *target, struct policy_attempt *attempt, int64_t now)
{
  struct policy_run *run = target->run;

  if (now > target->leaving_at && now - target->leaving_at > POLICY_LEAVE_BOUND)
    run->result.to_unusable++;
  if (now > target->lost_at && now - target->lost_at > POLICY_LEASE)
    run->result.to_unusable++;
  attempt->state = ATTEMPT_ON_ITS_WAY;
  arm (attempt, now + POLICY_HOP_USEC);
}

void
policy_target_sample (struct policy_target *target, int64_t now)
{
  target->history[target->n_history++ % POLICY_HISTORY] =
      (struct policy_sample){ .at = now, .running = target->running, .waiting = target->waiting };
}
