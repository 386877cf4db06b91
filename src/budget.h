/* A budget that recent events fill and extra work empties: retries as a share of successes, hedges
 * as a share of requests.
 *
 * Guards against a retry storm: when a pool fails, every request would be sent again and the load
 * doubles just as capacity is lost.  Successes stop, so the budget stops filling, and the extra
 * load is bounded by the share whatever fails. */
#ifndef BUDGET_H
#define BUDGET_H

#include "decls.h"
#include <stdbool.h>

BEGIN_DECLS

#define BUDGET_START 2.0 /* what a fresh budget holds, so that the first failure may be retried */
#define BUDGET_MAX 20.0  /* saved up at most: bounds the extra load of one moment */

struct budget
{
  double held;
};

static inline struct budget
budget_new (void)
{
  return (struct budget){ .held = BUDGET_START };
}

/* An event that earns `share` of one retry. */
static inline void
budget_earn (struct budget *budget, double share)
{
  budget->held += share;
  if (budget->held > BUDGET_MAX)
    budget->held = BUDGET_MAX;
}

static inline bool
budget_take (struct budget *budget)
{
  if (budget->held < 1)
    return false;
  budget->held -= 1;
  return true;
}

END_DECLS

#endif
