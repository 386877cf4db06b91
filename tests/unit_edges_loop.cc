// The event loop: timers, watched descriptors and signals on one thread; and the state dump.
#include "dump.h"
#include "loop.h"
#include <csignal>
#include <gtest/gtest.h>
#include <libwebsockets.h>
#include <string>
#include <talloc.h>
#include <unistd.h>

namespace
{

const int64_t WAIT = 10 * USEC_PER_SEC; // only ends the test when an expected event never arrives

struct timer_probe
{
  struct timer timer;
  struct loop *loop;
  int64_t fired_at;
};

const struct timer_ops timer_probe_ops = { .fire = [] (struct timer *timer, int64_t now) {
  auto *probe = reinterpret_cast<struct timer_probe *> (timer);

  probe->fired_at = now;
  loop_stop (probe->loop);
} };

TEST (Loop, RunsATimerWhenDueAndNotBefore)
{
  struct loop *loop = loop_new (nullptr, 64);
  struct timer_probe probe = {};
  int64_t due;

  ASSERT_NE (loop, nullptr);
  probe.timer.ops = &timer_probe_ops;
  probe.loop = loop;
  due = loop_now (loop) + 5 * USEC_PER_MSEC;
  timer_arm (loop_timers (loop), &probe.timer, due);
  loop_run (loop);
  EXPECT_GE (probe.fired_at, due);
  talloc_free (loop);
}

// A timer becomes due just as the loop starts to wait, while a much later one is scheduled in lws
// itself.  The loop must not sleep until the later one, or deadlines would be missed.
TEST (Loop, DoesNotSleepPastATimerThatIsAlreadyDue)
{
  struct loop *loop = loop_new (nullptr, 64);
  lws_sorted_usec_list_t later = {};
  int64_t start = loop_now (loop);

  lws_sul_schedule (
      loop_context (loop), 0, &later, [] (lws_sorted_usec_list_t *) {}, 60 * USEC_PER_SEC);
  for (int64_t wait = 0; wait < 200; wait++)
    loop_run_once (loop, wait);
  EXPECT_LT (loop_now (loop), start + 30 * USEC_PER_SEC);
  lws_sul_cancel (&later);
  talloc_free (loop);
}

struct pipe_probe
{
  struct loop_watch watch;
  int fd;
  std::string seen;
};

const struct loop_watch_ops pipe_probe_ops = {
  .readable =
      [] (struct loop_watch *watch, int64_t) {
        auto *probe = reinterpret_cast<struct pipe_probe *> (watch);
        char buffer[16];
        ssize_t length = read (probe->fd, buffer, sizeof buffer);

        if (length > 0)
          probe->seen.append (buffer, static_cast<size_t> (length));
      },
  .writable = nullptr,
  .hung_up = nullptr
};

TEST (Loop, WatchesADescriptorWithoutTakingOwnership)
{
  struct loop *loop = loop_new (nullptr, 64);
  struct pipe_probe probe = {};
  int ends[2];

  ASSERT_EQ (pipe (ends), 0);
  probe.watch.ops = &pipe_probe_ops;
  probe.fd = ends[0];
  ASSERT_EQ (loop_watch_fd (loop, &probe.watch, ends[0]), STATUS_OK);
  ASSERT_EQ (write (ends[1], "ab", 2), 2);
  for (int64_t until = loop_now (loop) + WAIT; probe.seen.size () < 2 && loop_now (loop) < until;)
    loop_run_once (loop, USEC_PER_SEC);
  EXPECT_EQ (probe.seen, "ab");
  loop_unwatch (loop, &probe.watch);
  ASSERT_EQ (write (ends[1], "c", 1), 1);
  for (int i = 0; i < 5; i++)
    loop_run_once (loop, USEC_PER_MSEC);
  EXPECT_EQ (probe.seen, "ab");
  char left;
  EXPECT_EQ (read (ends[0], &left, 1), 1); // still open, and its byte is unread
  talloc_free (loop);
  close (ends[0]);
  close (ends[1]);
}

struct signal_probe
{
  struct loop_signal handler;
  struct loop *loop;
  int signo;
};

const struct loop_signal_ops signal_probe_ops = { .raised = [] (struct loop_signal *handler,
                                                                int signo,
                                                                int64_t) {
  auto *probe = reinterpret_cast<struct signal_probe *> (handler);

  probe->signo = signo;
  loop_stop (probe->loop);
} };

TEST (Loop, DeliversSignalsFromTheLoop)
{
  struct loop *loop = loop_new (nullptr, 64);
  struct signal_probe probe = { .handler = { .ops = &signal_probe_ops }, .loop = loop, .signo = 0 };
  const int signals[] = { SIGUSR1 };

  ASSERT_EQ (loop_on_signal (loop, &probe.handler, signals, 1), STATUS_OK);
  raise (SIGUSR1);
  loop_run (loop);
  EXPECT_EQ (probe.signo, SIGUSR1);
  talloc_free (loop);
}

const struct dump_source_ops broken_ops = {
  .describe = [] (struct dump_source *, int64_t) -> json_t * { return nullptr; }
};
const struct dump_source_ops whole_ops = { .describe = [] (struct dump_source *, int64_t now) {
  return json_integer (now);
} };

TEST (Dump, ContainsEverySourceByNameAndNullForAFailedOne)
{
  struct dump dump = {};
  struct dump_source broken = { .ops = &broken_ops, .name = "broken", .next = nullptr };
  struct dump_source whole = { .ops = &whole_ops, .name = "whole", .next = nullptr };
  json_t *all;

  dump_add (&dump, &broken);
  dump_add (&dump, &whole);
  all = dump_describe (&dump, 7);
  EXPECT_TRUE (json_is_null (json_object_get (all, "broken")));
  EXPECT_EQ (json_integer_value (json_object_get (all, "whole")), 7);
  json_decref (all);
}

} // namespace
