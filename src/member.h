/* Membership: which hosts there are, which of them live, and what each says of itself.
 *
 * Each host probes one other a period and asks a few more to probe it before it suspects it, so
 * that one bad link condemns nobody; a suspect has time to refute; changes ride on the probes
 * (Das, Gupta, Motivala: SWIM, DSN 2002, with the self-targeted suspicion and the extra gossip of
 * Dadgar, Phillips, Currey: Lifeguard, DSN-W 2018).  Cost per host does not grow with the hosts.
 *
 * A host is the only writer of its own record, ordered by (incarnation, sequence); others may only
 * add "suspect" and "dead" to the words they know.  Everything rests on answers to probes, never on
 * a socket's error, so a silent or one-way partition is noticed like a death.
 *
 * Pure over the board: time and the seed are passed in, messages go out through a vtable. */
#ifndef MEMBER_H
#define MEMBER_H

#include "board.h"
#include "counter.h"
#include "decls.h"
#include <jansson.h>
#include <stddef.h>

BEGIN_DECLS

#define MEMBER_SEEDS_MAX 32

/* A host to ask at the start. */
struct member_seed
{
  char name[RESOURCE_NAME_SIZE];
  char address[RESOURCE_ADDRESS_SIZE];
  char public_key[BOARD_KEY_SIZE]; /* "" for none */
};

struct member_wire
{
  const struct member_wire_ops *ops;
};

struct member_wire_ops
{
  void (*send) (struct member_wire *wire, const char *host, const void *data, size_t length);

  /* A host was learned, or says another address.  `public_key` is "" for none. */
  void (*set_address) (struct member_wire *wire,
                       const char *host,
                       const char *address,
                       const char *public_key);
  void (*forget) (struct member_wire *wire, const char *host);
};

struct member_config
{
  struct board *board; /* our own entry is added; `self` is set */
  struct counters *counters;
  struct member_wire *wire;
  struct board_host self; /* what we say of ourselves: names, addresses, key, voter, incarnation */
  const struct member_seed *seeds;
  uint32_t n_seeds;
  uint64_t seed; /* of the random choices */
  int64_t now;
};

struct member;

struct member *member_new (void *parent, const struct member_config *config);

/* A message of another host. */
void member_receive (
    struct member *member, const char *from, const void *data, size_t length, int64_t now);

/* Does what is due; when to call again. */
int64_t member_tick (struct member *member, int64_t now);

/* We are shutting down, or have ended; told to everyone at once and spread as news besides. */
void member_leave (struct member *member, int64_t now);
void member_left (struct member *member, int64_t now);

/* We reach less than half of the hosts that should be there. */
bool member_cut_off (const struct member *member);

json_t *member_describe (const struct member *member, int64_t now);

END_DECLS

#endif
