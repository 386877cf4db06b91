/* When targets may be sent a call: the rate that they name, whether they are cold, their backoffs.
 */
#include "balance.h"
#include <math.h>
#include <string.h>

/* Requests are sent by every entry host, the stage work of a pool by its owner alone. */
static struct target_limit_place
place_of (const struct balance *balance,
          const struct balance_target *target,
          enum balance_use use,
          int64_t now)
{
  struct target_limit_place place = { .n_hosts = 1 };

  if (use == BALANCE_STAGE_WORK || balance->rate_share == NULL)
    return place;
  place.n_hosts = rate_share_hosts (balance->rate_share, now);
  place.rank = rate_share_rank (balance->rate_share, target->id);
  return place;
}

struct rate_limit
balance_limit_part (const struct balance *balance, const struct balance_target *target, int64_t now)
{
  struct target_limit_place place = place_of (balance, target, BALANCE_REQUEST, now);

  return target_limit_part (&target->limit, &place);
}

/* Until the limit that the target names allows a call. */
static int64_t
limit_wait (const struct balance *balance,
            struct balance_target *target,
            enum balance_use use,
            int64_t now)
{
  struct target_limit_place place;

  if (!target->limit.present)
    return 0;
  place = place_of (balance, target, use, now);
  return target_limit_wait (&target->limit, &place, now);
}

static int64_t
wait_of (const struct balance *balance,
         struct balance_target *target,
         enum balance_use use,
         int64_t now)
{
  int64_t limit = limit_wait (balance, target, use, now);
  int64_t cold = balance_cold_wait (balance, target, use, now);
  int64_t backoff = balance_backoff_left (target, now);
  int64_t wait = limit > cold ? limit : cold;

  return wait > backoff ? wait : backoff;
}

bool
balance_may_send (const struct balance *balance,
                  struct balance_target *target,
                  enum balance_use use,
                  int64_t now)
{
  return wait_of (balance, target, use, now) == 0;
}

void
balance_started (struct balance *balance,
                 struct balance_target *target,
                 enum balance_use use,
                 int64_t now)
{
  struct target_limit_place place;

  target->in_flight++;
  if (target->cold_pool != NULL)
    {
      (void) balance_cold_wait (balance, target, use, now);
      cold_limit_started (&target->cold, now);
      target->cold_pool->sent += target->cold.cold ? 1 : 0;
    }
  if (!target->limit.present)
    return;
  place = place_of (balance, target, use, now);
  target_limit_sent (&target->limit, &place, now);
}

double
balance_stage_rate (const struct balance_target *target, int64_t now)
{
  double rate = target->limit.present ? target->limit.per_sec : INFINITY;

  if (balance_cold_left (target, now) == 0)
    return rate;
  return fmin (rate, cold_rule_share (&target->cold_pool->rule).per_sec);
}

struct balance_pool_limits
balance_read_limits (const struct balance *balance,
                     const char *pool,
                     enum balance_use use,
                     int64_t now)
{
  struct balance_pool_limits state = { .wait = USEC_NEVER };

  for (struct balance_target *at = balance->targets; at != NULL; at = at->next)
    {
      struct target_limit_place place;
      int64_t wait;

      if (at->excluded || !at->usable || strcmp (at->pool, pool) != 0)
        continue;
      wait = wait_of (balance, at, use, now);
      if (wait < state.wait)
        state.wait = wait;
      if (at->cold.cold)
        {
          state.n_limited++;
          state.per_sec_all += cold_rule_share (&at->cold_pool->rule).per_sec;
          state.per_sec += at->cold.part.per_sec;
          continue;
        }
      if (!at->limit.present)
        continue;
      place = place_of (balance, at, use, now);
      state.n_limited++;
      state.per_sec_all += at->limit.per_sec;
      state.per_sec += target_limit_part (&at->limit, &place).per_sec;
    }
  return state;
}
