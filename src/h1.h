/* HTTP/1.1 messages as they are forwarded: heads with every header kept, bodies in pieces.
 *
 * libhttp-parser does the parsing.  libwebsockets' HTTP cannot enumerate unknown header names and
 * takes no chunked request body, both of which forwarding needs. */
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
#define H1_HEAD_BYTES_MAX 65536 /* of all header text, whatever the limits in force say */

/* name, text: what shows the end of a body (RFC 9112, 6.3) */
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

/* A header; both texts end in NUL and live as long as the head. */
struct h1_field
{
  const char *name;
  const char *value;
};

struct h1_head
{
  struct bytes text; /* target, names and values, each ended by NUL */
  uint32_t n_fields;
  struct h1_field fields[H1_FIELDS_MAX];
  const char *target; /* of a request */
  unsigned method;    /* enum http_method */
  unsigned status;    /* of an answer */
  unsigned minor;     /* HTTP/1.minor */
  bool has_length;
  bool chunked;
  uint64_t length;
  enum h1_framing framing;
  bool keep_alive;
};

/* The value of the first header of that name, in any case; NULL when there is none. */
const char *h1_value (const struct h1_head *head, const char *name);
uint32_t h1_count_fields (const struct h1_head *head, const char *name);

/* Does this header concern one connection only (RFC 9110, 7.6.1)?  Those that a `Connection` header
 * of the same message names count too. */
bool h1_is_hop_by_hop (const struct h1_head *head, const char *name);

/* Is the body an event stream, by its type? */
bool h1_has_events (const struct h1_head *head);

/* Append "Name: value" and the line's end. */
void h1_write_field (struct bytes *out, const char *name, const char *value);

/* The usual reason phrase, "Unknown" for a number that has none. */
const char *h1_reason (unsigned status);

struct h1_reader;

struct h1_reader_ops
{
  /* The head is whole.  False refuses the message: h1_read() returns STATUS_CANCELLED. */
  bool (*head) (struct h1_reader *reader);
  bool (*body) (struct h1_reader *reader, const char *data, size_t length);
  void (*complete) (struct h1_reader *reader);
};

enum h1_part
{
  H1_PART_HEAD,
  H1_PART_SIZE, /* of a chunk: its line */
  H1_PART_CHUNK,
  H1_PART_TRAILER,
  H1_PART_BODY, /* not in chunks */
};

/* Embedded by its user. */
struct h1_reader
{
  const struct h1_reader_ops *ops;
  http_parser parser;
  struct h1_head head;
  size_t header_max; /* bytes of header text; STATUS_TOO_LARGE above */
  bool no_body;      /* set by its user: answers have none, they are to a HEAD */
  bool begun;        /* bytes of a message have come */
  bool done;         /* the message is whole */
  bool too_large;
  bool in_value;
  bool in_extension; /* of a chunk's size */
  bool part_ended;
  enum h1_part part;
  char last;         /* byte of framing in this part; NUL before the first */
  const char *piece; /* of the body, not handed over yet */
  size_t piece_length;
  uint32_t offsets[H1_FIELDS_MAX][2]; /* into head.text until it is whole */
};

/* A reader of requests or of answers. */
void h1_reader_init (struct h1_reader *reader,
                     const struct h1_reader_ops *ops,
                     enum http_parser_type type,
                     size_t header_max);
void h1_reader_clear (struct h1_reader *reader);

/* Get ready for the next message on the same connection. */
void h1_reader_next (struct h1_reader *reader);

/* Feed bytes; stops after one whole message, `used` says where. */
enum status h1_read (struct h1_reader *reader, const char *data, size_t length, size_t *used);

/* The connection ended in an orderly way: an answer without a length is whole by that.  True when
 * the message is whole. */
bool h1_read_end (struct h1_reader *reader);

END_DECLS

#endif
