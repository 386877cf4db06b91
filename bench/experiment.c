/* Runs one experiment: launches the processes, replays the trace and collects one result row. */
#include "experiment.h"
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define BURST_FACTOR 3
#define SLOW_FACTOR 5.0
#define STALE_LAG_MSEC 2000
#define STALE_DROP_SHARE 0.2
#define STREAM_EVERY 3
#define LIST_KEEP_MSEC 5000 /* at time scale 1 */
#define FLOOD_SEED 1000

/* Leases, host suspicion and renewals run in real time at every scale.  Where they determine the
 * outcome, the trace is not compressed below `scale_min`. */
static const struct
{
  const char *text;
  bool burst;
  double scale_min;
} experiments[] = {
  [EXPERIMENT_CALM] = { "calm", false, 0 },
  [EXPERIMENT_BURST] = { "burst", true, 0 },
  [EXPERIMENT_SLOW_STAGE] = { "slow-stage", false, 0 },
  [EXPERIMENT_DOMAIN_LOST] = { "domain-lost", true, 0.5 },
  [EXPERIMENT_STALE_REPORTS] = { "stale-reports", false, 0 },
  [EXPERIMENT_HANG] = { "hang", false, 0 },
  [EXPERIMENT_LEAVE] = { "leave", false, 0 },
  [EXPERIMENT_ENTRY_KILLED] = { "entry-killed", false, 0.5 },
  [EXPERIMENT_COLD] = { "cold", false, 0 },
  [EXPERIMENT_FLOOD] = { "flood", false, 0 },
};

struct run
{
  const struct experiment_setup *setup;
  const struct site *site;
  struct launch *launch;
  uint32_t fault_after_requests; /* completed requests before the fault */
  bool faulted;
};

const char *
experiment_text (enum experiment experiment)
{
  return experiments[experiment].text;
}

bool
experiment_find (const char *text, enum experiment *out)
{
  for (int i = 0; i < EXPERIMENT_COUNT; i++)
    if (strcmp (experiments[i].text, text) == 0)
      {
        *out = (enum experiment) i;
        return true;
      }
  return false;
}

static const char *
generating_pool (const struct site *site)
{
  for (uint32_t i = 0; i < site->n_pools; i++)
    if (site->pools[i].kind == STAGE_GENERATE)
      return site->pools[i].name;
  return "";
}

static void
inject_fault (struct run *run, const char *pool, uint32_t index, json_t *fault)
{
  char name[RESOURCE_NAME_SIZE + 12];

  snprintf (name, sizeof name, "%s-%u", pool, index + 1);
  json_object_set_new (fault, "target", json_string (name));
  launch_inject_fault (run->launch, pool, fault);
}

/* Fail the last domain silently: its targets accept work and never answer, its hosts are stopped,
 * and no peer sees a socket error. */
static void
fail_domain (struct run *run)
{
  uint32_t lost = SITE_DOMAINS - 1;

  for (uint32_t i = 0; i < run->launch->n_hosts; i++)
    if (i % SITE_DOMAINS == lost)
      launch_signal (&run->launch->hosts[i].process, SIGSTOP);
  for (uint32_t p = 0; p < run->site->n_pools; p++)
    for (uint32_t t = lost; t < run->site->pools[p].targets; t += SITE_DOMAINS)
      inject_fault (run, run->site->pools[p].name, t,
                    json_pack ("{s:b, s:b}", "hang", 1, "silent", 1));
}

static void
apply_fault (struct run *run)
{
  const char *runners = generating_pool (run->site);

  switch (run->setup->experiment)
    {
    case EXPERIMENT_SLOW_STAGE:
      launch_inject_fault (run->launch, "rerankers", json_pack ("{s:f}", "slow", SLOW_FACTOR));
      break;
    case EXPERIMENT_DOMAIN_LOST:
      fail_domain (run);
      break;
    case EXPERIMENT_HANG:
      inject_fault (run, runners, 0, json_pack ("{s:b}", "hang", 1));
      break;
    case EXPERIMENT_LEAVE:
      inject_fault (run, runners, 0, json_pack ("{s:b}", "leave", 1));
      break;
    case EXPERIMENT_ENTRY_KILLED:
      launch_signal (&run->launch->hosts[run->launch->n_hosts - 1].process, SIGKILL);
      break;
    case EXPERIMENT_COLD:
      launch_inject_fault (run->launch, runners, json_pack ("{s:b}", "cold", 1));
      break;
    default:
      break;
    }
}

static void
on_step (void *user, const struct replay_result *so_far, uint32_t ended)
{
  struct run *run = user;

  (void) so_far;
  if (run->faulted || ended < run->fault_after_requests)
    return;
  run->faulted = true;
  apply_fault (run);
}

static enum status
start (struct run *run)
{
  const struct experiment_setup *setup = run->setup;
  char lag[48];
  char drop[48];
  const char *const more[] = { lag, drop, NULL };
  bool stale = setup->experiment == EXPERIMENT_STALE_REPORTS;
  uint32_t targets = 0;
  enum status status;

  snprintf (lag, sizeof lag, "--report-lag-ms=%g", STALE_LAG_MSEC * setup->time_scale);
  snprintf (drop, sizeof drop, "--report-drop=%g", STALE_DROP_SHARE);
  snprintf (run->launch->extra_settings, sizeof run->launch->extra_settings,
            "\n[entry]\nlist_keep_ms = %.0f\n", LIST_KEEP_MSEC * setup->time_scale);
  for (uint32_t i = 0; i < run->site->n_pools; i++)
    targets += run->site->pools[i].targets;
  status = launch_add_hosts (run->launch, setup->hosts, run->site->domains, SITE_DOMAINS);
  if (status == STATUS_OK)
    status = launch_start_hosts (run->launch);
  if (status == STATUS_OK)
    status = launch_wait_healthy (run->launch);
  if (status == STATUS_OK)
    status = launch_start_site (run->launch, run->site, setup->time_scale, stale ? more : NULL);
  if (status == STATUS_OK)
    status = launch_apply_site (run->launch, run->site, setup->time_scale);
  if (status == STATUS_OK)
    status = launch_wait_revision (run->launch);
  return status == STATUS_OK ? launch_wait_targets (run->launch, targets) : status;
}

static struct trace *
make_trace (const struct run *run)
{
  const struct experiment_setup *setup = run->setup;
  double burst = experiments[setup->experiment].burst ? BURST_FACTOR : 1;
  struct trace *trace =
      trace_generate (run->launch, setup->site, setup->seed, setup->length, setup->rate, burst);

  if (setup->experiment == EXPERIMENT_FLOOD)
    trace_flood (trace, setup->site, setup->seed + FLOOD_SEED, setup->length, setup->rate,
                 run->site->organisations[0].name);
  return trace;
}

enum status
experiment_run (void *parent, struct experiment_setup *setup, struct experiment_row *out)
{
  double least = experiments[setup->experiment].scale_min;
  struct run run = { .setup = setup, .site = site_get (setup->site) };
  struct replay_options options = { .site = run.site,
                                    .n_entries = setup->hosts,
                                    .stream_every = STREAM_EVERY,
                                    .step = on_step,
                                    .user = &run };
  enum status status = STATUS_IO;
  json_t *counts;

  if (setup->time_scale < least)
    setup->time_scale = least;
  options.time_scale = setup->time_scale;
  run.launch = launch_new (NULL);
  if (run.launch)
    status = start (&run);
  if (status != STATUS_OK)
    {
      talloc_free (run.launch);
      return status;
    }
  options.trace = make_trace (&run);
  options.caller = run.launch->caller;
  run.fault_after_requests = options.trace->count / 3;
  for (uint32_t i = 0; i < setup->hosts; i++)
    memcpy (options.entries[i], run.launch->hosts[i].addresses[LAUNCH_CALLERS],
            RESOURCE_ADDRESS_SIZE);
  out->result = replay_run (parent, &options);
  counts = launch_counts (run.launch);
  replay_cost_of (run.site, counts, setup->time_scale, &out->cost);
  out->worst = replay_worst_organisation (out->result, &options, &out->worst_organisation);
  out->broken = replay_count_violations (out->result, &options, counts, stderr);
  replay_print (out->result, options.trace, stderr);
  json_decref (counts);
  talloc_free (run.launch);
  return STATUS_OK;
}

void
experiment_print_head (FILE *file)
{
  fprintf (file,
           "site\texperiment\tscale\trequests\tattained\tp50_ms\tp99_ms\tencode\tretrieve\trerank\t"
           "generate\tcall\twasted\tcost_per_attained\tresends\tworst\tbroken\n");
}

void
experiment_print_row (const struct experiment_setup *setup,
                      const struct experiment_row *row,
                      FILE *file)
{
  const struct replay_result *result = row->result;
  double total = 0;

  fprintf (file, "%s\t%s\t%g\t%u\t%.4f\t%.0f\t%.0f", site_get (setup->site)->name,
           experiment_text (setup->experiment), setup->time_scale, result->count,
           replay_attainment (result),
           (double) replay_latency (result, 0.50) / USEC_PER_MSEC / setup->time_scale,
           (double) replay_latency (result, 0.99) / USEC_PER_MSEC / setup->time_scale);
  for (int i = 0; i < STAGE_KIND_COUNT; i++)
    {
      fprintf (file, "\t%.2f", row->cost.by_kind[i]);
      total += row->cost.by_kind[i];
    }
  fprintf (file, "\t%.2f\t%.4f\t%u\t%.4f\t%u\n", row->cost.wasted,
           total / fmax (1, result->outcomes[REPLAY_ATTAINED]), result->resends, row->worst,
           row->broken);
}
