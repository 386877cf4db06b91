// Test fixture: the request path on virtual time, with the fakes of flow_fakes.h.
#ifndef FLOW_HARNESS_H
#define FLOW_HARNESS_H

#include "access.h"
#include "flow.h"
#include "flow_fakes.h"
#include <talloc.h>

namespace flow_harness
{

class flow_fixture : public ::testing::Test
{
protected:
  void *memory = talloc_new (nullptr);
  struct settings settings
  {
  };
  struct board *board = nullptr;
  struct timer_service *timers = nullptr;
  struct counters *counters = nullptr;
  struct decide *decide = nullptr;
  struct flow *flow = nullptr;
  struct dump dump
  {
  };
  struct http_route *routes[FLOW_ROUTES]{};
  fake_client client;
  fake_claims claims;
  std::vector<std::unique_ptr<fake_exchange>> exchanges;
  int64_t now = 1000 * USEC_PER_SEC;

  void
  SetUp () override
  {
    client.base.ops = &client_ops;
    claims.base.ops = &claims_ops;
    settings.json_depth = 16;
    settings.requests_in_flight = 8;
    settings.target_backoff_max = USEC_NEVER;
    settings.claim_answer_bytes = 4096;
    board = board_new (memory);
    board->config_ready = true;
    board->confirmed_at = now;
    timers = timer_service_new (memory);
    counters = counters_new (memory);
    decide = decide_new (memory, board, counters, 7);
    add_pipelines ();
    make_flow (&claims.base);
  }

  void
  TearDown () override
  {
    talloc_free (memory);
  }

  void
  make_flow (struct claims *used)
  {
    struct flow_config config = {};

    config.board = board;
    config.decide = decide;
    config.client = &client.base;
    config.claims = used;
    config.timers = timers;
    config.counters = counters;
    config.dump = &dump;
    config.access = access_new (memory, board, &settings);
    config.settings = &settings;
    config.self = "host-1";
    config.seed = 1;
    flow = flow_new (memory, &config);
    flow_routes (flow, routes);
  }

  static struct stage_spec
  stage (const char *name, enum stage_kind kind)
  {
    struct stage_spec spec = {};

    text_copy (spec.name, sizeof spec.name, name);
    text_copy (spec.pool, sizeof spec.pool, name);
    text_copy (spec.model, sizeof spec.model, "m1");
    spec.kind = kind;
    spec.max_tokens = kind == STAGE_GENERATE ? 64 : 0;
    spec.top = kind == STAGE_RETRIEVE ? 3 : kind == STAGE_RERANK ? 2 : 0;
    return spec;
  }

  struct board_pipeline *
  add_pipeline (const char *name, bool service, std::vector<struct stage_spec> stages)
  {
    struct handle handle;
    auto *entry = static_cast<struct board_pipeline *> (table_add (board->pipelines, &handle));

    text_copy (entry->spec.name, sizeof entry->spec.name, name);
    entry->spec.service = service;
    entry->spec.n_stages = static_cast<uint32_t> (stages.size ());
    for (size_t i = 0; i < stages.size (); i++)
      {
        entry->spec.stages[i] = stages[i];
        board_find_pool (board, stages[i].pool, &entry->pools[i]);
      }
    entry->spec.deadline = 4 * USEC_PER_SEC;
    entry->spec.max_attempts = 3;
    entry->spec.retry_share = 1;
    entry->spec.hedge_share = 1;
    entry->spec.priority = 5;
    entry->spec.repeatable = true;
    return entry;
  }

  void
  add_pool (const char *name, enum stage_kind kind)
  {
    struct handle handle;
    auto *pool = static_cast<struct board_pool *> (table_add (board->pools, &handle));

    text_copy (pool->spec.name, sizeof pool->spec.name, name);
    pool->spec.kind = kind;
    pool->spec.cost_per_second = 2;
    pool->spec.slots = 8;
    pool->spec.eject_share_max = 0.5;
    for (const char *suffix : { "1", "2", "3" })
      add_target (pool->spec.name, std::string (name) + suffix, kind, handle);
  }

  struct handle
  add_target (const char *pool, const std::string &name, enum stage_kind kind, struct handle of)
  {
    struct handle handle;
    auto *target = static_cast<struct board_target *> (table_add (board->targets, &handle));

    text_copy (target->name, sizeof target->name, name.c_str ());
    text_copy (target->pool, sizeof target->pool, pool);
    text_copy (target->domain, sizeof target->domain, name.c_str ());
    text_copy (target->address, sizeof target->address, name.c_str ());
    text_copy (target->models[0], sizeof target->models[0], "m1");
    target->n_models = 1;
    target->kind = kind;
    target->slots = 8;
    target->lease_until = USEC_NEVER;
    target->pool_handle = of;
    board_publish (board, BOARD_TARGET_ADDED, handle, now);
    return handle;
  }

  void
  add_pipelines ()
  {
    add_pool ("encode", STAGE_ENCODE);
    add_pool ("retrieve", STAGE_RETRIEVE);
    add_pool ("rerank", STAGE_RERANK);
    add_pool ("generate", STAGE_GENERATE);
    add_pool ("orders", STAGE_CALL);
    add_pipeline ("claims", false,
                  { stage ("encode", STAGE_ENCODE), stage ("retrieve", STAGE_RETRIEVE),
                    stage ("rerank", STAGE_RERANK), stage ("generate", STAGE_GENERATE) });
    add_pipeline ("draft", false, { stage ("generate", STAGE_GENERATE) });
    add_pipeline ("orders", true, { stage ("orders", STAGE_CALL) });
    board_publish (board, BOARD_CONFIG_CHANGED, {}, now);
  }

  fake_exchange *
  send (const std::string &path, const std::string &body, fields headers = {})
  {
    exchanges.push_back (std::make_unique<fake_exchange> ());
    auto *x = exchanges.back ().get ();

    headers.emplace ("x-organisation", "acme");
    x->sent = std::move (headers);
    x->path = path;
    x->body = body;
    for (const auto &[name, value] : x->sent)
      x->list.push_back ({ name.c_str (), value.c_str () });
    x->base.ops = &exchange_ops;
    x->base.method = "POST";
    x->base.path = x->path.c_str ();
    x->base.query = "";
    x->base.headers = x->list.data ();
    x->base.n_headers = x->list.size ();
    x->base.body = x->body.c_str ();
    x->base.body_length = x->body.size ();
    struct http_route *route = routes[path.rfind ("/v1/services", 0) == 0 ? 1 : 0];
    route->ops->request (route, &x->base, now);
    return x;
  }

  fake_exchange *
  send_draft (fields headers = {})
  {
    return send ("/v1/pipelines/draft/requests", R"({"input": "hello"})", std::move (headers));
  }

  fake_exchange *
  send_order (fields headers = {})
  {
    headers.emplace ("x-request-id", "order-1");
    headers.emplace ("x-repeatable", "no");
    return send ("/v1/services/orders/requests", R"({"units": 1})", std::move (headers));
  }

  fake_call &
  call (size_t i)
  {
    return *client.calls.at (i);
  }

  fake_call &
  last_call ()
  {
    return *client.calls.back ();
  }

  // Reports all settled outcomes as stored in the claim log.
  void
  store ()
  {
    struct claim_answer answer = {};

    answer.verdict = CLAIM_SETTLED;
    auto storing = claims.storing;

    claims.storing.clear ();
    for (auto *waiter : storing)
      waiter->ops->answered (waiter, &answer, now);
  }

  void
  store_unless_manual ()
  {
    if (!claims.manual_store)
      store ();
  }

  void
  head (fake_call &c, int code = 200, fields extra = {})
  {
    extra.emplace ("x-request-id", c.headers.at ("x-request-id"));
    extra.emplace ("x-attempt", c.headers.at ("x-attempt"));
    std::vector<struct http_field> list;

    for (const auto &[name, value] : extra)
      list.push_back ({ name.c_str (), value.c_str () });
    ASSERT_TRUE (c.open);
    c.sink->ops->head (c.sink, code, list.data (), list.size (), now);
    store_unless_manual ();
  }

  void
  data (fake_call &c, const std::string &text)
  {
    ASSERT_TRUE (c.open);
    c.sink->ops->data (c.sink, text.data (), text.size (), now);
  }

  void
  end (fake_call &c)
  {
    ASSERT_TRUE (c.open);
    c.open = false;
    c.sink->ops->end (c.sink, now);
    store_unless_manual ();
  }

  void
  fail (fake_call &c, bool sent = true, enum status why = STATUS_IO)
  {
    ASSERT_TRUE (c.open);
    c.open = false;
    c.sink->ops->failed (c.sink, why, sent, now);
    store_unless_manual ();
  }

  void
  answer (fake_call &c, const std::string &body, int code = 200, fields extra = {})
  {
    head (c, code, std::move (extra));
    if (c.open)
      data (c, body);
    if (c.open)
      end (c);
  }

  static std::string
  piece (int index, const std::string &text)
  {
    return "data: {\"choices\": [{\"text\": \"" + text + "\", \"index\": " + std::to_string (index)
           + "}]}\n\n";
  }

  static std::string
  last_piece (int index)
  {
    return "data: {\"choices\": [{\"text\": \"\", \"index\": " + std::to_string (index)
           + ", \"finish_reason\": \"stop\"}], \"usage\": {\"prompt_tokens\": 9, "
             "\"completion_tokens\": 2, \"cached_tokens\": 4}}\n\ndata: [DONE]\n\n";
  }

  // Answers a call of any stage successfully; the text of a generation is "ab".
  void
  answer_with_success (fake_call &c)
  {
    if (c.path == "/v1/embeddings")
      answer (c, R"({"data": [{"embedding": [0.5, 1]}], "usage": {"prompt_tokens": 3}})");
    else if (c.path == "/v1/retrieve")
      answer (c, R"({"documents": [{"id": "a", "text": "A"}, {"id": "b", "text": "B"},
                                   {"id": "c", "text": "C"}]})");
    else if (c.path == "/v1/rerank")
      answer (c, R"({"results": [{"index": 2, "relevance_score": 0.9},
                                 {"index": 0, "relevance_score": 0.1}]})");
    else if (c.path == "/v1/completions")
      answer (c, piece (0, "a") + piece (1, "b") + last_piece (2));
    else
      answer (c, R"({"order": 7})");
  }

  void
  advance (int64_t span)
  {
    int64_t until = now + span;

    while (timer_service_next_due (timers) <= until)
      {
        now = timer_service_next_due (timers);
        timer_service_run (timers, now);
        store_unless_manual ();
      }
    now = until;
  }

  void
  answer_claim (enum claim_verdict verdict, const fake_claims::settled &stored = { 0, "", "" })
  {
    struct claim_answer answer = { .verdict = verdict,
                                   .code = stored.code,
                                   .outcome = stored.outcome.c_str (),
                                   .body = stored.body.data (),
                                   .body_length = stored.body.size () };
    auto waiting = claims.waiting;

    claims.waiting.clear ();
    for (auto *waiter : waiting)
      waiter->ops->answered (waiter, &answer, now);
  }

  // Runs 100 requests, so that decide.c expects answers after 1 ms and the retry and hedge budgets
  // are full.
  void
  warm_up (const std::string &path, const std::string &body)
  {
    for (int i = 0; i < 100; i++)
      {
        auto *x = send (path, body);

        advance (USEC_PER_MSEC);
        answer_with_success (last_call ());
        ASSERT_EQ (x->outcome (), "whole");
      }
    client.calls.clear ();
    clear_cancels ();
  }

  void
  clear_cancels ()
  {
    end_cancels ();
    client.cancels.clear ();
  }

  void
  end_cancels ()
  {
    for (const auto &c : client.cancels)
      if (c->open)
        end (*c);
  }

  double
  counter_value (const char *name, const char *labels = nullptr)
  {
    return counter_get (counters, name, "", labels)->value;
  }

  // No exchange was answered twice, and no request, call or load count is left.
  void
  expect_nothing_in_flight ()
  {
    for (const auto &x : exchanges)
      EXPECT_LE (x->answers, 1);
    end_cancels ();
    EXPECT_TRUE (flow_is_idle (flow));
    for (const auto &c : client.calls)
      EXPECT_FALSE (c->open);
    uint32_t cursor = 0;
    while (auto *target =
               static_cast<struct board_target *> (table_next (board->targets, &cursor, nullptr)))
      EXPECT_EQ (target->in_flight, 0u);
    EXPECT_EQ (board->requests_in_flight, 0u);
  }
};

} // namespace flow_harness

#endif
