/* The flush, once per event loop iteration: send messages, store new state, apply committed
 * entries, answer requests. */
#include "consensus_voter_private.h"
#include "log.h"
#include <talloc.h>
#include <xxhash.h>

#define FLUSH_ROUNDS 8

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

/* Sends what may be sent, and has stored what is to be.  False if there was nothing to do. */
static bool
flush_once (struct consensus_voter *self, int64_t now)
{
  struct raft_ready ready;
  bool progress = raft_poll (self->raft, &ready, now);

  for (uint32_t i = 0; i < ready.n_messages; i++)
    voter_send (self, ready.messages[i]);
  if (ready.stores)
    {
      self->ready = ready;
      self->has_ready = true;
      self->is_installed = false;
    }
  voter_store_ready (self, now);
  if (self->health == STATUS_OK)
    apply (self, now);
  return progress;
}

void
voter_flush (struct consensus_voter *self, int64_t now)
{
  unsigned rounds = 0;

  if (self->health != STATUS_OK)
    return;
  timer_disarm (self->config.timers, &self->flush_timer);
  while (rounds < FLUSH_ROUNDS && flush_once (self, now) && self->health == STATUS_OK)
    rounds++;
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
  voter_snapshot_if_due (self, now);
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
