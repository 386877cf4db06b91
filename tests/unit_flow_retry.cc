// Targets that fail: retries, hedges, foreign and late answers, work that is kept.
#include "flow_harness.h"

namespace
{

using flow_harness::fields;

class FlowRetry : public flow_harness::world
{
protected:
  void
  warm_up_draft ()
  {
    warm_up ("/v1/pipelines/draft/requests", R"({"input": "hello"})");
  }
};

// A generator's process dies in the middle of an answer, in the last of four stages.  The caller
// sees only a whole answer: the three stages before are not computed again, and the generation
// goes on at another target.
TEST_F (FlowRetry, ATargetThatDiesMidAnswerCostsOnlyItsOwnStage)
{
  auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q"})");

  for (size_t i = 0; i < 3; i++)
    answer_well (call (i));
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
  EXPECT_DOUBLE_EQ (counted ("cherryarch_resumes_total"), 1);
  expect_all_over ();
}

// A target mixes up two callers' answers, or sends the answer of an attempt given up before, or
// leaves the id out.  The caller must never see it: it gets the right answer from another target.
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
  EXPECT_DOUBLE_EQ (counted ("cherryarch_answers_dropped_total"), 2);
  expect_all_over ();
}

// A target sends its answer twice in one body.  Taking the first half would hide that something is
// wrong with it, so the answer is malformed and another target is asked.
TEST_F (FlowRetry, ADoubledAnswerIsMalformed)
{
  auto *x = send ("/v1/services/orders/requests", "{}");

  answer (last_call (), R"({"order": 1}{"order": 1})");
  answer (last_call (), R"({"order": 2})");
  EXPECT_EQ (x->answer, R"({"order": 2})");
  expect_all_over ();
}

// Two targets are slow to answer one after the other.  The first attempt was given up and its call
// closed, so that its late answer has no way in; the second one's counts.
TEST_F (FlowRetry, ALateAnswerFindsItsCallClosed)
{
  warm_up_draft ();
  auto *x = send_draft ();

  while (client.calls.size () < 2 && x->answers == 0)
    advance (USEC_PER_MSEC);
  ASSERT_EQ (client.calls.size (), 2u);
  answer_well (call (1));
  EXPECT_FALSE (call (0).open);
  EXPECT_EQ (x->outcome (), "whole");
  expect_all_over ();
}

// Right after a start nothing is known of how long a generation takes, and an engine takes a call
// and gives nothing.  The attempt must end while another can still make the window; waiting for the
// deadline would cost the answer.
TEST_F (FlowRetry, AnEngineThatGivesNothingIsLeftBeforeAnythingIsKnown)
{
  auto *x = send_draft ();

  while (client.calls.size () < 2 && x->answers == 0)
    advance (USEC_PER_MSEC);
  ASSERT_EQ (client.calls.size (), 2u);
  EXPECT_FALSE (call (0).open);
  EXPECT_NE (call (0).address, call (1).address);
  answer (call (1), piece (0, "a") + last_piece (1));
  EXPECT_EQ (x->outcome (), "whole");
  expect_all_over ();
}

// The first piece came: the engine lives, and a long answer is not cut by the bound on the first.
TEST_F (FlowRetry, AnEngineThatGivesPiecesIsNotLeft)
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
  expect_all_over ();
}

// An engine hangs.  A second attempt starts beside it, answers, and the caller has its answer long
// before the window closes; the first is closed and its engine told to stop.
TEST_F (FlowRetry, AHedgeWinsAndTheLoserIsCancelled)
{
  warm_up_draft ();
  auto *x = send_draft ();

  while (counted ("cherryarch_hedges_total") < 1 && x->answers == 0)
    advance (USEC_PER_MSEC);
  ASSERT_EQ (client.calls.size (), 2u);
  EXPECT_TRUE (call (0).open);
  EXPECT_NE (call (0).address, call (1).address);
  // The first piece decides: two engines never write one text.
  head (call (1));
  data (call (1), piece (0, "a"));
  EXPECT_TRUE (call (0).closed);
  ASSERT_EQ (client.cancels.size (), 1u);
  EXPECT_EQ (client.cancels[0]->address, call (0).address);
  EXPECT_NE (client.cancels[0]->body.find (call (0).attempt ()), std::string::npos);
  data (call (1), piece (1, "b") + last_piece (2));
  end (call (1));
  EXPECT_NE (x->answer.find ("\"text\":\"ab\""), std::string::npos);
  expect_all_over ();
}

// An encoder hangs and a second call beside it answers whole.  The first must be closed before the
// next stage begins: left open, its answer would come to a stage that is over.
TEST_F (FlowRetry, AHedgedStageClosesTheSlowCallBeforeTheNext)
{
  for (int i = 0; i < 50; i++)
    {
      auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q"})");

      while (x->answers == 0)
        {
          advance (USEC_PER_MSEC);
          answer_well (last_call ());
        }
    }
  client.calls.clear ();
  forget_cancels ();
  auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q"})");

  while (client.calls.size () < 2 && x->answers == 0)
    advance (USEC_PER_MSEC);
  ASSERT_EQ (client.calls.size (), 2u);
  ASSERT_TRUE (call (0).open);
  answer_well (call (1));
  EXPECT_TRUE (call (0).closed);
  EXPECT_EQ (client.cancels.size (), 1u);
  EXPECT_EQ (last_call ().path, "/v1/retrieve");
  for (int i = 0; i < 3; i++)
    answer_well (last_call ());
  EXPECT_EQ (x->outcome (), "whole");
  expect_all_over ();
}

// A full target says so.  Another takes the work; the caller sees nothing of it.
TEST_F (FlowRetry, ARefusalGoesToAnotherTarget)
{
  auto *x = send_draft ();

  answer (call (0), "{}", 503, { { "x-not-run", "yes" } });
  ASSERT_EQ (client.calls.size (), 2u);
  EXPECT_NE (call (1).address, call (0).address);
  answer_well (call (1));
  EXPECT_EQ (x->outcome (), "whole");
  expect_all_over ();
}

// One of three targets is full for a while and refuses all its calls.  A pipeline whose owner
// allows no retries at all still gets every answer: refusals cost nothing and draw on no budget.
TEST_F (FlowRetry, RefusalsDrawOnNoRetryBudget)
{
  add_pipeline ("frugal", false, { stage ("generate", STAGE_GENERATE) })->spec.retry_share = 0;
  board_publish (board, BOARD_CONFIG_CHANGED, {}, now);
  for (int i = 0; i < 200; i++)
    {
      auto *x = send ("/v1/pipelines/frugal/requests", R"({"input": "hello"})");

      if (last_call ().address == "generate1")
        answer (last_call (), "{}", 503, { { "x-not-run", "yes" } });
      advance (USEC_PER_MSEC);
      answer_well (last_call ());
      ASSERT_EQ (x->outcome (), "whole") << i << x->answer;
    }
  expect_all_over ();
}

// Every target fails.  The caller hears "failed" at once, not when its window closes, and when to
// come back; it is never told "not-run" of work that reached a target.
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
  expect_all_over ();
}

// A target finds the request itself invalid.  Every other would too: no attempt is spent on it.
TEST_F (FlowRetry, ARejectedRequestIsNotTriedElsewhere)
{
  auto *x = send_draft ();

  answer (call (0), "{}", 422);
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "failed");
  expect_all_over ();
}

// All connections are in use: no call could be started, no byte left, and the caller may send the
// request again anywhere.
TEST_F (FlowRetry, ACallThatCannotStartIsNotRun)
{
  client.refuse = STATUS_LIMIT;
  auto *x = send_draft ();

  EXPECT_EQ (x->outcome (), "not-run");
  EXPECT_EQ (x->code, 503);
  expect_all_over ();
}

// Connections are refused by hosts that are down: nothing was sent, so the outcome is "not-run".
TEST_F (FlowRetry, AConnectionThatFailsBeforeAByteIsNotRun)
{
  auto *x = send_draft ();

  while (x->answers == 0)
    fail (last_call (), false);
  EXPECT_EQ (x->outcome (), "not-run");
  expect_all_over ();
}

// All rerankers are gone when the third stage begins.  The work of two stages is kept while one
// may be back soon; it is, and the answer is whole.
TEST_F (FlowRetry, WorkDoneWaitsForATargetToBeBack)
{
  auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q"})");
  struct board_target *rerankers[3];

  for (int i = 0; i < 3; i++)
    {
      rerankers[i] =
          board_find_target (board, ("rerank" + std::to_string (i + 1)).c_str (), nullptr);
      rerankers[i]->lease_until = now;
    }
  answer_well (call (0));
  answer_well (call (1));
  EXPECT_EQ (client.calls.size (), 2u);
  advance (120 * USEC_PER_MSEC);
  EXPECT_EQ (x->answers, 0);
  rerankers[1]->lease_until = USEC_NEVER;
  advance (50 * USEC_PER_MSEC);
  ASSERT_EQ (client.calls.size (), 3u);
  answer_well (call (2));
  answer_well (call (3));
  EXPECT_EQ (x->outcome (), "whole");
  expect_all_over ();
}

} // namespace
