// One table of HTTP answers for both users of the answer parser, the client of the forwarding path
// and the client of own calls: both must agree on which answers are complete.
#include "h1_client_harness.h"
#include "unit_edges_client.h"

namespace
{

const std::string CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string OK = "HTTP/1.1 200 OK\r\n";

struct answer
{
  const char *story;
  std::string wire;
  bool whole;
  const char *body;
  const char *method = "GET";
};

std::vector<answer>
answers ()
{
  const std::string last = "\r\nhello\r\n0\r\n\r\n";

  return {
    // chunk sizes
    { "a size without a digit", CHUNKED + last.substr (0, 9) + "\r\n\r\n", false, "" },
    { "an extension in place of a size", CHUNKED + ";a" + last, false, "" },
    { "a size over 32 bits", CHUNKED + "100000005" + last, false, "hello\r\n0\r\n\r\n" },
    { "a size over 64 bits", CHUNKED + "10000000000000005" + last, false, "" },
    { "leading zeros", CHUNKED + "000000000000000000000000000005" + last, true, "hello" },
    { "a plus", CHUNKED + "+5" + last, false, "" },
    { "a minus", CHUNKED + "-5" + last, false, "" },
    { "a prefix", CHUNKED + "0x5" + last, false, "" },
    { "a blank before", CHUNKED + " 5" + last, false, "" },
    { "a blank behind", CHUNKED + "5 " + last, false, "" },
    { "a tab before", CHUNKED + "\t5" + last, false, "" },
    { "a tab behind", CHUNKED + "5\t" + last, false, "" },
    { "an extension", CHUNKED + "5;a=b" + last, true, "hello" },
    { "an extension behind blanks", CHUNKED + "5 ;a=\"b c\"" + last, true, "hello" },
    { "an extension of the last chunk", CHUNKED + "5\r\nhello\r\n0;a\r\n\r\n", true, "hello" },
    { "an extension with LF alone", CHUNKED + "5;a\nb" + last, false, "" },
    // trailers
    { "trailers", CHUNKED + "5\r\nhello\r\n0\r\nA: b\r\nC: d\r\n\r\n", true, "hello" },
    { "trailers without an end", CHUNKED + "5\r\nhello\r\n0\r\nA: b\r\n", false, "hello" },
    { "a line of trailers with LF alone", CHUNKED + "5\r\nhello\r\n0\r\nA: b\n\r\n", false,
      "hello" },
    // content lengths
    { "a length with a plus", OK + "Content-Length: +5\r\n\r\nhello", false, "" },
    { "a length with a fraction", OK + "Content-Length: 5.0\r\n\r\nhello", false, "" },
    { "a length over 64 bits", OK + "Content-Length: 18446744073709551621\r\n\r\nhello", false,
      "" },
    { "an empty length", OK + "Content-Length:\r\n\r\nhello", false, "" },
    { "the length twice", OK + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", false, "" },
    { "a list of lengths", OK + "Content-Length: 5, 5\r\n\r\nhello", false, "" },
    { "a length with leading zeros", OK + "Content-Length: 0005\r\n\r\nhello", true, "hello" },
    { "a length and chunks", OK + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
      false, "" },
    // answers without a body
    { "an answer to a HEAD", OK + "Content-Length: 5\r\n\r\n", true, "", "HEAD" },
    { "an answer in chunks to a HEAD", CHUNKED, true, "", "HEAD" },
    { "204", "HTTP/1.1 204 No Content\r\n\r\n", true, "" },
    { "304", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", true, "" },
    // interim answers
    { "100 before", "HTTP/1.1 100 Continue\r\n\r\n" + OK + "Content-Length: 5\r\n\r\nhello", true,
      "hello" },
    { "102 and 103 before",
      "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + CHUNKED + "5"
          + last,
      true, "hello" },
    { "another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\nhello", false,
      "" },
    { "only 100", "HTTP/1.1 100 Continue\r\n\r\n", false, "" },
  };
}

class Answers : public ::testing::Test
{
protected:
  struct loop *loop = loop_new_without_tls (nullptr, 600);

  void
  TearDown () override
  {
    talloc_free (loop);
  }

  // Sends the answer at once or byte by byte, then closes the connection.
  void
  say (raw_server &server, const std::string &wire, bool at_once)
  {
    for (size_t at = 0; at < wire.size (); at += at_once ? wire.size () : 1)
      {
        ::send (server.taken.back (), &wire[at], at_once ? wire.size () : 1, MSG_NOSIGNAL);
        loop_run_once (loop, 0);
      }
    server.hang_up ();
  }
};

// Calls of pipelines, the command line and the load tools accept complete answers and no others.
TEST_F (Answers, OwnCallsAcceptOnlyCompleteAnswers)
{
  for (const answer &row : answers ())
    for (bool at_once : { true, false })
      {
        test_client client (loop);
        raw_server server (loop);
        std::string address = "127.0.0.1:" + std::to_string (server.port ());
        struct http_call_spec spec = {};
        struct http_call *call = nullptr;
        call_probe probe;

        spec.address = address.c_str ();
        spec.method = row.method;
        spec.path = "/";
        spec.deadline = loop_now (loop) + EVENT_WAIT;
        ASSERT_EQ (
            client.client->ops->start (client.client, &spec, &probe.sink, loop_now (loop), &call),
            STATUS_OK);
        ASSERT_TRUE (server.wait_request ());
        say (server, row.wire, at_once);
        ASSERT_TRUE (run_until (loop, [&] { return probe.over (); })) << row.story;
        EXPECT_EQ (probe.ends, row.whole ? 1 : 0) << row.story << at_once;
        EXPECT_EQ (std::string (row.body).compare (0, probe.body.size (), probe.body), 0)
            << row.story << at_once << probe.body;
        EXPECT_TRUE (!row.whole || probe.body == row.body) << row.story;
      }
}

// The forwarding path accepts the same answers.
TEST_F (Answers, ForwardedCallsAcceptOnlyCompleteAnswers)
{
  struct h1_client *client = make_h1_client (loop, counters_new (loop));

  for (const answer &row : answers ())
    for (bool at_once : { true, false })
      {
        raw_server server (loop);
        std::string address = "127.0.0.1:" + std::to_string (server.port ());
        h1_probe probe (loop);
        struct bytes message;

        bytes_init (&message, nullptr);
        bytes_append_format (&message, "%s / HTTP/1.1\r\nHost: h\r\n\r\n", row.method);
        probe.call.no_body = strcmp (row.method, "HEAD") == 0;
        ASSERT_EQ (
            h1_call_start (client, &probe.call, address.c_str (), &message, true, loop_now (loop)),
            STATUS_OK);
        bytes_clear (&message);
        ASSERT_TRUE (server.wait_request ());
        say (server, row.wire, at_once);
        ASSERT_TRUE (probe.wait ()) << row.story;
        EXPECT_EQ (probe.end == H1_END_WHOLE, row.whole) << row.story << at_once;
        EXPECT_EQ (std::string (row.body).compare (0, probe.body.size (), probe.body), 0)
            << row.story << at_once << probe.body;
        EXPECT_TRUE (!row.whole || probe.body == row.body) << row.story;
      }
}

// The answer fills one read exactly and more data follows it.  The next call on the connection,
// started when the first ends, must not read the remaining data as its answer.
TEST_F (Answers, DataAfterAnAnswerIsNotReadByTheNextCall)
{
  static const size_t READ_AT_ONCE = 32768;
  test_client client (loop);
  raw_server server (loop);
  call_probe first;
  call_probe next;
  std::string head = OK + "Content-Length: ";
  std::string other = "HTTP/1.1 418 Teapot\r\nContent-Length: 4\r\n\r\nevil";
  size_t body = READ_AT_ONCE - head.size () - strlen ("00000\r\n\r\n");

  client.start (first, server.port (), "/first", "body");
  ASSERT_TRUE (server.wait_request ("body"));
  server.send (head + std::to_string (body) + "\r\n\r\n" + std::string (body, 'x') + other);
  ASSERT_TRUE (run_until (loop, [&] { return first.over (); }));
  EXPECT_EQ (first.ends, 1);
  client.start (next, server.port (), "/next", "other");
  ASSERT_TRUE (server.wait_request ("other"));
  server.send (OK + "Content-Length: 4\r\n\r\nours");
  ASSERT_TRUE (run_until (loop, [&] { return next.over (); }));
  EXPECT_EQ (next.body, "ours");
}

} // namespace
