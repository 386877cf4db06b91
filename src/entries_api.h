/* The callers' list of hosts: GET /v1/entries names whom to connect to, best first, and for how
 * long the list may be kept. */
#ifndef ENTRIES_API_H
#define ENTRIES_API_H

#include "board.h"
#include "counter.h"
#include "decls.h"
#include "http.h"

BEGIN_DECLS

struct entries_config
{
  struct board *board;
  struct counters *counters;
  int64_t list_keep; /* at most; callers get a little less each, so as not to ask in step */
  uint64_t seed;
};

struct entries;

/* NULL when out of memory. */
struct entries *entries_new (void *parent, const struct entries_config *config);

/* For HTTP_LISTENER_CALLERS, "/v1/entries". */
struct http_route *entries_route (struct entries *entries);

END_DECLS

#endif
