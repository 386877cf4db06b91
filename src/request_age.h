/* Estimates the age of arriving requests.  A client that was rejected retries with the rest of its
 * time, and its objective counts from the first try.
 *
 * New requests of a route have about the same time left, so the longest time left of recent
 * requests shows how much of their time the others have used.  No I/O and no clock. */
#ifndef REQUEST_AGE_H
#define REQUEST_AGE_H

#include "decls.h"
#include "routing.h"
#include "usec.h"

BEGIN_DECLS

struct request_age;

/* Freed with `parent`. */
struct request_age *request_age_new (void *parent);

/* Records a request of the route with `time_left` microseconds and returns its age in microseconds:
 * 0 when the requests of the route differ too much for an estimate.  When they differ somewhat, the
 * age is approximate, and 0 for an early retry. */
int64_t request_age_estimate (struct request_age *request_age,
                              const char *route,
                              int64_t time_left);

END_DECLS

#endif
