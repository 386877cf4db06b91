/* Calls kept in flight through a host or straight to targets, for the cost of a host. */
#ifndef HOST_COST_H
#define HOST_COST_H

#include "call.h"
#include "decls.h"
#include "resource.h"

BEGIN_DECLS

#define HOST_COST_STEPS_MAX 4
#define HOST_COST_SLOTS_MAX 1024

/* One call of a request; the next one starts when it has answered whole. */
struct host_cost_step
{
  char address[RESOURCE_ADDRESS_SIZE];
  char path[RESOURCE_NAME_SIZE + 32];
  struct bytes body;
};

struct host_cost_way
{
  struct host_cost_step steps[HOST_COST_STEPS_MAX];
  uint32_t n_steps;
  struct bytes expected; /* what the last step's answer contains */
};

struct host_cost_result
{
  int64_t *latencies; /* of whole answers; host_cost_quantile() sorts them */
  uint32_t capacity;
  uint32_t whole;
  uint32_t refused; /* 429 and 503 */
  uint32_t failed;  /* any other code, or no whole answer */
  uint32_t wrong;   /* whole, and not the expected answer */
  int64_t spent;    /* wall time */
};

void host_cost_result_init (struct host_cost_result *result, void *parent, uint32_t capacity);

/* Microseconds; 0 when nothing answered. */
int64_t host_cost_quantile (struct host_cost_result *result, double q);

/* Called once, `after` the run's start, while the run goes on. */
struct host_cost_look
{
  void (*look) (void *user, uint32_t running);
  void *user;
  int64_t after; /* a span */
};

/* Run `requests` with `in_flight` at one time and add what came to `result`; `look` may be NULL. */
void host_cost_run (struct caller *caller,
                    const struct host_cost_way *way,
                    uint32_t requests,
                    uint32_t in_flight,
                    const struct host_cost_look *look,
                    struct host_cost_result *result);

/* The ways to a service and to the four stages of a pipeline, through a host or straight. */
void host_cost_way_hosted (struct host_cost_way *way,
                           void *parent,
                           const char *host,
                           const struct pipeline_spec *spec);
void host_cost_way_direct (struct host_cost_way *way,
                           void *parent,
                           const char *const *targets, /* one address a stage */
                           const struct pipeline_spec *spec);

END_DECLS

#endif
