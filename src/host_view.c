/* Merged view of the entry hosts that may share work. */
#include "host_view.h"
#include <string.h>

void
host_view_clear (struct host_view *view)
{
  view->n = 0;
  view->left_out = 0;
}

/* Index of the first host whose name is not less than `name`. */
static uint32_t
place_of (const struct host_view *view, const char *name)
{
  uint32_t low = 0;
  uint32_t high = view->n;

  while (low < high)
    {
      uint32_t middle = (low + high) / 2;

      if (strcmp (view->hosts[middle]->name, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
is_at (const struct host_view *view, uint32_t place, const char *name)
{
  return place < view->n && strcmp (view->hosts[place]->name, name) == 0;
}

static void
add_host (struct host_view *view, const struct sync_host *host)
{
  uint32_t place = place_of (view, host->name);

  if (is_at (view, place, host->name))
    return;
  if (view->n == SYNC_HOSTS_MAX)
    {
      view->left_out++;
      return;
    }
  for (uint32_t i = view->n; i > place; i--)
    view->hosts[i] = view->hosts[i - 1];
  view->hosts[place] = host;
  view->n++;
}

void
host_view_add (struct host_view *view, const struct sync_host *list, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    add_host (view, &list[i]);
}

void
host_view_remove (struct host_view *view, const char *name)
{
  uint32_t place = place_of (view, name);

  if (!is_at (view, place, name))
    return;
  view->n--;
  for (uint32_t i = place; i < view->n; i++)
    view->hosts[i] = view->hosts[i + 1];
}

const struct sync_host *
host_view_find (const struct host_view *view, const char *name)
{
  uint32_t place = place_of (view, name);

  return is_at (view, place, name) ? view->hosts[place] : NULL;
}
