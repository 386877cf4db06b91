/* Replication on the leader: heartbeats, entries, acknowledgements, commit. */
#include "raft_private.h"
#include <string.h>
#include <talloc.h>

struct raft_peer *
raft_peer_find (struct raft *raft, uint64_t id)
{
  for (uint32_t i = 0; i < raft->n_peers; i++)
    if (raft->peers[i].id == id)
      return &raft->peers[i];
  return NULL;
}

/* Rebuild the peer records from the current members; members that stay keep their state. */
void
raft_rebuild_peers (struct raft *raft)
{
  const struct raft_members *members = raft_current_members (raft);
  struct raft_peer peers[RAFT_MEMBERS_MAX];
  uint32_t n = 0;

  for (uint32_t i = 0; i < members->n; i++)
    {
      const struct raft_peer *known = raft_peer_find (raft, members->members[i].id);

      if (members->members[i].id == raft->options.id)
        continue;
      if (known != NULL)
        peers[n++] = *known;
      else
        peers[n++] = (struct raft_peer){
          .id = members->members[i].id,
          .next = raft_log_last (&raft->log) + 1,
          .heartbeat_due = true,
        };
    }
  memcpy (raft->peers, peers, n * sizeof peers[0]);
  raft->n_peers = n;
}

void
raft_become_leader (struct raft *raft, int64_t now)
{
  raft->role = RAFT_LEADER;
  raft->leader = raft->options.id;
  raft->elected_at = now;
  raft->quorum_sent_at = 0;
  raft->quorum_round = 0;
  raft->round = 0;
  memset (raft->rounds, 0, sizeof raft->rounds);
  raft->lease_released = false;
  raft->transfer_to = 0;
  raft->n_peers = 0;
  raft_rebuild_peers (raft);
  if (raft_append_local (raft, RAFT_ENTRY_NOOP, NULL, 0) != STATUS_OK)
    {
      raft_become_follower (raft, raft->state.term, 0, now);
      return;
    }
  raft->first_index = raft_log_last (&raft->log);
  raft_new_round (raft, now);
}

/* The highest value reached by a quorum: the nth largest of the voters' values, where n is the
 * quorum. */
static uint64_t
quorum_value (const struct raft *raft, uint64_t own, uint64_t (*value) (const struct raft_peer *))
{
  const struct raft_members *members = raft_current_members (raft);
  uint64_t values[RAFT_MEMBERS_MAX + 1];
  uint32_t n = 0;

  if (raft_members_is_voter (members, raft->options.id))
    values[n++] = own;
  for (uint32_t i = 0; i < raft->n_peers; i++)
    if (raft_members_is_voter (members, raft->peers[i].id))
      values[n++] = value (&raft->peers[i]);
  for (uint32_t i = 1; i < n; i++)
    for (uint32_t j = i; j > 0 && values[j] > values[j - 1]; j--)
      {
        uint64_t swapped = values[j];

        values[j] = values[j - 1];
        values[j - 1] = swapped;
      }
  return values[raft_members_quorum (members) - 1];
}

static uint64_t
peer_match (const struct raft_peer *peer)
{
  return peer->match;
}

static uint64_t
peer_round (const struct raft_peer *peer)
{
  return peer->round;
}

/* An entry of an earlier term is committed only through a later entry of the current term (Raft,
 * figure 8). */
void
raft_advance_commit (struct raft *raft)
{
  uint64_t index = quorum_value (raft, raft->log.stored, peer_match);
  uint64_t term;

  if (index <= raft->commit || !raft_log_term (&raft->log, index, &term)
      || term != raft->state.term)
    return;
  raft->commit = index;
}

static void
advance_quorum_round (struct raft *raft)
{
  uint64_t round = quorum_value (raft, raft->round, peer_round);

  if (round <= raft->quorum_round)
    return;
  raft->quorum_round = round;
  if (raft->rounds[round % RAFT_ROUNDS].round == round)
    raft->quorum_sent_at = raft->rounds[round % RAFT_ROUNDS].sent_at;
  raft_confirm_reads (raft);
}

/* Start a heartbeat round.  Its number dates a quorum's acknowledgement by the time the round was
 * sent, never by the time the replies arrived. */
void
raft_new_round (struct raft *raft, int64_t now)
{
  raft->round++;
  raft->rounds[raft->round % RAFT_ROUNDS] =
      (struct raft_round){ .round = raft->round, .sent_at = now };
  raft->reads_need_round = false;
  raft->heartbeat_at = now + raft->options.heartbeat;
  for (uint32_t i = 0; i < raft->n_peers; i++)
    raft->peers[i].heartbeat_due = true;
  advance_quorum_round (raft);
}

void
raft_peer_record_reply (struct raft *raft, struct raft_peer *peer, uint64_t round, int64_t now)
{
  peer->heard_at = now;
  if (round > raft->round || round <= peer->round)
    return;
  peer->round = round;
  advance_quorum_round (raft);
}

/* Has the own disk stalled while those of a quorum have not?  A leader that applies nothing answers
 * no change; one of the others can. */
static bool
is_behind_its_followers (const struct raft *raft, int64_t now)
{
  return raft->storing && raft->commit > raft->log.stored
         && now - raft->storing_since > raft->options.election_max;
}

/* Check-quorum: a leader not acknowledged by a quorum for the longest election timeout steps down,
 * since another leader may have been elected and callers should look for it.  This also deposes a
 * leader that can send but not receive. */
void
raft_tick_leader (struct raft *raft, int64_t now)
{
  int64_t confirmed =
      raft->quorum_sent_at > raft->elected_at ? raft->quorum_sent_at : raft->elected_at;

  if (now - confirmed > raft->options.election_max)
    {
      raft_become_follower (raft, raft->state.term, 0, now);
      return;
    }
  if (raft->transfer_to != 0 && now >= raft->transfer_until)
    raft->transfer_to = 0;
  if (raft->transfer_to == 0 && is_behind_its_followers (raft, now))
    (void) raft_transfer (raft, 0, now);
  raft_new_round (raft, now);
}

static void
fill_entries (struct raft *raft, struct raft_peer *peer, struct raft_message *m)
{
  uint64_t last = raft_log_last (&raft->log);
  uint64_t bytes = 0;
  uint32_t n = 0;

  while (n < RAFT_ENTRIES_MAX && peer->next + n <= last)
    {
      uint32_t length = raft_log_at (&raft->log, peer->next + n)->length;

      if (n > 0 && bytes + length > raft->options.batch_bytes)
        break;
      bytes += length;
      n++;
    }
  m->entries =
      n == 0 ? NULL
             : talloc_memdup (m, raft_log_at (&raft->log, peer->next), n * sizeof *m->entries);
  m->n_entries = m->entries == NULL ? 0 : n;
}

/* Send one append.  False when the entries before it are no longer in memory and a snapshot must be
 * sent first. */
static bool
send_append (struct raft *raft, struct raft_peer *peer, bool entries)
{
  uint64_t prev_term;
  struct raft_message *m;

  if (!raft_log_term (&raft->log, peer->next - 1, &prev_term))
    {
      raft_start_snapshot (raft, peer);
      return false;
    }
  m = raft_send (raft, RAFT_APPEND, peer->id);
  m->index = peer->next - 1;
  m->log_term = prev_term;
  m->commit = raft->commit;
  m->round = raft->round;
  peer->commit_sent = raft->commit;
  peer->heartbeat_due = false;
  if (entries)
    fill_entries (raft, peer, m);
  if (peer->state == PEER_REPLICATE && m->n_entries > 0)
    {
      peer->next += m->n_entries;
      peer->in_flight[(peer->in_flight_first + peer->n_in_flight) % RAFT_IN_FLIGHT_MAX] =
          peer->next - 1;
      peer->n_in_flight++;
    }
  return true;
}

static void
stream_entries (struct raft *raft, struct raft_peer *peer)
{
  bool sent = false;

  while (peer->next <= raft_log_last (&raft->log)
         && peer->n_in_flight < raft->options.max_in_flight)
    {
      if (!send_append (raft, peer, true))
        return;
      sent = true;
    }
  if (!sent && (peer->heartbeat_due || peer->commit_sent < raft->commit))
    send_append (raft, peer, false);
}

static bool
is_silent (const struct raft *raft, const struct raft_peer *peer, int64_t now)
{
  int64_t heard_at = peer->heard_at > raft->elected_at ? peer->heard_at : raft->elected_at;

  return now - heard_at > raft->options.election_min;
}

/* Send a bare heartbeat to a silent member, whatever its state.  Entries or chunks would be sent
 * again with each heartbeat and fill up the queue of its connection until memory runs out. */
static void
send_bare_heartbeat (struct raft *raft, struct raft_peer *peer)
{
  struct raft_message *m = raft_send (raft, RAFT_APPEND, peer->id);

  m->index = raft_log_last (&raft->log);
  m->log_term = raft_log_last_term (&raft->log);
  m->commit = raft->commit;
  m->round = raft->round;
  peer->heartbeat_due = false;
}

static void
generate_message (struct raft *raft, struct raft_peer *peer, int64_t now)
{
  if (is_silent (raft, peer, now))
    {
      if (peer->heartbeat_due)
        send_bare_heartbeat (raft, peer);
      return;
    }
  switch (peer->state)
    {
    case PEER_PROBE:
      if (peer->probe_in_flight && !peer->heartbeat_due)
        return;
      peer->probe_in_flight = true;
      send_append (raft, peer, !peer->paused);
      break;
    case PEER_REPLICATE:
      stream_entries (raft, peer);
      break;
    case PEER_SNAPSHOT:
      break;
    }
  if (peer->state == PEER_SNAPSHOT && (!peer->chunk_in_flight || peer->heartbeat_due))
    raft_generate_chunk (raft, peer);
}

void
raft_generate_appends (struct raft *raft, int64_t now)
{
  if (raft->reads_need_round)
    raft_new_round (raft, now);
  raft_advance_transfer (raft);
  for (uint32_t i = 0; i < raft->n_peers; i++)
    generate_message (raft, &raft->peers[i], now);
}

static void
start_probe (struct raft_peer *peer, uint64_t next)
{
  peer->state = PEER_PROBE;
  peer->probe_in_flight = false;
  peer->next = next;
  peer->n_in_flight = 0;
}

static void
record_match (struct raft *raft, struct raft_peer *peer, uint64_t index)
{
  while (peer->n_in_flight > 0 && peer->in_flight[peer->in_flight_first] <= index)
    {
      peer->in_flight_first = (peer->in_flight_first + 1) % RAFT_IN_FLIGHT_MAX;
      peer->n_in_flight--;
    }
  if (index > peer->match)
    {
      peer->match = index;
      peer->match_round = raft->round;
      raft_advance_commit (raft);
    }
  if (peer->next <= peer->match)
    peer->next = peer->match + 1;
  if (peer->state == PEER_PROBE)
    {
      peer->state = PEER_REPLICATE;
      peer->probe_in_flight = false;
      peer->n_in_flight = 0;
    }
}

/* The follower replies to a message sent after the leader knew that it held `match`, but now holds
 * less: it lost entries that it had reported as stored. */
static bool
has_lost_entries (const struct raft_peer *peer, const struct raft_message *m)
{
  return m->round > peer->match_round && m->last < peer->match;
}

static void
handle_rejection (struct raft *raft, struct raft_peer *peer, const struct raft_message *m)
{
  uint64_t next = m->log_term;

  if (has_lost_entries (peer, m))
    {
      raft_send (raft, RAFT_LOST, peer->id)->index = peer->match;
      return;
    }
  if (peer->state == PEER_SNAPSHOT || m->index <= peer->match || m->index >= peer->next)
    return;
  if (next > m->index)
    next = m->last + 1 < m->index ? m->last + 1 : m->index;
  start_probe (peer, next > peer->match ? next : peer->match + 1);
}

void
raft_on_append_reply (struct raft *raft, const struct raft_message *m, int64_t now)
{
  struct raft_peer *peer = raft_peer_find (raft, m->from);

  if (raft->role != RAFT_LEADER || peer == NULL)
    return;
  raft_peer_record_reply (raft, peer, m->round, now);
  if (!m->ok)
    {
      handle_rejection (raft, peer, m);
      return;
    }
  if (m->index > raft_log_last (&raft->log))
    return;
  if (peer->state != PEER_SNAPSHOT)
    record_match (raft, peer, m->index);
  peer->paused = m->paused;
  if (m->paused && peer->state != PEER_SNAPSHOT)
    {
      start_probe (peer, peer->match + 1);
      peer->probe_in_flight = true;
    }
}

/* Send TimeoutNow once the receiver holds the whole log.  The lease is given up first, for the rest
 * of the term, since a delayed TimeoutNow could elect another leader at any later time. */
void
raft_advance_transfer (struct raft *raft)
{
  const struct raft_peer *peer;

  if (raft->transfer_to == 0 || raft->transfer_sent)
    return;
  peer = raft_peer_find (raft, raft->transfer_to);
  if (peer == NULL || peer->match != raft_log_last (&raft->log))
    return;
  raft->transfer_sent = true;
  raft_send (raft, RAFT_TIMEOUT_NOW, raft->transfer_to);
}

/* When two hosts shut down one after the other, the second one, the leader, could transfer to the
 * first, which held the whole log and had sent a message just before, and wait in vain.  Among
 * voters with equal logs the one whose last message is the newest is the most likely to be alive.
 * One with a full disk is the last choice, since it could not store its first entry. */
static bool
is_better_successor (const struct raft_peer *peer, const struct raft_peer *best)
{
  if (best == NULL)
    return true;
  if (peer->paused != best->paused)
    return best->paused;
  if (peer->match != best->match)
    return peer->match > best->match;
  return peer->heard_at > best->heard_at;
}

static bool
was_heard_recently (const struct raft *raft, const struct raft_peer *peer, int64_t now)
{
  return now - peer->heard_at <= raft->options.election_min;
}

bool
raft_has_quorum_without_leader (const struct raft *raft, int64_t now)
{
  const struct raft_members *members = raft_current_members (raft);
  uint32_t n = 0;

  for (uint32_t i = 0; raft->role == RAFT_LEADER && i < raft->n_peers; i++)
    {
      const struct raft_peer *peer = &raft->peers[i];

      if (raft_members_is_voter (members, peer->id) && was_heard_recently (raft, peer, now)
          && !peer->paused)
        n++;
    }
  return n >= raft_members_quorum (members);
}

enum status
raft_transfer (struct raft *raft, uint64_t to, int64_t now)
{
  const struct raft_members *members = raft_current_members (raft);
  const struct raft_peer *best = NULL;

  if (raft->role != RAFT_LEADER)
    return status_fail (STATUS_NOT_LEADER, "not the leader");
  if (raft->transfer_to != 0)
    return status_fail (STATUS_AGAIN, "a transfer is under way");
  for (uint32_t i = 0; i < raft->n_peers; i++)
    {
      const struct raft_peer *peer = &raft->peers[i];

      if (!raft_members_is_voter (members, peer->id) || (to != 0 && peer->id != to))
        continue;
      if (!was_heard_recently (raft, peer, now))
        continue;
      if (is_better_successor (peer, best))
        best = peer;
    }
  if (best == NULL)
    return status_fail (STATUS_UNAVAILABLE, "no other voter was heard of late");
  raft->lease_released = true;
  raft->transfer_to = best->id;
  raft->transfer_sent = false;
  raft->transfer_until = now + raft->options.election_max;
  return STATUS_OK;
}

bool
raft_progress_of (const struct raft *raft, uint64_t id, struct raft_progress *out)
{
  for (uint32_t i = 0; raft->role == RAFT_LEADER && i < raft->n_peers; i++)
    if (raft->peers[i].id == id)
      {
        *out = (struct raft_progress){
          .match = raft->peers[i].match,
          .heard_at = raft->peers[i].heard_at,
          .sending_snapshot = raft->peers[i].state == PEER_SNAPSHOT,
        };
        return true;
      }
  return false;
}
