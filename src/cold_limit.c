/* Limits on the requests to targets that are cold or may be. */
#include "cold_limit.h"
#include <string.h>

struct cold_rule
cold_rule_of (const struct cold_spec *spec, const struct cold_bounds *bounds)
{
  if (spec->per_sec <= 0)
    return (struct cold_rule){ .per_sec = 0 };
  return (struct cold_rule){
    .per_sec = spec->per_sec,
    .bound = spec->per_sec * bounds->overrun + bounds->slack,
    .start_time = spec->start_time,
  };
}

struct rate_limit
cold_rule_share (const struct cold_rule *rule)
{
  double rate = rule->per_sec / 2 < rule->bound / 4 ? rule->per_sec / 2 : rule->bound / 4;

  if (rule->bound < 2)
    return (struct rate_limit){ .burst = 0 };
  return (struct rate_limit){ .per_sec = rate, .burst = rule->bound / 2 - rate };
}

struct rate_limit
cold_rule_part (const struct cold_rule *rule, uint32_t n_hosts, uint32_t rank)
{
  struct rate_limit share = cold_rule_share (rule);

  if (share.burst <= 0 || n_hosts == 0)
    return (struct rate_limit){ .burst = 0 };
  return rate_part_of (&share, n_hosts, rank);
}

void
cold_limit_update (struct cold_limit *limit, bool cold, const struct rate_limit *part, int64_t now)
{
  if (cold && !limit->cold)
    limit->bucket = rate_bucket_new (now);
  else if (cold)
    rate_bucket_refill (&limit->bucket, &limit->part, now);
  limit->cold = cold;
  limit->part = *part;
}

int64_t
cold_limit_wait (struct cold_limit *limit, int64_t now)
{
  return limit->cold ? rate_bucket_wait (&limit->bucket, &limit->part, now) : 0;
}

/* ---- starts ---- */

static void
advance (struct cold_window *window, int64_t now)
{
  int64_t slot = now / COLD_SLOT;

  if (slot - window->slot >= COLD_SLOTS)
    {
      memset (window->counts, 0, sizeof window->counts);
      window->total = 0;
      window->slot = slot;
    }
  while (window->slot < slot)
    {
      uint32_t *count = &window->counts[++window->slot % COLD_SLOTS];

      window->total -= *count;
      *count = 0;
    }
}

void
cold_limit_started_elsewhere (struct cold_limit *limit, int64_t now)
{
  advance (&limit->starts, now);
  limit->starts.counts[limit->starts.slot % COLD_SLOTS]++;
  limit->starts.total++;
}

void
cold_limit_started (struct cold_limit *limit, int64_t now)
{
  cold_limit_started_elsewhere (limit, now);
  if (limit->cold)
    rate_bucket_spend (&limit->bucket, &limit->part, now);
}

uint32_t
cold_limit_starts (struct cold_limit *limit, int64_t now)
{
  advance (&limit->starts, now);
  return limit->starts.total;
}
