// Hosts that are killed, suspended or restarted under load.
#include "whole_launch.h"

namespace
{

class WholeHosts : public WholeLaunch
{
protected:
  // Every repeatable request must be answered whole; the outcome of an unrepeatable one may be
  // unknown after its host was killed.
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
    expect_no_violation (result);
  }
};

// A host is killed under load and its callers' connections break.  They retry with the same ids at
// another host: repeatable requests must be answered whole, and an order must not run twice.  The
// host restarts from its own journal and must be listed again.
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
        EXPECT_TRUE (launch_wait_exit (launch_, process, 30 * USEC_PER_SEC));
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
  EXPECT_TRUE (wait_until ([&] { return is_listed (0, 1); }));
  check (launch_wait_targets (launch_, all_targets));
  expect_all_attained (send ("after-kill", 60, 10 * USEC_PER_MSEC));
}

// A host is suspended (SIGSTOP): its sockets stay open and no call to it fails.  It must leave the
// lists for callers, the targets registered with it must stay known through another host, and it
// must rejoin by itself when it resumes.
TEST_F (WholeHosts, ASuspendedHostLeavesTheListsAndRejoins)
{
  start (3);
  launch_signal (&launch_->hosts[2].process, SIGSTOP);
  EXPECT_TRUE (wait_until ([&] { return !is_listed (0, 2) && !is_listed (1, 2); }));
  EXPECT_TRUE (wait_until ([&] {
    return launch_usable_targets (launch_, 0) == all_targets
           && launch_usable_targets (launch_, 1) == all_targets;
  }));
  pid_t stopped = launch_->hosts[2].process.pid;
  launch_->hosts[2].process.pid = 0; /* not asked for the list */
  expect_all_attained (send ("silent", 100, 10 * USEC_PER_MSEC));
  launch_->hosts[2].process.pid = stopped;
  launch_signal (&launch_->hosts[2].process, SIGCONT);
  EXPECT_TRUE (wait_until ([&] { return is_listed (0, 2) && is_listed (1, 2); }));
  check (launch_wait_healthy (launch_));
  check (launch_wait_revision (launch_));
  check (launch_wait_targets (launch_, all_targets));
  expect_all_attained (send ("awake", 100, 10 * USEC_PER_MSEC));
}

// An operator restarts every host in turn under load.  Each host must leave the lists, serve while
// callers may still hold an old list, finish what is in flight and exit with code 0: no answer may
// be cut or lost.
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
        EXPECT_TRUE (launch_wait_exit (launch_, process, 60 * USEC_PER_SEC));
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

// All hosts lose power at once.  After the restart the configuration acknowledged to operators must
// be in force, the targets must be found without intervention, and an order that ran before must
// not run again when it is retried.
TEST_F (WholeHosts, AllHostsRestartedAtOnceKeepConfigurationAndClaims)
{
  start (3);
  struct call_answer before = post (0, "order", "order-before", "{\"unit\": 1}");

  ASSERT_EQ (before.code, 200) << before.body.data;
  for (uint32_t i = 0; i < launch_->n_hosts; i++)
    launch_signal (&launch_->hosts[i].process, SIGKILL);
  for (uint32_t i = 0; i < launch_->n_hosts; i++)
    ASSERT_TRUE (launch_wait_exit (launch_, &launch_->hosts[i].process, 30 * USEC_PER_SEC));
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
