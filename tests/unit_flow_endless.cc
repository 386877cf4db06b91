// Targets that send without end, on the path of pipelines: the attempt ends at a limit and another
// target is asked.
#include "endless_target.h"
#include "flow_harness.h"
#include "sse.h"
#include "unit_edges_client.h"

namespace
{

class FlowEndless : public flow_harness::flow_fixture
{
protected:
  // Sends the text again and again to the first call of a generation, at most `max` bytes.
  void
  repeat (const std::string &text, size_t max)
  {
    send_draft ({ { "accept", "text/event-stream" }, { "x-request-id", "s1" } });
    head (call (0));
    for (size_t sent = 0; sent < max && call (0).open; sent += text.size ())
      data (call (0), text);
  }

  void
  expect_replaced ()
  {
    EXPECT_TRUE (call (0).closed);
    ASSERT_EQ (client.calls.size (), 2u);
    answer (call (1), piece (0, "a") + last_piece (1));
    EXPECT_NE (exchanges[0]->answer.find ("{\"text\":\"a\"}"), std::string::npos);
    expect_nothing_in_flight ();
  }
};

// Guards against a generation of endless comments, which holds no memory but makes no progress.
TEST_F (FlowEndless, CommentsEndTheAttempt)
{
  repeat (": still here\n\n", SSE_SKIPPED_BYTES_MAX + 1000);
  expect_replaced ();
}

// Guards against the same with empty lines.
TEST_F (FlowEndless, EmptyLinesEndTheAttempt)
{
  repeat ("\n", SSE_SKIPPED_BYTES_MAX + 1000);
  expect_replaced ();
}

// Guards against the same with events that have no data.
TEST_F (FlowEndless, EventsWithoutDataEndTheAttempt)
{
  repeat ("event: token\n\n", SSE_SKIPPED_BYTES_MAX + 1000);
  expect_replaced ();
}

// Guards against an endless event.
TEST_F (FlowEndless, AnEndlessEventEndsTheAttempt)
{
  repeat ("data: x\n", 4u << 20);
  expect_replaced ();
}

// Guards against an endless line.
TEST_F (FlowEndless, AnEndlessLineEndsTheAttempt)
{
  repeat (std::string (1000, 'x'), 4u << 20);
  expect_replaced ();
}

// Guards against a limit that hurts a slow stream: comments between pieces are allowed again after
// each piece.
TEST_F (FlowEndless, CommentsBetweenPiecesAreNotLimitedInSum)
{
  std::string comments (SSE_SKIPPED_BYTES_MAX - 1000, ':');

  send_draft ({ { "accept", "text/event-stream" }, { "x-request-id", "s1" } });
  head (call (0));
  for (int i = 0; i < 10; i++)
    data (call (0), comments + "\n" + piece (i, "a"));
  data (call (0), last_piece (10));
  end (call (0));
  EXPECT_NE (exchanges[0]->answer.find ("{\"text\":\"aaaaaaaaaa\"}"), std::string::npos);
  EXPECT_EQ (client.calls.size (), 1u);
}

// ---- the client of the path ----

struct endless_call
{
  const char *name;
  std::string first;
  std::string unit;
  enum status why;
};

class HttpClientEndless : public ::testing::TestWithParam<endless_call>
{
};

// Guards against an answer without end that is read until the deadline of its call.
TEST_P (HttpClientEndless, FailsTheCall)
{
  struct test_server server;
  struct test_client client (server.loop);
  endless_target endless (server.loop);
  call_probe probe;

  endless.first = GetParam ().first;
  endless.unit = GetParam ().unit;
  client.start (probe, inet_address_bound_port (endless.listener), "/x", "body", 15 * USEC_PER_SEC);
  ASSERT_TRUE (run_until (server.loop, [&] {
    endless.pump ();
    return probe.over ();
  }));
  EXPECT_EQ (probe.failures, 1);
  EXPECT_STREQ (status_text (probe.why), status_text (GetParam ().why));
  EXPECT_TRUE (probe.sent);
  EXPECT_LE (probe.body.size (), 4u << 20);
  EXPECT_EQ (client.counted ("cherryarch_h1_answers_rejected_total"), 1);
}

INSTANTIATE_TEST_SUITE_P (
    Answers,
    HttpClientEndless,
    ::testing::Values (
        endless_call{ "InformationalResponses", "", "HTTP/1.1 100 Continue\r\n\r\n",
                      STATUS_TOO_LARGE },
        endless_call{ "Head", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", STATUS_TOO_LARGE },
        endless_call{ "Text", "", "once upon a time ", STATUS_MALFORMED },
        endless_call{ "BodyWithoutAnEnd", "HTTP/1.1 200 OK\r\n\r\n", "x", STATUS_MALFORMED },
        endless_call{ "BodyWithALength", "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
                      "x", STATUS_TOO_LARGE },
        endless_call{ "BodyInChunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "3e8\r\n" + std::string (1000, 'x') + "\r\n", STATUS_TOO_LARGE },
        endless_call{ "ChunkExtension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                      "a", STATUS_TOO_LARGE }),
    [] (const ::testing::TestParamInfo<endless_call> &param) {
      return std::string (param.param.name);
    });

}
