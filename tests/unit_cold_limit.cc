// Cold targets: the bound on their requests, with fleets of hosts that decide by themselves.
#include "cold_fleet.h"
#include <cmath>
#include <gtest/gtest.h>

namespace
{

using cold::BOUND;
using cold::fleet;

// A usual load is 6 requests a second for each of 140 targets.
constexpr double LOAD = 840;

// Near half of the bound at each target, and one at which warm targets have queues that make cold
// ones attractive: with these the tests fail if a limit is left out.
constexpr double RAISED_LOAD = 1050;
constexpr double HIGH_LOAD = 3000;

// Guards against a bound so small that one request of each of two sets of hosts exceeds it.
TEST (ColdLimit, NoBoundBelowTwoHasParts)
{
  const struct cold_bounds none = { .overrun = 1.5, .slack = 0 };

  for (double per_sec : { 0.5, 1.0, 1.3, 1.4, 3.0, 8.1, 100.0 })
    {
      const struct cold_spec spec = { .per_sec = per_sec, .start_time = 0 };
      const struct cold_rule rule = cold_rule_of (&spec, &none);

      for (uint32_t n : { 1, 2, 3, 5, 70, 191 })
        {
          double sum = 0;

          for (uint32_t rank = 0; rank < n; rank++)
            {
              struct rate_limit part = cold_rule_part (&rule, n, rank);

              sum += std::floor (part.burst + part.per_sec + 1e-9);
            }
          EXPECT_LE (2 * sum, rule.bound) << per_sec << " " << n;
        }
    }
}

// A process that stops and starts again, or a list that changes, must not fill a bucket at once.
TEST (ColdLimit, APartThatGrowsCountsFromThenOn)
{
  const struct rate_limit none = { .per_sec = 0, .burst = 0 };
  const struct rate_limit part = { .per_sec = 4, .burst = 4 };
  struct cold_limit limit = {};

  cold_limit_update (&limit, true, &none, USEC_PER_SEC);
  EXPECT_EQ (cold_limit_wait (&limit, USEC_PER_SEC), USEC_NEVER);
  cold_limit_update (&limit, true, &part, 9 * USEC_PER_SEC);
  EXPECT_NEAR (cold_limit_wait (&limit, 9 * USEC_PER_SEC), 0.25 * USEC_PER_SEC, 2);
  EXPECT_EQ (cold_limit_wait (&limit, 10 * USEC_PER_SEC), 0);
}

// Starts must leave the window only after a whole second.
TEST (ColdLimit, CountsTheStartsOfASecond)
{
  struct cold_limit limit = {};
  int64_t now = 77 * USEC_PER_SEC + 49 * USEC_PER_MSEC;

  for (int i = 0; i < 5; i++)
    cold_limit_started_elsewhere (&limit, now);
  EXPECT_EQ (cold_limit_starts (&limit, now + USEC_PER_SEC), 5u);
  EXPECT_EQ (cold_limit_starts (&limit, now + USEC_PER_SEC + COLD_SLOT), 0u);
  cold_limit_started (&limit, now + 90 * USEC_PER_SEC);
  EXPECT_EQ (cold_limit_starts (&limit, now + 90 * USEC_PER_SEC), 1u);
}

// A domain of 48 targets restarts and comes back cold under full load: each host knows it at
// another time, and the 92 others serve what the cold ones do not take.
TEST (ColdFleet, ADomainThatComesBackColdStaysWithinItsBound)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      fleet all (seed, 70, 140);

      all.play (2 * USEC_PER_SEC, HIGH_LOAD);
      for (size_t i = 0; i < 48; i++)
        all.turn_cold (all.targets[i], 3 * USEC_PER_SEC, 1, 600 * USEC_PER_MSEC);
      all.play (4 * USEC_PER_SEC, HIGH_LOAD);
      EXPECT_LE (static_cast<double> (all.most ()), BOUND) << seed;
      EXPECT_EQ (all.n_refused, 0u) << seed;
      printf ("seed %d: most in a second %zu, %zu of %zu at cold targets\n", (int) seed,
              all.most (), all.n_cold, all.n_served);
    }
}

// Lists that differ: two halves that know only themselves, and a host that knows only itself.
TEST (ColdFleet, HostsWhoseListsDifferStayWithinTheBound)
{
  fleet halves (1, 70, 30);

  for (uint32_t i = 0; i < 70; i++)
    halves.know (i, i < 35 ? 0 : 35, i < 35 ? 35 : 70);
  for (auto &at : halves.targets)
    halves.turn_cold (at, 3 * USEC_PER_SEC, 1, 300 * USEC_PER_MSEC);
  halves.play (4 * USEC_PER_SEC, 1000);
  EXPECT_LE (static_cast<double> (halves.most ()), BOUND);
  EXPECT_GT (halves.most (), 4u);

  fleet newcomer (2, 70, 30);

  newcomer.know (17, 17, 18);
  for (auto &at : newcomer.targets)
    newcomer.turn_cold (at, 3 * USEC_PER_SEC, 1, 300 * USEC_PER_MSEC);
  newcomer.play (4 * USEC_PER_SEC, 1000);
  EXPECT_LE (static_cast<double> (newcomer.most ()), BOUND);
}

// Several hosts start at once and know first lists of few hosts: none has a part yet.
TEST (ColdFleet, HostsThatJustStartedSendNothingToColdTargets)
{
  fleet all (3, 20, 10);

  for (auto &at : all.targets)
    all.turn_cold (at, 9 * USEC_PER_SEC, 0, 0);
  for (uint32_t i = 0; i < 20; i++)
    {
      all.know (i, i, i + 1);
      all.hosts[i]->share.known_since = 0;
    }
  all.play (RATE_SHARE_SETTLE - 10 * USEC_PER_MSEC, 1000);
  EXPECT_EQ (all.n_served, 0u);
}

// Many hosts: the most have no part, and the sum of those that have one stays the same.
TEST (ColdFleet, ALargeFleetStaysWithinTheBound)
{
  fleet all (4, 191, 30);

  for (auto &at : all.targets)
    all.turn_cold (at, 3 * USEC_PER_SEC, 1, 300 * USEC_PER_MSEC);
  all.play (4 * USEC_PER_SEC, 1000);
  EXPECT_LE (static_cast<double> (all.most ()), BOUND);
  EXPECT_GT (all.n_cold, 100u);
}

// Targets turn cold, and no host hears of it for 1.5 s; then at times of their own.
TEST (ColdFleet, TargetsThatTurnColdUnannouncedStayWithinTheBound)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      fleet all (seed, 70, 140);

      all.play (2 * USEC_PER_SEC, RAISED_LOAD);
      for (size_t i = 0; i < 20; i++)
        all.turn_cold (all.targets[i], 4 * USEC_PER_SEC, 1500 * USEC_PER_MSEC,
                       2000 * USEC_PER_MSEC);
      all.play (4 * USEC_PER_SEC, RAISED_LOAD);
      EXPECT_LE (static_cast<double> (all.most ()), BOUND) << seed;
      EXPECT_EQ (all.n_refused, 0u) << seed;
      printf ("seed %d: most in a second %zu\n", (int) seed, all.most ());
    }
}

// An evacuation is reverted: the targets announce nothing, and are cold all the same.
TEST (ColdFleet, ARestoredDomainStaysWithinItsBound)
{
  fleet all (5, 70, 140);
  auto set = [&] (cold::host &at, bool evacuated) {
    for (size_t i = 0; i < 48; i++)
      {
        struct registry_target *record = registry_find (at.registry, all.targets[i].id.c_str ());

        record->evacuated = evacuated;
        record->restored_at = evacuated ? 0 : all.now;
        at.update (all.targets[i].id);
      }
  };

  for (auto &at : all.hosts)
    set (*at, true);
  all.play (USEC_PER_SEC, LOAD);
  for (size_t i = 0; i < 48; i++)
    all.be_cold (all.targets[i], cold::SPEC.start_time);
  all.spread (1, 500 * USEC_PER_MSEC, [&] (cold::host &at) { set (at, false); });
  all.play (3 * USEC_PER_SEC, LOAD);
  EXPECT_LE (static_cast<double> (all.most ()), BOUND);
  EXPECT_EQ (all.n_refused, 0u);
}

// All targets are cold at once: what they do not take is refused, with a time at which the host has
// a part again, and all is served once they are warm.
TEST (ColdFleet, AllTargetsColdAtOnceAreUsedWithinTheBound)
{
  fleet all (6, 10, 20);
  struct balance *balance = &all.hosts[0]->balance;

  for (auto &at : all.targets)
    all.turn_cold (at, 3 * USEC_PER_SEC, 0, 0);
  all.play (3 * USEC_PER_SEC - 500 * USEC_PER_MSEC, 300);
  EXPECT_LE (static_cast<double> (all.most ()), BOUND);
  EXPECT_GT (all.n_cold, 100u);
  EXPECT_GT (all.n_refused, 100u);
  for (struct balance_target *at = balance->targets; at != nullptr; at = at->next)
    for (int i = 0; i < 10 && balance_may_send (balance, at, BALANCE_REQUEST, all.now); i++)
      balance_started (balance, at, BALANCE_REQUEST, all.now);
  struct balance_pool_limits limits =
      balance_read_limits (balance, cold::POOL, BALANCE_REQUEST, all.now);
  struct balance_query query = {
    .pool = cold::POOL, .binding = nullptr, .prompt = nullptr, .tried = nullptr, .n_tried = 0
  };

  EXPECT_EQ (limits.n_limited, 20u);
  ASSERT_LT (limits.wait, USEC_PER_SEC);
  EXPECT_EQ (balance_choose (balance, &query, all.now + limits.wait - USEC_PER_MSEC), nullptr);
  EXPECT_NE (balance_choose (balance, &query, all.now + limits.wait + 1), nullptr);
  all.play (USEC_PER_SEC, 0);
  all.n_refused = 0;
  all.play (USEC_PER_SEC, 300);
  EXPECT_EQ (all.n_refused, 0u);
}

// A cold target is left out while warm ones are about as good, but not behind far longer queues.
TEST (ColdFleet, WarmTargetsComeFirst)
{
  fleet all (7, 1, 4);
  struct balance *balance = &all.hosts[0]->balance;
  struct balance_query query = {
    .pool = cold::POOL, .binding = nullptr, .prompt = nullptr, .tried = nullptr, .n_tried = 0
  };

  all.turn_cold (all.targets[0], 5 * USEC_PER_SEC, 0, 0);
  ASSERT_FALSE (balance_may_send (balance, balance_find (balance, "t0"), BALANCE_REQUEST, all.now));
  all.play (USEC_PER_SEC, 0);
  for (int i = 0; i < 6; i++)
    {
      struct balance_target *chosen = balance_choose (balance, &query, all.now);

      ASSERT_STRNE (chosen->id, "t0");
      balance_started (balance, chosen, BALANCE_REQUEST, all.now);
    }
  for (struct balance_target *at = balance->targets; at != nullptr; at = at->next)
    at->in_flight = strcmp (at->id, "t0") == 0 ? 0 : 8;
  EXPECT_STREQ (balance_choose (balance, &query, all.now)->id, "t0");
}

}
