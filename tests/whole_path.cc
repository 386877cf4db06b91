// The whole path on real processes, and what a resend meets.
#include "whole_launch.h"

namespace
{

class WholePath : public WholeLaunch
{
};

TEST_F (WholePath, EveryAnswerIsWholeAndItsOwn)
{
  start (3);
  const struct replay_result *result = send ("path", 200, 10 * USEC_PER_MSEC);

  expect_all_attained (result);
  EXPECT_EQ (result->cuts, 0u) << result->first_cut;
}

// A salesman's order is answered, the answer is lost on the way, and his program sends the order
// again, to another host.  The order must not be invoiced twice: the second host has to find the
// first one's claim and give its answer.
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

// A program uses one id for two orders by mistake.  Running the second under the first's claim
// would hide it; running it anew would break the id's promise.  It is refused as not run.
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
