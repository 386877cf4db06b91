/* State of each pool: the retry budget. */
#include "forward_private.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <string.h>

struct forward_pool *
forward_pool_get (struct forward *forward, const char *pool, int64_t now)
{
  struct forward_pool *entry;

  for (uint32_t i = 0; i < forward->n_pools; i++)
    if (strcmp (forward->pools[i].pool, pool) == 0)
      return &forward->pools[i];
  if (forward->n_pools == FORWARD_POOLS_MAX)
    return NULL;
  entry = &forward->pools[forward->n_pools++];
  text_copy_truncated (entry->pool, sizeof entry->pool, pool);
  entry->budget = retry_budget_new (now);
  return entry;
}

void
forward_count_request (struct forward *forward, const char *pool, int64_t now)
{
  struct forward_pool *entry = forward_pool_get (forward, pool, now);

  if (entry != NULL)
    retry_budget_add (&entry->budget, &forward->config.retries, now);
}

bool
job_take_retry (struct forward_job *job, int64_t now)
{
  struct forward *forward = job->forward;
  const struct retry_limit *limit = &forward->config.retries;
  struct forward_pool *entry = forward_pool_get (forward, job->pool, now);
  struct rate_limit spare_limit = retry_limit_spare (limit);
  struct rate_limit part =
      rate_share_part (forward->config.rate_share, &spare_limit, job->pool, now);
  double earned;
  double spare;
  bool granted;

  if (entry == NULL)
    return false;
  earned = retry_budget_earned (&entry->budget, limit, now);
  spare = retry_budget_spare (&entry->budget, &part, now);
  granted = retry_budget_take (&entry->budget, limit, &part, now);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "retry", "{s:s,s:s,s:b,s:f,s:f,s:f,s:i}", "id",
             job->facts.id, "pool", job->pool, "granted", granted, "earned", earned, "spare", spare,
             "spare_burst", part.burst, "hosts",
             (int) rate_share_hosts (forward->config.rate_share, now));
  counter_add (granted ? forward->retries : forward->retries_denied, 1);
  return granted;
}
