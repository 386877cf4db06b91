/* How long a target takes: the one function that the fakes and the policy driver share. */
#ifndef SERVICE_TIME_H
#define SERVICE_TIME_H

#include "decls.h"
#include "resource.h"
#include "usec.h"

BEGIN_DECLS

struct service_load
{
  uint32_t running; /* calls in the target's batch, this one among them */
  double slowdown;  /* 1.0 normal; a slow target has more */
};

/* Time before the first output: prefill of the tokens that are not cached, or the whole work of a
 * stage that does not generate. */
int64_t service_time_first (enum stage_kind kind,
                            uint32_t input_tokens,
                            uint32_t cached_tokens,
                            const struct service_load *load);

/* Time between two generated tokens at this batch size. */
int64_t service_time_token (const struct service_load *load);

/* Calls a target works on at one time before others wait. */
uint32_t service_slots (enum stage_kind kind);

END_DECLS

#endif
