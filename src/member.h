/* Membership: which hosts exist, which of them are alive, and the record each publishes of itself.
 *
 * Each host probes one other host a period.  Before it suspects that host it has a few others probe
 * it too, so that one bad link does not make a host dead.  A suspect has time to refute.  Changes
 * are piggybacked on probes (Das, Gupta, Motivala: SWIM, DSN 2002; sending a suspicion to the
 * suspect itself and the extra gossip are of Dadgar, Phillips, Currey: Lifeguard, DSN-W 2018).  The
 * cost per host does not grow with the number of hosts.
 *
 * A host is the only writer of its own record, which is ordered by (incarnation, sequence); others
 * may only mark the record they know "suspect" or "dead".  Liveness depends on answers to probes,
 * never on socket errors, so a silent or one-way partition is detected like a crash.
 *
 * Membership acts on the board alone: time and the random seed are passed in, and messages are sent
 * through a vtable. */
#ifndef MEMBER_H
#define MEMBER_H

#include "board.h"
#include "counter.h"
#include "decls.h"
#include <jansson.h>
#include <stddef.h>

BEGIN_DECLS

#define MEMBER_SEEDS_MAX 32

/* A host to join through at the start. */
struct member_seed
{
  char name[RESOURCE_NAME_SIZE];
  char address[RESOURCE_ADDRESS_SIZE];
  char public_key[BOARD_KEY_SIZE]; /* "" for none */
};

struct member_transport
{
  const struct member_transport_ops *ops;
};

struct member_transport_ops
{
  void (*send) (struct member_transport *wire, const char *host, const void *data, size_t length);

  /* Called when a host is learned or changes its address or key.  `public_key` is "" for none. */
  void (*set_address) (struct member_transport *wire,
                       const char *host,
                       const char *address,
                       const char *public_key);
  void (*forget) (struct member_transport *wire, const char *host);
};

struct member_config
{
  struct board *board; /* this host's entry is added to it, and its `self` set */
  struct counters *counters;
  struct member_transport *transport;
  struct board_host self; /* this host's record: names, addresses, key, voter, incarnation */
  const struct member_seed *seeds;
  uint32_t n_seeds;
  uint64_t seed; /* of the random choices */
  int64_t now;
};

struct member;

struct member *member_new (void *parent, const struct member_config *config);

/* Handle a message from another host. */
void member_receive (
    struct member *member, const char *from, const void *data, size_t length, int64_t now);

/* Do what is due.  Return when to call again, in us. */
int64_t member_tick (struct member *member, int64_t now);

/* Announce that this host is shutting down, or has shut down: sent to every present host at once,
 * and gossiped. */
void member_announce_leaving (struct member *member, int64_t now);
void member_announce_left (struct member *member, int64_t now);

/* Whether this host reaches fewer than half of the hosts that it expects. */
bool member_is_cut_off (const struct member *member);

json_t *member_describe (const struct member *member, int64_t now);

END_DECLS

#endif
