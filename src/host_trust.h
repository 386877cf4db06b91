/* Public keys of peers from host resources, in addition to the keys pinned in the settings.
 *
 * A changed key is trusted in addition to the previous one, so that a host can change its key
 * without downtime.  Deleting a resource revokes all keys of its host, on each host as soon as that
 * revision is applied there. */
#ifndef HOST_TRUST_H
#define HOST_TRUST_H

#include "decls.h"
#include "peer.h"
#include "store.h"

BEGIN_DECLS

struct host_trust;

/* NULL when out of memory.  Listens to the store until either is freed. */
struct host_trust *host_trust_new (void *parent,
                                   struct store *store,
                                   struct peer_port *port,
                                   const char *self);

END_DECLS

#endif
