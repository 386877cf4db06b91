/* Whether this host can reach the targets of a pool. */
#include "pool_reach.h"

void
pool_reach_connected (struct pool_reach *reach, int64_t now)
{
  reach->failing_since = 0;
  reach->n_unreachable = 0;
  if (reach->regained_since == 0 || now - reach->connected_at > POOL_REACH_REGAIN_GAP)
    reach->regained_since = now;
  reach->connected_at = now;
}

void
pool_reach_answered (struct pool_reach *reach, int64_t now)
{
  reach->answered_at = now;
}

bool
pool_reach_is_cut_off (const struct pool_reach *reach, int64_t now)
{
  bool answers = reach->answered_at > reach->failing_since
                 && now - reach->answered_at <= POOL_REACH_ANSWER_TTL;

  return reach->lost && !answers;
}

bool
pool_reach_is_unreachable (const struct pool_reach *reach, uint64_t target)
{
  for (uint32_t i = 0; i < reach->n_unreachable; i++)
    if (reach->unreachable[i] == target)
      return true;
  return false;
}

void
pool_reach_failed (struct pool_reach *reach, uint64_t target, bool unreachable, int64_t now)
{
  if (reach->failing_since == 0)
    reach->failing_since = now;
  if (!unreachable)
    return;
  if (reach->n_unreachable < POOL_REACH_TARGETS && !pool_reach_is_unreachable (reach, target))
    reach->unreachable[reach->n_unreachable++] = target;
}

void
pool_reach_forget (struct pool_reach *reach, uint64_t target)
{
  for (uint32_t i = 0; i < reach->n_unreachable; i++)
    if (reach->unreachable[i] == target)
      reach->unreachable[i--] = reach->unreachable[--reach->n_unreachable];
}

void
pool_reach_restart (struct pool_reach *reach)
{
  reach->failing_since = 0;
  reach->n_unreachable = 0;
  reach->regained_since = 0;
}

static bool
is_lost_now (const struct pool_reach *reach, const struct pool_reach_targets *targets, int64_t now)
{
  bool few = targets->n < POOL_REACH_TARGETS;
  uint32_t needed = few ? targets->n : POOL_REACH_TARGETS;
  int64_t loss_time = few ? POOL_REACH_FEW_LOSS_TIME : POOL_REACH_LOSS_TIME;

  return reach->failing_since != 0 && now - reach->failing_since >= loss_time
         && reach->n_unreachable >= needed && targets->renewed_at > reach->failing_since;
}

static bool
is_regained (const struct pool_reach *reach)
{
  return reach->regained_since != 0
         && reach->connected_at - reach->regained_since >= POOL_REACH_REGAIN_TIME;
}

bool
pool_reach_update (struct pool_reach *reach, const struct pool_reach_targets *targets, int64_t now)
{
  bool was_lost = reach->lost;

  if (targets->n == 0)
    reach->lost = false;
  else if (!was_lost)
    reach->lost = is_lost_now (reach, targets, now);
  else
    reach->lost = !is_regained (reach);
  if (reach->lost && !was_lost)
    reach->regained_since = 0;
  return reach->lost != was_lost;
}
