/* Instances of the product's membership on the driver, and the view that each has. */
#ifndef SPREAD_MEMBER_H
#define SPREAD_MEMBER_H

#include "board.h"
#include "decls.h"
#include "member.h"
#include "spread_net.h"
#include "spread_way.h"

BEGIN_DECLS

/* Host number i is named "host-iii"; the first three are everyone's seeds. */
struct spread_member
{
  struct spread_node node; /* first member */
  struct member_transport wire;
  struct board *board;
  struct counters *counters;
  struct member *member;
  struct handle seen[SPREAD_HOSTS_MAX]; /* places on the board, looked up once */
};

struct spread_member *spread_member_new (void *parent,
                                         struct spread_net *net,
                                         uint32_t index,
                                         uint64_t incarnation);

/* How the instance sees host `about`; HOST_STATE_COUNT when it does not know it. */
enum host_state spread_member_sees (struct spread_member *self, uint32_t about);

END_DECLS

#endif
