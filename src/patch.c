/* Texts compressed for the wire, whole or as the difference from a base that the reader holds. */
#include "patch.h"
#include <stdlib.h>
#include <zstd.h>

/* A longer search makes patches hardly smaller: what differs is a fraction of the text. */
#define LEVEL 1

/* The window must hold the base and the text. */
#define WINDOW_BYTES_LOG 21

static bool
set_parameters (ZSTD_CCtx *context, const struct bytes *base)
{
  return !ZSTD_isError (ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, LEVEL))
         && !ZSTD_isError (ZSTD_CCtx_setParameter (context, ZSTD_c_windowLog, WINDOW_BYTES_LOG))
         && !ZSTD_isError (ZSTD_CCtx_setParameter (context, ZSTD_c_checksumFlag, 1))
         && (base == NULL
             || !ZSTD_isError (ZSTD_CCtx_refPrefix (context, base->data, base->length)));
}

enum status
patch_write (const struct bytes *base, const struct bytes *text, struct bytes *out)
{
  ZSTD_CCtx *context = ZSTD_createCCtx ();
  size_t room = ZSTD_compressBound (text->length);
  void *buffer = malloc (room);
  enum status status = STATUS_OK;
  size_t length;

  if (context == NULL || buffer == NULL || !set_parameters (context, base))
    status = status_fail (STATUS_NO_MEMORY, "no memory for a patch of %zu bytes", text->length);
  if (status == STATUS_OK)
    {
      length = ZSTD_compress2 (context, buffer, room, text->data, text->length);
      if (ZSTD_isError (length))
        status = status_fail (STATUS_NO_MEMORY, "cannot compress %zu bytes: %s", text->length,
                              ZSTD_getErrorName (length));
      else
        bytes_append (out, buffer, length);
    }
  ZSTD_freeCCtx (context);
  free (buffer);
  if (status == STATUS_OK && bytes_has_failed (out))
    status = status_fail (STATUS_NO_MEMORY, "no memory for a patch");
  return status;
}

static enum status
decompress (ZSTD_DCtx *context,
            const struct bytes *base,
            const void *patch,
            size_t length,
            void *buffer,
            size_t room)
{
  size_t written;

  if (base != NULL && ZSTD_isError (ZSTD_DCtx_refPrefix (context, base->data, base->length)))
    return status_fail (STATUS_NO_MEMORY, "no memory to read a patch");
  written = ZSTD_decompressDCtx (context, buffer, room, patch, length);
  if (ZSTD_isError (written))
    return status_fail (STATUS_CORRUPT, "a patch of %zu bytes cannot be read: %s", length,
                        ZSTD_getErrorName (written));
  if (written != room)
    return status_fail (STATUS_CORRUPT, "a patch holds %zu bytes, %zu are stated", written, room);
  return STATUS_OK;
}

enum status
patch_read (
    const struct bytes *base, const void *patch, size_t length, size_t max, struct bytes *out)
{
  unsigned long long size = ZSTD_getFrameContentSize (patch, length);
  ZSTD_DCtx *context;
  void *buffer;
  enum status status;

  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > max)
    return status_fail (STATUS_CORRUPT, "a patch of %zu bytes states no size up to %zu", length,
                        max);
  context = ZSTD_createDCtx ();
  buffer = malloc (size + 1);
  if (context == NULL || buffer == NULL)
    status = status_fail (STATUS_NO_MEMORY, "no memory for a text of %llu bytes", size);
  else
    status = decompress (context, base, patch, length, buffer, size);
  if (status == STATUS_OK)
    {
      bytes_append (out, buffer, size);
      if (bytes_has_failed (out))
        status = status_fail (STATUS_NO_MEMORY, "no memory for a text of %llu bytes", size);
    }
  ZSTD_freeDCtx (context);
  free (buffer);
  return status;
}
