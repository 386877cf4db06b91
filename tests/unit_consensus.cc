// Groups of voters under partitions, lost hosts, restarts and repair.
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
  EXPECT_TRUE (fake_group_await_convergence (group, second));
}

// A partition isolates the leader for an hour.  Requests on its side must time out, requests on the
// other side must reach a new leader within seconds, and entries that the old leader appended alone
// must not reappear once the partition heals.
TEST_F (Group, IsolatedLeaderIsReplacedAndRejoinsWithoutItsUncommittedEntries)
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
  EXPECT_TRUE (fake_group_await_convergence (group, 5 * second));
  EXPECT_EQ (fake_group_most_applied (group), before);
  EXPECT_EQ (propose (old, 5), 5u);
}

// A voter that was partitioned for an hour must rejoin without an election or a pause.
TEST_F (Group, IsolatedVoterRejoinsWithoutAnElection)
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
  EXPECT_TRUE (fake_group_await_convergence (group, 5 * second));
  EXPECT_EQ (propose (cut, 5), 5u);
  fake_group_counts (group, &after);
  EXPECT_EQ (after.elections, before.elections);
}

// The leader can send but not receive.  Its followers still get heartbeats and would follow it for
// ever while nothing commits, so it has to step down by itself.
TEST_F (Group, LeaderThatCannotReceiveIsReplaced)
{
  start (voters (3));
  uint32_t deaf = static_cast<uint32_t> (leader);
  for (uint32_t i = 0; i < 3; i++)
    fake_group_cut (group, i, deaf, i != deaf);
  fake_group_run (group, 8 * second);
  EXPECT_EQ (propose (other (deaf), 5), 5u);
  fake_group_heal (group);
  EXPECT_TRUE (fake_group_await_convergence (group, 5 * second));
}

// A host returns with an empty disk and is repaired; right after that a second host is lost for
// good.  Everything committed must survive, and the group must go on.
TEST_F (Group, SecondHostLostRightAfterRepairLosesNothing)
{
  start (voters (3));
  uint32_t first = other (static_cast<uint32_t> (leader));
  EXPECT_EQ (propose (0, 100), 100u);
  fake_group_stop (group, first, true);
  fake_group_set_disk (group, first, nullptr);
  ASSERT_EQ (fake_group_start (group, first), STATUS_OK);
  for (int i = 0; i < 60 && !fake_group_is_fully_replicated (group); i++)
    fake_group_run (group, second);
  ASSERT_TRUE (fake_group_is_fully_replicated (group));
  uint64_t before = fake_group_most_applied (group);
  fake_group_stop (group, static_cast<uint32_t> (leader), true);
  EXPECT_GE (fake_group_await_leader (group, 10 * second), 0);
  EXPECT_GE (fake_group_applied (group, first), before);
  EXPECT_EQ (propose (first, 5), 5u);
}

// A voter is lost for good.  After replace_after another host with a data folder must replace it
// without an operator, and the group must then survive the loss of one more voter.
TEST_F (Group, VoterSilentForReplaceAfterIsReplacedByAWaitingHost)
{
  struct fake_group_config config = voters (3);

  config.waiting = 1;
  config.timing.replace_after = 60 * second;
  start (config);
  uint32_t gone = other (static_cast<uint32_t> (leader));
  EXPECT_EQ (propose (static_cast<uint32_t> (leader), 20), 20u);
  fake_group_stop (group, gone, true);
  fake_group_run (group, 50 * second);
  EXPECT_FALSE (fake_group_is_fully_replicated (group));
  fake_group_run (group, 30 * second);
  EXPECT_TRUE (fake_group_is_fully_replicated (group));
  fake_group_stop (group, static_cast<uint32_t> (leader), true);
  EXPECT_EQ (propose (3, 5), 5u);
}

// More controllers run than the group has places for voters.  The spare ones serve targets,
// operators and callers too, so each must apply what was committed, also one that starts later; and
// a lost voter is replaced at once, since nothing has to be copied first.
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
  EXPECT_TRUE (fake_group_is_fully_replicated (group));
}

// One spare host restarts with its folder, another one with an empty folder.  Both must follow the
// log again within seconds, since the targets and callers that reach them get nothing until then.
TEST_F (Group, RestartedSpareHostsFollowTheLogAgain)
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
  EXPECT_TRUE (fake_group_is_fully_replicated (group));
}

// All hosts lose power and restart.  No request is served until a leader is elected.  A voter that
// honours a lease although leases are off would refuse its vote for 350 ms, and a candidate that
// asked too early would wait for another whole election timeout.
TEST_F (Group, RestartOfAllElectsALeaderWithin400MsWithoutLeases)
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

// A host was down for 500 changes, more than the log keeps behind a snapshot.  It must serve the
// newest configuration within seconds of its start, restored from a snapshot and entries.
TEST_F (Group, HostRestartedAfterFiveHundredChangesCatchesUp)
{
  struct fake_group_config config = voters (3);

  config.snapshot_entries = 200;
  start (config);
  uint32_t down = other (static_cast<uint32_t> (leader));
  fake_group_stop (group, down, false);
  EXPECT_EQ (propose (static_cast<uint32_t> (leader), 500), 500u);
  ASSERT_EQ (fake_group_start (group, down), STATUS_OK);
  EXPECT_TRUE (fake_group_await_convergence (group, 3 * second));
}

// All hosts lose power at once while entries are proposed.  Everything that was acknowledged must
// survive.
TEST_F (Group, PowerLossOfAllHostsKeepsAcknowledgedEntries)
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
  EXPECT_TRUE (fake_group_await_convergence (group, 5 * second));
  EXPECT_GE (fake_group_applied (group, 0), before);
}

// Before a graceful shutdown of the leader another voter must lead within a fraction of an election
// timeout.
TEST_F (Group, LeadershipIsTransferredBeforeAShutdown)
{
  start (voters (3));
  uint32_t old = static_cast<uint32_t> (leader);
  ASSERT_EQ (consensus_voter_transfer (fake_group_consensus (group, old),
                                       fake_group_local_time (group, old)),
             STATUS_OK);
  fake_group_run (group, second / 10);
  EXPECT_FALSE (
      fake_group_consensus (group, old)->ops->is_leader (fake_group_consensus (group, old)));
  fake_group_stop (group, old, false);
  EXPECT_GE (fake_group_await_leader (group, second / 10), 0);
}

// A voter is down while the others have a backlog for it.  The backlog must not be sent again and
// again until the voter is replaced: it would fill the queue of its connection, and the link that
// hosts may use for control traffic.
TEST_F (Group, LostVoterIsSentOnlyHeartbeats)
{
  struct fake_group_count before;
  struct fake_group_count after;
  struct fake_group_config config = voters (3);

  config.snapshot_entries = 50;
  config.entry_bytes = 4000;
  config.state_bytes = 100000;
  for (int backlog : { 20, 200 }) // in the log, and only in a snapshot
    {
      talloc_free (group);
      start (config);
      uint32_t dead = other (static_cast<uint32_t> (leader));
      fake_group_stop (group, dead, true);
      // The next leader has no message from it and does not know its match index.
      ASSERT_EQ (
          consensus_voter_transfer (fake_group_consensus (group, static_cast<uint32_t> (leader)),
                                    fake_group_local_time (group, static_cast<uint32_t> (leader))),
          STATUS_OK);
      fake_group_run (group, second);
      leader = fake_group_await_leader (group, second);
      EXPECT_EQ (propose (static_cast<uint32_t> (leader), backlog),
                 static_cast<uint64_t> (backlog));
      fake_group_run (group, 10 * second);
      fake_group_counts (group, &before);
      fake_group_run (group, 100 * second);
      fake_group_counts (group, &after);
      EXPECT_LT ((after.bytes - before.bytes) / 100, 2000u);
      ASSERT_EQ (fake_group_start (group, dead), STATUS_OK);
      EXPECT_TRUE (fake_group_await_convergence (group, 5 * second));
    }
}

} // namespace
