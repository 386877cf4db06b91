// Unrepeatable requests: at most one run despite failures and resends, and the correct outcome.
#include "flow_harness.h"

namespace
{

using flow_harness::fake_claims;

class FlowClaim : public flow_harness::flow_fixture
{
protected:
  // The settlement of the claim of "order-1"; outcome "none" when it was not settled.
  fake_claims::settled
  settled ()
  {
    auto found = claims.settlements.find ("order-1");

    return found == claims.settlements.end () ? fake_claims::settled{ 0, "none", "" }
                                              : found->second;
  }
};

TEST_F (FlowClaim, NothingIsSentBeforeTheClaimIsGranted)
{
  auto *x = send_order ();

  EXPECT_EQ (claims.taken, 1);
  EXPECT_LT (claims.deadline, now + 4 * USEC_PER_SEC);
  EXPECT_TRUE (client.calls.empty ());
  answer_claim (CLAIM_GRANTED);
  ASSERT_EQ (client.calls.size (), 1u);
  answer_with_success (call (0));
  EXPECT_EQ (x->answer, R"({"order": 7})");
  EXPECT_EQ (settled ().outcome, "whole");
  EXPECT_EQ (settled ().body, R"({"order": 7})");
  EXPECT_EQ (claims.released, 0);
  expect_nothing_in_flight ();
}

TEST_F (FlowClaim, EachVerdictHasItsOutcome)
{
  struct
  {
    enum claim_verdict verdict;
    int code;
    const char *outcome;
  } cases[] = {
    { CLAIM_IN_FLIGHT, 409, "unknown" }, { CLAIM_MISMATCH, 409, "not-run" },
    { CLAIM_UNKNOWN, 500, "unknown" },   { CLAIM_EXPIRED, 410, "not-run" },
    { CLAIM_FULL, 503, "not-run" },      { CLAIM_UNREACHABLE, 500, "unknown" },
  };

  for (const auto &c : cases)
    {
      auto *x = send_order ();

      answer_claim (c.verdict);
      EXPECT_EQ (x->code, c.code) << claim_verdict_text (c.verdict);
      EXPECT_EQ (x->outcome (), c.outcome) << claim_verdict_text (c.verdict);
    }
  EXPECT_TRUE (client.calls.empty ());
  EXPECT_EQ (claims.released, 0);
  expect_nothing_in_flight ();
}

// The first answer was lost and the caller resends the order.  It gets the stored answer, marked as
// replayed, and the order is not run again.
TEST_F (FlowClaim, AResendGetsTheStoredAnswer)
{
  auto *x = send_order ();

  answer_claim (CLAIM_SETTLED, { 200, "whole", R"({"order": 7})" });
  EXPECT_EQ (x->code, 200);
  EXPECT_EQ (x->answer, R"({"order": 7})");
  EXPECT_EQ (x->outcome (), "whole");
  EXPECT_EQ (x->answer_fields["x-replayed"], "yes");
  EXPECT_TRUE (client.calls.empty ());
  expect_nothing_in_flight ();
}

// An order ran through a host that has failed.  The resend reaches a host that is shutting down and
// has no usable target.  "not-run" would be wrong and cause a second order, so it gets the stored
// answer.  A new order on that host is refused and its claim released.
TEST_F (FlowClaim, AResendIsAnsweredByAHostThatAdmitsNothing)
{
  uint32_t cursor = 0;

  board->refusing = true;
  while (auto *target =
             static_cast<struct board_target *> (table_next (board->targets, &cursor, nullptr)))
    target->lease_until = now;
  auto *x = send_order ();
  answer_claim (CLAIM_SETTLED, { 200, "whole", R"({"order": 7})" });
  EXPECT_EQ (x->answer, R"({"order": 7})");

  for (bool refusing : { true, false })
    {
      board->refusing = refusing;
      auto *first = send_order ({ { "x-request-id", "order-2" } });
      answer_claim (CLAIM_GRANTED);
      EXPECT_EQ (first->outcome (), "not-run");
      EXPECT_EQ (first->code, 503);
    }
  EXPECT_EQ (claims.released, 2);
  EXPECT_TRUE (client.calls.empty ());
  expect_nothing_in_flight ();
}

// A host loses power right after it answered an order.  If the outcome were not stored by then, a
// resend would get "unknown" for an order whose answer the caller has.  So the answer waits until
// the outcome is stored, for one second at most.
TEST_F (FlowClaim, TheAnswerWaitsUntilTheOutcomeIsStored)
{
  claims.manual_store = true;
  auto *x = send_order ();
  answer_claim (CLAIM_GRANTED);
  answer_with_success (call (0));
  EXPECT_EQ (settled ().outcome, "whole");
  EXPECT_EQ (x->answers, 0);
  advance (500 * USEC_PER_MSEC);
  EXPECT_EQ (x->answers, 0);
  store ();
  EXPECT_EQ (x->outcome (), "whole");

  auto *slow = send_order ({ { "x-request-id", "order-2" } });
  answer_claim (CLAIM_GRANTED);
  answer_with_success (call (1));
  advance (1001 * USEC_PER_MSEC);
  EXPECT_EQ (slow->outcome (), "whole");
  EXPECT_EQ (claims.withdrawn, 1);

  auto *disconnected = send_order ({ { "x-request-id", "order-3" } });
  answer_claim (CLAIM_GRANTED);
  answer_with_success (call (2));
  disconnected->base.watcher->ops->closed (disconnected->base.watcher, now);
  store ();
  EXPECT_EQ (disconnected->answers, 0);

  auto *aborted = send_order ({ { "x-request-id", "order-4" } });
  answer_claim (CLAIM_GRANTED);
  answer_with_success (call (3));
  flow_abort_all (flow, "drain bound", now);
  EXPECT_EQ (aborted->outcome (), "whole");
  expect_nothing_in_flight ();
}

// The connection fails after the order was sent, so it is not known whether it ran: the caller gets
// "unknown", no other target is tried, and "unknown" is stored for a resend.
TEST_F (FlowClaim, ABrokenConnectionAfterTheSendIsUnknownAndNotSentAgain)
{
  auto *x = send_order ();

  answer_claim (CLAIM_GRANTED);
  fail (call (0));
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->code, 500);
  EXPECT_EQ (x->outcome (), "unknown");
  EXPECT_EQ (settled ().outcome, "unknown");
  EXPECT_EQ (claims.released, 0);
  expect_nothing_in_flight ();
}

// A target answers with another request's id.  The result of the order, which was sent, is unknown.
TEST_F (FlowClaim, AnAnswerToAnotherRequestLeavesItUnknown)
{
  auto *x = send_order ();

  answer_claim (CLAIM_GRANTED);
  answer (call (0), "{}", 200, { { "x-request-id", "order-9" } });
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "unknown");
  expect_nothing_in_flight ();
}

// The target answers that the order failed.  That is its outcome, and no other target is tried.
TEST_F (FlowClaim, AFailureReportedByTheTargetIsFinal)
{
  auto *x = send_order ();

  answer_claim (CLAIM_GRANTED);
  answer (call (0), "{}", 500);
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "failed");
  EXPECT_EQ (settled ().outcome, "failed");
  expect_nothing_in_flight ();
}

// A full target answers "x-not-run" with this attempt's number, the only answer after which the
// order may be sent again.  When all targets do so the caller gets "failed", since bytes were sent.
TEST_F (FlowClaim, OnlyAnExplicitRefusalAllowsAnotherTarget)
{
  auto *x = send_order ();

  answer_claim (CLAIM_GRANTED);
  answer (call (0), "{}", 503, { { "x-not-run", "yes" } });
  ASSERT_EQ (client.calls.size (), 2u);
  answer_with_success (call (1));
  EXPECT_EQ (x->outcome (), "whole");

  auto *y = send_order ({ { "x-request-id", "order-2" } });
  answer_claim (CLAIM_GRANTED);
  while (y->answers == 0 && last_call ().open)
    {
      answer (last_call (), "{}", 503, { { "x-not-run", "yes" } });
      if (!last_call ().open)
        advance (USEC_PER_SEC);
    }
  EXPECT_EQ (y->outcome (), "failed");
  EXPECT_EQ (claims.released, 0);
  expect_nothing_in_flight ();
}

// A 503 with "x-not-run" but another attempt's number may be about another call, so it does not
// allow another send.
TEST_F (FlowClaim, ARefusalOfAnotherAttemptAllowsNoOtherTarget)
{
  auto *x = send_order ();

  answer_claim (CLAIM_GRANTED);
  answer (call (0), "{}", 503, { { "x-not-run", "yes" }, { "x-attempt", "0" } });
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "unknown");
  expect_nothing_in_flight ();
}

// No connection can be made, so no byte is sent and another target is tried.  When none can be
// reached the claim is released and the caller may resend the order to any host.
TEST_F (FlowClaim, AClaimIsReleasedWhenNoByteWasSent)
{
  auto *x = send_order ();

  answer_claim (CLAIM_GRANTED);
  while (x->answers == 0)
    fail (last_call (), false);
  EXPECT_GT (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "not-run");
  EXPECT_EQ (claims.released, 1);
  EXPECT_EQ (settled ().outcome, "none");
  expect_nothing_in_flight ();
}

// The deadline passes while the order runs.  The caller gets "unknown" at once; the order
// continues, completes, and its actual outcome is stored for a resend.
TEST_F (FlowClaim, AnOrderThatCompletesAfterItsDeadlineIsSettledWithItsOutcome)
{
  auto *x = send_order ({ { "x-deadline-ms", "100" } });

  answer_claim (CLAIM_GRANTED);
  advance (100 * USEC_PER_MSEC);
  EXPECT_EQ (x->outcome (), "unknown");
  EXPECT_TRUE (call (0).open);
  EXPECT_FALSE (flow_is_idle (flow));
  answer_with_success (call (0));
  EXPECT_EQ (settled ().outcome, "whole");
  EXPECT_EQ (x->answers, 1);
  expect_nothing_in_flight ();
}

// The target never answers: FLOW_SETTLE_GRACE after the deadline the order is settled as unknown.
TEST_F (FlowClaim, AnOrderThatNeverEndsIsSettledUnknown)
{
  auto *x = send_order ();

  answer_claim (CLAIM_GRANTED);
  advance (60 * USEC_PER_SEC);
  EXPECT_EQ (x->outcome (), "unknown");
  EXPECT_EQ (settled ().outcome, "unknown");
  EXPECT_TRUE (client.cancels.empty ());
  expect_nothing_in_flight ();
}

// Orders usually take 1 ms, this one 3.9 s.  A repeatable call would be abandoned or hedged; an
// unrepeatable request keeps its only call until the deadline.
TEST_F (FlowClaim, ASlowOrderIsNeitherAbandonedNorHedged)
{
  warm_up ("/v1/services/orders/requests", "{}");
  auto *x = send_order ();

  answer_claim (CLAIM_GRANTED);
  advance (3900 * USEC_PER_MSEC);
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_TRUE (call (0).open);
  answer_with_success (call (0));
  EXPECT_EQ (x->outcome (), "whole");
  expect_nothing_in_flight ();
}

// The order stage takes so long that the encode stage after it cannot meet the deadline.  A
// repeatable request would end there to save cost; an unrepeatable one must not close its running
// call.  When the call is done the next stage is not started, and the outcome is "failed".
TEST_F (FlowClaim, ARequestThatCannotMeetItsDeadlineDoesNotCloseItsCall)
{
  add_pipeline ("confirm", false, { stage ("orders", STAGE_CALL), stage ("encode", STAGE_ENCODE) });
  board_publish (board, BOARD_CONFIG_CHANGED, {}, now);
  for (int i = 0; i < 50; i++)
    {
      auto *x = send ("/v1/pipelines/confirm/requests", R"({"input": "q"})");

      answer_with_success (last_call ());
      // Below half of the time to the deadline, when a call without data is abandoned.
      advance (1900 * USEC_PER_MSEC);
      answer_with_success (last_call ());
      ASSERT_EQ (x->outcome (), "whole");
    }
  client.calls.clear ();
  auto *x = send ("/v1/pipelines/confirm/requests", R"({"input": "q"})",
                  { { "x-request-id", "order-1" }, { "x-repeatable", "no" } });

  answer_claim (CLAIM_GRANTED);
  advance (3 * USEC_PER_SEC);
  EXPECT_EQ (x->answers, 0);
  ASSERT_TRUE (call (0).open);
  answer_with_success (call (0));
  EXPECT_EQ (x->outcome (), "failed");
  EXPECT_EQ (settled ().outcome, "failed");
  EXPECT_EQ (client.calls.size (), 1u);
  expect_nothing_in_flight ();
}

// The caller's connection fails while the order runs.  The order continues and is settled, so that
// a resend gets its answer.
TEST_F (FlowClaim, ACallerThatDisconnectsDoesNotEndAnOrder)
{
  auto *x = send_order ();

  answer_claim (CLAIM_GRANTED);
  x->base.watcher->ops->closed (x->base.watcher, now);
  EXPECT_TRUE (call (0).open);
  answer_with_success (call (0));
  EXPECT_EQ (settled ().outcome, "whole");
  EXPECT_EQ (x->answers, 0);
  expect_nothing_in_flight ();
}

// The caller disconnects, or its deadline passes, before the claims answer.  The request may be a
// resend that runs elsewhere, so at the deadline it gets "unknown".  When the claim is granted
// later, nothing is sent and the claim is released, so that a resend can run.
TEST_F (FlowClaim, AClaimGrantedTooLateIsReleased)
{
  auto *disconnected = send_order ();

  disconnected->base.watcher->ops->closed (disconnected->base.watcher, now);
  answer_claim (CLAIM_GRANTED);
  EXPECT_EQ (claims.released, 1);

  auto *late = send_order ({ { "x-deadline-ms", "100" } });
  advance (200 * USEC_PER_MSEC);
  EXPECT_EQ (late->outcome (), "unknown");
  EXPECT_EQ (late->code, 500);
  answer_claim (CLAIM_GRANTED);
  EXPECT_EQ (claims.released, 2);
  EXPECT_TRUE (client.calls.empty ());
  expect_nothing_in_flight ();
}

// The caller sends the order twice at once over two connections to one host.  It runs once: the
// second gets "in flight", and a third with another body is refused.
TEST_F (FlowClaim, AConcurrentDuplicateOnTheSameHostIsNotRun)
{
  auto *x = send_order ();
  auto *duplicate = send_order ();
  auto *other = send ("/v1/services/orders/requests", R"({"units": 2})",
                      { { "x-request-id", "order-1" }, { "x-repeatable", "no" } });

  EXPECT_EQ (claims.taken, 1);
  EXPECT_EQ (duplicate->outcome (), "unknown");
  EXPECT_EQ (duplicate->code, 409);
  EXPECT_EQ (other->outcome (), "not-run");
  EXPECT_EQ (other->code, 409);
  answer_claim (CLAIM_GRANTED);
  answer_with_success (call (0));
  EXPECT_EQ (x->outcome (), "whole");
  EXPECT_EQ (claims.released, 0);
  expect_nothing_in_flight ();
}

// The answer is longer than claim_answer_bytes.  The caller gets it completely; a resend must not
// get a truncated answer, but a failure which states that the order ran.
TEST_F (FlowClaim, AnAnswerTooLongToKeepIsNeverReplayedTruncated)
{
  auto *x = send_order ();

  answer_claim (CLAIM_GRANTED);
  answer (call (0), "\"" + std::string (5000, 'x') + "\"");
  EXPECT_EQ (x->outcome (), "whole");
  EXPECT_EQ (x->answer.size (), 5002u);
  EXPECT_EQ (settled ().outcome, "failed");
  EXPECT_NE (settled ().body.find ("answer-not-kept"), std::string::npos);
  expect_nothing_in_flight ();
}

// The connection to an encoder fails in an unrepeatable pipeline.  Encoding has no side effects and
// the generation was not started, so the outcome is "failed", not "unknown".
TEST_F (FlowClaim, AConnectionFailureInAReadOnlyStageIsFailedNotUnknown)
{
  auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q"})",
                  { { "x-request-id", "letter" }, { "x-repeatable", "no" } });

  answer_claim (CLAIM_GRANTED);
  fail (call (0));
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "failed");
  expect_nothing_in_flight ();
}

// An unrepeatable generation fails after pieces were sent to the caller.  It is not resumed at
// another target, and the stream's end event has the outcome "unknown".
TEST_F (FlowClaim, AnUnrepeatableStreamIsNotResumed)
{
  auto *x = send_draft ({ { "x-request-id", "letter" },
                          { "x-repeatable", "no" },
                          { "accept", "text/event-stream" } });

  answer_claim (CLAIM_GRANTED);
  head (call (0));
  data (call (0), piece (0, "a"));
  fail (call (0));
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_NE (x->answer.find ("\"outcome\":\"unknown\""), std::string::npos);
  expect_nothing_in_flight ();
}

TEST_F (FlowClaim, WithoutClaimsUnrepeatableRequestsAreNotRun)
{
  make_flow (nullptr);
  auto *x = send_order ();

  EXPECT_EQ (x->outcome (), "not-run");
  EXPECT_EQ (x->code, 503);
  EXPECT_TRUE (client.calls.empty ());
}

} // namespace
