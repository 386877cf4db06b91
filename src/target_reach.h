/* Observes which pools this host reaches, from the calls to their targets and from probes.
 *
 * A pool is probed while a failure is unexplained, while it is lost, and now and then while calls
 * make no new connection to it, as a cut may spare the open ones: a target is only asked to accept
 * a connection. */
#ifndef TARGET_REACH_H
#define TARGET_REACH_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "h1_client.h"
#include "loop.h"
#include "pool_reach.h"

BEGIN_DECLS

#define TARGET_REACH_POOLS_MAX 64

/* While a pool is in doubt, one of its targets is probed at this period; while it is lost, at the
 * longer one. */
#define TARGET_REACH_PERIOD (100 * USEC_PER_MSEC)
#define TARGET_REACH_LOST_PERIOD (200 * USEC_PER_MSEC)

/* A sound pool is probed when no connection to it was made for this long. */
#define TARGET_REACH_SOUND_PERIOD (500 * USEC_PER_MSEC)

/* The same for a pool that no call of this host has used for TARGET_REACH_USE_TTL: a cut shows
 * before the host has much use for it, and connections cost the targets. */
#define TARGET_REACH_UNUSED_PERIOD (5 * USEC_PER_SEC)
#define TARGET_REACH_USE_TTL (5 * USEC_PER_SEC)

#define TARGET_REACH_PROBE_TIMEOUT (400 * USEC_PER_MSEC)
#define TARGET_REACH_PROBES_MAX 32

struct target_reach;

struct target_reach_listener
{
  const struct target_reach_listener_ops *ops;
};

struct target_reach_listener_ops
{
  /* A pool was lost or regained. */
  void (*changed) (struct target_reach_listener *listener,
                   const char *pool,
                   bool lost,
                   int64_t now);
};

struct target_reach_config
{
  struct loop *loop;
  struct balance *balance;
  struct counters *counters;
  struct target_reach_listener *listener; /* NULL for none */
};

/* Freed with `parent`.  NULL when out of memory. */
struct target_reach *target_reach_new (void *parent, const struct target_reach_config *config);

/* To be set in the configuration of the client that makes the calls to targets. */
struct h1_path_listener *target_reach_path_listener (struct target_reach *reach);

/* Is the pool lost to this host?  Then other hosts are to be asked first.  `reach` may be NULL:
 * none is. */
bool target_reach_is_lost (const struct target_reach *reach, const char *pool);

/* Is it lost, and does no open connection work either?  `reach` may be NULL: no. */
bool target_reach_is_cut_off (const struct target_reach *reach, const char *pool, int64_t now);

/* Has a call to the pool failed since a target of it was last reached?  `reach` may be NULL. */
bool target_reach_is_in_doubt (const struct target_reach *reach, const char *pool);

/* Stores the names of the lost pools and returns their number.  They stay valid. */
uint32_t target_reach_list_lost (const struct target_reach *reach,
                                 const char *out[TARGET_REACH_POOLS_MAX]);

END_DECLS

#endif
