/* Keeps calls in flight through a host or directly to targets, to measure the cost of a host. */
#ifndef HOST_COST_H
#define HOST_COST_H

#include "call.h"
#include "decls.h"
#include "resource.h"

BEGIN_DECLS

#define HOST_COST_STEPS_MAX 4
#define HOST_COST_SLOTS_MAX 1024

/* One call of a request; the next one starts when its answer is complete. */
struct host_cost_step
{
  char address[RESOURCE_ADDRESS_SIZE];
  char path[RESOURCE_NAME_SIZE + 32];
  struct bytes body;
};

struct host_cost_request
{
  struct host_cost_step steps[HOST_COST_STEPS_MAX];
  uint32_t n_steps;
  struct bytes expected; /* what the last step's answer contains */
};

struct host_cost_result
{
  int64_t *latencies_us; /* of correct answers; sorted by host_cost_quantile() */
  uint32_t capacity;
  uint32_t correct;
  uint32_t refused;   /* 429 and 503 */
  uint32_t failed;    /* any other code, or no complete answer */
  uint32_t wrong;     /* complete, but not the expected answer */
  int64_t elapsed_us; /* wall time */
};

void host_cost_result_init (struct host_cost_result *result, void *parent, uint32_t capacity);

/* Returns microseconds; 0 if there was no correct answer. */
int64_t host_cost_quantile (struct host_cost_result *result, double q);

/* Called once during the run, `after_us` from its start. */
struct host_cost_observer
{
  void (*observe) (void *user, uint32_t running);
  void *user;
  int64_t after_us;
};

/* Sends `request` `requests` times, `in_flight` at a time, and adds the outcome to `result`;
 * `look` may be NULL. */
void host_cost_run (struct caller *caller,
                    const struct host_cost_request *request,
                    uint32_t requests,
                    uint32_t in_flight,
                    const struct host_cost_observer *look,
                    struct host_cost_result *result);

/* Make a request to a service, or to the four stages of a pipeline, through a host or directly. */
void host_cost_request_via_host (struct host_cost_request *request,
                                 void *parent,
                                 const char *host,
                                 const struct pipeline_spec *spec);
void host_cost_request_direct (struct host_cost_request *request,
                               void *parent,
                               const char *const *targets, /* one address per stage */
                               const struct pipeline_spec *spec);

END_DECLS

#endif
