/* Did a target end when a connection to it broke?
 *
 * A connection that breaks says little: links are cut, connections reset, answers broken off by
 * targets that go on.  A target has ended where its address takes no connection any more, where it
 * starts anew, or where nobody hears it for a lease; it lives where the same incarnation renews
 * after the break.
 *
 * Load pattern: breaks are rare and come in crowds, all of one target at one moment; so there is
 * one watch for each incarnation, and one probe a period, however many of its connections broke. */
#ifndef TARGET_WATCH_H
#define TARGET_WATCH_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "loop.h"
#include "registry.h"

BEGIN_DECLS

#define TARGET_WATCHES_MAX 64

/* A probe that meets neither a connection nor a refusal is over. */
#define TARGET_WATCH_PROBE (1000 * USEC_PER_MSEC)

/* A renewal this much later than the break was made after it, whatever held up its news. */
#define TARGET_WATCH_LIVES (1000 * USEC_PER_MSEC)

/* What the controllers tell is looked at this often while a target is watched. */
#define TARGET_WATCH_PERIOD (100 * USEC_PER_MSEC)

/* After this a watch ends: a lease, and what a start takes. */
#define TARGET_WATCH_FOR (15 * USEC_PER_SEC)

/* name, text */
#define TARGET_FATE_LIST(X)                                                                        \
  X (UNKNOWN, "unknown")                                                                           \
  X (ENDED, "ended")                                                                               \
  X (LIVES, "lives")

enum target_fate
{
#define X(name, text) TARGET_FATE_##name,
  TARGET_FATE_LIST (X)
#undef X
      TARGET_FATE_COUNT
};

const char *target_fate_text (enum target_fate fate);

struct target_watch_listener
{
  const struct target_watch_listener_ops *ops;
};

struct target_watch_listener_ops
{
  /* Of the breaks until `until`.  LIVES may follow ENDED: a link that refused connections for its
   * target is whole again.  UNKNOWN comes at the end of a watch that showed neither. */
  void (*fate) (struct target_watch_listener *listener,
                uint64_t incarnation,
                enum target_fate fate,
                int64_t until,
                int64_t now);
};

struct target_watch_config
{
  struct loop *loop;
  struct registry *registry;
  struct counters *counters;
  struct target_watch_listener *listener; /* NULL for none */
};

struct target_watch;

/* Freed with `parent`.  NULL when memory is out. */
struct target_watch *target_watch_new (void *parent, const struct target_watch_config *config);

/* What is known of an incarnation; UNKNOWN where none of its connections broke lately. */
enum target_fate target_watch_fate (const struct target_watch *watch, uint64_t incarnation);

/* A connection to the target broke under a request.  What is known of this incarnation already. */
enum target_fate target_watch_broke (struct target_watch *watch,
                                     const struct balance_target *target,
                                     int64_t now);

END_DECLS

#endif
