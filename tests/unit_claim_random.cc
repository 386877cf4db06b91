// Randomized test of claims with seeds: three hosts share a log whose entries and answers are lost
// or late; hosts die, restart and are wrongly declared dead; callers resend to any host.
//
// In every order of events a request is sent to a target at most once, and after all faults have
// ended no id stays held without a host that runs it.
#include "claim_log.h"
#include "claim_machine.h"
#include "rng.h"
#include "store_group.h"
#include "unit_store_log.h"
#include <memory>
#include <vector>

namespace
{

constexpr int64_t SEC = USEC_PER_SEC;
constexpr int HOSTS = 3;
constexpr int IDS = 6;
constexpr int STEPS = 400;

struct simulation;

struct caller
{
  struct claim_waiter waiter = {};
  struct simulation *simulation = nullptr;
  int host = 0;
  int id = 0;
  uint64_t incarnation = 0; // incarnation of the host at the time of the acquire
  bool answered = false;
  enum claim_verdict verdict = CLAIM_VERDICT_COUNT;
};

struct simulated_host
{
  std::unique_ptr<struct test_log> log;
  struct claim_log *claims = nullptr;
  struct board *board = nullptr;
  uint64_t incarnation = 0;
  std::vector<int> running = {}; // ids that were sent and are not settled
};

struct simulation
{
  struct test_clock clock;
  void *memory = talloc_new (nullptr);
  struct claim_machine_config machine_config = {};
  struct store_group *group = store_group_new (memory);
  struct claim_machine *machine = claim_machine_new (memory, &machine_config);
  struct counters *counters = counters_new (memory);
  struct rng rng;
  struct simulated_host hosts[HOSTS];
  std::list<struct caller> callers = {};
  int sent[IDS] = {};
  bool faults_ended = false; // no more random releases

  explicit simulation (uint64_t seed)
  {
    rng_init (&rng, seed);
    store_group_add (group, STORE_PART_CLAIMS, claim_machine_machine (machine));
    for (int i = 0; i < HOSTS; i++)
      {
        hosts[i].board = board_new (memory);
        for (int j = 0; j < HOSTS; j++)
          add_host (hosts[i].board, j, i == j);
        start (i);
      }
  }

  ~simulation ()
  {
    for (auto &host : hosts)
      talloc_free (host.claims);
    talloc_free (memory);
  }

  static std::string
  name_of (int host)
  {
    return "host" + std::to_string (host);
  }

  static void
  add_host (struct board *board, int which, bool self)
  {
    struct handle handle;
    struct board_host *entry = static_cast<struct board_host *> (table_add (board->hosts, &handle));

    snprintf (entry->name, sizeof entry->name, "%s", name_of (which).c_str ());
    entry->incarnation = 1;
    entry->self = self;
  }

  void
  start (int which)
  {
    struct simulated_host &host = hosts[which];
    struct claim_log_config config = {};
    std::string name = name_of (which);
    std::list<std::string> late;

    if (host.log != nullptr)
      late = host.log->late;
    host.incarnation++;
    host.running.clear ();
    host.log = std::make_unique<struct test_log> (store_group_machine (group), clock.timers);
    host.log->late = late; // entries sent by the dead process may still be applied
    config.groups[0] = &host.log->consensus;
    config.n_groups = 1;
    config.board = host.board;
    config.timers = clock.timers;
    config.counters = counters;
    config.host = name.c_str ();
    config.incarnation = host.incarnation;
    config.wall_offset_ms = 1000000;
    config.retention = 36000 * SEC;
    config.answer_bytes = 100;
    host.claims = claim_log_new (nullptr, &config, clock.now);
  }

  void
  crash (int which)
  {
    talloc_free (hosts[which].claims);
    for (auto &caller : callers)
      caller.answered = caller.answered || caller.host == which;
    start (which);
  }

  struct claim_key
  key (int id, std::string &text) const
  {
    text = "id" + std::to_string (id);
    return { "org", text.c_str () };
  }

  static void
  answered (struct claim_waiter *waiter, const struct claim_answer *answer, int64_t)
  {
    struct caller *caller = reinterpret_cast<struct caller *> (waiter);

    EXPECT_FALSE (caller->answered);
    caller->answered = true;
    caller->verdict = answer->verdict;
    if (answer->verdict == CLAIM_GRANTED)
      caller->simulation->granted (caller);
  }

  // The request path: mostly sends the request; sometimes finds no target and releases the claim.
  void
  granted (struct caller *caller)
  {
    struct claims *claims = claim_log_claims (hosts[caller->host].claims);
    std::string text;
    struct claim_key name = key (caller->id, text);

    if (!faults_ended && rng_below (&rng, 4) == 0)
      {
        EXPECT_EQ (claims->ops->release (claims, &name, clock.now), STATUS_OK);
        return;
      }
    sent[caller->id]++;
    hosts[caller->host].running.push_back (caller->id);
  }

  struct caller &
  acquire (int host, int id, int64_t within)
  {
    static const struct claim_waiter_ops ops = { answered };
    struct claims *claims = claim_log_claims (hosts[host].claims);
    struct claim_request request = {};
    std::string text;

    callers.emplace_back ();
    struct caller &caller = callers.back ();
    caller.waiter.ops = &ops;
    caller.simulation = this;
    caller.host = host;
    caller.id = id;
    request.key = key (id, text);
    EXPECT_EQ (
        claims->ops->acquire (claims, &request, &caller.waiter, clock.now + within, clock.now),
        STATUS_OK);
    return caller;
  }

  void
  settle_one (int which)
  {
    struct simulated_host &host = hosts[which];
    struct claims *claims = claim_log_claims (host.claims);
    std::string text;

    if (host.running.empty ())
      return;
    struct claim_key name = key (host.running.back (), text);
    EXPECT_EQ (claims->ops->settle (claims, &name, 200, "whole", "x", 1, nullptr, clock.now),
               STATUS_OK);
    host.running.pop_back ();
  }

  void
  step ()
  {
    static const enum delivery_mode modes[] = {
      delivery_mode::APPLIED, delivery_mode::APPLIED,    delivery_mode::ANSWER_LOST,
      delivery_mode::LATE,    delivery_mode::ENTRY_LOST, delivery_mode::REFUSED
    };
    int which = static_cast<int> (rng_below (&rng, HOSTS));
    struct simulated_host &host = hosts[which];

    switch (rng_below (&rng, 10))
      {
      case 0:
      case 1:
      case 2:
        acquire (which, static_cast<int> (rng_below (&rng, IDS)),
                 static_cast<int64_t> (rng_below (&rng, 4 * SEC)) + 1);
        break;
      case 3:
        settle_one (which);
        break;
      case 4:
      case 5:
        host.log->delivery_mode = modes[rng_below (&rng, 6)];
        break;
      case 6:
        host.log->deliver_late ();
        break;
      case 7:
        // The board can be wrong in both directions: a live host as dead, a dead host as alive.
        board_find_host (host.board, name_of ((which + 1) % HOSTS).c_str (), nullptr)->state =
            rng_below (&rng, 3) == 0 ? HOST_DEAD : HOST_ALIVE;
        break;
      case 8:
        if (rng_below (&rng, 8) == 0)
          crash (which);
        break;
      default:
        clock.run (static_cast<int64_t> (rng_below (&rng, 2 * SEC)));
        break;
      }
  }

  void
  end_faults ()
  {
    faults_ended = true;
    for (auto &host : hosts)
      {
        host.log->delivery_mode = delivery_mode::APPLIED;
        host.log->deliver_late ();
        for (int i = 0; i < HOSTS; i++)
          {
            struct board_host *entry = board_find_host (host.board, name_of (i).c_str (), nullptr);
            entry->state = HOST_ALIVE;
            entry->incarnation = hosts[i].incarnation;
          }
      }
    clock.run (30 * SEC);
    for (int i = 0; i < HOSTS; i++)
      while (!hosts[i].running.empty ())
        settle_one (i);
    clock.run (30 * SEC);
  }
};

class ClaimExplorer : public testing::TestWithParam<uint64_t>
{
};

TEST_P (ClaimExplorer, ARequestIsSentAtMostOnceAndNoIdIsLeftHeld)
{
  struct simulation simulation (GetParam ());

  for (int i = 0; i < STEPS; i++)
    {
      simulation.step ();
      for (int id = 0; id < IDS; id++)
        ASSERT_LE (simulation.sent[id], 1) << "id " << id << " step " << i;
    }
  simulation.end_faults ();
  for (int id = 0; id < IDS; id++)
    {
      struct caller &last = simulation.acquire (id % HOSTS, id, 5 * SEC);

      simulation.clock.run (10 * SEC);
      EXPECT_TRUE (last.answered);
      EXPECT_NE (last.verdict, CLAIM_IN_FLIGHT) << "id " << id;
      EXPECT_NE (last.verdict, CLAIM_UNREACHABLE) << "id " << id;
      EXPECT_LE (simulation.sent[id], 1);
    }
  for (auto &host : simulation.hosts)
    EXPECT_EQ (claim_log_pending (host.claims), 0u);
}

INSTANTIATE_TEST_SUITE_P (Seeds, ClaimExplorer, testing::Range (UINT64_C (1), UINT64_C (41)));

}
