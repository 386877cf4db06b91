// Shared by the tests of the HTTP client: a probe of call outcomes, a client, and a server that
// sends raw bytes.
#ifndef UNIT_EDGES_CLIENT_H
#define UNIT_EDGES_CLIENT_H

#include "http_client.h"
#include "unit_edges_support.h"

// Records the outcome of one call.
struct call_probe
{
  struct http_call_sink sink; // must be the first member
  std::vector<std::string> events;
  std::string body;
  std::string id;
  int code = 0;
  int ends = 0;
  int failures = 0;
  enum status why = STATUS_OK;
  bool sent = false;
  std::function<void ()> on_data;

  static call_probe *
  of (struct http_call_sink *to)
  {
    return reinterpret_cast<call_probe *> (to);
  }

  static void
  on_head (struct http_call_sink *to,
           int status_code,
           const struct http_field *fields,
           size_t n,
           int64_t)
  {
    of (to)->code = status_code;
    for (size_t i = 0; i < n; i++)
      if (strcmp (fields[i].name, "x-request-id") == 0)
        of (to)->id = fields[i].value;
  }

  static void
  on_bytes (struct http_call_sink *to, const void *data, size_t length, int64_t)
  {
    of (to)->body.append (static_cast<const char *> (data), length);
    if (of (to)->on_data)
      of (to)->on_data ();
  }

  static void
  on_end (struct http_call_sink *to, int64_t)
  {
    of (to)->ends++;
  }

  static void
  on_failed (struct http_call_sink *to, enum status status, bool was_sent, int64_t)
  {
    of (to)->failures++;
    of (to)->why = status;
    of (to)->sent = was_sent;
  }

  bool withdrawn = false; // set before the connection is open: the call is not sent

  static bool
  may_send (struct http_call_sink *to, int64_t)
  {
    return !of (to)->withdrawn;
  }

  call_probe ()
  {
    static const struct http_call_sink_ops ops = {
      .may_send = may_send, .head = on_head, .data = on_bytes, .end = on_end, .failed = on_failed
    };

    sink.ops = &ops;
  }

  call_probe (const call_probe &) = delete;

  bool
  over () const
  {
    return ends + failures > 0;
  }
};

// A client on the loop of the test.
struct test_client
{
  struct loop *loop;
  struct http_client *client;
  struct counters *counters;

  explicit test_client (struct loop *on,
                        uint32_t calls_max = 2000,
                        int64_t connect_timeout = 5 * USEC_PER_SEC)
      : loop (on)
  {
    struct http_client_config config = {};

    counters = counters_new (loop);
    config.loop = loop;
    config.counters = counters;
    config.calls_max = calls_max;
    config.answer_bytes_max = 4 << 20;
    config.connect_timeout = connect_timeout;
    client = http_client_new (loop, &config);
  }

  struct http_call *
  start (call_probe &probe,
         uint16_t port,
         const std::string &path,
         const std::string &body = "",
         int64_t span = EVENT_WAIT)
  {
    std::string address = "127.0.0.1:" + std::to_string (port);
    const struct http_field headers[] = { { "x-request-id", path.c_str () } };
    struct http_call_spec spec = {};
    struct http_call *call = nullptr;

    spec.address = address.c_str ();
    spec.method = body.empty () ? "GET" : "POST";
    spec.path = path.c_str ();
    spec.headers = headers;
    spec.n_headers = 1;
    spec.body = body.data ();
    spec.body_length = body.size ();
    spec.deadline = loop_now (loop) + span;
    EXPECT_EQ (client->ops->start (client, &spec, &probe.sink, loop_now (loop), &call), STATUS_OK)
        << status_message ();
    EXPECT_FALSE (probe.over ());
    return call;
  }

  double
  counted (const char *name) const
  {
    return counter_get (counters, name, "", nullptr)->value;
  }
};

// A server of raw bytes: accepts connections and sends what the test specifies.
struct raw_server
{
  struct loop *loop;
  int listener;
  std::vector<int> taken;
  std::string got;

  explicit raw_server (struct loop *on) : loop (on)
  {
    struct sockaddr_in address = {};

    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    EXPECT_EQ (bind (listener, reinterpret_cast<struct sockaddr *> (&address), sizeof address), 0);
    EXPECT_EQ (listen (listener, 16), 0);
  }

  raw_server (const raw_server &) = delete;

  ~raw_server ()
  {
    for (int fd : taken)
      close (fd);
    close (listener);
  }

  uint16_t
  port () const
  {
    return inet_address_bound_port (listener);
  }

  // Waits until a complete request head arrived on the newest connection.
  bool
  wait_request (const std::string &mark = "\r\n\r\n")
  {
    got.clear ();
    return run_until (loop, [&] {
      int fd = accept4 (listener, nullptr, nullptr, SOCK_NONBLOCK);
      char buffer[4096];
      ssize_t n;

      if (fd >= 0)
        taken.push_back (fd);
      while (!taken.empty () && (n = recv (taken.back (), buffer, sizeof buffer, 0)) > 0)
        got.append (buffer, static_cast<size_t> (n));
      return got.find (mark) != std::string::npos;
    });
  }

  void
  send (const std::string &bytes) const
  {
    EXPECT_EQ (::send (taken.back (), bytes.data (), bytes.size (), MSG_NOSIGNAL),
               static_cast<ssize_t> (bytes.size ()));
  }

  void
  hang_up (bool reset = false)
  {
    struct linger linger = { .l_onoff = 1, .l_linger = 0 };

    if (reset)
      setsockopt (taken.back (), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    close (taken.back ());
    taken.pop_back ();
  }
};

#endif
