/* Which entry hosts have lost pools: this host's report, and the controllers' lists. */
#include "log.h"
#include "subscriber_private.h"
#include <jansson.h>
#include <stdlib.h>
#include <talloc.h>

/* ---- this host ---- */

void
subscriber_send_reach (struct subscriber *self, struct known_controller *controller)
{
  struct bytes out;

  if (self->reach.n == 0 && !controller->reach_due)
    return;
  bytes_init (&out, NULL);
  sync_write_header (SYNC_REACH, &out);
  sync_write_reach (&self->reach, &out);
  controller->reach_due = subscriber_send (self, controller, &out) != STATUS_OK;
}

void
subscriber_set_reach (struct subscriber *self, const struct sync_reach *reach)
{
  if (self->reach.n == 0 && reach->n == 0)
    return;
  self->reach = *reach;
  for (uint32_t i = 0; i < self->n_controllers; i++)
    {
      self->controllers[i].reach_due = true;
      subscriber_send_reach (self, &self->controllers[i]);
    }
}

/* ---- all hosts ---- */

static int
compare_hashes (const void *a, const void *b)
{
  const uint64_t *left = a;
  const uint64_t *right = b;

  if (*left == *right)
    return 0;
  return *left < *right ? -1 : 1;
}

/* Reads the list into an array; NULL if it is malformed or out of memory. */
static uint64_t *
read_list (struct subscriber *self, struct pack_reader *in, uint32_t *n_lost)
{
  uint32_t n = pack_read_array (in, SYNC_HOSTS_MAX * SYNC_LOST_POOLS_MAX);
  uint64_t *lost = talloc_array (self, uint64_t, n + 1);

  for (uint32_t i = 0; i < n && lost != NULL; i++)
    lost[i] = pack_read_uint (in, UINT64_MAX);
  *n_lost = n;
  if (lost != NULL && pack_read_is_complete (in))
    return lost;
  talloc_free (lost);
  return NULL;
}

void
subscriber_handle_reach_list (struct subscriber *self,
                              struct known_controller *controller,
                              struct pack_reader *in,
                              int64_t now)
{
  uint32_t n;
  uint64_t *lost = read_list (self, in, &n);

  if (lost == NULL)
    {
      counter_add (self->malformed, 1);
      log_event (LOG_MODULE_MEMBER, LOG_LEVEL_ERROR, "reach-list-not-read", "{s:s}", "controller",
                 controller->name);
      return;
    }
  qsort (lost, n, sizeof *lost, compare_hashes);
  talloc_free (controller->lost);
  controller->lost = lost;
  controller->n_lost = n;
  controller->lost_at = now;
}

bool
subscriber_has_lost (const struct subscriber *self, const char *host, const char *pool, int64_t now)
{
  uint64_t hash = 0;

  for (uint32_t i = 0; i < self->n_controllers; i++)
    {
      const struct known_controller *controller = &self->controllers[i];

      if (controller->n_lost == 0 || now - controller->lost_at > SYNC_REACH_LIST_TTL)
        continue;
      if (hash == 0)
        hash = sync_lost_hash (host, pool);
      if (bsearch (&hash, controller->lost, controller->n_lost, sizeof hash, compare_hashes)
          != NULL)
        return true;
    }
  return false;
}

bool
subscriber_others_reach (struct subscriber *self, const char *pool, int64_t now)
{
  const struct host_view *view = subscriber_hosts (self);

  for (uint32_t i = 0; i < view->n; i++)
    if (!subscriber_is_self (self, view->hosts[i])
        && !subscriber_has_lost (self, view->hosts[i]->name, pool, now))
      return true;
  return false;
}
