// Streams: every piece reaches the caller once, in order, and a stream without its last piece is
// not complete.
#include "flow_harness.h"

namespace
{

using flow_harness::fake_exchange;
using flow_harness::fields;

// An allocator for JSON that fails once, after `left` successful calls.
struct failing_malloc
{
  static inline int left;

  static void *
  take (size_t size)
  {
    return left-- == 0 ? nullptr : malloc (size);
  }
};

class FlowStream : public flow_harness::flow_fixture
{
protected:
  fake_exchange *
  send_stream ()
  {
    return send_draft ({ { "accept", "text/event-stream" }, { "x-request-id", "s1" } });
  }

  static std::string
  token (int index, const std::string &text)
  {
    return "event: token\ndata: {\"text\":\"" + text + "\",\"index\":" + std::to_string (index)
           + "}\n\n";
  }

  void
  reset_fixture ()
  {
    TearDown ();
    memory = talloc_new (nullptr);
    dump = {};
    client.calls.clear ();
    exchanges.clear ();
    SetUp ();
  }

  // Allows `more` further bytes; 0 for no limit.
  void
  limit_memory (size_t more)
  {
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wdeprecated-declarations"
    ASSERT_EQ (talloc_set_memlimit (memory, more == 0 ? 0 : talloc_total_size (memory) + more), 0);
#pragma GCC diagnostic pop
  }

  // The first engine fails after three pieces; the second sends the first of them and `last`, which
  // must not end the stream; the third completes it.
  void
  expect_shorter_text_rejected (const std::string &last)
  {
    auto *x = send_stream ();

    head (call (0));
    data (call (0), piece (0, "a") + piece (1, "b") + piece (2, "c"));
    fail (call (0));
    answer (call (1), piece (0, "a") + last);
    EXPECT_FALSE (x->ended);
    ASSERT_EQ (client.calls.size (), 3u);
    answer (call (2), last_piece (3));
    EXPECT_NE (x->answer.find ("{\"text\":\"abc\"}"), std::string::npos) << x->answer;
    expect_nothing_in_flight ();
  }

  static size_t
  count (const std::string &text, const std::string &part)
  {
    size_t n = 0;

    for (size_t at = text.find (part); at != std::string::npos; at = text.find (part, at + 1))
      n++;
    return n;
  }
};

TEST_F (FlowStream, PiecesAreForwardedAtOnceAndTheEndHasTheCompleteText)
{
  auto *x = send_stream ();

  head (call (0));
  data (call (0), piece (0, "a"));
  EXPECT_EQ (x->answer, token (0, "a"));
  EXPECT_EQ (x->answer_fields["content-type"], "text/event-stream");
  EXPECT_EQ (x->answer_fields["x-request-id"], "s1");
  data (call (0), piece (1, "b") + last_piece (2));
  end (call (0));
  EXPECT_EQ (x->answer.find (token (0, "a") + token (1, "b") + "event: end\n"), 0u);
  EXPECT_NE (x->answer.find ("\"outcome\":\"whole\",\"result\":{\"text\":\"ab\"}"),
             std::string::npos);
  EXPECT_TRUE (x->ended);
  expect_nothing_in_flight ();
}

// An engine fails after two pieces were sent to the caller.  Another resumes and also repeats the
// second piece, as an engine that resumes early does.  The caller gets each piece once and the end
// event has the complete text.
TEST_F (FlowStream, ABrokenGenerationResumesWithoutRepeatingAPiece)
{
  auto *x = send_stream ();

  head (call (0));
  data (call (0), piece (0, "a") + piece (1, "b"));
  fail (call (0));
  ASSERT_EQ (client.calls.size (), 2u);
  EXPECT_NE (call (1).body.find ("\"resume_from\":2"), std::string::npos);
  answer (call (1), piece (1, "b") + piece (2, "c") + last_piece (3));
  EXPECT_EQ (x->answer.find (token (0, "a") + token (1, "b") + token (2, "c") + "event: end\n"),
             0u);
  EXPECT_NE (x->answer.find ("{\"text\":\"abc\"}"), std::string::npos);
  EXPECT_EQ (count (x->answer, "event: token"), 3u);
  expect_nothing_in_flight ();
}

// An engine skips a piece.  Forwarding the next one would leave a gap in the text, so the attempt
// fails and another engine resumes at the missing piece.
TEST_F (FlowStream, PiecesAfterAGapAreNotForwarded)
{
  auto *x = send_stream ();

  head (call (0));
  data (call (0), piece (0, "a") + piece (2, "c"));
  EXPECT_TRUE (call (0).closed);
  EXPECT_EQ (x->answer, token (0, "a"));
  answer (call (1), piece (1, "b") + piece (2, "c") + last_piece (3));
  EXPECT_NE (x->answer.find ("{\"text\":\"abc\"}"), std::string::npos);
  expect_nothing_in_flight ();
}

// The HTTP response ends correctly but without the last piece: the engine stopped early.  The
// partial text must not be taken as complete.
TEST_F (FlowStream, AnEndWithoutTheLastPieceIsNotComplete)
{
  auto *x = send_stream ();

  answer (call (0), piece (0, "a"));
  EXPECT_EQ (x->answers, 0);
  ASSERT_EQ (client.calls.size (), 2u);
  answer (call (1), piece (1, "b") + last_piece (2));
  EXPECT_NE (x->answer.find ("{\"text\":\"ab\"}"), std::string::npos);
  expect_nothing_in_flight ();
}

// An engine sends its stream twice in one response: everything after the last piece is dropped.
TEST_F (FlowStream, EventsAfterTheLastPieceAreDropped)
{
  auto *x = send_stream ();
  const std::string whole = piece (0, "a") + last_piece (1);

  answer (call (0), whole + whole);
  EXPECT_EQ (count (x->answer, "event: token"), 1u);
  EXPECT_EQ (count (x->answer, "event: end"), 1u);
  EXPECT_NE (x->answer.find ("{\"text\":\"a\"}"), std::string::npos);
  EXPECT_DOUBLE_EQ (counter_value ("cherryarch_answers_dropped_total"), 2);
  expect_nothing_in_flight ();
}

// An engine leaves its stream open after the last piece.  The text is complete, and the caller gets
// it shortly after, not at the deadline.
TEST_F (FlowStream, AStreamLeftOpenAfterItsLastPieceIsComplete)
{
  auto *x = send_stream ();

  head (call (0));
  data (call (0), piece (0, "a") + last_piece (1));
  advance (60 * USEC_PER_MSEC);
  EXPECT_TRUE (x->ended);
  EXPECT_NE (x->answer.find ("\"outcome\":\"whole\""), std::string::npos);
  expect_nothing_in_flight ();
}

// The deadline passes after pieces were sent with status 200.  The single end event has the outcome
// "failed", so that the caller cannot take the partial text as complete.
TEST_F (FlowStream, TheEndEventOfAFailedStreamHasTheOutcomeFailed)
{
  auto *x = send_stream ();

  head (call (0));
  data (call (0), piece (0, "a"));
  advance (5 * USEC_PER_SEC);
  EXPECT_EQ (count (x->answer, "event: end"), 1u);
  EXPECT_NE (x->answer.find ("\"outcome\":\"failed\""), std::string::npos) << x->answer;
  EXPECT_TRUE (x->ended);
  expect_nothing_in_flight ();
}

// The HTTP server reports a closed connection from within the write of a piece.  That ends the
// request during event handling; the remaining pieces must not use it.
TEST_F (FlowStream, ACallerThatDisconnectsDuringAWriteEndsTheStream)
{
  struct http_exchange_ops ops = flow_harness::exchange_ops;
  auto *x = send_stream ();

  ops.write = [] (struct http_exchange *exchange, const void *, size_t) {
    struct http_watcher *watcher = exchange->watcher;

    exchange->watcher = nullptr;
    if (watcher != nullptr)
      watcher->ops->closed (watcher, 1000 * USEC_PER_SEC);
  };
  x->base.ops = &ops;
  head (call (0));
  data (call (0), piece (0, "a") + piece (1, "b") + last_piece (2));
  EXPECT_TRUE (call (0).closed);
  expect_nothing_in_flight ();
}

// An engine omits the pieces before its last one.  The text has a gap at its end and is incomplete.
TEST_F (FlowStream, ALastPieceAfterAMissingOneIsNotTheEnd)
{
  auto *x = send_stream ();

  answer (call (0), piece (0, "a") + last_piece (3));
  EXPECT_FALSE (x->ended);
  ASSERT_EQ (client.calls.size (), 2u);
  EXPECT_NE (call (1).body.find ("\"resume_from\":1"), std::string::npos);
  answer (call (1), piece (1, "b") + piece (2, "c") + last_piece (3));
  EXPECT_NE (x->answer.find ("{\"text\":\"abc\"}"), std::string::npos) << x->answer;
  expect_nothing_in_flight ();
}

// The second engine ignores `resume_from` and ends a shorter text, which must not complete the
// longer one that the caller has.  Here its last piece has an index but no text.
TEST_F (FlowStream, TheEndOfAShorterTextDoesNotEndALongerOne)
{
  expect_shorter_text_rejected (last_piece (1));
}

// As above, but the last piece has text.
TEST_F (FlowStream, TheLastTextOfAShorterTextDoesNotEndALongerOne)
{
  expect_shorter_text_rejected (
      R"(data: {"choices": [{"text": "b", "index": 1, "finish_reason": "stop"}]})"
      "\n\n");
}

// As above, but the last piece has neither text nor index.
TEST_F (FlowStream, AnEndWithoutAnIndexDoesNotEndALongerText)
{
  expect_shorter_text_rejected (R"(data: {"choices": [{"text": "", "finish_reason": "stop"}]})"
                                "\n\n");
}

// The second engine fails in various ways: the end of its answer must not end the stream as
// complete.
TEST_F (FlowStream, AFailureAtTheNextEngineDoesNotCompleteTheStream)
{
  struct
  {
    int code;
    const char *body;
    fields extra;
  } const answers[] = {
    { 500, R"({"error": "x"})", {} },
    { 503, "", { { "x-not-run", "yes" } } },
    { 404, "", {} },
    { 200, "", {} },
    { 200, "data: [DONE]\n\n", {} },
    { 200, R"({"choices": [{"text": "b", "index": 1, "finish_reason": "stop"}]})", {} },
  };

  for (const auto &second : answers)
    {
      auto *x = send_stream ();

      head (call (0));
      data (call (0), piece (0, "a"));
      fail (call (0));
      answer (call (1), second.body, second.code, second.extra);
      EXPECT_FALSE (x->ended) << second.code << second.body;
      ASSERT_EQ (client.calls.size (), 3u) << second.code << second.body;
      answer (call (2), "", 500);
      advance (5 * USEC_PER_SEC);
      EXPECT_EQ (count (x->answer, "event: end"), 1u);
      EXPECT_NE (x->answer.find ("\"outcome\":\"failed\""), std::string::npos) << x->answer;
      expect_nothing_in_flight ();
      reset_fixture ();
    }
}

// The second engine rejects the request as invalid: the stream ends with the outcome "failed".
TEST_F (FlowStream, ARejectionAtTheNextEngineEndsTheStreamAsFailed)
{
  auto *x = send_stream ();

  head (call (0));
  data (call (0), piece (0, "a"));
  fail (call (0));
  answer (call (1), "{}", 422);
  EXPECT_EQ (count (x->answer, "event: end"), 1u);
  EXPECT_NE (x->answer.find ("\"outcome\":\"failed\""), std::string::npos) << x->answer;
  expect_nothing_in_flight ();
}

// The second engine starts from the beginning and generates another text.  Joined to the pieces
// that the caller has, it would be a text that no engine generated.
TEST_F (FlowStream, TheTextsOfTwoRunsAreNotJoined)
{
  auto *x = send_stream ();

  head (call (0));
  data (call (0), piece (0, "a") + piece (1, "b"));
  fail (call (0));
  answer (call (1), piece (0, "x") + piece (1, "y") + piece (2, "z") + last_piece (3));
  ASSERT_EQ (client.calls.size (), 3u);
  answer (call (2), piece (0, "a") + piece (1, "bb") + piece (2, "c") + last_piece (3));
  EXPECT_EQ (count (x->answer, "event: token"), 2u);
  EXPECT_EQ (count (x->answer, "event: end"), 1u);
  EXPECT_NE (x->answer.find ("\"outcome\":\"failed\""), std::string::npos) << x->answer;
  expect_nothing_in_flight ();
}

// Out of memory for a piece.  The next attempt must not resume after it as if it had been stored.
TEST_F (FlowStream, APieceLostToLackOfMemoryIsNotCounted)
{
  const std::string large (8192, 'a');
  auto *x = send_stream ();

  head (call (0));
  /* Grows the decoder's buffers, so that only the text needs more memory. */
  data (call (0), R"(data: {"choices": [{"text": ""}], "pad": ")" + large + large + "\"}\n\n");
  limit_memory (4096);
  data (call (0), piece (0, large));
  ASSERT_EQ (client.calls.size (), 2u);
  EXPECT_NE (call (1).body.find ("\"resume_from\":0"), std::string::npos) << call (1).body;
  limit_memory (0);
  answer (call (1), last_piece (1));
  advance (5 * USEC_PER_SEC);
  EXPECT_EQ (x->answer.find ("\"outcome\":\"whole\""), std::string::npos) << x->answer;
  expect_nothing_in_flight ();
}

// Each of the JSON allocations for a piece fails in turn.  A stream without the piece must not end
// as complete.
TEST_F (FlowStream, AStreamThatLacksAPieceDoesNotEndAsComplete)
{
  for (failing_malloc::left = 0; failing_malloc::left < 40;)
    {
      int step = failing_malloc::left;
      auto *x = send_stream ();

      head (call (0));
      json_set_alloc_funcs (failing_malloc::take, free);
      data (call (0), piece (0, "a"));
      json_set_alloc_funcs (malloc, free);
      for (size_t i = 0; i < client.calls.size (); i++)
        if (call (i).open)
          {
            head (call (i));
            data (call (i), piece (0, "a") + piece (1, "b") + last_piece (2));
          }
      advance (5 * USEC_PER_SEC);
      EXPECT_TRUE (x->aborted || count (x->answer, "event: token") == 2) << step << x->answer;
      EXPECT_TRUE (!x->aborted || count (x->answer, "event: end") == 0) << step << x->answer;
      EXPECT_EQ (x->answers, 1) << step;
      expect_nothing_in_flight ();
      reset_fixture ();
      failing_malloc::left = step + 1;
    }
}

} // namespace
