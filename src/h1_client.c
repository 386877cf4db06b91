/* The HTTP/1.1 client. */
#include "container.h"
#include "h1_client_private.h"
#include "text.h"
#include <string.h>
#include <talloc.h>
#include <utlist.h>

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

void
h1_client_free_connection (struct h1_client_connection *connection)
{
  timer_disarm (loop_timers (connection->client->loop), &connection->timer);
  if (connection->idle)
    DL_DELETE (connection->endpoint->idle, connection);
  DL_DELETE2 (connection->client->connections, connection, all_prev, all_next);
  if (connection->client->quota != NULL)
    quota_count_own (connection->client->quota, -1);
  client_stream_close (&connection->stream);
  h1_reader_clear (&connection->reader);
  bytes_clear (&connection->message);
  talloc_free (connection);
}

void
h1_client_detach (struct h1_client_connection *connection)
{
  struct h1_client *client = connection->client;
  struct h1_call *call = connection->call;

  connection->call = NULL;
  if (call == NULL)
    return;
  client->held -= call->held + connection->head_held;
  connection->head_held = 0;
  gauge_set (client->held_gauge, (double) client->held);
  call->held = 0;
  call->connection = NULL;
}

void
h1_client_end_call (struct h1_client_connection *connection, enum h1_end end, int64_t now)
{
  struct h1_call *call = connection->call;

  h1_client_detach (connection);
  if (call != NULL)
    call->ops->ended (call, end, now);
}

/* ---- streams ---- */

static void
stream_received (struct client_stream *stream, const char *data, size_t length, int64_t now)
{
  struct h1_client_connection *connection =
      CONTAINER_OF (stream, struct h1_client_connection, stream);

  if (connection->call == NULL)
    {
      h1_client_free_connection (connection);
      return;
    }
  if (!connection->call->answered)
    report_worked (connection, false, now);
  h1_client_read (connection, data, length, now);
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
withdraw (struct h1_client_connection *connection, int64_t now)
{
  struct h1_call *call = connection->call;

  bytes_clear (&connection->message);
  h1_client_detach (connection);
  h1_client_go_idle (connection, now);
  call->ops->ended (call, H1_END_WITHDRAWN, now);
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
  if (connection->call->ops->may_send != NULL
      && !connection->call->ops->may_send (connection->call, now))
    {
      withdraw (connection, now);
      return;
    }
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
  if (end == TCP_END_ORDERLY && connection->call != NULL && h1_client_read_end (connection, now))
    return;
  if (connection->call != NULL && !connection->call->answered)
    report_failed (connection, end == TCP_END_REFUSED, now);
  h1_client_end_call (connection, ends[end], now);
  h1_client_free_connection (connection);
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

  if (connection->overdrawn)
    {
      h1_client_end_call (connection, H1_END_TOO_LARGE, now);
      h1_client_free_connection (connection);
      return;
    }
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
  h1_client_end_call (connection, H1_END_REFUSED, now);
  h1_client_free_connection (connection);
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
  h1_reader_init (&connection->reader, &h1_client_reader_ops, HTTP_RESPONSE, H1_HEAD_BYTES_MAX);
  if (client_stream_connect (&connection->stream, &stream_ops, client->loop, client->trust,
                             endpoint->address)
      != STATUS_OK)
    {
      h1_reader_clear (&connection->reader);
      talloc_free (connection);
      return NULL;
    }
  DL_APPEND2 (client->connections, connection, all_prev, all_next);
  if (client->quota != NULL)
    quota_count_own (client->quota, 1);
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
    h1_client_free_connection (endpoint->idle);
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
  h1_client_detach (connection);
  h1_client_free_connection (connection);
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
  call->held = 0;
  call->connection = NULL;
  if (endpoint == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  if (connection == NULL)
    connection = open_connection (client, endpoint, now);
  if (connection == NULL)
    return STATUS_UNAVAILABLE;
  connection->call = call;
  connection->n_skipped = 0;
  connection->skipped_bytes = 0;
  connection->received = 0;
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
  h1_client_detach (connection);
  connection->overdrawn = false;
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
    h1_client_free_connection (endpoint->idle);
}
/* NOLINTEND(readability-function-size) */

static int
free_client (struct h1_client *client)
{
  while (client->connections != NULL)
    {
      struct h1_client_connection *connection = client->connections;

      h1_client_detach (connection);
      h1_client_free_connection (connection);
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
  client->held_max = config->held_max == 0 || config->held_max > H1_HELD_BYTES_MAX
                         ? H1_HELD_BYTES_MAX
                         : config->held_max;
  client->connect_timeout = config->connect_timeout;
  client->trust = config->trust;
  client->paths = config->paths;
  client->quota = config->quota;
  client->opened = counter_get (counters, "cherryarch_h1_connections_opened_total",
                                "Connections opened to targets and hosts.", NULL);
  client->reused = counter_get (counters, "cherryarch_h1_connections_reused_total",
                                "Calls over a kept connection.", NULL);
  client->foreign = counter_get (counters, "cherryarch_h1_foreign_answers_total",
                                 "Answers to another call that were thrown away.", NULL);
  client->rejected = counter_get (
      counters, "cherryarch_h1_answers_rejected_total",
      "Connections closed because what was received is no answer or over a limit.", NULL);
  client->overdrawn = counter_get (counters, "cherryarch_h1_answers_overdrawn_total",
                                   "Answers ended as all together took too much memory.", NULL);
  client->held_gauge = gauge_get (counters, "cherryarch_h1_held_bytes",
                                  "Bytes of incomplete answers that are held.", NULL);
  talloc_set_destructor (client, free_client);
  return client;
}
