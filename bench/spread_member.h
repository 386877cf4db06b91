/* Instances of the product's membership protocol on the simulated network, and their views. */
#ifndef SPREAD_MEMBER_H
#define SPREAD_MEMBER_H

#include "board.h"
#include "decls.h"
#include "member.h"
#include "spread_net.h"
#include "spread_protocol.h"

BEGIN_DECLS

/* Host number i is named "host-iii"; the first three are the seeds of all hosts. */
struct spread_member
{
  struct spread_node node; /* first member */
  struct member_transport wire;
  struct board *board;
  struct counters *counters;
  struct member *member;
  struct handle seen[SPREAD_HOSTS_MAX]; /* board handles, cached */
};

struct spread_member *spread_member_new (void *parent,
                                         struct spread_net *net,
                                         uint32_t index,
                                         uint64_t incarnation);

/* State of host `about` in this instance's view; HOST_STATE_COUNT if unknown. */
enum host_state spread_member_host_state (struct spread_member *self, uint32_t about);

END_DECLS

#endif
