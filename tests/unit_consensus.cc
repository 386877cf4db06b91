// Groups of voters through what fails: partitions, lost hosts, lost disks, restarts.
#include "fake_group.h"
#include <gtest/gtest.h>
#include <talloc.h>

namespace
{

constexpr int64_t second = USEC_PER_SEC;

struct fake_group_config
voters (uint32_t n)
{
  struct fake_group_config config = {};

  config.seed = 1;
  config.voters = n;
  return config;
}

class Group : public testing::Test
{
protected:
  void
  start (const struct fake_group_config &config)
  {
    group = fake_group_new (nullptr, &config);
    leader = fake_group_await_leader (group, 10 * second);
    ASSERT_GE (leader, 0);
  }

  void
  TearDown () override
  {
    EXPECT_STREQ (fake_group_breach (group), "");
    talloc_free (group);
  }

  // Propose `n` entries through `host`, one after the other; how many were committed.
  uint64_t
  propose (uint32_t host, int n)
  {
    struct fake_group_count before;
    struct fake_group_count after;

    fake_group_counts (group, &before);
    for (int i = 0; i < n; i++)
      {
        fake_group_propose (group, host, 3 * second);
        fake_group_run (group, second / 100);
      }
    fake_group_run (group, 4 * second);
    fake_group_counts (group, &after);
    return after.committed - before.committed;
  }

  uint32_t
  other (uint32_t host)
  {
    return (host + 1) % 3;
  }

  struct fake_group *group = nullptr;
  int leader = -1;
};

TEST_F (Group, OneVoterFormsAGroupAndCommits)
{
  start (voters (1));
  EXPECT_EQ (propose (0, 10), 10u);
}

TEST_F (Group, ThreeVotersFormAGroupAndCommitThroughAnyOfThem)
{
  start (voters (3));
  for (uint32_t i = 0; i < 3; i++)
    EXPECT_EQ (propose (i, 10), 10u);
  EXPECT_TRUE (fake_group_await_equal (group, second));
}

// A switch fails without a sign and cuts the leader off for an hour.  Callers on its side must get
// an end of their requests, callers on the other side a new leader within seconds, and what the old
// one took in alone must not come back when the switch is mended.
TEST_F (Group, LeaderCutOffForLongIsReplacedAndComesBackClean)
{
  start (voters (3));
  uint32_t old = static_cast<uint32_t> (leader);
  fake_group_isolate (group, old, true);
  EXPECT_EQ (propose (old, 5), 0u);
  EXPECT_EQ (propose (other (old), 5), 5u);
  EXPECT_NE (fake_group_await_leader (group, second), leader);
  fake_group_run (group, 3600 * second);
  uint64_t before = fake_group_most_applied (group);
  fake_group_heal (group);
  EXPECT_TRUE (fake_group_await_equal (group, 5 * second));
  EXPECT_EQ (fake_group_most_applied (group), before);
  EXPECT_EQ (propose (old, 5), 5u);
}

// A voter is cut off for an hour.  Nobody may notice when it comes back: no election, no pause.
TEST_F (Group, VoterCutOffForLongComesBackWithoutAnElection)
{
  struct fake_group_count before;
  struct fake_group_count after;

  start (voters (3));
  uint32_t cut = other (static_cast<uint32_t> (leader));
  fake_group_isolate (group, cut, true);
  EXPECT_EQ (propose (static_cast<uint32_t> (leader), 50), 50u);
  fake_group_run (group, 3600 * second);
  fake_group_counts (group, &before);
  fake_group_heal (group);
  EXPECT_TRUE (fake_group_await_equal (group, 5 * second));
  EXPECT_EQ (propose (cut, 5), 5u);
  fake_group_counts (group, &after);
  EXPECT_EQ (after.elections, before.elections);
}

// The leader's messages arrive but what it is sent does not.  Its followers hear heartbeats and
// would follow for ever, while nothing commits: it has to step down by itself.
TEST_F (Group, LeaderThatCannotHearIsReplaced)
{
  start (voters (3));
  uint32_t deaf = static_cast<uint32_t> (leader);
  for (uint32_t i = 0; i < 3; i++)
    fake_group_cut (group, i, deaf, i != deaf);
  fake_group_run (group, 8 * second);
  EXPECT_EQ (propose (other (deaf), 5), 5u);
  fake_group_heal (group);
  EXPECT_TRUE (fake_group_await_equal (group, 5 * second));
}

// A disk dies, its host comes back with an empty one and is repaired; right after that a second
// host is lost for good.  Everything committed has to be there still, and the group must go on.
TEST_F (Group, SecondHostLostRightAfterRepairLosesNothing)
{
  start (voters (3));
  uint32_t first = other (static_cast<uint32_t> (leader));
  EXPECT_EQ (propose (0, 100), 100u);
  fake_group_stop (group, first, true);
  fake_group_set_disk (group, first, nullptr);
  ASSERT_EQ (fake_group_start (group, first), STATUS_OK);
  for (int i = 0; i < 60 && !fake_group_whole (group); i++)
    fake_group_run (group, second);
  ASSERT_TRUE (fake_group_whole (group));
  uint64_t before = fake_group_most_applied (group);
  fake_group_stop (group, static_cast<uint32_t> (leader), true);
  EXPECT_GE (fake_group_await_leader (group, 10 * second), 0);
  EXPECT_GE (fake_group_applied (group, first), before);
  EXPECT_EQ (propose (first, 5), 5u);
}

// A host dies and stays dead.  Another host with a data folder waits; after the set time it takes
// the place, without an operator, and the loss of one more voter is survived.
TEST_F (Group, VoterGoneForTheSetTimeIsReplacedByAHostThatWaits)
{
  struct fake_group_config config = voters (3);

  config.waiting = 1;
  config.timing.replace_after = 60 * second;
  start (config);
  uint32_t gone = other (static_cast<uint32_t> (leader));
  EXPECT_EQ (propose (static_cast<uint32_t> (leader), 20), 20u);
  fake_group_stop (group, gone, true);
  fake_group_run (group, 50 * second);
  EXPECT_FALSE (fake_group_whole (group));
  fake_group_run (group, 30 * second);
  EXPECT_TRUE (fake_group_whole (group));
  fake_group_stop (group, static_cast<uint32_t> (leader), true);
  EXPECT_EQ (propose (3, 5), 5u);
}

// More controllers are started than the group wants voters.  The spare ones answer targets,
// operators and callers too, so each has to hold what was committed, and one that starts later as
// well; and a voter that dies is replaced at once, as nothing has to be copied first.
TEST_F (Group, SpareHostsFollowTheLogWithoutAVote)
{
  struct fake_group_config config = voters (3);

  config.waiting = 3;
  start (config);
  EXPECT_EQ (propose (static_cast<uint32_t> (leader), 20), 20u);
  fake_group_run (group, 5 * second);
  for (uint32_t spare = 3; spare < 6; spare++)
    {
      EXPECT_EQ (fake_group_applied (group, spare), fake_group_most_applied (group));
      EXPECT_EQ (propose (spare, 5), 5u);
    }
  EXPECT_TRUE (fake_group_whole (group));
}

// A spare host restarts with its folder, and another one with an empty one.  Both must follow again
// within seconds, or the targets and callers that reach them get nothing.
TEST_F (Group, SpareHostsThatRestartFollowAgain)
{
  struct fake_group_config config = voters (3);

  config.waiting = 2;
  start (config);
  fake_group_run (group, 5 * second);
  for (uint32_t spare : { 3u, 4u })
    fake_group_stop (group, spare, true);
  fake_group_set_disk (group, 4, nullptr);
  EXPECT_EQ (propose (static_cast<uint32_t> (leader), 20), 20u);
  for (uint32_t spare : { 3u, 4u })
    ASSERT_EQ (fake_group_start (group, spare), STATUS_OK);
  fake_group_run (group, 5 * second);
  for (uint32_t spare : { 3u, 4u })
    EXPECT_EQ (fake_group_applied (group, spare), fake_group_most_applied (group));
  EXPECT_TRUE (fake_group_whole (group));
}

// Power is lost everywhere and comes back.  Until there is a leader no request is served; a voter
// that keeps to a lease which nobody has would refuse its vote for a third of a second, and whoever
// asked it too early would wait for a whole election time again.
TEST_F (Group, StartOfAllFindsALeaderSoonWithoutLeases)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct fake_group_config config = voters (3);

      config.seed = seed;
      config.no_lease = true;
      config.timing.heartbeat = second * 80 / 1000;
      config.timing.election_min = second * 350 / 1000;
      config.timing.election_max = second * 700 / 1000;
      start (config);
      for (uint32_t i = 0; i < 3; i++)
        fake_group_stop (group, i, true);
      fake_group_run (group, second);
      for (uint32_t i = 0; i < 3; i++)
        ASSERT_EQ (fake_group_start (group, i), STATUS_OK);
      EXPECT_GE (fake_group_await_leader (group, second * 400 / 1000), 0) << "seed " << seed;
      if (seed < 20)
        talloc_free (group);
    }
}

// A host was down while 500 changes piled up, and more than the snapshot keeps.  It must serve the
// newest configuration within seconds of its start, by snapshot and by entries.
TEST_F (Group, RestartAfterFiveHundredChangesPiledUp)
{
  struct fake_group_config config = voters (3);

  config.snapshot_entries = 200;
  start (config);
  uint32_t down = other (static_cast<uint32_t> (leader));
  fake_group_stop (group, down, false);
  EXPECT_EQ (propose (static_cast<uint32_t> (leader), 500), 500u);
  ASSERT_EQ (fake_group_start (group, down), STATUS_OK);
  EXPECT_TRUE (fake_group_await_equal (group, 3 * second));
}

// All hosts lose power at once, in the middle of changes.  Whatever was answered as done is there.
TEST_F (Group, PowerLossOfAllHostsLosesNothingThatWasAnswered)
{
  start (voters (3));
  EXPECT_EQ (propose (0, 30), 30u);
  uint64_t before = fake_group_most_applied (group);
  fake_group_propose (group, 0, second);
  for (uint32_t i = 0; i < 3; i++)
    fake_group_stop (group, i, true);
  for (uint32_t i = 0; i < 3; i++)
    ASSERT_EQ (fake_group_start (group, i), STATUS_OK);
  EXPECT_GE (fake_group_await_leader (group, 10 * second), 0);
  EXPECT_TRUE (fake_group_await_equal (group, 5 * second));
  EXPECT_GE (fake_group_applied (group, 0), before);
}

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

// A graceful shutdown of the leader: another leads within a fraction of the time that an election
// after a silence takes.
TEST_F (Group, LeadershipIsHandedOverBeforeAShutdown)
{
  start (voters (3));
  uint32_t old = static_cast<uint32_t> (leader);
  ASSERT_EQ (
      consensus_voter_transfer (fake_group_consensus (group, old), fake_group_local (group, old)),
      STATUS_OK);
  fake_group_run (group, second / 10);
  EXPECT_FALSE (
      fake_group_consensus (group, old)->ops->is_leader (fake_group_consensus (group, old)));
  fake_group_stop (group, old, false);
  EXPECT_GE (fake_group_await_leader (group, second / 10), 0);
}

// A voter's host dies while the others have much to tell it.  What it needs must not be sent again
// and again: it would fill the queue of its connection, and the link that every host may use for
// control, until it is replaced.
TEST_F (Group, DeadVoterCostsNoMoreThanHeartbeats)
{
  struct fake_group_count before;
  struct fake_group_count after;
  struct fake_group_config config = voters (3);

  config.snapshot_entries = 50;
  config.entry_bytes = 4000;
  config.state_bytes = 100000;
  for (int piled : { 20, 200 }) // held in memory still, and only in a snapshot
    {
      talloc_free (group);
      start (config);
      uint32_t dead = other (static_cast<uint32_t> (leader));
      fake_group_stop (group, dead, true);
      // The next leader never heard of it and does not know what it holds.
      ASSERT_EQ (
          consensus_voter_transfer (fake_group_consensus (group, static_cast<uint32_t> (leader)),
                                    fake_group_local (group, static_cast<uint32_t> (leader))),
          STATUS_OK);
      fake_group_run (group, second);
      leader = fake_group_await_leader (group, second);
      EXPECT_EQ (propose (static_cast<uint32_t> (leader), piled), static_cast<uint64_t> (piled));
      fake_group_run (group, 10 * second);
      fake_group_counts (group, &before);
      fake_group_run (group, 100 * second);
      fake_group_counts (group, &after);
      EXPECT_LT ((after.bytes - before.bytes) / 100, 2000u);
      ASSERT_EQ (fake_group_start (group, dead), STATUS_OK);
      EXPECT_TRUE (fake_group_await_equal (group, 5 * second));
    }
}

} // namespace
