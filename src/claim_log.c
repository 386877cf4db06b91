/* Claims of this host over the replicated log. */
#include "claim_log.h"
#include "claim_entry.h"
#include "store_group.h"
#include "text.h"
#include <sodium.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>

#define EPOCH_SHIFT 8 /* an incarnation's epochs: 256 times declared dead at most */
#define TRY_WITHIN (USEC_PER_SEC)
#define PAUSE_FIRST (USEC_PER_SEC / 20)
#define PAUSE_MAX (USEC_PER_SEC)
#define LOOK_MARGIN                                                                                \
  (USEC_PER_SEC / 10) /* an in-flight answer comes this long before the deadline */
#define UNLISTED_GONE_AFTER (60 * USEC_PER_SEC)

/* What a job is about to have applied, or waits for. */
enum job_step
{
  JOB_TAKE,    /* until answered */
  JOB_GONE,    /* says that the holder is dead, then takes again */
  JOB_HELD,    /* granted: waits for settle or release */
  JOB_SETTLE,  /* until applied */
  JOB_RELEASE, /* until applied, then done */
  JOB_REFRESH, /* a release under an epoch that is over, then takes again under the new one */
  JOB_STARTED  /* tells a group that this process began */
};

struct claim_job
{
  struct claim_log *log;
  struct claim_job *prev;
  struct claim_job *next;
  UT_hash_handle hh; /* by key, while granted */
  struct proposal proposal;
  struct timer timer;
  struct claim_waiter *waiter; /* NULL once answered or withdrawn */
  struct consensus *group;
  enum job_step step;
  bool proposed;   /* done() will come */
  bool maybe_held; /* a take of ours was proposed */
  bool listed;     /* in the table of granted claims */
  int64_t deadline;
  int64_t pause;
  struct claim_entry entry; /* of the take; op and more are set as the step needs */
  struct claim_holder gone;
  char *body; /* of the settle */
};

struct claim_log
{
  struct claims claims;
  struct claim_log_config config;
  struct dump_source source;
  struct claim_job *jobs;
  struct claim_job *granted; /* by key */
  uint32_t pending;          /* jobs that are not JOB_HELD */
  uint64_t epoch;
  uint64_t last_take;
  int64_t started_at;
  struct counter *verdicts[CLAIM_VERDICT_COUNT];
  struct counter *settled;
  struct counter *repeats;
};

#define JOB_OF(pointer, member)                                                                    \
  ((struct claim_job *) ((char *) (pointer) -offsetof (struct claim_job, member)))

static void propose (struct claim_job *job, int64_t now);

/* uthash's macros are long; the functions are not.
 * NOLINTBEGIN(readability-function-size) */
static void
list_granted (struct claim_job *job)
{
  HASH_ADD (hh, job->log->granted, entry.key, CLAIM_KEY_SIZE, job);
  job->listed = true;
}

static void
unlist_granted (struct claim_job *job)
{
  if (job->listed)
    HASH_DEL (job->log->granted, job);
  job->listed = false;
}

static struct claim_job *
find_granted (const struct claim_log *log, const uint8_t key[CLAIM_KEY_SIZE])
{
  struct claim_job *job;

  HASH_FIND (hh, log->granted, key, CLAIM_KEY_SIZE, job);
  return job;
}
/* NOLINTEND(readability-function-size) */

static void
set_step (struct claim_job *job, enum job_step step)
{
  job->log->pending += (step != JOB_HELD) - (job->step != JOB_HELD);
  job->step = step;
  job->pause = PAUSE_FIRST;
}

static void
end_job (struct claim_job *job)
{
  set_step (job, JOB_HELD);
  timer_disarm (job->log->config.timers, &job->timer);
  unlist_granted (job);
  DL_DELETE (job->log->jobs, job);
  talloc_free (job);
}

/* Tell the waiter.  The job may be gone after the call. */
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

static void
start_release (struct claim_job *job, int64_t now)
{
  unlist_granted (job);
  set_step (job, JOB_RELEASE);
  propose (job, now);
}

/* The asker is told nothing more: the claim, if there is one, goes back. */
static void
give_up (struct claim_job *job, int64_t now)
{
  if (job->maybe_held)
    start_release (job, now);
  else
    end_job (job);
}

static void
end_unreached (struct claim_job *job, int64_t now)
{
  const struct claim_answer unreached = { .verdict = CLAIM_UNREACHABLE };

  /* First: a resend that the answer provokes must not find the claim held by nobody. */
  if (job->maybe_held)
    {
      struct claim_waiter *waiter = job->waiter;

      job->waiter = NULL;
      counter_add (job->log->verdicts[CLAIM_UNREACHABLE], 1);
      start_release (job, now);
      if (waiter != NULL)
        waiter->owner = NULL;
      if (waiter != NULL)
        waiter->ops->answered (waiter, &unreached, now);
      return;
    }
  answer (job, &unreached, now);
  end_job (job);
}

static void
pause_job (struct claim_job *job, int64_t now)
{
  int64_t due = now + job->pause;

  counter_add (job->log->repeats, 1);
  job->pause = job->pause * 2 < PAUSE_MAX ? job->pause * 2 : PAUSE_MAX;
  if (job->waiter != NULL && due > job->deadline)
    due = job->deadline;
  timer_arm (job->log->config.timers, &job->timer, due);
}

/* The entry of the step. */
static void
pack_step (struct claim_job *job, struct bytes *out, int64_t now)
{
  static const enum claim_op ops[] = {
    [JOB_TAKE] = CLAIM_TAKE,       [JOB_GONE] = CLAIM_GONE,       [JOB_SETTLE] = CLAIM_SETTLE,
    [JOB_RELEASE] = CLAIM_RELEASE, [JOB_REFRESH] = CLAIM_RELEASE, [JOB_STARTED] = CLAIM_STARTED,
  };
  struct claim_entry entry = job->entry;

  entry.op = ops[job->step];
  entry.time_ms = now / USEC_PER_MSEC + job->log->config.wall_offset_ms;
  if (job->step == JOB_GONE)
    entry.holder = job->gone;
  store_group_begin (STORE_PART_CLAIMS, out);
  claim_entry_pack (&entry, out);
}

static void
propose (struct claim_job *job, int64_t now)
{
  int64_t deadline = now + TRY_WITHIN;
  struct bytes entry;

  if (job->waiter != NULL && job->deadline < deadline)
    deadline = job->deadline;
  bytes_init (&entry, job);
  pack_step (job, &entry, now);
  job->proposed = !bytes_failed (&entry)
                  && job->group->ops->propose (job->group, entry.data, entry.length, &job->proposal,
                                               deadline, now)
                         == STATUS_OK;
  bytes_clear (&entry);
  if (job->proposed && job->step == JOB_TAKE)
    job->maybe_held = true;
  if (!job->proposed)
    pause_job (job, now);
}

static void
due (struct timer *timer, int64_t now)
{
  struct claim_job *job = JOB_OF (timer, timer);

  if (job->waiter != NULL && now >= job->deadline)
    end_unreached (job, now);
  else
    propose (job, now);
}

/* Is it known that this epoch of the holder is over?  A host that the board does not list counts
 * as gone only after this process has had time to learn of all hosts. */
static bool
holder_gone (const struct claim_log *log, const struct claim_holder *holder, int64_t now)
{
  const struct board_host *host = board_find_host (log->config.board, holder->host, NULL);

  if (host == NULL)
    return now > log->started_at + UNLISTED_GONE_AFTER;
  if (host->self)
    return holder->epoch >> EPOCH_SHIFT < log->config.incarnation;
  return host->state == HOST_DEAD || host->state == HOST_LEFT
         || host->incarnation > holder->epoch >> EPOCH_SHIFT;
}

static void
in_flight (struct claim_job *job, const struct claim_result *result, int64_t now)
{
  const struct claim_answer flying = { .verdict = CLAIM_IN_FLIGHT };

  job->maybe_held = false;
  if (holder_gone (job->log, &result->holder, now))
    {
      job->gone = result->holder;
      set_step (job, JOB_GONE);
      propose (job, now);
    }
  else if (now + job->pause + LOOK_MARGIN < job->deadline)
    pause_job (job, now);
  else
    {
      answer (job, &flying, now);
      end_job (job);
    }
}

/* Our epoch was declared dead while we live: go on under a new one.  The old take may be in the
 * log, and nothing was sent for it, so it is released first. */
static void
fenced (struct claim_job *job, int64_t now)
{
  struct claim_log *log = job->log;

  if (job->entry.holder.epoch == log->epoch)
    log->epoch++;
  set_step (job, JOB_REFRESH);
  propose (job, now);
}

/* An answer that was not kept must not pass for a whole one. */
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
  end_job (job);
}

static void
taken (struct claim_job *job, const struct claim_result *result, int64_t now)
{
  struct claim_answer other = { .verdict = result->verdict };

  if (result->fenced)
    fenced (job, now);
  else if (result->verdict == CLAIM_GRANTED && job->waiter == NULL)
    give_up (job, now);
  else if (result->verdict == CLAIM_GRANTED)
    {
      set_step (job, JOB_HELD);
      list_granted (job);
      answer (job, &other, now);
    }
  else if (job->waiter == NULL)
    end_job (job);
  else if (result->verdict == CLAIM_IN_FLIGHT)
    in_flight (job, result, now);
  else if (result->verdict == CLAIM_SETTLED)
    settled (job, result, now);
  else
    {
      answer (job, &other, now);
      end_job (job);
    }
}

static void
take_anew (struct claim_job *job, int64_t now)
{
  job->entry.holder.epoch = job->log->epoch;
  job->entry.take_id = ++job->log->last_take;
  job->maybe_held = false;
  set_step (job, JOB_TAKE);
  if (job->waiter == NULL)
    end_job (job);
  else
    propose (job, now);
}

static void
applied (struct claim_job *job, const struct claim_result *result, int64_t now)
{
  switch (job->step)
    {
    case JOB_TAKE:
      taken (job, result, now);
      break;
    case JOB_GONE:
    case JOB_REFRESH:
      take_anew (job, now);
      break;
    case JOB_SETTLE:
      counter_add (job->log->settled, result->verdict == CLAIM_SETTLED);
      end_job (job);
      break;
    case JOB_HELD:
    case JOB_RELEASE:
    case JOB_STARTED:
    default:
      end_job (job);
      break;
    }
}

static void
done (struct proposal *proposal, enum status status, const void *data, size_t length, int64_t now)
{
  struct claim_job *job = JOB_OF (proposal, proposal);
  struct claim_result result;

  job->proposed = false;
  if (status == STATUS_OK)
    status = claim_result_unpack (&result, data, length);
  if (status == STATUS_OK)
    applied (job, &result, now);
  else if (job->waiter != NULL && now >= job->deadline)
    end_unreached (job, now);
  else if (job->step == JOB_TAKE && job->waiter == NULL)
    give_up (job, now);
  else
    pause_job (job, now);
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

static struct claim_job *
add_job (struct claim_log *log, enum job_step step, struct consensus *group)
{
  struct claim_job *job = talloc_zero (log, struct claim_job);

  if (job == NULL)
    return NULL;
  job->log = log;
  job->group = group;
  job->proposal.ops = &proposal_ops;
  job->timer.ops = &timer_ops;
  job->step = JOB_HELD;
  set_step (job, step);
  text_copy_cut (job->entry.host, sizeof job->entry.host, log->config.host);
  text_copy_cut (job->entry.holder.host, sizeof job->entry.holder.host, log->config.host);
  job->entry.holder.epoch = log->epoch;
  job->entry.retention_ms = log->config.retention / USEC_PER_MSEC;
  DL_APPEND (log->jobs, job);
  talloc_set_destructor (job, job_destroy);
  return job;
}

static void
hash_key (const struct claim_key *key, uint8_t out[CLAIM_KEY_SIZE])
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, CLAIM_KEY_SIZE);
  crypto_generichash_update (&state, (const uint8_t *) key->organisation,
                             strlen (key->organisation) + 1);
  crypto_generichash_update (&state, (const uint8_t *) key->request_id, strlen (key->request_id));
  crypto_generichash_final (&state, out, CLAIM_KEY_SIZE);
}

static struct consensus *
group_of (const struct claim_log *log, const uint8_t key[CLAIM_KEY_SIZE])
{
  uint32_t word;

  memcpy (&word, key, sizeof word);
  return log->config.groups[word % log->config.n_groups];
}

static enum status
take (struct claims *claims,
      const struct claim_request *request,
      struct claim_waiter *waiter,
      int64_t deadline,
      int64_t now)
{
  struct claim_log *log = (struct claim_log *) claims;
  uint8_t key[CLAIM_KEY_SIZE];
  struct claim_job *job;

  hash_key (&request->key, key);
  job = add_job (log, JOB_TAKE, group_of (log, key));
  if (job == NULL)
    return status_fail (STATUS_NO_MEMORY, "no memory for a claim");
  memcpy (job->entry.key, key, sizeof key);
  memcpy (job->entry.body_hash, request->body_hash, sizeof job->entry.body_hash);
  job->entry.issued_at_ms = request->issued_at_ms;
  job->entry.take_id = ++log->last_take;
  job->deadline = deadline;
  job->waiter = waiter;
  waiter->owner = job;
  propose (job, now);
  return STATUS_OK;
}

static struct claim_job *
granted_job (struct claim_log *log, const struct claim_key *key)
{
  uint8_t hash[CLAIM_KEY_SIZE];
  struct claim_job *job;

  hash_key (key, hash);
  job = find_granted (log, hash);
  if (job == NULL)
    status_fail (STATUS_NOT_FOUND, "no claim is held for request %s", key->request_id);
  return job;
}

static enum status
settle (struct claims *claims,
        const struct claim_key *key,
        int code,
        const char *outcome,
        const void *body,
        size_t length,
        int64_t now)
{
  struct claim_log *log = (struct claim_log *) claims;
  struct claim_job *job = granted_job (log, key);

  if (job == NULL)
    return STATUS_NOT_FOUND;
  job->entry.code = (uint32_t) code;
  text_copy_cut (job->entry.outcome, sizeof job->entry.outcome, outcome);
  if (length <= log->config.answer_bytes)
    {
      job->body = talloc_size (job, length + 1);
      if (job->body == NULL)
        return status_fail (STATUS_NO_MEMORY, "no memory for an answer");
      if (length > 0)
        memcpy (job->body, body, length);
      job->entry.body = job->body;
      job->entry.body_length = length;
    }
  unlist_granted (job);
  set_step (job, JOB_SETTLE);
  propose (job, now);
  return STATUS_OK;
}

static enum status
release (struct claims *claims, const struct claim_key *key, int64_t now)
{
  struct claim_job *job = granted_job ((struct claim_log *) claims, key);

  if (job == NULL)
    return STATUS_NOT_FOUND;
  start_release (job, now);
  return STATUS_OK;
}

/* The claim may be granted all the same; it then goes back. */
static void
withdraw (struct claims *claims, struct claim_waiter *waiter)
{
  struct claim_job *job = waiter->owner;

  (void) claims;
  if (job == NULL)
    return;
  waiter->owner = NULL;
  job->waiter = NULL;
  if (!job->proposed && !job->maybe_held)
    end_job (job);
  else if (!job->proposed)
    set_step (job, JOB_RELEASE); /* its timer is armed */
}

static const struct claims_ops claims_ops = {
  .take = take,
  .settle = settle,
  .release = release,
  .withdraw = withdraw,
};

static json_t *
describe (struct dump_source *source, int64_t now)
{
  const struct claim_log *log =
      (const struct claim_log *) ((char *) source - offsetof (struct claim_log, source));

  (void) now;
  return json_pack ("{s:I,s:I,s:I,s:I}", "held", (json_int_t) HASH_COUNT (log->granted), "pending",
                    (json_int_t) log->pending, "epoch", (json_int_t) log->epoch, "groups",
                    (json_int_t) log->config.n_groups);
}

static const struct dump_source_ops source_ops = { .describe = describe };

static int
log_destroy (struct claim_log *log)
{
  HASH_CLEAR (hh, log->granted);
  return 0;
}

static void
register_counters (struct claim_log *log)
{
  char label[64];
  int verdict;

  for (verdict = 0; verdict < CLAIM_VERDICT_COUNT; verdict++)
    {
      snprintf (label, sizeof label, "verdict=\"%s\"",
                claim_verdict_text ((enum claim_verdict) verdict));
      log->verdicts[verdict] =
          counter_get (log->config.counters, "claims_total", "Claims asked for here.", label);
    }
  log->settled =
      counter_get (log->config.counters, "claims_settled_total", "Claims settled here.", NULL);
  log->repeats = counter_get (log->config.counters, "claim_repeats_total",
                              "Claim entries proposed again, and looks at claims in flight.", NULL);
}

struct claim_log *
claim_log_new (void *parent, const struct claim_log_config *config, int64_t now)
{
  struct claim_log *log = talloc_zero (parent, struct claim_log);
  uint32_t i;

  if (log == NULL)
    return NULL;
  INVARIANT (config->n_groups > 0 && config->n_groups <= CLAIM_LOG_GROUPS_MAX);
  log->claims.ops = &claims_ops;
  log->config = *config;
  log->source.ops = &source_ops;
  log->source.name = "claims";
  log->epoch = config->incarnation << EPOCH_SHIFT;
  log->started_at = now;
  register_counters (log);
  if (config->dump != NULL)
    dump_add (config->dump, &log->source);
  talloc_set_destructor (log, log_destroy);
  for (i = 0; i < config->n_groups; i++)
    {
      struct claim_job *job = add_job (log, JOB_STARTED, config->groups[i]);

      if (job != NULL)
        timer_arm (config->timers, &job->timer, now);
    }
  return log;
}

struct claims *
claim_log_claims (struct claim_log *log)
{
  return &log->claims;
}

uint32_t
claim_log_pending (const struct claim_log *log)
{
  return log->pending;
}
