/* The files of a log of bindings: a header, then records of a length, a checksum and a body.  A
 * write that a loss of power cut off leaves records at the end of a file that fail their checksum.
 */
#include "binding_log_private.h"
#include "binding_wire.h"
#include <string.h>
#include <xxhash.h>

#define MAGIC "cherryarch-bindings-1\n"
#define MAGIC_LENGTH (sizeof MAGIC - 1)
#define HEADER_LENGTH (MAGIC_LENGTH + 16)
#define FRAME_LENGTH 12
#define BODY_MAX 4096u

static void
write_number (struct bytes *out, uint64_t value, size_t size)
{
  unsigned char text[8];

  for (size_t i = 0; i < size; i++)
    text[i] = (unsigned char) (value >> (8 * i));
  bytes_append (out, text, size);
}

static uint64_t
read_number (const char *data, size_t size)
{
  uint64_t value = 0;

  for (size_t i = 0; i < size; i++)
    value |= (uint64_t) (unsigned char) data[i] << (8 * i);
  return value;
}

void
binding_log_write_header (struct bytes *out, const struct binding_log_header *header)
{
  bytes_append (out, MAGIC, MAGIC_LENGTH);
  write_number (out, (uint64_t) header->wall, 8);
  write_number (out, (uint64_t) header->steady, 8);
}

size_t
binding_log_read_header (const char *data, size_t length, struct binding_log_header *out)
{
  if (length < HEADER_LENGTH || memcmp (data, MAGIC, MAGIC_LENGTH) != 0)
    return 0;
  out->wall = (int64_t) read_number (data + MAGIC_LENGTH, 8);
  out->steady = (int64_t) read_number (data + MAGIC_LENGTH + 8, 8);
  return HEADER_LENGTH;
}

void
binding_log_write_record (struct bytes *out, const struct binding_log_record *record)
{
  struct bytes body;

  bytes_init (&body, NULL);
  pack_uint (&body, (uint64_t) record->added);
  pack_uint (&body, (uint64_t) record->entry.lifetime);
  binding_write_key (&body, &record->entry.key);
  binding_write (&body, &record->entry.binding);
  write_number (out, body.length, 4);
  write_number (out, XXH3_64bits (body.data, body.length), 8);
  bytes_append (out, body.data, body.length);
  out->failed = out->failed || bytes_has_failed (&body);
  bytes_clear (&body);
}

static bool
read_body (const char *data, size_t length, struct binding_log_record *out)
{
  struct pack_reader in;

  pack_reader_init (&in, data, length);
  out->added = (int64_t) pack_read_uint (&in, (uint64_t) INT64_MAX);
  out->entry.lifetime = (int64_t) pack_read_uint (&in, (uint64_t) INT64_MAX);
  binding_read_key (&in, &out->entry.key);
  binding_read (&in, &out->entry.binding);
  return pack_read_is_complete (&in);
}

size_t
binding_log_read_record (const char *data, size_t length, struct binding_log_record *out)
{
  size_t body;

  if (length < FRAME_LENGTH)
    return 0;
  body = (size_t) read_number (data, 4);
  if (body > BODY_MAX || body > length - FRAME_LENGTH
      || XXH3_64bits (data + FRAME_LENGTH, body) != read_number (data + 4, 8)
      || !read_body (data + FRAME_LENGTH, body, out))
    return 0;
  return FRAME_LENGTH + body;
}
