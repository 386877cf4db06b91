/* Internals of the HTTP server: http_server.c accepts connections and finds routes,
 * http_server_connection.c reads requests, http_server_answer.c writes responses. */
#ifndef HTTP_SERVER_PRIVATE_H
#define HTTP_SERVER_PRIVATE_H

#include "bytes.h"
#include "http_headers.h"
#include "http_server.h"
#include "inet_address.h"
#include "tcp.h"
#include "timer.h"
#include <libwebsockets.h>
#include <uthash.h>

/* Connections of one IP address. */
struct server_caller
{
  char ip[HTTP_PEER_SIZE];
  uint32_t connections;
  UT_hash_handle hh;
};

struct server_listener
{
  struct loop_watch watch;
  struct http_server *server;
  enum http_listener id;
  int fd;       /* -1 when not listening */
  int spare_fd; /* of tcp_accept_next() */
  uint16_t port;
};

/* name, text, help */
#define SERVER_COUNTER_LIST(X)                                                                     \
  X (ACCEPTED, "cherryarch_http_connections_accepted", "Connections accepted")                     \
  X (REFUSED, "cherryarch_http_connections_refused", "Connections closed at once by a limit")      \
  X (REQUESTS, "cherryarch_http_requests", "Requests handed to a route")                           \
  X (REJECTED, "cherryarch_http_requests_rejected",                                                \
     "Requests answered 4xx before a route saw them")                                              \
  X (TIMEOUTS, "cherryarch_http_connections_timed_out",                                            \
     "Connections closed because the other side was slow")                                         \
  X (TRUNCATED, "cherryarch_http_answers_cut", "Answers that did not reach their caller whole")

enum server_counter
{
#define X(name, text, help) SERVER_##name,
  SERVER_COUNTER_LIST (X)
#undef X
      SERVER_COUNTER_COUNT
};

struct http_server
{
  struct loop *loop;
  struct timer_service *timers;
  struct quota *quota;
  struct http_limits limits;
  struct counter *counters[SERVER_COUNTER_COUNT];
  struct lws_vhost *plain;
  struct lws_vhost *tls; /* NULL without a certificate */
  struct server_listener listeners[HTTP_LISTENER_COUNT];
  struct http_route **routes;
  size_t n_routes;
  struct server_caller *callers; /* hash by IP */
  struct server_connection *connections;
  struct loop_watch socket_watch;
  int socket_fd; /* epoll: connections closed by the peer or writable again */
  uint32_t pending;
  uint32_t n_connections;
  bool closing; /* shutting down: responses carry "connection: close" */
};

enum server_phase
{
  SERVER_IDLE, /* no request, or receiving headers */
  SERVER_BODY,
  SERVER_HANDLING, /* the route handles the request */
  SERVER_ANSWERING
};

struct server_connection
{
  struct http_server *server;
  enum http_listener listener;
  struct lws *wsi;
  struct quota_member member;
  struct server_caller *caller; /* NULL where connections are not counted */
  struct timer timer;
  enum server_phase phase;
  struct server_request *request;
  bool close_after; /* close after the current response */
  bool killed;
  bool adopting;        /* within the lws adoption call, which may close the connection */
  bool gone;            /* lws closed the connection */
  bool choked;          /* the socket's send buffer is full */
  bool reading;         /* lws reads from the socket */
  uint64_t read_before; /* bytes lws had read when the last response was complete */
  char peer[HTTP_PEER_SIZE];
  struct server_connection *prev;
  struct server_connection *next;
};

struct server_request
{
  struct http_exchange exchange;
  struct http_server *server;
  struct server_connection *connection; /* NULL once it closed */
  struct http_headers headers;
  struct bytes body;
  size_t body_expected;
  struct bytes out;
  size_t out_sent;
  bool dispatched; /* the exchange was passed to a route or answered with an error */
  bool chunked;
  bool head_only; /* response to HEAD: no body */
  bool http10;
  bool close_delimited; /* the response ends with its connection */
  bool finished;        /* nothing more will be added to `out` */
};

static inline void
server_count (struct http_server *server, enum server_counter counter)
{
  if (server->counters[counter] != NULL)
    counter_add (server->counters[counter], 1);
}

/* http_server.c */
const char *server_listener_text (enum http_listener listener);
struct http_route *server_find_route (struct http_server *server,
                                      enum http_listener listener,
                                      const char *path);
void server_caller_release (struct http_server *server, struct server_caller *caller);

/* http_server_connection.c */
void server_connection_set_reading (struct server_connection *connection, bool on);
void server_connection_socket_event (struct server_connection *connection,
                                     bool hung_up,
                                     int64_t now);

/* Count the memory of the connection's request, with `more` bytes to come.  False if all clients
 * together would hold too much. */
bool server_connection_hold (struct server_connection *connection, size_t more, int64_t now);
struct server_connection *server_connection_new (struct http_server *server,
                                                 enum http_listener listener,
                                                 struct server_caller *caller,
                                                 const char *peer);
void server_connection_free (struct server_connection *connection, int64_t now);
void server_connection_kill (struct server_connection *connection);

/* While on, any close of the connection, also by the end of the process, is a reset.  For a
 * response that is marked as complete by an orderly close. */
void server_connection_set_reset_on_close (struct server_connection *connection, bool on);
int server_on_event (
    struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in, size_t len);

/* Bytes that lws has read from the socket so far; 0 if the kernel does not report it. */
uint64_t server_connection_bytes_read (const struct server_connection *connection);

/* http_server_answer.c */
extern const struct http_exchange_ops server_exchange_ops;
void server_request_free (struct server_request *request);

/* Write as much as the socket accepts.  Returns the result for the lws callback: 0, or -1 to close
 * the connection. */
int server_answer_write (struct server_connection *connection, int64_t now);

/* The same from outside of lws callbacks. */
void server_answer_resume (struct server_connection *connection, int64_t now);

#endif
