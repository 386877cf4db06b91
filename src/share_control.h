/* Updates this host's share of each organisation's limits by leases from the coordinators. */
#ifndef SHARE_CONTROL_H
#define SHARE_CONTROL_H

#include "board.h"
#include "decide.h"
#include "decls.h"
#include "peer.h"
#include "timer.h"

BEGIN_DECLS

struct share_control;

struct share_control_config
{
  struct board *board;
  struct decide *decide;
  struct timer_service *timers;
  struct peer_port *port;
  int64_t now;
};

/* Listens on PEER_CHANNEL_LIMIT and arms its timer; freed with `parent`, before the timers. */
struct share_control *share_control_new (void *parent, const struct share_control_config *config);

END_DECLS

#endif
