/* Determines whether a target ended when a connection to it broke.
 *
 * A broken connection alone does not show that: links are cut, connections reset and answers broken
 * off while the target keeps running.  A target has ended if its address refuses connections, if it
 * has restarted as another incarnation, or if its lease has expired; it lives if the same
 * incarnation renews after the break.
 *
 * A refusal counts only if another target accepts a connection at the same time: otherwise this
 * host may be cut from all targets.
 *
 * Load pattern: breaks are rare and come in bursts, all of one target at one moment; so there is
 * one watch per incarnation, and at most one probe per period, however many of its connections
 * broke. */
#ifndef TARGET_WATCH_H
#define TARGET_WATCH_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "loop.h"
#include "registry.h"

BEGIN_DECLS

#define TARGET_WATCHES_MAX 256

/* Timeout of a probe that is neither accepted nor refused. */
#define TARGET_WATCH_PROBE_TIMEOUT (1000 * USEC_PER_MSEC)

/* A renewal counts as made after a break if it arrives more than this later, since reports of
 * renewals may be delayed. */
#define TARGET_WATCH_RENEWAL_DELAY_MAX (1000 * USEC_PER_MSEC)

/* What a target sent before it ended may be read up to this long after that it ended. */
#define TARGET_WATCH_ANSWER_DELAY_MAX (200 * USEC_PER_MSEC)

/* While a target is watched, its registry record is checked this often, and it is probed at most
 * this often. */
#define TARGET_WATCH_PERIOD (100 * USEC_PER_MSEC)

/* A watch ends after this: the time of a lease plus that of a restart. */
#define TARGET_WATCH_DURATION (15 * USEC_PER_SEC)

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
  /* The fate at the breaks up to `until`.  LIVES may follow ENDED: a faulty link had refused the
   * connections in the target's place.  UNKNOWN is reported when a watch ends without either. */
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
  const struct balance *balance; /* the other targets; NULL for none */
  struct counters *counters;
  struct target_watch_listener *listener; /* NULL for none */
};

struct target_watch;

/* Freed with `parent`.  NULL when out of memory. */
struct target_watch *target_watch_new (void *parent, const struct target_watch_config *config);

/* The known fate of an incarnation; UNKNOWN also if none of its connections broke lately. */
enum target_fate target_watch_fate (const struct target_watch *watch, uint64_t incarnation);

/* Whether the fate of the incarnation will be reported.  It is not if connections to it broke while
 * it was leaving, or while too many others were watched. */
bool target_watch_is_watched (const struct target_watch *watch, uint64_t incarnation);

/* A connection to the target broke during a request.  Returns the fate that is known already. */
enum target_fate target_watch_connection_broke (struct target_watch *watch,
                                                const struct balance_target *target,
                                                int64_t now);

/* An answer from the target ended in order with its connection.  Like a break, but the target is
 * asked only if it is watched for another reason, or refuses a connection. */
enum target_fate target_watch_connection_ended (struct target_watch *watch,
                                                const struct balance_target *target,
                                                int64_t now);

/* The incarnation has begun an answer, so it outlived what ended TARGET_WATCH_ANSWER_DELAY_MAX
 * before. */
void target_watch_answered (struct target_watch *watch, uint64_t incarnation, int64_t now);

/* The target refused a connection: if answers from it ended with theirs, it is asked whether it
 * lives. */
void target_watch_connection_refused (struct target_watch *watch,
                                      const struct balance_target *target,
                                      int64_t now);

END_DECLS

#endif
