// A fake log on virtual time whose entries and answers can be lost or late.  Hosts share it by
// using the same state machine.
#pragma once
#include "consensus.h"
#include "timer.h"
#include "unit_store_fake.h"
#include <list>

// What happens to the next proposals of a host.
enum class delivery_mode
{
  APPLIED,
  ANSWER_LOST, // applied; its proposer sees a timeout
  ENTRY_LOST,  // never applied; its proposer sees a timeout
  LATE,        // its proposer sees a timeout; applied by deliver_late()
  REFUSED      // propose() fails
};

struct test_log
{
  struct consensus consensus = {}; // first member
  struct machine *machine = nullptr;
  struct timer_service *timers = nullptr;
  enum delivery_mode delivery_mode = delivery_mode::APPLIED;
  bool leads = true;
  bool quorum = true; // reads are confirmed
  int proposals = 0;
  std::list<std::string> late = {};

  struct pending
  {
    struct timer timer;
    struct test_log *log;
    struct proposal *proposal;
    enum status status;
    std::string result;
  };
  std::list<struct pending> waiting = {};

  test_log (struct machine *with, struct timer_service *on) : machine (with), timers (on)
  {
    static const struct consensus_ops ops = { propose, read,    withdraw, is_leader_op,
                                              leader,  nullptr, nullptr };
    consensus.ops = &ops;
  }

  ~test_log ()
  {
    for (auto &each : waiting)
      timer_disarm (timers, &each.timer);
  }

  static void
  fire (struct timer *timer, int64_t now)
  {
    struct pending *each = reinterpret_cast<struct pending *> (timer);
    struct test_log *log = each->log;
    struct pending own = *each;

    log->waiting.remove_if ([each] (const struct pending &other) { return &other == each; });
    own.proposal->ops->done (own.proposal, own.status, own.result.data (), own.result.size (), now);
  }

  void
  answer_at (struct proposal *proposal, enum status status, const std::string &result, int64_t at)
  {
    static const struct timer_ops ops = { fire };

    waiting.push_back ({ {}, this, proposal, status, result });
    waiting.back ().timer.ops = &ops;
    proposal->owner = &waiting.back ();
    timer_arm (timers, &waiting.back ().timer, at);
  }

  std::string
  apply (const std::string &entry)
  {
    struct bytes out;
    std::string result;

    bytes_init (&out, nullptr);
    machine->ops->apply (machine, 1, entry.data (), entry.size (), &out);
    if (out.length > 0)
      result.assign (out.data, out.length);
    bytes_clear (&out);
    return result;
  }

  void
  deliver_late ()
  {
    for (const auto &entry : late)
      apply (entry);
    late.clear ();
  }

  static enum status
  propose (struct consensus *consensus,
           const void *entry,
           size_t length,
           struct proposal *proposal,
           int64_t deadline,
           int64_t now)
  {
    struct test_log *log = reinterpret_cast<struct test_log *> (consensus);
    std::string text (static_cast<const char *> (entry), length);
    std::string result;

    log->proposals++;
    if (log->delivery_mode == delivery_mode::REFUSED)
      return status_fail (STATUS_UNAVAILABLE, "no leader");
    if (log->delivery_mode == delivery_mode::LATE)
      log->late.push_back (text);
    if (log->delivery_mode == delivery_mode::APPLIED
        || log->delivery_mode == delivery_mode::ANSWER_LOST)
      result = log->apply (text);
    if (log->delivery_mode == delivery_mode::APPLIED)
      log->answer_at (proposal, STATUS_OK, result, now);
    else
      log->answer_at (proposal, STATUS_TIMEOUT, "", deadline);
    return STATUS_OK;
  }

  static enum status
  read (struct consensus *consensus, struct proposal *proposal, int64_t deadline, int64_t now)
  {
    struct test_log *log = reinterpret_cast<struct test_log *> (consensus);

    log->answer_at (proposal, log->quorum ? STATUS_OK : STATUS_TIMEOUT, "",
                    log->quorum ? now : deadline);
    return STATUS_OK;
  }

  static void
  withdraw (struct consensus *consensus, struct proposal *proposal)
  {
    struct test_log *log = reinterpret_cast<struct test_log *> (consensus);
    struct pending *each = static_cast<struct pending *> (proposal->owner);

    timer_disarm (log->timers, &each->timer);
    log->waiting.remove_if ([each] (const struct pending &other) { return &other == each; });
  }

  static bool
  is_leader_op (const struct consensus *consensus)
  {
    return reinterpret_cast<const struct test_log *> (consensus)->leads;
  }

  static const char *
  leader (const struct consensus *)
  {
    return "a";
  }
};

// Virtual clock in microseconds.
struct test_clock
{
  struct timer_service *timers = timer_service_new (nullptr);
  int64_t now = USEC_PER_SEC;

  ~test_clock ()
  {
    talloc_free (timers);
  }

  void
  run (int64_t span)
  {
    int64_t until = now + span;

    while (timer_service_next_due (timers) <= until)
      {
        int64_t due = timer_service_next_due (timers);

        now = due > now ? due : now;
        timer_service_run (timers, now);
      }
    now = until;
  }
};
