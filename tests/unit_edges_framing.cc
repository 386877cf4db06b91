// The HTTP client with answers truncated or corrupted at every byte: end() is called for a complete
// answer and no other, and the bytes passed to data() before are a prefix of the true body.
#include "unit_edges_client.h"
#include <algorithm>
#include <memory>

namespace
{

const std::string EVENTS = "id: 1\n\nid: \xc3\xa9\n\nid: 3\n\n";
const std::string LENGTH_HEAD = "HTTP/1.1 200 OK\r\ncontent-length: ";
const std::string CHUNKED_HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const int64_t SILENT_FOR = 400 * USEC_PER_MSEC;

// The result expected for the bytes of an answer, by a strict reading of its framing.
struct reading
{
  bool whole = false;
  std::string body;
};

size_t
hex_digits (const std::string &wire, size_t at)
{
  size_t n = 0;

  while (at + n < wire.size () && isxdigit (static_cast<unsigned char> (wire[at + n])))
    n++;
  return n;
}

// Parses chunks without extensions or trailers.
reading
read_chunks (const std::string &wire)
{
  reading out;
  size_t at = 0;

  while (true)
    {
      size_t digits = hex_digits (wire, at);
      size_t size =
          digits == 0 || digits > 16 ? 0 : std::stoull (wire.substr (at, digits), nullptr, 16);

      if (digits == 0 || digits > 16 || wire.compare (at + digits, 2, "\r\n") != 0)
        return out;
      at += digits + 2;
      out.body += wire.substr (at, size);
      if (wire.compare (std::min (at + size, wire.size ()), 2, "\r\n") != 0)
        return out;
      at += size + 2;
      if (size == 0)
        {
          out.whole = true;
          return out;
        }
    }
}

std::string
in_chunks (const std::string &body, size_t each)
{
  std::string out;
  char size[16];

  for (size_t at = 0; at < body.size (); at += each)
    {
      std::string part = body.substr (at, each);

      snprintf (size, sizeof size, "%zx\r\n", part.size ());
      out += size + part + "\r\n";
    }
  return out + "0\r\n\r\n";
}

enum class ending
{
  ORDERLY,
  RESET,
  SILENCE
};

class Framing : public ::testing::Test
{
protected:
  struct loop *loop = loop_new (nullptr, 600);
  std::unique_ptr<test_client> client = std::make_unique<test_client> (loop);
  std::unique_ptr<raw_server> server = std::make_unique<raw_server> (loop);

  void
  TearDown () override
  {
    server.reset ();
    client.reset ();
    talloc_free (loop);
  }

  // Starts a call and waits until the server has its request, on a new connection or (`used`) on
  // one that carried an answer before.
  void
  begin (call_probe &probe, bool used, int64_t span = EVENT_WAIT)
  {
    call_probe before;

    server = std::make_unique<raw_server> (loop);
    if (used)
      {
        client->start (before, server->port (), "/before", "body");
        ASSERT_TRUE (server->wait_request ("body"));
        server->send (LENGTH_HEAD + "2\r\n\r\nok");
        ASSERT_TRUE (run_until (loop, [&] { return before.over (); }));
        ASSERT_EQ (before.ends, 1);
      }
    client->start (probe, server->port (), "/x", "body", span);
    ASSERT_TRUE (server->wait_request ("body"));
  }

  // A reset discards what the client has not read, so one that follows a complete answer waits for
  // the end of the call.
  void
  deliver (const call_probe &probe, const std::string &wire, bool at_once, ending how, bool whole)
  {
    for (size_t at = 0; at < wire.size (); at += at_once ? wire.size () : 1)
      {
        std::string part = at_once ? wire : wire.substr (at, 1);

        ::send (server->taken.back (), part.data (), part.size (), MSG_NOSIGNAL);
        if (!at_once)
          loop_run_once (loop, 0);
      }
    if (how == ending::RESET && whole)
      run_until (loop, [&] { return probe.over (); });
    if (how != ending::SILENCE)
      server->hang_up (how == ending::RESET);
  }

  static void
  expect (const call_probe &probe, const reading &truth, const std::string &story)
  {
    EXPECT_EQ (probe.ends, truth.whole ? 1 : 0) << story;
    EXPECT_EQ (probe.ends + probe.failures, 1) << story;
    EXPECT_EQ (truth.body.compare (0, probe.body.size (), probe.body), 0) << story << probe.body;
    EXPECT_TRUE (!truth.whole || probe.body == truth.body) << story;
  }

  void
  play_way (const std::string &wire, const reading &truth, size_t way)
  {
    bool at_once = (way & 1) != 0;
    bool used = (way & 2) != 0;
    ending how = (way & 4) != 0 ? ending::RESET : ending::ORDERLY;
    call_probe probe;

    begin (probe, used);
    deliver (probe, wire, at_once, how, truth.whole);
    EXPECT_TRUE (run_until (loop, [&] { return probe.over (); })) << wire;
    expect (probe, truth, "way " + std::to_string (way) + " of " + wire + "\n");
  }

  // Plays one answer with every way of delivery and of ending the connection.
  void
  play (const std::string &wire, const reading &truth)
  {
    for (size_t way = 0; way < 8; way++)
      play_way (wire, truth, way);
  }
};

// A target fails after any byte of its answer: before the head, inside it, between events, inside
// an event, inside a character, after the last one.
TEST_F (Framing, AnswerTruncatedAnywhereIsIncomplete)
{
  const std::string length = LENGTH_HEAD + std::to_string (EVENTS.size ()) + "\r\n\r\n";
  const std::string chunks = in_chunks (EVENTS, 9);
  const std::string neither = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

  for (size_t cut = 0; cut <= length.size () + EVENTS.size (); cut++)
    play ((length + EVENTS).substr (0, cut), { cut == length.size () + EVENTS.size (), EVENTS });
  for (size_t cut = 0; cut <= chunks.size (); cut++)
    play (CHUNKED_HEAD + chunks.substr (0, cut), { cut == chunks.size (), EVENTS });
  for (size_t cut = 0; cut <= EVENTS.size (); cut += 3)
    play (neither + EVENTS.substr (0, cut), { false, "" });
}

// One byte of the framing is changed, missing or duplicated.
TEST_F (Framing, CorruptedChunksAreIncomplete)
{
  const std::string chunks = in_chunks ("hello, you", 5);
  const size_t last = chunks.size () - 5; // else an empty size line: see the next test
  std::vector<std::string> wires;

  for (size_t at = 0; at < chunks.size (); at++)
    {
      if (at != last)
        wires.push_back (chunks.substr (0, at) + chunks.substr (at + 1));
      wires.push_back (chunks.substr (0, at) + chunks[at] + chunks.substr (at));
      for (char other : std::string ("\r\n04f;x -"))
        if (other != chunks[at])
          wires.push_back (chunks.substr (0, at) + other + chunks.substr (at + 1));
    }
  for (size_t i = 0; i < wires.size (); i++)
    {
      reading truth = read_chunks (wires[i]);

      play_way (CHUNKED_HEAD + wires[i], truth, i * 2 % 8);
      play_way (CHUNKED_HEAD + wires[i], truth, i * 2 % 8 + 1);
    }
}

// The digit of the last chunk size is missing: an empty size is not a size of 0.
TEST_F (Framing, EmptyChunkSizeIsNotTheLastChunk)
{
  for (const char *wire : { "\r\n\r\n", "5\r\nhello\r\n\r\n\r\n" })
    play (CHUNKED_HEAD + wire, read_chunks (wire));
}

// A size that overflows the integer must not be read as the number of its last digits.
TEST_F (Framing, ChunkSizeThatOverflowsIsNotTruncated)
{
  for (const char *size : { "100000005", "ffffffff00000005", "10000000000000005" })
    for (const char *end : { "0\r\n\r\n", "5\r\n, you\r\n0\r\n\r\n" })
      {
        std::string wire = size + std::string ("\r\nhello\r\n") + end;

        play (CHUNKED_HEAD + wire, { false, "hello\r\n" + std::string (end) });
      }
}

// The data of a chunk is longer or shorter than its size.
TEST_F (Framing, ChunksWithAWrongSizeAreIncomplete)
{
  for (const char *size :
       { "3", "4", "6", "7", "05", "0000000000000005", "fffffffb", "+5", "0x5", "5 ", " 5" })
    for (const char *end : { "0\r\n\r\n", "5\r\n, you\r\n0\r\n\r\n" })
      {
        std::string wire = size + std::string ("\r\nhello\r\n") + end;

        play (CHUNKED_HEAD + wire, read_chunks (wire));
      }
}

// The body is longer or shorter than its Content-Length.
TEST_F (Framing, BodyNeverExceedsItsContentLength)
{
  for (int length : { 3, 4, 5, 6, 7 })
    {
      size_t n = static_cast<size_t> (length);

      play (LENGTH_HEAD + std::to_string (length) + "\r\n\r\nhello",
            { n <= 5, std::string ("hello").substr (0, n) });
    }
}

// The head specifies two ends of the body.  Readers may choose differently, so no part of the body
// is reliable.
TEST_F (Framing, AnswerWithConflictingFramingsIsIncomplete)
{
  const std::string both =
      "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n";
  const std::string two = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 5\r\n\r\n";
  const std::string list = "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n";

  for (const std::string &wire :
       { both + "hello", both + "5\r\nhello\r\n", both + in_chunks ("hello", 5),
         both + in_chunks ("hello, you", 5), two + "he", two + "hello",
         list + in_chunks ("hello", 5) })
    play (wire, { false, "hello, you" });
}

// The connection stays open, and the rest of the answer never arrives.
TEST_F (Framing, AnswerThatStallsIsIncomplete)
{
  const std::string chunks = CHUNKED_HEAD + in_chunks (EVENTS, 9);
  const std::string length = LENGTH_HEAD + std::to_string (EVENTS.size ()) + "\r\n\r\n" + EVENTS;
  std::vector<std::unique_ptr<raw_server>> servers;
  std::vector<std::unique_ptr<call_probe>> probes;

  for (const std::string &wire : { chunks, length })
    for (size_t cut = wire.size () - EVENTS.size (); cut < wire.size (); cut++)
      {
        probes.push_back (std::make_unique<call_probe> ());
        begin (*probes.back (), cut % 2 == 0, SILENT_FOR);
        deliver (*probes.back (), wire.substr (0, cut), cut % 3 == 0, ending::SILENCE, false);
        servers.push_back (std::move (server));
      }
  EXPECT_TRUE (run_until (loop, [&] {
    return std::all_of (probes.begin (), probes.end (),
                        [] (auto &probe) { return probe->over (); });
  }));
  for (auto &probe : probes)
    {
      expect (*probe, { false, EVENTS }, "silence");
      EXPECT_EQ (probe->why, STATUS_TIMEOUT);
    }
}

// A target sends more than its answer.  The next call to the same address must not read the excess
// data as its own answer.
TEST_F (Framing, DataAfterAnAnswerIsNotReadByTheNextCall)
{
  const std::string other = "HTTP/1.1 418 Teapot\r\ncontent-length: 4\r\n\r\nevil";

  for (const std::string &wire :
       { LENGTH_HEAD + "5\r\n\r\nhello" + other, CHUNKED_HEAD + in_chunks ("hello", 5) + other })
    for (bool at_once : { true, false })
      {
        call_probe probe;
        call_probe next;

        begin (probe, false);
        deliver (probe, wire, at_once, ending::SILENCE, true);
        ASSERT_TRUE (run_until (loop, [&] { return probe.over (); }));
        client->start (next, server->port (), "/next", "other");
        ASSERT_TRUE (server->wait_request ("other"));
        server->send (LENGTH_HEAD + "4\r\n\r\nours");
        EXPECT_TRUE (run_until (loop, [&] { return next.over (); }));
        EXPECT_TRUE (next.code == 0 || next.code == 200) << next.code;
        EXPECT_TRUE (next.ends == 1 ? next.body == "ours" : next.body.empty ()) << next.body;
      }
}

} // namespace
