/* The follower side of the store: applies a voter's changes or replaces all objects. */
#include "store_private.h"
#include <talloc.h>

/* Set one object of `objects` to the state of the event. */
static struct store_object *
apply_event (struct store_objects *objects, const struct store_event *event)
{
  struct store_object *object = store_objects_find (objects, event->kind, event->name);

  if (object == NULL)
    object = store_objects_add (objects, event->kind, event->name);
  object->generation = event->generation;
  object->revision = event->revision;
  talloc_free (object->spec);
  talloc_free (object->status);
  object->spec = talloc_strdup (object, event->spec);
  object->status = event->status == NULL ? NULL : talloc_strdup (object, event->status);
  INVARIANT (object->spec != NULL);
  return object;
}

enum status
store_apply_event (struct store *store, const struct store_event *event)
{
  struct store_object *object;

  if (event->revision != store->revision + 1)
    return status_fail (STATUS_CONFLICT, "revision %llu does not follow the local revision %llu",
                        (unsigned long long) event->revision, (unsigned long long) store->revision);
  store->revision = event->revision;
  object = apply_event (&store->objects, event);
  store_publish (store, object, event->type);
  if (event->type == STORE_EVENT_DELETED)
    store_objects_remove (&store->objects, object);
  return STATUS_OK;
}

void
store_replace_begin (struct store *store)
{
  store_objects_clear (&store->incoming);
}

void
store_replace_add (struct store *store, const struct store_event *event)
{
  apply_event (&store->incoming, event);
}

enum status
store_replace_end (struct store *store, uint64_t revision)
{
  if (revision < store->revision)
    {
      store_objects_clear (&store->incoming);
      return status_fail (STATUS_CONFLICT,
                          "configuration at revision %llu is older than the local revision %llu",
                          (unsigned long long) revision, (unsigned long long) store->revision);
    }
  store_objects_clear (&store->objects);
  store->objects = store->incoming;
  store_objects_init (&store->incoming, store);
  store->revision = revision;
  store_publish_replaced (store);
  return STATUS_OK;
}
