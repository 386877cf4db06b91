/* Writes a trace file of one of the two sites. */
#include "site.h"
#include "trace.h"
#include <argp.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

struct options
{
  enum trace_site site;
  uint64_t seed;
  double seconds;
  double rate;
  double burst;
  const char *path;
};

static const struct argp_option option_list[] = {
  { "site", 's', "SITE", 0, "bkk or ar-centro", 0 },
  { "seed", 'e', "N", 0, "seed of the generator (default 1)", 0 },
  { "seconds", 'l', "S", 0, "length of the trace (default 60)", 0 },
  { "rate", 'r', "R", 0, "requests a second outside the burst (default 10)", 0 },
  { "burst", 'b', "TIMES", 0, "factor on the rate in the middle third (default 3)", 0 },
  { 0 },
};

static bool
parse_positive (const char *text, double *out)
{
  char *end;

  *out = strtod (text, &end);
  return end != text && *end == '\0' && isfinite (*out) && *out > 0;
}

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct options *options = state->input;
  bool valid = true;
  char *end;

  switch (key)
    {
    case 's':
      valid = strcmp (value, "bkk") == 0 || strcmp (value, "ar-centro") == 0;
      options->site = strcmp (value, "bkk") == 0 ? TRACE_BKK : TRACE_AR_CENTRO;
      break;
    case 'e':
      options->seed = strtoull (value, &end, 10);
      valid = end != value && *end == '\0';
      break;
    case 'l':
      valid = parse_positive (value, &options->seconds);
      break;
    case 'r':
      valid = parse_positive (value, &options->rate);
      break;
    case 'b':
      valid = parse_positive (value, &options->burst);
      break;
    case ARGP_KEY_ARG:
      options->path = value;
      return state->arg_num == 0 ? 0 : ARGP_ERR_UNKNOWN;
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "FILE is missing");
      return EINVAL;
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
  static const struct argp argp = { option_list, parse_option,
                                    "FILE",      "Write a trace of a site's requests to FILE.",
                                    NULL,        NULL,
                                    NULL };
  struct options options = { .seed = 1, .seconds = 60, .rate = 10, .burst = 3 };
  struct trace *trace;
  enum status status;

  if (argp_parse (&argp, argc, argv, 0, NULL, &options) != 0)
    return EXIT_FAILURE;
  trace = trace_generate (NULL, options.site, options.seed,
                          (int64_t) (options.seconds * USEC_PER_SEC), options.rate, options.burst);
  status = trace_save (trace, options.path);
  if (status != STATUS_OK)
    fprintf (stderr, "%s\n", status_message ());
  else
    printf ("%s: %u requests\n", options.path, trace->count);
  talloc_free (trace);
  return status == STATUS_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
