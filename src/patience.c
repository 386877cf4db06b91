/* How old requests are when they come. */
#include "patience.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

#define ROUTES_MAX 256

/* Requests after which what was seen is taken, and the next ones are looked at anew. */
#define WINDOW 16

/* Times that differ by less belong together: the way from the client varies so. */
#define SAME (100 * USEC_PER_MSEC)

/* Of a window so many must be new; else clients are not alike, and an age would be a guess. */
#define NEW_SHARE 0.4

struct route_times
{
  char route[ROUTING_NAME_SIZE];
  int64_t usual; /* of a new request; 0: not known */
  int64_t most;  /* in the window */
  uint32_t n;
  uint32_t n_most; /* about as long as `most` */
  uint64_t used;   /* the last request's number */
};

struct patience
{
  struct route_times routes[ROUTES_MAX];
  uint32_t n_routes;
  uint64_t requests;
};

struct patience *
patience_new (void *parent)
{
  return talloc_zero (parent, struct patience);
}

/* The route's record; in place of the one not used for longest when all are taken. */
static struct route_times *
times_of (struct patience *patience, const char *route)
{
  struct route_times *oldest = &patience->routes[0];

  for (uint32_t i = 0; i < patience->n_routes; i++)
    {
      if (strcmp (patience->routes[i].route, route) == 0)
        return &patience->routes[i];
      if (patience->routes[i].used < oldest->used)
        oldest = &patience->routes[i];
    }
  if (patience->n_routes < ROUTES_MAX)
    oldest = &patience->routes[patience->n_routes++];
  *oldest = (struct route_times){ .usual = 0 };
  text_copy_cut (oldest->route, sizeof oldest->route, route);
  return oldest;
}

static void
note (struct route_times *times, int64_t time_left)
{
  if (time_left > times->most + SAME)
    times->n_most = 0;
  if (time_left > times->most)
    times->most = time_left;
  if (time_left > times->most - SAME)
    times->n_most++;
  if (++times->n < WINDOW)
    return;
  times->usual = times->n_most >= NEW_SHARE * times->n ? times->most : 0;
  times->most = 0;
  times->n = 0;
  times->n_most = 0;
}

int64_t
patience_age (struct patience *patience, const char *route, int64_t time_left)
{
  struct route_times *times = times_of (patience, route);
  int64_t age;

  times->used = ++patience->requests;
  note (times, time_left);
  age = times->usual - time_left;
  return age > SAME ? age : 0;
}
