/* Simulated network that delays, drops, duplicates and reorders messages. */
#include "fake_group_private.h"
#include <string.h>
#include <talloc.h>

/* Heap of messages ordered by due time, then by send order. */

static bool
earlier (const struct message *a, const struct message *b)
{
  return a->due != b->due ? a->due < b->due : a->order < b->order;
}

void
group_push_message (struct fake_group *group, const struct message *message)
{
  uint32_t at = ++group->n_messages;

  group->messages = talloc_realloc (group, group->messages, struct message, at + 1);
  while (at > 1 && earlier (message, &group->messages[at / 2]))
    {
      group->messages[at] = group->messages[at / 2];
      at /= 2;
    }
  group->messages[at] = *message;
}

struct message
group_pop_message (struct fake_group *group)
{
  struct message first = group->messages[1];
  struct message last = group->messages[group->n_messages--];
  uint32_t at = 1;

  while (at * 2 <= group->n_messages)
    {
      uint32_t child = at * 2;

      if (child < group->n_messages
          && earlier (&group->messages[child + 1], &group->messages[child]))
        child++;
      if (!earlier (&group->messages[child], &last))
        break;
      group->messages[at] = group->messages[child];
      at = child;
    }
  group->messages[at] = last;
  return first;
}

static enum status
port_set_address (struct peer_port *port,
                  const char *name,
                  const char *address,
                  const char *public_key)
{
  (void) port;
  (void) name;
  (void) address;
  (void) public_key;
  return STATUS_OK;
}

static void
port_forget (struct peer_port *port, const char *name)
{
}

static void
send_copy (
    struct host *host, uint32_t to, enum peer_channel channel, const void *data, size_t length)
{
  struct fake_group *group = host->group;
  int64_t delay_max = group->config.delay_max > 0 ? group->config.delay_max : DELAY_MAX;
  struct message message = {
    .due = group->now + 100 + (int64_t) rng_below (&group->rng, (uint64_t) delay_max),
    .order = group->order++,
    .from = host->number,
    .to = to,
    .channel = channel,
    .length = length,
    .data = talloc_memdup (group, data, length),
  };

  group_push_message (group, &message);
}

static enum status
port_send (struct peer_port *port,
           const char *name,
           enum peer_channel channel,
           const void *data,
           size_t length)
{
  struct host *host = ((struct fake_port *) port)->host;
  struct fake_group *group = host->group;

  if (disk_fake_is_stopped (disk_fake_of (host->disk)))
    return STATUS_OK;
  group->count.messages++;
  group->count.bytes += length;
  for (uint32_t i = 0; i < group->n; i++)
    if (strcmp (group->hosts[i].name, name) == 0)
      {
        if (group->cut[host->number][i] || rng_below (&group->rng, 1000) < group->config.drop)
          return STATUS_OK;
        send_copy (host, i, channel, data, length);
        if (rng_below (&group->rng, 1000) < group->config.duplicate)
          send_copy (host, i, channel, data, length);
        return STATUS_OK;
      }
  return STATUS_NOT_FOUND;
}

static void
port_listen (struct peer_port *port, enum peer_channel channel, struct peer_listener *listener)
{
  ((struct fake_port *) port)->listeners[channel] = listener;
}

const struct peer_port_ops group_port_ops = {
  .set_address = port_set_address,
  .remove_host = port_forget,
  .send = port_send,
  .set_listener = port_listen,
};
