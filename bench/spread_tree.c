/* Bounded neighbours and a broadcast tree: HyParView's active view of five (Leitao, Pereira,
 * Rodrigues, DSN 2007) with Plumtree over it (the same, SRDS 2007), as far as membership needs it.
 *
 * Two things differ from the papers.  They take a broken connection for a neighbour's death; a
 * silent partition breaks none, so neighbours send heartbeats here.  And every host must know all
 * hosts, to name them to callers, so the passive view is the whole list and joins are broadcast. */
#include "bytes.h"
#include "pack.h"
#include "rng.h"
#include "spread_protocol.h"
#include "status.h"
#include <string.h>
#include <talloc.h>

#define ACTIVE_MAX 5
#define PERIOD (1 * USEC_PER_SEC)
#define MISSED (3 * USEC_PER_SEC + 500 * USEC_PER_MSEC)
#define SHUFFLE_PERIOD (10 * USEC_PER_SEC)
#define SHUFFLE_SIZE 8
#define GRAFT_AFTER (200 * USEC_PER_MSEC)
#define SEEN_MAX 256
#define TICK (100 * USEC_PER_MSEC)

enum kind
{
  HEARTBEAT,
  JOIN,     /* from a host without neighbours */
  VIEW,     /* the sender's known states, or some of them */
  NEIGHBOR, /* requests to become a neighbour */
  DISCONNECT,
  EAGER, /* an event in full */
  IHAVE, /* an event by its id */
  GRAFT,
  PRUNE,
  KIND_COUNT
};

/* What is broadcast: a host's state, ordered by sequence. */
struct update
{
  uint32_t about;
  uint64_t sequence;
  uint64_t state; /* 0 alive, 1 dead, 2 leaving */
};

struct neighbor
{
  uint32_t index;
  bool eager;
  bool heard; /* a message came from it; before that, silence is not a sign of failure */
  int64_t heard_at;
};

struct missing
{
  uint64_t id;
  uint32_t from;
  int64_t due; /* 0 for a free place */
};

struct tree
{
  struct spread_node node; /* first member */
  struct rng rng;
  uint32_t n_hosts;
  bool known[SPREAD_HOSTS_MAX];
  uint64_t sequence[SPREAD_HOSTS_MAX];
  uint64_t state[SPREAD_HOSTS_MAX];
  struct neighbor active[ACTIVE_MAX];
  uint32_t n_active;
  struct update seen[SEEN_MAX]; /* of the ids in seen_id */
  uint64_t seen_id[SEEN_MAX];   /* UINT64_MAX in an empty entry */
  uint32_t seen_at;
  struct missing missing[SEEN_MAX];
  int64_t next_heartbeat;
  int64_t next_shuffle;
};

static uint64_t
id_of (const struct update *update)
{
  return (uint64_t) update->about << 48 | update->sequence << 2 | update->state;
}

/* ---- messages ---- */

static void
send_updates (
    struct tree *self, uint32_t to, enum kind kind, const struct update *updates, uint32_t count)
{
  struct bytes out;

  bytes_init (&out, self);
  pack_uint (&out, kind);
  pack_uint (&out, 1700000000000 + self->node.index); /* incarnation and vitals, as the others */
  pack_uint (&out, 1234);
  pack_uint (&out, 50);
  pack_array (&out, count);
  for (uint32_t i = 0; i < count; i++)
    {
      pack_uint (&out, updates[i].about);
      pack_uint (&out, updates[i].sequence);
      pack_uint (&out, updates[i].state);
      if (kind == IHAVE || kind == GRAFT)
        continue;
      /* The product's state updates also carry the name and the incarnation. */
      pack_text (&out, "host-000");
      pack_uint (&out, 1700000000000);
    }
  spread_net_send (self->node.net, self->node.index, to, out.data, out.length);
  bytes_clear (&out);
}

static void
send_plain (struct tree *self, uint32_t to, enum kind kind)
{
  send_updates (self, to, kind, NULL, 0);
}

static struct update
update_of (const struct tree *self, uint32_t about)
{
  return (struct update){ .about = about,
                          .sequence = self->sequence[about],
                          .state = self->state[about] };
}

static void
send_view (struct tree *self, uint32_t to, uint32_t most)
{
  struct update updates[SPREAD_HOSTS_MAX];
  uint32_t start = (uint32_t) rng_below (&self->rng, self->n_hosts);
  uint32_t count = 0;

  for (uint32_t i = 0; i < self->n_hosts && count < most; i++)
    {
      uint32_t about = (start + i) % self->n_hosts;

      if (self->known[about])
        updates[count++] = update_of (self, about);
    }
  send_updates (self, to, VIEW, updates, count);
}

/* ---- neighbours ---- */

static struct neighbor *
find_neighbor (struct tree *self, uint32_t index)
{
  for (uint32_t i = 0; i < self->n_active; i++)
    if (self->active[i].index == index)
      return &self->active[i];
  return NULL;
}

static void
drop_neighbor (struct tree *self, uint32_t index)
{
  struct neighbor *neighbor = find_neighbor (self, index);

  if (neighbor != NULL)
    *neighbor = self->active[--self->n_active];
}

static void
add_neighbor (struct tree *self, uint32_t index, int64_t now)
{
  if (find_neighbor (self, index) != NULL)
    return;
  if (self->n_active == ACTIVE_MAX)
    {
      uint32_t victim = self->active[rng_below (&self->rng, ACTIVE_MAX)].index;

      send_plain (self, victim, DISCONNECT);
      drop_neighbor (self, victim);
    }
  self->active[self->n_active++] =
      (struct neighbor){ .index = index, .eager = true, .heard_at = now };
}

static void
fill_active (struct tree *self, int64_t now)
{
  uint32_t index = (uint32_t) rng_below (&self->rng, self->n_hosts);

  if (self->n_active >= ACTIVE_MAX - 1 || index == self->node.index || !self->known[index]
      || self->state[index] != 0 || find_neighbor (self, index) != NULL)
    return;
  add_neighbor (self, index, now);
  send_plain (self, index, NEIGHBOR);
}

/* ---- the tree ---- */

static bool
has_seen (const struct tree *self, uint64_t id)
{
  for (uint32_t i = 0; i < SEEN_MAX; i++)
    if (self->seen_id[i] == id)
      return true;
  return false;
}

static void
forward_update (struct tree *self, const struct update *update, uint32_t from)
{
  self->seen_id[self->seen_at] = id_of (update);
  self->seen[self->seen_at] = *update;
  self->seen_at = (self->seen_at + 1) % SEEN_MAX;
  for (uint32_t i = 0; i < self->n_active; i++)
    if (self->active[i].index != from)
      send_updates (self, self->active[i].index, self->active[i].eager ? EAGER : IHAVE, update, 1);
}

static void
broadcast_state (struct tree *self, uint32_t about, uint64_t state)
{
  struct update update;

  self->state[about] = state;
  update = update_of (self, about);
  forward_update (self, &update, self->node.index);
}

/* The higher sequence wins; at equal sequence, the higher state.  A host refutes updates about
 * itself. */
static bool
apply (struct tree *self, const struct update *update)
{
  uint32_t about = update->about;
  bool newer = !self->known[about] || update->sequence > self->sequence[about]
               || (update->sequence == self->sequence[about] && update->state > self->state[about]);

  if (!newer)
    return false;
  if (about == self->node.index)
    {
      self->sequence[about] = update->sequence + 1;
      broadcast_state (self, about, self->state[about]);
      return false;
    }
  self->known[about] = true;
  self->sequence[about] = update->sequence;
  self->state[about] = update->state;
  if (update->state == 1)
    drop_neighbor (self, about);
  return true;
}

static void
handle_event (struct tree *self, uint32_t from, const struct update *update)
{
  struct neighbor *neighbor = find_neighbor (self, from);

  if (has_seen (self, id_of (update)))
    {
      send_plain (self, from, PRUNE);
      if (neighbor != NULL)
        neighbor->eager = false;
      return;
    }
  if (neighbor != NULL)
    neighbor->eager = true;
  for (uint32_t i = 0; i < SEEN_MAX; i++)
    if (self->missing[i].due != 0 && self->missing[i].id == id_of (update))
      self->missing[i].due = 0;
  apply (self, update);
  forward_update (self, update, from);
}

static void
handle_ihave (struct tree *self, uint32_t from, const struct update *update, int64_t now)
{
  if (has_seen (self, id_of (update)))
    return;
  for (uint32_t i = 0; i < SEEN_MAX; i++)
    if (self->missing[i].due == 0)
      {
        self->missing[i] =
            (struct missing){ .id = id_of (update), .from = from, .due = now + GRAFT_AFTER };
        return;
      }
}

static void
handle_graft (struct tree *self, uint32_t from, const struct update *update)
{
  struct neighbor *neighbor = find_neighbor (self, from);

  if (neighbor != NULL)
    neighbor->eager = true;
  for (uint32_t i = 0; i < SEEN_MAX; i++)
    if (self->seen_id[i] == id_of (update))
      send_updates (self, from, EAGER, &self->seen[i], 1);
}

static void
send_due_grafts (struct tree *self, int64_t now)
{
  for (uint32_t i = 0; i < SEEN_MAX; i++)
    {
      struct missing *missing = &self->missing[i];
      struct update update;

      if (missing->due == 0 || now < missing->due)
        continue;
      missing->due = 0;
      update = (struct update){ .about = (uint32_t) (missing->id >> 48),
                                .sequence = missing->id << 16 >> 18,
                                .state = missing->id & 3 };
      if (!has_seen (self, missing->id))
        send_updates (self, missing->from, GRAFT, &update, 1);
    }
}

/* ---- the instance ---- */

static void
handle_update (
    struct tree *self, uint32_t from, enum kind kind, const struct update *update, int64_t now)
{
  switch (kind)
    {
    case EAGER:
      handle_event (self, from, update);
      break;
    case IHAVE:
      handle_ihave (self, from, update, now);
      break;
    case GRAFT:
      handle_graft (self, from, update);
      break;
    case JOIN:
      if (apply (self, update))
        forward_update (self, update, from);
      send_view (self, from, SPREAD_HOSTS_MAX);
      break;
    case VIEW:
      apply (self, update);
      break;
    case HEARTBEAT:
    case NEIGHBOR:
    case DISCONNECT:
    case PRUNE:
    case KIND_COUNT:
      break;
    }
}

static void
receive (struct spread_node *node, uint32_t from, const void *data, size_t length, int64_t now)
{
  struct tree *self = (struct tree *) node;
  struct neighbor *neighbor = find_neighbor (self, from);
  struct pack_reader reader;
  enum kind kind;
  uint32_t count;

  pack_reader_init (&reader, data, length);
  kind = (enum kind) pack_read_uint (&reader, KIND_COUNT - 1);
  for (int i = 0; i < 3; i++)
    pack_read_uint (&reader, UINT64_MAX);
  count = pack_read_array (&reader, SPREAD_HOSTS_MAX);
  if (neighbor != NULL)
    {
      neighbor->heard = true;
      neighbor->heard_at = now;
    }
  else if (kind == HEARTBEAT)
    send_plain (self, from, DISCONNECT);
  for (uint32_t i = 0; i < count; i++)
    {
      char name[16];
      struct update update = { .about = (uint32_t) pack_read_uint (&reader, SPREAD_HOSTS_MAX - 1) };

      update.sequence = pack_read_uint (&reader, UINT64_MAX);
      update.state = pack_read_uint (&reader, 2);
      if (kind != IHAVE && kind != GRAFT)
        {
          pack_read_text (&reader, name, sizeof name);
          pack_read_uint (&reader, UINT64_MAX);
        }
      handle_update (self, from, kind, &update, now);
    }
  INVARIANT (pack_read_is_complete (&reader));
  if (kind == NEIGHBOR)
    add_neighbor (self, from, now);
  if (kind == DISCONNECT)
    drop_neighbor (self, from);
  if (kind == PRUNE && neighbor != NULL)
    neighbor->eager = false;
}

static void
check_neighbors (struct tree *self, int64_t now)
{
  for (uint32_t i = 0; i < self->n_active;)
    {
      uint32_t index = self->active[i].index;
      bool told;

      if (now - self->active[i].heard_at < MISSED)
        {
          i++;
          continue;
        }
      told = self->active[i].heard && self->state[index] == 0;
      drop_neighbor (self, index);
      if (told)
        broadcast_state (self, index, 1);
    }
}

static void
beat (struct tree *self, int64_t now)
{
  self->next_heartbeat = now + PERIOD * 9 / 10 + (int64_t) rng_below (&self->rng, PERIOD / 5);
  for (uint32_t i = 0; i < self->n_active; i++)
    send_plain (self, self->active[i].index, HEARTBEAT);
  /* Without neighbours, joins through the seeds. */
  for (uint32_t seed = 0; seed < 3 && self->n_active == 0; seed++)
    if (seed != self->node.index)
      {
        struct update update = update_of (self, self->node.index);

        send_updates (self, seed, JOIN, &update, 1);
      }
}

static int64_t
tick (struct spread_node *node, int64_t now)
{
  struct tree *self = (struct tree *) node;

  if (now >= self->next_heartbeat)
    beat (self, now);
  check_neighbors (self, now);
  fill_active (self, now);
  send_due_grafts (self, now);
  if (now >= self->next_shuffle && self->n_active > 0)
    {
      uint32_t to = self->active[rng_below (&self->rng, self->n_active)].index;

      self->next_shuffle = now + SHUFFLE_PERIOD;
      send_view (self, to, SHUFFLE_SIZE);
    }
  return now + TICK;
}

static const struct spread_node_ops node_ops = { .receive = receive, .tick = tick };

static struct spread_node *
start (void *parent, struct spread_net *net, uint32_t index, uint32_t n_hosts, uint64_t incarnation)
{
  struct tree *self = talloc_zero (parent, struct tree);

  INVARIANT (self != NULL);
  self->node.ops = &node_ops;
  self->n_hosts = n_hosts;
  rng_init (&self->rng, index + incarnation * 1000);
  self->known[index] = true;
  self->sequence[index] = incarnation * 1000;
  memset (self->seen_id, 0xff, sizeof self->seen_id);
  spread_net_add_node (net, index, &self->node);
  return &self->node;
}

static bool
sees (const struct spread_node *node, uint32_t about)
{
  const struct tree *self = (const struct tree *) node;

  return self->known[about] && self->state[about] == 0;
}

static bool
considers_dead (const struct spread_node *node, uint32_t about)
{
  const struct tree *self = (const struct tree *) node;

  return self->known[about] && self->state[about] == 1;
}

static void
leave (struct spread_node *node, int64_t now)
{
  struct tree *self = (struct tree *) node;

  (void) now;
  self->sequence[node->index]++;
  broadcast_state (self, node->index, 2);
}

const struct spread_protocol spread_protocol_tree = {
  .name = "tree",
  .start = start,
  .sees = sees,
  .considers_dead = considers_dead,
  .leave = leave,
};
