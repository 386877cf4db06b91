/* Internal declarations of the request path; included only by flow*.c.
 *
 *   flow.c          construction, routes, shutdown
 *   flow_arrive.c   parsing, registration and admission of a request
 *   flow_claim.c    claims on unrepeatable requests
 *   flow_stage.c    sequence of stages: target selection, retry, hedge, early failure
 *   flow_attempt.c  start and end of one call to a target
 *   flow_slow.c     attempts without an answer: kept, or left for another target
 *   flow_reply.c    validation of a target's answer
 *   flow_stream.c   pieces of a generation
 *   flow_cancel.c   POST /v1/cancel to targets
 *   flow_end.c      end of a request: its outcome is reported, settled and logged
 *   flow_answer.c   JSON and SSE of answers
 *   flow_count.c    counters
 *   flow_dump.c     dump of requests in flight */
#ifndef FLOW_PRIVATE_H
#define FLOW_PRIVATE_H

#include "bytes.h"
#include "caller.h"
#include "container.h"
#include "flow.h"
#include "log.h"
#include "rng.h"
#include "sse.h"
#include "stage.h"

BEGIN_DECLS

#define FLOW_LIVE_ATTEMPTS_MAX 2 /* concurrent attempts of a stage: one and its hedge */
#define FLOW_CANCELS_MAX 256     /* concurrent cancel calls */
#define FLOW_CANCEL_TIMEOUT (1 * USEC_PER_SEC) /* of a cancel call */
#define FLOW_STORE_TIMEOUT (1 * USEC_PER_SEC)  /* for an answer held until its outcome is stored */
#define FLOW_SETTLE_GRACE (10 * USEC_PER_SEC)  /* after the deadline, to learn the outcome */
#define FLOW_TARGET_WAIT_INTERVAL (50 * USEC_PER_MSEC) /* between searches for a usable target */
#define FLOW_TARGET_WAITS_MAX 40 /* per stage; a target that lost its home host is back sooner */
#define FLOW_CLAIM_MARGIN (20 * USEC_PER_MSEC) /* from the claim's deadline to the request's */
#define FLOW_CHECK_INTERVAL_MIN (20 * USEC_PER_MSEC) /* between checks of the deadline */
#define FLOW_CHECK_INTERVAL_DIVISOR 16 /* the interval is the time left divided by this */
#define FLOW_STREAM_END_TIMEOUT (50 * USEC_PER_MSEC) /* from the last piece to the stream's end */
#define FLOW_RETRY_AFTER_DEFAULT (1 * USEC_PER_SEC)  /* default where decide.c gives none */
#define FLOW_EVENT_BYTES_MAX (1u << 20)              /* of one SSE event of a generation */

/* Usage and cost of a stage, for the answer and the log. */
struct flow_stage_record
{
  char target[RESOURCE_NAME_SIZE]; /* of the successful attempt, else of the last */
  uint32_t attempts;
  uint32_t hedges;
  uint32_t waits; /* for a usable target */
  int64_t started;
  int64_t ended;                  /* 0 while it runs */
  double cost;                    /* of all attempts, in the operator's currency */
  double successful_slot_seconds; /* slot seconds of the successful attempt */
  struct stage_usage usage;
};

/* The text of a generation received so far; kept across attempts. */
struct flow_text
{
  struct bytes text;
  struct bytes piece_ends; /* uint32_t per piece: its end offset in the text */
  uint32_t n_pieces;
  bool finished;        /* the last piece and all before it were received */
  struct handle source; /* the attempt whose pieces are accepted; none before the first piece */
};

/* name, text: state of a request */
#define FLOW_PHASE_LIST(X)                                                                         \
  X (CLAIMING, "claiming") /* waits for the claim, nothing sent */                                 \
  X (RUNNING, "running")                                                                           \
  X (SETTLING, "settling") /* the caller was answered, an unrepeatable call still runs */          \
  X (STORING, "storing")   /* the outcome is known and being stored in the claims */

enum flow_phase
{
#define X(name, text) FLOW_PHASE_##name,
  FLOW_PHASE_LIST (X)
#undef X
      FLOW_PHASE_COUNT
};

struct flow_verdict
{
  enum flow_outcome outcome;
  enum flow_reason reason;
  int64_t retry_after; /* microseconds, 0 for none */
  int replayed_code;   /* HTTP status of the stored outcome, for FLOW_REASON_REPLAYED */
};

struct flow_request
{
  struct http_watcher watcher;
  struct claim_waiter waiter;
  struct timer deadline;
  struct timer check;
  struct flow *flow;
  struct handle self;
  struct http_exchange *exchange; /* NULL: answered, or the caller disconnected */
  void *memory;                   /* talloc parent of the request's allocations */
  enum flow_phase phase;
  bool stream;       /* the caller asked for SSE */
  bool stream_begun; /* the head of the stream was sent */
  bool admitted;
  bool awaits_claim;       /* `waiter` is registered with the claims: the entry must not be freed */
  bool claimed;            /* the claim was granted and must be settled or released */
  bool waiting_for_target; /* for a usable target, no attempt runs */
  bool outcome_reported;   /* the outcome was logged, and sent unless the caller had disconnected */
  bool in_doubt; /* unrepeatable, and a call that may have had an effect ended without a result */
  bool ended;    /* the request ended: a claim granted later is released */

  /* Attempts of which a byte may have been sent.  While 0 the request cannot have run. */
  uint32_t n_sent;
  uint32_t n_attempts; /* the last attempt number, over all stages */
  struct handle live_attempts[FLOW_LIVE_ATTEMPTS_MAX];
  struct handle tried[DECIDE_TRIED_MAX]; /* targets that failed the current stage */
  uint32_t n_tried;

  struct pipeline_spec *spec; /* copied at arrival */
  struct decide_request decide;
  struct stage_data data;
  struct flow_text text;
  struct flow_verdict verdict; /* set when the request ends */
  struct bytes answer;         /* set when the request ends */
  struct flow_stage_record stages[RESOURCE_STAGES_MAX];
  uint32_t n_started_stages;
  char *raw; /* a service's request body, then its answer, unchanged */
  size_t raw_length;
  uint32_t max_tokens; /* as requested by the caller, 0 for the pipeline's */
  uint8_t body_hash[CLAIM_HASH_SIZE];
  char id[CALLER_ID_SIZE];
  char organisation[RESOURCE_NAME_SIZE];
};

/* One call to a target. */
struct flow_attempt
{
  struct http_call_sink sink;
  struct sse_sink event_sink;
  struct timer give_up;
  struct timer hedge;
  struct flow *flow;
  struct handle self;
  struct handle request;
  struct http_call *call; /* NULL after its end */
  struct decide_choice choice;
  char target[RESOURCE_NAME_SIZE];
  char address[RESOURCE_ADDRESS_SIZE];
  uint32_t number;
  uint32_t stage;
  uint32_t input_tokens;
  uint32_t resumed_from;
  uint32_t n_pieces; /* length of the text in pieces, by the indices in this attempt's answer */
  bool is_hedge;
  bool is_judged; /* it was judged, as follows */
  bool is_late;   /* it was counted as a failure of its target */
  enum slow_verdict slow_verdict;
  bool sent; /* a byte of it may have been sent */
  int code;
  int64_t started;
  int64_t first_data; /* 0 when none was received */
  int64_t event_at;   /* arrival time of the data being decoded */
  struct bytes body;
  struct sse_decoder sse;
  struct stage_usage usage;
};

struct flow_counts;

struct flow_route
{
  struct http_route route;
  struct flow *flow;
};

struct flow
{
  struct flow_config config;
  struct flow_route routes[FLOW_ROUTES];
  struct dump_source dump;
  struct table *requests; /* struct flow_request */
  struct table *attempts; /* struct flow_attempt */
  struct table *cancels;  /* struct flow_cancel, defined in flow_cancel.c */
  struct flow_counts *counts;
  struct rng rng;
  int64_t last_arrival;
};

/* ---- flow.c ---- */

struct flow_request *flow_find_request (const struct flow *flow, struct handle handle);
struct flow_attempt *flow_find_attempt (const struct flow *flow, struct handle handle);
void flow_update_load (struct flow *flow);

/* ---- flow_arrive.c ---- */

void flow_arrive (struct http_route *route, struct http_exchange *exchange, int64_t now);

/* Ask decide.c for admission, then start the first stage or end the request as not run. */
void flow_admit (struct flow_request *request, int64_t now);

/* ---- flow_claim.c ---- */

/* Request the claim; flow_admit() is called when it is granted. */
void flow_claim_acquire (struct flow_request *request, int64_t now);

/* Withdraw the waiter from the claims. */
void flow_claim_withdraw (struct flow_request *request);

/* Settle or release the claim if it was granted.  True when flow_finish() will be called later,
 * after the outcome is stored or FLOW_STORE_TIMEOUT has passed. */
bool flow_claim_settle (struct flow_request *request, int64_t now);

/* ---- flow_stage.c ---- */

static inline const struct stage_spec *
flow_stage_spec (const struct flow_request *request)
{
  return &request->spec->stages[request->decide.stage];
}

static inline struct flow_stage_record *
flow_stage_record (struct flow_request *request)
{
  return &request->stages[request->decide.stage];
}

/* Encoders, retrievers and rerankers have no side effects, so a repeated run or an unknown result
 * does no harm.  A generation or a call to a service may be the effect itself. */
static inline bool
flow_stage_has_effect (enum stage_kind kind)
{
  return kind == STAGE_GENERATE || kind == STAGE_CALL;
}

/* Start the stage `decide.stage`.  This and every function below that takes a request may free
 * it. */
void flow_stage_begin (struct flow_request *request, int64_t now);

/* The stage's complete answer is in the request's data. */
void flow_stage_complete (struct flow_request *request, int64_t now);

/* An attempt that ended without a complete answer. */
struct flow_failure
{
  enum decide_end end;
  struct handle target;
  bool not_run;  /* the target certainly did not start the work */
  bool rejected; /* the target found the request invalid; other targets would as well */
};

void flow_stage_failed (struct flow_request *request,
                        const struct flow_failure *failure,
                        int64_t now);

/* May another attempt be sent after one that ended? */
bool flow_can_send_again (const struct flow_request *request, bool certainly_not_run);

/* Whether the stage's only live attempt, which has no answer, may be left for another target.  If
 * so the retry is taken, and flow_stage_retry() follows once the attempt is cancelled. */
bool flow_stage_take_retry (struct flow_request *request, int64_t now);
void flow_stage_retry (struct flow_request *request, struct handle left, int64_t now);
bool flow_stage_has_other_attempt (const struct flow_request *request, struct handle attempt);

void flow_stage_hedge (struct flow_request *request, struct flow_attempt *slow, int64_t now);
void flow_check_arm (struct flow_request *request, int64_t now);
void flow_check_fire (struct timer *timer, int64_t now);

/* ---- flow_attempt.c ---- */

/* STATUS_OK: the call runs.  Otherwise nothing was sent. */
enum status flow_attempt_start (struct flow_request *request,
                                const struct decide_choice *choice,
                                bool is_hedge,
                                int64_t now);

/* Cancel all live attempts of the request. */
void flow_attempts_cancel (struct flow_request *request, int64_t now);

/* The call has ended: record the result, report it to decide.c, count it and remove the attempt. */
void flow_attempt_finish (struct flow_attempt *attempt, enum decide_end end, int64_t now);

void flow_attempt_result (const struct flow_attempt *attempt,
                          enum decide_end end,
                          int64_t now,
                          struct decide_result *out);

/* ---- flow_slow.c ---- */

/* Times at which the attempt is judged: without data, and without the end of its answer. */
extern const struct timer_ops flow_slow_ops;

/* Data of the attempt's answer was received. */
void flow_attempt_note_data (struct flow_attempt *attempt, int64_t now);

/* Close the call if it still runs, send its target a cancel if the request is repeatable, and
 * finish the attempt. */
void flow_attempt_cancel (struct flow_attempt *attempt, enum decide_end end, int64_t now);

/* Finish an attempt that has no valid answer, and pass the failure to its stage. */
void flow_attempt_fail (
    struct flow_attempt *attempt, enum decide_end end, bool not_run, bool rejected, int64_t now);

/* The attempt's complete answer is in the request's data: finish the stage. */
void flow_attempt_complete (struct flow_attempt *attempt,
                            struct flow_request *request,
                            int64_t now);

/* ---- flow_reply.c ---- */

extern const struct http_call_sink_ops flow_reply_ops;

/* ---- flow_notice.c ---- */

/* The head of an answer of this target came, with these fields; NULL for one that is not there. */
void flow_notice_take (struct flow *flow,
                       struct handle target,
                       int code,
                       const char *retry_after,
                       const char *leaving,
                       int64_t now);

/* Whether a call that waited for a connection may still be sent. */
bool flow_notice_may_send (const struct flow *flow, struct handle target, int64_t now);

/* Ends a request for want of a target of its stage or a later one; where all targets of one are in
 * backoff, until the first of them is free. */
void flow_end_without_target (struct flow_request *request, int64_t now);

/* ---- flow_stream.c ---- */

void flow_stream_data (struct flow_attempt *attempt, const void *data, size_t length, int64_t now);
bool flow_stream_is_whole (const struct flow_attempt *attempt, const struct flow_request *request);
void flow_stream_end (struct flow_attempt *attempt, enum decide_end end_if_incomplete, int64_t now);
extern const struct sse_sink_ops flow_stream_ops;

/* ---- flow_cancel.c ---- */

bool flow_cancel_init (struct flow *flow);

/* Close the cancel calls that still run, when the flow is freed. */
void flow_cancels_close (struct flow *flow);
void flow_cancel_send (
    struct flow *flow, const char *address, const char *request_id, uint32_t attempt, int64_t now);

/* ---- flow_end.c ---- */

/* End the request with this verdict. */
void flow_end (struct flow_request *request, const struct flow_verdict *verdict, int64_t now);

/* Report the outcome, which is stored or need not be, and free the request. */
void flow_finish (struct flow_request *request, int64_t now);

/* End the request with a reason: not-run when nothing was sent, unknown when it is in doubt, else
 * failed. */
void flow_end_with_reason (struct flow_request *request,
                           enum flow_reason reason,
                           int64_t retry_after,
                           int64_t now);

/* Answer the caller while the request continues. */
void flow_report_outcome (struct flow_request *request,
                          const struct flow_verdict *verdict,
                          int64_t now);

/* Abort the caller's connection because the answer cannot be continued: nothing else would show
 * the caller that it is incomplete. */
void flow_abort_answer (struct flow_request *request, int64_t now);

void flow_deadline_fire (struct timer *timer, int64_t now);
void flow_caller_closed (struct http_watcher *watcher, int64_t now);

/* ---- flow_answer.c ---- */

int flow_http_code (const struct flow_verdict *verdict);

/* Append the body of an answer.  The caller checks bytes_has_failed(). */
void flow_answer_body (struct flow_request *request,
                       const struct flow_verdict *verdict,
                       struct bytes *out);
json_t *flow_answer_stages (const struct flow_request *request);

/* Send a complete answer, or the end of the stream.  `body` is NULL when out of memory for it. */
void flow_answer_send (struct http_exchange *exchange,
                       const char *id,
                       const struct flow_verdict *verdict,
                       bool stream,
                       bool begun,
                       const char *body,
                       size_t length);

/* Send one piece to the caller; the first one begins the stream.  False when out of memory, with
 * nothing written. */
bool flow_answer_piece (struct flow_request *request,
                        const char *text,
                        size_t length,
                        uint32_t index);

/* Answer invalid input, for which no request exists. */
void flow_answer_invalid (struct http_exchange *exchange, const struct caller_error *error);

/* ---- flow_count.c ---- */

struct flow_counts *flow_counts_new (void *parent, struct counters *counters);
void flow_count_outcome (struct flow *flow, const struct flow_verdict *verdict);
void flow_count_duration (struct flow *flow, enum flow_outcome outcome, int64_t span);
void flow_count_invalid (struct flow *flow, int code);
void flow_count_attempt (struct flow *flow,
                         const struct flow_request *request,
                         const struct flow_attempt *attempt,
                         enum decide_end end,
                         double cost,
                         int64_t span);
void flow_count_retry (struct flow *flow);
void flow_count_slow (struct flow *flow, enum slow_verdict verdict, bool left);
void flow_count_hedge (struct flow *flow);
void flow_count_resume (struct flow *flow);
void flow_count_backoff (struct flow *flow);
void flow_count_cancel (struct flow *flow, bool sent);
void flow_count_wasted (struct flow *flow, double seconds);

/* Counts an answer, or a part of one, that was discarded. */
void flow_count_dropped (struct flow *flow);

/* ---- flow_dump.c ---- */

json_t *flow_describe (struct dump_source *source, int64_t now);

END_DECLS

#endif
