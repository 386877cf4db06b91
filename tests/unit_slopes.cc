// Linear fits of the resource use of real hosts.
#include "slopes.h"
#include <gtest/gtest.h>

namespace
{

TEST (Slopes, FitsALineAndReportsTheResidual)
{
  struct slopes_points points = {};
  struct slopes_line line;

  slopes_add_point (&points, 1, 6);
  EXPECT_FALSE (slopes_fit (&points, &line));
  slopes_add_point (&points, 1, 4);
  EXPECT_FALSE (slopes_fit (&points, &line));
  slopes_add_point (&points, 3, 10);
  slopes_add_point (&points, 3, 8);
  ASSERT_TRUE (slopes_fit (&points, &line));
  EXPECT_DOUBLE_EQ (line.slope, 2);
  EXPECT_DOUBLE_EQ (line.intercept, 3);
  EXPECT_DOUBLE_EQ (line.residual, 1);
}

TEST (Slopes, RatesCoverTheIntervalAndMemoryIsOfTheLaterSample)
{
  struct slopes_sample before = {};
  struct slopes_sample after = {};
  double rates[SLOPES_MEASURE_COUNT];

  before.at = USEC_PER_SEC;
  after.at = 11 * USEC_PER_SEC;
  before.totals[SLOPES_RESIDENT] = 100;
  after.totals[SLOPES_RESIDENT] = 120;
  after.totals[SLOPES_PROCESSOR] = 0.5;
  before.totals[SLOPES_BYTES_IN] = 1000;
  after.totals[SLOPES_BYTES_IN] = 3000;
  slopes_rates (&before, &after, rates);
  EXPECT_DOUBLE_EQ (rates[SLOPES_RESIDENT], 120);
  EXPECT_DOUBLE_EQ (rates[SLOPES_PROCESSOR], 5);
  EXPECT_DOUBLE_EQ (rates[SLOPES_BYTES_IN], 200);
}

} // namespace
