/* Requests to pools whose targets have all asked for a backoff. */
#include "forward_private.h"
#include "log.h"
#include <jansson.h>

/* What returns when the first target is free comes within this share of the wait after that, and
 * within these bounds. */
#define SPREAD_SHARE 0.25
#define SPREAD_MIN (50 * USEC_PER_MSEC)
#define SPREAD_MAX (1000 * USEC_PER_MSEC)

/* A request waits for up to this share of the time that is left to its objective; the rest is for
 * the answer. */
#define WAIT_SHARE 0.5

/* A stream that has begun waits for up to this long: breaking it off costs its client more. */
#define STREAM_WAIT_MAX (1000 * USEC_PER_MSEC)

int64_t
job_backoff_wait (const struct forward_job *job, int64_t now)
{
  const struct balance_query query = {
    .pool = job->pool,
    .binding = job_binding (job),
    .tried = job->tried,
    .n_tried = job->n_tried,
  };

  return balance_backoff_wait (job->forward->config.balance, &query, now);
}

static int64_t
draw_spread (struct forward_job *job, int64_t wait)
{
  double span = SPREAD_SHARE * (double) wait;

  if (span < SPREAD_MIN)
    span = SPREAD_MIN;
  if (span > SPREAD_MAX)
    span = SPREAD_MAX;
  return (int64_t) (span * rng_unit (&job->forward->rng));
}

static int64_t
longest_wait (const struct forward_job *job, int64_t now)
{
  if (job->stream.begun)
    return STREAM_WAIT_MAX;
  return (int64_t) (WAIT_SHARE * (double) (job->objective_at - now));
}

/* A target that was tried may be tried again once its backoff has ended. */
static void
forget_in_backoff (struct forward_job *job, int64_t now)
{
  const struct balance_target *at = job->forward->config.balance->targets;

  for (; at != NULL; at = at->next)
    {
      uint32_t i = 0;

      while (i < job->n_tried && job->tried[i] != at->serial)
        i++;
      if (i < job->n_tried && balance_backoff_left (at, now) > 0)
        job->tried[i] = job->tried[--job->n_tried];
    }
}

static void
log_wait (const struct forward_job *job, const char *decision, int64_t wait, int64_t until)
{
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "pool-in-backoff", "{s:s,s:s,s:s,s:I,s:I,s:i}", "id",
             job->facts.id, "pool", job->pool, "decision", decision, "wait_ms",
             (json_int_t) (wait / USEC_PER_MSEC), "returns_ms",
             (json_int_t) (until / USEC_PER_MSEC), "tried", (int) job->n_tried);
}

bool
job_wait_for_backoff (struct forward_job *job, int64_t now)
{
  int64_t wait = job_backoff_wait (job, now);
  int64_t until = wait + draw_spread (job, wait);

  if (wait == 0 || until > longest_wait (job, now) || now + until >= job->deadline)
    return false;
  log_wait (job, "wait", wait, until);
  counter_add (job->forward->backoffs_awaited, 1);
  forget_in_backoff (job, now);
  job->waits_for_backoff = true;
  timer_arm (loop_timers (job->forward->config.loop), &job->timer, now + until);
  return true;
}

bool
job_give_up_if_in_backoff (struct forward_job *job, int64_t latest, int64_t now)
{
  int64_t wait = job_backoff_wait (job, now);
  int64_t until;

  if (wait == 0 || now + wait <= latest)
    return false;
  until = wait + draw_spread (job, wait);
  log_wait (job, "refuse", wait, until);
  job_give_up (job, FORWARD_BACKOFF, (double) until / USEC_PER_SEC);
  return true;
}
