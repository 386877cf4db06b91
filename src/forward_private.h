/* Declarations shared by the forward_*.c files. */
#ifndef FORWARD_PRIVATE_H
#define FORWARD_PRIVATE_H

#include "binding.h"
#include "forward.h"
#include "request_age.h"
#include "request_digest.h"

#define FORWARD_POOLS_MAX 64

/* Largest answer that is buffered, in bytes.  Answers other than streams are buffered completely,
 * so that the request can be retried where that is allowed if the answer breaks off. */
#define FORWARD_ANSWER_MAX_BYTES (16u << 20)

/* Largest event of a stream, in bytes.  An event is buffered until it is complete. */
#define FORWARD_EVENT_MAX_BYTES (1u << 20)

/* Bytes of a stream between two events with data: comments and empty lines, which are passed on to
 * the client. */
#define FORWARD_SKIPPED_BYTES_MAX (256u << 10)

/* Most sends of one request, including those that a target refused. */
#define FORWARD_SENDS_MAX 4

/* Parts of a prompt that a log line names, and the size of their text. */
#define FORWARD_LOGGED_PARTS_MAX 32
#define FORWARD_PARTS_TEXT_SIZE (17 * FORWARD_LOGGED_PARTS_MAX + 16)

/* name, text */
#define FORWARD_REASON_LIST(X)                                                                     \
  X (SERVED, "served")                                                                             \
  X (NOT_READY, "no confirmed configuration yet")                                                  \
  X (STALE, "configuration not confirmed lately")                                                  \
  X (OUTDATED, "a newer configuration has not arrived")                                            \
  X (SHUTTING_DOWN, "shutting down")                                                               \
  X (NO_ROUTE, "no route")                                                                         \
  X (NO_KEY, "unknown or missing key")                                                             \
  X (BAD_REQUEST, "request cannot be read")                                                        \
  X (NO_TARGET, "no target")                                                                       \
  X (NO_VERSION, "no target of the version that began the stream")                                 \
  X (UNKNOWN_VERSION, "the version that began the stream is not known")                            \
  X (LIMITED, "targets are at their limit")                                                        \
  X (BACKOFF, "targets asked for a backoff")                                                       \
  X (CUT_OFF, "no target of the pool can be reached from this host")                               \
  X (NO_TIME, "cannot end in time")                                                                \
  X (OVERLOADED, "too much waits to be in time")                                                   \
  X (QUARANTINED, "targets ended under it")                                                        \
  X (SUSPECTED, "targets ended under it, and a run of it is out")                                  \
  X (STAGE, "a stage could not be made")                                                           \
  X (REFUSED, "targets refused it")                                                                \
  X (FAILED, "target failed")                                                                      \
  X (BROKEN, "answer broke off")                                                                   \
  X (TIMEOUT, "time is up")                                                                        \
  X (CLIENT_GONE, "client left")

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
  STAGE_FREED, /* done, and its results freed */
};

struct forward_job;

/* One stage of one request. */
struct forward_stage
{
  struct work_order order;
  struct work_booking booking; /* until the stage is ordered */
  struct forward_job *job;
  enum stage_state state;
  char pool[ROUTING_NAME_SIZE];
  uint32_t pieces;
  int64_t started_at;
  int64_t fetched_at; /* its targets have its inputs by then; 0: not all pieces are in calls */
  bool is_evictable;  /* its results may be evicted where memory is short */
  int64_t expected;   /* duration on an idle target, in us */
  int64_t tail;       /* expected time from its end to the answer's first byte, in us */
  struct stage_result *results;
};

/* State of a pool. */
struct forward_pool
{
  char pool[ROUTING_NAME_SIZE];
  struct retry_budget budget;
  int64_t limited_until; /* Retry-After of the last request refused as its targets were limited */
};

/* The event stream being sent to the client; it may continue over several attempts. */
struct forward_stream
{
  bool begun;                       /* its head was sent to the client */
  unsigned status;                  /* the status in that head */
  uint32_t events;                  /* number sent to the client */
  char last_event[DIALECT_ID_SIZE]; /* id of the newest event with an id; "" for none */
  bool is_unresumable; /* the newest event has no id: no other target can resume after it */
  size_t scanned;      /* bytes of the incomplete event that hold no end of it */
  size_t skipped;      /* bytes without data since the last event with data, of this attempt */
  bool is_bound;       /* the client has an event, and `binding` is that of its writer */
  struct binding binding;
};

/* What the client had received at the end of its request. */
struct forward_client_answer
{
  unsigned status; /* 0: no answer */
  bool whole;      /* the answer is complete */
};

/* One request. */
struct forward_job
{
  struct forward *forward;
  struct h1_exchange *exchange;
  struct request_fields facts;
  struct route route; /* a copy: the routing may be replaced while the request runs */
  char pool[ROUTING_NAME_SIZE];
  char organisation[ROUTING_NAME_SIZE];
  struct request_feature *features; /* its content, then the parts of its prompt; NULL: not read */
  uint32_t n_features;
  bool has_digest;   /* the first feature is set */
  bool is_trial;     /* admitted as a trial although targets crashed while running it */
  bool is_suspected; /* its last run broke, and it was a suspect even before that */
  struct subscriber_wait confirmation;  /* before it is denied */
  struct binding_lookup lookup;         /* of the stream that it resumes */
  struct binding_answer binding_answer; /* to that lookup */
  bool has_binding_answer;              /* that answer came */
  bool may_be_denied; /* the configuration was confirmed as the newest since it arrived */
  uint64_t version;   /* of the routing that it was admitted under */
  int64_t arrived;
  int64_t age;          /* at its arrival, since the client's first try; us */
  int64_t deadline;     /* the earlier one of the client's and the route's */
  int64_t give_up_at;   /* stage work not done by then is abandoned */
  int64_t objective_at; /* later answers are late; counted from the client's first try */
  struct timer timer;
  struct timer fetch_timer; /* fires when inputs should have been fetched */
  struct balance_prompt prompt;
  char engine_domain[ROUTING_NAME_SIZE]; /* of the likely engine; "" without stages */
  bool is_announced;                     /* the newest send, in engine_broadcast */
  uint64_t send_id;                      /* identifies the newest send in engine_broadcast */

  /* Stages. */
  struct forward_stage stages[ROUTING_STAGES_MAX];
  bool stages_rerun;          /* its stages were run a second time */
  int64_t critical_path_time; /* expected from the stages' start to the first byte; us */
  int64_t stages_done;

  /* The current attempt and the earlier ones. */
  struct h1_call call;
  struct balance_target *target;     /* NULL while no attempt is under way */
  uint64_t tried[BALANCE_TRIED_MAX]; /* serials of targets not to be chosen again */
  uint32_t n_tried;
  uint32_t sends;
  uint64_t sent_to[FORWARD_SENDS_MAX]; /* hashes of the addresses that it was sent to */
  uint32_t runs;                       /* sends that may have run */
  struct binding attempt_binding;      /* to its target, as known when it was sent */
  int64_t sent_at;
  int64_t heard_at;      /* the newest data from the target; the send before any */
  int64_t fetched_at;    /* when the target has fetched the stages' results; 0 before a send */
  int64_t first_byte_at; /* when the first byte of the answer arrived; 0: not yet */
  bool has_head;         /* the target has begun an answer */
  bool is_judged;        /* it was judged, as follows */
  enum slow_verdict slow_verdict;
  bool is_late;           /* the attempt was counted as a failure of its target */
  bool waits_for_backoff; /* it is sent again when the timer fires */

  /* The answer of the current attempt. */
  unsigned status;
  bool is_signed;
  bool has_events; /* its content type is that of an event stream */
  bool not_run;
  double limit; /* as named in the answer; DIALECT_NO_LIMIT for none */
  struct bytes fields;
  struct bytes body; /* the complete body; of a stream only the incomplete last event */

  struct forward_stream stream;
  struct forward_job *prev;
  struct forward_job *next;
};

struct forward
{
  struct h1_handler handler;
  struct forward_config config;
  struct rng rng;
  struct request_age *request_age; /* estimates the age of requests */
  struct forward_job *jobs;
  uint32_t n_jobs;
  uint64_t arrivals;
  bool refusing;
  int64_t denials_since;    /* begin of the second that `denials_logged` counts */
  uint32_t denials_logged;  /* in that second */
  uint32_t denials_omitted; /* from the log since the last line about one */
  struct forward_pool pools[FORWARD_POOLS_MAX];
  uint32_t n_pools;
  struct counter *reasons[FORWARD_REASON_COUNT];
  struct counter *retries;
  struct counter *retries_denied;
  struct counter *slow[SLOW_VERDICT_COUNT]; /* verdicts on attempts without an answer */
  struct counter *slow_left;
  struct counter *backoffs_awaited;
  struct counter *fresh_connections;
  struct counter *resumptions;
  struct counter *resumptions_refused;
  struct histogram *first_byte;
  struct histogram *stage_time;
};

/* forward.c */
void job_free (struct forward_job *job);

/* forward_end.c: each of these ends the request and frees the job. */
void job_refuse (struct forward_job *job, enum forward_reason reason, double retry_after_seconds);
void job_fail (struct forward_job *job, enum forward_reason reason);

/* Refuses the request if it has not run, else fails it. */
void job_give_up (struct forward_job *job, enum forward_reason reason, double retry_after_seconds);
void job_reject (struct forward_job *job, enum forward_reason reason, unsigned status);

/* Sends the target's complete answer, none of which was sent to the client yet. */
void job_serve (struct forward_job *job);

/* Ends the client's stream as complete. */
void job_end_stream (struct forward_job *job);
void job_log (const struct forward_job *job,
              enum forward_reason reason,
              struct forward_client_answer client_response);

/* For a request that ends before its answer is complete. */
struct forward_client_answer job_answer_so_far (const struct forward_job *job);

/* forward_send.c */

/* Sends the request to a target, or gives it up if there is none. */
void job_send (struct forward_job *job, int64_t now);

/* Whether the request was sent to the target's address before.  A target may repeat an answer late,
 * on the connection that carried it, and all sends have the same id: another one has to go over a
 * connection that carried none of them. */
bool job_was_sent_to (const struct forward_job *job, const struct balance_target *target);

/* forward_attempt.c */

/* Of the call to a target. */
extern const struct h1_call_ops job_call_ops;

/* The call could not be started, so the request has not run there. */
void job_send_failed (struct forward_job *job, const char *why, int64_t now);
void job_cancel_call (struct forward_job *job);

/* As job_cancel_call(), at the deadline.  A head that has begun but not ended by then counts as a
 * failure of the target: a sound one sends its head at once. */
void job_end_late_call (struct forward_job *job, int64_t now);

/* Calls the attempt off, counts it as a failure of the target and retries or gives up. */
void job_abandon_attempt (struct forward_job *job,
                          const char *why,
                          enum forward_reason reason,
                          int64_t now);

/* May the request go to another target after this attempt?  If so, the retry is taken. */
bool job_may_retry (struct forward_job *job, bool ran, int64_t now);

/* Sends the request to another target.  If stage results were freed already, the stages run again
 * first. */
void job_resend (struct forward_job *job, int64_t now);
void job_log_attempt (const struct forward_job *job, const char *outcome, bool broke, int64_t now);

/* forward_slow.c */

/* Arms the timer for the attempt that was just sent. */
void job_expect_answer (struct forward_job *job, int64_t now);

/* The attempt has no byte of an answer although one may be expected by now: keeps it, or leaves
 * it for another target. */
void job_judge_attempt (struct forward_job *job, int64_t now);

/* forward_stage.c */
bool job_has_stages (const struct forward_job *job);
enum status job_plan_stages (struct forward_job *job, const struct routing *routing);
void job_begin_stages (struct forward_job *job, int64_t now);
void job_write_inputs (const struct forward_job *job, uint32_t stages, struct bytes *out);

/* Runs the stages again because their results are lost; false if that was done before. */
bool job_rerun_stages (struct forward_job *job, int64_t now);

/* Number of pieces that this request has in the stage; 0: the stage is skipped. */
uint32_t job_pieces (const struct forward_job *job, uint32_t stage);

/* The set of stages, with each skipped stage replaced by the stages that it depends on. */
uint32_t job_replace_skipped (const struct forward_job *job, uint32_t stages);

/* Whether the engine, rather than a later stage, fetches this stage's results. */
bool job_is_read_by_engine (const struct forward_job *job, uint32_t stage);

/* forward_result.c */
bool job_stage_is_done (const struct forward_job *job, uint32_t stage);

/* Whether all stages of a set are done or skipped. */
bool job_stages_are_done (const struct forward_job *job, uint32_t stages);

/* Frees the results that no stage or engine still has to fetch. */
void job_free_used_results (struct forward_job *job, int64_t now);

/* Cancels the stages that run and frees all results. */
void job_cancel_stages (struct forward_job *job, int64_t now);

/* Whether results were freed that another attempt would need. */
bool job_lacks_results (const struct forward_job *job);

/* Called when the calls that read some results were sent: sets `fetched_at` to the time at which
 * the results should have been fetched. */
void job_expect_fetch (struct forward_job *job, int64_t *fetched_at, int64_t now);

/* forward_place.c */

/* The failure domain that avoids the most transfer between domains; "" where little would be
 * transferred, as waiting for a target in one domain would cost more. */
void job_choose_domain (const struct forward_job *job, uint32_t stage, char out[ROUTING_NAME_SIZE]);

/* Records in `job->prompt` which failure domains hold the results that the engine has to fetch. */
void job_locate_results (struct forward_job *job);

/* forward_stream.c */

/* The reason if the data do not continue the stream that the client has the beginning of, or exceed
 * a limit; else NULL. */
const char *job_pass_events (struct forward_job *job, const char *data, size_t length);

/* The id of the newest event with an id that the client has; NULL: none. */
const char *job_last_event (const struct forward_job *job);

/* Whether the target has sent the beginning of an event but not its end. */
bool job_is_inside_event (const struct forward_job *job);

/* forward_binding.c */

/* Records the target that an attempt is sent to, with its version. */
void job_note_writer (struct forward_job *job);

/* The target of the current attempt has written the first event that the client is about to be
 * sent: binds the stream unless it is bound, and tells other hosts. */
void job_bind (struct forward_job *job);

/* Whether the request may go on to its pool.  If it resumes a stream, that one's binding has
 * to be known first; false then if it waits for an answer or was refused and the job freed.
 */
bool job_find_binding (struct forward_job *job, const struct routing *routing, int64_t now);

/* What targets that go on with the stream are bound to; NULL while any may. */
const struct binding *job_binding (const struct forward_job *job);

/* Whether the pool has no target that may go on with the stream, be it tried or not. */
bool job_is_version_gone (const struct forward_job *job);

/* Whether a target that was not tried yet, or will be free after its backoff, may go on with the
 * stream. */
bool job_may_go_on (const struct forward_job *job);

/* forward_quarantine.c */

/* Hexadecimal digest of the request's content, the same for each send at any host; "" unless it was
 * needed. */
void job_format_content (const struct forward_job *job, char out[REQUEST_DIGEST_TEXT_SIZE]);

/* The ids of the prompt's parts in hexadecimal, separated by commas: the first
 * FORWARD_LOGGED_PARTS_MAX, then "+" and the number of the others. */
void job_format_parts (const struct forward_job *job, char out[FORWARD_PARTS_TEXT_SIZE]);

/* Whether the request may go on to stages and targets.  If false, it was refused and the job
 * freed. */
bool job_is_admitted (struct forward_job *job, int64_t now);

/* Whether the request may be sent to a target now.  If false, it was given up and the job freed. */
bool job_may_run (struct forward_job *job, int64_t now);

/* Whether to choose the target where the least else runs, as the request may crash it. */
bool job_needs_isolation (struct forward_job *job, int64_t now);
void job_run_began (struct forward_job *job);
void job_run_ended (struct forward_job *job);

/* The connection broke, or was abandoned, while the target may have been running the request. */
void job_note_break (struct forward_job *job, enum h1_end end, int64_t now);

/* Targets ended one after the other while running its stage work: quarantines the request at all
 * hosts, gives it up and frees the job. */
void job_quarantine (struct forward_job *job, int64_t now);

/* The target gave it a complete answer.  One that only the end of its connection completes is
 * complete if the target lives on. */
void job_note_complete_answer (struct forward_job *job, int64_t now);

/* The target has begun an answer, or it refused a connection. */
void job_note_target_answers (struct forward_job *job, int64_t now);
void job_note_target_refuses (struct forward_job *job, int64_t now);

/* forward_budget.c */

/* Created on first use; NULL where there are too many pools. */
struct forward_pool *forward_pool_get (struct forward *forward, const char *pool, int64_t now);

/* Counts a request to the pool: it earns a share of a retry. */
void forward_count_request (struct forward *forward, const char *pool, int64_t now);

/* Takes one more send of the request from the budget of its pool; false if none is left. */
bool job_take_retry (struct forward_job *job, int64_t now);

/* forward_reach.c */

/* Gives the request up if no request to its pool gets through: true, and the job is freed. */
bool job_give_up_if_cut_off (struct forward_job *job, int64_t now);

/* The same if all targets of its pool, or of the pool of one of its stages, are evacuated. */
bool job_give_up_if_evacuated (struct forward_job *job);

/* The same if this host has lost the pool, when job_choose_target() found no target. */
bool job_give_up_if_lost (struct forward_job *job, int64_t now);

/* The target of the next run, NULL for none.  Of a lost pool only one with an idle connection that
 * the request may use. */
struct balance_target *job_choose_target (struct forward_job *job, int64_t now);

/* forward_backoff.c */

/* Time until the first of the targets that it may go to ends its backoff; 0 if one is not in
 * backoff, or none is in backoff. */
int64_t job_backoff_wait (const struct forward_job *job, int64_t now);

/* If the targets that it may go to are all in backoff, and it can still be in time after that:
 * sends it again then. */
bool job_wait_for_backoff (struct forward_job *job, int64_t now);

/* If they are all in backoff beyond `latest`: gives the request up until the first of them is free.
 * True: the job is freed. */
bool job_give_up_if_in_backoff (struct forward_job *job, int64_t latest, int64_t now);

/* forward_limit.c */

/* Gives the request up if the limits that its pool's targets name allow no request by `deadline`:
 * true, and the job is freed. */
bool job_give_up_if_limited (struct forward_job *job, int64_t deadline, int64_t now);

#endif
