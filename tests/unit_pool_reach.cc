// Whether a host reaches the targets of a pool.
#include "pool_reach.h"
#include <gtest/gtest.h>

namespace
{

const int64_t MSEC = USEC_PER_MSEC;

class PoolReachTest : public ::testing::Test
{
protected:
  struct pool_reach reach = {};
  int64_t start = 10 * USEC_PER_SEC;

  void
  fail (uint32_t first, uint32_t last, int64_t at)
  {
    for (uint64_t target = first; target <= last; target++)
      pool_reach_failed (&reach, target, true, start + at);
  }

  // Updates with `n` targets, the newest lease of which began at `renewed`.
  bool
  is_lost (uint32_t n, int64_t renewed, int64_t at)
  {
    struct pool_reach_targets targets = { .n = n, .renewed_at = start + renewed };

    pool_reach_update (&reach, &targets, start + at);
    return reach.lost;
  }
};

TEST_F (PoolReachTest, IsLostWhenSeveralTargetsThatRenewAcceptNoConnection)
{
  fail (1, 3, 0);
  EXPECT_FALSE (is_lost (5, 300 * MSEC, 499 * MSEC));
  EXPECT_TRUE (is_lost (5, 300 * MSEC, 500 * MSEC));
}

// Guards against callers sent elsewhere as one target of many is down.
TEST_F (PoolReachTest, IsNotLostWhileFewerTargetsFail)
{
  fail (1, 2, 0);
  fail (1, 2, 300 * MSEC);
  EXPECT_FALSE (is_lost (5, 300 * MSEC, 5000 * MSEC));
}

// Guards against a pool that is lost by targets that are no longer in use, as evacuated ones.
TEST_F (PoolReachTest, ForgetsTargetsThatAreNotInUse)
{
  fail (1, 3, 0);
  pool_reach_forget (&reach, 1);
  pool_reach_forget (&reach, 3);
  EXPECT_FALSE (pool_reach_is_unreachable (&reach, 1));
  EXPECT_TRUE (pool_reach_is_unreachable (&reach, 2));
  EXPECT_FALSE (is_lost (5, 300 * MSEC, 5000 * MSEC));
}

// Guards against callers sent elsewhere as all targets of a pool are down.
TEST_F (PoolReachTest, IsNotLostWhileNoTargetRenews)
{
  fail (1, 3, 0);
  EXPECT_FALSE (is_lost (3, 0, 5000 * MSEC));
}

// Guards against a target that is silent for a second and goes on.
TEST_F (PoolReachTest, IsNotLostAsItsOnlyTargetIsSilentForASecond)
{
  fail (1, 1, 0);
  EXPECT_FALSE (is_lost (1, 400 * MSEC, 1200 * MSEC));
  EXPECT_TRUE (is_lost (1, 400 * MSEC, 1500 * MSEC));
}

TEST_F (PoolReachTest, IsNotLostAfterAConnection)
{
  fail (1, 2, 0);
  pool_reach_connected (&reach, start + 100 * MSEC);
  fail (3, 3, 200 * MSEC);
  EXPECT_FALSE (is_lost (3, 400 * MSEC, 2000 * MSEC));
}

TEST_F (PoolReachTest, IsNotLostByRequestsWithoutAcknowledgementAlone)
{
  for (uint64_t target = 1; target <= 3; target++)
    pool_reach_failed (&reach, target, false, start);
  EXPECT_FALSE (is_lost (3, 400 * MSEC, 2000 * MSEC));
}

// Guards against requests refused although open connections live on while no new one can be made.
TEST_F (PoolReachTest, IsLostButNotCutOffWhileOpenConnectionsAnswer)
{
  fail (1, 3, 0);
  pool_reach_answered (&reach, start + 400 * MSEC);
  ASSERT_TRUE (is_lost (3, 400 * MSEC, 500 * MSEC));
  EXPECT_FALSE (pool_reach_is_cut_off (&reach, start + 1400 * MSEC));
  EXPECT_TRUE (pool_reach_is_cut_off (&reach, start + 1401 * MSEC));
}

// Guards against requests sent over open connections that went silent.
TEST_F (PoolReachTest, IsCutOffWhenTheLastAnswerCameBeforeTheFailures)
{
  pool_reach_answered (&reach, start - 1);
  fail (1, 3, 0);
  ASSERT_TRUE (is_lost (3, 400 * MSEC, 500 * MSEC));
  EXPECT_TRUE (pool_reach_is_cut_off (&reach, start + 500 * MSEC));
}

// Guards against a list of hosts that changes with each packet that gets through.
TEST_F (PoolReachTest, IsRegainedOnlyByConnectionsOverSomeTime)
{
  fail (1, 3, 0);
  ASSERT_TRUE (is_lost (3, 400 * MSEC, 1000 * MSEC));
  pool_reach_connected (&reach, start + 1100 * MSEC);
  pool_reach_connected (&reach, start + 2200 * MSEC);
  EXPECT_TRUE (is_lost (3, 400 * MSEC, 2699 * MSEC));
  pool_reach_connected (&reach, start + 2700 * MSEC);
  EXPECT_FALSE (is_lost (3, 400 * MSEC, 2700 * MSEC));
}

// Guards against a pool that stays lost as one of its targets is down.
TEST_F (PoolReachTest, IsRegainedWhileOneTargetStaysUnreachable)
{
  fail (1, 3, 0);
  ASSERT_TRUE (is_lost (3, 400 * MSEC, 1000 * MSEC));
  pool_reach_connected (&reach, start + 1100 * MSEC);
  fail (2, 2, 1300 * MSEC);
  pool_reach_connected (&reach, start + 1600 * MSEC);
  EXPECT_FALSE (is_lost (3, 400 * MSEC, 1600 * MSEC));
}

TEST_F (PoolReachTest, IsNotLostWithoutTargets)
{
  fail (1, 3, 0);
  ASSERT_TRUE (is_lost (3, 400 * MSEC, 1000 * MSEC));
  EXPECT_FALSE (is_lost (0, 0, 1100 * MSEC));
}

}
