/* A token bucket for extra attempts, refilled by recent events: retries are limited to a share of
 * successes, hedges to a share of requests.
 *
 * Prevents retry storms: when a pool fails, retrying every request would double the load just as
 * capacity is lost.  Without successes the bucket is not refilled, so the extra load stays bounded
 * by the share. */
#ifndef BUDGET_H
#define BUDGET_H

#include "decls.h"
#include <stdbool.h>

BEGIN_DECLS

#define BUDGET_START 2.0 /* initial tokens, so that the first failure may be retried */
#define BUDGET_MAX 20.0  /* bucket size: bounds a burst of extra attempts */

struct budget
{
  double tokens;
};

static inline struct budget
budget_new (void)
{
  return (struct budget){ .tokens = BUDGET_START };
}

/* Adds `share` of one attempt, up to BUDGET_MAX. */
static inline void
budget_earn (struct budget *budget, double share)
{
  budget->tokens += share;
  if (budget->tokens > BUDGET_MAX)
    budget->tokens = BUDGET_MAX;
}

static inline bool
budget_take (struct budget *budget)
{
  if (budget->tokens < 1)
    return false;
  budget->tokens -= 1;
  return true;
}

END_DECLS

#endif
