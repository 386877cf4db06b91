// The HTTP/1.1 client and targets that send without end: the connection is closed at a limit, and
// the memory that it holds is bounded.
#include "endless_target.h"
#include "h1_client_harness.h"

namespace
{

// Text of a head as it is held, in a buffer that doubles, and the state of the connection.
const size_t CONNECTION_BYTES_MAX = 2 * H1_HEAD_BYTES_MAX + (64u << 10);

// What socket buffers of loopback connections hold beyond what the client has read.
const size_t SOCKET_BYTES_MAX = 16u << 20;

const char *const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct endless_case
{
  const char *name;
  std::string first;
  std::string unit;
  size_t limit; // bytes that the client reads at most
};

std::string
print_case (const ::testing::TestParamInfo<endless_case> &info)
{
  return info.param.name;
}

class H1Endless : public H1Client
{
protected:
  endless_target endless{ loop };
  memory_meter memory;
  size_t size = talloc_total_size (loop);

  void
  begin (h1_probe &probe, const std::string &first, const std::string &unit)
  {
    struct bytes message;

    endless.first = first;
    endless.unit = unit;
    bytes_init (&message, nullptr);
    bytes_append_text (&message, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ (h1_call_start (client, &probe.call, endless.address ().c_str (), &message, false,
                              loop_now (loop)),
               STATUS_OK);
    bytes_clear (&message);
  }

  // Runs the loop until the target sees the connection closed, or has sent `most` bytes.
  void
  run (size_t most)
  {
    while (endless.closed == 0 && endless.most < most)
      {
        endless.pump ();
        loop_run_once (loop, USEC_PER_MSEC);
        memory.look (loop, size);
      }
  }

  double
  rejected () const
  {
    return counter_get (counters, "cherryarch_h1_answers_rejected_total", "", nullptr)->value;
  }
};

class H1EndlessAnswer : public H1Endless, public ::testing::WithParamInterface<endless_case>
{
};

// Guards against an answer without end that occupies a connection until the deadline of its call,
// and against memory that grows with it.
TEST_P (H1EndlessAnswer, IsClosedAtItsLimit)
{
  h1_probe probe (loop);

  begin (probe, GetParam ().first, GetParam ().unit);
  run (GetParam ().limit + SOCKET_BYTES_MAX);
  EXPECT_EQ (probe.ends, 1);
  EXPECT_EQ (endless.closed, 1);
  EXPECT_TRUE (probe.end == H1_END_MALFORMED || probe.end == H1_END_TOO_LARGE);
  EXPECT_LE (memory.most, CONNECTION_BYTES_MAX);
  EXPECT_EQ (rejected (), 1);
}

INSTANTIATE_TEST_SUITE_P (
    Cases,
    H1EndlessAnswer,
    ::testing::Values (
        endless_case{ "InformationalResponses", "", "HTTP/1.1 100 Continue\r\n\r\n",
                      H1_HEAD_BYTES_MAX },
        endless_case{ "InformationalResponsesWithFields", "",
                      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\n",
                      H1_HEAD_BYTES_MAX },
        endless_case{ "HeadOfManyFields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n",
                      H1_HEAD_WIRE_BYTES_MAX },
        endless_case{ "HeaderLine", "HTTP/1.1 200 OK\r\nX-A: ", "a", H1_HEAD_WIRE_BYTES_MAX },
        endless_case{ "HeaderName", "HTTP/1.1 200 OK\r\nX-", "a", H1_HEAD_WIRE_BYTES_MAX },
        endless_case{ "SpacesBeforeAValue", "HTTP/1.1 200 OK\r\nX-A:", " ",
                      H1_HEAD_WIRE_BYTES_MAX },
        endless_case{ "SpacesAfterAValue", "HTTP/1.1 200 OK\r\nContent-Length: 2", " ",
                      H1_HEAD_WIRE_BYTES_MAX },
        endless_case{ "FoldedHeaderLine", "HTTP/1.1 200 OK\r\nX-A: a\r\n", " a\r\n",
                      H1_HEAD_WIRE_BYTES_MAX },
        endless_case{ "ReasonPhrase", "HTTP/1.1 200 ", "a", H1_HEAD_WIRE_BYTES_MAX },
        endless_case{ "EmptyLinesBeforeAHead", "", "\r\n", H1_HEAD_WIRE_BYTES_MAX },
        endless_case{ "ChunkSizeLine", CHUNKED, "0", H1_CHUNK_LINE_BYTES_MAX },
        endless_case{ "ChunkExtension", std::string (CHUNKED) + "1;", "a",
                      H1_CHUNK_LINE_BYTES_MAX },
        endless_case{ "ExtensionsOfManyChunks", CHUNKED,
                      "1;" + std::string (2000, 'a') + "\r\nb\r\n", H1_FRAMING_BYTES_MAX },
        endless_case{ "Trailers", std::string (CHUNKED) + "1\r\na\r\n0\r\n", "X-A: b\r\n",
                      H1_TRAILER_BYTES_MAX },
        endless_case{ "TrailerLine", std::string (CHUNKED) + "1\r\na\r\n0\r\nX-A: ", "a",
                      H1_TRAILER_BYTES_MAX },
        endless_case{ "Text", "", "once upon a time ", 0 },
        endless_case{ "Zeros", "", std::string (16, '\0'), 0 },
        endless_case{ "ZerosWithinAHead", "HTTP/1.1 200 OK\r\nX-A: ", std::string (16, '\0'), 0 }),
    print_case);

// Guards against answers to other calls that are skipped without end.
TEST_F (H1Endless, AnswersToAnotherCallAreLimitedInNumber)
{
  h1_probe probe (loop);

  probe.foreign = 404;
  begin (probe, "", "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nab");
  run (SOCKET_BYTES_MAX);
  EXPECT_EQ (probe.ends, 1);
  EXPECT_EQ (probe.end, H1_END_TOO_LARGE);
  EXPECT_LE (probe.heads, (int) H1_SKIPPED_RESPONSES_MAX + 1);
  EXPECT_LE (memory.most, CONNECTION_BYTES_MAX);
}

// Guards against one answer to another call whose body is skipped without end.
TEST_F (H1Endless, AnAnswerToAnotherCallIsLimitedInSize)
{
  h1_probe probe (loop);

  probe.foreign = 404;
  begin (probe, "HTTP/1.1 404 Not Found\r\n\r\n", std::string (1000, 'x'));
  run (H1_SKIPPED_BYTES_MAX + SOCKET_BYTES_MAX);
  EXPECT_EQ (probe.ends, 1);
  EXPECT_EQ (probe.end, H1_END_TOO_LARGE);
  EXPECT_EQ (probe.body, "");
}

// Guards against bytes without end after a complete answer: the answer counts, the connection is
// closed.
TEST_F (H1Endless, BytesAfterACompleteAnswerCloseTheConnection)
{
  h1_probe probe (loop);

  begin (probe, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "surplus");
  run (SOCKET_BYTES_MAX);
  EXPECT_EQ (probe.end, H1_END_WHOLE);
  EXPECT_EQ (probe.body, "ab");
  EXPECT_EQ (endless.closed, 1);
  EXPECT_LE (memory.most, CONNECTION_BYTES_MAX);
}

// Guards against bytes without end on an idle connection.
TEST_F (H1Endless, BytesOnAnIdleConnectionCloseIt)
{
  h1_probe probe (loop);

  start (probe);
  target->say ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
  ASSERT_TRUE (probe.wait ());
  ASSERT_TRUE (h1_client_has_idle (client, target->address ().c_str ()));
  target->say ("surplus");
  EXPECT_TRUE (
      run_until (loop, [&] { return !h1_client_has_idle (client, target->address ().c_str ()); }));
}

// Guards against a keep-alive time that no integer holds: the connection is kept for a bounded
// time, or not at all.
TEST_F (H1Endless, KeepAliveTimesOutOfRangeAreNotBelieved)
{
  for (const char *time : { "1e300", "inf", "nan", "-1e300", "-5" })
    {
      h1_probe probe (loop);
      bool keeps = time[0] == '1' || time[0] == 'i';

      start (probe, true);
      target->say (std::string ("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=") + time
                   + "\r\nContent-Length: 2\r\n\r\nab");
      ASSERT_TRUE (probe.wait ()) << time;
      EXPECT_EQ (probe.end, H1_END_WHOLE) << time;
      EXPECT_EQ (h1_client_has_idle (client, target->address ().c_str ()), keeps) << time;
      h1_client_close_idle (client, target->address ().c_str ());
    }
}

// Guards against limits that hurt valid answers: informational responses before a slow answer,
// small chunks with extensions, a trailer.
TEST_F (H1Endless, ValidAnswersAreNotLimited)
{
  std::string text;
  h1_probe probe (loop);

  for (uint32_t i = 0; i < H1_SKIPPED_RESPONSES_MAX; i++)
    text += "HTTP/1.1 102 Processing\r\n\r\n";
  text += CHUNKED;
  for (int i = 0; i < 20000; i++)
    text += "1;n=\"v\"\r\na\r\n";
  text += "0\r\nX-Checksum: 1\r\n\r\n";
  start (probe);
  target->say (text);
  ASSERT_TRUE (probe.wait ());
  EXPECT_EQ (probe.end, H1_END_WHOLE);
  EXPECT_EQ (probe.body.size (), 20000u);
}

// Guards against answers that are each within their limit but in sum exceed the host's memory.  The
// largest is ended, the others go on.
TEST_F (H1Endless, TheLargestAnswerIsEndedWhereAllTogetherAreTooLarge)
{
  h1_probe small (loop);
  h1_probe large (loop);

  start (small);
  begin (large, CHUNKED, "1000\r\n" + std::string (0x1000, 'x') + "\r\n");
  ASSERT_TRUE (run_until (loop, [&] {
    endless.pump ();
    return large.body.size () > 0;
  }));
  // Beside these, some bytes of heads count.
  h1_call_set_held (&small.call, 1000, loop_now (loop));
  h1_call_set_held (&large.call, H1_HELD_BYTES_MAX - 10000, loop_now (loop));
  loop_run_once (loop, 0);
  EXPECT_EQ (large.ends, 0);
  h1_call_set_held (&small.call, 10001, loop_now (loop));
  ASSERT_TRUE (large.wait ());
  EXPECT_EQ (large.end, H1_END_TOO_LARGE);
  EXPECT_EQ (small.ends, 0);
  // What an ended call held is free again.
  h1_call_set_held (&small.call, H1_HELD_BYTES_MAX - 10000, loop_now (loop));
  loop_run_once (loop, 0);
  EXPECT_EQ (small.ends, 0);
  target->say ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
  ASSERT_TRUE (small.wait ());
  EXPECT_EQ (small.end, H1_END_WHOLE);
}

}
