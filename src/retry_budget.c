/* Requests and retries of the last window, and the spare retries. */
#include "retry_budget.h"

/* Half, as the requests of the last window may already have been the reason of retries in it. */
#define EARNED_SHARE 0.5

struct retry_budget
retry_budget_new (int64_t now)
{
  return (struct retry_budget){ .spare = rate_bucket_new (now) };
}

/* Half may be saved up; the other half comes in during a window. */
struct rate_limit
retry_limit_spare (const struct retry_limit *limit)
{
  double half = RETRY_SPARE_USED * limit->spare / 2;

  return (struct rate_limit){ .per_sec = half * USEC_PER_SEC / (double) limit->window,
                              .burst = half };
}

/* Clears the slots that have begun since the last call. */
static void
advance (struct retry_budget *budget, const struct retry_limit *limit, int64_t now)
{
  int64_t slot = now * RETRY_SLOTS / limit->window;

  if (slot - budget->newest > RETRY_SLOTS)
    budget->newest = slot - RETRY_SLOTS - 1;
  while (budget->newest < slot)
    {
      budget->newest++;
      budget->requests[budget->newest % (RETRY_SLOTS + 1)] = 0;
      budget->retries[budget->newest % (RETRY_SLOTS + 1)] = 0;
    }
}

void
retry_budget_add (struct retry_budget *budget, const struct retry_limit *limit, int64_t now)
{
  advance (budget, limit, now);
  budget->requests[budget->newest % (RETRY_SLOTS + 1)]++;
}

/* The newest slot is not over yet: requests are counted over a window at most, retries over a
 * window at least. */
double
retry_budget_earned (struct retry_budget *budget, const struct retry_limit *limit, int64_t now)
{
  uint32_t requests = 0;
  uint32_t retries = 0;

  advance (budget, limit, now);
  for (uint32_t i = 0; i <= RETRY_SLOTS; i++)
    {
      if ((int64_t) i != (budget->newest + 1) % (RETRY_SLOTS + 1))
        requests += budget->requests[i];
      retries += budget->retries[i];
    }
  return EARNED_SHARE * limit->share * requests - retries;
}

double
retry_budget_spare (struct retry_budget *budget, const struct rate_limit *spare_part, int64_t now)
{
  rate_bucket_refill (&budget->spare, spare_part, now);
  return budget->spare.level;
}

bool
retry_budget_take (struct retry_budget *budget,
                   const struct retry_limit *limit,
                   const struct rate_limit *spare_part,
                   int64_t now)
{
  if (retry_budget_earned (budget, limit, now) < 1)
    return rate_bucket_take (&budget->spare, spare_part, now);
  budget->retries[budget->newest % (RETRY_SLOTS + 1)]++;
  return true;
}
