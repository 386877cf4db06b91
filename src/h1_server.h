/* The HTTP/1.1 server of the forwarding path: whole requests in, answers of any framing out. */
#ifndef H1_SERVER_H
#define H1_SERVER_H

#include "bytes.h"
#include "counter.h"
#include "decls.h"
#include "h1.h"
#include "loop.h"
#include "tcp.h"

BEGIN_DECLS

/* What a client may send, and how long it may take or stay idle. */
struct h1_limits
{
  size_t header_bytes;
  size_t body_bytes;
  int64_t request_timeout; /* from a request's first byte to its last */
  int64_t idle_timeout;    /* of a connection between requests */
};

/* Before a configuration says otherwise. */
#define H1_HEADER_BYTES 16384
#define H1_BODY_BYTES (4u << 20)
#define H1_REQUEST_TIMEOUT (10 * USEC_PER_SEC)
#define H1_IDLE_TIMEOUT (15 * USEC_PER_SEC)

struct h1_server;
struct h1_connection;

/* One request and its answer. */
struct h1_exchange
{
  struct h1_connection *connection;
  const struct h1_head *head;
  const struct bytes *body;
  int64_t arrived; /* when its first byte came */
  void *user;      /* of who answers it; NULL when the request comes in */
};

struct h1_handler
{
  const struct h1_handler_ops *ops;
};

struct h1_handler_ops
{
  /* A whole request.  It is answered now or later, once, unless gone() comes first. */
  void (*request) (struct h1_handler *handler, struct h1_exchange *exchange, int64_t now);

  /* The client closed its connection; the exchange is no more.  Comes only while an answer is
   * due. */
  void (*gone) (struct h1_handler *handler, struct h1_exchange *exchange, int64_t now);
};

struct h1_server_config
{
  struct loop *loop;
  const char *listen;
  struct h1_handler *handler;
  const struct h1_limits *limits; /* read at each request; outlives the server */
  uint32_t connections_max;
  struct counters *counters;
  const char *label; /* of the counters: which listener */
};

/* Freed with `parent`.  NULL with status_message() when the address cannot be taken. */
struct h1_server *h1_server_new (void *parent, const struct h1_server_config *config);

/* The port in use. */
uint16_t h1_server_port (const struct h1_server *server);

/* From now on each answer asks its client to close. */
void h1_server_close_after_answers (struct h1_server *server);

/* Requests not yet answered whole, or whose answer is not yet sent. */
uint32_t h1_server_pending (const struct h1_server *server);
uint32_t h1_server_connections (const struct h1_server *server);

/* Answer whole.  `fields` are header lines, each with its line end; NULL for none.  To HEAD without
 * a body no length is said, so that `fields` may say the one that GET would have. */
void h1_reply (struct h1_exchange *exchange,
               unsigned status,
               const char *fields,
               const void *body,
               size_t length);

/* Answer in pieces; `length` under 0 where it is not known.  Pieces of another length are cut. */
void h1_reply_begin (struct h1_exchange *exchange,
                     unsigned status,
                     const char *fields,
                     int64_t length);
void h1_reply_data (struct h1_exchange *exchange, const void *data, size_t length);

/* Not `whole`: the connection is reset, so that the answer cannot look complete. */
void h1_reply_end (struct h1_exchange *exchange, bool whole);

/* Close without an answer, which promises nothing about the request. */
void h1_drop (struct h1_exchange *exchange);

END_DECLS

#endif
