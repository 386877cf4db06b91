/* Demo: three hosts and six fake targets on loopback serve 200 requests; every byte of the answers
 * is checked. */
#include "launch.h"
#include "replay.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#define DEMO_HOSTS 3
#define DEMO_TARGETS 6
#define DEMO_REQUESTS 200
#define DEMO_CALLERS 16
#define DEMO_SPACING (10 * USEC_PER_MSEC)
/* Ends a demo that hangs; no step takes nearly this long. */
#define DEMO_TIMEOUT_SECONDS 55

static enum status
start (struct launch *launch)
{
  const struct site *site = site_demo ();
  enum status status = launch_add_hosts (launch, DEMO_HOSTS, site->domains, SITE_DOMAINS);

  if (status == STATUS_OK)
    status = launch_start_hosts (launch);
  if (status == STATUS_OK)
    status = launch_wait_healthy (launch);
  if (status == STATUS_OK)
    status = launch_start_site (launch, site, 1, NULL);
  if (status == STATUS_OK)
    status = launch_apply_site (launch, site, 1);
  if (status == STATUS_OK)
    status = launch_wait_revision (launch);
  return status == STATUS_OK ? launch_wait_targets (launch, DEMO_TARGETS) : status;
}

static void
print_report (const struct replay_result *result,
              const struct replay_options *options,
              const struct replay_cost *cost)
{
  static const char *const kinds[] = {
#define X(name, text) [STAGE_##name] = text,
    STAGE_KIND_LIST (X)
#undef X
  };

  replay_print (result, options->trace, stdout);
  printf ("attainment %.1f%%   p50 %.0f ms   p99 %.0f ms   resends %u\n",
          100 * replay_attainment (result), (double) replay_latency (result, 0.50) / USEC_PER_MSEC,
          (double) replay_latency (result, 0.99) / USEC_PER_MSEC, result->resends);
  printf ("cost by stage:");
  for (int i = 0; i < STAGE_KIND_COUNT; i++)
    printf ("  %s %.3f", kinds[i], cost->by_kind[i]);
  printf ("  (of it wasted %.3f)\n", cost->wasted);
}

/* Returns 0 when every answer is complete and belongs to its request. */
static int
run (struct launch *launch)
{
  struct replay_options options = {
    .caller = launch->caller,
    .site = site_demo (),
    .n_entries = launch->n_hosts,
    .time_scale = 1,
    .callers = DEMO_CALLERS,
    .stream_every = 3,
  };
  struct replay_result *result;
  struct replay_cost cost;
  uint32_t broken;
  json_t *counts;

  options.trace = site_demo_trace (launch, "demo", DEMO_REQUESTS, DEMO_SPACING);
  for (uint32_t i = 0; i < launch->n_hosts; i++)
    memcpy (options.entries[i], launch->hosts[i].addresses[LAUNCH_CALLERS], RESOURCE_ADDRESS_SIZE);
  printf ("sending %u requests as %u callers\n", DEMO_REQUESTS, DEMO_CALLERS);
  result = replay_run (launch, &options);
  counts = launch_counts (launch);
  replay_cost_of (options.site, counts, options.time_scale, &cost);
  print_report (result, &options, &cost);
  broken = replay_count_violations (result, &options, counts, stdout);
  json_decref (counts);
  printf ("broken promises: %u\n", broken);
  return result->outcomes[REPLAY_ATTAINED] == DEMO_REQUESTS && broken == 0 ? 0 : 1;
}

int
main (void)
{
  struct launch *launch = launch_new (NULL);
  int failed = 1;

  alarm (DEMO_TIMEOUT_SECONDS); /* the child processes end with this one */
  if (launch && start (launch) == STATUS_OK)
    {
      printf ("%u hosts and %u targets are up in %s\n", DEMO_HOSTS, DEMO_TARGETS, launch->folder);
      failed = run (launch);
    }
  else
    fprintf (stderr, "demo: %s\n", status_message ());
  talloc_free (launch);
  printf (failed ? "demo: FAILED\n" : "demo: every answer is whole and its own\n");
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
