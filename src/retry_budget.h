/* Retries of one pool on one host, within the limit that all entry hosts share.
 *
 * The limit: in each window, retries may be a share of the requests to the pool, and a spare number
 * more, summed over all hosts.  The requests are those of the window or of the one before,
 * whichever has more.
 *
 * Bound.  A host grants half of the share of the requests that it got in the last window.  Those of
 * one window therefore rest on the requests of two, and on at most the share of those of the larger
 * one, whatever hosts start, stop or know of each other.  The spare retries are divided as in
 * rate_part.h, of which RETRY_SPARE_USED is used.
 *
 * No I/O and no clock: the time is an argument. */
#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include "decls.h"
#include "rate_part.h"

BEGIN_DECLS

#define RETRY_SLOTS 20 /* parts of a window that requests and retries are counted in */

/* Share of the spare retries that is used; the rest is for hosts whose lists differ, and for sends
 * that are delayed on their way. */
#define RETRY_SPARE_USED 0.6

struct retry_limit
{
  double share;   /* retries allowed, as a share of the requests */
  double spare;   /* and this many more in a window, for all entry hosts together */
  int64_t window; /* us */
};

struct retry_budget
{
  int64_t newest; /* number of the newest slot since time 0 */
  uint32_t requests[RETRY_SLOTS + 1];
  uint32_t retries[RETRY_SLOTS + 1]; /* granted for requests, without the spare ones */
  struct rate_bucket spare;
};

struct retry_budget retry_budget_new (int64_t now);

/* The limit on spare retries of all hosts. */
struct rate_limit retry_limit_spare (const struct retry_limit *limit);

/* Counts a request to the pool. */
void retry_budget_add (struct retry_budget *budget, const struct retry_limit *limit, int64_t now);

/* Retries that may be granted for requests, and of the spare ones, at the moment. */
double retry_budget_earned (struct retry_budget *budget,
                            const struct retry_limit *limit,
                            int64_t now);
double retry_budget_spare (struct retry_budget *budget,
                           const struct rate_limit *spare_part,
                           int64_t now);

/* Takes one retry; false if there is none. */
bool retry_budget_take (struct retry_budget *budget,
                        const struct retry_limit *limit,
                        const struct rate_limit *spare_part,
                        int64_t now);

END_DECLS

#endif
