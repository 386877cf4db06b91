/* The requests that one entry host may start on a target that is cold, and on one that may have
 * turned cold without this host's knowledge.
 *
 * A cold target can handle `per_sec` requests a second and crashes above the bound
 * B = per_sec * overrun + slack in any second, summed over all entry hosts.
 *
 * Bound of a target known to be cold, for the load of a whole domain that comes back cold under
 * full load: the hosts of one list share a rate of min (per_sec / 2, B / 4) and a burst of B / 2
 * less that rate, divided as in rate_part.h, in buckets that start empty.  One host sends at most
 * its part's burst and rate in any second; hosts that agree on their list together at most B / 2,
 * two sets of hosts that disagree at most B.  A host without a list has no part, and neither has
 * any if B is below 2, as one request of each of two sets would exceed it.
 *
 * Bound of a target not known to be cold, for the load of targets that turn cold unannounced: other
 * targets are preferred while COLD_WINDOW saw B / 2 starts of all hosts that are known of.
 *
 * No I/O and no clock: the time is an argument. */
#ifndef COLD_LIMIT_H
#define COLD_LIMIT_H

#include "decls.h"
#include "rate_part.h"
#include "routing.h"

BEGIN_DECLS

/* Settings of the bound. */
struct cold_bounds
{
  double overrun;
  double slack; /* requests */
};

/* The bound, and how long a start makes a target cold; zero-initialized: the pool has no cold
 * targets. */
struct cold_rule
{
  double per_sec;
  double bound; /* B, requests in any second */
  int64_t start_time;
};

/* Starts are counted over a second in slots; the slot in progress makes the span a little longer,
 * never shorter. */
#define COLD_WINDOW USEC_PER_SEC
#define COLD_SLOT (50 * USEC_PER_MSEC)
#define COLD_SLOTS 21

struct cold_window
{
  uint32_t counts[COLD_SLOTS]; /* by slot number modulo COLD_SLOTS */
  uint32_t total;
  int64_t slot; /* number of the newest one */
};

/* Zero-initialized: warm, without starts. */
struct cold_limit
{
  bool cold;
  struct rate_limit part; /* as of the last update */
  struct rate_bucket bucket;
  struct cold_window starts; /* of all hosts, as far as known */
};

struct cold_rule cold_rule_of (const struct cold_spec *spec, const struct cold_bounds *bounds);

/* What the hosts of one list share. */
struct rate_limit cold_rule_share (const struct cold_rule *rule);

/* The part of one host; `n_hosts` and `rank` as for rate_part_of(). */
struct rate_limit cold_rule_part (const struct cold_rule *rule, uint32_t n_hosts, uint32_t rank);

/* Applies whether the target is known to be cold, and this host's part if it is.  A target that
 * turns cold begins with an empty bucket; a changed part counts from now on. */
void cold_limit_update (struct cold_limit *limit,
                        bool cold,
                        const struct rate_limit *part,
                        int64_t now);

/* Time until a request may be started on the target, as of the last update: 0 if it is warm or has
 * room; USEC_NEVER without a part. */
int64_t cold_limit_wait (struct cold_limit *limit, int64_t now);

/* Records a start of this host, after an update, or one of another host. */
void cold_limit_started (struct cold_limit *limit, int64_t now);
void cold_limit_started_elsewhere (struct cold_limit *limit, int64_t now);

/* The starts of the last COLD_WINDOW. */
uint32_t cold_limit_starts (struct cold_limit *limit, int64_t now);

END_DECLS

#endif
