// Fixture for the HTTP/1.1 client: a target that sends raw bytes.
#ifndef H1_CLIENT_HARNESS_H
#define H1_CLIENT_HARNESS_H

#include "h1_client.h"
#include "unit_edges_support.h"
#include <memory>

// Records the events of one call.
struct h1_probe
{
  struct h1_call call = {}; // first
  struct loop *loop;
  std::string body;
  unsigned status = 0;
  int heads = 0;
  int ends = 0;
  enum h1_end end = H1_END_COUNT;
  bool takes = true;    // accepts the response
  unsigned foreign = 0; // status of a response that belongs to another call

  static h1_probe *
  of (struct h1_call *base)
  {
    return reinterpret_cast<h1_probe *> (base);
  }

  explicit h1_probe (struct loop *on) : loop (on)
  {
    static const struct h1_call_ops ops = {
      .may_send = nullptr,
      .head =
          [] (struct h1_call *base, const struct h1_head *head, int64_t) {
            of (base)->heads++;
            if (head->status == of (base)->foreign)
              return false;
            of (base)->status = head->status;
            return true;
          },
      .data = [] (struct h1_call *base, const char *data, size_t length,
                  int64_t) { of (base)->body.append (data, length); },
      .ended =
          [] (struct h1_call *base, enum h1_end how, int64_t) {
            of (base)->ends++;
            of (base)->end = how;
          },
    };

    call.ops = &ops;
  }

  h1_probe (const h1_probe &) = delete;

  ~h1_probe ()
  {
    h1_call_cancel (&call);
  }

  bool
  wait () const
  {
    return run_until (loop, [this] { return ends > 0; });
  }
};

inline struct h1_client *
make_h1_client (struct loop *loop, struct counters *counters)
{
  struct h1_client_config config = {};

  config.loop = loop;
  config.counters = counters;
  config.connect_timeout = USEC_PER_SEC;
  return h1_client_new (loop, &config);
}

class H1Client : public ::testing::Test
{
protected:
  struct loop *loop = loop_new_without_tls (nullptr, 64);
  struct counters *counters = counters_new (loop);
  struct h1_client *client = make_h1_client (loop, counters);
  std::unique_ptr<raw_target> target = std::make_unique<raw_target> (loop);

  void
  TearDown () override
  {
    target.reset ();
    talloc_free (loop);
  }

  // Start a call and wait until the target has received its request.
  void
  start (h1_probe &probe, bool fresh = false, const char *method = "GET")
  {
    struct bytes message;

    bytes_init (&message, nullptr);
    bytes_append_format (&message, "%s / HTTP/1.1\r\nHost: h\r\n\r\n", method);
    target->got.clear ();
    EXPECT_EQ (h1_call_start (client, &probe.call, target->address ().c_str (), &message, fresh,
                              loop_now (loop)),
               STATUS_OK);
    bytes_clear (&message);
    EXPECT_TRUE (target->wait_for ("\r\n\r\n"));
  }
};

#endif
