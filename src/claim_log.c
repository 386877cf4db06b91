/* Claims of this host over the replicated log: the interface of the request path. */
#include "claim_log.h"
#include "claim_job.h"
#include "container.h"
#include "text.h"
#include <sodium.h>
#include <talloc.h>

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
select_group (const struct claim_log *log, const uint8_t key[CLAIM_KEY_SIZE])
{
  uint32_t word;

  memcpy (&word, key, sizeof word);
  return log->config.groups[word % log->config.n_groups];
}

static enum status
acquire (struct claims *claims,
         const struct claim_request *request,
         struct claim_waiter *waiter,
         int64_t deadline,
         int64_t now)
{
  struct claim_log *log = (struct claim_log *) claims;
  uint8_t key[CLAIM_KEY_SIZE];
  struct claim_job *job;

  hash_key (&request->key, key);
  job = claim_job_add (log, JOB_ACQUIRE, select_group (log, key));
  if (job == NULL)
    return status_fail (STATUS_NO_MEMORY, "no memory for a claim");
  memcpy (job->entry.key, key, sizeof key);
  memcpy (job->entry.body_hash, request->body_hash, sizeof job->entry.body_hash);
  job->entry.issued_at_ms = request->issued_at_ms;
  job->entry.acquire_id = ++log->last_acquire_id;
  job->deadline = deadline;
  job->waiter = waiter;
  waiter->owner = job;
  claim_job_propose (job, now);
  return STATUS_OK;
}

static struct claim_job *
granted_job (struct claim_log *log, const struct claim_key *key)
{
  uint8_t hash[CLAIM_KEY_SIZE];
  struct claim_job *job;

  hash_key (key, hash);
  job = claim_job_find_granted (log, hash);
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
        struct claim_waiter *waiter,
        int64_t now)
{
  struct claim_log *log = (struct claim_log *) claims;
  struct claim_job *job = granted_job (log, key);

  if (job == NULL)
    return STATUS_NOT_FOUND;
  job->entry.code = (uint32_t) code;
  text_copy_truncated (job->entry.outcome, sizeof job->entry.outcome, outcome);
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
  job->settle_waiter = waiter;
  if (waiter != NULL)
    waiter->owner = job;
  claim_job_remove_granted (job);
  claim_job_set_step (job, JOB_SETTLE);
  claim_job_propose (job, now);
  return STATUS_OK;
}

static enum status
release (struct claims *claims, const struct claim_key *key, int64_t now)
{
  struct claim_job *job = granted_job ((struct claim_log *) claims, key);

  if (job == NULL)
    return STATUS_NOT_FOUND;
  claim_job_release (job, now);
  return STATUS_OK;
}

/* A claim that is granted after this call is released. */
static void
withdraw (struct claims *claims, struct claim_waiter *waiter)
{
  struct claim_job *job = waiter->owner;

  (void) claims;
  if (job == NULL)
    return;
  waiter->owner = NULL;
  /* The settle itself continues. */
  if (job->settle_waiter == waiter)
    {
      job->settle_waiter = NULL;
      return;
    }
  job->waiter = NULL;
  if (!job->proposed && !job->may_be_held && !job->acquire_timed_out)
    claim_job_end (job);
  else if (!job->proposed)
    claim_job_set_step (job, JOB_RELEASE); /* the armed retry timer proposes the release */
}

static const struct claims_ops claims_ops = {
  .acquire = acquire,
  .settle = settle,
  .release = release,
  .withdraw = withdraw,
};

static json_t *
describe (struct dump_source *source, int64_t now)
{
  const struct claim_log *log = CONTAINER_OF (source, struct claim_log, source);

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
      log->verdicts[verdict] = counter_get (log->config.counters, "cherryarch_claims_total",
                                            "Claims asked for here.", label);
    }
  log->settled = counter_get (log->config.counters, "cherryarch_claims_settled_total",
                              "Claims settled here.", NULL);
  log->retries = counter_get (log->config.counters, "cherryarch_claim_repeats_total",
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
  log->config.host = talloc_strdup (log, config->host);
  log->source.ops = &source_ops;
  log->source.name = "claims";
  if (log->config.host == NULL)
    {
      talloc_free (log);
      return NULL;
    }
  log->epoch = config->incarnation << CLAIM_EPOCH_SHIFT;
  log->started_at = now;
  register_counters (log);
  if (config->dump != NULL)
    dump_add (config->dump, &log->source);
  talloc_set_destructor (log, log_destroy);
  for (i = 0; i < config->n_groups; i++)
    {
      struct claim_job *job = claim_job_add (log, JOB_ANNOUNCE_START, config->groups[i]);

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
