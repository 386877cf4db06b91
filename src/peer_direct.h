/* Peers named by their addresses: a name that is not known yet is where to connect. */
#ifndef PEER_DIRECT_H
#define PEER_DIRECT_H

#include "decls.h"
#include "peer.h"

BEGIN_DECLS

/* Over `port`, which it does not own.  For hosts that are told of no other host's name. */
struct peer_port *peer_direct_new (void *parent, struct peer_port *port);

END_DECLS

#endif
