/* Requests that crash the targets that run them: what this host admits, sends and reports. */
#include "forward_private.h"
#include "text.h"
#include <stdio.h>

/* A connection that was silent for at least this long before its reset was timed out by this host's
 * kernel: its target may have ended at any time since data last arrived from it. */
#define TIMEOUT_RESET_SILENCE (2500 * USEC_PER_MSEC)

/* Retry-After, in seconds.  QUARANTINED: the request may have been cleared by then.  SUSPECTED:
 * the run that is under way may have ended. */
#define QUARANTINED_RETRY_AFTER_SEC 60.0
#define SUSPECTED_RETRY_AFTER_SEC 1.0

const struct request_digest *
job_digest (struct forward_job *job)
{
  if (!job->has_digest)
    request_digest_compute (job->exchange->head, job->exchange->body, job->organisation,
                            &job->digest);
  job->has_digest = true;
  return &job->digest;
}

void
job_format_parts (const struct forward_job *job, char out[FORWARD_PARTS_TEXT_SIZE])
{
  uint32_t n = job->facts.n_parts;
  uint32_t logged = n < FORWARD_LOGGED_PARTS_MAX ? n : FORWARD_LOGGED_PARTS_MAX;
  size_t length = 0;

  out[0] = '\0';
  for (uint32_t i = 0; i < logged; i++)
    length += (size_t) snprintf (out + length, FORWARD_PARTS_TEXT_SIZE - length, "%s%llx",
                                 i == 0 ? "" : ",", (unsigned long long) job->facts.parts[i].id);
  if (logged < n)
    snprintf (out + length, FORWARD_PARTS_TEXT_SIZE - length, "+%u", n - logged);
}

static struct quarantine_entry *
quarantine_of (const struct forward_job *job)
{
  return job->forward->config.quarantine;
}

static enum quarantine_verdict
judge_again (struct forward_job *job, int64_t now)
{
  if (quarantine_entry_is_empty (quarantine_of (job)))
    return QUARANTINE_PASS;
  return quarantine_entry_get_verdict (quarantine_of (job), job_digest (job), now);
}

bool
job_is_admitted (struct forward_job *job, int64_t now)
{
  enum quarantine_verdict verdict = QUARANTINE_PASS;

  if (!quarantine_entry_is_empty (quarantine_of (job)))
    verdict = quarantine_entry_admit (quarantine_of (job), job_digest (job), now);
  job->is_trial = verdict == QUARANTINE_TRIAL;
  if (verdict == QUARANTINE_REFUSE)
    job_refuse (job, FORWARD_QUARANTINED, QUARANTINED_RETRY_AFTER_SEC);
  else if (verdict == QUARANTINE_WAIT)
    job_refuse (job, FORWARD_SUSPECTED, SUSPECTED_RETRY_AFTER_SEC);
  return verdict != QUARANTINE_REFUSE && verdict != QUARANTINE_WAIT;
}

/* Judges the request again, as it may have become suspect while its stages ran. */
bool
job_may_run (struct forward_job *job, int64_t now)
{
  enum quarantine_verdict verdict = judge_again (job, now);

  if (job->is_trial || (verdict != QUARANTINE_REFUSE && verdict != QUARANTINE_WAIT))
    return true;
  if (verdict == QUARANTINE_REFUSE)
    job_give_up (job, FORWARD_QUARANTINED, QUARANTINED_RETRY_AFTER_SEC);
  else
    job_give_up (job, FORWARD_SUSPECTED, SUSPECTED_RETRY_AFTER_SEC);
  return false;
}

bool
job_needs_isolation (struct forward_job *job, int64_t now)
{
  return judge_again (job, now) != QUARANTINE_PASS;
}

void
job_run_began (struct forward_job *job)
{
  if (!quarantine_entry_is_empty (quarantine_of (job)))
    job->is_counted = quarantine_entry_run_started (quarantine_of (job), job_digest (job));
}

void
job_run_ended (struct forward_job *job)
{
  if (job->is_counted)
    quarantine_entry_run_finished (quarantine_of (job), &job->digest);
  job->is_counted = false;
}

static struct quarantine_suspect
suspect_of (struct forward_job *job, int64_t now)
{
  struct quarantine_suspect suspect = { .digest = *job_digest (job), .last_seen = now };

  text_copy_truncated (suspect.organisation, sizeof suspect.organisation, job->organisation);
  text_copy_truncated (suspect.route, sizeof suspect.route, job->route.name);
  return suspect;
}

void
job_note_break (struct forward_job *job, enum h1_end end, int64_t now)
{
  bool silent = end == H1_END_RESET && now - job->heard_at >= TIMEOUT_RESET_SILENCE;
  int64_t instant = now - QUARANTINE_COMMON_CAUSE_SPAN;
  struct quarantine_suspect suspect = suspect_of (job, now);

  suspect.n_crashes = 1;
  suspect.crashes[0] = (struct quarantine_crash){
    .incarnation = job->target->id_hash,
    .from = silent                   ? job->heard_at
            : instant > job->sent_at ? instant
                                     : job->sent_at,
    .to = now,
  };
  job->is_suspected = judge_again (job, now) != QUARANTINE_PASS;
  quarantine_entry_connection_broke (quarantine_of (job), job->target, &suspect, now);
}

/* The pool's owner has observed the crashes of the targets and which requests shared their calls.
 * The crashes recorded here are synthetic: random ids that no incarnation has, at times too far
 * apart for one cause. */
void
job_quarantine (struct forward_job *job, int64_t now)
{
  struct quarantine_suspect suspect = suspect_of (job, now);

  for (uint32_t i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    {
      int64_t at = now - (int64_t) i * 2 * QUARANTINE_COMMON_CAUSE_SPAN;

      suspect.crashes[suspect.n_crashes++] = (struct quarantine_crash){
        .incarnation = rng_u64 (&job->forward->rng),
        .from = at - QUARANTINE_COMMON_CAUSE_SPAN,
        .to = at,
      };
    }
  quarantine_control_learn (quarantine_entry_control (quarantine_of (job)), &suspect, now);
  job_give_up (job, FORWARD_QUARANTINED, QUARANTINED_RETRY_AFTER_SEC);
}

void
job_note_complete_answer (struct forward_job *job, int64_t now)
{
  if (!quarantine_entry_is_empty (quarantine_of (job)))
    quarantine_entry_answer_completed (quarantine_of (job), job_digest (job), now);
}
