/* The flush, once per event loop iteration: store new state, send messages, apply committed
 * entries, answer requests. */
#include "consensus_voter_private.h"
#include "log.h"
#include "snapshot.h"
#include <talloc.h>
#include <xxhash.h>

#define FLUSH_ROUNDS 8
#define SNAPSHOT_RETRY (60 * USEC_PER_SEC)

/* Install a snapshot from the leader.  It is stored before it is loaded, and loaded before it is
 * acknowledged. */
static enum status
install (struct consensus_voter *self, const struct raft_install *in)
{
  struct machine *machine = self->config.machine;
  size_t length;
  enum status status = snapshot_check (in->data, in->snapshot.length, &length);

  if (status != STATUS_OK)
    return STATUS_MALFORMED;
  status = snapshot_store (self->config.disk, &in->snapshot, in->data);
  if (status == STATUS_OK && !in->keeps_log)
    status = journal_reset (self->journal, in->snapshot.index, in->snapshot.term);
  if (status == STATUS_OK)
    status = machine->ops->load (machine, in->snapshot.index, in->data, length);
  log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_INFO, "snapshot-taken-in", "{s:I,s:I,s:s}", "index",
             (json_int_t) in->snapshot.index, "term", (json_int_t) in->snapshot.term, "outcome",
             status_text (status));
  return status;
}

static enum status
store_records (struct consensus_voter *self, const struct raft_ready *ready, bool entries)
{
  if (ready->state_changed)
    journal_add_state (self->journal, &ready->state);
  for (uint64_t i = ready->first; entries && i <= ready->last; i++)
    journal_add_entry (self->journal, raft_entry_at (self->raft, i));
  if (self->syncs != NULL && (ready->state_changed || (entries && ready->last >= ready->first)))
    counter_add (self->syncs, 1);
  return journal_commit (self->journal);
}

/* When the disk is full the entries are discarded, as a restart would.  The vote is small, and the
 * reserved space normally leaves room for it; STATUS_DISK_FULL when it does not. */
static enum status
store_ready (struct consensus_voter *self, const struct raft_ready *ready, int64_t now)
{
  enum status status = STATUS_OK;
  bool entries = true;

  if (ready->install != NULL)
    {
      entries = ready->install->keeps_log;
      status = install (self, ready->install);
    }
  if (status == STATUS_OK)
    status = store_records (self, ready, entries);
  if (status != STATUS_DISK_FULL && status != STATUS_MALFORMED)
    return status;
  if (status == STATUS_DISK_FULL)
    {
      self->low_space = true;
      raft_set_paused (self->raft, true);
    }
  raft_discard_unstored (self->raft, now);
  return store_records (self, ready, false);
}

static void
send_all (struct consensus_voter *self, struct raft_message **messages, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    voter_send (self, messages[i]);
}

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

/* The leader sends appends before its own sync, so that both proceed in parallel; but not before a
 * new term is stored, since the leader must not lose that term in a crash. */
static bool
store_and_send (struct consensus_voter *self, const struct raft_ready *ready, int64_t now)
{
  enum status status;

  if (!ready->state_changed)
    send_all (self, ready->early, ready->n_early);
  status = store_ready (self, ready, now);
  /* A voter that stopped for good when its disk was full for some seconds left the group without a
   * quorum at the next loss, until its process was restarted.  So while it cannot store its vote it
   * only stays silent, like a partitioned host, and the next message retries the write. */
  if (status == STATUS_DISK_FULL)
    {
      set_vote_unstored (self, true);
      raft_discard_ready (self->raft, now);
      return false;
    }
  if (status != STATUS_OK)
    {
      voter_stop (self, status, "storing", now);
      return false;
    }
  if (ready->state_changed || ready->last >= ready->first)
    set_vote_unstored (self, false);
  if (ready->state_changed)
    send_all (self, ready->early, ready->n_early);
  send_all (self, ready->late, ready->n_late);
  raft_synced (self->raft, now);
  return true;
}

/* Returns the request that proposed the entry at `index` on this host, NULL if there is none or it
 * no longer exists.  Drops pending proposals up to `index`. */
static struct request *
pop_pending (struct consensus_voter *self, uint64_t index, uint64_t term)
{
  struct request *request = NULL;

  while (self->n_pending > 0 && self->pending[self->pending_first].index <= index)
    {
      const struct voter_pending *pending = &self->pending[self->pending_first];

      if (pending->index == index && pending->term == term)
        request = request_find (&self->requests, pending->request);
      self->pending_first++;
      self->n_pending--;
    }
  return request;
}

static void
apply_one (struct consensus_voter *self, const struct raft_entry *entry, int64_t now)
{
  struct machine *machine = self->config.machine;
  struct request *request = pop_pending (self, entry->index, entry->term);
  struct bytes result;

  bytes_init (&result, self);
  if (entry->kind == RAFT_ENTRY_DATA)
    machine->ops->apply (machine, entry->index, entry->data, entry->length, &result);
  raft_mark_applied (self->raft);
  if (self->applied_entries != NULL)
    counter_add (self->applied_entries, 1);
  if (request != NULL)
    request_finish (request, STATUS_OK, result.data, result.length, now);
  bytes_clear (&result);
}

static void
apply (struct consensus_voter *self, int64_t now)
{
  const struct raft_entry *entry;

  while ((entry = raft_next_committed (self->raft)) != NULL)
    apply_one (self, entry, now);
}

static void
collect_reads (struct consensus_voter *self, int64_t now)
{
  struct raft_read read;

  while (raft_pop_read (self->raft, &read))
    {
      struct request *request = request_find (&self->requests, read.token);

      if (request == NULL || request->stage != REQUEST_READING)
        continue;
      if (!read.ok)
        {
          request->stage = REQUEST_FORWARDED;
          if (request->proposal != NULL)
            request_arm (request, now);
          else
            request_finish (request, STATUS_UNAVAILABLE, NULL, 0, now);
          continue;
        }
      request->stage = REQUEST_APPLYING;
      request->index = read.index;
      self->reads_waiting = true;
    }
}

static bool
read_is_applied (const struct consensus_voter *self, const struct request *request)
{
  return request->stage == REQUEST_APPLYING
         && (request->proposal == NULL || request->index <= raft_applied (self->raft));
}

/* Finish reads whose index the state machine has applied.  For a read from another host the index
 * itself is the answer, and that host waits for its own state machine.  Requests are looked up
 * again one by one, since a callback may withdraw or propose others. */
static void
finish_reads (struct consensus_voter *self, int64_t now)
{
  uint64_t *numbers;
  uint32_t n = 0;

  if (!self->reads_waiting)
    return;
  self->reads_waiting = false;
  numbers = talloc_array (self, uint64_t, HASH_COUNT (self->requests.by_number));
  for (struct request *request = self->requests.by_number; request != NULL;
       request = request->hh.next)
    if (numbers != NULL && read_is_applied (self, request))
      numbers[n++] = request->number;
    else if (request->stage == REQUEST_APPLYING)
      self->reads_waiting = true;
  for (uint32_t i = 0; i < n; i++)
    {
      struct request *request = request_find (&self->requests, numbers[i]);

      if (request != NULL)
        request_finish (request, STATUS_OK, NULL, 0, now);
    }
  talloc_free (numbers);
}

/* XXX: saves, writes and syncs the whole state in one event loop iteration.  A state of 100 MB
 * blocks the host long enough to lose leadership; it should be written in steps. */
static enum status
take_snapshot (struct consensus_voter *self)
{
  struct raft_snapshot snapshot = { .index = raft_applied (self->raft) };
  struct machine *machine = self->config.machine;
  uint64_t keep = CONSENSUS_KEEP_ENTRIES;
  uint64_t keep_from;
  struct bytes payload;
  enum status status;

  if (!raft_members_at (self->raft, snapshot.index, &snapshot.members))
    return STATUS_AGAIN;
  snapshot.term = raft_entry_at (self->raft, snapshot.index)->term;
  bytes_init (&payload, self);
  status = machine->ops->save (machine, &payload);
  snapshot_seal (&payload);
  snapshot.length = payload.length;
  if (status == STATUS_OK && bytes_has_failed (&payload))
    status = status_fail (STATUS_NO_MEMORY, "snapshot");
  if (status == STATUS_OK)
    status = snapshot_store (self->config.disk, &snapshot, payload.data);
  bytes_clear (&payload);
  if (status != STATUS_OK)
    return status;
  if (raft_log_bytes (self->raft) > CONSENSUS_SNAPSHOT_BYTES
      || self->config.snapshot_entries < CONSENSUS_KEEP_ENTRIES)
    keep = 0;
  keep_from = snapshot.index > keep ? snapshot.index - keep : 0;
  raft_compact_log (self->raft, &snapshot, keep_from);
  if (self->snapshots != NULL)
    counter_add (self->snapshots, 1);
  return journal_compact (self->journal, keep_from);
}

/* Take no snapshot before the log has grown to the size of the last one, so that snapshots at most
 * double the bytes written.  An I/O error stops the voter; after any other failure, such as a full
 * disk, the snapshot is retried after SNAPSHOT_RETRY. */
static void
snapshot_if_due (struct consensus_voter *self, int64_t now)
{
  uint64_t since = raft_applied (self->raft) - raft_last_snapshot (self->raft)->index;
  uint64_t bytes = raft_log_bytes (self->raft);
  enum status status;

  if (since == 0 || now < self->snapshot_retry_at || bytes < raft_last_snapshot (self->raft)->length
      || (since < self->config.snapshot_entries && bytes <= CONSENSUS_SNAPSHOT_BYTES))
    return;
  status = take_snapshot (self);
  if (status == STATUS_OK)
    return;
  self->snapshot_retry_at = now + SNAPSHOT_RETRY;
  if (status == STATUS_IO)
    voter_stop (self, status, "snapshot", now);
  else
    log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_WARNING, "snapshot put off", "{s:s}", "message",
               status_message ());
}

static void
log_members (const struct consensus_voter *self)
{
  const struct raft_members *members = raft_get_members (self->raft);
  json_t *list = json_array ();

  for (uint32_t i = 0; i < members->n; i++)
    json_array_append_new (list, json_pack ("{s:s,s:b}", "host", members->members[i].name, "voter",
                                            members->members[i].voter));
  log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_INFO, "members", "{s:I,s:O}", "term",
             (json_int_t) raft_term (self->raft), "members", list);
  json_decref (list);
}

/* Log changes of the leader and of the members, which later answers depend on. */
static void
log_changes (struct consensus_voter *self)
{
  const struct raft_members *members = raft_get_members (self->raft);
  uint64_t hash = XXH3_64bits (members->members, members->n * sizeof members->members[0]);
  json_t *position;

  if (hash != self->logged_members)
    log_members (self);
  self->logged_members = hash;
  if (raft_leader (self->raft) == self->logged_leader
      && raft_term (self->raft) == self->logged_term)
    return;
  self->logged_leader = raft_leader (self->raft);
  self->logged_term = raft_term (self->raft);
  position = self->consensus.ops->position (&self->consensus);
  log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_INFO, "leader-changed", "{s:O}", "position", position);
  json_decref (position);
}

static void
report_state (struct consensus_voter *self)
{
  log_changes (self);
  if (self->term_gauge == NULL)
    return;
  gauge_set (self->term_gauge, (double) raft_term (self->raft));
  gauge_set (self->leader_gauge, raft_role (self->raft) == RAFT_LEADER);
}

void
voter_flush (struct consensus_voter *self, int64_t now)
{
  struct raft_ready ready;
  unsigned rounds = 0;

  if (self->health != STATUS_OK)
    return;
  timer_disarm (self->config.timers, &self->flush_timer);
  while (rounds < FLUSH_ROUNDS && raft_poll (self->raft, &ready, now))
    {
      if (!store_and_send (self, &ready, now))
        break;
      apply (self, now);
      rounds++;
    }
  if (self->health != STATUS_OK)
    return;
  collect_reads (self, now);
  finish_reads (self, now);
  voter_role_changed (self, now);
  if (raft_has_lost_entries (self->raft))
    {
      status_fail (STATUS_CORRUPT, "the data folder is older than what this voter acknowledged");
      voter_stop (self, STATUS_CORRUPT, "entries lost", now);
      return;
    }
  snapshot_if_due (self, now);
  report_state (self);
  if (self->health != STATUS_OK)
    return;
  if (rounds == FLUSH_ROUNDS)
    voter_schedule_flush (self, now);
  if (raft_next_tick_at (self->raft) == USEC_NEVER)
    timer_disarm (self->config.timers, &self->tick_timer);
  else
    timer_arm (self->config.timers, &self->tick_timer, raft_next_tick_at (self->raft));
}
