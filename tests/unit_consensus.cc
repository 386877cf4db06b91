// Groups of voters through partitions, lost hosts, restarts and repair.
#include "group_harness.h"

namespace
{

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
