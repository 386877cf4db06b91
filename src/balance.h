/* Which target a request goes to, from what this host has seen of the targets itself.
 *
 * Pure: time and chance are passed in. */
#ifndef BALANCE_H
#define BALANCE_H

#include "decls.h"
#include "engine_load.h"
#include "registry.h"
#include "rng.h"
#include "routing.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define BALANCE_TRIED_MAX 8

/* After this many failures in a row a target gets no work but probes. */
#define BALANCE_FAILURES 2

/* For so long, doubled with each failed probe up to the longest. */
#define BALANCE_EJECT (1000 * USEC_PER_MSEC)
#define BALANCE_EJECT_MAX (8 * USEC_PER_SEC)

/* Weight of a new sample in a target's mean latency. */
#define BALANCE_SMOOTHING 0.2

/* What is taken for a target without samples, in microseconds. */
#define BALANCE_FIRST_LATENCY 15000.0

/* A target that was slow gets little work and so few samples: what was seen loses half its weight
 * in so long, until a request tries it again. */
#define BALANCE_HALF_LIFE (2 * USEC_PER_SEC)

/* A target in the same failure domain is preferred at up to this much more work in flight. */
#define BALANCE_DOMAIN_BONUS 0.5

/* A target, as this host knows it. */
struct balance_target
{
  struct registry_target *record;
  char pool[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE];
  char address[ROUTING_NAME_SIZE];
  char id[ROUTING_NAME_SIZE];
  uint64_t started; /* the incarnation that the figures below are of */
  uint64_t
      id_hash; /* of id and incarnation: what other hosts tell of an earlier one is not of it */
  bool usable; /* registered, ready and heard lately */
  bool gone;   /* must get nothing more */
  bool left;   /* this incarnation has said that it leaves */
  uint32_t in_flight;
  uint32_t failures;  /* in a row */
  double failing;     /* share of late calls that failed, smoothed */
  double latency;     /* mean to the first byte, in microseconds; 0: none seen */
  int64_t latency_at; /* of the last sample */
  int64_t ejected_until;
  int64_t eject_for;
  struct balance_target *next;
};

/* What a choice among model engines weighs beside the wait, as time: shared tokens that are read
 * again although another engine holds them, and results that cross failure domains.  Both cost the
 * users more than a wait that most requests have to spare.  Of fifty days' mean worth 0.040 went to
 * results that crossed and 0.031 to parts read again with 10 us a kilobyte and 26 us a token, 0.028
 * and 0.029 so; the credit was the same. */
#define BALANCE_READ_AGAIN_US 45.0 /* a token */
#define BALANCE_CROSSING_US 60.0   /* a kilobyte */

#define BALANCE_PLACES_MAX 8

/* What a request's engine has to fetch from one failure domain. */
struct balance_place
{
  char domain[ROUTING_NAME_SIZE];
  uint64_t bytes;
};

/* A request to a model engine. */
struct balance_prompt
{
  bool present;
  struct engine_prompt prompt;
  struct balance_place places[BALANCE_PLACES_MAX]; /* where its stage results lie */
  uint32_t n_places;
};

struct balance
{
  struct balance_target *targets;
  const char *domain; /* ours */
  struct rng rng;
  struct engine_load *engines;
  uint32_t n_entry_hosts; /* sharing the targets */
};

void balance_init (struct balance *balance,
                   const char *domain,
                   struct engine_load *engines,
                   uint64_t seed);

/* A target's record changed. */
void balance_update (struct balance *balance, void *parent, struct registry_target *record);

struct balance_target *balance_find (const struct balance *balance, const char *id);

/* A target of the pool; NULL when there is none.  `tried` are passed over. */
struct balance_target *balance_choose (struct balance *balance,
                                       const char *pool,
                                       const struct balance_prompt *prompt,
                                       struct balance_target *const *tried,
                                       uint32_t n_tried,
                                       int64_t now);

/* The same for a request that may end its target: where the least else runs. */
struct balance_target *balance_choose_apart (struct balance *balance,
                                             const char *pool,
                                             const struct balance_prompt *prompt,
                                             struct balance_target *const *tried,
                                             uint32_t n_tried,
                                             int64_t now);

void balance_started (struct balance_target *target);

/* A call ended.  `first` is the time to its first byte, under 0 where none came. */
void balance_ended (struct balance_target *target, bool failed, int64_t first, int64_t now);

/* Free targets that are gone and have no work. */
void balance_sweep (struct balance *balance);

END_DECLS

#endif
