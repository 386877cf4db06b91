/* Quarantine on an entry host. */
#include "quarantine_entry.h"
#include "container.h"
#include "log.h"
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/* Least time between announcements that clients still send a held request, so that others keep
 * it. */
#define SEEN_ANNOUNCE_INTERVAL (QUARANTINE_SUSPECT_TTL / 4)

struct quarantine_entry
{
  struct quarantine_entry_config config;
  struct quarantine_peers peers;
  struct quarantine_view view;
  struct quarantine_control *control;
  struct quarantine_evidence *evidence;
  struct quarantine *table;
  bool allows_trials; /* in the judgement that is being made */
  struct counter *verdicts[QUARANTINE_VERDICT_COUNT];
};

/* ---- the controllers ---- */

static uint32_t
list_controllers (struct quarantine_peers *peers, const char *out[SYNC_HOSTS_MAX], int64_t now)
{
  struct quarantine_entry *entry = CONTAINER_OF (peers, struct quarantine_entry, peers);

  (void) now;
  return subscriber_list_controllers (entry->config.subscriber, out);
}

static const struct quarantine_peers_ops peers_ops = { .list = list_controllers };

/* ---- verdicts ---- */

/* All trials of a feature are made by one host, so that there is at most one at a time: the host
 * with the highest rendezvous hash of its name and the feature. */
static bool
is_trial_host (struct quarantine_view *base, const struct request_digest *digest)
{
  const struct quarantine_entry *entry = CONTAINER_OF (base, struct quarantine_entry, view);
  const struct host_view *view = subscriber_hosts (entry->config.subscriber);
  uint64_t seed = XXH3_64bits (digest->bytes, REQUEST_DIGEST_SIZE);
  const struct sync_host *best = NULL;
  uint64_t best_score = 0;

  for (uint32_t i = 0; entry->allows_trials && i < view->n; i++)
    {
      const struct sync_host *host = view->hosts[i];
      uint64_t score = XXH3_64bits_withSeed (host->name, strlen (host->name), seed);

      if (best != NULL && score <= best_score)
        continue;
      best = host;
      best_score = score;
    }
  return best != NULL && subscriber_is_self (entry->config.subscriber, best);
}

static int64_t
cleared_until (struct quarantine_view *view, const struct request_digest *feature)
{
  const struct quarantine_entry *entry = CONTAINER_OF (view, struct quarantine_entry, view);

  return quarantine_evidence_cleared_until (entry->evidence, feature);
}

static enum proven_pool
get_pool (struct quarantine_view *view, const char *pool, int64_t now)
{
  const struct quarantine_entry *entry = CONTAINER_OF (view, struct quarantine_entry, view);

  return quarantine_evidence_pool (entry->evidence, pool, now);
}

static const struct quarantine_view_ops view_ops = {
  .cleared_until = cleared_until,
  .pool = get_pool,
  .is_trial_host = is_trial_host,
};

/* Announces the trial before the request itself is sent. */
static void
record_trial (struct quarantine_entry *entry, const struct request_digest *digest, int64_t now)
{
  const struct quarantine_suspect *suspect = quarantine_find (entry->table, digest);
  struct quarantine_suspect tried;

  if (suspect == NULL || quarantine_count_crashes (suspect, now) < QUARANTINE_CRASH_THRESHOLD
      || suspect->n_trials == QUARANTINE_TRIALS_MAX)
    return;
  tried = *suspect;
  tried.n_trials++;
  tried.last_trial = now;
  tried.last_seen = now;
  quarantine_control_learn (entry->control, &tried, now);
}

static void
record_seen (struct quarantine_entry *entry, const struct request_digest *digest, int64_t now)
{
  struct quarantine_suspect *suspect = quarantine_find (entry->table, digest);

  if (suspect == NULL)
    return;
  suspect->last_seen = now;
  if (quarantine_count_crashes (suspect, now) < QUARANTINE_CRASH_THRESHOLD
      || now - suspect->last_announced < SEEN_ANNOUNCE_INTERVAL)
    return;
  quarantine_control_announce (entry->control, suspect, now);
}

bool
quarantine_entry_is_empty (const struct quarantine_entry *entry)
{
  return quarantine_is_empty (entry->table);
}

enum quarantine_verdict
quarantine_entry_get_verdict (struct quarantine_entry *entry,
                              const struct request_feature *features,
                              uint32_t n_features,
                              const char *pool,
                              int64_t now)
{
  return quarantine_judge (entry->table, features, n_features, pool, &entry->view, now).verdict;
}

static void
log_judgement (const char *id, const struct quarantine_judgement *judgement, int64_t now)
{
  const struct quarantine_suspect *suspect = judgement->suspect;
  char content[REQUEST_DIGEST_TEXT_SIZE];
  char part[REQUEST_PART_TEXT_SIZE];

  if (suspect == NULL || judgement->verdict == QUARANTINE_ISOLATE)
    return;
  request_digest_format (&suspect->digest, content);
  request_digest_format_part (&suspect->digest, part);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "request-judged", "{s:s,s:s,s:s,s:s,s:i,s:I,s:i,s:i}",
             "id", id, "verdict", quarantine_verdict_text (judgement->verdict), "content", content,
             "part", part, "ends", (int) judgement->n_crashes, "newest_ms",
             (json_int_t) ((now - quarantine_last_event (suspect)) / USEC_PER_MSEC), "tries",
             (int) suspect->n_trials, "running", (int) suspect->n_running);
}

enum quarantine_verdict
quarantine_entry_admit (struct quarantine_entry *entry,
                        const char *id,
                        const struct request_feature *features,
                        uint32_t n_features,
                        const char *pool,
                        int64_t now)
{
  struct quarantine_judgement judgement;

  entry->allows_trials = true;
  judgement = quarantine_judge (entry->table, features, n_features, pool, &entry->view, now);
  entry->allows_trials = false;
  if (judgement.suspect != NULL)
    counter_add (entry->verdicts[judgement.verdict], 1);
  log_judgement (id, &judgement, now);
  for (uint32_t i = 0; i < n_features; i++)
    if (judgement.verdict == QUARANTINE_TRIAL)
      record_trial (entry, &features[i].digest, now);
    else
      record_seen (entry, &features[i].digest, now);
  return judgement.verdict;
}

void
quarantine_entry_run_started (struct quarantine_entry *entry,
                              struct request_feature *features,
                              uint32_t n_features)
{
  for (uint32_t i = 0; i < n_features; i++)
    {
      struct quarantine_suspect *suspect = quarantine_find (entry->table, &features[i].digest);

      features[i].is_counted = suspect != NULL;
      if (suspect != NULL)
        suspect->n_running++;
    }
}

void
quarantine_entry_run_finished (struct quarantine_entry *entry,
                               struct request_feature *features,
                               uint32_t n_features)
{
  for (uint32_t i = 0; i < n_features; i++)
    {
      struct quarantine_suspect *suspect =
          features[i].is_counted ? quarantine_find (entry->table, &features[i].digest) : NULL;

      features[i].is_counted = false;
      if (suspect != NULL && suspect->n_running > 0)
        suspect->n_running--;
    }
}

struct quarantine_evidence *
quarantine_entry_evidence (struct quarantine_entry *entry)
{
  return entry->evidence;
}

struct quarantine_control *
quarantine_entry_control (struct quarantine_entry *entry)
{
  return entry->control;
}

/* ---- construction ---- */

static void
create_counters (struct quarantine_entry *entry)
{
  for (int verdict = 0; verdict < QUARANTINE_VERDICT_COUNT; verdict++)
    {
      char label[64];

      snprintf (label, sizeof label, "verdict=\"%s\"",
                quarantine_verdict_text ((enum quarantine_verdict) verdict));
      entry->verdicts[verdict] =
          counter_get (entry->config.counters, "cherryarch_quarantine_verdicts_total",
                       "Arrivals of requests that are or were suspected.", label);
    }
}

static enum status
build (struct quarantine_entry *entry)
{
  struct quarantine_control_config control = {
    .peers = &entry->peers,
    .is_entry = true,
    .view = &entry->view,
    .port = entry->config.port,
    .timers = loop_timers (entry->config.loop),
    .counters = entry->config.counters,
  };
  struct quarantine_evidence_config evidence = {
    .loop = entry->config.loop,
    .registry = subscriber_registry (entry->config.subscriber),
    .balance = entry->config.balance,
    .counters = entry->config.counters,
  };

  entry->peers.ops = &peers_ops;
  entry->view.ops = &view_ops;
  entry->control = quarantine_control_new (entry, &control);
  if (entry->control == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  entry->table = quarantine_control_table (entry->control);
  evidence.control = entry->control;
  entry->evidence = quarantine_evidence_new (entry, &evidence);
  if (entry->evidence == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  return STATUS_OK;
}

struct quarantine_entry *
quarantine_entry_new (void *parent, const struct quarantine_entry_config *config)
{
  struct quarantine_entry *entry = talloc_zero (parent, struct quarantine_entry);

  if (entry == NULL)
    return NULL;
  entry->config = *config;
  if (build (entry) != STATUS_OK)
    {
      talloc_free (entry);
      return NULL;
    }
  create_counters (entry);
  return entry;
}
