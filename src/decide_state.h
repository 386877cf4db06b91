/* What the decisions keep between calls; private to decide*.c. */
#ifndef DECIDE_STATE_H
#define DECIDE_STATE_H

#include "budget.h"
#include "decide.h"
#include "eject.h"
#include "learn.h"
#include "limit.h"
#include "prefix.h"
#include "rng.h"
#include <uthash.h>

#define DECIDE_CLASSES_MAX 8           /* models learned apart in one pool */
#define REPORT_LIFE (4 * USEC_PER_SEC) /* a load report is unknown once it is this old */
#define DECIDE_PRIORITIES 10
#define PREFIX_SETS 8192 /* 768 KiB; 65,536 sampled blocks */
#define REFRESH_SPAN (100 * USEC_PER_MSEC)

/* How a time grows with the share of the target's slots in use: 1 + slope * fill. */
struct decide_slope
{
  double slope;
  double mean_fill; /* of the samples, so that slope and times are learned apart */
};

/* What was learned of one model of a pool.  Times are those of a target with nothing else to do:
 * what its other calls add is taken out by the slopes. */
struct decide_class
{
  char model[RESOURCE_NAME_SIZE];
  struct learn_sizes first; /* time to the first output by tokens not cached */
  struct learn_sizes token; /* time between generated tokens, all in one size */
  struct decide_slope first_slope;
  struct decide_slope token_slope;
};

/* Stages of our admitted requests at one pool and priority that are not done. */
struct decide_queue
{
  uint32_t count;
  double work; /* slot seconds */
  double rate; /* slot seconds admitted a second, decayed */
  int64_t rate_at;
};

struct decide_pool
{
  char name[RESOURCE_NAME_SIZE];
  struct decide_target **targets;
  uint32_t n_targets;
  uint32_t capacity; /* of `targets` */
  uint32_t n_ejected;
  struct decide_class classes[DECIDE_CLASSES_MAX];
  uint32_t n_classes;
  struct decide_queue queues[DECIDE_PRIORITIES];
  double log_drift; /* how far the whole pool is off its learned times now */
  double drift;     /* from log_drift */
  int64_t drift_at;
  double timeouts; /* of the last seconds, each target once until it answers */
  int64_t timeouts_at;
  double log_slowness; /* the sum of its targets' */
  double beyond;       /* share cached of a prompt's tokens past its hashed blocks, learned */
  uint32_t running;    /* our attempts */
  double slots;        /* of its usable targets, as last counted */
  uint32_t n_usable;   /* the same */
  double reported;     /* calls running and waiting there, from all hosts, by fresh reports */
  double reports;      /* how far `reported` can be trusted, 0 to 1 */
  int64_t refreshed_at;
  UT_hash_handle hh;
};

/* What was learned of one target. */
struct decide_target
{
  struct handle handle;
  struct decide_pool *pool;
  uint32_t position;    /* in the pool's `targets` */
  uint64_t incarnation; /* of the process this was learned of */
  uint32_t in_flight;   /* our attempts on it */
  double work;          /* expected slot seconds of them */
  double log_slowness;  /* its time over the pool's, learned; 0 when unknown */
  double slowness;      /* what of it is beyond chance, as a factor */
  int64_t added_at;     /* for slow start */
  bool timed_out;       /* and gave no whole answer since */
  struct eject eject;
};

struct decide_stage
{
  double extra_tokens; /* a stage's tokens beyond the request's, learned */
  double cached_share; /* of its tokens, learned */
  bool known;
};

struct decide_pipeline
{
  uint32_t generation; /* of the board's handle this was learned for */
  struct budget retries;
  struct budget hedges;
  struct decide_stage stages[RESOURCE_STAGES_MAX];
};

struct decide_organisation
{
  uint32_t generation;
  struct limit limit;
  double work; /* slot seconds held by its admitted requests */
};

struct decide
{
  struct board_subscriber subscriber; /* first: the board calls back with it */
  struct board *board;
  struct rng rng;
  struct prefix_index *prefixes;
  struct decide_pool *pools;                  /* by name */
  struct decide_pipeline **pipelines;         /* by the handle's index, NULL until used */
  struct decide_organisation **organisations; /* the same */
  double hosts;       /* that share the targets, ourselves among them; 0: to be counted */
  int64_t hosts_at;   /* when last counted */
  uint32_t n_running; /* admitted requests not finished */
  struct counter *verdicts[DECIDE_REASON_COUNT];
  struct counter *ends[DECIDE_END_COUNT];
  struct counter *finished_whole; /* admitted requests that ended whole */
  struct counter *finished_other;
  struct counter *ejections;
  struct counter *saved_work; /* slot seconds not spent: refused or hopeless */
};

/* decide_pool.c: the index of targets by pool */
struct decide_pool *decide_pool_get (struct decide *decide, const char *name);
void decide_index_all (struct decide *decide, int64_t now);
void decide_index_changed (struct board_subscriber *subscriber,
                           enum board_event event,
                           struct handle handle,
                           int64_t now);
struct decide_class *decide_class_get (struct decide_pool *pool, const char *model);
double decide_pool_fill (const struct decide *decide, const struct decide_pool *pool);
double decide_target_slots (const struct decide *decide, const struct decide_target *target);
void decide_hosts_refresh (struct decide *decide, int64_t now);
double decide_hosts (const struct decide *decide);
double decide_report_weight (const struct load_report *report, int64_t now);
void decide_pool_refresh (struct decide *decide, struct decide_pool *pool, int64_t now);

/* decide_prefix.c: prompts cached on targets */
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

/* decide_time.c: what stages are expected to take */
struct decide_work
{
  struct learn_span first;  /* microseconds to the first output, alone on the target */
  struct learn_span tokens; /* from there to the end */
  double first_slope;
  double token_slope;
  bool known;
};

/* Alone on the target. */
static inline double
decide_work_alone (const struct decide_work *work)
{
  return work->first.middle + work->tokens.middle;
}

/* With `fill` of the target's slots in use. */
static inline double
decide_work_at (const struct decide_work *work, double fill)
{
  return work->first.middle * (1 + work->first_slope * fill)
         + work->tokens.middle * (1 + work->token_slope * fill);
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

/* Tokens of a stage that are expected in some target's cache. */
uint32_t decide_stage_cached (struct decide *decide,
                              const struct decide_request *request,
                              uint32_t stage,
                              uint32_t tokens);

/* Of the stages from `stage` on, microseconds: what they take at least, and as expected at the
 * fill their pools have now; known when all of them are. */
struct decide_rest
{
  double low;
  double middle;
  bool known;
};

struct decide_rest decide_rest_time (struct decide *decide,
                                     const struct decide_request *request,
                                     const struct board_pipeline *pipeline,
                                     uint32_t stage);
void decide_slowness_forget (struct decide_target *target);
void decide_slowness_fade (struct decide_target *target, int64_t span);
void decide_time_timed_out (struct decide_target *target,
                            const struct decide_result *result,
                            int64_t now);
/* How much longer than usual an attempt may take: a pool of which many targets time out is slow,
 * and ending its attempts to start them again only makes it slower. */
double decide_patience (const struct decide_pool *pool, int64_t now);
void decide_drift_refresh (struct decide_pool *pool, int64_t now);
void decide_time_learn (struct decide *decide,
                        const struct decide_request *request,
                        const struct stage_spec *spec,
                        struct decide_target *target,
                        const struct decide_result *result);

/* decide_queue.c: what was admitted to a pool and how long it waits there */
void decide_queue_add (struct decide_queue *queue, double work, int64_t now);
void decide_queue_remove (struct decide_queue *queue, double work);
double decide_queue_wait (const struct decide *decide,
                          const struct decide_pool *pool,
                          uint32_t priority,
                          double slope,
                          int64_t now);

/* decide_admit.c: a stage of an admitted request is done or will not be run */
void decide_stage_over (struct decide *decide, struct decide_request *request, uint32_t stage);

/* decide.c */
struct decide_pipeline *decide_pipeline_get (struct decide *decide, struct handle handle);
struct decide_organisation *decide_organisation_get (struct decide *decide, struct handle handle);
const struct stage_spec *decide_stage_spec (const struct decide *decide,
                                            const struct decide_request *request);

#endif
