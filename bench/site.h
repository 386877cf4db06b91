/* The two sites of the traces: pools with their targets, pipelines and services, organisations. */
#ifndef SITE_H
#define SITE_H

#include "decls.h"
#include "resource.h"
#include "trace.h"

BEGIN_DECLS

#define SITE_POOLS_MAX 8
#define SITE_PIPELINES_MAX 8
#define SITE_ORGANISATIONS 5
#define SITE_DOMAINS 3

struct site_pool
{
  const char *name;
  enum stage_kind kind;
  uint32_t targets; /* spread over the failure domains in turn */
  bool reports_load;
  double cost_per_second; /* of one busy slot */
};

struct site_organisation
{
  const char *name;
  double share; /* of the requests */
};

/* What one kind of request looks like; its pipeline's stages are one letter each:
 * E encode, T retrieve, R rerank, G generate, C call. */
struct site_pipeline
{
  const char *name;
  const char *stages;
  const char *call_pool; /* of a C stage */
  double share;          /* of the requests */
  uint32_t priority;
  bool repeatable;
  int64_t deadline;
  uint32_t output_min; /* tokens */
  uint32_t output_max;
  uint32_t document_median; /* tokens; 0: none, the question alone */
};

struct site
{
  const char *name;
  const char *domains[SITE_DOMAINS];
  enum objective objective;
  struct site_pool pools[SITE_POOLS_MAX];
  uint32_t n_pools;
  struct site_pipeline pipelines[SITE_PIPELINES_MAX];
  uint32_t n_pipelines;
  struct site_organisation organisations[SITE_ORGANISATIONS];
};

const struct site *site_get (enum trace_site site);

/* A site of six targets, for the demo and for tests on real processes. */
const struct site *site_demo (void);

/* `count` requests to it, `spacing` apart, their ids begun with `prefix`. */
struct trace *site_demo_trace (void *parent, const char *prefix, uint32_t count, int64_t spacing);

/* The resource specs that operators of the site would apply. */
void site_pipeline_spec (const struct site *site, uint32_t index, struct pipeline_spec *out);
void site_pool_spec (const struct site *site, uint32_t index, struct pool_spec *out);

END_DECLS

#endif
