/* The product's membership protocol on the simulated network. */
#include "spread_member.h"
#include "counter.h"
#include "status.h"
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#define SEEDS 3
#define DOMAINS 3

static void
name_of (uint32_t index, char out[RESOURCE_NAME_SIZE])
{
  snprintf (out, RESOURCE_NAME_SIZE, "host-%03u", index);
}

static uint32_t
index_of (const char *name)
{
  return (uint32_t) strtoul (name + sizeof "host-" - 1, NULL, 10);
}

static void
wire_send (struct member_transport *wire, const char *host, const void *data, size_t length)
{
  struct spread_member *self =
      (struct spread_member *) ((char *) wire - offsetof (struct spread_member, wire));

  spread_net_send (self->node.net, self->node.index, index_of (host), data, length);
}

static void
wire_set_address (struct member_transport *wire,
                  const char *host,
                  const char *address,
                  const char *public_key)
{
  (void) wire;
  (void) host;
  (void) address;
  (void) public_key;
}

static void
wire_forget (struct member_transport *wire, const char *host)
{
  (void) wire;
  (void) host;
}

static const struct member_transport_ops wire_ops = {
  .send = wire_send,
  .set_address = wire_set_address,
  .forget = wire_forget,
};

static void
receive (struct spread_node *node, uint32_t from, const void *data, size_t length, int64_t now)
{
  struct spread_member *self = (struct spread_member *) node;
  char name[RESOURCE_NAME_SIZE];

  name_of (from, name);
  member_receive (self->member, name, data, length, now);
}

static int64_t
tick (struct spread_node *node, int64_t now)
{
  struct spread_member *self = (struct spread_member *) node;

  return member_tick (self->member, now);
}

static const struct spread_node_ops node_ops = { .receive = receive, .tick = tick };

static void
fill_self (struct board_host *self, uint32_t index, uint64_t incarnation)
{
  name_of (index, self->name);
  snprintf (self->domain, sizeof self->domain, "domain-%u", index % DOMAINS);
  snprintf (self->region, sizeof self->region, "region");
  snprintf (self->entry_address, sizeof self->entry_address, "10.0.%u.%u:8080", index / 250,
            index % 250);
  snprintf (self->operator_address, sizeof self->operator_address, "10.0.%u.%u:8081", index / 250,
            index % 250);
  snprintf (self->target_address, sizeof self->target_address, "10.0.%u.%u:8082", index / 250,
            index % 250);
  snprintf (self->peer_address, sizeof self->peer_address, "10.0.%u.%u:8083", index / 250,
            index % 250);
  snprintf (self->public_key, sizeof self->public_key, "%040u", index);
  self->incarnation = incarnation;
}

struct spread_member *
spread_member_new (void *parent, struct spread_net *net, uint32_t index, uint64_t incarnation)
{
  struct spread_member *self = talloc_zero (parent, struct spread_member);
  struct member_seed seeds[SEEDS] = { 0 };
  struct member_config config = { 0 };

  INVARIANT (self != NULL);
  self->node.ops = &node_ops;
  self->wire.ops = &wire_ops;
  self->board = board_new (self);
  self->counters = counters_new (self);
  INVARIANT (self->board != NULL && self->counters != NULL);
  self->board->config_ready = true;
  for (uint32_t i = 0; i < SEEDS; i++)
    name_of (i, seeds[i].name);
  config.board = self->board;
  config.counters = self->counters;
  config.transport = &self->wire;
  config.seeds = seeds;
  config.n_seeds = SEEDS;
  config.seed = index * UINT64_C (1000003) + incarnation;
  config.now = spread_net_now (net);
  fill_self (&config.self, index, incarnation);
  self->node.net = net;
  self->node.index = index;
  self->member = member_new (self, &config);
  INVARIANT (self->member != NULL);
  spread_net_add_node (net, index, &self->node);
  return self;
}

enum host_state
spread_member_host_state (struct spread_member *self, uint32_t about)
{
  const struct board_host *host = table_get (self->board->hosts, self->seen[about]);
  char name[RESOURCE_NAME_SIZE];

  if (host == NULL)
    {
      name_of (about, name);
      host = board_find_host (self->board, name, &self->seen[about]);
    }
  return host != NULL ? host->state : HOST_STATE_COUNT;
}

static struct spread_node *
start (void *parent, struct spread_net *net, uint32_t index, uint32_t n_hosts, uint64_t incarnation)
{
  (void) n_hosts;
  return &spread_member_new (parent, net, index, UINT64_C (1700000000000) + incarnation)->node;
}

static bool
sees (const struct spread_node *node, uint32_t about)
{
  return spread_member_host_state ((struct spread_member *) node, about) == HOST_ALIVE;
}

static bool
considers_dead (const struct spread_node *node, uint32_t about)
{
  return spread_member_host_state ((struct spread_member *) node, about) == HOST_DEAD;
}

static void
leave (struct spread_node *node, int64_t now)
{
  member_announce_leaving (((struct spread_member *) node)->member, now);
}

static void
change_load (struct spread_node *node, double load, uint64_t revision)
{
  struct spread_member *self = (struct spread_member *) node;

  self->board->load = load;
  self->board->revision = revision;
}

const struct spread_protocol spread_protocol_probe = {
  .name = "probe",
  .start = start,
  .sees = sees,
  .considers_dead = considers_dead,
  .leave = leave,
  .change_load = change_load,
};
