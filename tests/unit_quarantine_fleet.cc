// Simulated fleets in virtual time with poison requests.
#include "quarantine.h"
#include "quarantine_fleet.h"
#include <gtest/gtest.h>

namespace
{

// Limit on the sends of one request by hosts in touch, later than FLEET_CONTACT after it ended a
// third target.
const uint32_t LATE_MAX = 3;

// Limit on the ends by one request of which no two runs are in flight at once.
const uint32_t ENDS_MAX = 3;

struct quarantine_fleet_config
fleet (uint32_t hosts, uint64_t seed)
{
  struct quarantine_fleet_config config = {};

  config.hosts = hosts;
  config.controllers = hosts < 100 ? 3 : 9;
  config.targets = 2 * hosts < 12 ? 12 : 2 * hosts;
  config.seed = seed;
  config.span = 25 * USEC_PER_SEC;
  config.holds_back = true;
  config.sound_rate = 5.0 * hosts;
  config.popular = 0.1;
  return config;
}

struct quarantine_fleet_figures
play (const struct quarantine_fleet_config &config)
{
  struct quarantine_fleet_figures figures;

  EXPECT_TRUE (quarantine_fleet_play (&config, &figures));
  return figures;
}

// Control run: without verdicts the failure that the tests below guard against occurs.
TEST (QuarantineFleet, TargetsEndWithoutQuarantine)
{
  struct quarantine_fleet_config config = fleet (3, 1);

  config.holds_back = false;
  config.bad = 1;
  config.bad_rate = 8;
  config.bad_run = 100 * USEC_PER_MSEC;
  struct quarantine_fleet_figures figures = play (config);

  EXPECT_GT (figures.ends, 50u);
  EXPECT_GT (figures.late_most, 50u);
}

// One poison request arrives at every host several times a second.
TEST (QuarantineFleet, HoldsARequestAtAllHosts)
{
  for (uint32_t hosts : { 3u, 30u, 200u })
    for (uint64_t seed = 1; seed <= (hosts > 100 ? 2u : 10u); seed++)
      {
        struct quarantine_fleet_config config = fleet (hosts, seed);

        config.bad = 1;
        config.bad_rate = 4;
        config.bad_evenly = true;
        // The simulation stops before the first trial.
        config.span = QUARANTINE_FIRST_TRIAL - USEC_PER_SEC;
        config.bad_run = 100 * USEC_PER_MSEC;
        struct quarantine_fleet_figures figures = play (config);

        EXPECT_LE (figures.late_most, LATE_MAX) << hosts << " hosts, seed " << seed;
        EXPECT_LE (figures.ends, ENDS_MAX) << hosts << " hosts, seed " << seed;
        EXPECT_EQ (figures.sound_held, 0u) << hosts << " hosts, seed " << seed;
      }
}

// Random arrivals: two runs may be in flight when the first target ends.
TEST (QuarantineFleet, HoldsARequestWithConcurrentRuns)
{
  for (uint64_t seed = 1; seed <= 30; seed++)
    {
      struct quarantine_fleet_config config = fleet (6, seed);

      config.bad = 1;
      config.bad_rate = 20;
      config.bad_run = 900 * USEC_PER_MSEC;
      EXPECT_LE (play (config).late_most, LATE_MAX) << "seed " << seed;
    }
}

// Long runs, so that several are in flight at once, while hosts and controllers restart with empty
// tables or are partitioned.
TEST (QuarantineFleet, HoldsRequestsDuringRestartsAndPartitions)
{
  for (uint64_t seed = 1; seed <= 30; seed++)
    {
      struct quarantine_fleet_config config = fleet (6, seed);

      config.bad = 3;
      config.bad_rate = 3;
      config.bad_run = 900 * USEC_PER_MSEC;
      config.restarts = 5;
      config.cuts = 5;
      struct quarantine_fleet_figures figures = play (config);

      EXPECT_LE (figures.late_most, LATE_MAX) << "seed " << seed;
    }
}

// All entry hosts and controllers restart at once and lose their tables: the request ends three
// more targets, but not while hosts count as in touch.
TEST (QuarantineFleet, HoldsARequestAgainAfterAllHostsRestart)
{
  for (uint64_t seed = 1; seed <= 30; seed++)
    {
      struct quarantine_fleet_config config = fleet (6, seed);

      config.bad = 1;
      config.bad_rate = 3;
      config.bad_run = 300 * USEC_PER_MSEC;
      config.blackouts = 1;
      EXPECT_LE (play (config).late_most, LATE_MAX) << "seed " << seed;
    }
}

// A quarter of the targets loses power at one moment, repeatedly, while a popular request runs on
// all of them: no request may be held.
TEST (QuarantineFleet, HoldsNoRequestForPowerCuts)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct quarantine_fleet_config config = fleet (6, seed);

      config.popular = 0.5;
      config.power_cuts = 6;
      EXPECT_EQ (play (config).sound_held, 0u) << "seed " << seed;
    }
}

// Three poison requests end one target after another while a popular request runs on most of them.
// If it is held as well, it must be released within the run.
TEST (QuarantineFleet, ReleasesARequestThatRanBesidePoisonRequests)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    {
      struct quarantine_fleet_config config = fleet (9, seed);

      config.span = 60 * USEC_PER_SEC;
      config.bad = 3;
      config.bad_rate = 8;
      config.bad_run = 300 * USEC_PER_MSEC;
      config.restarts = 3;
      config.cuts = 3;
      struct quarantine_fleet_figures figures = play (config);

      EXPECT_EQ (figures.sound_held_last, 0u) << "seed " << seed;
      EXPECT_LE (figures.late_most, LATE_MAX) << "seed " << seed;
    }
}

// Most connections of a popular request are reset while no target ends.
TEST (QuarantineFleet, HoldsNoRequestForConnectionResets)
{
  struct quarantine_fleet_config config = fleet (6, 1);

  config.popular = 0.5;
  config.resets = 0.6;
  struct quarantine_fleet_figures figures = play (config);

  EXPECT_EQ (figures.sound_held, 0u);
  EXPECT_EQ (figures.sound_asked_to_wait, 0u);
}

}
