// Pipelines: targets that ask for a backoff, or say that they leave, in their answers.
#include "flow_harness.h"
#include <set>

namespace
{

using flow_harness::fake_call;
using flow_harness::fields;

class FlowBackoff : public flow_harness::flow_fixture
{
protected:
  static fields
  backoff (const char *seconds)
  {
    return { { "x-not-run", "yes" }, { "retry-after", seconds } };
  }

  // Sends orders, serves them, and returns the addresses that they went to.
  std::set<std::string>
  serve_orders (int n)
  {
    std::set<std::string> addresses;

    for (int i = 0; i < n; i++)
      {
        auto *x = send ("/v1/services/orders/requests", "{}");

        addresses.insert (last_call ().address);
        answer_with_success (last_call ());
        EXPECT_EQ (x->outcome (), "whole");
      }
    return addresses;
  }
};

// Guards against requests and retries at a target that asked for a backoff.
TEST_F (FlowBackoff, ATargetInBackoffGetsNothing)
{
  send ("/v1/services/orders/requests", "{}");
  std::string refusing = last_call ().address;

  head (last_call (), 503, backoff ("60"));
  answer_with_success (last_call ());
  EXPECT_EQ (serve_orders (40).count (refusing), 0u);
  advance (61 * USEC_PER_SEC);
  EXPECT_EQ (serve_orders (60).count (refusing), 1u);
}

// Guards against words that are no time, or not of a refusal, and a backoff without an end.
TEST_F (FlowBackoff, OnlyARefusalWithSecondsAsksForABackoff)
{
  for (const char *value : { "-1", "soon", "", "nan" })
    {
      send ("/v1/services/orders/requests", "{}");
      std::string refusing = last_call ().address;

      head (last_call (), 503, backoff (value));
      answer_with_success (last_call ());
      EXPECT_EQ (serve_orders (60).count (refusing), 1u) << value;
    }
  settings.target_backoff_max = 30 * USEC_PER_SEC;
  send ("/v1/services/orders/requests", "{}");
  std::string refusing = last_call ().address;

  head (last_call (), 503, backoff ("1e300"));
  answer_with_success (last_call ());
  EXPECT_EQ (serve_orders (40).count (refusing), 0u);
  advance (31 * USEC_PER_SEC);
  EXPECT_EQ (serve_orders (60).count (refusing), 1u);
}

// Guards against refusals that name a time at which all targets are still in backoff.
TEST_F (FlowBackoff, RequestsAreRefusedUntilTheFirstTargetIsFree)
{
  send ("/v1/services/orders/requests", "{}");
  for (const char *seconds : { "60", "40", "50" })
    head (last_call (), 503, backoff (seconds));
  size_t calls = client.calls.size ();
  auto *x = send ("/v1/services/orders/requests", "{}");

  EXPECT_EQ (x->outcome (), "not-run");
  EXPECT_GE (atoi (x->answer_fields["retry-after"].c_str ()), 38);
  EXPECT_LE (atoi (x->answer_fields["retry-after"].c_str ()), 52);
  EXPECT_EQ (client.calls.size (), calls);
}

// Guards against a generation that goes on at a target in backoff.
TEST_F (FlowBackoff, AGenerationGoesOnAtATargetNotInBackoff)
{
  send_draft ();
  std::string refusing = last_call ().address;

  head (last_call (), 503, backoff ("60"));
  answer_with_success (last_call ());
  for (int i = 0; i < 12; i++)
    {
      auto *x = send_draft ();

      EXPECT_NE (last_call ().address, refusing);
      head (last_call ());
      data (last_call (), piece (0, "a") + "data: {\"cho");
      fail (last_call ());
      EXPECT_NE (last_call ().address, refusing);
      answer (last_call (), piece (1, "b") + last_piece (2));
      EXPECT_EQ (x->outcome (), "whole");
      advance (2 * USEC_PER_SEC);
    }
}

// Guards against requests at a target that says that it leaves, from the head of an answer on.
TEST_F (FlowBackoff, ATargetThatSaysThatItLeavesGetsNothing)
{
  auto *x = send_draft ();
  fake_call &open = last_call ();
  std::string leaving = open.address;

  head (open, 200, { { "x-leaving", "yes" } });
  data (open, piece (0, "a"));
  for (int i = 0; i < 6; i++)
    {
      send_draft ();
      EXPECT_NE (last_call ().address, leaving);
    }
  data (open, piece (1, "b") + last_piece (2));
  if (open.open)
    end (open);
  EXPECT_EQ (x->outcome (), "whole");
  for (size_t i = 1; i < client.calls.size (); i++)
    answer_with_success (call (i));
  expect_nothing_in_flight ();
}

} // namespace
