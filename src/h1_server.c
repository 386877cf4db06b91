/* The HTTP/1.1 server of the forwarding path. */
#include "container.h"
#include "h1_server_private.h"
#include "log.h"
#include "text.h"
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>
#include <unistd.h>

/* Bytes that a client may pipeline before the response to its current request. */
#define PIPELINED_BYTES_MAX 65536

static void
free_connection (struct h1_connection *connection)
{
  struct h1_server *server = connection->server;

  timer_disarm (h1_connection_timers (connection), &connection->timer);
  quota_leave (&connection->member);
  tcp_close (&connection->stream, false);
  h1_reader_clear (&connection->reader);
  bytes_clear (&connection->body);
  bytes_clear (&connection->input);
  if (connection->previous != NULL)
    connection->previous->next = connection->next;
  else
    server->connections = connection->next;
  if (connection->next != NULL)
    connection->next->previous = connection->previous;
  server->n_connections--;
  talloc_free (connection);
}

static bool
answer_is_due (const struct h1_connection *connection)
{
  return connection->state == CONNECTION_WAITING || connection->state == CONNECTION_ANSWERING;
}

void
h1_connection_drop (struct h1_connection *connection, bool reset)
{
  connection->state = CONNECTION_CLOSING;
  quota_leave (&connection->member);
  bytes_clear (&connection->body);
  bytes_clear (&connection->input);
  tcp_close (&connection->stream, reset);
  timer_arm (h1_connection_timers (connection), &connection->timer, 0);
}

static void
stream_ended (struct tcp_stream *stream, enum tcp_end end, int64_t now)
{
  struct h1_connection *connection = CONTAINER_OF (stream, struct h1_connection, stream);
  struct h1_handler *handler = connection->server->config.handler;

  if (end == TCP_END_OVERFLOW || end == TCP_END_MEMORY)
    log_event (LOG_MODULE_HTTP, LOG_LEVEL_WARNING, "connection-failed", "{s:s,s:s}", "listener",
               connection->server->config.label, "message", tcp_end_text (end));
  if (answer_is_due (connection))
    {
      connection->server->pending--;
      connection->state = CONNECTION_CLOSING;
      handler->ops->gone (handler, &connection->exchange, now);
    }
  free_connection (connection);
}

/* ---- memory ---- */

bool
h1_connection_hold (struct h1_connection *connection, size_t more, int64_t now)
{
  size_t bodies = (connection->body.capacity + more) * (1 + connection->server->config.body_copies);

  return quota_hold (&connection->member,
                     bodies + connection->input.capacity + connection->reader.head.text.capacity
                         + tcp_unsent_memory (&connection->stream),
                     now);
}

/* Make room for a body of `length` bytes.  One in chunks may grow further, so its buffer grows by
 * more, up to the limit. */
static bool
reserve_body (struct h1_connection *connection, size_t length, int64_t now)
{
  size_t capacity = connection->body.capacity;
  size_t limit = connection->server->config.limits->body_bytes;
  size_t wanted = length;

  if (length < capacity)
    return true;
  if (!connection->reader.head.has_length)
    wanted = length > 2 * capacity ? length : 2 * capacity;
  if (wanted > limit && length <= limit)
    wanted = limit;
  if (!h1_connection_hold (connection, wanted + 1 - capacity, now))
    return false;
  bytes_reserve (&connection->body, wanted);
  return !bytes_has_failed (&connection->body);
}

/* ---- requests ---- */

static const char *
fields_of_refusal (unsigned status)
{
  return status == HTTP_STATUS_SERVICE_UNAVAILABLE ? "Retry-After: " QUOTA_RETRY_AFTER_TEXT "\r\n"
                                                   : NULL;
}

/* Reject a request that is malformed, too large or late, or that finds no room; no part of it has
 * run. */
static void
reject_request (struct h1_connection *connection, unsigned status)
{
  connection->keep = false;
  connection->state = CONNECTION_WAITING;
  bytes_clear (&connection->body);
  connection->server->pending++;
  counter_add (connection->server->refused, 1);
  log_event (LOG_MODULE_HTTP, LOG_LEVEL_INFO, "request-refused", "{s:s,s:i}", "listener",
             connection->server->config.label, "status", (int) status);
  h1_reply (&connection->exchange, status, fields_of_refusal (status), NULL, 0);
}

static bool
head_is_valid (const struct h1_head *head)
{
  const char *coding = h1_field_value (head, "transfer-encoding");

  if (head->method == HTTP_CONNECT || head->target[0] != '/')
    return false;
  if (h1_count_fields (head, "host") > 1
      || (head->minor > 0 && h1_field_value (head, "host") == NULL))
    return false;
  /* Any other coding would be lost, as forwarding reframes the body. */
  if (coding != NULL
      && (h1_count_fields (head, "transfer-encoding") > 1 || strcasecmp (coding, "chunked") != 0))
    return false;
  return coding == NULL || h1_field_value (head, "content-length") == NULL;
}

static bool
on_head (struct h1_reader *reader)
{
  struct h1_connection *connection = CONTAINER_OF (reader, struct h1_connection, reader);
  const struct h1_server *server = connection->server;
  const struct h1_head *head = &reader->head;
  int64_t now = loop_now (server->config.loop);
  const char *expect = h1_field_value (head, "expect");

  connection->keep = head->keep_alive;
  if (!head_is_valid (head))
    connection->reject_status = HTTP_STATUS_BAD_REQUEST;
  else if (head->has_length && head->length > server->config.limits->body_bytes)
    connection->reject_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
  else if (head->has_length && head->length > 0 && !reserve_body (connection, head->length, now))
    connection->reject_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
  if (connection->reject_status != 0)
    return false;
  if (expect != NULL && strcasecmp (expect, "100-continue") == 0 && head->minor >= 1)
    tcp_write (&connection->stream, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  return true;
}

static bool
on_body (struct h1_reader *reader, const char *data, size_t length)
{
  struct h1_connection *connection = CONTAINER_OF (reader, struct h1_connection, reader);

  if (connection->body.length + length > connection->server->config.limits->body_bytes)
    {
      connection->reject_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
      return false;
    }
  if (!reserve_body (connection, connection->body.length + length,
                     loop_now (connection->server->config.loop)))
    {
      connection->reject_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
      return false;
    }
  bytes_append (&connection->body, data, length);
  return true;
}

static void
on_complete (struct h1_reader *reader)
{
  (void) reader;
}

static const struct h1_reader_ops reader_ops = {
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
};

static unsigned
reject_status_of (const struct h1_connection *connection, enum status status)
{
  if (connection->reject_status != 0)
    return connection->reject_status;
  if (status == STATUS_TOO_LARGE)
    return HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
  return HTTP_STATUS_BAD_REQUEST;
}

/* Parse up to the end of one request. */
static size_t
parse_input (struct h1_connection *connection, const char *data, size_t length, int64_t now)
{
  struct h1_server *server = connection->server;
  struct h1_handler *handler = server->config.handler;
  enum status status;
  size_t used;

  if (!connection->reader.begun)
    {
      quota_set_state (&connection->member, QUOTA_RECEIVING, now);
      connection->exchange.arrived = now;
      connection->reader.header_max = server->config.limits->header_bytes;
      timer_arm (h1_connection_timers (connection), &connection->timer,
                 now + server->config.limits->request_timeout);
    }
  status = h1_read (&connection->reader, data, length, &used);
  if (status != STATUS_OK)
    {
      reject_request (connection, reject_status_of (connection, status));
      return length;
    }
  if (!connection->reader.done)
    return used;
  timer_disarm (h1_connection_timers (connection), &connection->timer);
  connection->state = CONNECTION_WAITING;
  quota_set_state (&connection->member, QUOTA_RUNNING, now);
  server->pending++;
  counter_add (server->requests, 1);
  handler->ops->request (handler, &connection->exchange, now);
  return used;
}

/* May the next bytes be parsed?  A client that does not read its responses gets no further ones. */
static bool
may_parse (const struct h1_connection *connection)
{
  return connection->state == CONNECTION_READING && connection->input.length > 0
         && (connection->reader.begun || tcp_unsent (&connection->stream) == 0);
}

/* Later requests on the connection are not read, so it closes after the current response. */
static void
drop_input (struct h1_connection *connection)
{
  bytes_clear (&connection->input);
  connection->keep = false;
}

/* Requests are handled one at a time; pipelined bytes are buffered. */
static void
feed (struct h1_connection *connection, const char *data, size_t length, int64_t now)
{
  bytes_append (&connection->input, data, length);
  if (bytes_has_failed (&connection->input))
    {
      tcp_fail (&connection->stream, TCP_END_MEMORY);
      return;
    }
  connection->in_feed = true;
  while (may_parse (connection))
    {
      size_t used = parse_input (connection, connection->input.data, connection->input.length, now);

      bytes_consume (&connection->input, used);
    }
  connection->in_feed = false;
  if (connection->input.length > PIPELINED_BYTES_MAX)
    {
      drop_input (connection);
      if (connection->state == CONNECTION_READING)
        h1_connection_close_when_sent (connection, now);
    }
  if (connection->input.length == 0)
    bytes_clear (&connection->input);
  if (connection->state == CONNECTION_CLOSING || h1_connection_hold (connection, 0, now))
    return;
  if (connection->state == CONNECTION_READING)
    reject_request (connection, HTTP_STATUS_SERVICE_UNAVAILABLE);
  else
    drop_input (connection);
}

void
h1_connection_next (struct h1_connection *connection, int64_t now)
{
  struct h1_server *server = connection->server;

  bytes_clear (&connection->body);
  h1_reader_next (&connection->reader);
  connection->state = CONNECTION_READING;
  quota_set_state (&connection->member,
                   tcp_unsent (&connection->stream) > 0 ? QUOTA_SENDING : QUOTA_IDLE, now);
  (void) h1_connection_hold (connection, 0, now);
  connection->reject_status = 0;
  connection->exchange.user = NULL;
  timer_arm (h1_connection_timers (connection), &connection->timer,
             now + server->config.limits->idle_timeout);
  /* If feed() is on the call stack, its loop processes the remaining input. */
  if (!connection->in_feed && connection->input.length > 0)
    feed (connection, "", 0, now);
}

/* The client may send the rest of a refused request before it reads the response, but not without
 * end. */
static void
discard (struct h1_connection *connection, size_t length)
{
  const struct h1_limits *limits = connection->server->config.limits;

  connection->discarded += length;
  if (connection->discarded > limits->body_bytes + limits->header_bytes)
    h1_connection_drop (connection, true);
}

static void
stream_received (struct tcp_stream *stream, const char *data, size_t length, int64_t now)
{
  struct h1_connection *connection = CONTAINER_OF (stream, struct h1_connection, stream);

  quota_note_progress (&connection->member, length, now);
  /* On a failed stream a request could not be answered. */
  if (connection->state == CONNECTION_CLOSING)
    discard (connection, length);
  else if (!stream->failed)
    feed (connection, data, length, now);
}

static void
stream_connected (struct tcp_stream *stream, int64_t now)
{
  (void) stream;
  (void) now;
}

/* The client took a part of its responses. */
static void
stream_sent (struct tcp_stream *stream, int64_t now)
{
  struct h1_connection *connection = CONTAINER_OF (stream, struct h1_connection, stream);

  quota_note_progress (&connection->member, QUOTA_PROGRESS_BYTES, now);
  (void) h1_connection_hold (connection, 0, now);
  if (connection->state != CONNECTION_READING || connection->reader.begun
      || tcp_unsent (stream) > 0)
    return;
  quota_set_state (&connection->member, QUOTA_IDLE, now);
  if (connection->input.length > 0)
    feed (connection, "", 0, now);
}

static const struct tcp_stream_ops stream_ops = {
  .connected = stream_connected,
  .received = stream_received,
  .ended = stream_ended,
  .sent = stream_sent,
};

/* Has the client read part of the unsent data since the last check? */
static bool
client_is_reading (struct h1_connection *connection)
{
  size_t before = connection->unacknowledged;

  connection->unacknowledged = tcp_unacknowledged (&connection->stream);
  return tcp_unsent (&connection->stream) > 0 && connection->unacknowledged < before;
}

/* Idle timeout, request timeout, linger timeout or a dropped exchange. */
static void
timer_fired (struct timer *timer, int64_t now)
{
  struct h1_connection *connection = CONTAINER_OF (timer, struct h1_connection, timer);

  if (connection->state == CONNECTION_READING && connection->reader.begun)
    reject_request (connection, HTTP_STATUS_REQUEST_TIMEOUT);
  else if (client_is_reading (connection))
    timer_arm (h1_connection_timers (connection), timer, now + H1_LINGER_TIMEOUT);
  else
    free_connection (connection);
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

/* Other clients need the room. */
static void
end_member (struct quota_member *member, bool keep, int64_t now)
{
  struct h1_connection *connection = CONTAINER_OF (member, struct h1_connection, member);

  (void) now;
  bytes_clear (&connection->input);
  if (keep)
    reject_request (connection, HTTP_STATUS_SERVICE_UNAVAILABLE);
  else
    h1_connection_drop (connection, true);
}

static const struct quota_member_ops member_ops = { .end = end_member };

static struct h1_connection *
new_connection (struct h1_server *server)
{
  struct h1_connection *connection = talloc_zero (server, struct h1_connection);

  if (connection == NULL)
    return NULL;
  connection->server = server;
  connection->timer.ops = &timer_ops;
  connection->member.ops = &member_ops;
  connection->member.label = server->config.label;
  connection->exchange.connection = connection;
  connection->exchange.head = &connection->reader.head;
  connection->exchange.body = &connection->body;
  h1_reader_init (&connection->reader, &reader_ops, HTTP_REQUEST,
                  server->config.limits->header_bytes);
  bytes_init (&connection->body, connection);
  bytes_init (&connection->input, connection);
  return connection;
}

static void
on_accepted (struct tcp_listener *listener, int fd, int64_t now)
{
  struct h1_server *server = CONTAINER_OF (listener, struct h1_server, listener);
  struct h1_connection *connection = new_connection (server);

  if (connection == NULL || !quota_join (server->config.quota, &connection->member, now))
    {
      talloc_free (connection);
      close (fd);
      return;
    }
  if (tcp_accept (&connection->stream, &stream_ops, server->config.loop, fd) != STATUS_OK)
    {
      quota_leave (&connection->member);
      talloc_free (connection);
      return;
    }
  connection->next = server->connections;
  if (server->connections != NULL)
    server->connections->previous = connection;
  server->connections = connection;
  server->n_connections++;
  timer_arm (h1_connection_timers (connection), &connection->timer,
             now + server->config.limits->idle_timeout);
}

static const struct tcp_listener_ops listener_ops = { .accepted = on_accepted };

static int
free_server (struct h1_server *server)
{
  tcp_listener_close (&server->listener);
  while (server->connections != NULL)
    free_connection (server->connections);
  return 0;
}

static void
take_counters (struct h1_server *server)
{
  struct counters *counters = server->config.counters;
  char label[64];

  for (int i = 0; i < STATUS_CLASSES; i++)
    {
      snprintf (label, sizeof label, "listener=\"%s\",status=\"%dxx\"", server->config.label, i);
      server->answers[i] = counter_get (counters, "cherryarch_h1_answers_total",
                                        "Answers by the class of their status.", label);
    }

  snprintf (label, sizeof label, "listener=\"%s\"", server->config.label);
  server->requests =
      counter_get (counters, "cherryarch_h1_requests_total", "Whole requests that arrived.", label);
  server->refused = counter_get (counters, "cherryarch_h1_refused_total",
                                 "Requests refused before they were whole.", label);
  server->dropped = counter_get (counters, "cherryarch_h1_dropped_total",
                                 "Connections reset in place of an answer's end.", label);
}

struct h1_server *
h1_server_new (void *parent, const struct h1_server_config *config)
{
  struct h1_server *server = talloc_zero (parent, struct h1_server);

  if (server == NULL)
    return NULL;
  server->config = *config;
  server->listener.fd = -1;
  take_counters (server);
  if (config->quota == NULL)
    server->config.quota = quota_new (server, &(struct quota_config){
                                                  .connections_max = config->connections_max,
                                                  .counters = config->counters,
                                              });
  if (server->config.quota == NULL)
    {
      talloc_free (server);
      return NULL;
    }
  if (tcp_listen (&server->listener, &listener_ops, config->loop, config->listen) != STATUS_OK)
    {
      talloc_free (server);
      return NULL;
    }
  talloc_set_destructor (server, free_server);
  return server;
}

uint16_t
h1_server_port (const struct h1_server *server)
{
  return inet_address_bound_port (server->listener.fd);
}

void
h1_server_close_after_answers (struct h1_server *server)
{
  server->closing = true;
}

uint32_t
h1_server_pending (const struct h1_server *server)
{
  uint32_t pending = server->pending;

  for (const struct h1_connection *at = server->connections; at != NULL; at = at->next)
    if (!answer_is_due (at) && tcp_unsent (&at->stream) > 0)
      pending++;
  return pending;
}

uint32_t
h1_server_connections (const struct h1_server *server)
{
  return server->n_connections;
}
