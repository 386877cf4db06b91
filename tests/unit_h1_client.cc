// The HTTP/1.1 client: how it reports a response, depending on its framing and on how the
// connection ends.
#include "h1_client_harness.h"

namespace
{

struct framed_answer
{
  const char *bytes;
  bool reset; // else an orderly close
  bool no_body;
  enum h1_framing framing;
  enum h1_end end;
};

TEST_F (H1Client, ReportsTheFramingAndTheEndOfAResponse)
{
  const std::vector<framed_answer> answers = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false, false, H1_FRAMING_LENGTH,
      H1_END_WHOLE },
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na", false, false, H1_FRAMING_LENGTH,
      H1_END_TRUNCATED },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", true, false,
      H1_FRAMING_CHUNKED, H1_END_RESET },
    { "HTTP/1.1 200 OK\r\n\r\nab", false, false, H1_FRAMING_CLOSE, H1_END_WHOLE },
    { "HTTP/1.1 200 OK\r\n\r\nab", true, false, H1_FRAMING_CLOSE, H1_END_RESET },
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", false, true, H1_FRAMING_NO_BODY,
      H1_END_WHOLE },
    { "HTTP/1.1 200 OK\r\n", false, false, H1_FRAMING_UNKNOWN, H1_END_TRUNCATED },
    { "no answer", false, false, H1_FRAMING_UNKNOWN, H1_END_MALFORMED },
  };

  for (const auto &answer : answers)
    {
      h1_probe probe (loop);

      probe.call.no_body = answer.no_body;
      start (probe, true);
      target->say (answer.bytes);
      // Bytes unread at the time of the reset would be lost.
      for (int i = 0; i < 3; i++)
        loop_run_once (loop, USEC_PER_MSEC);
      target->hang_up (answer.reset);
      ASSERT_TRUE (probe.wait ()) << answer.bytes;
      EXPECT_STREQ (h1_framing_text (probe.call.framing), h1_framing_text (answer.framing))
          << answer.bytes;
      EXPECT_STREQ (h1_end_text (probe.end), h1_end_text (answer.end)) << answer.bytes;
    }
}

// ---- responses of every framing, truncated, damaged and segmented at every byte ----

// Two events; the first contains a two-byte character.
const std::string BODY = "id: 1\ndata: a\xc3\xbc\n\nid: 2\ndata: b\n\n";

// The first chunk ends within that character.
const std::string CHUNKS =
    "e\r\nid: 1\ndata: a\xc3\r\n3\r\n\xbc\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

struct framed
{
  const char *name;
  std::string head;
  std::string wire; // after the head
  bool kept;        // the connection is reusable after the response
  bool by_close;
};

std::vector<framed>
framings ()
{
  const std::string length = "Content-Length: " + std::to_string (BODY.size ()) + "\r\n\r\n";

  return {
    { "length", "HTTP/1.1 200 OK\r\n" + length, BODY, true, false },
    { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNKS, true, false },
    { "trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      CHUNKS.substr (0, CHUNKS.size () - 2) + "X: y\r\n\r\n", true, false },
    { "neither", "HTTP/1.1 200 OK\r\n\r\n", BODY, false, true },
    { "neither_1_0", "HTTP/1.0 200 OK\r\n\r\n", BODY, false, true },
    { "length_1_0", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + length, BODY, true, false },
  };
}

class H1Answers : public H1Client
{
protected:
  // Run one iteration of the event loop, in which the client reads.
  void
  turn ()
  {
    loop_run_once (loop, 0);
  }

  // Let the client read, and check whether the call has ended.
  void
  await (const h1_probe &probe, bool ends, const std::string &what)
  {
    EXPECT_TRUE (!ends || probe.wait ()) << what;
    turn ();
    EXPECT_EQ (probe.ends, ends ? 1 : 0) << what;
  }

  // Wait until the client has closed its connection.
  bool
  wait_closed ()
  {
    char byte;

    return run_until (
        loop, [&] { return recv (target->peer, &byte, 1, MSG_DONTWAIT) == 0 || errno != EAGAIN; });
  }

  // Complete a call, after which the client holds an idle connection (`used`) or none.
  void
  prepare (bool used)
  {
    h1_probe first (loop);

    start (first, true);
    target->say (used ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                      : "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE (first.wait ());
    ASSERT_EQ (first.body, "ok");
  }

  // Does the next call reuse the connection?
  bool
  is_used_again ()
  {
    h1_probe next (loop);
    int connections = target->connections;

    start (next);
    return target->connections == connections;
  }

  void
  expect (const h1_probe &probe, bool whole, const std::string &body, const std::string &what)
  {
    EXPECT_EQ (probe.ends, 1) << what;
    EXPECT_EQ (probe.end == H1_END_WHOLE, whole) << what << ": " << h1_end_text (probe.end);
    if (whole)
      EXPECT_EQ (probe.body, body) << what;
    else
      EXPECT_EQ (body.compare (0, probe.body.size (), probe.body), 0) << what << ": " << probe.body;
  }
};

// Failure: a truncated response is reported as complete.  The connection is closed or reset after
// every byte of every framing.
TEST_F (H1Answers, ResponseIsCompleteOnlyByItsFraming)
{
  for (const auto &framed : framings ())
    for (bool used : { false, true })
      for (bool reset : { false, true })
        for (size_t n = 0; n <= framed.head.size () + framed.wire.size (); n++)
          {
            std::string text = (framed.head + framed.wire).substr (0, n);
            bool complete = framed.by_close ? !reset && n >= framed.head.size ()
                                            : n == framed.head.size () + framed.wire.size ();
            std::string body =
                framed.by_close && complete ? text.substr (framed.head.size ()) : BODY;
            std::string what = std::string (framed.name) + (used ? ", used" : ", fresh")
                               + (reset ? ", reset at " : ", closed at ") + std::to_string (n);
            h1_probe probe (loop);

            prepare (used);
            start (probe);
            EXPECT_EQ (probe.call.reused, used) << what;
            target->say (text);
            await (probe, complete && !framed.by_close, what);
            target->hang_up (reset);
            ASSERT_TRUE (probe.wait ()) << what;
            expect (probe, complete, body, what);
          }
}

// Failure: the result depends on how the response is segmented, or the call ends while its last
// segment is missing.  The response is split in two after every byte.
TEST_F (H1Answers, ResponseDoesNotDependOnSegmentation)
{
  for (const auto &framed : framings ())
    for (size_t n = 1; n <= framed.head.size () + framed.wire.size (); n++)
      {
        std::string text = framed.head + framed.wire;
        std::string what = std::string (framed.name) + " split at " + std::to_string (n);
        h1_probe probe (loop);
        int connections;

        start (probe);
        connections = target->connections;
        target->say (text.substr (0, n));
        await (probe, n == text.size () && !framed.by_close, what);
        if (n < text.size ())
          target->say (text.substr (n));
        if (framed.by_close)
          target->hang_up ();
        ASSERT_TRUE (probe.wait ()) << what;
        expect (probe, true, BODY, what);
        EXPECT_EQ (target->connections, connections);
      }
}

TEST_F (H1Answers, ResponseIsIncompleteBeforeItsLastByte)
{
  for (const auto &framed : framings ())
    {
      std::string text = framed.head + framed.wire;
      h1_probe probe (loop);

      start (probe);
      for (size_t n = 0; n < text.size (); n++)
        {
          EXPECT_EQ (probe.ends, 0) << framed.name << ": " << n;
          target->say (text.substr (n, 1));
          turn ();
        }
      if (framed.by_close)
        {
          EXPECT_EQ (probe.ends, 0);
          target->hang_up ();
        }
      ASSERT_TRUE (probe.wait ()) << framed.name;
      expect (probe, true, BODY, framed.name);
      EXPECT_EQ (is_used_again (), framed.kept) << framed.name;
    }
}

// Failure: a connection is reused although bytes follow the response, in the same segment or later.
TEST_F (H1Answers, SurplusBytesCloseTheConnection)
{
  for (const auto &framed : framings ())
    for (const char *more : { "x", "\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
      for (bool at_once : { false, true })
        {
          std::string text = framed.head + framed.wire;
          h1_probe probe (loop);

          if (framed.by_close)
            continue;
          start (probe);
          target->say (at_once ? text + more : text);
          ASSERT_TRUE (probe.wait ()) << framed.name;
          if (!at_once)
            target->say (more);
          EXPECT_TRUE (wait_closed ()) << framed.name << more;
          expect (probe, true, BODY, framed.name);
          EXPECT_FALSE (is_used_again ()) << framed.name << more;
        }
}

struct damaged
{
  const char *wire; // after the head of a chunked response
  const char *body; // data up to the damage, according to the chunk sizes
};

// Invalid framing, much of which the parser accepts.
const damaged DAMAGED_CHUNKS[] = {
  // data shorter and longer than the size by one and by two
  { "6\r\nhello\r\n0\r\n\r\n", "hello\r" },
  { "7\r\nhello\r\n0\r\n\r\n", "hello\r\n" },
  { "4\r\nhello\r\n0\r\n\r\n", "hell" },
  { "3\r\nhello\r\n0\r\n\r\n", "hel" },
  { "3\r\nabc\r\n6\r\nhello\r\n0\r\n\r\n", "abchello\r" },
  { "3\r\nabc\r\n3\r\nhello\r\n0\r\n\r\n", "abchel" },
  // bytes after the data
  { "5\r\nhelloXX0\r\n\r\n", "hello" },
  { "5\r\nhello\rX0\r\n\r\n", "hello" },
  { "5\r\nhelloX\n0\r\n\r\n", "hello" },
  { "5\r\nhello\n0\r\n\r\n", "hello" },
  { "5\r\nhello0\r\n\r\n", "hello" },
  // chunk-size line
  { "5\rXhello\r\n0\r\n\r\n", "hello" },
  { "5\nhello\r\n0\r\n\r\n", "" },
  { "\r\n5\r\nhello\r\n0\r\n\r\n", "" },
  { "g\r\nhello\r\n0\r\n\r\n", "" },
  { "-5\r\nhello\r\n0\r\n\r\n", "" },
  { "0x5\r\nhello\r\n0\r\n\r\n", "" },
  { " 5\r\nhello\r\n0\r\n\r\n", "" },
  { "5 5\r\nhello\r\n0\r\n\r\n", "" },
  { "5 x\r\nhello\r\n0\r\n\r\n", "" },
  { "5;a\nb\r\nhello\r\n0\r\n\r\n", "" },
  { "5;\rX\r\nhello\r\n0\r\n\r\n", "" },
  { "fffffffffffffffff\r\nhello\r\n0\r\n\r\n", "" },
  // the last chunk
  { "5\r\nhello\r\n0\r\n\rX", "hello" },
  { "5\r\nhello\r\n0\r\n\n", "hello" },
  { "5\r\nhello\r\n0\rX\r\n", "hello" },
  { "5\r\nhello\r\n0\n\n", "hello" },
  { "5\r\nhello\r\n0\r\nX: y\rZ\r\n", "hello" },
  { "5\r\nhello\r\n0\r\nX: y\n\n", "hello" },
  { "5\r\nhello\r\n0\r\nhello\r\n\r\n", "hello" },
};

// Failure: a response with damaged chunk framing is accepted, with its data shifted.  It is sent at
// once and split after every byte.
TEST_F (H1Answers, DamagedChunksAreMalformed)
{
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  for (const auto &damaged : DAMAGED_CHUNKS)
    for (size_t n = head.size (); n <= head.size () + strlen (damaged.wire); n++)
      {
        std::string text = head + damaged.wire;
        std::string what = std::string (damaged.wire) + " split at " + std::to_string (n);
        h1_probe probe (loop);

        start (probe);
        target->say (text.substr (0, n));
        turn ();
        if (probe.ends == 0)
          target->say (text.substr (n));
        ASSERT_TRUE (probe.wait ()) << what;
        expect (probe, false, damaged.body, what);
        EXPECT_EQ (probe.end, H1_END_MALFORMED) << what;
      }
}

// Failure: the data of a chunk is delivered although the same read shows that its framing is
// damaged.
TEST_F (H1Answers, DamagedChunkIsNotDelivered)
{
  h1_probe probe (loop);

  start (probe);
  target->say ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n6\r\nhello\r\n"
               "0\r\n\r\n");
  ASSERT_TRUE (probe.wait ());
  expect (probe, false, "abc", "");
  EXPECT_EQ (probe.body, "abc");
}

// Failure: a damaged line end in a head is accepted, as the parser takes any byte for the LF after
// a CR.
TEST_F (H1Answers, CarriageReturnWithoutLineFeedInTheHeadIsMalformed)
{
  for (const char *text : {
           "HTTP/1.1 200 OK\rXContent-Length: 2\r\n\r\nab",
           "HTTP/1.1 200 OK\r\nContent-Length: 2\rX\r\nab",
           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\rXab",
           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\rab",
           "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\rX",
           "\rHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
       })
    {
      h1_probe probe (loop);

      start (probe);
      target->say (text);
      ASSERT_TRUE (probe.wait ()) << text;
      expect (probe, false, "", text);
      EXPECT_EQ (probe.end, H1_END_MALFORMED) << text;
    }
}

// Chunk extensions and trailer fields do not change the body.
TEST_F (H1Answers, ChunkExtensionsAndTrailersAreIgnored)
{
  for (const char *wire : {
           "5;a=\"b c\"\r\nhello\r\n0;x\r\n\r\n",
           "5 ; a\r\nhello\r\n0\r\nX: y\r\nZ: z\r\n\r\n",
           "00005\r\nhello\r\n000\r\n\r\n",
       })
    {
      h1_probe probe (loop);

      start (probe);
      target->say (std::string ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + wire);
      ASSERT_TRUE (probe.wait ()) << wire;
      expect (probe, true, "hello", wire);
      EXPECT_TRUE (is_used_again ()) << wire;
    }
}

// Failure: a response of many small chunks is rejected, because the parser adds up the bytes of all
// chunk-size lines against its header limit.
TEST_F (H1Answers, ManySmallChunksAreAccepted)
{
  static const struct h1_reader_ops ops = {
    .head = [] (struct h1_reader *) { return true; },
    .body = [] (struct h1_reader *, const char *, size_t) { return true; },
    .complete = [] (struct h1_reader *) {},
  };
  const std::string chunk = "00000001\r\na\r\n";
  struct h1_reader reader;
  size_t used;

  h1_reader_init (&reader, &ops, HTTP_RESPONSE, H1_HEAD_BYTES_MAX);
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 12000; i++)
    text += chunk;
  for (char byte : text + "0\r\n\r\n")
    ASSERT_EQ (h1_read (&reader, &byte, 1, &used), STATUS_OK) << status_message ();
  EXPECT_TRUE (reader.done);
  h1_reader_clear (&reader);
}

// Failure: a head is accepted for which two readers may find different ends of the body, or whose
// transfer coding is not decoded and would be delivered as the body.
TEST_F (H1Answers, AmbiguousFramingIsMalformed)
{
  for (const char *fields : {
           "Content-Length : 5\r\n",
           " Content-Length: 5\r\n",
           "Content-Length: 5\r\nContent-Length: 5\r\n",
           "Content-Length: 5\r\nContent-Length: 4\r\n",
           "Content-Length: 5, 5\r\n",
           "Content-Length: 5 5\r\n",
           "Content-Length: 5\r\n 5\r\n",
           "Content-Length: +5\r\n",
           "Content-Length: -5\r\n",
           "Content-Length: 0x5\r\n",
           "Content-Length: 99999999999999999999\r\n",
           "Content-Length:\r\n",
           "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
           "Transfer-Encoding: identity\r\nContent-Length: 5\r\n",
           "Transfer-Encoding: gzip\r\n",
           "Transfer-Encoding: gzip, chunked\r\n",
           "Transfer-Encoding: chunked, gzip\r\n",
           "Transfer-Encoding: chunked, chunked\r\n",
           "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: xchunked\r\n",
           "Transfer-Encoding: chun\r\n ked\r\n",
           "Transfer-Encoding : chunked\r\n",
           "Transfer-Encoding:\r\n",
       })
    {
      h1_probe probe (loop);

      start (probe);
      target->say (std::string ("HTTP/1.1 200 OK\r\n") + fields + "\r\n5\r\nhello\r\n0\r\n\r\n");
      turn ();
      target->hang_up ();
      ASSERT_TRUE (probe.wait ()) << fields;
      expect (probe, false, "", fields);
      EXPECT_EQ (probe.end, H1_END_MALFORMED) << fields;
    }
}

// HTTP/1.0 has no chunked coding, so an intermediary may not have understood the framing: the
// connection is not reused.
TEST_F (H1Answers, ChunkedHttp10ResponseClosesTheConnection)
{
  h1_probe probe (loop);

  start (probe);
  target->say ("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n"
               + CHUNKS);
  ASSERT_TRUE (probe.wait ());
  expect (probe, true, BODY, "");
  EXPECT_FALSE (is_used_again ());
}

// ---- responses without a body, and skipped responses ----

struct bodiless
{
  const char *text;
  bool no_body; // the request is a HEAD
};

// Failure: the client waits for the announced length of a response that has no body, and takes the
// next response for that body.
TEST_F (H1Answers, BodilessResponseEndsWithItsHead)
{
  const std::vector<bodiless> answers = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true },
    { "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
      true },
    { "HTTP/1.1 418 Teapot\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true },
    { "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
      false },
    { "HTTP/1.1 204 No Content\r\n\r\n", false },
    { "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", false },
    { "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", false },
    { "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", false },
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false },
  };

  for (const auto &answer : answers)
    for (size_t n = 0; n < strlen (answer.text); n++)
      {
        std::string text = answer.text;
        std::string what = text + " split at " + std::to_string (n);
        h1_probe probe (loop);

        probe.foreign = 418;
        probe.call.no_body = answer.no_body;
        start (probe, true);
        target->say (text.substr (0, n));
        await (probe, false, what);
        target->say (text.substr (n));
        turn ();
        turn ();
        ASSERT_EQ (probe.ends, 1) << what;
        expect (probe, true, "", what);
      }
}

// Failure: after a response without a body, the body of the next one on the connection is skipped.
TEST_F (H1Answers, ResponseAfterABodilessOneHasABody)
{
  for (const char *first : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
                             "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n" })
    {
      h1_probe head (loop);
      h1_probe probe (loop);

      head.call.no_body = true;
      start (head);
      target->say (first);
      ASSERT_TRUE (head.wait ());
      start (probe);
      EXPECT_TRUE (probe.call.reused);
      target->say ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
      ASSERT_TRUE (probe.wait ());
      expect (probe, true, "hello", first);
    }
}

// A 101 switches to another protocol, which no request asked for; a status below 100 is invalid.
TEST_F (H1Answers, InvalidStatusIsMalformed)
{
  for (const char *status : { "101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x",
                              "101 Switching Protocols", "099 Nothing", "000 Nothing" })
    {
      h1_probe probe (loop);

      start (probe);
      target->say (std::string ("HTTP/1.1 ") + status
                   + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      ASSERT_TRUE (probe.wait ()) << status;
      expect (probe, false, "", status);
      EXPECT_EQ (probe.end, H1_END_MALFORMED) << status;
    }
}

// A target that sent a response to another call may send more of them, so responses on this
// connection can no longer be matched to requests.
TEST_F (H1Answers, ResponseToAnotherCallClosesTheConnection)
{
  h1_probe probe (loop);

  probe.foreign = 418;
  start (probe);
  target->say ("HTTP/1.1 418 Teapot\r\nContent-Length: 3\r\n\r\nnot"
               "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  ASSERT_TRUE (probe.wait ());
  expect (probe, true, "hello", "");
  EXPECT_FALSE (is_used_again ());
}

// Failure: surplus bytes or an end of the connection that arrived before the next request was sent,
// but were not read yet, are taken for its response.
TEST_F (H1Answers, BytesReceivedBeforeTheRequestAreNotItsResponse)
{
  for (const char *more : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "" })
    {
      h1_probe first (loop);
      h1_probe probe (loop);

      start (first);
      target->say ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
      ASSERT_TRUE (first.wait ());
      if (*more != '\0')
        target->say (more);
      else
        target->hang_up ();
      start (probe);
      EXPECT_FALSE (probe.call.reused);
      target->say ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
      ASSERT_TRUE (probe.wait ());
      expect (probe, true, "right", more);
    }
}

// Failure: a request that did not fit its buffer is sent in part.
TEST_F (H1Client, DoesNotSendAnIncompleteMessage)
{
  h1_probe probe (loop);
  struct bytes message;

  bytes_init (&message, nullptr);
  bytes_append_limited (&message, "GET / HTTP/1.1\r\n", 16, 16);
  bytes_append_limited (&message, "Host: h\r\n\r\n", 11, 16);
  EXPECT_EQ (h1_call_start (client, &probe.call, target->address ().c_str (), &message, true,
                            loop_now (loop)),
             STATUS_NO_MEMORY);
  bytes_clear (&message);
  for (int i = 0; i < 3; i++)
    loop_run_once (loop, USEC_PER_MSEC);
  target->look ();
  EXPECT_EQ (target->connections, 0);
}

}
