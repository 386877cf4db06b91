/* Declarations shared by the files of the voter. */
#ifndef CONSENSUS_VOTER_PRIVATE_H
#define CONSENSUS_VOTER_PRIVATE_H

#include "consensus_client.h"
#include "consensus_request.h"
#include "consensus_voter.h"
#include "journal.h"
#include "rng.h"

#define VOTER_CONTACTS_MAX 32
#define VOTER_HEALTH_SIZE 256

/* A server that has sent a message: its host, and its latest start. */
struct voter_contact
{
  uint64_t id;
  uint64_t group;
  uint64_t starts;
  int64_t heard_at;
  int64_t hello_at; /* when it last sent a hello as waiting to be added; 0: never */
  char name[RESOURCE_NAME_SIZE];
};

/* A proposal of this host in the log. */
struct voter_pending
{
  uint64_t index;
  uint64_t term;
  uint64_t request;
};

struct voter_store;

struct consensus_voter
{
  struct consensus consensus;
  struct consensus_voter_config config;
  struct peer_listener consensus_listener;
  struct peer_listener proposal_listener;
  struct timer flush_timer;       /* runs the flush once per event loop iteration */
  struct timer tick_timer;        /* at raft_next_tick_at() */
  struct timer maintenance_timer; /* group formation, free space, repair */
  struct timer stall_timer;       /* the store under way takes long */
  struct rng rng;
  char name[RESOURCE_NAME_SIZE];
  char initial_voters[CLIENT_HOSTS_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_initial_voters;

  struct raft *raft;
  void *storage; /* talloc parent of what the disk worker uses; none itself */
  struct journal *journal;
  struct voter_store *store; /* under way; NULL: none */
  struct raft_ready ready;   /* to be stored */
  bool has_ready;
  bool is_installed;      /* the snapshot of the ready is stored */
  bool identity_unstored; /* the group was joined */
  bool is_stalled;        /* the store under way was logged as taking long */
  uint64_t journal_size;  /* bytes, after the last store */
  struct journal_identity identity;
  enum status health;
  char health_message[VOTER_HEALTH_SIZE];
  bool low_space;     /* proposals are refused */
  bool vote_unstored; /* the vote could not be stored: disk full */
  bool was_leader;    /* was leader at the end of the last flush */
  int64_t role_changed_at;
  int64_t snapshot_retry_at;
  int64_t hello_at; /* when to send the next hello, while waiting to be added to a group */
  int64_t lost_identity_hello_at; /* when to answer the next message to an identity that was lost */

  /* As last logged. */
  uint64_t logged_leader;
  uint64_t logged_term;
  uint64_t logged_members; /* a hash */

  bool reads_waiting; /* some reads wait until their index is applied */
  struct requests requests;
  struct client client;
  struct voter_pending *pending; /* starts at pending_first; ordered by index */
  uint32_t pending_first;
  uint32_t n_pending;

  struct voter_contact contacts[VOTER_CONTACTS_MAX];
  uint32_t n_contacts;

  struct counter *applied_entries;
  struct counter *syncs;
  struct counter *snapshots;
  struct counter *term_gauge;
  struct counter *leader_gauge;
  struct counter *health_gauge;
  struct counter *stalled_gauge;
  struct histogram *store_time;
  struct histogram *store_wait;
};

/* consensus_voter.c */
void voter_stop (struct consensus_voter *self, enum status status, const char *what, int64_t now);
bool voter_has_leadership (const struct consensus_voter *self);
void voter_schedule_flush (struct consensus_voter *self, int64_t now);

/* The local state machine may answer reads: it applies what is committed. */
bool voter_can_read (const struct consensus_voter *self);
const char *voter_leader_name (const struct consensus_voter *self);

/* consensus_route.c */
extern const struct requests_ops voter_requests_ops;

/* Whether the leader's disk takes more entries: STATUS_DISK_FULL, STATUS_LIMIT. */
enum status voter_check_disk (const struct consensus_voter *self);
void voter_route_request (struct consensus_voter *self, struct request *request, int64_t now);
void voter_role_changed (struct consensus_voter *self, int64_t now);

/* consensus_open.c */
enum status voter_restore (struct consensus_voter *self, int64_t now);

/* consensus_store.c */

/* Stores the ready that waits, unless a store is under way. */
void voter_store_ready (struct consensus_voter *self, int64_t now);
void voter_snapshot_if_due (struct consensus_voter *self, int64_t now);

/* Frees what is stored with, unless the worker still uses it. */
void voter_release_storage (struct consensus_voter *self);
extern const struct timer_ops voter_stall_ops;

/* consensus_flush.c */
void voter_flush (struct consensus_voter *self, int64_t now);

/* consensus_peer.c */
void voter_listen (struct consensus_voter *self);
void voter_send (struct consensus_voter *self, const struct raft_message *message);
void voter_send_hello (struct consensus_voter *self,
                       const char *host,
                       bool wants_reply,
                       int64_t now);
const struct voter_contact *voter_contact_by_id (const struct consensus_voter *self, uint64_t id);

/* consensus_form.c */
enum status voter_join_group (struct consensus_voter *self, uint64_t group);
void voter_form_or_join (struct consensus_voter *self, int64_t now);

/* No leader sends to this host: it may have to be added to the group. */
bool voter_is_joining (const struct consensus_voter *self, int64_t now);

/* consensus_repair.c */
void voter_repair_group (struct consensus_voter *self, int64_t now);

#endif
