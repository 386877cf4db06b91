// The states of a graceful shutdown, on virtual time.
#include "drain.h"
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

constexpr int64_t LIST_KEEP = 10 * USEC_PER_SEC;
constexpr int64_t BOUND = 60 * USEC_PER_SEC;

// Records the actions of the process; the test sets the requests in flight and the hand-over.
struct process
{
  struct drain_actions actions; // first member
  void *memory;
  struct board *board;
  struct timer_service *timers;
  struct drain *drain;
  int64_t now = 1000 * USEC_PER_SEC;
  unsigned in_flight = 0;
  bool handed_over = true;
  int64_t last_arrival = 0;
  std::vector<std::string> steps;
  int exit_code = -1;

  static struct process *
  of (struct drain_actions *a)
  {
    return reinterpret_cast<process *> (a);
  }
  static void
  leave (struct drain_actions *a, int64_t)
  {
    of (a)->steps.push_back ("leave");
  }
  static bool
  idle (struct drain_actions *a)
  {
    return of (a)->in_flight == 0;
  }
  static int64_t
  arrived (struct drain_actions *a)
  {
    return of (a)->last_arrival;
  }
  static void
  hand_over (struct drain_actions *a, int64_t)
  {
    of (a)->steps.push_back ("hand");
  }
  static bool
  is_over (struct drain_actions *a, int64_t)
  {
    return of (a)->handed_over;
  }
  static uint32_t
  unfinished (struct drain_actions *a, int64_t)
  {
    return of (a)->in_flight;
  }
  static void
  end (struct drain_actions *a, int exit_code, int64_t)
  {
    of (a)->steps.push_back ("end");
    of (a)->exit_code = exit_code;
  }
  static inline const struct drain_ops ops = { .leave = leave,
                                               .is_idle = idle,
                                               .last_arrival = arrived,
                                               .hand_over = hand_over,
                                               .is_handed_over = is_over,
                                               .log_unfinished = unfinished,
                                               .end = end };

  process ()
      : actions{ &ops }, memory (talloc_new (nullptr)), board (board_new (memory)),
        timers (timer_service_new (memory))
  {
    struct drain_config config = { .board = board,
                                   .timers = timers,
                                   .actions = &actions,
                                   .dump = nullptr,
                                   .list_keep = LIST_KEEP,
                                   .drain_bound = BOUND };
    drain = drain_new (memory, &config);
  }
  ~process ()
  {
    talloc_free (memory);
  }
  process (const process &) = delete;
  process &operator= (const process &) = delete;

  void
  run (int64_t span)
  {
    for (int64_t until = now + span; now < until; now += 10 * USEC_PER_MSEC)
      timer_service_run (timers, now);
  }
};

// A host is restarted under load.  Callers still hold lists that name it, and its requests take a
// while: none may be refused before the lists have expired, none cut before it is answered.
TEST (Drain, ServesWhileListsNameTheHostThenFinishesRequestsInFlight)
{
  struct process p;

  p.in_flight = 3;
  drain_signal (p.drain, p.now);
  EXPECT_TRUE (p.board->leaving);
  p.run (LIST_KEEP - 100 * USEC_PER_MSEC);
  EXPECT_FALSE (p.board->refusing);
  EXPECT_EQ (drain_state (p.drain), DRAIN_LEAVING);
  p.run (200 * USEC_PER_MSEC);
  EXPECT_TRUE (p.board->refusing);
  p.run (20 * USEC_PER_SEC);
  EXPECT_EQ (drain_state (p.drain), DRAIN_REFUSING);
  EXPECT_EQ (p.exit_code, -1);
  p.in_flight = 0;
  p.run (100 * USEC_PER_MSEC);
  EXPECT_EQ (p.exit_code, 0);
  EXPECT_EQ (p.steps, (std::vector<std::string>{ "leave", "hand", "end" }));
}

// A host is stopped while idle, but a list given out shortly before still names it.
TEST (Drain, IdleHostRunsUntilNoListNamesIt)
{
  struct process p;

  drain_signal (p.drain, p.now);
  p.run (LIST_KEEP - 100 * USEC_PER_MSEC);
  EXPECT_EQ (p.exit_code, -1);
  p.run (200 * USEC_PER_MSEC);
  EXPECT_EQ (p.exit_code, 0);
}

// Lists have just expired.  Callers still use them until the new list arrives and are refused at
// once, so that nothing is in flight whenever the drain polls.  The process must not end between
// two such requests: the second would be cut and its caller not know whether it ran.
TEST (Drain, DoesNotEndWhileCallersStillUseExpiredLists)
{
  struct process p;

  drain_signal (p.drain, p.now);
  p.run (LIST_KEEP - 20 * USEC_PER_MSEC);
  for (int i = 0; i < 5; i++)
    {
      p.last_arrival = p.now;
      p.run (100 * USEC_PER_MSEC);
      EXPECT_EQ (drain_state (p.drain), DRAIN_REFUSING) << i;
    }
  p.run (DRAIN_QUIET_PERIOD);
  EXPECT_EQ (p.exit_code, 0);
}

// A load balancer's probes use no list and never stop; the shutdown must go on all the same.
TEST (Drain, EndsThoughCallersNeverStopSending)
{
  struct process p;

  drain_signal (p.drain, p.now);
  for (int64_t t = 0; t < LIST_KEEP + DRAIN_QUIET_TIMEOUT + USEC_PER_SEC; t += 50 * USEC_PER_MSEC)
    {
      p.last_arrival = p.now;
      p.run (50 * USEC_PER_MSEC);
    }
  EXPECT_EQ (p.exit_code, 0);
}

// A connection is accepted just before the host closes its port, and its request is read only after
// that.  It must be answered before the process ends.
TEST (Drain, AnswersRequestsOnTheLastConnections)
{
  struct process p;

  drain_signal (p.drain, p.now);
  while (drain_state (p.drain) != DRAIN_HANDING_OVER && p.exit_code < 0)
    p.run (10 * USEC_PER_MSEC);
  p.in_flight = 1;
  p.run (200 * USEC_PER_MSEC);
  EXPECT_EQ (p.exit_code, -1);
  p.in_flight = 0;
  p.run (100 * USEC_PER_MSEC);
  EXPECT_EQ (p.exit_code, 0);
}

TEST (Drain, WaitsForTheHandOverForABoundedTime)
{
  struct process p;

  p.handed_over = false;
  drain_signal (p.drain, p.now);
  p.run (LIST_KEEP + DRAIN_HAND_OVER_TIMEOUT - 100 * USEC_PER_MSEC);
  EXPECT_EQ (drain_state (p.drain), DRAIN_HANDING_OVER);
  p.run (300 * USEC_PER_MSEC);
  EXPECT_EQ (p.exit_code, 0);
}

// An operator sends the signal again to stop at once: the process ends, and its exit code reports
// unfinished requests.
TEST (Drain, SecondSignalEndsAtOnceWithUnfinishedExitCode)
{
  struct process p;

  p.in_flight = 2;
  drain_signal (p.drain, p.now);
  p.run (USEC_PER_SEC);
  drain_signal (p.drain, p.now);
  EXPECT_EQ (p.exit_code, DRAIN_EXIT_UNFINISHED);
  p.steps.clear ();
  drain_signal (p.drain, p.now);
  p.run (BOUND);
  EXPECT_TRUE (p.steps.empty ());
}

// A request never ends because its target hangs.  The shutdown must end at `drain_bound`.
TEST (Drain, DrainBoundEndsAShutdownWithAHungRequest)
{
  struct process p;

  p.in_flight = 1;
  drain_signal (p.drain, p.now);
  p.run (BOUND - 100 * USEC_PER_MSEC);
  EXPECT_EQ (p.exit_code, -1);
  p.run (200 * USEC_PER_MSEC);
  EXPECT_EQ (p.exit_code, DRAIN_EXIT_UNFINISHED);
}

} // namespace
