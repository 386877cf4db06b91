/* A growable byte buffer that keeps a terminating NUL after its content.
 *
 * A failed write, out of memory or over the size limit, is sticky: later writes do nothing and
 * bytes_has_failed() returns true, so a sequence of writes is checked once at its end. */
#ifndef BYTES_H
#define BYTES_H

#include "decls.h"
#include <stdbool.h>
#include <stddef.h>

BEGIN_DECLS

struct bytes
{
  void *parent; /* talloc parent of `data` */
  char *data;   /* NULL until the first write */
  size_t length;
  size_t capacity;
  bool failed;
};

void bytes_init (struct bytes *bytes, void *parent);
void bytes_clear (struct bytes *bytes); /* frees the content and resets the failure */

/* Makes room for exactly `capacity` bytes and the NUL, if there is less; on failure as a write. */
void bytes_reserve (struct bytes *bytes, size_t capacity);
void bytes_append (struct bytes *bytes, const void *data, size_t length);

/* Appends, unless the buffer would exceed `max` bytes: then it fails and takes no further data,
 * because a buffer with a gap must not be taken for the complete content. */
void bytes_append_limited (struct bytes *bytes, const void *data, size_t length, size_t max);
void bytes_append_text (struct bytes *bytes, const char *text);
void bytes_append_format (struct bytes *bytes, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Removes `length` bytes from the front. */
void bytes_consume (struct bytes *bytes, size_t length);

static inline bool
bytes_has_failed (const struct bytes *bytes)
{
  return bytes->failed;
}

END_DECLS

#endif
