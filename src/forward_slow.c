/* Attempts without an answer: kept, or left for another target. */
#include "forward_private.h"
#include "log.h"
#include <jansson.h>

/* Share of the objective before which an attempt is not judged. */
#define JUDGE_OBJECTIVE_SHARE 0.5

static int64_t
least_wait (const struct forward_job *job)
{
  return (int64_t) (JUDGE_OBJECTIVE_SHARE * (double) job->route.objective);
}

static void
arm (struct forward_job *job, int64_t due)
{
  timer_arm (loop_timers (job->forward->config.loop), &job->timer,
             due < job->deadline ? due : job->deadline);
}

void
job_expect_answer (struct forward_job *job, int64_t now)
{
  arm (job, job->route.kind == ROUTE_IDEMPOTENT ? now + least_wait (job) : job->deadline);
}

static void
log_verdict (const struct forward_job *job,
             const struct slow_judgement *judgement,
             const char *decision,
             int64_t now)
{
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "attempt-slow",
             "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:i,s:i,s:I}", "id", job->facts.id, "target",
             job->target->id, "pool", job->pool, "decision", decision, "why",
             slow_verdict_text (judgement->verdict), "age_us", (json_int_t) (now - job->sent_at),
             "limit_us", (json_int_t) judgement->limit, "others_us", (json_int_t) judgement->mean,
             "others_late", (int) judgement->n_late, "others_sooner", (int) judgement->n_sooner,
             "left_ms", (json_int_t) ((job->deadline - now) / USEC_PER_MSEC));
}

/* Whether another target may answer in time, by what they usually take. */
static bool
may_end_elsewhere (const struct forward_job *job,
                   const struct slow_judgement *judgement,
                   int64_t now)
{
  return now + (int64_t) judgement->mean < job->deadline;
}

static void
note_late (struct forward_job *job, int64_t now)
{
  if (job->is_late)
    return;
  job->is_late = true;
  job_note_break (job, H1_END_RESET, now);
  balance_note_late (job->target, now);
}

/* The failure of the target is counted already. */
static void
leave (struct forward_job *job, const struct slow_judgement *judgement, int64_t now)
{
  counter_add (job->forward->slow_left, 1);
  log_verdict (job, judgement, "left", now);
  job_log_attempt (job, "no first byte in time", true, now);
  job_cancel_call (job);
  job_resend (job, now);
}

static void
keep (struct forward_job *job, const struct slow_judgement *judgement, bool is_news, int64_t now)
{
  if (is_news)
    log_verdict (job, judgement, "kept", now);
  arm (job, judgement->look_again);
}

void
job_judge_attempt (struct forward_job *job, int64_t now)
{
  struct forward *forward = job->forward;
  struct slow_judgement judgement;
  bool is_news;

  /* The target takes no connection: nothing ran there, and no answer can come. */
  if (!job->call.request_sent && job->runs < job->route.attempts)
    {
      job_abandon_attempt (job, "no connection in time", FORWARD_TIMEOUT, now);
      return;
    }
  judgement =
      balance_judge (forward->config.balance, job->target, job->sent_at, least_wait (job), now);
  is_news = !job->is_judged || judgement.verdict != job->slow_verdict;
  if (is_news)
    counter_add (forward->slow[judgement.verdict], 1);
  job->is_judged = true;
  job->slow_verdict = judgement.verdict;
  if (judgement.verdict == SLOW_LATE)
    {
      note_late (job, now);
      if (may_end_elsewhere (job, &judgement, now) && job_may_retry (job, true, now))
        {
          leave (job, &judgement, now);
          return;
        }
    }
  keep (job, &judgement, is_news, now);
}
