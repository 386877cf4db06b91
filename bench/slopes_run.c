/* Starts hosts and fake targets, samples them at rest and prints the results. */
#include "slopes_run.h"
#include <math.h>
#include <stdlib.h>
#include <talloc.h>

#define TARGETS_PER_PROCESS 100
#define START_INTERVAL (130 * USEC_PER_MSEC)

const char *const slopes_role_texts[SLOPES_ROLE_COUNT] = {
#define X(name, text) [SLOPES_##name] = text,
  SLOPES_ROLE_LIST (X)
#undef X
};

const char *const slopes_measure_texts[SLOPES_MEASURE_COUNT] = {
#define X(name, text) [SLOPES_##name] = text,
  SLOPES_MEASURE_LIST (X)
#undef X
};

void
slopes_exit_on_error (struct slopes_run *run, enum status status)
{
  if (status == STATUS_OK)
    return;
  fprintf (stderr, "slopes: %s\n", status_message ());
  talloc_free (run->launch);
  exit (1);
}

void
slopes_wait (struct slopes_run *run, int64_t span)
{
  struct loop *loop = caller_loop (run->launch->caller);
  int64_t until = loop_now (loop) + span;

  while (loop_now (loop) < until)
    loop_run_once (loop, until - loop_now (loop));
}

void
slopes_start_hosts (struct slopes_run *run, uint32_t hosts)
{
  static const char *const domains[] = { "a", "b", "c", "d", "e", "f", "g", "h" };

  run->launch = launch_new (NULL);
  if (run->launch == NULL)
    slopes_exit_on_error (run, STATUS_IO);
  slopes_exit_on_error (
      run, launch_add_hosts (run->launch, hosts, domains, sizeof domains / sizeof *domains));
  slopes_exit_on_error (run, launch_start_hosts (run->launch));
  slopes_exit_on_error (run, launch_wait_healthy (run->launch));
}

void
slopes_start_targets (struct slopes_run *run, uint32_t home, uint32_t count)
{
  char prefix[RESOURCE_NAME_SIZE + 32];
  const char *const more[] = { prefix, NULL };
  struct launch_fakes fakes = {
    .spec = { .kind = STAGE_GENERATE, .slots = 8, .eject_share_max = 0.5 },
    .domains = "a,b,c,d,e,f,g,h",
    .time_scale = 1,
    .hosts = run->launch->hosts[home].addresses[LAUNCH_TARGETS],
    .more = more,
  };

  snprintf (fakes.spec.name, sizeof fakes.spec.name, "pool-%u", home);
  slopes_exit_on_error (run, launch_apply_pool (run->launch, &fakes.spec));
  for (uint32_t started = 0; started < count; started += fakes.targets)
    {
      fakes.targets = count - started < TARGETS_PER_PROCESS ? count - started : TARGETS_PER_PROCESS;
      snprintf (prefix, sizeof prefix, "--name-prefix=%s-%u", fakes.spec.name, started);
      slopes_exit_on_error (run, launch_start_fakes (run->launch, &fakes));
      slopes_wait (run, START_INTERVAL);
    }
}

enum slopes_role
slopes_role_of (const struct slopes_run *run, uint32_t host, const struct slopes_sample *sample)
{
  if (host >= run->first_home && host < run->end_home)
    return SLOPES_HOME;
  if (sample->leader)
    return SLOPES_LEADER;
  return host < LAUNCH_VOTERS ? SLOPES_VOTER : SLOPES_FOLLOWER;
}

void
slopes_sample_all (struct slopes_run *run, struct slopes_sample samples[LAUNCH_HOSTS_MAX])
{
  for (uint32_t i = 0; i < run->launch->n_hosts; i++)
    slopes_exit_on_error (run, slopes_sample_host (run->launch, i, &samples[i]));
}

/* Prints one row per role: the mean over its hosts. */
static void
print_rows (const struct slopes_run *run,
            double size,
            double sums[SLOPES_ROLE_COUNT][SLOPES_MEASURE_COUNT],
            const uint32_t counts[SLOPES_ROLE_COUNT])
{
  for (int role = 0; role < SLOPES_ROLE_COUNT; role++)
    {
      if (counts[role] == 0)
        continue;
      printf ("%g %s, %s (%u), load %.1f:", size, run->unit, slopes_role_texts[role], counts[role],
              slopes_load_average ());
      for (int i = 0; i < SLOPES_MEASURE_COUNT; i++)
        printf (" %s %.2f;", slopes_measure_texts[i], sums[role][i] / counts[role]);
      putchar ('\n');
    }
  fflush (stdout);
}

static void
add_rates (struct slopes_run *run,
           double size,
           const struct slopes_sample *before,
           const struct slopes_sample *after)
{
  double sums[SLOPES_ROLE_COUNT][SLOPES_MEASURE_COUNT] = { 0 };
  uint32_t counts[SLOPES_ROLE_COUNT] = { 0 };

  for (uint32_t host = 0; host < run->launch->n_hosts; host++)
    {
      enum slopes_role role = slopes_role_of (run, host, &after[host]);
      double rates[SLOPES_MEASURE_COUNT];

      slopes_rates (&before[host], &after[host], rates);
      for (int i = 0; i < SLOPES_MEASURE_COUNT; i++)
        {
          sums[role][i] += rates[i];
          slopes_add_point (&run->points[role][i], size, rates[i]);
        }
      counts[role]++;
    }
  print_rows (run, size, sums, counts);
}

void
slopes_measure_idle (struct slopes_run *run, double size)
{
  struct slopes_sample before[LAUNCH_HOSTS_MAX] = { 0 };
  struct slopes_sample after[LAUNCH_HOSTS_MAX] = { 0 };

  slopes_wait (run, SLOPES_SETTLE);
  slopes_sample_all (run, before);
  slopes_wait (run, SLOPES_WINDOW);
  slopes_sample_all (run, after);
  add_rates (run, size, before, after);
}

void
slopes_print_lines (const struct slopes_run *run, const char *per)
{
  for (int role = 0; role < SLOPES_ROLE_COUNT; role++)
    for (int i = 0; i < SLOPES_MEASURE_COUNT; i++)
      {
        struct slopes_line line;

        if (slopes_fit (&run->points[role][i], &line))
          printf ("line: %s, %s = %.4g + %.4g x %s (residual %.3g, %u points)\n",
                  slopes_role_texts[role], slopes_measure_texts[i], line.intercept, line.slope, per,
                  line.residual, run->points[role][i].count);
      }
}

void
slopes_print_target_counts (struct slopes_run *run)
{
  printf ("  targets the first host may use: %u; at home at each host:",
          launch_usable_targets (run->launch, 0));
  for (uint32_t i = 0; i < run->launch->n_hosts; i++)
    {
      json_t *dump =
          call_json (run->launch->caller, run->launch->hosts[i].addresses[LAUNCH_OPERATORS], "GET",
                     "/v1/dump", NULL, SLOPES_CALL_TIMEOUT, NULL);

      printf (" %" JSON_INTEGER_FORMAT, json_integer_value (json_object_get (
                                            json_object_get (dump, "directory"), "at_home")));
      json_decref (dump);
    }
  putchar ('\n');
}

void
slopes_scale_to_requests (struct slopes_run *run)
{
  for (int role = 0; role < SLOPES_ROLE_COUNT; role++)
    for (int i = 0; i < SLOPES_MEASURE_COUNT; i++)
      {
        struct slopes_points *points = &run->points[role][i];

        for (uint32_t p = 0; p < points->count; p++)
          points->x[p] = (points->x[p] - 1) / fmax (5, 0.4 * points->x[p]);
      }
}
