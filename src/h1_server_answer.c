/* Responses of the HTTP/1.1 server: head, body and end. */
#include "container.h"
#include "h1_server_private.h"
#include "log.h"
#include <jansson.h>
#include <stdio.h>
#include <talloc.h>

#define CHUNK_HEAD_SIZE 20

/* Send the text, or fail the stream if building it ran out of memory. */
static void
write_text (struct h1_connection *connection, struct bytes *text)
{
  if (bytes_has_failed (text))
    tcp_fail (&connection->stream, TCP_END_MEMORY);
  else
    tcp_write (&connection->stream, text->data, text->length);
  bytes_clear (text);
}

static bool
has_no_body (unsigned status)
{
  return status < 200 || status == HTTP_STATUS_NO_CONTENT || status == HTTP_STATUS_NOT_MODIFIED;
}

/* Choose the framing of the response.  In a response to HEAD a length of 0 may only mean that the
 * handler gave no body, so no length is sent. */
static void
choose_framing (struct h1_connection *connection, unsigned status, int64_t *length)
{
  const struct h1_head *head = &connection->reader.head;

  connection->bodiless = head->method == HTTP_HEAD || has_no_body (status);
  if (has_no_body (status) || (head->method == HTTP_HEAD && *length == 0))
    *length = -1;
  connection->chunked = *length < 0 && !connection->bodiless && head->minor >= 1;
  connection->remaining = connection->bodiless ? -1 : *length;
  connection->keep = connection->keep && !connection->server->closing;
  /* An HTTP/1.0 response without a length ends with its connection. */
  if (*length < 0 && !connection->bodiless && !connection->chunked)
    {
      connection->keep = false;
      tcp_set_close_delimited (&connection->stream);
    }
}

static void
write_head (struct h1_connection *connection, unsigned status, const char *fields, int64_t length)
{
  const struct h1_head *head = &connection->reader.head;
  struct bytes out;

  bytes_init (&out, NULL);
  counter_add (connection->server->answers[status / 100 % STATUS_CLASSES], 1);
  choose_framing (connection, status, &length);
  bytes_append_format (&out, "HTTP/1.1 %u %s\r\n", status, h1_reason_phrase (status));
  if (fields != NULL)
    bytes_append_text (&out, fields);
  if (connection->chunked)
    bytes_append_text (&out, "Transfer-Encoding: chunked\r\n");
  else if (length >= 0)
    bytes_append_format (&out, "Content-Length: %lld\r\n", (long long) length);
  if (!connection->keep)
    bytes_append_text (&out, "Connection: close\r\n");
  else if (head->minor == 0)
    bytes_append_text (&out, "Connection: keep-alive\r\n");
  bytes_append_text (&out, "\r\n");
  write_text (connection, &out);
}

void
h1_connection_close_when_sent (struct h1_connection *connection, int64_t now)
{
  connection->state = CONNECTION_CLOSING;
  bytes_clear (&connection->body);
  bytes_clear (&connection->input);
  quota_set_state (&connection->member, QUOTA_SENDING, now);
  (void) h1_connection_hold (connection, 0, now);
  tcp_close_when_sent (&connection->stream);
  timer_arm (h1_connection_timers (connection), &connection->timer, now + H1_LINGER_TIMEOUT);
}

static void
answer_ended (struct h1_connection *connection)
{
  int64_t now = loop_now (connection->server->config.loop);

  connection->server->pending--;
  connection->unacknowledged = tcp_unacknowledged (&connection->stream);
  if (connection->keep && !connection->stream.failed)
    h1_connection_next (connection, now);
  else
    h1_connection_close_when_sent (connection, now);
}

/* If all clients together hold too much, the rest of this response is lost. */
static void
hold_response (struct h1_connection *connection)
{
  if (tcp_unsent (&connection->stream) > 0 && !connection->stream.failed
      && !h1_connection_hold (connection, 0, loop_now (connection->server->config.loop)))
    tcp_fail (&connection->stream, TCP_END_OVERFLOW);
}

void
h1_reply (struct h1_exchange *exchange,
          unsigned status,
          const char *fields,
          const void *body,
          size_t length)
{
  struct h1_connection *connection = exchange->connection;

  INVARIANT (connection->state == CONNECTION_WAITING);
  write_head (connection, status, fields, (int64_t) length);
  if (!connection->bodiless)
    tcp_write (&connection->stream, body, length);
  hold_response (connection);
  answer_ended (connection);
}

void
h1_reply_begin (struct h1_exchange *exchange, unsigned status, const char *fields, int64_t length)
{
  INVARIANT (exchange->connection->state == CONNECTION_WAITING);
  exchange->connection->state = CONNECTION_ANSWERING;
  write_head (exchange->connection, status, fields, length);
}

/* The body does not have the length given in the head: the client would read surplus bytes as the
 * next response, or fill up a short body from it. */
static void
log_length_mismatch (const struct h1_connection *connection, size_t length)
{
  log_event (LOG_MODULE_HTTP, LOG_LEVEL_WARNING, "answer-not-of-its-length", "{s:s,s:I,s:I}",
             "listener", connection->server->config.label, "owed",
             (json_int_t) connection->remaining, "given", (json_int_t) length);
}

/* Subtract `length` from the announced length.  On an excess the stream fails and the result is
 * false. */
static bool
consume_length (struct h1_connection *connection, size_t length)
{
  if (connection->remaining < 0)
    return true;
  if (length > (uint64_t) connection->remaining)
    {
      log_length_mismatch (connection, length);
      tcp_fail (&connection->stream, TCP_END_RESET);
      return false;
    }
  connection->remaining -= (int64_t) length;
  return true;
}

void
h1_reply_data (struct h1_exchange *exchange, const void *data, size_t length)
{
  struct h1_connection *connection = exchange->connection;
  char head[CHUNK_HEAD_SIZE];
  struct bytes out;

  INVARIANT (connection->state == CONNECTION_ANSWERING);
  if (length == 0 || connection->bodiless || !consume_length (connection, length))
    return;
  if (!connection->chunked)
    {
      tcp_write (&connection->stream, data, length);
      hold_response (connection);
      return;
    }
  snprintf (head, sizeof head, "%zx\r\n", length);
  bytes_init (&out, NULL);
  bytes_append_text (&out, head);
  bytes_append (&out, data, length);
  bytes_append (&out, "\r\n", 2);
  write_text (connection, &out);
  hold_response (connection);
}

void
h1_reply_end (struct h1_exchange *exchange, bool whole)
{
  struct h1_connection *connection = exchange->connection;

  INVARIANT (connection->state == CONNECTION_ANSWERING);
  if (whole && connection->remaining > 0)
    {
      log_length_mismatch (connection, 0);
      whole = false;
    }
  if (!whole)
    {
      h1_reply_abort (exchange);
      return;
    }
  if (connection->chunked)
    tcp_write (&connection->stream, "0\r\n\r\n", 5);
  answer_ended (connection);
}

void
h1_reply_abort (struct h1_exchange *exchange)
{
  struct h1_connection *connection = exchange->connection;

  connection->server->pending--;
  counter_add (connection->server->dropped, 1);
  h1_connection_drop (connection, true);
}
