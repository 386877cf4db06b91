/* A way to spread membership, as the comparison drives it: instances on the driver, and what each
 * sees of the others. */
#ifndef SPREAD_WAY_H
#define SPREAD_WAY_H

#include "decls.h"
#include "spread_net.h"

BEGIN_DECLS

struct spread_way
{
  const char *name;
  struct spread_node *(*start) (
      void *parent, struct spread_net *net, uint32_t index, uint32_t n_hosts, uint64_t incarnation);

  /* Would the instance name host `about` to a caller now? */
  bool (*sees) (const struct spread_node *node, uint32_t about);

  /* Does it hold it for dead, beyond a suspicion? */
  bool (*holds_dead) (const struct spread_node *node, uint32_t about);
  void (*leave) (struct spread_node *node, int64_t now);

  /* The instance's load and configuration change; NULL where that costs nothing more. */
  void (*stir) (struct spread_node *node, double load, uint64_t revision);
};

/* The product's: probes, suspicion, news on the probes (member.h). */
extern const struct spread_way spread_way_probe;

/* Every host to every host: a heartbeat a second, dead after three were missed. */
extern const struct spread_way spread_way_heartbeat;

/* Bounded neighbours and a broadcast tree (spread_tree.c). */
extern const struct spread_way spread_way_tree;

END_DECLS

#endif
