/* One claim operation of this host in the replicated log. */
#include "claim_job.h"
#include "container.h"
#include "store_group.h"
#include "text.h"
#include <talloc.h>
#include <utlist.h>

#define PROPOSE_TIMEOUT (USEC_PER_SEC)
#define RETRY_DELAY_MIN (USEC_PER_SEC / 20)
#define RETRY_DELAY_MAX (USEC_PER_SEC)
#define IN_FLIGHT_MARGIN (USEC_PER_SEC / 10) /* answered this long before the deadline */
#define UNLISTED_HOST_DEAD_AFTER (60 * USEC_PER_SEC)

/* uthash's macros are long; the functions are not.
 * NOLINTBEGIN(readability-function-size) */
static void
add_granted (struct claim_job *job)
{
  HASH_ADD (hh, job->log->granted, entry.key, CLAIM_KEY_SIZE, job);
  job->in_granted_table = true;
}

void
claim_job_remove_granted (struct claim_job *job)
{
  if (job->in_granted_table)
    HASH_DEL (job->log->granted, job);
  job->in_granted_table = false;
}

struct claim_job *
claim_job_find_granted (const struct claim_log *log, const uint8_t key[CLAIM_KEY_SIZE])
{
  struct claim_job *job;

  HASH_FIND (hh, log->granted, key, CLAIM_KEY_SIZE, job);
  return job;
}
/* NOLINTEND(readability-function-size) */

void
claim_job_set_step (struct claim_job *job, enum job_step step)
{
  job->log->pending += (step != JOB_HELD) - (job->step != JOB_HELD);
  job->step = step;
  job->retry_delay = RETRY_DELAY_MIN;
}

void
claim_job_end (struct claim_job *job)
{
  claim_job_set_step (job, JOB_HELD);
  timer_disarm (job->log->config.timers, &job->timer);
  claim_job_remove_granted (job);
  DL_DELETE (job->log->jobs, job);
  talloc_free (job);
}

/* The requester has its answer.  A copy of a timed-out acquire may still be applied, and must not
 * be granted once the present holder has released the claim. */
static void
end_answered (struct claim_job *job, int64_t now)
{
  if (!job->acquire_timed_out)
    {
      claim_job_end (job);
      return;
    }
  claim_job_set_step (job, JOB_RELEASE);
  claim_job_propose (job, now);
}

/* Answer the waiter.  The job may be freed during the call. */
static void
answer (struct claim_job *job, const struct claim_answer *claim_answer, int64_t now)
{
  struct claim_waiter *waiter = job->waiter;

  job->waiter = NULL;
  counter_add (job->log->verdicts[claim_answer->verdict], 1);
  if (waiter == NULL)
    return;
  waiter->owner = NULL;
  waiter->ops->answered (waiter, claim_answer, now);
}

void
claim_job_release (struct claim_job *job, int64_t now)
{
  claim_job_remove_granted (job);
  claim_job_set_step (job, JOB_RELEASE);
  claim_job_propose (job, now);
}

/* The requester gets no more answers; release the claim if it may have been granted. */
static void
abandon (struct claim_job *job, int64_t now)
{
  if (job->may_be_held || job->acquire_timed_out)
    claim_job_release (job, now);
  else
    claim_job_end (job);
}

static void
end_unreachable (struct claim_job *job, int64_t now)
{
  const struct claim_answer unreached = { .verdict = CLAIM_UNREACHABLE };

  /* Propose the release before the answer: the answer can provoke a resend, which must not find the
   * claim held by a requester that has given up. */
  if (job->may_be_held || job->acquire_timed_out)
    {
      struct claim_waiter *waiter = job->waiter;

      job->waiter = NULL;
      counter_add (job->log->verdicts[CLAIM_UNREACHABLE], 1);
      claim_job_release (job, now);
      if (waiter != NULL)
        waiter->owner = NULL;
      if (waiter != NULL)
        waiter->ops->answered (waiter, &unreached, now);
      return;
    }
  answer (job, &unreached, now);
  claim_job_end (job);
}

static void
schedule_retry (struct claim_job *job, int64_t now)
{
  int64_t due = now + job->retry_delay;

  counter_add (job->log->retries, 1);
  job->retry_delay =
      job->retry_delay * 2 < RETRY_DELAY_MAX ? job->retry_delay * 2 : RETRY_DELAY_MAX;
  if (job->waiter != NULL && due > job->deadline)
    due = job->deadline;
  timer_arm (job->log->config.timers, &job->timer, due);
}

static void
pack_step (struct claim_job *job, struct bytes *out, int64_t now)
{
  static const enum claim_op ops[] = {
    [JOB_ACQUIRE] = CLAIM_ACQUIRE,     [JOB_DECLARE_DEAD] = CLAIM_HOLDER_DEAD,
    [JOB_SETTLE] = CLAIM_SETTLE,       [JOB_RELEASE] = CLAIM_RELEASE,
    [JOB_RENEW_EPOCH] = CLAIM_RELEASE, [JOB_ANNOUNCE_START] = CLAIM_HOLDER_STARTED,
  };
  struct claim_entry entry = job->entry;

  entry.op = ops[job->step];
  entry.time_ms = now / USEC_PER_MSEC + job->log->config.wall_offset_ms;
  if (job->step == JOB_DECLARE_DEAD)
    entry.holder = job->dead_holder;
  store_group_begin_entry (STORE_PART_CLAIMS, out);
  claim_entry_pack (&entry, out);
}

void
claim_job_propose (struct claim_job *job, int64_t now)
{
  int64_t deadline = now + PROPOSE_TIMEOUT;
  struct bytes entry;

  if (job->waiter != NULL && job->deadline < deadline)
    deadline = job->deadline;
  bytes_init (&entry, job);
  pack_step (job, &entry, now);
  job->proposed = !bytes_has_failed (&entry)
                  && job->group->ops->propose (job->group, entry.data, entry.length, &job->proposal,
                                               deadline, now)
                         == STATUS_OK;
  bytes_clear (&entry);
  if (job->proposed && job->step == JOB_ACQUIRE)
    job->may_be_held = true;
  if (!job->proposed)
    schedule_retry (job, now);
}

static void
due (struct timer *timer, int64_t now)
{
  struct claim_job *job = CONTAINER_OF (timer, struct claim_job, timer);

  if (job->waiter != NULL && now >= job->deadline)
    end_unreachable (job, now);
  else
    claim_job_propose (job, now);
}

/* True when this epoch of the holder is known to be over.  A host that is not on the board counts
 * as dead only after UNLISTED_HOST_DEAD_AFTER, which lets this process learn of all hosts. */
static bool
holder_is_dead (const struct claim_log *log, const struct claim_holder *holder, int64_t now)
{
  const struct board_host *host = board_find_host (log->config.board, holder->host, NULL);

  if (host == NULL)
    return now > log->started_at + UNLISTED_HOST_DEAD_AFTER;
  if (host->self)
    return holder->epoch >> CLAIM_EPOCH_SHIFT < log->config.incarnation;
  return host->state == HOST_DEAD || host->state == HOST_LEFT
         || host->incarnation > holder->epoch >> CLAIM_EPOCH_SHIFT;
}

static void
handle_in_flight (struct claim_job *job, const struct claim_result *result, int64_t now)
{
  const struct claim_answer in_flight_answer = { .verdict = CLAIM_IN_FLIGHT };

  job->may_be_held = false;
  if (holder_is_dead (job->log, &result->holder, now))
    {
      job->dead_holder = result->holder;
      claim_job_set_step (job, JOB_DECLARE_DEAD);
      claim_job_propose (job, now);
    }
  else if (now + job->retry_delay + IN_FLIGHT_MARGIN < job->deadline)
    schedule_retry (job, now);
  else
    {
      answer (job, &in_flight_answer, now);
      end_answered (job, now);
    }
}

/* The epoch of this process was declared dead although it is alive: continue under a new one.  The
 * old acquire may be in the log and nothing was sent for it, so it is released first. */
static void
fenced (struct claim_job *job, int64_t now)
{
  struct claim_log *log = job->log;

  if (job->entry.holder.epoch == log->epoch)
    log->epoch++;
  claim_job_set_step (job, JOB_RENEW_EPOCH);
  claim_job_propose (job, now);
}

/* An answer whose body was not stored is reported as failed, never as complete. */
static void
settled (struct claim_job *job, const struct claim_result *result, int64_t now)
{
  static const char not_kept[] = "{\"outcome\":\"failed\",\"error\":{\"code\":502,\"field\":null,"
                                 "\"message\":\"it ran, and its answer was too large to keep\"}}";
  struct claim_answer stored = { .verdict = CLAIM_SETTLED, .code = 502, .outcome = "failed" };

  stored.body = not_kept;
  stored.body_length = sizeof not_kept - 1;
  if (result->body_kept)
    {
      stored.code = (int) result->code;
      stored.outcome = result->outcome;
      stored.body = result->body;
      stored.body_length = result->body_length;
    }
  answer (job, &stored, now);
  claim_job_end (job);
}

static void
handle_acquire_result (struct claim_job *job, const struct claim_result *result, int64_t now)
{
  struct claim_answer other = { .verdict = result->verdict };

  if (result->fenced)
    fenced (job, now);
  else if (result->verdict == CLAIM_GRANTED && job->waiter == NULL)
    abandon (job, now);
  else if (result->verdict == CLAIM_GRANTED)
    {
      claim_job_set_step (job, JOB_HELD);
      add_granted (job);
      answer (job, &other, now);
    }
  else if (job->waiter == NULL)
    end_answered (job, now);
  else if (result->verdict == CLAIM_IN_FLIGHT)
    handle_in_flight (job, result, now);
  else if (result->verdict == CLAIM_SETTLED)
    settled (job, result, now);
  else
    {
      answer (job, &other, now);
      end_answered (job, now);
    }
}

static void
acquire_again (struct claim_job *job, int64_t now)
{
  if (job->step == JOB_RENEW_EPOCH)
    {
      job->entry.holder.epoch = job->log->epoch;
      job->entry.acquire_id = ++job->log->last_acquire_id;
      job->acquire_timed_out = false;
    }
  job->may_be_held = false;
  claim_job_set_step (job, JOB_ACQUIRE);
  if (job->waiter == NULL)
    end_answered (job, now);
  else
    claim_job_propose (job, now);
}

static void
end_settle (struct claim_job *job, enum claim_verdict verdict, int64_t now)
{
  struct claim_waiter *waiter = job->settle_waiter;
  struct claim_answer stored = { .verdict = verdict, .outcome = "" };

  claim_job_end (job);
  if (waiter == NULL)
    return;
  waiter->owner = NULL;
  waiter->ops->answered (waiter, &stored, now);
}

static void
handle_result (struct claim_job *job, const struct claim_result *result, int64_t now)
{
  switch (job->step)
    {
    case JOB_ACQUIRE:
      handle_acquire_result (job, result, now);
      break;
    case JOB_DECLARE_DEAD:
    case JOB_RENEW_EPOCH:
      acquire_again (job, now);
      break;
    case JOB_SETTLE:
      counter_add (job->log->settled, result->verdict == CLAIM_SETTLED);
      end_settle (job, result->verdict, now);
      break;
    case JOB_HELD:
    case JOB_RELEASE:
    case JOB_ANNOUNCE_START:
    default:
      claim_job_end (job);
      break;
    }
}

static void
done (struct proposal *proposal, enum status status, const void *data, size_t length, int64_t now)
{
  struct claim_job *job = CONTAINER_OF (proposal, struct claim_job, proposal);
  struct claim_result result;

  job->proposed = false;
  if (status != STATUS_OK && job->step == JOB_ACQUIRE)
    job->acquire_timed_out = true;
  if (status == STATUS_OK)
    status = claim_result_unpack (&result, data, length);
  if (status == STATUS_OK)
    handle_result (job, &result, now);
  else if (job->waiter != NULL && now >= job->deadline)
    end_unreachable (job, now);
  else if (job->step == JOB_ACQUIRE && job->waiter == NULL)
    abandon (job, now);
  else
    schedule_retry (job, now);
}

static const struct proposal_ops proposal_ops = { .done = done };
static const struct timer_ops timer_ops = { .fire = due };

static int
job_destroy (struct claim_job *job)
{
  if (job->proposed)
    job->group->ops->withdraw (job->group, &job->proposal);
  timer_disarm (job->log->config.timers, &job->timer);
  return 0;
}

struct claim_job *
claim_job_add (struct claim_log *log, enum job_step step, struct consensus *group)
{
  struct claim_job *job = talloc_zero (log, struct claim_job);

  if (job == NULL)
    return NULL;
  job->log = log;
  job->group = group;
  job->proposal.ops = &proposal_ops;
  job->timer.ops = &timer_ops;
  job->step = JOB_HELD;
  claim_job_set_step (job, step);
  text_copy_truncated (job->entry.host, sizeof job->entry.host, log->config.host);
  text_copy_truncated (job->entry.holder.host, sizeof job->entry.holder.host, log->config.host);
  job->entry.holder.epoch = log->epoch;
  job->entry.retention_ms = log->config.retention / USEC_PER_MSEC;
  DL_APPEND (log->jobs, job);
  talloc_set_destructor (job, job_destroy);
  return job;
}
