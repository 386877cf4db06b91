// Hosts that die, are cut off, or restart, under load.
#include "whole_launch.h"

namespace
{

class WholeHosts : public WholeLaunch
{
protected:
  // Repeatable requests all whole; an unrepeatable one may be left unknown by its host's death.
  void
  expect_whole_or_unknown (const struct replay_result *result)
  {
    for (uint32_t i = 0; i < result->count; i++)
      {
        const struct trace_request &request = options_.trace->requests[i];
        const struct replay_record &record = result->records[i];

        EXPECT_TRUE (record.outcome == REPLAY_ATTAINED
                     || (!request.repeatable && record.outcome == REPLAY_UNKNOWN))
            << request.id << " " << request.pipeline << ": " << replay_outcome_text (record.outcome)
            << " " << record.detail;
      }
    expect_no_broken_promise (result);
  }
};

// A host dies under load and its callers' connections break.  They send the same ids to another
// host: repeatable requests come out whole, an order is not run a second time.  The host starts
// again from its own journal and gets back into the lists.
TEST_F (WholeHosts, KillAndRestartUnderLoadLosesNothing)
{
  bool killed = false;
  bool restarted = false;

  start (3);
  const struct replay_result *result = send ("kill", 600, 10 * USEC_PER_MSEC, [&] (uint32_t ended) {
    struct launch_process *process = &launch_->hosts[1].process;

    if (!killed && ended >= 150)
      {
        killed = true;
        launch_signal (process, SIGKILL);
        EXPECT_TRUE (launch_wait_end (launch_, process, 30 * USEC_PER_SEC));
      }
    if (!restarted && ended >= 300)
      {
        restarted = true;
        check (launch_start_host (launch_, 1));
      }
  });

  ASSERT_TRUE (restarted);
  expect_whole_or_unknown (result);
  check (launch_wait_healthy (launch_));
  check (launch_wait_revision (launch_));
  EXPECT_TRUE (wait_until ([&] { return listed (0, 1); }));
  check (launch_wait_targets (launch_, all_targets));
  expect_all_attained (send ("after-kill", 60, 10 * USEC_PER_MSEC));
}

// A host stops without a word: its sockets stay open and no call to it fails.  Callers must stop
// being sent there, the targets that were at home there must stay known through another host, and
// when it wakes it must come back by itself.
TEST_F (WholeHosts, ASilentHostLeavesTheListsAndComesBack)
{
  start (3);
  launch_signal (&launch_->hosts[2].process, SIGSTOP);
  EXPECT_TRUE (wait_until ([&] { return !listed (0, 2) && !listed (1, 2); }));
  EXPECT_TRUE (wait_until ([&] {
    return launch_known_targets (launch_, 0) == all_targets
           && launch_known_targets (launch_, 1) == all_targets;
  }));
  pid_t stopped = launch_->hosts[2].process.pid;
  launch_->hosts[2].process.pid = 0; /* not asked for the list */
  expect_all_attained (send ("silent", 100, 10 * USEC_PER_MSEC));
  launch_->hosts[2].process.pid = stopped;
  launch_signal (&launch_->hosts[2].process, SIGCONT);
  EXPECT_TRUE (wait_until ([&] { return listed (0, 2) && listed (1, 2); }));
  check (launch_wait_healthy (launch_));
  check (launch_wait_revision (launch_));
  check (launch_wait_targets (launch_, all_targets));
  expect_all_attained (send ("awake", 100, 10 * USEC_PER_MSEC));
}

// An operator restarts every host in turn while callers work on.  Each leaves the lists, goes on
// serving while an old list may be kept, finishes what is in flight and ends with exit code 0: no
// answer may be cut, none lost.
TEST_F (WholeHosts, RollingRestartUnderLoadCutsNothing)
{
  uint32_t next = 0;
  uint32_t ended_at_start[3] = {};

  start (3, "\n[entry]\nlist_keep_ms = 500\n");
  const struct replay_result *result =
      send ("rolling", 1500, 10 * USEC_PER_MSEC, [&] (uint32_t ended) {
        if (next >= 3 || ended < 100)
          return;
        struct launch_process *process = &launch_->hosts[next].process;

        ended_at_start[next] = ended;
        launch_signal (process, SIGTERM);
        EXPECT_TRUE (launch_wait_end (launch_, process, 60 * USEC_PER_SEC));
        EXPECT_EQ (process->exit_status, 0);
        check (launch_start_host (launch_, next++));
        check (launch_wait_healthy (launch_));
        check (launch_wait_revision (launch_));
        check (launch_wait_targets (launch_, all_targets));
      });

  ASSERT_EQ (next, 3u);
  EXPECT_LT (ended_at_start[2], result->count) << "the last restart came after the load";
  EXPECT_EQ (result->cuts, 0u) << result->first_cut;
  expect_all_attained (result);
}

// A power cut takes every host at once.  What operators were told is in force must still be there
// when the hosts come back, the targets must be found again without anybody's help, and an order
// done before the cut must not be run again when it is sent once more.
TEST_F (WholeHosts, AllHostsRestartedAtOnceKeepConfigurationAndClaims)
{
  start (3);
  struct call_answer before = post (0, "order", "order-before", "{\"unit\": 1}");

  ASSERT_EQ (before.code, 200) << before.body.data;
  for (uint32_t i = 0; i < launch_->n_hosts; i++)
    launch_signal (&launch_->hosts[i].process, SIGKILL);
  for (uint32_t i = 0; i < launch_->n_hosts; i++)
    ASSERT_TRUE (launch_wait_end (launch_, &launch_->hosts[i].process, 30 * USEC_PER_SEC));
  check (launch_start_hosts (launch_));
  check (launch_wait_healthy (launch_));
  check (launch_wait_revision (launch_));
  check (launch_wait_targets (launch_, all_targets));
  struct call_answer after = post (1, "order", "order-before", "{\"unit\": 1}");

  EXPECT_EQ (after.code, 200) << after.body.data;
  EXPECT_STREQ (after.body.data, before.body.data);
  EXPECT_EQ (launch_executions (launch_, "counter", "order-before"), 1u);
  expect_all_attained (send ("restarted", 100, 10 * USEC_PER_MSEC));
}

} // namespace
