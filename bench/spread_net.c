/* Simulated network: a heap of events in virtual time. */
#include "spread_net.h"
#include "rng.h"
#include "status.h"
#include <string.h>
#include <talloc.h>

struct event
{
  int64_t at;
  uint64_t order; /* events due at the same time run in order of creation */
  uint32_t to;
  uint32_t from;
  uint32_t generation; /* of the instance that the tick is for */
  char *data;          /* NULL for a tick */
  size_t length;
};

struct slot
{
  struct spread_node *node;
  uint32_t generation; /* incremented by each added instance and each stop */
  bool stopped;
  bool keep;
  struct spread_traffic traffic;
};

struct spread_net
{
  struct rng rng;
  int64_t now;
  int64_t delay;
  double loss;
  uint64_t order;
  struct event *heap; /* from index 1 */
  uint32_t count;
  uint32_t capacity;
  struct slot slots[SPREAD_HOSTS_MAX];
  bool cut[SPREAD_HOSTS_MAX][SPREAD_HOSTS_MAX];
};

struct spread_net *
spread_net_new (void *parent, uint64_t seed, int64_t delay)
{
  struct spread_net *net = talloc_zero (parent, struct spread_net);

  INVARIANT (net != NULL);
  rng_init (&net->rng, seed);
  net->delay = delay;
  net->now = 1000 * USEC_PER_SEC;
  return net;
}

static bool
before (const struct event *a, const struct event *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void
add_event (struct spread_net *net, struct event event)
{
  uint32_t position = ++net->count;

  if (position >= net->capacity)
    {
      net->capacity = net->capacity == 0 ? 1024 : net->capacity * 2;
      net->heap = talloc_realloc (net, net->heap, struct event, net->capacity);
      INVARIANT (net->heap != NULL);
    }
  event.order = ++net->order;
  for (; position > 1 && before (&event, &net->heap[position / 2]); position /= 2)
    net->heap[position] = net->heap[position / 2];
  net->heap[position] = event;
}

static struct event
take_event (struct spread_net *net)
{
  struct event first = net->heap[1];
  struct event last = net->heap[net->count--];
  uint32_t position = 1;

  for (;;)
    {
      uint32_t child = position * 2;

      if (child > net->count)
        break;
      if (child < net->count && before (&net->heap[child + 1], &net->heap[child]))
        child++;
      if (!before (&net->heap[child], &last))
        break;
      net->heap[position] = net->heap[child];
      position = child;
    }
  if (net->count > 0)
    net->heap[position] = last;
  return first;
}

static void
add_tick (struct spread_net *net, uint32_t index, int64_t at)
{
  add_event (net,
             (struct event){ .at = at, .to = index, .generation = net->slots[index].generation });
}

void
spread_net_add_node (struct spread_net *net, uint32_t index, struct spread_node *node)
{
  struct slot *slot = &net->slots[index];

  INVARIANT (index < SPREAD_HOSTS_MAX);
  slot->node = node;
  slot->generation++;
  slot->stopped = false;
  node->net = net;
  node->index = index;
  add_tick (net, index, net->now);
}

static bool
is_lost (struct spread_net *net, uint32_t from, uint32_t to)
{
  return net->cut[from][to] || (net->loss > 0 && rng_unit (&net->rng) < net->loss);
}

void
spread_net_send (
    struct spread_net *net, uint32_t from, uint32_t to, const void *data, size_t length)
{
  struct event event = { .to = to, .from = from, .length = length };

  net->slots[from].traffic.messages++;
  net->slots[from].traffic.bytes += length;
  if (is_lost (net, from, to))
    return;
  event.at = net->now + net->delay / 2 + (int64_t) rng_below (&net->rng, (uint64_t) net->delay + 1);
  event.data = talloc_memdup (net, data, length);
  INVARIANT (event.data != NULL);
  add_event (net, event);
}

void
spread_net_set_loss (struct spread_net *net, double loss)
{
  net->loss = loss;
}

void
spread_net_cut (struct spread_net *net, uint32_t from, uint32_t to, bool cut)
{
  net->cut[from][to] = cut;
}

void
spread_net_stop (struct spread_net *net, uint32_t index, bool keep)
{
  net->slots[index].stopped = true;
  net->slots[index].keep = keep;
  net->slots[index].generation++;
}

void
spread_net_resume (struct spread_net *net, uint32_t index)
{
  net->slots[index].stopped = false;
  add_tick (net, index, net->now);
}

int64_t
spread_net_now (const struct spread_net *net)
{
  return net->now;
}

static void
deliver (struct spread_net *net, struct event *event)
{
  struct slot *slot = &net->slots[event->to];

  if (slot->stopped && slot->keep)
    {
      event->at = net->now + 10 * USEC_PER_MSEC;
      add_event (net, *event);
      return;
    }
  if (!slot->stopped && slot->node != NULL)
    slot->node->ops->receive (slot->node, event->from, event->data, event->length, net->now);
  talloc_free (event->data);
}

static void
run_event (struct spread_net *net, struct event *event)
{
  struct slot *slot = &net->slots[event->to];

  if (event->data != NULL)
    deliver (net, event);
  else if (!slot->stopped && event->generation == slot->generation)
    add_tick (net, event->to, slot->node->ops->tick (slot->node, net->now));
}

void
spread_net_run (struct spread_net *net, int64_t span)
{
  int64_t end = net->now + span;

  while (net->count > 0 && net->heap[1].at <= end)
    {
      struct event event = take_event (net);

      net->now = event.at;
      run_event (net, &event);
    }
  net->now = end;
}

struct spread_traffic
spread_net_traffic (const struct spread_net *net, uint32_t index)
{
  return net->slots[index].traffic;
}
