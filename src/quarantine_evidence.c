/* What the ends of runs show of the features of their requests. */
#include "quarantine_evidence.h"
#include "container.h"
#include "log.h"
#include "proven_parts.h"
#include "text.h"
#include <jansson.h>
#include <talloc.h>
#include <utlist.h>

/* A run whose target's fate is not known yet. */
struct pending_run
{
  uint64_t incarnation;
  int64_t from;
  int64_t to;
  bool looks_complete; /* its answer is complete if the target lives on */
  char organisation[ROUTING_NAME_SIZE];
  char route[ROUTING_NAME_SIZE];
  char pool[ROUTING_NAME_SIZE];
  struct request_feature *features;
  uint32_t n_features;
  struct pending_run *prev;
  struct pending_run *next;
};

struct quarantine_evidence
{
  struct quarantine_evidence_config config;
  struct target_watch_listener fate_listener;
  struct quarantine *table;
  struct proven_parts *proven;
  struct target_watch *watch;
  struct pending_run *pending;
  uint32_t n_pending;
  struct counter *not_kept;
};

/* ---- proofs ---- */

static bool
is_part (const struct request_feature *feature)
{
  uint64_t part;

  return request_digest_is_part (&feature->digest, &part);
}

void
quarantine_evidence_parts_proven (struct quarantine_evidence *evidence,
                                  const char *pool,
                                  const struct request_feature *parts,
                                  uint32_t n_parts,
                                  int64_t now)
{
  proven_parts_note_pool (evidence->proven, pool, now);
  for (uint32_t i = 0; i < n_parts; i++)
    proven_parts_note (evidence->proven, &parts[i].digest, now);
}

int64_t
quarantine_evidence_cleared_until (const struct quarantine_evidence *evidence,
                                   const struct request_digest *feature)
{
  return proven_parts_cleared_until (evidence->proven, feature);
}

enum proven_pool
quarantine_evidence_pool (const struct quarantine_evidence *evidence, const char *pool, int64_t now)
{
  return proven_parts_pool (evidence->proven, pool, now);
}

/* Whether a crash is evidence against a feature of the run. */
static bool
is_evidence (const struct quarantine_evidence *evidence,
             const struct pending_run *run,
             const struct request_feature *feature)
{
  if (!is_part (feature))
    return run->to > proven_parts_cleared_until (evidence->proven, &feature->digest);
  return proven_parts_may_blame (evidence->proven, run->pool, &feature->digest, run->to);
}

/* ---- runs ---- */

static void
learn_crash (struct quarantine_evidence *evidence, const struct pending_run *run, int64_t now)
{
  struct quarantine_suspect suspect = {
    .last_seen = now,
    .n_crashes = 1,
    .crashes = { { .incarnation = run->incarnation, .from = run->from, .to = run->to } },
  };

  text_copy_truncated (suspect.organisation, sizeof suspect.organisation, run->organisation);
  text_copy_truncated (suspect.route, sizeof suspect.route, run->route);
  for (uint32_t i = 0; i < run->n_features; i++)
    {
      if (!is_evidence (evidence, run, &run->features[i]))
        continue;
      suspect.digest = run->features[i].digest;
      quarantine_control_learn (evidence->config.control, &suspect, now);
    }
}

/* The run's answer was complete after all. */
static void
note_answer (struct quarantine_evidence *evidence, const struct pending_run *run, int64_t now)
{
  quarantine_evidence_parts_proven (evidence, run->pool, run->features + 1, run->n_features - 1,
                                    run->to);
  quarantine_evidence_answer_completed (evidence, run->features, run->n_features, now);
}

static void
drop_pending (struct quarantine_evidence *evidence, struct pending_run *run)
{
  DL_DELETE (evidence->pending, run);
  evidence->n_pending--;
  talloc_free (run);
}

static void
fate (struct target_watch_listener *listener,
      uint64_t incarnation,
      enum target_fate fate,
      int64_t until,
      int64_t now)
{
  struct quarantine_evidence *evidence =
      CONTAINER_OF (listener, struct quarantine_evidence, fate_listener);
  struct pending_run *run;
  struct pending_run *next;

  if (fate == TARGET_FATE_LIVES)
    quarantine_control_retract (evidence->config.control, incarnation, until, "the target lives",
                                now);
  DL_FOREACH_SAFE (evidence->pending, run, next)
    {
      if (run->incarnation != incarnation || run->to > until)
        continue;
      if (fate == TARGET_FATE_ENDED)
        learn_crash (evidence, run, now);
      else if (fate == TARGET_FATE_LIVES && run->looks_complete)
        note_answer (evidence, run, now);
      drop_pending (evidence, run);
    }
}

static const struct target_watch_listener_ops fate_ops = { .fate = fate };

/* Not in the list of pending runs.  NULL when memory is out. */
static struct pending_run *
copy_run (struct quarantine_evidence *evidence,
          const struct balance_target *target,
          const struct quarantine_run *from)
{
  struct pending_run *run = talloc_zero (evidence, struct pending_run);

  if (run == NULL)
    return NULL;
  run->incarnation = target->id_hash;
  run->from = from->from;
  run->to = from->to;
  text_copy_truncated (run->organisation, sizeof run->organisation, from->organisation);
  text_copy_truncated (run->route, sizeof run->route, from->route);
  text_copy_truncated (run->pool, sizeof run->pool, from->pool);
  run->n_features = from->n_features;
  run->features = talloc_memdup (run, from->features, from->n_features * sizeof *from->features);
  if (run->features != NULL)
    return run;
  talloc_free (run);
  return NULL;
}

/* Answers that end with their connection are frequent where targets send no other kind. */
static void
note_not_kept (struct quarantine_evidence *evidence, const struct pending_run *run)
{
  counter_add (evidence->not_kept, 1);
  if (!run->looks_complete)
    log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "break-not-kept", "{s:s,s:s,s:i}", "route",
               run->route, "pool", run->pool, "pending", (int) evidence->n_pending);
}

/* The run ended with its connection to the target, whose fate is `known`. */
static void
judge_run (struct quarantine_evidence *evidence,
           struct pending_run *run,
           enum target_fate known,
           int64_t now)
{
  if (known == TARGET_FATE_UNKNOWN && target_watch_is_watched (evidence->watch, run->incarnation)
      && evidence->n_pending < QUARANTINE_PENDING_MAX)
    {
      DL_APPEND (evidence->pending, run);
      evidence->n_pending++;
      return;
    }
  if (known == TARGET_FATE_ENDED)
    learn_crash (evidence, run, now);
  else if (known == TARGET_FATE_UNKNOWN)
    note_not_kept (evidence, run);
  talloc_free (run);
}

void
quarantine_evidence_connection_broke (struct quarantine_evidence *evidence,
                                      const struct balance_target *target,
                                      const struct quarantine_run *run,
                                      int64_t now)
{
  struct pending_run *copy = copy_run (evidence, target, run);
  enum target_fate known = target_watch_connection_broke (evidence->watch, target, now);

  if (copy != NULL)
    judge_run (evidence, copy, known, now);
}

static bool
is_suspected (struct quarantine_evidence *evidence, const struct quarantine_run *run, int64_t now)
{
  const struct quarantine_suspect *suspect;
  bool found = false;

  for (uint32_t i = 0; i < run->n_features && !found; i++)
    {
      suspect = quarantine_find (evidence->table, &run->features[i].digest);
      found = suspect != NULL && quarantine_count_crashes (suspect, now) > 0;
    }
  return found;
}

/* A suspect's target is asked at once whether it lives, others' only where something else tells
 * that it may not. */
void
quarantine_evidence_connection_ended (struct quarantine_evidence *evidence,
                                      const struct balance_target *target,
                                      const struct quarantine_run *run,
                                      int64_t now)
{
  struct pending_run *copy = copy_run (evidence, target, run);
  enum target_fate known = is_suspected (evidence, run, now)
                               ? target_watch_connection_broke (evidence->watch, target, now)
                               : target_watch_connection_ended (evidence->watch, target, now);

  if (copy == NULL)
    return;
  copy->looks_complete = true;
  judge_run (evidence, copy, known, now);
}

void
quarantine_evidence_target_answered (struct quarantine_evidence *evidence,
                                     const struct balance_target *target,
                                     int64_t now)
{
  target_watch_answered (evidence->watch, target->id_hash, now);
}

void
quarantine_evidence_connection_refused (struct quarantine_evidence *evidence,
                                        const struct balance_target *target,
                                        int64_t now)
{
  target_watch_connection_refused (evidence->watch, target, now);
}

void
quarantine_evidence_answer_completed (struct quarantine_evidence *evidence,
                                      const struct request_feature *features,
                                      uint32_t n_features,
                                      int64_t now)
{
  for (uint32_t i = 0; i < n_features; i++)
    {
      proven_parts_note (evidence->proven, &features[i].digest, now);
      quarantine_control_clear (evidence->config.control, &features[i].digest, "a whole answer",
                                now);
    }
}

bool
quarantine_evidence_is_pending (const struct quarantine_evidence *evidence)
{
  return evidence->n_pending > 0;
}

struct target_watch *
quarantine_evidence_watch (struct quarantine_evidence *evidence)
{
  return evidence->watch;
}

/* ---- construction ---- */

struct quarantine_evidence *
quarantine_evidence_new (void *parent, const struct quarantine_evidence_config *config)
{
  struct quarantine_evidence *evidence = talloc_zero (parent, struct quarantine_evidence);
  struct target_watch_config watch = {
    .loop = config->loop,
    .registry = config->registry,
    .balance = config->balance,
    .counters = config->counters,
  };

  if (evidence == NULL)
    return NULL;
  evidence->config = *config;
  evidence->table = quarantine_control_table (config->control);
  evidence->fate_listener.ops = &fate_ops;
  watch.listener = &evidence->fate_listener;
  evidence->watch = target_watch_new (evidence, &watch);
  evidence->proven = proven_parts_new (evidence);
  if (evidence->watch == NULL || evidence->proven == NULL)
    {
      talloc_free (evidence);
      return NULL;
    }
  evidence->not_kept = counter_get (
      config->counters, "cherryarch_quarantine_runs_not_kept_total",
      "Runs that ended with their connection, whose target's fate could not be awaited.", NULL);
  return evidence;
}
