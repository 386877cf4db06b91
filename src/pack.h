/* Encoding of messages between hosts in MessagePack, with limits on reading.
 *
 * libmpack tokens are the codec.  This layer adds a sticky failure, so that a decoder reads all
 * fields in a row and checks once.  A failed read returns zero values, never bytes outside the
 * message; a decoder applies nothing before pack_read_is_ok(). */
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

/* Starts an array; the next `count` values are its elements. */
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

/* Copies a string with its NUL; fails, with "" in `out`, when it does not fit or contains a NUL. */
void pack_read_text (struct pack_reader *reader, char *out, size_t size);

/* A pointer into the message, valid as long as the message; fails above `max` bytes. */
const void *pack_read_binary (struct pack_reader *reader, size_t max, size_t *length);

/* The element count of an array; fails above `max`.  The elements follow. */
uint32_t pack_read_array (struct pack_reader *reader, uint32_t max);

/* Whether all reads so far succeeded. */
static inline bool
pack_read_is_ok (const struct pack_reader *reader)
{
  return !reader->failed;
}

/* Whether all reads succeeded and the message was read to its end. */
static inline bool
pack_read_is_complete (const struct pack_reader *reader)
{
  return !reader->failed && reader->left == 0;
}

END_DECLS

#endif
