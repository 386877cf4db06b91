/* One run of the policy simulator: boards, targets, arrivals and results. */
#include "policy.h"
#include "service_time.h"
#include "text.h"
#include <math.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define CACHE_TOKENS 60000 /* a target's prefix cache */
#define CLIENTS 64         /* simulated; each stays with a host for CLIENT_KEEP */
#define CLIENT_KEEP (10 * USEC_PER_SEC)
#define REPORT_LAG (250 * USEC_PER_MSEC)
#define STALE_LAG (2 * USEC_PER_SEC)
#define STALE_LOST 0.2
#define FLOOD_TIMES 2.0           /* flood rate, as a multiple of the calm rate */
#define FLOODER 3                 /* the organisation that floods */
#define DRAIN (40 * USEC_PER_SEC) /* after the last arrival */

static const char *const arm_texts[] = {
#define X(name, text) [POLICY_##name] = text,
  POLICY_ARM_LIST (X)
#undef X
};

static const char *const experiment_texts[] = {
#define X(name, text, load, burst) [POLICY_##name] = text,
  POLICY_EXPERIMENT_LIST (X)
#undef X
};

static const double experiment_loads[] = {
#define X(name, text, load, burst) [POLICY_##name] = load,
  POLICY_EXPERIMENT_LIST (X)
#undef X
};

static const double experiment_bursts[] = {
#define X(name, text, load, burst) [POLICY_##name] = burst,
  POLICY_EXPERIMENT_LIST (X)
#undef X
};

const char *
policy_arm_text (enum policy_arm arm)
{
  return arm_texts[arm];
}

const char *
policy_experiment_text (enum policy_experiment experiment)
{
  return experiment_texts[experiment];
}

/* ---- the boards ---- */

static void
add_pools (struct policy_run *run, struct board *board)
{
  uint32_t i;

  for (i = 0; i < run->site->n_pools; i++)
    {
      struct handle handle;
      struct board_pool *pool = table_add (board->pools, &handle);

      site_pool_spec (run->site, i, &pool->spec);
    }
}

static void
add_pipelines (struct policy_run *run, struct policy_host *host)
{
  uint32_t i;

  for (i = 0; i < run->site->n_pipelines; i++)
    {
      struct board_pipeline *pipeline = table_add (host->board->pipelines, &host->pipelines[i]);
      uint32_t stage;

      pipeline->spec = run->specs[i];
      for (stage = 0; stage < pipeline->spec.n_stages; stage++)
        board_find_pool (host->board, pipeline->spec.stages[stage].pool, &pipeline->pools[stage]);
      host->retries[i] = budget_new ();
    }
  for (i = 0; i < SITE_ORGANISATIONS; i++)
    {
      struct board_organisation *organisation =
          table_add (host->board->organisations, &host->organisations[i]);

      text_copy_truncated (organisation->spec.name, RESOURCE_NAME_SIZE,
                           run->site->organisations[i].name);
      organisation->spec.weight = 1;
    }
}

static void
add_targets (struct policy_run *run, struct board *board)
{
  uint32_t i;

  for (i = 0; i < run->n_targets; i++)
    {
      struct policy_target *target = &run->targets[i];
      const struct site_pool *pool = &run->site->pools[target->pool];
      struct board_target *entry = table_add (board->targets, &target->handle);

      snprintf (entry->name, sizeof entry->name, "%s-%u", pool->name, i);
      text_copy_truncated (entry->pool, sizeof entry->pool, pool->name);
      text_copy_truncated (entry->domain, sizeof entry->domain,
                           run->site->domains[i % SITE_DOMAINS]);
      entry->kind = pool->kind;
      entry->reports_load = pool->reports_load;
      entry->slots = target->slots;
      entry->lease_until = USEC_NEVER;
      board_find_pool (board, pool->name, &entry->pool_handle);
    }
}

static void
make_targets (struct policy_run *run)
{
  uint32_t scale = run->config.scale;
  uint32_t pool;
  uint32_t i;

  for (pool = 0; pool < run->site->n_pools; pool++)
    {
      run->pool_first[pool] = run->n_targets;
      run->n_targets += run->site->pools[pool].targets * scale;
    }
  run->pool_first[pool] = run->n_targets;
  run->targets = talloc_zero_array (run, struct policy_target, run->n_targets);
  for (pool = 0; pool < run->site->n_pools; pool++)
    for (i = run->pool_first[pool]; i < run->pool_first[pool + 1]; i++)
      run->targets[i] =
          (struct policy_target){ .run = run,
                                  .pool = pool,
                                  .slots = service_time_slots (run->site->pools[pool].kind),
                                  .slowdown = 1,
                                  .lost_at = USEC_NEVER,
                                  .leaving_at = USEC_NEVER,
                                  .cache_size = CACHE_TOKENS };
}

static void
make_hosts (struct policy_run *run)
{
  uint32_t h;
  uint32_t i;

  run->hosts = talloc_zero_array (run, struct policy_host, run->config.hosts);
  for (h = 0; h < run->config.hosts; h++)
    {
      struct policy_host *host = &run->hosts[h];

      host->board = board_new (run);
      add_pools (run, host->board);
      add_pipelines (run, host);
      add_targets (run, host->board);
      for (i = 0; i < run->config.hosts; i++)
        {
          struct handle handle;
          struct board_host *entry = table_add (host->board->hosts, &handle);

          entry->self = i == h;
          entry->state = HOST_ALIVE;
        }
      if (run->config.arm == POLICY_OURS)
        host->decide = decide_new (host->board, host->board, counters_new (run),
                                   run->config.seed * POLICY_HOSTS_MAX + h);
    }
}

/* ---- reports ---- */

static const struct policy_sample *
sample_before (const struct policy_target *target, int64_t at)
{
  uint32_t i;

  for (i = 1; i <= target->n_history && i <= POLICY_HISTORY; i++)
    {
      const struct policy_sample *sample =
          &target->history[(target->n_history - i) % POLICY_HISTORY];

      if (sample->at <= at)
        return sample;
    }
  return NULL;
}

static void
report (struct policy_run *run, struct policy_target *target, int64_t now)
{
  bool stale = run->config.experiment == POLICY_STALE_REPORTS;
  const struct policy_sample *sample =
      sample_before (target, now - (stale ? STALE_LAG : REPORT_LAG));
  uint32_t h;

  if (sample == NULL)
    return;
  for (h = 0; h < run->config.hosts; h++)
    {
      struct board_target *entry = table_get (run->hosts[h].board->targets, target->handle);

      if (stale && rng_unit (&run->rng) < STALE_LOST)
        continue;
      entry->report = (struct load_report){ .received_at = now,
                                            .measured_at = sample->at,
                                            .running = sample->running,
                                            .waiting = sample->waiting };
    }
}

static void
sample_all (struct timer *timer, int64_t now)
{
  struct policy_run *run =
      (struct policy_run *) ((char *) timer - offsetof (struct policy_run, sample));
  uint32_t i;

  for (i = 0; i < run->n_targets; i++)
    {
      struct policy_target *target = &run->targets[i];

      if (!run->site->pools[target->pool].reports_load || target->lost_at <= now)
        continue;
      policy_target_sample (target, now);
      report (run, target, now);
    }
  if (now < run->config.length + DRAIN)
    timer_arm (run->timers, timer, now + POLICY_SAMPLE_SPAN);
}

/* ---- arrivals ---- */

static void
arrive (struct timer *timer, int64_t now)
{
  policy_request_start ((struct policy_request *) timer, now);
}

static const struct timer_ops arrival_ops = { .fire = arrive };

static uint32_t
index_of_pipeline (const struct policy_run *run, const char *name)
{
  uint32_t i = 0;

  while (strcmp (run->specs[i].name, name) != 0)
    i++;
  return i;
}

static uint32_t
index_of_organisation (const struct policy_run *run, const char *name)
{
  uint32_t i = 0;

  while (strcmp (run->site->organisations[i].name, name) != 0)
    i++;
  return i;
}

/* A client keeps the same host for CLIENT_KEEP, so hosts are loaded unevenly. */
static struct policy_host *
host_of (struct policy_run *run, const uint32_t *clients, int64_t at)
{
  uint64_t client = rng_below (&run->rng, CLIENTS);

  return &run->hosts[(clients[client] + (uint64_t) (at / CLIENT_KEEP) * (client + 1))
                     % run->config.hosts];
}

static void
add_arrivals (struct policy_run *run, const struct trace *trace, bool flooding)
{
  uint32_t clients[CLIENTS];
  uint32_t i;

  for (i = 0; i < CLIENTS; i++)
    clients[i] = (uint32_t) rng_below (&run->rng, run->config.hosts);
  for (i = 0; i < trace->count; i++)
    {
      struct policy_request *request = talloc_zero (run, struct policy_request);

      request->run = run;
      request->trace = &trace->requests[i];
      request->number = run->n_requests++;
      request->host = host_of (run, clients, request->trace->at);
      request->pipeline = index_of_pipeline (run, request->trace->pipeline);
      request->flooding = flooding;
      request->organisation =
          flooding ? FLOODER : index_of_organisation (run, request->trace->organisation);
      request->arrival.ops = &arrival_ops;
      timer_arm (run->timers, &request->arrival, request->trace->at);
    }
}

static void
add_traces (struct policy_run *run)
{
  const struct policy_config *config = &run->config;
  double rate = config->rate * experiment_loads[config->experiment];
  double burst = experiment_bursts[config->experiment];
  struct trace *trace =
      trace_generate (run, config->site, config->seed, config->length, rate, burst);
  struct trace *flood = NULL;
  uint32_t count = trace->count;

  if (config->experiment == POLICY_FLOOD)
    {
      flood = trace_generate (run, config->site, config->seed + 1000, config->length,
                              rate * FLOOD_TIMES, 1);
      count += flood->count;
    }
  run->latencies = talloc_array (run, float, count + 1);
  add_arrivals (run, trace, false);
  if (flood != NULL)
    add_arrivals (run, flood, true);
}

/* ---- results ---- */

static int
compare_floats (const void *a, const void *b)
{
  float x = *(const float *) a;
  float y = *(const float *) b;

  return x < y ? -1 : x > y;
}

static void
summarize (struct policy_run *run)
{
  struct policy_result *result = &run->result;
  int64_t third = run->config.length / 3;
  double middle = (double) (third - POLICY_MIDDLE_SETTLE) / USEC_PER_SEC;
  uint32_t i;

  qsort (run->latencies, result->attained, sizeof (float), compare_floats);
  if (result->attained > 0)
    {
      result->p50 = run->latencies[result->attained / 2];
      result->p99 = run->latencies[(uint32_t) (0.99 * result->attained)];
    }
  result->worst_organisation = 1;
  for (i = 0; i < SITE_ORGANISATIONS; i++)
    if (run->offered[i] > 0)
      result->worst_organisation =
          fmin (result->worst_organisation, (double) run->attained[i] / run->offered[i]);
  result->goodput = middle > 0 ? run->middle_work / middle : 0;
}

static void
dump (const struct policy_run *run)
{
  json_t *state;

  if (!run->config.dump || run->config.arm != POLICY_OURS)
    return;
  state = decide_describe (run->hosts[0].decide, run->config.length);
  json_dumpf (state, stderr, JSON_INDENT (1));
  json_decref (state);
}

static const struct timer_ops sample_ops = { .fire = sample_all };

static struct policy_run *
run_new (const struct policy_config *config)
{
  struct policy_run *run = talloc_zero (NULL, struct policy_run);
  uint32_t i;

  run->config = *config;
  run->site = site_get (config->site);
  run->timers = timer_service_new (run);
  rng_init (&run->rng, config->seed ^ 0x5eed);
  for (i = 0; i < run->site->n_pipelines; i++)
    site_pipeline_spec (run->site, i, &run->specs[i]);
  make_targets (run);
  return run;
}

static void
play (struct policy_run *run, int64_t until)
{
  int64_t next = timer_service_next_due (run->timers);

  while (next <= until)
    {
      timer_service_run (run->timers, next);
      next = timer_service_next_due (run->timers);
    }
}

struct policy_result
policy_simulate (const struct policy_config *config)
{
  struct policy_run *run = run_new (config);
  struct policy_result result;

  make_hosts (run);
  add_traces (run);
  run->sample.ops = &sample_ops;
  run->fault.ops = &policy_fault_ops;
  timer_arm (run->timers, &run->sample, 0);
  timer_arm (run->timers, &run->fault, config->length / 3);
  play (run, config->length + DRAIN);
  summarize (run);
  dump (run);
  result = run->result;
  talloc_free (run);
  return result;
}

/* ---- capacity ---- */

#define CAPACITY_FROM (20 * USEC_PER_SEC)
#define CAPACITY_TO (60 * USEC_PER_SEC)
#define CAPACITY_RATE 60.0 /* requests per second and unit of scale, above the pools' capacity */
#define CAPACITY_WINDOW (1000 * USEC_PER_SEC)

/* Runs only the generation stages, without deadlines or priorities, from one host with random
 * choice, so that every slot of the pool stays busy. */
double
policy_capacity (enum trace_site site, uint32_t scale, uint64_t seed)
{
  struct policy_config config = { .site = site,
                                  .arm = POLICY_RANDOM,
                                  .seed = seed,
                                  .hosts = 1,
                                  .scale = scale,
                                  .length = 3 * (CAPACITY_TO - CAPACITY_FROM) };
  struct policy_run *run = run_new (&config);
  struct trace *trace = trace_generate (run, site, seed, CAPACITY_TO, 4 * CAPACITY_RATE * scale, 1);
  double work = 0;
  uint32_t kept = 0;
  uint32_t i;

  for (i = 0; i < run->site->n_pipelines; i++)
    {
      struct pipeline_spec *spec = &run->specs[i];
      uint32_t stage;

      for (stage = 0; stage < spec->n_stages; stage++)
        if (spec->stages[stage].kind == STAGE_GENERATE)
          spec->stages[0] = spec->stages[stage];
      spec->n_stages = 1;
    }
  for (i = 0; i < trace->count; i++)
    if (trace->requests[i].output_tokens > 0)
      {
        trace->requests[kept] = trace->requests[i];
        trace->requests[kept].deadline = CAPACITY_WINDOW;
        trace->requests[kept].repeatable = false;
        trace->requests[kept++].priority = 0;
      }
  trace->count = kept;
  make_hosts (run);
  run->latencies = talloc_array (run, float, kept + 1);
  add_arrivals (run, trace, false);
  play (run, CAPACITY_FROM);
  run->middle_work = 0;
  run->count_always = true;
  play (run, CAPACITY_TO);
  work = run->middle_work / ((double) (CAPACITY_TO - CAPACITY_FROM) / USEC_PER_SEC);
  talloc_free (run);
  return work;
}
