/* Graceful shutdown: from the signal to the exit, without cutting a request.
 *
 *   serving --signal--> leaving: no longer listed to callers, but lists already given out are still
 *                       valid, so every request is served
 *   leaving --list_keep--> refusing: no valid list names this host; new requests are refused as not
 *                       run, requests in flight continue
 *   refusing --idle and quiet--> handing over: connections are no longer accepted; targets of this
 *                       host, leadership and limit shares are handed over
 *   handing over --done and idle, or DRAIN_HAND_OVER_TIMEOUT--> ended, exit 0
 *
 * A second signal, or `drain_bound`, ends it in any state; unfinished requests are logged. */
#ifndef DRAIN_H
#define DRAIN_H

#include "board.h"
#include "decls.h"
#include "dump.h"
#include "timer.h"

BEGIN_DECLS

#define DRAIN_HAND_OVER_TIMEOUT (5 * USEC_PER_SEC)

/* A caller whose list has just expired still uses it until the new one arrives.  Such requests came
 * up to 110 ms after the start of the refusing state; one that arrived as the process exited was
 * cut, although the host was idle before.  The drain therefore waits until no request has come for
 * this long. */
#define DRAIN_QUIET_PERIOD (250 * USEC_PER_MSEC)

/* Longest wait for that, as some callers ignore their lists' expiry and never stop sending. */
#define DRAIN_QUIET_TIMEOUT (2 * USEC_PER_SEC)

#define DRAIN_EXIT_COMPLETE 0
#define DRAIN_EXIT_UNFINISHED 1

/* name, text */
#define DRAIN_STATE_LIST(X)                                                                        \
  X (SERVING, "serving")                                                                           \
  X (LEAVING, "leaving")                                                                           \
  X (REFUSING, "refusing")                                                                         \
  X (HANDING_OVER, "handing-over")                                                                 \
  X (ENDED, "ended")

enum drain_state
{
#define X(name, text) DRAIN_##name,
  DRAIN_STATE_LIST (X)
#undef X
      DRAIN_STATE_COUNT
};

const char *drain_state_text (enum drain_state state);

/* The actions of the process at each step; struct host embeds it. */
struct drain_actions
{
  const struct drain_ops *ops;
};

struct drain_ops
{
  /* Announce to the other hosts that this host leaves (member_announce_leaving()). */
  void (*leave) (struct drain_actions *actions, int64_t now);

  /* Whether nothing is in flight and no answer is waiting to be sent. */
  bool (*is_idle) (struct drain_actions *actions);

  /* Time of the last request from a caller; 0 before the first. */
  int64_t (*last_arrival) (struct drain_actions *actions);

  /* Stop accepting connections and start the hand-over. */
  void (*hand_over) (struct drain_actions *actions, int64_t now);
  bool (*is_handed_over) (struct drain_actions *actions, int64_t now);

  /* Log each unfinished request by its id; returns their number. */
  uint32_t (*log_unfinished) (struct drain_actions *actions, int64_t now);

  /* Announce that this host has left (member_announce_left()) and stop the loop with this exit
   * code.  The last call. */
  void (*end) (struct drain_actions *actions, int exit_code, int64_t now);
};

struct drain_config
{
  struct board *board;
  struct timer_service *timers;
  struct drain_actions *actions;
  struct dump *dump;   /* NULL for none */
  int64_t list_keep;   /* how long a caller may use a list of hosts */
  int64_t drain_bound; /* from the signal to the end */
};

struct drain;

/* NULL when out of memory. */
struct drain *drain_new (void *parent, const struct drain_config *config);

/* Handles SIGTERM or SIGINT. */
void drain_signal (struct drain *drain, int64_t now);

enum drain_state drain_state (const struct drain *drain);

END_DECLS

#endif
