// The decisions that depend on load.
#include "decide.h"
#include "text.h"
#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

constexpr int64_t SECOND = USEC_PER_SEC;

// A board with a pipeline of one stage in one pool, and the decisions of one host.
class DecideTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    board = board_new (nullptr);
    add_host ("host-1", true);
    auto *entry = static_cast<struct board_pool *> (table_add (board->pools, &pool));
    text_copy (entry->spec.name, sizeof entry->spec.name, "encoders");
    entry->spec.kind = STAGE_ENCODE;
    entry->spec.cost_per_second = 1;
    entry->spec.slots = 4;
    entry->spec.eject_share_max = 0.34;
    auto *line = static_cast<struct board_pipeline *> (table_add (board->pipelines, &pipeline));
    text_copy (line->spec.name, sizeof line->spec.name, "claims");
    text_copy (line->spec.stages[0].pool, RESOURCE_NAME_SIZE, "encoders");
    line->spec.stages[0].kind = STAGE_ENCODE;
    line->spec.n_stages = 1;
    line->spec.deadline = 4 * SECOND;
    line->spec.max_attempts = 3;
    line->spec.retry_share = 0.1;
    line->spec.priority = 9;
    line->spec.repeatable = true;
    line->pools[0] = pool;
    decide = decide_new (board, board, counters_new (board), 7);
  }

  void
  TearDown () override
  {
    talloc_free (board);
  }

  void
  add_host (const char *name, bool self)
  {
    struct handle handle;
    auto *host = static_cast<struct board_host *> (table_add (board->hosts, &handle));

    text_copy (host->name, sizeof host->name, name);
    host->self = self;
    host->state = HOST_ALIVE;
  }

  struct handle
  add_target (const std::string &name, const char *domain)
  {
    struct handle handle;
    auto *entry = static_cast<struct board_target *> (table_add (board->targets, &handle));

    text_copy (entry->name, sizeof entry->name, name.c_str ());
    text_copy (entry->pool, sizeof entry->pool, "encoders");
    text_copy (entry->domain, sizeof entry->domain, domain);
    entry->kind = STAGE_ENCODE;
    entry->slots = 4;
    entry->lease_until = 1000 * SECOND;
    entry->pool_handle = pool;
    board_publish (board, BOARD_TARGET_ADDED, handle, 0);
    return handle;
  }

  struct handle
  add_organisation (const char *name, double weight)
  {
    struct handle handle;
    auto *entry =
        static_cast<struct board_organisation *> (table_add (board->organisations, &handle));

    text_copy (entry->spec.name, sizeof entry->spec.name, name);
    entry->spec.weight = weight;
    return handle;
  }

  struct decide_request
  request_at (int64_t now)
  {
    struct decide_request request = {};

    request.pipeline = pipeline;
    request.arrived = now;
    request.deadline = now + 4 * SECOND;
    request.input_tokens = 1000;
    request.priority = 9;
    request.repeatable = true;
    return request;
  }

  struct decide_choice
  choose (struct decide_request *request,
          int64_t now,
          enum decide_reason expected = DECIDE_ADMITTED,
          const std::vector<struct handle> &tried = {})
  {
    struct decide_choice choice = {};

    EXPECT_EQ (decide_choose (decide, request, request->input_tokens, tried.data (),
                              static_cast<uint32_t> (tried.size ()), now, &choice),
               expected);
    return choice;
  }

  void
  end (struct decide_request *request,
       const struct decide_choice &choice,
       enum decide_end how,
       int64_t started,
       int64_t now)
  {
    struct decide_result result = {};

    result.target = choice.target;
    result.end = how;
    result.started = started;
    result.ended = now;
    result.input_tokens = request->input_tokens;
    result.choice = choice;
    decide_attempt_ended (decide, request, &result, now);
  }

  // Runs one attempt from its choice to its end.
  void
  run_one (enum decide_end how, int64_t now, int64_t span)
  {
    struct decide_request request = request_at (now);
    struct decide_choice choice = choose (&request, now);

    decide_attempt_started (decide, &request, &choice, now);
    end (&request, choice, how, now, now + span);
  }

  // Teaches a prefill time of half a millisecond per token, and hardly any for a cached prompt.
  void
  teach_prefill_time ()
  {
    for (int i = 0; i < 40; i++)
      {
        struct decide_request request = request_at (i * SECOND / 10);
        request.input_tokens = i % 2 == 0 ? 1 : 1000;
        struct decide_choice choice = choose (&request, request.arrived);

        decide_attempt_started (decide, &request, &choice, request.arrived);
        end (&request, choice, DECIDE_END_WHOLE, request.arrived,
             request.arrived + request.input_tokens * SECOND / 2000);
      }
  }

  struct board *board = nullptr;
  struct decide *decide = nullptr;
  struct handle pool = {};
  struct handle pipeline = {};
};

// Reports two seconds old show one target idle and eight busy.  If hosts trusted them, all would
// send all requests to the idle target, which then is the busiest until the next report moves all
// of them to another (herding).
TEST_F (DecideTest, StaleReportDoesNotCauseHerding)
{
  std::vector<struct handle> targets;
  std::vector<int> chosen (9);

  for (int i = 0; i < 9; i++)
    targets.push_back (add_target ("t" + std::to_string (i), "a"));
  for (int i = 0; i < 9; i++)
    {
      auto *entry = static_cast<struct board_target *> (table_get (board->targets, targets[i]));
      entry->report = { .received_at = 8 * SECOND,
                        .measured_at = 8 * SECOND,
                        .running = i == 0 ? 0u : 4u,
                        .waiting = i == 0 ? 0u : 4u,
                        .kv_used = 0 };
    }
  for (int i = 0; i < 90; i++)
    {
      struct decide_request request = request_at (10 * SECOND);
      struct decide_choice choice = choose (&request, 10 * SECOND);

      decide_attempt_started (decide, &request, &choice, 10 * SECOND);
      for (int t = 0; t < 9; t++)
        chosen[t] += handle_equal (choice.target, targets[t]);
    }
  for (int t = 0; t < 9; t++)
    EXPECT_LE (chosen[t], 25) << t;
}

// A target's last report showed it idle, then its reports stopped.  A minute later that report must
// be ignored, and a target that is idle by recent reports must be preferred.
TEST_F (DecideTest, ExpiredReportIsIgnored)
{
  struct handle silent = add_target ("silent", "a");
  struct handle fresh = add_target ("fresh", "a");
  auto *entry = static_cast<struct board_target *> (table_get (board->targets, silent));
  int to_fresh = 0;

  add_host ("host-2", false);
  add_host ("host-3", false);
  entry->report = { .received_at = 1, .measured_at = 1, .running = 0, .waiting = 0, .kv_used = 0 };
  entry = static_cast<struct board_target *> (table_get (board->targets, fresh));
  entry->report = {
    .received_at = 60 * SECOND, .measured_at = 60 * SECOND, .running = 0, .waiting = 0, .kv_used = 0
  };
  for (int i = 0; i < 12; i++)
    {
      struct decide_request request = request_at (60 * SECOND);
      struct decide_choice choice = choose (&request, 60 * SECOND);

      decide_attempt_started (decide, &request, &choice, 60 * SECOND);
      to_fresh += handle_equal (choice.target, fresh);
    }
  EXPECT_GT (to_fresh, 6);
}

// Every target fails and every request is retried, which doubles the load and prevents a recovery.
// The retry budget must stop that after its initial allowance.
TEST_F (DecideTest, RetriesAreLimitedByTheBudget)
{
  struct decide_request request = request_at (0);
  int granted = 0;

  for (int i = 0; i < 100; i++)
    granted += decide_retry (decide, &request, 1, 0) == DECIDE_ADMITTED;
  EXPECT_LE (granted, 2);
  EXPECT_EQ (decide_retry (decide, &request, 1, 0), DECIDE_BUDGET);
  EXPECT_EQ (decide_retry (decide, &request, 3, 0), DECIDE_ATTEMPTS);
}

TEST_F (DecideTest, RetryBudgetGrowsWithSuccesses)
{
  struct decide_request request = request_at (0);
  int granted = 0;

  add_target ("t", "a");
  while (decide_retry (decide, &request, 1, 0) == DECIDE_ADMITTED)
    continue;
  for (int i = 0; i < 100; i++)
    run_one (DECIDE_END_WHOLE, i * SECOND, SECOND / 10);
  while (decide_retry (decide, &request, 1, 0) == DECIDE_ADMITTED)
    granted++;
  EXPECT_GE (granted, 9);
  EXPECT_LE (granted, 10);
}

// A common cause (a bad model version, a network partition) makes every target of a pool fail.
// Ejecting all of them would leave no answers at all, so part of the pool must stay in use.
TEST_F (DecideTest, WholePoolIsNeverEjected)
{
  std::vector<struct handle> targets;
  int seen = 0;

  for (int i = 0; i < 9; i++)
    targets.push_back (add_target ("t" + std::to_string (i), "a"));
  for (int i = 0; i < 200; i++)
    run_one (DECIDE_END_FAILED, SECOND + i, 1);
  for (int t = 0; t < 9; t++)
    {
      auto *entry = static_cast<struct board_target *> (table_get (board->targets, targets[t]));
      bool used = false;

      for (int i = 0; i < 200 && !used; i++)
        {
          struct decide_request request = request_at (SECOND + 300);
          used = handle_equal (choose (&request, SECOND + 300).target, targets[t]);
        }
      seen += used;
      EXPECT_NE (entry->decide, nullptr);
    }
  EXPECT_GE (seen, 6);
  EXPECT_LE (seen, 8);
}

// A target fails three times and is ejected.  After the ejection it must get a single probe, not
// its full load, which would fail every request sent to it.
TEST_F (DecideTest, EjectedTargetIsProbedOnce)
{
  struct handle bad = add_target ("bad", "a");
  add_target ("good-1", "a");
  add_target ("good-2", "b");
  int probes = 0;

  for (int i = 0; i < 3;)
    {
      struct decide_request request = request_at (SECOND);
      struct decide_choice choice = choose (&request, SECOND);

      if (!handle_equal (choice.target, bad))
        continue;
      decide_attempt_started (decide, &request, &choice, SECOND);
      end (&request, choice, DECIDE_END_BROKEN, SECOND, SECOND + 1);
      i++;
    }
  for (int i = 0; i < 100; i++)
    {
      struct decide_request request = request_at (2 * SECOND);
      EXPECT_FALSE (handle_equal (choose (&request, 2 * SECOND).target, bad));
    }
  for (int i = 0; i < 100; i++)
    {
      struct decide_request request = request_at (30 * SECOND);
      struct decide_choice choice = choose (&request, 30 * SECOND);

      decide_attempt_started (decide, &request, &choice, 30 * SECOND);
      probes += handle_equal (choice.target, bad);
    }
  EXPECT_EQ (probes, 1);
}

// One of two targets refuses every request immediately.  With nothing in flight it always looks
// less loaded, so every request would be sent to it first; three consecutive refusals must eject
// it.
TEST_F (DecideTest, TargetThatRefusesEverythingIsEjected)
{
  struct handle refuser = add_target ("refuser", "a");
  int refusals = 0;

  add_target ("worker", "a");
  for (int i = 0; i < 40; i++)
    {
      int64_t now = SECOND + i * 10 * USEC_PER_MSEC;
      struct decide_request request = request_at (now);
      struct decide_choice choice = choose (&request, now);
      bool refused = handle_equal (choice.target, refuser);

      refusals += refused;
      decide_attempt_started (decide, &request, &choice, now);
      end (&request, choice, refused ? DECIDE_END_REFUSED : DECIDE_END_WHOLE, now,
           now + (refused ? 1 : 5) * USEC_PER_MSEC);
    }
  EXPECT_LE (refusals, 3);
}

// A target that is leaving, or whose lease has expired, gets no requests, even as the only one.
TEST_F (DecideTest, UnusableTargetsAreNotChosen)
{
  struct handle leaving = add_target ("leaving", "a");
  struct handle expired = add_target ("expired", "a");
  struct decide_request request = request_at (SECOND);

  static_cast<struct board_target *> (table_get (board->targets, leaving))->state = TARGET_LEAVING;
  static_cast<struct board_target *> (table_get (board->targets, expired))->lease_until = SECOND;
  choose (&request, SECOND, DECIDE_NO_TARGET);
  EXPECT_EQ (decide_admit (decide, &request, SECOND).reason, DECIDE_NO_TARGET);
}

// An engine fails, is ejected, and its process restarts under the same name.  The failures and the
// cache of the old process must not be attributed to the new one, which gets a slow start.
TEST_F (DecideTest, RestartResetsTheStateOfATarget)
{
  struct handle restarted = add_target ("restarted", "a");
  auto *entry = static_cast<struct board_target *> (table_get (board->targets, restarted));
  auto *line = static_cast<struct board_pipeline *> (table_get (board->pipelines, pipeline));
  struct decide_request request = request_at (10 * SECOND);

  line->spec.stages[0].kind = STAGE_GENERATE;
  struct handle other = add_target ("other", "a");
  teach_prefill_time ();
  request.n_prefix = 16;
  for (uint32_t block = 0; block < 16; block++)
    {
      request.prefix[block] = (block + 1) * 0x10000;
      decide_cache_event (decide, restarted, request.prefix[block], true, 10 * SECOND);
    }
  struct decide_choice choice = choose (&request, 10 * SECOND);
  EXPECT_TRUE (handle_equal (choice.target, restarted));
  EXPECT_GT (choice.prefix_tokens, 0u);
  decide_attempt_started (decide, &request, &choice, 10 * SECOND);
  end (&request, choice, DECIDE_END_WRONG, 10 * SECOND, 10 * SECOND + 1); // ejected at once
  EXPECT_FALSE (handle_equal (choose (&request, 10 * SECOND + 2).target, restarted));
  entry->incarnation++;
  board_publish (board, BOARD_TARGET_CHANGED, restarted, 10 * SECOND + 3);
  static_cast<struct board_target *> (table_get (board->targets, other))->state = TARGET_LEAVING;
  choice = choose (&request, 10 * SECOND + 4);
  EXPECT_TRUE (handle_equal (choice.target, restarted));
  EXPECT_EQ (choice.prefix_tokens, 0u);
}

// One target becomes five times slower than its pool and must get less work.  After it recovers it
// must get its part again, although the little work it gets gives few samples.
TEST_F (DecideTest, SlowTargetGetsLessWorkUntilItRecovers)
{
  struct handle slow = add_target ("slow", "a");
  int64_t now = 100 * SECOND;
  int to_slow = 0;

  add_target ("b", "a");
  add_target ("c", "a");
  for (int i = 0; i < 300; i++, now += SECOND / 10)
    {
      struct decide_request request = request_at (now);
      struct decide_choice choice = choose (&request, now);
      bool is_slow = handle_equal (choice.target, slow);

      decide_attempt_started (decide, &request, &choice, now);
      end (&request, choice, DECIDE_END_WHOLE, now, now + (is_slow ? 5 : 1) * SECOND / 20);
      to_slow += i >= 200 && is_slow;
    }
  EXPECT_LT (to_slow, 15);
  now += 120 * SECOND;
  to_slow = 0;
  for (int i = 0; i < 300; i++, now += SECOND / 10)
    {
      struct decide_request request = request_at (now);
      struct decide_choice choice = choose (&request, now);

      decide_admit (decide, &request, now);
      decide_attempt_started (decide, &request, &choice, now);
      end (&request, choice, DECIDE_END_WHOLE, now, now + SECOND / 20);
      decide_finish (decide, &request, true, now);
      to_slow += i >= 200 && handle_equal (choice.target, slow);
    }
  EXPECT_GT (to_slow, 20);
}

// A failure domain fails: the second attempt must not go to another target in it.
TEST_F (DecideTest, RetryPrefersAnotherFailureDomain)
{
  struct handle first = add_target ("a-1", "a");
  add_target ("a-2", "a");
  struct handle other = add_target ("b-1", "b");

  for (int i = 0; i < 50; i++)
    {
      struct decide_request request = request_at (10 * SECOND);
      struct decide_choice choice = choose (&request, 10 * SECOND, DECIDE_ADMITTED, { first });
      EXPECT_TRUE (handle_equal (choice.target, other));
    }
}

// Many requests share a prompt prefix that one target has cached.  That target looks best for all
// of them, and without a bound it would get the whole pool's work.
TEST_F (DecideTest, PopularPrefixDoesNotOverloadItsTarget)
{
  auto *line = static_cast<struct board_pipeline *> (table_get (board->pipelines, pipeline));
  std::vector<struct handle> targets;
  std::vector<int> chosen (6);

  line->spec.stages[0].kind = STAGE_GENERATE;
  for (int i = 0; i < 6; i++)
    targets.push_back (add_target ("t" + std::to_string (i), "a"));
  teach_prefill_time ();
  for (int i = 0; i < 60; i++)
    {
      struct decide_request request = request_at (10 * SECOND);

      request.n_prefix = 16;
      for (uint32_t block = 0; block < 16; block++)
        {
          request.prefix[block] = (block + 1) * 0x10000;
          decide_cache_event (decide, targets[0], request.prefix[block], true, 10 * SECOND);
        }
      struct decide_choice choice = choose (&request, 10 * SECOND);
      decide_attempt_started (decide, &request, &choice, 10 * SECOND);
      for (int t = 0; t < 6; t++)
        chosen[t] += handle_equal (choice.target, targets[t]);
    }
  EXPECT_GE (chosen[0], 12); // more than an even split, 10
  EXPECT_LE (chosen[0], 20);
}

// A stage takes three seconds.  A request with one second left, if admitted, would use a slot for
// three seconds for an answer that is discarded.
TEST_F (DecideTest, RequestThatCannotEndInTimeIsNotAdmitted)
{
  add_target ("t", "a");
  for (int i = 0; i < 20; i++)
    run_one (DECIDE_END_WHOLE, i * 10 * SECOND, 3 * SECOND);
  struct decide_request request = request_at (300 * SECOND);
  request.deadline = 301 * SECOND;
  EXPECT_EQ (decide_admit (decide, &request, 300 * SECOND).reason, DECIDE_WINDOW);
  request.deadline = 304 * SECOND;
  EXPECT_EQ (decide_admit (decide, &request, 300 * SECOND).reason, DECIDE_ADMITTED);
  decide_finish (decide, &request, false, 300 * SECOND);
}

// More requests arrive than can end in time.  If all were admitted, every answer would be late; the
// excess must be refused with a delay for the retry.
TEST_F (DecideTest, OverloadIsRefusedWithARetryDelay)
{
  int admitted = 0;
  int refused = 0;

  add_target ("t", "a");
  for (int i = 0; i < 20; i++)
    run_one (DECIDE_END_WHOLE, i * 10 * SECOND, SECOND);
  for (int i = 0; i < 100; i++)
    {
      struct decide_request request = request_at (300 * SECOND);
      struct decide_admission admission = decide_admit (decide, &request, 300 * SECOND);

      admitted += admission.reason == DECIDE_ADMITTED;
      if (admission.reason == DECIDE_ADMITTED)
        continue;
      EXPECT_EQ (admission.reason, DECIDE_WINDOW);
      EXPECT_GT (admission.retry_after, 0);
      refused++;
    }
  EXPECT_GE (admitted, 8); // four slots, one second each, a window of four seconds
  EXPECT_LE (admitted, 18);
  EXPECT_EQ (admitted + refused, 100);
}

// A large organisation floods the system.  Small ones with few requests must still be served.
TEST_F (DecideTest, FloodingOrganisationLeavesOthersTheirShare)
{
  struct handle large = add_organisation ("large", 1);
  struct handle small = add_organisation ("small", 1);
  int served = 0;

  add_target ("t", "a");
  for (int i = 0; i < 20; i++)
    run_one (DECIDE_END_WHOLE, i * 10 * SECOND, SECOND);
  for (int i = 0; i < 100; i++)
    {
      struct decide_request request = request_at (300 * SECOND);
      request.organisation = large;
      decide_admit (decide, &request, 300 * SECOND);
    }
  for (int i = 0; i < 2; i++)
    {
      struct decide_request request = request_at (300 * SECOND);
      request.organisation = small;
      served += decide_admit (decide, &request, 300 * SECOND).reason == DECIDE_ADMITTED;
    }
  EXPECT_EQ (served, 2);
}

// A request that can no longer end in time must be recognised: continuing it uses slots without any
// result.
TEST_F (DecideTest, DeadlineIsUnreachableOnceItHasPassed)
{
  struct decide_request request = request_at (0);

  EXPECT_FALSE (decide_deadline_is_unreachable (decide, &request, SECOND));
  EXPECT_TRUE (decide_deadline_is_unreachable (decide, &request, 4 * SECOND));
}

// An engine accepts a generation and sends no output.  Waiting as long as for a complete answer
// would leave no time for another target, so the first output has its own, earlier timeout.
TEST_F (DecideTest, FirstOutputTimeoutLeavesTimeForAnotherAttempt)
{
  auto *line = static_cast<struct board_pipeline *> (table_get (board->pipelines, pipeline));

  line->spec.stages[0].kind = STAGE_GENERATE;
  add_target ("t", "a");
  for (int i = 0; i < 20; i++)
    {
      struct decide_request request = request_at (i * 10 * SECOND);
      request.output_tokens = 50;
      struct decide_choice choice = choose (&request, request.arrived);
      struct decide_result result = {};

      result.target = choice.target;
      result.end = DECIDE_END_WHOLE;
      result.started = request.arrived;
      result.first_data = request.arrived + SECOND / 10;
      result.ended = request.arrived + SECOND;
      result.input_tokens = request.input_tokens;
      result.output_tokens = 50;
      result.choice = choice;
      decide_attempt_started (decide, &request, &choice, request.arrived);
      decide_attempt_ended (decide, &request, &result, result.ended);
    }
  struct decide_request request = request_at (300 * SECOND);
  request.output_tokens = 50;
  struct decide_choice choice = choose (&request, 300 * SECOND);
  EXPECT_LT (choice.first_output_by, 301 * SECOND);
  EXPECT_GT (choice.first_output_by, 300 * SECOND + SECOND / 10);
  EXPECT_GE (choice.timeout_at, choice.first_output_by);
  request.repeatable = false; // the outcome would be unknown, and it must not be sent again
  EXPECT_EQ (choose (&request, 300 * SECOND).first_output_by, USEC_NEVER);
  EXPECT_EQ (choose (&request, 300 * SECOND).timeout_at, USEC_NEVER);
}

// Requests of low priority fill the slots.  A request of high priority overtakes them at the
// engines, so it must not be refused for their queueing delay.
TEST_F (DecideTest, HighPriorityIsAdmittedPastQueuedLowPriority)
{
  add_target ("t", "a");
  for (int i = 0; i < 20; i++)
    run_one (DECIDE_END_WHOLE, i * 10 * SECOND, SECOND);
  enum decide_reason last = DECIDE_ADMITTED;
  for (int i = 0; i < 60; i++)
    {
      struct decide_request request = request_at (300 * SECOND);
      request.priority = 2;
      last = decide_admit (decide, &request, 300 * SECOND).reason;
    }
  EXPECT_EQ (last, DECIDE_PRIORITY);
  struct decide_request price = request_at (300 * SECOND);
  price.priority = 9;
  EXPECT_EQ (decide_admit (decide, &price, 300 * SECOND).reason, DECIDE_ADMITTED);
}

// A target is removed while attempts are running on it.  They must not stay counted, or the pool
// looks full to every later choice.
TEST_F (DecideTest, AttemptsOnARemovedTargetAreNotCounted)
{
  struct handle gone = add_target ("gone", "a");
  struct decide_request request = request_at (SECOND);
  struct decide_choice choice = choose (&request, SECOND);

  decide_attempt_started (decide, &request, &choice, SECOND);
  board_publish (board, BOARD_TARGET_REMOVED, gone, SECOND);
  table_remove (board->targets, gone);
  end (&request, choice, DECIDE_END_BROKEN, SECOND, 2 * SECOND);
  json_t *state = decide_describe (decide, 2 * SECOND);
  json_t *first = json_array_get (json_object_get (state, "pools"), 0);
  EXPECT_EQ (json_integer_value (json_object_get (first, "running")), 0);
  json_decref (state);
}

TEST_F (DecideTest, ConcurrencyLimitIsScaledByTheShare)
{
  struct handle handle = add_organisation ("o", 1);
  auto *entry = static_cast<struct board_organisation *> (table_get (board->organisations, handle));
  std::vector<struct decide_request> running;
  struct decide_request request = request_at (SECOND);

  entry->spec.concurrency = 8;
  add_target ("t", "a");
  decide_set_share (decide, handle, 0.5, 0);
  for (int i = 0; i < 4; i++)
    {
      running.push_back (request);
      running.back ().organisation = handle;
      ASSERT_EQ (decide_admit (decide, &running.back (), SECOND).reason, DECIDE_ADMITTED);
    }
  request.organisation = handle;
  EXPECT_EQ (decide_admit (decide, &request, SECOND).reason, DECIDE_CONCURRENCY);
  decide_finish (decide, &running[0], true, SECOND);
  EXPECT_EQ (decide_admit (decide, &request, SECOND).reason, DECIDE_ADMITTED);
}

} // namespace
