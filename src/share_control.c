/* Requests shares from the coordinators each period, answers requests of other hosts, and passes
 * the shares to decide.c.
 *
 * Shares are requested only for organisations with a limit and with demand on this host.  Requests
 * to one coordinator are sent in one message. */
#include "share_control.h"
#include "container.h"
#include "share.h"
#include <string.h>
#include <talloc.h>

#define DEMAND_MIN 0.01 /* requests per second; no share is requested for less */

/* This host's share of one organisation's limits. */
struct local_lease
{
  uint32_t generation; /* of its handle on the board */
  struct share_lease lease;
};

struct share_control
{
  struct peer_listener listener; /* must be first: the port passes it to callbacks */
  struct share_control_config config;
  struct timer timer;
  struct share_coordinator *coordinator;
  struct local_lease *local_leases; /* by organisation index on the board */
};

static bool
is_alive (const struct board_host *host)
{
  return host->self || host->state == HOST_ALIVE || host->state == HOST_SUSPECT;
}

static uint32_t
count_hosts (const struct board *board)
{
  uint32_t cursor = 0;
  uint32_t count = 0;
  const struct board_host *host;

  while ((host = table_next (board->hosts, &cursor, NULL)) != NULL)
    count += is_alive (host);
  return count;
}

static bool
is_limited (const struct organisation_spec *spec)
{
  return spec->requests_per_sec > 0 || spec->tokens_per_sec > 0 || spec->concurrency > 0;
}

static struct handle
coordinator_of (const struct board *board, const char *organisation)
{
  struct handle best = { .generation = 0 };
  uint64_t best_weight = 0;
  uint32_t cursor = 0;
  struct handle handle;
  const struct board_host *host;

  while ((host = table_next (board->hosts, &cursor, &handle)) != NULL)
    {
      uint64_t weight = share_coordinator_weight (organisation, host->name);

      if (!is_alive (host) || (best.generation != 0 && weight <= best_weight))
        continue;
      best = handle;
      best_weight = weight;
    }
  return best;
}

static struct local_lease *
find_local_lease (struct share_control *control, struct handle organisation)
{
  struct local_lease *local_lease = &control->local_leases[organisation.index];

  if (local_lease->generation != organisation.generation)
    *local_lease = (struct local_lease){ .generation = organisation.generation };
  return local_lease;
}

static void
apply_share (struct share_control *control, struct handle organisation, int64_t now)
{
  const struct local_lease *local_lease = find_local_lease (control, organisation);
  double share =
      share_lease_current (&local_lease->lease, count_hosts (control->config.board), now);

  decide_set_share (control->config.decide, organisation, share, now);
}

/* A lease runs from the time of the request, so that it ends here before it ends at the
 * coordinator. */
static void
store_grant (struct share_control *control, const struct share_item *item, int64_t now)
{
  struct handle handle;
  struct local_lease *local_lease;
  int64_t until = (int64_t) item->sent_at + SHARE_LEASE;

  if (board_find_organisation (control->config.board, item->organisation, &handle) == NULL)
    return;
  local_lease = find_local_lease (control, handle);
  if ((int64_t) item->sent_at > now || until <= local_lease->lease.until)
    return;
  local_lease->lease = (struct share_lease){ .granted = item->value, .until = until };
  apply_share (control, handle, now);
}

static void
send (struct share_control *control, const char *host, const struct share_message *message)
{
  struct bytes bytes;

  bytes_init (&bytes, control);
  share_message_write (message, &bytes);
  /* A message that cannot be sent is lost; the next period requests again. */
  if (!bytes_has_failed (&bytes))
    control->config.port->ops->send (control->config.port, host, PEER_CHANNEL_LIMIT, bytes.data,
                                     bytes.length);
  bytes_clear (&bytes);
}

static void
answer_request (struct share_control *control,
                const char *from,
                struct share_message *message,
                int64_t now)
{
  uint32_t n_hosts = count_hosts (control->config.board);
  uint32_t i;

  for (i = 0; i < message->n_items; i++)
    message->items[i].value =
        share_coordinator_grant (control->coordinator, message->items[i].organisation, from,
                                 message->items[i].value, n_hosts, now);
  message->kind = SHARE_GRANT;
  send (control, from, message);
}

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct share_control *control = (struct share_control *) listener;
  struct share_message message;
  uint32_t i;

  if (share_message_read (control, data, length, &message) != STATUS_OK)
    return;
  if (message.kind == SHARE_REQUEST)
    answer_request (control, from, &message, now);
  else
    for (i = 0; i < message.n_items; i++)
      store_grant (control, &message.items[i], now);
  talloc_free (message.items);
}

/* The share requests of one period, with their coordinators. */
struct requests
{
  uint32_t count;
  struct share_item items[SHARE_ITEMS_MAX];
  struct handle coordinator_hosts[SHARE_ITEMS_MAX];
};

static void
collect_requests (struct share_control *control, struct requests *requests, int64_t now)
{
  const struct board *board = control->config.board;
  const struct board_organisation *entry;
  struct handle handle;
  uint32_t cursor = 0;

  while ((entry = table_next (board->organisations, &cursor, &handle)) != NULL)
    {
      double demand = decide_demand (control->config.decide, handle, now);

      if (!is_limited (&entry->spec))
        continue;
      apply_share (control, handle, now);
      if (demand < DEMAND_MIN || requests->count == SHARE_ITEMS_MAX)
        continue;
      requests->coordinator_hosts[requests->count] = coordinator_of (board, entry->spec.name);
      requests->items[requests->count] =
          (struct share_item){ .value = demand, .sent_at = (uint64_t) now };
      memcpy (requests->items[requests->count].organisation, entry->spec.name, RESOURCE_NAME_SIZE);
      requests->count++;
    }
}

/* Sends all requests for the coordinator of the one at `first`, and marks them as sent. */
static void
request_leases (struct share_control *control,
                struct requests *requests,
                uint32_t first,
                int64_t now)
{
  struct handle coordinator_host = requests->coordinator_hosts[first];
  const struct board_host *host = table_get (control->config.board->hosts, coordinator_host);
  struct share_message message = { .kind = SHARE_REQUEST };
  uint32_t i;

  message.items = talloc_array (control, struct share_item, requests->count);
  if (message.items == NULL || host == NULL)
    {
      talloc_free (message.items);
      return;
    }
  for (i = first; i < requests->count; i++)
    {
      if (!handle_equal (requests->coordinator_hosts[i], coordinator_host))
        continue;
      message.items[message.n_items++] = requests->items[i];
      requests->coordinator_hosts[i] = (struct handle){ .generation = 0 };
    }
  if (host->self)
    for (i = 0; i < message.n_items; i++)
      {
        message.items[i].value = share_coordinator_grant (
            control->coordinator, message.items[i].organisation, host->name, message.items[i].value,
            count_hosts (control->config.board), now);
        store_grant (control, &message.items[i], now);
      }
  else
    send (control, host->name, &message);
  talloc_free (message.items);
}

static void
fire (struct timer *timer, int64_t now)
{
  struct share_control *control = CONTAINER_OF (timer, struct share_control, timer);
  struct requests *requests = talloc_zero (control, struct requests);
  uint32_t i;

  timer_arm (control->config.timers, timer, now + SHARE_PERIOD);
  if (requests == NULL)
    return;
  collect_requests (control, requests, now);
  for (i = 0; i < requests->count; i++)
    if (!handle_is_none (requests->coordinator_hosts[i]))
      request_leases (control, requests, i, now);
  talloc_free (requests);
  share_coordinator_expire (control->coordinator, now);
}

static const struct peer_listener_ops listener_ops = { .received = received };
static const struct timer_ops timer_ops = { .fire = fire };

static int
control_free (struct share_control *control)
{
  timer_disarm (control->config.timers, &control->timer);
  return 0;
}

struct share_control *
share_control_new (void *parent, const struct share_control_config *config)
{
  struct share_control *control = talloc_zero (parent, struct share_control);

  if (control == NULL)
    return NULL;
  control->config = *config;
  control->listener.ops = &listener_ops;
  control->timer.ops = &timer_ops;
  control->coordinator = share_coordinator_new (control);
  control->local_leases = talloc_zero_array (control, struct local_lease, BOARD_ORGANISATIONS_MAX);
  if (control->coordinator == NULL || control->local_leases == NULL)
    {
      talloc_free (control);
      return NULL;
    }
  config->port->ops->set_listener (config->port, PEER_CHANNEL_LIMIT, &control->listener);
  timer_arm (config->timers, &control->timer, config->now + SHARE_PERIOD);
  talloc_set_destructor (control, control_free);
  return control;
}
