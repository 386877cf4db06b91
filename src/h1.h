/* Incremental reader of HTTP/1.1 messages for forwarding: complete heads, bodies in pieces.
 *
 * libhttp-parser does the parsing.  libwebsockets' HTTP cannot enumerate unknown header names and
 * does not accept chunked request bodies; forwarding needs both. */
#ifndef H1_H
#define H1_H

#include "bytes.h"
#include "decls.h"
#include "status.h"
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define H1_FIELDS_MAX 128
#define H1_HEAD_BYTES_MAX 65536 /* upper bound of any configured header limit */

/* Bytes of a head as it is sent, with what is not kept: separators, spaces around values, empty
 * lines before it. */
#define H1_HEAD_WIRE_BYTES_MAX (H1_HEAD_BYTES_MAX + 16384)

/* Bytes of one chunk-size line with its extensions, and of all trailer fields of a message. */
#define H1_CHUNK_LINE_BYTES_MAX 4096
#define H1_TRAILER_BYTES_MAX 16384

/* Bytes of all chunk-size lines of a message: this many, and H1_FRAMING_SHARE for each byte of
 * body. A chunk of one byte takes 6 bytes, an extension with a signature about 90. */
#define H1_FRAMING_BYTES_MAX 65536
#define H1_FRAMING_SHARE 128

/* name, text: how the end of a body is determined (RFC 9112, 6.3) */
#define H1_FRAMING_LIST(X)                                                                         \
  X (UNKNOWN, "no head yet")                                                                       \
  X (NO_BODY, "no body")                                                                           \
  X (LENGTH, "length")                                                                             \
  X (CHUNKED, "chunks")                                                                            \
  X (CLOSE, "end of connection")

enum h1_framing
{
#define X(name, text) H1_FRAMING_##name,
  H1_FRAMING_LIST (X)
#undef X
      H1_FRAMING_COUNT
};

const char *h1_framing_text (enum h1_framing framing);

/* A header field; both strings are NUL-terminated and live as long as the head. */
struct h1_field
{
  const char *name;
  const char *value;
};

struct h1_head
{
  struct bytes text; /* target, names and values, each NUL-terminated */
  uint32_t n_fields;
  struct h1_field fields[H1_FIELDS_MAX];
  const char *target; /* of a request */
  unsigned method;    /* enum http_method */
  unsigned status;    /* of a response */
  unsigned minor;     /* HTTP/1.minor */
  bool has_length;
  bool chunked;
  uint64_t length;
  enum h1_framing framing;
  bool keep_alive;
};

/* The value of the first header with that name, compared without case; NULL when there is none. */
const char *h1_field_value (const struct h1_head *head, const char *name);
uint32_t h1_count_fields (const struct h1_head *head, const char *name);

/* Does this header concern one connection only (RFC 9110, 7.6.1)?  Those that a `Connection` header
 * of the same message names count too. */
bool h1_is_hop_by_hop (const struct h1_head *head, const char *name);

/* Is the content type text/event-stream? */
bool h1_is_event_stream (const struct h1_head *head);

/* Append "Name: value" and CR LF. */
void h1_write_field (struct bytes *out, const char *name, const char *value);

/* The standard reason phrase; "Unknown" for a status that has none. */
const char *h1_reason_phrase (unsigned status);

struct h1_reader;

struct h1_reader_ops
{
  /* The head is complete.  Returning false rejects the message: h1_read() returns
   * STATUS_CANCELLED. */
  bool (*head) (struct h1_reader *reader);
  bool (*body) (struct h1_reader *reader, const char *data, size_t length);
  void (*complete) (struct h1_reader *reader);
};

enum h1_part
{
  H1_PART_HEAD,
  H1_PART_SIZE, /* chunk-size line */
  H1_PART_CHUNK,
  H1_PART_TRAILER,
  H1_PART_BODY, /* not chunked */
};

/* Embedded by its user. */
struct h1_reader
{
  const struct h1_reader_ops *ops;
  http_parser parser;
  struct h1_head head;
  size_t header_max; /* bytes of header text; STATUS_TOO_LARGE above */
  bool no_body;      /* set by the user: responses are to a HEAD and have no body */
  bool begun;        /* bytes of a message have been received */
  bool done;         /* the message is complete */
  bool too_large;
  bool in_value;
  bool in_extension; /* of a chunk-size line */
  bool part_ended;
  enum h1_part part;
  char last_byte;         /* previous framing byte of this part; NUL before the first */
  uint64_t part_bytes;    /* framing bytes of this part */
  uint64_t framing_bytes; /* of all chunk-size lines */
  uint64_t body_bytes;
  const char *piece; /* of the body, not delivered yet */
  size_t piece_length;
  uint32_t offsets[H1_FIELDS_MAX][2]; /* of name and value in head.text, which may still move */
};

/* `type`: requests or responses.  `header_max` is in bytes. */
void h1_reader_init (struct h1_reader *reader,
                     const struct h1_reader_ops *ops,
                     enum http_parser_type type,
                     size_t header_max);
void h1_reader_clear (struct h1_reader *reader);

/* Reset the reader for the next message on the same connection. */
void h1_reader_next (struct h1_reader *reader);

/* Parse bytes up to the end of one message; `used` is set to the number of bytes consumed.
 * STATUS_MALFORMED, STATUS_TOO_LARGE for headers, chunk-size lines or trailers over their limit,
 * STATUS_CANCELLED when a callback rejected the message. */
enum status h1_read (struct h1_reader *reader, const char *data, size_t length, size_t *used);

/* Report an orderly end of the connection, which completes a response without a length.  True when
 * the message is complete. */
bool h1_read_end (struct h1_reader *reader);

END_DECLS

#endif
