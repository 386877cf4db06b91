/* Snapshot files of the state machine, each written atomically. */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include "bytes.h"
#include "decls.h"
#include "disk.h"
#include "raft.h"
#include "status.h"

BEGIN_DECLS

/* Append the checksum that is stored and sent to other voters with the payload. */
void snapshot_seal (struct bytes *payload);

/* Verify the checksum and return the length without it; STATUS_CORRUPT when it does not match. */
enum status snapshot_check (const void *payload, size_t length, size_t *data_length);

/* Store a payload with its checksum; on success older snapshots are removed. */
enum status snapshot_store (struct disk *disk,
                            const struct raft_snapshot *snapshot,
                            const void *payload);

/* Load the newest snapshot.  STATUS_NOT_FOUND when there is none, STATUS_CORRUPT when it is
 * damaged: an older one cannot replace it, since the journal no longer reaches back to that. */
enum status snapshot_load (struct disk *disk, struct raft_snapshot *out, struct bytes *payload);

/* Append a part of a stored payload to `out`. */
enum status snapshot_read (struct disk *disk,
                           const struct raft_snapshot *snapshot,
                           uint64_t offset,
                           uint32_t length,
                           struct bytes *out);

END_DECLS

#endif
