// Rules of the log that random walks seldom reach, step by step.
#include "raft.h"
#include <gtest/gtest.h>
#include <talloc.h>
#include <vector>

namespace
{

constexpr int64_t ms = USEC_PER_MSEC;

class Raft : public testing::Test
{
protected:
  void
  SetUp () override
  {
    members.n = 3;
    members.wanted = 3;
    for (uint32_t i = 0; i < 3; i++)
      {
        members.members[i].id = i + 1;
        members.members[i].voter = true;
        snprintf (members.members[i].name, sizeof members.members[i].name, "v%u", i);
      }
  }

  void
  TearDown () override
  {
    talloc_free (raft);
  }

  // Server 1, with a term and entries as a restart finds them.
  void
  restore (uint64_t term, const std::vector<uint64_t> &terms)
  {
    struct raft_options options = {};
    struct raft_state state = { .term = term, .vote = 0 };
    struct raft_snapshot snapshot = {};

    options.id = 1;
    options.seed = 1;
    options.heartbeat = 100 * ms;
    options.election_min = 1000 * ms;
    options.election_max = 2000 * ms;
    options.lease_reads = leases;
    options.batch_bytes = 1; // one entry a message
    options.max_in_flight = 1;
    options.chunk_bytes = 100;
    snapshot.members = members;
    raft = raft_new (nullptr, &options, &state, &snapshot, 0, 0, now);
    for (uint64_t i = 0; i < terms.size (); i++)
      {
        struct raft_entry entry = { i + 1, terms[i], RAFT_ENTRY_DATA, 1, "x" };
        ASSERT_EQ (raft_restore_entry (raft, &entry), STATUS_OK);
      }
  }

  // Store what is to be stored; the messages that left, by kind.
  std::vector<enum raft_message_kind>
  flush ()
  {
    std::vector<enum raft_message_kind> kinds;
    struct raft_ready ready;

    while (raft_poll (raft, &ready, now))
      {
        for (uint32_t i = 0; i < ready.n_early; i++)
          kinds.push_back (ready.early[i]->kind);
        for (uint32_t i = 0; i < ready.n_late; i++)
          kinds.push_back (ready.late[i]->kind);
        raft_synced (raft, now);
      }
    return kinds;
  }

  struct raft_message
  from (uint64_t id, enum raft_message_kind kind)
  {
    struct raft_message m = {};

    m.kind = kind;
    m.from = id;
    m.to = 1;
    m.term = raft_term (raft);
    return m;
  }

  void
  lead ()
  {
    now += 3000 * ms;
    raft_tick (raft, now);
    flush ();
    struct raft_message m = from (2, RAFT_PRE_VOTE_REPLY);
    m.term = raft_term (raft) + 1;
    m.ok = true;
    raft_step (raft, &m, now);
    flush ();
    m = from (2, RAFT_VOTE_REPLY);
    m.ok = true;
    raft_step (raft, &m, now);
    flush ();
    ASSERT_EQ (raft_role (raft), RAFT_LEADER);
  }

  void
  acknowledge (uint64_t id, uint64_t index, uint64_t round)
  {
    struct raft_message m = from (id, RAFT_APPEND_REPLY);

    m.ok = true;
    m.index = index;
    m.last = index;
    m.round = round;
    raft_step (raft, &m, now);
    flush ();
  }

  bool leases = true;
  struct raft *raft = nullptr;
  struct raft_members members = {};
  int64_t now = 1000000 * ms;
};

// A setting that an operator was told is in force reverts.  A leader counts copies of an entry of
// an earlier term as committed, dies, and a leader elected without that entry overwrites it (figure
// 8 of the paper).  It may count only with an entry of its own term behind it.
TEST_F (Raft, EntryOfAnEarlierTermIsNotCommittedByCountingCopies)
{
  restore (2, { 1, 2 });
  lead ();
  acknowledge (2, 2, 1);
  EXPECT_EQ (raft_committed (raft), 0u);
  acknowledge (2, 3, 1);
  EXPECT_EQ (raft_committed (raft), 3u);
}

// Two changes of members by two leaders in a row, neither committed, can leave two majorities that
// do not overlap.  A leader that has committed nothing in its term must not begin one.
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

// A second host is lost right after a repair.  Had the new voter counted before it held everything,
// what only the lost host and the old one held would be gone.
TEST_F (Raft, LearnerIsNotPromotedBeforeItHoldsEverything)
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

// A host that was cut off for an hour comes back and has itself elected again and again, and every
// time requests stall.  Its pre-vote must not move the term of servers that hear a leader.
TEST_F (Raft, PreVoteOfAServerThatWasCutOffDisturbsNobody)
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

// A leader whose answers never arrive stays leader for its followers and for nobody else: it hears
// no acknowledgements.  It steps down, so that one that is heard both ways can be elected.
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

// A read by lease is answered without a message while a quorum was heard of late, and not after.
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

// Two hosts shut down one after the other.  The second is the leader and offers its place to the
// first, which held everything and was heard half a second ago; nobody stands, and the shutdown
// sits out its bound.  The voter heard last is asked.
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
      for (uint32_t i = 0; i < ready.n_early; i++)
        if (ready.early[i]->kind == RAFT_TIMEOUT_NOW)
          asked = ready.early[i]->to;
      for (uint32_t i = 0; i < ready.n_late; i++)
        if (ready.late[i]->kind == RAFT_TIMEOUT_NOW)
          asked = ready.late[i]->to;
      raft_synced (raft, now);
    }
  EXPECT_EQ (asked, 3u);
}

// An operator reads through a leader that has just been replaced and does not know.  An answer to a
// heartbeat from before the read says nothing of whether it leads now.
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
  flush (); // round 3 asks for the read
  acknowledge (2, 3, 2);
  EXPECT_FALSE (raft_take_read (raft, &read));
  acknowledge (2, 3, 3);
  ASSERT_TRUE (raft_take_read (raft, &read));
  EXPECT_EQ (read.token, 7u);
  EXPECT_EQ (read.index, 3u);
  EXPECT_TRUE (read.ok);
}

// An older copy of a data folder is put back and started while the leader stays the same.  The
// voter answers with fewer entries than it had acknowledged; the leader tells it so and it stops
// for good.
TEST_F (Raft, FollowerThatLostWhatItAcknowledgedIsToldSo)
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
  m.round = 1; // an answer from before: proves nothing
  raft_step (raft, &m, now);
  EXPECT_TRUE (flush ().empty ());
  m.round = 2;
  raft_step (raft, &m, now);
  EXPECT_EQ (flush (), (std::vector<enum raft_message_kind>{ RAFT_LOST }));
}

// A peer of another version, or damage on the way, must not reach the log: every cut of a message
// is refused.
TEST (RaftMessage, CutMessagesAreRefused)
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
