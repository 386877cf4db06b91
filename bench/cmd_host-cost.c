/* Measures the overhead of one host: processor time per request, latency compared with direct calls
 * to the targets in the same run, requests per second, and resident memory when idle and with
 * requests held in flight.
 *
 * host-cost [REQUESTS [IN-FLIGHT [HELD]]] */
#include "host_cost.h"
#include "launch.h"
#include "slopes.h"
#include "text.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#define ROUNDS 4
#define SLOTS 2000
#define TARGETS 6 /* one for each pool of the demo site, and one for the held pool */
#define WARMUP_REQUESTS 500
#define HELD_FOR_MSEC 5000
#define SAMPLE_DELAY (4 * USEC_PER_SEC)
#define IDLE_SECONDS 3
#define SEQUENTIAL_DIVISOR 100 /* 1/100 of the requests is also sent one at a time */
#define TIMEOUT_SECONDS 300

struct cost
{
  struct launch *launch;
  struct pipeline_spec service;
  struct pipeline_spec pipeline;
  struct pipeline_spec held;
  uint32_t requests;
  uint32_t in_flight;
  uint32_t n_held;
};

static enum status
start_pool (struct cost *cost, const struct pool_spec *given, const char *name)
{
  struct launch_fakes fakes = { .spec = *given, .targets = 1, .domains = "one", .time_scale = 0 };
  enum status status;

  text_copy_truncated (fakes.spec.name, sizeof fakes.spec.name, name);
  fakes.spec.slots = SLOTS;
  status = launch_start_fakes (cost->launch, &fakes);
  return status == STATUS_OK ? launch_apply_pool (cost->launch, &fakes.spec) : status;
}

static enum status
start_pools (struct cost *cost)
{
  const struct site *site = site_demo ();
  enum status status = STATUS_OK;
  struct pool_spec pool;

  for (uint32_t i = 0; i < site->n_pools && status == STATUS_OK; i++)
    {
      site_pool_spec (site, i, &pool);
      status = start_pool (cost, &pool, pool.name);
    }
  return status == STATUS_OK ? start_pool (cost, &pool, "held") : status; /* also of calls */
}

static enum status
apply_pipelines (struct cost *cost)
{
  enum status status = launch_apply (cost->launch, RESOURCE_ORGANISATION, "north",
                                     json_pack ("{s:f}", "weight", 1.0));

  site_pipeline_spec (site_demo (), 0, &cost->pipeline);
  site_pipeline_spec (site_demo (), 1, &cost->service);
  /* Hedging adds a second call, which would be counted in the cost of the request. */
  cost->pipeline.hedge_share = cost->service.hedge_share = 0;
  cost->held = cost->service;
  cost->held.deadline = 60 * USEC_PER_SEC;
  text_copy_truncated (cost->held.name, sizeof cost->held.name, "held");
  text_copy_truncated (cost->held.stages[0].pool, sizeof cost->held.stages[0].pool, "held");
  if (status == STATUS_OK)
    status = launch_apply_pipeline (cost->launch, &cost->pipeline);
  if (status == STATUS_OK)
    status = launch_apply_pipeline (cost->launch, &cost->service);
  return status == STATUS_OK ? launch_apply_pipeline (cost->launch, &cost->held) : status;
}

static enum status
start (struct cost *cost)
{
  static const char *const domains[] = { "one" };
  enum status status = launch_add_hosts (cost->launch, 1, domains, 1);

  if (status == STATUS_OK)
    status = launch_start_hosts (cost->launch);
  if (status == STATUS_OK)
    status = launch_wait_healthy (cost->launch);
  if (status == STATUS_OK)
    status = start_pools (cost);
  if (status == STATUS_OK)
    status = apply_pipelines (cost);
  if (status == STATUS_OK)
    status = launch_wait_revision (cost->launch);
  return status == STATUS_OK ? launch_wait_targets (cost->launch, TARGETS) : status;
}

static const char *
target_of_pool (const json_t *dump, const char *pool)
{
  const json_t *targets = json_object_get (json_object_get (dump, "board"), "targets");
  const json_t *target;
  size_t i;

  json_array_foreach (targets, i, target)
    {
      const char *in = json_string_value (json_object_get (target, "pool"));

      if (in && strcmp (in, pool) == 0)
        return json_string_value (json_object_get (target, "address"));
    }
  INVARIANT (!"the host knows a target of each pool");
  return NULL;
}

static void
make_ways (struct cost *cost,
           const struct pipeline_spec *spec,
           struct host_cost_request *hosted,
           struct host_cost_request *direct)
{
  const struct launch_host *host = &cost->launch->hosts[0];
  json_t *dump = call_json (cost->launch->caller, host->addresses[LAUNCH_OPERATORS], "GET",
                            "/v1/dump", NULL, 5 * USEC_PER_SEC, NULL);
  const char *targets[RESOURCE_STAGES_MAX];

  for (uint32_t i = 0; i < spec->n_stages; i++)
    targets[i] = target_of_pool (dump, spec->stages[i].pool);
  host_cost_request_via_host (hosted, cost->launch, host->addresses[LAUNCH_CALLERS], spec);
  host_cost_request_direct (direct, cost->launch, targets, spec);
  json_decref (dump);
}

/* Processor seconds and resident KiB of the host process; aborts if the process has ended. */
static struct slopes_sample
sample_host (struct cost *cost)
{
  struct slopes_sample out;

  INVARIANT (slopes_sample_host (cost->launch, 0, &out) == STATUS_OK);
  return out;
}

static void
print_way (const char *spec, const char *way, struct host_cost_result *result)
{
  printf ("%s, %s: %u whole, %u refused, %u failed, %u wrong, %.0f a second, p50 %.2f ms, "
          "p99 %.2f ms\n",
          spec, way, result->correct, result->refused, result->failed, result->wrong,
          (double) result->correct / ((double) result->elapsed_us / (double) USEC_PER_SEC),
          (double) host_cost_quantile (result, 0.50) / (double) USEC_PER_MSEC,
          (double) host_cost_quantile (result, 0.99) / (double) USEC_PER_MSEC);
}

/* Alternate rounds through the host and directly to the targets.  Returns false when a request was
 * not answered completely. */
static bool
measure (struct cost *cost, const struct pipeline_spec *spec, uint32_t requests, uint32_t in_flight)
{
  uint32_t round = (requests + ROUNDS - 1) / ROUNDS;
  struct caller *caller = cost->launch->caller;
  struct host_cost_request hosted;
  struct host_cost_request direct;
  struct host_cost_result results[2];
  struct host_cost_result warm;
  double processor = 0;
  char name[RESOURCE_NAME_SIZE + 32];

  make_ways (cost, spec, &hosted, &direct);
  host_cost_result_init (&warm, cost->launch, 2 * WARMUP_REQUESTS);
  host_cost_result_init (&results[0], cost->launch, ROUNDS * round);
  host_cost_result_init (&results[1], cost->launch, ROUNDS * round);
  host_cost_run (caller, &hosted, WARMUP_REQUESTS, in_flight, NULL, &warm);
  host_cost_run (caller, &direct, WARMUP_REQUESTS, in_flight, NULL, &warm);
  for (int i = 0; i < ROUNDS; i++)
    {
      double before = sample_host (cost).totals[SLOPES_PROCESSOR];

      host_cost_run (caller, &hosted, round, in_flight, NULL, &results[0]);
      processor += sample_host (cost).totals[SLOPES_PROCESSOR] - before;
      host_cost_run (caller, &direct, round, in_flight, NULL, &results[1]);
    }
  snprintf (name, sizeof name, "%u stage%s, %u in flight", spec->n_stages,
            spec->n_stages > 1 ? "s" : "", in_flight);
  print_way (name, "host", &results[0]);
  print_way (name, "direct", &results[1]);
  printf ("%s: %.1f us of the host's processor time a request\n", name,
          processor * (double) USEC_PER_SEC / (ROUNDS * round));
  return results[0].correct == ROUNDS * round && results[1].correct == ROUNDS * round
         && warm.correct == 2 * WARMUP_REQUESTS;
}

static void
print_held_memory (void *user, uint32_t running)
{
  const struct cost *cost = user;
  char path[64];
  char line[128];
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int) cost->launch->hosts[0].process.pid);
  file = fopen (path, "re");
  INVARIANT (file != NULL);
  while (fgets (line, sizeof line, file))
    if (strncmp (line, "VmRSS:", 6) == 0)
      printf ("resident with %u in flight: %ld KiB\n", running, strtol (line + 6, NULL, 10));
  fclose (file);
}

/* Send requests whose target delays its answers, and read resident memory while all of them
 * wait. */
static bool
measure_held (struct cost *cost)
{
  const struct host_cost_observer look = { print_held_memory, cost, SAMPLE_DELAY };
  struct host_cost_request hosted;
  struct host_cost_request direct;
  struct host_cost_result result;

  make_ways (cost, &cost->held, &hosted, &direct);
  host_cost_result_init (&result, cost->launch, cost->n_held);
  if (launch_inject_fault (cost->launch, "held", json_pack ("{s:i}", "late_ms", HELD_FOR_MSEC))
      != STATUS_OK)
    return false;
  host_cost_run (cost->launch->caller, &hosted, cost->n_held, cost->n_held, &look, &result);
  print_way ("held", "host", &result);
  return result.correct == cost->n_held;
}

static bool
run (struct cost *cost)
{
  struct slopes_sample first = sample_host (cost);
  struct slopes_sample second;
  uint32_t sequential = (cost->requests + SEQUENTIAL_DIVISOR - 1) / SEQUENTIAL_DIVISOR;
  bool good;

  sleep (IDLE_SECONDS);
  second = sample_host (cost);
  printf ("resident idle: %.0f KiB; processor idle: %.2f%% of a core\n",
          second.totals[SLOPES_RESIDENT],
          100 * (second.totals[SLOPES_PROCESSOR] - first.totals[SLOPES_PROCESSOR])
              / ((double) (second.at - first.at) / (double) USEC_PER_SEC));
  good = measure (cost, &cost->service, cost->requests, cost->in_flight);
  good = measure (cost, &cost->service, sequential, 1) && good;
  good = measure (cost, &cost->pipeline, cost->requests, cost->in_flight) && good;
  good = measure (cost, &cost->pipeline, sequential, 1) && good;
  printf ("resident before any is held: %.0f KiB\n", sample_host (cost).totals[SLOPES_RESIDENT]);
  good = measure_held (cost) && good;
  /* The host's connections to callers and targets are still open and idle. */
  printf ("after %u were held at one time:\n", cost->n_held);
  good = measure (cost, &cost->service, cost->requests, cost->in_flight) && good;
  printf ("resident at the end: %.0f KiB; load %.1f\n", sample_host (cost).totals[SLOPES_RESIDENT],
          slopes_load_average ());
  return good;
}

static uint32_t
argument (int argc, char **argv, int index, uint32_t fallback)
{
  return argc > index ? (uint32_t) strtoul (argv[index], NULL, 10) : fallback;
}

int
main (int argc, char **argv)
{
  struct cost *cost = talloc_zero (NULL, struct cost);
  bool good = false;

  alarm (TIMEOUT_SECONDS); /* the child processes end with this one */
  setvbuf (stdout, NULL, _IOLBF, 0);
  cost->requests = argument (argc, argv, 1, 20000);
  cost->in_flight = argument (argc, argv, 2, 32);
  cost->n_held = argument (argc, argv, 3, 1000);
  cost->launch = launch_new (cost);
  if (cost->in_flight == 0 || cost->in_flight > HOST_COST_SLOTS_MAX || cost->requests == 0
      || cost->n_held == 0 || cost->n_held > HOST_COST_SLOTS_MAX)
    fprintf (stderr, "host-cost [REQUESTS [IN-FLIGHT [HELD]]], at most %u in flight\n",
             HOST_COST_SLOTS_MAX);
  else if (cost->launch && start (cost) == STATUS_OK)
    good = run (cost);
  else
    fprintf (stderr, "host-cost: %s\n", status_message ());
  talloc_free (cost);
  return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
