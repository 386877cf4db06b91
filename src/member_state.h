/* Internal structures of membership, shared by member.c (the view), member_report.c (reports of
 * other hosts), member_update.c (gossip) and member_probe.c (failure detection). */
#ifndef MEMBER_STATE_H
#define MEMBER_STATE_H

#include "member.h"
#include "member_wire.h"
#include "rng.h"
#include <uthash.h>

#define MEMBER_PROBE_PERIOD (500 * USEC_PER_MSEC)

/* Timeout of a direct probe, after which helpers are asked to probe.  Far above a round trip
 * between regions. */
#define MEMBER_DIRECT_TIMEOUT (300 * USEC_PER_MSEC)

/* Timeout of a whole probe, after which the host is suspected. */
#define MEMBER_PROBE_TIMEOUT (900 * USEC_PER_MSEC)

#define MEMBER_HELPERS 3
#define MEMBER_PROBES_MAX 4 /* concurrent */
#define MEMBER_RELAYS_MAX 64

/* An update about a host that is queued to be gossiped.  `sent` counts the copies. */
struct member_update
{
  bool waiting;
  bool record; /* the whole record, for receivers that do not know the host */
  uint32_t sent;
};

struct member_host
{
  UT_hash_handle hh; /* by name */
  char name[RESOURCE_NAME_SIZE];
  struct handle handle; /* on the board, where state and incarnation are */
  uint64_t sequence;
  uint64_t vitals_version;
  int64_t state_changed_at;  /* when its state changed in this view */
  int64_t suspect_until;     /* when a suspect becomes dead */
  int64_t next_suspect_ping; /* when to notify the suspect again of the suspicion */
  uint64_t probe_round;      /* probe round in which it was probed last, or added */
  bool local;                /* suspect or dead on this host's evidence alone; not gossiped */
  bool suspicion_gossiped;   /* suspected on a helper's evidence too; its death is gossiped */
  struct member_update state_update;
  struct member_update vitals_update;
  bool is_queued; /* in the list of hosts with queued updates */
  struct member_host *prev;
  struct member_host *next;
};

/* A probe made for another host. */
struct member_relay
{
  uint64_t number; /* of this host's ping, 0 for a free slot */
  uint64_t asker_number;
  char asker[RESOURCE_NAME_SIZE];
  char about[RESOURCE_NAME_SIZE];
  int64_t until;
};

struct member_probe
{
  uint64_t number; /* 0 for a free slot */
  char host[RESOURCE_NAME_SIZE];
  bool indirect;
  bool helper_answered;
  int64_t started;
};

struct member
{
  struct board *board;
  struct member_transport *transport;
  struct rng rng;
  struct member_host *hosts;
  struct member_host *self;
  struct member_host *queue; /* hosts with queued updates */
  struct member_seed seeds[MEMBER_SEEDS_MAX];
  uint32_t n_seeds;
  struct member_vitals vitals;   /* this host's, as sent in every message */
  struct member_vitals gossiped; /* this host's, as last gossiped */
  int64_t gossiped_at;
  uint64_t newest_revision; /* of any host */
  int64_t behind_since;     /* 0 while this host has the newest */
  uint64_t next_number;
  struct member_probe probes[MEMBER_PROBES_MAX];
  uint64_t round;
  struct member_relay relays[MEMBER_RELAYS_MAX];
  int64_t next_probe;
  int64_t next_gossip;
  int64_t next_check;
  int64_t next_join;
  int64_t join_interval;
  int64_t next_reach; /* join to a dead host or an unknown seed */
  int64_t differs_since;
  int64_t synced_at;
  bool cut_off;
  struct counter *messages_out;
  struct counter *bytes_out;
  struct counter *malformed;
  struct counter *suspicions;
  struct counter *deaths;
  struct counter *refutations;
};

/* member.c */
struct member_host *member_find (const struct member *member, const char *name);
struct board_host *member_board_entry (const struct member *member, const struct member_host *host);
bool member_state_is_present (enum host_state state); /* not dead and not left */
uint32_t member_count_present (const struct member *member);
struct member_host *member_add_host (struct member *member, const char *name, int64_t now);
void member_set_state (struct member *member,
                       struct member_host *host,
                       enum host_state state,
                       int64_t now);

/* Suspect a host after a failed probe.  `gossiped`: a helper answered and did not reach the host
 * either, so the suspicion is gossiped; else the fault may be this host's, and the suspicion is
 * kept local. */
void member_suspect (struct member *member, struct member_host *host, bool gossiped, int64_t now);

/* Update this host's vitals. */
void member_refresh_vitals (struct member *member, int64_t now);

/* member_report.c */
void member_apply (struct member *member,
                   const char *from,
                   const struct member_item *item,
                   int64_t now);

/* Return true when they were newer than the known ones. */
bool member_apply_vitals (struct member *member,
                          const char *name,
                          const struct member_vitals *vitals);

/* member_update.c */
void member_send (struct member *member,
                  const char *host,
                  enum member_kind kind,
                  uint64_t number,
                  const char *about);
void member_send_view (struct member *member,
                       const char *host,
                       enum member_kind kind,
                       bool records);
void member_send_record (struct member *member, const char *host, const struct member_host *about);
void member_queue_state (struct member *member, struct member_host *host, bool record);
void member_queue_vitals (struct member *member, struct member_host *host);
void member_dequeue (struct member *member, struct member_host *host);

/* Send this host's state to every present host, once. */
void member_broadcast_state (struct member *member);

/* Equal for equal views: the present hosts with their incarnations and flags. */
uint32_t member_digest (const struct member *member);

/* A random host that is alive or leaving, other than this one and `not_this`; NULL for none. */
const struct member_host *member_pick_random (struct member *member, const char *not_this);
void member_gossip (struct member *member, int64_t now);

/* member_probe.c */
void member_probe_tick (struct member *member, int64_t now);
void member_probe_message (struct member *member,
                           const char *from,
                           const struct member_head *head,
                           int64_t now);

#endif
