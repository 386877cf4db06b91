/* Explore many seeds by hand: explore VOTERS FIRST_SEED SEEDS STEPS [plain].  Prints each seed that
 * breaks a rule, then totals; fails when there was one. */
#include "explore.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

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

int
main (int argc, char **argv)
{
  struct fake_group_count total = { 0 };
  struct explore_config config;
  struct explore_result result;
  uint64_t first;
  uint64_t seeds;
  uint64_t events = 0;
  uint64_t broken = 0;

  if (argc != 5 && argc != 6)
    {
      fprintf (stderr, "usage: explore VOTERS FIRST_SEED SEEDS STEPS [plain]\n");
      return 2;
    }
  config.voters = (uint32_t) strtoul (argv[1], NULL, 10);
  first = strtoull (argv[2], NULL, 10);
  seeds = strtoull (argv[3], NULL, 10);
  config.steps = (uint32_t) strtoul (argv[4], NULL, 10);
  config.plain = argc == 6;
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
