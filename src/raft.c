/* Raft: construction of a server, dispatch of messages, and the ready with what to store and
 * send. */
#include "raft.h"
#include "raft_private.h"
#include <string.h>
#include <talloc.h>

static const char *const role_texts[] = {
#define X(name, text) [RAFT_##name] = text,
  RAFT_ROLE_LIST (X)
#undef X
};

const char *
raft_role_text (enum raft_role role)
{
  return (unsigned) role < RAFT_ROLE_COUNT ? role_texts[role] : "unknown";
}

struct raft *
raft_new (void *parent,
          const struct raft_options *options,
          const struct raft_state *state,
          const struct raft_snapshot *snapshot,
          uint64_t base_index,
          uint64_t base_term,
          int64_t now)
{
  struct raft *raft = talloc_zero (parent, struct raft);

  if (raft == NULL)
    return NULL;
  INVARIANT (options->id != 0 && base_index <= snapshot->index);
  raft->unsent = talloc_zero (raft, struct raft_message);
  if (raft->unsent == NULL)
    {
      talloc_free (raft);
      return NULL;
    }
  raft->options = *options;
  rng_init (&raft->rng, options->seed);
  raft->state = *state;
  raft->stored_state = *state;
  raft->snapshot = *snapshot;
  raft_log_init (&raft->log, base_index, base_term);
  raft->commit = snapshot->index;
  raft->applied = snapshot->index;
  raft_configs_add (raft, snapshot->index, &snapshot->members);
  bytes_init (&raft->incoming.data, raft);
  /* A restart loses the time of the leader's last message, and that leader may hold a lease based
   * on this server not voting for election_min: refuse votes for that long from the start.  A
   * server that never had a term acknowledged nothing, and in a group without leases nothing
   * depends on it. */
  raft->heard_at = state->term > 0 && options->lease_reads ? now : now - options->election_min;
  raft_set_first_election_time (raft, now);
  return raft;
}

enum status
raft_restore_entry (struct raft *raft, const struct raft_entry *entry)
{
  struct raft_members members;
  enum status status;

  INVARIANT (entry->index == raft_log_last (&raft->log) + 1);
  if (entry->kind == RAFT_ENTRY_MEMBERS && entry->index > raft->snapshot.index)
    {
      status = raft_members_read (entry->data, entry->length, &members);
      if (status != STATUS_OK)
        return status;
      raft_configs_add (raft, entry->index, &members);
    }
  status = raft_log_append (raft, &raft->log, entry->term, entry->kind, entry->data, entry->length);
  if (status == STATUS_OK)
    raft_log_set_stored (&raft->log, raft_log_last (&raft->log));
  return status;
}

void
raft_restored (struct raft *raft, int64_t now)
{
  const struct raft_members *members = raft_current_members (raft);

  if (raft_members_voters (members) == 1 && raft_members_is_voter (members, raft->options.id))
    raft->election_at = now;
}

enum status
raft_append_local (struct raft *raft, enum raft_entry_kind kind, const void *data, uint32_t length)
{
  return raft_log_append (raft, &raft->log, raft->state.term, kind, data, length);
}

enum status
raft_bootstrap (struct raft *raft, const struct raft_members *members)
{
  struct bytes out;
  enum status status;

  INVARIANT (raft_log_last (&raft->log) == 0 && raft->state.term == 0);
  raft->state.term = 1;
  bytes_init (&out, raft);
  raft_members_write (members, &out);
  if (bytes_has_failed (&out))
    return status_fail (STATUS_NO_MEMORY, "members of a new group");
  status = raft_append_local (raft, RAFT_ENTRY_MEMBERS, out.data, (uint32_t) out.length);
  bytes_clear (&out);
  if (status == STATUS_OK)
    raft_configs_add (raft, 1, members);
  raft->election_at = 0;
  return status;
}

int64_t
raft_next_tick_at (const struct raft *raft)
{
  if (raft->lost_entries)
    return USEC_NEVER;
  if (raft->role == RAFT_LEADER)
    return raft->heartbeat_at;
  /* A server that is still storing could not store its vote either. */
  if (raft->storing || !raft_members_is_voter (raft_current_members (raft), raft->options.id))
    return USEC_NEVER;
  return raft->election_at;
}

void
raft_tick (struct raft *raft, int64_t now)
{
  if (now < raft_next_tick_at (raft))
    return;
  if (raft->role == RAFT_LEADER)
    raft_tick_leader (raft, now);
  else
    raft_campaign (raft, true, false, now);
}

/* A message of an older term.  Reply with the current term, since the sender may be a deposed
 * leader that does not know yet, or a server whose pre-vote cannot succeed. */
static void
answer_old_term (struct raft *raft, const struct raft_message *m)
{
  if (m->kind == RAFT_APPEND || m->kind == RAFT_SNAPSHOT)
    raft_send (raft, RAFT_APPEND_REPLY, m->from);
  else if (m->kind == RAFT_PRE_VOTE)
    raft_send (raft, RAFT_PRE_VOTE_REPLY, m->from);
}

/* Adopt a higher term.  False when the message is to be ignored. */
static bool
update_term (struct raft *raft, const struct raft_message *m, int64_t now)
{
  bool from_leader = m->kind == RAFT_APPEND || m->kind == RAFT_SNAPSHOT;

  if ((m->kind == RAFT_PRE_VOTE || m->kind == RAFT_VOTE) && raft_refuses_vote (raft, m, now))
    return false;
  if (m->kind == RAFT_PRE_VOTE || (m->kind == RAFT_PRE_VOTE_REPLY && m->ok))
    return true;
  if (m->term > raft->state.term)
    raft_become_follower (raft, m->term, from_leader ? m->from : 0, now);
  return true;
}

void
raft_step (struct raft *raft, const struct raft_message *m, int64_t now)
{
  if (m->to != raft->options.id || m->from == raft->options.id || raft->lost_entries)
    return;
  if (m->term < raft->state.term)
    {
      answer_old_term (raft, m);
      return;
    }
  if (!update_term (raft, m, now))
    return;
  switch (m->kind)
    {
    case RAFT_PRE_VOTE:
    case RAFT_VOTE:
      raft_on_vote (raft, m, now);
      break;
    case RAFT_PRE_VOTE_REPLY:
    case RAFT_VOTE_REPLY:
      raft_on_vote_reply (raft, m, now);
      break;
    case RAFT_APPEND:
      raft_on_append (raft, m, now);
      break;
    case RAFT_APPEND_REPLY:
      raft_on_append_reply (raft, m, now);
      break;
    case RAFT_SNAPSHOT:
      raft_on_snapshot (raft, m, now);
      break;
    case RAFT_SNAPSHOT_REPLY:
      raft_on_snapshot_reply (raft, m, now);
      break;
    case RAFT_TIMEOUT_NOW:
      raft_on_timeout_now (raft, m, now);
      break;
    case RAFT_LOST:
      raft_on_lost (raft, m);
      break;
    case RAFT_MESSAGE_KIND_COUNT:
      break;
    }
}

enum status
raft_propose (struct raft *raft, const void *data, size_t length, uint64_t *index, uint64_t *term)
{
  enum status status;

  if (raft->role != RAFT_LEADER || raft->transfer_to != 0)
    return status_fail (STATUS_NOT_LEADER, "not the leader");
  if (length > RAFT_ENTRY_MAX)
    return status_fail (STATUS_TOO_LARGE, "entry of %zu bytes, %u at most", length, RAFT_ENTRY_MAX);
  status = raft_append_local (raft, RAFT_ENTRY_DATA, data, (uint32_t) length);
  *index = raft_log_last (&raft->log);
  *term = raft->state.term;
  return status;
}

/* Out of memory, and a queue that is full, are treated like lost messages. */
struct raft_message *
raft_send (struct raft *raft, enum raft_message_kind kind, uint64_t to)
{
  struct raft_message *m = talloc_zero (raft, struct raft_message);

  if (m == NULL)
    return raft->unsent;
  if (raft->n_out == RAFT_QUEUE_MAX)
    {
      talloc_free (raft->out[0]);
      memmove (raft->out, raft->out + 1, --raft->n_out * sizeof (struct raft_message *));
    }
  if ((raft->n_out & (raft->n_out - 1)) == 0)
    {
      uint32_t capacity = raft->n_out == 0 ? 1 : raft->n_out * 2;
      struct raft_message **grown =
          talloc_realloc (raft, raft->out, struct raft_message *, capacity);

      if (grown == NULL)
        {
          talloc_free (m);
          return raft->unsent;
        }
      raft->out = grown;
    }
  raft->out[raft->n_out++] = m;
  m->kind = kind;
  m->from = raft->options.id;
  m->to = to;
  m->term = raft->state.term;
  return m;
}

static bool
is_same_state (const struct raft_state *a, const struct raft_state *b)
{
  return a->term == b->term && a->vote == b->vote;
}

bool
raft_state_is_stored (const struct raft *raft)
{
  return is_same_state (&raft->state, &raft->stored_state);
}

void
raft_truncate (struct raft *raft, uint64_t from)
{
  raft_log_truncate (&raft->log, from);
  raft_configs_truncate (raft, from);
  if (raft->storing && raft->storing_last >= from)
    raft->storing_last = from - 1;
}

/* Does the message promise only what is stored?  The leader's entries go out before its own copy is
 * stored, since that copy is not counted until then. */
static bool
may_send (const struct raft *raft, const struct raft_message *m)
{
  if (!raft_state_is_stored (raft))
    return false;
  switch (m->kind)
    {
    case RAFT_PRE_VOTE:
    case RAFT_VOTE:
      return m->index <= raft->log.stored;
    case RAFT_APPEND_REPLY:
      return !m->ok || m->index <= raft->log.stored;
    case RAFT_SNAPSHOT_REPLY:
      return m->offset < m->total || m->index <= raft->log.stored;
    case RAFT_PRE_VOTE_REPLY:
    case RAFT_VOTE_REPLY:
    case RAFT_APPEND:
    case RAFT_SNAPSHOT:
    case RAFT_TIMEOUT_NOW:
    case RAFT_LOST:
    case RAFT_MESSAGE_KIND_COUNT:
      break;
    }
  return true;
}

static void
free_messages (struct raft_message ***list, uint32_t *n)
{
  for (uint32_t i = 0; i < *n; i++)
    talloc_free ((*list)[i]);
  TALLOC_FREE (*list);
  *n = 0;
}

/* Moves the messages that may be sent to `sent`.  Those of an earlier term are dropped: their
 * receivers would ignore them, and what they acknowledge may no longer be in the log. */
static void
take_sendable (struct raft *raft)
{
  uint32_t kept = 0;

  free_messages (&raft->sent, &raft->n_sent);
  if (raft->n_out == 0)
    return;
  raft->sent = talloc_array (raft, struct raft_message *, raft->n_out);
  for (uint32_t i = 0; i < raft->n_out; i++)
    {
      struct raft_message *m = raft->out[i];

      if (m->term < raft->state.term)
        talloc_free (m);
      else if (raft->sent != NULL && may_send (raft, m))
        raft->sent[raft->n_sent++] = m;
      else
        raft->out[kept++] = m;
    }
  raft->n_out = kept;
  if (kept == 0)
    TALLOC_FREE (raft->out);
}

static void
begin_storing (struct raft *raft, struct raft_ready *out, int64_t now)
{
  out->state_changed = !raft_state_is_stored (raft);
  out->state = raft->state;
  out->first = raft->log.stored + 1;
  out->last = raft_log_last (&raft->log);
  out->stores = out->state_changed || raft->install_ready || out->first <= out->last;
  if (!out->stores)
    return;
  if (raft->install_ready)
    {
      raft->install.keeps_log = raft_log_matches_snapshot (raft, &raft->install.snapshot);
      out->install = &raft->install;
    }
  raft->storing = true;
  raft->storing_since = now;
  raft->storing_state = raft->state;
  raft->storing_last = out->last;
  raft->storing_install = raft->install_ready;
}

bool
raft_poll (struct raft *raft, struct raft_ready *out, int64_t now)
{
  memset (out, 0, sizeof *out);
  if (raft->lost_entries)
    return false;
  if (raft->role == RAFT_LEADER)
    raft_generate_appends (raft, now);
  take_sendable (raft);
  out->messages = raft->sent;
  out->n_messages = raft->n_sent;
  if (!raft->storing)
    begin_storing (raft, out, now);
  return out->stores || out->n_messages > 0;
}

static void
end_storing (struct raft *raft, int64_t now)
{
  int64_t took = now - raft->storing_since;

  INVARIANT (raft->storing);
  raft->storing = false;
  raft->store_time = took > raft->store_time / 2 ? took : raft->store_time / 2;
}

void
raft_synced (struct raft *raft, int64_t now)
{
  bool has_voted =
      raft->storing_state.vote != 0 && !is_same_state (&raft->storing_state, &raft->stored_state);

  end_storing (raft, now);
  raft->stored_state = raft->storing_state;
  raft_log_set_stored (&raft->log, raft->storing_last);
  if (raft->storing_install)
    raft_finish_install (raft);
  if (raft->role != RAFT_LEADER && has_voted)
    raft_set_election_time (raft, now);
  if (raft->role == RAFT_CANDIDATE && raft_state_is_stored (raft))
    raft_count_own_vote (raft, now);
  if (raft->role == RAFT_LEADER)
    raft_advance_commit (raft);
}

/* Acknowledgements of entries that were not stored must not be sent; to the leader they look like
 * lost messages. */
void
raft_discard_unstored (struct raft *raft, int64_t now)
{
  uint64_t from = raft->log.stored + 1;

  end_storing (raft, now);
  raft_truncate (raft, from);
  if (raft->commit > raft->log.stored)
    raft->commit = raft->log.stored > raft->applied ? raft->log.stored : raft->applied;
  raft->install_ready = false;
  bytes_clear (&raft->incoming.data);
  for (uint32_t i = 0; i < raft->n_out; i++)
    if (raft->out[i]->kind == RAFT_APPEND_REPLY && raft->out[i]->index >= from)
      {
        raft->out[i]->ok = true;
        raft->out[i]->paused = true;
        raft->out[i]->index = raft->commit;
        raft->out[i]->last = raft->log.stored;
      }
  if (raft->role == RAFT_LEADER)
    raft_become_follower (raft, raft->state.term, 0, now);
}

/* A term or vote that was not sent to any server is not binding.  With the state as last stored
 * this server looks to the others like one whose messages were lost, and it adopts the term again
 * with the next message. */
void
raft_discard_ready (struct raft *raft, int64_t now)
{
  end_storing (raft, now);
  raft_truncate (raft, raft->log.stored + 1);
  if (raft->commit > raft->log.stored)
    raft->commit = raft->log.stored > raft->applied ? raft->log.stored : raft->applied;
  free_messages (&raft->out, &raft->n_out);
  raft_become_follower (raft, raft->state.term, 0, now);
  raft->state = raft->stored_state;
}

uint64_t
raft_unstored_bytes (const struct raft *raft)
{
  return raft->log.unstored_bytes;
}

void
raft_set_paused (struct raft *raft, bool paused)
{
  raft->paused = paused;
}

const struct raft_entry *
raft_next_committed (struct raft *raft)
{
  uint64_t bound = raft->commit < raft->log.stored ? raft->commit : raft->log.stored;

  if (raft->applied >= bound)
    return NULL;
  return raft_log_at (&raft->log, raft->applied + 1);
}

void
raft_mark_applied (struct raft *raft)
{
  INVARIANT (raft->applied < raft->commit);
  raft->applied++;
}

void
raft_compact_log (struct raft *raft, const struct raft_snapshot *snapshot, uint64_t keep_from)
{
  INVARIANT (snapshot->index <= raft->applied && keep_from <= snapshot->index);
  raft->snapshot = *snapshot;
  raft_log_compact (&raft->log, keep_from);
  raft_configs_compact (raft, snapshot->index);
  for (uint32_t i = 0; i < raft->n_peers; i++)
    if (raft->peers[i].state == PEER_SNAPSHOT)
      raft_start_snapshot (raft, &raft->peers[i]);
}

const struct raft_entry *
raft_entry_at (const struct raft *raft, uint64_t index)
{
  return raft_log_at (&raft->log, index);
}

uint64_t
raft_id (const struct raft *raft)
{
  return raft->options.id;
}

uint64_t
raft_term (const struct raft *raft)
{
  return raft->state.term;
}

enum raft_role
raft_role (const struct raft *raft)
{
  return raft->role;
}

uint64_t
raft_leader (const struct raft *raft)
{
  return raft->leader;
}

int64_t
raft_leader_heard_at (const struct raft *raft)
{
  return raft->heard_at;
}

uint64_t
raft_committed (const struct raft *raft)
{
  return raft->commit;
}

uint64_t
raft_applied (const struct raft *raft)
{
  return raft->applied;
}

uint64_t
raft_first (const struct raft *raft)
{
  return raft->log.base_index + 1;
}

uint64_t
raft_last (const struct raft *raft)
{
  return raft_log_last (&raft->log);
}

uint64_t
raft_log_bytes (const struct raft *raft)
{
  return raft->log.bytes;
}

const struct raft_members *
raft_get_members (const struct raft *raft)
{
  return raft_current_members (raft);
}

const struct raft_snapshot *
raft_last_snapshot (const struct raft *raft)
{
  return &raft->snapshot;
}

bool
raft_has_lost_entries (const struct raft *raft)
{
  return raft->lost_entries;
}
