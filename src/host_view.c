/* Merged view of the entry hosts that may share work. */
#include "host_view.h"
#include <string.h>

void
host_view_clear (struct host_view *view)
{
  view->n = 0;
  view->n_omitted = 0;
  view->revision++;
}

/* Index of the first host whose name is not less than `name`. */
static uint32_t
find_position (const struct host_view *view, const char *name)
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
is_at (const struct host_view *view, uint32_t position, const char *name)
{
  return position < view->n && strcmp (view->hosts[position]->name, name) == 0;
}

static void
add_host (struct host_view *view, const struct sync_host *host)
{
  uint32_t position = find_position (view, host->name);

  if (is_at (view, position, host->name))
    return;
  if (view->n == SYNC_HOSTS_MAX)
    {
      view->n_omitted++;
      return;
    }
  for (uint32_t i = view->n; i > position; i--)
    view->hosts[i] = view->hosts[i - 1];
  view->hosts[position] = host;
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
  uint32_t position = find_position (view, name);

  if (!is_at (view, position, name))
    return;
  view->n--;
  for (uint32_t i = position; i < view->n; i++)
    view->hosts[i] = view->hosts[i + 1];
}

const struct sync_host *
host_view_find (const struct host_view *view, const char *name)
{
  uint32_t position = find_position (view, name);

  return is_at (view, position, name) ? view->hosts[position] : NULL;
}
