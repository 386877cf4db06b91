/* The budget for sending a request a second time, by pool.
 *
 * All entry hosts share it: each has an equal part of what is allowed at once, and earns more with
 * the requests that come to it. */
#include "forward_private.h"
#include "text.h"
#include <string.h>

/* Of what is allowed, so much is used: windows slide, and hosts come and go. */
#define BUDGET_SAFETY 0.6
#define BUDGET_LEAST 2.0

static double
most (const struct forward *forward)
{
  uint32_t hosts = forward->config.balance->n_entry_hosts;
  double part = BUDGET_SAFETY * forward->config.retry_spare / (hosts == 0 ? 1 : hosts);

  return part > BUDGET_LEAST ? part : BUDGET_LEAST;
}

static struct retry_budget *
find (struct forward *forward, const char *pool)
{
  struct retry_budget *budget;

  for (uint32_t i = 0; i < forward->n_budgets; i++)
    if (strcmp (forward->budgets[i].pool, pool) == 0)
      return &forward->budgets[i];
  if (forward->n_budgets == FORWARD_POOLS_MAX)
    return NULL;
  budget = &forward->budgets[forward->n_budgets++];
  text_copy_cut (budget->pool, sizeof budget->pool, pool);
  budget->held = most (forward);
  return budget;
}

void
forward_earn_retry (struct forward *forward, const char *pool)
{
  struct retry_budget *budget = find (forward, pool);

  if (budget == NULL)
    return;
  budget->held += BUDGET_SAFETY * forward->config.retry_share;
  if (budget->held > most (forward))
    budget->held = most (forward);
}

bool
forward_take_retry (struct forward *forward, const char *pool)
{
  struct retry_budget *budget = find (forward, pool);

  if (budget == NULL || budget->held < 1)
    return false;
  budget->held -= 1;
  counter_add (forward->retries, 1);
  return true;
}
