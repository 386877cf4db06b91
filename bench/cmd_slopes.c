/* Measures how the cost of a host grows with the number of hosts, targets, organisations and
 * changes.  Uses real idle processes on loopback and fits a line to each measure.
 *
 *     slopes hosts [HOMES [N...]]   N idle hosts, the first HOMES with 10 targets each
 *     slopes keys [N...]            N idle hosts that encrypt the traffic between them
 *     slopes targets [N...]         N targets at one of four hosts
 *     slopes organisations [N...]   N organisations and 20 pipelines on four hosts
 *     slopes changes [N...]         N sequential changes, measured on four hosts
 *     slopes stream [N...]          streamed answers of N pieces through one of four hosts
 */
#include "settings.h"
#include "slopes_run.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define SETTLE_PER_HOST (1 * USEC_PER_SEC)
#define BASE_HOSTS 4 /* three voters and a follower */
#define TARGETS_PER_HOME 10
#define PIPELINES 20
#define STREAM_REQUESTS 200U
#define STAGES_MIN 3
#define STAGES_RANGE 4 /* three to six stages */

static void
run_hosts (struct slopes_run *run, uint32_t homes)
{
  run->unit = "hosts";
  run->end_home = homes;
  for (uint32_t i = 0; i < run->n_sizes; i++)
    {
      uint32_t hosts = (uint32_t) run->sizes[i];

      /* With keys, every host is a seed, since a host pins the keys of its seeds. */
      if (hosts < 2 || hosts > (run->keys ? SETTINGS_SEEDS_MAX : LAUNCH_HOSTS_MAX)
          || homes > LAUNCH_POOLS_MAX || homes > hosts)
        slopes_exit_on_error (
            run, status_fail (STATUS_INVALID,
                              "expected 2 to %d hosts (%d with keys) and at most %d homes",
                              LAUNCH_HOSTS_MAX, SETTINGS_SEEDS_MAX, LAUNCH_POOLS_MAX));
      slopes_start_hosts (run, hosts);
      for (uint32_t home = 0; home < homes; home++)
        slopes_start_targets (run, home, TARGETS_PER_HOME);
      slopes_wait (run, hosts * SETTLE_PER_HOST);
      slopes_measure_idle (run, hosts);
      if (homes > 0)
        slopes_print_target_counts (run);
      talloc_free (run->launch);
    }
  slopes_print_lines (run, "hosts");
  slopes_scale_to_requests (run);
  slopes_print_lines (run, "(hosts - 1) / max (5, 0.4 hosts)");
}

static void
run_targets (struct slopes_run *run)
{
  run->unit = "targets";
  run->first_home = BASE_HOSTS - 1;
  run->end_home = BASE_HOSTS;
  for (uint32_t i = 0; i < run->n_sizes; i++)
    {
      slopes_start_hosts (run, BASE_HOSTS);
      slopes_start_targets (run, BASE_HOSTS - 1, (uint32_t) run->sizes[i]);
      slopes_measure_idle (run, run->sizes[i]);
      slopes_print_target_counts (run);
      talloc_free (run->launch);
    }
  slopes_print_lines (run, "targets");
}

static void
apply_pipelines (struct slopes_run *run)
{
  static const enum stage_kind kinds[] = { STAGE_ENCODE, STAGE_RETRIEVE, STAGE_RERANK,
                                           STAGE_GENERATE };
  static const char *const names[] = { "encode", "retrieve", "rerank", "generate" };
  const uint32_t n_kinds = sizeof kinds / sizeof *kinds;

  for (uint32_t i = 0; i < n_kinds; i++)
    {
      struct pool_spec spec = { .kind = kinds[i], .slots = 8, .eject_share_max = 0.5 };

      snprintf (spec.name, sizeof spec.name, "%s", names[i]);
      slopes_exit_on_error (run, launch_apply_pool (run->launch, &spec));
    }
  for (uint32_t i = 0; i < PIPELINES; i++)
    {
      json_t *stages = json_array ();
      char name[RESOURCE_NAME_SIZE];

      snprintf (name, sizeof name, "pipeline-%u", i);
      for (uint32_t s = 0; s < STAGES_MIN + i % STAGES_RANGE; s++)
        {
          char stage[16];

          snprintf (stage, sizeof stage, "stage-%u", s);
          json_array_append_new (stages,
                                 json_pack ("{s:s, s:s, s:s}", "name", stage, "kind",
                                            names[s % n_kinds], "pool", names[s % n_kinds]));
        }
      slopes_exit_on_error (
          run, launch_apply (run->launch, RESOURCE_PIPELINE, name,
                             json_pack ("{s:i, s:o}", "deadlineMs", 4000, "stages", stages)));
    }
}

static void
apply_organisation (struct slopes_run *run, uint32_t number, double weight)
{
  char name[RESOURCE_NAME_SIZE];
  char hash[65];

  snprintf (name, sizeof name, "organisation-%u", number);
  snprintf (hash, sizeof hash, "%064x", number + 1);
  slopes_exit_on_error (
      run, launch_apply (run->launch, RESOURCE_ORGANISATION, name,
                         json_pack ("{s:f, s:f, s:f, s:[s]}", "weight", weight, "requestsPerSecond",
                                    100.0, "tokensPerSecond", 10000.0, "tokenHashes", hash)));
}

static void
run_organisations (struct slopes_run *run)
{
  uint32_t applied = 0;

  run->unit = "organisations";
  slopes_start_hosts (run, BASE_HOSTS);
  slopes_measure_idle (run, 0);
  memset (run->points, 0, sizeof run->points);
  printf ("  (above: nothing applied; below: with %d pipelines)\n", PIPELINES);
  apply_pipelines (run);
  for (uint32_t i = 0; i < run->n_sizes; i++)
    {
      for (; applied < run->sizes[i]; applied++)
        apply_organisation (run, applied, 1);
      slopes_measure_idle (run, run->sizes[i]);
    }
  talloc_free (run->launch);
  slopes_print_lines (run, "organisations");
}

/* Measure the cost of N changes less the idle cost over the same time; adds a point (N, total). */
static void
measure_changes (struct slopes_run *run,
                 uint32_t changes,
                 const double rest[LAUNCH_HOSTS_MAX][SLOPES_MEASURE_COUNT])
{
  struct slopes_sample before[LAUNCH_HOSTS_MAX] = { 0 };
  struct slopes_sample after[LAUNCH_HOSTS_MAX] = { 0 };
  static uint32_t made;

  slopes_sample_all (run, before);
  for (uint32_t i = 0; i < changes; i++, made++)
    apply_organisation (run, i % 100, 2 + made * 0.001);
  slopes_exit_on_error (run, launch_wait_revision (run->launch));
  slopes_wait (run, SLOPES_WINDOW / 4);
  slopes_sample_all (run, after);
  for (uint32_t host = 0; host < run->launch->n_hosts; host++)
    {
      enum slopes_role role = slopes_role_of (run, host, &after[host]);
      double seconds = (double) (after[host].at - before[host].at) / (double) USEC_PER_SEC;

      printf ("%u changes, %s, %.1f s, load %.1f:", changes, slopes_role_texts[role], seconds,
              slopes_load_average ());
      for (int i = 0; i < SLOPES_MEASURE_COUNT; i++)
        {
          double more = after[host].totals[i] - before[host].totals[i];

          if (i == SLOPES_PROCESSOR)
            more *= 100;
          if (i != SLOPES_RESIDENT)
            more -= rest[host][i] * seconds;
          printf (" %s %.1f;", slopes_measure_texts[i], more);
          slopes_add_point (&run->points[role][i], changes, more);
        }
      putchar ('\n');
    }
  fflush (stdout);
}

static void
run_changes (struct slopes_run *run)
{
  struct slopes_sample before[LAUNCH_HOSTS_MAX] = { 0 };
  struct slopes_sample after[LAUNCH_HOSTS_MAX] = { 0 };
  double rest[LAUNCH_HOSTS_MAX][SLOPES_MEASURE_COUNT] = { 0 };

  run->unit = "changes";
  slopes_start_hosts (run, BASE_HOSTS);
  for (uint32_t i = 0; i < 100; i++)
    apply_organisation (run, i, 1);
  slopes_wait (run, SLOPES_SETTLE);
  slopes_sample_all (run, before);
  slopes_wait (run, SLOPES_WINDOW);
  slopes_sample_all (run, after);
  for (uint32_t host = 0; host < run->launch->n_hosts; host++)
    slopes_rates (&before[host], &after[host], rest[host]);
  printf ("a run's whole, less the time at rest (processor in hundredths of a second)\n");
  for (uint32_t i = 0; i < run->n_sizes; i++)
    measure_changes (run, (uint32_t) run->sizes[i], (const double (*)[SLOPES_MEASURE_COUNT]) rest);
  talloc_free (run->launch);
  slopes_print_lines (run, "changes");
}

/* Returns the number of pieces of one streamed answer of `tokens` tokens; 0 when the answer was
 * incomplete. */
static uint32_t
count_stream_pieces (struct slopes_run *run, uint32_t host, uint32_t tokens)
{
  static const struct http_field headers[] = { { "accept", "text/event-stream" },
                                               { "x-organisation", "organisation-0" } };
  char body[64];
  struct http_call_spec spec = {
    .address = run->launch->hosts[host].addresses[LAUNCH_CALLERS],
    .method = "POST",
    .path = "/v1/pipelines/stream/requests",
    .headers = headers,
    .n_headers = sizeof headers / sizeof *headers,
    .body = body,
    .max_body_bytes = 4 << 20,
  };
  struct call_answer answer = { .code = 0 };
  void *scratch = talloc_new (run->launch);
  uint32_t pieces = 0;

  spec.body_length = (size_t) snprintf (body, sizeof body,
                                        "{\"input\": \"question\", \"max_tokens\": %u}", tokens);
  bytes_init (&answer.body, scratch);
  call (run->launch->caller, &spec, SLOPES_CALL_TIMEOUT, &answer);
  if (answer.body.data && strstr (answer.body.data, "\"outcome\":\"whole\""))
    for (const char *at = answer.body.data; (at = strstr (at, "event: token")); at++)
      pieces++;
  else
    fprintf (stderr, "slopes: incomplete streamed answer: status %d, body %.300s\n", answer.code,
             answer.body.data ? answer.body.data : "");
  talloc_free (scratch);
  return pieces;
}

static void
measure_stream (struct slopes_run *run, uint32_t tokens, double rest)
{
  const uint32_t host = BASE_HOSTS - 1;
  struct slopes_sample before = { 0 };
  struct slopes_sample after = { 0 };
  uint32_t pieces = 0;
  double spent;

  slopes_exit_on_error (run, slopes_sample_host (run->launch, host, &before));
  for (uint32_t i = 0; i < STREAM_REQUESTS; i++)
    pieces += count_stream_pieces (run, host, tokens);
  slopes_exit_on_error (run, slopes_sample_host (run->launch, host, &after));
  spent = after.totals[SLOPES_PROCESSOR] - before.totals[SLOPES_PROCESSOR]
          - rest * (double) (after.at - before.at) / (double) USEC_PER_SEC;
  printf ("%u requests, %.1f pieces each, load %.1f: %.0f us of processor a request\n",
          STREAM_REQUESTS, (double) pieces / STREAM_REQUESTS, slopes_load_average (),
          spent / STREAM_REQUESTS * (double) USEC_PER_SEC);
  fflush (stdout);
  slopes_add_point (&run->points[SLOPES_FOLLOWER][SLOPES_PROCESSOR],
                    (double) pieces / STREAM_REQUESTS,
                    spent / STREAM_REQUESTS * (double) USEC_PER_SEC);
}

/* Sends one request at a time with pieces about 0.2 ms apart, so that each piece is read and
 * written separately. */
static void
run_stream (struct slopes_run *run)
{
  static const char *const more[] = { "--piece-tokens=1", NULL };
  struct launch_fakes fakes = {
    .spec = { .name = "generate", .kind = STAGE_GENERATE, .slots = 8, .eject_share_max = 0.5 },
    .targets = 1,
    .domains = "a",
    .time_scale = 0.02,
    .more = more,
  };
  struct slopes_sample before = { 0 };
  struct slopes_sample after = { 0 };
  double rates[SLOPES_MEASURE_COUNT];
  struct slopes_line line;

  slopes_start_hosts (run, BASE_HOSTS);
  slopes_exit_on_error (run, launch_apply_pool (run->launch, &fakes.spec));
  slopes_exit_on_error (run, launch_apply (run->launch, RESOURCE_ORGANISATION, "organisation-0",
                                           json_pack ("{s:f}", "weight", 1.0)));
  slopes_exit_on_error (
      run, launch_apply (run->launch, RESOURCE_PIPELINE, "stream",
                         json_pack ("{s:i, s:[{s:s, s:s, s:s}]}", "deadlineMs", 60000, "stages",
                                    "name", "one", "kind", "generate", "pool", "generate")));
  slopes_exit_on_error (run, launch_start_fakes (run->launch, &fakes));
  slopes_exit_on_error (run, launch_wait_targets (run->launch, 1));
  slopes_wait (run, SLOPES_SETTLE);
  slopes_exit_on_error (run, slopes_sample_host (run->launch, BASE_HOSTS - 1, &before));
  slopes_wait (run, SLOPES_WINDOW);
  slopes_exit_on_error (run, slopes_sample_host (run->launch, BASE_HOSTS - 1, &after));
  slopes_rates (&before, &after, rates);
  for (uint32_t i = 0; i < run->n_sizes; i++)
    measure_stream (run, (uint32_t) run->sizes[i], rates[SLOPES_PROCESSOR] / 100);
  talloc_free (run->launch);
  if (slopes_fit (&run->points[SLOPES_FOLLOWER][SLOPES_PROCESSOR], &line))
    printf ("line: us of processor a request = %.4g + %.4g x pieces (residual %.3g)\n",
            line.intercept, line.slope, line.residual);
}

static void
parse_sizes (struct slopes_run *run, char **words, const double *defaults, uint32_t count)
{
  for (; *words && run->n_sizes < SLOPES_SIZES_MAX; words++)
    run->sizes[run->n_sizes++] = strtod (*words, NULL);
  if (run->n_sizes > 0)
    return;
  memcpy (run->sizes, defaults, count * sizeof *defaults);
  run->n_sizes = count;
}

#define SIZES(...)                                                                                 \
  (const double[]){ __VA_ARGS__ }, sizeof (const double[]){ __VA_ARGS__ } / sizeof (double)

int
main (int argc, char **argv)
{
  struct slopes_run *run = talloc_zero (NULL, struct slopes_run);
  const char *what = argc > 1 ? argv[1] : "";
  char **rest = argc > 2 ? argv + 2 : argv + argc;

  INVARIANT (run != NULL);
  if (strcmp (what, "hosts") == 0)
    {
      uint32_t homes = argc > 2 ? (uint32_t) strtoul (argv[2], NULL, 10) : 0;

      parse_sizes (run, argc > 3 ? argv + 3 : argv + argc, SIZES (2, 4, 9, 18, 36));
      run_hosts (run, homes);
    }
  else if (strcmp (what, "keys") == 0)
    {
      run->keys = true;
      parse_sizes (run, rest, SIZES (4, 9, 16));
      run_hosts (run, 0);
    }
  else if (strcmp (what, "targets") == 0)
    {
      parse_sizes (run, rest, SIZES (10, 100, 1000, 2000, 4300));
      run_targets (run);
    }
  else if (strcmp (what, "organisations") == 0)
    {
      parse_sizes (run, rest, SIZES (5, 60, 180, 360, 560));
      run_organisations (run);
    }
  else if (strcmp (what, "changes") == 0)
    {
      parse_sizes (run, rest, SIZES (1, 10, 100, 1000));
      run_changes (run);
    }
  else if (strcmp (what, "stream") == 0)
    {
      parse_sizes (run, rest, SIZES (1, 16, 64, 256));
      run_stream (run);
    }
  else
    {
      fprintf (
          stderr,
          "slopes hosts [HOMES [N...]] | keys [N...] | targets [N...] | organisations [N...] | "
          "changes [N...] | stream [N...]\n");
      talloc_free (run);
      return 1;
    }
  talloc_free (run);
  return 0;
}
