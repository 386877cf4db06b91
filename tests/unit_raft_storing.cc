// What a raft server does while its disk is still storing.
#include "raft_harness.h"
#include <algorithm>

namespace
{

class RaftStoring : public Raft
{
protected:
  // Polls once, and stores nothing of what that asks for.
  std::vector<struct raft_message>
  poll ()
  {
    std::vector<struct raft_message> sent;
    struct raft_ready ready;

    raft_poll (raft, &ready, now);
    stores = stores || ready.stores;
    for (uint32_t i = 0; i < ready.n_messages; i++)
      sent.push_back (*ready.messages[i]);
    return sent;
  }

  void
  finish_store ()
  {
    ASSERT_TRUE (stores);
    stores = false;
    raft_synced (raft, now);
  }

  void
  append (uint64_t prev, uint64_t prev_term, uint64_t term, uint32_t n, uint64_t round)
  {
    struct raft_message m = from (2, RAFT_APPEND);
    std::vector<struct raft_entry> entries;

    for (uint32_t i = 0; i < n; i++)
      entries.push_back ({ prev + 1 + i, term, RAFT_ENTRY_DATA, 1, "x" });
    m.term = term;
    m.index = prev;
    m.log_term = prev_term;
    m.entries = entries.data ();
    m.n_entries = n;
    m.round = round;
    raft_step (raft, &m, now);
  }

  bool stores = false;
};

// Guards against a vote that a crash takes back: two leaders of one term.
TEST_F (RaftStoring, VoteIsSentOnceItIsStored)
{
  restore (2, { 1, 2 });
  now += 3000 * ms;
  struct raft_message m = from (3, RAFT_VOTE);
  m.term = 5;
  m.index = 2;
  m.log_term = 2;
  raft_step (raft, &m, now);
  EXPECT_TRUE (poll ().empty ());
  EXPECT_TRUE (poll ().empty ());
  finish_store ();
  auto sent = poll ();
  ASSERT_EQ (sent.size (), 1u);
  EXPECT_EQ (sent[0].kind, RAFT_VOTE_REPLY);
  EXPECT_TRUE (sent[0].ok);
}

// Guards against acknowledged entries that a loss of power takes back.
TEST_F (RaftStoring, EntriesAreAcknowledgedOnceTheyAreStored)
{
  restore (2, { 1, 2 });
  append (2, 2, 2, 2, 7);
  EXPECT_TRUE (poll ().empty ());
  finish_store ();
  auto sent = poll ();
  ASSERT_EQ (sent.size (), 1u);
  EXPECT_EQ (sent[0].index, 4u);
}

// Guards against a leader that takes a follower with a slow disk for dead, and steps down.
TEST_F (RaftStoring, HeartbeatsAreAnsweredWhileEntriesAreStored)
{
  restore (2, { 1, 2 });
  append (2, 2, 2, 2, 7);
  poll ();
  append (4, 2, 2, 0, 8);
  auto sent = poll ();
  ASSERT_EQ (sent.size (), 1u);
  EXPECT_TRUE (sent[0].ok);
  EXPECT_EQ (sent[0].round, 8u);
  EXPECT_EQ (sent[0].index, 2u);
}

// Guards against entries that count as stored although a later leader has replaced them.
TEST_F (RaftStoring, EntriesReplacedMeanwhileAreNotCountedAsStored)
{
  struct raft_ready ready;

  restore (2, { 1, 2 });
  append (2, 2, 2, 3, 1);
  poll ();
  append (3, 2, 3, 1, 1);
  finish_store ();
  ASSERT_TRUE (raft_poll (raft, &ready, now));
  EXPECT_EQ (ready.n_messages, 0u);
  EXPECT_TRUE (ready.state_changed);
  EXPECT_EQ (ready.first, 4u);
  EXPECT_EQ (ready.last, 4u);
  raft_synced (raft, now);
  ASSERT_TRUE (raft_poll (raft, &ready, now));
  uint64_t acknowledged = 0;
  for (uint32_t i = 0; i < ready.n_messages; i++)
    {
      EXPECT_EQ (ready.messages[i]->term, 3u);
      acknowledged = std::max (acknowledged, ready.messages[i]->index);
    }
  EXPECT_EQ (acknowledged, 4u);
}

// Guards against a new election each time that a slow disk has not stored the last vote yet.
TEST_F (RaftStoring, NoElectionBeginsWhileAVoteIsStored)
{
  restore (2, { 1, 2 });
  now += 3000 * ms;
  struct raft_message m = from (3, RAFT_VOTE);
  m.term = 5;
  m.index = 2;
  m.log_term = 2;
  raft_step (raft, &m, now);
  poll ();
  EXPECT_EQ (raft_next_tick_at (raft), USEC_NEVER);
  now += 5000 * ms;
  raft_tick (raft, now);
  EXPECT_EQ (raft_role (raft), RAFT_FOLLOWER);
  finish_store ();
  // As long as it took to store, others may take too.
  EXPECT_GE (raft_next_tick_at (raft), now + 5000 * ms + 1000 * ms);
}

// Guards against heartbeats that wait for the leader's disk.
TEST_F (RaftStoring, LeaderSendsWhileItsOwnCopyIsStored)
{
  uint64_t index;
  uint64_t term;

  restore (2, { 1, 2 });
  lead ();
  acknowledge (2, 3, 1);
  ASSERT_EQ (raft_propose (raft, "x", 1, &index, &term), STATUS_OK);
  EXPECT_EQ (poll ().size (), 1u);
  now += 200 * ms;
  raft_tick (raft, now);
  EXPECT_GE (poll ().size (), 1u);
  EXPECT_EQ (raft_unstored_bytes (raft), 1u);
  finish_store ();
  EXPECT_EQ (raft_unstored_bytes (raft), 0u);
}

// Guards against a leader that answers no change while its disk stalls and those of others do not.
TEST_F (RaftStoring, LeaderBehindItsFollowersHandsOver)
{
  uint64_t index;
  uint64_t term;
  bool asked = false;

  restore (2, { 1, 2 });
  lead ();
  acknowledge (2, 3, 1);
  ASSERT_EQ (raft_propose (raft, "x", 1, &index, &term), STATUS_OK);
  poll ();
  for (uint64_t round = 2; round < 30 && !asked; round++)
    {
      now += 100 * ms;
      raft_tick (raft, now);
      for (const struct raft_message &sent : poll ())
        asked = asked || sent.kind == RAFT_TIMEOUT_NOW;
      for (uint64_t id : { 2, 3 })
        {
          struct raft_message m = from (id, RAFT_APPEND_REPLY);

          m.ok = true;
          m.index = index;
          m.last = index;
          m.round = round;
          raft_step (raft, &m, now);
        }
    }
  EXPECT_TRUE (asked);
  EXPECT_EQ (raft_committed (raft), index);
}

// Guards against entries that a snapshot being stored would drop after they were counted.
TEST_F (RaftStoring, LogDoesNotGrowWhileASnapshotIsStored)
{
  restore (2, { 1, 2 });
  struct raft_message m = from (2, RAFT_SNAPSHOT);
  m.index = 20;
  m.log_term = 2;
  m.members = members;
  m.data = "state";
  m.length = 5;
  m.total = 5;
  raft_step (raft, &m, now);
  EXPECT_TRUE (poll ().empty ());
  append (2, 2, 2, 3, 1);
  EXPECT_EQ (raft_last (raft), 2u);
  finish_store ();
  EXPECT_EQ (raft_last (raft), 20u);
  auto sent = poll ();
  ASSERT_EQ (sent.size (), 1u);
  EXPECT_EQ (sent[0].kind, RAFT_SNAPSHOT_REPLY);
}

// Guards against memory that grows while a sync never returns.
TEST_F (RaftStoring, UnsentMessagesAreBounded)
{
  restore (2, { 1, 2 });
  append (2, 2, 3, 1, 1);
  poll ();
  for (uint64_t i = 0; i < 5000; i++)
    append (3, 3, 3, 0, i + 2);
  finish_store ();
  EXPECT_LE (poll ().size (), 1024u);
}

} // namespace
