/* Entry hosts and controllers of the fleet simulation, and the messages between them. */
#include "container.h"
#include "quarantine_fleet_private.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Message delay in microseconds. */
#define MESSAGE_DELAY_MIN_USEC 200
#define MESSAGE_DELAY_SPREAD (3 * USEC_PER_MSEC)

/* A process restarts after one to two seconds. */
#define PROCESS_RESTART_TIME (1 * USEC_PER_SEC)
#define PARTITION_TIME (4 * USEC_PER_SEC)

/* ---- messages ---- */

static void
deliver (struct timer *timer, int64_t now)
{
  struct message *message = CONTAINER_OF (timer, struct message, timer);
  struct node *to = message->to;

  if (to->control != NULL && to->start_count == message->start_count && !to->is_partitioned
      && !message->from->is_partitioned)
    to->listener->ops->received (to->listener, message->from->name, message->bytes.data,
                                 message->bytes.length, now);
  talloc_free (message);
}

static const struct timer_ops deliver_ops = { .fire = deliver };

static struct node *
find_node (struct fleet *fleet, const char *name)
{
  uint32_t number = (uint32_t) strtoul (name + 1, NULL, 10);

  return &fleet->nodes[name[0] == 'h' ? number : fleet->config->hosts + number];
}

static void
count_bytes (struct node *node, size_t length)
{
  struct fleet *fleet = node->fleet;

  if (node->current_second != fleet->now / USEC_PER_SEC)
    node->bytes_this_second = 0;
  node->current_second = fleet->now / USEC_PER_SEC;
  node->bytes_this_second += (double) length;
  if (node->bytes_this_second > fleet->figures->burst_bytes)
    fleet->figures->burst_bytes = node->bytes_this_second;
  fleet->bytes += node->is_entry ? (double) length : 0;
  fleet->messages += node->is_entry ? 1 : 0;
}

static enum status
port_send (struct peer_port *port,
           const char *host,
           enum peer_channel channel,
           const void *data,
           size_t length)
{
  struct node *from = CONTAINER_OF (port, struct node, port);
  struct fleet *fleet = from->fleet;
  struct message *message;

  (void) channel;
  count_bytes (from, length);
  message = talloc_zero (fleet, struct message);
  if (message == NULL)
    return STATUS_NO_MEMORY;
  message->timer.ops = &deliver_ops;
  message->from = from;
  message->to = find_node (fleet, host);
  message->start_count = message->to->start_count;
  bytes_init (&message->bytes, message);
  bytes_append (&message->bytes, data, length);
  timer_arm (fleet->timers, &message->timer,
             fleet->now + MESSAGE_DELAY_MIN_USEC + fleet_draw (fleet, MESSAGE_DELAY_SPREAD));
  return STATUS_OK;
}

static void
port_listen (struct peer_port *port, enum peer_channel channel, struct peer_listener *listener)
{
  (void) channel;
  CONTAINER_OF (port, struct node, port)->listener = listener;
}

static const struct peer_port_ops port_ops = { .send = port_send, .set_listener = port_listen };

/* A partition would show two seconds later at the earliest, so the list ignores it: messages to
 * the other side are sent and lost. */
static uint32_t
list_peers (struct quarantine_peers *peers, const char *out[SYNC_HOSTS_MAX], int64_t now)
{
  struct node *node = CONTAINER_OF (peers, struct node, peers);
  struct fleet *fleet = node->fleet;
  uint32_t n = 0;

  (void) now;
  for (uint32_t i = 0; i < fleet->n_nodes; i++)
    if (fleet->nodes[i].is_entry != node->is_entry && fleet->nodes[i].control != NULL)
      out[n++] = fleet->nodes[i].name;
  return n;
}

static const struct quarantine_peers_ops peers_ops = { .list = list_peers };

/* ---- hosts and controllers ---- */

static bool
start_node (struct node *node)
{
  struct quarantine_control_config config = {
    .peers = &node->peers,
    .is_entry = node->is_entry,
    .view = node->is_entry ? &node->view : NULL,
    .port = &node->port,
    .timers = node->fleet->timers,
    .counters = node->counters,
  };

  node->view.ops = &fleet_view_ops;
  node->control = quarantine_control_new (node->fleet, &config);
  node->start_count++;
  node->proven = node->control == NULL ? NULL : proven_parts_new (node->control);
  return node->proven != NULL;
}

static void
node_fired (struct timer *timer, int64_t now)
{
  struct node *node = CONTAINER_OF (timer, struct node, timer);

  node->undisturbed_since = now;
  node->is_partitioned = false;
  if (node->control == NULL)
    (void) start_node (node);
}

static const struct timer_ops node_ops = { .fire = node_fired };

bool
fleet_is_settled (const struct node *node, int64_t now)
{
  return node->control != NULL && !node->is_partitioned
         && now - node->undisturbed_since >= FLEET_SETTLE_TIME;
}

static uint32_t
count_hosts_up (const struct fleet *fleet)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < fleet->config->hosts; i++)
    n += fleet->nodes[i].control != NULL ? 1 : 0;
  return n;
}

static void
restart (struct node *node, int64_t now)
{
  node->undisturbed_since = now;
  talloc_free (node->control);
  node->control = NULL;
  timer_arm (node->fleet->timers, &node->timer,
             now + PROCESS_RESTART_TIME + fleet_draw (node->fleet, PROCESS_RESTART_TIME));
}

void
fleet_inject_fault (struct fleet *fleet, bool restarts, int64_t now)
{
  struct node *node = &fleet->nodes[rng_below (&fleet->rng, fleet->n_nodes)];

  if (node->control == NULL || node->is_partitioned
      || (restarts && node->is_entry && count_hosts_up (fleet) < 2))
    return;
  if (restarts)
    {
      restart (node, now);
      return;
    }
  node->undisturbed_since = now;
  node->is_partitioned = true;
  timer_arm (fleet->timers, &node->timer, now + PARTITION_TIME);
}

void
fleet_restart_all (struct fleet *fleet, int64_t now)
{
  for (uint32_t i = 0; i < fleet->n_nodes; i++)
    if (fleet->nodes[i].control != NULL)
      restart (&fleet->nodes[i], now);
}

bool
fleet_create_nodes (struct fleet *fleet)
{
  uint32_t hosts = fleet->config->hosts;

  fleet->n_nodes = hosts + fleet->config->controllers;
  for (uint32_t i = 0; i < fleet->n_nodes; i++)
    {
      struct node *node = &fleet->nodes[i];

      node->fleet = fleet;
      node->is_entry = i < hosts;
      node->port.ops = &port_ops;
      node->peers.ops = &peers_ops;
      node->timer.ops = &node_ops;
      node->counters = counters_new (fleet);
      snprintf (node->name, sizeof node->name, "%c%u", node->is_entry ? 'h' : 'c',
                node->is_entry ? i : i - hosts);
      if (node->counters == NULL || !start_node (node))
        return false;
    }
  return true;
}
