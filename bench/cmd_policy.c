/* Compares the policies over experiments and seeds on virtual time; prints a table or CSV. */
#include "policy.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

struct options
{
  struct policy_config config;
  int site; /* -1: both */
  int arm;
  int experiment;
  uint32_t seeds;
  double load;
  bool csv;
  const char *before;
};

static const struct argp_option option_list[] = {
  { "site", 's', "SITE", 0, "bkk or ar-centro (default both)", 0 },
  { "arm", 'a', "ARM", 0, "random, round-robin, least-load or ours (default all)", 0 },
  { "experiment", 'x', "NAME", 0, "one experiment (default all)", 0 },
  { "seeds", 'n', "N", 0, "seeds 1 to N (default 5)", 0 },
  { "hosts", 'h', "N", 0, "entry hosts (default 6)", 0 },
  { "scale", 'k', "TIMES", 0, "factor on targets and rate (default 1)", 0 },
  { "load", 'l', "SHARE", 0, "calm load of the generating pool (default 0.45)", 0 },
  { "seconds", 't', "S", 0, "length of a run (default 90)", 0 },
  { "csv", 'c', NULL, 0, "comma-separated values, for --before and for plots", 0 },
  { "before", 'b', "FILE", 0, "also print the rows that an earlier build wrote with --csv", 0 },
  { "dump", 'd', NULL, 0, "write the first host's state at each end to standard error", 0 },
  { 0 },
};

static int
index_of_text (const char *text, const char *(*name) (int), int count)
{
  int i;

  for (i = 0; i < count; i++)
    if (strcmp (name (i), text) == 0)
      return i;
  return count;
}

static const char *
arm_name (int i)
{
  return policy_arm_text ((enum policy_arm) i);
}

static const char *
experiment_name (int i)
{
  return policy_experiment_text ((enum policy_experiment) i);
}

static const char *
site_name (int i)
{
  return site_get ((enum trace_site) i)->name;
}

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct options *options = state->input;

  switch (key)
    {
    case 's':
      options->site = index_of_text (value, site_name, TRACE_AR_CENTRO + 1);
      if (options->site > TRACE_AR_CENTRO)
        argp_error (state, "unknown site %s", value);
      break;
    case 'a':
      options->arm = index_of_text (value, arm_name, POLICY_ARM_COUNT);
      if (options->arm == POLICY_ARM_COUNT)
        argp_error (state, "unknown arm %s", value);
      break;
    case 'x':
      options->experiment = index_of_text (value, experiment_name, POLICY_EXPERIMENT_COUNT);
      if (options->experiment == POLICY_EXPERIMENT_COUNT)
        argp_error (state, "unknown experiment %s", value);
      break;
    case 'n':
      options->seeds = (uint32_t) strtoul (value, NULL, 10);
      break;
    case 'h':
      options->config.hosts = (uint32_t) strtoul (value, NULL, 10);
      if (options->config.hosts < 1 || options->config.hosts > POLICY_HOSTS_MAX)
        argp_error (state, "--hosts: expected a number from 1 to %d", POLICY_HOSTS_MAX);
      break;
    case 'k':
      options->config.scale = (uint32_t) strtoul (value, NULL, 10);
      if (options->config.scale < 1)
        argp_error (state, "--scale: expected a number of at least 1");
      break;
    case 'l':
      options->load = strtod (value, NULL);
      break;
    case 't':
      options->config.length = (int64_t) (strtod (value, NULL) * USEC_PER_SEC);
      break;
    case 'c':
      options->csv = true;
      break;
    case 'b':
      options->before = value;
      break;
    case 'd':
      options->config.dump = true;
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

/* Returns the calm rate, in requests/s, that loads the generating pool by `load`. */
static double
calm_rate (const struct options *options, enum trace_site site, double capacity)
{
  const struct site *spec = site_get (site);
  struct trace *trace = trace_generate (NULL, site, 1, 400 * USEC_PER_SEC, 20, 1);
  double work = 0;
  double rate;
  uint32_t i;

  for (i = 0; i < trace->count; i++)
    {
      struct pipeline_spec pipeline;
      uint32_t p = 0;

      while (strcmp (spec->pipelines[p].name, trace->requests[i].pipeline) != 0)
        p++;
      site_pipeline_spec (spec, p, &pipeline);
      work += policy_nominal_work (&trace->requests[i], &pipeline);
    }
  rate = options->load * capacity / (work / trace->count);
  talloc_free (trace);
  return rate;
}

static void
add (struct policy_result *sum, const struct policy_result *one)
{
  uint32_t i;

  sum->requests += one->requests;
  sum->attained += one->attained;
  sum->refused += one->refused;
  sum->p50 += one->p50;
  sum->p99 += one->p99;
  for (i = 0; i < STAGE_KIND_COUNT; i++)
    sum->cost[i] += one->cost[i];
  sum->prompt_tokens += one->prompt_tokens;
  sum->cached_tokens += one->cached_tokens;
  sum->wasted += one->wasted;
  sum->retries += one->retries;
  sum->hedges += one->hedges;
  sum->attempts += one->attempts;
  sum->goodput += one->goodput;
  sum->duplicates += one->duplicates;
  sum->to_unusable += one->to_unusable;
  if (one->worst_organisation < sum->worst_organisation)
    sum->worst_organisation = one->worst_organisation;
}

static double
all_cost (const struct policy_result *result)
{
  double cost = 0;
  uint32_t i;

  for (i = 0; i < STAGE_KIND_COUNT; i++)
    cost += result->cost[i];
  return cost;
}

static void
print_head (const struct options *options)
{
  if (options->csv)
    printf ("site,experiment,arm,attainment,p50_s,p99_s,cost_encode,cost_retrieve,cost_rerank,"
            "cost_generate,cost_call,cost_per_attained,cached_share,wasted_share,refused_share,"
            "retry_share,"
            "hedge_share,worst_organisation,goodput_share,duplicates,to_unusable\n");
  else
    printf (
        "| site | experiment | arm | attained | p50 s | p99 s | encode | retrieve | rerank | "
        "generate | call | cost/att. | cached | wasted | refused | retries | hedges | worst org. | "
        "goodput | dup. | unusable |\n"
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

static void
print_row (const struct options *options,
           const char *site,
           const char *experiment,
           const char *arm,
           const struct policy_result *sum,
           double capacity)
{
  static const char *const csv =
      "%s,%s,%s,%.4f,%.3f,%.3f,%.1f,%.1f,%.1f,%.1f,%.1f,%.4f,%.4f,%.4f,%.4f,"
      "%.4f,%.4f,%.4f,%.3f,%u,%u\n";
  static const char *const table = "| %s | %s | %s | %.4f | %.3f | %.2f | %.0f | %.0f | %.0f | "
                                   "%.0f | %.0f | %.4f | %.3f | %.3f | "
                                   "%.3f | %.4f | %.4f | %.3f | %.2f | %u | %u |\n";
  double cost = all_cost (sum);
  double n = options->seeds;

  printf (options->csv ? csv : table, site, experiment, arm, (double) sum->attained / sum->requests,
          sum->p50 / n, sum->p99 / n, sum->cost[STAGE_ENCODE] / n, sum->cost[STAGE_RETRIEVE] / n,
          sum->cost[STAGE_RERANK] / n, sum->cost[STAGE_GENERATE] / n, sum->cost[STAGE_CALL] / n,
          cost / sum->attained, sum->cached_tokens / sum->prompt_tokens, sum->wasted / cost,
          (double) sum->refused / sum->requests, (double) sum->retries / sum->attempts,
          (double) sum->hedges / sum->attempts, sum->worst_organisation,
          sum->goodput / n / capacity, sum->duplicates, sum->to_unusable);
  fflush (stdout);
}

/* Print the rows of an earlier build's CSV for the same site and experiment, unchanged. */
static void
print_before (const struct options *options, const char *site, const char *experiment)
{
  FILE *file = options->before == NULL ? NULL : fopen (options->before, "re");
  char start[128];
  char *line = NULL;
  size_t size = 0;

  if (file == NULL)
    return;
  snprintf (start, sizeof start, "%s,%s,ours,", site, experiment);
  while (getline (&line, &size, file) > 0)
    if (strncmp (line, start, strlen (start)) == 0)
      printf ("ours-before: %s", line + strlen (start));
  free (line);
  fclose (file);
}

static void
run_site (struct options *options, enum trace_site site)
{
  double capacity = policy_capacity (site, options->config.scale, 1);
  int experiment;
  int arm;

  options->config.site = site;
  options->config.rate = calm_rate (options, site, capacity);
  fprintf (stderr, "%s: capacity %.1f generation seconds a second, calm rate %.1f requests/s\n",
           site_name ((int) site), capacity, options->config.rate);
  for (experiment = 0; experiment < POLICY_EXPERIMENT_COUNT; experiment++)
    {
      if (options->experiment >= 0 && experiment != options->experiment)
        continue;
      for (arm = 0; arm < POLICY_ARM_COUNT; arm++)
        {
          struct policy_result sum = { .worst_organisation = 1 };

          if (options->arm >= 0 && arm != options->arm)
            continue;
          options->config.arm = (enum policy_arm) arm;
          options->config.experiment = (enum policy_experiment) experiment;
          for (uint32_t seed = 1; seed <= options->seeds; seed++)
            {
              struct policy_result one;

              options->config.seed = seed;
              one = policy_simulate (&options->config);
              add (&sum, &one);
            }
          print_row (options, site_name ((int) site), experiment_name (experiment), arm_name (arm),
                     &sum, capacity);
        }
      print_before (options, site_name ((int) site), experiment_name (experiment));
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    option_list, parse_option, NULL, "Compare policies on virtual time.", 0, 0, 0
  };
  struct options options = { .site = -1, .arm = -1, .experiment = -1, .seeds = 5, .load = 0.45 };

  options.config.hosts = 6;
  options.config.scale = 1;
  options.config.length = 90 * USEC_PER_SEC;
  if (argp_parse (&argp, argc, argv, 0, NULL, &options) != 0 || options.seeds == 0)
    return EXIT_FAILURE;
  print_head (&options);
  for (int site = 0; site <= TRACE_AR_CENTRO; site++)
    if (options.site < 0 || options.site == site)
      run_site (&options, (enum trace_site) site);
  return EXIT_SUCCESS;
}
