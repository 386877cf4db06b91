/* The most recent changes, for watches and followers: bounded, the oldest is dropped first.
 *
 * Not part of a snapshot: a host that restarts has the history since its snapshot, and answers
 * older watches with "too old: list again". */
#ifndef STORE_HISTORY_H
#define STORE_HISTORY_H

#include "bytes.h"
#include "decls.h"
#include "resource.h"
#include "status.h"
#include "store_pack.h"

BEGIN_DECLS

/* name, text in watch events */
#define STORE_EVENT_LIST(X)                                                                        \
  X (ADDED, "ADDED")                                                                               \
  X (MODIFIED, "MODIFIED")                                                                         \
  X (DELETED, "DELETED")

enum store_event_type
{
#define X(name, text) STORE_EVENT_##name,
  STORE_EVENT_LIST (X)
#undef X
      STORE_EVENT_COUNT
};

const char *store_event_text (enum store_event_type type);

/* One change: the object after it (for a deleted object, its last state). */
struct store_event
{
  uint64_t revision;
  enum store_event_type type;
  enum resource_kind kind;
  char name[RESOURCE_NAME_SIZE];
  uint64_t generation;
  const char *spec;
  const char *status; /* NULL for none */
};

void store_event_pack (const struct store_event *event, struct bytes *out);

/* The texts are allocated under `parent`. */
enum status store_event_unpack (struct store_event *event, struct pack_reader *in, void *parent);

/* Write the object as JSON for a watch. */
void store_event_write (const struct store_event *event, struct bytes *out);

struct store_history;

struct store_history *store_history_new (void *parent, uint32_t events_max, size_t bytes_max);

/* Copy the event; its revision must be the last one plus 1. */
void store_history_add (struct store_history *history, const struct store_event *event);

/* Drop all events; the next one follows `revision`. */
void store_history_reset (struct store_history *history, uint64_t revision);

/* The change after `revision`; NULL when there is none yet.  STATUS_EXPIRED when it was already
 * dropped. */
enum status store_history_next (const struct store_history *history,
                                uint64_t revision,
                                const struct store_event **out);

/* The oldest revision that a watch can resume from. */
uint64_t store_history_oldest (const struct store_history *history);

END_DECLS

#endif
