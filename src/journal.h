/* The journal: append-only segments of checksummed records, and the identity of the data folder.
 *
 * A segment file gets its name only after its header is synced (temporary file, sync, rename,
 * folder sync), so a bad header is damage and never the effect of a crash.  Each record states the
 * length up to which the segment was synced when the record was written.  Replay uses it to
 * distinguish two cases: a bad record that a later record proves to have been synced is damage
 * (STATUS_CORRUPT, this voter must not start); any other bad record is the rest of an
 * unacknowledged write that a crash interrupted (the tail is truncated).  Damage inside the last
 * synced batch looks like a crash; a leader that still knows what this voter acknowledged detects
 * it (raft_has_lost_entries()). */
#ifndef JOURNAL_H
#define JOURNAL_H

#include "decls.h"
#include "disk.h"
#include "raft.h"
#include "raft_log.h"
#include "status.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define JOURNAL_VERSION 1
#define JOURNAL_SEGMENT_BYTES (4u << 20)

struct journal;

/* State recovered when the journal is opened. */
struct journal_recovery
{
  struct raft_state state;
  struct raft_log log; /* its entries are allocated under the parent given */
  uint64_t torn_bytes; /* truncated from the tail */
  bool fresh;          /* there was no segment file */
};

/* Open the journal of voter `id`, or create it in an empty folder.  `snapshot` is the stored one,
 * zeroed when there is none.  STATUS_CORRUPT when synced data cannot be read back. */
struct journal *journal_open (void *parent,
                              struct disk *disk,
                              uint64_t id,
                              uint32_t segment_bytes,
                              const struct raft_snapshot *snapshot,
                              struct journal_recovery *found,
                              enum status *status);

/* Add to the batch that journal_commit() writes. */
void journal_add_state (struct journal *journal, const struct raft_state *state);
void journal_add_entry (struct journal *journal, const struct raft_entry *entry);

/* Write and sync the batch.  STATUS_DISK_FULL: nothing was stored and the journal remains usable.
 * STATUS_IO: it is unknown what was stored, and every later call fails.  A failed sync is never
 * retried: the system may have dropped the data and report success the second time. */
enum status journal_commit (struct journal *journal);

/* Discard all entries after a leader's snapshot was stored; the next one follows `index`.
 * STATUS_DISK_FULL: nothing was changed. */
enum status journal_reset (struct journal *journal, uint64_t index, uint64_t term);

/* Remove the segments that hold no entry after `index`. */
enum status journal_compact (struct journal *journal, uint64_t index);

bool journal_failed (const struct journal *journal);
uint64_t journal_bytes (const struct journal *journal);
uint32_t journal_segments (const struct journal *journal);

/* The identity of a data folder. */
struct journal_identity
{
  uint64_t id;     /* random, unique to this folder */
  uint64_t group;  /* 0 until a group has admitted it */
  uint64_t starts; /* number of openings: reveals that an old copy was restored */
  char name[RESOURCE_NAME_SIZE];
};

/* STATUS_NOT_FOUND in an empty folder, STATUS_CORRUPT, STATUS_UNSUPPORTED for a newer format. */
enum status journal_identity_read (struct disk *disk, struct journal_identity *out);
enum status journal_identity_write (struct disk *disk, const struct journal_identity *identity);

END_DECLS

#endif
