/* The HTTP/1.1 client. */
#include "h1_client.h"
#include "client_stream.h"
#include "container.h"
#include "resource.h"
#include "text.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>

/* Share of the target's announced keep-alive time for which an idle connection is reused.  Later a
 * request may cross the target's close, and it would be unknown whether it ran. */
#define KEEP_ALIVE_SHARE 0.75

static const char *const end_texts[] = {
#define X(name, text) [H1_END_##name] = text,
  H1_END_LIST (X)
#undef X
};

const char *
h1_end_text (enum h1_end end)
{
  return end_texts[end];
}

/* Connections to one address. */
struct h1_endpoint
{
  char address[RESOURCE_ADDRESS_SIZE];
  struct h1_client_connection *idle; /* newest first */
  UT_hash_handle hh;
};

/* A connection. */
struct h1_client_connection
{
  struct client_stream stream;
  struct timer timer; /* path check, connect or idle timeout; frees the connection after a cancel */
  struct h1_client *client;
  struct h1_endpoint *endpoint;
  struct h1_client_connection *prev; /* in the idle list of its address */
  struct h1_client_connection *next;
  struct h1_client_connection *all_prev; /* in the client's list of all connections */
  struct h1_client_connection *all_next;
  struct h1_reader reader;
  struct h1_call *call;  /* NULL while idle */
  struct bytes message;  /* request to send once connected */
  int64_t idle_timeout;  /* microseconds */
  int64_t connect_until; /* end of the connect timeout */
  bool skipping;         /* the current response is interim or belongs to another call */
  bool foreign;          /* a response to another call was received */
  bool idle;
};

struct h1_client
{
  struct loop *loop;
  int64_t connect_timeout;
  const struct tls_trust *trust;
  struct h1_path_listener *paths;
  struct h1_endpoint *endpoints;
  struct h1_client_connection *connections;
  struct counter *opened;
  struct counter *reused;
  struct counter *foreign;
};

/* uthash: NOLINTBEGIN(readability-function-size) */
static struct h1_endpoint *
get_endpoint (struct h1_client *client, const char *address)
{
  struct h1_endpoint *endpoint;

  HASH_FIND_STR (client->endpoints, address, endpoint);
  if (endpoint != NULL)
    return endpoint;
  endpoint = talloc_zero (client, struct h1_endpoint);
  if (endpoint == NULL)
    return NULL;
  text_copy_truncated (endpoint->address, sizeof endpoint->address, address);
  HASH_ADD_STR (client->endpoints, address, endpoint);
  return endpoint;
}
/* NOLINTEND(readability-function-size) */

static void
report_worked (const struct h1_client_connection *connection, bool connected, int64_t now)
{
  struct h1_path_listener *paths = connection->client->paths;

  if (paths != NULL)
    paths->ops->worked (paths, connection->endpoint->address, connected, now);
}

static void
report_failed (const struct h1_client_connection *connection, bool unreachable, int64_t now)
{
  struct h1_path_listener *paths = connection->client->paths;

  if (paths != NULL)
    paths->ops->failed (paths, connection->endpoint->address, unreachable, now);
}

static void
free_connection (struct h1_client_connection *connection)
{
  timer_disarm (loop_timers (connection->client->loop), &connection->timer);
  if (connection->idle)
    DL_DELETE (connection->endpoint->idle, connection);
  DL_DELETE2 (connection->client->connections, connection, all_prev, all_next);
  client_stream_close (&connection->stream);
  h1_reader_clear (&connection->reader);
  bytes_clear (&connection->message);
  talloc_free (connection);
}

static void
end_call (struct h1_client_connection *connection, enum h1_end end, int64_t now)
{
  struct h1_call *call = connection->call;

  connection->call = NULL;
  if (call == NULL)
    return;
  call->connection = NULL;
  call->ops->ended (call, end, now);
}

/* ---- answers ---- */

static void
read_keep_alive (struct h1_client_connection *connection, const struct h1_head *head)
{
  const char *value = h1_field_value (head, "keep-alive");
  const char *timeout = value == NULL ? NULL : strstr (value, "timeout=");
  double seconds;

  if (timeout == NULL)
    return;
  seconds = strtod (timeout + strlen ("timeout="), NULL);
  connection->idle_timeout = (int64_t) (seconds * KEEP_ALIVE_SHARE * (double) USEC_PER_SEC);
}

static bool
on_head (struct h1_reader *reader)
{
  struct h1_client_connection *connection =
      CONTAINER_OF (reader, struct h1_client_connection, reader);
  const struct h1_head *head = &reader->head;

  /* No request has an Upgrade header, so 101 is an error: another protocol would follow it. */
  if (head->status < 100 || head->status == HTTP_STATUS_SWITCHING_PROTOCOLS)
    return false;
  connection->skipping = true;
  if (connection->call == NULL || head->status < 200)
    return true;
  read_keep_alive (connection, head);
  connection->skipping =
      !connection->call->ops->head (connection->call, head, loop_now (connection->client->loop));
  if (connection->skipping)
    {
      connection->foreign = true;
      counter_add (connection->client->foreign, 1);
    }
  else if (connection->call != NULL)
    connection->call->framing = head->framing;
  return true;
}

static bool
on_body (struct h1_reader *reader, const char *data, size_t length)
{
  struct h1_client_connection *connection =
      CONTAINER_OF (reader, struct h1_client_connection, reader);

  if (connection->call != NULL && !connection->skipping)
    connection->call->ops->data (connection->call, data, length,
                                 loop_now (connection->client->loop));
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

static void
go_idle (struct h1_client_connection *connection, int64_t now)
{
  connection->idle = true;
  DL_PREPEND (connection->endpoint->idle, connection);
  timer_arm (loop_timers (connection->client->loop), &connection->timer,
             now + connection->idle_timeout);
}

/* The only place that reports a response as complete: its framing has determined its end.  `clean`:
 * no bytes followed it.  Bytes after a response belong to no request, so the connection is not
 * reused then, nor while a part of the request is unsent, nor after it carried a response to
 * another call. */
static void
answer_done (struct h1_client_connection *connection, bool clean, int64_t now)
{
  bool keep = connection->reader.head.keep_alive && clean && connection->idle_timeout > 0
              && client_stream_is_idle (&connection->stream) && !connection->foreign;
  struct h1_call *call = connection->call;

  INVARIANT (connection->reader.done && !connection->skipping);
  connection->call = NULL;
  call->connection = NULL;
  if (keep)
    {
      h1_reader_next (&connection->reader);
      go_idle (connection, now);
    }
  else
    free_connection (connection);
  call->ops->ended (call, H1_END_WHOLE, now);
}

static void
stream_received (struct client_stream *stream, const char *data, size_t length, int64_t now)
{
  struct h1_client_connection *connection =
      CONTAINER_OF (stream, struct h1_client_connection, stream);
  struct h1_call *call = connection->call;
  enum status status;
  size_t used;

  if (call == NULL)
    {
      free_connection (connection);
      return;
    }
  if (!call->answered)
    report_worked (connection, false, now);
  while (length > 0)
    {
      call->answered = true;
      status = h1_read (&connection->reader, data, length, &used);
      /* A callback may have cancelled the call. */
      if (connection->call == NULL)
        {
          free_connection (connection);
          return;
        }
      if (status != STATUS_OK)
        {
          end_call (connection, H1_END_MALFORMED, now);
          free_connection (connection);
          return;
        }
      data += used;
      length -= used;
      if (!connection->reader.done)
        return;
      if (!connection->skipping)
        {
          answer_done (connection, length == 0, now);
          return;
        }
      h1_reader_next (&connection->reader);
    }
}

static void
schedule_path_check (struct h1_client_connection *connection, int64_t now)
{
  if (connection->client->paths != NULL)
    timer_arm (loop_timers (connection->client->loop), &connection->timer,
               now + H1_PATH_CHECK_DELAY);
}

/* A request that the peer's system has acknowledged was not lost on the way, however long its
 * answer takes. */
static void
check_path (const struct h1_client_connection *connection, int64_t now)
{
  if (connection->call->answered)
    return;
  if (client_stream_unacknowledged (&connection->stream) > 0)
    report_failed (connection, false, now);
  else
    report_worked (connection, false, now);
}

static void
stream_connected (struct client_stream *stream, int64_t now)
{
  struct h1_client_connection *connection =
      CONTAINER_OF (stream, struct h1_client_connection, stream);

  timer_disarm (loop_timers (connection->client->loop), &connection->timer);
  report_worked (connection, true, now);
  if (connection->call == NULL)
    return;
  connection->call->request_sent = true;
  client_stream_write (stream, connection->message.data, connection->message.length);
  bytes_clear (&connection->message);
  schedule_path_check (connection, now);
}

static void
stream_ended (struct client_stream *stream, enum tcp_end end, int64_t now)
{
  static const enum h1_end ends[] = {
    [TCP_END_ORDERLY] = H1_END_TRUNCATED, [TCP_END_RESET] = H1_END_RESET,
    [TCP_END_REFUSED] = H1_END_REFUSED,   [TCP_END_OVERFLOW] = H1_END_OVERFLOW,
    [TCP_END_MEMORY] = H1_END_MEMORY,
  };
  struct h1_client_connection *connection =
      CONTAINER_OF (stream, struct h1_client_connection, stream);

  _Static_assert(sizeof ends / sizeof ends[0] == TCP_END_COUNT, "every tcp_end needs an h1_end");
  /* A response without a length is completed only by an orderly end. */
  if (end == TCP_END_ORDERLY && connection->call != NULL && h1_read_end (&connection->reader)
      && !connection->skipping)
    {
      answer_done (connection, false, now);
      return;
    }
  if (connection->call != NULL && !connection->call->answered)
    report_failed (connection, end == TCP_END_REFUSED, now);
  end_call (connection, ends[end], now);
  free_connection (connection);
}

static const struct client_stream_ops stream_ops = {
  .connected = stream_connected,
  .received = stream_received,
  .ended = stream_ended,
};

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct h1_client_connection *connection =
      CONTAINER_OF (timer, struct h1_client_connection, timer);

  if (connection->call != NULL && client_stream_is_connected (&connection->stream))
    {
      check_path (connection, now);
      return;
    }
  if (connection->call != NULL)
    report_failed (connection, now >= connection->connect_until, now);
  if (connection->call != NULL && now < connection->connect_until)
    {
      timer_arm (loop_timers (connection->client->loop), timer, connection->connect_until);
      return;
    }
  end_call (connection, H1_END_REFUSED, now);
  free_connection (connection);
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

/* ---- calls ---- */

static struct h1_client_connection *
open_connection (struct h1_client *client, struct h1_endpoint *endpoint, int64_t now)
{
  struct h1_client_connection *connection = talloc_zero (client, struct h1_client_connection);

  if (connection == NULL)
    return NULL;
  connection->client = client;
  connection->endpoint = endpoint;
  connection->idle_timeout = H1_DEFAULT_KEEP_ALIVE;
  connection->timer.ops = &timer_ops;
  bytes_init (&connection->message, connection);
  h1_reader_init (&connection->reader, &reader_ops, HTTP_RESPONSE, H1_HEAD_BYTES_MAX);
  if (client_stream_connect (&connection->stream, &stream_ops, client->loop, client->trust,
                             endpoint->address)
      != STATUS_OK)
    {
      h1_reader_clear (&connection->reader);
      talloc_free (connection);
      return NULL;
    }
  DL_APPEND2 (client->connections, connection, all_prev, all_next);
  counter_add (client->opened, 1);
  connection->connect_until = now + client->connect_timeout;
  timer_arm (loop_timers (client->loop), &connection->timer,
             client->paths != NULL && client->connect_timeout > H1_PATH_CHECK_DELAY
                 ? now + H1_PATH_CHECK_DELAY
                 : connection->connect_until);
  return connection;
}

static struct h1_client_connection *
take_idle (struct h1_client *client, struct h1_endpoint *endpoint)
{
  struct h1_client_connection *connection;

  while (endpoint->idle != NULL && client_stream_has_unread (&endpoint->idle->stream))
    free_connection (endpoint->idle);
  connection = endpoint->idle;
  if (connection == NULL)
    return NULL;
  DL_DELETE (endpoint->idle, connection);
  connection->idle = false;
  timer_disarm (loop_timers (client->loop), &connection->timer);
  counter_add (client->reused, 1);
  return connection;
}

/* The request could not be buffered whole.  It is not sent in part, as the target could take the
 * part for another request. */
static enum status
cannot_send (struct h1_client_connection *connection)
{
  connection->call->connection = NULL;
  free_connection (connection);
  return status_fail (STATUS_NO_MEMORY, "out of memory");
}

enum status
h1_call_start (struct h1_client *client,
               struct h1_call *call,
               const char *address,
               const struct bytes *message,
               bool fresh,
               int64_t now)
{
  struct h1_endpoint *endpoint = bytes_has_failed (message) ? NULL : get_endpoint (client, address);
  struct h1_client_connection *connection =
      endpoint == NULL || fresh ? NULL : take_idle (client, endpoint);

  call->reused = connection != NULL;
  call->request_sent = false;
  call->answered = false;
  call->framing = H1_FRAMING_UNKNOWN;
  call->connection = NULL;
  if (endpoint == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  if (connection == NULL)
    connection = open_connection (client, endpoint, now);
  if (connection == NULL)
    return STATUS_UNAVAILABLE;
  connection->call = call;
  connection->reader.no_body = call->no_body;
  call->connection = connection;
  if (!client_stream_is_connected (&connection->stream))
    {
      bytes_append (&connection->message, message->data, message->length);
      return bytes_has_failed (&connection->message) ? cannot_send (connection) : STATUS_OK;
    }
  call->request_sent = true;
  client_stream_write (&connection->stream, message->data, message->length);
  schedule_path_check (connection, now);
  return STATUS_OK;
}

void
h1_call_cancel (struct h1_call *call)
{
  struct h1_client_connection *connection = call->connection;

  if (connection == NULL)
    return;
  call->connection = NULL;
  connection->call = NULL;
  client_stream_close (&connection->stream);
  /* The reader may be on the call stack, so the timer frees the connection from the event loop. */
  timer_arm (loop_timers (connection->client->loop), &connection->timer, 0);
}

/* uthash: NOLINTBEGIN(readability-function-size) */
bool
h1_client_has_idle (const struct h1_client *client, const char *address)
{
  const struct h1_endpoint *endpoint;

  HASH_FIND_STR (client->endpoints, address, endpoint);
  return endpoint != NULL && endpoint->idle != NULL;
}

void
h1_client_close_idle (struct h1_client *client, const char *address)
{
  struct h1_endpoint *endpoint;

  HASH_FIND_STR (client->endpoints, address, endpoint);
  while (endpoint != NULL && endpoint->idle != NULL)
    free_connection (endpoint->idle);
}
/* NOLINTEND(readability-function-size) */

static int
free_client (struct h1_client *client)
{
  while (client->connections != NULL)
    {
      struct h1_client_connection *connection = client->connections;

      if (connection->call != NULL)
        connection->call->connection = NULL;
      free_connection (connection);
    }
  HASH_CLEAR (hh, client->endpoints);
  return 0;
}

struct h1_client *
h1_client_new (void *parent, const struct h1_client_config *config)
{
  struct h1_client *client = talloc_zero (parent, struct h1_client);
  struct counters *counters = config->counters;

  if (client == NULL)
    return NULL;
  client->loop = config->loop;
  client->connect_timeout = config->connect_timeout;
  client->trust = config->trust;
  client->paths = config->paths;
  client->opened = counter_get (counters, "cherryarch_h1_connections_opened_total",
                                "Connections opened to targets and hosts.", NULL);
  client->reused = counter_get (counters, "cherryarch_h1_connections_reused_total",
                                "Calls over a kept connection.", NULL);
  client->foreign = counter_get (counters, "cherryarch_h1_foreign_answers_total",
                                 "Answers to another call that were thrown away.", NULL);
  talloc_set_destructor (client, free_client);
  return client;
}
