/* Whether this host can reach the targets of a pool.
 *
 * One target that accepts no connection may be down or busy.  A pool counts as lost when several of
 * its targets accept none, no other accepted one meanwhile, and targets of the pool went on
 * renewing their leases: then it is this host's path that is cut, and other hosts may reach them.
 *
 * Connections that are open may live on while no new one can be made.  They end one after the
 * other, so they do not keep a pool from being lost, but they serve requests as long as they do.
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

/* Open connections count as working this long after the last answer over one of them. */
#define POOL_REACH_ANSWER_TTL (1 * USEC_PER_SEC)

struct pool_reach
{
  char pool[ROUTING_NAME_SIZE];
  bool lost;
  int64_t failing_since;  /* first failure after the last connection made; 0: none */
  int64_t regained_since; /* first of the latest connections made to a lost pool; 0: none */
  int64_t connected_at;   /* the last one */
  int64_t answered_at;    /* last answer or acknowledgement over an open connection */
  uint64_t unreachable[POOL_REACH_TARGETS]; /* targets without a connection since `failing_since` */
  uint32_t n_unreachable;
};

/* The pool's usable targets. */
struct pool_reach_targets
{
  uint32_t n;
  int64_t renewed_at; /* when the newest lease of one without a connection began; 0: none */
};

/* A target accepted a connection. */
void pool_reach_connected (struct pool_reach *reach, int64_t now);

/* A target answered or acknowledged a request. */
void pool_reach_answered (struct pool_reach *reach, int64_t now);

/* A call to a target failed, or a request is not acknowledged.  `unreachable`: no connection to it
 * could be made. */
void pool_reach_failed (struct pool_reach *reach, uint64_t target, bool unreachable, int64_t now);

/* Is the target among those without a connection? */
bool pool_reach_is_unreachable (const struct pool_reach *reach, uint64_t target);

/* The target is no longer in use: what was observed of it does not count. */
void pool_reach_forget (struct pool_reach *reach, uint64_t target);

/* Does no request get through, not even over an open connection? */
bool pool_reach_is_cut_off (const struct pool_reach *reach, int64_t now);

/* Forget what was observed while this process did not run. */
void pool_reach_restart (struct pool_reach *reach);

/* Decide whether the pool is lost; true if that changed. */
bool pool_reach_update (struct pool_reach *reach,
                        const struct pool_reach_targets *targets,
                        int64_t now);

END_DECLS

#endif
