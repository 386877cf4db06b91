/* Load balancing: the choice of a request's target from this host's own observations.
 *
 * No clock and no global random state: the time and the seed are arguments. */
#ifndef BALANCE_H
#define BALANCE_H

#include "binding.h"
#include "cold_limit.h"
#include "decls.h"
#include "engine_load.h"
#include "rate_share.h"
#include "registry.h"
#include "rng.h"
#include "routing.h"
#include "slow_attempt.h"
#include "target_limit.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define BALANCE_TRIED_MAX 8

/* Consecutive failures after which a target is ejected: it gets probes only. */
#define BALANCE_FAILURES 2

/* Time of an ejection, doubled with each failed probe up to the maximum. */
#define BALANCE_EJECTION_MIN (1000 * USEC_PER_MSEC)
#define BALANCE_EJECTION_MAX (8 * USEC_PER_SEC)

/* Weight of a new sample in a target's mean latency. */
#define BALANCE_SMOOTHING 0.2

/* Least mean latency of a pool, in microseconds.  A target without samples is assumed to have the
 * pool's mean: with less, one that never answers would attract the requests of a slow pool. */
#define BALANCE_DEFAULT_LATENCY_US 15000.0

/* Half-life of a latency above the pool's: a slow target gets little work and so few samples, and
 * without the decay it would not be tried again. */
#define BALANCE_LATENCY_HALF_LIFE (2 * USEC_PER_SEC)

/* Targets in our failure domain are preferred with up to this many more requests in flight. */
#define BALANCE_DOMAIN_BONUS 0.5

/* A cold target may be slow, so warm ones come first: a cold one is chosen where every warm one
 * costs this many times as much, or, of model engines, this much more.  Not measured. */
#define BALANCE_COLD_FACTOR 4.0
#define BALANCE_COLD_COST_US 300000.0

/* A pool that has cold targets. */
struct balance_cold_pool
{
  char name[ROUTING_NAME_SIZE];
  struct cold_rule rule;
  uint64_t sent;     /* requests to cold targets */
  uint64_t withheld; /* choices for which a cold target had no room */
};

/* This host's state of a target. */
struct balance_target
{
  struct registry_target *record;
  char pool[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE];
  char address[ROUTING_NAME_SIZE];
  char id[ROUTING_NAME_SIZE];
  uint64_t serial;  /* tells it from all others, also from those that are gone */
  uint64_t started; /* incarnation that the fields below describe */
  uint64_t id_hash; /* of id and incarnation: excludes loads of an earlier one */
  bool usable;      /* registered, ready, and renewed recently */
  bool excluded;    /* not ready, or evacuated or perhaps so: must get no new requests */
  bool evacuated;   /* its failure domain is evacuated */
  bool leaving;     /* this incarnation has announced that it leaves */
  uint32_t in_flight;
  uint32_t failures;       /* consecutive */
  double failure_rate;     /* share of recent calls that failed, smoothed */
  double latency_us;       /* mean time to the first byte, in microseconds; 0: no sample */
  int64_t latency_at;      /* of the last sample */
  struct slow_target slow; /* what its answers to requests take */
  int64_t ejected_until;
  int64_t ejection_time;               /* duration of the last ejection, microseconds; 0: none */
  struct target_limit limit;           /* that this incarnation names */
  bool limit_news_due;                 /* the other entry hosts are to be told of the limit */
  int64_t limit_told_at;               /* when they were last told */
  struct balance_cold_pool *cold_pool; /* NULL: its pool has no cold targets */
  struct cold_limit cold;
  bool reported_cold; /* by cold_watch */
  uint32_t cold_rank; /* of this host, as of revision `cold_ranked` of the list of hosts */
  uint64_t cold_ranked;
  int64_t backoff_until; /* it asked this host for no calls until then; 0: never */
  struct balance *owner;
  UT_hash_handle hh; /* in `by_hash` */
  struct balance_target *next;
};

/* What a target is used for. */
enum balance_use
{
  BALANCE_REQUEST,
  BALANCE_STAGE_WORK
};

/* Costs added to the queueing delay in the choice of a model engine: shared tokens that are
 * prefilled again although another engine has them cached, and stage results that cross failure
 * domains.  Both cost users more than a delay that most requests can afford.  Mean worth over 50
 * days lost to crossing and to repeated prefill: 0.040 and 0.031 with 10 us a kilobyte and 26 us a
 * token, 0.028 and 0.029 with these values, at the same credit. */
#define BALANCE_REPEATED_PREFILL_US 45.0 /* per token */
#define BALANCE_CROSS_DOMAIN_US 60.0     /* per kilobyte */

#define BALANCE_LOCATIONS_MAX 8

/* Bytes that a request's engine has to fetch from one failure domain. */
struct balance_result_location
{
  char domain[ROUTING_NAME_SIZE];
  uint64_t bytes;
};

/* A request to a model engine. */
struct balance_prompt
{
  bool present;
  struct engine_prompt prompt;
  struct balance_result_location locations[BALANCE_LOCATIONS_MAX]; /* its stage results */
  uint32_t n_locations;
};

/* Which targets may be chosen. */
struct balance_query
{
  const char *pool;
  const struct binding *binding;       /* of the stream that they go on with; NULL: none */
  const struct balance_prompt *prompt; /* NULL: no request to a model engine */
  const uint64_t *tried;               /* serials of targets not to be chosen */
  uint32_t n_tried;
};

struct balance
{
  struct balance_target *targets;
  uint64_t last_serial;
  const char *domain; /* failure domain of this host */
  struct rng rng;
  struct engine_load *engines;
  struct rate_share *rate_share;  /* parts of targets' limits; NULL: this host is the only one */
  struct registry *registry;      /* takes what targets' answers say of them; NULL: nothing does */
  int64_t backoff_max;            /* longer backoffs are cut to this; USEC_NEVER: none are */
  struct balance_target *by_hash; /* by `id_hash` */
  uint32_t n_cold_pools;
  struct balance_cold_pool cold_pools[ROUTING_POOLS_MAX];
};

void balance_init (struct balance *balance,
                   const char *domain,
                   struct engine_load *engines,
                   uint64_t seed);

/* To be called when a target's record has changed; adds the target when it is new. */
void balance_update (struct balance *balance, void *parent, struct registry_target *record);

struct balance_target *balance_find (const struct balance *balance, const char *id);

/* Chooses a target; NULL when there is none. */
struct balance_target *balance_choose (struct balance *balance,
                                       const struct balance_query *query,
                                       int64_t now);

/* Like balance_choose(), for a request that may crash its target: chooses the one with the fewest
 * running requests. */
struct balance_target *balance_choose_least_running (struct balance *balance,
                                                     const struct balance_query *query,
                                                     int64_t now);

/* The number of targets that may be chosen, now or when they have room. */
uint32_t balance_count (const struct balance *balance, const struct balance_query *query);

/* Whether the pool has targets, and all of them are evacuated. */
bool balance_pool_is_evacuated (const struct balance *balance, const char *pool);

/* Records the start of a call. */
void balance_started (struct balance *balance,
                      struct balance_target *target,
                      enum balance_use use,
                      int64_t now);

/* Records the end of a call.  `first` is the time to its first byte in microseconds, negative when
 * none came. */
void balance_ended (struct balance_target *target, bool failed, int64_t first, int64_t now);

/* A request without an answer is late (slow_attempt.h): a failure of the target, though the call
 * may go on. */
void balance_note_late (struct balance_target *target, int64_t now);

/* Frees targets that are gone and have no requests in flight. */
void balance_sweep (struct balance *balance);

/* ---- balance_cold.c ---- */

/* Applies which pools have cold targets. */
void balance_set_cold_pools (struct balance *balance,
                             const struct routing *routing,
                             const struct cold_bounds *bounds);

/* Sets the target's pool; to be called when that or its incarnation has changed. */
void balance_reset_cold (struct balance *balance, struct balance_target *target);

/* How much longer the target counts as cold; 0 when it does not. */
int64_t balance_cold_left (const struct balance_target *target, int64_t now);

/* Time until this host may start a request on the target, as it is cold: until it has room or is
 * warm; USEC_NEVER when not foreseeable, 0 if it is warm. */
int64_t balance_cold_wait (const struct balance *balance,
                           struct balance_target *target,
                           enum balance_use use,
                           int64_t now);

/* This host's part of what a cold target is sent. */
struct rate_limit balance_cold_part (const struct balance *balance,
                                     struct balance_target *target,
                                     enum balance_use use,
                                     int64_t now);

/* The target answered to a request sent at `asked_at` that it is cold for `left` from now. */
void balance_heard_cold (struct balance *balance,
                         struct balance_target *target,
                         int64_t left,
                         int64_t asked_at,
                         int64_t now);

/* Another host started a request. */
void balance_started_elsewhere (struct balance *balance, uint64_t id_hash, int64_t now);

/* Of candidates of one pool, leaves out warm ones at which B / 2 requests were started within the
 * last second (cold_limit.h), for the load of targets that turn cold unannounced.  Returns their
 * number.
 *
 * If more than half of the warm ones are there, only those with a quarter more than the mean are
 * left out, for the load of an overload: hosts learn
 * of each other's starts 15 to 45 ms late and would all turn to the few that are left, and those
 * are the ones that hosts which know them to be cold send less to.  With 48 of 140 targets cold and
 * 3,000 requests a second, choosing those with the fewest starts gave up to 42 in a second at a
 * cold one, choosing by cost 15. */
uint32_t balance_spread_starts (struct balance_target **candidates, uint32_t n, int64_t now);

/* ---- balance_backoff.c ---- */

/* The target turned a call of this host away and wants none for `span` from now.  A backoff is
 * never cut short by a later answer: calls that were under way get answers in any order. */
void balance_heard_backoff (struct balance *balance,
                            struct balance_target *target,
                            int64_t span,
                            int64_t now);

/* How much longer the target is in backoff; 0 when it does not. */
int64_t balance_backoff_left (const struct balance_target *target, int64_t now);

/* Time until the first of the targets that the query allows, tried ones among them, ends its
 * backoff. 0 if none is in backoff, or one that was not tried is not. */
int64_t balance_backoff_wait (const struct balance *balance,
                              const struct balance_query *query,
                              int64_t now);

/* Whether a call that is under way, but not sent yet, may still be sent. */
bool balance_may_still_send (const struct balance_target *target, int64_t now);

/* ---- balance_dump.c ---- */

/* A new reference. */
json_t *balance_describe_targets (const struct balance *balance, int64_t now);

/* ---- balance_slow.c ---- */

/* Judges a request sent to `target` at `sent_at` that has no answer yet, by the other targets of
 * the pool that are in use.  `least`: see slow_attempt.h. */
struct slow_judgement balance_judge (const struct balance *balance,
                                     const struct balance_target *target,
                                     int64_t sent_at,
                                     int64_t least,
                                     int64_t now);

/* The latency that targets of the pool have, or are assumed to have, in microseconds. */
double balance_pool_latency (struct balance_target *const *targets, uint32_t n);

/* Expected latency of the target, in microseconds.  Not less than the time for which it has owed
 * an answer. */
double balance_latency (const struct balance_target *target, double pool_latency, int64_t now);

/* ---- balance_limit.c ---- */

/* Do the limit that the target names, if any, its state if it is cold and the backoff that it asked
 * for allow one more call now? */
bool balance_may_send (const struct balance *balance,
                       struct balance_target *target,
                       enum balance_use use,
                       int64_t now);

/* The calls a second that may be sent to the target for stage work; INFINITY without a limit. */
double balance_stage_rate (const struct balance_target *target, int64_t now);

/* This host's part of the limit for requests. */
struct rate_limit balance_limit_part (const struct balance *balance,
                                      const struct balance_target *target,
                                      int64_t now);

/* The limits of a pool's usable targets. */
struct balance_pool_limits
{
  uint32_t n_limited; /* targets that name a limit or are cold */
  int64_t wait;       /* until one of the targets may be sent a call; USEC_NEVER: not foreseeable */
  double per_sec;     /* of this host's parts, summed */
  double per_sec_all; /* of all hosts, summed */
};

struct balance_pool_limits balance_read_limits (const struct balance *balance,
                                                const char *pool,
                                                enum balance_use use,
                                                int64_t now);

END_DECLS

#endif
