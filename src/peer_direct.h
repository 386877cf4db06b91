/* Peer port whose host names are addresses: an unknown name is used as the address to connect
 * to. */
#ifndef PEER_DIRECT_H
#define PEER_DIRECT_H

#include "decls.h"
#include "peer.h"

BEGIN_DECLS

/* Wraps `port`, which it does not own.  For hosts that do not learn the names of other hosts. */
struct peer_port *peer_direct_new (void *parent, struct peer_port *port);

END_DECLS

#endif
