// Unrepeatable requests: at most one run, whatever is lost on the way, and a true outcome.
#include "flow_harness.h"

namespace
{

using flow_harness::fake_claims;

class FlowClaim : public flow_harness::world
{
protected:
  // The claim of "order-1" was settled so.
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
  claim_says (CLAIM_GRANTED);
  ASSERT_EQ (client.calls.size (), 1u);
  answer_well (call (0));
  EXPECT_EQ (x->answer, R"({"order": 7})");
  EXPECT_EQ (settled ().outcome, "whole");
  EXPECT_EQ (settled ().body, R"({"order": 7})");
  EXPECT_EQ (claims.released, 0);
  expect_all_over ();
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

      claim_says (c.verdict);
      EXPECT_EQ (x->code, c.code) << claim_verdict_text (c.verdict);
      EXPECT_EQ (x->outcome (), c.outcome) << claim_verdict_text (c.verdict);
    }
  EXPECT_TRUE (client.calls.empty ());
  EXPECT_EQ (claims.released, 0);
  expect_all_over ();
}

// A dealer's first answer was lost on its way, and the dealer sends the order again.  It gets the
// stored answer, marked as a replay, and no second order is made.
TEST_F (FlowClaim, AResendGetsTheStoredAnswer)
{
  auto *x = send_order ();

  claim_says (CLAIM_SETTLED, { 200, "whole", R"({"order": 7})" });
  EXPECT_EQ (x->code, 200);
  EXPECT_EQ (x->answer, R"({"order": 7})");
  EXPECT_EQ (x->outcome (), "whole");
  EXPECT_EQ (x->answer_fields["x-replayed"], "yes");
  EXPECT_TRUE (client.calls.empty ());
  expect_all_over ();
}

// A dealer's order ran through a host that is gone.  The resend reaches one that leaves, knows no
// target and could not admit anything.  "Not run" would be a lie that orders the goods twice: it
// gets the stored answer.  A first order there is refused, and its claim is given back.
TEST_F (FlowClaim, AResendIsAnsweredEvenWhereNothingCouldRun)
{
  uint32_t cursor = 0;

  board->refusing = true;
  while (auto *target =
             static_cast<struct board_target *> (table_next (board->targets, &cursor, nullptr)))
    target->lease_until = now;
  auto *x = send_order ();
  claim_says (CLAIM_SETTLED, { 200, "whole", R"({"order": 7})" });
  EXPECT_EQ (x->answer, R"({"order": 7})");

  for (bool refusing : { true, false })
    {
      board->refusing = refusing;
      auto *first = send_order ({ { "x-request-id", "order-2" } });
      claim_says (CLAIM_GRANTED);
      EXPECT_EQ (first->outcome (), "not-run");
      EXPECT_EQ (first->code, 503);
    }
  EXPECT_EQ (claims.released, 2);
  EXPECT_TRUE (client.calls.empty ());
  expect_all_over ();
}

// A power cut takes the host right after it answered an order.  Had the outcome not been stored by
// then, the resend would hear "unknown" of an order whose answer the dealer has seen.  So the
// answer waits for the store, but not past a second: the outcome is true all the same.
TEST_F (FlowClaim, TheAnswerWaitsUntilTheOutcomeIsStored)
{
  claims.slow_store = true;
  auto *x = send_order ();
  claim_says (CLAIM_GRANTED);
  answer_well (call (0));
  EXPECT_EQ (settled ().outcome, "whole");
  EXPECT_EQ (x->answers, 0);
  advance (500 * USEC_PER_MSEC);
  EXPECT_EQ (x->answers, 0);
  store ();
  EXPECT_EQ (x->outcome (), "whole");

  auto *slow = send_order ({ { "x-request-id", "order-2" } });
  claim_says (CLAIM_GRANTED);
  answer_well (call (1));
  advance (1001 * USEC_PER_MSEC);
  EXPECT_EQ (slow->outcome (), "whole");
  EXPECT_EQ (claims.withdrawn, 1);

  auto *gone = send_order ({ { "x-request-id", "order-3" } });
  claim_says (CLAIM_GRANTED);
  answer_well (call (2));
  gone->base.watcher->ops->closed (gone->base.watcher, now);
  store ();
  EXPECT_EQ (gone->answers, 0);

  auto *cut = send_order ({ { "x-request-id", "order-4" } });
  claim_says (CLAIM_GRANTED);
  answer_well (call (3));
  flow_abort_all (flow, "drain bound", now);
  EXPECT_EQ (cut->outcome (), "whole");
  expect_all_over ();
}

// The connection breaks after the order was sent.  Nobody knows whether it ran: the caller hears
// "unknown", it is not sent to another target, and a resend will hear the same.
TEST_F (FlowClaim, ABrokenConnectionAfterTheSendIsUnknownAndNotSentAgain)
{
  auto *x = send_order ();

  claim_says (CLAIM_GRANTED);
  fail (call (0));
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->code, 500);
  EXPECT_EQ (x->outcome (), "unknown");
  EXPECT_EQ (settled ().outcome, "unknown");
  EXPECT_EQ (claims.released, 0);
  expect_all_over ();
}

// A target answers for another request.  That says nothing of ours, which was sent: "unknown".
TEST_F (FlowClaim, AForeignAnswerLeavesItUnknown)
{
  auto *x = send_order ();

  claim_says (CLAIM_GRANTED);
  answer (call (0), "{}", 200, { { "x-request-id", "order-9" } });
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "unknown");
  expect_all_over ();
}

// The target says that the order failed.  That is its outcome; it is not tried elsewhere.
TEST_F (FlowClaim, AFailureToldByTheTargetIsFinal)
{
  auto *x = send_order ();

  claim_says (CLAIM_GRANTED);
  answer (call (0), "{}", 500);
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "failed");
  EXPECT_EQ (settled ().outcome, "failed");
  expect_all_over ();
}

// A full target says "not run" of this very attempt: the one answer that allows a second send.
// When all say so the caller hears "failed", for bytes of it have left this host.
TEST_F (FlowClaim, OnlyAnExplicitRefusalAllowsAnotherTarget)
{
  auto *x = send_order ();

  claim_says (CLAIM_GRANTED);
  answer (call (0), "{}", 503, { { "x-not-run", "yes" } });
  ASSERT_EQ (client.calls.size (), 2u);
  answer_well (call (1));
  EXPECT_EQ (x->outcome (), "whole");

  auto *y = send_order ({ { "x-request-id", "order-2" } });
  claim_says (CLAIM_GRANTED);
  while (y->answers == 0 && last_call ().open)
    {
      answer (last_call (), "{}", 503, { { "x-not-run", "yes" } });
      if (!last_call ().open)
        advance (USEC_PER_SEC);
    }
  EXPECT_EQ (y->outcome (), "failed");
  EXPECT_EQ (claims.released, 0);
  expect_all_over ();
}

// A "503 not run" without our attempt's number may be about another call: it allows nothing.
TEST_F (FlowClaim, ARefusalOfAnotherAttemptAllowsNothing)
{
  auto *x = send_order ();

  claim_says (CLAIM_GRANTED);
  answer (call (0), "{}", 503, { { "x-not-run", "yes" }, { "x-attempt", "0" } });
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "unknown");
  expect_all_over ();
}

// No connection could be made: no byte left, so another target is tried; when none can be reached
// the claim is given back and the caller may send the order anywhere.
TEST_F (FlowClaim, AClaimIsGivenBackWhenNoByteLeft)
{
  auto *x = send_order ();

  claim_says (CLAIM_GRANTED);
  while (x->answers == 0)
    fail (last_call (), false);
  EXPECT_GT (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "not-run");
  EXPECT_EQ (claims.released, 1);
  EXPECT_EQ (settled ().outcome, "none");
  expect_all_over ();
}

// The window closes while the order runs.  The caller hears "unknown" at once; the order goes on,
// ends whole, and that is stored for the resend.
TEST_F (FlowClaim, AnOrderThatOutlivesItsWindowIsSettledWithItsRealOutcome)
{
  auto *x = send_order ({ { "x-deadline-ms", "100" } });

  claim_says (CLAIM_GRANTED);
  advance (100 * USEC_PER_MSEC);
  EXPECT_EQ (x->outcome (), "unknown");
  EXPECT_TRUE (call (0).open);
  EXPECT_FALSE (flow_idle (flow));
  answer_well (call (0));
  EXPECT_EQ (settled ().outcome, "whole");
  EXPECT_EQ (x->answers, 1);
  expect_all_over ();
}

// The same order, but the target never answers: after the grace it is settled as unknown.
TEST_F (FlowClaim, AnOrderThatNeverEndsIsSettledUnknown)
{
  auto *x = send_order ();

  claim_says (CLAIM_GRANTED);
  advance (60 * USEC_PER_SEC);
  EXPECT_EQ (x->outcome (), "unknown");
  EXPECT_EQ (settled ().outcome, "unknown");
  EXPECT_TRUE (client.cancels.empty ());
  expect_all_over ();
}

// Orders usually take a millisecond and this one takes long.  A repeatable call would be given up
// or hedged; this one keeps its only call until its window closes.
TEST_F (FlowClaim, ASlowOrderIsNeitherGivenUpNorHedged)
{
  warm_up ("/v1/services/orders/requests", "{}");
  auto *x = send_order ();

  claim_says (CLAIM_GRANTED);
  advance (3900 * USEC_PER_MSEC);
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_TRUE (call (0).open);
  answer_well (call (0));
  EXPECT_EQ (x->outcome (), "whole");
  expect_all_over ();
}

// An order whose text is encoded afterwards takes so long that the encoding cannot end in time any
// more.  A repeatable request would end there and save the cost; this one has an order
// running, which is not closed.  When it is done the rest is not begun, and the outcome says so.
TEST_F (FlowClaim, AHopelessRequestDoesNotCloseItsOrder)
{
  add_pipeline ("confirm", false, { stage ("orders", STAGE_CALL), stage ("encode", STAGE_ENCODE) });
  board_publish (board, BOARD_CONFIG_CHANGED, {}, now);
  for (int i = 0; i < 50; i++)
    {
      auto *x = send ("/v1/pipelines/confirm/requests", R"({"input": "q"})");

      answer_well (last_call ());
      // Less than half of the window, at which a call that gave nothing is left for another.
      advance (1900 * USEC_PER_MSEC);
      answer_well (last_call ());
      ASSERT_EQ (x->outcome (), "whole");
    }
  client.calls.clear ();
  auto *x = send ("/v1/pipelines/confirm/requests", R"({"input": "q"})",
                  { { "x-request-id", "order-1" }, { "x-repeatable", "no" } });

  claim_says (CLAIM_GRANTED);
  advance (3 * USEC_PER_SEC);
  EXPECT_EQ (x->answers, 0);
  ASSERT_TRUE (call (0).open);
  answer_well (call (0));
  EXPECT_EQ (x->outcome (), "failed");
  EXPECT_EQ (settled ().outcome, "failed");
  EXPECT_EQ (client.calls.size (), 1u);
  expect_all_over ();
}

// The dealer's connection breaks while the order runs.  The order goes on and is settled, so that
// the resend gets its answer.
TEST_F (FlowClaim, ACallerThatGoesAwayDoesNotEndAnOrder)
{
  auto *x = send_order ();

  claim_says (CLAIM_GRANTED);
  x->base.watcher->ops->closed (x->base.watcher, now);
  EXPECT_TRUE (call (0).open);
  answer_well (call (0));
  EXPECT_EQ (settled ().outcome, "whole");
  EXPECT_EQ (x->answers, 0);
  expect_all_over ();
}

// The dealer goes away, or its window closes, before the claims answer.  It might be a resend that
// runs elsewhere, so it hears "unknown".  The grant comes late: nothing is sent and the claim is
// given back, so that a resend can run.
TEST_F (FlowClaim, AClaimGrantedTooLateIsGivenBack)
{
  auto *gone = send_order ();

  gone->base.watcher->ops->closed (gone->base.watcher, now);
  claim_says (CLAIM_GRANTED);
  EXPECT_EQ (claims.released, 1);

  auto *late = send_order ({ { "x-deadline-ms", "100" } });
  advance (200 * USEC_PER_MSEC);
  EXPECT_EQ (late->outcome (), "unknown");
  EXPECT_EQ (late->code, 500);
  claim_says (CLAIM_GRANTED);
  EXPECT_EQ (claims.released, 2);
  EXPECT_TRUE (client.calls.empty ());
  expect_all_over ();
}

// The dealer's program sends the order twice at once over two connections to one host.  One run;
// the second hears that the first is in flight, and one with another body is refused.
TEST_F (FlowClaim, ATwinOnTheSameHostIsNotRun)
{
  auto *x = send_order ();
  auto *twin = send_order ();
  auto *other = send ("/v1/services/orders/requests", R"({"units": 2})",
                      { { "x-request-id", "order-1" }, { "x-repeatable", "no" } });

  EXPECT_EQ (claims.taken, 1);
  EXPECT_EQ (twin->outcome (), "unknown");
  EXPECT_EQ (twin->code, 409);
  EXPECT_EQ (other->outcome (), "not-run");
  EXPECT_EQ (other->code, 409);
  claim_says (CLAIM_GRANTED);
  answer_well (call (0));
  EXPECT_EQ (x->outcome (), "whole");
  EXPECT_EQ (claims.released, 0);
  expect_all_over ();
}

// An answer longer than the claims keep: the caller has it whole, and a resend must not get a part
// of it as the whole.  It hears that the order ran.
TEST_F (FlowClaim, AnAnswerTooLongToKeepIsNeverReplayedInPart)
{
  auto *x = send_order ();

  claim_says (CLAIM_GRANTED);
  answer (call (0), "\"" + std::string (5000, 'x') + "\"");
  EXPECT_EQ (x->outcome (), "whole");
  EXPECT_EQ (x->answer.size (), 5002u);
  EXPECT_EQ (settled ().outcome, "failed");
  EXPECT_NE (settled ().body.find ("answer-not-kept"), std::string::npos);
  expect_all_over ();
}

// An encoder's connection breaks in an unrepeatable pipeline.  Encoding has no effect outside, so
// the outcome is known: it failed, and the letter was not drafted.
TEST_F (FlowClaim, ABreakInAStageThatOnlyReadsIsFailedNotUnknown)
{
  auto *x = send ("/v1/pipelines/claims/requests", R"({"input": "q"})",
                  { { "x-request-id", "letter" }, { "x-repeatable", "no" } });

  claim_says (CLAIM_GRANTED);
  fail (call (0));
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_EQ (x->outcome (), "failed");
  expect_all_over ();
}

// A letter's generation breaks after pieces went to the officer.  It is not resumed elsewhere, and
// the stream's end says "unknown".
TEST_F (FlowClaim, AnUnrepeatableStreamIsNotResumed)
{
  auto *x = send_draft ({ { "x-request-id", "letter" },
                          { "x-repeatable", "no" },
                          { "accept", "text/event-stream" } });

  claim_says (CLAIM_GRANTED);
  head (call (0));
  data (call (0), piece (0, "a"));
  fail (call (0));
  EXPECT_EQ (client.calls.size (), 1u);
  EXPECT_NE (x->answer.find ("\"outcome\":\"unknown\""), std::string::npos);
  expect_all_over ();
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
