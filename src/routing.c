/* The routing configuration. */
#include "routing.h"
#include "text.h"
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

static const char *const kind_texts[] = {
#define X(name, text) [ROUTE_##name] = text,
  ROUTE_KIND_LIST (X)
#undef X
};

const char *
route_kind_text (enum route_kind kind)
{
  return kind_texts[kind];
}

/* uthash's table is not allocated with talloc. */
static int
free_routing (struct routing *routing)
{
  HASH_CLEAR (hh, routing->keys);
  return 0;
}

struct routing *
routing_new (void *parent)
{
  struct routing *routing = talloc_zero (parent, struct routing);

  if (routing != NULL)
    talloc_set_destructor (routing, free_routing);
  return routing;
}

/* uthash: NOLINTBEGIN(readability-function-size) */
enum status
routing_add_key (struct routing *routing, const char *key, uint32_t organisation)
{
  struct routing_key *entry;

  HASH_FIND_STR (routing->keys, key, entry);
  if (entry != NULL && entry->organisation != organisation)
    return status_fail (STATUS_CONFLICT, "organisations %s and %s share a key",
                        routing->organisations[entry->organisation].name,
                        routing->organisations[organisation].name);
  if (entry != NULL)
    return STATUS_OK;
  entry = talloc_zero (routing, struct routing_key);
  if (entry == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  if (key[0] == '\0' || !text_copy (entry->key, sizeof entry->key, key))
    return status_fail (STATUS_INVALID, "a key of %s is empty or too long",
                        routing->organisations[organisation].name);
  entry->organisation = organisation;
  HASH_ADD_STR (routing->keys, key, entry);
  return STATUS_OK;
}
/* NOLINTEND(readability-function-size) */

int
routing_find_pool (const struct routing *routing, const char *name)
{
  for (uint32_t i = 0; i < routing->n_pools; i++)
    if (strcmp (routing->pools[i].name, name) == 0)
      return (int) i;
  return -1;
}

bool
routing_forwards_to (const struct routing *routing, const char *pool)
{
  int number = routing_find_pool (routing, pool);

  for (uint32_t i = 0; i < routing->n_routes; i++)
    for (uint32_t j = 0; j < routing->routes[i].n_shares; j++)
      if (routing->routes[i].shares[j].weight > 0
          && (int) routing->routes[i].shares[j].pool == number)
        return true;
  return false;
}

static enum status
check_stages (const struct route *route)
{
  for (uint32_t i = 0; i < route->n_stages; i++)
    /* A stage that depends on itself or a later one could never start. */
    if ((route->stages[i].depends_on >> i) != 0)
      return status_fail (STATUS_INVALID, "route %s: stage %u needs one that is not before it",
                          route->name, i);
  return STATUS_OK;
}

static enum status
check_route (const struct route *route)
{
  size_t length = strlen (route->prefix);

  if (length == 0 || route->prefix[0] != '/' || route->prefix[length - 1] != '/')
    return status_fail (STATUS_INVALID, "route %s: prefix must begin and end with a slash",
                        route->name);
  if (route->total_weight == 0)
    return status_fail (STATUS_INVALID, "route %s: its weights add up to 0", route->name);
  if (route->timeout <= 0)
    return status_fail (STATUS_INVALID, "route %s: timeout must be over 0", route->name);
  return check_stages (route);
}

struct sorted_route
{
  const struct route *route;
};

static int
compare_places (const struct route *a, const struct route *b)
{
  int by_host = strcasecmp (a->host, b->host);

  return by_host != 0 ? by_host : strcmp (a->prefix, b->prefix);
}

/* Routes of one place keep their order. */
static int
compare_routes (const void *a, const void *b)
{
  const struct route *left = ((const struct sorted_route *) a)->route;
  const struct route *right = ((const struct sorted_route *) b)->route;
  int by_place = compare_places (left, right);

  return by_place != 0 ? by_place : left < right ? -1 : 1;
}

/* Sorts, as comparing each pair would take seconds of a small share of a core for thousands of
 * routes. */
static enum status
check_places (const struct routing *routing)
{
  struct sorted_route *sorted = talloc_array (NULL, struct sorted_route, routing->n_routes + 1);
  enum status status = STATUS_OK;

  if (sorted == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  for (uint32_t i = 0; i < routing->n_routes; i++)
    sorted[i].route = &routing->routes[i];
  qsort (sorted, routing->n_routes, sizeof sorted[0], compare_routes);
  for (uint32_t i = 1; i < routing->n_routes && status == STATUS_OK; i++)
    if (compare_places (sorted[i - 1].route, sorted[i].route) == 0)
      status = status_fail (STATUS_INVALID, "routes %s and %s share host and prefix",
                            sorted[i - 1].route->name, sorted[i].route->name);
  talloc_free (sorted);
  return status;
}

enum status
routing_validate (const struct routing *routing)
{
  for (uint32_t i = 0; i < routing->n_routes; i++)
    {
      enum status status = check_route (&routing->routes[i]);

      if (status != STATUS_OK)
        return status;
    }
  return check_places (routing);
}

const struct route *
routing_match (const struct routing *routing, const char *host, const char *target)
{
  const struct route *best = NULL;
  size_t best_length = 0;
  size_t host_length = strcspn (host, ":");
  size_t path_length = strcspn (target, "?#");

  for (uint32_t i = 0; i < routing->n_routes; i++)
    {
      const struct route *route = &routing->routes[i];
      size_t length = strlen (route->prefix);

      if (length <= best_length || length > path_length
          || strncmp (route->prefix, target, length) != 0)
        continue;
      if (strlen (route->host) != host_length || strncasecmp (route->host, host, host_length) != 0)
        continue;
      best = route;
      best_length = length;
    }
  return best;
}

/* uthash: NOLINTBEGIN(readability-function-size) */
const struct organisation *
routing_organisation (const struct routing *routing, const char *key)
{
  struct routing_key *entry;

  HASH_FIND_STR (routing->keys, key, entry);
  return entry == NULL ? NULL : &routing->organisations[entry->organisation];
}
/* NOLINTEND(readability-function-size) */

uint32_t
route_draw_pool (const struct route *route, double draw)
{
  uint32_t at = (uint32_t) (draw * route->total_weight);

  for (uint32_t i = 0; i < route->n_shares; i++)
    {
      if (at < route->shares[i].weight)
        return route->shares[i].pool;
      at -= route->shares[i].weight;
    }
  return route->shares[0].pool;
}

uint32_t
route_last_stages (const struct route *route)
{
  uint32_t needed = 0;

  for (uint32_t i = 0; i < route->n_stages; i++)
    needed |= route->stages[i].depends_on;
  return ((UINT32_C (1) << route->n_stages) - 1) & ~needed;
}
