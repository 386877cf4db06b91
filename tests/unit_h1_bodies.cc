// HTTP/1.1 responses without a body in the client, incomplete requests, and slow readers of the
// server's last response.
#include "h1_client_harness.h"
#include "h1_server.h"

namespace
{

class H1ClientBodies : public H1Client
{
protected:
  // Run a call with `method` whose response leaves the connection open.
  void
  answer (h1_probe &probe, const char *method, const std::string &bytes)
  {
    probe.call.no_body = strcmp (method, "HEAD") == 0;
    start (probe, false, method);
    target->say (bytes);
    for (int i = 0; i < 20 && probe.ends == 0; i++)
      loop_run_once (loop, 10 * USEC_PER_MSEC);
  }
};

// Failure: the client waits for the body of a response to HEAD that follows an interim response or
// a response to another call.
TEST_F (H1ClientBodies, HeadResponseAfterASkippedResponseHasNoBody)
{
  for (const char *before : { "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 299 Other\r\n\r\n" })
    {
      h1_probe call (loop);

      call.foreign = 299;
      answer (call, "HEAD", std::string (before) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
      EXPECT_EQ (call.ends, 1) << before;
      EXPECT_EQ (call.end, H1_END_WHOLE) << before;
      target->hang_up ();
      for (int i = 0; i < 5; i++)
        loop_run_once (loop, 10 * USEC_PER_MSEC);
    }
}

// Failure: the client waits for a body because a 204 or 304 has a length or a transfer coding.
TEST_F (H1ClientBodies, ResponseWithABodilessStatusHasNoBody)
{
  for (const char *head : { "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
                            "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
                            "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n" })
    {
      h1_probe call (loop);
      h1_probe next (loop);

      answer (call, "GET", head);
      EXPECT_EQ (call.ends, 1) << head;
      EXPECT_EQ (call.end, H1_END_WHOLE) << head;
      if (call.ends == 0)
        continue;
      answer (next, "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      EXPECT_EQ (next.body, "ok") << head;
    }
}

// Failure: a request that ran out of memory while it was built is sent in part.
TEST_F (H1ClientBodies, IncompleteRequestIsNotSent)
{
  h1_probe call (loop);
  struct bytes message;

  bytes_init (&message, nullptr);
  bytes_append_text (&message, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n");
  message.failed = true;
  EXPECT_EQ (h1_call_start (client, &call.call, target->address ().c_str (), &message, false,
                            loop_now (loop)),
             STATUS_NO_MEMORY);
  bytes_clear (&message);
  for (int i = 0; i < 5; i++)
    {
      loop_run_once (loop, 10 * USEC_PER_MSEC);
      target->look ();
    }
  EXPECT_EQ (target->got, "");
}

struct fixed_handler
{
  struct h1_handler handler;
  std::string body;
};

// Failure: the server resets the connection two seconds after it queued the last byte, although the
// caller is still reading.
TEST (H1ServerReaders, SlowReaderReceivesTheWholeLastResponse)
{
  static const struct h1_handler_ops ops = {
    .request =
        [] (struct h1_handler *base, struct h1_exchange *exchange, int64_t) {
          const std::string &body = reinterpret_cast<fixed_handler *> (base)->body;

          h1_reply (exchange, 200, nullptr, body.data (), body.size ());
        },
    .gone = [] (struct h1_handler *, struct h1_exchange *, int64_t) {},
  };
  struct loop *loop = loop_new_without_tls (nullptr, 64);
  struct h1_limits limits = { .header_bytes = 16384,
                              .body_bytes = 1u << 20,
                              .request_timeout = 10 * USEC_PER_SEC,
                              .idle_timeout = 1 * USEC_PER_SEC };
  fixed_handler handler = { { &ops }, std::string (15u << 20, 'x') };
  struct h1_server_config config = {};

  config.loop = loop;
  config.listen = "127.0.0.1:0";
  config.handler = &handler.handler;
  config.limits = &limits;
  config.connections_max = 16;
  config.counters = counters_new (loop);
  config.label = "clients";
  struct h1_server *server = h1_server_new (loop, &config);

  for (const char *connection : { "close", "keep-alive" })
    {
      raw_caller caller (loop, h1_server_port (server));
      int small = 65536;
      size_t got = 0;
      ssize_t n = 1;
      std::string buffer (400000, ' ');

      setsockopt (caller.fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
      caller.send (std::string ("GET / HTTP/1.1\r\nHost: h\r\nConnection: ") + connection
                   + "\r\n\r\n");
      // Reading everything takes about 4 s.
      for (int64_t until = loop_now (loop) + EVENT_WAIT;
           n != 0 && got < handler.body.size () && loop_now (loop) < until;)
        {
          loop_run_once (loop, 0);
          for (int64_t pause = loop_now (loop) + 100 * USEC_PER_MSEC; loop_now (loop) < pause;)
            loop_run_once (loop, 10 * USEC_PER_MSEC);
          n = recv (caller.fd, buffer.data (), buffer.size (), 0);
          if (n < 0 && errno != EAGAIN)
            break;
          got += n > 0 ? static_cast<size_t> (n) : 0;
        }
      EXPECT_GE (got, handler.body.size ()) << connection;
    }
  talloc_free (loop);
}

} // namespace
