/* Whether this host can reach the targets of a pool.
 *
 * One target that accepts no connection may be down or busy.  A pool counts as lost when several of
 * its targets accept none, no other was reached meanwhile, and targets of the pool went on renewing
 * their leases: then it is this host's path that is cut, and other hosts may reach them.
 *
 * No I/O and no clock: the time is an argument. */
#ifndef POOL_REACH_H
#define POOL_REACH_H

#include "decls.h"
#include "routing.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* Targets of a pool that must be unreachable; all of them where there are fewer. */
#define POOL_REACH_TARGETS 3

/* Least time from the first failure until a pool is lost.  Longer where fewer targets can show it:
 * one or two may be silent for a second and go on. */
#define POOL_REACH_LOSS_TIME (500 * USEC_PER_MSEC)
#define POOL_REACH_FEW_LOSS_TIME (1500 * USEC_PER_MSEC)

/* A lost pool is regained by successes over at least this time, with no longer pause between them
 * than the second. */
#define POOL_REACH_REGAIN_TIME (500 * USEC_PER_MSEC)
#define POOL_REACH_REGAIN_GAP (1 * USEC_PER_SEC)

struct pool_reach
{
  char pool[ROUTING_NAME_SIZE];
  bool lost;
  int64_t failing_since;  /* first failure after the last success; 0: none */
  int64_t regained_since; /* first of the latest successes of a lost pool; 0: none */
  int64_t succeeded_at;   /* the last one */
  uint64_t unreachable[POOL_REACH_TARGETS]; /* targets without a connection since `failing_since` */
  uint32_t n_unreachable;
};

/* The pool's usable targets. */
struct pool_reach_targets
{
  uint32_t n;
  int64_t renewed_at; /* when the newest lease of one without a connection began; 0: none */
};

/* A target accepted a connection, acknowledged a request, or answered. */
void pool_reach_succeeded (struct pool_reach *reach, int64_t now);

/* A call to a target failed, or a request is not acknowledged.  `unreachable`: no connection to it
 * could be made. */
void pool_reach_failed (struct pool_reach *reach, uint64_t target, bool unreachable, int64_t now);

/* Is the target among those without a connection? */
bool pool_reach_is_unreachable (const struct pool_reach *reach, uint64_t target);

/* Forget what was observed while this process did not run. */
void pool_reach_restart (struct pool_reach *reach);

/* Decide whether the pool is lost; true if that changed. */
bool pool_reach_update (struct pool_reach *reach,
                        const struct pool_reach_targets *targets,
                        int64_t now);

END_DECLS

#endif
