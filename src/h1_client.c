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
#define IDLE_SHARE 0.75

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
struct h1_place
{
  char address[RESOURCE_ADDRESS_SIZE];
  struct h1_wire *idle; /* newest first */
  UT_hash_handle hh;
};

/* A connection. */
struct h1_wire
{
  struct client_stream stream;
  struct timer timer; /* connect or idle timeout; frees the connection after a cancel */
  struct h1_client *client;
  struct h1_place *place;
  struct h1_wire *prev; /* in the idle list of its address */
  struct h1_wire *next;
  struct h1_wire *all_prev; /* in the client's list of all connections */
  struct h1_wire *all_next;
  struct h1_reader reader;
  struct h1_call *call; /* NULL while idle */
  struct bytes message; /* request to send once connected */
  int64_t keep;         /* idle timeout, microseconds */
  bool skipping;        /* the current response is interim or belongs to another call */
  bool foreign;         /* a response to another call was received */
  bool idle;
};

struct h1_client
{
  struct loop *loop;
  int64_t connect_timeout;
  const struct tls_trust *trust;
  struct h1_place *places;
  struct h1_wire *wires;
  struct counter *opened;
  struct counter *reused;
  struct counter *foreign;
};

/* uthash: NOLINTBEGIN(readability-function-size) */
static struct h1_place *
place_of (struct h1_client *client, const char *address)
{
  struct h1_place *place;

  HASH_FIND_STR (client->places, address, place);
  if (place != NULL)
    return place;
  place = talloc_zero (client, struct h1_place);
  if (place == NULL)
    return NULL;
  text_copy_cut (place->address, sizeof place->address, address);
  HASH_ADD_STR (client->places, address, place);
  return place;
}
/* NOLINTEND(readability-function-size) */

static void
free_wire (struct h1_wire *wire)
{
  timer_disarm (loop_timers (wire->client->loop), &wire->timer);
  if (wire->idle)
    DL_DELETE (wire->place->idle, wire);
  DL_DELETE2 (wire->client->wires, wire, all_prev, all_next);
  client_stream_close (&wire->stream);
  h1_reader_clear (&wire->reader);
  bytes_clear (&wire->message);
  talloc_free (wire);
}

static void
end_call (struct h1_wire *wire, enum h1_end end, int64_t now)
{
  struct h1_call *call = wire->call;

  wire->call = NULL;
  if (call == NULL)
    return;
  call->wire = NULL;
  call->ops->ended (call, end, now);
}

/* ---- answers ---- */

static void
learn_keep (struct h1_wire *wire, const struct h1_head *head)
{
  const char *value = h1_value (head, "keep-alive");
  const char *timeout = value == NULL ? NULL : strstr (value, "timeout=");
  double seconds;

  if (timeout == NULL)
    return;
  seconds = strtod (timeout + strlen ("timeout="), NULL);
  wire->keep = (int64_t) (seconds * IDLE_SHARE * (double) USEC_PER_SEC);
}

static bool
on_head (struct h1_reader *reader)
{
  struct h1_wire *wire = CONTAINER_OF (reader, struct h1_wire, reader);
  const struct h1_head *head = &reader->head;

  /* No request asks for an upgrade, so 101 is an error: another protocol would follow it. */
  if (head->status < 100 || head->status == HTTP_STATUS_SWITCHING_PROTOCOLS)
    return false;
  wire->skipping = true;
  if (wire->call == NULL || head->status < 200)
    return true;
  learn_keep (wire, head);
  wire->skipping = !wire->call->ops->head (wire->call, head, loop_now (wire->client->loop));
  if (wire->skipping)
    {
      wire->foreign = true;
      counter_add (wire->client->foreign, 1);
    }
  else if (wire->call != NULL)
    wire->call->framing = head->framing;
  return true;
}

static bool
on_body (struct h1_reader *reader, const char *data, size_t length)
{
  struct h1_wire *wire = CONTAINER_OF (reader, struct h1_wire, reader);

  if (wire->call != NULL && !wire->skipping)
    wire->call->ops->data (wire->call, data, length, loop_now (wire->client->loop));
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
go_idle (struct h1_wire *wire, int64_t now)
{
  wire->idle = true;
  DL_PREPEND (wire->place->idle, wire);
  timer_arm (loop_timers (wire->client->loop), &wire->timer, now + wire->keep);
}

/* The only place that reports a response as complete: its framing has determined its end.  `clean`:
 * no bytes followed it.  Bytes after a response belong to no request, so the connection is not
 * reused then, nor while a part of the request is unsent, nor after it carried a response to
 * another call. */
static void
answer_done (struct h1_wire *wire, bool clean, int64_t now)
{
  bool keep = wire->reader.head.keep_alive && clean && wire->keep > 0
              && client_stream_is_idle (&wire->stream) && !wire->foreign;
  struct h1_call *call = wire->call;

  INVARIANT (wire->reader.done && !wire->skipping);
  wire->call = NULL;
  call->wire = NULL;
  if (keep)
    {
      h1_reader_next (&wire->reader);
      go_idle (wire, now);
    }
  else
    free_wire (wire);
  call->ops->ended (call, H1_END_WHOLE, now);
}

static void
stream_received (struct client_stream *stream, const char *data, size_t length, int64_t now)
{
  struct h1_wire *wire = CONTAINER_OF (stream, struct h1_wire, stream);
  struct h1_call *call = wire->call;
  enum status status;
  size_t used;

  if (call == NULL)
    {
      free_wire (wire);
      return;
    }
  while (length > 0)
    {
      call->answered = true;
      status = h1_read (&wire->reader, data, length, &used);
      /* A callback may have cancelled the call. */
      if (wire->call == NULL)
        {
          free_wire (wire);
          return;
        }
      if (status != STATUS_OK)
        {
          end_call (wire, H1_END_MALFORMED, now);
          free_wire (wire);
          return;
        }
      data += used;
      length -= used;
      if (!wire->reader.done)
        return;
      if (!wire->skipping)
        {
          answer_done (wire, length == 0, now);
          return;
        }
      h1_reader_next (&wire->reader);
    }
}

static void
stream_connected (struct client_stream *stream, int64_t now)
{
  struct h1_wire *wire = CONTAINER_OF (stream, struct h1_wire, stream);

  (void) now;
  timer_disarm (loop_timers (wire->client->loop), &wire->timer);
  if (wire->call == NULL)
    return;
  wire->call->handed = true;
  client_stream_write (stream, wire->message.data, wire->message.length);
  bytes_clear (&wire->message);
}

static void
stream_ended (struct client_stream *stream, enum tcp_end end, int64_t now)
{
  static const enum h1_end ends[] = {
    [TCP_END_ORDERLY] = H1_END_CUT,     [TCP_END_RESET] = H1_END_RESET,
    [TCP_END_REFUSED] = H1_END_REFUSED, [TCP_END_OVERFLOW] = H1_END_OVERFLOW,
    [TCP_END_MEMORY] = H1_END_MEMORY,
  };
  struct h1_wire *wire = CONTAINER_OF (stream, struct h1_wire, stream);

  _Static_assert(sizeof ends / sizeof ends[0] == TCP_END_COUNT, "every tcp_end needs an h1_end");
  /* A response without a length is completed only by an orderly end. */
  if (end == TCP_END_ORDERLY && wire->call != NULL && h1_read_end (&wire->reader)
      && !wire->skipping)
    {
      answer_done (wire, false, now);
      return;
    }
  end_call (wire, ends[end], now);
  free_wire (wire);
}

static const struct client_stream_ops stream_ops = {
  .connected = stream_connected,
  .received = stream_received,
  .ended = stream_ended,
};

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct h1_wire *wire = CONTAINER_OF (timer, struct h1_wire, timer);

  end_call (wire, H1_END_REFUSED, now);
  free_wire (wire);
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

/* ---- calls ---- */

static struct h1_wire *
open_wire (struct h1_client *client, struct h1_place *place, int64_t now)
{
  struct h1_wire *wire = talloc_zero (client, struct h1_wire);

  if (wire == NULL)
    return NULL;
  wire->client = client;
  wire->place = place;
  wire->keep = H1_IDLE_KEEP;
  wire->timer.ops = &timer_ops;
  bytes_init (&wire->message, wire);
  h1_reader_init (&wire->reader, &reader_ops, HTTP_RESPONSE, H1_HEAD_BYTES_MAX);
  if (client_stream_connect (&wire->stream, &stream_ops, client->loop, client->trust,
                             place->address)
      != STATUS_OK)
    {
      h1_reader_clear (&wire->reader);
      talloc_free (wire);
      return NULL;
    }
  DL_APPEND2 (client->wires, wire, all_prev, all_next);
  counter_add (client->opened, 1);
  timer_arm (loop_timers (client->loop), &wire->timer, now + client->connect_timeout);
  return wire;
}

static struct h1_wire *
take_idle (struct h1_client *client, struct h1_place *place)
{
  struct h1_wire *wire;

  while (place->idle != NULL && client_stream_has_unread (&place->idle->stream))
    free_wire (place->idle);
  wire = place->idle;
  if (wire == NULL)
    return NULL;
  DL_DELETE (place->idle, wire);
  wire->idle = false;
  timer_disarm (loop_timers (client->loop), &wire->timer);
  counter_add (client->reused, 1);
  return wire;
}

/* The request could not be buffered whole.  It is not sent in part, as the target could take the
 * part for another request. */
static enum status
cannot_send (struct h1_wire *wire)
{
  wire->call->wire = NULL;
  free_wire (wire);
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
  struct h1_place *place = bytes_failed (message) ? NULL : place_of (client, address);
  struct h1_wire *wire = place == NULL || fresh ? NULL : take_idle (client, place);

  call->reused = wire != NULL;
  call->handed = false;
  call->answered = false;
  call->framing = H1_FRAMING_UNKNOWN;
  call->wire = NULL;
  if (place == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  if (wire == NULL)
    wire = open_wire (client, place, now);
  if (wire == NULL)
    return STATUS_UNAVAILABLE;
  wire->call = call;
  wire->reader.no_body = call->no_body;
  call->wire = wire;
  if (!client_stream_is_connected (&wire->stream))
    {
      bytes_append (&wire->message, message->data, message->length);
      return bytes_failed (&wire->message) ? cannot_send (wire) : STATUS_OK;
    }
  call->handed = true;
  client_stream_write (&wire->stream, message->data, message->length);
  return STATUS_OK;
}

void
h1_call_cancel (struct h1_call *call)
{
  struct h1_wire *wire = call->wire;

  if (wire == NULL)
    return;
  call->wire = NULL;
  wire->call = NULL;
  client_stream_close (&wire->stream);
  /* The reader may be on the call stack, so the timer frees the connection from the event loop. */
  timer_arm (loop_timers (wire->client->loop), &wire->timer, 0);
}

/* uthash: NOLINTBEGIN(readability-function-size) */
void
h1_client_forget (struct h1_client *client, const char *address)
{
  struct h1_place *place;

  HASH_FIND_STR (client->places, address, place);
  while (place != NULL && place->idle != NULL)
    free_wire (place->idle);
}
/* NOLINTEND(readability-function-size) */

static int
free_client (struct h1_client *client)
{
  while (client->wires != NULL)
    {
      struct h1_wire *wire = client->wires;

      if (wire->call != NULL)
        wire->call->wire = NULL;
      free_wire (wire);
    }
  HASH_CLEAR (hh, client->places);
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
  client->opened = counter_get (counters, "cherryarch_h1_connections_opened_total",
                                "Connections opened to targets and hosts.", NULL);
  client->reused = counter_get (counters, "cherryarch_h1_connections_reused_total",
                                "Calls over a kept connection.", NULL);
  client->foreign = counter_get (counters, "cherryarch_h1_foreign_answers_total",
                                 "Answers to another call that were thrown away.", NULL);
  talloc_set_destructor (client, free_client);
  return client;
}
