/* Requests to pools whose targets are all at the limit that they name, or cold and without room. */
#include "forward_private.h"

/* Retry-After, in seconds: the longest; where this host may send none and another may; where the
 * targets take none from any host. */
#define LIMITED_RETRY_AFTER_MAX_SEC 10.0
#define LIMITED_WAIT_MAX ((int64_t) (LIMITED_RETRY_AFTER_MAX_SEC * USEC_PER_SEC))
#define OTHER_HOST_RETRY_AFTER_SEC 0.3
#define NONE_TAKEN_RETRY_AFTER_SEC 2.0

/* Each refused request gets a time of its own, by which this host may send one more. */
static double
retry_after (struct forward_job *job, const struct balance_pool_limits *state, int64_t now)
{
  struct forward_pool *pool = forward_pool_get (job->forward, job->pool, now);
  double seconds;
  double step;

  if (state->per_sec_all <= 0)
    return state->wait >= LIMITED_WAIT_MAX ? NONE_TAKEN_RETRY_AFTER_SEC
                                           : (double) state->wait / USEC_PER_SEC;
  if (state->wait == USEC_NEVER || state->per_sec <= 0 || pool == NULL)
    return OTHER_HOST_RETRY_AFTER_SEC;
  if (pool->limited_until < now + state->wait)
    pool->limited_until = now + state->wait;
  seconds = (double) (pool->limited_until - now) / USEC_PER_SEC;
  if (seconds >= LIMITED_RETRY_AFTER_MAX_SEC)
    return LIMITED_RETRY_AFTER_MAX_SEC;
  step = 1 / state->per_sec;
  if (step > LIMITED_RETRY_AFTER_MAX_SEC)
    step = LIMITED_RETRY_AFTER_MAX_SEC;
  pool->limited_until += (int64_t) (step * USEC_PER_SEC);
  return seconds;
}

bool
job_give_up_if_limited (struct forward_job *job, int64_t deadline, int64_t now)
{
  struct balance_pool_limits state =
      balance_read_limits (job->forward->config.balance, job->pool, BALANCE_REQUEST, now);

  if (state.n_limited == 0 || (state.wait != USEC_NEVER && now + state.wait <= deadline))
    return false;
  job_give_up (job, FORWARD_LIMITED, retry_after (job, &state, now));
  return true;
}
