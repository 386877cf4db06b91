/* Retry budget of each pool: a token bucket.
 *
 * The entry hosts share the limit.  Each has an equal part of the burst allowed at once, and gains
 * tokens with the requests that it receives. */
#include "forward_private.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <string.h>

/* Share of the allowed retries that is used.  The rest is a margin for sliding windows and a
 * changing number of hosts. */
#define BUDGET_SAFETY 0.6
#define BUDGET_MIN_RETRIES 2.0

static double
budget_limit (const struct forward *forward)
{
  uint32_t hosts = forward->config.balance->n_entry_hosts;
  double part = BUDGET_SAFETY * forward->config.retry_spare / (hosts == 0 ? 1 : hosts);

  return part > BUDGET_MIN_RETRIES ? part : BUDGET_MIN_RETRIES;
}

static struct retry_budget *
find_budget (struct forward *forward, const char *pool)
{
  struct retry_budget *budget;

  for (uint32_t i = 0; i < forward->n_budgets; i++)
    if (strcmp (forward->budgets[i].pool, pool) == 0)
      return &forward->budgets[i];
  if (forward->n_budgets == FORWARD_POOLS_MAX)
    return NULL;
  budget = &forward->budgets[forward->n_budgets++];
  text_copy_truncated (budget->pool, sizeof budget->pool, pool);
  budget->retries_left = budget_limit (forward);
  return budget;
}

void
forward_credit_retry (struct forward *forward, const char *pool)
{
  struct retry_budget *budget = find_budget (forward, pool);

  if (budget == NULL)
    return;
  budget->retries_left += BUDGET_SAFETY * forward->config.retry_share;
  if (budget->retries_left > budget_limit (forward))
    budget->retries_left = budget_limit (forward);
}

bool
job_take_retry (struct forward_job *job)
{
  struct forward *forward = job->forward;
  struct retry_budget *budget = find_budget (forward, job->pool);
  double left = budget == NULL ? 0 : budget->retries_left;
  bool granted = left >= 1;

  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "retry", "{s:s,s:s,s:b,s:f,s:f,s:i}", "id",
             job->facts.id, "pool", job->pool, "granted", granted, "left", left, "burst",
             budget_limit (forward), "hosts", (int) forward->config.balance->n_entry_hosts);
  counter_add (granted ? forward->retries : forward->retries_denied, 1);
  if (granted)
    budget->retries_left -= 1;
  return granted;
}
