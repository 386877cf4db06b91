/* Membership's own structures, shared by its parts: member.c (the view),
 * member_said.c (what others say of it), member_news.c (what is sent on, and to whom),
 * member_probe.c (who lives). */
#ifndef MEMBER_STATE_H
#define MEMBER_STATE_H

#include "member.h"
#include "member_wire.h"
#include "rng.h"
#include <uthash.h>

#define MEMBER_PERIOD (500 * USEC_PER_MSEC)

/* Of a direct probe, before others are asked to try.  Far above a round trip between regions. */
#define MEMBER_DIRECT (300 * USEC_PER_MSEC)

/* Of a probe in all, before the host is suspected. */
#define MEMBER_INDIRECT (900 * USEC_PER_MSEC)

#define MEMBER_HELPERS 3
#define MEMBER_PROBES 4 /* at one time */
#define MEMBER_RELAYS 64

/* News waiting to be sent on with a host's name.  `sent` counts the copies. */
struct member_news
{
  bool waiting;
  bool record; /* the whole record, for who does not know the host */
  uint32_t sent;
};

struct member_host
{
  UT_hash_handle hh; /* by name */
  char name[RESOURCE_NAME_SIZE];
  struct handle handle; /* on the board, where state and incarnation are */
  uint64_t sequence;
  uint64_t beat;
  int64_t state_at;      /* when its state changed here */
  int64_t suspect_until; /* a suspect is dead then */
  int64_t tell_at;       /* tell a suspect of ours again that it is one */
  uint64_t round;        /* of our probes, in which it had its turn or answered us */
  bool local;            /* suspect or dead on our evidence alone, told to nobody */
  bool accused;          /* by us, with a helper's evidence: its death is for us to tell */
  struct member_news state_news;
  struct member_news vitals_news;
  bool in_news; /* on the list of who has news */
  struct member_host *prev;
  struct member_host *next;
};

/* A probe that we make for another host. */
struct member_relay
{
  uint64_t number; /* of our own ping, 0 for a free place */
  uint64_t their_number;
  char asker[RESOURCE_NAME_SIZE];
  char about[RESOURCE_NAME_SIZE];
  int64_t until;
};

struct member_probe
{
  uint64_t number; /* 0 for a free place */
  char host[RESOURCE_NAME_SIZE];
  bool indirect;
  bool helper_heard;
  int64_t started;
};

struct member
{
  struct board *board;
  struct member_wire *wire;
  struct rng rng;
  struct member_host *hosts;
  struct member_host *self;
  struct member_host *news; /* hosts with news */
  struct member_seed seeds[MEMBER_SEEDS_MAX];
  uint32_t n_seeds;
  struct member_vitals vitals; /* ours, as last sent */
  struct member_vitals told;   /* ours, as last made news */
  int64_t told_at;
  uint64_t newest_revision; /* any host has */
  int64_t behind_since;     /* 0: we have the newest */
  uint64_t next_number;
  struct member_probe probes[MEMBER_PROBES];
  uint64_t round;
  struct member_relay relays[MEMBER_RELAYS];
  int64_t next_probe;
  int64_t next_gossip;
  int64_t next_check;
  int64_t next_join;
  int64_t join_span;
  int64_t next_reach; /* to a dead host or a seed */
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
struct board_host *member_board (const struct member *member, const struct member_host *host);
bool member_present (enum host_state state); /* not dead and not left */
uint32_t member_count_present (const struct member *member);
struct member_host *member_add_host (struct member *member, const char *name, int64_t now);
void member_set_state (struct member *member,
                       struct member_host *host,
                       enum host_state state,
                       int64_t now);

/* A probe failed.  `told`: a helper lives and did not reach the host either, so it is told to
 * others; else the fault may be ours, and the suspicion stays here. */
void member_suspect (struct member *member, struct member_host *host, bool told, int64_t now);

/* Bring our own vitals up to date. */
void member_refresh_vitals (struct member *member, int64_t now);

/* member_said.c */
void member_apply (struct member *member,
                   const char *from,
                   const struct member_item *item,
                   int64_t now);

/* True when they were newer than what was known. */
bool member_take_vitals (struct member *member,
                         const char *name,
                         const struct member_vitals *vitals);

/* member_news.c */
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
void member_make_news (struct member *member, struct member_host *host, bool record);
void member_make_vitals_news (struct member *member, struct member_host *host);
void member_forget_news (struct member *member, struct member_host *host);

/* Our own state to everyone, once. */
void member_tell_all (struct member *member);

/* Equal for equal views: who is here, with which incarnation and flags. */
uint32_t member_digest (const struct member *member);

/* One of the hosts alive or leaving by chance, but not the one named; NULL when there is none. */
const struct member_host *member_pick (struct member *member, const char *not_this);
void member_gossip (struct member *member, int64_t now);

/* member_probe.c */
void member_probe_tick (struct member *member, int64_t now);
void member_probe_message (struct member *member,
                           const char *from,
                           const struct member_head *head,
                           int64_t now);

#endif
