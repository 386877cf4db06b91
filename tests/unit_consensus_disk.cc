// Groups of voters with disks that fill up, fail, or are restored from older copies.
#include "group_harness.h"

namespace
{

// All disks fill up.  Changes must be refused with the reason while reads still work; once there is
// space changes must be accepted again, and no acknowledged change may be lost.
TEST_F (Group, FullDiskRefusesChangesAndStillReads)
{
  struct fake_group_count counts;

  start (voters (3));
  uint32_t full = static_cast<uint32_t> (leader);
  EXPECT_EQ (propose (full, 5), 5u);
  for (uint32_t i = 0; i < 3; i++)
    disk_fake_set_reported (fake_group_disk (group, i), 0);
  fake_group_run (group, 2 * second);
  fake_group_propose (group, full, second);
  EXPECT_EQ (fake_group_last_status (group), STATUS_DISK_FULL);
  fake_group_read (group, full, second);
  fake_group_run (group, second);
  EXPECT_EQ (fake_group_last_status (group), STATUS_OK);
  for (uint32_t i = 0; i < 3; i++)
    disk_fake_set_reported (fake_group_disk (group, i), UINT64_MAX);
  fake_group_run (group, 2 * second);
  EXPECT_EQ (propose (full, 5), 5u);
  fake_group_counts (group, &counts);
  EXPECT_EQ (counts.reads_ok, 1u);
}

// Another process uses the last free bytes between two checks of the free space, so that the write
// itself fails.  The leader must not assign the same indices to other entries: it steps down and
// another voter takes over.
TEST_F (Group, FailedWriteOnAFullDiskMovesLeadership)
{
  start (voters (3));
  uint32_t full = static_cast<uint32_t> (leader);
  EXPECT_EQ (propose (full, 5), 5u);
  disk_fake_set_capacity (fake_group_disk (group, full), 0);
  disk_fake_set_reported (fake_group_disk (group, full), 1 << 20);
  propose (full, 5);
  fake_group_run (group, 10 * second);
  EXPECT_EQ (propose (other (full), 5), 5u);
  disk_fake_set_capacity (fake_group_disk (group, full), UINT64_MAX);
  disk_fake_set_reported (fake_group_disk (group, full), UINT64_MAX);
  EXPECT_TRUE (fake_group_await_convergence (group, 5 * second));
}

// The leader's disk filled up during a change: it lost leadership, could not store its vote either
// and stopped following.  It still sent reads to the new leader for confirmation and then answered
// them from its own stale state: version 36 was read two seconds after version 43 had been
// acknowledged.
TEST_F (Group, VoterWithAFullDiskAnswersNoStaleRead)
{
  struct fake_group_config config = voters (3);
  config.no_lease = true;
  start (config);
  uint32_t full = static_cast<uint32_t> (leader);
  EXPECT_EQ (propose (full, 5), 5u);
  disk_fake_set_capacity (fake_group_disk (group, full), 0);
  disk_fake_set_reported (fake_group_disk (group, full), 1 << 20);
  propose (full, 5);
  fake_group_run (group, 10 * second);
  EXPECT_EQ (propose (other (full), 5), 5u);
  uint64_t held = fake_group_applied (group, full);
  ASSERT_LT (held, fake_group_most_applied (group));
  fake_group_read (group, full, second);
  fake_group_run (group, 2 * second);
  EXPECT_STREQ (fake_group_violation (group), "");
  EXPECT_EQ (fake_group_applied (group, full), held);
  EXPECT_NE (fake_group_last_status (group), STATUS_OK);
}

// A disk is full for some seconds.  The voter could not store its vote in that time and stopped for
// good, so the next loss of a host would have left the group without a quorum until an operator
// restarted the process.  Seen as: "voter stopped for good", status "disk full", what "storing".
TEST_F (Group, VoterThatCouldNotStoreItsVoteResumesOnceThereIsSpace)
{
  start (voters (3));
  uint32_t full = static_cast<uint32_t> (leader);
  EXPECT_EQ (propose (full, 5), 5u);
  disk_fake_set_capacity (fake_group_disk (group, full), 0);
  disk_fake_set_reported (fake_group_disk (group, full), 1 << 20);
  propose (full, 5);
  fake_group_run (group, 10 * second);
  EXPECT_EQ (propose (other (full), 5), 5u);
  EXPECT_EQ (propose (full, 5), 5u); // accepted here, stored by the others
  disk_fake_set_capacity (fake_group_disk (group, full), UINT64_MAX);
  disk_fake_set_reported (fake_group_disk (group, full), UINT64_MAX);
  EXPECT_TRUE (fake_group_await_convergence (group, 5 * second));
  EXPECT_EQ (consensus_voter_health (fake_group_consensus (group, full)), STATUS_OK);
  fake_group_stop (group, other (full), true);
  EXPECT_EQ (propose (full, 5), 5u);
}

// The leader's disk fills up and the leader notices in time.  It refused every change until space
// was freed five seconds later, though both others had space.  Seen as: "configuration-replaced",
// outcome "disk full", from all three controllers.
TEST_F (Group, LeaderWithAFullDiskTransfersLeadershipToAVoterWithSpace)
{
  start (voters (3));
  uint32_t full = static_cast<uint32_t> (leader);
  EXPECT_EQ (propose (full, 5), 5u);
  disk_fake_set_reported (fake_group_disk (group, full), 0);
  fake_group_run (group, 3 * second);
  EXPECT_EQ (propose (full, 5), 5u);
  EXPECT_EQ (propose (other (full), 5), 5u);
}

// With one of three hosts lost, a leader with a full disk must keep leading: it may be unable to
// store a vote for the other one, and without a leader not even reads are answered.
TEST_F (Group, LeaderWithAFullDiskKeepsLeadingWhenTheOthersAreNoQuorum)
{
  struct fake_group_count before;
  struct fake_group_count after;

  start (voters (3));
  uint32_t full = static_cast<uint32_t> (leader);
  fake_group_stop (group, other (full), true);
  fake_group_run (group, 5 * second);
  fake_group_counts (group, &before);
  disk_fake_set_reported (fake_group_disk (group, full), 0);
  fake_group_run (group, 10 * second);
  fake_group_read (group, full, second);
  fake_group_run (group, 2 * second);
  EXPECT_EQ (fake_group_last_status (group), STATUS_OK);
  fake_group_counts (group, &after);
  EXPECT_EQ (after.elections, before.elections);
}

// A sync fails.  The system may have dropped the data and report success the next time, so the
// voter must stop for good; the other voters go on and serve its callers.
TEST_F (Group, FailedSyncStopsTheVoterForGood)
{
  start (voters (3));
  uint32_t bad = static_cast<uint32_t> (leader);
  disk_fake_fail_sync (fake_group_disk (group, bad));
  EXPECT_EQ (propose (bad, 5), 5u);
  EXPECT_EQ (consensus_voter_health (fake_group_consensus (group, bad)), STATUS_IO);
  EXPECT_EQ (propose (other (bad), 5), 5u);
  fake_group_stop (group, bad, true);
  ASSERT_EQ (fake_group_start (group, bad), STATUS_OK);
  EXPECT_TRUE (fake_group_await_convergence (group, 5 * second));
}

// A voter's data folder is restored from an older backup.  Its entries and its vote are older than
// what the others know of, so it must not take part.
TEST_F (Group, RestoredOlderFolderIsRefusedByTheRunningLeader)
{
  start (voters (3));
  uint32_t host = other (static_cast<uint32_t> (leader));
  EXPECT_EQ (propose (0, 10), 10u);
  struct disk *backup = disk_fake_copy (group, fake_group_disk (group, host));
  EXPECT_EQ (propose (0, 10), 10u);
  fake_group_stop (group, host, false);
  fake_group_set_disk (group, host, backup);
  ASSERT_EQ (fake_group_start (group, host), STATUS_OK);
  fake_group_run (group, 5 * second);
  EXPECT_EQ (consensus_voter_health (fake_group_consensus (group, host)), STATUS_CORRUPT);
  EXPECT_EQ (propose (other (host), 5), 5u);
}

// The same after several starts since the backup: the others know a later start of that folder.
TEST_F (Group, RestoredOlderFolderIsRefusedByItsStartCounter)
{
  start (voters (3));
  uint32_t host = other (static_cast<uint32_t> (leader));
  struct disk *backup = disk_fake_copy (group, fake_group_disk (group, host));
  for (int i = 0; i < 3; i++)
    {
      fake_group_stop (group, host, false);
      ASSERT_EQ (fake_group_start (group, host), STATUS_OK);
      fake_group_run (group, second);
    }
  fake_group_stop (group, host, false);
  fake_group_set_disk (group, host, backup);
  ASSERT_EQ (fake_group_start (group, host), STATUS_OK);
  fake_group_run (group, 3 * second);
  EXPECT_EQ (consensus_voter_health (fake_group_consensus (group, host)), STATUS_CORRUPT);
}

// Power fails between any two file operations while snapshots are written and the journal is
// truncated behind them.  After each crash the voter must start from its folder and hold every
// acknowledged entry.
TEST_F (Group, CrashBetweenFileOperationsOfASnapshotLosesNothing)
{
  struct fake_group_config config = voters (1);

  config.snapshot_entries = 4;
  start (config);
  for (uint64_t stop = 1; stop <= 60; stop++)
    {
      uint64_t before = fake_group_most_applied (group);
      disk_fake_stop_after (fake_group_disk (group, 0), stop);
      for (int i = 0; i < 30 && fake_group_consensus (group, 0) != nullptr; i++)
        {
          fake_group_propose (group, 0, second);
          fake_group_run (group, second / 10);
        }
      ASSERT_EQ (fake_group_consensus (group, 0), nullptr);
      ASSERT_EQ (fake_group_start (group, 0), STATUS_OK) << status_message ();
      ASSERT_GE (fake_group_await_leader (group, 10 * second), 0);
      ASSERT_GE (fake_group_applied (group, 0), before);
      ASSERT_STREQ (fake_group_violation (group), "");
    }
}

// The same for a follower that receives snapshots from its leader.
TEST_F (Group, CrashBetweenFileOperationsOfAReceivedSnapshotLosesNothing)
{
  struct fake_group_config config = voters (3);

  config.snapshot_entries = 10;
  start (config);
  uint32_t host = other (static_cast<uint32_t> (leader));
  for (uint64_t stop = 1; stop <= 20; stop++)
    {
      fake_group_stop (group, host, true);
      EXPECT_EQ (propose (static_cast<uint32_t> (leader), 25), 25u);
      disk_fake_stop_after (fake_group_disk (group, host), stop);
      enum status status = fake_group_start (group, host);
      fake_group_run (group, 3 * second);
      if (status != STATUS_OK || fake_group_consensus (group, host) == nullptr)
        {
          ASSERT_EQ (fake_group_start (group, host), STATUS_OK) << status_message ();
        }
      disk_fake_stop_after (fake_group_disk (group, host), 0);
      ASSERT_TRUE (fake_group_await_convergence (group, 10 * second)) << stop;
    }
}

} // namespace
