// Groups of voters whose disks stall.
#include "group_harness.h"

namespace
{

class Stall : public Group
{
protected:
  void
  stall (uint32_t host, int64_t sync)
  {
    fake_group_slow_disk (group, host, sync);
  }

  // The time from a proposal at `host` to its commit, or a negative one.
  int64_t
  commit_time (uint32_t host, int64_t timeout)
  {
    struct fake_group_count before;
    struct fake_group_count after;
    int64_t begin = fake_group_now (group);

    fake_group_counts (group, &before);
    fake_group_propose (group, host, timeout);
    do
      {
        fake_group_run (group, second / 100);
        fake_group_counts (group, &after);
      }
    while (after.committed + after.refused == before.committed + before.refused
           && fake_group_now (group) < begin + timeout + second);
    return after.committed > before.committed ? fake_group_now (group) - begin : -1;
  }

  uint64_t
  elections ()
  {
    struct fake_group_count counts;

    fake_group_counts (group, &counts);
    return counts.elections;
  }

  // The leader's number, and -1 while there is none.
  int
  leading ()
  {
    for (uint32_t i = 0; i < GROUP_MAX; i++)
      if (fake_group_consensus (group, i) != nullptr
          && fake_group_consensus (group, i)->ops->is_leader (fake_group_consensus (group, i)))
        return static_cast<int> (i);
    return -1;
  }
};

// Guards against a leader that is deposed because each sync is longer than an election timeout.
TEST_F (Stall, LeaderLastsWhereAllDisksTakeTwoSeconds)
{
  for (int64_t sync : { second / 2, 2 * second, 5 * second })
    {
      start (voters (3));
      for (uint32_t i = 0; i < 3; i++)
        stall (i, sync);
      uint64_t before = elections ();
      for (int i = 0; i < 10; i++)
        {
          int64_t took = commit_time (static_cast<uint32_t> (i % 3), 4 * second + 2 * sync);

          EXPECT_GT (took, 0) << "sync of " << sync << " us";
        }
      EXPECT_EQ (elections (), before) << "sync of " << sync << " us";
      ASSERT_STREQ (fake_group_violation (group), "");
      talloc_free (group);
    }
  group = nullptr;
  start (voters (1));
}

// Guards against elections that end before their votes are stored.
TEST_F (Stall, LeaderIsElectedWhereAllDisksTakeTwoSeconds)
{
  for (uint32_t n : { 3u, 5u })
    for (uint64_t seed = 1; seed <= 20; seed++)
      {
        struct fake_group_config config = voters (n);

        config.seed = seed;
        start (config);
        for (uint32_t i = 0; i < n; i++)
          stall (i, 2 * second);
        propose (static_cast<uint32_t> (leader), 3);
        fake_group_stop (group, static_cast<uint32_t> (leader), false);
        // The election timeout, the candidate's own sync and those of its voters, and as much again
        // for one election that fails.
        EXPECT_GE (fake_group_await_leader (group, 20 * second), 0)
            << n << " voters, seed " << seed;
        ASSERT_STREQ (fake_group_violation (group), "");
        talloc_free (group);
      }
  group = nullptr;
  start (voters (1));
}

// Guards against a group that waits for a minority of stalled disks.
TEST_F (Stall, MinorityOfStalledDisksIsNotNoticed)
{
  struct
  {
    uint32_t voters;
    uint32_t stalled;
  } cases[] = { { 3, 1 }, { 5, 2 } };

  for (const auto &c : cases)
    {
      start (voters (c.voters));
      uint32_t left = c.stalled;
      for (uint32_t i = 0; left > 0; i++)
        if (static_cast<int> (i) != leader)
          {
            stall (i, 3600 * second);
            left--;
          }
      uint64_t before = elections ();
      for (int i = 0; i < 50; i++)
        EXPECT_LT (commit_time (static_cast<uint32_t> (leader), 3 * second), second / 10);
      EXPECT_EQ (elections (), before);
      ASSERT_STREQ (fake_group_violation (group), "");
      talloc_free (group);
    }
  group = nullptr;
  start (voters (1));
}

// Guards against a leader with a stalled disk that keeps the lead and commits nothing.
TEST_F (Stall, StalledLeaderHandsOver)
{
  start (voters (3));
  uint32_t stalled = static_cast<uint32_t> (leader);
  stall (stalled, 20 * second);
  fake_group_propose (group, stalled, 3 * second);
  fake_group_run (group, 5 * second);
  EXPECT_NE (leading (), leader);
  ASSERT_GE (leading (), 0);
  EXPECT_GT (commit_time (static_cast<uint32_t> (leading ()), 3 * second), 0);
  // Nor does it lead again for long while its disk is slow.
  int64_t led = 0;
  for (int i = 0; i < 600; i++)
    {
      fake_group_propose (group, other (stalled), 3 * second);
      fake_group_run (group, second / 10);
      led += leading () == static_cast<int> (stalled) ? second / 10 : 0;
    }
  EXPECT_LT (led, 5 * second);
}

// Guards against memory that grows without bound while a sync never returns.
TEST_F (Stall, ProposalsAreRefusedWhileTooMuchIsUnstored)
{
  struct fake_group_config config = voters (3);
  config.entry_bytes = 4000;
  start (config);
  for (uint32_t i = 0; i < 3; i++)
    stall (i, 3600 * second);
  for (int i = 0; i < 4000; i++)
    {
      fake_group_propose (group, static_cast<uint32_t> (leader), 3600 * second);
      fake_group_run (group, second / 1000);
    }
  EXPECT_EQ (fake_group_last_status (group), STATUS_LIMIT);
  const struct raft *raft =
      consensus_voter_raft (fake_group_consensus (group, static_cast<uint32_t> (leader)));
  EXPECT_LE (raft_unstored_bytes (raft), CONSENSUS_UNSTORED_BYTES_MAX + 4000u);
}

} // namespace
