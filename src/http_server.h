/* The HTTP server on libwebsockets: callers, operators and targets, each on its own address. */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "counter.h"
#include "decls.h"
#include "http.h"
#include "loop.h"

BEGIN_DECLS

struct http_server;

struct http_limits
{
  uint32_t header_bytes; /* of all headers of a request */
  uint32_t body_bytes;
  uint32_t connections_per_caller; /* by IP address, 0 for no limit */
  int64_t idle_timeout;            /* of a connection between requests */
  int64_t body_timeout;            /* for a whole request to arrive */
  uint32_t unsent_bytes;           /* a streamed answer that its caller does not take is closed */
};

struct http_server_config
{
  struct loop *loop;
  struct counters *counters;
  const char *listen[HTTP_LISTENER_COUNT]; /* "ip:port"; NULL for none */
  struct http_limits limits;
  const char *tls_certificate; /* of callers and operators; NULL for plain HTTP */
  const char *tls_key;
};

/* NULL with status_message() when an address cannot be taken. */
struct http_server *http_server_new (void *parent, const struct http_server_config *config);

/* Routes live as long as the server.  Fails with STATUS_NO_MEMORY alone. */
enum status http_server_add_route (struct http_server *server, struct http_route *route);

/* The first failure ends it, and the routes before that one stay. */
enum status http_server_add_routes (struct http_server *server,
                                    struct http_route *const *routes,
                                    uint32_t n_routes);

/* The port in use, for addresses whose port the kernel chose. */
uint16_t http_server_port (const struct http_server *server, enum http_listener listener);

/* Take no more connections; those that are there go on, and those that wait to be taken are.  For
 * shutdown. */
void http_server_stop_listening (struct http_server *server);

/* Requests not yet answered, and answers not yet taken by their callers' sockets. */
uint32_t http_server_pending (const struct http_server *server);

END_DECLS

#endif
