/* Dump of the board and of the components that add no dump source of their own. */
#include "container.h"
#include "host_private.h"
#include <stddef.h>

static json_t *
describe_host (const struct board_host *entry, int64_t now)
{
  return json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:f,s:I}", "name", entry->name, "domain",
      entry->domain, "region", entry->region, "state", host_state_text (entry->state), "entry",
      entry->entry_address, "peer", entry->peer_address, "self", entry->self, "voter", entry->voter,
      "incarnation", (json_int_t) entry->incarnation, "revision", (json_int_t) entry->revision,
      "load", entry->load, "heard_ms_ago", (json_int_t) ((now - entry->heard_at) / USEC_PER_MSEC));
}

static json_t *
describe_models (const struct board_target *target)
{
  json_t *models = json_array ();
  uint32_t i;

  for (i = 0; i < target->n_models; i++)
    json_array_append_new (models, json_string (target->models[i]));
  return models;
}

static json_t *
describe_report (const struct load_report *report, int64_t now)
{
  if (report->received_at == 0)
    return json_null ();
  return json_pack ("{s:I,s:I,s:I,s:f}", "age_ms",
                    (json_int_t) ((now - report->measured_at) / USEC_PER_MSEC), "running",
                    (json_int_t) report->running, "waiting", (json_int_t) report->waiting,
                    "kv_used", report->kv_used);
}

static json_t *
describe_target (const struct board_target *target, int64_t now)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:o,s:I,s:I,s:I,s:I,s:I,s:o}", "name",
                    target->name, "pool", target->pool, "kind", stage_kind_text (target->kind),
                    "domain", target->domain, "address", target->address, "home", target->home,
                    "state", target->state == TARGET_READY ? "ready" : "leaving", "models",
                    describe_models (target), "slots", (json_int_t) target->slots, "incarnation",
                    (json_int_t) target->incarnation, "sequence", (json_int_t) target->sequence,
                    "lease_ms", (json_int_t) ((target->lease_until - now) / USEC_PER_MSEC),
                    "in_flight", (json_int_t) target->in_flight, "report",
                    describe_report (&target->report, now));
}

static json_t *
describe_hosts (const struct board *board, int64_t now)
{
  json_t *list = json_array ();
  uint32_t cursor = 0;
  const struct board_host *entry;

  while ((entry = table_next (board->hosts, &cursor, NULL)) != NULL)
    json_array_append_new (list, describe_host (entry, now));
  return list;
}

static json_t *
describe_targets (const struct board *board, int64_t now)
{
  json_t *list = json_array ();
  uint32_t cursor = 0;
  const struct board_target *target;

  while ((target = table_next (board->targets, &cursor, NULL)) != NULL)
    json_array_append_new (list, describe_target (target, now));
  return list;
}

/* Names and revisions of the pools, pipelines and organisations in force; their specs are dumped by
 * the resources. */
static json_t *
describe_in_force (const struct board *board)
{
  json_t *list = json_array ();
  const struct board_pool *pool;
  const struct board_pipeline *pipeline;
  const struct board_organisation *organisation;
  uint32_t cursor = 0;

  while ((pool = table_next (board->pools, &cursor, NULL)) != NULL)
    json_array_append_new (list,
                           json_pack ("{s:s,s:s,s:I}", "kind", "pool", "name", pool->spec.name,
                                      "revision", (json_int_t) pool->revision));
  cursor = 0;
  while ((pipeline = table_next (board->pipelines, &cursor, NULL)) != NULL)
    json_array_append_new (
        list, json_pack ("{s:s,s:s,s:I}", "kind", pipeline->spec.service ? "service" : "pipeline",
                         "name", pipeline->spec.name, "revision", (json_int_t) pipeline->revision));
  cursor = 0;
  while ((organisation = table_next (board->organisations, &cursor, NULL)) != NULL)
    json_array_append_new (list, json_pack ("{s:s,s:s,s:I}", "kind", "organisation", "name",
                                            organisation->spec.name, "revision",
                                            (json_int_t) organisation->revision));
  return list;
}

static json_t *
board_describe (struct dump_source *source, int64_t now)
{
  const struct board *board = CONTAINER_OF (source, struct host, board_dump)->board;

  return json_pack ("{s:I,s:b,s:I,s:b,s:b,s:I,s:f,s:o,s:o,s:o}", "revision",
                    (json_int_t) board->revision, "config_ready", board->config_ready,
                    "confirmed_ms_ago", (json_int_t) ((now - board->confirmed_at) / USEC_PER_MSEC),
                    "leaving", board->leaving, "refusing", board->refusing, "requests_in_flight",
                    (json_int_t) board->requests_in_flight, "load", board->load, "in_force",
                    describe_in_force (board), "hosts", describe_hosts (board, now), "targets",
                    describe_targets (board, now));
}

static json_t *
consensus_describe (struct dump_source *source, int64_t now)
{
  const struct consensus *consensus = CONTAINER_OF (source, struct host, consensus_dump)->consensus;

  (void) now;
  return consensus->ops->describe (consensus);
}

static json_t *
decide_describe_source (struct dump_source *source, int64_t now)
{
  return decide_describe (CONTAINER_OF (source, struct host, decide_dump)->decide, now);
}

static const struct dump_source_ops board_ops = { .describe = board_describe };
static const struct dump_source_ops consensus_ops = { .describe = consensus_describe };
static const struct dump_source_ops decide_ops = { .describe = decide_describe_source };

void
host_add_dump_sources (struct host *host)
{
  host->board_dump = (struct dump_source){ .ops = &board_ops, .name = "board" };
  host->consensus_dump = (struct dump_source){ .ops = &consensus_ops, .name = "consensus" };
  host->decide_dump = (struct dump_source){ .ops = &decide_ops, .name = "decide" };
  dump_add (&host->dump, &host->board_dump);
  dump_add (&host->dump, &host->consensus_dump);
  dump_add (&host->dump, &host->decide_dump);
}
