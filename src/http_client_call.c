/* One call of the HTTP client: its request written, its answer read and checked to be whole. */
#include "container.h"
#include "http_client_private.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define READ_BYTES 16384
#define WRITE_BYTES 16384

/* Digits of a length that can be right: more are over any limit. */
#define LENGTH_DIGITS_MAX 18

void
client_call_fail (struct http_call *call, enum status why, int64_t now)
{
  struct http_call_sink *sink = call->sink;
  bool sent = call->sent;

  client_count (call->client, CLIENT_FAILED);
  client_call_free (call, false);
  sink->ops->failed (sink, why, sent, now);
}

/* lws bounds the wait for an answer itself, and sets that bound after its callbacks; the deadline
 * of the call is what holds, so lws's is taken off in the turn after. */
static void
settle_soon (struct http_call *call, int64_t now)
{
  call->settled = false;
  timer_arm (call->client->timers, &call->timer, now);
}

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct http_call *call = CONTAINER_OF (timer, struct http_call, timer);

  if (!call->sent || now >= call->deadline)
    {
      status_fail (STATUS_TIMEOUT,
                   call->sent ? "no whole answer in time" : "no connection in time");
      client_call_fail (call, STATUS_TIMEOUT, now);
      return;
    }
  if (!call->settled)
    lws_set_timeout (call->slot->wsi, NO_PENDING_TIMEOUT, 0);
  call->settled = true;
  timer_arm (call->client->timers, &call->timer, call->deadline);
}

const struct timer_ops client_call_timer_ops = { .fire = timer_fired };

static int
add_header (
    struct lws *wsi, const char *name, const char *value, unsigned char **at, unsigned char *end)
{
  return lws_add_http_header_by_name (wsi, (const unsigned char *) name,
                                      (const unsigned char *) value, (int) strlen (value), at, end);
}

static bool
has_body (const struct http_call *call)
{
  return call->body_length > 0 || call->method[0] == 'P';
}

static int
on_append (struct http_call *call, struct lws *wsi, unsigned char **at, size_t room, int64_t now)
{
  unsigned char *end = *at + room;
  char length[24];

  for (size_t i = 0; i < call->n_headers; i++)
    if (add_header (wsi, call->headers[i].name, call->headers[i].value, at, end) != 0)
      return -1;
  if (has_body (call))
    {
      snprintf (length, sizeof length, "%zu", call->body_length);
      if (add_header (wsi, "content-length:", length, at, end) != 0)
        return -1;
    }
  if (call->body_length > 0)
    {
      lws_client_http_body_pending (wsi, 1);
      lws_callback_on_writable (wsi);
    }
  /* From here on the other side may have seen it. */
  call->sent = true;
  settle_soon (call, now);
  return 0;
}

static int
on_writable (struct http_call *call, struct lws *wsi, int64_t now)
{
  size_t left = call->body_length - call->body_sent;
  size_t length = left < WRITE_BYTES ? left : WRITE_BYTES;

  if (left == 0)
    return 0;
  if (length == left)
    lws_client_http_body_pending (wsi, 0);
  if (lws_write (wsi, (unsigned char *) call->body + call->body_sent, length,
                 length == left ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
      < 0)
    return -1;
  call->body_sent += length;
  if (length < left)
    lws_callback_on_writable (wsi);
  settle_soon (call, now);
  return 0;
}

static bool
read_length (const char *text, size_t *out)
{
  size_t length = 0;

  if (*text == '\0' || strlen (text) > LENGTH_DIGITS_MAX)
    return false;
  for (; *text != '\0'; text++)
    {
      if (*text < '0' || *text > '9')
        return false;
      length = length * 10 + (size_t) (*text - '0');
    }
  *out = length;
  return true;
}

/* How the answer's end will show.  An answer that just ends with its connection cannot be told
 * from one cut short, and one with a length and chunks may end at either: both are refused. */
static enum status
read_framing (struct http_call *call, unsigned int code, const struct http_headers *headers)
{
  const char *length = http_headers_find (headers->fields, headers->count, "content-length");
  const char *coding = http_headers_find (headers->fields, headers->count, "transfer-encoding");

  call->chunked = coding != NULL && strcasecmp (coding, "chunked") == 0;
  call->expected = 0;
  if (code < 200)
    return status_fail (STATUS_MALFORMED, "answer with status %u", code);
  if (coding != NULL && length != NULL)
    return status_fail (STATUS_MALFORMED, "the answer has a length and a transfer coding");
  if (code == 204 || code == 304 || strcmp (call->method, "HEAD") == 0 || call->chunked)
    return STATUS_OK;
  if (coding != NULL || length == NULL || !read_length (length, &call->expected))
    return status_fail (STATUS_MALFORMED, "the answer's end cannot be told");
  if (call->expected > call->max_body_bytes)
    return status_fail (STATUS_TOO_LARGE, "the answer is over %zu bytes", call->max_body_bytes);
  return STATUS_OK;
}

/* The other side closes the connection after this answer.  A call that was given it meanwhile would
 * count as sent and lost, which an unrepeatable one must not be for nothing. */
static bool
says_close (const struct http_headers *headers)
{
  const char *value = http_headers_find (headers->fields, headers->count, "connection");

  return value != NULL && strcasecmp (value, "close") == 0;
}

static int
on_head (struct http_call *call, struct lws *wsi, int64_t now)
{
  struct client_slot *slot = call->slot;
  unsigned int code = lws_http_client_http_response (wsi);
  struct http_headers headers;
  enum status status = http_headers_copy (call, wsi, &headers);

  if (status == STATUS_OK)
    status = read_framing (call, code, &headers);
  if (status != STATUS_OK)
    {
      client_call_fail (call, status, now);
      return -1;
    }
  call->head_seen = true;
  call->closes = says_close (&headers);
  settle_soon (call, now);
  call->sink->ops->head (call->sink, (int) code, headers.fields, headers.count, now);
  return slot->call == call ? 0 : -1;
}

static int
on_data (struct http_call *call, const void *data, size_t length, int64_t now)
{
  struct client_slot *slot = call->slot;

  call->received += length;
  if (call->received > call->max_body_bytes)
    {
      client_call_fail (
          call,
          status_fail (STATUS_TOO_LARGE, "the answer is over %zu bytes", call->max_body_bytes),
          now);
      return -1;
    }
  call->sink->ops->data (call->sink, data, length, now);
  return slot->call == call ? 0 : -1;
}

/* The answer is over as lws sees it; `whole` is what its framing says. */
static int
on_end (struct http_call *call, bool whole, int64_t now)
{
  struct http_call_sink *sink = call->sink;

  if (!whole || !call->head_seen || (!call->chunked && call->received != call->expected))
    {
      client_count (call->client, CLIENT_CUT);
      client_call_fail (call, status_fail (STATUS_IO, "the answer was cut short"), now);
      return -1;
    }
  client_call_free (call, !call->closes);
  sink->ops->end (sink, now);
  return 0;
}

static void
on_lost (struct http_call *call, int64_t now)
{
  if (call->starting)
    return;
  if (call->head_seen)
    client_count (call->client, CLIENT_CUT);
  if (call->sent)
    client_call_fail (
        call, status_fail (STATUS_IO, "the connection closed before the answer's end"), now);
  else
    client_call_fail (call, status_fail (STATUS_UNAVAILABLE, "cannot connect to %s", call->address),
                      now);
}

/* lws says "completed" when a chunked answer has its last chunk, and also when the connection ends
 * in the middle of one: only then does the read fail.  So the call ends after the read. */
static int
read_answer (struct http_call *call, struct lws *wsi)
{
  struct client_slot *slot = call->slot;
  char buffer[LWS_PRE + READ_BYTES];
  char *at = buffer + LWS_PRE;
  int length = READ_BYTES;
  int rc;

  call->reading = true;
  rc = lws_http_client_read (wsi, &at, &length);
  if (slot->call != call)
    return -1;
  call->reading = false;
  if (call->completed)
    return on_end (call, rc >= 0, loop_now (call->client->config.loop));
  return rc < 0 ? -1 : 0;
}

static int
on_call_event (
    struct http_call *call, struct lws *wsi, enum lws_callback_reasons reason, void *in, size_t len)
{
  int64_t now = loop_now (call->client->config.loop);

  switch (reason)
    {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return on_append (call, wsi, (unsigned char **) in, len, now);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return on_writable (call, wsi, now);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      return on_head (call, wsi, now);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return read_answer (call, wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      return on_data (call, in, len, now);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      call->completed = true;
      return call->reading ? 0 : on_end (call, !call->chunked, now);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      on_lost (call, now);
      return 0;
    default:
      return 0;
    }
}

int
client_on_event (
    struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in, size_t len)
{
  struct http_call *call = wsi == NULL ? NULL : lws_get_opaque_user_data (wsi);
  struct client_slot *slot = wsi == NULL ? NULL : lws_vhost_user (lws_get_vhost (wsi));

  (void) user;
  if (reason == LWS_CALLBACK_WSI_DESTROY && slot != NULL)
    {
      if (call != NULL)
        on_lost (call, loop_now (call->client->config.loop));
      client_slot_closed (slot, wsi);
      return 0;
    }
  if (call != NULL)
    return on_call_event (call, wsi, reason, in, len);
  return 0;
}
