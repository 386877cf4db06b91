/* Snapshot transfer to followers whose next entries are no longer in the log: chunk by chunk, one
 * in flight. */
#include "raft_private.h"

#define SNAPSHOT_MAX (256u << 20)

void
raft_start_snapshot (struct raft *raft, struct raft_peer *peer)
{
  INVARIANT (raft->snapshot.index > 0);
  peer->state = PEER_SNAPSHOT;
  peer->snapshot_index = raft->snapshot.index;
  peer->offset = 0;
  peer->chunk_in_flight = false;
  peer->n_in_flight = 0;
}

/* The driver fills in `data` when it sends the message. */
void
raft_generate_chunk (struct raft *raft, struct raft_peer *peer)
{
  struct raft_message *m = raft_send (raft, RAFT_SNAPSHOT, peer->id);
  uint64_t left = raft->snapshot.length - peer->offset;

  m->index = raft->snapshot.index;
  m->log_term = raft->snapshot.term;
  m->round = raft->round;
  m->offset = peer->offset;
  m->total = raft->snapshot.length;
  m->length = left < raft->options.chunk_bytes ? (uint32_t) left : raft->options.chunk_bytes;
  if (peer->offset == 0)
    m->members = raft->snapshot.members;
  peer->chunk_in_flight = true;
  peer->heartbeat_due = false;
}

bool
raft_log_matches_snapshot (const struct raft *raft, const struct raft_snapshot *snapshot)
{
  uint64_t term;

  return raft_log_term (&raft->log, snapshot->index, &term) && term == snapshot->term;
}

static void
reply_progress (struct raft *raft, const struct raft_message *m, uint64_t held)
{
  struct raft_message *reply = raft_send (raft, RAFT_SNAPSHOT_REPLY, m->from);

  reply->index = m->index;
  reply->log_term = m->log_term;
  reply->round = m->round;
  reply->ok = true;
  reply->paused = raft->paused;
  reply->offset = held;
  reply->total = m->total;
}

static bool
is_same_snapshot (const struct raft_incoming_snapshot *in, const struct raft_message *m)
{
  return in->index == m->index && in->term == m->log_term && in->leader_term == m->term
         && in->total == m->total;
}

void
raft_on_snapshot (struct raft *raft, const struct raft_message *m, int64_t now)
{
  struct raft_incoming_snapshot *in = &raft->incoming;

  if (raft->role == RAFT_LEADER)
    return;
  raft_become_follower (raft, m->term, m->from, now);
  raft->heard_at = now;
  raft_set_election_time (raft, now);
  if (m->index <= raft->commit)
    {
      reply_progress (raft, m, m->total);
      return;
    }
  if (raft->install_ready || m->total > SNAPSHOT_MAX)
    return;
  if (raft->paused)
    {
      reply_progress (raft, m, 0);
      return;
    }
  if (m->offset == 0 && !(is_same_snapshot (in, m) && in->data.length > 0))
    {
      bytes_clear (&in->data);
      in->index = m->index;
      in->term = m->log_term;
      in->leader_term = m->term;
      in->total = m->total;
      in->members = m->members;
    }
  if (!is_same_snapshot (in, m))
    {
      reply_progress (raft, m, 0);
      return;
    }
  if (m->offset == in->data.length)
    bytes_append (&in->data, m->data, m->length);
  if (bytes_has_failed (&in->data) || in->data.length > in->total)
    {
      bytes_clear (&in->data);
      reply_progress (raft, m, 0);
    }
  else if (in->data.length < in->total)
    reply_progress (raft, m, in->data.length);
  else
    {
      raft->install.snapshot = (struct raft_snapshot){
        .index = in->index,
        .term = in->term,
        .members = in->members,
        .length = in->total,
      };
      raft->install.data = in->data.data;
      raft->install_ready = true;
    }
}

/* The snapshot is stored and loaded; the log continues after it.  Matching entries after it are
 * kept, since some of them may have been acknowledged. */
void
raft_finish_install (struct raft *raft)
{
  const struct raft_snapshot *snapshot = &raft->install.snapshot;
  struct raft_message *reply;

  raft->install_ready = false;
  raft->snapshot = *snapshot;
  if (raft->install.keeps_log)
    {
      raft_log_compact (&raft->log, snapshot->index);
      raft_configs_compact (raft, snapshot->index);
    }
  else
    {
      raft_log_reset (&raft->log, snapshot->index, snapshot->term);
      raft->n_configs = 0;
      raft_configs_add (raft, snapshot->index, &snapshot->members);
    }
  if (raft->commit < snapshot->index)
    raft->commit = snapshot->index;
  raft->applied = snapshot->index;
  bytes_clear (&raft->incoming.data);
  raft->incoming.index = 0;
  reply = raft_send (raft, RAFT_SNAPSHOT_REPLY, raft->leader);
  reply->index = snapshot->index;
  reply->ok = true;
  reply->offset = snapshot->length;
  reply->total = snapshot->length;
}

void
raft_on_snapshot_reply (struct raft *raft, const struct raft_message *m, int64_t now)
{
  struct raft_peer *peer = raft_peer_find (raft, m->from);

  if (raft->role != RAFT_LEADER || peer == NULL)
    return;
  raft_peer_record_reply (raft, peer, m->round, now);
  if (peer->state != PEER_SNAPSHOT || m->index != peer->snapshot_index)
    return;
  peer->paused = m->paused;
  peer->chunk_in_flight = m->paused;
  if (m->offset < m->total || m->total != raft->snapshot.length)
    {
      peer->offset = m->offset < raft->snapshot.length ? m->offset : 0;
      return;
    }
  if (m->index > peer->match)
    {
      peer->match = m->index;
      peer->match_round = raft->round;
    }
  peer->state = PEER_PROBE;
  peer->probe_in_flight = false;
  peer->next = peer->match + 1;
  raft_advance_commit (raft);
}
