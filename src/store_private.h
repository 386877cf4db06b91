/* Declarations shared by the state machine and the follower side of the store. */
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
  struct store_objects incoming; /* filled between store_replace_begin() and store_replace_end() */
  struct store_clock clock;
  struct store_ids *ids;
  struct store_history *history;
  uint64_t revision;
  uint64_t fence; /* the last fencing number issued */
  struct store_listener *listeners;
};

/* Add the object's change, at the store's revision, to the history and notify the listeners. */
void store_publish (struct store *store,
                    const struct store_object *object,
                    enum store_event_type type);

/* Reset the history and notify the listeners that any object may have changed. */
void store_publish_replaced (struct store *store);

#endif
