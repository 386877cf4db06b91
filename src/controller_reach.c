/* Entry hosts that have lost pools: their reports, and the list of them that goes to all entry
 * hosts. */
#include "container.h"
#include "controller_private.h"
#include "log.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>

/* Reports within this time share a message. */
#define REACH_LIST_DELAY (5 * USEC_PER_MSEC)

/* Least time between two messages: hosts of a large fleet find out one after the other. */
#define REACH_LIST_GAP (250 * USEC_PER_MSEC)

/* While there are lost pools, the list is sent again at this period: a message may be lost, and an
 * entry host may be new. */
#define REACH_LIST_PERIOD (2 * USEC_PER_SEC)

/* A report counts as long as the lease of its host: the host repeats it with each request. */
static const struct sync_reach *
current_reach (const struct entry_host_record *host, int64_t now)
{
  bool valid = host->reach != NULL && host->reach->n > 0 && host->reach_at != 0
               && now - host->reach_at <= CONTROLLER_HOST_LEASE
               && controller_host_is_live (host, now);

  return valid ? host->reach : NULL;
}

bool
controller_host_lost_requests (const struct entry_host_record *host, int64_t now)
{
  const struct sync_reach *reach = current_reach (host, now);

  return reach != NULL && reach->requests_lost;
}

static uint32_t
count_unreaching (const struct controller *controller, int64_t now)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < controller->n_hosts; i++)
    n += current_reach (&controller->hosts[i], now) != NULL ? 1 : 0;
  return n;
}

static uint32_t
count_lost (const struct controller *controller, int64_t now)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < controller->n_hosts; i++)
    {
      const struct sync_reach *reach = current_reach (&controller->hosts[i], now);

      n += reach == NULL ? 0 : reach->n;
    }
  return n;
}

static void
write_list (const struct controller *controller, int64_t now, struct bytes *out)
{
  sync_write_header (SYNC_REACH_LIST, out);
  pack_array (out, count_lost (controller, now));
  for (uint32_t i = 0; i < controller->n_hosts; i++)
    {
      const struct entry_host_record *host = &controller->hosts[i];
      const struct sync_reach *reach = current_reach (host, now);

      for (uint32_t j = 0; reach != NULL && j < reach->n; j++)
        pack_uint (out, sync_lost_hash (host->info.name, reach->pools[j]));
    }
}

static void
reach_fired (struct timer *timer, int64_t now)
{
  struct controller *controller = CONTAINER_OF (timer, struct controller, reach_timer);
  struct peer_port *port = controller->config.port;
  uint32_t n = count_unreaching (controller, now);
  struct bytes message;

  gauge_set (controller->n_unreaching, n);
  if (n > 0)
    timer_arm (controller->config.timers, timer, now + REACH_LIST_PERIOD);
  if (n == 0 && !controller->reach_reported)
    return;
  controller->reach_reported = n > 0;
  controller->reach_sent_at = now;
  bytes_init (&message, NULL);
  write_list (controller, now, &message);
  for (uint32_t i = 0; i < controller->n_hosts && !bytes_has_failed (&message); i++)
    if (controller_host_is_live (&controller->hosts[i], now))
      /* One that misses it gets the next, or forgets the list by age. */
      (void) port->ops->send (port, controller->hosts[i].info.name, PEER_CHANNEL_SYNC, message.data,
                              message.length);
  bytes_clear (&message);
}

static const struct timer_ops reach_ops = { .fire = reach_fired };

static void
schedule_list (struct controller *controller, int64_t now)
{
  struct timer *timer = &controller->reach_timer;
  int64_t due = now + REACH_LIST_DELAY;

  if (controller->reach_sent_at != 0 && due < controller->reach_sent_at + REACH_LIST_GAP)
    due = controller->reach_sent_at + REACH_LIST_GAP;
  if (!timer_is_armed (timer) || due < timer->due)
    timer_arm (controller->config.timers, timer, due);
}

static bool
is_same (const struct sync_reach *a, const struct sync_reach *b)
{
  if (a->requests_lost != b->requests_lost || a->n != b->n)
    return false;
  for (uint32_t i = 0; i < a->n; i++)
    if (strcmp (a->pools[i], b->pools[i]) != 0)
      return false;
  return true;
}

static void
log_reach (const struct entry_host_record *host)
{
  const struct sync_reach *reach = host->reach;

  log_event (LOG_MODULE_MEMBER, LOG_LEVEL_WARNING, "entry-host-reach", "{s:s,s:b,s:i,s:s}", "host",
             host->info.name, "requests_lost", reach->requests_lost, "lost_pools", (int) reach->n,
             "first", reach->n == 0 ? "" : reach->pools[0]);
}

void
controller_handle_reach (struct controller *controller,
                         struct pack_reader *in,
                         const char *from,
                         int64_t now)
{
  struct entry_host_record *host = controller_find_host (controller, from);
  struct sync_reach reach = { .n = 0 };
  bool changed;

  if (!sync_read_reach (in, &reach) || !pack_read_is_complete (in))
    {
      counter_add (controller->malformed, 1);
      return;
    }
  if (host == NULL || (host->reach == NULL && reach.n == 0))
    return;
  if (host->reach == NULL)
    host->reach = talloc_zero (controller, struct sync_reach);
  if (host->reach == NULL)
    return;
  changed = current_reach (host, now) == NULL ? reach.n > 0 : !is_same (host->reach, &reach);
  *host->reach = reach;
  host->reach_at = now;
  if (!changed)
    return;
  log_reach (host);
  schedule_list (controller, now);
}

void
controller_init_reach (struct controller *controller)
{
  controller->reach_timer.ops = &reach_ops;
  controller->n_unreaching =
      gauge_get (controller->config.counters, "cherryarch_controller_entry_hosts_unreaching",
                 "Entry hosts that have lost a pool.", NULL);
}
