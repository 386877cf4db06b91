/* The blackboard: tables shared by the modules of a host.
 *
 * Each field has one writer, named in its comment; all other modules only read it.  A module that
 * needs to react to changes subscribes with board_subscribe() or polls on a timer of its own. */
#ifndef BOARD_H
#define BOARD_H

#include "decls.h"
#include "resource.h"
#include "table.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define BOARD_HOSTS_MAX 1024
#define BOARD_TARGETS_MAX 8192
#define BOARD_POOLS_MAX 256
#define BOARD_PIPELINES_MAX 256
#define BOARD_ORGANISATIONS_MAX 2048
#define BOARD_MODELS_MAX 8
#define BOARD_KEY_SIZE 48 /* Z85 public key and NUL */

/* name, text */
#define HOST_STATE_LIST(X)                                                                         \
  X (ALIVE, "alive")                                                                               \
  X (SUSPECT, "suspect")                                                                           \
  X (DEAD, "dead")                                                                                 \
  X (LEAVING, "leaving")                                                                           \
  X (LEFT, "left")

enum host_state
{
#define X(name, text) HOST_##name,
  HOST_STATE_LIST (X)
#undef X
      HOST_STATE_COUNT
};

const char *host_state_text (enum host_state state);

/* A host of the system, this one included.  Writer: member.c. */
struct board_host
{
  char name[RESOURCE_NAME_SIZE];
  char domain[RESOURCE_NAME_SIZE];
  char region[RESOURCE_NAME_SIZE];
  char entry_address[RESOURCE_ADDRESS_SIZE];    /* for callers */
  char operator_address[RESOURCE_ADDRESS_SIZE]; /* for operators */
  char target_address[RESOURCE_ADDRESS_SIZE];   /* for targets */
  char peer_address[RESOURCE_ADDRESS_SIZE];
  char public_key[BOARD_KEY_SIZE];
  enum host_state state;
  bool self;
  bool voter;           /* has a data folder and may vote */
  bool behind;          /* reports that its configuration is stale or unconfirmed */
  bool cut_off;         /* reports that it reaches less than half of the hosts */
  uint64_t incarnation; /* increases at each start of its process */
  uint64_t revision;    /* of the configuration it has in force */
  double load;          /* 0 idle to 1 full */
  int64_t heard_at;     /* last message received; USEC, monotonic, this host's clock */
};

/* name, text */
#define TARGET_STATE_LIST(X)                                                                       \
  X (READY, "ready")                                                                               \
  X (LEAVING, "leaving")

enum target_state
{
#define X(name, text) TARGET_##name,
  TARGET_STATE_LIST (X)
#undef X
      TARGET_STATE_COUNT
};

/* The last load report of a target; reports are delayed and may be lost.  Writer: directory.c. */
struct load_report
{
  int64_t received_at; /* 0: none yet */
  int64_t measured_at; /* this host's clock, from the age that the target reports */
  uint32_t running;
  uint32_t waiting;
  double kv_used; /* share of the KV cache in use */
};

struct decide_target;

/* A target that announced itself.  Writer: directory.c, except for the fields marked. */
struct board_target
{
  char name[RESOURCE_NAME_SIZE];
  char pool[RESOURCE_NAME_SIZE];
  char domain[RESOURCE_NAME_SIZE];
  char address[RESOURCE_ADDRESS_SIZE];
  enum stage_kind kind;
  char models[BOARD_MODELS_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_models;
  char adapters[BOARD_MODELS_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_adapters;
  char version[RESOURCE_NAME_SIZE];
  char home[RESOURCE_NAME_SIZE]; /* the host to which it announces itself */
  bool checks_orders;            /* rejects an outdated fencing token */
  bool reports_load;
  uint32_t slots;       /* concurrent calls, 0 when not announced */
  uint64_t incarnation; /* of the target's process */
  uint64_t sequence;    /* of its announcements within the incarnation */
  enum target_state state;
  int64_t lease_until; /* USEC; no new work after this, whatever its state */
  struct load_report report;
  uint32_t in_flight;           /* this host's attempts in progress on it.  Writer: flow.c */
  int64_t backoff_until;        /* it asked for no calls until then; 0: never.  Writer: flow.c */
  bool says_it_leaves;          /* in an answer, whatever its state.  Writer: flow.c */
  struct decide_target *decide; /* learned routing state.  Writer: decide.c */
  struct handle pool_handle;    /* none while the pool is not declared */
};

/* Pools, pipelines and organisations are written by config.c, one revision at a time. */
struct board_pool
{
  struct pool_spec spec;
  uint64_t revision;
};

struct board_pipeline
{
  struct pipeline_spec spec;
  uint64_t revision;
  struct handle pools[RESOURCE_STAGES_MAX]; /* of the stages */
};

struct board_organisation
{
  struct organisation_spec spec;
  uint64_t revision;
};

/* name */
#define BOARD_EVENT_LIST(X)                                                                        \
  X (TARGET_ADDED)                                                                                 \
  X (TARGET_CHANGED)                                                                               \
  X (TARGET_REMOVED) /* sent before the entry is removed */                                        \
  X (HOST_ADDED)                                                                                   \
  X (HOST_CHANGED)                                                                                 \
  X (CONFIG_CHANGED) /* a revision came into force; the handle is none */

enum board_event
{
#define X(name) BOARD_##name,
  BOARD_EVENT_LIST (X)
#undef X
      BOARD_EVENT_COUNT
};

struct board_subscriber
{
  const struct board_subscriber_ops *ops;
  struct board_subscriber *next;
};

struct board_subscriber_ops
{
  void (*changed) (struct board_subscriber *subscriber,
                   enum board_event event,
                   struct handle handle,
                   int64_t now);
};

struct board
{
  struct table *hosts;         /* struct board_host */
  struct table *targets;       /* struct board_target */
  struct table *pools;         /* struct board_pool */
  struct table *pipelines;     /* struct board_pipeline: services too */
  struct table *organisations; /* struct board_organisation */
  struct handle self;          /* our own entry in hosts */
  uint64_t revision;           /* of the configuration in force here.  Writer: config.c */
  int64_t confirmed_at; /* last confirmation by a quorum, USEC; 0: never.  Writer: config.c */
  bool config_ready;    /* a confirmed revision is in force: may serve.  Writer: config.c */
  bool targets_unknown; /* just started, target lists incomplete.  Writer: directory.c */
  bool leaving;         /* this host is shutting down.  Writer: drain.c */
  bool refusing;        /* new requests are rejected as not run.  Writer: drain.c */
  uint32_t requests_in_flight; /* Writer: flow.c */
  double load;                 /* of this host, 0 to 1.  Writer: flow.c */
  struct board_subscriber *subscribers;
};

/* Freed with `parent`.  NULL when out of memory. */
struct board *board_new (void *parent);
void board_subscribe (struct board *board, struct board_subscriber *subscriber);
void board_publish (struct board *board, enum board_event event, struct handle handle, int64_t now);

/* Look up by name; NULL when there is none.  `out` may be NULL. */
struct board_host *board_find_host (const struct board *board,
                                    const char *name,
                                    struct handle *out);
struct board_target *board_find_target (const struct board *board,
                                        const char *name,
                                        struct handle *out);
struct board_pool *board_find_pool (const struct board *board,
                                    const char *name,
                                    struct handle *out);
struct board_pipeline *board_find_pipeline (const struct board *board,
                                            const char *name,
                                            struct handle *out);
struct board_organisation *board_find_organisation (const struct board *board,
                                                    const char *name,
                                                    struct handle *out);

/* Could work be sent to this target, if it were not in backoff? */
static inline bool
board_target_is_alive (const struct board_target *target, int64_t now)
{
  return target->state == TARGET_READY && !target->says_it_leaves && now < target->lease_until;
}

/* May new work be sent to this target at `now`? */
static inline bool
board_target_is_usable (const struct board_target *target, int64_t now)
{
  return board_target_is_alive (target, now) && now >= target->backoff_until;
}

END_DECLS

#endif
