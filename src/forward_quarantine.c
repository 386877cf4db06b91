/* Requests that crash the targets that run them: what this host admits, sends and reports. */
#include "forward_private.h"
#include "text.h"
#include <stdio.h>
#include <talloc.h>

/* A connection that was silent for at least this long before its reset was timed out by this host's
 * kernel: its target may have ended at any time since data last arrived from it. */
#define TIMEOUT_RESET_SILENCE (2500 * USEC_PER_MSEC)

/* Retry-After, in seconds.  QUARANTINED: the request may have been cleared by then.  SUSPECTED:
 * the run that is under way may have ended. */
#define QUARANTINED_RETRY_AFTER_SEC 60.0
#define SUSPECTED_RETRY_AFTER_SEC 1.0

static bool
has_part (const struct forward_job *job, uint32_t n, uint64_t id)
{
  for (uint32_t i = 0; i < n; i++)
    if (job->facts.parts[i].id == id)
      return true;
  return false;
}

/* Reads the parts of the prompt, each once.  The last one is the request's own. */
static void
read_parts (struct forward_job *job)
{
  uint32_t n = job->facts.n_parts;

  if (job->features != NULL)
    return;
  if (n > 0 && !job->facts.has_more_parts)
    n--;
  job->features = talloc_zero_array (job, struct request_feature, 1 + n);
  if (job->features == NULL)
    return;
  job->n_features = 1;
  for (uint32_t i = 0; i < n; i++)
    if (!has_part (job, i, job->facts.parts[i].id))
      request_part_digest (job->pool, job->facts.parts[i].id,
                           &job->features[job->n_features++].digest);
}

/* False if memory is out: then nothing is known of the request. */
static bool
read_features (struct forward_job *job)
{
  read_parts (job);
  if (job->features == NULL)
    return false;
  if (!job->has_digest)
    request_digest_compute (job->exchange->head, job->exchange->body, job->organisation,
                            &job->features[0].digest);
  job->has_digest = true;
  return true;
}

void
job_format_content (const struct forward_job *job, char out[REQUEST_DIGEST_TEXT_SIZE])
{
  out[0] = '\0';
  if (job->has_digest)
    request_digest_format (&job->features[0].digest, out);
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

static struct quarantine_evidence *
evidence_of (const struct forward_job *job)
{
  return quarantine_entry_evidence (quarantine_of (job));
}

static enum quarantine_verdict
judge_again (struct forward_job *job, int64_t now)
{
  if (quarantine_entry_is_empty (quarantine_of (job)) || !read_features (job))
    return QUARANTINE_PASS;
  return quarantine_entry_get_verdict (quarantine_of (job), job->features, job->n_features,
                                       job->pool, now);
}

bool
job_is_admitted (struct forward_job *job, int64_t now)
{
  enum quarantine_verdict verdict = QUARANTINE_PASS;

  if (!quarantine_entry_is_empty (quarantine_of (job)) && read_features (job))
    verdict = quarantine_entry_admit (quarantine_of (job), job->facts.id, job->features,
                                      job->n_features, job->pool, now);
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
  if (!quarantine_entry_is_empty (quarantine_of (job)) && read_features (job))
    quarantine_entry_run_started (quarantine_of (job), job->features, job->n_features);
}

void
job_run_ended (struct forward_job *job)
{
  quarantine_entry_run_finished (quarantine_of (job), job->features, job->n_features);
}

/* The newest run.  A target that ended did so between `from` and `now`. */
static struct quarantine_run
run_of (struct forward_job *job, int64_t from, int64_t now)
{
  return (struct quarantine_run){
    .features = job->features,
    .n_features = job->n_features,
    .organisation = job->organisation,
    .route = job->route.name,
    .pool = job->pool,
    .from = from > job->sent_at ? from : job->sent_at,
    .to = now,
  };
}

void
job_note_break (struct forward_job *job, enum h1_end end, int64_t now)
{
  bool silent = end == H1_END_RESET && now - job->heard_at >= TIMEOUT_RESET_SILENCE;
  int64_t from = silent ? job->heard_at : now - QUARANTINE_COMMON_CAUSE_SPAN;
  struct quarantine_run run;

  job->is_suspected = judge_again (job, now) != QUARANTINE_PASS;
  if (!read_features (job))
    return;
  run = run_of (job, from, now);
  quarantine_evidence_connection_broke (evidence_of (job), job->target, &run, now);
}

/* The pool's owner has observed the crashes of the targets and which requests shared their calls.
 * The crashes recorded here are synthetic: random ids that no incarnation has, at times too far
 * apart for one cause. */
void
job_quarantine (struct forward_job *job, int64_t now)
{
  struct quarantine_suspect suspect = { .last_seen = now };

  for (uint32_t i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    {
      int64_t at = now - (int64_t) i * 2 * QUARANTINE_COMMON_CAUSE_SPAN;

      suspect.crashes[suspect.n_crashes++] = (struct quarantine_crash){
        .incarnation = rng_u64 (&job->forward->rng),
        .from = at - QUARANTINE_COMMON_CAUSE_SPAN,
        .to = at,
      };
    }
  text_copy_truncated (suspect.organisation, sizeof suspect.organisation, job->organisation);
  text_copy_truncated (suspect.route, sizeof suspect.route, job->route.name);
  if (read_features (job))
    {
      suspect.digest = job->features[0].digest;
      quarantine_control_learn (quarantine_entry_control (quarantine_of (job)), &suspect, now);
    }
  job_give_up (job, FORWARD_QUARANTINED, QUARANTINED_RETRY_AFTER_SEC);
}

void
job_note_complete_answer (struct forward_job *job, int64_t now)
{
  struct quarantine_run run;

  if (job->call.framing == H1_FRAMING_CLOSE)
    {
      if (!read_features (job))
        return;
      run = run_of (job, now - QUARANTINE_COMMON_CAUSE_SPAN, now);
      quarantine_evidence_connection_ended (evidence_of (job), job->target, &run, now);
      return;
    }
  read_parts (job);
  if (job->features == NULL)
    return;
  quarantine_evidence_parts_proven (evidence_of (job), job->pool, job->features + 1,
                                    job->n_features - 1, now);
  if ((!quarantine_entry_is_empty (quarantine_of (job))
       || quarantine_evidence_is_pending (evidence_of (job)))
      && read_features (job))
    quarantine_evidence_answer_completed (evidence_of (job), job->features, job->n_features, now);
}

void
job_note_target_answers (struct forward_job *job, int64_t now)
{
  quarantine_evidence_target_answered (evidence_of (job), job->target, now);
}

void
job_note_target_refuses (struct forward_job *job, int64_t now)
{
  quarantine_evidence_connection_refused (evidence_of (job), job->target, now);
}
