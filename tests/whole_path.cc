// The whole path on real processes, and retries of unrepeatable requests.
#include "whole_launch.h"

namespace
{

class WholePath : public WholeLaunch
{
};

TEST_F (WholePath, EveryAnswerIsWholeAndMatchesItsRequest)
{
  start (3);
  const struct replay_result *result = send ("path", 200, 10 * USEC_PER_MSEC);

  expect_all_attained (result);
  EXPECT_EQ (result->cuts, 0u) << result->first_cut;
}

// The answer to an order is lost and the client retries at another host.  The order must not run
// twice: the second host must find the first one's claim and return its answer.
TEST_F (WholePath, AnUnrepeatableRequestSentAgainToAnotherHostRunsOnce)
{
  start (3);
  struct call_answer first = post (0, "order", "order-1", "{\"unit\": 7}");
  struct call_answer second = post (1, "order", "order-1", "{\"unit\": 7}");
  struct call_answer third = post (2, "order", "order-1", "{\"unit\": 7}");

  ASSERT_EQ (first.code, 200) << first.body.data;
  EXPECT_STREQ (first.outcome, "whole");
  EXPECT_EQ (second.code, 200) << second.body.data;
  EXPECT_STREQ (second.body.data, first.body.data);
  EXPECT_EQ (third.code, 200) << third.body.data;
  EXPECT_STREQ (third.body.data, first.body.data);
  EXPECT_EQ (launch_executions (launch_, "counter", "order-1"), 1u);
}

// A client uses one id for two different orders.  Returning the first one's answer would hide the
// mistake; running the second would break the guarantee that an id runs once.  It is refused as not
// run.
TEST_F (WholePath, TheSameIdWithAnotherBodyIsNotRun)
{
  start (3);
  struct call_answer first = post (0, "order", "order-2", "{\"unit\": 7}");
  struct call_answer other = post (1, "order", "order-2", "{\"unit\": 8}");

  ASSERT_EQ (first.code, 200) << first.body.data;
  EXPECT_EQ (other.code, 409);
  EXPECT_STREQ (other.outcome, "not-run");
  EXPECT_EQ (launch_executions (launch_, "counter", "order-2"), 1u);
}

} // namespace
