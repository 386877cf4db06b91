/* In-memory disk that tracks written and synced content separately and injects faults on
 * request. */
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

/* Simulate a power loss: unsynced content is lost or kept in part, possibly with a zeroed sector;
 * unsynced directory changes are lost from a random one on.  The disk works again afterwards. */
void disk_fake_crash (struct disk_fake *disk);

/* Number of modifying operations so far. */
uint64_t disk_fake_changes (const struct disk_fake *disk);

/* Stop before the `n`th change from now (an append may be done in part): that change and every
 * later operation fails until disk_fake_crash().  0: never. */
void disk_fake_stop_after (struct disk_fake *disk, uint64_t n);
bool disk_fake_is_stopped (const struct disk_fake *disk);

/* Fail the next sync once; its data does not become durable. */
void disk_fake_fail_sync (struct disk_fake *disk);

/* Total size of all files in bytes. */
uint64_t disk_fake_used (const struct disk_fake *disk);

/* Set the capacity of the disk in bytes. */
void disk_fake_set_capacity (struct disk_fake *disk, uint64_t bytes);

/* Set the free bytes to report, regardless of the capacity.  UINT64_MAX: report the actual
 * value. */
void disk_fake_set_reported (struct disk_fake *disk, uint64_t bytes);

/* Flip one bit of a file, in its durable content as well. */
void disk_fake_flip_bit (struct disk_fake *disk, const char *name, uint64_t offset);

/* Truncate a file, its durable content as well. */
void disk_fake_truncate (struct disk_fake *disk, const char *name, uint64_t length);

/* A new disk with a copy of the durable content of this one. */
struct disk *disk_fake_copy (void *parent, struct disk_fake *disk);

uint64_t disk_fake_syncs (const struct disk_fake *disk);

END_DECLS

#endif
