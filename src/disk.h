/* A folder of files, as used by the journal and the snapshots.
 *
 * Data is durable only after sync(); files created, renamed or removed are durable only after
 * sync_folder().  disk_posix_new() is the implementation used in production; tests use one that
 * loses, tears and refuses writes. */
#ifndef DISK_H
#define DISK_H

#include "bytes.h"
#include "decls.h"
#include "status.h"
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define DISK_NAME_SIZE 48

struct disk
{
  const struct disk_ops *ops;
};

struct disk_ops
{
  /* Open for appending; the file is created when missing.  STATUS_DISK_FULL, STATUS_IO. */
  enum status (*open) (struct disk *disk, const char *name, int *file);
  void (*close) (struct disk *disk, int file);

  /* On failure any part of `data` may have been written. */
  enum status (*append) (struct disk *disk, int file, const void *data, size_t length);
  enum status (*truncate) (struct disk *disk, int file, uint64_t length);

  /* After a failure the state of everything written since the last successful sync is unknown, and
   * a second call may succeed without having written it: do not retry. */
  enum status (*sync) (struct disk *disk, int file);

  /* Append up to `length` bytes from `offset` to `out`; fewer at the end of the file.
   * STATUS_NOT_FOUND. */
  enum status (*read) (
      struct disk *disk, const char *name, uint64_t offset, size_t length, struct bytes *out);
  enum status (*size) (struct disk *disk, const char *name, uint64_t *out);
  enum status (*rename) (struct disk *disk, const char *from, const char *to);
  enum status (*remove) (struct disk *disk, const char *name);
  enum status (*sync_folder) (struct disk *disk);
  enum status (*list) (struct disk *disk,
                       void (*each) (void *context, const char *name),
                       void *context);

  /* Free space in bytes; UINT64_MAX when unknown. */
  uint64_t (*free_bytes) (struct disk *disk);
};

/* Create the folder when missing, and lock it against other processes (STATUS_CONFLICT when
 * locked).  NULL with the reason in `status`.  Freeing the disk unlocks the folder. */
struct disk *disk_posix_new (void *parent, const char *folder, enum status *status);

/* Replace a whole file atomically: after a crash it is there completely or not at all.  Writes and
 * syncs a temporary file, renames it to `name` and syncs the folder. */
enum status disk_replace_file (struct disk *disk,
                               const char *name,
                               const void *data,
                               size_t length);

#define DISK_TEMPORARY_NAME "temporary"

END_DECLS

#endif
