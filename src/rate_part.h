/* A rate limit that all entry hosts share, divided among them without messages.
 *
 * Each host takes its part by the number of hosts that it knows.  A part has room for one event at
 * least; of more hosts than the burst has events, only the first by rank have a part.  A bucket
 * starts empty: what an earlier process of the host took is not known.
 *
 * Bound.  Hosts that agree on the number and the order of hosts take together at most per_sec * t +
 * burst in any t seconds, however often processes start.  Hosts that know no list have no part.
 * While lists differ, each set of hosts that agree adds at most per_sec * t, and its burst once its
 * buckets are full.
 *
 * No I/O and no clock: the time is an argument. */
#ifndef RATE_PART_H
#define RATE_PART_H

#include "decls.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* A smaller number of hosts counts only after this long: hosts that cannot be reached may still
 * use their parts. */
#define HOST_COUNT_HOLD (10 * USEC_PER_SEC)

#define RATE_WAIT_MAX (3600 * USEC_PER_SEC)

/* A limit, or a host's part of it. */
struct rate_limit
{
  double per_sec;
  double burst; /* events that may be saved up; a limit's is 1 at least, a host without a part has
                   0 */
};

/* The part of one host.  `n_hosts` is 0 while the host knows no list, `rank` its position among the
 * hosts, from 0. */
struct rate_limit rate_part_of (const struct rate_limit *limit, uint32_t n_hosts, uint32_t rank);

/* Number of hosts that have a part. */
uint32_t rate_part_holders (const struct rate_limit *limit, uint32_t n_hosts);

/* The token bucket of a part. */
struct rate_bucket
{
  double level;
  int64_t refilled_at;
};

/* An empty bucket. */
struct rate_bucket rate_bucket_new (int64_t now);

/* Adds what has come in since the last call.  The part may have changed meanwhile. */
void rate_bucket_refill (struct rate_bucket *bucket, const struct rate_limit *part, int64_t now);

/* Takes one event; false if there is none. */
bool rate_bucket_take (struct rate_bucket *bucket, const struct rate_limit *part, int64_t now);

/* Takes one event whether there is one or not. */
void rate_bucket_spend (struct rate_bucket *bucket, const struct rate_limit *part, int64_t now);

/* Time until one event can be taken, 0 if at once; USEC_NEVER without a part, or if it is longer
 * than RATE_WAIT_MAX. */
int64_t rate_bucket_wait (struct rate_bucket *bucket, const struct rate_limit *part, int64_t now);

/* The number of hosts to divide by: the largest one of the last HOST_COUNT_HOLD at least. */
struct host_count
{
  uint32_t largest[2]; /* since `since`, and in the span before */
  int64_t since;
};

uint32_t host_count_update (struct host_count *count, uint32_t n_hosts, int64_t now);

END_DECLS

#endif
