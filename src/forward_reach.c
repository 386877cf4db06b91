/* Requests to pools of which this host reaches no target, or may use none. */
#include "forward_private.h"
#include <string.h>

/* Retry-After, in seconds: at once where another host may reach the pool, else when the targets may
 * be reached again. */
#define OTHER_HOST_RETRY_AFTER_SEC 0.0
#define NO_HOST_RETRY_AFTER_SEC 1.0

/* Retry-After, in seconds, where all targets are evacuated: operators revert that after seconds or
 * minutes, and callers come back a third of their time later at most. */
#define EVACUATED_RETRY_AFTER_SEC 1.0

static void
give_up (struct forward_job *job, int64_t now)
{
  bool others_reach = subscriber_others_reach (job->forward->config.subscriber, job->pool, now);

  job_give_up (job, FORWARD_CUT_OFF,
               others_reach ? OTHER_HOST_RETRY_AFTER_SEC : NO_HOST_RETRY_AFTER_SEC);
}

bool
job_give_up_if_cut_off (struct forward_job *job, int64_t now)
{
  struct forward_config *config = &job->forward->config;

  if (!target_reach_is_cut_off (config->reach, job->pool, now))
    return false;
  give_up (job, now);
  return true;
}

static bool
needs_evacuated_pool (const struct forward_job *job)
{
  const struct balance *balance = job->forward->config.balance;

  for (uint32_t i = 0; i < job->route.n_stages; i++)
    if (job_pieces (job, i) > 0 && balance_pool_is_evacuated (balance, job->stages[i].pool))
      return true;
  return balance_pool_is_evacuated (balance, job->pool);
}

bool
job_give_up_if_evacuated (struct forward_job *job)
{
  if (!needs_evacuated_pool (job))
    return false;
  job_give_up (job, FORWARD_NO_TARGET, EVACUATED_RETRY_AFTER_SEC);
  return true;
}

bool
job_give_up_if_lost (struct forward_job *job, int64_t now)
{
  if (!target_reach_is_lost (job->forward->config.reach, job->pool))
    return false;
  give_up (job, now);
  return true;
}

struct balance_target *
job_choose_target (struct forward_job *job, int64_t now)
{
  struct forward_config *config = &job->forward->config;
  bool isolate = job_needs_isolation (job, now);
  bool lost = target_reach_is_lost (config->reach, job->pool);
  uint64_t passed[2 * BALANCE_TRIED_MAX];
  struct balance_target *target;
  struct balance_query query = {
    .pool = job->pool,
    .binding = job_binding (job),
    .prompt = &job->prompt,
    .tried = passed,
    .n_tried = job->n_tried,
  };

  memcpy (passed, job->tried, sizeof job->tried);
  for (;;)
    {
      target = isolate ? balance_choose_least_running (config->balance, &query, now)
                       : balance_choose (config->balance, &query, now);
      if (!lost || target == NULL
          || (h1_client_has_idle (config->client, target->address)
              && !job_was_sent_to (job, target)))
        return target;
      if (query.n_tried == 2 * BALANCE_TRIED_MAX)
        return NULL;
      passed[query.n_tried++] = target->serial;
    }
}
