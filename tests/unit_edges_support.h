// Shared by the tests of the edges: a server with a route controlled by the test, and a caller that
// sends raw bytes, both on one loop in one thread.
#ifndef UNIT_EDGES_SUPPORT_H
#define UNIT_EDGES_SUPPORT_H

#include "http_server.h"
#include "inet_address.h"
#include "loop.h"
#include <arpa/inet.h>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>
#include <vector>

// Ends a test whose expected event never arrives; no result depends on how long an event takes.
const int64_t EVENT_WAIT = 20 * USEC_PER_SEC;

inline bool
run_until (struct loop *loop, const std::function<bool ()> &done)
{
  int64_t until = loop_now (loop) + EVENT_WAIT;

  while (!done ())
    {
      if (loop_now (loop) > until)
        return false;
      loop_run_once (loop, 20 * USEC_PER_MSEC);
    }
  return true;
}

// Connects to a loopback port and stores the received data.
struct raw_caller
{
  struct loop *loop;
  int fd;
  std::string got;
  bool closed = false; // by the peer, in order or by a reset
  bool reset = false;

  raw_caller (struct loop *on, uint16_t port) : loop (on)
  {
    struct sockaddr_in address = {};

    address.sin_family = AF_INET;
    address.sin_port = htons (port);
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    fd = socket (AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ (connect (fd, reinterpret_cast<struct sockaddr *> (&address), sizeof address), 0);
    fcntl (fd, F_SETFL, O_NONBLOCK);
  }

  raw_caller (const raw_caller &) = delete;

  ~raw_caller ()
  {
    shut ();
  }

  void
  shut ()
  {
    if (fd >= 0)
      close (fd);
    fd = -1;
  }

  void
  send (const std::string &bytes)
  {
    size_t sent = 0;

    EXPECT_TRUE (run_until (loop, [&] {
      ssize_t n = ::send (fd, bytes.data () + sent, bytes.size () - sent, MSG_NOSIGNAL);

      if (n > 0)
        sent += static_cast<size_t> (n);
      return sent == bytes.size () || (n < 0 && errno != EAGAIN);
    }));
  }

  void
  read_some ()
  {
    char buffer[65536];
    ssize_t n;

    while ((n = recv (fd, buffer, sizeof buffer, 0)) > 0)
      got.append (buffer, static_cast<size_t> (n));
    if (n < 0 && errno == EAGAIN)
      return;
    closed = true;
    reset = reset || n < 0;
  }

  bool
  wait_for (const std::string &text)
  {
    return run_until (loop, [&] {
      read_some ();
      return got.find (text) != std::string::npos;
    });
  }

  bool
  wait_closed ()
  {
    return run_until (loop, [&] {
      read_some ();
      return closed;
    });
  }

  // Waits for the last chunk or the end of the connection.
  bool
  wait_end ()
  {
    return run_until (loop, [&] {
      read_some ();
      return closed || got.find ("0\r\n\r\n") != std::string::npos;
    });
  }

  size_t
  count (const std::string &text) const
  {
    size_t n = 0;

    for (size_t at = got.find (text); at != std::string::npos; at = got.find (text, at + 1))
      n++;
    return n;
  }
};

// A target that sends raw bytes, for answers that our server would not produce.
struct raw_target
{
  struct loop *loop;
  int listener;
  int peer = -1; // the newest connection
  int connections = 0;
  std::string got; // received on it

  explicit raw_target (struct loop *on) : loop (on)
  {
    struct sockaddr_in address = {};

    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    listener = socket (AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ (bind (listener, reinterpret_cast<struct sockaddr *> (&address), sizeof address), 0);
    EXPECT_EQ (listen (listener, 8), 0);
    fcntl (listener, F_SETFL, O_NONBLOCK);
  }

  raw_target (const raw_target &) = delete;

  ~raw_target ()
  {
    hang_up ();
    close (listener);
  }

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (inet_address_bound_port (listener));
  }

  void
  look ()
  {
    char buffer[65536];
    ssize_t n;
    int next = accept (listener, nullptr, nullptr);

    if (next >= 0)
      {
        const int yes = 1;

        hang_up ();
        peer = next;
        // Two writes arrive as two segments.
        setsockopt (peer, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        connections++;
        got.clear ();
      }
    while (peer >= 0 && (n = recv (peer, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
      got.append (buffer, static_cast<size_t> (n));
  }

  bool
  wait_for (const std::string &text)
  {
    return run_until (loop, [&] {
      look ();
      return got.find (text) != std::string::npos;
    });
  }

  void
  say (const std::string &bytes)
  {
    EXPECT_EQ (send (peer, bytes.data (), bytes.size (), MSG_NOSIGNAL),
               static_cast<ssize_t> (bytes.size ()));
  }

  // Closes the connection in order, or by a reset.
  void
  hang_up (bool reset = false)
  {
    const struct linger at_once = { 1, 0 };

    if (peer >= 0 && reset)
      setsockopt (peer, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    if (peer >= 0)
      close (peer);
    peer = -1;
  }
};

// A server whose route calls `on_request`.
struct test_server
{
  struct http_route route; // must be the first member
  struct loop *loop;
  struct counters *counters;
  struct http_server *server;
  std::function<void (struct http_exchange *)> on_request;
  std::vector<std::string> paths;

  static void
  request (struct http_route *route, struct http_exchange *exchange, int64_t)
  {
    auto *self = reinterpret_cast<struct test_server *> (route);

    self->paths.push_back (exchange->path);
    self->on_request (exchange);
  }

  // Answers with the path, the query and the body.
  static void
  echo (struct http_exchange *exchange)
  {
    std::string body = std::string (exchange->method) + " " + exchange->path + "?" + exchange->query
                       + " " + std::string (exchange->body, exchange->body_length);

    exchange->ops->reply (exchange, 200, nullptr, 0, body.data (), body.size ());
  }

  explicit test_server (struct http_limits limits = ordinary_limits (),
                        const char *certificate = nullptr,
                        const char *key = nullptr,
                        uint32_t connections_max = 2200)
  {
    static const struct http_route_ops ops = { .request = request };
    struct http_server_config config = {};

    loop = loop_new (nullptr, connections_max);
    counters = counters_new (loop);
    config.loop = loop;
    config.counters = counters;
    for (auto &address : config.listen)
      address = "127.0.0.1:0";
    config.limits = limits;
    config.tls_certificate = certificate;
    config.tls_key = key;
    server = http_server_new (loop, &config);
    EXPECT_NE (server, nullptr) << status_message ();
    route = { .ops = &ops, .listener = HTTP_LISTENER_CALLERS, .prefix = "/" };
    EXPECT_EQ (http_server_add_route (server, &route), STATUS_OK);
    on_request = echo;
  }

  test_server (const test_server &) = delete;

  ~test_server ()
  {
    talloc_free (loop);
  }

  static struct http_limits
  ordinary_limits ()
  {
    return { .header_bytes = 8192,
             .body_bytes = 1 << 20,
             .connections_per_caller = 0,
             .idle_timeout = 30 * USEC_PER_SEC,
             .body_timeout = 30 * USEC_PER_SEC,
             .unsent_bytes = 8 << 20 };
  }

  uint16_t
  port (enum http_listener listener = HTTP_LISTENER_CALLERS) const
  {
    return http_server_port (server, listener);
  }

  double
  counted (const char *name) const
  {
    return counter_get (counters, name, "", nullptr)->value;
  }
};

#endif
