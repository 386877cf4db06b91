/* Summaries of a replay run. */
#include "replay.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define ORGANISATION_MIN 10
#define EXAMPLES_MAX 5

const char *
replay_outcome_text (enum replay_outcome outcome)
{
  static const char *const texts[] = {
#define X(name, text) [REPLAY_##name] = text,
    REPLAY_OUTCOME_LIST (X)
#undef X
  };

  return texts[outcome];
}

double
replay_attainment (const struct replay_result *result)
{
  return result->count > 0 ? (double) result->outcomes[REPLAY_ATTAINED] / result->count : 0;
}

static int
compare_spans (const void *a, const void *b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;

  return (x > y) - (x < y);
}

int64_t
replay_latency (const struct replay_result *result, double q)
{
  int64_t *spans = talloc_array (NULL, int64_t, result->count + 1);
  uint32_t n = 0;
  int64_t found = 0;

  for (uint32_t i = 0; i < result->count; i++)
    {
      const struct replay_record *record = &result->records[i];

      if (record->outcome == REPLAY_ATTAINED || record->outcome == REPLAY_LATE)
        spans[n++] = record->latency;
    }
  qsort (spans, n, sizeof *spans, compare_spans);
  if (n > 0)
    found = spans[(uint32_t) fmin (q * n, n - 1)];
  talloc_free (spans);
  return found;
}

static double
organisation_attainment (const struct replay_result *result,
                         const struct trace *trace,
                         const char *name)
{
  uint32_t asked = 0;
  uint32_t attained = 0;

  for (uint32_t i = 0; i < trace->count; i++)
    if (strcmp (trace->requests[i].organisation, name) == 0)
      {
        asked++;
        attained += result->records[i].outcome == REPLAY_ATTAINED;
      }
  return asked >= ORGANISATION_MIN ? (double) attained / asked : 1;
}

double
replay_worst_organisation (const struct replay_result *result,
                           const struct replay_options *options,
                           const char **name)
{
  double worst = 2;

  *name = "";
  for (int i = 0; i < SITE_ORGANISATIONS; i++)
    {
      const char *organisation = options->site->organisations[i].name;
      double share = organisation_attainment (result, options->trace, organisation);

      if (share >= worst)
        continue;
      worst = share;
      *name = organisation;
    }
  return worst;
}

/* Executions of a request in the named pool, or in all pools if `pool` is NULL. */
static json_int_t
executions_in (const json_t *counts, const char *pool, const char *id)
{
  json_int_t executions = 0;
  json_t *target;
  size_t i;

  json_array_foreach (counts, i, target)
    {
      if (!pool || strcmp (json_string_value (json_object_get (target, "pool")), pool) == 0)
        executions +=
            json_integer_value (json_object_get (json_object_get (target, "executions"), id));
    }
  return executions;
}

static const char *
call_pool_of (const struct site *site, const char *pipeline)
{
  for (uint32_t i = 0; i < site->n_pipelines; i++)
    if (strcmp (site->pipelines[i].name, pipeline) == 0)
      return site->pipelines[i].call_pool;
  return NULL;
}

uint32_t
replay_count_violations (const struct replay_result *result,
                         const struct replay_options *options,
                         const json_t *counts,
                         FILE *explain)
{
  uint32_t broken = 0;

  for (uint32_t i = 0; i < result->count; i++)
    {
      const struct trace_request *request = &options->trace->requests[i];
      const struct replay_record *record = &result->records[i];
      const char *pool = call_pool_of (options->site, request->pipeline);
      const char *promise = NULL;

      if (record->outcome == REPLAY_WRONG)
        promise = record->detail;
      else if (!request->repeatable && pool && executions_in (counts, pool, request->id) > 1)
        promise = "an unrepeatable call was executed more than once";
      else if (record->ran == 0 && record->said_not_run
               && executions_in (counts, NULL, request->id) > 0)
        promise = "work was done for a request that was said not to have run";
      if (!promise)
        continue;
      broken++;
      if (explain)
        fprintf (explain, "broken promise: %s (%s): %s\n", request->id, request->pipeline, promise);
    }
  return broken;
}

static const struct site_pool *
pool_of (const struct site *site, const char *name)
{
  for (uint32_t i = 0; i < site->n_pools; i++)
    if (strcmp (site->pools[i].name, name) == 0)
      return &site->pools[i];
  return NULL;
}

void
replay_cost_of (const struct site *site,
                const json_t *counts,
                double time_scale,
                struct replay_cost *out)
{
  double back = time_scale > 0 ? 1 / time_scale / USEC_PER_SEC : 0;
  json_t *target;
  size_t i;

  *out = (struct replay_cost){ .calls = 0 };
  json_array_foreach (counts, i, target)
    {
      const struct site_pool *pool =
          pool_of (site, json_string_value (json_object_get (target, "pool")));
      double price;

      if (!pool)
        continue;
      price = pool->cost_per_second * back;
      out->by_kind[pool->kind] +=
          price * (double) json_integer_value (json_object_get (target, "busy_us"));
      out->wasted += price * (double) json_integer_value (json_object_get (target, "wasted_us"));
      out->calls += (uint64_t) json_integer_value (json_object_get (target, "calls"));
    }
}

void
replay_print (const struct replay_result *result, const struct trace *trace, FILE *file)
{
  uint32_t shown = 0;

  for (int i = REPLAY_ATTAINED; i < REPLAY_OUTCOME_COUNT; i++)
    if (result->outcomes[i] > 0)
      fprintf (file, "%-10s %6u\n", replay_outcome_text ((enum replay_outcome) i),
               result->outcomes[i]);
  for (uint32_t i = 0; i < result->count && shown < EXAMPLES_MAX; i++)
    {
      const struct replay_record *record = &result->records[i];

      if (record->outcome == REPLAY_ATTAINED)
        continue;
      fprintf (file, "  %s %s: %s after %u tries: %s\n", trace->requests[i].id,
               trace->requests[i].pipeline, replay_outcome_text (record->outcome), record->tries,
               record->detail);
      shown++;
    }
}
