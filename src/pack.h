/* Messages between hosts in MessagePack: write into a buffer, read with limits.
 *
 * libmpack's tokens are the codec; this is the layer that keeps a sticky failure, so that a decoder
 * reads all fields in a row and checks once.  A read that failed gives zero values, never bytes
 * outside the message; whoever decodes applies nothing before pack_read_ok(). */
#ifndef PACK_H
#define PACK_H

#include "bytes.h"
#include "decls.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

void pack_uint (struct bytes *out, uint64_t value);
void pack_bool (struct bytes *out, bool value);
void pack_double (struct bytes *out, double value);
void pack_text (struct bytes *out, const char *text);
void pack_binary (struct bytes *out, const void *data, size_t length);

/* The next `count` values are the array's. */
void pack_array (struct bytes *out, uint32_t count);

struct pack_reader
{
  const char *data;
  size_t left;
  bool failed;
};

static inline void
pack_reader_init (struct pack_reader *reader, const void *data, size_t length)
{
  reader->data = (const char *) data;
  reader->left = length;
  reader->failed = false;
}

/* Fails above `max`. */
uint64_t pack_read_uint (struct pack_reader *reader, uint64_t max);
bool pack_read_bool (struct pack_reader *reader);

/* Fails for a value that is not finite. */
double pack_read_double (struct pack_reader *reader);

/* Copy a text with its NUL; fails, with "" in `out`, when it does not fit or holds a NUL. */
void pack_read_text (struct pack_reader *reader, char *out, size_t size);

/* A view into the message, valid as long as the message; fails above `max` bytes. */
const void *pack_read_binary (struct pack_reader *reader, size_t max, size_t *length);

/* The count of an array's values; fails above `max`.  The values follow. */
uint32_t pack_read_array (struct pack_reader *reader, uint32_t max);

/* Everything read so far was there and of its type. */
static inline bool
pack_read_ok (const struct pack_reader *reader)
{
  return !reader->failed;
}

/* As pack_read_ok(), and the message ends here. */
static inline bool
pack_read_end (const struct pack_reader *reader)
{
  return !reader->failed && reader->left == 0;
}

END_DECLS

#endif
