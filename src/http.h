/* Interfaces of the HTTP server and client, as vtables.
 *
 * The production implementations are http_server.c, on libwebsockets, and http_client.c, on
 * h1_client; tests and the users' bench provide their own. */
#ifndef HTTP_H
#define HTTP_H

#include "decls.h"
#include "status.h"
#include "usec.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define HTTP_PEER_SIZE 64

/* Header names are lower case. */
struct http_field
{
  const char *name;
  const char *value;
};

/* name, text: the listening address on which a request arrived */
#define HTTP_LISTENER_LIST(X)                                                                      \
  X (CALLERS, "callers")                                                                           \
  X (OPERATORS, "operators")                                                                       \
  X (TARGETS, "targets")

enum http_listener
{
#define X(name, text) HTTP_LISTENER_##name,
  HTTP_LISTENER_LIST (X)
#undef X
      HTTP_LISTENER_COUNT
};

/* ---- server ---- */

struct http_exchange;

/* Embedded by a holder of an exchange that must be notified when the peer closes the connection
 * before the response ended. */
struct http_watcher
{
  const struct http_watcher_ops *ops;
};

struct http_watcher_ops
{
  /* The exchange is freed after the call. */
  void (*closed) (struct http_watcher *watcher, int64_t now);
};

struct http_exchange_ops
{
  /* Send a complete response.  The holder must not use the exchange after the call.  `fields` may
   * be NULL when `n_fields` is 0; content-length is added, content-type comes from the fields. */
  void (*reply) (struct http_exchange *exchange,
                 int code,
                 const struct http_field *fields,
                 size_t n_fields,
                 const void *body,
                 size_t length);

  /* Send a response in parts: begin, write any number of times, finish.  The holder must not use
   * the exchange after finish(). */
  void (*begin) (struct http_exchange *exchange,
                 int code,
                 const struct http_field *fields,
                 size_t n_fields);
  void (*write) (struct http_exchange *exchange, const void *data, size_t length);
  void (*finish) (struct http_exchange *exchange);

  /* Close the connection before the end of the response, so that the caller sees it as truncated.
   * The holder must not use the exchange after the call. */
  void (*abort) (struct http_exchange *exchange);

  /* Bytes written and not yet accepted by the caller's socket. */
  size_t (*unsent) (const struct http_exchange *exchange);
};

/* A complete request within the limits, waiting for its response. */
struct http_exchange
{
  const struct http_exchange_ops *ops;
  enum http_listener listener;
  const char *method;
  const char *path;  /* without the query, percent-decoded */
  const char *query; /* after '?', still encoded; "" when there is none */
  const struct http_field *headers;
  size_t n_headers;
  const char *body; /* NUL-terminated */
  size_t body_length;
  char peer[HTTP_PEER_SIZE];    /* IP address of the peer */
  struct http_watcher *watcher; /* set by the holder, may be NULL */
};

/* The value of a header, NULL when absent.  `name` in lower case. */
const char *http_header (const struct http_exchange *exchange, const char *name);

/* Copy the percent-decoded value of a query parameter; false when absent or too long. */
bool http_query (const struct http_exchange *exchange,
                 const char *name,
                 char *out,
                 size_t out_size);

/* Reply with {"error": {"code", "field", "message"}}; `field` may be NULL. */
void http_reply_error (struct http_exchange *exchange,
                       int code,
                       const char *field,
                       const char *message);

/* Handles every request of a listener whose path starts with `prefix`, with any method; the longest
 * matching prefix wins. */
struct http_route
{
  const struct http_route_ops *ops;
  enum http_listener listener;
  const char *prefix;
};

struct http_route_ops
{
  void (*request) (struct http_route *route, struct http_exchange *exchange, int64_t now);
};

/* ---- client ---- */

struct http_call;

struct http_call_spec
{
  const char *address; /* "ip:port" */
  const char *method;
  const char *path;
  const struct http_field *headers;
  size_t n_headers;
  const void *body; /* copied */
  size_t body_length;
  int64_t deadline;      /* time at which the call fails with STATUS_TIMEOUT */
  size_t max_body_bytes; /* of the response, 0 for the client's default */
};

/* Receives the events of one call.  The last event is exactly one end() or failed(), unless the
 * call is cancelled. */
struct http_call_sink
{
  const struct http_call_sink_ops *ops;
};

struct http_call_sink_ops
{
  /* A connection was opened for the call; the request is sent now, unless this returns false: then
   * the call fails with STATUS_UNAVAILABLE, not sent.  NULL: it is sent. */
  bool (*may_send) (struct http_call_sink *sink, int64_t now);

  void (*head) (struct http_call_sink *sink,
                int code,
                const struct http_field *headers,
                size_t n_headers,
                int64_t now);
  void (*data) (struct http_call_sink *sink, const void *data, size_t length, int64_t now);

  /* The response is complete by its framing. */
  void (*end) (struct http_call_sink *sink, int64_t now);

  /* `sent`: bytes of the request may have reached the server.  A truncated response is reported
   * here, never by end(). */
  void (*failed) (struct http_call_sink *sink, enum status why, bool sent, int64_t now);
};

struct http_client
{
  const struct http_client_ops *ops;
};

struct http_client_ops
{
  /* Delivers no event from within the call.  On failure nothing was sent and no event follows. */
  enum status (*start) (struct http_client *client,
                        const struct http_call_spec *spec,
                        struct http_call_sink *sink,
                        int64_t now,
                        struct http_call **out);

  /* Close the connection and free the call; no event follows. */
  void (*cancel) (struct http_client *client, struct http_call *call);
};

END_DECLS

#endif
