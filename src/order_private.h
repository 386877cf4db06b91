/* Shared by the modules order, order_target and order_status. */
#ifndef ORDER_PRIVATE_H
#define ORDER_PRIVATE_H

#include "order.h"
#include "order_plan.h"
#include <talloc.h>

#define ORDER_FAULT_SIZE 128

/* name, text: the phases of a target */
#define ORDER_PHASE_LIST(X)                                                                        \
  X (IDLE, "idle")                                                                                 \
  X (READING, "reading") /* its state, before an order or periodically */                          \
  X (ORDERING, "ordering")                                                                         \
  X (SETTLING, "settling") /* order sent: the state is polled until it shows the order */          \
  X (DONE, "done")

enum order_phase
{
#define X(name, text) ORDER_PHASE_##name,
  ORDER_PHASE_LIST (X)
#undef X
      ORDER_PHASE_COUNT
};

/* A target that an assignment names. */
struct order_target
{
  struct http_call_sink sink;
  struct orders *orders;
  struct order_target *prev;
  struct order_target *next;
  char name[RESOURCE_NAME_SIZE];
  char assignment[RESOURCE_NAME_SIZE];
  enum order_phase phase;
  struct http_call *call; /* in flight, NULL for none */
  bool sending_order;     /* `call` sends an order; otherwise it reads the state */
  int code;
  struct bytes body;
  struct order_step step;
  bool step_pending;  /* `step` was sent, and the state does not show it yet */
  int64_t ordered_at; /* when `step` was sent */
  int64_t next_at;
  int64_t backoff;
  uint32_t n_sent; /* orders since the state was last as wanted */
  bool seen;       /* found in the current pass over the board */
  char fault[ORDER_FAULT_SIZE];
};

struct orders
{
  struct order_config config;
  struct timer timer;
  struct store_listener listener;
  struct dump_source source;
  struct proposal fence_proposal;
  struct proposal status_proposal;
  bool fence_proposed;
  bool status_proposed;
  bool leading;
  int64_t led_since;
  uint64_t fence;      /* fencing number, 0 until the log has assigned one to this leadership */
  uint64_t fence_seen; /* the highest fencing number that a target has reported */
  int64_t fence_proposed_at;
  struct assignment_spec *assignments; /* sorted by name */
  uint32_t n_assignments;
  bool assignments_stale; /* `assignments` has to be read again */
  struct order_target *targets;
  uint32_t in_flight;
  int64_t status_proposed_at;             /* when a status was last proposed */
  char status_cursor[RESOURCE_NAME_SIZE]; /* the assignment whose status was checked last */
  struct counter *sent;
  struct counter *done;
  struct counter *refused;
};

/* Drop a target and cancel its call: it has left the board or the assignments, or this host no
 * longer leads. */
void order_target_drop (struct order_target *target);

/* Start the target's next call if it is due and none is in flight. */
void order_target_advance (struct order_target *target,
                           const struct board_target *entry,
                           int64_t now);
extern const struct http_call_sink_ops order_target_sink_ops;

/* Write back the status of one assignment that has changed; rate-limited. */
void order_status_write (struct orders *orders, int64_t now);
extern const struct proposal_ops order_status_ops;

const struct assignment_spec *order_find_assignment (const struct orders *orders,
                                                     const struct board_target *target);
const char *order_phase_text (enum order_phase phase);

#endif
