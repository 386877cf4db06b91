/* One folder of files, as the journal and snapshots need it.
 *
 * What was written lasts only after sync(); what was created, renamed or removed only after
 * sync_folder().  The product's disk is disk_posix_new(); tests put one in its place that loses,
 * tears and refuses. */
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
  /* Open to append; an empty file is made when there is none.  STATUS_DISK_FULL, STATUS_IO. */
  enum status (*open) (struct disk *disk, const char *name, int *file);
  void (*close) (struct disk *disk, int file);

  /* On failure any part of `data` may have been written. */
  enum status (*append) (struct disk *disk, int file, const void *data, size_t length);
  enum status (*truncate) (struct disk *disk, int file, uint64_t length);

  /* After a failure nothing is known of what was written since the last success, and a second call
   * may succeed without having written it: never repeat it. */
  enum status (*sync) (struct disk *disk, int file);

  /* Append at most `length` bytes at `offset` to `out`; fewer at the end.  STATUS_NOT_FOUND. */
  enum status (*read) (
      struct disk *disk, const char *name, uint64_t offset, size_t length, struct bytes *out);
  enum status (*size) (struct disk *disk, const char *name, uint64_t *out);
  enum status (*rename) (struct disk *disk, const char *from, const char *to);
  enum status (*remove) (struct disk *disk, const char *name);
  enum status (*sync_folder) (struct disk *disk);
  enum status (*list) (struct disk *disk,
                       void (*each) (void *context, const char *name),
                       void *context);

  /* Room left, as far as the system tells. */
  uint64_t (*free_bytes) (struct disk *disk);
};

/* The folder is made when missing and locked against a second process: STATUS_CONFLICT.  NULL with
 * the outcome in `status`.  Freeing it unlocks. */
struct disk *disk_posix_new (void *parent, const char *folder, enum status *status);

/* Write a whole file so that after a crash it is there wholly or not at all: a temporary file,
 * synced, renamed over `name`, and the folder synced. */
enum status disk_replace (struct disk *disk, const char *name, const void *data, size_t length);

#define DISK_TEMPORARY "temporary"

END_DECLS

#endif
