/* The resource store: a deterministic state machine, its change history and its listeners.
 *
 * On a voter the log applies entries through store_machine(); on a follower, config_follow.c
 * applies the events that a voter sends.  Either way every change is one revision. */
#ifndef STORE_H
#define STORE_H

#include "consensus.h"
#include "decls.h"
#include "store_entry.h"
#include "store_history.h"
#include "store_object.h"

BEGIN_DECLS

#define STORE_CHANGE_IDS_MAX 8192
#define STORE_CHANGE_ID_BYTES_MAX (8u << 20)
#define STORE_CHANGE_ID_RETENTION_MS (3600 * INT64_C (1000))
#define STORE_HISTORY_EVENTS_MAX 4096
#define STORE_HISTORY_BYTES_MAX (4u << 20)

/* Must be the same on every voter, since answers depend on them.  0 selects the bound above. */
struct store_config
{
  uint32_t change_ids_max;
  size_t change_id_bytes_max;
  int64_t change_id_retention_ms;
  uint32_t history_events_max; /* this and the next may differ between hosts */
  size_t history_bytes_max;
};

struct store;
struct store_listener;

struct store_listener_ops
{
  /* Called after a change; the event is valid during the call. */
  void (*changed) (struct store_listener *listener, const struct store_event *event);

  /* Any object may have changed: read all of them again. */
  void (*replaced) (struct store_listener *listener);
};

struct store_listener
{
  const struct store_listener_ops *ops;
  struct store_listener *next;
};

/* Freed with `parent`.  NULL when out of memory. */
struct store *store_new (void *parent, const struct store_config *config);

/* Entries are packed `struct store_change`, results packed `struct store_answer`. */
struct machine *store_machine (struct store *store);

uint64_t store_revision (const struct store *store);
const struct store_object *store_find (const struct store *store,
                                       enum resource_kind kind,
                                       const char *name);

/* The first object whose name sorts after `name`; "" gives the first of all. */
const struct store_object *store_next (const struct store *store,
                                       enum resource_kind kind,
                                       const char *name);
uint32_t store_count (const struct store *store, enum resource_kind kind);
const struct store_history *store_get_history (const struct store *store);
void store_add_listener (struct store *store, struct store_listener *listener);
void store_remove_listener (struct store *store, struct store_listener *listener);

/* Follower: apply the next change.  STATUS_CONFLICT when it is not the revision after the current
 * one. */
enum status store_apply_event (struct store *store, const struct store_event *event);

/* Follower: replace all objects, added in any order, each as an event of its last revision.
 * store_replace_end() returns STATUS_CONFLICT, and changes nothing, when `revision` is older than
 * the current one. */
void store_replace_begin (struct store *store);
void store_replace_add (struct store *store, const struct store_event *event);
enum status store_replace_end (struct store *store, uint64_t revision);

json_t *store_describe (const struct store *store);

END_DECLS

#endif
