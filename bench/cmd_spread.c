/* spread: simulates ways to disseminate membership and the directory of targets on virtual time,
 * and counts their traffic.
 *
 *   spread EXPERIMENT [--way NAME] [--hosts N] [--trials N] [--seconds N] [--loss SHARE] */
#include "spread_measure.h"
#include "status.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct options
{
  const char *experiment;
  const char *way; /* NULL for all */
  uint32_t hosts;
  uint32_t homes;
  uint32_t targets;
  uint32_t trials;
  uint32_t seconds;
  double loss;
  uint64_t seed;
};

static const struct spread_protocol *const ways[] = {
  &spread_protocol_heartbeat,
  &spread_protocol_probe,
  &spread_protocol_tree,
};

static const struct
{
  const char *name;
  void (*run) (const struct spread_case *c);
} experiments[] = {
  { "idle", spread_measure_idle },   { "busy", spread_measure_busy },
  { "dead", spread_measure_dead },   { "silent", spread_measure_silent },
  { "leave", spread_measure_leave }, { "alarms", spread_measure_alarms },
  { "link", spread_measure_link },
};

static const struct argp_option argp_options[] = {
  { "way", 'w', "NAME", 0, "heartbeat, probe or tree; all when absent", 0 },
  { "hosts", 'n', "N", 0, "instances (9)", 0 },
  { "targets", 't', "N", 0, "targets, for the experiment directory (18)", 0 },
  { "homes", 'm', "N", 0, "hosts that are homes of targets, for directory (1)", 0 },
  { "trials", 'k', "N", 0, "runs from different seeds (20)", 0 },
  { "seconds", 's', "N", 0, "virtual time measured (120)", 0 },
  { "loss", 'l', "SHARE", 0, "share of messages lost at random (0)", 0 },
  { "seed", 'r', "N", 0, "first seed (1)", 0 },
  { 0 },
};

static error_t
parse (int key, char *value, struct argp_state *state)
{
  struct options *options = state->input;

  switch (key)
    {
    case 'w':
      options->way = value;
      break;
    case 'n':
      options->hosts = (uint32_t) strtoul (value, NULL, 10);
      break;
    case 't':
      options->targets = (uint32_t) strtoul (value, NULL, 10);
      break;
    case 'm':
      options->homes = (uint32_t) strtoul (value, NULL, 10);
      break;
    case 'k':
      options->trials = (uint32_t) strtoul (value, NULL, 10);
      break;
    case 's':
      options->seconds = (uint32_t) strtoul (value, NULL, 10);
      break;
    case 'l':
      options->loss = strtod (value, NULL);
      break;
    case 'r':
      options->seed = strtoull (value, NULL, 10);
      break;
    case ARGP_KEY_ARG:
      options->experiment = value;
      break;
    case ARGP_KEY_END:
      if (options->experiment == NULL || options->hosts < 6 || options->hosts > SPREAD_HOSTS_MAX
          || options->trials == 0 || options->homes == 0 || options->homes > options->hosts)
        argp_usage (state);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static bool
run_ways (const struct options *options)
{
  bool ran = false;

  for (size_t e = 0; e < sizeof experiments / sizeof experiments[0]; e++)
    for (size_t w = 0; w < sizeof ways / sizeof ways[0]; w++)
      {
        struct spread_case c = {
          .way = ways[w],
          .n_hosts = options->hosts,
          .trials = options->trials,
          .span = options->seconds * USEC_PER_SEC,
          .loss = options->loss,
          .seed = options->seed,
        };

        if (strcmp (options->experiment, experiments[e].name) != 0
            || (options->way != NULL && strcmp (options->way, ways[w]->name) != 0))
          continue;
        experiments[e].run (&c);
        fflush (stdout);
        ran = true;
      }
  return ran;
}

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    .options = argp_options,
    .parser = parse,
    .args_doc = "idle|busy|dead|silent|leave|alarms|link|directory|target",
    .doc = "Measure the traffic and delay of ways to disseminate membership and the directory of "
           "targets.",
  };
  struct options options = {
    .hosts = 9, .homes = 1, .targets = 18, .trials = 20, .seconds = 120, .seed = 1
  };

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  if (strcmp (options.experiment, "directory") == 0)
    spread_measure_directory (options.hosts, options.homes, options.targets,
                              options.seconds * USEC_PER_SEC, options.seed);
  else if (strcmp (options.experiment, "target") == 0)
    spread_measure_target_leave (options.hosts, options.trials, options.loss, options.seed);
  else if (!run_ways (&options))
    {
      fprintf (stderr, "spread: no experiment %s of way %s\n", options.experiment,
               options.way != NULL ? options.way : "(all)");
      return 2;
    }
  return 0;
}
