/* What a voter stores: jobs of its disk worker, one at a time.
 *
 * Load pattern: a disk that stalls for seconds while changes, heartbeats and votes go on.  The loop
 * never waits for the disk; raft holds back only what depends on it. */
#include "consensus_voter_private.h"
#include "container.h"
#include "log.h"
#include "snapshot.h"
#include <talloc.h>

#define SNAPSHOT_RETRY (60 * USEC_PER_SEC)

/* A store that takes longer is logged. */
#define STALL_TIME (500 * USEC_PER_MSEC)

/* name, text */
#define STORE_KIND_LIST(X)                                                                         \
  X (IDENTITY, "taking the group")                                                                 \
  X (INSTALL, "storing a snapshot")                                                                \
  X (RECORDS, "storing")                                                                           \
  X (SNAPSHOT, "snapshot")

enum store_kind
{
#define X(name, text) STORE_##name,
  STORE_KIND_LIST (X)
#undef X
};

static const char *const kind_texts[] = {
#define X(name, text) [STORE_##name] = text,
  STORE_KIND_LIST (X)
#undef X
};

/* One job.  While it is under way the loop uses neither the journal nor this. */
struct voter_store
{
  struct disk_job job;
  struct consensus_voter *voter; /* not for the worker */
  enum store_kind kind;
  struct disk *disk;
  struct journal *journal;
  struct journal_identity identity;
  struct raft_snapshot snapshot;
  char *payload;      /* of the snapshot */
  bool keeps_log;     /* the log continues after an installed snapshot */
  uint64_t keep_from; /* of the own snapshot: entries up to here are no longer needed */
  int64_t queued_at;
};

static enum status
run_install (const struct voter_store *store)
{
  enum status status = snapshot_store (store->disk, &store->snapshot, store->payload);

  if (status != STATUS_OK || store->keeps_log)
    return status;
  return journal_reset (store->journal, store->snapshot.index, store->snapshot.term);
}

static enum status
run_snapshot (const struct voter_store *store)
{
  enum status status = snapshot_store (store->disk, &store->snapshot, store->payload);

  return status == STATUS_OK ? journal_compact (store->journal, store->keep_from) : status;
}

static enum status
run (struct disk_job *job)
{
  const struct voter_store *store = CONTAINER_OF (job, struct voter_store, job);

  switch (store->kind)
    {
    case STORE_IDENTITY:
      return journal_identity_write (store->disk, &store->identity);
    case STORE_INSTALL:
      return run_install (store);
    case STORE_RECORDS:
      return journal_commit (store->journal);
    case STORE_SNAPSHOT:
      return run_snapshot (store);
    }
  return STATUS_INVALID;
}

/* ---- outcomes, on the loop ---- */

static void
set_vote_unstored (struct consensus_voter *self, bool vote_unstored)
{
  if (vote_unstored != self->vote_unstored)
    log_event (LOG_MODULE_CONSENSUS, vote_unstored ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO,
               vote_unstored ? "vote-not-stored" : "vote-stored", "{s:I,s:s}", "term",
               (json_int_t) raft_term (self->raft), "message",
               vote_unstored ? status_message () : "");
  self->vote_unstored = vote_unstored;
}

/* The entries are discarded, as a restart would.  The vote is small, and the reserved space
 * normally leaves room for it.  A voter that stopped for good when its disk was full for some
 * seconds left the group without a quorum at the next loss, until its process was restarted.  So
 * while it cannot store its vote it only stays silent, like a partitioned host, and the next
 * message retries the write. */
static void
handle_full_disk (struct consensus_voter *self, int64_t now)
{
  bool has_more = self->ready.install != NULL || self->ready.last >= self->ready.first;

  self->low_space = true;
  raft_set_paused (self->raft, true);
  if (has_more)
    {
      raft_discard_unstored (self->raft, now);
      return;
    }
  set_vote_unstored (self, true);
  raft_discard_ready (self->raft, now);
}

/* The ready could not be stored, or its snapshot not be loaded. */
static void
handle_failure (struct consensus_voter *self, enum status status, int64_t now)
{
  self->has_ready = false;
  if (status == STATUS_DISK_FULL)
    handle_full_disk (self, now);
  else if (status == STATUS_MALFORMED)
    raft_discard_unstored (self->raft, now);
  else
    voter_stop (self, status, kind_texts[STORE_RECORDS], now);
}

static enum status
load_installed (struct consensus_voter *self)
{
  const struct raft_install *in = self->ready.install;
  struct machine *machine = self->config.machine;
  size_t length;
  enum status status = snapshot_check (in->data, in->snapshot.length, &length);

  if (status == STATUS_OK)
    status = machine->ops->load (machine, in->snapshot.index, in->data, length);
  log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_INFO, "snapshot-taken-in", "{s:I,s:I,s:s}", "index",
             (json_int_t) in->snapshot.index, "term", (json_int_t) in->snapshot.term, "outcome",
             status_text (status));
  return status;
}

/* A snapshot is stored before it is loaded, and loaded before it is acknowledged.  It is loaded
 * last, as entries before it may be applied until then. */
static void
handle_stored (struct consensus_voter *self, int64_t now)
{
  enum status status = self->ready.install == NULL ? STATUS_OK : load_installed (self);

  if (status != STATUS_OK)
    {
      handle_failure (self, status, now);
      return;
    }
  self->has_ready = false;
  set_vote_unstored (self, false);
  raft_synced (self->raft, now);
}

/* An I/O error stops the voter; after any other failure, such as a full disk, the snapshot is
 * retried after SNAPSHOT_RETRY. */
static void
snapshot_failed (struct consensus_voter *self, enum status status, int64_t now)
{
  self->snapshot_retry_at = now + SNAPSHOT_RETRY;
  if (status == STATUS_IO)
    voter_stop (self, status, kind_texts[STORE_SNAPSHOT], now);
  else
    log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_WARNING, "snapshot put off", "{s:s}", "message",
               status_message ());
}

static void
snapshot_ended (struct consensus_voter *self,
                const struct voter_store *store,
                enum status status,
                int64_t now)
{
  if (status != STATUS_OK)
    {
      snapshot_failed (self, status, now);
      return;
    }
  raft_compact_log (self->raft, &store->snapshot, store->keep_from);
  if (self->snapshots != NULL)
    counter_add (self->snapshots, 1);
}

static void
handle_outcome (struct consensus_voter *self,
                const struct voter_store *store,
                enum status status,
                int64_t now)
{
  switch (store->kind)
    {
    case STORE_IDENTITY:
      self->identity_unstored = false;
      if (status != STATUS_OK)
        voter_stop (self, status, kind_texts[STORE_IDENTITY], now);
      break;
    case STORE_INSTALL:
      self->is_installed = status == STATUS_OK;
      if (status != STATUS_OK)
        handle_failure (self, status, now);
      break;
    case STORE_RECORDS:
      if (status == STATUS_OK)
        handle_stored (self, now);
      else
        handle_failure (self, status, now);
      break;
    case STORE_SNAPSHOT:
      snapshot_ended (self, store, status, now);
      break;
    }
}

static void
note_time (struct consensus_voter *self, const struct voter_store *store, int64_t now)
{
  timer_disarm (self->config.timers, &self->stall_timer);
  self->journal_size = journal_bytes (self->journal);
  if (self->store_time != NULL)
    {
      histogram_record (self->store_time, (double) (now - store->job.began_at));
      histogram_record (self->store_wait, (double) (store->job.began_at - store->queued_at));
      gauge_set (self->stalled_gauge, 0);
    }
  if (!self->is_stalled)
    return;
  self->is_stalled = false;
  log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_WARNING, "disk-resumed", "{s:s,s:I}", "what",
             kind_texts[store->kind], "took_ms",
             (json_int_t) ((now - store->job.began_at) / USEC_PER_MSEC));
}

static void
done (struct disk_job *job, enum status status, int64_t now)
{
  struct voter_store *store = CONTAINER_OF (job, struct voter_store, job);
  struct consensus_voter *self = store->voter;

  self->store = NULL;
  note_time (self, store, now);
  if (self->health == STATUS_OK)
    handle_outcome (self, store, status, now);
  talloc_free (store);
  voter_schedule_flush (self, now);
}

static const struct disk_job_ops job_ops = { .run = run, .done = done };

static void
stall_fired (struct timer *timer, int64_t now)
{
  struct consensus_voter *self = CONTAINER_OF (timer, struct consensus_voter, stall_timer);

  self->is_stalled = true;
  if (self->stalled_gauge != NULL)
    gauge_set (self->stalled_gauge, 1);
  log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_WARNING, "disk-stalled", "{s:s,s:I,s:I}", "what",
             kind_texts[self->store->kind], "since_ms",
             (json_int_t) ((now - self->store->queued_at) / USEC_PER_MSEC), "unstored_bytes",
             (json_int_t) raft_unstored_bytes (self->raft));
}

const struct timer_ops voter_stall_ops = { .fire = stall_fired };

/* ---- jobs ---- */

/* Not freed with the voter: a worker that does not return may still use it. */
static struct voter_store *
new_store (struct consensus_voter *self, enum store_kind kind, int64_t now)
{
  struct voter_store *store = talloc_zero (NULL, struct voter_store);

  if (store == NULL)
    {
      voter_stop (self, status_fail (STATUS_NO_MEMORY, "no memory to store"), kind_texts[kind],
                  now);
      return NULL;
    }
  store->job.ops = &job_ops;
  store->voter = self;
  store->kind = kind;
  store->disk = self->config.disk;
  store->journal = self->journal;
  store->queued_at = now;
  return store;
}

static void
start (struct consensus_voter *self, struct voter_store *store, int64_t now)
{
  self->store = store;
  timer_arm (self->config.timers, &self->stall_timer, now + STALL_TIME);
  self->config.worker->ops->start (self->config.worker, &store->job, now);
}

static void
store_identity (struct consensus_voter *self, int64_t now)
{
  struct voter_store *store = new_store (self, STORE_IDENTITY, now);

  if (store == NULL)
    return;
  store->identity = self->identity;
  start (self, store, now);
}

static bool
copy_payload (struct voter_store *store, const void *data, uint64_t length)
{
  store->payload = talloc_memdup (store, data, length);
  return store->payload != NULL || length == 0;
}

static void
store_install (struct consensus_voter *self, int64_t now)
{
  const struct raft_install *in = self->ready.install;
  struct voter_store *store;
  size_t length;

  if (snapshot_check (in->data, in->snapshot.length, &length) != STATUS_OK)
    {
      handle_failure (self, STATUS_MALFORMED, now);
      return;
    }
  store = new_store (self, STORE_INSTALL, now);
  if (store == NULL)
    return;
  store->snapshot = in->snapshot;
  store->keeps_log = in->keeps_log;
  if (copy_payload (store, in->data, in->snapshot.length))
    {
      start (self, store, now);
      return;
    }
  talloc_free (store);
  voter_stop (self, status_fail (STATUS_NO_MEMORY, "snapshot"), kind_texts[STORE_INSTALL], now);
}

/* Entries that a later leader has replaced since the ready was made belong to the next one. */
static uint32_t
add_records (struct consensus_voter *self)
{
  const struct raft_ready *ready = &self->ready;
  bool entries = ready->install == NULL || ready->install->keeps_log;
  uint32_t n = 0;

  if (ready->state_changed)
    {
      journal_add_state (self->journal, &ready->state);
      n++;
    }
  for (uint64_t i = ready->first; entries && i <= ready->last; i++)
    {
      const struct raft_entry *entry = raft_entry_at (self->raft, i);

      if (entry == NULL || entry->term > ready->state.term)
        break;
      journal_add_entry (self->journal, entry);
      n++;
    }
  return n;
}

static void
store_records (struct consensus_voter *self, int64_t now)
{
  struct voter_store *store;

  if (add_records (self) == 0)
    {
      handle_stored (self, now);
      return;
    }
  store = new_store (self, STORE_RECORDS, now);
  if (store == NULL)
    return;
  if (self->syncs != NULL)
    counter_add (self->syncs, 1);
  start (self, store, now);
}

void
voter_store_ready (struct consensus_voter *self, int64_t now)
{
  if (self->store != NULL || self->health != STATUS_OK)
    return;
  if (self->identity_unstored)
    store_identity (self, now);
  else if (self->has_ready && self->ready.install != NULL && !self->is_installed)
    store_install (self, now);
  else if (self->has_ready)
    store_records (self, now);
}

/* XXX: saves the whole state in one event loop iteration. */
static enum status
store_snapshot (struct consensus_voter *self, int64_t now)
{
  struct raft_snapshot snapshot = { .index = raft_applied (self->raft) };
  struct machine *machine = self->config.machine;
  uint64_t keep = CONSENSUS_KEEP_ENTRIES;
  struct voter_store *store;
  struct bytes payload;
  enum status status;

  if (!raft_members_at (self->raft, snapshot.index, &snapshot.members))
    return status_fail (STATUS_AGAIN, "members at the snapshot are not known");
  snapshot.term = raft_entry_at (self->raft, snapshot.index)->term;
  bytes_init (&payload, self);
  status = machine->ops->save (machine, &payload);
  snapshot_seal (&payload);
  snapshot.length = payload.length;
  store = status == STATUS_OK ? new_store (self, STORE_SNAPSHOT, now) : NULL;
  if (store != NULL
      && (bytes_has_failed (&payload) || !copy_payload (store, payload.data, payload.length)))
    {
      TALLOC_FREE (store);
      status = status_fail (STATUS_NO_MEMORY, "snapshot");
    }
  bytes_clear (&payload);
  if (store == NULL)
    return status;
  if (raft_log_bytes (self->raft) > CONSENSUS_SNAPSHOT_BYTES
      || self->config.snapshot_entries < CONSENSUS_KEEP_ENTRIES)
    keep = 0;
  store->snapshot = snapshot;
  store->keep_from = snapshot.index > keep ? snapshot.index - keep : 0;
  start (self, store, now);
  return STATUS_OK;
}

/* Takes no snapshot before the log has grown to the size of the last one, so that snapshots at most
 * double the bytes written. */
void
voter_snapshot_if_due (struct consensus_voter *self, int64_t now)
{
  uint64_t since = raft_applied (self->raft) - raft_last_snapshot (self->raft)->index;
  uint64_t bytes = raft_log_bytes (self->raft);
  enum status status;

  if (self->store != NULL || self->has_ready || since == 0 || now < self->snapshot_retry_at
      || bytes < raft_last_snapshot (self->raft)->length
      || (since < self->config.snapshot_entries && bytes <= CONSENSUS_SNAPSHOT_BYTES))
    return;
  status = store_snapshot (self, now);
  if (status != STATUS_OK)
    snapshot_failed (self, status, now);
}

void
voter_release_storage (struct consensus_voter *self)
{
  if (self->store == NULL || self->config.worker->ops->abandon (self->config.worker))
    {
      talloc_free (self->store);
      talloc_free (self->storage);
      return;
    }
  /* The worker goes on with them. */
  talloc_steal (NULL, self->config.disk);
}
