/* What the files of the forwarding path share. */
#ifndef FORWARD_PRIVATE_H
#define FORWARD_PRIVATE_H

#include "forward.h"
#include "patience.h"
#include "request_digest.h"

#define FORWARD_POOLS_MAX 64

/* Answers that are not streams are held whole up to this, in bytes, so that one that breaks off can
 * be asked for again where that is allowed. */
#define FORWARD_ANSWER_MAX (16u << 20)

/* One event of a stream, in bytes: it is held until it is whole. */
#define FORWARD_EVENT_MAX (1u << 20)

/* Targets tried for one request at most, those that refused it included. */
#define FORWARD_SENDS_MAX 4

/* name, text */
#define FORWARD_REASON_LIST(X)                                                                     \
  X (SERVED, "served")                                                                             \
  X (NOT_READY, "no confirmed configuration yet")                                                  \
  X (STALE, "configuration not confirmed lately")                                                  \
  X (LEAVING, "shutting down")                                                                     \
  X (NO_ROUTE, "no route")                                                                         \
  X (NO_KEY, "unknown or missing key")                                                             \
  X (BAD_REQUEST, "request cannot be read")                                                        \
  X (NO_TARGET, "no target")                                                                       \
  X (NO_TIME, "cannot end in time")                                                                \
  X (BUSY, "too much waits to be in time")                                                         \
  X (HELD, "targets ended under it")                                                               \
  X (SUSPECTED, "targets ended under it, and a run of it is out")                                  \
  X (STAGE, "a stage could not be made")                                                           \
  X (REFUSED, "targets refused it")                                                                \
  X (FAILED, "target failed")                                                                      \
  X (BROKEN, "answer broke off")                                                                   \
  X (TIMEOUT, "time is up")                                                                        \
  X (GONE, "client left")

enum forward_reason
{
#define X(name, text) FORWARD_##name,
  FORWARD_REASON_LIST (X)
#undef X
      FORWARD_REASON_COUNT
};

const char *forward_reason_text (enum forward_reason reason);

enum stage_state
{
  STAGE_IDLE,
  STAGE_RUNNING,
  STAGE_DONE,
  STAGE_FREED, /* done, and its results given back */
};

struct forward_job;

/* One stage of one request. */
struct forward_stage
{
  struct work_order order;
  struct work_booking booking; /* until it is ordered */
  struct forward_job *job;
  enum stage_state state;
  char pool[ROUTING_NAME_SIZE];
  uint32_t pieces;
  int64_t begun;
  int64_t fetched_at; /* its targets have its inputs by then; 0: not all are in a call */
  bool let_go;        /* its results may be dropped where room is short */
  int64_t expected;   /* time that it takes on an idle target */
  int64_t tail;       /* expected from its end to the first byte of the answer */
  struct stage_result *results;
};

struct retry_budget
{
  char pool[ROUTING_NAME_SIZE];
  double held; /* sends */
};

/* The event stream that the client is getting; it may go on over several attempts. */
struct forward_stream
{
  bool begun;                       /* its head went to the client */
  unsigned status;                  /* that the head told */
  uint32_t events;                  /* that went to the client */
  char last_event[DIALECT_ID_SIZE]; /* id of the newest event that has one; "" for none */
  bool place_lost; /* an event without an id is newer: no other target can go on behind it */
};

/* What the client was told at the end of its request. */
struct forward_told
{
  unsigned status; /* 0: nothing */
  bool whole;      /* that this is its complete answer */
};

/* One request. */
struct forward_job
{
  struct forward *forward;
  struct h1_exchange *exchange;
  struct request_facts facts;
  struct route route; /* a copy: routings come and go */
  char pool[ROUTING_NAME_SIZE];
  char organisation[ROUTING_NAME_SIZE];
  bool has_digest;
  struct request_digest digest; /* by job_digest() */
  bool is_try;                  /* let in although targets ended under it */
  bool is_suspected;            /* when its last run broke, without that break */
  bool is_counted;              /* its run, among those of a suspect */
  uint64_t version;             /* of the routing that decided */
  int64_t arrived;
  int64_t age;          /* at its arrival, since the client's first try */
  int64_t deadline;     /* the client's or the route's, whichever is first */
  int64_t give_up_at;   /* stage work that is not done by then is given up */
  int64_t objective_at; /* an answer after it is late; counts from the client's first try */
  struct timer timer;
  struct timer fetch; /* results may be given back */
  struct balance_prompt prompt;
  char near[ROUTING_NAME_SIZE]; /* the likely engine's failure domain; "" without stages */
  uint64_t send_id;             /* names the newest send in news of engines */

  /* Stages. */
  struct forward_stage stages[ROUTING_STAGES_MAX];
  bool remade;  /* its stages were made a second time */
  int64_t path; /* expected at its start, from there to the first byte */
  int64_t stages_done;

  /* The attempt under way, and those before. */
  struct h1_call call;
  struct balance_target *target; /* NULL while none is asked */
  struct balance_target *tried[BALANCE_TRIED_MAX];
  uint32_t n_tried;
  uint32_t sends;
  uint32_t runs; /* sends that may have run */
  int64_t sent_at;
  int64_t heard_at;   /* the newest sign of life of the target on this connection */
  int64_t fetched_at; /* the target has the stages' results by then; 0 before a send */
  int64_t first_at;   /* first byte of the answer, 0 while none */

  /* The answer of the attempt under way. */
  unsigned status;
  bool is_signed;
  bool has_events; /* its type is that of an event stream */
  bool not_run;
  struct bytes fields;
  struct bytes body; /* whole, or of a stream what is not a whole event yet */

  struct forward_stream stream;
  struct forward_job *prev;
  struct forward_job *next;
};

struct forward
{
  struct h1_handler handler;
  struct forward_config config;
  struct rng rng;
  struct patience *patience; /* how old requests are */
  struct forward_job *jobs;
  uint32_t n_jobs;
  uint64_t arrivals;
  bool refusing;
  struct retry_budget budgets[FORWARD_POOLS_MAX];
  uint32_t n_budgets;
  struct counter *reasons[FORWARD_REASON_COUNT];
  struct counter *retries;
  struct histogram *first_byte;
  struct histogram *stage_time;
};

/* forward.c */
void job_free (struct forward_job *job);

/* forward_end.c: each ends the request; the job is gone after it. */
void job_refuse (struct forward_job *job, enum forward_reason reason, double retry_after);
void job_fail (struct forward_job *job, enum forward_reason reason);

/* Refuse where it has not run, else fail. */
void job_give_up (struct forward_job *job, enum forward_reason reason, double retry_after);
void job_reject (struct forward_job *job, enum forward_reason reason, unsigned status);

/* The target's whole answer is here, and none of it went to the client yet. */
void job_serve (struct forward_job *job);

/* The stream that the client is getting is whole. */
void job_end_stream (struct forward_job *job);
void job_log (const struct forward_job *job, enum forward_reason reason, struct forward_told told);

/* Of a request that ends before its answer is whole. */
struct forward_told job_told_so_far (const struct forward_job *job);

/* forward_attempt.c */
void job_send (struct forward_job *job, int64_t now);
void job_drop_call (struct forward_job *job);
void job_lose_patience (struct forward_job *job, int64_t now);

/* forward_stage.c */
bool job_has_stages (const struct forward_job *job);
enum status job_plan_stages (struct forward_job *job, const struct routing *routing);
void job_begin_stages (struct forward_job *job, int64_t now);
void job_write_inputs (const struct forward_job *job, uint32_t stages, struct bytes *out);

/* Make the stages again, as their results are gone; false when that was done already. */
bool job_remake_stages (struct forward_job *job, int64_t now);

/* Pieces of the stage that this request has; 0: it leaves the stage out. */
uint32_t job_pieces (const struct forward_job *job, uint32_t stage);

/* The set of stages, those left out replaced by the ones that they would have needed. */
uint32_t job_through_left_out (const struct forward_job *job, uint32_t stages);

/* Does the engine fetch this stage's results, and no later stage? */
bool job_is_read_by_engine (const struct forward_job *job, uint32_t stage);

/* forward_result.c */
bool job_is_made (const struct forward_job *job, uint32_t stage);

/* Of a set of stages. */
bool job_all_made (const struct forward_job *job, uint32_t stages);

/* Give back the results that nobody has still to fetch. */
void job_give_back_used (struct forward_job *job, int64_t now);

/* Withdraw what runs and give back all results. */
void job_drop_stages (struct forward_job *job, int64_t now);

/* Were results given back that another attempt would need? */
bool job_lacks_results (const struct forward_job *job);

/* The calls that read some results are sent: `fetched_at` takes the time at which they have them.
 */
void job_inputs_taken (struct forward_job *job, int64_t *fetched_at, int64_t now);

/* forward_place.c */

/* The failure domain from which most would cross; "" where little does: a wait for a target there
 * would cost more. */
void job_choose_place (const struct forward_job *job, uint32_t stage, char out[ROUTING_NAME_SIZE]);

/* Note for the choice of an engine where the results lie that it has to fetch. */
void job_locate_results (struct forward_job *job);

/* forward_stream.c */

/* False: what comes is not the rest of the stream that the client has the beginning of. */
bool job_pass_events (struct forward_job *job, const char *data, size_t length);

/* The id of the newest event that the client has; NULL: it has none. */
const char *job_last_event (const struct forward_job *job);

/* Has the stream's target begun an event that it did not finish? */
bool job_is_inside_event (const struct forward_job *job);

/* forward_quarantine.c: requests that end the targets that run them */

/* What it asks, wherever and however often it is sent; worked out when it is first asked for. */
const struct request_digest *job_digest (struct forward_job *job);

/* May it go on to stages and targets?  Where not it is refused, and the job is gone. */
bool job_is_let_in (struct forward_job *job, int64_t now);

/* May it go to a target now?  Where not it is given up, and the job is gone. */
bool job_may_run (struct forward_job *job, int64_t now);

/* Is a target to be chosen by what else runs there? */
bool job_runs_apart (struct forward_job *job, int64_t now);
void job_run_began (struct forward_job *job);
void job_run_over (struct forward_job *job);

/* The connection broke, or was given up, while the target may have been running it. */
void job_note_break (struct forward_job *job, enum h1_end end, int64_t now);

/* Targets ended under its stage work, one after the other: it is held, at all hosts, and given up;
 * the job is gone. */
void job_hold (struct forward_job *job, int64_t now);

/* A target gave it a whole answer. */
void job_note_whole (struct forward_job *job, int64_t now);

/* forward_budget.c */
void forward_earn_retry (struct forward *forward, const char *pool);
bool forward_take_retry (struct forward *forward, const char *pool);

#endif
