/* HTTP server on libwebsockets; callers, operators and targets each have a listening address. */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "counter.h"
#include "decls.h"
#include "http.h"
#include "loop.h"
#include "quota.h"

BEGIN_DECLS

struct http_server;

/* Times are in microseconds. */
struct http_limits
{
  uint32_t header_bytes; /* of all headers of a request */
  uint32_t body_bytes;
  uint32_t connections_per_caller; /* by IP address, 0 for no limit */
  int64_t idle_timeout;            /* of a connection between requests */
  int64_t body_timeout;            /* for a whole request to arrive */
  uint32_t unsent_bytes;           /* a streamed response with more unsent bytes is aborted */
};

struct http_server_config
{
  struct loop *loop;
  struct counters *counters;
  struct quota *quota;                     /* of all clients; NULL for one of its own */
  const char *listen[HTTP_LISTENER_COUNT]; /* "ip:port"; NULL for none */
  struct http_limits limits;
  const char *tls_certificate; /* file, for callers and operators; NULL for plain HTTP */
  const char *tls_key;
};

/* NULL, with status_message() set, when an address cannot be bound or the certificate or key cannot
 * be used. */
struct http_server *http_server_new (void *parent, const struct http_server_config *config);

/* `route` must live as long as the server.  STATUS_NO_MEMORY is the only failure. */
enum status http_server_add_route (struct http_server *server, struct http_route *route);

/* Stops at the first failure; the routes added before it stay. */
enum status http_server_add_routes (struct http_server *server,
                                    struct http_route *const *routes,
                                    uint32_t n_routes);

/* The bound port, for addresses whose port the kernel chose. */
uint16_t http_server_port (const struct http_server *server, enum http_listener listener);

/* Stop listening, for shutdown.  Connections in the backlog are accepted first; open connections
 * continue. */
void http_server_stop_listening (struct http_server *server);

/* Requests without a response, and responses not yet accepted by the callers' sockets. */
uint32_t http_server_pending (const struct http_server *server);

END_DECLS

#endif
