/* Execution count per request.  Must be 0 for a request reported as not run and at most 1 for an
 * unrepeatable call. */
#ifndef FAKE_EXECUTION_H
#define FAKE_EXECUTION_H

#include "decls.h"
#include "fake.h"

BEGIN_DECLS

void fake_execution_count (struct fake_target *target, const char *id);

/* {ID: count}, a new reference. */
json_t *fake_execution_describe (const struct fake_target *target);

void fake_execution_clear (struct fake_target *target);

END_DECLS

#endif
