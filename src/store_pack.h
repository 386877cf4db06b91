/* Helpers on top of pack.h to pack and read entries and snapshots. */
#ifndef STORE_PACK_H
#define STORE_PACK_H

#include "pack.h"
#include "status.h"
#include <string.h>

#define STORE_DATA_MAX (64u << 20) /* of one binary value in an entry or a snapshot */

/* Wall-clock milliseconds; times before 1970 are packed as 0. */
static inline void
store_pack_time (struct bytes *out, int64_t time_ms)
{
  pack_uint (out, time_ms < 0 ? 0 : (uint64_t) time_ms);
}

static inline int64_t
store_read_time (struct pack_reader *in)
{
  return (int64_t) pack_read_uint (in, INT64_MAX);
}

static inline const char *
store_read_data (struct pack_reader *in, size_t *length)
{
  return (const char *) pack_read_binary (in, STORE_DATA_MAX, length);
}

/* Read exactly `size` bytes of data; zeros on failure. */
static inline void
store_read_fixed (struct pack_reader *in, void *out, size_t size)
{
  size_t length;
  const void *data = pack_read_binary (in, size, &length);

  if (length != size)
    in->failed = true;
  if (in->failed)
    memset (out, 0, size);
  else
    memcpy (out, data, size);
}

static inline enum status
store_read_end (const struct pack_reader *in)
{
  if (!pack_read_is_complete (in))
    return status_fail (STATUS_MALFORMED, "entry or message is malformed");
  return STATUS_OK;
}

#endif
