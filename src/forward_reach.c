/* Requests to pools of which this host reaches no target. */
#include "forward_private.h"

/* Retry-After, in seconds: at once where another host may reach the pool, else when the targets may
 * be reached again. */
#define OTHER_HOST_RETRY_AFTER_SEC 0.0
#define NO_HOST_RETRY_AFTER_SEC 1.0

bool
job_give_up_if_cut_off (struct forward_job *job, int64_t now)
{
  struct forward_config *config = &job->forward->config;

  if (!target_reach_is_lost (config->reach, job->pool))
    return false;
  job_give_up (job, FORWARD_CUT_OFF,
               subscriber_others_reach (config->subscriber, job->pool, now)
                   ? OTHER_HOST_RETRY_AFTER_SEC
                   : NO_HOST_RETRY_AFTER_SEC);
  return true;
}
