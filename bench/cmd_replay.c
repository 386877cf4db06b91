/* Runs experiments on real processes; prints one tab-separated row for each. */
#include "experiment.h"
#include <argp.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

struct options
{
  struct experiment_setup setup;
  bool chosen[EXPERIMENT_COUNT];
  bool any;
};

static const struct argp_option option_list[] = {
  { "site", 's', "SITE", 0, "bkk or ar-centro (default bkk)", 0 },
  { "seed", 'e', "N", 0, "seed of the trace (default 1)", 0 },
  { "seconds", 'l', "S", 0, "length of the trace (default 60)", 0 },
  { "rate", 'r', "R", 0, "requests a second outside a burst (default 20)", 0 },
  { "time-scale", 't', "X", 0, "factor on arrivals, windows and service times (default 0.2)", 0 },
  { "hosts", 'n', "N", 0, "host processes (default 6)", 0 },
  { 0 },
};

static bool
parse_positive (const char *text, double max, double *out)
{
  char *end;

  *out = strtod (text, &end);
  return end != text && *end == '\0' && isfinite (*out) && *out > 0 && *out <= max;
}

static bool
take_argument (struct options *options, const char *text)
{
  enum experiment experiment;

  if (!experiment_find (text, &experiment))
    return false;
  options->chosen[experiment] = true;
  options->any = true;
  return true;
}

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct options *options = state->input;
  struct experiment_setup *setup = &options->setup;
  double number = 0;
  bool valid = true;

  switch (key)
    {
    case 's':
      valid = strcmp (value, "bkk") == 0 || strcmp (value, "ar-centro") == 0;
      setup->site = strcmp (value, "bkk") == 0 ? TRACE_BKK : TRACE_AR_CENTRO;
      break;
    case 'e':
      valid = parse_positive (value, 1e9, &number);
      setup->seed = (uint64_t) number;
      break;
    case 'l':
      valid = parse_positive (value, 3600, &number);
      setup->length = (int64_t) (number * USEC_PER_SEC);
      break;
    case 'r':
      valid = parse_positive (value, 10000, &setup->rate);
      break;
    case 't':
      valid = parse_positive (value, 10, &setup->time_scale);
      break;
    case 'n':
      valid = parse_positive (value, LAUNCH_HOSTS_MAX, &number);
      setup->hosts = (uint32_t) number;
      break;
    case ARGP_KEY_ARG:
      valid = take_argument (options, value);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  if (!valid)
    argp_error (state, "invalid value: %s", value);
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    option_list,
    parse_option,
    "[EXPERIMENT...]",
    "Replay a trace through real hosts and fakes and print a row for each experiment; all of "
    "them when none is named.",
    NULL,
    NULL,
    NULL
  };
  struct options options = {
    .setup = { .seed = 1, .length = 60 * USEC_PER_SEC, .rate = 20, .time_scale = 0.2, .hosts = 6 }
  };
  int failures = 0;

  if (argp_parse (&argp, argc, argv, 0, NULL, &options) != 0)
    return EXIT_FAILURE;
  experiment_print_head (stdout);
  for (int i = 0; i < EXPERIMENT_COUNT; i++)
    {
      void *scratch = talloc_new (NULL);
      struct experiment_setup setup = options.setup;
      struct experiment_row row = { .broken = 0 };

      if (options.any && !options.chosen[i])
        continue;
      setup.experiment = (enum experiment) i;
      if (experiment_run (scratch, &setup, &row) == STATUS_OK)
        experiment_print_row (&setup, &row, stdout);
      else
        fprintf (stderr, "%s: %s\n", experiment_text (setup.experiment), status_message ());
      failures += !row.result || row.broken > 0;
      fflush (stdout);
      talloc_free (scratch);
    }
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
