/* Incremental decoder of server-sent events (WHATWG HTML, section 9.2.6).
 *
 * Supports what the targets' streams use: `event` and `data` fields, comments and events ended by
 * an empty line.  Lines end in LF or CR LF. */
#ifndef SSE_H
#define SSE_H

#include "bytes.h"
#include "decls.h"
#include "status.h"
#include <stddef.h>

BEGIN_DECLS

#define SSE_NAME_SIZE 32

/* Bytes of lines between two events that belong to neither: comments, unknown fields, empty lines.
 * A comment of 8 bytes each second is within it for nine hours. */
#define SSE_SKIPPED_BYTES_MAX (256u << 10)

struct sse_sink
{
  const struct sse_sink_ops *ops;
};

struct sse_sink_ops
{
  /* One event; `name` is "" when the event has none.  Returning false stops sse_feed() at once; the
   * sink may then have freed the decoder. */
  bool (*event) (struct sse_sink *sink, const char *name, const char *data, size_t length);
};

struct sse_decoder
{
  struct bytes line; /* of the incomplete line */
  struct bytes data; /* of the incomplete event */
  char name[SSE_NAME_SIZE];
  size_t max_event_bytes; /* bytes of one event and the current line */
  size_t skipped_bytes;   /* since the last event, of lines without data */
};

void sse_init (struct sse_decoder *decoder, void *parent, size_t max_event_bytes);
void sse_clear (struct sse_decoder *decoder);

/* STATUS_TOO_LARGE for an event, or lines without one, over the limit, STATUS_CANCELLED when the
 * sink stopped the feed, STATUS_NO_MEMORY. */
enum status sse_feed (struct sse_decoder *decoder,
                      const void *data,
                      size_t length,
                      struct sse_sink *sink);

END_DECLS

#endif
