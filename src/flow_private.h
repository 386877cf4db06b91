/* What the parts of the request path share; nobody else includes it.
 *
 *   flow.c          construction, routes, shutdown
 *   flow_arrive.c   the start of a request
 *   flow_claim.c    claims on unrepeatable requests
 *   flow_stage.c    stage after stage: choose, retry, hedge, give up
 *   flow_attempt.c  one call to a target, its start and its end
 *   flow_reply.c    the check of its answer
 *   flow_stream.c   a generation's pieces
 *   flow_cancel.c   POST /v1/cancel to targets
 *   flow_end.c      the end of a request: its outcome told, settled, logged
 *   flow_answer.c   the JSON and SSE of answers
 *   flow_count.c    counters
 *   flow_dump.c     the dump of what is in flight */
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

#define FLOW_LIVE_MAX 2                       /* attempts of one stage: one and its hedge */
#define FLOW_CANCELS_MAX 256                  /* cancel calls at one time */
#define FLOW_CANCEL_TIME (1 * USEC_PER_SEC)   /* for a cancel call */
#define FLOW_STORE_TIME (1 * USEC_PER_SEC)    /* a settled answer waits at most, to be stored */
#define FLOW_SETTLE_GRACE (10 * USEC_PER_SEC) /* past the window, to learn an outcome */
#define FLOW_WAIT_TIME (50 * USEC_PER_MSEC)   /* between looks for a usable target */
#define FLOW_WAITS_MAX 40 /* of a stage: a target that lost its home is back then */
#define FLOW_CLAIM_MARGIN (20 * USEC_PER_MSEC) /* the claims answer so long before the window */
#define FLOW_CHECK_MIN (20 * USEC_PER_MSEC)    /* between looks whether it is hopeless */
#define FLOW_CHECK_SHARE 16                    /* of the time left, between looks */
#define FLOW_FRAMING_TIME (50 * USEC_PER_MSEC) /* from a text's last piece to its end */
#define FLOW_RETRY_AFTER (1 * USEC_PER_SEC)    /* where the decisions give no better */
#define FLOW_EVENT_BYTES_MAX (1u << 20)        /* of one event of a generation */

/* What a stage cost a request, for its answer and its log line. */
struct flow_stage_record
{
  char target[RESOURCE_NAME_SIZE]; /* of the attempt that counted, else of the last */
  uint32_t attempts;
  uint32_t hedges;
  uint32_t waits; /* for a usable target */
  int64_t started;
  int64_t ended;        /* 0 while it runs */
  double cost;          /* of all attempts, in the operator's money */
  double whole_seconds; /* of a slot, of the attempt that counted */
  struct stage_usage usage;
};

/* A generation's text as far as it is known; kept over attempts. */
struct flow_text
{
  struct bytes text;
  struct bytes ends; /* uint32_t a piece: its end in the text */
  uint32_t pieces;
  bool finished;        /* its last piece came, and none before it is missing */
  struct handle feeder; /* the attempt whose pieces count; none before the first piece */
};

/* name: where a request is */
#define FLOW_PHASE_LIST(X)                                                                         \
  X (CLAIMING, "claiming") /* waits for its claim, nothing sent */                                 \
  X (RUNNING, "running")                                                                           \
  X (SETTLING, "settling") /* the caller has its answer, an unrepeatable call goes on */           \
  X (STORING, "storing")   /* the outcome is known and on its way into the claims */

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
  int64_t retry_after; /* span, 0 for none */
  int replayed_code;   /* of a stored outcome, for FLOW_REASON_REPLAYED */
};

struct flow_request
{
  struct http_watcher watcher;
  struct claim_waiter waiter;
  struct timer deadline;
  struct timer check;
  struct flow *flow;
  struct handle self;
  struct http_exchange *exchange; /* NULL: answered, or the caller went away */
  void *memory;                   /* talloc parent of what it owns */
  enum flow_phase phase;
  bool stream; /* the caller wants SSE */
  bool begun;  /* the head of a stream went out */
  bool admitted;
  bool awaits_claim; /* its waiter is with the claims: the entry must stay */
  bool claimed;      /* the claim is ours, to be settled or released */
  bool waiting;      /* for a usable target: nothing runs */
  bool told;         /* the caller has its outcome, or went away and the log has it */
  bool in_doubt;     /* unrepeatable, and a call that may have had its effect did not say so */
  bool refused;      /* it ended: a claim that comes yet is given back */

  /* Attempts of which a byte may have left.  While 0 the request was surely not run. */
  uint32_t n_sent;
  uint32_t n_attempts; /* numbers the next one, over all stages */
  struct handle live[FLOW_LIVE_MAX];
  struct handle tried[DECIDE_TRIED_MAX]; /* targets that failed this stage */
  uint32_t n_tried;

  struct pipeline_spec *spec; /* as it was at arrival */
  struct decide_request decide;
  struct stage_data data;
  struct flow_text text;
  struct flow_verdict verdict; /* once it ended */
  struct bytes answer;         /* the same */
  struct flow_stage_record stages[RESOURCE_STAGES_MAX];
  uint32_t n_begun_stages;
  char *raw; /* a service's body, then its answer: as they came */
  size_t raw_length;
  uint32_t max_tokens; /* as the caller asked, 0 for the pipeline's */
  uint8_t body_hash[CLAIM_HASH_SIZE];
  char id[CALLER_ID_SIZE];
  char organisation[RESOURCE_NAME_SIZE];
};

/* One call to a target. */
struct flow_attempt
{
  struct http_call_sink sink;
  struct sse_sink pieces;
  struct timer give_up;
  struct timer hedge;
  struct flow *flow;
  struct handle self;
  struct handle request;
  struct http_call *call; /* NULL once it ended */
  struct decide_choice choice;
  char target[RESOURCE_NAME_SIZE];
  char address[RESOURCE_ADDRESS_SIZE];
  uint32_t number;
  uint32_t stage;
  uint32_t input_tokens;
  uint32_t resumed_from;
  uint32_t n_pieces; /* that its answer says the text has so far */
  bool is_hedge;
  bool sent; /* a byte of it may have left */
  int code;
  int64_t started;
  int64_t first_data; /* 0 when none came */
  int64_t event_at;   /* of the data being decoded */
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
  struct table *cancels;  /* struct flow_cancel, of flow_cancel.c */
  struct flow_counts *counts;
  struct rng rng;
  int64_t last_arrival;
};

/* ---- flow.c ---- */

struct flow_request *flow_find_request (const struct flow *flow, struct handle handle);
struct flow_attempt *flow_find_attempt (const struct flow *flow, struct handle handle);
void flow_set_load (struct flow *flow);

/* ---- flow_arrive.c ---- */

void flow_arrive (struct http_route *route, struct http_exchange *exchange, int64_t now);

/* Ask the decisions, and start its first stage or end it as not run. */
void flow_admit (struct flow_request *request, int64_t now);

/* ---- flow_claim.c ---- */

/* Ask for the claim; flow_admit() follows when it is granted. */
void flow_claim_take (struct flow_request *request, int64_t now);

/* Wait no longer for its answer. */
void flow_claim_forget (struct flow_request *request);

/* Settle or give back a claim that is ours.  True when flow_finish() will come, once the outcome is
 * stored or that takes too long. */
bool flow_claim_end (struct flow_request *request, int64_t now);

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

/* Encoders, retrievers and rerankers only read: running one again, or not knowing whether it ran,
 * changes nothing outside.  A generation or a call to a service may be the effect itself. */
static inline bool
flow_stage_has_effect (enum stage_kind kind)
{
  return kind == STAGE_GENERATE || kind == STAGE_CALL;
}

/* Start the stage that decide.stage names.  The request may be gone after the call, as after every
 * call below that takes it. */
void flow_stage_begin (struct flow_request *request, int64_t now);

/* The stage's answer is whole and in the request's data. */
void flow_stage_done (struct flow_request *request, int64_t now);

/* An attempt ended without a whole answer. */
struct flow_failure
{
  enum decide_end end;
  struct handle target;
  bool not_run;  /* the target surely did not take the work */
  bool rejected; /* the target found the request invalid: another would too */
};

void flow_stage_failed (struct flow_request *request,
                        const struct flow_failure *failure,
                        int64_t now);

/* May another attempt start beside or after those that were sent? */
bool flow_may_send_again (const struct flow_request *request, bool certainly_not_run);

void flow_stage_hedge (struct flow_request *request, struct flow_attempt *slow, int64_t now);
void flow_check_arm (struct flow_request *request, int64_t now);
void flow_check_fire (struct timer *timer, int64_t now);

/* ---- flow_attempt.c ---- */

/* STATUS_OK: it runs.  Else nothing was sent. */
enum status flow_attempt_start (struct flow_request *request,
                                const struct decide_choice *choice,
                                bool is_hedge,
                                int64_t now);

/* End the request's calls: close, and tell the targets. */
void flow_attempts_cancel (struct flow_request *request, int64_t now);

/* Its call is over: learn from it, count it, forget it. */
void flow_attempt_finish (struct flow_attempt *attempt, enum decide_end end, int64_t now);

/* Something of its answer came. */
void flow_attempt_gives (struct flow_attempt *attempt, int64_t now);

/* Close a call that still runs, with a cancel to its target, and finish it. */
void flow_attempt_cancel (struct flow_attempt *attempt, enum decide_end end, int64_t now);

/* The attempt's answer does not count: finish it and tell the stage. */
void flow_attempt_fail (
    struct flow_attempt *attempt, enum decide_end end, bool not_run, bool rejected, int64_t now);

/* The attempt's answer is whole, and in the request's data. */
void flow_attempt_win (struct flow_attempt *attempt, struct flow_request *request, int64_t now);

/* ---- flow_reply.c ---- */

extern const struct http_call_sink_ops flow_reply_ops;

/* ---- flow_stream.c ---- */

void flow_stream_data (struct flow_attempt *attempt, const void *data, size_t length, int64_t now);
bool flow_stream_is_whole (const struct flow_attempt *attempt, const struct flow_request *request);
void flow_stream_end (struct flow_attempt *attempt, enum decide_end otherwise, int64_t now);
extern const struct sse_sink_ops flow_stream_ops;

/* ---- flow_cancel.c ---- */

bool flow_cancel_init (struct flow *flow);

/* Close the calls that still run; for the end of the process. */
void flow_cancels_close (struct flow *flow);
void flow_cancel_send (
    struct flow *flow, const char *address, const char *request_id, uint32_t attempt, int64_t now);

/* ---- flow_end.c ---- */

/* End the request with its outcome. */
void flow_end (struct flow_request *request, const struct flow_verdict *verdict, int64_t now);

/* Its outcome is stored, or need not be: tell it and forget the request. */
void flow_finish (struct flow_request *request, int64_t now);

/* End it with a reason: not run when nothing was sent, failed else. */
void flow_end_for (struct flow_request *request,
                   enum flow_reason reason,
                   int64_t retry_after,
                   int64_t now);

/* Answer the caller; the request goes on without it. */
void flow_tell (struct flow_request *request, const struct flow_verdict *verdict, int64_t now);

/* The answer cannot go on as it should: break its connection, which is the one sign left that it is
 * not whole. */
void flow_break_answer (struct flow_request *request, int64_t now);

void flow_deadline_fire (struct timer *timer, int64_t now);
void flow_caller_closed (struct http_watcher *watcher, int64_t now);

/* ---- flow_answer.c ---- */

int flow_http_code (const struct flow_verdict *verdict);

/* Append the body of an answer; check bytes_failed(). */
void flow_answer_body (struct flow_request *request,
                       const struct flow_verdict *verdict,
                       struct bytes *out);
json_t *flow_answer_stages (const struct flow_request *request);

/* Answer an exchange whole, or end its stream.  `body` NULL: there was no memory for it. */
void flow_answer_send (struct http_exchange *exchange,
                       const char *id,
                       const struct flow_verdict *verdict,
                       bool stream,
                       bool begun,
                       const char *body,
                       size_t length);

/* One piece to the caller; begins the stream when it is the first.  False: nothing of it was
 * written, for want of memory. */
bool flow_answer_piece (struct flow_request *request,
                        const char *text,
                        size_t length,
                        uint32_t index);

/* Bad input: an answer without a request. */
void flow_answer_invalid (struct http_exchange *exchange, const struct caller_error *error);

/* ---- flow_count.c ---- */

struct flow_counts *flow_counts_new (void *parent, struct counters *counters);
void flow_count_outcome (struct flow *flow, const struct flow_verdict *verdict);
void flow_count_time (struct flow *flow, enum flow_outcome outcome, int64_t span);
void flow_count_invalid (struct flow *flow, int code);
void flow_count_attempt (struct flow *flow,
                         const struct flow_request *request,
                         const struct flow_attempt *attempt,
                         enum decide_end end,
                         double cost,
                         int64_t span);
void flow_count_retry (struct flow *flow);
void flow_count_hedge (struct flow *flow);
void flow_count_resume (struct flow *flow);
void flow_count_cancel (struct flow *flow, bool sent);
void flow_count_wasted (struct flow *flow, double seconds);

/* An answer, or a part of one, that is not counted as the current attempt's. */
void flow_count_dropped (struct flow *flow);

/* ---- flow_dump.c ---- */

json_t *flow_describe (struct dump_source *source, int64_t now);

END_DECLS

#endif
