/* HTTP/1.1 server of the forwarding path: complete requests in, responses of any framing out. */
#ifndef H1_SERVER_H
#define H1_SERVER_H

#include "bytes.h"
#include "counter.h"
#include "decls.h"
#include "h1.h"
#include "loop.h"
#include "quota.h"
#include "tcp.h"

BEGIN_DECLS

/* Limits on the size and time of requests.  Times are in microseconds. */
struct h1_limits
{
  size_t header_bytes;
  size_t body_bytes;
  int64_t request_timeout; /* from a request's first byte to its last */
  int64_t idle_timeout;    /* of a connection between requests */
};

/* Defaults: bytes and microseconds. */
#define H1_DEFAULT_HEADER_BYTES 16384
#define H1_DEFAULT_BODY_BYTES (4u << 20)
#define H1_DEFAULT_REQUEST_TIMEOUT (10 * USEC_PER_SEC)
#define H1_DEFAULT_IDLE_TIMEOUT (15 * USEC_PER_SEC)

struct h1_server;
struct h1_connection;

/* One request and its response. */
struct h1_exchange
{
  struct h1_connection *connection;
  const struct h1_head *head;
  const struct bytes *body;
  int64_t arrived; /* time of the first byte */
  void *user;      /* owned by the handler; NULL when the request arrives */
};

struct h1_handler
{
  const struct h1_handler_ops *ops;
};

struct h1_handler_ops
{
  /* A complete request.  The handler answers it once, now or later, unless gone() comes first. */
  void (*request) (struct h1_handler *handler, struct h1_exchange *exchange, int64_t now);

  /* The client closed its connection; the exchange is invalid after the call.  Called only while a
   * response is due. */
  void (*gone) (struct h1_handler *handler, struct h1_exchange *exchange, int64_t now);
};

struct h1_server_config
{
  struct loop *loop;
  const char *listen;
  struct h1_handler *handler;
  const struct h1_limits *limits; /* read at each request; outlives the server */
  struct quota *quota;            /* of all clients of the process; NULL for one of its own */
  uint32_t body_copies;           /* of each request, that its handler makes while it runs */
  uint32_t connections_max;       /* where `quota` is NULL */
  struct counters *counters;
  const char *label; /* of the counters: which listener */
};

/* Freed with `parent`.  NULL, with status_message() set, when the address cannot be bound. */
struct h1_server *h1_server_new (void *parent, const struct h1_server_config *config);

/* The port in use. */
uint16_t h1_server_port (const struct h1_server *server);

/* Send "Connection: close" with every response from now on. */
void h1_server_close_after_answers (struct h1_server *server);

/* Requests whose response is incomplete or not fully sent. */
uint32_t h1_server_pending (const struct h1_server *server);
uint32_t h1_server_connections (const struct h1_server *server);

/* Send a complete response.  `fields` are header lines, each with its CR LF; NULL for none.  A
 * response to HEAD with a `length` of 0 gets no Content-Length, so that `fields` can give the
 * length that GET would have. */
void h1_reply (struct h1_exchange *exchange,
               unsigned status,
               const char *fields,
               const void *body,
               size_t length);

/* Send a response in pieces; `length` is negative when it is unknown.  The connection is reset if
 * the pieces do not add up to `length`. */
void h1_reply_begin (struct h1_exchange *exchange,
                     unsigned status,
                     const char *fields,
                     int64_t length);
void h1_reply_data (struct h1_exchange *exchange, const void *data, size_t length);

/* End the response.  Without `whole` the connection is reset, so that the response cannot look
 * complete. */
void h1_reply_end (struct h1_exchange *exchange, bool whole);

/* Reset the connection without a complete response, which leaves open whether the request ran. */
void h1_reply_abort (struct h1_exchange *exchange);

END_DECLS

#endif
