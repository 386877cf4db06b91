/* Graceful shutdown: from the signal to the exit, without cutting a request.
 *
 *   serving --signal--> leaving: named to callers no more, but every list that names us is still
 *                       good, so everything is served
 *   leaving --list_keep--> refusing: no list names us any more; new requests are refused as not
 *                       run, what is in flight goes on
 *   refusing --idle and quiet--> handing over: no connections are taken any more; targets at home,
 *   leadership, limit shares
 *   handing over --done and idle, or HAND_OVER_MAX--> ended, exit 0
 *
 * A second signal, or the bound, ends it wherever it is; what is unfinished is logged. */
#ifndef DRAIN_H
#define DRAIN_H

#include "board.h"
#include "decls.h"
#include "dump.h"
#include "timer.h"

BEGIN_DECLS

#define DRAIN_HAND_OVER_MAX (5 * USEC_PER_SEC)

/* A caller whose list has just ended asks for a new one and still sends by the old.  Such requests
 * came up to 110 ms after the refusing began; one that came when the process ended was cut, though
 * nothing had been in flight a moment before.  So the end waits until none came for this long. */
#define DRAIN_QUIET (250 * USEC_PER_MSEC)

/* Callers that do not look at their lists at all cannot keep a host for longer than this. */
#define DRAIN_QUIET_WAIT_MAX (2 * USEC_PER_SEC)

#define DRAIN_EXIT_WHOLE 0
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

/* What the process does at each step; host.c embeds it. */
struct drain_actions
{
  const struct drain_ops *ops;
};

struct drain_ops
{
  /* Tell the others that we leave (member_leave()). */
  void (*leave) (struct drain_actions *actions, int64_t now);

  /* Nothing is in flight, and no answer waits to be taken. */
  bool (*idle) (struct drain_actions *actions);

  /* When the last caller's request came; 0 before the first. */
  int64_t (*last_arrival) (struct drain_actions *actions);

  /* Take no connections any more, and begin to hand over. */
  void (*hand_over) (struct drain_actions *actions, int64_t now);
  bool (*handed_over) (struct drain_actions *actions, int64_t now);

  /* Log each unfinished request by its id; how many there are. */
  uint32_t (*log_unfinished) (struct drain_actions *actions, int64_t now);

  /* Say goodbye (member_left()) and end the loop with this exit code.  The last call. */
  void (*end) (struct drain_actions *actions, int exit_code, int64_t now);
};

struct drain_config
{
  struct board *board;
  struct timer_service *timers;
  struct drain_actions *actions;
  struct dump *dump;   /* NULL for none */
  int64_t list_keep;   /* how long a caller may keep a list */
  int64_t drain_bound; /* from the signal to the end */
};

struct drain;

/* NULL when out of memory. */
struct drain *drain_new (void *parent, const struct drain_config *config);

/* SIGTERM or SIGINT came. */
void drain_signal (struct drain *drain, int64_t now);

enum drain_state drain_state (const struct drain *drain);

END_DECLS

#endif
