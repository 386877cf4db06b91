/* The routing configuration: which requests go to which pools, for whom, and within what bounds.
 *
 * One document with a version, decoded once by whoever speaks the operators' format, and read-only
 * from then on. */
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

/* What may be repeated.  name, text */
#define ROUTE_KIND_LIST(X)                                                                         \
  X (IDEMPOTENT, "idempotent")                                                                     \
  X (ONCE, "once")     /* runs at most once */                                                     \
  X (STREAM, "stream") /* an event stream; at most once unless it may be resumed */

enum route_kind
{
#define X(name, text) ROUTE_##name,
  ROUTE_KIND_LIST (X)
#undef X
      ROUTE_KIND_COUNT
};

const char *route_kind_text (enum route_kind kind);

/* A stage of work that must be done before the request itself can run. */
struct route_stage
{
  uint32_t pool;        /* index of its pool */
  uint32_t after;       /* bit set of the stages whose results it needs */
  uint64_t result_size; /* of one piece's result, in bytes, about */
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
  bool resumable;  /* a stream may go on at another target */
  bool open;       /* needs no key */
  bool affinity;   /* its requests say which prompt parts they share */
  int64_t timeout; /* the longest that a request may be kept waiting */
  int64_t objective;
  int64_t gap_objective; /* longest pause between events; 0: none */
  uint32_t priority;     /* 0 is first */
  uint32_t attempts;     /* targets that one request may be sent to */
  uint32_t n_shares;
  struct route_share shares[ROUTING_SPLIT_MAX];
  uint32_t weights; /* their sum */
  uint32_t n_stages;
  struct route_stage stages[ROUTING_STAGES_MAX];
};

/* What a target that runs a stage's pieces in batches can do. */
struct batch_spec
{
  uint32_t slots;  /* calls at the same time */
  uint32_t queue;  /* calls that may wait at the target */
  uint32_t pieces; /* in one call at most; 0: the pool runs no pieces */
  int64_t call_time;
  int64_t piece_time;
  uint64_t room; /* bytes for results */
  int64_t result_ttl;
};

/* What a model engine can do. */
struct engine_spec
{
  bool present;
  uint32_t slots;
  uint64_t cache_tokens;
};

struct pool
{
  char name[ROUTING_NAME_SIZE];
  char health_path[ROUTING_PATH_SIZE];
  uint32_t connections_max; /* a target takes from all callers together */
  struct batch_spec batch;
  struct engine_spec engine;
};

struct organisation
{
  char name[ROUTING_NAME_SIZE];
  bool has_priority;
  uint32_t priority; /* goes before its requests' routes' */
};

struct routing_key
{
  char key[ROUTING_KEY_SIZE];
  uint32_t organisation;
  UT_hash_handle hh;
};

/* A talloc object that owns the rest. */
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

/* Empty, and freed with `parent`.  NULL when memory is out. */
struct routing *routing_new (void *parent);

/* Adds a key; STATUS_CONFLICT when another organisation has it. */
enum status routing_add_key (struct routing *routing, const char *key, uint32_t organisation);

/* The pool's index; -1 when there is none. */
int routing_find_pool (const struct routing *routing, const char *name);

/* The rules that hold across the whole document; the message names the field. */
enum status routing_check (const struct routing *routing);

/* The route with the longest prefix that begins the path, among those of the host; NULL when there
 * is none.  A port behind the host's name is not looked at. */
const struct route *routing_match (const struct routing *routing,
                                   const char *host,
                                   const char *target);

/* The organisation whose key this is; NULL when there is none. */
const struct organisation *routing_organisation (const struct routing *routing, const char *key);

/* A pool by weight; `draw` is uniform in 0 to 1. */
uint32_t route_draw_pool (const struct route *route, double draw);

/* The stages that no other stage needs. */
uint32_t route_last_stages (const struct route *route);

/* Turns the operators' format into a routing; what speaks to the users' platform implements it. */
struct routing_codec
{
  const struct routing_codec_ops *ops;
};

struct routing_codec_ops
{
  /* A checked routing under `parent`, or NULL with status_message() naming the field. */
  struct routing *(*decode) (struct routing_codec *codec,
                             void *parent,
                             const char *data,
                             size_t length);
};

END_DECLS

#endif
