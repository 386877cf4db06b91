// Pipelines on targets that answer slowly, in time, and on targets that do not answer, under a
// steady load on virtual time.
#include "flow_harness.h"
#include <algorithm>
#include <map>

namespace
{

constexpr int64_t MS = USEC_PER_MSEC;
constexpr int64_t NEVER = -1; // a delay: the target accepts the call and never answers
constexpr double RETRY_SHARE = 0.2;

class FlowSlow : public flow_harness::flow_fixture
{
protected:
  std::map<size_t, int64_t> due; // of open calls, by index
  size_t seen = 0;
  size_t to_silent = 0;

  void
  SetUp () override
  {
    flow_fixture::SetUp ();
    settings.requests_in_flight = 512;
    make_flow (&claims.base);
    add_pool ("wide", STAGE_CALL);
    for (int i = 4; i <= 16; i++)
      add_target ("wide", "wide" + std::to_string (i), STAGE_CALL, pool_of ("wide"));
    auto *wide = add_pipeline ("wide", true, { stage ("wide", STAGE_CALL) });

    wide->spec.deadline = 2500 * MS;
    wide->spec.retry_share = RETRY_SHARE;
    wide->spec.hedge_share = 0;
    board_publish (board, BOARD_CONFIG_CHANGED, {}, now);
  }

  // A host that has learned nothing.
  void
  begin_anew ()
  {
    TearDown ();
    memory = talloc_new (nullptr);
    dump = {};
    exchanges.clear ();
    client.calls.clear ();
    due.clear ();
    seen = 0;
    to_silent = 0;
    SetUp ();
  }

  struct handle
  pool_of (const char *name)
  {
    struct handle handle = {};

    board_find_pool (board, name, &handle);
    return handle;
  }

  // Answers the calls that are due; `delay` by address and time since the start.
  void
  step (const std::function<int64_t (const std::string &, int64_t)> &delay, int64_t started)
  {
    advance (MS);
    for (; seen < client.calls.size (); seen++)
      {
        int64_t wait = delay (call (seen).address, now - started);

        to_silent += wait == NEVER ? 1 : 0;
        if (wait != NEVER)
          due[seen] = now + wait;
      }
    for (auto at = due.begin (); at != due.end ();)
      {
        bool is_due = now >= at->second;

        if (is_due && call (at->first).open)
          answer_with_success (call (at->first));
        at = is_due ? due.erase (at) : std::next (at);
      }
    clear_cancels ();
  }

  // 30 requests a second for `span`; the share that was served.
  double
  play (const char *load,
        const std::function<int64_t (const std::string &, int64_t)> &delay,
        int64_t span)
  {
    int64_t started = now;
    size_t n = 0;

    while (now - started < span + 3000 * MS)
      {
        int64_t begun = now - started;

        if (begun < span && begun * 30 / USEC_PER_SEC >= static_cast<int64_t> (n))
          send ("/v1/services/wide/requests", "{}", { { "x-request-id", std::to_string (n++) } });
        step (delay, started);
      }
    auto served = std::count_if (exchanges.begin (), exchanges.end (),
                                 [] (auto &x) { return x->outcome () == "whole"; });
    double share = static_cast<double> (served) / static_cast<double> (n);

    printf ("%s: requests %zu, served %.3f, calls %zu, silent target got %zu\n", load, n, share,
            client.calls.size (), to_silent);
    EXPECT_LE (static_cast<double> (client.calls.size () - n),
               RETRY_SHARE * static_cast<double> (n) + 2);
    expect_nothing_in_flight ();
    return share;
  }
};

// Guards against attempts that are ended although all targets take as long as the first ones.
TEST_F (FlowSlow, SlowAnswersAreServed)
{
  for (int64_t slow : { 300, 400, 1000 })
    {
      EXPECT_GE (play ((std::to_string (slow) + " ms").c_str (),
                       [=] (const std::string &, int64_t) { return slow * MS; }, 8 * USEC_PER_SEC),
                 0.99);
      begin_anew ();
    }
}

// Guards against attempts that are ended as the pool turns slow, before a slow answer is known.
TEST_F (FlowSlow, AnswersThatTurnSlowForSecondsAreServed)
{
  for (int64_t slow : { 400, 1000 })
    {
      EXPECT_GE (play (("50 to " + std::to_string (slow) + " ms").c_str (),
                       [=] (const std::string &, int64_t at) {
                         return (at >= 5 * USEC_PER_SEC && at < 12 * USEC_PER_SEC ? slow : 50) * MS;
                       },
                       16 * USEC_PER_SEC),
                 0.99);
      begin_anew ();
    }
}

// Guards against requests lost to a silent target, also while the others are slow.
TEST_F (FlowSlow, ASilentTargetIsLeft)
{
  for (int64_t others : { 50, 300, 1000 })
    {
      EXPECT_GE (play (("silent, others " + std::to_string (others) + " ms").c_str (),
                       [=] (const std::string &address, int64_t) {
                         return address == "wide1" ? NEVER : others * MS;
                       },
                       12 * USEC_PER_SEC),
                 0.98);
      begin_anew ();
    }
}

} // namespace
