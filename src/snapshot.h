/* Snapshots of the machine in files, each there wholly or not at all. */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include "bytes.h"
#include "decls.h"
#include "disk.h"
#include "raft.h"
#include "status.h"

BEGIN_DECLS

/* Close a payload: append the checksum that travels with it, to the disk and to other voters. */
void snapshot_seal (struct bytes *payload);

/* The length without the checksum; STATUS_CORRUPT when it does not match. */
enum status snapshot_check (const void *payload, size_t length, size_t *data_length);

/* Store a sealed payload; on success older snapshots are removed. */
enum status snapshot_store (struct disk *disk,
                            const struct raft_snapshot *snapshot,
                            const void *payload);

/* The newest one.  STATUS_NOT_FOUND when there is none, STATUS_CORRUPT when it is damaged: an older
 * one would not do, since the journal no longer reaches back. */
enum status snapshot_load (struct disk *disk, struct raft_snapshot *out, struct bytes *payload);

/* A part of a stored payload, appended to `out`. */
enum status snapshot_read (struct disk *disk,
                           const struct raft_snapshot *snapshot,
                           uint64_t offset,
                           uint32_t length,
                           struct bytes *out);

END_DECLS

#endif
