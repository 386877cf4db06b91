/* quarantine: effect of poison requests and poison parts of prompts on fleets of growing size, in
 * virtual time.
 *
 *   quarantine [--seconds N] [--seeds N] [--rate N] */
#include "quarantine_fleet.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

struct options
{
  uint32_t seconds;
  uint32_t seeds;
  double rate;
};

static const struct argp_option argp_options[] = {
  { "seconds", 's', "N", 0, "virtual seconds per run (40)", 0 },
  { "seeds", 'k', "N", 0, "runs per scenario and fleet size (10)", 0 },
  { "rate", 'r', "N", 0, "arrivals per second of each poison request or part (8)", 0 },
  { 0 },
};

static error_t
parse (int key, char *value, struct argp_state *state)
{
  struct options *options = state->input;

  switch (key)
    {
    case 's':
      options->seconds = (uint32_t) strtoul (value, NULL, 10);
      return 0;
    case 'k':
      options->seeds = (uint32_t) strtoul (value, NULL, 10);
      return 0;
    case 'r':
      options->rate = strtod (value, NULL);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct
{
  const char *name;
  struct quarantine_fleet_config config;
} scenarios[] = {
  { "one, not held back", { .poison = 1, .poison_run_max = 100 * USEC_PER_MSEC } },
  { "one", { .quarantine_enabled = true, .poison = 1, .poison_run_max = 100 * USEC_PER_MSEC } },
  { "one, slow to end",
    { .quarantine_enabled = true, .poison = 1, .poison_run_max = 900 * USEC_PER_MSEC } },
  { "three, restarts, cuts",
    { .quarantine_enabled = true,
      .poison = 3,
      .poison_run_max = 300 * USEC_PER_MSEC,
      .restarts = 6,
      .partitions = 6 } },
  { "one, all restart",
    { .quarantine_enabled = true,
      .poison = 1,
      .poison_run_max = 300 * USEC_PER_MSEC,
      .full_restarts = 1 } },
  { "none, power cuts", { .quarantine_enabled = true, .power_cuts = 6 } },
  { "none, runs reset", { .quarantine_enabled = true, .reset_share = 0.6 } },
  { "part, not held back",
    { .prompts = true, .poison = 1, .poison_run_max = 100 * USEC_PER_MSEC } },
  { "part",
    { .quarantine_enabled = true,
      .prompts = true,
      .poison = 1,
      .poison_run_max = 100 * USEC_PER_MSEC } },
  { "part, slow to end",
    { .quarantine_enabled = true,
      .prompts = true,
      .poison = 1,
      .poison_run_max = 900 * USEC_PER_MSEC } },
  { "two parts, restarts",
    { .quarantine_enabled = true,
      .prompts = true,
      .poison = 2,
      .poison_run_max = 300 * USEC_PER_MSEC,
      .restarts = 6,
      .partitions = 6 } },
  { "part, all restart",
    { .quarantine_enabled = true,
      .prompts = true,
      .poison = 1,
      .poison_run_max = 300 * USEC_PER_MSEC,
      .full_restarts = 1 } },
  { "no part, own crashes",
    { .quarantine_enabled = true, .prompts = true, .own_crashes = 1, .power_cuts = 6 } },
};

static const uint32_t sizes[] = { 3, 9, 30, 100, 300 };

static void
simulate (const struct options *options, const char *name, struct quarantine_fleet_config config)
{
  struct quarantine_fleet_figures sum = { .crashes = 0 };

  for (uint32_t i = 1; i <= options->seeds; i++)
    {
      struct quarantine_fleet_figures one;

      config.seed = i;
      if (!quarantine_fleet_simulate (&config, &one))
        {
          fprintf (stderr, "out of memory\n");
          exit (EXIT_FAILURE);
        }
      sum.crashes += one.crashes;
      sum.late_sends_max =
          one.late_sends_max > sum.late_sends_max ? one.late_sends_max : sum.late_sends_max;
      sum.normal += one.normal;
      sum.normal_lost += one.normal_lost;
      sum.normal_held += one.normal_held;
      sum.normal_deferred += one.normal_deferred;
      sum.messages += one.messages / options->seeds;
      sum.bytes += one.bytes / options->seeds;
      sum.burst_bytes = one.burst_bytes > sum.burst_bytes ? one.burst_bytes : sum.burst_bytes;
      sum.table_bytes = one.table_bytes > sum.table_bytes ? one.table_bytes : sum.table_bytes;
    }
  printf ("%-22s %5u %6.1f %5u %8.4f %5u %5u %7.2f %7.0f %8.0f %7u\n", name, config.hosts,
          (double) sum.crashes / options->seeds, sum.late_sends_max,
          (double) sum.normal_lost / sum.normal, sum.normal_held, sum.normal_deferred, sum.messages,
          sum.bytes, sum.burst_bytes, sum.table_bytes);
}

int
main (int argc, char **argv)
{
  const struct argp parser = {
    .options = argp_options,
    .parser = parse,
    .doc = "Effect of poison requests and parts on fleets of growing size, in virtual time."
  };
  struct options options = { .seconds = 40, .seeds = 10, .rate = 8 };

  setvbuf (stdout, NULL, _IOLBF, 0);
  argp_parse (&parser, argc, argv, 0, NULL, &options);
  printf ("%-22s %5s %6s %5s %8s %5s %5s %7s %7s %8s %7s\n", "play", "hosts", "ends", "late",
          "lost", "held", "wait", "msg/s", "B/s", "burst B", "table B");
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    for (size_t j = 0; j < sizeof sizes / sizeof sizes[0]; j++)
      {
        struct quarantine_fleet_config config = scenarios[i].config;

        config.hosts = sizes[j];
        config.controllers = sizes[j] < 100 ? 3 : 9;
        config.targets = 2 * sizes[j] < 12 ? 12 : 2 * sizes[j];
        config.duration = options.seconds * USEC_PER_SEC;
        config.poison_rate = options.rate;
        config.normal_rate = 5.0 * sizes[j];
        config.poison_after = config.prompts ? 5 * USEC_PER_SEC : USEC_PER_SEC;
        config.popular = 0.1;
        simulate (&options, scenarios[i].name, config);
      }
  return EXIT_SUCCESS;
}
