/* The routing configuration: routes from requests to pools, organisations and their keys, limits.
 *
 * One document with a version.  A routing_codec decodes it from the operators' format; it is
 * read-only from then on. */
#ifndef ROUTING_H
#define ROUTING_H

#include "decls.h"
#include "h1_server.h"
#include "status.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

BEGIN_DECLS

#define ROUTING_NAME_SIZE 64
#define ROUTING_PATH_SIZE 256
#define ROUTING_KEY_SIZE 128
#define ROUTING_STAGES_MAX 8
#define ROUTING_SPLIT_MAX 8
#define ROUTING_POOLS_MAX 128

/* Whether a request may be repeated.  name, text */
#define ROUTE_KIND_LIST(X)                                                                         \
  X (IDEMPOTENT, "idempotent")                                                                     \
  X (ONCE, "once")     /* executed at most once */                                                 \
  X (STREAM, "stream") /* an event stream; executed at most once unless resumable */

enum route_kind
{
#define X(name, text) ROUTE_##name,
  ROUTE_KIND_LIST (X)
#undef X
      ROUTE_KIND_COUNT
};

const char *route_kind_text (enum route_kind kind);

/* A stage that must be finished before the request itself can run. */
struct route_stage
{
  uint32_t pool;        /* index of its pool */
  uint32_t depends_on;  /* bit set of the stages whose results it depends on */
  uint64_t result_size; /* approximate size of one piece's result, in bytes */
};

struct route_share
{
  uint32_t pool;
  uint32_t weight;
};

struct route
{
  char name[ROUTING_NAME_SIZE];
  char host[ROUTING_PATH_SIZE];
  char prefix[ROUTING_PATH_SIZE]; /* begins and ends with a slash */
  enum route_kind kind;
  bool resumable;        /* a stream may be resumed on another target */
  bool open;             /* no key is required */
  bool affinity;         /* requests name the prompt parts that they share */
  int64_t timeout;       /* longest time that a request may wait, microseconds */
  int64_t objective;     /* microseconds */
  int64_t gap_objective; /* longest pause between events, microseconds; 0: none */
  uint32_t priority;     /* 0 is the highest */
  uint32_t attempts;     /* most targets that a request is sent to */
  uint32_t n_shares;
  struct route_share shares[ROUTING_SPLIT_MAX];
  uint32_t total_weight; /* sum of the shares' weights */
  int64_t shares_since;  /* since when this host knows it to have these pools; 0 elsewhere */
  uint32_t n_stages;
  struct route_stage stages[ROUTING_STAGES_MAX];
};

/* Capacity of a target that runs a stage's pieces in batches. */
struct batch_spec
{
  uint32_t slots;            /* concurrent calls */
  uint32_t queue;            /* calls that may queue at the target */
  uint32_t pieces;           /* most pieces in one call; 0: the pool runs no pieces */
  int64_t call_time;         /* fixed time of a call, microseconds */
  int64_t piece_time;        /* additional time of each piece, microseconds */
  uint64_t result_bytes_max; /* capacity for results, in bytes */
  int64_t result_ttl;        /* microseconds */
};

/* Capacity of a model engine. */
struct engine_spec
{
  bool present;
  uint32_t slots;
  uint64_t cache_tokens;
};

/* Targets of a pool after their start. */
struct cold_spec
{
  double per_sec;     /* requests a second that a cold target can handle; 0: none are cold */
  int64_t start_time; /* how long a target stays cold after a start, microseconds */
};

struct pool
{
  char name[ROUTING_NAME_SIZE];
  char health_path[ROUTING_PATH_SIZE];
  uint32_t connections_max; /* of a target, over all callers */
  struct cold_spec cold;
  struct batch_spec batch;
  struct engine_spec engine;
};

struct organisation
{
  char name[ROUTING_NAME_SIZE];
  bool has_priority;
  uint32_t priority; /* overrides the priority of the route */
};

struct routing_key
{
  char key[ROUTING_KEY_SIZE];
  uint32_t organisation;
  UT_hash_handle hh;
};

/* The whole configuration; a talloc object that owns its members. */
struct routing
{
  uint64_t version;
  uint32_t n_routes;
  struct route *routes;
  uint32_t n_pools;
  struct pool *pools;
  uint32_t n_organisations; /* 0: requests carry no keys */
  struct organisation *organisations;
  struct routing_key *keys;
  struct h1_limits limits;
};

/* An empty configuration, freed with `parent`.  NULL when out of memory. */
struct routing *routing_new (void *parent);

/* Adds a key.  STATUS_CONFLICT when another organisation has it, STATUS_INVALID when it is empty or
 * too long, STATUS_NO_MEMORY. */
enum status routing_add_key (struct routing *routing, const char *key, uint32_t organisation);

/* The pool's index; -1 when there is none. */
int routing_find_pool (const struct routing *routing, const char *name);

/* Checks the rules that involve several fields.  STATUS_INVALID with a message that names
 * the route and the field. */
enum status routing_validate (const struct routing *routing);

/* Whether a route forwards requests to the pool; stage work alone does not count. */
bool routing_forwards_to (const struct routing *routing, const char *pool);

/* The host's route with the longest matching path prefix; NULL when there is none.  A port in
 * `host` is ignored. */
const struct route *routing_match (const struct routing *routing,
                                   const char *host,
                                   const char *target);

/* The organisation that has this key; NULL when there is none. */
const struct organisation *routing_organisation (const struct routing *routing, const char *key);

/* Selects a pool by weight; `draw` is a uniform random number from 0 to 1. */
uint32_t route_draw_pool (const struct route *route, double draw);

/* Bit set of the stages that no other stage depends on. */
uint32_t route_last_stages (const struct route *route);

/* Decodes the operators' format; implemented by the integration with the users' platform. */
struct routing_codec
{
  const struct routing_codec_ops *ops;
};

struct routing_codec_ops
{
  /* A valid configuration under `parent`, or NULL with status_message() naming the field. */
  struct routing *(*decode) (struct routing_codec *codec,
                             void *parent,
                             const char *data,
                             size_t length);
};

END_DECLS

#endif
