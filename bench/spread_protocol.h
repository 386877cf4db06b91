/* Interface of the compared membership protocols: instances on the simulated network and their
 * views of each other. */
#ifndef SPREAD_PROTOCOL_H
#define SPREAD_PROTOCOL_H

#include "decls.h"
#include "spread_net.h"

BEGIN_DECLS

struct spread_protocol
{
  const char *name;
  struct spread_node *(*start) (
      void *parent, struct spread_net *net, uint32_t index, uint32_t n_hosts, uint64_t incarnation);

  /* Whether the instance would list host `about` to a caller now. */
  bool (*sees) (const struct spread_node *node, uint32_t about);

  /* Whether the instance considers host `about` dead, not only suspected. */
  bool (*considers_dead) (const struct spread_node *node, uint32_t about);
  void (*leave) (struct spread_node *node, int64_t now);

  /* Changes the instance's load and configuration revision; NULL if that adds no traffic. */
  void (*change_load) (struct spread_node *node, double load, uint64_t revision);
};

/* The product's protocol: probes, suspicion, updates piggybacked on probes (member.h). */
extern const struct spread_protocol spread_protocol_probe;

/* All-to-all: one heartbeat per second, dead after three missed ones. */
extern const struct spread_protocol spread_protocol_heartbeat;

/* Bounded neighbours and a broadcast tree (spread_tree.c). */
extern const struct spread_protocol spread_protocol_tree;

END_DECLS

#endif
