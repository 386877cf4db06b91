/* Elections: pre-votes, votes, and the refusal of votes that leases depend on. */
#include "raft_private.h"

/* Votes are stored before they are given: where disks are slow, an election takes as long as they
 * do, and a timeout without that time would end each one before its votes arrive.  It also gives
 * servers with faster disks precedence. */
void
raft_set_election_time (struct raft *raft, int64_t now)
{
  int64_t spread = raft->options.election_max - raft->options.election_min;

  raft->election_at =
      now + raft->options.election_min + (int64_t) rng_below (&raft->rng, (uint64_t) spread + 1)
      + (raft->store_time < RAFT_STORE_TIME_MAX ? raft->store_time : RAFT_STORE_TIME_MAX);
}

/* After all hosts lost power no request is served until a leader is elected.  Where no lease
 * depends on it, a server therefore starts its first election after half of the usual timeout.
 * This does not disturb a live leader: the others have received its messages recently and refuse
 * the pre-vote.  With timeouts of 350 to 700 ms three voters that start together elect a leader
 * within 0.4 s in 20 of 20 seeds; with the full timeout in 7. */
void
raft_set_first_election_time (struct raft *raft, int64_t now)
{
  int64_t half = raft->options.election_min / 2;

  raft_set_election_time (raft, now);
  if (!raft->options.lease_reads)
    raft->election_at = now + half + (int64_t) rng_below (&raft->rng, (uint64_t) half + 1);
}

void
raft_become_follower (struct raft *raft, uint64_t term, uint64_t leader, int64_t now)
{
  if (term > raft->state.term)
    {
      raft->state = (struct raft_state){ .term = term };
    }
  if (raft->role == RAFT_LEADER)
    {
      raft_fail_reads (raft);
      raft->n_peers = 0;
      raft->transfer_to = 0;
    }
  if (raft->role != RAFT_FOLLOWER)
    raft_set_election_time (raft, now);
  raft->role = RAFT_FOLLOWER;
  raft->leader = leader;
}

/* The leader may hold a lease granted by this server's last acknowledgement and answer reads
 * without asking a quorum.  A vote now could elect another leader, whose commits those reads would
 * miss.  A vote requested through a leadership transfer is exempt, since the leader gives up its
 * lease first.  The refusal also keeps a server that was partitioned from disturbing a group with a
 * leader (the counterpart of check-quorum). */
bool
raft_refuses_vote (const struct raft *raft, const struct raft_message *m, int64_t now)
{
  int64_t heard_at = raft->heard_at;

  if (m->kind == RAFT_VOTE && m->transfer)
    return false;
  if (raft->role == RAFT_LEADER)
    heard_at = raft->quorum_sent_at > raft->elected_at ? raft->quorum_sent_at : raft->elected_at;
  return now < heard_at + raft->options.election_min;
}

static void
grant_to_self (struct raft *raft)
{
  raft->granted[0] = raft->options.id;
  raft->n_granted = 1;
}

static void
request_votes (struct raft *raft, enum raft_message_kind kind, uint64_t term)
{
  const struct raft_members *members = raft_current_members (raft);

  for (uint32_t i = 0; i < members->n; i++)
    {
      struct raft_message *m;

      if (!members->members[i].voter || members->members[i].id == raft->options.id)
        continue;
      m = raft_send (raft, kind, members->members[i].id);
      m->term = term;
      m->index = raft_log_last (&raft->log);
      m->log_term = raft_log_last_term (&raft->log);
      m->transfer = raft->by_transfer;
    }
}

void
raft_campaign (struct raft *raft, bool pre_vote, bool transfer, int64_t now)
{
  const struct raft_members *members = raft_current_members (raft);

  raft_set_election_time (raft, now);
  /* The log will be replaced by the snapshot that is being stored. */
  if (!raft_members_is_voter (members, raft->options.id) || raft->install_ready)
    return;
  raft->leader = 0;
  raft->by_transfer = transfer;
  if (pre_vote)
    {
      raft->role = RAFT_PRE_CANDIDATE;
      grant_to_self (raft);
      if (raft_members_quorum (members) > 1)
        {
          request_votes (raft, RAFT_PRE_VOTE, raft->state.term + 1);
          return;
        }
    }
  raft->role = RAFT_CANDIDATE;
  raft->state = (struct raft_state){ .term = raft->state.term + 1, .vote = raft->options.id };
  raft->n_granted = 0; /* the own vote counts once it is stored */
  request_votes (raft, RAFT_VOTE, raft->state.term);
}

static bool
candidate_log_is_current (const struct raft *raft, const struct raft_message *m)
{
  uint64_t last_term = raft_log_last_term (&raft->log);

  if (m->log_term != last_term)
    return m->log_term > last_term;
  return m->index >= raft_log_last (&raft->log);
}

void
raft_on_vote (struct raft *raft, const struct raft_message *m, int64_t now)
{
  struct raft_message *reply;
  bool grant = candidate_log_is_current (raft, m);

  if (m->kind == RAFT_PRE_VOTE)
    {
      grant = grant && m->term > raft->state.term;
      reply = raft_send (raft, RAFT_PRE_VOTE_REPLY, m->from);
      reply->ok = grant;
      if (!grant)
        return;
      /* The vote is asked for once the candidate has stored its own: a server that stood for
       * election meanwhile would split the votes where disks are slow. */
      reply->term = m->term;
      raft_set_election_time (raft, now);
      return;
    }
  grant = grant && raft->leader == 0 && raft->role == RAFT_FOLLOWER
          && (raft->state.vote == 0 || raft->state.vote == m->from);
  if (grant)
    {
      raft->state.vote = m->from;
      raft_set_election_time (raft, now);
    }
  reply = raft_send (raft, RAFT_VOTE_REPLY, m->from);
  reply->ok = grant;
}

static void
count_vote (struct raft *raft, uint64_t from, int64_t now)
{
  const struct raft_members *members = raft_current_members (raft);

  if (!raft_members_is_voter (members, from))
    return;
  for (uint32_t i = 0; i < raft->n_granted; i++)
    if (raft->granted[i] == from)
      return;
  raft->granted[raft->n_granted++] = from;
  if (raft->n_granted < raft_members_quorum (members))
    return;
  if (raft->role == RAFT_PRE_CANDIDATE)
    raft_campaign (raft, false, false, now);
  else
    raft_become_leader (raft, now);
}

void
raft_on_vote_reply (struct raft *raft, const struct raft_message *m, int64_t now)
{
  bool is_expected = m->kind == RAFT_VOTE_REPLY
                         ? raft->role == RAFT_CANDIDATE && m->term == raft->state.term
                         : raft->role == RAFT_PRE_CANDIDATE && m->term == raft->state.term + 1;

  if (is_expected && m->ok)
    count_vote (raft, m->from, now);
}

void
raft_count_own_vote (struct raft *raft, int64_t now)
{
  count_vote (raft, raft->options.id, now);
}

void
raft_on_timeout_now (struct raft *raft, const struct raft_message *m, int64_t now)
{
  if (raft->role == RAFT_FOLLOWER && m->from == raft->leader)
    raft_campaign (raft, false, true, now);
}
