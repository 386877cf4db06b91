/* What a host costs by the number of hosts, targets, organisations and changes: real processes on
 * loopback, at rest, and a line through each measure.
 *
 *     slopes hosts [HOMES [N...]]   N hosts at rest, the first HOMES with 10 targets each
 *     slopes keys [N...]            N hosts at rest that encrypt what they send each other
 *     slopes targets [N...]         N targets at one of four hosts
 *     slopes organisations [N...]   N organisations and 20 pipelines on four hosts
 *     slopes changes [N...]         N changes in turn, seen from four hosts
 *     slopes stream [N...]          streamed answers of N pieces through one of four hosts
 */
#include "settings.h"
#include "slopes.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define WINDOW (20 * USEC_PER_SEC)
#define SETTLE (10 * USEC_PER_SEC)
#define SETTLE_PER_HOST (1 * USEC_PER_SEC)
#define CALL_WITHIN (20 * USEC_PER_SEC)
#define FEW_HOSTS 4 /* three voters and a follower */
#define TARGETS_EACH 10
#define TARGETS_A_PROCESS 100
#define START_STEP (130 * USEC_PER_MSEC)
#define SIZES_MAX 16
#define PIPELINES 20
#define STREAMS 200U
#define STAGES_MIN 3
#define STAGES_SPREAD 4 /* three to six stages */

struct experiment
{
  struct launch *launch;
  const char *unit;
  bool keys;
  uint32_t first_home; /* hosts from here to `end_home` are homes */
  uint32_t end_home;
  double sizes[SIZES_MAX];
  uint32_t n_sizes;
  struct slopes_points points[SLOPES_ROLE_COUNT][SLOPES_MEASURE_COUNT];
};

static const char *const role_texts[] = {
#define X(name, text) [SLOPES_##name] = text,
  SLOPES_ROLE_LIST (X)
#undef X
};

static const char *const measure_texts[] = {
#define X(name, text) [SLOPES_##name] = text,
  SLOPES_MEASURE_LIST (X)
#undef X
};

/* A failed step of a bench ends it; the launch's destructor ends the processes. */
static void
must (struct experiment *experiment, enum status status)
{
  if (status == STATUS_OK)
    return;
  fprintf (stderr, "slopes: %s\n", status_message ());
  talloc_free (experiment->launch);
  exit (1);
}

static void
wait_for (struct experiment *experiment, int64_t span)
{
  struct loop *loop = caller_loop (experiment->launch->caller);
  int64_t until = loop_now (loop) + span;

  while (loop_now (loop) < until)
    loop_once (loop, until - loop_now (loop));
}

static void
start_hosts (struct experiment *experiment, uint32_t hosts)
{
  static const char *const domains[] = { "a", "b", "c", "d", "e", "f", "g", "h" };

  experiment->launch = launch_new (NULL);
  if (experiment->launch == NULL)
    must (experiment, STATUS_IO);
  must (experiment,
        launch_add_hosts (experiment->launch, hosts, domains, sizeof domains / sizeof *domains));
  must (experiment, launch_start_hosts (experiment->launch));
  must (experiment, launch_wait_healthy (experiment->launch));
}

/* Several processes of fakes, begun one after the other: one process with thousands of targets is
 * slower than the home, and targets of a real site do not renew in step. */
static void
start_targets (struct experiment *experiment, uint32_t home, uint32_t count)
{
  char prefix[64];
  const char *const more[] = { prefix, NULL };
  struct launch_fakes fakes = {
    .spec = { .kind = STAGE_GENERATE, .slots = 8, .eject_share_max = 0.5 },
    .domains = "a,b,c,d,e,f,g,h",
    .time_scale = 1,
    .hosts = experiment->launch->hosts[home].addresses[LAUNCH_TARGETS],
    .more = more,
  };

  snprintf (fakes.spec.name, sizeof fakes.spec.name, "pool-%u", home);
  must (experiment, launch_apply_pool (experiment->launch, &fakes.spec));
  for (uint32_t begun = 0; begun < count; begun += fakes.targets)
    {
      fakes.targets = count - begun < TARGETS_A_PROCESS ? count - begun : TARGETS_A_PROCESS;
      snprintf (prefix, sizeof prefix, "--name-prefix=%s-%u", fakes.spec.name, begun);
      must (experiment, launch_start_fakes (experiment->launch, &fakes));
      wait_for (experiment, START_STEP);
    }
}

static enum slopes_role
role_of (const struct experiment *experiment, uint32_t host, const struct slopes_sample *sample)
{
  if (host >= experiment->first_home && host < experiment->end_home)
    return SLOPES_HOME;
  if (sample->leader)
    return SLOPES_LEADER;
  return host < LAUNCH_VOTERS ? SLOPES_VOTER : SLOPES_FOLLOWER;
}

static void
sample_all (struct experiment *experiment, struct slopes_sample samples[LAUNCH_HOSTS_MAX])
{
  for (uint32_t i = 0; i < experiment->launch->n_hosts; i++)
    must (experiment, slopes_take (experiment->launch, i, &samples[i]));
}

/* One row for each role: the mean of its hosts. */
static void
print_rows (const struct experiment *experiment,
            double size,
            double sums[SLOPES_ROLE_COUNT][SLOPES_MEASURE_COUNT],
            const uint32_t counts[SLOPES_ROLE_COUNT])
{
  for (int role = 0; role < SLOPES_ROLE_COUNT; role++)
    {
      if (counts[role] == 0)
        continue;
      printf ("%g %s, %s (%u), load %.1f:", size, experiment->unit, role_texts[role], counts[role],
              slopes_load ());
      for (int i = 0; i < SLOPES_MEASURE_COUNT; i++)
        printf (" %s %.2f;", measure_texts[i], sums[role][i] / counts[role]);
      putchar ('\n');
    }
  fflush (stdout);
}

static void
take_rates (struct experiment *experiment,
            double size,
            const struct slopes_sample *before,
            const struct slopes_sample *after)
{
  double sums[SLOPES_ROLE_COUNT][SLOPES_MEASURE_COUNT] = { 0 };
  uint32_t counts[SLOPES_ROLE_COUNT] = { 0 };

  for (uint32_t host = 0; host < experiment->launch->n_hosts; host++)
    {
      enum slopes_role role = role_of (experiment, host, &after[host]);
      double rates[SLOPES_MEASURE_COUNT];

      slopes_rates (&before[host], &after[host], rates);
      for (int i = 0; i < SLOPES_MEASURE_COUNT; i++)
        {
          sums[role][i] += rates[i];
          slopes_add (&experiment->points[role][i], size, rates[i]);
        }
      counts[role]++;
    }
  print_rows (experiment, size, sums, counts);
}

static void
measure_rest (struct experiment *experiment, double size)
{
  struct slopes_sample before[LAUNCH_HOSTS_MAX] = { 0 };
  struct slopes_sample after[LAUNCH_HOSTS_MAX] = { 0 };

  wait_for (experiment, SETTLE);
  sample_all (experiment, before);
  wait_for (experiment, WINDOW);
  sample_all (experiment, after);
  take_rates (experiment, size, before, after);
}

static void
print_lines (const struct experiment *experiment, const char *per)
{
  for (int role = 0; role < SLOPES_ROLE_COUNT; role++)
    for (int i = 0; i < SLOPES_MEASURE_COUNT; i++)
      {
        struct slopes_line line;

        if (slopes_fit (&experiment->points[role][i], &line))
          printf ("line: %s, %s = %.4g + %.4g x %s (residual %.3g, %u points)\n", role_texts[role],
                  measure_texts[i], line.intercept, line.slope, per, line.residual,
                  experiment->points[role][i].count);
      }
}

/* How many targets the first host may use and how many each home has; asked for after the samples,
 * because the answers themselves take memory. */
static void
print_known (struct experiment *experiment)
{
  printf ("  targets the first host may use: %u; at home at each host:",
          launch_known_targets (experiment->launch, 0));
  for (uint32_t i = 0; i < experiment->launch->n_hosts; i++)
    {
      json_t *dump = call_json (experiment->launch->caller,
                                experiment->launch->hosts[i].addresses[LAUNCH_OPERATORS], "GET",
                                "/v1/dump", NULL, CALL_WITHIN, NULL);

      printf (" %" JSON_INTEGER_FORMAT, json_integer_value (json_object_get (
                                            json_object_get (dump, "directory"), "at_home")));
      json_decref (dump);
    }
  putchar ('\n');
}

/* A host without targets is asked for news of them each 5 s, or each 0.4 s for every host where
 * that is longer (directory_sync.c), so that part of the cost follows these asks and not the hosts.
 */
static void
count_asks (struct experiment *experiment)
{
  for (int role = 0; role < SLOPES_ROLE_COUNT; role++)
    for (int i = 0; i < SLOPES_MEASURE_COUNT; i++)
      {
        struct slopes_points *points = &experiment->points[role][i];

        for (uint32_t p = 0; p < points->count; p++)
          points->x[p] = (points->x[p] - 1) / fmax (5, 0.4 * points->x[p]);
      }
}

static void
run_hosts (struct experiment *experiment, uint32_t homes)
{
  experiment->unit = "hosts";
  experiment->end_home = homes;
  for (uint32_t i = 0; i < experiment->n_sizes; i++)
    {
      uint32_t hosts = (uint32_t) experiment->sizes[i];

      /* A host pins the keys of its seeds. */
      if (hosts < 2 || hosts > (experiment->keys ? SETTINGS_SEEDS_MAX : LAUNCH_HOSTS_MAX)
          || homes > LAUNCH_POOLS_MAX || homes > hosts)
        must (experiment,
              status_fail (STATUS_INVALID, "2 to %d hosts (%d with keys), at most %d homes",
                           LAUNCH_HOSTS_MAX, SETTINGS_SEEDS_MAX, LAUNCH_POOLS_MAX));
      start_hosts (experiment, hosts);
      for (uint32_t home = 0; home < homes; home++)
        start_targets (experiment, home, TARGETS_EACH);
      wait_for (experiment, hosts * SETTLE_PER_HOST);
      measure_rest (experiment, hosts);
      if (homes > 0)
        print_known (experiment);
      talloc_free (experiment->launch);
    }
  print_lines (experiment, "hosts");
  count_asks (experiment);
  print_lines (experiment, "(hosts - 1) / max (5, 0.4 hosts)");
}

static void
run_targets (struct experiment *experiment)
{
  experiment->unit = "targets";
  experiment->first_home = FEW_HOSTS - 1;
  experiment->end_home = FEW_HOSTS;
  for (uint32_t i = 0; i < experiment->n_sizes; i++)
    {
      start_hosts (experiment, FEW_HOSTS);
      start_targets (experiment, FEW_HOSTS - 1, (uint32_t) experiment->sizes[i]);
      measure_rest (experiment, experiment->sizes[i]);
      print_known (experiment);
      talloc_free (experiment->launch);
    }
  print_lines (experiment, "targets");
}

static void
apply_pipelines (struct experiment *experiment)
{
  static const enum stage_kind kinds[] = { STAGE_ENCODE, STAGE_RETRIEVE, STAGE_RERANK,
                                           STAGE_GENERATE };
  static const char *const names[] = { "encode", "retrieve", "rerank", "generate" };
  const uint32_t n_kinds = sizeof kinds / sizeof *kinds;

  for (uint32_t i = 0; i < n_kinds; i++)
    {
      struct pool_spec spec = { .kind = kinds[i], .slots = 8, .eject_share_max = 0.5 };

      snprintf (spec.name, sizeof spec.name, "%s", names[i]);
      must (experiment, launch_apply_pool (experiment->launch, &spec));
    }
  for (uint32_t i = 0; i < PIPELINES; i++)
    {
      json_t *stages = json_array ();
      char name[RESOURCE_NAME_SIZE];

      snprintf (name, sizeof name, "pipeline-%u", i);
      for (uint32_t s = 0; s < STAGES_MIN + i % STAGES_SPREAD; s++)
        {
          char stage[16];

          snprintf (stage, sizeof stage, "stage-%u", s);
          json_array_append_new (stages,
                                 json_pack ("{s:s, s:s, s:s}", "name", stage, "kind",
                                            names[s % n_kinds], "pool", names[s % n_kinds]));
        }
      must (experiment,
            launch_apply (experiment->launch, RESOURCE_PIPELINE, name,
                          json_pack ("{s:i, s:o}", "deadlineMs", 4000, "stages", stages)));
    }
}

static void
apply_organisation (struct experiment *experiment, uint32_t number, double weight)
{
  char name[RESOURCE_NAME_SIZE];
  char hash[65];

  snprintf (name, sizeof name, "organisation-%u", number);
  snprintf (hash, sizeof hash, "%064x", number + 1);
  must (experiment,
        launch_apply (experiment->launch, RESOURCE_ORGANISATION, name,
                      json_pack ("{s:f, s:f, s:f, s:[s]}", "weight", weight, "requestsPerSecond",
                                 100.0, "tokensPerSecond", 10000.0, "tokenHashes", hash)));
}

static void
run_organisations (struct experiment *experiment)
{
  uint32_t applied = 0;

  experiment->unit = "organisations";
  start_hosts (experiment, FEW_HOSTS);
  measure_rest (experiment, 0);
  memset (experiment->points, 0, sizeof experiment->points);
  printf ("  (above: nothing applied; below: with %d pipelines)\n", PIPELINES);
  apply_pipelines (experiment);
  for (uint32_t i = 0; i < experiment->n_sizes; i++)
    {
      for (; applied < experiment->sizes[i]; applied++)
        apply_organisation (experiment, applied, 1);
      measure_rest (experiment, experiment->sizes[i]);
    }
  talloc_free (experiment->launch);
  print_lines (experiment, "organisations");
}

/* What N changes cost over what the same time at rest costs: points of N against the whole. */
static void
take_changes (struct experiment *experiment,
              uint32_t changes,
              const double rest[LAUNCH_HOSTS_MAX][SLOPES_MEASURE_COUNT])
{
  struct slopes_sample before[LAUNCH_HOSTS_MAX] = { 0 };
  struct slopes_sample after[LAUNCH_HOSTS_MAX] = { 0 };
  static uint32_t made;

  sample_all (experiment, before);
  for (uint32_t i = 0; i < changes; i++, made++)
    apply_organisation (experiment, i % 100, 2 + made * 0.001);
  must (experiment, launch_wait_revision (experiment->launch));
  wait_for (experiment, WINDOW / 4);
  sample_all (experiment, after);
  for (uint32_t host = 0; host < experiment->launch->n_hosts; host++)
    {
      enum slopes_role role = role_of (experiment, host, &after[host]);
      double seconds = (double) (after[host].at - before[host].at) / (double) USEC_PER_SEC;

      printf ("%u changes, %s, %.1f s, load %.1f:", changes, role_texts[role], seconds,
              slopes_load ());
      for (int i = 0; i < SLOPES_MEASURE_COUNT; i++)
        {
          double more = after[host].totals[i] - before[host].totals[i];

          if (i == SLOPES_PROCESSOR)
            more *= 100;
          if (i != SLOPES_RESIDENT)
            more -= rest[host][i] * seconds;
          printf (" %s %.1f;", measure_texts[i], more);
          slopes_add (&experiment->points[role][i], changes, more);
        }
      putchar ('\n');
    }
  fflush (stdout);
}

static void
run_changes (struct experiment *experiment)
{
  struct slopes_sample before[LAUNCH_HOSTS_MAX] = { 0 };
  struct slopes_sample after[LAUNCH_HOSTS_MAX] = { 0 };
  double rest[LAUNCH_HOSTS_MAX][SLOPES_MEASURE_COUNT] = { 0 };

  experiment->unit = "changes";
  start_hosts (experiment, FEW_HOSTS);
  for (uint32_t i = 0; i < 100; i++)
    apply_organisation (experiment, i, 1);
  wait_for (experiment, SETTLE);
  sample_all (experiment, before);
  wait_for (experiment, WINDOW);
  sample_all (experiment, after);
  for (uint32_t host = 0; host < experiment->launch->n_hosts; host++)
    slopes_rates (&before[host], &after[host], rest[host]);
  printf ("a run's whole, less the time at rest (processor in hundredths of a second)\n");
  for (uint32_t i = 0; i < experiment->n_sizes; i++)
    take_changes (experiment, (uint32_t) experiment->sizes[i],
                  (const double (*)[SLOPES_MEASURE_COUNT]) rest);
  talloc_free (experiment->launch);
  print_lines (experiment, "changes");
}

/* The pieces of one streamed answer of `tokens` tokens; 0 when it was not whole. */
static uint32_t
stream_once (struct experiment *experiment, uint32_t host, uint32_t tokens)
{
  static const struct http_field headers[] = { { "accept", "text/event-stream" },
                                               { "x-organisation", "organisation-0" } };
  char body[64];
  struct http_call_spec spec = {
    .address = experiment->launch->hosts[host].addresses[LAUNCH_CALLERS],
    .method = "POST",
    .path = "/v1/pipelines/stream/requests",
    .headers = headers,
    .n_headers = sizeof headers / sizeof *headers,
    .body = body,
    .max_body_bytes = 4 << 20,
  };
  struct call_answer answer = { .code = 0 };
  void *scratch = talloc_new (experiment->launch);
  uint32_t pieces = 0;

  spec.body_length = (size_t) snprintf (body, sizeof body,
                                        "{\"input\": \"question\", \"max_tokens\": %u}", tokens);
  bytes_init (&answer.body, scratch);
  call (experiment->launch->caller, &spec, CALL_WITHIN, &answer);
  if (answer.body.data && strstr (answer.body.data, "\"outcome\":\"whole\""))
    for (const char *at = answer.body.data; (at = strstr (at, "event: token")); at++)
      pieces++;
  else
    fprintf (stderr, "slopes: not whole: %d %.300s\n", answer.code,
             answer.body.data ? answer.body.data : "");
  talloc_free (scratch);
  return pieces;
}

static void
take_stream (struct experiment *experiment, uint32_t tokens, double rest)
{
  const uint32_t host = FEW_HOSTS - 1;
  struct slopes_sample before = { 0 };
  struct slopes_sample after = { 0 };
  uint32_t pieces = 0;
  double spent;

  must (experiment, slopes_take (experiment->launch, host, &before));
  for (uint32_t i = 0; i < STREAMS; i++)
    pieces += stream_once (experiment, host, tokens);
  must (experiment, slopes_take (experiment->launch, host, &after));
  spent = after.totals[SLOPES_PROCESSOR] - before.totals[SLOPES_PROCESSOR]
          - rest * (double) (after.at - before.at) / (double) USEC_PER_SEC;
  printf ("%u requests, %.1f pieces each, load %.1f: %.0f us of processor a request\n", STREAMS,
          (double) pieces / STREAMS, slopes_load (), spent / STREAMS * (double) USEC_PER_SEC);
  fflush (stdout);
  slopes_add (&experiment->points[SLOPES_FOLLOWER][SLOPES_PROCESSOR], (double) pieces / STREAMS,
              spent / STREAMS * (double) USEC_PER_SEC);
}

/* One request at a time, its pieces some 0.2 ms apart, so that each is read and written alone. */
static void
run_stream (struct experiment *experiment)
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

  start_hosts (experiment, FEW_HOSTS);
  must (experiment, launch_apply_pool (experiment->launch, &fakes.spec));
  must (experiment, launch_apply (experiment->launch, RESOURCE_ORGANISATION, "organisation-0",
                                  json_pack ("{s:f}", "weight", 1.0)));
  must (experiment,
        launch_apply (experiment->launch, RESOURCE_PIPELINE, "stream",
                      json_pack ("{s:i, s:[{s:s, s:s, s:s}]}", "deadlineMs", 60000, "stages",
                                 "name", "one", "kind", "generate", "pool", "generate")));
  must (experiment, launch_start_fakes (experiment->launch, &fakes));
  must (experiment, launch_wait_targets (experiment->launch, 1));
  wait_for (experiment, SETTLE);
  must (experiment, slopes_take (experiment->launch, FEW_HOSTS - 1, &before));
  wait_for (experiment, WINDOW);
  must (experiment, slopes_take (experiment->launch, FEW_HOSTS - 1, &after));
  slopes_rates (&before, &after, rates);
  for (uint32_t i = 0; i < experiment->n_sizes; i++)
    take_stream (experiment, (uint32_t) experiment->sizes[i], rates[SLOPES_PROCESSOR] / 100);
  talloc_free (experiment->launch);
  if (slopes_fit (&experiment->points[SLOPES_FOLLOWER][SLOPES_PROCESSOR], &line))
    printf ("line: us of processor a request = %.4g + %.4g x pieces (residual %.3g)\n",
            line.intercept, line.slope, line.residual);
}

static void
take_sizes (struct experiment *experiment, char **words, const double *otherwise, uint32_t count)
{
  for (; *words && experiment->n_sizes < SIZES_MAX; words++)
    experiment->sizes[experiment->n_sizes++] = strtod (*words, NULL);
  if (experiment->n_sizes > 0)
    return;
  memcpy (experiment->sizes, otherwise, count * sizeof *otherwise);
  experiment->n_sizes = count;
}

#define SIZES(...)                                                                                 \
  (const double[]){ __VA_ARGS__ }, sizeof (const double[]){ __VA_ARGS__ } / sizeof (double)

int
main (int argc, char **argv)
{
  struct experiment *experiment = talloc_zero (NULL, struct experiment);
  const char *what = argc > 1 ? argv[1] : "";
  char **rest = argc > 2 ? argv + 2 : argv + argc;

  INVARIANT (experiment != NULL);
  if (strcmp (what, "hosts") == 0)
    {
      uint32_t homes = argc > 2 ? (uint32_t) strtoul (argv[2], NULL, 10) : 0;

      take_sizes (experiment, argc > 3 ? argv + 3 : argv + argc, SIZES (2, 4, 9, 18, 36));
      run_hosts (experiment, homes);
    }
  else if (strcmp (what, "keys") == 0)
    {
      experiment->keys = true;
      take_sizes (experiment, rest, SIZES (4, 9, 16));
      run_hosts (experiment, 0);
    }
  else if (strcmp (what, "targets") == 0)
    {
      take_sizes (experiment, rest, SIZES (10, 100, 1000, 2000, 4300));
      run_targets (experiment);
    }
  else if (strcmp (what, "organisations") == 0)
    {
      take_sizes (experiment, rest, SIZES (5, 60, 180, 360, 560));
      run_organisations (experiment);
    }
  else if (strcmp (what, "changes") == 0)
    {
      take_sizes (experiment, rest, SIZES (1, 10, 100, 1000));
      run_changes (experiment);
    }
  else if (strcmp (what, "stream") == 0)
    {
      take_sizes (experiment, rest, SIZES (1, 16, 64, 256));
      run_stream (experiment);
    }
  else
    {
      fprintf (
          stderr,
          "slopes hosts [HOMES [N...]] | keys [N...] | targets [N...] | organisations [N...] | "
          "changes [N...] | stream [N...]\n");
      talloc_free (experiment);
      return 1;
    }
  talloc_free (experiment);
  return 0;
}
