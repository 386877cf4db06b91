// The HTTP/1.1 server: a response looks complete to its caller if, and only if, the handler ended
// it as complete and all of it was sent.
#include "h1_server.h"
#include "unit_edges_support.h"
#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string_view>

namespace
{

// ---- a strict reader of responses ----

enum caller_end
{
  CALLER_OPEN,
  CALLER_ORDERLY,
  CALLER_RESET
};

struct verdict
{
  bool whole = false;
  unsigned status = 0;
  std::string body;
  std::string rest; // bytes after the response
  std::string head; // lower case
};

std::string
field_of (const std::string &head, const std::string &name)
{
  size_t at = head.find ("\r\n" + name + ": ");

  if (at == std::string::npos)
    return "";
  at += name.size () + 4;
  return head.substr (at, head.find ("\r\n", at) - at);
}

// Decode a chunked body; true if it is complete, with the last chunk and the final empty line.
bool
read_chunks (const std::string &bytes, verdict &out)
{
  size_t at = 0;

  for (;;)
    {
      size_t line = bytes.find ("\r\n", at);
      size_t size = 0;

      if (line == std::string::npos)
        return false;
      if (sscanf (bytes.c_str () + at, "%zx", &size) != 1
          || bytes.find_first_not_of ("0123456789abcdef", at) != line)
        return false;
      at = line + 2;
      if (bytes.size () < at + size + 2)
        {
          out.body += bytes.substr (at);
          return false;
        }
      out.body.append (bytes, at, size);
      if (bytes.compare (at + size, 2, "\r\n") != 0)
        return false;
      at += size + 2;
      if (size == 0)
        {
          out.rest = bytes.substr (at);
          return true;
        }
    }
}

verdict
judge (const std::string &got, bool answers_head, enum caller_end end)
{
  verdict out;
  size_t at = got.find ("\r\n\r\n");

  if (at == std::string::npos)
    return out;
  out.head = got.substr (0, at + 2);
  std::transform (out.head.begin (), out.head.end (), out.head.begin (),
                  [] (unsigned char c) { return std::tolower (c); });
  sscanf (out.head.c_str (), "http/1.1 %u", &out.status);
  std::string behind = got.substr (at + 4);

  if (out.status < 200)
    return judge (behind, answers_head, end);
  std::string length = field_of (out.head, "content-length");
  bool chunked = field_of (out.head, "transfer-encoding") == "chunked";

  EXPECT_FALSE (chunked && length != "") << out.head;
  if (answers_head || out.status == 204 || out.status == 304)
    {
      out.whole = true;
      out.rest = behind;
    }
  else if (chunked)
    out.whole = read_chunks (behind, out);
  else if (length != "")
    {
      size_t n = std::stoull (length);

      out.whole = behind.size () >= n;
      out.body = behind.substr (0, n);
      out.rest = out.whole ? behind.substr (n) : "";
    }
  else
    {
      out.whole = end == CALLER_ORDERLY;
      out.body = behind;
    }
  return out;
}

// ---- a handler controlled by the test ----

struct answering
{
  struct h1_handler handler;
  std::vector<struct h1_exchange *> open;
  std::vector<std::string> targets; // of the received requests
  std::function<void (struct h1_exchange *)> serve;
  std::function<void (struct h1_exchange *)> left;
  int gone = 0;

  answering ()
  {
    static const struct h1_handler_ops ops = {
      .request =
          [] (struct h1_handler *base, struct h1_exchange *exchange, int64_t) {
            auto *self = reinterpret_cast<answering *> (base);

            self->targets.emplace_back (exchange->head->target);
            if (self->serve)
              self->serve (exchange);
            else
              self->open.push_back (exchange);
          },
      .gone =
          [] (struct h1_handler *base, struct h1_exchange *exchange, int64_t) {
            auto *self = reinterpret_cast<answering *> (base);

            self->gone++;
            std::erase (self->open, exchange);
            if (self->left)
              self->left (exchange);
          },
    };

    handler.ops = &ops;
  }

  struct h1_exchange *
  take ()
  {
    struct h1_exchange *exchange = open.front ();

    open.erase (open.begin ());
    return exchange;
  }
};

const size_t MUCH = 6u << 20;      // exceeds the kernel's socket buffers, fits the send buffer
const size_t TOO_MUCH = 24u << 20; // exceeds both
const size_t PIECE = 1u << 20;

class h1_server_test : public testing::Test
{
protected:
  ~h1_server_test () override
  {
    talloc_free (loop);
  }

  void
  start ()
  {
    struct h1_server_config config = {};

    config.loop = loop;
    config.listen = "127.0.0.1:0";
    config.handler = &answers.handler;
    config.limits = &limits;
    config.connections_max = 256;
    config.counters = counters;
    config.label = "clients";
    server = h1_server_new (loop, &config);
    ASSERT_NE (server, nullptr);
  }

  // Connect, send `request` and wait until the handler has received it.
  std::unique_ptr<raw_caller>
  ask (const std::string &request)
  {
    auto caller = std::make_unique<raw_caller> (loop, h1_server_port (server));
    size_t before = answers.targets.size ();

    caller->send (request);
    EXPECT_TRUE (run_until (loop, [&] { return answers.targets.size () > before; }));
    return caller;
  }

  static enum caller_end
  end_of (const raw_caller &caller)
  {
    if (!caller.closed)
      return CALLER_OPEN;
    return caller.reset ? CALLER_RESET : CALLER_ORDERLY;
  }

  struct loop *loop = loop_new_without_tls (nullptr, 512);
  struct counters *counters = counters_new (loop);
  struct h1_limits limits = { .header_bytes = 16384,
                              .body_bytes = 1u << 20,
                              .request_timeout = 10 * USEC_PER_SEC,
                              .idle_timeout = 60 * USEC_PER_SEC };
  answering answers;
  struct h1_server *server = nullptr;
};

// ---- every kind of response, caller and end ----

enum answer_kind
{
  ANSWER_AT_ONCE,
  ANSWER_LENGTH,
  ANSWER_STREAM,
  ANSWER_KINDS
};

const char *const answer_names[] = { "at once", "pieces with a length", "pieces without a length" };

struct caller_kind
{
  const char *name;
  const char *request;
  bool answers_head;
  bool slow;   // small buffers
  bool leaves; // resets before the response
  bool halves; // shuts down its sending side after the request
};

#define LINE_11 " / HTTP/1.1\r\nHost: h\r\n\r\n"
#define LINE_10 " / HTTP/1.0\r\n\r\n"
#define LINE_10_KEEP " / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"

const caller_kind caller_kinds[] = {
  { "HTTP/1.1", "GET" LINE_11, false, false, false, false },
  { "HTTP/1.0", "GET" LINE_10, false, false, false, false },
  { "HTTP/1.0 keep-alive", "GET" LINE_10_KEEP, false, false, false, false },
  { "HEAD HTTP/1.1", "HEAD" LINE_11, true, false, false, false },
  { "HEAD HTTP/1.0", "HEAD" LINE_10, true, false, false, false },
  { "HEAD HTTP/1.0 keep-alive", "HEAD" LINE_10_KEEP, true, false, false, false },
  { "slow HTTP/1.1", "GET" LINE_11, false, true, false, false },
  { "slow HTTP/1.0", "GET" LINE_10, false, true, false, false },
  { "left HTTP/1.1", "GET" LINE_11, false, false, true, false },
  { "left HTTP/1.0", "GET" LINE_10, false, false, true, false },
  { "half-closed HTTP/1.1", "GET" LINE_11, false, false, false, true },
  { "half-closed HTTP/1.0", "GET" LINE_10, false, true, false, true },
};

enum answer_end
{
  END_WHOLE,
  END_WHOLE_OF_MUCH,
  END_CUT_BEFORE_DATA,
  END_CUT_BETWEEN,
  END_CUT_UNSENT,
  END_OVERFLOW,
  END_OVERFLOW_THEN_WHOLE,
  END_FREED_BEFORE_DATA,
  END_FREED_BETWEEN,
  END_FREED_UNSENT,
  END_FREED_BEHIND_WHOLE,
  END_FREED_BEHIND_MUCH,
  END_KINDS
};

const char *const end_names[] = {
  "whole",           "whole, much",  "cut before data", "cut between",
  "cut with unsent", "overflow",     "overflow, end",   "freed before data",
  "freed between",   "freed unsent", "freed behind it", "freed behind much",
};

size_t
given (enum answer_end end)
{
  switch (end)
    {
    case END_CUT_BEFORE_DATA:
    case END_FREED_BEFORE_DATA:
      return 0;
    case END_WHOLE:
    case END_CUT_BETWEEN:
    case END_FREED_BETWEEN:
    case END_FREED_BEHIND_WHOLE:
      return 1000;
    case END_OVERFLOW:
    case END_OVERFLOW_THEN_WHOLE:
      return TOO_MUCH;
    default:
      return MUCH;
    }
}

bool
ends_whole (enum answer_end end)
{
  return end == END_WHOLE || end == END_WHOLE_OF_MUCH || end == END_OVERFLOW_THEN_WHOLE
         || end == END_FREED_BEHIND_WHOLE || end == END_FREED_BEHIND_MUCH;
}

bool
frees (enum answer_end end)
{
  return end >= END_FREED_BEFORE_DATA && end <= END_FREED_BEHIND_MUCH;
}

// No two pieces of the text are equal.
std::string_view
text_of (size_t size)
{
  static const std::string text = [] {
    std::string all;

    for (size_t i = 0; all.size () < TOO_MUCH; i++)
      all += std::to_string (i) + " ";
    return all;
  }();

  return std::string_view (text).substr (0, size);
}

// The server's H1_LINGER_TIMEOUT.
const int64_t LAST_WAIT = 2 * USEC_PER_SEC;

class answer_table : public h1_server_test
{
protected:
  int64_t given_at = 0;

  void
  give (struct h1_exchange *exchange, enum answer_kind answer, enum answer_end end)
  {
    std::string_view text = text_of (given (end));
    // The head of a truncated response announces more than is sent.
    size_t length = text.size () + (ends_whole (end) || end == END_OVERFLOW ? 0 : 1);

    if (answer == ANSWER_AT_ONCE)
      {
        h1_reply (exchange, 200, nullptr, text.data (), text.size ());
        return;
      }
    h1_reply_begin (exchange, 200, nullptr,
                    answer == ANSWER_LENGTH ? static_cast<int64_t> (length) : -1);
    for (size_t at = 0; at < text.size (); at += PIECE)
      h1_reply_data (exchange, text.data () + at, std::min (PIECE, text.size () - at));
    if (ends_whole (end))
      h1_reply_end (exchange, true);
    else if (end <= END_CUT_UNSENT)
      h1_reply_end (exchange, false);
  }

  void
  act (raw_caller &caller, const caller_kind &kind)
  {
    const struct linger at_once = { 1, 0 };

    if (kind.leaves)
      {
        setsockopt (caller.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        caller.shut ();
      }
    if (kind.halves)
      shutdown (caller.fd, SHUT_WR);
  }

  void
  play (enum answer_kind answer, const caller_kind &kind, enum answer_end end)
  {
    start ();
    auto other = ask ("GET /other HTTP/1.0\r\n\r\n");
    struct h1_exchange *others = answers.take ();
    auto caller = ask (kind.request, kind.slow);
    struct h1_exchange *exchange = answers.take ();

    h1_reply_begin (others, 200, nullptr, -1);
    h1_reply_data (others, "ot", 2);
    act (*caller, kind);
    given_at = loop_now (loop);
    give (exchange, answer, end);
    if (frees (end))
      {
        talloc_free (server);
        server = nullptr;
      }
    else
      {
        h1_reply_data (others, "her", 3);
        h1_reply_end (others, true);
        EXPECT_TRUE (other->wait_closed ());
        verdict seen = judge (other->got, false, end_of (*other));

        EXPECT_TRUE (seen.whole);
        EXPECT_EQ (seen.body, "other");
      }
    if (!kind.leaves)
      look (*caller, kind, end);
    caller.reset ();
    other.reset ();
    if (server != nullptr)
      {
        EXPECT_TRUE (run_until (loop, [&] { return h1_server_connections (server) == 0; }));
        EXPECT_EQ (h1_server_pending (server), 0u);
        talloc_free (server);
      }
    server = nullptr;
    answers.open.clear ();
  }

  void
  look (raw_caller &caller, const caller_kind &kind, enum answer_end end)
  {
    std::string_view text = text_of (given (end));
    verdict seen;

    EXPECT_TRUE (run_until (loop, [&] {
      caller.read_some ();
      if (caller.got.size () < 4096 || caller.closed || caller.got.size () >= text.size ())
        seen = judge (caller.got, kind.answers_head, end_of (caller));
      return seen.whole || caller.closed;
    }));
    EXPECT_EQ (seen.rest, "");
    if (kind.answers_head)
      {
        std::string length = field_of (seen.head, "content-length");

        EXPECT_TRUE (seen.whole);
        EXPECT_NE (length, "0");
        return;
      }
    if (seen.whole)
      {
        EXPECT_TRUE (ends_whole (end));
        EXPECT_TRUE (seen.body == text) << seen.body.size () << " of " << text.size ();
      }
    // A half-close by the caller, freeing the server or its linger timeout may truncate what was
    // not sent yet.
    bool in_time = loop_now (loop) - given_at < LAST_WAIT;
    bool due = end == END_WHOLE || end == END_FREED_BEHIND_WHOLE
               || (end == END_WHOLE_OF_MUCH && !kind.halves && in_time);

    EXPECT_TRUE (seen.whole || !due);
    EXPECT_TRUE (seen.body == text.substr (0, seen.body.size ()));
  }

  std::unique_ptr<raw_caller>
  ask (const std::string &request, bool slow = false)
  {
    auto caller = h1_server_test::ask (request);
    int small = 65536;

    if (slow)
      setsockopt (caller->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    return caller;
  }
};

TEST_F (answer_table, ResponseLooksCompleteOnlyIfItIs)
{
  for (int answer = 0; answer < ANSWER_KINDS; answer++)
    for (const caller_kind &kind : caller_kinds)
      for (int end = 0; end < END_KINDS; end++)
        {
          SCOPED_TRACE (std::string (answer_names[answer]) + ", " + kind.name + ", "
                        + end_names[end]);

          // h1_reply() always sends a complete response.
          if (answer == ANSWER_AT_ONCE && !ends_whole (static_cast<enum answer_end> (end)))
            continue;
          play (static_cast<enum answer_kind> (answer), kind, static_cast<enum answer_end> (end));
        }
}

// Failure: a response looks complete to a reader that is so slow that the server's linger timeout
// expires first.
TEST_F (answer_table, TooSlowReaderSeesATruncatedResponse)
{
  std::vector<std::unique_ptr<raw_caller>> callers;
  std::string_view text = text_of (MUCH);

  start ();
  for (int answer = 0; answer < ANSWER_KINDS; answer++)
    for (const char *request :
         { "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "GET / HTTP/1.0\r\n\r\n" })
      {
        callers.push_back (ask (request, true));
        give (answers.take (), static_cast<enum answer_kind> (answer), END_WHOLE_OF_MUCH);
      }
  EXPECT_TRUE (run_until (loop, [&] { return h1_server_connections (server) == 0; }));
  for (auto &caller : callers)
    {
      EXPECT_TRUE (caller->wait_closed ());
      verdict seen = judge (caller->got, false, end_of (*caller));

      EXPECT_LT (seen.body.size (), text.size ());
      EXPECT_FALSE (seen.whole) << seen.head;
    }
}

// ---- single responses ----

class h1_answers : public h1_server_test
{
protected:
  // Read until the next response is complete or the connection has ended, and remove the response
  // from the received bytes.
  verdict
  next (raw_caller &caller, bool answers_head = false)
  {
    verdict seen;

    EXPECT_TRUE (run_until (loop, [&] {
      caller.read_some ();
      seen = judge (caller.got, answers_head, end_of (caller));
      return seen.whole || caller.closed;
    }));
    caller.got = seen.rest;
    return seen;
  }
};

// Failure: a response to HEAD announces a length of 0 although GET has a body.
TEST_F (h1_answers, HeadResponseOmitsAnUnknownLength)
{
  start ();
  auto caller = ask ("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");

  h1_reply (answers.take (), 200, nullptr, nullptr, 0);
  verdict seen = next (*caller, true);

  EXPECT_EQ (seen.status, 200u);
  EXPECT_EQ (field_of (seen.head, "content-length"), "");
  EXPECT_EQ (field_of (seen.head, "transfer-encoding"), "");
  answers.serve = [] (struct h1_exchange *exchange) {
    h1_reply (exchange, 200, nullptr, "four", 4);
  };
  caller->send ("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ (field_of (next (*caller, true).head, "content-length"), "4");
  caller->send ("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ (next (*caller).body, "four");
}

// Failure: a second Content-Length is added to the one that the handler sets for HEAD.
TEST_F (h1_answers, HeadResponseKeepsTheLengthOfItsHandler)
{
  start ();
  auto caller = ask ("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");

  h1_reply (answers.take (), 200, "Content-Length: 77\r\n", nullptr, 0);
  verdict seen = next (*caller, true);

  EXPECT_EQ (field_of (seen.head, "content-length"), "77");
  EXPECT_EQ (seen.head.find ("content-length"), seen.head.rfind ("content-length"));
}

// Failure: a body is sent after a 204 or 304, and the caller reads it as the next response.
TEST_F (h1_answers, BodilessStatusSendsNoBody)
{
  start ();
  for (unsigned status : { 204u, 304u })
    {
      auto caller = ask ("GET / HTTP/1.1\r\nHost: h\r\n\r\n");

      h1_reply (answers.take (), status, nullptr, "body", 4);
      verdict seen = next (*caller);

      EXPECT_EQ (seen.status, status);
      EXPECT_EQ (field_of (seen.head, "transfer-encoding"), "");
      EXPECT_TRUE (status != 204 || field_of (seen.head, "content-length") == "");
      caller->send ("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      EXPECT_TRUE (run_until (loop, [&] { return answers.open.size () == 1; }));
      h1_reply_begin (answers.open.front (), status, nullptr, -1);
      h1_reply_data (answers.open.front (), "body", 4);
      h1_reply_end (answers.take (), true);
      seen = next (*caller);
      EXPECT_EQ (seen.status, status);
      EXPECT_EQ (field_of (seen.head, "transfer-encoding"), "");
      caller->send ("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      EXPECT_TRUE (run_until (loop, [&] { return answers.open.size () == 1; }));
      h1_reply (answers.take (), 200, nullptr, "fine", 4);
      seen = next (*caller);
      EXPECT_EQ (seen.status, 200u);
      EXPECT_EQ (seen.body, "fine");
    }
}

// Failure: a body shorter than its announced length is filled up with bytes of the next response.
TEST_F (h1_answers, BodyShorterThanItsLengthIsTruncated)
{
  start ();
  auto caller = ask ("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  struct h1_exchange *exchange = answers.take ();

  answers.serve = [] (struct h1_exchange *of) { h1_reply (of, 200, nullptr, "next", 4); };
  h1_reply_begin (exchange, 200, nullptr, 10);
  h1_reply_data (exchange, "short", 5);
  h1_reply_end (exchange, true);
  verdict seen = next (*caller);

  EXPECT_FALSE (seen.whole) << seen.body;
  EXPECT_EQ (answers.targets.size (), 1u);
}

// Failure: bytes beyond the announced length are read as the next response.
TEST_F (h1_answers, BodyLongerThanItsLengthResetsTheConnection)
{
  start ();
  auto caller = ask ("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  struct h1_exchange *exchange = answers.take ();

  h1_reply_begin (exchange, 200, nullptr, 4);
  h1_reply_data (exchange, "long", 4);
  h1_reply_data (exchange, "er", 2);
  EXPECT_TRUE (caller->wait_closed ());
  EXPECT_EQ (judge (caller->got, false, end_of (*caller)).rest, "");
  EXPECT_TRUE (caller->reset);
}

// Failure: the response to a pipelined request is sent in the middle of the response before it.
TEST_F (h1_answers, PipelinedRequestsAreAnsweredInOrder)
{
  start ();
  auto caller = ask ("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                     "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  struct h1_exchange *exchange = answers.take ();

  answers.serve = [] (struct h1_exchange *of) {
    std::string text = of->head->target;

    h1_reply (of, 200, nullptr, text.data (), text.size ());
  };
  h1_reply_begin (exchange, 200, nullptr, -1);
  for (int i = 0; i < 5; i++)
    {
      h1_reply_data (exchange, "first ", 6);
      caller->send ("GET /" + std::to_string (4 + i) + " HTTP/1.1\r\nHost: h\r\n\r\n");
      loop_run_once (loop, 0);
    }
  EXPECT_EQ (answers.targets.size (), 1u);
  h1_reply_end (exchange, true);
  EXPECT_EQ (next (*caller).body, "first first first first first ");
  for (int i = 2; i < 9; i++)
    EXPECT_EQ (next (*caller).body, "/" + std::to_string (i));
  EXPECT_EQ (answers.targets.size (), 8u);
  EXPECT_EQ (caller->got, "");
}

// Failure: a pipelined request is handled although the response before it was truncated, so that
// its own response cannot reach the caller.
TEST_F (h1_answers, NoRequestIsHandledOnAFailedConnection)
{
  std::string_view text = text_of (TOO_MUCH);

  start ();
  auto caller = ask ("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");

  h1_reply (answers.take (), 200, nullptr, text.data (), text.size ());
  EXPECT_TRUE (run_until (loop, [&] { return h1_server_connections (server) == 0; }));
  EXPECT_EQ (answers.targets.size (), 1u);
  EXPECT_EQ (answers.gone, 0);
  EXPECT_EQ (h1_server_pending (server), 0u);
}

// A request with "Expect: 100-continue" that is rejected by its head or by its body size gets
// exactly one final response.
TEST_F (h1_answers, ExpectContinueGetsOneFinalResponse)
{
  limits.body_bytes = 8;
  start ();
  raw_caller announced (loop, h1_server_port (server));
  raw_caller sent (loop, h1_server_port (server));

  announced.send (
      "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n");
  EXPECT_TRUE (announced.wait_closed ());
  EXPECT_EQ (announced.count ("HTTP/1.1 "), 1u);
  EXPECT_EQ (announced.got.find ("HTTP/1.1 413"), 0u);
  sent.send ("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
  EXPECT_TRUE (sent.wait_for ("HTTP/1.1 100 Continue\r\n\r\n"));
  sent.send ("9\r\n123456789\r\n");
  EXPECT_TRUE (sent.wait_closed ());
  EXPECT_EQ (sent.count ("HTTP/1.1 "), 2u);
  EXPECT_EQ (judge (sent.got, false, end_of (sent)).status, 413u);
  EXPECT_EQ (answers.targets.size (), 0u);
}

// Failure: a process that exits when nothing is pending truncates a response that is not fully
// sent.
TEST_F (h1_answers, ResponseIsPendingUntilFullySent)
{
  std::string_view text = text_of (MUCH);

  start ();
  auto caller = ask ("GET / HTTP/1.1\r\nHost: h\r\n\r\n");

  h1_reply (answers.take (), 200, nullptr, text.data (), text.size ());
  EXPECT_EQ (h1_server_pending (server), 1u);
  EXPECT_TRUE (next (*caller).whole);
  EXPECT_EQ (h1_server_pending (server), 0u);
}

// Failure: a caller's reset while bytes are unsent disturbs the response to another caller.
TEST_F (h1_answers, ResetEndsOnlyItsOwnResponse)
{
  const struct linger at_once = { 1, 0 };
  std::string_view text = text_of (MUCH);

  start ();
  auto left = ask ("GET /left HTTP/1.1\r\nHost: h\r\n\r\n");
  auto stays = ask ("GET /stays HTTP/1.1\r\nHost: h\r\n\r\n");
  struct h1_exchange *cut = answers.open[0];
  struct h1_exchange *whole = answers.open[1];

  h1_reply_begin (cut, 200, nullptr, -1);
  h1_reply_begin (whole, 200, nullptr, -1);
  h1_reply_data (whole, "be", 2);
  h1_reply_data (cut, text.data (), text.size ());
  loop_run_once (loop, 0);
  setsockopt (left->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  left->shut ();
  EXPECT_TRUE (run_until (loop, [&] { return answers.gone == 1; }));
  ASSERT_EQ (answers.open.size (), 1u);
  ASSERT_EQ (answers.open[0], whole);
  h1_reply_data (whole, "gun", 3);
  h1_reply_end (whole, true);
  EXPECT_EQ (next (*stays).body, "begun");
  EXPECT_EQ (answers.gone, 1);
  EXPECT_EQ (h1_server_connections (server), 1u);
}

// ---- randomised ----

// A request and the response given to it.
struct asked
{
  bool head;
  std::string given;
  bool ended; // as complete
};

struct random_caller
{
  std::unique_ptr<raw_caller> line;
  std::vector<size_t> requests; // indexes of its requests, in order
  bool left = false;
};

class h1_random : public h1_server_test
{
protected:
  void
  SetUp () override
  {
    start ();
    answers.serve = [this] (struct h1_exchange *exchange) {
      size_t number = std::stoul (exchange->head->target + 1);

      EXPECT_TRUE (seen.insert (number).second) << "request " << number << " came twice";
      exchange->user = reinterpret_cast<void *> (number);
      if (draw (3) == 0)
        give (exchange);
      else
        answers.open.push_back (exchange);
    };
    answers.left = [this] (struct h1_exchange *exchange) { std::erase (begun, exchange); };
  }

  size_t
  draw (size_t below)
  {
    return random () % below;
  }

  std::string
  some_text ()
  {
    size_t size = draw (8) == 0 ? 200000 + draw (400000) : 1 + draw (2000);

    return std::string (text_of (TOO_MUCH).substr (draw (100000), size));
  }

  asked &
  of (struct h1_exchange *exchange)
  {
    return all[reinterpret_cast<size_t> (exchange->user)];
  }

  // Send a complete response, or the head of a streamed one.
  void
  give (struct h1_exchange *exchange)
  {
    asked &at = of (exchange);
    std::string text = some_text ();

    if (draw (2) == 0)
      {
        at.given = text;
        at.ended = true;
        h1_reply (exchange, 200, nullptr, text.data (), text.size ());
        return;
      }
    begun.push_back (exchange);
    h1_reply_begin (exchange, 200, nullptr, -1);
  }

  void
  go_on (struct h1_exchange *exchange)
  {
    std::string text = some_text ();
    bool cut = draw (8) == 0;

    if (draw (3) != 0)
      {
        of (exchange).given += text;
        h1_reply_data (exchange, text.data (), text.size ());
        return;
      }
    std::erase (begun, exchange);
    of (exchange).ended = !cut;
    h1_reply_end (exchange, !cut);
  }

  void
  send_request ()
  {
    static const char *const lines[] = { " HTTP/1.1\r\nHost: h\r\n\r\n", " HTTP/1.0\r\n\r\n",
                                         " HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" };
    random_caller &caller = callers[draw (callers.size ())];
    bool head = draw (8) == 0;
    std::string text = (head ? "HEAD /" : "GET /") + std::to_string (all.size ()) + lines[draw (3)];

    if (caller.left)
      return;
    caller.requests.push_back (all.size ());
    all.push_back ({ head, "", false });
    // A socket error reported by send() is not reported again by a read.
    if (::send (caller.line->fd, text.data (), text.size (), MSG_NOSIGNAL) < 0 && errno != EAGAIN)
      caller.line->reset = true;
  }

  void
  leave (random_caller &caller)
  {
    const struct linger at_once = { 1, 0 };

    if (draw (2) == 0)
      {
        shutdown (caller.line->fd, SHUT_WR);
        return;
      }
    setsockopt (caller.line->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    caller.line->shut ();
    caller.left = true;
  }

  void
  step ()
  {
    size_t what = draw (20);

    // Replace the callers that are done.
    for (random_caller &caller : callers)
      whole += caller.left || caller.line->closed ? look (caller) : 0;
    std::erase_if (callers,
                   [] (const random_caller &caller) { return caller.left || caller.line->closed; });
    while (callers.size () < 8)
      callers.push_back ({ std::make_unique<raw_caller> (loop, h1_server_port (server)), {} });
    if (what < 5)
      send_request ();
    else if (what < 8 && !answers.open.empty ())
      give (answers.take ());
    else if (what < 14 && !begun.empty ())
      go_on (begun[draw (begun.size ())]);
    else if (what < 18 && !callers.empty ())
      read (callers[draw (callers.size ())]);
    else if (what == 18 && draw (10) == 0 && !callers.empty ())
      leave (callers[draw (callers.size ())]);
    loop_run_once (loop, 0);
  }

  static void
  read (random_caller &caller)
  {
    if (!caller.left && !caller.line->closed)
      caller.line->read_some ();
  }

  // Check that each response that looks complete was ended as complete and has the body that was
  // given; returns their number.
  size_t
  look (random_caller &caller)
  {
    size_t n = 0;

    if (caller.left)
      return 0;
    for (size_t number : caller.requests)
      {
        verdict verdict = judge (caller.line->got, all[number].head, end_of (*caller.line));

        if (!verdict.whole)
          break;
        n++;
        EXPECT_TRUE (all[number].head || all[number].ended) << "request " << number;
        EXPECT_TRUE (all[number].head || verdict.body == all[number].given)
            << "request " << number << ": " << verdict.body.size () << " of "
            << all[number].given.size ();
        caller.line->got = verdict.rest;
      }
    return n;
  }

  std::mt19937 random;
  std::vector<asked> all;
  std::vector<random_caller> callers;
  std::vector<struct h1_exchange *> begun;
  std::set<size_t> seen;
  size_t whole = 0; // responses that looked complete
};

// Concurrent callers with pipelined requests, truncated responses, callers that reset or
// half-close, and a server that is freed in between.
TEST_F (h1_random, NoTruncatedResponseLooksComplete)
{
  for (unsigned seed = 1; seed <= 30; seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      random.seed (seed);
      for (size_t i = 50 + draw (350); i > 0; i--)
        step ();
      talloc_free (server);
      for (random_caller &caller : callers)
        {
          EXPECT_TRUE (caller.left || caller.line->wait_closed ());
          whole += look (caller);
        }
      callers.clear ();
      all.clear ();
      begun.clear ();
      seen.clear ();
      answers.open.clear ();
      start ();
    }
  EXPECT_GT (whole, 300u) << "too few to tell";
}

} // namespace
