/* HTTP/1.1 messages over libhttp-parser. */
#include "h1.h"
#include "container.h"
#include <inttypes.h>
#include <string.h>
#include <strings.h>

static const char *const framing_texts[] = {
#define X(name, text) [H1_FRAMING_##name] = text,
  H1_FRAMING_LIST (X)
#undef X
};

const char *
h1_framing_text (enum h1_framing framing)
{
  return framing_texts[framing];
}

/* ---- reading ---- */

static struct h1_reader *
reader_of (http_parser *parser)
{
  return CONTAINER_OF (parser, struct h1_reader, parser);
}

static int
add_text (struct h1_reader *reader, const char *data, size_t length)
{
  struct bytes *text = &reader->head.text;

  if (text->length + length > reader->header_max)
    {
      reader->too_large = true;
      return 1;
    }
  /* A NUL would end the text early and hide what follows it. */
  if (memchr (data, '\0', length) != NULL)
    return 1;
  bytes_append (text, data, length);
  return bytes_has_failed (text) ? 1 : 0;
}

static void
end_text (struct h1_reader *reader)
{
  bytes_append (&reader->head.text, "", 1);
}

static int
on_target (http_parser *parser, const char *data, size_t length)
{
  return add_text (reader_of (parser), data, length);
}

/* Trailer fields are dropped: the head was delivered already and does not change. */
static bool
is_trailer (const http_parser *parser)
{
  return (parser->flags & F_TRAILING) != 0;
}

static int
on_name (http_parser *parser, const char *data, size_t length)
{
  struct h1_reader *reader = reader_of (parser);
  struct h1_head *head = &reader->head;

  if (is_trailer (parser))
    return 0;
  /* The parser accepts "Content-Length :" as Content-Length, other implementations treat it as
   * another field. */
  if (memchr (data, ' ', length) != NULL)
    return 1;
  if (head->n_fields == 0 || reader->in_value)
    {
      if (head->n_fields == H1_FIELDS_MAX)
        {
          reader->too_large = true;
          return 1;
        }
      end_text (reader);
      reader->offsets[head->n_fields][0] = (uint32_t) head->text.length;
      head->n_fields++;
      reader->in_value = false;
    }
  return add_text (reader, data, length);
}

static int
on_value (http_parser *parser, const char *data, size_t length)
{
  struct h1_reader *reader = reader_of (parser);
  struct h1_head *head = &reader->head;

  if (is_trailer (parser))
    return 0;
  if (!reader->in_value)
    {
      end_text (reader);
      reader->offsets[head->n_fields - 1][1] = (uint32_t) head->text.length;
      reader->in_value = true;
    }
  return add_text (reader, data, length);
}

static void
trim_trailing_space (char *text)
{
  size_t length = strlen (text);

  while (length > 0 && (text[length - 1] == ' ' || text[length - 1] == '\t'))
    text[--length] = '\0';
}

static void
resolve_fields (struct h1_reader *reader)
{
  struct h1_head *head = &reader->head;

  end_text (reader);
  if (bytes_has_failed (&head->text))
    return;
  head->target = head->text.data;
  for (uint32_t i = 0; i < head->n_fields; i++)
    {
      head->fields[i].name = head->text.data + reader->offsets[i][0];
      head->fields[i].value = head->text.data + reader->offsets[i][1];
      trim_trailing_space (head->text.data + reader->offsets[i][1]);
    }
}

/* Rejects two lengths, a transfer coding that is not decoded and a framing field that the parser
 * reads differently from this code: the end of the body would be ambiguous. */
static bool
framing_is_ambiguous (const struct h1_head *head)
{
  const char *coding = h1_field_value (head, "transfer-encoding");

  if (head->chunked && head->has_length)
    return true;
  if (h1_count_fields (head, "content-length") != (head->has_length ? 1 : 0)
      || h1_count_fields (head, "transfer-encoding") != (head->chunked ? 1 : 0))
    return true;
  return coding != NULL && strcasecmp (coding, "chunked") != 0;
}

/* Responses that have no body regardless of their header fields (RFC 9112, 6.3). */
static bool
has_no_body (const struct h1_reader *reader)
{
  unsigned status = reader->head.status;

  if (reader->parser.type == HTTP_REQUEST)
    return false;
  return reader->no_body || status < 200 || status == HTTP_STATUS_NO_CONTENT
         || status == HTTP_STATUS_NOT_MODIFIED;
}

static enum h1_framing
framing_of (const struct h1_reader *reader)
{
  const struct h1_head *head = &reader->head;

  if (has_no_body (reader))
    return H1_FRAMING_NO_BODY;
  if (head->chunked)
    return H1_FRAMING_CHUNKED;
  if (head->has_length)
    return H1_FRAMING_LENGTH;
  return reader->parser.type == HTTP_REQUEST ? H1_FRAMING_NO_BODY : H1_FRAMING_CLOSE;
}

static int
on_head (http_parser *parser)
{
  struct h1_reader *reader = reader_of (parser);
  struct h1_head *head = &reader->head;

  resolve_fields (reader);
  if (bytes_has_failed (&head->text))
    return -1;
  head->method = parser->method;
  head->status = parser->status_code;
  head->minor = parser->http_minor;
  head->chunked = (parser->flags & F_CHUNKED) != 0;
  head->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  head->length = head->has_length ? parser->content_length : 0;
  head->framing = framing_of (reader);
  if (framing_is_ambiguous (head))
    return -1;
  /* HTTP/1.0 has no chunked coding: an intermediary may have seen another end of the message. */
  head->keep_alive = http_should_keep_alive (parser) != 0 && !(head->chunked && head->minor == 0);
  reader->part_ended = true;
  http_parser_pause (parser, 1);
  return has_no_body (reader) ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *data, size_t length)
{
  struct h1_reader *reader = reader_of (parser);

  reader->piece = data;
  reader->piece_length = length;
  return 0;
}

/* Pauses the parser between the parts of a chunked body, so that framing bytes can be distinguished
 * from data. */
static int
pause_at_part (http_parser *parser)
{
  reader_of (parser)->part_ended = true;
  http_parser_pause (parser, 1);
  return 0;
}

static int
on_chunk_header (http_parser *parser)
{
  return pause_at_part (parser);
}

static int
on_chunk_complete (http_parser *parser)
{
  /* After a trailer on_complete() follows. */
  return is_trailer (parser) ? 0 : pause_at_part (parser);
}

static int
on_complete (http_parser *parser)
{
  struct h1_reader *reader = reader_of (parser);

  reader->done = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings reader_settings = {
  .on_url = on_target,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_chunk_header = on_chunk_header,
  .on_chunk_complete = on_chunk_complete,
  .on_message_complete = on_complete,
};

void
h1_reader_init (struct h1_reader *reader,
                const struct h1_reader_ops *ops,
                enum http_parser_type type,
                size_t header_max)
{
  memset (reader, 0, sizeof *reader);
  reader->ops = ops;
  reader->header_max = header_max > H1_HEAD_BYTES_MAX ? H1_HEAD_BYTES_MAX : header_max;
  http_parser_init (&reader->parser, type);
  bytes_init (&reader->head.text, NULL);
}

void
h1_reader_clear (struct h1_reader *reader)
{
  bytes_clear (&reader->head.text);
}

void
h1_reader_next (struct h1_reader *reader)
{
  struct h1_head *head = &reader->head;

  bytes_clear (&head->text);
  head->n_fields = 0;
  reader->begun = false;
  reader->done = false;
  reader->in_value = false;
  reader->in_extension = false;
  reader->part = H1_PART_HEAD;
  reader->last_byte = '\0';
  reader->part_bytes = 0;
  reader->framing_bytes = 0;
  reader->body_bytes = 0;
  http_parser_init (&reader->parser, (enum http_parser_type) reader->parser.type);
}

/* ---- framing ---- */

/* Checks a byte of a chunk-size line: the parser skips everything after the digits, line ends
 * included. */
static bool
size_byte_is_valid (struct h1_reader *reader, char byte)
{
  bool after_space = reader->last_byte == ' ' || reader->last_byte == '\t';

  if (reader->in_extension)
    return byte == '\r' || byte == '\t' || (unsigned char) byte >= ' ';
  if (byte == ';')
    reader->in_extension = true;
  return !after_space || byte == ' ' || byte == '\t' || byte == ';';
}

/* The distribution's http-parser accepts any byte in place of the LF after a CR, and any two bytes
 * in place of the CR LF after chunk data. */
static bool
framing_byte_is_valid (struct h1_reader *reader, char byte)
{
  if (reader->last_byte == '\r')
    return byte == '\n';
  /* A head may end its lines with LF alone (RFC 9112, 2.2). */
  if (byte == '\n')
    return reader->part == H1_PART_HEAD;
  if (reader->part == H1_PART_CHUNK)
    return byte == '\r';
  return reader->part != H1_PART_SIZE || size_byte_is_valid (reader, byte);
}

static void
enter_part (struct h1_reader *reader, enum h1_part part)
{
  reader->part = part;
  reader->last_byte = '\0';
  reader->in_extension = false;
  reader->part_bytes = 0;
}

static enum status
malformed (const char *why)
{
  return status_fail (STATUS_MALFORMED, "not HTTP/1.1: %s", why);
}

/* Framing bytes are not delivered, so the limits of the body's user do not bound them. */
static enum status
check_framing_size (const struct h1_reader *reader)
{
  static const uint64_t limits[] = {
    [H1_PART_HEAD] = H1_HEAD_WIRE_BYTES_MAX,
    [H1_PART_SIZE] = H1_CHUNK_LINE_BYTES_MAX,
    [H1_PART_CHUNK] = H1_CHUNK_LINE_BYTES_MAX,
    [H1_PART_TRAILER] = H1_TRAILER_BYTES_MAX,
    [H1_PART_BODY] = UINT64_MAX,
  };
  static const char *const names[] = {
    [H1_PART_HEAD] = "a head",       [H1_PART_SIZE] = "a chunk-size line",
    [H1_PART_CHUNK] = "a chunk end", [H1_PART_TRAILER] = "trailers",
    [H1_PART_BODY] = "a body",
  };

  if (reader->part_bytes > limits[reader->part])
    return status_fail (STATUS_TOO_LARGE, "%s over %" PRIu64 " bytes", names[reader->part],
                        limits[reader->part]);
  if (reader->framing_bytes > H1_FRAMING_BYTES_MAX + H1_FRAMING_SHARE * reader->body_bytes)
    return status_fail (STATUS_TOO_LARGE,
                        "%" PRIu64 " bytes in chunk-size lines for %" PRIu64 " bytes of body",
                        reader->framing_bytes, reader->body_bytes);
  return STATUS_OK;
}

/* Checks the bytes that were parsed: all after the piece of body are framing. */
static enum status
check_framing (struct h1_reader *reader, const char *data, size_t length)
{
  reader->body_bytes += reader->piece_length;
  if (reader->part == H1_PART_BODY)
    return STATUS_OK;
  for (size_t i = reader->piece_length; i < length; i++)
    {
      if (!framing_byte_is_valid (reader, data[i]))
        return malformed ("unsound framing");
      reader->last_byte = data[i];
    }
  reader->part_bytes += length - reader->piece_length;
  if (reader->part == H1_PART_SIZE)
    reader->framing_bytes += length - reader->piece_length;
  return check_framing_size (reader);
}

/* ---- reading ---- */

static enum status
refused (void)
{
  return status_fail (STATUS_CANCELLED, "the message was refused");
}

/* Run the parser up to the end of the part or of the data. */
static enum status
parse (struct h1_reader *reader, const char *data, size_t length, size_t *used)
{
  enum http_errno error;

  reader->piece_length = 0;
  reader->part_ended = false;
  *used = http_parser_execute (&reader->parser, &reader_settings, data, length);
  error = HTTP_PARSER_ERRNO (&reader->parser);
  if (error == HPE_PAUSED)
    http_parser_pause (&reader->parser, 0);
  else if (reader->too_large)
    return status_fail (STATUS_TOO_LARGE, "headers over %zu bytes", reader->header_max);
  else if (error == HPE_HEADER_OVERFLOW)
    return status_fail (STATUS_TOO_LARGE, "headers over the parser's limit");
  else if (error != HPE_OK)
    return malformed (http_errno_description (error));
  return check_framing (reader, data, *used);
}

/* The parser reports a head before it has consumed its last byte; parse that byte too. */
static enum status
end_head (struct h1_reader *reader, const char *last)
{
  size_t used;
  enum status status = parse (reader, last, 1, &used);

  if (status != STATUS_OK)
    return status;
  enter_part (reader, reader->head.chunked ? H1_PART_SIZE : H1_PART_BODY);
  return reader->ops->head (reader) ? STATUS_OK : refused ();
}

static enum status
read_part (struct h1_reader *reader, const char *data, size_t length, size_t *used)
{
  enum status status = parse (reader, data, length, used);

  if (status != STATUS_OK)
    return status;
  if (reader->piece_length > 0 && !reader->ops->body (reader, reader->piece, reader->piece_length))
    return refused ();
  if (!reader->part_ended)
    return STATUS_OK;
  if (reader->part == H1_PART_HEAD)
    return end_head (reader, data + (*used)++);
  if (reader->part == H1_PART_CHUNK)
    enter_part (reader, H1_PART_SIZE);
  else
    enter_part (reader, is_trailer (&reader->parser) ? H1_PART_TRAILER : H1_PART_CHUNK);
  return STATUS_OK;
}

enum status
h1_read (struct h1_reader *reader, const char *data, size_t length, size_t *used)
{
  enum status status = STATUS_OK;

  *used = 0;
  reader->begun = reader->begun || length > 0;
  while (status == STATUS_OK && *used < length && !reader->done)
    {
      size_t step;

      status = read_part (reader, data + *used, length - *used, &step);
      *used += step;
    }
  if (status == STATUS_OK && reader->done)
    reader->ops->complete (reader);
  return status;
}

bool
h1_read_end (struct h1_reader *reader)
{
  if (reader->done || !reader->begun)
    return reader->done;
  (void) http_parser_execute (&reader->parser, &reader_settings, "", 0);
  if (reader->done)
    reader->ops->complete (reader);
  return reader->done;
}
