/* Request handling on an entry host, from the caller's HTTP exchange to exactly one outcome.
 *
 * An event-driven state machine.  HTTP server and client, claims and timers are interfaces; the
 * module reads no clock and does no I/O itself, so that tests can run it with fakes on virtual
 * time.  The outcomes are documented in docs/OPERATIONS.md, "Request outcomes". */
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

/* name, text: the outcome reported to the caller, exactly one per request */
#define FLOW_OUTCOME_LIST(X)                                                                       \
  X (WHOLE, "whole")     /* the complete answer */                                                 \
  X (NOT_RUN, "not-run") /* nothing was sent to any target */                                      \
  X (FAILED, "failed")   /* sent to a target, and failed */                                        \
  X (UNKNOWN, "unknown") /* unrepeatable, and it cannot be determined whether it ran */

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
  X (TARGETS_BACKOFF, "targets-backoff", 503, "all targets of a stage asked for a backoff")        \
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
  const char *self; /* this host's name, the prefix of generated request ids */
  uint64_t seed;    /* for generated ids; must differ at every process start */

  /* Wall clock in milliseconds, for the retention of claims.  NULL: 0 is passed, "not known". */
  int64_t (*wall_clock_ms) (void);
};

#define FLOW_ROUTES 2

struct flow;

/* NULL when out of memory.  Free it before the client: its destructor closes open calls. */
struct flow *flow_new (void *parent, const struct flow_config *config);

/* The routes of POST /v1/pipelines/NAME/requests and POST /v1/services/NAME/requests, for
 * http_server_add_route(); valid as long as the flow. */
void flow_routes (struct flow *flow, struct http_route *out[FLOW_ROUTES]);

/* True when no request and no cancel call is in flight, including requests whose caller has been
 * answered but whose call still runs: the host can shut down. */
bool flow_is_idle (const struct flow *flow);

/* Arrival time of the last request, including refused ones; 0 before the first. */
int64_t flow_last_arrival (const struct flow *flow);

/* End every request now, for a shutdown that exceeds its time limit.  Each gets the outcome that
 * applies to its state and is logged with its id and `why`.  Returns the number of requests. */
uint32_t flow_abort_all (struct flow *flow, const char *why, int64_t now);

const char *flow_outcome_text (enum flow_outcome outcome);
const char *flow_reason_code (enum flow_reason reason);

END_DECLS

#endif
