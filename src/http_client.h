/* HTTP client for internal calls, on top of h1_client: enforces deadlines and size limits and
 * rejects responses whose end is not determined by a length or chunked coding. */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "counter.h"
#include "decls.h"
#include "http.h"
#include "loop.h"

BEGIN_DECLS

struct http_client_config
{
  struct loop *loop;
  struct counters *counters; /* NULL for none */
  uint32_t calls_max;        /* concurrent calls */
  uint32_t answer_bytes_max; /* of a response body, unless the call sets its own limit */
  int64_t connect_timeout;   /* microseconds */
  const char *tls_ca;        /* file; NULL for plain HTTP */
};

/* NULL, with status_message() set, when the CA file cannot be read or memory is out. */
struct http_client *http_client_new (void *parent, const struct http_client_config *config);

END_DECLS

#endif
