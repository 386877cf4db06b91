// Groups of voters through disks that fill up, fail, or are put back.
#include "group_harness.h"

namespace
{

// All data folders fill up.  Changes are refused with the reason, reads still work, and once there
// is room changes are taken again; nothing that was answered is lost.
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

// Another process takes the last bytes between two looks at the free room, so that the write itself
// fails.  The leader must not number other entries alike: it steps down and another takes over.
TEST_F (Group, WriteWithoutRoomHandsTheLeadOver)
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
  EXPECT_TRUE (fake_group_await_equal (group, 5 * second));
}

// An operator reads version 36 at one controller, two seconds after another acknowledged 43, and
// the one that tells 36 has itself acknowledged 48 a moment ago.  Its disk filled up under a
// change: it gave the lead away, found no room for its vote either and stopped following.  It still
// sent reads on to the leader and answered them, once confirmed there, with what it held itself.
// "version 43 had been acked over 2000 ms before a read was sent; version 36 is read".
TEST_F (Group, VoterWithoutRoomAnswersNoReadItDoesNotFollow)
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
  EXPECT_STREQ (fake_group_breach (group), "");
  EXPECT_EQ (fake_group_applied (group, full), held);
  EXPECT_NE (fake_group_last_status (group), STATUS_OK);
}

// A disk is full for some seconds and nothing is wrong with it after.  Its voter found no room for
// a vote in that time and stopped for good, so the next loss of a host would have left the group
// without a quorum until somebody started the process again.
// "voter stopped for good", status "disk full", what "storing".
TEST_F (Group, VoterWithoutRoomForItsVoteGoesOnOnceThereIsRoom)
{
  start (voters (3));
  uint32_t full = static_cast<uint32_t> (leader);
  EXPECT_EQ (propose (full, 5), 5u);
  disk_fake_set_capacity (fake_group_disk (group, full), 0);
  disk_fake_set_reported (fake_group_disk (group, full), 1 << 20);
  propose (full, 5);
  fake_group_run (group, 10 * second);
  EXPECT_EQ (propose (other (full), 5), 5u);
  EXPECT_EQ (propose (full, 5), 5u); // taken here, stored by the others
  disk_fake_set_capacity (fake_group_disk (group, full), UINT64_MAX);
  disk_fake_set_reported (fake_group_disk (group, full), UINT64_MAX);
  EXPECT_TRUE (fake_group_await_equal (group, 5 * second));
  EXPECT_EQ (consensus_voter_health (fake_group_consensus (group, full)), STATUS_OK);
  fake_group_stop (group, other (full), true);
  EXPECT_EQ (propose (full, 5), 5u);
}

// The leader's disk fills up and the leader sees it in time.  It refused every change for as long
// as that lasted, five seconds, though both others had room. "configuration-replaced", outcome
// "disk full", by all three controllers.
TEST_F (Group, LeaderWithoutRoomHandsTheLeadToOneThatHasIt)
{
  start (voters (3));
  uint32_t full = static_cast<uint32_t> (leader);
  EXPECT_EQ (propose (full, 5), 5u);
  disk_fake_set_reported (fake_group_disk (group, full), 0);
  fake_group_run (group, 3 * second);
  EXPECT_EQ (propose (full, 5), 5u);
  EXPECT_EQ (propose (other (full), 5), 5u);
}

// With one of three hosts lost, a leader without room is still needed: a vote from it may find no
// room, and without any leader not even reads are answered.
TEST_F (Group, LeaderWithoutRoomStaysWhereTheOthersAreNoQuorum)
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

// A disk reports an error of a sync.  The system may have dropped the data and report success the
// next time, so the voter stops for good; the others go on, and its callers are served by them.
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
  EXPECT_TRUE (fake_group_await_equal (group, 5 * second));
}

// Someone restores a voter's folder from last night's backup.  Its entries and its vote are older
// than what it told the others; it must not take part with them.
TEST_F (Group, OlderFolderPutBackIsRefusedByTheRunningLeader)
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

// The same with several starts since the backup: others have heard of a later start of that folder.
TEST_F (Group, OlderFolderIsRefusedByItsCountOfStarts)
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

// Power fails between any two operations on files, again and again, while snapshots are written and
// the journal is cut behind them.  After each the voter starts again from its folder and holds
// everything that was answered as done.
TEST_F (Group, CrashBetweenAnyTwoFileOperationsOfASnapshot)
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
      ASSERT_STREQ (fake_group_breach (group), "");
    }
}

// The same for a follower that gets snapshots from its leader.
TEST_F (Group, CrashBetweenAnyTwoFileOperationsOfAReceivedSnapshot)
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
      ASSERT_TRUE (fake_group_await_equal (group, 10 * second)) << stop;
    }
}

} // namespace
