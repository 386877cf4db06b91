/* Age of arriving requests, estimated from their time left. */
#include "request_age.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

#define ROUTES_MAX 256

/* Requests of a route after which its estimate is updated from them. */
#define WINDOW 16

/* A route's clients use one deadline when at least SAME_SHARE of a window's requests are within
 * SAME_DEADLINE_SPREAD of the longest time left; requests below that are retries.
 * SAME_DEADLINE_SPREAD is the variation of the delay from the client. */
#define SAME_DEADLINE_SPREAD (100 * USEC_PER_MSEC)
#define SAME_SHARE 0.4

/* Otherwise they use similar deadlines when at least SIMILAR_SHARE are within
 * SIMILAR_DEADLINE_SPREAD, as a share, of the longest. */
#define SIMILAR_DEADLINE_SPREAD 0.2
#define SIMILAR_SHARE 0.6

struct route_times
{
  char route[ROUTING_NAME_SIZE];
  int64_t usual; /* time left of a new request; 0: unknown */
  int64_t least; /* a request with less is a retry */
  int64_t window[WINDOW];
  uint32_t n;
  uint64_t used; /* sequence number of the last request */
};

struct request_age
{
  struct route_times routes[ROUTES_MAX];
  uint32_t n_routes;
  uint64_t requests;
};

struct request_age *
request_age_new (void *parent)
{
  return talloc_zero (parent, struct request_age);
}

/* Finds or adds the route's record; replaces the least recently used one when the table is full. */
static struct route_times *
times_of (struct request_age *request_age, const char *route)
{
  struct route_times *oldest = &request_age->routes[0];

  for (uint32_t i = 0; i < request_age->n_routes; i++)
    {
      if (strcmp (request_age->routes[i].route, route) == 0)
        return &request_age->routes[i];
      if (request_age->routes[i].used < oldest->used)
        oldest = &request_age->routes[i];
    }
  if (request_age->n_routes < ROUTES_MAX)
    oldest = &request_age->routes[request_age->n_routes++];
  *oldest = (struct route_times){ .usual = 0 };
  text_copy_truncated (oldest->route, sizeof oldest->route, route);
  return oldest;
}

static int64_t
longest_of (const struct route_times *times)
{
  int64_t longest = 0;

  for (uint32_t i = 0; i < WINDOW; i++)
    if (times->window[i] > longest)
      longest = times->window[i];
  return longest;
}

/* Counts the window's requests with `least` or more, and computes their mean. */
static uint32_t
count_from (const struct route_times *times, int64_t least, int64_t *mean)
{
  int64_t sum = 0;
  uint32_t n = 0;

  for (uint32_t i = 0; i < WINDOW; i++)
    if (times->window[i] >= least)
      {
        sum += times->window[i];
        n++;
      }
  *mean = n == 0 ? 0 : sum / n;
  return n;
}

static void
learn_window (struct route_times *times)
{
  int64_t longest = longest_of (times);
  int64_t mean;

  times->usual = longest;
  times->least = longest - SAME_DEADLINE_SPREAD;
  if (count_from (times, times->least, &mean) >= SAME_SHARE * WINDOW)
    return;
  times->least = longest - (int64_t) (SIMILAR_DEADLINE_SPREAD * (double) longest);
  times->usual = count_from (times, times->least, &mean) >= SIMILAR_SHARE * WINDOW ? mean : 0;
}

int64_t
request_age_estimate (struct request_age *request_age, const char *route, int64_t time_left)
{
  struct route_times *times = times_of (request_age, route);

  times->used = ++request_age->requests;
  times->window[times->n++ % WINDOW] = time_left;
  if (times->n % WINDOW == 0)
    learn_window (times);
  if (times->usual == 0 || time_left >= times->least)
    return 0;
  return times->usual - time_left;
}
