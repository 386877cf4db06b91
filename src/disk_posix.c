/* Disk on a POSIX file system. */
#include "disk.h"
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <talloc.h>
#include <unistd.h>

#define LOCK_NAME "lock"
#define FILE_MODE 0600
#define FOLDER_MODE 0700

struct disk_posix
{
  struct disk disk;
  int folder;
  int lock;
};

static enum status
fail_errno (const char *what, const char *name)
{
  enum status status = STATUS_IO;
  int error = errno;

  if (error == ENOSPC || error == EDQUOT || error == EFBIG)
    status = STATUS_DISK_FULL;
  else if (error == ENOENT)
    status = STATUS_NOT_FOUND;
  return status_fail (status, "%s %s: %s", what, name, strerror (error));
}

static enum status
posix_open (struct disk *disk, const char *name, int *file)
{
  const struct disk_posix *self = (const struct disk_posix *) disk;

  *file = openat (self->folder, name, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
  return *file >= 0 ? STATUS_OK : fail_errno ("open", name);
}

static void
posix_close (struct disk *disk, int file)
{
  (void) disk;
  close (file);
}

static enum status
posix_append (struct disk *disk, int file, const void *data, size_t length)
{
  (void) disk;
  const char *at = data;

  while (length > 0)
    {
      ssize_t n = write (file, at, length);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return fail_errno ("write", "a file of the journal");
      at += n;
      length -= (size_t) n;
    }
  return STATUS_OK;
}

static enum status
posix_truncate (struct disk *disk, int file, uint64_t length)
{
  (void) disk;
  return ftruncate (file, (off_t) length) == 0 ? STATUS_OK : fail_errno ("truncate", "a file");
}

static enum status
posix_sync (struct disk *disk, int file)
{
  (void) disk;
  return fdatasync (file) == 0 ? STATUS_OK : fail_errno ("sync", "a file");
}

static enum status
read_all (int file, uint64_t offset, size_t length, struct bytes *out)
{
  char buffer[16384];

  while (length > 0)
    {
      size_t want = length < sizeof buffer ? length : sizeof buffer;
      ssize_t n = pread (file, buffer, want, (off_t) offset);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return fail_errno ("read", "a file");
      if (n == 0)
        break;
      bytes_append (out, buffer, (size_t) n);
      offset += (uint64_t) n;
      length -= (size_t) n;
    }
  return bytes_has_failed (out) ? status_fail (STATUS_NO_MEMORY, "reading a file") : STATUS_OK;
}

static enum status
posix_read (struct disk *disk, const char *name, uint64_t offset, size_t length, struct bytes *out)
{
  const struct disk_posix *self = (const struct disk_posix *) disk;
  int file = openat (self->folder, name, O_RDONLY | O_CLOEXEC);
  enum status status;

  if (file < 0)
    return fail_errno ("open", name);
  status = read_all (file, offset, length, out);
  close (file);
  return status;
}

static enum status
posix_size (struct disk *disk, const char *name, uint64_t *out)
{
  const struct disk_posix *self = (const struct disk_posix *) disk;
  struct stat st;

  if (fstatat (self->folder, name, &st, 0) != 0)
    return fail_errno ("stat", name);
  *out = (uint64_t) st.st_size;
  return STATUS_OK;
}

static enum status
posix_rename (struct disk *disk, const char *from, const char *to)
{
  const struct disk_posix *self = (const struct disk_posix *) disk;

  return renameat (self->folder, from, self->folder, to) == 0 ? STATUS_OK
                                                              : fail_errno ("rename", from);
}

static enum status
posix_remove (struct disk *disk, const char *name)
{
  const struct disk_posix *self = (const struct disk_posix *) disk;

  return unlinkat (self->folder, name, 0) == 0 ? STATUS_OK : fail_errno ("remove", name);
}

static enum status
posix_sync_folder (struct disk *disk)
{
  const struct disk_posix *self = (const struct disk_posix *) disk;

  return fsync (self->folder) == 0 ? STATUS_OK : fail_errno ("sync", "the folder");
}

static enum status
posix_list (struct disk *disk, void (*each) (void *context, const char *name), void *context)
{
  const struct disk_posix *self = (const struct disk_posix *) disk;
  int copy = openat (self->folder, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  DIR *dir = copy < 0 ? NULL : fdopendir (copy);
  const struct dirent *entry;

  if (dir == NULL)
    {
      enum status status = fail_errno ("list", "the folder");

      if (copy >= 0)
        close (copy);
      return status;
    }
  while ((entry = readdir (dir)) != NULL)
    if (entry->d_name[0] != '.' && strcmp (entry->d_name, LOCK_NAME) != 0)
      each (context, entry->d_name);
  closedir (dir);
  return STATUS_OK;
}

static uint64_t
posix_free_bytes (struct disk *disk)
{
  const struct disk_posix *self = (const struct disk_posix *) disk;
  struct statvfs st;

  if (fstatvfs (self->folder, &st) != 0)
    return UINT64_MAX;
  return (uint64_t) st.f_bavail * st.f_frsize;
}

static const struct disk_ops posix_ops = {
  .open = posix_open,
  .close = posix_close,
  .append = posix_append,
  .truncate = posix_truncate,
  .sync = posix_sync,
  .read = posix_read,
  .size = posix_size,
  .rename = posix_rename,
  .remove = posix_remove,
  .sync_folder = posix_sync_folder,
  .list = posix_list,
  .free_bytes = posix_free_bytes,
};

static int
free_disk (struct disk_posix *self)
{
  if (self->lock >= 0)
    close (self->lock);
  if (self->folder >= 0)
    close (self->folder);
  return 0;
}

/* A created folder is durable only after its parent is synced. */
static enum status
create_folder (const char *folder)
{
  char parent_path[PATH_MAX];
  int parent;

  if (mkdir (folder, FOLDER_MODE) != 0)
    return errno == EEXIST ? STATUS_OK : fail_errno ("make the folder", folder);
  snprintf (parent_path, sizeof parent_path, "%s/..", folder);
  parent = open (parent_path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (parent < 0 || fsync (parent) != 0)
    {
      enum status status = fail_errno ("sync the parent of the folder", folder);

      if (parent >= 0)
        close (parent);
      return status;
    }
  close (parent);
  return STATUS_OK;
}

/* Two processes that append to one journal would corrupt it.  flock() locks belong to the open
 * file, so the system releases the lock when the process ends, however it ends. */
static enum status
lock_folder (struct disk_posix *self, const char *folder)
{
  self->folder = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (self->folder < 0)
    return fail_errno ("open the folder", folder);
  self->lock = openat (self->folder, LOCK_NAME, O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
  if (self->lock < 0)
    return fail_errno ("open the lock in", folder);
  if (flock (self->lock, LOCK_EX | LOCK_NB) != 0)
    return status_fail (STATUS_CONFLICT, "another process uses the data folder %s", folder);
  return STATUS_OK;
}

struct disk *
disk_posix_new (void *parent, const char *folder, enum status *status)
{
  struct disk_posix *self = talloc_zero (parent, struct disk_posix);

  if (self == NULL)
    {
      *status = status_fail (STATUS_NO_MEMORY, "disk");
      return NULL;
    }
  self->disk.ops = &posix_ops;
  self->folder = -1;
  self->lock = -1;
  talloc_set_destructor (self, free_disk);
  *status = create_folder (folder);
  if (*status == STATUS_OK)
    *status = lock_folder (self, folder);
  if (*status == STATUS_OK)
    return &self->disk;
  talloc_free (self);
  return NULL;
}
