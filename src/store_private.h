/* What the machine and the follower's side of the store share. */
#ifndef STORE_PRIVATE_H
#define STORE_PRIVATE_H

#include "store.h"
#include "store_clock.h"
#include "store_ids.h"

struct store
{
  struct machine machine;
  struct store_config config;
  struct store_objects objects;
  struct store_objects incoming; /* between store_replace_begin() and _end() */
  struct store_clock clock;
  struct store_ids *ids;
  struct store_history *history;
  uint64_t revision;
  uint64_t fence; /* the last fencing number given out */
  struct store_listener *listeners;
};

/* Put the object's change, at the store's revision, into the history and tell the listeners. */
void store_publish (struct store *store,
                    const struct store_object *object,
                    enum store_event_type type);

/* Begin the history anew, and tell the listeners that anything may have changed. */
void store_publish_all (struct store *store);

#endif
