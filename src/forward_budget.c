/* Retry budget of each pool: a token bucket.
 *
 * The entry hosts share the limit.  Each has an equal part of the burst allowed at once, and gains
 * tokens with the requests that it receives. */
#include "forward_private.h"
#include "text.h"
#include <string.h>

/* Share of the allowed retries that is used.  The rest is a margin for sliding windows and a
 * changing number of hosts. */
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
