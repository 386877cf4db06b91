// Estimated age of arriving requests.
#include "request_age.h"
#include <gtest/gtest.h>
#include <talloc.h>

namespace
{

class PatienceTest : public testing::Test
{
protected:
  struct request_age *request_age = request_age_new (nullptr);

  ~PatienceTest () override
  {
    talloc_free (request_age);
  }

  int64_t
  age (const char *route, int64_t milliseconds_left)
  {
    return request_age_estimate (request_age, route, milliseconds_left * USEC_PER_MSEC)
           / USEC_PER_MSEC;
  }

  // `n` new requests, whose network delay varies by a few milliseconds.
  void
  record_new_requests (const char *route, int64_t milliseconds, int n)
  {
    for (int i = 0; i < n; i++)
      age (route, milliseconds - i % 5);
  }
};

TEST_F (PatienceTest, AgeIsZeroBeforeTheFirstEstimate)
{
  EXPECT_EQ (age ("r", 4000), 0);
  EXPECT_EQ (age ("r", 1000), 0);
}

TEST_F (PatienceTest, EstimatesTheAgeOfARetry)
{
  record_new_requests ("r", 8000, 32);
  EXPECT_EQ (age ("r", 5000), 3000);
  EXPECT_EQ (age ("r", 7990), 0);
  EXPECT_EQ (age ("other", 5000), 0);
}

// In a burst every second request is a retry of a rejected one.
TEST_F (PatienceTest, EstimatesTheAgeWhenManyRequestsAreRetries)
{
  for (int i = 0; i < 64; i++)
    age ("r", i % 2 == 0 ? 8000 : 3000 + 10 * i);
  EXPECT_EQ (age ("r", 5000), 3000);
}

// Each client of the route uses its own deadline.  Requests with short deadlines must not be taken
// for retries: they would always be served last.
TEST_F (PatienceTest, AgeIsZeroWhenDeadlinesDiffer)
{
  for (int i = 0; i < 64; i++)
    age ("r", 1000 + 701 * (i % 11));
  EXPECT_EQ (age ("r", 2000), 0);
}

// Deadlines of clients differ by a sixth.  A request with half of that is a retry with half of its
// objective used; with an age of 0 it would go before requests that can still be in time.
TEST_F (PatienceTest, EstimatesTheAgeWhenDeadlinesAreSimilar)
{
  for (int i = 0; i < 64; i++)
    age ("r", i % 4 == 3 ? 3000 : 5100 + 137 * (i % 7));
  EXPECT_NEAR (age ("r", 3000), 2500, 200);
  EXPECT_EQ (age ("r", 5100), 0);
  EXPECT_EQ (age ("r", 5900), 0);
}

// The clients' deadline is shortened.  Their new requests must soon be recognised as new.
TEST_F (PatienceTest, FollowsAChangedDeadline)
{
  record_new_requests ("r", 8000, 32);
  record_new_requests ("r", 3000, 32);
  EXPECT_EQ (age ("r", 3000), 0);
  EXPECT_EQ (age ("r", 2000), 1000);
}

// Hundreds of routes are used once each, beside one in constant use, whose record must be kept.
TEST_F (PatienceTest, EvictsTheLeastRecentlyUsedRoute)
{
  record_new_requests ("used", 8000, 32);
  for (int i = 0; i < 1000; i++)
    {
      EXPECT_EQ (age (("r" + std::to_string (i)).c_str (), 1000), 0);
      age ("used", 8000);
    }
  EXPECT_EQ (age ("used", 5000), 3000);
}

}
