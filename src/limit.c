/* Token buckets and concurrency of one organisation's limits on this host. */
#include "limit.h"
#include "usec.h"
#include <math.h>

#define DEMAND_TIME_CONSTANT (2.0 * USEC_PER_SEC) /* time constant of the demand's decay */
#define RUNNING_RETRY_AFTER (100 * USEC_PER_MSEC)
#define TOKENS_BURST_SECONDS 2.0
#define RETRY_AFTER_MAX (10 * USEC_PER_SEC)

static void
refill (struct limit_bucket *bucket, double rate, double burst, int64_t now)
{
  if (bucket->filled_at == 0)
    bucket->level = burst;
  else if (now > bucket->filled_at)
    bucket->level += rate * (double) (now - bucket->filled_at) / USEC_PER_SEC;
  if (bucket->level > burst)
    bucket->level = burst;
  bucket->filled_at = now;
}

static int64_t
refill_time (double missing, double rate)
{
  double span = rate > 0 ? missing / rate * USEC_PER_SEC : (double) RETRY_AFTER_MAX;

  return span < (double) RETRY_AFTER_MAX ? (int64_t) span + 1 : RETRY_AFTER_MAX;
}

/* This host's share of the concurrency, rounded up and at least 1, so that a small limit admits one
 * request on each host.  The excess over the limit is under one request per host. */
static uint32_t
running_max (const struct limit *limit, const struct organisation_spec *spec)
{
  double bound = ceil (spec->concurrency * limit->share);

  return bound < 1 ? 1 : (uint32_t) bound;
}

static double
requests_burst (const struct limit *limit, const struct organisation_spec *spec)
{
  double burst = (spec->burst + 1) * limit->share;

  return burst < 1 ? 1 : burst;
}

enum limit_verdict
limit_take (struct limit *limit,
            const struct organisation_spec *spec,
            double tokens,
            int64_t now,
            int64_t *retry_after)
{
  double rate = spec->requests_per_sec * limit->share;
  double token_rate = spec->tokens_per_sec * limit->share;

  refill (&limit->requests, rate, requests_burst (limit, spec), now);
  refill (&limit->tokens, token_rate, token_rate * TOKENS_BURST_SECONDS, now);
  *retry_after = 0;
  if (spec->concurrency > 0 && limit->running >= running_max (limit, spec))
    {
      *retry_after = RUNNING_RETRY_AFTER;
      return LIMIT_RUNNING;
    }
  if (spec->requests_per_sec > 0 && limit->requests.level < 1)
    {
      *retry_after = refill_time (1 - limit->requests.level, rate);
      return LIMIT_REQUESTS;
    }
  if (spec->tokens_per_sec > 0 && limit->tokens.level <= 0)
    {
      *retry_after = refill_time (1 - limit->tokens.level, token_rate);
      return LIMIT_TOKENS;
    }
  limit->requests.level -= 1;
  limit->tokens.level -= tokens;
  limit->running++;
  return LIMIT_OK;
}

void
limit_undo (struct limit *limit, const struct organisation_spec *spec, double tokens)
{
  limit->requests.level += 1;
  limit_finish (limit, spec, tokens);
}

void
limit_finish (struct limit *limit, const struct organisation_spec *spec, double unused_tokens)
{
  if (spec->tokens_per_sec > 0)
    limit->tokens.level += unused_tokens;
  if (limit->running > 0)
    limit->running--;
}

static double
decayed (const struct limit *limit, int64_t now)
{
  double age = (double) (now - limit->demand_at);

  return age > 0 ? limit->demand * exp (-age / DEMAND_TIME_CONSTANT) : limit->demand;
}

void
limit_demand_add (struct limit *limit, int64_t now)
{
  limit->demand = decayed (limit, now) + USEC_PER_SEC / DEMAND_TIME_CONSTANT;
  limit->demand_at = now;
}

double
limit_demand (const struct limit *limit, int64_t now)
{
  return decayed (limit, now);
}
