/* The operator API: resources, watches, revision, dump, metrics and health. */
#ifndef OPERATOR_H
#define OPERATOR_H

#include "access.h"
#include "board.h"
#include "config.h"
#include "consensus.h"
#include "counter.h"
#include "decls.h"
#include "dump.h"
#include "http.h"
#include "store.h"
#include "timer.h"

BEGIN_DECLS

struct operator_api;
struct config_wait;

struct operator_api_config
{
  struct store *store;
  struct board *board;
  struct access *access; /* NULL: no authentication, every operator is an admin */
  struct consensus *consensus;
  struct config_wait *wait; /* NULL: the `wait` parameter is ignored */
  struct timer_service *timers;
  struct counters *counters;
  struct dump *dump;
  const char *host;       /* name of this host */
  int64_t wall_offset_ms; /* wall clock minus monotonic clock at start, milliseconds */
};

/* Freed with `parent`.  NULL when out of memory. */
struct operator_api *operator_api_new (void *parent, const struct operator_api_config *config);

/* Sets `out` to the routes to add to the server and returns their count.  They live as long as
 * `api`. */
uint32_t operator_api_routes (struct operator_api *api, struct http_route ***out);

END_DECLS

#endif
