/* The HTTP client of the product's own calls, over h1_client: deadlines, bounds, answers whose end
 * shows. */
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
  struct counters *counters; /* NULL where nobody looks */
  uint32_t calls_max;        /* at one time, in all */
  uint32_t answer_bytes_max; /* of one answer, where the call does not say */
  int64_t connect_timeout;
  const char *tls_ca; /* file; NULL for plain HTTP */
};

/* NULL with status_message() when it cannot be made. */
struct http_client *http_client_new (void *parent, const struct http_client_config *config);

END_DECLS

#endif
