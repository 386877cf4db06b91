/* All-to-all heartbeats: the baseline for the other membership protocols. */
#include "bytes.h"
#include "pack.h"
#include "rng.h"
#include "spread_protocol.h"
#include "status.h"
#include <talloc.h>

#define PERIOD (1 * USEC_PER_SEC)
#define MISSED (3 * USEC_PER_SEC + 500 * USEC_PER_MSEC)

struct heartbeat
{
  struct spread_node node; /* first member */
  uint32_t n_hosts;
  uint64_t incarnation;
  uint64_t beat;
  bool leaving;
  struct rng rng;
  int64_t heard_at[SPREAD_HOSTS_MAX];
  bool left[SPREAD_HOSTS_MAX];
};

/* Carries the same state as the product's messages. */
static void
beat_all (struct heartbeat *self)
{
  struct bytes out;

  bytes_init (&out, self);
  pack_uint (&out, self->incarnation);
  pack_uint (&out, ++self->beat);
  pack_uint (&out, 1234); /* the revision */
  pack_uint (&out, 50);   /* the load */
  pack_uint (&out, self->leaving ? 1 : 0);
  for (uint32_t i = 0; i < self->n_hosts; i++)
    if (i != self->node.index)
      spread_net_send (self->node.net, self->node.index, i, out.data, out.length);
  bytes_clear (&out);
}

static void
receive (struct spread_node *node, uint32_t from, const void *data, size_t length, int64_t now)
{
  struct heartbeat *self = (struct heartbeat *) node;
  struct pack_reader reader;

  pack_reader_init (&reader, data, length);
  for (int i = 0; i < 4; i++)
    pack_read_uint (&reader, UINT64_MAX);
  self->left[from] = pack_read_uint (&reader, 1) != 0;
  INVARIANT (pack_read_is_complete (&reader));
  self->heard_at[from] = now;
}

static int64_t
tick (struct spread_node *node, int64_t now)
{
  struct heartbeat *self = (struct heartbeat *) node;

  beat_all (self);
  return now + PERIOD * 9 / 10 + (int64_t) rng_below (&self->rng, PERIOD / 5);
}

static const struct spread_node_ops node_ops = { .receive = receive, .tick = tick };

static struct spread_node *
start (void *parent, struct spread_net *net, uint32_t index, uint32_t n_hosts, uint64_t incarnation)
{
  struct heartbeat *self = talloc_zero (parent, struct heartbeat);

  INVARIANT (self != NULL);
  self->node.ops = &node_ops;
  self->n_hosts = n_hosts;
  self->incarnation = UINT64_C (1700000000000) + incarnation;
  rng_init (&self->rng, index + incarnation * 1000);
  spread_net_add_node (net, index, &self->node);
  return &self->node;
}

static bool
considers_dead (const struct spread_node *node, uint32_t about)
{
  const struct heartbeat *self = (const struct heartbeat *) node;

  return spread_net_now (node->net) - self->heard_at[about] >= MISSED;
}

static bool
sees (const struct spread_node *node, uint32_t about)
{
  const struct heartbeat *self = (const struct heartbeat *) node;

  return !considers_dead (node, about) && !self->left[about];
}

static void
leave (struct spread_node *node, int64_t now)
{
  struct heartbeat *self = (struct heartbeat *) node;

  (void) now;
  self->leaving = true;
  beat_all (self);
}

const struct spread_protocol spread_protocol_heartbeat = {
  .name = "heartbeat",
  .start = start,
  .sees = sees,
  .considers_dead = considers_dead,
  .leave = leave,
};
