/* The part of the log held in memory. */
#include "raft_log.h"
#include <string.h>
#include <talloc.h>

#define INITIAL_CAPACITY 64

void
raft_log_init (struct raft_log *log, uint64_t base_index, uint64_t base_term)
{
  *log = (struct raft_log){
    .base_index = base_index,
    .base_term = base_term,
    .stored = base_index,
  };
}

const struct raft_entry *
raft_log_at (const struct raft_log *log, uint64_t index)
{
  if (index <= log->base_index || index > raft_log_last (log))
    return NULL;
  return &log->entries[index - log->base_index - 1];
}

bool
raft_log_term (const struct raft_log *log, uint64_t index, uint64_t *term)
{
  const struct raft_entry *entry = raft_log_at (log, index);

  if (entry != NULL)
    *term = entry->term;
  else if (index == log->base_index)
    *term = log->base_term;
  else
    return false;
  return true;
}

uint64_t
raft_log_last_term (const struct raft_log *log)
{
  return log->count == 0 ? log->base_term : log->entries[log->count - 1].term;
}

enum status
raft_log_append (void *parent,
                 struct raft_log *log,
                 uint64_t term,
                 enum raft_entry_kind kind,
                 const void *data,
                 uint32_t length)
{
  struct raft_entry *entry;
  void *copy;

  if (log->count == log->capacity)
    {
      uint32_t capacity = log->capacity == 0 ? INITIAL_CAPACITY : log->capacity * 2;
      struct raft_entry *entries =
          talloc_realloc (parent, log->entries, struct raft_entry, capacity);

      if (entries == NULL)
        return status_fail (STATUS_NO_MEMORY, "log of %u entries", capacity);
      log->entries = entries;
      log->capacity = capacity;
    }
  copy = talloc_memdup (log->entries, data, length);
  if (copy == NULL && length > 0)
    return status_fail (STATUS_NO_MEMORY, "entry of %u bytes", length);
  entry = &log->entries[log->count++];
  *entry = (struct raft_entry){
    .index = raft_log_last (log),
    .term = term,
    .kind = kind,
    .length = length,
    .data = copy,
  };
  log->bytes += length;
  log->unstored_bytes += length;
  return STATUS_OK;
}

void
raft_log_set_stored (struct raft_log *log, uint64_t index)
{
  for (uint64_t i = log->stored + 1; i <= index; i++)
    log->unstored_bytes -= raft_log_at (log, i)->length;
  log->stored = index;
}

/* Free the data of the entries at positions from..to-1. */
static void
free_entries (struct raft_log *log, uint32_t from, uint32_t to)
{
  for (uint32_t i = from; i < to; i++)
    {
      log->bytes -= log->entries[i].length;
      if (log->entries[i].index > log->stored)
        log->unstored_bytes -= log->entries[i].length;
      talloc_free ((void *) (uintptr_t) log->entries[i].data);
    }
}

void
raft_log_truncate (struct raft_log *log, uint64_t from)
{
  uint32_t keep;

  if (from > raft_log_last (log))
    return;
  INVARIANT (from > log->base_index);
  keep = (uint32_t) (from - log->base_index - 1);
  free_entries (log, keep, log->count);
  log->count = keep;
  if (log->stored >= from)
    log->stored = from - 1;
}

void
raft_log_compact (struct raft_log *log, uint64_t index)
{
  uint32_t n;
  uint64_t term;

  if (index <= log->base_index || !raft_log_term (log, index, &term))
    return;
  n = (uint32_t) (index - log->base_index);
  free_entries (log, 0, n);
  log->count -= n;
  memmove (log->entries, log->entries + n, log->count * sizeof log->entries[0]);
  log->base_index = index;
  log->base_term = term;
}

void
raft_log_reset (struct raft_log *log, uint64_t base_index, uint64_t base_term)
{
  free_entries (log, 0, log->count);
  log->count = 0;
  log->base_index = base_index;
  log->base_term = base_term;
  log->stored = base_index;
}

uint64_t
raft_log_term_start (const struct raft_log *log, uint64_t index)
{
  const struct raft_entry *entry = raft_log_at (log, index);
  uint64_t first = index;

  if (entry == NULL)
    return index;
  while (first > log->base_index + 1 && raft_log_at (log, first - 1)->term == entry->term)
    first--;
  return first;
}
