/* Units of time.
 *
 * A time is an int64_t of microseconds on the monotonic clock, a duration an int64_t of
 * microseconds.  Decision code never reads a clock: the edge reads it once per event and passes
 * `now` down. */
#ifndef USEC_H
#define USEC_H

#include <stdint.h>

#define USEC_PER_MSEC INT64_C (1000)
#define USEC_PER_SEC INT64_C (1000000)
#define USEC_NEVER INT64_MAX

#endif
