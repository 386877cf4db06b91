/* The sizes of the two sites, and the resources made from them.  The sites do not state the pool
 * sizes of encoders, retrievers and rerankers, the costs or the request shares; these are
 * assumptions. */
#include "site.h"
#include "service_time.h"
#include "status.h"
#include "text.h"

#define STAGE_TOP_RETRIEVED 6
#define STAGE_TOP_KEPT 3
#define ATTEMPTS_MAX 3
#define RETRY_SHARE 0.1
#define HEDGE_SHARE 0.02
#define EJECT_SHARE_MAX 0.34

#define POOL(pool_name, pool_kind, count, reports, cost)                                           \
  {                                                                                                \
    .name = (pool_name), .kind = (pool_kind), .targets = (count), .reports_load = (reports),       \
    .cost_per_second = (cost)                                                                      \
  }

static const struct site sites[] = {
  [TRACE_BKK] = {
    .name = "bkk",
    .domains = { "bkk-a", "bkk-b", "bkk-c" },
    .objective = OBJECTIVE_COST,
    .pools = {
      POOL ("encoders", STAGE_ENCODE, 4, true, 0.2),
      POOL ("retrievers", STAGE_RETRIEVE, 4, true, 0.1),
      POOL ("rerankers", STAGE_RERANK, 4, true, 0.2),
      POOL ("runners", STAGE_GENERATE, 12, true, 1.0),
      POOL ("portal", STAGE_CALL, 3, false, 0.02),
      POOL ("ledger", STAGE_CALL, 3, true, 0.02),
      POOL ("documents", STAGE_CALL, 5, true, 0.02),
      POOL ("notifications", STAGE_CALL, 5, true, 0.02),
    },
    .n_pools = 8,
    .pipelines = {
      { .name = "claim-status", .stages = "C", .call_pool = "portal", .share = 0.40, .priority = 8,
        .repeatable = true, .deadline = 1000 * USEC_PER_MSEC },
      { .name = "claim-entry", .stages = "C", .call_pool = "ledger", .share = 0.06, .priority = 7,
        .repeatable = false, .deadline = 2 * USEC_PER_SEC },
      { .name = "case-document", .stages = "C", .call_pool = "documents", .share = 0.10,
        .priority = 5, .repeatable = true, .deadline = 2 * USEC_PER_SEC },
      { .name = "intake", .stages = "ETRG", .share = 0.16, .priority = 6, .repeatable = true,
        .deadline = 6 * USEC_PER_SEC, .output_min = 30, .output_max = 90 },
      { .name = "claim-summary", .stages = "ETRG", .share = 0.16, .priority = 4,
        .repeatable = true, .deadline = 15 * USEC_PER_SEC, .output_min = 60, .output_max = 200,
        .document_median = 4000 },
      { .name = "claim-draft", .stages = "ETRG", .share = 0.08, .priority = 3, .repeatable = true,
        .deadline = 25 * USEC_PER_SEC, .output_min = 150, .output_max = 450,
        .document_median = 4000 },
      { .name = "demand-letter", .stages = "TGC", .call_pool = "notifications", .share = 0.04,
        .priority = 5, .repeatable = false, .deadline = 25 * USEC_PER_SEC, .output_min = 150,
        .output_max = 350, .document_median = 4000 },
    },
    .n_pipelines = 7,
    .organisations = {
      { "airclaim-hotline", 0.45 }, { "airclaim-app", 0.30 }, { "legal-desk", 0.12 },
      { "partner-agents", 0.08 }, { "officers", 0.05 },
    },
  },
  [TRACE_AR_CENTRO] = {
    .name = "ar-centro",
    .domains = { "sala-a", "sala-b", "sala-c" },
    .objective = OBJECTIVE_ATTAINMENT,
    .pools = {
      POOL ("encoders", STAGE_ENCODE, 5, true, 0.2),
      POOL ("retrievers", STAGE_RETRIEVE, 4, true, 0.1),
      POOL ("rerankers", STAGE_RERANK, 5, true, 0.2),
      POOL ("assistant", STAGE_GENERATE, 18, true, 1.0),
      POOL ("orders", STAGE_CALL, 3, false, 0.02),
      POOL ("invoicing", STAGE_CALL, 4, true, 0.02),
      POOL ("logistics", STAGE_CALL, 5, true, 0.02),
      POOL ("dealer-portal", STAGE_CALL, 5, true, 0.02),
    },
    .n_pools = 8,
    .pipelines = {
      { .name = "price", .stages = "C", .call_pool = "dealer-portal", .share = 0.32, .priority = 9,
        .repeatable = true, .deadline = 800 * USEC_PER_MSEC },
      { .name = "availability", .stages = "C", .call_pool = "logistics", .share = 0.14,
        .priority = 8, .repeatable = true, .deadline = 1000 * USEC_PER_MSEC },
      { .name = "order", .stages = "C", .call_pool = "orders", .share = 0.08, .priority = 8,
        .repeatable = false, .deadline = 2 * USEC_PER_SEC },
      { .name = "invoice", .stages = "C", .call_pool = "invoicing", .share = 0.04, .priority = 5,
        .repeatable = false, .deadline = 4 * USEC_PER_SEC },
      { .name = "customer-reply", .stages = "ETRG", .share = 0.24, .priority = 6,
        .repeatable = true, .deadline = 5 * USEC_PER_SEC, .output_min = 30, .output_max = 100 },
      { .name = "warranty-check", .stages = "ETRG", .share = 0.10, .priority = 5,
        .repeatable = true, .deadline = 10 * USEC_PER_SEC, .output_min = 30, .output_max = 100,
        .document_median = 2000 },
      { .name = "ledger-summary", .stages = "EG", .share = 0.08, .priority = 3,
        .repeatable = true, .deadline = 20 * USEC_PER_SEC, .output_min = 80, .output_max = 250,
        .document_median = 9000 },
    },
    .n_pipelines = 7,
    .organisations = {
      { "cordoba-norte", 0.40 }, { "rosario", 0.30 }, { "mendoza", 0.15 }, { "la-plata", 0.10 },
      { "taller-sur", 0.05 },
    },
  },
};

const struct site *
site_get (enum trace_site site)
{
  return &sites[site];
}

static const char *const stage_names[STAGE_KIND_COUNT] = {
#define X(name, text) [STAGE_##name] = text,
  STAGE_KIND_LIST (X)
#undef X
};

static enum stage_kind
kind_of_letter (char letter)
{
  switch (letter)
    {
    case 'E':
      return STAGE_ENCODE;
    case 'T':
      return STAGE_RETRIEVE;
    case 'R':
      return STAGE_RERANK;
    case 'G':
      return STAGE_GENERATE;
    default:
      return STAGE_CALL;
    }
}

static const char *
pool_of_kind (const struct site *site, enum stage_kind kind)
{
  for (uint32_t i = 0; i < site->n_pools; i++)
    if (site->pools[i].kind == kind)
      return site->pools[i].name;
  INVARIANT (!"a site has a pool of each kind");
  return NULL;
}

void
site_pipeline_spec (const struct site *site, uint32_t index, struct pipeline_spec *out)
{
  const struct site_pipeline *pipeline = &site->pipelines[index];

  *out = (struct pipeline_spec){
    .service = strcmp (pipeline->stages, "C") == 0,
    .n_stages = (uint32_t) strlen (pipeline->stages),
    .deadline = pipeline->deadline,
    .objective = site->objective,
    .max_attempts = ATTEMPTS_MAX,
    .retry_share = RETRY_SHARE,
    .hedge_share = site->objective == OBJECTIVE_ATTAINMENT ? HEDGE_SHARE : 0,
    .priority = pipeline->priority,
    .repeatable = pipeline->repeatable,
  };
  text_copy_truncated (out->name, sizeof out->name, pipeline->name);
  for (uint32_t i = 0; i < out->n_stages; i++)
    {
      struct stage_spec *stage = &out->stages[i];

      stage->kind = kind_of_letter (pipeline->stages[i]);
      text_copy_truncated (stage->name, sizeof stage->name, stage_names[stage->kind]);
      if (stage->kind == STAGE_CALL)
        text_copy_truncated (stage->pool, sizeof stage->pool, pipeline->call_pool);
      else
        text_copy_truncated (stage->pool, sizeof stage->pool, pool_of_kind (site, stage->kind));
      if (stage->kind == STAGE_GENERATE)
        stage->max_tokens = pipeline->output_max;
      if (stage->kind == STAGE_RETRIEVE)
        stage->top = STAGE_TOP_RETRIEVED;
      if (stage->kind == STAGE_RERANK)
        stage->top = STAGE_TOP_KEPT;
    }
}

void
site_pool_spec (const struct site *site, uint32_t index, struct pool_spec *out)
{
  const struct site_pool *pool = &site->pools[index];

  *out = (struct pool_spec){
    .kind = pool->kind,
    .cost_per_second = pool->cost_per_second,
    .slots = service_time_slots (pool->kind),
    .eject_share_max = EJECT_SHARE_MAX,
  };
  text_copy_truncated (out->name, sizeof out->name, pool->name);
}
