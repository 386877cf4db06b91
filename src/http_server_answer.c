/* Responses of the HTTP server: the exchange operations and flow-controlled writes. */
#include "http_server_private.h"
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define HEAD_BYTES_MAX 8192

/* Bytes passed to lws in one write. */
#define WRITE_BYTES 16384

/* Sent bytes are removed from the buffer of a long response in steps of at least this size. */
#define CONSUME_BYTES (256u << 10)

static inline struct server_request *
request_of (const struct http_exchange *exchange)
{
  return (struct server_request *) exchange;
}

void
server_request_free (struct server_request *request)
{
  request->server->pending--;
  talloc_free (request);
}

static size_t
unsent (const struct server_request *request)
{
  return request->out.length - request->out_sent;
}

/* lws delivers no writable callback while reading is off, so reading is switched on with the
 * request for it. */
static void
request_writable (struct server_connection *connection)
{
  server_connection_set_reading (connection, true);
  lws_callback_on_writable (connection->wsi);
}

/* Schedule a write of the bytes added to the response, with a timeout for a caller that does not
 * read. */
static void
queue_write (struct server_request *request)
{
  struct server_connection *connection = request->connection;

  if (bytes_has_failed (&request->out)
      || !server_connection_hold (connection, 0, loop_now (connection->server->loop)))
    {
      server_connection_kill (connection);
      return;
    }
  if (request->finished)
    quota_set_state (&connection->member, QUOTA_SENDING, loop_now (connection->server->loop));
  if (connection->phase != SERVER_ANSWERING)
    {
      connection->phase = SERVER_ANSWERING;
      timer_arm (connection->server->timers, &connection->timer,
                 loop_now (connection->server->loop) + connection->server->limits.idle_timeout);
    }
  /* If the connection closes after this response, unread input is read and dropped: closing with
   * unread input would reset the connection and could lose the response. */
  if (connection->close_after)
    request_writable (connection);
  else if (!connection->choked)
    server_answer_resume (connection, loop_now (connection->server->loop));
}

static bool
add_field (struct server_request *request,
           const struct http_field *field,
           unsigned char **at,
           unsigned char *end)
{
  char name[128];
  int length = snprintf (name, sizeof name, "%s:", field->name);

  if (length >= (int) sizeof name || !http_header_text_is_valid (field->name)
      || !http_header_text_is_valid (field->value))
    return true;
  return lws_add_http_header_by_name (request->connection->wsi, (unsigned char *) name,
                                      (const unsigned char *) field->value,
                                      (int) strlen (field->value), at, end)
         == 0;
}

/* Append the status line and headers; `length` < 0 for a response in parts.  False if they do not
 * fit. */
static bool
add_head (struct server_request *request,
          int code,
          const struct http_field *fields,
          size_t n_fields,
          int64_t length)
{
  static const struct http_field close_field = { "connection", "close" };
  static const struct http_field chunked_field = { "transfer-encoding", "chunked" };
  struct server_connection *connection = request->connection;
  unsigned char head[HEAD_BYTES_MAX];
  unsigned char *at = head;
  unsigned char *end = head + sizeof head;
  char digits[24];
  const struct http_field length_field = { "content-length", digits };
  bool fits = lws_add_http_header_status (
                  connection->wsi, (unsigned int) code | LWSAHH_FLAG_NO_SERVER_NAME, &at, end)
              == 0;

  if (connection->server->closing || request->http10)
    connection->close_after = true;
  snprintf (digits, sizeof digits, "%lld", (long long) length);
  for (size_t i = 0; i < n_fields && fits; i++)
    fits = add_field (request, &fields[i], &at, end);
  if (fits && length >= 0)
    fits = add_field (request, &length_field, &at, end);
  if (fits && length < 0 && !request->http10)
    fits = add_field (request, &chunked_field, &at, end);
  if (fits && connection->close_after)
    fits = add_field (request, &close_field, &at, end);
  fits = fits && lws_finalize_http_header (connection->wsi, &at, end) == 0;
  if (fits)
    bytes_append (&request->out, head, (size_t) (at - head));
  return fits;
}

static void
reply (struct http_exchange *exchange,
       int code,
       const struct http_field *fields,
       size_t n_fields,
       const void *body,
       size_t length)
{
  struct server_request *request = request_of (exchange);

  request->finished = true;
  if (request->connection == NULL)
    {
      server_request_free (request);
      return;
    }
  if (!add_head (request, code, fields, n_fields, (int64_t) length))
    {
      server_connection_kill (request->connection);
      return;
    }
  if (!request->head_only)
    bytes_append (&request->out, body, length);
  queue_write (request);
}

static void
begin (struct http_exchange *exchange, int code, const struct http_field *fields, size_t n_fields)
{
  struct server_request *request = request_of (exchange);

  request->chunked = !request->http10;
  if (request->connection == NULL)
    return;
  request->close_delimited = request->http10;
  if (request->close_delimited)
    server_connection_set_reset_on_close (request->connection, true);
  if (!add_head (request, code, fields, n_fields, -1))
    server_connection_kill (request->connection);
  else
    queue_write (request);
}

static void
write_part (struct http_exchange *exchange, const void *data, size_t length)
{
  struct server_request *request = request_of (exchange);
  struct server_connection *connection = request->connection;

  if (connection == NULL || connection->killed || length == 0 || request->head_only)
    return;
  if (request->chunked)
    bytes_append_format (&request->out, "%zx\r\n", length);
  bytes_append (&request->out, data, length);
  if (request->chunked)
    bytes_append (&request->out, "\r\n", 2);
  if (unsent (request) > connection->server->limits.unsent_bytes)
    server_connection_kill (connection);
  else
    queue_write (request);
}

static void
finish (struct http_exchange *exchange)
{
  struct server_request *request = request_of (exchange);

  request->finished = true;
  if (request->connection == NULL)
    {
      server_request_free (request);
      return;
    }
  if (request->chunked && !request->head_only)
    bytes_append (&request->out, "0\r\n\r\n", 5);
  queue_write (request);
}

static void
abort_answer (struct http_exchange *exchange)
{
  struct server_request *request = request_of (exchange);

  request->finished = true;
  if (request->connection == NULL)
    server_request_free (request);
  else
    server_connection_kill (request->connection);
}

static size_t
count_unsent (const struct http_exchange *exchange)
{
  return unsent (request_of (exchange));
}

const struct http_exchange_ops server_exchange_ops = {
  .reply = reply,
  .begin = begin,
  .write = write_part,
  .finish = finish,
  .abort = abort_answer,
  .unsent = count_unsent,
};

/* The socket has accepted the whole response: close the connection or wait for the next request. */
static int
complete (struct server_connection *connection, int64_t now)
{
  struct http_server *server = connection->server;
  struct server_request *request = connection->request;

  if (request->close_delimited)
    server_connection_set_reset_on_close (connection, false);
  connection->request = NULL;
  server_request_free (request);
  if (connection->close_after)
    return -1;
  connection->phase = SERVER_IDLE;
  quota_set_state (&connection->member, QUOTA_IDLE, now);
  (void) quota_hold (&connection->member, 0, now);
  connection->read_before = server_connection_bytes_read (connection);
  timer_arm (server->timers, &connection->timer, now + server->limits.idle_timeout);
  server_connection_set_reading (connection, true);
  if (lws_http_transaction_completed (connection->wsi) != 0)
    return -1;
  /* The connection's own timer bounds the wait for the next request.  lws keeps timeouts in one
   * sorted list that it walks at each insertion, which would be the largest cost with many idle
   * connections. */
  lws_set_timeout (connection->wsi, NO_PENDING_TIMEOUT, 0);
  return 0;
}

/* Everything in the output buffer was written. */
static int
drained (struct server_connection *connection, int64_t now)
{
  struct server_request *request = connection->request;

  /* lws may have buffered the rest of a write; its writable callback follows when that is sent. */
  if (lws_partial_buffered (connection->wsi))
    {
      request_writable (connection);
      return 0;
    }
  if (request->finished)
    return complete (connection, now);
  /* No timeout applies to the holder's next part of the stream. */
  bytes_consume (&request->out, request->out_sent);
  request->out_sent = 0;
  timer_disarm (connection->server->timers, &connection->timer);
  server_connection_set_reading (connection, false);
  connection->phase = SERVER_HANDLING;
  return 0;
}

/* The socket's send buffer is full: wait until it is writable. */
static void
await_socket (struct server_connection *connection)
{
  if (connection->close_after || lws_partial_buffered (connection->wsi))
    {
      request_writable (connection);
      return;
    }
  connection->choked = true;
  server_connection_set_reading (connection, false);
}

int
server_answer_write (struct server_connection *connection, int64_t now)
{
  struct server_request *request = connection->request;

  if (connection->killed)
    return -1;
  if (request == NULL || connection->phase != SERVER_ANSWERING)
    return 0;
  while (unsent (request) > 0)
    {
      size_t length = unsent (request) < WRITE_BYTES ? unsent (request) : WRITE_BYTES;

      if (lws_partial_buffered (connection->wsi))
        {
          await_socket (connection);
          return 0;
        }
      if (lws_write (connection->wsi, (unsigned char *) request->out.data + request->out_sent,
                     length, LWS_WRITE_HTTP)
          < 0)
        return -1;
      request->out_sent += length;
      quota_note_progress (&connection->member, length, now);
      if (request->out_sent >= CONSUME_BYTES)
        {
          bytes_consume (&request->out, request->out_sent);
          request->out_sent = 0;
        }
      timer_arm (connection->server->timers, &connection->timer,
                 now + connection->server->limits.idle_timeout);
      if (unsent (request) > 0 && lws_send_pipe_choked (connection->wsi))
        {
          await_socket (connection);
          return 0;
        }
    }
  return drained (connection, now);
}

void
server_answer_resume (struct server_connection *connection, int64_t now)
{
  connection->choked = false;
  if (server_answer_write (connection, now) != 0)
    server_connection_kill (connection);
}
