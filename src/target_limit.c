/* A target's limit on the rate of requests from all entry hosts. */
#include "target_limit.h"

bool
target_limit_hear (
    struct target_limit *limit, double per_sec, bool is_direct, int64_t answered_at, int64_t now)
{
  bool present = per_sec >= 0;
  bool changed = present != limit->present || (present && per_sec != limit->per_sec);

  if (answered_at < limit->heard_at)
    return false;
  if (present && !limit->present)
    limit->bucket = rate_bucket_new (now);
  limit->present = present;
  limit->is_direct = is_direct;
  limit->per_sec = present ? per_sec : 0;
  limit->heard_at = answered_at;
  limit->tried_at = 0;
  return changed;
}

struct rate_limit
target_limit_part (const struct target_limit *limit, const struct target_limit_place *place)
{
  const struct rate_limit whole = { .per_sec = limit->per_sec,
                                    .burst = TARGET_LIMIT_BURST + limit->per_sec };

  return rate_part_of (&whole, place->n_hosts, place->rank);
}

/* When this host may try a target again that nothing was heard of. */
static int64_t
try_again_at (const struct target_limit *limit, const struct target_limit_place *place)
{
  int64_t since = limit->tried_at > limit->heard_at ? limit->tried_at : limit->heard_at;

  return since + TARGET_LIMIT_HOLD + place->rank * TARGET_LIMIT_HOLD_STEP;
}

int64_t
target_limit_wait (struct target_limit *limit, const struct target_limit_place *place, int64_t now)
{
  struct rate_limit part = target_limit_part (limit, place);

  if (!limit->present || now >= try_again_at (limit, place))
    return 0;
  return rate_bucket_wait (&limit->bucket, &part, now);
}

void
target_limit_sent (struct target_limit *limit, const struct target_limit_place *place, int64_t now)
{
  struct rate_limit part = target_limit_part (limit, place);

  if (!limit->present)
    return;
  if (now >= try_again_at (limit, place))
    limit->tried_at = now;
  else
    rate_bucket_spend (&limit->bucket, &part, now);
}
