/* State of the decisions; private to decide*.c. */
#ifndef DECIDE_STATE_H
#define DECIDE_STATE_H

#include "budget.h"
#include "decide.h"
#include "eject.h"
#include "learn.h"
#include "limit.h"
#include "prefix.h"
#include "rng.h"
#include "slow_attempt.h"
#include <uthash.h>

#define DECIDE_MODELS_MAX 8           /* models of a pool with times of their own */
#define REPORT_TTL (4 * USEC_PER_SEC) /* load reports of this age are ignored */
#define DECIDE_PRIORITIES 10
#define PREFIX_SETS 8192 /* 768 KiB; 65,536 sampled blocks */
#define REFRESH_INTERVAL (100 * USEC_PER_MSEC)

/* Growth of a time with the share of the target's slots in use (`fill`): 1 + slope * fill. */
struct decide_slope
{
  double slope;
  double mean_fill; /* of the samples; separates the slope from the times */
};

/* Learned times of one model of a pool, on an otherwise idle target: the slopes remove what the
 * target's other calls add. */
struct decide_model
{
  char model[RESOURCE_NAME_SIZE];
  struct learn_sizes first; /* time to the first output, by uncached tokens */
  struct learn_sizes token; /* time between generated tokens, in a single size bucket */
  struct decide_slope first_slope;
  struct decide_slope token_slope;
};

/* Unfinished stages of requests admitted on this host, for one pool and priority. */
struct decide_queue
{
  uint32_t count;
  double work; /* slot seconds */
  double rate; /* slot seconds admitted per second, decayed */
  int64_t rate_at;
};

struct decide_pool
{
  char name[RESOURCE_NAME_SIZE];
  struct decide_target **targets;
  uint32_t n_targets;
  uint32_t capacity; /* of `targets` */
  uint32_t n_ejected;
  struct decide_model models[DECIDE_MODELS_MAX];
  uint32_t n_models;
  struct decide_queue queues[DECIDE_PRIORITIES];
  double log_drift; /* log of the pool's current times over its learned times */
  double drift;     /* factor derived from log_drift */
  int64_t drift_at;
  double recent_timeouts; /* recent, decayed; a target counts once until it answers */
  int64_t timeouts_at;
  double log_slowness;          /* sum over its targets */
  double unhashed_cached_share; /* of a prompt's tokens after its hashed blocks, learned */
  uint32_t running;             /* attempts of this host */
  double slots;                 /* of its usable targets, when last refreshed */
  uint32_t n_usable;            /* when last refreshed */
  double reported;              /* calls of all hosts running or queued there, by recent reports */
  double report_confidence;     /* confidence in `reported`, 0 to 1 */
  int64_t refreshed_at;
  UT_hash_handle hh;
};

/* State of one target. */
struct decide_target
{
  struct handle handle;
  struct decide_pool *pool;
  uint32_t position;    /* index in the pool's `targets` */
  uint64_t incarnation; /* of the process that the state describes */
  uint32_t in_flight;   /* attempts of this host */
  double work;          /* expected slot seconds of the attempts in flight */
  double log_slowness;  /* log of its time over the pool's, learned; 0 when unknown */
  double slowness;      /* factor derived from log_slowness, without random variation */
  int64_t added_at;     /* start of its slow start */
  bool timed_out;       /* an attempt timed out, and no complete answer came since */
  struct eject eject;
  struct slow_target slow; /* what its answers take */
};

struct decide_stage
{
  double extra_tokens; /* learned difference of the stage's tokens and the request's */
  double cached_share; /* learned share of its tokens that are cached */
  bool known;
};

struct decide_pipeline
{
  uint32_t generation; /* of the board's handle that the state belongs to */
  struct budget retries;
  struct budget hedges;
  struct decide_stage stages[RESOURCE_STAGES_MAX];
};

struct decide_organisation
{
  uint32_t generation;
  struct limit limit;
  double work; /* estimated slot seconds of its admitted requests */
};

struct decide
{
  struct board_subscriber subscriber; /* must be first: the board passes it to callbacks */
  struct board *board;
  struct rng rng;
  struct prefix_index *prefixes;
  struct decide_pool *pools;                  /* by name */
  struct decide_pipeline **pipelines;         /* by handle index, NULL until used */
  struct decide_organisation **organisations; /* by handle index, NULL until used */
  double hosts;       /* live hosts that share the targets, this one included; 0: recount */
  int64_t hosts_at;   /* when last counted */
  uint32_t n_running; /* admitted requests that have not ended */
  struct counter *verdicts[DECIDE_REASON_COUNT];
  struct counter *ends[DECIDE_END_COUNT];
  struct counter *finished_whole; /* admitted requests that ended with a complete answer */
  struct counter *finished_other;
  struct counter *ejections;
  struct counter *saved_work; /* slot seconds not spent on requests that cannot end in time */
};

/* decide.c */
struct decide_target *decide_target_find (const struct decide *decide, struct handle handle);

/* An attempt ended so, or is known to end so. */
void decide_ejection_update (struct decide *decide,
                             struct decide_target *target,
                             enum decide_end end,
                             int64_t now);

/* decide_pool.c: index of targets by pool */
struct decide_pool *decide_pool_get (struct decide *decide, const char *name);
void decide_index_all (struct decide *decide, int64_t now);
void decide_index_changed (struct board_subscriber *subscriber,
                           enum board_event event,
                           struct handle handle,
                           int64_t now);
struct decide_model *decide_model_get (struct decide_pool *pool, const char *model);
double decide_pool_fill (const struct decide *decide, const struct decide_pool *pool);
double decide_target_slots (const struct decide *decide, const struct decide_target *target);
void decide_hosts_refresh (struct decide *decide, int64_t now);
double decide_hosts (const struct decide *decide);
double decide_report_weight (const struct load_report *report, int64_t now);
void decide_pool_refresh (struct decide *decide, struct decide_pool *pool, int64_t now);

/* decide_prefix.c: prompt prefixes cached on targets */
uint32_t decide_prefix_tokens (const struct decide_pool *pool,
                               const struct decide_request *request,
                               uint32_t blocks,
                               uint32_t tokens);
void decide_prefix_started (struct decide *decide,
                            const struct decide_request *request,
                            struct handle target,
                            int64_t now);
void decide_prefix_ended (struct decide *decide,
                          const struct decide_request *request,
                          struct decide_pool *pool,
                          const struct decide_result *result,
                          int64_t now);

/* decide_time.c: expected times of stages */
struct decide_work
{
  struct learn_quantiles first;  /* microseconds to the first output on an idle target */
  struct learn_quantiles tokens; /* microseconds from the first output to the end */
  double first_slope;
  double token_slope;
  bool known;
};

/* Expected time on an otherwise idle target, in microseconds. */
static inline double
decide_work_alone (const struct decide_work *work)
{
  return work->first.median + work->tokens.median;
}

/* Expected time with the share `fill` of the target's slots in use, in microseconds. */
static inline double
decide_work_at (const struct decide_work *work, double fill)
{
  return work->first.median * (1 + work->first_slope * fill)
         + work->tokens.median * (1 + work->token_slope * fill);
}

static inline double
decide_work_high_at (const struct decide_work *work, double fill)
{
  return work->first.high * (1 + work->first_slope * fill)
         + work->tokens.high * (1 + work->token_slope * fill);
}

static inline double
decide_work_low (const struct decide_work *work)
{
  return work->first.low + work->tokens.low;
}

struct decide_work decide_stage_time (struct decide *decide,
                                      const struct decide_request *request,
                                      const struct stage_spec *spec,
                                      uint32_t tokens,
                                      uint32_t cached_tokens);
uint32_t decide_stage_tokens (struct decide *decide,
                              const struct decide_request *request,
                              uint32_t stage);

/* Number of the stage's tokens that are expected to be cached on some target. */
uint32_t decide_stage_cached (struct decide *decide,
                              const struct decide_request *request,
                              uint32_t stage,
                              uint32_t tokens);

/* Time of the stages from `stage` on, in microseconds: the minimum, and the time expected at the
 * current fill of their pools.  `known` when the times of all these stages are. */
struct decide_remaining
{
  double low;
  double expected;
  bool known;
};

struct decide_remaining decide_remaining_time (struct decide *decide,
                                               const struct decide_request *request,
                                               const struct board_pipeline *pipeline,
                                               uint32_t stage);
void decide_slowness_reset (struct decide_target *target);
void decide_slowness_decay (struct decide_target *target, int64_t span);
void decide_learn_timeout (struct decide_target *target,
                           const struct decide_result *result,
                           int64_t now);
/* Factor on the timeouts of attempts.  When many targets of a pool time out, the pool is
 * overloaded, and cancelling attempts to restart them adds to its load. */
double decide_timeout_factor (const struct decide_pool *pool, int64_t now);
void decide_drift_update (struct decide_pool *pool, int64_t now);
void decide_learn_attempt (struct decide *decide,
                           const struct decide_request *request,
                           const struct stage_spec *spec,
                           struct decide_target *target,
                           const struct decide_result *result);

/* decide_queue.c: backlog of admitted work in a pool and its queueing delay */
void decide_queue_add (struct decide_queue *queue, double work, int64_t now);
void decide_queue_remove (struct decide_queue *queue, double work);
double decide_queue_wait (const struct decide *decide,
                          const struct decide_pool *pool,
                          uint32_t priority,
                          double slope,
                          int64_t now);

/* decide_admit.c: a stage of an admitted request is done or will not run */
void decide_stage_finish (struct decide *decide, struct decide_request *request, uint32_t stage);

/* decide.c */
struct decide_pipeline *decide_pipeline_get (struct decide *decide, struct handle handle);
struct decide_organisation *decide_organisation_get (struct decide *decide, struct handle handle);
const struct stage_spec *decide_stage_spec (const struct decide *decide,
                                            const struct decide_request *request);

#endif
