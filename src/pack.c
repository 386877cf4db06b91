/* MessagePack over libmpack's tokens. */
#include "pack.h"
#include "status.h"
#include <math.h>
#include <mpack.h>
#include <string.h>

static void
write_token (struct bytes *out, mpack_token_t token)
{
  char buffer[MPACK_MAX_TOKEN_LEN];
  char *at = buffer;
  size_t left = sizeof buffer;
  mpack_tokbuf_t tokens = MPACK_TOKBUF_INITIAL_VALUE;

  /* A token head is at most MPACK_MAX_TOKEN_LEN bytes, so the write is never partial. */
  INVARIANT (mpack_write (&tokens, &at, &left, &token) == MPACK_OK);
  bytes_append (out, buffer, sizeof buffer - left);
}

void
pack_uint (struct bytes *out, uint64_t value)
{
  write_token (out, mpack_pack_uint (value));
}

void
pack_bool (struct bytes *out, bool value)
{
  write_token (out, mpack_pack_boolean (value));
}

void
pack_double (struct bytes *out, double value)
{
  write_token (out, mpack_pack_float_fast (value));
}

void
pack_text (struct bytes *out, const char *text)
{
  size_t length = strlen (text);

  write_token (out, mpack_pack_str ((mpack_uint32_t) length));
  bytes_append (out, text, length);
}

void
pack_binary (struct bytes *out, const void *data, size_t length)
{
  INVARIANT (length <= UINT32_MAX);
  write_token (out, mpack_pack_bin ((mpack_uint32_t) length));
  bytes_append (out, data, length);
}

void
pack_array (struct bytes *out, uint32_t count)
{
  write_token (out, mpack_pack_array (count));
}

/* Reads the head of the next value; false, with the reader failed, when it is truncated, malformed
 * or of another type. */
static bool
read_token (struct pack_reader *reader, mpack_token_type_t type, mpack_token_t *token)
{
  mpack_tokbuf_t tokens = MPACK_TOKBUF_INITIAL_VALUE;

  if (reader->failed || reader->left == 0
      || mpack_read (&tokens, &reader->data, &reader->left, token) != MPACK_OK
      || token->type != type)
    reader->failed = true;
  return !reader->failed;
}

uint64_t
pack_read_uint (struct pack_reader *reader, uint64_t max)
{
  mpack_token_t token;
  uint64_t value;

  if (!read_token (reader, MPACK_TOKEN_UINT, &token))
    return 0;
  value = mpack_unpack_uint (token);
  if (value <= max)
    return value;
  reader->failed = true;
  return 0;
}

bool
pack_read_bool (struct pack_reader *reader)
{
  mpack_token_t token;

  return read_token (reader, MPACK_TOKEN_BOOLEAN, &token) && mpack_unpack_boolean (token);
}

double
pack_read_double (struct pack_reader *reader)
{
  mpack_token_t token;
  double value;

  if (!read_token (reader, MPACK_TOKEN_FLOAT, &token))
    return 0;
  value = mpack_unpack_float_fast (token);
  if (isfinite (value))
    return value;
  reader->failed = true;
  return 0;
}

static const char *
read_content (struct pack_reader *reader, mpack_token_type_t type, size_t max, size_t *length)
{
  mpack_token_t token;
  const char *content;

  *length = 0;
  if (!read_token (reader, type, &token))
    return NULL;
  if (token.length > max || token.length > reader->left)
    {
      reader->failed = true;
      return NULL;
    }
  content = reader->data;
  reader->data += token.length;
  reader->left -= token.length;
  *length = token.length;
  return content;
}

void
pack_read_text (struct pack_reader *reader, char *out, size_t size)
{
  size_t length;
  const char *content = read_content (reader, MPACK_TOKEN_STR, size - 1, &length);

  out[0] = '\0';
  if (content == NULL)
    return;
  if (memchr (content, '\0', length) != NULL)
    {
      reader->failed = true;
      return;
    }
  memcpy (out, content, length);
  out[length] = '\0';
}

const void *
pack_read_binary (struct pack_reader *reader, size_t max, size_t *length)
{
  return read_content (reader, MPACK_TOKEN_BIN, max, length);
}

uint32_t
pack_read_array (struct pack_reader *reader, uint32_t max)
{
  mpack_token_t token;

  if (!read_token (reader, MPACK_TOKEN_ARRAY, &token))
    return 0;
  if (token.length <= max)
    return token.length;
  reader->failed = true;
  return 0;
}
