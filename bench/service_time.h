/* The service time of a target, shared by the fake targets and the policy driver. */
#ifndef SERVICE_TIME_H
#define SERVICE_TIME_H

#include "decls.h"
#include "resource.h"
#include "usec.h"

BEGIN_DECLS

struct service_load
{
  uint32_t running; /* calls in the target's batch, including this one */
  double slowdown;  /* factor; 1.0 is normal, more is slower */
};

/* Time to the first output, in microseconds: prefill, or the whole service time of a stage that
 * does not generate. */
int64_t service_time_first_output (enum stage_kind kind,
                                   uint32_t input_tokens,
                                   uint32_t cached_tokens,
                                   const struct service_load *load);

/* Time between two generated tokens at this batch size, in microseconds. */
int64_t service_time_per_token (const struct service_load *load);

/* Calls that a target processes concurrently before further ones queue. */
uint32_t service_time_slots (enum stage_kind kind);

END_DECLS

#endif
