/* In-memory disk for tests: file content and directory entries are durable only after a sync. */
#include "disk_fake.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

#define FILES_MAX 512
#define NAMES_MAX 256
#define OPEN_MAX 64
#define PENDING_MAX 256
#define SECTOR_BYTES 512u

struct node
{
  struct bytes now;
  struct bytes durable;
  size_t common; /* length of the prefix known to be equal in both */
};

struct name
{
  char name[DISK_NAME_SIZE];
  struct node *node;
};

struct folder
{
  struct name names[NAMES_MAX];
  uint32_t n;
};

enum change_kind
{
  CHANGE_CREATE,
  CHANGE_RENAME,
  CHANGE_REMOVE
};

/* A directory change that is not durable yet. */
struct change
{
  enum change_kind kind;
  char name[DISK_NAME_SIZE];
  char to[DISK_NAME_SIZE];
  struct node *node;
};

struct disk_fake
{
  struct disk disk;
  struct rng rng;
  struct folder now;
  struct folder durable;
  struct change pending[PENDING_MAX];
  uint32_t n_pending;
  struct node *open[OPEN_MAX];
  uint64_t changes;
  uint64_t syncs;
  uint64_t stop_at; /* 0: never */
  bool stopped;
  bool fail_sync;
  uint64_t capacity;
  uint64_t reported;
};

struct disk_fake *
disk_fake_of (struct disk *disk)
{
  return (struct disk_fake *) disk;
}

static struct name *
find_entry (struct folder *folder, const char *name)
{
  for (uint32_t i = 0; i < folder->n; i++)
    if (strcmp (folder->names[i].name, name) == 0)
      return &folder->names[i];
  return NULL;
}

static void
remove_entry (struct folder *folder, const char *name)
{
  struct name *entry = find_entry (folder, name);

  if (entry != NULL)
    *entry = folder->names[--folder->n];
}

static void
put_entry (struct folder *folder, const char *name, struct node *node)
{
  remove_entry (folder, name);
  INVARIANT (folder->n < NAMES_MAX);
  text_copy_truncated (folder->names[folder->n].name, DISK_NAME_SIZE, name);
  folder->names[folder->n++].node = node;
}

static void
apply_change (struct folder *folder, const struct change *change)
{
  switch (change->kind)
    {
    case CHANGE_CREATE:
      put_entry (folder, change->name, change->node);
      break;
    case CHANGE_RENAME:
      remove_entry (folder, change->name);
      put_entry (folder, change->to, change->node);
      break;
    case CHANGE_REMOVE:
      remove_entry (folder, change->name);
      break;
    }
}

static void
add_change (struct disk_fake *self,
            enum change_kind kind,
            const char *name,
            const char *to,
            struct node *node)
{
  struct change *change = &self->pending[self->n_pending++];

  INVARIANT (self->n_pending <= PENDING_MAX);
  change->kind = kind;
  change->node = node;
  text_copy_truncated (change->name, DISK_NAME_SIZE, name);
  text_copy_truncated (change->to, DISK_NAME_SIZE, to);
  apply_change (&self->now, change);
}

/* Count a change.  False if the disk has stopped. */
static bool
count_change (struct disk_fake *self)
{
  if (!self->stopped)
    self->changes++;
  if (self->stop_at != 0 && self->changes >= self->stop_at)
    self->stopped = true;
  return !self->stopped;
}

static enum status
stopped (void)
{
  return status_fail (STATUS_IO, "the disk has stopped");
}

uint64_t
disk_fake_used (const struct disk_fake *self)
{
  uint64_t bytes = 0;

  for (uint32_t i = 0; i < self->now.n; i++)
    bytes += self->now.names[i].node->now.length;
  return bytes;
}

static enum status
fake_open (struct disk *disk, const char *name, int *file)
{
  struct disk_fake *self = disk_fake_of (disk);
  struct name *entry = find_entry (&self->now, name);
  struct node *node;

  if (entry == NULL && !count_change (self))
    return stopped ();
  if (self->stopped)
    return stopped ();
  if (entry == NULL)
    {
      node = talloc_zero (self, struct node);
      bytes_init (&node->now, node);
      bytes_init (&node->durable, node);
      add_change (self, CHANGE_CREATE, name, "", node);
    }
  else
    node = entry->node;
  for (*file = 0; *file < OPEN_MAX; (*file)++)
    if (self->open[*file] == NULL)
      {
        self->open[*file] = node;
        return STATUS_OK;
      }
  return status_fail (STATUS_IO, "too many open files");
}

static void
fake_close (struct disk *disk, int file)
{
  disk_fake_of (disk)->open[file] = NULL;
}

static enum status
fake_append (struct disk *disk, int file, const void *data, size_t length)
{
  struct disk_fake *self = disk_fake_of (disk);
  struct node *node = self->open[file];
  uint64_t room =
      self->capacity
      - (disk_fake_used (self) < self->capacity ? disk_fake_used (self) : self->capacity);

  if (self->stopped)
    return stopped ();
  if (!count_change (self))
    {
      bytes_append (&node->now, data, rng_below (&self->rng, length + 1));
      return stopped ();
    }
  if (length > room)
    {
      bytes_append (&node->now, data, room);
      return status_fail (STATUS_DISK_FULL, "no room");
    }
  bytes_append (&node->now, data, length);
  return STATUS_OK;
}

static void
set_length (struct bytes *bytes, uint64_t length)
{
  if (bytes->length <= length)
    return;
  bytes->length = length;
  bytes->data[length] = '\0';
}

static enum status
fake_truncate (struct disk *disk, int file, uint64_t length)
{
  struct disk_fake *self = disk_fake_of (disk);
  struct node *node = self->open[file];

  if (!count_change (self))
    return stopped ();
  set_length (&node->now, length);
  if (node->common > length)
    node->common = length;
  return STATUS_OK;
}

static void
make_durable (struct node *node)
{
  set_length (&node->durable, node->common);
  bytes_append (&node->durable, node->now.data + node->common, node->now.length - node->common);
  node->common = node->now.length;
}

static enum status
fake_sync (struct disk *disk, int file)
{
  struct disk_fake *self = disk_fake_of (disk);

  if (!count_change (self))
    return stopped ();
  if (self->fail_sync)
    {
      self->fail_sync = false;
      return status_fail (STATUS_IO, "the sync failed");
    }
  self->syncs++;
  if (self->open[file]->now.length > 0)
    make_durable (self->open[file]);
  return STATUS_OK;
}

static enum status
fake_read (struct disk *disk, const char *name, uint64_t offset, size_t length, struct bytes *out)
{
  struct disk_fake *self = disk_fake_of (disk);
  const struct name *entry = find_entry (&self->now, name);
  uint64_t left;

  if (entry == NULL)
    return status_fail (STATUS_NOT_FOUND, "no file %s", name);
  if (offset >= entry->node->now.length)
    return STATUS_OK;
  left = entry->node->now.length - offset;
  bytes_append (out, entry->node->now.data + offset, length < left ? length : left);
  return STATUS_OK;
}

static enum status
fake_size (struct disk *disk, const char *name, uint64_t *out)
{
  const struct name *entry = find_entry (&disk_fake_of (disk)->now, name);

  if (entry == NULL)
    return status_fail (STATUS_NOT_FOUND, "no file %s", name);
  *out = entry->node->now.length;
  return STATUS_OK;
}

static enum status
fake_rename (struct disk *disk, const char *from, const char *to)
{
  struct disk_fake *self = disk_fake_of (disk);
  const struct name *entry = find_entry (&self->now, from);

  if (!count_change (self))
    return stopped ();
  if (entry == NULL)
    return status_fail (STATUS_NOT_FOUND, "no file %s", from);
  add_change (self, CHANGE_RENAME, from, to, entry->node);
  return STATUS_OK;
}

static enum status
fake_remove (struct disk *disk, const char *name)
{
  struct disk_fake *self = disk_fake_of (disk);

  if (find_entry (&self->now, name) == NULL)
    return status_fail (STATUS_NOT_FOUND, "no file %s", name);
  if (!count_change (self))
    return stopped ();
  add_change (self, CHANGE_REMOVE, name, "", NULL);
  return STATUS_OK;
}

static enum status
fake_sync_folder (struct disk *disk)
{
  struct disk_fake *self = disk_fake_of (disk);

  if (!count_change (self))
    return stopped ();
  self->durable = self->now;
  self->n_pending = 0;
  return STATUS_OK;
}

static enum status
fake_list (struct disk *disk, void (*each) (void *context, const char *name), void *context)
{
  const struct disk_fake *self = disk_fake_of (disk);

  for (uint32_t i = 0; i < self->now.n; i++)
    each (context, self->now.names[i].name);
  return STATUS_OK;
}

static uint64_t
fake_free_bytes (struct disk *disk)
{
  const struct disk_fake *self = disk_fake_of (disk);
  uint64_t bytes = disk_fake_used (self);

  if (self->reported != UINT64_MAX)
    return self->reported;
  return bytes < self->capacity ? self->capacity - bytes : 0;
}

static const struct disk_ops fake_ops = {
  .open = fake_open,
  .close = fake_close,
  .append = fake_append,
  .truncate = fake_truncate,
  .sync = fake_sync,
  .read = fake_read,
  .size = fake_size,
  .rename = fake_rename,
  .remove = fake_remove,
  .sync_folder = fake_sync_folder,
  .list = fake_list,
  .free_bytes = fake_free_bytes,
};

struct disk *
disk_fake_new (void *parent, uint64_t seed)
{
  struct disk_fake *self = talloc_zero (parent, struct disk_fake);

  INVARIANT (self != NULL);
  self->disk.ops = &fake_ops;
  self->capacity = UINT64_MAX;
  self->reported = UINT64_MAX;
  rng_init (&self->rng, seed);
  return &self->disk;
}

/* Content of a file after a power loss: the synced content, then a random part of the unsynced
 * content, sometimes with one sector of it never written. */
static void
crash_node (struct disk_fake *self, struct node *node)
{
  size_t start = node->common;
  size_t keep = node->now.length - start;

  if (rng_below (&self->rng, 2) == 0 && start < node->durable.length)
    {
      /* An unsynced truncation is undone. */
      bytes_clear (&node->now);
      bytes_append (&node->now, node->durable.data, node->durable.length);
    }
  else
    {
      keep = rng_below (&self->rng, 3) == 0 ? 0 : rng_below (&self->rng, keep + 1);
      set_length (&node->now, start + keep);
      if (keep > 0 && rng_below (&self->rng, 2) == 0)
        {
          size_t at = start + rng_below (&self->rng, keep);
          size_t n = node->now.length - at < SECTOR_BYTES ? node->now.length - at : SECTOR_BYTES;

          memset (node->now.data + at, 0, n);
        }
    }
  bytes_clear (&node->durable);
  bytes_append (&node->durable, node->now.data, node->now.length);
  node->common = node->now.length;
}

void
disk_fake_crash (struct disk_fake *self)
{
  uint32_t kept = (uint32_t) rng_below (&self->rng, (uint64_t) self->n_pending + 1);

  for (uint32_t i = 0; i < kept; i++)
    apply_change (&self->durable, &self->pending[i]);
  self->now = self->durable;
  self->n_pending = 0;
  for (uint32_t i = 0; i < self->now.n; i++)
    crash_node (self, self->now.names[i].node);
  memset (self->open, 0, sizeof self->open);
  self->stopped = false;
  self->stop_at = 0;
  self->fail_sync = false;
}

uint64_t
disk_fake_changes (const struct disk_fake *self)
{
  return self->changes;
}

void
disk_fake_stop_after (struct disk_fake *self, uint64_t n)
{
  self->stop_at = n == 0 ? 0 : self->changes + n;
}

bool
disk_fake_is_stopped (const struct disk_fake *self)
{
  return self->stopped;
}

void
disk_fake_fail_sync (struct disk_fake *self)
{
  self->fail_sync = true;
}

void
disk_fake_set_capacity (struct disk_fake *self, uint64_t bytes)
{
  self->capacity = bytes;
}

void
disk_fake_set_reported (struct disk_fake *self, uint64_t bytes)
{
  self->reported = bytes;
}

void
disk_fake_flip_bit (struct disk_fake *self, const char *name, uint64_t offset)
{
  struct name *entry = find_entry (&self->now, name);

  INVARIANT (entry != NULL && offset < entry->node->now.length);
  entry->node->now.data[offset] ^= 0x10;
  if (offset < entry->node->durable.length)
    entry->node->durable.data[offset] ^= 0x10;
}

void
disk_fake_truncate (struct disk_fake *self, const char *name, uint64_t length)
{
  struct name *entry = find_entry (&self->now, name);

  INVARIANT (entry != NULL);
  set_length (&entry->node->now, length);
  set_length (&entry->node->durable, length);
  if (entry->node->common > length)
    entry->node->common = length;
}

struct disk *
disk_fake_copy (void *parent, struct disk_fake *from)
{
  struct disk *disk = disk_fake_new (parent, rng_u64 (&from->rng));
  struct disk_fake *self = disk_fake_of (disk);

  for (uint32_t i = 0; i < from->durable.n; i++)
    {
      struct node *node = talloc_zero (self, struct node);
      const struct bytes *content = &from->durable.names[i].node->durable;

      bytes_init (&node->now, node);
      bytes_init (&node->durable, node);
      bytes_append (&node->now, content->data, content->length);
      bytes_append (&node->durable, content->data, content->length);
      node->common = content->length;
      put_entry (&self->now, from->durable.names[i].name, node);
    }
  self->durable = self->now;
  return disk;
}

uint64_t
disk_fake_syncs (const struct disk_fake *self)
{
  return self->syncs;
}
