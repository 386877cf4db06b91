/* The journal: append-only segments of checksummed records, and the identity beside them.
 *
 * A segment's name appears only with its header synced (temporary file, sync, rename, folder sync),
 * so a bad header is damage and never a crash.  Each record says up to where the segment was synced
 * when it was written.  At a start this tells two things apart that look alike: a bad record that
 * a later record proves to have been synced is damage (STATUS_CORRUPT, this voter must not start),
 * and any other bad record is what a crash leaves of a write that was never acknowledged (the tail
 * is cut).  Damage inside the very last synced batch cannot be told from a crash; a leader that
 * still knows what this voter acknowledged then finds it out (raft_lost_entries()). */
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

/* What a start finds. */
struct journal_found
{
  struct raft_state state;
  struct raft_log log; /* entries; a child of the parent given */
  uint64_t torn_bytes; /* cut from the tail */
  bool fresh;          /* there was no segment */
};

/* Open, or begin in an empty folder, the journal of voter `id`.  `snapshot` is the stored one,
 * zeroed when there is none.  STATUS_CORRUPT when what was synced cannot be read back. */
struct journal *journal_open (void *parent,
                              struct disk *disk,
                              uint64_t id,
                              uint32_t segment_bytes,
                              const struct raft_snapshot *snapshot,
                              struct journal_found *found,
                              enum status *status);

/* Collect what to store next; nothing is written yet. */
void journal_add_state (struct journal *journal, const struct raft_state *state);
void journal_add_entry (struct journal *journal, const struct raft_entry *entry);

/* Write and sync what was added.  STATUS_DISK_FULL: nothing of it was stored, the journal is as
 * before and may be used on.  STATUS_IO: what is stored is not known and every later call fails: a
 * sync that failed is never repeated, since the system may have dropped the data and report
 * success the second time. */
enum status journal_commit (struct journal *journal);

/* A snapshot from the leader replaced everything up to its index: begin anew after it.
 * STATUS_DISK_FULL: nothing was changed. */
enum status journal_reset (struct journal *journal, uint64_t index, uint64_t term);

/* Remove segments that hold nothing after `index`. */
enum status journal_drop (struct journal *journal, uint64_t index);

bool journal_failed (const struct journal *journal);
uint64_t journal_bytes (const struct journal *journal);
uint32_t journal_segments (const struct journal *journal);

/* The identity of a data folder. */
struct journal_identity
{
  uint64_t id;     /* random; of this folder */
  uint64_t group;  /* 0 until a group took it in */
  uint64_t starts; /* counts openings, so that others notice an older folder put back */
  char name[RESOURCE_NAME_SIZE];
};

/* STATUS_NOT_FOUND in an empty folder, STATUS_CORRUPT, STATUS_UNSUPPORTED (a newer format). */
enum status journal_identity_read (struct disk *disk, struct journal_identity *out);
enum status journal_identity_write (struct disk *disk, const struct journal_identity *identity);

END_DECLS

#endif
