// Fixture of the failure tests: hosts and fake targets of the demo's site as real processes.
#ifndef WHOLE_LAUNCH_H
#define WHOLE_LAUNCH_H

#include "launch.h"
#include "replay.h"
#include <cstdio>
#include <cstring>
#include <functional>
#include <gtest/gtest.h>
#include <signal.h>
#include <string>
#include <talloc.h>

class WholeLaunch : public testing::Test
{
protected:
  // Freeing launch_ ends every process, also when a test fails.
  ~WholeLaunch () override
  {
    talloc_free (launch_);
  }

  static constexpr uint32_t all_targets = 6;

  void
  start (uint32_t hosts, const char *extra_settings = "", uint32_t connections = LAUNCH_CONNECTIONS)
  {
    const struct site *site = site_demo ();

    launch_ = launch_new (nullptr);
    ASSERT_NE (launch_, nullptr) << status_message ();
    launch_->connections = connections;
    snprintf (launch_->extra_settings, sizeof launch_->extra_settings, "%s", extra_settings);
    check (launch_add_hosts (launch_, hosts, site->domains, SITE_DOMAINS));
    check (launch_start_hosts (launch_));
    check (launch_wait_healthy (launch_));
    check (launch_start_site (launch_, site, 0.2, nullptr));
    check (launch_apply_site (launch_, site, 1));
    check (launch_wait_revision (launch_));
    check (launch_wait_targets (launch_, all_targets));
  }

  static void
  check (enum status status)
  {
    ASSERT_EQ (status, STATUS_OK) << status_message ();
  }

  // Send `count` requests, `spacing` microseconds apart; `step` gets the number that has ended.
  const struct replay_result *
  send (const char *prefix,
        uint32_t count,
        int64_t spacing,
        std::function<void (uint32_t)> step = nullptr)
  {
    options_ = {};
    options_.caller = launch_->caller;
    options_.site = site_demo ();
    options_.trace = site_demo_trace (launch_, prefix, count, spacing);
    options_.time_scale = 1;
    options_.callers = 16;
    options_.stream_every = 3;
    for (uint32_t i = 0; i < launch_->n_hosts; i++)
      if (launch_->hosts[i].process.pid != 0)
        memcpy (options_.entries[options_.n_entries++], launch_->hosts[i].addresses[LAUNCH_CALLERS],
                RESOURCE_ADDRESS_SIZE);
    step_ = step;
    options_.user = this;
    options_.step = [] (void *user, const struct replay_result *, uint32_t ended) {
      auto *self = static_cast<WholeLaunch *> (user);

      if (self->step_)
        self->step_ (ended);
    };
    return replay_run (launch_, &options_);
  }

  void
  expect_no_violation (const struct replay_result *result)
  {
    json_t *counts = launch_counts (launch_);

    EXPECT_EQ (replay_count_violations (result, &options_, counts, stdout), 0u);
    json_decref (counts);
  }

  void
  expect_all_attained (const struct replay_result *result)
  {
    EXPECT_EQ (result->outcomes[REPLAY_ATTAINED], result->count);
    if (result->outcomes[REPLAY_ATTAINED] != result->count)
      replay_print (result, options_.trace, stdout);
    expect_no_violation (result);
  }

  // POST one request to a service; the body is sent unchanged.
  struct call_answer
  post (uint32_t host, const char *service, const char *id, const char *body)
  {
    const std::string path = std::string ("/v1/services/") + service + "/requests";
    const struct http_field headers[] = { { "content-type", "application/json" },
                                          { "x-organisation", "north" },
                                          { "x-request-id", id } };
    struct http_call_spec spec = {};
    struct call_answer answer;

    spec.address = launch_->hosts[host].addresses[LAUNCH_CALLERS];
    spec.method = "POST";
    spec.path = path.c_str ();
    spec.headers = headers;
    spec.n_headers = 3;
    spec.body = body;
    spec.body_length = strlen (body);
    call (launch_->caller, &spec, 20 * USEC_PER_SEC, &answer);
    return answer;
  }

  // Poll until `done`; false after 60 s, which only a fault reaches.
  bool
  wait_until (const std::function<bool ()> &done)
  {
    struct loop *loop = caller_loop (launch_->caller);
    int64_t until = loop_now (loop) + 60 * USEC_PER_SEC;

    while (!done ())
      {
        if (loop_now (loop) > until)
          return false;
        loop_run_once (loop, 20 * USEC_PER_MSEC);
      }
    return true;
  }

  // Names of the hosts that `host` lists to callers, with a comma around each.
  std::string
  listed_hosts (uint32_t host)
  {
    json_t *answer = call_json (launch_->caller, launch_->hosts[host].addresses[LAUNCH_CALLERS],
                                "GET", "/v1/entries", nullptr, 5 * USEC_PER_SEC, nullptr);
    json_t *entry;
    std::string names = ",";
    size_t i;

    json_array_foreach (json_object_get (answer, "hosts"), i, entry)
      {
        names += json_string_value (json_object_get (entry, "name"));
        names += ",";
      }
    json_decref (answer);
    return names;
  }

  bool
  is_listed (uint32_t at, uint32_t host)
  {
    return listed_hosts (at).find (std::string (",") + launch_->hosts[host].process.name + ",")
           != std::string::npos;
  }

  struct launch *launch_ = nullptr;
  struct replay_options options_ = {};
  std::function<void (uint32_t)> step_;
};

#endif
