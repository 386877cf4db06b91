/* Snapshot files of the state machine. */
#include "snapshot.h"
#include "journal_format.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define MAGIC UINT64_C (0x0a73797272656863) /* "cherrys\n" */
#define MAGIC_SIZE 8
#define VERSION 1
#define NAME_PREFIX "snapshot-"
#define NAME_FORMAT NAME_PREFIX "%016" PRIx64
#define CHECKSUM_SIZE 8
#define FILE_BYTES_MAX (512u << 20)
#define SNAPSHOT_LIST_MAX 8

/* Words after the magic, the version (4 bytes) and the length of the members (4 bytes). */
enum header_word
{
  WORD_INDEX,
  WORD_TERM,
  WORD_LENGTH,
  WORD_CHECKSUM, /* of the header before this word and the members after it */
  WORD_COUNT
};
#define HEADER_SIZE (MAGIC_SIZE + 8 + WORD_COUNT * 8)

void
snapshot_seal (struct bytes *payload)
{
  char checksum[CHECKSUM_SIZE];

  format_put (checksum, XXH3_64bits (payload->data, payload->length));
  bytes_append (payload, checksum, sizeof checksum);
}

enum status
snapshot_check (const void *payload, size_t length, size_t *data_length)
{
  const char *data = payload;

  if (length < CHECKSUM_SIZE
      || format_get (data + length - CHECKSUM_SIZE) != XXH3_64bits (data, length - CHECKSUM_SIZE))
    return status_fail (STATUS_CORRUPT, "the checksum of a snapshot does not match");
  *data_length = length - CHECKSUM_SIZE;
  return STATUS_OK;
}

static uint64_t
header_checksum (const char *file, size_t members_length)
{
  uint64_t seed = XXH3_64bits (file, HEADER_SIZE - 8);

  return XXH3_64bits_withSeed (file + HEADER_SIZE, members_length, seed);
}

/* Header and members; the payload follows. */
static void
write_head (const struct raft_snapshot *snapshot, struct bytes *out)
{
  char header[HEADER_SIZE] = { 0 };
  char *words = header + MAGIC_SIZE + 8;
  size_t members_length;

  bytes_append (out, header, sizeof header);
  raft_members_write (&snapshot->members, out);
  if (bytes_has_failed (out))
    return;
  members_length = out->length - HEADER_SIZE;
  format_put (header, MAGIC);
  format_put (header + MAGIC_SIZE, VERSION | (uint64_t) members_length << 32);
  format_put (words + WORD_INDEX * 8, snapshot->index);
  format_put (words + WORD_TERM * 8, snapshot->term);
  format_put (words + WORD_LENGTH * 8, snapshot->length);
  memcpy (out->data, header, sizeof header);
  format_put (out->data + HEADER_SIZE - 8, header_checksum (out->data, members_length));
}

struct snapshot_list
{
  uint64_t newest;
  uint64_t indices[SNAPSHOT_LIST_MAX];
  uint32_t n;
};

static void
collect_index (void *context, const char *name)
{
  struct snapshot_list *snapshot_list = context;
  uint64_t index;

  if (strncmp (name, NAME_PREFIX, strlen (NAME_PREFIX)) != 0)
    return;
  index = strtoull (name + strlen (NAME_PREFIX), NULL, 16);
  if (snapshot_list->n < SNAPSHOT_LIST_MAX)
    snapshot_list->indices[snapshot_list->n++] = index;
  if (index > snapshot_list->newest)
    snapshot_list->newest = index;
}

static enum status
remove_older (struct disk *disk, uint64_t index)
{
  struct snapshot_list snapshot_list = { 0 };
  char name[DISK_NAME_SIZE];
  enum status status = disk->ops->list (disk, collect_index, &snapshot_list);

  for (uint32_t i = 0; status == STATUS_OK && i < snapshot_list.n; i++)
    if (snapshot_list.indices[i] < index)
      {
        snprintf (name, sizeof name, NAME_FORMAT, snapshot_list.indices[i]);
        status = disk->ops->remove (disk, name);
      }
  return status;
}

enum status
snapshot_store (struct disk *disk, const struct raft_snapshot *snapshot, const void *payload)
{
  char name[DISK_NAME_SIZE];
  struct bytes file;
  enum status status;

  bytes_init (&file, NULL);
  write_head (snapshot, &file);
  bytes_append (&file, payload, snapshot->length);
  snprintf (name, sizeof name, NAME_FORMAT, snapshot->index);
  status = bytes_has_failed (&file) ? status_fail (STATUS_NO_MEMORY, "snapshot")
                                    : disk_replace_file (disk, name, file.data, file.length);
  bytes_clear (&file);
  return status == STATUS_OK ? remove_older (disk, snapshot->index) : status;
}

static enum status
decode (struct bytes *file, struct raft_snapshot *out)
{
  const char *words = file->data + MAGIC_SIZE + 8;
  uint64_t version;
  size_t members_length;
  size_t data_length;
  enum status status;

  if (file->length < HEADER_SIZE || format_get (file->data) != MAGIC)
    return status_fail (STATUS_CORRUPT, "a snapshot has no valid header");
  version = format_get (file->data + MAGIC_SIZE);
  members_length = version >> 32;
  if ((uint32_t) version > VERSION)
    return status_fail (STATUS_UNSUPPORTED,
                        "snapshot has format %u, newer than this program supports",
                        (uint32_t) version);
  out->index = format_get (words + WORD_INDEX * 8);
  out->term = format_get (words + WORD_TERM * 8);
  out->length = format_get (words + WORD_LENGTH * 8);
  if (members_length > file->length - HEADER_SIZE
      || out->length != file->length - HEADER_SIZE - members_length
      || format_get (words + WORD_CHECKSUM * 8) != header_checksum (file->data, members_length))
    return status_fail (STATUS_CORRUPT, "the header of a snapshot is damaged");
  status = raft_members_read (file->data + HEADER_SIZE, members_length, &out->members);
  if (status != STATUS_OK)
    return status;
  bytes_consume (file, HEADER_SIZE + members_length);
  return snapshot_check (file->data, file->length, &data_length);
}

enum status
snapshot_load (struct disk *disk, struct raft_snapshot *out, struct bytes *payload)
{
  struct snapshot_list snapshot_list = { 0 };
  char name[DISK_NAME_SIZE];
  enum status status = disk->ops->list (disk, collect_index, &snapshot_list);

  memset (out, 0, sizeof *out);
  if (status == STATUS_OK && snapshot_list.n == 0)
    return STATUS_NOT_FOUND;
  if (status == STATUS_OK)
    {
      snprintf (name, sizeof name, NAME_FORMAT, snapshot_list.newest);
      status = disk->ops->read (disk, name, 0, FILE_BYTES_MAX, payload);
    }
  if (status == STATUS_OK)
    status = decode (payload, out);
  return status;
}

enum status
snapshot_read (struct disk *disk,
               const struct raft_snapshot *snapshot,
               uint64_t offset,
               uint32_t length,
               struct bytes *out)
{
  char name[DISK_NAME_SIZE];
  struct bytes members;
  size_t head;
  size_t before = out->length;
  enum status status;

  bytes_init (&members, NULL);
  raft_members_write (&snapshot->members, &members);
  head = HEADER_SIZE + members.length;
  bytes_clear (&members);
  snprintf (name, sizeof name, NAME_FORMAT, snapshot->index);
  status = disk->ops->read (disk, name, head + offset, length, out);
  if (status == STATUS_OK && out->length - before != length)
    status = status_fail (STATUS_CORRUPT, "a snapshot file is shorter than expected");
  return status;
}
