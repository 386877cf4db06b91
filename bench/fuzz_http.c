/* The reader of HTTP messages: its result must not depend on how the bytes are split. */
#include "container.h"
#include "fuzz_parts.h"
#include "h1.h"
#include <string.h>

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

/* Limit on interim (1xx) responses before the final one. */
#define MESSAGES_MAX 4

struct reading
{
  struct h1_reader reader;
  struct bytes body;
  bool complete;
};

static bool
on_head (struct h1_reader *reader)
{
  (void) reader;
  return true;
}

static bool
on_body (struct h1_reader *reader, const char *data, size_t length)
{
  struct reading *reading = CONTAINER_OF (reader, struct reading, reader);

  bytes_append (&reading->body, data, length);
  return true;
}

static void
on_complete (struct h1_reader *reader)
{
  (void) reader;
}

static const struct h1_reader_ops ops = {
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
};

/* Feeds chunks of `chunk_size` bytes until a message that is not an interim response is
 * complete. */
static enum status
read_all (struct reading *reading, const char *data, size_t length, size_t chunk_size)
{
  size_t at = 0;
  int messages = 0;

  while (at < length && !reading->complete)
    {
      size_t n = length - at < chunk_size ? length - at : chunk_size;
      size_t used;
      enum status status = h1_read (&reading->reader, data + at, n, &used);

      at += used;
      if (status != STATUS_OK)
        return status;
      if (!reading->reader.done)
        continue;
      reading->complete =
          reading->reader.head.status >= 200 || reading->reader.parser.type == HTTP_REQUEST;
      if (!reading->complete && ++messages == MESSAGES_MAX)
        return STATUS_LIMIT;
      if (!reading->complete)
        h1_reader_next (&reading->reader);
    }
  return reading->complete ? STATUS_OK : STATUS_MALFORMED;
}

static enum status
read_in_chunks (void *parent,
                enum http_parser_type type,
                const void *data,
                size_t length,
                size_t chunk_size,
                struct bytes *body)
{
  struct reading reading = { .complete = false };
  enum status status;

  h1_reader_init (&reading.reader, &ops, type, H1_HEAD_BYTES_MAX);
  bytes_init (&reading.body, parent);
  status = read_all (&reading, data, length, chunk_size);
  h1_reader_clear (&reading.reader);
  *body = reading.body;
  return status;
}

static enum status
decode (void *parent, enum http_parser_type type, const void *data, size_t length)
{
  struct bytes at_once;
  struct bytes bytewise;
  enum status status = read_in_chunks (parent, type, data, length, length + 1, &at_once);
  enum status other = read_in_chunks (parent, type, data, length, 1, &bytewise);

  INVARIANT ((status == STATUS_OK) == (other == STATUS_OK));
  INVARIANT (
      status != STATUS_OK
      || (at_once.length == bytewise.length
          && (at_once.length == 0 || memcmp (at_once.data, bytewise.data, at_once.length) == 0)));
  return status;
}

/* ---- responses ---- */

static const char *const answer_samples[] = {
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: a/b\r\n\r\nhello",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1b;x=\"y z\"\r\n"
  "abcdefghijklmnopqrstuvwxyz\n\r\n000\r\nTrailer: t\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nRetry-After: 1\r\n\r\n",
  "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok",
};

static void
answer_sample (uint32_t i, struct bytes *out)
{
  bytes_append_text (out, answer_samples[i]);
}

static enum status
answer_decode (void *parent, const void *data, size_t length)
{
  return decode (parent, HTTP_RESPONSE, data, length);
}

const struct fuzz_decoder fuzz_http_response = {
  .name = "http-answer",
  .n_samples = COUNT (answer_samples),
  .sample = answer_sample,
  .decode = answer_decode,
};

/* ---- requests ---- */

static const char *const request_samples[] = {
  "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX-Request-Id: 1\r\n\r\nhello",
  "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n10;e\r\n"
  "0123456789abcdef\r\n0\r\n\r\n",
  "GET / HTTP/1.0\r\n\r\n",
};

static void
request_sample (uint32_t i, struct bytes *out)
{
  bytes_append_text (out, request_samples[i]);
}

static enum status
request_decode (void *parent, const void *data, size_t length)
{
  return decode (parent, HTTP_REQUEST, data, length);
}

const struct fuzz_decoder fuzz_http_request = {
  .name = "http-request",
  .n_samples = COUNT (request_samples),
  .sample = request_sample,
  .decode = request_decode,
};
