// The HTTP client against servers that behave correctly, are slow, truncate their answers or close
// the connection.
#include "unit_edges_client.h"
#include <memory>

namespace
{

TEST (HttpClient, DeliversCompleteAnswersOverOneConnection)
{
  struct test_server server;
  struct test_client client (server.loop);
  std::string body (100000, 'b');

  server.on_request = [&] (struct http_exchange *exchange) {
    const struct http_field field = { "x-request-id", http_header (exchange, "x-request-id") };

    EXPECT_STREQ (http_header (exchange, "connection"), nullptr);
    exchange->ops->reply (exchange, 201, &field, 1, exchange->body, exchange->body_length);
  };
  for (int i = 0; i < 20; i++)
    {
      call_probe probe;
      std::string path = "/p" + std::to_string (i);

      client.start (probe, server.port (), path, i % 2 == 0 ? body : "");
      ASSERT_TRUE (run_until (server.loop, [&] { return probe.over (); }));
      ASSERT_EQ (probe.ends, 1) << i << status_message ();
      EXPECT_EQ (probe.code, 201);
      EXPECT_EQ (probe.id, path);
      EXPECT_EQ (probe.body, i % 2 == 0 ? body : "");
    }
  EXPECT_EQ (server.counted ("cherryarch_http_connections_accepted"), 1);
}

// One stage of a request takes long.  Calls of other requests to the same target must neither wait
// for it nor receive its answer, in whatever order the answers arrive.
TEST (HttpClient, CallsToOneAddressAreIndependentOfEachOther)
{
  struct test_server server;
  struct test_client client (server.loop);
  std::vector<struct http_exchange *> held;
  std::vector<std::unique_ptr<call_probe>> probes;

  server.on_request = [&] (struct http_exchange *exchange) { held.push_back (exchange); };
  for (int round = 0; round < 2; round++)
    {
      probes.clear ();
      held.clear ();
      for (int i = 0; i < 200; i++)
        {
          probes.push_back (std::make_unique<call_probe> ());
          client.start (*probes.back (), server.port (), "/p" + std::to_string (i), "x");
        }
      ASSERT_TRUE (run_until (server.loop, [&] { return held.size () == 200; })) << held.size ();
      for (size_t i = held.size (); i-- > 0;)
        {
          const struct http_field field = { "x-request-id", http_header (held[i], "x-request-id") };

          held[i]->ops->reply (held[i], 200, &field, 1, field.value, strlen (field.value));
        }
      ASSERT_TRUE (run_until (server.loop, [&] {
        for (auto &probe : probes)
          if (!probe->over ())
            return false;
        return true;
      }));
      for (int i = 0; i < 200; i++)
        {
          EXPECT_EQ (probes[i]->ends, 1);
          EXPECT_EQ (probes[i]->id, "/p" + std::to_string (i));
          EXPECT_EQ (probes[i]->body, "/p" + std::to_string (i));
        }
    }
  // The second round reused the connections of the first.
  EXPECT_EQ (server.counted ("cherryarch_http_connections_accepted"), 200);
}

struct cut_answer
{
  const char *story;
  const char *bytes;
};

// A target fails in the middle of its answer, in one of several ways.  A partial answer must never
// be reported as complete.
TEST (HttpClient, FailsATruncatedAnswer)
{
  struct loop *loop = loop_new (nullptr, 200);
  const std::vector<cut_answer> answers = {
    { "nothing", "" },
    { "half a head", "HTTP/1.1 200 OK\r\ncontent-le" },
    { "head without its body", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n" },
    { "half a body", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello" },
    { "no chunk", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" },
    { "half a chunk", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nhello" },
    { "chunks without an end",
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n" },
    { "an end without its last line",
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r" },
    { "neither length nor chunks", "HTTP/1.1 200 OK\r\n\r\nhello" },
    { "neither, and the connection closes", "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello" },
    { "no HTTP", "hello, world, this is no HTTP\r\n\r\n" },
    { "length not a number", "HTTP/1.1 200 OK\r\ncontent-length: 5x\r\n\r\nhello" },
    { "negative length", "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\nhello" },
    { "chunk size not a number",
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n" },
    { "chunk with an extension that ends with LF alone",
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3;x=y\nllo\r\n0\r\n\r\n" },
    { "chunk with an extension, and no last chunk",
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3;x=y\r\nllo\r\n" },
    { "a redirect",
      "HTTP/1.1 302 Found\r\nlocation: http://127.0.0.1:1/\r\ncontent-length: 5\r\n\r\nhe" },
  };

  for (bool at_once : { true, false })
    for (const cut_answer &answer : answers)
      {
        struct test_client client (loop);
        struct raw_server server (loop);
        call_probe probe;

        client.start (probe, server.port (), "/x", "body");
        ASSERT_TRUE (server.wait_request ("body"));
        for (const char *at = answer.bytes; *at != '\0'; at += at_once ? strlen (at) : 1)
          {
            ::send (server.taken.back (), at, at_once ? strlen (at) : 1, MSG_NOSIGNAL);
            if (!at_once || at[1] == '\0')
              loop_run_once (loop, 0);
          }
        for (int i = 0; i < 3; i++)
          loop_run_once (loop, USEC_PER_MSEC);
        server.hang_up (at_once);
        ASSERT_TRUE (run_until (loop, [&] { return probe.over (); })) << answer.story;
        EXPECT_EQ (probe.failures, 1) << answer.story;
        EXPECT_EQ (probe.ends, 0) << answer.story;
        EXPECT_TRUE (probe.sent) << answer.story;
        for (int i = 0; i < 3; i++)
          loop_run_once (loop, USEC_PER_MSEC);
        EXPECT_EQ (probe.failures + probe.ends, 1) << answer.story;
      }
  talloc_free (loop);
}

// Servers end an answer in several ways; some close the connection right after it.
TEST (HttpClient, AcceptsACompleteAnswerHoweverItsConnectionEnds)
{
  struct loop *loop = loop_new (nullptr, 200);
  const std::vector<std::string> answers = {
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nconnection: close\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n"
    "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello",
  };

  for (bool at_once : { true, false })
    for (const std::string &answer : answers)
      {
        struct test_client client (loop);
        struct raw_server server (loop);
        call_probe probe;

        client.start (probe, server.port (), "/x", "body");
        ASSERT_TRUE (server.wait_request ("body"));
        for (size_t at = 0; at < answer.size (); at += at_once ? answer.size () : 1)
          {
            server.send (at_once ? answer : answer.substr (at, 1));
            if (!at_once)
              loop_run_once (loop, 0);
          }
        server.hang_up ();
        ASSERT_TRUE (run_until (loop, [&] { return probe.over (); })) << answer;
        EXPECT_EQ (probe.ends, 1) << answer << at_once;
        EXPECT_EQ (probe.body, "hello") << answer << at_once;
        for (int i = 0; i < 3; i++)
          loop_run_once (loop, USEC_PER_MSEC);
        EXPECT_EQ (probe.failures + probe.ends, 1) << answer;
      }
  talloc_free (loop);
}

// Guards against a request that is sent although it was withdrawn while its connection was opened.
TEST (HttpClient, DoesNotSendACallWithdrawnWhileItsConnectionWasOpened)
{
  struct test_server server;
  struct test_client client (server.loop);
  call_probe withdrawn;
  call_probe next;
  int requests = 0;

  server.on_request = [&] (struct http_exchange *exchange) {
    requests++;
    exchange->ops->reply (exchange, 200, nullptr, 0, "x", 1);
  };
  client.start (withdrawn, server.port (), "/a");
  withdrawn.withdrawn = true;
  ASSERT_TRUE (run_until (server.loop, [&] { return withdrawn.over (); }));
  EXPECT_EQ (withdrawn.failures, 1);
  EXPECT_EQ (withdrawn.why, STATUS_UNAVAILABLE);
  EXPECT_FALSE (withdrawn.sent);
  client.start (next, server.port (), "/b");
  ASSERT_TRUE (run_until (server.loop, [&] { return next.over (); }));
  EXPECT_EQ (next.ends, 1);
  EXPECT_EQ (requests, 1);
  EXPECT_EQ (server.counted ("cherryarch_http_connections_accepted"), 1);
}

// Nothing listens at the address.  Nothing was sent, so the request may be retried at another
// target.
TEST (HttpClient, ReportsNothingSentWhenTheConnectionIsRefused)
{
  struct loop *loop = loop_new (nullptr, 200);
  struct test_client client (loop);
  uint16_t port;

  {
    struct raw_server gone (loop);
    port = gone.port ();
  }
  for (int i = 0; i < 3; i++)
    {
      call_probe probe;

      client.start (probe, port, "/x", "body");
      ASSERT_TRUE (run_until (loop, [&] { return probe.over (); }));
      EXPECT_EQ (probe.failures, 1);
      EXPECT_EQ (probe.why, STATUS_UNAVAILABLE);
      EXPECT_FALSE (probe.sent);
    }
  talloc_free (loop);
}

// The machine of a target neither accepts nor refuses a connection: its accept queue is full.
TEST (HttpClient, ReportsAConnectTimeout)
{
  struct loop *loop = loop_new (nullptr, 200);
  struct test_client client (loop, 10, 100 * USEC_PER_MSEC);
  struct raw_server silent (loop);
  struct sockaddr_in address = {};
  std::vector<int> waiting;
  call_probe probe;

  ASSERT_EQ (listen (silent.listener, 0), 0);
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (silent.port ());
  for (int i = 0; i < 4; i++)
    {
      waiting.push_back (socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void) connect (waiting.back (), reinterpret_cast<struct sockaddr *> (&address),
                      sizeof address);
    }
  client.start (probe, silent.port (), "/x", "body");
  ASSERT_TRUE (run_until (loop, [&] { return probe.over (); }));
  EXPECT_EQ (probe.why, STATUS_TIMEOUT);
  EXPECT_FALSE (probe.sent);
  for (int fd : waiting)
    close (fd);
  talloc_free (loop);
}

// A target closes the idle connection between two calls.  The second call uses a new connection;
// where the close crosses the request in flight, the call fails as sent and is not sent again.
TEST (HttpClient, ReconnectsAfterTheServerClosedAnIdleConnection)
{
  struct loop *loop = loop_new (nullptr, 200);
  struct test_client client (loop);
  struct raw_server server (loop);
  const std::string answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

  for (int round = 0; round < 3; round++)
    {
      call_probe probe;

      client.start (probe, server.port (), "/x", "body");
      ASSERT_TRUE (server.wait_request ("body"));
      server.send (answer);
      ASSERT_TRUE (run_until (loop, [&] { return probe.over (); }));
      EXPECT_EQ (probe.ends, 1) << round;
      server.hang_up ();
      for (int i = 0; i < 3; i++)
        loop_run_once (loop, USEC_PER_MSEC);
    }

  call_probe first;
  client.start (first, server.port (), "/x", "body");
  ASSERT_TRUE (server.wait_request ("body"));
  server.send (answer);
  ASSERT_TRUE (run_until (loop, [&] { return first.over (); }));
  server.hang_up (); // no loop iteration before the next call
  call_probe crossed;
  client.start (crossed, server.port (), "/y", "body");
  ASSERT_TRUE (run_until (loop, [&] {
    int fd = accept4 (server.listener, nullptr, nullptr, SOCK_NONBLOCK);

    if (fd >= 0)
      server.taken.push_back (fd);
    return crossed.over () || !server.taken.empty ();
  }));
  if (!crossed.over ())
    { // a new connection must receive the request from its first byte
      EXPECT_TRUE (server.wait_request ("body"));
      server.send (answer);
      EXPECT_TRUE (run_until (loop, [&] { return crossed.over (); }));
      EXPECT_EQ (crossed.ends, 1);
    }
  else
    {
      EXPECT_EQ (crossed.failures, 1);
      EXPECT_TRUE (crossed.sent);
      for (int i = 0; i < 3; i++)
        loop_run_once (loop, USEC_PER_MSEC);
      EXPECT_LT (accept4 (server.listener, nullptr, nullptr, SOCK_NONBLOCK), 0);
    }
  talloc_free (loop);
}

// A target accepts the request and never answers.  The call ends at its deadline; the connection is
// not reused, because another call could receive the late answer.
TEST (HttpClient, EndsACallAtItsDeadlineAndDropsTheConnection)
{
  struct loop *loop = loop_new (nullptr, 200);
  struct test_client client (loop);
  struct raw_server server (loop);
  call_probe late;
  call_probe next;

  client.start (late, server.port (), "/late", "body", 50 * USEC_PER_MSEC);
  ASSERT_TRUE (server.wait_request ("body"));
  ASSERT_TRUE (run_until (loop, [&] { return late.over (); }));
  EXPECT_EQ (late.why, STATUS_TIMEOUT);
  EXPECT_TRUE (late.sent);
  client.start (next, server.port (), "/next", "other");
  ASSERT_TRUE (server.wait_request ("other"));
  ASSERT_EQ (server.taken.size (), 2u);
  ::send (server.taken[0], "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate", 41, MSG_NOSIGNAL);
  for (int i = 0; i < 3; i++)
    loop_run_once (loop, USEC_PER_MSEC);
  EXPECT_FALSE (next.over ());
  server.send ("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext");
  ASSERT_TRUE (run_until (loop, [&] { return next.over (); }));
  EXPECT_EQ (next.body, "next");
  talloc_free (loop);
}

// The caller disconnects and the call is cancelled: before it is connected, while it waits, or from
// within an event.  The server sees the connection close, and no event follows.
TEST (HttpClient, CancelsAtAnyPoint)
{
  struct test_server server;
  struct test_client client (server.loop);
  static int closed;
  static const struct http_watcher_ops ops = { .closed = [] (struct http_watcher *, int64_t) {
    closed++;
  } };
  struct http_watcher watcher = { &ops };
  struct http_exchange *held = nullptr;

  closed = 0;
  server.on_request = [&] (struct http_exchange *exchange) {
    exchange->watcher = &watcher;
    held = exchange;
  };
  call_probe early;
  client.client->ops->cancel (client.client, client.start (early, server.port (), "/early", "x"));
  call_probe waiting;
  struct http_call *call = client.start (waiting, server.port (), "/waiting", "x");
  ASSERT_TRUE (run_until (server.loop, [&] { return held != nullptr; }));
  client.client->ops->cancel (client.client, call);
  ASSERT_TRUE (run_until (server.loop, [&] { return closed == 1; }));
  call_probe inside;
  held = nullptr;
  call = client.start (inside, server.port (), "/inside", "x");
  inside.on_data = [&] { client.client->ops->cancel (client.client, call); };
  ASSERT_TRUE (run_until (server.loop, [&] { return held != nullptr; }));
  held->ops->begin (held, 200, nullptr, 0);
  held->ops->write (held, "one", 3);
  ASSERT_TRUE (run_until (server.loop, [&] { return closed == 2; }));
  EXPECT_EQ (inside.body, "one");
  EXPECT_FALSE (early.over () || waiting.over () || inside.over ());
  call_probe after;
  server.on_request = test_server::echo;
  client.start (after, server.port (), "/after", "x");
  ASSERT_TRUE (run_until (server.loop, [&] { return after.over (); }));
  EXPECT_EQ (after.ends, 1);
}

TEST (HttpClient, DeliversAStreamInOrderAndLimitsTheAnswerSize)
{
  struct test_server server;
  struct test_client client (server.loop);
  struct http_exchange *held = nullptr;
  call_probe probe;
  std::string all;

  server.on_request = [&] (struct http_exchange *exchange) { held = exchange; };
  client.start (probe, server.port (), "/stream", "x");
  ASSERT_TRUE (run_until (server.loop, [&] { return held != nullptr; }));
  held->ops->begin (held, 200, nullptr, 0);
  for (int i = 0; i < 500; i++)
    {
      std::string piece = "data: " + std::to_string (i) + "\n\n";

      held->ops->write (held, piece.data (), piece.size ());
      all += piece;
      if (i % 50 == 0)
        loop_run_once (server.loop, 0);
    }
  held->ops->finish (held);
  ASSERT_TRUE (run_until (server.loop, [&] { return probe.over (); }));
  EXPECT_EQ (probe.ends, 1);
  EXPECT_EQ (probe.body, all);

  call_probe large;
  std::string body (5 << 20, 'l');
  server.on_request = [&] (struct http_exchange *exchange) {
    exchange->ops->reply (exchange, 200, nullptr, 0, body.data (), body.size ());
  };
  client.start (large, server.port (), "/large", "x");
  ASSERT_TRUE (run_until (server.loop, [&] { return large.over (); }));
  EXPECT_EQ (large.why, STATUS_TOO_LARGE);
}

TEST (HttpClient, RefusesCallsOverItsLimitAndHeadersWithLineBreaks)
{
  struct test_server server;
  struct test_client client (server.loop, 1);
  call_probe first;
  call_probe second;
  const struct http_field bad = { "x-request-id", "a\r\nx-organisation: other" };
  struct http_call_spec spec = {};
  struct http_call *call = nullptr;

  server.on_request = [] (struct http_exchange *) {};
  spec.address = "127.0.0.1:1";
  spec.method = "GET";
  spec.path = "/";
  spec.headers = &bad;
  spec.n_headers = 1;
  EXPECT_EQ (client.client->ops->start (client.client, &spec, &first.sink, 0, &call),
             STATUS_INVALID);
  spec.n_headers = 0;
  spec.path = "/ HTTP/1.1\r\n";
  EXPECT_EQ (client.client->ops->start (client.client, &spec, &first.sink, 0, &call),
             STATUS_INVALID);
  spec.path = "/";
  spec.address = "localhost:1";
  EXPECT_EQ (client.client->ops->start (client.client, &spec, &first.sink, 0, &call),
             STATUS_INVALID);
  client.start (first, server.port (), "/first");
  spec.address = "127.0.0.1:1";
  EXPECT_EQ (client.client->ops->start (client.client, &spec, &second.sink, 0, &call),
             STATUS_LIMIT);
}

} // namespace
