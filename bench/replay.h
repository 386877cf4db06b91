/* Trace replay: simulated callers send a trace to the hosts and check every byte of every answer.
 *
 * Each caller caches the list of hosts from /v1/entries for its keep_ms, moves to the next host
 * when one refuses or is unreachable, and resends under the same request id until the deadline. */
#ifndef REPLAY_H
#define REPLAY_H

#include "bytes.h"
#include "call.h"
#include "decls.h"
#include "resource.h"
#include "site.h"
#include "sse.h"
#include "trace.h"
#include <jansson.h>
#include <stdio.h>

BEGIN_DECLS

#define REPLAY_ENTRIES_MAX 16
#define REPLAY_CALLERS_MAX 64

/* name, text */
#define REPLAY_OUTCOME_LIST(X)                                                                     \
  X (PENDING, "pending")                                                                           \
  X (ATTAINED, "attained") /* whole, checked, inside the window */                                 \
  X (LATE, "late")         /* whole and checked, after the window */                               \
  X (NOT_RUN, "not-run")                                                                           \
  X (FAILED, "failed")                                                                             \
  X (UNKNOWN, "unknown")                                                                           \
  X (NO_ANSWER, "no-answer") /* no answer, or a truncated one */                                   \
  X (REJECTED, "rejected")   /* 4xx that is not an outcome */                                      \
  X (WRONG, "wrong")         /* marked whole, but not this request's answer */

enum replay_outcome
{
#define X(name, text) REPLAY_##name,
  REPLAY_OUTCOME_LIST (X)
#undef X
      REPLAY_OUTCOME_COUNT
};

const char *replay_outcome_text (enum replay_outcome outcome);

struct replay_record
{
  enum replay_outcome outcome;
  int64_t latency; /* from the scheduled send time to the last answer */
  uint32_t tries;
  uint32_t cuts;     /* truncated answers */
  uint32_t ran;      /* tries whose host did not answer "not run" */
  bool said_not_run; /* the last answer */
  char detail[160];  /* why it was not attained, human-readable */
};

/* Sums over the answers' own stage reports. */
struct replay_stage
{
  char name[RESOURCE_NAME_SIZE];
  uint64_t answers;
  uint64_t attempts;
  double msec;
  double cost;
};

struct replay_result
{
  struct replay_record *records; /* one for each request of the trace */
  uint32_t count;
  uint32_t outcomes[REPLAY_OUTCOME_COUNT];
  uint32_t resends;
  uint32_t cuts;
  char first_cut[256]; /* which answer and when, human-readable */
  struct replay_stage stages[RESOURCE_STAGES_MAX];
  uint32_t n_stages;
};

struct replay_options
{
  struct caller *caller;
  const struct trace *trace;
  const struct site *site; /* its pipelines, for the expected answers */
  char entries[REPLAY_ENTRIES_MAX][RESOURCE_ADDRESS_SIZE]; /* initial hosts to ask for the list */
  uint32_t n_entries;
  double time_scale;     /* of arrivals and windows */
  uint32_t callers;      /* 0: 8 */
  uint32_t stream_every; /* one in this many requests is streamed, if of a pipeline; 0: none */

  /* Called between events with the number of completed requests; may make calls of its own.
   * NULL for none. */
  void (*step) (void *user, const struct replay_result *so_far, uint32_t ended);
  void *user;
};

/* Run the whole trace; the result is a talloc child of `parent`. */
struct replay_result *replay_run (void *parent, const struct replay_options *options);

/* ---- reports ---- */

double replay_attainment (const struct replay_result *result);

/* A quantile of the latency of whole answers; 0 when there are none. */
int64_t replay_latency (const struct replay_result *result, double q);

/* The organisation with the lowest attainment, among those with at least 10 requests. */
double replay_worst_organisation (const struct replay_result *result,
                                  const struct replay_options *options,
                                  const char **name);

/* Counts violations of the system's guarantees after the run: a wrong answer, an unrepeatable call
 * executed more than once, work done for a request whose answers were all "not run".  `counts` is
 * the result of launch_counts(). */
uint32_t replay_count_violations (const struct replay_result *result,
                                  const struct replay_options *options,
                                  const json_t *counts,
                                  FILE *explain);

struct replay_cost
{
  double by_kind[STAGE_KIND_COUNT]; /* at the pools' prices, wasted work included */
  double wasted;
  uint64_t calls;
};

/* Cost of the fake targets' busy time at the site's prices, with the time scale undone. */
void replay_cost_of (const struct site *site,
                     const json_t *counts,
                     double time_scale,
                     struct replay_cost *out);

/* The outcomes and the first few that were not attained. */
void replay_print (const struct replay_result *result, const struct trace *trace, FILE *file);

/* ---- internal interfaces of replay_*.c ---- */

struct replay;
struct replay_list;

/* The host list of one caller (replay_entries.c). */
struct replay_list *replay_list_new (struct replay *replay,
                                     const struct replay_options *options,
                                     uint32_t caller);
/* Returns the host to use now; requests a new list when the cached one has expired. */
const char *replay_list_current (struct replay_list *list, int64_t now);
/* After `address` refused or was unreachable: moves to the next host and requests a new list. */
void replay_list_skip (struct replay_list *list, const char *address, int64_t now);
bool replay_list_is_idle (const struct replay_list *list);
uint32_t replay_list_hosts (const struct replay_list *list); /* at least 1 */

/* Result of one try (replay_try.c). */
struct replay_try_end
{
  bool whole_http; /* the answer was complete by its HTTP framing */
  bool sent;
  int code;
  char outcome[CALL_OUTCOME_SIZE];
  char request_id[160];
  int64_t retry_after; /* span, 0 for none; read by replay.c */
  bool streamed;
  struct bytes body;   /* of a stream: the data of its end event */
  struct bytes pieces; /* of a stream: the text of its token events */
  bool pieces_in_order;
};

struct replay_try;

struct replay_try_ops
{
  void (*ended) (void *user, struct replay_try_end *end, int64_t now);
};

/* Starts a try; false if nothing was sent.  `end` is valid only during the callback. */
bool replay_try_start (void *parent,
                       struct http_client *client,
                       const struct http_call_spec *spec,
                       const struct replay_try_ops *ops,
                       void *user,
                       int64_t now);

END_DECLS

#endif
