/* Parts of a shared rate limit, and their token buckets. */
#include "rate_part.h"

uint32_t
rate_part_holders (const struct rate_limit *limit, uint32_t n_hosts)
{
  if (limit->burst >= n_hosts)
    return n_hosts;
  return limit->burst < 1 ? 1 : (uint32_t) limit->burst;
}

struct rate_limit
rate_part_of (const struct rate_limit *limit, uint32_t n_hosts, uint32_t rank)
{
  uint32_t holders = rate_part_holders (limit, n_hosts);
  double burst;

  if (rank >= holders)
    return (struct rate_limit){ .burst = 0 };
  burst = limit->burst / holders;
  return (struct rate_limit){ .per_sec = limit->per_sec / holders, .burst = burst < 1 ? 1 : burst };
}

struct rate_bucket
rate_bucket_new (int64_t now)
{
  return (struct rate_bucket){ .refilled_at = now };
}

void
rate_bucket_refill (struct rate_bucket *bucket, const struct rate_limit *part, int64_t now)
{
  if (now > bucket->refilled_at)
    bucket->level += part->per_sec * (double) (now - bucket->refilled_at) / USEC_PER_SEC;
  if (bucket->level > part->burst)
    bucket->level = part->burst;
  bucket->refilled_at = now;
}

bool
rate_bucket_take (struct rate_bucket *bucket, const struct rate_limit *part, int64_t now)
{
  rate_bucket_refill (bucket, part, now);
  if (bucket->level < 1)
    return false;
  bucket->level -= 1;
  return true;
}

void
rate_bucket_spend (struct rate_bucket *bucket, const struct rate_limit *part, int64_t now)
{
  rate_bucket_refill (bucket, part, now);
  bucket->level -= 1;
}

int64_t
rate_bucket_wait (struct rate_bucket *bucket, const struct rate_limit *part, int64_t now)
{
  double wait;

  rate_bucket_refill (bucket, part, now);
  if (bucket->level >= 1)
    return 0;
  if (part->per_sec <= 0 || part->burst < 1)
    return USEC_NEVER;
  wait = (1 - bucket->level) / part->per_sec * USEC_PER_SEC;
  return wait < (double) RATE_WAIT_MAX ? (int64_t) wait + 1 : USEC_NEVER;
}

uint32_t
host_count_update (struct host_count *count, uint32_t n_hosts, int64_t now)
{
  if (now - count->since >= HOST_COUNT_HOLD)
    {
      count->largest[1] = count->largest[0];
      count->largest[0] = 0;
      count->since = now;
    }
  if (n_hosts > count->largest[0])
    count->largest[0] = n_hosts;
  return count->largest[0] > count->largest[1] ? count->largest[0] : count->largest[1];
}
