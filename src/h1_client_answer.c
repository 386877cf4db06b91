/* Responses: which bytes are an answer to the call, and how many are read before it is given up. */
#include "container.h"
#include "h1_client_private.h"
#include "log.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Share of the target's announced keep-alive time for which an idle connection is reused.  Later a
 * request may cross the target's close, and it would be unknown whether it ran. */
#define KEEP_ALIVE_SHARE 0.75

/* Longest keep-alive time that is believed, in seconds; a target may announce any number. */
#define KEEP_ALIVE_SEC_MAX 3600.0

/* ---- rejected answers ---- */

/* States what a target sent.  A warning, so that lines about requests cannot displace it; bounded,
 * since targets decide how many there are. */
static void
log_rejection (const struct h1_client_connection *connection, const char *why, int64_t now)
{
  struct h1_client *client = connection->client;

  if (now - client->rejections_since >= USEC_PER_SEC)
    {
      client->rejections_since = now;
      client->rejections_logged = 0;
    }
  if (client->rejections_logged >= H1_REJECTIONS_LOGGED_PER_SECOND)
    {
      client->rejections_omitted++;
      return;
    }
  client->rejections_logged++;
  log_event (LOG_MODULE_HTTP, LOG_LEVEL_WARNING, "answer-rejected", "{s:s,s:s,s:I,s:i,s:s,s:I}",
             "address", connection->endpoint->address, "why", why, "received",
             (json_int_t) connection->received, "skipped", (int) connection->n_skipped, "framing",
             h1_framing_text (connection->call->framing), "omitted",
             (json_int_t) client->rejections_omitted);
  client->rejections_omitted = 0;
}

static void
note_rejection (const struct h1_client_connection *connection, const char *why, int64_t now)
{
  counter_add (connection->client->rejected, 1);
  log_rejection (connection, why, now);
}

void
h1_call_reject (struct h1_call *call, const char *why, int64_t now)
{
  if (call->connection != NULL)
    note_rejection (call->connection, why, now);
  h1_call_cancel (call);
}

bool
h1_call_is_inside_head (const struct h1_call *call)
{
  const struct h1_client_connection *connection = call->connection;

  return connection != NULL && connection->reader.begun && !connection->reader.done
         && connection->reader.part == H1_PART_HEAD;
}

/* ---- memory of all calls ---- */

static size_t
held_by (const struct h1_client_connection *connection)
{
  return connection->call == NULL ? 0 : connection->call->held + connection->head_held;
}

static struct h1_client_connection *
find_largest (const struct h1_client *client)
{
  struct h1_client_connection *largest = client->connections;
  struct h1_client_connection *at;

  DL_FOREACH2 (client->connections, at, all_next)
  if (held_by (at) > held_by (largest))
    largest = at;
  return largest;
}

/* The call ends from the event loop: its reader, or that of another call, is on the call stack. */
static void
end_later (struct h1_client_connection *connection, int64_t now)
{
  struct h1_client *client = connection->client;

  note_rejection (connection, "all answers together are too large", now);
  counter_add (client->overdrawn, 1);
  client->held -= held_by (connection);
  connection->call->held = 0;
  connection->head_held = 0;
  connection->overdrawn = true;
  client_stream_close (&connection->stream);
  timer_arm (loop_timers (client->loop), &connection->timer, 0);
}

/* Sets one of the numbers of which a client's sum consists. */
static void
set_held (struct h1_client *client, size_t *held, size_t bytes, int64_t now)
{
  client->held = client->held - *held + bytes;
  *held = bytes;
  while (client->held > client->held_max)
    end_later (find_largest (client), now);
  gauge_set (client->held_gauge, (double) client->held);
}

void
h1_call_set_held (struct h1_call *call, size_t bytes, int64_t now)
{
  if (call->connection != NULL && !call->connection->overdrawn)
    set_held (call->connection->client, &call->held, bytes, now);
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
  if (!(seconds >= 0 && seconds <= KEEP_ALIVE_SEC_MAX))
    seconds = seconds > KEEP_ALIVE_SEC_MAX ? KEEP_ALIVE_SEC_MAX : 0;
  connection->idle_timeout = (int64_t) (seconds * KEEP_ALIVE_SHARE * (double) USEC_PER_SEC);
}

/* A response that is not to the call is counted.  Endless ones would keep the call, and the
 * target's bytes coming, until the deadline. */
static bool
may_skip (struct h1_client_connection *connection)
{
  if (++connection->n_skipped <= H1_SKIPPED_RESPONSES_MAX)
    return true;
  connection->excess = "too many responses before the answer";
  return false;
}

static bool
may_skip_bytes (struct h1_client_connection *connection)
{
  if (connection->skipped_bytes <= H1_SKIPPED_BYTES_MAX)
    return true;
  connection->excess = "too many bytes of answers to other calls";
  return false;
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
  if (connection->call == NULL)
    return true;
  if (head->status < 200)
    return may_skip (connection);
  read_keep_alive (connection, head);
  connection->skipping =
      !connection->call->ops->head (connection->call, head, loop_now (connection->client->loop));
  if (connection->skipping)
    {
      connection->foreign = true;
      counter_add (connection->client->foreign, 1);
      return connection->call == NULL || may_skip (connection);
    }
  if (connection->call != NULL)
    connection->call->framing = head->framing;
  return true;
}

static bool
on_body (struct h1_reader *reader, const char *data, size_t length)
{
  struct h1_client_connection *connection =
      CONTAINER_OF (reader, struct h1_client_connection, reader);

  if (connection->call == NULL)
    return true;
  if (connection->skipping)
    {
      connection->skipped_bytes += length;
      return may_skip_bytes (connection);
    }
  connection->call->ops->data (connection->call, data, length, loop_now (connection->client->loop));
  return true;
}

static void
on_complete (struct h1_reader *reader)
{
  (void) reader;
}

const struct h1_reader_ops h1_client_reader_ops = {
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
};

void
h1_client_go_idle (struct h1_client_connection *connection, int64_t now)
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
  connection->overdrawn = false;
  h1_client_detach (connection);
  if (keep)
    {
      h1_reader_next (&connection->reader);
      h1_client_go_idle (connection, now);
    }
  else
    h1_client_free_connection (connection);
  call->ops->ended (call, H1_END_WHOLE, now);
}

/* What was received is no answer, or more than a limit allows. */
static void
reject_answer (struct h1_client_connection *connection, enum status status, int64_t now)
{
  const char *excess = connection->excess;
  bool too_large = status == STATUS_TOO_LARGE || excess != NULL;

  note_rejection (connection, excess != NULL ? excess : status_message (), now);
  h1_client_end_call (connection, too_large ? H1_END_TOO_LARGE : H1_END_MALFORMED, now);
  h1_client_free_connection (connection);
}

void
h1_client_read (struct h1_client_connection *connection,
                const char *data,
                size_t length,
                int64_t now)
{
  enum status status;
  size_t used;

  connection->received += length;
  while (length > 0)
    {
      connection->call->answered = true;
      status = h1_read (&connection->reader, data, length, &used);
      /* A callback may have cancelled the call. */
      if (connection->call == NULL)
        {
          h1_client_free_connection (connection);
          return;
        }
      if (status != STATUS_OK)
        {
          reject_answer (connection, status, now);
          return;
        }
      if (!connection->overdrawn)
        set_held (connection->client, &connection->head_held, connection->reader.head.text.capacity,
                  now);
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

bool
h1_client_read_end (struct h1_client_connection *connection, int64_t now)
{
  if (!h1_read_end (&connection->reader) || connection->skipping)
    return false;
  answer_done (connection, false, now);
  return true;
}
