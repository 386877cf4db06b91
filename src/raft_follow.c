/* The follower's side of replication. */
#include "raft_private.h"

/* The member sets in a message are validated before any of its entries is appended. */
static bool
has_valid_members (const struct raft_message *m)
{
  struct raft_members members;

  for (uint32_t i = 0; i < m->n_entries; i++)
    if (m->entries[i].kind == RAFT_ENTRY_MEMBERS
        && raft_members_read (m->entries[i].data, m->entries[i].length, &members) != STATUS_OK)
      return false;
  return true;
}

static enum status
append_entry (struct raft *raft, const struct raft_entry *entry)
{
  struct raft_members members;
  uint64_t term;
  enum status status;

  if (entry->index <= raft->commit)
    return STATUS_OK;
  if (raft_log_term (&raft->log, entry->index, &term))
    {
      if (term == entry->term)
        return STATUS_OK;
      raft_truncate (raft, entry->index);
    }
  status = raft_log_append (raft, &raft->log, entry->term, entry->kind, entry->data, entry->length);
  if (status != STATUS_OK || entry->kind != RAFT_ENTRY_MEMBERS)
    return status;
  status = raft_members_read (entry->data, entry->length, &members);
  INVARIANT (status == STATUS_OK);
  raft_configs_add (raft, entry->index, &members);
  return STATUS_OK;
}

/* The entry before the first one of the message is in the log.  Committed entries are the same in
 * every log, and their terms may no longer be in memory. */
static bool
previous_entry_matches (const struct raft *raft, const struct raft_message *m)
{
  uint64_t term;

  if (m->index <= raft->commit)
    return true;
  return raft_log_term (&raft->log, m->index, &term) && term == m->log_term;
}

/* The index at which the leader should retry: before all entries of the conflicting term, so that
 * it does not step back one entry per message. */
static uint64_t
next_index_hint (const struct raft *raft, const struct raft_message *m)
{
  uint64_t first;

  if (m->index > raft_log_last (&raft->log))
    return raft_log_last (&raft->log) + 1;
  first = raft_log_term_start (&raft->log, m->index);
  return first > raft->commit ? first : raft->commit + 1;
}

/* Acknowledges the round, and of the entries those stored so far.  The reply to the message itself
 * waits until its entries are stored; without this one a leader would take a follower with a slow
 * disk for dead. */
static void
acknowledge_stored (struct raft *raft, const struct raft_message *m)
{
  struct raft_message *reply = raft_send (raft, RAFT_APPEND_REPLY, m->from);

  reply->round = m->round;
  reply->paused = raft->paused;
  reply->index = raft->log.stored;
  reply->last = raft_log_last (&raft->log);
  reply->ok = true;
}

void
raft_on_append (struct raft *raft, const struct raft_message *m, int64_t now)
{
  struct raft_message *reply;
  uint32_t n_appended = 0;

  if (raft->role == RAFT_LEADER)
    return;
  raft_become_follower (raft, m->term, m->from, now);
  raft->heard_at = now;
  raft_set_election_time (raft, now);
  /* While a snapshot is being stored, the log that it replaces does not grow. */
  if (!has_valid_members (m) || raft->install_ready)
    return;
  reply = raft_send (raft, RAFT_APPEND_REPLY, m->from);
  reply->round = m->round;
  reply->paused = raft->paused;
  reply->index = m->index;
  if (!previous_entry_matches (raft, m))
    {
      reply->log_term = next_index_hint (raft, m);
      reply->last = raft_log_last (&raft->log);
      return;
    }
  while (!raft->paused && n_appended < m->n_entries
         && append_entry (raft, &m->entries[n_appended]) == STATUS_OK)
    n_appended++;
  reply->ok = true;
  reply->index = m->index + n_appended;
  reply->last = raft_log_last (&raft->log);
  if (m->commit > raft->commit && reply->index > raft->commit)
    raft->commit = m->commit < reply->index ? m->commit : reply->index;
  if (raft->storing && reply->index > raft->log.stored)
    acknowledge_stored (raft, m);
}

/* The leader proved that this server acknowledged an entry in this term that it no longer holds.
 * The data folder was restored from an older copy, or the disk lost synced data.  Any vote or
 * acknowledgement may be lost too, so taking part any longer could lose entries that others count
 * as committed. */
void
raft_on_lost (struct raft *raft, const struct raft_message *m)
{
  if (m->from == raft->leader && m->index > raft_log_last (&raft->log))
    raft->lost_entries = true;
}
