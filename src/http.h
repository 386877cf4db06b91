/* The HTTP edges: what the process needs of a server and of a client, behind vtables.
 *
 * The product's implementations (http_server.c, http_client.c) use libwebsockets; tests and the
 * users' bench put their own behind the same structs. */
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

/* Which listening address a request came in on.  name, text */
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

/* Embedded by who must know that the other side went away before the answer ended. */
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
  /* Answer whole.  The exchange is gone for its holder after the call.  Fields may be NULL when
   * `n_fields` is 0; content-length is added, content-type is taken from the fields. */
  void (*reply) (struct http_exchange *exchange,
                 int code,
                 const struct http_field *fields,
                 size_t n_fields,
                 const void *body,
                 size_t length);

  /* Answer in parts: begin, write any number of times, finish.  The exchange is gone for its
   * holder after finish(). */
  void (*begin) (struct http_exchange *exchange,
                 int code,
                 const struct http_field *fields,
                 size_t n_fields);
  void (*write) (struct http_exchange *exchange, const void *data, size_t length);
  void (*finish) (struct http_exchange *exchange);

  /* Close without an answer's end, so that the caller cannot take a part for the whole. */
  void (*abort) (struct http_exchange *exchange);

  /* Bytes written and not yet taken by the caller's socket. */
  size_t (*unsent) (const struct http_exchange *exchange);
};

/* A complete request, its body whole and within the limits, waiting for its answer. */
struct http_exchange
{
  const struct http_exchange_ops *ops;
  enum http_listener listener;
  const char *method;
  const char *path;  /* without the query, percent-decoded */
  const char *query; /* after '?', still encoded; "" when there is none */
  const struct http_field *headers;
  size_t n_headers;
  const char *body; /* NUL after its end */
  size_t body_length;
  char peer[HTTP_PEER_SIZE];    /* the other side's IP address */
  struct http_watcher *watcher; /* set by the holder, may be NULL */
};

/* The value of a header, NULL when absent.  `name` in lower case. */
const char *http_header (const struct http_exchange *exchange, const char *name);

/* Copy the percent-decoded value of a query parameter; false when absent or too long. */
bool http_query (const struct http_exchange *exchange,
                 const char *name,
                 char *out,
                 size_t out_size);

/* Answer with {"error": {"code", "field", "message"}}; `field` may be NULL. */
void http_reply_error (struct http_exchange *exchange,
                       int code,
                       const char *field,
                       const char *message);

/* Handles every request of a listener whose path starts with `prefix`; the longest prefix wins.
 * Every method comes to the same route. */
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
  int64_t deadline;      /* the call fails with STATUS_TIMEOUT then */
  size_t max_body_bytes; /* of the answer, 0 for the client's own limit */
};

/* Takes the events of one call.  Exactly one of end() and failed() comes, and nothing after it.
 */
struct http_call_sink
{
  const struct http_call_sink_ops *ops;
};

struct http_call_sink_ops
{
  void (*head) (struct http_call_sink *sink,
                int code,
                const struct http_field *headers,
                size_t n_headers,
                int64_t now);
  void (*data) (struct http_call_sink *sink, const void *data, size_t length, int64_t now);

  /* The answer ended by its own framing: it is whole. */
  void (*end) (struct http_call_sink *sink, int64_t now);

  /* `sent`: a byte of the request may have reached the other side.  An answer cut short comes
   * here, never to end(). */
  void (*failed) (struct http_call_sink *sink, enum status why, bool sent, int64_t now);
};

struct http_client
{
  const struct http_client_ops *ops;
};

struct http_client_ops
{
  /* No event comes during the call.  On failure nothing was sent and no event will come. */
  enum status (*start) (struct http_client *client,
                        const struct http_call_spec *spec,
                        struct http_call_sink *sink,
                        int64_t now,
                        struct http_call **out);

  /* Close the connection; no event comes after, the call is gone. */
  void (*cancel) (struct http_client *client, struct http_call *call);
};

END_DECLS

#endif
