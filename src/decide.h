/* The decisions under load: admit, choose a target, retry, hedge, give up.
 *
 * Pure over the blackboard: no I/O, no clock; `now` and the seed are passed in, so that a run
 * replays exactly.  flow.c asks, the answers say why. */
#ifndef DECIDE_H
#define DECIDE_H

#include "board.h"
#include "counter.h"
#include "decls.h"
#include "usec.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define DECIDE_PREFIX_BLOCKS 64 /* of a prompt, hashed cumulatively for cache locality */
#define DECIDE_BLOCK_TOKENS 64
#define DECIDE_TRIED_MAX 8

struct decide;

/* name, text */
#define DECIDE_REASON_LIST(X)                                                                      \
  X (ADMITTED, "admitted")                                                                         \
  X (RATE, "organisation over its request rate")                                                   \
  X (CONCURRENCY, "organisation over its concurrency")                                             \
  X (TOKENS, "organisation over its token rate")                                                   \
  X (SHARE, "overloaded and organisation over its fair share")                                     \
  X (PRIORITY, "overloaded and priority too low")                                                  \
  X (WINDOW, "cannot end inside its window")                                                       \
  X (NO_TARGET, "no usable target for a stage")                                                    \
  X (FULL, "host is full")                                                                         \
  X (BUDGET, "retry budget is spent")                                                              \
  X (ATTEMPTS, "attempts are used up")

enum decide_reason
{
#define X(name, text) DECIDE_##name,
  DECIDE_REASON_LIST (X)
#undef X
      DECIDE_REASON_COUNT
};

const char *decide_reason_text (enum decide_reason reason);

/* One request as the decisions see it; lives in the request of flow.c until decide_finish(). */
struct decide_request
{
  struct handle pipeline;
  struct handle organisation; /* none where no organisation is declared */
  int64_t arrived;
  int64_t deadline;
  uint32_t input_tokens;  /* estimated from the body */
  uint32_t output_tokens; /* generated at most, as asked */
  uint32_t priority;
  bool repeatable;
  uint32_t stage; /* the stage now running or next */
  uint64_t prefix[DECIDE_PREFIX_BLOCKS];
  uint32_t n_prefix;
  bool admitted;                          /* decide's own: counted against the limits */
  double estimated_work;                  /* decide's own: slot seconds held against the share */
  double stage_work[RESOURCE_STAGES_MAX]; /* decide's own: the same by stage, until it is done */
};

struct decide_admission
{
  enum decide_reason reason;
  int64_t retry_after; /* span after which asking again may help; 0 when it will not */
};

/* name, text */
#define DECIDE_END_LIST(X)                                                                         \
  X (WHOLE, "whole")         /* a complete, checked answer */                                      \
  X (FAILED, "failed")       /* the target said it failed */                                       \
  X (REFUSED, "refused")     /* the target said it did not take the work */                        \
  X (WRONG, "wrong")         /* an answer that is not this request's */                            \
  X (TIMED_OUT, "timed-out") /* no answer in the attempt's time */                                 \
  X (BROKEN, "broken")       /* the connection failed */                                           \
  X (LOST, "lost")           /* cancelled by us: a hedge's loser or a hopeless request */

enum decide_end
{
#define X(name, text) DECIDE_END_##name,
  DECIDE_END_LIST (X)
#undef X
      DECIDE_END_COUNT
};

const char *decide_end_text (enum decide_end end);

struct decide_choice
{
  struct handle target;
  int64_t expected;       /* when the answer is expected */
  int64_t first_by;       /* end the attempt then if nothing came of it yet; USEC_NEVER for never */
  int64_t give_up;        /* end the attempt then; USEC_NEVER to leave it to the deadline */
  int64_t hedge_at;       /* start a second attempt then if budgets allow; USEC_NEVER for none */
  uint32_t prefix_tokens; /* expected in the target's cache */
  double work;            /* expected slot seconds, on a target with nothing else to do */
  double fill;            /* of its slots when chosen, 0 to 1; decide's own */
  double wait;            /* expected microseconds before it begins; decide's own */
};

/* One attempt that ended, for learning. */
struct decide_result
{
  struct handle target;
  enum decide_end end;
  int64_t started;
  int64_t first_data; /* 0 when none came */
  int64_t ended;
  uint32_t input_tokens; /* of this stage */
  uint32_t output_tokens;
  uint32_t cached_tokens; /* as the engine said, 0 when it did not */
  struct decide_choice choice;
};

/* Freed with `parent`.  NULL when memory is out. */
struct decide *decide_new (void *parent,
                           struct board *board,
                           struct counters *counters,
                           uint64_t seed);

/* At arrival.  Admitted requests are counted until decide_finish(). */
struct decide_admission decide_admit (struct decide *decide,
                                      struct decide_request *request,
                                      int64_t now);

/* A target for the request's current stage.  `tried` are targets that failed it.  DECIDE_ADMITTED
 * when `out` is filled. */
enum decide_reason decide_choose (struct decide *decide,
                                  const struct decide_request *request,
                                  uint32_t stage_tokens,
                                  const struct handle *tried,
                                  uint32_t n_tried,
                                  int64_t now,
                                  struct decide_choice *out);

/* The attempt was started on, and ended at, its target.  `request->stage` is still the attempt's
 * stage when it ends. */
void decide_started (struct decide *decide,
                     const struct decide_request *request,
                     const struct decide_choice *choice,
                     int64_t now);
void decide_ended (struct decide *decide,
                   struct decide_request *request,
                   const struct decide_result *result,
                   int64_t now);

/* May a failed attempt be tried again, may a slow one get a second?  Takes from the budget when
 * the answer is DECIDE_ADMITTED.  Never asked for unrepeatable work that was sent. */
enum decide_reason decide_retry (struct decide *decide,
                                 const struct decide_request *request,
                                 uint32_t attempts,
                                 int64_t now);
enum decide_reason decide_hedge (struct decide *decide,
                                 const struct decide_request *request,
                                 int64_t now);

/* No way left for the request to end in time? */
bool decide_hopeless (const struct decide *decide,
                      const struct decide_request *request,
                      int64_t now);

/* The request is over. */
void decide_finish (struct decide *decide, struct decide_request *request, bool whole, int64_t now);

/* A cache event of an engine: a block (by cumulative hash) was stored or dropped. */
void decide_cache_event (
    struct decide *decide, struct handle target, uint64_t block, bool stored, int64_t now);

/* Our share of an organisation's limits, moved between hosts by limit.c: 0 to 1. */
void decide_set_share (struct decide *decide,
                       struct handle organisation,
                       double share,
                       int64_t now);

/* Demand of an organisation here, in requests a second, for moving shares. */
double decide_demand (const struct decide *decide, struct handle organisation, int64_t now);

json_t *decide_describe (const struct decide *decide, int64_t now);

END_DECLS

#endif
