/* A disk in memory that keeps apart what was written and what was synced, and fails on order. */
#ifndef DISK_FAKE_H
#define DISK_FAKE_H

#include "decls.h"
#include "disk.h"
#include "rng.h"
#include <stdbool.h>

BEGIN_DECLS

struct disk_fake;

struct disk *disk_fake_new (void *parent, uint64_t seed);
struct disk_fake *disk_fake_of (struct disk *disk);

/* The power goes: unsynced content is lost or kept in part, torn or with garbage in its place;
 * unsynced folder entries are lost from some point on.  The disk works again afterwards. */
void disk_fake_crash (struct disk_fake *disk);

/* Operations that change anything, so far. */
uint64_t disk_fake_changes (const struct disk_fake *disk);

/* Stop at the `n`th change from now, before it is made (an append may be made in part): that one
 * and everything after fails until disk_fake_crash().  0: never. */
void disk_fake_stop_after (struct disk_fake *disk, uint64_t n);
bool disk_fake_stopped (const struct disk_fake *disk);

/* Fail the next sync, once; the data is not durable. */
void disk_fake_fail_sync (struct disk_fake *disk);

/* Bytes in all files. */
uint64_t disk_fake_used (const struct disk_fake *disk);

/* Room for so many bytes in all. */
void disk_fake_set_capacity (struct disk_fake *disk, uint64_t bytes);

/* Free bytes as reported, whatever the room: UINT64_MAX reports the truth. */
void disk_fake_set_reported (struct disk_fake *disk, uint64_t bytes);

/* Flip one bit of a file, durable content too. */
void disk_fake_flip (struct disk_fake *disk, const char *name, uint64_t offset);

/* Cut a file, durable content too. */
void disk_fake_cut (struct disk_fake *disk, const char *name, uint64_t length);

/* Another disk with the durable content of this one. */
struct disk *disk_fake_copy (void *parent, struct disk_fake *disk);

uint64_t disk_fake_syncs (const struct disk_fake *disk);

END_DECLS

#endif
