/* A growable byte buffer. */
#include "bytes.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define BYTES_FIRST_CAPACITY 256

void
bytes_init (struct bytes *bytes, void *parent)
{
  *bytes = (struct bytes){ .parent = parent };
}

void
bytes_clear (struct bytes *bytes)
{
  talloc_free (bytes->data);
  bytes_init (bytes, bytes->parent);
}

static bool
set_capacity (struct bytes *bytes, size_t capacity)
{
  char *data = talloc_realloc (bytes->parent, bytes->data, char, capacity);

  if (data == NULL)
    {
      bytes->failed = true;
      return false;
    }
  bytes->data = data;
  bytes->capacity = capacity;
  return true;
}

/* Ensures capacity for `length` more bytes and the NUL. */
static bool
ensure_capacity (struct bytes *bytes, size_t length)
{
  size_t wanted = bytes->length + length + 1;
  size_t capacity = bytes->capacity == 0 ? BYTES_FIRST_CAPACITY : bytes->capacity;

  if (bytes->failed)
    return false;
  if (wanted <= bytes->capacity)
    return true;
  while (capacity < wanted)
    capacity *= 2;
  return set_capacity (bytes, capacity);
}

void
bytes_reserve (struct bytes *bytes, size_t capacity)
{
  if (!bytes->failed && capacity + 1 > bytes->capacity && set_capacity (bytes, capacity + 1))
    bytes->data[bytes->length] = '\0';
}

void
bytes_append (struct bytes *bytes, const void *data, size_t length)
{
  if (!ensure_capacity (bytes, length))
    return;
  if (length > 0)
    memcpy (bytes->data + bytes->length, data, length);
  bytes->length += length;
  bytes->data[bytes->length] = '\0';
}

void
bytes_append_limited (struct bytes *bytes, const void *data, size_t length, size_t max)
{
  if (bytes->length > max || length > max - bytes->length)
    bytes->failed = true;
  bytes_append (bytes, data, length);
}

void
bytes_append_text (struct bytes *bytes, const char *text)
{
  bytes_append (bytes, text, strlen (text));
}

void
bytes_append_format (struct bytes *bytes, const char *format, ...)
{
  va_list args;
  va_list again;
  int length;

  va_start (args, format);
  va_copy (again, args);
  length = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (length < 0)
    bytes->failed = true;
  else if (ensure_capacity (bytes, (size_t) length))
    {
      vsnprintf (bytes->data + bytes->length, (size_t) length + 1, format, again);
      bytes->length += (size_t) length;
    }
  va_end (again);
}

void
bytes_consume (struct bytes *bytes, size_t length)
{
  if (length > bytes->length)
    length = bytes->length;
  if (length == 0)
    return;
  memmove (bytes->data, bytes->data + length, bytes->length - length + 1);
  bytes->length -= length;
}
