/* The HTTP API for targets: /v1/targets/announce, renew, leave, load and cache. */
#ifndef TARGET_API_H
#define TARGET_API_H

#include "board.h"
#include "decls.h"
#include "directory.h"
#include "http.h"

BEGIN_DECLS

struct target_api_config
{
  struct board *board;
  struct directory *directory;
  uint32_t json_depth; /* maximum nesting of a body */
  uint64_t seed;
};

struct target_api;

/* Freed with `parent`.  NULL when out of memory. */
struct target_api *target_api_new (void *parent, const struct target_api_config *config);

/* For HTTP_LISTENER_TARGETS, prefix "/v1/targets/". */
struct http_route *target_api_route (struct target_api *api);

END_DECLS

#endif
