/* Run the consensus exploration over many seeds: explore VOTERS FIRST_SEED SEEDS STEPS
 * [plain|bad-disks|spares|tight-disks]. Prints each seed that violates an invariant, then totals;
 * fails when there was one.
 *
 * explore failover VOTERS SEEDS: time without a leader, on virtual time, after the leader's host
 * stopped and after a leadership transfer. */
#include "explore.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static void
add (struct fake_group_count *total, const struct fake_group_count *count)
{
  total->proposed += count->proposed;
  total->committed += count->committed;
  total->reads += count->reads;
  total->reads_ok += count->reads_ok;
  total->crashes += count->crashes;
  total->disks_lost += count->disks_lost;
  total->elections += count->elections;
  total->messages += count->messages;
}

#define FAILOVER_MAX (30 * USEC_PER_SEC)

/* Returns the time without a working leader, in microseconds. */
static int64_t
measure_failover (uint32_t voters, uint64_t seed, bool hand_over)
{
  struct fake_group_config config = { .seed = seed, .voters = voters };
  struct fake_group *group = fake_group_new (NULL, &config);
  int leader = fake_group_await_leader (group, FAILOVER_MAX);
  int64_t began;
  int64_t took;

  fake_group_run (group, 5 * USEC_PER_SEC + (int64_t) (seed * 7919 % USEC_PER_SEC));
  began = fake_group_now (group);
  if (hand_over)
    {
      consensus_voter_transfer (fake_group_consensus (group, (uint32_t) leader),
                                fake_group_local_time (group, (uint32_t) leader));
      while (fake_group_await_leader (group, 0) == leader
             && fake_group_now (group) - began < FAILOVER_MAX)
        fake_group_run (group, USEC_PER_MSEC / 10);
    }
  else
    fake_group_stop (group, (uint32_t) leader, true);
  fake_group_await_leader (group, FAILOVER_MAX);
  took = fake_group_now (group) - began;
  talloc_free (group);
  return took;
}

static int
compare_times (const void *a, const void *b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;

  return (x > y) - (x < y);
}

static int
run_failover (uint32_t voters, uint64_t seeds)
{
  int64_t *times = talloc_array (NULL, int64_t, seeds);
  uint64_t half = seeds / 2;
  uint64_t late = seeds * 99 / 100;

  for (int hand_over = 0; hand_over < 2 && times != NULL && seeds > 0; hand_over++)
    {
      for (uint64_t i = 0; i < seeds; i++)
        times[i] = measure_failover (voters, i + 1, hand_over);
      qsort (times, seeds, sizeof times[0], compare_times);
      printf ("%u voters, %" PRIu64 " seeds, %s: p50 %.1f ms, p99 %.1f ms, max %.1f ms\n", voters,
              seeds, hand_over ? "hand-over" : "host died", (double) times[half] / 1000,
              (double) times[late] / 1000, (double) times[seeds - 1] / 1000);
    }
  talloc_free (times);
  return 0;
}

int
main (int argc, char **argv)
{
  struct fake_group_count total = { 0 };
  struct explore_config config = { 0 };
  struct explore_result result;
  uint64_t first;
  uint64_t seeds;
  uint64_t events = 0;
  uint64_t broken = 0;

  if (argc == 4 && strcmp (argv[1], "failover") == 0)
    return run_failover ((uint32_t) strtoul (argv[2], NULL, 10), strtoull (argv[3], NULL, 10));
  if (argc != 5 && argc != 6)
    {
      fprintf (
          stderr,
          "usage: explore VOTERS FIRST_SEED SEEDS STEPS [plain|bad-disks|spares|tight-disks]\n");
      return 2;
    }
  config.voters = (uint32_t) strtoul (argv[1], NULL, 10);
  first = strtoull (argv[2], NULL, 10);
  seeds = strtoull (argv[3], NULL, 10);
  config.steps = (uint32_t) strtoul (argv[4], NULL, 10);
  config.no_contests = argc == 6 && strcmp (argv[5], "plain") == 0;
  config.bad_disks = argc == 6 && !config.no_contests;
  config.tight_disks = argc == 6 && strcmp (argv[5], "tight-disks") == 0;
  config.spares = argc == 6 && strcmp (argv[5], "spares") == 0 ? 2 : 0;
  for (uint64_t i = 0; i < seeds; i++)
    {
      config.seed = first + i;
      explore (&config, &result);
      events += result.events;
      add (&total, &result.count);
      if (result.breach[0] == '\0')
        continue;
      broken++;
      printf ("seed %" PRIu64 ": %s\n", config.seed, result.breach);
      fflush (stdout);
    }
  printf ("voters %u, seeds %" PRIu64 ", steps %u each, events %" PRIu64 ", broken %" PRIu64 "\n",
          config.voters, seeds, config.steps, events, broken);
  printf ("proposed %" PRIu64 ", committed %" PRIu64 ", reads %" PRIu64 " (%" PRIu64
          " answered), crashes %" PRIu64 ", disks lost %" PRIu64 ", terms with a leader %" PRIu64
          ", messages %" PRIu64 "\n",
          total.proposed, total.committed, total.reads, total.reads_ok, total.crashes,
          total.disks_lost, total.elections, total.messages);
  return broken > 0;
}
