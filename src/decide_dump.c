/* State dump of the decisions, as JSON. */
#include "decide_state.h"

static json_t *
describe_target (const struct decide *decide, const struct decide_target *target, int64_t now)
{
  const struct board_target *entry = table_get (decide->board->targets, target->handle);

  if (entry == NULL)
    return NULL;
  return json_pack (
      "{s:s,s:b,s:i,s:f,s:f,s:b,s:I,s:f}", "name", entry->name, "usable",
      board_target_is_usable (entry, now), "in_flight", (int) target->in_flight, "work",
      target->work, "slowness", target->slowness, "ejected", target->eject.until != 0,
      "ejected_for_ms",
      (json_int_t) (target->eject.until > now ? (target->eject.until - now) / USEC_PER_MSEC : 0),
      "report_weight", decide_report_weight (&entry->report, now));
}

static json_t *
describe_model (const struct decide_model *model)
{
  json_t *sizes = json_array ();
  uint32_t i;

  for (i = 0; i < LEARN_SIZES; i++)
    {
      const struct learn_histogram *first = model->first.sizes[i];

      if (first == NULL)
        continue;
      json_array_append_new (sizes, json_pack ("{s:i,s:f,s:f,s:f,s:f}", "tokens", (int) (1u << i),
                                               "samples", (double) first->total, "low_ms",
                                               first->quantiles.low / USEC_PER_MSEC, "middle_ms",
                                               first->quantiles.median / USEC_PER_MSEC, "high_ms",
                                               first->quantiles.high / USEC_PER_MSEC));
    }
  return json_pack ("{s:s,s:o}", "model", model->model, "first_output", sizes);
}

static double
admitted_work (const struct decide_pool *pool)
{
  double work = 0;
  uint32_t i;

  for (i = 0; i < DECIDE_PRIORITIES; i++)
    work += pool->queues[i].work;
  return work;
}

static json_t *
describe_pool (const struct decide *decide, const struct decide_pool *pool, int64_t now)
{
  json_t *targets = json_array ();
  json_t *models = json_array ();
  uint32_t i;

  for (i = 0; i < pool->n_targets; i++)
    {
      json_t *target = describe_target (decide, pool->targets[i], now);

      if (target != NULL)
        json_array_append_new (targets, target);
    }
  for (i = 0; i < pool->n_models; i++)
    json_array_append_new (models, describe_model (&pool->models[i]));
  return json_pack ("{s:s,s:f,s:f,s:i,s:i,s:f,s:f,s:o,s:o}", "name", pool->name, "admitted_work",
                    admitted_work (pool), "slots", pool->slots, "running", (int) pool->running,
                    "ejected", (int) pool->n_ejected, "reported", pool->reported, "report_trust",
                    pool->report_confidence, "targets", targets, "models", models);
}

static json_t *
describe_organisations (const struct decide *decide, int64_t now)
{
  json_t *list = json_array ();
  uint32_t cursor = 0;
  struct handle handle;
  const struct board_organisation *entry;

  while ((entry = table_next (decide->board->organisations, &cursor, &handle)) != NULL)
    {
      const struct decide_organisation *own = decide->organisations[handle.index];

      if (own == NULL || own->generation != handle.generation)
        continue;
      json_array_append_new (list, json_pack ("{s:s,s:f,s:i,s:f,s:f}", "name", entry->spec.name,
                                              "share", own->limit.share, "running",
                                              (int) own->limit.running, "work", own->work, "demand",
                                              limit_demand (&own->limit, now)));
    }
  return list;
}

static json_t *
describe_pipelines (const struct decide *decide)
{
  json_t *list = json_array ();
  uint32_t cursor = 0;
  struct handle handle;
  const struct board_pipeline *entry;

  while ((entry = table_next (decide->board->pipelines, &cursor, &handle)) != NULL)
    {
      const struct decide_pipeline *own = decide->pipelines[handle.index];

      if (own == NULL || own->generation != handle.generation)
        continue;
      json_array_append_new (list,
                             json_pack ("{s:s,s:f,s:f}", "name", entry->spec.name, "retries_left",
                                        own->retries.tokens, "hedges_left", own->hedges.tokens));
    }
  return list;
}

static json_t *
describe_counts (struct counter *const *counters, uint32_t count, const char *(*text) (uint32_t))
{
  json_t *object = json_object ();
  uint32_t i;

  for (i = 0; i < count; i++)
    json_object_set_new (object, text (i), json_real (counters[i]->value));
  return object;
}

static const char *
reason_text (uint32_t i)
{
  return decide_reason_text ((enum decide_reason) i);
}

static const char *
end_text (uint32_t i)
{
  return decide_end_text ((enum decide_end) i);
}

json_t *
decide_describe (const struct decide *decide, int64_t now)
{
  json_t *pools = json_array ();
  const struct decide_pool *pool;

  for (pool = decide->pools; pool != NULL; pool = pool->hh.next)
    json_array_append_new (pools, describe_pool (decide, pool, now));
  return json_pack ("{s:i,s:f,s:o,s:o,s:o,s:o,s:o}", "running", (int) decide->n_running,
                    "saved_slot_seconds", decide->saved_work->value, "admissions",
                    describe_counts (decide->verdicts, DECIDE_REASON_COUNT, reason_text),
                    "attempts", describe_counts (decide->ends, DECIDE_END_COUNT, end_text),
                    "organisations", describe_organisations (decide, now), "pipelines",
                    describe_pipelines (decide), "pools", pools);
}
