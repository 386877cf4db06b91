// Since when a host has known of versions that it lacks.
#include "version_lag.h"
#include <gtest/gtest.h>

namespace
{

TEST (VersionLag, CountsFromTheFirstVersionThatIsLacked)
{
  struct version_lag lag = {};

  EXPECT_EQ (version_lag_since (&lag), USEC_NEVER);
  version_lag_learn (&lag, 5, 100);
  version_lag_learn (&lag, 7, 200);
  version_lag_learn (&lag, 6, 300); // of a controller that is behind
  version_lag_learn (&lag, 7, 400);
  EXPECT_EQ (version_lag_since (&lag), 100);
  EXPECT_EQ (version_lag_newest (&lag), 7u);
  version_lag_hold (&lag, 6);
  EXPECT_EQ (version_lag_since (&lag), 200);
  version_lag_hold (&lag, 7);
  EXPECT_EQ (version_lag_since (&lag), USEC_NEVER);
  EXPECT_EQ (version_lag_newest (&lag), 0u);
}

// Guards against a host that takes itself for less late than it is once it knows of many versions.
TEST (VersionLag, KeepsTheEarliestTimesOfManyVersions)
{
  struct version_lag lag = {};

  for (uint64_t version = 1; version <= 2 * VERSION_LAG_MAX; version++)
    version_lag_learn (&lag, version, static_cast<int64_t> (version));
  EXPECT_EQ (version_lag_newest (&lag), 2u * VERSION_LAG_MAX);
  version_lag_hold (&lag, VERSION_LAG_MAX - 1);
  EXPECT_EQ (version_lag_since (&lag), VERSION_LAG_MAX);
  version_lag_hold (&lag, 2 * VERSION_LAG_MAX - 1);
  EXPECT_EQ (version_lag_since (&lag), VERSION_LAG_MAX);
  version_lag_hold (&lag, 2 * VERSION_LAG_MAX);
  EXPECT_EQ (version_lag_since (&lag), USEC_NEVER);
}

}
