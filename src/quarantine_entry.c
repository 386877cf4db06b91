/* Quarantine on an entry host. */
#include "quarantine_entry.h"
#include "container.h"
#include "log.h"
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
  struct target_watch_listener fate_listener;
  struct quarantine_control *control;
  struct quarantine *table;
  struct target_watch *watch;
  struct quarantine_suspect *pending; /* QUARANTINE_PENDING_MAX, each with one crash */
  uint32_t n_pending;
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

/* ---- breaks ---- */

static void
fate (struct target_watch_listener *listener,
      uint64_t incarnation,
      enum target_fate fate,
      int64_t until,
      int64_t now)
{
  struct quarantine_entry *entry = CONTAINER_OF (listener, struct quarantine_entry, fate_listener);
  uint32_t kept = 0;

  if (fate == TARGET_FATE_LIVES)
    quarantine_control_retract (entry->control, incarnation, until, "the target lives", now);
  for (uint32_t i = 0; i < entry->n_pending; i++)
    {
      struct quarantine_suspect *suspect = &entry->pending[i];

      if (suspect->crashes[0].incarnation != incarnation || suspect->crashes[0].to > until)
        entry->pending[kept++] = *suspect;
      else if (fate == TARGET_FATE_ENDED)
        quarantine_control_learn (entry->control, suspect, now);
    }
  entry->n_pending = kept;
}

/* After a complete answer the fate of the targets is no evidence against the request. */
static void
drop_pending (struct quarantine_entry *entry, const struct request_digest *digest)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < entry->n_pending; i++)
    if (!request_digest_equal (&entry->pending[i].digest, digest))
      entry->pending[kept++] = entry->pending[i];
  entry->n_pending = kept;
}

static const struct target_watch_listener_ops fate_ops = { .fate = fate };

void
quarantine_entry_connection_broke (struct quarantine_entry *entry,
                                   const struct balance_target *target,
                                   const struct quarantine_suspect *suspect,
                                   int64_t now)
{
  enum target_fate known = target_watch_connection_broke (entry->watch, target, now);

  if (known == TARGET_FATE_ENDED)
    quarantine_control_learn (entry->control, suspect, now);
  else if (known != TARGET_FATE_UNKNOWN || !target_watch_is_watched (entry->watch, target->id_hash))
    return;
  else if (entry->n_pending < QUARANTINE_PENDING_MAX)
    entry->pending[entry->n_pending++] = *suspect;
  else
    log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "break-not-kept", "{s:s,s:i}", "target",
               target->id, "pending", (int) entry->n_pending);
}

/* ---- verdicts ---- */

/* All trials of a request are made by one host, so that there is at most one at a time: the host
 * with the highest rendezvous hash of its name and the request. */
static bool
is_trial_host (const struct quarantine_entry *entry, const struct request_digest *digest)
{
  const struct host_view *view = subscriber_hosts (entry->config.subscriber);
  uint64_t seed = XXH3_64bits (digest->bytes, REQUEST_DIGEST_SIZE);
  const struct sync_host *best = NULL;
  uint64_t best_score = 0;

  for (uint32_t i = 0; i < view->n; i++)
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

/* Announces the trial before the request itself is sent. */
static void
record_trial (struct quarantine_entry *entry, const struct quarantine_suspect *suspect, int64_t now)
{
  struct quarantine_suspect tried = *suspect;

  tried.n_trials++;
  tried.last_trial = now;
  tried.last_seen = now;
  quarantine_control_learn (entry->control, &tried, now);
}

static void
record_seen (struct quarantine_entry *entry, struct quarantine_suspect *suspect, int64_t now)
{
  suspect->last_seen = now;
  if (quarantine_count_crashes (suspect, now) < QUARANTINE_CRASH_THRESHOLD
      || now - suspect->last_announced < SEEN_ANNOUNCE_INTERVAL)
    return;
  quarantine_control_announce (entry->control, suspect, now);
}

bool
quarantine_entry_is_empty (const struct quarantine_entry *entry)
{
  return entry->n_pending == 0 && quarantine_is_empty (entry->table);
}

enum quarantine_verdict
quarantine_entry_get_verdict (const struct quarantine_entry *entry,
                              const struct request_digest *digest,
                              int64_t now)
{
  return quarantine_get_verdict (quarantine_find (entry->table, digest), false, now);
}

enum quarantine_verdict
quarantine_entry_admit (struct quarantine_entry *entry,
                        const struct request_digest *digest,
                        int64_t now)
{
  struct quarantine_suspect *suspect = quarantine_find (entry->table, digest);
  enum quarantine_verdict verdict;

  if (suspect == NULL)
    return QUARANTINE_PASS;
  verdict = quarantine_get_verdict (suspect, is_trial_host (entry, digest), now);
  counter_add (entry->verdicts[verdict], 1);
  if (verdict == QUARANTINE_TRIAL)
    record_trial (entry, suspect, now);
  else
    record_seen (entry, suspect, now);
  return verdict;
}

bool
quarantine_entry_run_started (struct quarantine_entry *entry, const struct request_digest *digest)
{
  struct quarantine_suspect *suspect = quarantine_find (entry->table, digest);

  if (suspect != NULL)
    suspect->n_running++;
  return suspect != NULL;
}

void
quarantine_entry_run_finished (struct quarantine_entry *entry, const struct request_digest *digest)
{
  struct quarantine_suspect *suspect = quarantine_find (entry->table, digest);

  if (suspect != NULL && suspect->n_running > 0)
    suspect->n_running--;
}

void
quarantine_entry_answer_completed (struct quarantine_entry *entry,
                                   const struct request_digest *digest,
                                   int64_t now)
{
  drop_pending (entry, digest);
  quarantine_control_clear (entry->control, digest, "a whole answer", now);
}

struct target_watch *
quarantine_entry_watch (struct quarantine_entry *entry)
{
  return entry->watch;
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
    .port = entry->config.port,
    .timers = loop_timers (entry->config.loop),
    .counters = entry->config.counters,
  };
  struct target_watch_config watch = {
    .loop = entry->config.loop,
    .registry = subscriber_registry (entry->config.subscriber),
    .balance = entry->config.balance,
    .counters = entry->config.counters,
    .listener = &entry->fate_listener,
  };

  entry->peers.ops = &peers_ops;
  entry->fate_listener.ops = &fate_ops;
  entry->control = quarantine_control_new (entry, &control);
  entry->watch = target_watch_new (entry, &watch);
  entry->pending = talloc_array (entry, struct quarantine_suspect, QUARANTINE_PENDING_MAX);
  if (entry->control == NULL || entry->watch == NULL || entry->pending == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  entry->table = quarantine_control_table (entry->control);
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
