/* GET /v1/entries: lists the hosts that callers may connect to, in order of preference, and how
 * long the list may be cached. */
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
  int64_t list_keep; /* maximum, USEC; random jitter keeps callers from asking in step */
  uint64_t seed;
};

struct entries;

/* Freed with `parent`.  NULL when out of memory. */
struct entries *entries_new (void *parent, const struct entries_config *config);

/* For HTTP_LISTENER_CALLERS, "/v1/entries". */
struct http_route *entries_route (struct entries *entries);

END_DECLS

#endif
