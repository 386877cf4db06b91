// The replayer against a faulty host: it must detect a wrong body or request id, a truncated answer
// and a wrong report that a request was not run.
#include "answer.h"
#include "call.h"
#include "counter.h"
#include "http_server.h"
#include "replay.h"
#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>

namespace
{

enum class Fault
{
  none,
  body,      // one byte differs
  id,        // another request's id
  cut,       // closed before the end of the answer
  not_run,   // refused the first time
  no_window, // refused permanently, with 410
};

// A faulty host in the replayer's event loop.
class ReplayCheck : public testing::Test
{
protected:
  ReplayCheck ()
  {
    static const struct http_route_ops ops = { .request = on_request };
    struct http_server_config config = {};

    caller_ = caller_new (nullptr);
    config.loop = caller_loop (caller_);
    config.counters = counters_new (caller_);
    config.listen[HTTP_LISTENER_CALLERS] = "127.0.0.1:0";
    config.limits = { .header_bytes = 8192,
                      .body_bytes = 1 << 20,
                      .connections_per_caller = 0,
                      .idle_timeout = 60 * USEC_PER_SEC,
                      .body_timeout = 60 * USEC_PER_SEC,
                      .unsent_bytes = 1 << 20 };
    server_ = http_server_new (caller_, &config);
    route_.route = { .ops = &ops, .listener = HTTP_LISTENER_CALLERS, .prefix = "/" };
    route_.test = this;
    http_server_add_route (server_, &route_.route);
    address_ = "127.0.0.1:" + std::to_string (http_server_port (server_, HTTP_LISTENER_CALLERS));
  }

  ~ReplayCheck () override
  {
    talloc_free (caller_);
  }

  // A trace of two service calls: a price and an order.
  struct trace *
  services_trace ()
  {
    struct trace *trace = site_demo_trace (caller_, "check", 4, USEC_PER_MSEC);

    trace->requests[0] = trace->requests[1];
    trace->requests[1] = trace->requests[3];
    trace->count = 2;
    return trace;
  }

  uint32_t
  broken (const struct replay_result *result, json_t *counts)
  {
    struct replay_options options = {};
    uint32_t count;

    options.trace = services_trace ();
    options.site = site_demo ();
    count = replay_count_violations (result, &options, counts, nullptr);
    json_decref (counts);
    return count;
  }

  const struct replay_result *
  run (Fault fault)
  {
    struct replay_options options = {};

    fault_ = fault;
    options.caller = caller_;
    options.trace = services_trace ();
    options.site = site_demo ();
    strcpy (options.entries[0], address_.c_str ());
    options.n_entries = 1;
    options.time_scale = 1;
    return replay_run (caller_, &options);
  }

  void
  answer (struct http_exchange *exchange)
  {
    const char *id = http_header (exchange, "x-request-id");
    bool refuse = fault_ == Fault::no_window || (fault_ == Fault::not_run && ++calls_ == 1);
    struct http_field fields[] = { { "x-request-id", fault_ == Fault::id ? "another" : id },
                                   { "x-outcome", refuse ? "not-run" : "whole" } };
    struct bytes body;

    bytes_init (&body, caller_);
    answer_call (exchange->body, exchange->body_length, &body);
    if (fault_ == Fault::body)
      body.data[body.length - 3] ^= 1;
    if (refuse)
      exchange->ops->reply (exchange, fault_ == Fault::no_window ? 410 : 503, fields, 2, "{}", 2);
    else if (fault_ == Fault::cut)
      {
        exchange->ops->begin (exchange, 200, fields, 2);
        exchange->ops->write (exchange, body.data, body.length);
        exchange->ops->abort (exchange);
      }
    else
      exchange->ops->reply (exchange, 200, fields, 2, body.data, body.length);
    bytes_clear (&body);
  }

  static void
  on_request (struct http_route *route, struct http_exchange *exchange, int64_t)
  {
    ReplayCheck *test = reinterpret_cast<struct test_route *> (route)->test;
    std::string entries = "{\"hosts\": [{\"name\": \"h\", \"address\": \"" + test->address_
                          + "\"}], \"keep_ms\": 60000}";

    if (strcmp (exchange->path, "/v1/entries") == 0)
      exchange->ops->reply (exchange, 200, nullptr, 0, entries.data (), entries.size ());
    else
      test->answer (exchange);
  }

  struct test_route
  {
    struct http_route route; // must be first: the callback casts it back
    ReplayCheck *test;
  };

  struct caller *caller_ = nullptr;
  struct http_server *server_ = nullptr;
  struct test_route route_ = {};
  std::string address_;
  Fault fault_ = Fault::none;
  int calls_ = 0;
};

TEST_F (ReplayCheck, CorrectAnswerIsAttained)
{
  EXPECT_EQ (run (Fault::none)->outcomes[REPLAY_ATTAINED], 2u);
}

TEST_F (ReplayCheck, OneWrongByteIsDetected)
{
  EXPECT_EQ (run (Fault::body)->outcomes[REPLAY_WRONG], 2u);
}

TEST_F (ReplayCheck, WrongRequestIdIsDetected)
{
  EXPECT_EQ (run (Fault::id)->outcomes[REPLAY_WRONG], 2u);
}

// All bytes arrive but the connection closes before the end of the answer.
TEST_F (ReplayCheck, TruncatedAnswerIsNotComplete)
{
  const struct replay_result *result = run (Fault::cut);

  EXPECT_EQ (result->outcomes[REPLAY_NO_ANSWER], 2u);
  EXPECT_GT (result->cuts, 2u);
  EXPECT_GT (result->resends, 0u);
}

TEST_F (ReplayCheck, RequestNotRunIsResent)
{
  const struct replay_result *result = run (Fault::not_run);

  EXPECT_EQ (result->outcomes[REPLAY_ATTAINED], 2u);
  EXPECT_EQ (result->resends, 1u);
}

TEST_F (ReplayCheck, ExecutionOfRejectedRequestIsAViolation)
{
  const struct replay_result *result = run (Fault::no_window);

  EXPECT_EQ (result->outcomes[REPLAY_REJECTED], 2u);
  EXPECT_EQ (broken (result, json_pack ("[{s:s, s:{s:i, s:i}}]", "pool", "counter", "executions",
                                        "check-000001", 1, "check-000003", 0)),
             1u);
}

TEST_F (ReplayCheck, SecondExecutionOfUnrepeatableCallIsAViolation)
{
  const struct replay_result *result = run (Fault::none);

  EXPECT_EQ (broken (result, json_pack ("[{s:s, s:{s:i, s:i}}, {s:s, s:{s:i}}]", "pool", "counter",
                                        "executions", "check-000001", 2, "check-000003", 1, "pool",
                                        "counter", "executions", "check-000003", 1)),
             1u);
}

} // namespace
