/* HTTP server: listening sockets, connections adopted by lws, routes. */
#include "http_server.h"
#include "container.h"
#include "http_server_private.h"
#include "text.h"
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <talloc.h>
#include <unistd.h>
#include <utlist.h>

#define LISTEN_BACKLOG 1024

/* Connections accepted per event loop iteration, so that a burst does not delay the connections
 * being served. */
#define ACCEPT_BATCH 64

#define SOCKET_EVENT_BATCH 64

static const struct lws_protocols server_protocols[] = {
  { .name = "http", .callback = server_on_event },
  { .name = NULL },
};

static const char *const listener_texts[] = {
#define X(name, text) text,
  HTTP_LISTENER_LIST (X)
#undef X
};

const char *
server_listener_text (enum http_listener listener)
{
  return listener_texts[listener];
}

struct http_route *
server_find_route (struct http_server *server, enum http_listener listener, const char *path)
{
  struct http_route *best = NULL;
  size_t best_length = 0;

  for (size_t i = 0; i < server->n_routes; i++)
    {
      struct http_route *route = server->routes[i];
      size_t length = strlen (route->prefix);

      if (route->listener == listener && (best == NULL || length > best_length)
          && strncmp (route->prefix, path, length) == 0)
        {
          best = route;
          best_length = length;
        }
    }
  return best;
}

enum status
http_server_add_route (struct http_server *server, struct http_route *route)
{
  struct http_route **routes =
      talloc_realloc (server, server->routes, struct http_route *, server->n_routes + 1);

  if (routes == NULL)
    return status_fail (STATUS_NO_MEMORY, "no memory for a route");
  server->routes = routes;
  routes[server->n_routes++] = route;
  return STATUS_OK;
}

enum status
http_server_add_routes (struct http_server *server,
                        struct http_route *const *routes,
                        uint32_t n_routes)
{
  enum status status = STATUS_OK;
  uint32_t i;

  for (i = 0; i < n_routes && status == STATUS_OK; i++)
    status = http_server_add_route (server, routes[i]);
  return status;
}

/* uthash's macros are long; the function is not.
 * NOLINTBEGIN(readability-function-size) */

/* Count a connection of this IP address.  NULL if the address is at its limit or memory is out. */
static struct server_caller *
count_caller (struct http_server *server, const char *ip)
{
  struct server_caller *caller;

  HASH_FIND_STR (server->callers, ip, caller);
  if (caller == NULL)
    {
      caller = talloc_zero (server, struct server_caller);
      if (caller == NULL)
        return NULL;
      text_copy_truncated (caller->ip, sizeof caller->ip, ip);
      HASH_ADD_STR (server->callers, ip, caller);
    }
  if (caller->connections >= server->limits.connections_per_caller)
    return NULL;
  caller->connections++;
  return caller;
}

/* NOLINTEND(readability-function-size) */

void
server_caller_release (struct http_server *server, struct server_caller *caller)
{
  if (--caller->connections > 0)
    return;
  HASH_DEL (server->callers, caller);
  talloc_free (caller);
}

/* lws does not read from a connection whose request is being handled (see dispatch_request()), and
 * without reading it reports neither a close by the peer nor a writable socket.  An epoll
 * descriptor in the event loop reports both, without a system call per request. */
static void
sockets_ready (struct loop_watch *watch, int64_t now)
{
  struct http_server *server = CONTAINER_OF (watch, struct http_server, socket_watch);
  struct epoll_event events[SOCKET_EVENT_BATCH];
  int n = epoll_wait (server->socket_fd, events, SOCKET_EVENT_BATCH, 0);

  for (int i = 0; i < n; i++)
    server_connection_socket_event (events[i].data.ptr, (events[i].events & EPOLLRDHUP) != 0, now);
}

static const struct loop_watch_ops socket_ops = { .readable = sockets_ready };

static enum status
watch_sockets (struct http_server *server)
{
  server->socket_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (server->socket_fd < 0)
    return status_fail (STATUS_IO, "epoll: %s", strerror (errno));
  server->socket_watch.ops = &socket_ops;
  return loop_watch_fd (server->loop, &server->socket_watch, server->socket_fd);
}

/* Give the socket to lws, which closes it if adoption fails. */
static void
adopt (struct server_listener *listener, int fd, const char *ip)
{
  struct http_server *server = listener->server;
  bool tls = server->tls != NULL && listener->id != HTTP_LISTENER_TARGETS;
  bool counted = listener->id == HTTP_LISTENER_CALLERS && server->limits.connections_per_caller > 0;
  struct server_caller *caller = counted ? count_caller (server, ip) : NULL;
  struct server_connection *connection = NULL;
  struct epoll_event event = { .events = EPOLLRDHUP | EPOLLOUT | EPOLLET };
  struct lws *wsi;
  lws_adopt_desc_t info = {
    .vh = tls ? server->tls : server->plain,
    .type = LWS_ADOPT_HTTP | LWS_ADOPT_SOCKET | (tls ? LWS_ADOPT_ALLOW_SSL : 0),
    .fd = { .sockfd = fd },
  };

  if (!counted || caller != NULL)
    connection = server_connection_new (server, listener->id, caller, ip);
  if (connection == NULL)
    {
      server_count (server, SERVER_REFUSED);
      if (caller != NULL)
        server_caller_release (server, caller);
      close (fd);
      return;
    }
  info.opaque = connection;
  /* Closing the socket removes it from the epoll set. */
  event.data.ptr = connection;
  epoll_ctl (server->socket_fd, EPOLL_CTL_ADD, fd, &event);
  connection->adopting = true;
  wsi = lws_adopt_descriptor_vhost_via_info (&info);
  connection->adopting = false;
  if (wsi == NULL || connection->gone)
    {
      server_count (server, SERVER_REFUSED);
      server_connection_free (connection, loop_now (server->loop));
      return;
    }
  connection->wsi = wsi;
  server_count (server, SERVER_ACCEPTED);
}

/* Accept up to `most` connections from the backlog. */
static void
accept_pending (struct server_listener *listener, int most)
{
  for (int i = 0; i < most; i++)
    {
      struct sockaddr_storage from = { 0 };
      char ip[INET6_ADDRSTRLEN];
      int fd = tcp_accept_next (listener->fd, &listener->spare_fd, &from);

      if (fd < 0)
        return;
      inet_address_ip (&from, ip);
      adopt (listener, fd, ip);
    }
}

static void
accept_ready (struct loop_watch *watch, int64_t now)
{
  (void) now;
  accept_pending (CONTAINER_OF (watch, struct server_listener, watch), ACCEPT_BATCH);
}

static const struct loop_watch_ops accept_ops = { .readable = accept_ready };

static enum status
listen_at (struct server_listener *listener, const char *text)
{
  static const int on = 1;
  struct inet_address address;
  enum status status = inet_address_parse (text, &address);

  if (status != STATUS_OK)
    return status;
  listener->fd = socket (address.socket.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (listener->fd < 0)
    return status_fail (STATUS_IO, "%s: %s", text, strerror (errno));
  setsockopt (listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  /* Streams are written in small pieces.  With Nagle's algorithm each would wait up to 40 ms for
   * the reader's delayed acknowledgement of the piece before.  On Linux accepted sockets inherit
   * the option, which saves a system call per connection. */
  if (setsockopt (listener->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on) != 0)
    return status_fail (STATUS_IO, "%s: %s", text, strerror (errno));
  if (bind (listener->fd, (struct sockaddr *) &address.socket, address.socket_length) != 0
      || listen (listener->fd, LISTEN_BACKLOG) != 0)
    return status_fail (STATUS_IO, "%s address %s: %s", listener_texts[listener->id], text,
                        strerror (errno));
  listener->port = inet_address_bound_port (listener->fd);
  listener->spare_fd = tcp_open_spare ();
  listener->watch.ops = &accept_ops;
  return loop_watch_fd (listener->server->loop, &listener->watch, listener->fd);
}

static void
close_listeners (struct http_server *server)
{
  for (int i = 0; i < HTTP_LISTENER_COUNT; i++)
    {
      struct server_listener *listener = &server->listeners[i];

      if (listener->fd < 0)
        continue;
      loop_unwatch (server->loop, &listener->watch);
      /* The event loop's duplicate descriptor keeps the socket open for one more iteration. */
      shutdown (listener->fd, SHUT_RD);
      close (listener->fd);
      listener->fd = -1;
      if (listener->spare_fd >= 0)
        close (listener->spare_fd);
      listener->spare_fd = -1;
    }
}

void
http_server_stop_listening (struct http_server *server)
{
  server->closing = true;
  /* Callers in the backlog see an established connection and may have sent requests; closing the
   * listener now would reset them without a response. */
  for (int i = 0; i < HTTP_LISTENER_COUNT; i++)
    if (server->listeners[i].fd >= 0)
      accept_pending (&server->listeners[i], LISTEN_BACKLOG);
  close_listeners (server);
}

static int
destroy_server (struct http_server *server)
{
  struct server_connection *connection;
  struct server_connection *next;

  close_listeners (server);
  DL_FOREACH_SAFE (server->connections, connection, next)
    {
      server_connection_kill (connection);
      lws_set_opaque_user_data (connection->wsi, NULL);
      server_connection_free (connection, loop_now (server->loop));
    }
  HASH_CLEAR (hh, server->callers);
  if (server->socket_fd >= 0)
    {
      loop_unwatch (server->loop, &server->socket_watch);
      close (server->socket_fd);
    }
  return 0;
}

static struct lws_vhost *
make_vhost (struct http_server *server, const struct http_server_config *config, bool tls)
{
  struct lws_context_creation_info info = {
    .port = CONTEXT_PORT_NO_LISTEN_SERVER,
    .protocols = server_protocols,
    .vhost_name = tls ? "tls" : "plain",
    .user = server,
    .alpn = "http/1.1",
    /* Longer than the server's own idle timer, which therefore fires first: the timeout of lws
     * would truncate a response in progress. */
    .keepalive_timeout = (int) (config->limits.idle_timeout / USEC_PER_SEC) + 2,
  };

  if (tls)
    {
      /* Without this option on the vhost too, lws ignores the certificate and serves plain text. */
      info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
      info.ssl_cert_filepath = config->tls_certificate;
      info.ssl_private_key_filepath = config->tls_key;
    }
  return lws_create_vhost (loop_context (config->loop), &info);
}

static enum status
open_server (struct http_server *server, const struct http_server_config *config)
{
  enum status watched = watch_sockets (server);

  if (watched != STATUS_OK)
    return watched;
  server->plain = make_vhost (server, config, false);
  if (server->plain == NULL)
    return status_fail (STATUS_NO_MEMORY, "cannot make the HTTP server");
  if (config->tls_certificate != NULL)
    {
      server->tls = make_vhost (server, config, true);
      if (server->tls == NULL)
        return status_fail (STATUS_INVALID, "certificate %s or key %s cannot be used",
                            config->tls_certificate, config->tls_key ? config->tls_key : "(none)");
    }
  for (int i = 0; i < HTTP_LISTENER_COUNT; i++)
    {
      enum status status = config->listen[i] == NULL
                               ? STATUS_OK
                               : listen_at (&server->listeners[i], config->listen[i]);

      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}

struct http_server *
http_server_new (void *parent, const struct http_server_config *config)
{
  static const char *const names[][2] = {
#define X(name, text, help) { text, help },
    SERVER_COUNTER_LIST (X)
#undef X
  };
  struct http_server *server = talloc_zero (parent, struct http_server);

  if (server == NULL)
    return NULL;
  server->loop = config->loop;
  server->timers = loop_timers (config->loop);
  server->limits = config->limits;
  server->quota =
      config->quota != NULL
          ? config->quota
          : quota_new (server, &(struct quota_config){
                                   .connections_max = loop_connections_max (config->loop),
                                   .counters = config->counters,
                               });
  server->socket_fd = -1;
  for (int i = 0; i < SERVER_COUNTER_COUNT && config->counters != NULL; i++)
    server->counters[i] = counter_get (config->counters, names[i][0], names[i][1], NULL);
  for (int i = 0; i < HTTP_LISTENER_COUNT; i++)
    server->listeners[i] = (struct server_listener){
      .server = server, .id = (enum http_listener) i, .fd = -1, .spare_fd = -1
    };
  talloc_set_destructor (server, destroy_server);
  if (server->quota == NULL || open_server (server, config) != STATUS_OK)
    {
      talloc_free (server);
      return NULL;
    }
  return server;
}

uint16_t
http_server_port (const struct http_server *server, enum http_listener listener)
{
  return server->listeners[listener].port;
}

uint32_t
http_server_pending (const struct http_server *server)
{
  return server->pending;
}
