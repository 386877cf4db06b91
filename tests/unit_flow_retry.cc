// Targets that fail: retries, hedges, misdirected and late answers, completed stages that are kept.
#include "flow_harness.h"

namespace
{

using flow_harness::fields;

class FlowRetry : public flow_harness::flow_fixture
{
protected:
  void
  warm_up_draft ()
  {
    warm_up ("/v1/pipelines/draft/requests", R"({"input": "hello"})");
  }
};

// A target fails in the middle of a generation, in the last of four stages.  The three stages
// before are not run again, the generation resumes at another target, and the caller gets a
// complete answer.
TEST_F (FlowRetry, ATargetThatFailsMidAnswerRepeatsOnlyItsOwnStage)
{
  auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q"})");

  for (size_t i = 0; i < 3; i++)
    answer_with_success (call (i));
  head (call (3));
  data (call (3), piece (0, "a") + "data: {\"cho");
  fail (call (3));
  ASSERT_EQ (client.calls.size (), 5u);
  EXPECT_EQ (call (4).path, "/v1/completions");
  EXPECT_NE (call (4).address, call (3).address);
  EXPECT_NE (call (4).attempt (), call (3).attempt ());
  EXPECT_NE (call (4).body.find ("\"resume_from\":1"), std::string::npos);
  answer (call (4), piece (1, "b") + last_piece (2));
  EXPECT_NE (x->answer.find ("\"text\":\"ab\""), std::string::npos) << x->answer;
  EXPECT_NE (x->answer.find ("\"attempts\":2"), std::string::npos);
  EXPECT_DOUBLE_EQ (counter_value ("cherryarch_resumes_total"), 1);
  expect_nothing_in_flight ();
}

// A target returns the answer of another request or of another attempt.  It must not reach the
// caller, who gets the correct answer from another target.
TEST_F (FlowRetry, AnswersToOtherRequestsAreDropped)
{
  const fields wrong[] = { { { "x-request-id", "other" } }, { { "x-attempt", "1" } } };

  for (const auto &extra : wrong)
    {
      auto *x = send ("/v1/services/orders/requests", "{}", { { "x-request-id", "r1" } });

      answer (last_call (), R"({"order": "of somebody else"})", 200, extra);
      answer (last_call (), R"({"order": "mine"})");
      EXPECT_EQ (x->answer, R"({"order": "mine"})");
    }
  EXPECT_DOUBLE_EQ (counter_value ("cherryarch_answers_dropped_total"), 2);
  expect_nothing_in_flight ();
}

// A target sends its answer twice in one body.  Accepting the first half would hide the fault, so
// the answer is malformed and another target is tried.
TEST_F (FlowRetry, ADuplicatedAnswerIsMalformed)
{
  auto *x = send ("/v1/services/orders/requests", "{}");

  answer (last_call (), R"({"order": 1}{"order": 1})");
  answer (last_call (), R"({"order": 2})");
  EXPECT_EQ (x->answer, R"({"order": 2})");
  expect_nothing_in_flight ();
}

// A target is slow and a second attempt answers.  The first call is closed, so that a late answer
// cannot be delivered; the second attempt's answer is used.
TEST_F (FlowRetry, ALateAnswerFindsItsCallClosed)
{
  warm_up_draft ();
  auto *x = send_draft ();

  while (client.calls.size () < 2 && x->answers == 0)
    advance (USEC_PER_MSEC);
  ASSERT_EQ (client.calls.size (), 2u);
  answer_with_success (call (1));
  EXPECT_FALSE (call (0).open);
  EXPECT_EQ (x->outcome (), "whole");
  expect_nothing_in_flight ();
}

// After a start there are no measurements of how long a generation takes, and an engine accepts a
// call but returns nothing.  The attempt must end while another can still meet the deadline;
// waiting until then would lose the answer.
TEST_F (FlowRetry, ASilentEngineIsAbandonedWithoutLatencyMeasurements)
{
  auto *x = send_draft ();

  while (client.calls.size () < 2 && x->answers == 0)
    advance (USEC_PER_MSEC);
  ASSERT_EQ (client.calls.size (), 2u);
  EXPECT_FALSE (call (0).open);
  EXPECT_NE (call (0).address, call (1).address);
  answer (call (1), piece (0, "a") + last_piece (1));
  EXPECT_EQ (x->outcome (), "whole");
  expect_nothing_in_flight ();
}

// After the first piece, the time limit for first data must not end a long answer.
TEST_F (FlowRetry, AnEngineThatReturnsPiecesIsNotAbandoned)
{
  auto *x = send_draft ();

  head (call (0));
  data (call (0), piece (0, "a"));
  advance (2500 * USEC_PER_MSEC);
  EXPECT_TRUE (call (0).open);
  EXPECT_EQ (client.calls.size (), 1u);
  data (call (0), piece (1, "b") + last_piece (2));
  end (call (0));
  EXPECT_NE (x->answer.find ("\"text\":\"ab\""), std::string::npos);
  expect_nothing_in_flight ();
}

// An engine hangs.  A hedge starts at another target and answers before the deadline; the first
// call is closed and its target gets a cancel.
TEST_F (FlowRetry, AHedgeWinsAndTheLoserIsCancelled)
{
  warm_up_draft ();
  auto *x = send_draft ();

  while (counter_value ("cherryarch_hedges_total") < 1 && x->answers == 0)
    advance (USEC_PER_MSEC);
  ASSERT_EQ (client.calls.size (), 2u);
  EXPECT_TRUE (call (0).open);
  EXPECT_NE (call (0).address, call (1).address);
  // The attempt with the first piece wins: the text must come from one engine.
  head (call (1));
  data (call (1), piece (0, "a"));
  EXPECT_TRUE (call (0).closed);
  ASSERT_EQ (client.cancels.size (), 1u);
  EXPECT_EQ (client.cancels[0]->address, call (0).address);
  EXPECT_NE (client.cancels[0]->body.find (call (0).attempt ()), std::string::npos);
  data (call (1), piece (1, "b") + last_piece (2));
  end (call (1));
  EXPECT_NE (x->answer.find ("\"text\":\"ab\""), std::string::npos);
  expect_nothing_in_flight ();
}

// An encoder hangs and its hedge answers.  The first call must be closed before the next stage
// begins: left open, its answer would be delivered after the stage has ended.
TEST_F (FlowRetry, AHedgedStageClosesTheSlowCallBeforeTheNext)
{
  for (int i = 0; i < 50; i++)
    {
      auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q"})");

      while (x->answers == 0)
        {
          advance (USEC_PER_MSEC);
          answer_with_success (last_call ());
        }
    }
  client.calls.clear ();
  clear_cancels ();
  auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q"})");

  while (client.calls.size () < 2 && x->answers == 0)
    advance (USEC_PER_MSEC);
  ASSERT_EQ (client.calls.size (), 2u);
  ASSERT_TRUE (call (0).open);
  answer_with_success (call (1));
  EXPECT_TRUE (call (0).closed);
  EXPECT_EQ (client.cancels.size (), 1u);
  EXPECT_EQ (last_call ().path, "/v1/retrieve");
  for (int i = 0; i < 3; i++)
    answer_with_success (last_call ());
  EXPECT_EQ (x->outcome (), "whole");
  expect_nothing_in_flight ();
}

// A full target refuses the work.  Another target runs it; the caller does not notice.
TEST_F (FlowRetry, ARefusalGoesToAnotherTarget)
{
  auto *x = send_draft ();

  answer (call (0), "{}", 503, { { "x-not-run", "yes" } });
  ASSERT_EQ (client.calls.size (), 2u);
  EXPECT_NE (call (1).address, call (0).address);
  answer_with_success (call (1));
  EXPECT_EQ (x->outcome (), "whole");
  expect_nothing_in_flight ();
}

// One of three targets is full and refuses all its calls.  Even a pipeline with a retry budget of 0
// gets every answer: refusals use no capacity and are not charged to the budget.
TEST_F (FlowRetry, RefusalsAreNotChargedToTheRetryBudget)
{
  add_pipeline ("frugal", false, { stage ("generate", STAGE_GENERATE) })->spec.retry_share = 0;
  board_publish (board, BOARD_CONFIG_CHANGED, {}, now);
  for (int i = 0; i < 200; i++)
    {
      auto *x = send ("/v1/pipelines/frugal/requests", R"({"input": "hello"})");

      if (last_call ().address == "generate1")
        answer (last_call (), "{}", 503, { { "x-not-run", "yes" } });
      advance (USEC_PER_MSEC);
      answer_with_success (last_call ());
      ASSERT_EQ (x->outcome (), "whole") << i << x->answer;
    }
  expect_nothing_in_flight ();
}

// Every target fails.  The caller gets "failed" with a retry time at once, not at the deadline, and
// never "not-run" for work that reached a target.
TEST_F (FlowRetry, FailuresEndAtOnceWhenAttemptsAreUsedUp)
{
  auto *x = send_draft ();

  while (x->answers == 0)
    answer (last_call (), "{}", 500);
  EXPECT_EQ (client.calls.size (), 3u);
  EXPECT_EQ (x->code, 502);
  EXPECT_EQ (x->outcome (), "failed");
  EXPECT_NE (x->answer.find ("\"code\":\"target-failed\""), std::string::npos) << x->answer;
  EXPECT_NE (x->answer.find ("\"retry_after_ms\":1000"), std::string::npos);
  expect_nothing_in_flight ();
}

// A target finds the request invalid.  Every other target would as well, so none is tried.
TEST_F (FlowRetry, ARejectedRequestIsNotTriedElsewhere)
{
  auto *x = send_draft ();

  answer (call (0), "{}", 422);
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "failed");
  expect_nothing_in_flight ();
}

// All connections are in use: no call can be started and no byte is sent, so the caller may resend
// the request to any host.
TEST_F (FlowRetry, ACallThatCannotStartIsNotRun)
{
  client.start_status = STATUS_LIMIT;
  auto *x = send_draft ();

  EXPECT_EQ (x->outcome (), "not-run");
  EXPECT_EQ (x->code, 503);
  expect_nothing_in_flight ();
}

// Connections are refused by targets that are down: nothing was sent, so the outcome is "not-run".
TEST_F (FlowRetry, AConnectionThatFailsBeforeAnyByteIsNotRun)
{
  auto *x = send_draft ();

  while (x->answers == 0)
    fail (last_call (), false);
  EXPECT_EQ (x->outcome (), "not-run");
  expect_nothing_in_flight ();
}

// The leases of all rerankers have expired when the third stage begins.  The request keeps the
// results of two stages and waits; one target comes back and the answer is complete.
TEST_F (FlowRetry, ARequestWithCompletedStagesWaitsForATarget)
{
  auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q"})");
  struct board_target *rerankers[3];

  for (int i = 0; i < 3; i++)
    {
      rerankers[i] =
          board_find_target (board, ("rerank" + std::to_string (i + 1)).c_str (), nullptr);
      rerankers[i]->lease_until = now;
    }
  answer_with_success (call (0));
  answer_with_success (call (1));
  EXPECT_EQ (client.calls.size (), 2u);
  advance (120 * USEC_PER_MSEC);
  EXPECT_EQ (x->answers, 0);
  rerankers[1]->lease_until = USEC_NEVER;
  advance (50 * USEC_PER_MSEC);
  ASSERT_EQ (client.calls.size (), 3u);
  answer_with_success (call (2));
  answer_with_success (call (3));
  EXPECT_EQ (x->outcome (), "whole");
  expect_nothing_in_flight ();
}

} // namespace
