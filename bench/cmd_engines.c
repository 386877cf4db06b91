/* engines: simulates, on virtual time, how entry hosts choose among model engines under load.
 *
 *   engines [--pattern NAME] [--hosts N] [--engines N] [--load SHARE] [--told] [--seconds N]
 * [--seeds N] */
#include "engine_model.h"
#include "status.h"
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct options
{
  struct engine_model_options model;
  bool all_patterns;
  uint32_t seeds;
};

static const struct argp_option argp_options[] = {
  { "pattern", 'p', "NAME", 0, "steady, burst, hot, lost, slow or forget; all when absent", 0 },
  { "hosts", 'n', "N", 0, "entry hosts (30)", 0 },
  { "engines", 'e', "N", 0, "model engines (30)", 0 },
  { "parts", 'k', "N", 0, "different shared parts (300)", 0 },
  { "load", 'l', "SHARE", 0, "of the engines' reading that cannot be saved (0.8)", 0 },
  { "told", 't', NULL, 0, "hosts hear of beginnings and ends too", 0 },
  { "seconds", 's', "N", 0, "virtual time of arrivals (30)", 0 },
  { "seeds", 'r', "N", 0, "runs from different seeds (5)", 0 },
  { 0 },
};

static uint32_t
read_count (const char *text, uint32_t most, struct argp_state *state)
{
  char *end;
  unsigned long value = strtoul (text, &end, 10);

  if (*end != '\0' || value == 0 || value > most)
    argp_error (state, "%s: expected a whole number from 1 to %u", text, most);
  return (uint32_t) value;
}

static enum engine_pattern
read_pattern (const char *text, struct argp_state *state)
{
  for (int i = 0; i < ENGINE_PATTERN_COUNT; i++)
    if (strcmp (text, engine_pattern_text ((enum engine_pattern) i)) == 0)
      return (enum engine_pattern) i;
  argp_error (state, "%s: no such pattern", text);
  return ENGINE_PATTERN_STEADY;
}

static double
read_share (const char *text, struct argp_state *state)
{
  char *end;
  double value = strtod (text, &end);

  if (*end != '\0' || !(value > 0 && value < 2))
    argp_error (state, "%s: expected a share above 0 and below 2", text);
  return value;
}

static error_t
parse (int key, char *value, struct argp_state *state)
{
  struct options *options = state->input;

  switch (key)
    {
    case 'p':
      options->model.pattern = read_pattern (value, state);
      options->all_patterns = false;
      break;
    case 'n':
      options->model.hosts = read_count (value, ENGINE_MODEL_HOSTS_MAX, state);
      break;
    case 'e':
      options->model.engines = read_count (value, ENGINE_MODEL_ENGINES_MAX, state);
      break;
    case 'k':
      options->model.parts = read_count (value, 100000, state);
      break;
    case 'l':
      options->model.load = read_share (value, state);
      break;
    case 't':
      options->model.told = true;
      break;
    case 's':
      options->model.span = read_count (value, 3600, state) * USEC_PER_SEC;
      break;
    case 'r':
      options->seeds = read_count (value, 1000, state);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static const struct argp argp = {
  argp_options, parse, NULL, "Entry hosts and model engines on virtual time, as CSV.",
  NULL,         NULL,  NULL
};

static void
run_pattern (const struct options *options, enum engine_pattern pattern)
{
  struct engine_model_options model = options->model;

  model.pattern = pattern;
  for (uint32_t i = 0; i < options->seeds; i++)
    {
      struct engine_model_result result;

      model.seed = i + 1;
      engine_model_run (&model, &result);
      printf ("%s,%u,%u,%.2f,%s,%u,%" PRIu64 ",%.1f,%.1f,%.1f,%.3f,%.3f\n",
              engine_pattern_text (pattern), model.hosts, model.engines, model.load,
              model.told ? "all" : "starts", i + 1, result.requests, result.wait_mean / 1000,
              (double) result.wait_p95 / 1000, result.expected_mean / 1000,
              (double) result.tokens_read / 1e6, (double) result.tokens_again / 1e6);
    }
}

int
main (int argc, char **argv)
{
  struct options options = { .all_patterns = true, .seeds = 5 };

  engine_model_defaults (&options.model);
  if (argp_parse (&argp, argc, argv, 0, NULL, &options) != 0)
    return EXIT_FAILURE;
  if (!engine_model_has_arrivals (&options.model))
    {
      fputs (
          "engines: reading each part once takes the whole load: more engines, load or seconds, or "
          "fewer parts\n",
          stderr);
      return EXIT_FAILURE;
    }
  puts ("pattern,hosts,engines,load,told,seed,requests,wait_mean_ms,wait_p95_ms,expected_mean_ms,"
        "read_mtokens,again_mtokens");
  for (int i = 0; i < ENGINE_PATTERN_COUNT; i++)
    if (options.all_patterns || options.model.pattern == (enum engine_pattern) i)
      run_pattern (&options, (enum engine_pattern) i);
  return EXIT_SUCCESS;
}
