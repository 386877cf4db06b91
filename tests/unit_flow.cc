// Request path: complete answers over several stages, refusals, and the outcome of each.
#include "config.h"
#include "flow_harness.h"
#include <jansson.h>

namespace
{

using flow_harness::fields;

class Flow : public flow_harness::flow_fixture
{
};

TEST_F (Flow, FourStagesGiveOneCompleteAnswer)
{
  auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q", "max_tokens": 8})",
                  { { "x-request-id", "r1" } });

  for (size_t i = 0; i < 4; i++)
    {
      ASSERT_EQ (client.calls.size (), i + 1);
      EXPECT_EQ (call (i).headers["x-request-id"], "r1");
      EXPECT_EQ (call (i).headers["x-organisation"], "acme");
      advance (1000);
      answer_with_success (call (i));
    }
  EXPECT_EQ (call (1).body, R"({"query":"q","embedding":[0.5,1],"top":3})");
  EXPECT_EQ (call (2).body, R"({"model":"m1","query":"q","documents":["A","B","C"],"top_n":2})");
  EXPECT_EQ (call (3).body, R"({"model":"m1","prompt":"q\nC\nA","max_tokens":8,"stream":true,)"
                            R"("priority":5,"resume_from":0})");
  EXPECT_EQ (x->code, 200);
  EXPECT_EQ (x->outcome (), "whole");
  json_t *json = json_loads (x->answer.c_str (), 0, nullptr);
  EXPECT_STREQ (json_string_value (json_object_get (json_object_get (json, "result"), "text")),
                "ab");
  json_t *last = json_array_get (json_object_get (json, "stages"), 3);
  EXPECT_EQ (json_integer_value (json_object_get (last, "cached_tokens")), 4);
  EXPECT_DOUBLE_EQ (json_real_value (json_object_get (last, "cost")), 0.002);
  EXPECT_DOUBLE_EQ (json_real_value (json_object_get (last, "ms")), 1);
  json_decref (json);
  expect_nothing_in_flight ();
}

// Parsing and rewriting a service's JSON would change its numbers and spaces: body and answer must
// be forwarded byte for byte.
TEST_F (Flow, AServiceForwardsBytesUnchanged)
{
  auto *x = send ("/v1/services/orders/requests", R"({"price": 1.10,  "n": 12345678901234567890})");

  EXPECT_EQ (last_call ().body, R"({"price": 1.10,  "n": 12345678901234567890})");
  answer (last_call (), "{\"total\": 2.20 }");
  EXPECT_EQ (x->answer, "{\"total\": 2.20 }");
  EXPECT_EQ (x->outcome (), "whole");
  expect_nothing_in_flight ();
}

TEST_F (Flow, BadInputNamesTheFieldAndNothingIsSent)
{
  struct
  {
    const char *path, *body, *header, *value, *field;
    int code;
  } cases[] = {
    { "/v1/pipelines/none/requests", R"({"input": "q"})", "a", "b", "path", 404 },
    { "/v1/pipelines/orders/requests", R"({"input": "q"})", "a", "b", "path", 404 },
    { "/v1/pipelines/draft", R"({"input": "q"})", "a", "b", "path", 404 },
    { "/v1/pipelines/draft/requests", "{", "a", "b", "body", 400 },
    { "/v1/pipelines/draft/requests", "[]", "a", "b", "body", 400 },
    { "/v1/pipelines/draft/requests", R"({"input": "q", "input": "r"})", "a", "b", "body", 400 },
    { "/v1/pipelines/draft/requests", R"({"input": "q", "x": 1})", "a", "b", "body", 400 },
    { "/v1/pipelines/draft/requests", R"({"input": 3})", "a", "b", "input", 400 },
    { "/v1/pipelines/draft/requests", R"({"input": "q", "max_tokens": 0})", "a", "b", "max_tokens",
      400 },
    { "/v1/pipelines/draft/requests", R"({"input": "q"})", "x-deadline-ms", "soon", "x-deadline-ms",
      400 },
    { "/v1/pipelines/draft/requests", R"({"input": "q"})", "x-priority", "10", "x-priority", 400 },
    { "/v1/pipelines/draft/requests", R"({"input": "q"})", "x-request-id", "a b", "x-request-id",
      400 },
    { "/v1/pipelines/draft/requests", R"({"input": "q"})", "x-repeatable", "no", "x-request-id",
      400 },
    { "/v1/services/orders/requests", "[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]", "a", "b", "body",
      400 },
  };

  for (const auto &c : cases)
    {
      auto *x = send (c.path, c.body, { { c.header, c.value } });

      EXPECT_EQ (x->code, c.code) << c.path << c.body;
      EXPECT_EQ (x->outcome (), "not-run");
      EXPECT_NE (x->answer.find (std::string ("\"field\":\"") + c.field), std::string::npos)
          << x->answer;
    }
  EXPECT_TRUE (client.calls.empty ());
  expect_nothing_in_flight ();
}

TEST_F (Flow, RefusalsBeforeTheFirstByteAreNotRun)
{
  EXPECT_EQ (flow_last_arrival (flow), 0);
  board->refusing = true;
  EXPECT_EQ (send_draft ()->outcome (), "not-run");
  EXPECT_EQ (flow_last_arrival (flow), now);
  board->refusing = false;
  board->config_ready = false;
  EXPECT_EQ (send_draft ()->code, 503);
  board->config_ready = true;
  for (uint32_t i = 0; i < settings.requests_in_flight; i++)
    EXPECT_EQ (send_draft ()->answers, 0);
  EXPECT_DOUBLE_EQ (board->load, 1);
  auto *full = send_draft ();
  EXPECT_EQ (full->code, 503);
  EXPECT_EQ (full->outcome (), "not-run");
  EXPECT_EQ (full->answer_fields["retry-after"], "1");
  for (size_t i = 0; i < client.calls.size (); i++)
    answer_with_success (call (i));
  expect_nothing_in_flight ();
}

// A host that has no configuration, or one that may be old, denied pipelines and tokens that it did
// not know.
TEST_F (Flow, DeniesNothingUnderAConfigurationThatMayBeOld)
{
  fields unknown_token = { { "authorization", "Bearer unknown" } };
  const char *unknown_path = "/v1/pipelines/none/requests";

  EXPECT_EQ (send (unknown_path, R"({"input": "q"})")->code, 404);
  EXPECT_EQ (send ("/v1/pipelines/draft/requests", R"({"input": "q"})", unknown_token)->code, 403);
  board->confirmed_at = now - CONFIG_CONFIRMATION_TTL;
  EXPECT_EQ (send (unknown_path, R"({"input": "q"})")->code, 503);
  EXPECT_EQ (send ("/v1/pipelines/draft/requests", R"({"input": "q"})", unknown_token)->code, 503);
  EXPECT_EQ (send_draft ()->answers, 0); // what it knows is served
  answer_with_success (call (0));
  board->config_ready = false;
  EXPECT_EQ (send (unknown_path, R"({"input": "q"})")->code, 503);
  EXPECT_EQ (send ("/v1/pipelines/draft/requests", R"({"input": "q"})", unknown_token)->code, 503);
  expect_nothing_in_flight ();
}

// The leases of all targets have expired.  Nothing was sent, so the outcome is "not-run" and the
// caller may resend the request to any host.
TEST_F (Flow, NoTargetIsNotRun)
{
  uint32_t cursor = 0;

  while (auto *target =
             static_cast<struct board_target *> (table_next (board->targets, &cursor, nullptr)))
    target->lease_until = now;
  auto *x = send_draft ();
  EXPECT_EQ (x->code, 503);
  EXPECT_EQ (x->outcome (), "not-run");
  EXPECT_NE (x->answer.find ("\"retry_after_ms\":"), std::string::npos);
  expect_nothing_in_flight ();
}

// The target hangs until the deadline: the caller gets 504 with the outcome "failed", the call is
// closed, and the target gets a cancel so that it stops.
TEST_F (Flow, APassedDeadlineIsFailedAndTheTargetGetsACancel)
{
  auto *x = send_draft ({ { "x-deadline-ms", "500" } });

  advance (500 * USEC_PER_MSEC);
  EXPECT_EQ (x->code, 504);
  EXPECT_EQ (x->outcome (), "failed");
  ASSERT_FALSE (client.cancels.empty ());
  EXPECT_NE (client.cancels[0]->body.find (call (0).attempt ()), std::string::npos);
  EXPECT_EQ (client.cancels[0]->address, call (0).address);
  expect_nothing_in_flight ();
}

// The caller disconnects while the second of four stages runs: the call is closed and the target
// gets a cancel at once, since no client reads the answer any more.
TEST_F (Flow, ACallerThatDisconnectsEndsRepeatableWork)
{
  auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q"})");

  answer_with_success (call (0));
  x->base.watcher->ops->closed (x->base.watcher, now);
  EXPECT_TRUE (call (1).closed);
  EXPECT_EQ (client.cancels.size (), 1u);
  EXPECT_EQ (x->answers, 0);
  EXPECT_GT (
      counter_value ("cherryarch_requests_total", "outcome=\"failed\",reason=\"caller-gone\""), 0);
  expect_nothing_in_flight ();
}

// A shutdown exceeds its time limit: every request is ended with the outcome of its state.
TEST_F (Flow, AbortAnswersEveryRequestWithItsOutcome)
{
  auto *draft = send_draft ();
  auto *order = send_order ();

  answer_claim (CLAIM_GRANTED);
  auto *claiming = send_order ({ { "x-request-id", "order-2" } });
  EXPECT_EQ (flow_abort_all (flow, "drain bound", now), 3u);
  EXPECT_EQ (draft->outcome (), "failed");
  EXPECT_EQ (order->outcome (), "unknown");
  EXPECT_EQ (claiming->outcome (), "not-run");
  EXPECT_EQ (claims.withdrawn, 1);
  expect_nothing_in_flight ();
}

TEST_F (Flow, TheDumpShowsWhatIsInFlight)
{
  send_draft ({ { "x-request-id", "shown" } });
  json_t *json = dump_describe (&dump, now);
  char *text = json_dumps (json, 0);

  EXPECT_NE (std::string (text).find ("\"shown\""), std::string::npos);
  EXPECT_NE (std::string (text).find ("\"attempts_in_flight\": 1"), std::string::npos);
  free (text);
  json_decref (json);
  answer_with_success (call (0));
  expect_nothing_in_flight ();
}

} // namespace
