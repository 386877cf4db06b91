/* The identity of a data folder. */
#include "journal.h"
#include "journal_format.h"
#include "pack.h"
#include <talloc.h>

#define IDENTITY_NAME "identity"
#define IDENTITY_BYTES_MAX 4096
#define IDENTITY_VERSION 1
#define IDENTITY_FIELDS 5
#define CHECKSUM_SIZE 8

static enum status
decode (const struct bytes *file, struct journal_identity *out)
{
  struct pack_reader in;
  size_t length = file->length - CHECKSUM_SIZE;
  uint64_t version;

  if (file->length < CHECKSUM_SIZE
      || format_get (file->data + length) != XXH3_64bits (file->data, length))
    return status_fail (STATUS_CORRUPT, "the identity of the data folder is damaged");
  pack_reader_init (&in, file->data, length);
  in.failed |= pack_read_array (&in, IDENTITY_FIELDS) != IDENTITY_FIELDS;
  version = pack_read_uint (&in, UINT64_MAX);
  if (!in.failed && version > IDENTITY_VERSION)
    return status_fail (STATUS_UNSUPPORTED,
                        "data folder has format %u, newer than this program supports",
                        (unsigned) version);
  out->id = pack_read_uint (&in, UINT64_MAX);
  out->group = pack_read_uint (&in, UINT64_MAX);
  out->starts = pack_read_uint (&in, UINT64_MAX);
  pack_read_text (&in, out->name, sizeof out->name);
  if (!pack_read_is_complete (&in) || out->id == 0)
    return status_fail (STATUS_CORRUPT, "the identity of the data folder is malformed");
  return STATUS_OK;
}

enum status
journal_identity_read (struct disk *disk, struct journal_identity *out)
{
  struct bytes file;
  enum status status;

  memset (out, 0, sizeof *out);
  bytes_init (&file, NULL);
  status = disk->ops->read (disk, IDENTITY_NAME, 0, IDENTITY_BYTES_MAX, &file);
  if (status == STATUS_OK)
    status = decode (&file, out);
  bytes_clear (&file);
  return status;
}

enum status
journal_identity_write (struct disk *disk, const struct journal_identity *identity)
{
  char checksum[CHECKSUM_SIZE];
  struct bytes out;
  enum status status;

  bytes_init (&out, NULL);
  pack_array (&out, IDENTITY_FIELDS);
  pack_uint (&out, IDENTITY_VERSION);
  pack_uint (&out, identity->id);
  pack_uint (&out, identity->group);
  pack_uint (&out, identity->starts);
  pack_text (&out, identity->name);
  if (!bytes_has_failed (&out))
    format_put (checksum, XXH3_64bits (out.data, out.length));
  bytes_append (&out, checksum, sizeof checksum);
  status = bytes_has_failed (&out) ? status_fail (STATUS_NO_MEMORY, "identity")
                                   : disk_replace_file (disk, IDENTITY_NAME, out.data, out.length);
  bytes_clear (&out);
  return status;
}
