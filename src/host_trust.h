/* Peers' keys as host resources declare them, beside those that the settings pin.
 *
 * A changed key is taken beside the one before it, so that a host may change keys without a stop; a
 * deleted resource revokes every key of its host, on each host as soon as the revision is there. */
#ifndef HOST_TRUST_H
#define HOST_TRUST_H

#include "decls.h"
#include "peer.h"
#include "store.h"

BEGIN_DECLS

struct host_trust;

/* NULL when out of memory.  Listens to the store for as long as both live. */
struct host_trust *host_trust_new (void *parent,
                                   struct store *store,
                                   struct peer_port *port,
                                   const char *self);

END_DECLS

#endif
