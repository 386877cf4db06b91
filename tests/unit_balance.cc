// Choice of the engine for a prompt.
#include "balance.h"
#include <cstdio>
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>

namespace
{

const int ENGINES = 6;
const int64_t NOW = 10 * USEC_PER_SEC;
const char *const POOL = "p";

// One entry host's state of the engines.
struct host_view
{
  void *parent = talloc_new (nullptr);
  struct engine_load *engines = engine_load_new (parent);
  struct registry_target records[ENGINES] = {};
  struct balance balance;

  explicit host_view (uint64_t seed, const char *domain = "a")
  {
    balance_init (&balance, domain, engines, seed);
    for (int i = 0; i < ENGINES; i++)
      {
        struct registry_registration *word = &records[i].registration;

        snprintf (word->id, sizeof word->id, "engine-%d", i);
        snprintf (word->pool, sizeof word->pool, "%s", POOL);
        snprintf (word->address, sizeof word->address, "127.0.0.1:%d", 1000 + i);
        snprintf (word->domain, sizeof word->domain, "a");
        word->state = REGISTRY_READY;
        balance_update (&balance, parent, &records[i]);
      }
  }

  host_view (const host_view &) = delete;

  ~host_view ()
  {
    talloc_free (parent);
  }

  struct balance_target *
  choose (const struct balance_prompt &prompt)
  {
    struct balance_query query = {
      .pool = POOL, .binding = nullptr, .prompt = &prompt, .tried = nullptr, .n_tried = 0
    };

    return balance_choose (&balance, &query, NOW);
  }

  // Adds a running prompt of `tokens` to the engine's load.
  void
  load (const struct balance_target *target, uint32_t tokens)
  {
    struct engine_prompt prompt = {};

    prompt.own_tokens = tokens;
    engine_load_started (engines, target->id_hash, 99, &prompt, true, NOW);
  }
};

struct balance_prompt
prompt_of (uint64_t key, uint32_t shared_tokens)
{
  struct balance_prompt prompt = {};

  prompt.present = true;
  prompt.prompt.own_tokens = 100;
  if (shared_tokens > 0)
    {
      prompt.prompt.n_parts = 1;
      prompt.prompt.parts[0] = key;
      prompt.prompt.part_tokens[0] = shared_tokens;
    }
  return prompt;
}

// An engine crashes and restarts with the same id.  Its running requests and failures belong to the
// previous incarnation: kept, they would leave the new one ejected and make it look loaded.
TEST (Balance, RestartResetsTheStateOfAnEngine)
{
  host_view view (1);
  struct balance_target *target = balance_find (&view.balance, "engine-2");
  struct engine_cost cost;
  uint64_t before = target->id_hash;

  view.load (target, 100000);
  balance_started (&view.balance, target, BALANCE_REQUEST, NOW);
  balance_ended (target, true, -1, NOW);
  balance_started (&view.balance, target, BALANCE_REQUEST, NOW);
  balance_ended (target, true, -1, NOW);
  ASSERT_GT (target->ejected_until, NOW);
  view.records[2].registration.started_unix_ms = 2000;
  balance_update (&view.balance, view.parent, &view.records[2]);
  EXPECT_EQ (target->ejected_until, 0);
  EXPECT_NE (target->id_hash, before);
  struct balance_prompt prompt = prompt_of (1, 0);
  engine_load_cost (view.engines, target->id_hash, &prompt.prompt, NOW, &cost);
  EXPECT_EQ (cost.running, 0u);
}

// Guards against a new target that counts as tried, as it has the memory of one that is gone.
TEST (Balance, ATargetIsNotTakenForOneThatWasTriedAndIsGone)
{
  void *memory = talloc_pool (nullptr, 1 << 16); // hands the same memory out again
  struct registry_target records[2] = {};
  struct balance balance;

  balance_init (&balance, "a", nullptr, 1);
  for (auto &record : records)
    {
      snprintf (record.registration.id, sizeof record.registration.id, "t%d",
                static_cast<int> (&record - records));
      snprintf (record.registration.pool, sizeof record.registration.pool, "%s", POOL);
      record.registration.state = REGISTRY_READY;
    }
  balance_update (&balance, memory, &records[0]);
  const struct balance_target *first = balance.targets;
  uint64_t tried = first->serial;

  records[0].registration.state = REGISTRY_LEAVING;
  balance_update (&balance, memory, &records[0]);
  records[0].registration.state = REGISTRY_GONE;
  balance_sweep (&balance);
  balance_update (&balance, memory, &records[1]);
  ASSERT_EQ (balance.targets, first);
  struct balance_query query = {
    .pool = POOL, .binding = nullptr, .prompt = nullptr, .tried = &tried, .n_tried = 1
  };

  EXPECT_NE (balance_choose (&balance, &query, NOW), nullptr);
  talloc_free (memory);
}

// Most of a request's stage results are in one failure domain, whose engines have a slightly longer
// queue.  The results must not cross domains to save a delay that the request can afford.
TEST (Balance, PrefersTheDomainOfMostResults)
{
  host_view view (1);
  struct balance_prompt prompt = prompt_of (7, 0);

  for (int i = 0; i < ENGINES; i++)
    {
      struct balance_target *target = balance_find (&view.balance, view.records[i].registration.id);
      bool there = i % 3 == 0;

      snprintf (target->domain, sizeof target->domain, "%s", there ? "b" : "a");
      if (there)
        view.load (target, 4000); // about 100 ms
    }
  EXPECT_STREQ (view.choose (prompt)->domain, "a");
  prompt.n_locations = 2;
  prompt.locations[0] = { "a", 200000 };
  prompt.locations[1] = { "b", 3000000 };
  EXPECT_STREQ (view.choose (prompt)->domain, "b");
}

TEST (Balance, EveryHostChoosesTheSameEngineForAPrompt)
{
  host_view one (1);
  host_view other (2);

  for (uint64_t key = 1; key <= 50; key++)
    EXPECT_STREQ (one.choose (prompt_of (key, 10000))->id,
                  other.choose (prompt_of (key, 10000))->id);
}

// All hosts restart without their state, while the engines still have their caches.  The engines'
// loads differ by far less than a prefill takes: chosen by load alone, most shared parts would be
// prefilled a second time.
TEST (Balance, ChoosesTheHomeEngineAfterARestartOfTheHosts)
{
  host_view before (1);
  host_view after (2);
  struct balance_prompt prompt = prompt_of (7, 10000);
  std::string home = before.choose (prompt)->id;

  after.load (balance_find (&after.balance, home.c_str ()), 1500); // 25 ms
  EXPECT_STREQ (after.choose (prompt)->id, home.c_str ());
}

TEST (Balance, LeavesABusyHomeEngine)
{
  host_view host (1);
  struct balance_prompt prompt = prompt_of (7, 10000);
  struct balance_target *home = host.choose (prompt);

  host.load (home, 20000); // 0.3 s
  EXPECT_NE (host.choose (prompt), home);
}

// A prompt that shares nothing, or a part of negligible prefill time, is placed by load only.
TEST (Balance, BalancesPromptsWithoutSharedPartsByLoad)
{
  host_view host (1);
  struct balance_target *first = host.choose (prompt_of (0, 0));

  host.load (first, 1500);
  EXPECT_NE (host.choose (prompt_of (0, 0)), first);
  first = host.choose (prompt_of (7, 100));
  host.load (first, 1500);
  EXPECT_NE (host.choose (prompt_of (7, 100)), first);
}

}
