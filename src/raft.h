/* Raft as a pure state machine: the inputs are messages and time, the outputs are messages and
 * state to store.
 *
 * After Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
 * Ongaro's thesis (2014): pre-vote (9.6), membership changes one server at a time (4), leadership
 * transfer (3.10), read index and leases (6.4), writing to the leader's disk in parallel
 * (10.2.1).
 *
 * Safety depends on the driver following this contract.  raft_poll() returns a ready: messages to
 * send, none of which promises anything that is not durable yet, and what is to become durable
 * (snapshot, term and vote, entries).  The driver stores and syncs the latter and then calls
 * raft_synced(), which makes this server's own copy and vote count and lets the messages go that
 * depend on it.  Until then raft_poll() returns messages alone, and all other functions may be
 * called: a disk that stalls delays what has to be stored, and nothing else.  A driver that cannot
 * store for lack of space and stored nothing calls raft_discard_unstored() or raft_discard_ready();
 * on any other failure it never calls raft again. */
#ifndef RAFT_H
#define RAFT_H

#include "bytes.h"
#include "decls.h"
#include "raft_config.h"
#include "raft_message.h"
#include "status.h"
#include "usec.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

/* name, text */
#define RAFT_ROLE_LIST(X)                                                                          \
  X (FOLLOWER, "follower")                                                                         \
  X (PRE_CANDIDATE, "pre-candidate")                                                               \
  X (CANDIDATE, "candidate")                                                                       \
  X (LEADER, "leader")

enum raft_role
{
#define X(name, text) RAFT_##name,
  RAFT_ROLE_LIST (X)
#undef X
      RAFT_ROLE_COUNT
};

const char *raft_role_text (enum raft_role role);

struct raft_options
{
  uint64_t id; /* random, created with the data folder; never 0 */
  uint64_t seed;
  int64_t heartbeat;
  int64_t election_min; /* no server votes within this time after hearing a leader */
  int64_t election_max;
  uint32_t drift_ppm;     /* maximum clock drift of a host, parts per million */
  bool lease_reads;       /* off: every read is confirmed by a quorum */
  uint32_t batch_bytes;   /* of entries in one message; a single larger entry is sent alone */
  uint32_t max_in_flight; /* messages with entries not acknowledged by one follower */
  uint32_t chunk_bytes;   /* of a snapshot */
};

/* The persistent state, as read at a restart. */
struct raft_state
{
  uint64_t term;
  uint64_t vote; /* id voted for; 0: none in this term */
};

struct raft_snapshot
{
  uint64_t index;
  uint64_t term;
  struct raft_members members; /* as of index */
  uint64_t length;             /* bytes of the state machine's state */
};

/* A completely received snapshot, to be stored and loaded before the rest of the ready. */
struct raft_install
{
  struct raft_snapshot snapshot;
  const void *data;
  bool keeps_log; /* the log continues after it; else the log is cleared */
};

/* A read confirmed by a quorum, done once the state machine has applied `index`. */
struct raft_read
{
  uint64_t token;
  uint64_t index;
  bool ok; /* false: leadership was lost, retry at the next leader */
};

struct raft_ready
{
  struct raft_message **messages; /* to send now; valid until the next raft_poll() */
  uint32_t n_messages;
  bool stores;        /* the following is to be stored, then raft_synced() called */
  bool state_changed; /* store `state` */
  struct raft_state state;
  const struct raft_install *install; /* valid until raft_synced() or raft_discard_unstored() */
  uint64_t first; /* store entries first..last, replacing any stored at or after `first` */
  uint64_t last;  /* no entry to store when last < first */
};

struct raft;

/* NULL when out of memory.  The log starts empty after base_index, which is at or before the index
 * of `snapshot` (zeroed when there is none); raft_restore_entry() then adds the entries of the
 * journal. */
struct raft *raft_new (void *parent,
                       const struct raft_options *options,
                       const struct raft_state *state,
                       const struct raft_snapshot *snapshot,
                       uint64_t base_index,
                       uint64_t base_term,
                       int64_t now);
enum status raft_restore_entry (struct raft *raft, const struct raft_entry *entry);

/* Finish the restore.  The only voter of a group starts its election at once. */
void raft_restored (struct raft *raft, int64_t now);

/* Append the first entry of a new group, its members; only on an empty log. */
enum status raft_bootstrap (struct raft *raft, const struct raft_members *members);

/* Time of the next raft_tick(); USEC_NEVER for none. */
int64_t raft_next_tick_at (const struct raft *raft);
void raft_tick (struct raft *raft, int64_t now);

/* Process a message from another server.  The decoder has rejected malformed content; the message
 * may still be old, duplicated or out of order. */
void raft_step (struct raft *raft, const struct raft_message *message, int64_t now);

/* Append an entry, copying `data`, and return its index and term.  STATUS_NOT_LEADER,
 * STATUS_TOO_LARGE, STATUS_NO_MEMORY. */
enum status raft_propose (
    struct raft *raft, const void *data, size_t length, uint64_t *index, uint64_t *term);

/* Request a read; the result is returned by raft_pop_read().  STATUS_NOT_LEADER, STATUS_LIMIT,
 * STATUS_NO_MEMORY. */
enum status raft_read_request (struct raft *raft, uint64_t token, int64_t now);
bool raft_pop_read (struct raft *raft, struct raft_read *out);

/* One change at a time: STATUS_AGAIN while the last one is not committed, STATUS_CONFLICT when it
 * does not fit the current members, STATUS_UNAVAILABLE when the learner has not caught up. */
enum status raft_change_members (struct raft *raft, const struct raft_change *change);

/* Transfer leadership to the voter `to`; 0 selects the most advanced one, and among equals the one
 * whose last message is the newest.  STATUS_AGAIN while a transfer is in progress; it is abandoned
 * after election_max when the receiver starts no election.  STATUS_UNAVAILABLE when no such voter
 * has sent a message recently. */
enum status raft_transfer (struct raft *raft, uint64_t to, int64_t now);

/* On the leader: the other voters that sent a message recently and have disk space form a quorum
 * without it. */
bool raft_has_quorum_without_leader (const struct raft *raft, int64_t now);

/* The next ready.  False when there is nothing to do. */
bool raft_poll (struct raft *raft, struct raft_ready *out, int64_t now);

/* What the last ready with `stores` named is durable. */
void raft_synced (struct raft *raft, int64_t now);

/* Called in place of raft_synced() when the snapshot or entries of a ready could not be stored
 * because the disk is full, and none was: discards them and all later ones, as a restart would.  A
 * leader steps down, since it must not assign the same indices to other entries in its term.  The
 * next ready has the term and vote alone. */
void raft_discard_unstored (struct raft *raft, int64_t now);

/* Called in place of raft_synced() when not even the term and vote of a ready could be stored:
 * returns to those stored before.  No message that depends on them was sent. */
void raft_discard_ready (struct raft *raft, int64_t now);

/* Bytes of entries that are not durable yet. */
uint64_t raft_unstored_bytes (const struct raft *raft);

/* While paused, entries from a leader are refused with a reply that makes it wait. */
void raft_set_paused (struct raft *raft, bool paused);

/* Returns the next entry to apply, NULL when all committed and stored entries are applied;
 * raft_mark_applied() follows each. */
const struct raft_entry *raft_next_committed (struct raft *raft);
void raft_mark_applied (struct raft *raft);

/* A snapshot at `snapshot->index`, at most the applied index, is stored; discard entries up to
 * `keep_from`. */
void raft_compact_log (struct raft *raft, const struct raft_snapshot *snapshot, uint64_t keep_from);

/* The entry at `index`; NULL when it is not in memory. */
const struct raft_entry *raft_entry_at (const struct raft *raft, uint64_t index);

uint64_t raft_id (const struct raft *raft);
uint64_t raft_term (const struct raft *raft);
enum raft_role raft_role (const struct raft *raft);
uint64_t raft_leader (const struct raft *raft);         /* 0: unknown */
int64_t raft_leader_heard_at (const struct raft *raft); /* time of the last message from a leader */
uint64_t raft_committed (const struct raft *raft);
uint64_t raft_applied (const struct raft *raft);
uint64_t raft_first (const struct raft *raft); /* first entry held in memory */
uint64_t raft_last (const struct raft *raft);
uint64_t raft_log_bytes (const struct raft *raft);
const struct raft_members *raft_get_members (const struct raft *raft);
bool raft_members_at (const struct raft *raft, uint64_t index, struct raft_members *out);
bool raft_lease_valid (const struct raft *raft, int64_t now);
const struct raft_snapshot *raft_last_snapshot (const struct raft *raft);

/* The leader proved that this server no longer holds entries that it acknowledged: its data folder
 * is older than its acknowledgements.  It must stop for good. */
bool raft_has_lost_entries (const struct raft *raft);

/* Replication progress of another member. */
struct raft_progress
{
  uint64_t match;
  int64_t heard_at; /* 0: not since this server was elected */
  bool sending_snapshot;
};

bool raft_progress_of (const struct raft *raft, uint64_t id, struct raft_progress *out);

END_DECLS

#endif
