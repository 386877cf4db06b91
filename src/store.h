/* The resources: a deterministic state machine, its history, and who listens to its changes.
 *
 * On a voter the log feeds it through store_machine(); on a host that follows, config_follow.c
 * feeds it with the events a voter sends.  Either way every change is one revision. */
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
#define STORE_CHANGE_ID_KEEP_MS (3600 * INT64_C (1000))
#define STORE_HISTORY_EVENTS_MAX 4096
#define STORE_HISTORY_BYTES_MAX (4u << 20)

/* The same on every voter: they decide what the machine answers.  A zero takes the bound above. */
struct store_config
{
  uint32_t change_ids_max;
  size_t change_id_bytes_max;
  int64_t change_id_keep_ms;
  uint32_t history_events_max; /* of this host alone */
  size_t history_bytes_max;
};

struct store;
struct store_listener;

struct store_listener_ops
{
  /* After the change; the event is valid during the call. */
  void (*changed) (struct store_listener *listener, const struct store_event *event);

  /* Anything may have changed: read it all. */
  void (*replaced) (struct store_listener *listener);
};

struct store_listener
{
  const struct store_listener_ops *ops;
  struct store_listener *next;
};

/* Freed with `parent`.  NULL when memory is out. */
struct store *store_new (void *parent, const struct store_config *config);

/* Entries are packed `struct store_change`, results packed `struct store_answer`. */
struct machine *store_machine (struct store *store);

uint64_t store_revision (const struct store *store);
const struct store_object *store_find (const struct store *store,
                                       enum resource_kind kind,
                                       const char *name);

/* The first object whose name sorts after `name`, "" for the first of all. */
const struct store_object *store_after (const struct store *store,
                                        enum resource_kind kind,
                                        const char *name);
uint32_t store_count (const struct store *store, enum resource_kind kind);
const struct store_history *store_changes (const struct store *store);
void store_listen (struct store *store, struct store_listener *listener);
void store_unlisten (struct store *store, struct store_listener *listener);

/* A follower's side: the next change.  STATUS_CONFLICT when it is not the revision after ours. */
enum status store_follow (struct store *store, const struct store_event *event);

/* A follower's side: all objects anew, in any order, each as an event of its last revision.
 * STATUS_CONFLICT from the end, and nothing changed, when `revision` is older than ours. */
void store_replace_begin (struct store *store);
void store_replace_add (struct store *store, const struct store_event *event);
enum status store_replace_end (struct store *store, uint64_t revision);

json_t *store_describe (const struct store *store);

END_DECLS

#endif
