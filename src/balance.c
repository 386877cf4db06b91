/* Load balancing over the targets of a pool. */
#include "balance.h"
#include "text.h"
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define CANDIDATES_MAX 8192

/* Maximum of the hash-based tie-break between engines of similar cost, in microseconds. */
#define TIE_BREAK_MAX_US 5000.0

/* Cost of not using a prompt's home engine: this share of the cost of prefilling its shared parts
 * again, up to a maximum.  When all hosts restart they don't know the engines' caches; a part that
 * was first prefilled on its home engine is found there again.  Mean worth over 40 days: 0.530
 * instead of 0.523 in all, of which 0.002 is less repeated prefill. */
#define LEAVE_HOME_COST_SHARE 0.3
#define LEAVE_HOME_COST_MAX_US 80000.0

/* Share of failed calls above which a target is ejected even without consecutive failures. */
#define FAILURE_RATE_MAX 0.3

void
balance_init (struct balance *balance,
              const char *domain,
              struct engine_load *engines,
              uint64_t seed)
{
  *balance = (struct balance){ .domain = domain, .engines = engines, .backoff_max = USEC_NEVER };
  rng_init (&balance->rng, seed);
}

struct balance_target *
balance_find (const struct balance *balance, const char *id)
{
  struct balance_target *target = balance->targets;

  while (target != NULL && strcmp (target->id, id) != 0)
    target = target->next;
  return target;
}

/* uthash: NOLINTBEGIN(readability-function-size) */
static void
remove_hash (struct balance *balance, struct balance_target *target)
{
  if (target->id_hash != 0)
    HASH_DELETE (hh, balance->by_hash, target);
  target->id_hash = 0;
}

static void
set_hash (struct balance *balance, struct balance_target *target, uint64_t id_hash)
{
  remove_hash (balance, target);
  target->id_hash = id_hash;
  if (id_hash != 0)
    HASH_ADD (hh, balance->by_hash, id_hash, sizeof target->id_hash, target);
}
/* NOLINTEND(readability-function-size) */

static int
free_target (struct balance_target *target)
{
  remove_hash (target->owner, target);
  return 0;
}

/* Resets the state for a new incarnation of the target: its cache is empty, and observations of the
 * previous one do not apply.  Calls to the previous one stay in flight until their connections
 * end. */
static void
reset_incarnation (struct balance *balance, struct balance_target *target)
{
  const struct registry_registration *word = &target->record->registration;

  if (target->id_hash != 0)
    engine_load_remove_target (balance->engines, target->id_hash);
  target->started = word->started_unix_ms;
  set_hash (balance, target,
            XXH3_64bits_withSeed (target->id, strlen (target->id), target->started));
  text_copy_truncated (target->pool, sizeof target->pool, word->pool);
  text_copy_truncated (target->domain, sizeof target->domain, word->domain);
  text_copy_truncated (target->address, sizeof target->address, word->address);
  target->leaving = false;
  target->failures = 0;
  target->failure_rate = 0;
  target->latency_us = 0;
  target->slow = (struct slow_target){ .waiting = target->slow.waiting,
                                       .silent_since = target->slow.silent_since };
  target->ejected_until = 0;
  target->ejection_time = 0;
  target->limit = (struct target_limit){ .present = false };
  target->limit_news_due = false;
  target->backoff_until = 0;
  balance_reset_cold (balance, target);
}

void
balance_update (struct balance *balance, void *parent, struct registry_target *record)
{
  struct balance_target *target = record->user;

  if (target == NULL)
    {
      if (record->registration.state == REGISTRY_GONE)
        return;
      target = talloc_zero (parent, struct balance_target);
      if (target == NULL)
        return;
      text_copy_truncated (target->id, sizeof target->id, record->registration.id);
      target->record = record;
      target->owner = balance;
      target->serial = ++balance->last_serial;
      talloc_set_destructor (target, free_target);
      reset_incarnation (balance, target);
      target->next = balance->targets;
      balance->targets = target;
      record->user = target;
    }
  if (target->started != record->registration.started_unix_ms)
    reset_incarnation (balance, target);
  target->usable = registry_target_is_usable (record);
  target->evacuated = record->evacuated;
  target->excluded =
      record->registration.state != REGISTRY_READY || record->evacuated || record->unconfirmed;
  target->leaving = target->leaving || record->registration.state == REGISTRY_LEAVING;
  if (record->registration.state == REGISTRY_GONE)
    engine_load_remove_target (balance->engines, target->id_hash);
}

void
balance_sweep (struct balance *balance)
{
  struct balance_target **at = &balance->targets;

  while (*at != NULL)
    {
      struct balance_target *target = *at;

      if (target->record->registration.state != REGISTRY_GONE || target->in_flight > 0)
        {
          at = &target->next;
          continue;
        }
      *at = target->next;
      target->record->user = NULL;
      talloc_free (target);
    }
}

static bool
was_tried (const struct balance_target *target, const uint64_t *tried, uint32_t n_tried)
{
  for (uint32_t i = 0; i < n_tried; i++)
    if (tried[i] == target->serial)
      return true;
  return false;
}

/* Whether the query allows the target, whatever the target's state now. */
static bool
is_allowed (const struct balance_target *target, const struct balance_query *query)
{
  if (target->excluded || strcmp (target->pool, query->pool) != 0
      || was_tried (target, query->tried, query->n_tried))
    return false;
  return query->binding == NULL || binding_allows (query->binding, &target->record->registration);
}

uint32_t
balance_count (const struct balance *balance, const struct balance_query *query)
{
  uint32_t n = 0;

  for (const struct balance_target *at = balance->targets; at != NULL; at = at->next)
    n += is_allowed (at, query) ? 1 : 0;
  return n;
}

int64_t
balance_backoff_wait (const struct balance *balance, const struct balance_query *query, int64_t now)
{
  struct balance_query any = *query;
  int64_t least = USEC_NEVER;

  any.n_tried = 0;
  for (const struct balance_target *at = balance->targets; at != NULL; at = at->next)
    {
      int64_t backoff = balance_backoff_left (at, now);

      if (!at->usable || !is_allowed (at, &any))
        continue;
      if (backoff == 0 && !was_tried (at, query->tried, query->n_tried))
        return 0;
      if (backoff > 0 && backoff < least)
        least = backoff;
    }
  return least == USEC_NEVER ? 0 : least;
}

bool
balance_pool_is_evacuated (const struct balance *balance, const char *pool)
{
  bool any = false;

  for (const struct balance_target *at = balance->targets; at != NULL; at = at->next)
    {
      if (strcmp (at->pool, pool) != 0)
        continue;
      if (!at->excluded)
        return false;
      any = any || (at->evacuated && at->record->registration.state == REGISTRY_READY);
    }
  return any;
}

/* Ejected, or being probed: after an ejection one request at a time is sent until one is
 * answered. */
static bool
is_out (const struct balance_target *target, int64_t now)
{
  return now < target->ejected_until
         || (target->failures >= BALANCE_FAILURES && target->slow.waiting > 0);
}

/* Collects the candidates of the best of three ranks that has any: usable targets; also ejected
 * ones; also those that stopped renewing, which may only be partitioned from the controllers,
 * unless one that renews is in backoff.  Never a target beyond the limit that it names, a cold one
 * without room, or one in backoff. */
static uint32_t
collect_candidates (struct balance *balance,
                    const struct balance_query *query,
                    int64_t now,
                    struct balance_target **out)
{
  for (int rank = 0; rank < 3; rank++)
    {
      struct balance_cold_pool *withheld = NULL;
      uint32_t n = 0;

      if (rank == 2 && balance_backoff_wait (balance, query, now) > 0)
        return 0;
      for (struct balance_target *target = balance->targets; target != NULL; target = target->next)
        {
          if (n == CANDIDATES_MAX || !is_allowed (target, query))
            continue;
          if (rank < 2 && !target->usable)
            continue;
          if (rank < 1 && is_out (target, now))
            continue;
          if (!balance_may_send (balance, target, BALANCE_REQUEST, now))
            {
              withheld = target->cold.cold ? target->cold_pool : withheld;
              continue;
            }
          out[n++] = target;
        }
      if (withheld != NULL)
        withheld->withheld++;
      if (n > 0)
        return balance_spread_starts (out, n, now);
    }
  return 0;
}

/* Minimizes requests in flight times latency, with a bonus for our failure domain. */
static struct balance_target *
least_loaded (struct balance *balance, struct balance_target **candidates, uint32_t n, int64_t now)
{
  struct balance_target *best = NULL;
  double best_cost = 0;
  double usual = balance_pool_latency (candidates, n);

  for (uint32_t i = 0; i < n; i++)
    {
      struct balance_target *target = candidates[i];
      bool near = strcmp (target->domain, balance->domain) == 0;
      double cost = (target->in_flight + 1 + (near ? 0 : BALANCE_DOMAIN_BONUS))
                    * balance_latency (target, usual, now) * (1 + 0.1 * rng_unit (&balance->rng))
                    * (target->cold.cold ? BALANCE_COLD_FACTOR : 1);

      if (best == NULL || cost < best_cost)
        {
          best = target;
          best_cost = cost;
        }
    }
  return best;
}

static uint64_t
cross_domain_bytes (const struct balance_prompt *prompt, const char *domain)
{
  uint64_t bytes = 0;

  for (uint32_t i = 0; i < prompt->n_locations; i++)
    if (strcmp (prompt->locations[i].domain, domain) != 0)
      bytes += prompt->locations[i].bytes;
  return bytes;
}

static double
engine_cost (const struct balance *balance,
             const struct balance_target *target,
             const struct balance_prompt *prompt,
             int64_t now)
{
  struct engine_cost cost;
  double crossing = (double) cross_domain_bytes (prompt, target->domain) / 1000.0;

  engine_load_cost (balance->engines, target->id_hash, &prompt->prompt, now, &cost);
  return (double) cost.wait + BALANCE_REPEATED_PREFILL_US * cost.read_again_tokens
         + BALANCE_CROSS_DOMAIN_US * crossing + (target->cold.cold ? BALANCE_COLD_COST_US : 0);
}

/* Rendezvous hash of target and prompt, 0 to 1, the same on every host: for a prompt that no engine
 * has cached, all hosts choose the same target before they learn of each other's choices. */
static double
rendezvous_score (const struct balance_target *target, const struct balance_prompt *prompt)
{
  uint32_t n = prompt->prompt.n_parts;
  uint64_t key = n == 0 ? 0 : prompt->prompt.parts[n - 1];
  uint64_t score = XXH3_64bits_withSeed (target->id, strlen (target->id), key);

  return (double) (score >> 11) / (double) (UINT64_C (1) << 53);
}

/* The prompt's home: the engine chosen when no cache is known, the same on every host. */
static const struct balance_target *
home_engine (struct balance_target *const *candidates,
             uint32_t n,
             const struct balance_prompt *prompt)
{
  const struct balance_target *home = NULL;
  double least = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      double score = rendezvous_score (candidates[i], prompt);

      if (home != NULL && score >= least)
        continue;
      home = candidates[i];
      least = score;
    }
  return home;
}

static double
leave_home_cost (const struct balance_prompt *prompt)
{
  double cost = 0;

  for (uint32_t i = 0; i < prompt->prompt.n_parts; i++)
    cost += LEAVE_HOME_COST_SHARE * BALANCE_REPEATED_PREFILL_US * prompt->prompt.part_tokens[i];
  return cost < LEAVE_HOME_COST_MAX_US ? cost : LEAVE_HOME_COST_MAX_US;
}

static struct balance_target *
cheapest_engine (struct balance *balance,
                 struct balance_target **candidates,
                 uint32_t n,
                 const struct balance_prompt *prompt,
                 int64_t now)
{
  const struct balance_target *home = home_engine (candidates, n, prompt);
  double leaving = leave_home_cost (prompt);
  struct balance_target *best = NULL;
  double best_cost = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      double cost = engine_cost (balance, candidates[i], prompt, now)
                    + TIE_BREAK_MAX_US * rendezvous_score (candidates[i], prompt)
                    + (candidates[i] == home ? 0 : leaving);

      if (best == NULL || cost < best_cost)
        {
          best = candidates[i];
          best_cost = cost;
        }
    }
  return best;
}

struct balance_target *
balance_choose (struct balance *balance, const struct balance_query *query, int64_t now)
{
  struct balance_target *candidates[CANDIDATES_MAX];
  struct balance_target *chosen = NULL;
  uint32_t n = collect_candidates (balance, query, now, candidates);

  if (n == 0)
    return NULL;
  if (query->prompt != NULL && query->prompt->present)
    chosen = cheapest_engine (balance, candidates, n, query->prompt, now);
  return chosen != NULL ? chosen : least_loaded (balance, candidates, n, now);
}

/* Number of running requests: of all hosts for a model engine, of this host for another target. */
static uint32_t
count_running (const struct balance *balance,
               const struct balance_target *target,
               const struct balance_prompt *prompt,
               int64_t now)
{
  struct engine_cost cost;

  if (prompt == NULL || !prompt->present)
    return target->in_flight;
  engine_load_cost (balance->engines, target->id_hash, &prompt->prompt, now, &cost);
  return cost.running > target->in_flight ? cost.running : target->in_flight;
}

struct balance_target *
balance_choose_least_running (struct balance *balance,
                              const struct balance_query *query,
                              int64_t now)
{
  struct balance_target *candidates[CANDIDATES_MAX];
  uint32_t n = collect_candidates (balance, query, now, candidates);
  struct balance_target *best = NULL;
  uint32_t least = UINT32_MAX;

  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t running = count_running (balance, candidates[i], query->prompt, now);
      bool warmer = best != NULL && best->cold.cold && !candidates[i]->cold.cold;
      bool colder = best != NULL && !best->cold.cold && candidates[i]->cold.cold;

      if (colder || (!warmer && running >= least))
        continue;
      best = candidates[i];
      least = running;
    }
  return best;
}

static void
eject (struct balance_target *target, int64_t now)
{
  if (target->ejection_time == 0)
    target->ejection_time = BALANCE_EJECTION_MIN;
  else if (now >= target->ejected_until)
    target->ejection_time *= 2;
  if (target->ejection_time > BALANCE_EJECTION_MAX)
    target->ejection_time = BALANCE_EJECTION_MAX;
  target->ejected_until = now + target->ejection_time;
}

static void
count_outcome (struct balance_target *target, bool failed, int64_t now)
{
  target->failure_rate += BALANCE_SMOOTHING * ((failed ? 1.0 : 0.0) - target->failure_rate);
  if (!failed)
    {
      target->failures = 0;
      if (target->failure_rate < FAILURE_RATE_MAX)
        target->ejection_time = 0;
      return;
    }
  target->failures++;
  if (target->failures >= BALANCE_FAILURES || target->failure_rate > FAILURE_RATE_MAX)
    eject (target, now);
}

void
balance_note_late (struct balance_target *target, int64_t now)
{
  count_outcome (target, true, now);
}

void
balance_ended (struct balance_target *target, bool failed, int64_t first, int64_t now)
{
  target->in_flight--;
  if (first >= 0)
    target->latency_at = now;
  if (first >= 0)
    target->latency_us =
        target->latency_us == 0
            ? (double) first
            : target->latency_us + BALANCE_SMOOTHING * ((double) first - target->latency_us);
  count_outcome (target, failed, now);
}
