/* Headers that lws has parsed, copied out, for the server and the client. */
#ifndef HTTP_HEADERS_H
#define HTTP_HEADERS_H

#include "decls.h"
#include "http.h"

BEGIN_DECLS

struct lws;

/* Our own headers, which lws gives by name only: what is not listed here is not seen. */
#define HTTP_OWN_HEADER_LIST(X)                                                                    \
  X ("x-request-id")                                                                               \
  X ("x-organisation")                                                                             \
  X ("x-deadline-ms")                                                                              \
  X ("x-repeatable")                                                                               \
  X ("x-priority")                                                                                 \
  X ("x-outcome")                                                                                  \
  X ("x-attempt")                                                                                  \
  X ("x-stage")                                                                                    \
  X ("x-not-run")                                                                                  \
  X ("x-change-id")                                                                                \
  X ("x-revision")                                                                                 \
  X ("x-fence")                                                                                    \
  X ("retry-after-ms")

struct http_headers
{
  struct http_field *fields;
  size_t count;
  size_t bytes; /* of all names and values copied, with ": " and the line end of each */
};

/* Copy the headers of the message that `wsi` has just parsed, with `parent` as their owner. */
enum status http_headers_copy (void *parent, struct lws *wsi, struct http_headers *out);

/* The value of a header, NULL when absent.  `name` in lower case. */
const char *http_headers_find (const struct http_field *fields, size_t n_fields, const char *name);

/* May this text stand in a header line?  Control characters would let it add lines of its own. */
bool http_headers_clean (const char *text);

END_DECLS

#endif
