// Rules of raft that the random walks of unit_raft_explore.cc seldom reach, step by step.
#include "raft_harness.h"

namespace
{

// A leader counts copies of an entry of an earlier term as committed and fails, and a leader
// elected without that entry overwrites it (figure 8 of the Raft paper): an acknowledged setting is
// lost.  Such an entry commits only through a later entry of the current term.
TEST_F (Raft, EntryOfAnEarlierTermIsNotCommittedByCountingReplicas)
{
  restore (2, { 1, 2 });
  lead ();
  acknowledge (2, 2, 1);
  EXPECT_EQ (raft_committed (raft), 0u);
  acknowledge (2, 3, 1);
  EXPECT_EQ (raft_committed (raft), 3u);
}

// Uncommitted membership changes by two successive leaders can lead to two majorities that do not
// overlap.  A leader that has committed nothing in its term must not start one.
TEST_F (Raft, MembersDoNotChangeBeforeTheLeaderHasCommitted)
{
  struct raft_change change = {};

  change.kind = RAFT_REMOVE;
  change.member.id = 3;
  restore (2, { 1, 2 });
  lead ();
  EXPECT_EQ (raft_change_members (raft, &change), STATUS_AGAIN);
  acknowledge (2, 3, 1);
  EXPECT_EQ (raft_change_members (raft, &change), STATUS_OK);
  // One at a time.
  EXPECT_EQ (raft_change_members (raft, &change), STATUS_AGAIN);
}

// A second host is lost right after a repair.  If a new voter counted before it had caught up,
// entries held only by the lost host and the replaced one would be lost.
TEST_F (Raft, LearnerIsNotPromotedBeforeItHasCaughtUp)
{
  struct raft_change change = {};

  change.kind = RAFT_ADD_LEARNER;
  change.member.id = 4;
  restore (2, { 1, 2 });
  lead ();
  acknowledge (2, 3, 1);
  ASSERT_EQ (raft_change_members (raft, &change), STATUS_OK);
  flush ();
  acknowledge (2, 4, 1);
  change.kind = RAFT_PROMOTE;
  EXPECT_EQ (raft_change_members (raft, &change), STATUS_UNAVAILABLE);
  acknowledge (4, 4, 1);
  EXPECT_EQ (raft_change_members (raft, &change), STATUS_OK);
}

// A host that was partitioned for an hour returns and forces elections, and requests stall each
// time.  Its pre-vote must not change the term of servers that hear a leader.
TEST_F (Raft, PreVoteOfAPartitionedServerKeepsTermAndLeader)
{
  restore (2, { 1, 2 });
  struct raft_message m = from (2, RAFT_APPEND);
  m.index = 2;
  m.log_term = 2;
  raft_step (raft, &m, now);
  flush ();
  m = from (3, RAFT_PRE_VOTE);
  m.term = 50;
  m.index = 9;
  m.log_term = 9;
  raft_step (raft, &m, now + 100 * ms);
  EXPECT_TRUE (flush ().empty ());
  EXPECT_EQ (raft_term (raft), 2u);
  EXPECT_EQ (raft_leader (raft), 2u);
}

// A leader that receives no acknowledgements is still followed by the others.  It must step down,
// so that a reachable server can be elected.
TEST_F (Raft, LeaderThatHearsNoQuorumStepsDown)
{
  restore (2, { 1, 2 });
  lead ();
  acknowledge (2, 3, 1);
  for (int i = 0; i < 25; i++)
    {
      now += 100 * ms;
      raft_tick (raft, now);
      flush ();
    }
  EXPECT_EQ (raft_role (raft), RAFT_FOLLOWER);
}

// A lease read is answered without a message while messages from a quorum have arrived recently,
// and not later.
TEST_F (Raft, LeaseEndsBeforeAnotherLeaderCanBeElected)
{
  restore (2, { 1, 2 });
  lead ();
  acknowledge (2, 3, 1);
  EXPECT_TRUE (raft_lease_valid (raft, now + 900 * ms));
  EXPECT_FALSE (raft_lease_valid (raft, now + 1000 * ms));
  ASSERT_EQ (raft_transfer (raft, 0, now), STATUS_OK);
  EXPECT_FALSE (raft_lease_valid (raft, now));
}

// Two hosts shut down one after the other.  The second one, the leader, transfers to the first,
// which had caught up and was heard half a second ago; no election follows, and the shutdown waits
// for its timeout.  The voter whose last message is the newest must be selected.
TEST_F (Raft, LeadershipGoesToTheVoterHeardLast)
{
  struct raft_ready ready;
  uint64_t asked = 0;

  restore (2, { 1, 2 });
  lead ();
  acknowledge (2, 3, 1);
  now += 500 * ms;
  acknowledge (3, 3, 1);
  ASSERT_EQ (raft_transfer (raft, 0, now), STATUS_OK);
  EXPECT_EQ (raft_transfer (raft, 0, now), STATUS_AGAIN);
  while (raft_poll (raft, &ready, now))
    {
      for (uint32_t i = 0; i < ready.n_messages; i++)
        if (ready.messages[i]->kind == RAFT_TIMEOUT_NOW)
          asked = ready.messages[i]->to;
      if (ready.stores)
        raft_synced (raft, now);
    }
  EXPECT_EQ (asked, 3u);
}

// An operator reads through a deposed leader.  A reply to a heartbeat sent before the read does not
// prove that it still leads.
TEST_F (Raft, ReadIsNotConfirmedByARoundSentBeforeIt)
{
  struct raft_read read;

  leases = false;
  restore (2, { 1, 2 });
  lead ();
  acknowledge (2, 3, 1);
  now += 200 * ms;
  raft_tick (raft, now);
  flush (); // round 2 is out
  ASSERT_EQ (raft_read_request (raft, 7, now), STATUS_OK);
  flush (); // round 3 is for the read
  acknowledge (2, 3, 2);
  EXPECT_FALSE (raft_pop_read (raft, &read));
  acknowledge (2, 3, 3);
  ASSERT_TRUE (raft_pop_read (raft, &read));
  EXPECT_EQ (read.token, 7u);
  EXPECT_EQ (read.index, 3u);
  EXPECT_TRUE (read.ok);
}

// An older copy of a data folder is restored and started while the leader stays the same.  The
// voter replies with fewer entries than it had acknowledged; the leader reports this to it, and it
// stops for good.
TEST_F (Raft, FollowerThatLostAcknowledgedEntriesIsTold)
{
  restore (2, { 1, 2 });
  lead ();
  acknowledge (2, 3, 1);
  now += 100 * ms;
  raft_tick (raft, now);
  flush ();
  struct raft_message m = from (2, RAFT_APPEND_REPLY);
  m.index = 3;
  m.log_term = 2;
  m.last = 1;
  m.round = 1; // a reply to an earlier message: proves nothing
  raft_step (raft, &m, now);
  EXPECT_TRUE (flush ().empty ());
  m.round = 2;
  raft_step (raft, &m, now);
  EXPECT_EQ (flush (), (std::vector<enum raft_message_kind>{ RAFT_LOST }));
}

// Messages of another version or damaged in transit must not reach the log: every truncated message
// is rejected.
TEST (RaftMessage, TruncatedMessagesAreRejected)
{
  struct raft_entry entries[2] = { { 6, 3, RAFT_ENTRY_DATA, 3, "abc" },
                                   { 7, 3, RAFT_ENTRY_NOOP, 0, nullptr } };
  struct raft_message m = {};
  struct raft_message back;
  struct bytes out;

  m.kind = RAFT_APPEND;
  m.from = 1;
  m.to = UINT64_MAX;
  m.term = 3;
  m.index = 5;
  m.log_term = 2;
  m.commit = 4;
  m.round = 9;
  m.n_entries = 2;
  m.entries = entries;
  bytes_init (&out, nullptr);
  raft_message_write (&m, &out);
  for (size_t cut = 0; cut < out.length; cut++)
    {
      std::vector<char> copy (out.data, out.data + cut);
      EXPECT_EQ (raft_message_read (nullptr, copy.data (), cut, &back), STATUS_MALFORMED);
    }
  ASSERT_EQ (raft_message_read (nullptr, out.data, out.length, &back), STATUS_OK);
  EXPECT_EQ (back.to, UINT64_MAX);
  ASSERT_EQ (back.n_entries, 2u);
  EXPECT_EQ (back.entries[1].index, 7u);
  EXPECT_EQ (std::string (static_cast<const char *> (back.entries[0].data), 3), "abc");
  talloc_free (back.entries);
  bytes_clear (&out);
}

} // namespace
