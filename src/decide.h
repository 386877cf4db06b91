/* Decisions that depend on load: admission, choice of a target, retry, hedging, cancellation.
 *
 * Works on the blackboard (board.h) only: no I/O and no clock.  `now` and the seed are arguments,
 * so a run is reproducible.  flow.c calls these functions; their results carry the reason. */
#ifndef DECIDE_H
#define DECIDE_H

#include "board.h"
#include "counter.h"
#include "decls.h"
#include "slow_attempt.h"
#include "usec.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define DECIDE_PREFIX_BLOCKS 64 /* hashed (cumulatively) per prompt, for cache locality */
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

/* The part of a request that decisions use; a member of flow.c's request, valid until
 * decide_finish(). */
struct decide_request
{
  struct handle pipeline;
  struct handle organisation; /* none when no organisation is declared */
  int64_t arrived;
  int64_t deadline;
  uint32_t input_tokens;  /* estimated from the body */
  uint32_t output_tokens; /* upper limit on generated tokens, from the request */
  uint32_t priority;
  bool repeatable;
  uint32_t stage; /* the running stage, or the next one */
  uint64_t prefix[DECIDE_PREFIX_BLOCKS];
  uint32_t n_prefix;
  bool admitted;         /* private to decide: counted against the limits */
  double estimated_work; /* private to decide: slot seconds counted against the share */
  double stage_work[RESOURCE_STAGES_MAX]; /* private to decide: the same by stage, until done */
};

struct decide_admission
{
  enum decide_reason reason;
  int64_t retry_after; /* microseconds after which a retry may succeed; 0 when it will not */
};

/* name, text */
#define DECIDE_END_LIST(X)                                                                         \
  X (WHOLE, "whole")         /* a complete, verified answer */                                     \
  X (FAILED, "failed")       /* the target reported a failure */                                   \
  X (REFUSED, "refused")     /* the target rejected the work */                                    \
  X (WRONG, "wrong")         /* the answer belongs to another request */                           \
  X (TIMED_OUT, "timed-out") /* no answer before the attempt's timeout */                          \
  X (BROKEN, "broken")       /* the connection failed */                                           \
  X (LOST, "lost")           /* cancelled by us: a hedge lost, or the deadline cannot be met */

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
  int64_t expected_at;     /* time at which the answer is expected */
  int64_t first_output_by; /* deadline of the first output; USEC_NEVER for none */
  int64_t timeout_at;      /* end of the attempt; USEC_NEVER: only the request's deadline ends it */
  int64_t hedge_at;        /* start of a hedge if the budget allows it; USEC_NEVER for none */
  uint32_t prefix_tokens;  /* of the prompt, expected in the target's cache */
  double work;             /* expected slot seconds on an otherwise idle target */
  double fill;             /* share of its slots in use when chosen, 0 to 1; private to decide */
  double wait;             /* expected microseconds in its queue; private to decide */
  bool known;              /* the stage's time had been learned; private to decide */
};

/* A finished attempt, for learning. */
struct decide_result
{
  struct handle target;
  enum decide_end end;
  int64_t started;
  int64_t first_data; /* time of the first output; 0 when none came */
  int64_t ended;
  uint32_t input_tokens; /* of this stage */
  uint32_t output_tokens;
  uint32_t cached_tokens; /* as reported by the engine; 0 when not reported */
  struct decide_choice choice;
};

/* Freed with `parent`.  NULL when out of memory. */
struct decide *decide_new (void *parent,
                           struct board *board,
                           struct counters *counters,
                           uint64_t seed);

/* Called when a request arrives.  An admitted request counts against the limits until
 * decide_finish(). */
struct decide_admission decide_admit (struct decide *decide,
                                      struct decide_request *request,
                                      int64_t now);

/* Chooses a target for the request's current stage.  `tried` are the targets that have failed it;
 * they are not chosen again.  DECIDE_ADMITTED when `out` is set. */
enum decide_reason decide_choose (struct decide *decide,
                                  const struct decide_request *request,
                                  uint32_t stage_tokens,
                                  const struct handle *tried,
                                  uint32_t n_tried,
                                  int64_t now,
                                  struct decide_choice *out);

/* Record the start and the end of an attempt.  At the end `request->stage` must still be the
 * attempt's stage. */
void decide_attempt_started (struct decide *decide,
                             const struct decide_request *request,
                             const struct decide_choice *choice,
                             int64_t now);
void decide_attempt_ended (struct decide *decide,
                           struct decide_request *request,
                           const struct decide_result *result,
                           int64_t now);

/* Decisions on an attempt that is still in flight, in decide_slow.c. */

/* The first data of its answer came. */
void decide_attempt_answers (struct decide *decide,
                             const struct decide_choice *choice,
                             int64_t now);

/* Judges an attempt without data, by the other targets of its pool that are in use. */
struct slow_judgement decide_attempt_judge (const struct decide *decide,
                                            const struct decide_choice *choice,
                                            int64_t started,
                                            int64_t now);

/* It is late: a failure of its target, though the attempt may go on.  `result->end` is
 * DECIDE_END_TIMED_OUT. */
void decide_attempt_late (struct decide *decide, const struct decide_result *result, int64_t now);

/* Whether a failed attempt may be retried, and whether a slow one may be hedged.  DECIDE_ADMITTED
 * takes one from the budget.  Not called for unrepeatable work that was sent. */
enum decide_reason decide_retry (struct decide *decide,
                                 const struct decide_request *request,
                                 uint32_t attempts,
                                 int64_t now);
enum decide_reason decide_hedge (struct decide *decide,
                                 const struct decide_request *request,
                                 int64_t now);

/* True when the request can no longer meet its deadline. */
bool decide_deadline_is_unreachable (const struct decide *decide,
                                     const struct decide_request *request,
                                     int64_t now);

/* The request has ended; `whole`: with a complete answer. */
void decide_finish (struct decide *decide, struct decide_request *request, bool whole, int64_t now);

/* A cache event of an engine: a block, named by its cumulative hash, was stored or evicted. */
void decide_cache_event (
    struct decide *decide, struct handle target, uint64_t block, bool stored, int64_t now);

/* Sets this host's share of an organisation's limits, 0 to 1, as granted by share_control.c. */
void decide_set_share (struct decide *decide,
                       struct handle organisation,
                       double share,
                       int64_t now);

/* Request rate of an organisation on this host, per second, by which shares are moved. */
double decide_demand (const struct decide *decide, struct handle organisation, int64_t now);

json_t *decide_describe (const struct decide *decide, int64_t now);

END_DECLS

#endif
