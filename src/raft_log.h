/* The part of the log held in memory: the entries after a base index.  The last ones may not be
 * stored yet. */
#ifndef RAFT_LOG_H
#define RAFT_LOG_H

#include "decls.h"
#include "raft_message.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

struct raft_log
{
  struct raft_entry *entries; /* from base_index + 1; data owned by the array */
  uint32_t count;
  uint32_t capacity;
  uint64_t base_index;
  uint64_t base_term;
  uint64_t stored;         /* last durable index */
  uint64_t bytes;          /* of the entries' data */
  uint64_t unstored_bytes; /* of those that are not durable */
};

void raft_log_init (struct raft_log *log, uint64_t base_index, uint64_t base_term);

static inline uint64_t
raft_log_last (const struct raft_log *log)
{
  return log->base_index + log->count;
}

/* NULL when the entry is not in memory. */
const struct raft_entry *raft_log_at (const struct raft_log *log, uint64_t index);

/* The term of an entry or of the base; false when it is not in memory. */
bool raft_log_term (const struct raft_log *log, uint64_t index, uint64_t *term);
uint64_t raft_log_last_term (const struct raft_log *log);

/* Append a copy of `data` at the next index.  STATUS_NO_MEMORY. */
enum status raft_log_append (void *parent,
                             struct raft_log *log,
                             uint64_t term,
                             enum raft_entry_kind kind,
                             const void *data,
                             uint32_t length);

/* The entries up to `index` are durable. */
void raft_log_set_stored (struct raft_log *log, uint64_t index);

/* Discard the entries from `from` on. */
void raft_log_truncate (struct raft_log *log, uint64_t from);

/* Discard the entries up to `index`, which becomes the base. */
void raft_log_compact (struct raft_log *log, uint64_t index);

/* Discard all entries; the log continues after a snapshot. */
void raft_log_reset (struct raft_log *log, uint64_t base_index, uint64_t base_term);

/* The first index of the consecutive entries with the same term as `index`. */
uint64_t raft_log_term_start (const struct raft_log *log, uint64_t index);

END_DECLS

#endif
