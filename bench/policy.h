/* Simulator of scheduling policies: the decisions of several hosts on virtual time, against targets
 * with slots, queues and prefix caches whose service times come from service_time.h.
 *
 * Runs are deterministic by seed and take seconds.  The network between hosts, membership and
 * consensus are not modelled; their own tests cover them. */
#ifndef POLICY_H
#define POLICY_H

#include "budget.h"
#include "decide.h"
#include "decls.h"
#include "rng.h"
#include "site.h"
#include "timer.h"
#include "trace.h"

BEGIN_DECLS

#define POLICY_HOSTS_MAX 360
#define POLICY_HISTORY 32 /* load samples kept of a target */
#define POLICY_SAMPLE_SPAN (250 * USEC_PER_MSEC)
#define POLICY_LEASE (3 * USEC_PER_SEC)       /* until a lost target's lease expires */
#define POLICY_LEAVE_BOUND (3 * USEC_PER_SEC) /* after its leave notice, no new work */
#define POLICY_LEAVE_KNOWN (500 * USEC_PER_MSEC)
#define POLICY_MIDDLE_SETTLE (5 * USEC_PER_SEC)
#define POLICY_HOP_USEC (500) /* one-way delay between host and target, in microseconds */

/* name, text */
#define POLICY_ARM_LIST(X)                                                                         \
  X (RANDOM, "random")                                                                             \
  X (ROUND_ROBIN, "round-robin")                                                                   \
  X (LEAST_LOAD, "least-load")                                                                     \
  X (OURS, "ours")

enum policy_arm
{
#define X(name, text) POLICY_##name,
  POLICY_ARM_LIST (X)
#undef X
      POLICY_ARM_COUNT
};

/* name, text, load as a multiple of the calm rate, load factor of the middle third */
#define POLICY_EXPERIMENT_LIST(X)                                                                  \
  X (CALM, "calm", 1.0, 1.0)                                                                       \
  X (BURST, "burst-3x", 1.0, 3.0)                                                                  \
  X (SLOW_STAGE, "slow-stage", 1.0, 1.0)                                                           \
  X (DOMAIN_LOST, "domain-lost", 1.0, 2.0)                                                         \
  X (STALE_REPORTS, "stale-reports", 1.6, 1.0)                                                     \
  X (HANG, "hang", 1.0, 1.0)                                                                       \
  X (LEAVING, "leaving", 1.6, 1.0)                                                                 \
  X (COLD_CACHES, "cold-caches", 1.4, 1.0)                                                         \
  X (FLOOD, "flood", 1.0, 1.0)

enum policy_experiment
{
#define X(name, text, load, burst) POLICY_##name,
  POLICY_EXPERIMENT_LIST (X)
#undef X
      POLICY_EXPERIMENT_COUNT
};

const char *policy_arm_text (enum policy_arm arm);
const char *policy_experiment_text (enum policy_experiment experiment);

struct policy_config
{
  enum trace_site site;
  enum policy_arm arm;
  enum policy_experiment experiment;
  uint64_t seed;
  uint32_t hosts;
  uint32_t scale; /* factor on the number of targets and the rate */
  int64_t length;
  double rate; /* calm, requests a second */
  bool dump;   /* write the first host's state to standard error at the end */
};

struct policy_result
{
  uint32_t requests;
  uint32_t attained;
  uint32_t refused; /* not run */
  double p50;       /* seconds, of the whole answers */
  double p99;
  double cost[STAGE_KIND_COUNT];
  double prompt_tokens; /* of generations started */
  double cached_tokens; /* of those */
  double wasted;        /* cost of attempts that no attained answer used */
  uint32_t retries;
  uint32_t hedges;
  uint32_t attempts;
  double worst_organisation; /* attainment; a flooding organisation is left out */
  double goodput; /* nominal generation work per second completed in time, from POLICY_MIDDLE_SETTLE
                     into the middle third to its end */
  uint32_t duplicates;  /* unrepeatable stages sent twice */
  uint32_t to_unusable; /* attempts on targets gone longer than the leave bound or lease */
};

struct policy_run;
struct policy_request;
struct policy_target;

/* One attempt, from sending to completion. */
struct policy_attempt
{
  struct timer done; /* arrival at the target, first output, end */
  struct timer first_due;
  struct timer give_up;
  struct timer hedge;
  struct policy_request *request;
  struct policy_target *target;
  struct decide_choice choice;
  struct policy_attempt *prev; /* in the target's queue */
  struct policy_attempt *next;
  enum
  {
    ATTEMPT_ON_ITS_WAY,
    ATTEMPT_WAITING,
    ATTEMPT_PREFILL,
    ATTEMPT_DECODE,
    ATTEMPT_ANSWERED, /* the answer is in transit to the host */
    ATTEMPT_OVER
  } state;
  bool is_hedge;
  uint32_t stage;
  uint32_t tokens;
  uint32_t cached;
  int64_t sent_at;
  int64_t begun_at; /* got a slot; 0 while waiting */
  int64_t first_at;
  double cost;
};

struct policy_sample
{
  int64_t at;
  uint32_t running;
  uint32_t waiting;
};

struct policy_cached
{
  uint32_t document;
  uint32_t tokens;
  struct policy_cached *prev; /* the least recently used first */
  struct policy_cached *next;
};

struct policy_target
{
  struct policy_run *run;
  struct handle handle; /* the same on every host's board */
  uint32_t pool;
  uint32_t slots;
  uint32_t running;
  uint32_t waiting;
  struct policy_attempt *queue; /* by priority */
  double slowdown;
  bool hangs;      /* accepts and never answers */
  int64_t lost_at; /* unresponsive from then on; USEC_NEVER while alive */
  int64_t leaving_at;
  struct policy_sample history[POLICY_HISTORY];
  uint32_t n_history;
  struct policy_cached *cache;
  uint32_t cached_tokens;
  uint32_t cache_size;
};

struct policy_host
{
  struct board *board;
  struct decide *decide;
  uint32_t turn[SITE_POOLS_MAX]; /* round robin */
  struct budget retries[SITE_PIPELINES_MAX];
  struct handle pipelines[SITE_PIPELINES_MAX];
  struct handle organisations[SITE_ORGANISATIONS];
};

struct policy_request
{
  struct timer arrival;
  struct timer deadline;
  struct timer check;
  struct policy_run *run;
  const struct trace_request *trace;
  uint32_t number; /* in the run */
  struct policy_host *host;
  uint32_t pipeline;
  uint32_t organisation;
  bool flooding;
  struct decide_request decide;
  struct policy_attempt *live[2];
  struct handle tried[DECIDE_TRIED_MAX];
  uint32_t n_tried;
  uint32_t stage_attempts;
  uint32_t sent[RESOURCE_STAGES_MAX];
  double cost;      /* of all its attempts */
  double kept_cost; /* of the attempts whose answers were used */
  bool over;
};

struct policy_run
{
  struct policy_config config;
  const struct site *site;
  struct timer_service *timers;
  struct rng rng;
  struct policy_host *hosts;
  struct policy_target *targets;
  uint32_t n_targets;
  uint32_t pool_first[SITE_POOLS_MAX + 1];
  struct pipeline_spec specs[SITE_PIPELINES_MAX];
  struct timer sample;
  struct timer fault;
  uint32_t fault_step;
  struct policy_result result;
  uint32_t offered[SITE_ORGANISATIONS];
  uint32_t attained[SITE_ORGANISATIONS];
  uint32_t n_requests;
  float *latencies;
  double middle_work; /* nominal generation seconds attained, see policy_result.goodput */
  bool count_always;  /* count work outside the middle third too */
};

/* policy_target.c */
void policy_target_send (struct policy_target *target, struct policy_attempt *attempt, int64_t now);
void policy_target_release (struct policy_target *target,
                            struct policy_attempt *attempt,
                            int64_t now);
void policy_target_sample (struct policy_target *target, int64_t now);
void policy_target_clear_cache (struct policy_target *target, int64_t now);
uint64_t policy_block_hash (uint32_t document, uint32_t request, uint32_t index);

/* policy_flow.c: requests through their stages */
void policy_request_start (struct policy_request *request, int64_t now);
void policy_attempt_ended (struct policy_attempt *attempt, enum decide_end end, int64_t now);
double policy_nominal_work (const struct trace_request *trace, const struct pipeline_spec *spec);

/* policy_choose.c: the baseline policies */
enum decide_reason policy_choose_simple (struct policy_request *request,
                                         int64_t now,
                                         struct decide_choice *out);

/* policy_fault.c: fires first at a third of the length, then rearms itself */
extern const struct timer_ops policy_fault_ops;

/* policy_run.c */
struct policy_result policy_simulate (const struct policy_config *config);

/* Nominal generation work per second of the site's generation pool at saturation. */
double policy_capacity (enum trace_site site, uint32_t scale, uint64_t seed);

END_DECLS

#endif
