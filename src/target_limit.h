/* The rate that a target takes from all entry hosts together, as it names it in its answers, and
 * this host's part of it.
 *
 * Bound.  The limit is divided as in rate_part.h with a burst of TARGET_LIMIT_BURST and one
 * second's requests: hosts that agree on their list send at most per_sec * (t + 1) +
 * TARGET_LIMIT_BURST requests in any t seconds.  Beside this, one request tries the target again
 * when nothing was heard of it for TARGET_LIMIT_HOLD, first of one host, as the others wait a step
 * longer each.
 *
 * No I/O and no clock: the time is an argument. */
#ifndef TARGET_LIMIT_H
#define TARGET_LIMIT_H

#include "decls.h"
#include "rate_part.h"

BEGIN_DECLS

#define TARGET_LIMIT_BURST 2.0 /* requests */

/* A limit that is not heard of for this long may have been lifted. */
#define TARGET_LIMIT_HOLD (5 * USEC_PER_SEC)
#define TARGET_LIMIT_HOLD_STEP (100 * USEC_PER_MSEC) /* for each rank */

/* Zero-initialized: no limit is known. */
struct target_limit
{
  bool present;
  bool is_direct; /* from an answer to this host, else from another host */
  double per_sec;
  int64_t heard_at; /* when the newest known answer came, on this host's clock */
  int64_t tried_at; /* when this host last tried the target again; 0: not since it was heard of */
  struct rate_bucket bucket;
};

/* A host's place among those that share the limit. */
struct target_limit_place
{
  uint32_t n_hosts;
  uint32_t rank;
};

/* Records an answer of the target; `per_sec` is negative if it names no limit.  Older answers than
 * the newest known one are ignored.  Returns whether the limit changed. */
bool target_limit_hear (
    struct target_limit *limit, double per_sec, bool is_direct, int64_t answered_at, int64_t now);

/* This host's part of the limit. */
struct rate_limit target_limit_part (const struct target_limit *limit,
                                     const struct target_limit_place *place);

/* Time until a request may be sent, 0 if at once; USEC_NEVER when this host has no part. */
int64_t target_limit_wait (struct target_limit *limit,
                           const struct target_limit_place *place,
                           int64_t now);

/* Records a request sent. */
void target_limit_sent (struct target_limit *limit,
                        const struct target_limit_place *place,
                        int64_t now);

END_DECLS

#endif
