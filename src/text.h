/* Copies of short strings into fixed-size buffers. */
#ifndef TEXT_H
#define TEXT_H

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Copies `text` with its NUL; false, with "" in `out`, when it does not fit. */
static inline bool
text_copy (char *out, size_t size, const char *text)
{
  size_t length = strlen (text);

  if (length >= size)
    {
      out[0] = '\0';
      return false;
    }
  memcpy (out, text, length + 1);
  return true;
}

/* Copies `text`, truncated to `size - 1` bytes. */
static inline void
text_copy_truncated (char *out, size_t size, const char *text)
{
  snprintf (out, size, "%s", text);
}

#endif
