/* Declarations shared by the files of raft. */
#ifndef RAFT_PRIVATE_H
#define RAFT_PRIVATE_H

#include "raft.h"
#include "raft_log.h"
#include "rng.h"

#define RAFT_ROUNDS 64        /* rounds whose send time is kept, for the lease */
#define RAFT_IN_FLIGHT_MAX 64 /* upper bound of max_in_flight */
#define RAFT_READS_MAX 65536  /* waiting reads */
#define RAFT_CONFIGS_MAX 64   /* member sets kept, of entries in memory and before */
#define RAFT_QUEUE_MAX 1024   /* messages not sent yet; the oldest counts as lost beyond that */

/* The most that slow storing adds to election timeouts. */
#define RAFT_STORE_TIME_MAX (10 * USEC_PER_SEC)

enum raft_peer_state
{
  PEER_PROBE,     /* the matching index is unknown: one message at a time */
  PEER_REPLICATE, /* entries are pipelined, up to max_in_flight messages */
  PEER_SNAPSHOT,  /* the entries it needs were discarded: chunks, one at a time */
};

/* Replication state of another member, on the leader. */
struct raft_peer
{
  uint64_t id;
  enum raft_peer_state state;
  uint64_t match;                         /* last index acknowledged as stored */
  uint64_t match_round;                   /* round at which `match` was acknowledged */
  uint64_t next;                          /* next index to send */
  uint64_t in_flight[RAFT_IN_FLIGHT_MAX]; /* last index of each unacknowledged message */
  uint32_t in_flight_first;
  uint32_t n_in_flight;
  uint64_t commit_sent;
  uint64_t round;          /* highest round echoed */
  int64_t heard_at;        /* last message received; 0: none since the election */
  bool probe_in_flight;    /* a probe is unanswered */
  bool heartbeat_due;      /* send a message in the next ready, even without entries */
  bool paused;             /* its disk is full: send no entries until the next heartbeat */
  uint64_t offset;         /* of the snapshot chunk to send */
  uint64_t snapshot_index; /* index of the snapshot being sent */
  bool chunk_in_flight;
};

struct raft_round
{
  uint64_t round;
  int64_t sent_at;
};

/* The members of the group from `index` on. */
struct raft_config_entry
{
  uint64_t index;
  struct raft_members members;
};

struct raft_pending_read
{
  uint64_t token;
  uint64_t index;
  uint64_t round; /* confirmed once a quorum echoed this round */
};

struct raft_incoming_snapshot
{
  uint64_t index;
  uint64_t term;
  uint64_t total;
  uint64_t leader_term;
  struct raft_members members;
  struct bytes data;
};

struct raft
{
  struct raft_options options;
  struct rng rng;
  enum raft_role role;
  struct raft_state state;
  struct raft_state stored_state; /* last state synced to disk */
  uint64_t leader;
  struct raft_log log;
  uint64_t commit;
  uint64_t applied;
  struct raft_snapshot snapshot; /* last stored snapshot */
  struct raft_config_entry configs[RAFT_CONFIGS_MAX];
  uint32_t n_configs;
  bool paused;
  bool lost_entries;

  int64_t heard_at;    /* last message from a leader; no vote before heard_at + election_min */
  int64_t election_at; /* start of the next election, unless a leader's message arrives first */

  /* candidate */
  uint64_t granted[RAFT_MEMBERS_MAX];
  uint32_t n_granted;
  bool by_transfer;

  /* leader */
  struct raft_peer peers[RAFT_MEMBERS_MAX];
  uint32_t n_peers;
  uint64_t round;
  struct raft_round rounds[RAFT_ROUNDS];
  int64_t heartbeat_at;
  int64_t quorum_sent_at; /* send time of quorum_round */
  uint64_t quorum_round;  /* latest round echoed by a quorum */
  int64_t elected_at;
  uint64_t first_index; /* no-op of this term: reads and changes wait for its commit */
  bool lease_released;  /* a transfer was started in this term */
  uint64_t transfer_to;
  int64_t transfer_until;
  bool transfer_sent;

  struct raft_pending_read *reads;
  uint32_t n_reads;
  struct raft_read *reads_done;
  uint32_t n_reads_done;
  uint32_t reads_taken;
  bool reads_need_round; /* some reads wait for a round that was not sent yet */

  struct raft_incoming_snapshot incoming;
  struct raft_install install; /* the complete snapshot, to be stored */
  bool install_ready;

  /* what is being stored */
  bool storing;
  int64_t storing_since;
  struct raft_state storing_state;
  uint64_t storing_last; /* last entry; lowered where the log is truncated meanwhile */
  bool storing_install;

  /* How long storing took lately: the longest, halved with each shorter one; us. */
  int64_t store_time;

  struct raft_message **out; /* not sent yet, in order */
  uint32_t n_out;
  struct raft_message **sent; /* returned by the last raft_poll() */
  uint32_t n_sent;
  struct raft_message *unsent; /* stands in for a message when out of memory; never sent */
};

/* raft.c */
struct raft_message *raft_send (struct raft *raft, enum raft_message_kind kind, uint64_t to);
bool raft_state_is_stored (const struct raft *raft);

/* Discards the entries from `from` on. */
void raft_truncate (struct raft *raft, uint64_t from);
enum status raft_append_local (struct raft *raft,
                               enum raft_entry_kind kind,
                               const void *data,
                               uint32_t length);

/* raft_election.c */
void raft_become_follower (struct raft *raft, uint64_t term, uint64_t leader, int64_t now);
void raft_set_first_election_time (struct raft *raft, int64_t now);
void raft_set_election_time (struct raft *raft, int64_t now);
void raft_campaign (struct raft *raft, bool pre_vote, bool transfer, int64_t now);
void raft_on_vote (struct raft *raft, const struct raft_message *m, int64_t now);
void raft_on_vote_reply (struct raft *raft, const struct raft_message *m, int64_t now);
void raft_on_timeout_now (struct raft *raft, const struct raft_message *m, int64_t now);
void raft_count_own_vote (struct raft *raft, int64_t now);
bool raft_refuses_vote (const struct raft *raft, const struct raft_message *m, int64_t now);

/* raft_replicate.c: leader */
void raft_become_leader (struct raft *raft, int64_t now);
void raft_tick_leader (struct raft *raft, int64_t now);
void raft_on_append_reply (struct raft *raft, const struct raft_message *m, int64_t now);
void raft_generate_appends (struct raft *raft, int64_t now);
void raft_advance_commit (struct raft *raft);
void raft_rebuild_peers (struct raft *raft);
struct raft_peer *raft_peer_find (struct raft *raft, uint64_t id);
void raft_peer_record_reply (struct raft *raft,
                             struct raft_peer *peer,
                             uint64_t round,
                             int64_t now);
void raft_new_round (struct raft *raft, int64_t now);
void raft_advance_transfer (struct raft *raft);

/* raft_follow.c: follower */
void raft_on_append (struct raft *raft, const struct raft_message *m, int64_t now);
void raft_on_lost (struct raft *raft, const struct raft_message *m);

/* raft_snapshot.c */
void raft_generate_chunk (struct raft *raft, struct raft_peer *peer);
void raft_start_snapshot (struct raft *raft, struct raft_peer *peer);
void raft_on_snapshot (struct raft *raft, const struct raft_message *m, int64_t now);
void raft_on_snapshot_reply (struct raft *raft, const struct raft_message *m, int64_t now);
void raft_finish_install (struct raft *raft);
bool raft_log_matches_snapshot (const struct raft *raft, const struct raft_snapshot *snapshot);

/* raft_read.c */
void raft_confirm_reads (struct raft *raft);
void raft_fail_reads (struct raft *raft);

/* raft_change.c */
void raft_configs_add (struct raft *raft, uint64_t index, const struct raft_members *members);
void raft_configs_truncate (struct raft *raft, uint64_t from);
void raft_configs_compact (struct raft *raft, uint64_t index);

static inline const struct raft_members *
raft_current_members (const struct raft *raft)
{
  return &raft->configs[raft->n_configs - 1].members;
}

#endif
