/* The hosts that hold replicas of bindings, by the lists of hosts and controllers that an entry
 * host has. */
#ifndef BINDING_PEERS_H
#define BINDING_PEERS_H

#include "binding_store.h"
#include "decls.h"
#include "subscriber.h"

BEGIN_DECLS

struct binding_peers_view
{
  struct binding_peers peers; /* must be first: cast to binding_peers_view */
  struct subscriber *subscriber;
  const char *self; /* name of this host in the lists */
};

void binding_peers_init (struct binding_peers_view *view,
                         struct subscriber *subscriber,
                         const char *self);

END_DECLS

#endif
