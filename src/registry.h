/* The registry of targets, and the merge of registrations received by several hosts.
 *
 * A target may send each renewal to a different host that accepts registrations; every such host
 * forwards it to all entry hosts.  The target's own sequence orders its registrations, so the merge
 * needs no leader.  Each start of a target is an incarnation, usually with a new identity; a target
 * that restarts with the same identity reports a later start time, and its sequence starts over. Of
 * two identities at one address, the one whose first announcement arrived later owns the address.
 *
 * No I/O and no clock: time is passed in. */
#ifndef REGISTRY_H
#define REGISTRY_H

#include "bytes.h"
#include "decls.h"
#include "pack.h"
#include "status.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

BEGIN_DECLS

#define REGISTRY_NAME_SIZE 64
#define REGISTRY_VERSION_SIZE 64

/* A target that is GONE or expired is kept for this long after its last renewal, so that a delayed
 * renewal does not bring it back. */
#define REGISTRY_RETENTION (60 * USEC_PER_SEC)

/* A target that stays cold for this much longer than was announced before counts as a change;
 * heartbeats that are late by less do not. */
#define REGISTRY_COLD_SLACK (250 * USEC_PER_MSEC)

/* name, text; within an incarnation the state only moves down this list */
#define REGISTRY_STATE_LIST(X)                                                                     \
  X (READY, "ready")                                                                               \
  X (LEAVING, "leaving")                                                                           \
  X (GONE, "gone")

enum registry_state
{
#define X(name, text) REGISTRY_##name,
  REGISTRY_STATE_LIST (X)
#undef X
      REGISTRY_STATE_COUNT
};

const char *registry_state_text (enum registry_state state);

/* A registration: the record that a target sends of itself. */
struct registry_registration
{
  char id[REGISTRY_NAME_SIZE];
  uint64_t started_unix_ms; /* of this incarnation, Unix milliseconds; 0: not reported */
  char pool[REGISTRY_NAME_SIZE];
  char address[REGISTRY_NAME_SIZE];
  char domain[REGISTRY_NAME_SIZE];
  enum registry_state state;
  uint64_t sequence; /* grows with each renewal of an incarnation */
  uint32_t slots;
  int64_t warmup_remaining; /* how much longer it is slow after its start, in microseconds; counts
                               from when the registration was received */

  /* Only the sequence, the state and the age are news; the rest repeats the registration held. */
  bool is_short;

  /* The version of the target's software: a name that is compared for equality only.  Records of
   * registrations (registry_write()) do not carry it; "" until it is known. */
  bool version_known;
  char version[REGISTRY_VERSION_SIZE];
};

/* The version of a target's software, which is sent apart from its record: hosts of releases that
 * know no versions cannot read a longer record. */
struct registry_version
{
  uint64_t id_hash;
  uint64_t started;  /* incarnation that has the version */
  uint64_t sequence; /* of a registration that named it */
  char name[REGISTRY_VERSION_SIZE];
};

/* A target as known to this host. */
struct registry_target
{
  struct registry_registration registration;
  uint64_t id_hash;          /* of its identity; short renewals carry it instead of the identity */
  uint64_t version_sequence; /* of the newest registration that named its version */
  int64_t other_version_until; /* it had another version, or may have had, up to then; 0: never */
  int64_t first_heard_at;
  int64_t last_heard_at;     /* time of its last renewal with any host, on this host's clock */
  int64_t cold_until;        /* it is cold up to then */
  int64_t cold_heard_at;     /* when the newest full registration was received */
  int64_t cold_answered_at;  /* request of the newest answer that named a cold time; 0: none */
  uint64_t cold_sequence;    /* of the newest full registration */
  int64_t cold_pushed_until; /* `cold_until` when it last counted as a change */
  uint64_t revision;         /* of the registry when more than a renewal last changed here */
  bool expired;              /* no renewal for a lease */
  bool evacuated;            /* its failure domain is evacuated: it gets no work */
  bool unconfirmed;          /* it is not known yet whether it is evacuated: it gets no work */
  int64_t restored_at;       /* when the last evacuation of its domain was reverted; 0: never */
  void *user;                /* state of the load balancer, owned by it */
  UT_hash_handle hh;
  UT_hash_handle hh_by_hash;
};

/* name */
#define REGISTRY_MERGE_RESULT_LIST(X)                                                              \
  X (NONE)  /* only a renewal */                                                                   \
  X (STALE) /* older than the registration held */                                                 \
  X (ADDED)                                                                                        \
  X (CHANGED) /* new state or incarnation, no longer expired, or cold anew or for longer */

enum registry_merge_result
{
#define X(name) REGISTRY_MERGE_##name,
  REGISTRY_MERGE_RESULT_LIST (X)
#undef X
      REGISTRY_MERGE_COUNT
};

struct registry
{
  struct registry_target *targets; /* by id */
  struct registry_target *by_hash; /* by id_hash */
  uint64_t revision;
};

/* Freed with `parent`. */
struct registry *registry_new (void *parent);
struct registry_target *registry_find (const struct registry *registry, const char *id);

/* Find a target by the hash of its identity. */
uint64_t registry_id_hash (const char *id);
struct registry_target *registry_find_by_hash (const struct registry *registry, uint64_t id_hash);

/* Merge a registration that was received `age` microseconds ago.  Sets `out` to its target, or to
 * NULL when out of memory. */
enum registry_merge_result registry_merge (struct registry *registry,
                                           const struct registry_registration *registration,
                                           int64_t age,
                                           int64_t now,
                                           struct registry_target **out);

/* Records an answer of the target to a request sent at `asked_at`: it is cold for `left` from now,
 * 0 if it is not. */
void registry_hear_cold (struct registry *registry,
                         struct registry_target *target,
                         int64_t left,
                         int64_t asked_at,
                         int64_t now);

/* The target said in an answer that this incarnation leaves; later renewals do not take that back.
 * Returns whether that is news. */
bool registry_hear_leaving (struct registry *registry, struct registry_target *target);

/* Merge the version of a target; a version of another incarnation is ignored. */
void registry_merge_version (struct registry *registry,
                             const struct registry_version *version,
                             int64_t now);

/* The one version of all targets that the pool has had for REGISTRY_RETENTION, or since the first
 * of them was heard of here; NULL if there is none, they had several, or one is not known. */
const char *registry_single_version (const struct registry *registry,
                                     const char *pool,
                                     int64_t now);

/* The target's version; NULL while it is not known. */
static inline const char *
registry_target_version (const struct registry_target *target)
{
  return target->registration.version_known ? target->registration.version : NULL;
}

/* Expire targets without a renewal for `lease`, and free those without one for REGISTRY_RETENTION
 * that have no `user`.  Returns the number newly expired. */
uint32_t registry_expire (struct registry *registry, int64_t lease, int64_t now);

/* Whether new work may be sent to the target. */
static inline bool
registry_target_is_usable (const struct registry_target *target)
{
  return target->registration.state == REGISTRY_READY && !target->expired && !target->evacuated
         && !target->unconfirmed;
}

/* How much longer the target is cold by its own word; 0 when it is not. */
static inline int64_t
registry_cold_left (const struct registry_target *target, int64_t now)
{
  return target->cold_until > now ? target->cold_until - now : 0;
}

void registry_write (const struct registry_target *target, int64_t now, struct bytes *out);

/* Reads a registration, without its version, and its age; false when it is malformed. */
bool registry_read (struct pack_reader *in,
                    struct registry_registration *registration,
                    int64_t *age);

/* The version of a target must be known. */
void registry_write_version (const struct registry_target *target, struct bytes *out);

/* False when it is malformed. */
bool registry_read_version (struct pack_reader *in, struct registry_version *version);

END_DECLS

#endif
