/* What the parts of the orders share. */
#ifndef ORDER_PRIVATE_H
#define ORDER_PRIVATE_H

#include "order.h"
#include "order_plan.h"
#include <talloc.h>

#define ORDER_FAULT_SIZE 128

/* name, text: where a target stands */
#define ORDER_PHASE_LIST(X)                                                                        \
  X (IDLE, "idle")                                                                                 \
  X (READING, "reading") /* its state, before an order or at a regular look */                     \
  X (ORDERING, "ordering")                                                                         \
  X (SETTLING, "settling") /* ordered: looked at until the state shows it */                       \
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
  struct http_call *call; /* the one in flight, NULL for none */
  bool posting;           /* it is an order, not a look */
  int code;
  struct bytes body;
  struct order_step step;
  bool stepped;       /* `step` was ordered and has not shown yet */
  int64_t ordered_at; /* when */
  int64_t next_at;
  int64_t pause;
  uint32_t sent; /* orders since it last was as wanted */
  bool seen;     /* during a pass over the board */
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
  uint64_t fence;      /* 0 until the log gave one for this leadership */
  uint64_t fence_seen; /* the highest that a target stated */
  int64_t fence_asked_at;
  struct assignment_spec *assignments; /* in the order of their names */
  uint32_t n_assignments;
  bool stale; /* read the assignments again */
  struct order_target *targets;
  uint32_t in_flight;
  int64_t status_at;                     /* when one was last written */
  char status_after[RESOURCE_NAME_SIZE]; /* the assignment looked at last */
  struct counter *sent;
  struct counter *done;
  struct counter *refused;
};

/* The target is gone from the board or from the assignments, or we lead no more. */
void order_target_drop (struct order_target *target);

/* Go on with a target whose time has come. */
void order_target_step (struct order_target *target, const struct board_target *entry, int64_t now);
extern const struct http_call_sink_ops order_target_sink_ops;

/* Write one assignment's status back when it changed; rate-bounded. */
void order_status_write (struct orders *orders, int64_t now);
extern const struct proposal_ops order_status_ops;

const struct assignment_spec *order_wanted (const struct orders *orders,
                                            const struct board_target *target);
const char *order_phase_text (enum order_phase phase);

#endif
