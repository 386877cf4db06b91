/* Operations common to all disks. */
#include "disk.h"

enum status
disk_replace_file (struct disk *disk, const char *name, const void *data, size_t length)
{
  enum status status;
  int file;

  status = disk->ops->remove (disk, DISK_TEMPORARY_NAME);
  if (status != STATUS_OK && status != STATUS_NOT_FOUND)
    return status;
  status = disk->ops->open (disk, DISK_TEMPORARY_NAME, &file);
  if (status != STATUS_OK)
    return status;
  status = disk->ops->append (disk, file, data, length);
  if (status == STATUS_OK)
    status = disk->ops->sync (disk, file);
  disk->ops->close (disk, file);
  if (status == STATUS_OK)
    status = disk->ops->rename (disk, DISK_TEMPORARY_NAME, name);
  if (status == STATUS_OK)
    status = disk->ops->sync_folder (disk);
  return status;
}
