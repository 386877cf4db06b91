/* Tables of entries in fixed-size chunks, so that growth never moves an entry. */
#include "table.h"
#include <string.h>
#include <talloc.h>

#define TABLE_CHUNK_ENTRIES 64
#define TABLE_NO_SLOT UINT32_MAX

struct table_slot
{
  uint32_t generation; /* of the current entry, or of the next one while the slot is free */
  uint32_t next_free;
  bool used;
};

struct table_chunk
{
  struct table_slot slots[TABLE_CHUNK_ENTRIES];
  char *entries;
};

struct table
{
  size_t entry_size;
  uint32_t max_entries;
  uint32_t n_slots; /* slots used at least once */
  uint32_t count;
  uint32_t first_free;
  struct table_chunk **chunks;
  uint32_t n_chunks;
};

static struct table_slot *
slot_at (const struct table *table, uint32_t index)
{
  return &table->chunks[index / TABLE_CHUNK_ENTRIES]->slots[index % TABLE_CHUNK_ENTRIES];
}

static void *
entry_at (const struct table *table, uint32_t index)
{
  char *entries = table->chunks[index / TABLE_CHUNK_ENTRIES]->entries;

  return entries + index % TABLE_CHUNK_ENTRIES * table->entry_size;
}

struct table *
table_new (void *parent, size_t entry_size, uint32_t max_entries)
{
  struct table *table = talloc_zero (parent, struct table);

  if (table == NULL)
    return NULL;
  table->entry_size = entry_size;
  table->max_entries = max_entries;
  table->first_free = TABLE_NO_SLOT;
  return table;
}

static bool
add_chunk (struct table *table)
{
  struct table_chunk **chunks;
  struct table_chunk *chunk;

  chunks = talloc_realloc (table, table->chunks, struct table_chunk *, table->n_chunks + 1);
  if (chunks == NULL)
    return false;
  table->chunks = chunks;
  chunk = talloc_zero (table, struct table_chunk);
  if (chunk == NULL)
    return false;
  chunk->entries = talloc_zero_size (chunk, TABLE_CHUNK_ENTRIES * table->entry_size);
  if (chunk->entries == NULL)
    {
      talloc_free (chunk);
      return false;
    }
  table->chunks[table->n_chunks++] = chunk;
  return true;
}

/* Allocates a slot and returns its index, TABLE_NO_SLOT when the table is full or out of memory. */
static uint32_t
allocate_slot (struct table *table)
{
  uint32_t index = table->first_free;

  if (index != TABLE_NO_SLOT)
    {
      table->first_free = slot_at (table, index)->next_free;
      return index;
    }
  if (table->n_slots == table->max_entries)
    return TABLE_NO_SLOT;
  if (table->n_slots == table->n_chunks * TABLE_CHUNK_ENTRIES && !add_chunk (table))
    return TABLE_NO_SLOT;
  index = table->n_slots++;
  slot_at (table, index)->generation = 1;
  return index;
}

void *
table_add (struct table *table, struct handle *out)
{
  uint32_t index = allocate_slot (table);
  struct table_slot *slot;
  void *entry;

  if (index == TABLE_NO_SLOT)
    return NULL;
  slot = slot_at (table, index);
  slot->used = true;
  table->count++;
  entry = entry_at (table, index);
  memset (entry, 0, table->entry_size);
  out->index = index;
  out->generation = slot->generation;
  return entry;
}

void *
table_get (const struct table *table, struct handle handle)
{
  const struct table_slot *slot;

  if (handle.generation == 0 || handle.index >= table->n_slots)
    return NULL;
  slot = slot_at (table, handle.index);
  if (!slot->used || slot->generation != handle.generation)
    return NULL;
  return entry_at (table, handle.index);
}

bool
table_remove (struct table *table, struct handle handle)
{
  struct table_slot *slot;

  if (table_get (table, handle) == NULL)
    return false;
  slot = slot_at (table, handle.index);
  slot->used = false;
  slot->generation++;
  if (slot->generation == 0)
    slot->generation = 1;
  slot->next_free = table->first_free;
  table->first_free = handle.index;
  table->count--;
  return true;
}

uint32_t
table_count (const struct table *table)
{
  return table->count;
}

void *
table_next (const struct table *table, uint32_t *cursor, struct handle *out)
{
  while (*cursor < table->n_slots)
    {
      uint32_t index = (*cursor)++;
      const struct table_slot *slot = slot_at (table, index);

      if (!slot->used)
        continue;
      if (out != NULL)
        {
          out->index = index;
          out->generation = slot->generation;
        }
      return entry_at (table, index);
    }
  return NULL;
}
