/* Headers parsed by lws, copied out, and checks of header text. */
#ifndef HTTP_HEADERS_H
#define HTTP_HEADERS_H

#include "decls.h"
#include "http.h"

BEGIN_DECLS

struct lws;

/* Custom headers.  lws finds headers that it does not know only by name, so a header that is not
 * listed here is ignored. */
#define HTTP_CUSTOM_HEADER_LIST(X)                                                                 \
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
  size_t bytes; /* of all names and values copied, with ": " and CR LF of each */
};

/* Copy the headers of the message that `wsi` has just parsed; `parent` owns the copy.
 * STATUS_NO_MEMORY or STATUS_LIMIT on failure. */
enum status http_headers_copy (void *parent, struct lws *wsi, struct http_headers *out);

/* The value of a header, NULL when absent.  `name` in lower case. */
const char *http_headers_find (const struct http_field *fields, size_t n_fields, const char *name);

/* Is this text free of control characters, which could inject header lines? */
bool http_header_text_is_valid (const char *text);

END_DECLS

#endif
