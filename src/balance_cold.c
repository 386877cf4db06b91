/* Cold targets: which targets are cold, and what this host may start on them. */
#include "balance.h"
#include "text.h"
#include <string.h>

/* Where more than half of the warm targets are at the limit of starts, those that have this many
 * times the mean are left out. */
#define STARTS_OVER_MEAN 1.25

static struct balance_cold_pool *
find_pool (struct balance *balance, const char *name)
{
  for (uint32_t i = 0; i < balance->n_cold_pools; i++)
    if (strcmp (balance->cold_pools[i].name, name) == 0)
      return &balance->cold_pools[i];
  return NULL;
}

/* The entry of the pool, or one that is not in use. */
static struct balance_cold_pool *
get_pool (struct balance *balance, const char *name)
{
  struct balance_cold_pool *pool = find_pool (balance, name);

  for (uint32_t i = 0; i < balance->n_cold_pools && pool == NULL; i++)
    if (balance->cold_pools[i].rule.per_sec <= 0)
      pool = &balance->cold_pools[i];
  if (pool == NULL && balance->n_cold_pools < ROUTING_POOLS_MAX)
    pool = &balance->cold_pools[balance->n_cold_pools++];
  if (pool != NULL && strcmp (pool->name, name) != 0)
    {
      *pool = (struct balance_cold_pool){ .sent = 0 };
      text_copy_truncated (pool->name, sizeof pool->name, name);
    }
  return pool;
}

static void
set_pool (struct balance *balance, struct balance_target *target)
{
  struct balance_cold_pool *pool = find_pool (balance, target->pool);

  target->cold_pool = pool != NULL && pool->rule.per_sec > 0 ? pool : NULL;
  if (target->cold_pool == NULL)
    target->cold = (struct cold_limit){ .cold = false };
}

void
balance_set_cold_pools (struct balance *balance,
                        const struct routing *routing,
                        const struct cold_bounds *bounds)
{
  for (uint32_t i = 0; i < balance->n_cold_pools; i++)
    balance->cold_pools[i].rule = (struct cold_rule){ .per_sec = 0 };
  for (uint32_t i = 0; i < routing->n_pools; i++)
    {
      const struct pool *pool = &routing->pools[i];
      struct balance_cold_pool *entry;

      if (pool->cold.per_sec <= 0)
        continue;
      entry = get_pool (balance, pool->name);
      if (entry != NULL)
        entry->rule = cold_rule_of (&pool->cold, bounds);
    }
  for (struct balance_target *at = balance->targets; at != NULL; at = at->next)
    set_pool (balance, at);
}

void
balance_reset_cold (struct balance *balance, struct balance_target *target)
{
  target->cold = (struct cold_limit){ .cold = false };
  target->cold_ranked = UINT64_MAX;
  set_pool (balance, target);
}

int64_t
balance_cold_left (const struct balance_target *target, int64_t now)
{
  const struct registry_target *record = target->record;
  int64_t left;

  if (target->cold_pool == NULL)
    return 0;
  left = registry_cold_left (record, now);
  if (record->restored_at != 0)
    {
      int64_t restored = record->restored_at + target->cold_pool->rule.start_time - now;

      left = restored > left ? restored : left;
    }
  return left;
}

/* The rank costs a hash for each entry host, so it is kept while the list stays. */
static uint32_t
rank_of (const struct balance *balance, struct balance_target *target)
{
  uint64_t revision = rate_share_revision (balance->rate_share);

  if (target->cold_ranked != revision)
    target->cold_rank = rate_share_rank (balance->rate_share, target->id);
  target->cold_ranked = revision;
  return target->cold_rank;
}

struct rate_limit
balance_cold_part (const struct balance *balance,
                   struct balance_target *target,
                   enum balance_use use,
                   int64_t now)
{
  const struct cold_rule *rule = &target->cold_pool->rule;
  uint32_t n_hosts;

  /* The owner of a pool alone sends its stage work. */
  if (use == BALANCE_STAGE_WORK || balance->rate_share == NULL)
    return cold_rule_part (rule, 1, 0);
  n_hosts = rate_share_settled_hosts (balance->rate_share, now);
  return cold_rule_part (rule, n_hosts, n_hosts == 0 ? 0 : rank_of (balance, target));
}

int64_t
balance_cold_wait (const struct balance *balance,
                   struct balance_target *target,
                   enum balance_use use,
                   int64_t now)
{
  struct rate_limit part = { .burst = 0 };
  int64_t left = balance_cold_left (target, now);
  int64_t wait;

  if (left == 0 && !target->cold.cold)
    return 0;
  if (left > 0)
    part = balance_cold_part (balance, target, use, now);
  cold_limit_update (&target->cold, left > 0, &part, now);
  wait = cold_limit_wait (&target->cold, now);
  return wait < left ? wait : left;
}

void
balance_heard_cold (struct balance *balance,
                    struct balance_target *target,
                    int64_t left,
                    int64_t asked_at,
                    int64_t now)
{
  if (balance->registry != NULL)
    registry_hear_cold (balance->registry, target->record, left, asked_at, now);
}

/* uthash: NOLINTBEGIN(readability-function-size) */
void
balance_started_elsewhere (struct balance *balance, uint64_t id_hash, int64_t now)
{
  struct balance_target *target;

  HASH_FIND (hh, balance->by_hash, &id_hash, sizeof id_hash, target);
  if (target != NULL && target->cold_pool != NULL)
    cold_limit_started_elsewhere (&target->cold, now);
}
/* NOLINTEND(readability-function-size) */

/* The number of starts up to which warm candidates stay. */
static double
starts_allowed (struct balance_target **candidates, uint32_t n, int64_t now)
{
  double half = candidates[0]->cold_pool->rule.bound / 2;
  double sum = 0;
  uint32_t n_warm = 0;
  uint32_t n_reached = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t starts = cold_limit_starts (&candidates[i]->cold, now);

      if (candidates[i]->cold.cold)
        continue;
      n_warm++;
      sum += starts;
      n_reached += starts + 1 > half ? 1 : 0;
    }
  if (2 * n_reached <= n_warm)
    return half - 1;
  return STARTS_OVER_MEAN * sum / n_warm;
}

uint32_t
balance_spread_starts (struct balance_target **candidates, uint32_t n, int64_t now)
{
  double allowed;
  uint32_t kept = 0;

  if (candidates[0]->cold_pool == NULL)
    return n;
  allowed = starts_allowed (candidates, n, now);
  for (uint32_t i = 0; i < n; i++)
    if (candidates[i]->cold.cold || cold_limit_starts (&candidates[i]->cold, now) <= allowed)
      candidates[kept++] = candidates[i];
  return kept;
}
