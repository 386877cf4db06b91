/* The path of a request through an entry host, from the caller's exchange to its one outcome.
 *
 * A state machine over its edges (HTTP exchange, HTTP client, claims, timers): it reads no clock
 * and does no I/O of its own, so that tests drive it with fakes on virtual time.  What happens to a
 * request is in docs/OPERATIONS.md, "Request outcomes". */
#ifndef FLOW_H
#define FLOW_H

#include "access.h"
#include "board.h"
#include "claim.h"
#include "counter.h"
#include "decide.h"
#include "decls.h"
#include "dump.h"
#include "http.h"
#include "settings.h"
#include "timer.h"
#include <stdbool.h>
#include <stddef.h>

BEGIN_DECLS

/* name, text: what a caller is told, never mixed */
#define FLOW_OUTCOME_LIST(X)                                                                       \
  X (WHOLE, "whole")     /* the complete answer */                                                 \
  X (NOT_RUN, "not-run") /* nothing was sent to any target */                                      \
  X (FAILED, "failed")   /* it ran and this is the failure */                                      \
  X (UNKNOWN, "unknown") /* unrepeatable, claimed, and nobody knows whether it ran */

enum flow_outcome
{
#define X(name, text) FLOW_##name,
  FLOW_OUTCOME_LIST (X)
#undef X
      FLOW_OUTCOME_COUNT
};

/* name, code in answers and logs, HTTP status where the outcome is not-run, message */
#define FLOW_REASON_LIST(X)                                                                        \
  X (DONE, "done", 200, "whole")                                                                   \
  X (RATE, "rate", 429, "organisation over its request rate")                                      \
  X (CONCURRENCY, "concurrency", 429, "organisation over its concurrency")                         \
  X (TOKENS, "tokens", 429, "organisation over its token rate")                                    \
  X (SHARE, "share", 503, "overloaded and organisation over its fair share")                       \
  X (PRIORITY, "priority", 503, "overloaded and priority too low")                                 \
  X (WINDOW, "window", 503, "cannot end inside its window")                                        \
  X (NO_TARGET, "no-target", 503, "no usable target for a stage")                                  \
  X (FULL, "full", 503, "host is full")                                                            \
  X (BUDGET, "retry-budget", 503, "an attempt failed and the retry budget is spent")               \
  X (LEAVING, "leaving", 503, "host is leaving")                                                   \
  X (NOT_READY, "not-ready", 503, "no confirmed configuration is in force here yet")               \
  X (TARGET_FAILED, "target-failed", 503, "a target failed")                                       \
  X (TARGET_REFUSED, "target-refused", 503, "targets did not take the work")                       \
  X (TARGET_WRONG, "target-wrong", 503, "a target's answer was not this request's or malformed")   \
  X (TARGET_TIMEOUT, "target-timeout", 503, "a target did not answer in time")                     \
  X (TARGET_BROKEN, "target-broken", 503, "the connection to a target failed")                     \
  X (TARGET_REJECTED, "target-rejected", 503, "a target found the request invalid")                \
  X (CALLER_GONE, "caller-gone", 503, "the caller closed its connection")                          \
  X (CLAIMS_OFF, "claims-off", 503, "this host takes no unrepeatable requests")                    \
  X (IN_FLIGHT, "in-flight", 409, "the same request is in flight elsewhere")                       \
  X (MISMATCH, "mismatch", 409, "the same request id with another body")                           \
  X (EXPIRED, "expired", 410, "too old to tell whether it ran")                                    \
  X (CLAIMS_FULL, "claims-full", 503, "no room for another claim")                                 \
  X (CLAIMS_UNREACHABLE, "claims-unreachable", 503, "no quorum to claim the request")              \
  X (HOLDER_LOST, "holder-lost", 500, "the host that claimed it is gone: it may have run")         \
  X (REPLAYED, "replayed", 200, "the stored outcome of the first run")                             \
  X (ANSWER_NOT_KEPT, "answer-not-kept", 500, "it ran; its answer is too long to be kept")         \
  X (ABORTED, "aborted", 503, "the host ended before the request did")                             \
  X (NO_MEMORY, "no-memory", 503, "out of memory")

enum flow_reason
{
#define X(name, code, status, message) FLOW_REASON_##name,
  FLOW_REASON_LIST (X)
#undef X
      FLOW_REASON_COUNT
};

struct flow_config
{
  struct board *board;
  struct decide *decide;
  struct http_client *client;
  struct claims *claims; /* NULL: unrepeatable requests are refused as not run */
  struct timer_service *timers;
  struct counters *counters;
  struct dump *dump; /* NULL for none */
  struct access *access;
  const struct settings *settings;
  const char *self; /* this host's name, part of the ids it makes */
  uint64_t seed;    /* of those ids: fresh at every start of a process */

  /* The wall clock in milliseconds for a claim's retention; NULL gives 0, "not known". */
  int64_t (*wall_clock_ms) (void);
};

#define FLOW_ROUTES 2

struct flow;

/* NULL when out of memory.  Free it before the client: it closes the calls that still run. */
struct flow *flow_new (void *parent, const struct flow_config *config);

/* The routes of POST /v1/pipelines/NAME/requests and POST /v1/services/NAME/requests, for
 * http_server_add_route(); they live as long as the flow. */
void flow_routes (struct flow *flow, struct http_route *out[FLOW_ROUTES]);

/* Nothing in flight, not even a call whose caller has its answer already, nor a cancel to a target:
 * a host may go. */
bool flow_idle (const struct flow *flow);

/* When the last request came, also one that was refused; 0 before the first. */
int64_t flow_last_arrival (const struct flow *flow);

/* End every request now, for a shutdown past its bound: each gets the outcome that is true of it
 * and is logged by its id.  `why` goes into the log.  How many there were. */
uint32_t flow_abort_all (struct flow *flow, const char *why, int64_t now);

const char *flow_outcome_text (enum flow_outcome outcome);
const char *flow_reason_code (enum flow_reason reason);

END_DECLS

#endif
