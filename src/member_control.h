/* Membership on the process's loop: the peer channel, the timer and the addresses of peers. */
#ifndef MEMBER_CONTROL_H
#define MEMBER_CONTROL_H

#include "decls.h"
#include "dump.h"
#include "member.h"
#include "peer.h"
#include "timer.h"

BEGIN_DECLS

struct member_control_config
{
  struct board *board;
  struct counters *counters;
  struct peer_port *port;
  struct timer_service *timers;
  struct dump *dump; /* NULL for none */
  struct board_host self;
  const struct member_seed *seeds;
  uint32_t n_seeds;
  uint64_t seed;
  int64_t now;
};

struct member_control;

/* NULL when out of memory. */
struct member_control *member_control_new (void *parent,
                                           const struct member_control_config *config);

struct member *member_control_member (struct member_control *control);

END_DECLS

#endif
