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
  uint32_t targets; /* assigned to the failure domains round-robin */
  bool reports_load;
  double cost_per_second; /* of one busy slot */
};

struct site_organisation
{
  const char *name;
  double share; /* of the requests */
};

/* One kind of request.  Each stage of its pipeline is one letter:
 * E encode, T retrieve, R rerank, G generate, C call. */
struct site_pipeline
{
  const char *name;
  const char *stages;
  const char *call_pool; /* pool of a C stage */
  double share;          /* of the requests */
  uint32_t priority;
  bool repeatable;
  int64_t deadline;
  uint32_t output_min; /* tokens */
  uint32_t output_max;
  uint32_t document_median; /* tokens; 0: no document, only the question */
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

/* Make `count` requests to the demo site, `spacing` microseconds apart, with ids that start with
 * `prefix`. */
struct trace *site_demo_trace (void *parent, const char *prefix, uint32_t count, int64_t spacing);

/* The resource specs that operators of the site would apply. */
void site_pipeline_spec (const struct site *site, uint32_t index, struct pipeline_spec *out);
void site_pool_spec (const struct site *site, uint32_t index, struct pool_spec *out);

END_DECLS

#endif
