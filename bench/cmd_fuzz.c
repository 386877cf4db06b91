/* fuzz: runs every decoder on mutated inputs, as many as requested.  With the sanitizers:
 *   make BUILD=build/asan OPT="-O1 -g -fsanitize=address,undefined" build/asan/bin/fuzz
 *   ASAN_OPTIONS=abort_on_error=1 UBSAN_OPTIONS=halt_on_error=1:abort_on_error=1 \
 *     build/asan/bin/fuzz --runs 1000000
 * On a crash the input is written to CRASH_FILE. */
#include "fuzz.h"
#include <argp.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define OPTION_SEED 's'
#define OPTION_RUNS 'n'
#define OPTION_DECODER 'd'
#define RUNS_DEFAULT 100000
#define CRASH_FILE "/tmp/cherryarch-fuzz-crash"

struct fuzz_options
{
  uint64_t seed;
  uint64_t runs;
  const char *decoder;
};

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  struct fuzz_options *options = argp->input;

  switch (key)
    {
    case OPTION_SEED:
      options->seed = strtoull (arg, NULL, 10);
      return 0;
    case OPTION_RUNS:
      options->runs = strtoull (arg, NULL, 10);
      return 0;
    case OPTION_DECODER:
      options->decoder = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Signal handler: calls only async-signal-safe functions. */
static void
save_input (int signo)
{
  static const char said[] = "the input is in " CRASH_FILE "\n";
  int fd = open (CRASH_FILE, O_WRONLY | O_CREAT | O_TRUNC, 0600);

  if (fd >= 0
      && write (fd, fuzz_current_input.data, fuzz_current_input.length)
             == (ssize_t) fuzz_current_input.length
      && write (STDERR_FILENO, said, sizeof said - 1) > 0)
    close (fd);
  signal (signo, SIG_DFL);
  raise (signo);
}

static double
seconds_since (const struct timespec *from)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double) (now.tv_sec - from->tv_sec) + (double) (now.tv_nsec - from->tv_nsec) / 1e9;
}

static void
run_one (const struct fuzz_decoder *decoder, const struct fuzz_options *options)
{
  struct fuzz_result result = { .runs = 0 };
  struct timespec start;

  clock_gettime (CLOCK_MONOTONIC, &start);
  fuzz_run (decoder, options->seed, options->runs, &result);
  printf ("%-16s %9llu runs  %9llu refused  %9llu taken  %7.1f s\n", decoder->name,
          (unsigned long long) result.runs, (unsigned long long) result.rejected,
          (unsigned long long) result.accepted, seconds_since (&start));
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  static const struct argp_option options_table[] = {
    { "seed", OPTION_SEED, "N", 0, "Default: 1", 0 },
    { "runs", OPTION_RUNS, "N", 0, "Mutations of each decoder (default: 100000)", 0 },
    { "decoder", OPTION_DECODER, "NAME", 0, "This one alone", 0 },
    { 0 },
  };
  const struct argp parser = {
    .options = options_table,
    .parser = parse_option,
    .doc = "Feed mutated inputs to every decoder that takes bytes from outside.",
  };
  struct fuzz_options options = { .seed = 1, .runs = RUNS_DEFAULT };
  const struct fuzz_decoder *const *decoder;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  signal (SIGABRT, save_input);
  for (decoder = fuzz_decoders; *decoder != NULL; decoder++)
    {
      if (options.decoder == NULL || strcmp (options.decoder, (*decoder)->name) == 0)
        run_one (*decoder, &options);
    }
  return 0;
}
