/* Orders of evacuation at a controller: from the call to its durable outcome. */
#ifndef EVACUATION_CONTROL_H
#define EVACUATION_CONTROL_H

#include "consensus.h"
#include "controller.h"
#include "decls.h"
#include "document.h"
#include "evacuation.h"

BEGIN_DECLS

/* Callers ask the next controller after one second without an answer. */
#define EVACUATION_ORDER_TIMEOUT (900 * USEC_PER_MSEC)

/* name, text */
#define EVACUATION_RESULT_LIST(X)                                                                  \
  X (DONE, "done")              /* durable */                                                      \
  X (UNKNOWN, "no such domain") /* nothing was ordered */                                          \
  X (REFUSED, "too many domains are evacuated")                                                    \
  X (UNAVAILABLE, "no quorum answered in time") /* it may be in effect, or come into effect */

enum evacuation_result
{
#define X(name, text) EVACUATION_RESULT_##name,
  EVACUATION_RESULT_LIST (X)
#undef X
      EVACUATION_RESULT_COUNT
};

const char *evacuation_result_text (enum evacuation_result result);

struct evacuation_control;

struct evacuation_control_config
{
  struct consensus *consensus;
  const struct document *document;
  const struct controller *controller;
  const char (*domains)[ROUTING_NAME_SIZE]; /* that the settings list */
  uint32_t n_domains;
  int64_t now; /* at the start */
};

/* Freed with `parent`.  NULL when out of memory. */
struct evacuation_control *evacuation_control_new (void *parent,
                                                   const struct evacuation_control_config *config);

const struct evacuation_view *evacuation_control_view (const struct evacuation_control *control);

/* An order in progress; embedded by its owner, who sets `ops`. */
struct evacuation_call
{
  const struct evacuation_call_ops *ops;
  struct proposal proposal;
  struct evacuation_control *control;
  struct evacuation_order order;
  int64_t started_at;
};

struct evacuation_call_ops
{
  /* Called exactly once unless the call is cancelled; the call may be freed in it. */
  void (*done) (struct evacuation_call *call, enum evacuation_result result, int64_t now);
};

/* Orders that the domain be evacuated, or not.  The name must be valid.  done() may be called
 * within this function. */
void evacuation_control_order (struct evacuation_control *control,
                               struct evacuation_call *call,
                               const char *domain,
                               bool begins,
                               int64_t now);

/* The caller is gone.  The order may be in effect, or come into effect. */
void evacuation_control_cancel (struct evacuation_call *call, int64_t now);

END_DECLS

#endif
