/* Tables of fixed-size entries addressed by generation-checked handles.
 *
 * The address of an entry is stable during its lifetime.  A handle to a removed entry resolves to
 * NULL even after its slot is reused, so events that arrive late have no effect. */
#ifndef TABLE_H
#define TABLE_H

#include "decls.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

struct handle
{
  uint32_t index;
  uint32_t generation; /* 0 is never valid */
};

struct table;

/* Handles packed into one word, for codecs and HTTP ids. */
static inline uint64_t
handle_pack (struct handle h)
{
  return (uint64_t) h.generation << 32 | h.index;
}

static inline struct handle
handle_unpack (uint64_t word)
{
  struct handle h = { .index = (uint32_t) word, .generation = (uint32_t) (word >> 32) };
  return h;
}

static inline bool
handle_equal (struct handle a, struct handle b)
{
  return a.index == b.index && a.generation == b.generation;
}

static inline bool
handle_is_none (struct handle h)
{
  return h.generation == 0;
}

/* A table of at most `max_entries` entries, freed with its talloc `parent`.  NULL when out of
 * memory. */
struct table *table_new (void *parent, size_t entry_size, uint32_t max_entries);

/* Adds a zeroed entry; NULL when the table is full or out of memory.  `out` receives its handle. */
void *table_add (struct table *table, struct handle *out);

/* The entry, or NULL when the handle is stale. */
void *table_get (const struct table *table, struct handle handle);

/* Removes the entry; false when the handle is stale. */
bool table_remove (struct table *table, struct handle handle);

uint32_t table_count (const struct table *table);

/* Iterates in slot order: start with `*cursor = 0`, stop at NULL.  The current entry may be removed
 * during the iteration. */
void *table_next (const struct table *table, uint32_t *cursor, struct handle *out);

END_DECLS

#endif
