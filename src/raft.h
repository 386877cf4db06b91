/* Raft as a pure state machine: messages and time in, messages and things to store out.
 *
 * After Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
 * Ongaro's thesis (2014): pre-vote (9.6), membership changes one server at a time (4), leadership
 * transfer (3.10), read index and leases (6.4), writing to the leader's disk in parallel (10.2.1).
 *
 * The driver's contract, which the safety rests on:
 *   raft_poll() says what is new.  Messages in `early` may leave at once.  Everything in the ready
 *   that has to last (snapshot, term and vote, entries) is then stored and synced; only after that
 *   the messages in `late` leave and raft_synced() is called, by which this server's own copy and
 *   vote count.  Nothing else is called between raft_poll() and raft_synced().  A driver that
 *   cannot store calls raft_drop_unstored() where nothing was stored for want of room, and
 *   otherwise never calls raft again.
 */
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
  uint64_t id; /* random, made with the data folder; never 0 */
  uint64_t seed;
  int64_t heartbeat;
  int64_t election_min; /* nobody votes so soon after hearing a leader */
  int64_t election_max;
  uint32_t drift_ppm;     /* bound on how fast two hosts' clocks part, parts in a million */
  bool lease_reads;       /* off: every read asks a quorum */
  uint32_t batch_bytes;   /* entries in one message, but for a single larger one */
  uint32_t max_in_flight; /* messages with entries unacknowledged by one follower */
  uint32_t chunk_bytes;   /* of a snapshot */
};

/* What a restart finds on disk. */
struct raft_state
{
  uint64_t term;
  uint64_t vote; /* 0: none in this term */
};

struct raft_snapshot
{
  uint64_t index;
  uint64_t term;
  struct raft_members members; /* as of index */
  uint64_t length;             /* of the machine's state */
};

/* A snapshot received whole, to be stored and loaded before anything else of the ready. */
struct raft_install
{
  struct raft_snapshot snapshot;
  const void *data;
  bool keeps_log; /* our log goes on after it; else the log is emptied */
};

/* Reads confirmed by a quorum: done once the machine has applied `index`. */
struct raft_read
{
  uint64_t token;
  uint64_t index;
  bool ok; /* false: leadership was lost, ask the next leader */
};

struct raft_ready
{
  bool state_changed; /* store `state` */
  struct raft_state state;
  const struct raft_install *install;
  uint64_t first; /* store entries first..last, replacing any stored at or after `first` */
  uint64_t last;  /* nothing to store when last < first */
  struct raft_message **early;
  uint32_t n_early;
  struct raft_message **late;
  uint32_t n_late;
};

struct raft;

/* NULL when out of memory.  The log starts empty after `snapshot` (zeroed when there is none);
 * raft_restore_entry() then adds what the journal holds. */
struct raft *raft_new (void *parent,
                       const struct raft_options *options,
                       const struct raft_state *state,
                       const struct raft_snapshot *snapshot,
                       uint64_t base_index,
                       uint64_t base_term,
                       int64_t now);
enum status raft_restore_entry (struct raft *raft, const struct raft_entry *entry);

/* All entries were restored.  The only voter of a group has nobody to wait for and stands at once.
 */
void raft_restored (struct raft *raft, int64_t now);

/* The first entry of a new group; only on an empty log. */
enum status raft_bootstrap (struct raft *raft, const struct raft_members *members);

/* When raft_tick() is wanted next. */
int64_t raft_next (const struct raft *raft);
void raft_tick (struct raft *raft, int64_t now);

/* A message from another server.  Malformed content was refused by the decoder; what is left may
 * be old, doubled or out of order. */
void raft_step (struct raft *raft, const struct raft_message *message, int64_t now);

/* STATUS_NOT_LEADER or STATUS_TOO_LARGE; else the entry's place.  Copies `data`. */
enum status raft_propose (
    struct raft *raft, const void *data, size_t length, uint64_t *index, uint64_t *term);

/* Ask to read; the answer comes from raft_take_read().  STATUS_NOT_LEADER. */
enum status raft_read_request (struct raft *raft, uint64_t token, int64_t now);
bool raft_take_read (struct raft *raft, struct raft_read *out);

/* One change at a time: STATUS_AGAIN while the last is not committed, STATUS_CONFLICT when it does
 * not fit the current members, STATUS_UNAVAILABLE when the learner has not caught up. */
enum status raft_change_members (struct raft *raft, const struct raft_change *change);

/* Hand leadership to the voter `to`, 0 for the most advanced one, of several the one heard last.
 * STATUS_AGAIN while one is under way: it ends by itself when its receiver does not stand. */
enum status raft_transfer (struct raft *raft, uint64_t to, int64_t now);

/* On the leader: the other voters that were heard of late and have room are a quorum by themselves.
 */
bool raft_can_spare_leader (const struct raft *raft, int64_t now);

/* False when there is nothing to do.  Valid until the next call of raft_synced(). */
bool raft_poll (struct raft *raft, struct raft_ready *out, int64_t now);
void raft_synced (struct raft *raft, int64_t now);

/* The entries of the last ready could not be stored for want of room, and nothing of them was:
 * forget them, as a restart would.  A leader steps down: it must not number other entries alike. */
void raft_drop_unstored (struct raft *raft, int64_t now);

/* After that not even the term or the vote of the ready found room: it is given back whole, nothing
 * of it may be sent, and raft_synced() does not come. */
void raft_give_back (struct raft *raft, int64_t now);

/* While held, entries from a leader are not taken and it is told to wait. */
void raft_hold (struct raft *raft, bool hold);

/* Apply what lies between raft_applied() and raft_committed(), one at a time. */
const struct raft_entry *raft_next_committed (struct raft *raft);
void raft_applied_one (struct raft *raft);

/* A snapshot up to the applied index is stored; entries up to `keep_from` are forgotten. */
void raft_compacted (struct raft *raft, const struct raft_snapshot *snapshot, uint64_t keep_from);

/* Entries held in memory; NULL outside of them. */
const struct raft_entry *raft_entry_at (const struct raft *raft, uint64_t index);

uint64_t raft_id (const struct raft *raft);
uint64_t raft_term (const struct raft *raft);
enum raft_role raft_role (const struct raft *raft);
uint64_t raft_leader (const struct raft *raft);  /* 0: unknown */
int64_t raft_heard_at (const struct raft *raft); /* when a leader was last heard */
uint64_t raft_committed (const struct raft *raft);
uint64_t raft_applied (const struct raft *raft);
uint64_t raft_first (const struct raft *raft); /* first entry held in memory */
uint64_t raft_last (const struct raft *raft);
uint64_t raft_log_bytes (const struct raft *raft);
const struct raft_members *raft_member_set (const struct raft *raft);
bool raft_members_at (const struct raft *raft, uint64_t index, struct raft_members *out);
bool raft_lease_valid (const struct raft *raft, int64_t now);
const struct raft_snapshot *raft_last_snapshot (const struct raft *raft);

/* A leader proved that this server no longer holds entries it had acknowledged: its folder is older
 * than what it told the others.  It must stop for good. */
bool raft_lost_entries (const struct raft *raft);

/* What a leader knows of another member; false when there is none or this is no leader. */
struct raft_progress
{
  uint64_t match;
  int64_t heard_at; /* 0: not since this leader was elected */
  bool sending_snapshot;
};

bool raft_progress_of (const struct raft *raft, uint64_t id, struct raft_progress *out);

END_DECLS

#endif
