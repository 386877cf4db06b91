/* Connections of the HTTP server: read requests, check them and dispatch them to routes. */
#include "container.h"
#include "http_server_private.h"
#include "log.h"
#include "text.h"
#include <errno.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>
#include <utlist.h>

#define QUERY_ARGUMENT_MAX 2048

/* Maximum digits of a content-length: a longer number exceeds any limit and could overflow. */
#define LENGTH_DIGITS_MAX 18

/* talloc pool of a request: an ordinary one, with its headers and strings, needs one allocation. */
#define REQUEST_POOL_OBJECTS 24
#define REQUEST_POOL_BYTES 2048

static const char *const method_names[] = {
  [LWSHUMETH_GET] = "GET",         [LWSHUMETH_POST] = "POST",   [LWSHUMETH_OPTIONS] = "OPTIONS",
  [LWSHUMETH_PUT] = "PUT",         [LWSHUMETH_PATCH] = "PATCH", [LWSHUMETH_DELETE] = "DELETE",
  [LWSHUMETH_CONNECT] = "CONNECT", [LWSHUMETH_HEAD] = "HEAD",
};

void
server_connection_set_reset_on_close (struct server_connection *connection, bool on)
{
  const struct linger linger = { .l_onoff = on };

  if (setsockopt (lws_get_socket_fd (connection->wsi), SOL_SOCKET, SO_LINGER, &linger,
                  sizeof linger)
      != 0)
    log_event (LOG_MODULE_HTTP, LOG_LEVEL_WARNING, "linger-not-set", "{s:s}", "message",
               strerror (errno));
}

/* Reset the connection.  lws calls shutdown() for writing before it closes, which sends a FIN
 * regardless of SO_LINGER. */
static void
reset (const struct server_connection *connection)
{
  const struct sockaddr unspecified = { .sa_family = AF_UNSPEC };

  if (connect (lws_get_socket_fd (connection->wsi), &unspecified, sizeof unspecified) != 0)
    log_event (LOG_MODULE_HTTP, LOG_LEVEL_WARNING, "connection-not-reset", "{s:s}", "message",
               strerror (errno));
}

void
server_connection_kill (struct server_connection *connection)
{
  if (connection->killed)
    return;
  connection->killed = true;
  if (connection->request != NULL && connection->request->close_delimited)
    reset (connection);
  lws_set_timeout (connection->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

void
server_connection_set_reading (struct server_connection *connection, bool on)
{
  if (connection->reading == on)
    return;
  connection->reading = on;
  lws_rx_flow_control (connection->wsi, on);
}

void
server_connection_socket_event (struct server_connection *connection, bool hung_up, int64_t now)
{
  bool answering = connection->phase == SERVER_HANDLING || connection->phase == SERVER_ANSWERING;

  /* Between requests lws reads the remaining input and sees the end itself. */
  if (hung_up && answering)
    server_connection_kill (connection);
  else if (connection->choked)
    server_answer_resume (connection, now);
}

uint64_t
server_connection_bytes_read (const struct server_connection *connection)
{
  int fd = lws_get_socket_fd (connection->wsi);
  struct tcp_info info = { 0 };
  socklen_t length = sizeof info;
  int unread = 0;
  int unread_after = 0;

  do
    {
      ioctl (fd, SIOCINQ, &unread);
      if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
        return 0;
      ioctl (fd, SIOCINQ, &unread_after);
    }
  while (unread != unread_after); /* retry if bytes arrived in between */
  return info.tcpi_bytes_received - (uint64_t) unread;
}

/* Send an error response without dispatching the request.  The connection closes after it, as part
 * of the request may be unread. */
static void
reject (struct server_connection *connection, int code, const char *field, const char *message)
{
  struct server_request *request = connection->request;

  server_count (connection->server, SERVER_REJECTED);
  connection->close_after = true;
  request->dispatched = true;
  http_reply_error (&request->exchange, code, field, message);
}

/* Send 503 for want of memory; nothing ran. */
static void
reject_for_room (struct server_connection *connection)
{
  static const struct http_field fields[] = {
    { "content-type", "application/json" },
    { "retry-after", QUOTA_RETRY_AFTER_TEXT },
  };
  static const char text[] = "{\"error\":{\"code\":503,\"message\":\"not run: the requests of all "
                             "callers take too much memory\"}}";
  struct server_request *request = connection->request;

  server_count (connection->server, SERVER_REJECTED);
  connection->close_after = true;
  request->dispatched = true;
  bytes_clear (&request->body);
  request->exchange.ops->reply (&request->exchange, 503, fields, 2, text, sizeof text - 1);
}

bool
server_connection_hold (struct server_connection *connection, size_t more, int64_t now)
{
  const struct server_request *request = connection->request;
  size_t held = more;

  if (request != NULL)
    held += REQUEST_POOL_BYTES + request->headers.bytes + request->body.capacity
            + request->out.capacity;
  return quota_hold (&connection->member, held, now);
}

/* Others need the room. */
static void
end_member (struct quota_member *member, bool keep, int64_t now)
{
  struct server_connection *connection = CONTAINER_OF (member, struct server_connection, member);

  (void) now;
  if (keep)
    reject_for_room (connection);
  else
    server_connection_kill (connection);
}

static const struct quota_member_ops member_ops = { .end = end_member };

/* Timeout: a request whose body is late gets a 408, any other connection is closed. */
static void
on_timeout (struct timer *timer, int64_t now)
{
  struct server_connection *connection = CONTAINER_OF (timer, struct server_connection, timer);

  (void) now;
  server_count (connection->server, SERVER_TIMEOUTS);
  if (connection->phase == SERVER_BODY)
    reject (connection, 408, NULL, "the body did not arrive in time");
  else
    server_connection_kill (connection);
}

static const struct timer_ops timer_ops = { .fire = on_timeout };

static void
enter_phase (struct server_connection *connection,
             enum server_phase phase,
             int64_t span,
             int64_t now)
{
  connection->phase = phase;
  timer_arm (connection->server->timers, &connection->timer, now + span);
}

struct server_connection *
server_connection_new (struct http_server *server,
                       enum http_listener listener,
                       struct server_caller *caller,
                       const char *peer)
{
  struct server_connection *connection = talloc_zero (server, struct server_connection);

  if (connection == NULL)
    return NULL;
  connection->server = server;
  connection->listener = listener;
  connection->caller = caller;
  connection->timer.ops = &timer_ops;
  connection->member.ops = &member_ops;
  connection->member.label = server_listener_text (listener);
  if (!quota_join (server->quota, &connection->member, loop_now (server->loop)))
    {
      talloc_free (connection);
      return NULL;
    }
  connection->reading = true;
  text_copy_truncated (connection->peer, sizeof connection->peer, peer);
  enter_phase (connection, SERVER_IDLE, server->limits.idle_timeout, loop_now (server->loop));
  DL_APPEND (server->connections, connection);
  server->n_connections++;
  return connection;
}

/* The connection closed.  An exchange whose holder has no watcher is kept until it is answered, so
 * that the holder never uses freed memory. */
static void
close_request (struct server_connection *connection, int64_t now)
{
  struct server_request *request = connection->request;

  connection->request = NULL;
  if (request == NULL)
    return;
  request->connection = NULL;
  if (request->dispatched)
    server_count (connection->server, SERVER_TRUNCATED);
  if (request->dispatched && !request->finished)
    {
      if (request->exchange.watcher == NULL)
        return;
      request->exchange.watcher->ops->closed (request->exchange.watcher, now);
    }
  server_request_free (request);
}

void
server_connection_free (struct server_connection *connection, int64_t now)
{
  struct http_server *server = connection->server;

  timer_disarm (server->timers, &connection->timer);
  quota_leave (&connection->member);
  DL_DELETE (server->connections, connection);
  server->n_connections--;
  close_request (connection, now);
  if (connection->caller != NULL)
    server_caller_release (server, connection->caller);
  talloc_free (connection);
}

/* Dispatch the request and stop reading until the response is complete.  lws buffers the bytes that
 * follow a request in the same read; while the request is handled it would retry them in every loop
 * iteration, at the cost of a full core, or buffer more without bound.  Within this callback it has
 * buffered nothing yet. */
static void
dispatch_request (struct server_connection *connection, int64_t now)
{
  struct server_request *request = connection->request;
  struct http_exchange *exchange = &request->exchange;
  struct http_route *route =
      server_find_route (connection->server, connection->listener, exchange->path);

  timer_disarm (connection->server->timers, &connection->timer);
  /* The request timeout of lws must not end a request that is being handled. */
  lws_set_timeout (connection->wsi, NO_PENDING_TIMEOUT, 0);
  connection->phase = SERVER_HANDLING;
  quota_set_state (&connection->member, QUOTA_RUNNING, now);
  exchange->body = request->body.data == NULL ? "" : request->body.data;
  exchange->body_length = request->body.length;
  server_connection_set_reading (connection, false);
  request->dispatched = true;
  if (route == NULL)
    {
      server_count (connection->server, SERVER_REJECTED);
      http_reply_error (exchange, 404, "path", "there is nothing at this path");
      return;
    }
  server_count (connection->server, SERVER_REQUESTS);
  route->ops->request (route, exchange, now);
}

/* lws returns the query arguments one by one, percent-decoded.  Rebuild and re-encode the query, so
 * that an encoded '&' or '=' stays within its argument. */
static const char *
copy_query (struct server_request *request, struct lws *wsi)
{
  static const char hex[] = "0123456789ABCDEF";
  struct bytes query;
  char argument[QUERY_ARGUMENT_MAX];

  bytes_init (&query, request);
  for (int i = 0;; i++)
    {
      int length =
          lws_hdr_copy_fragment (wsi, argument, sizeof argument, WSI_TOKEN_HTTP_URI_ARGS, i);
      bool in_value = false;

      if (length < 0)
        break;
      if (i > 0)
        bytes_append (&query, "&", 1);
      for (int at = 0; at < length; at++)
        {
          unsigned char c = (unsigned char) argument[at];
          char escape[3] = { '%', hex[c >> 4], hex[c & 15] };

          if ((c == '=' && !in_value) || strchr ("-._~", c) != NULL || (c >= '0' && c <= '9')
              || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z'))
            bytes_append (&query, &argument[at], 1);
          else
            bytes_append (&query, escape, sizeof escape);
          in_value = in_value || c == '=';
        }
    }
  return query.data == NULL ? "" : query.data;
}

/* HTTP/1.1 callers understand chunked coding. */
static bool
is_http11 (struct lws *wsi)
{
  char version[16] = "";

  lws_hdr_copy (wsi, version, sizeof version, WSI_TOKEN_HTTP);
  return strcmp (version, "HTTP/1.1") == 0;
}

static struct server_request *
read_head (struct server_connection *connection, struct lws *wsi, enum status *status)
{
  struct server_request *request = talloc_pooled_object (connection->server, struct server_request,
                                                         REQUEST_POOL_OBJECTS, REQUEST_POOL_BYTES);
  char *uri = NULL;
  int uri_length = 0;
  int method;

  if (request == NULL)
    return NULL;
  memset (request, 0, sizeof *request);
  method = lws_http_get_uri_and_method (wsi, &uri, &uri_length);
  request->server = connection->server;
  request->connection = connection;
  bytes_init (&request->body, request);
  bytes_init (&request->out, request);
  *status = http_headers_copy (request, wsi, &request->headers);
  request->head_only = method == LWSHUMETH_HEAD;
  request->http10 = !is_http11 (wsi);
  request->exchange = (struct http_exchange){
    .ops = &server_exchange_ops,
    .listener = connection->listener,
    .method = method >= 0 && method <= LWSHUMETH_HEAD ? method_names[method] : "",
    .path = talloc_strndup (request, uri == NULL ? "" : uri, (size_t) uri_length),
    .query = copy_query (request, wsi),
    .headers = request->headers.fields,
    .n_headers = request->headers.count,
    .body = "",
  };
  text_copy_truncated (request->exchange.peer, sizeof request->exchange.peer, connection->peer);
  connection->server->pending++;
  connection->request = request;
  return request;
}

/* Parse content-length; false when it is not one decimal number.  lws parses leading digits and
 * ignores the rest, so that two readers of one connection could see different requests. */
static bool
body_length (const struct server_request *request, size_t *out)
{
  const char *text =
      http_headers_find (request->headers.fields, request->headers.count, "content-length");
  size_t length = 0;

  *out = 0;
  if (text == NULL)
    return true;
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

/* Was this request read together with the previous one?  That is so if no byte was read since the
 * previous response.  lws 4.1 takes the head of such a pipelined request for its body and then
 * loops forever, or keeps a core busy while the request is handled, so it is rejected unrun. */
static bool
is_pipelined (const struct server_connection *connection)
{
  return connection->read_before > 0
         && server_connection_bytes_read (connection) == connection->read_before;
}

/* Reject within the callback and close: lws must not process this connection any further. */
static int
reject_and_close (struct server_connection *connection,
                  int code,
                  const char *field,
                  const char *message,
                  int64_t now)
{
  reject (connection, code, field, message);
  server_answer_write (connection, now);
  return -1;
}

/* The headers of a request are complete. */
static int
on_head (struct server_connection *connection, struct lws *wsi, int64_t now)
{
  static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
  struct http_server *server = connection->server;
  enum status status = STATUS_OK;
  struct server_request *request =
      connection->request != NULL ? NULL : read_head (connection, wsi, &status);

  if (request == NULL)
    return -1;
  request->headers.bytes += strlen (request->exchange.path) + strlen (request->exchange.query);
  if (is_pipelined (connection))
    return reject_and_close (connection, 503, NULL,
                             "not run: send a request after the answer before it", now);
  if (status != STATUS_OK || request->headers.bytes > server->limits.header_bytes)
    reject (connection, 431, "headers", "the headers are too large");
  else if (http_header (&request->exchange, "transfer-encoding") != NULL)
    reject (connection, 411, "transfer-encoding", "a body needs a content-length");
  else if (!body_length (request, &request->body_expected))
    reject (connection, 400, "content-length", "content-length must be one decimal number");
  else if (request->body_expected > server->limits.body_bytes)
    reject (connection, 413, "content-length", "the body is too large");
  else if (!server_connection_hold (connection, request->body_expected + 1, now))
    reject_for_room (connection);
  else if (request->body_expected == 0)
    dispatch_request (connection, now);
  else
    {
      bytes_reserve (&request->body, request->body_expected);
      quota_set_state (&connection->member, QUOTA_RECEIVING, now);
      enter_phase (connection, SERVER_BODY, server->limits.body_timeout, now);
      if (http_header (&request->exchange, "expect") != NULL
          && lws_write (wsi, (unsigned char *) continue_response, sizeof continue_response - 1,
                        LWS_WRITE_HTTP)
                 < 0)
        return -1;
    }
  return connection->killed ? -1 : 0;
}

/* Reject upgrades: lws would switch to HTTP/2 or WebSocket by itself. */
static int
on_upgrade (struct server_connection *connection, struct lws *wsi, int64_t now)
{
  enum status status = STATUS_OK;

  if (connection->request != NULL || read_head (connection, wsi, &status) == NULL)
    return -1;
  return reject_and_close (connection, 400, "upgrade", "only HTTP/1.1 is spoken here", now);
}

static int
on_body (struct server_connection *connection, const void *data, size_t length)
{
  struct server_request *request = connection->request;

  if (request == NULL || connection->phase != SERVER_BODY)
    return 0;
  if (request->body.length + length > request->body_expected)
    return -1;
  quota_note_progress (&connection->member, length, loop_now (connection->server->loop));
  bytes_append (&request->body, data, length);
  return bytes_has_failed (&request->body) ? -1 : 0;
}

static void
on_body_end (struct server_connection *connection, int64_t now)
{
  struct server_request *request = connection->request;

  if (request == NULL || connection->phase != SERVER_BODY)
    return;
  if (request->body.length != request->body_expected)
    reject (connection, 400, "content-length", "the body is shorter than its content-length");
  else
    dispatch_request (connection, now);
}

int
server_on_event (
    struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in, size_t len)
{
  struct server_connection *connection = wsi == NULL ? NULL : lws_get_opaque_user_data (wsi);
  int64_t now;

  (void) user;
  if (connection == NULL)
    return 0;
  connection->wsi = wsi;
  now = loop_now (connection->server->loop);
  switch (reason)
    {
    case LWS_CALLBACK_HTTP:
      return on_head (connection, wsi, now);
    case LWS_CALLBACK_HTTP_BODY:
      return on_body (connection, in, len);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      on_body_end (connection, now);
      return connection->killed ? -1 : 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return server_answer_write (connection, now);
    case LWS_CALLBACK_HTTP_CONFIRM_UPGRADE:
      return on_upgrade (connection, wsi, now);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
      lws_set_opaque_user_data (wsi, NULL);
      connection->gone = true;
      if (!connection->adopting)
        server_connection_free (connection, now);
      return 0;
    default:
      return 0;
    }
}
