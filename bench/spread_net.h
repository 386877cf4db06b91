/* A driver for many instances of one pure protocol: virtual time, messages with a delay, loss, cut
 * links and stopped instances, and counts of what each sends.  It is no model of machines: nothing
 * but time and links is here. */
#ifndef SPREAD_NET_H
#define SPREAD_NET_H

#include "decls.h"
#include "usec.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define SPREAD_HOSTS_MAX 512

struct spread_net;

/* One instance; its implementation embeds this first. */
struct spread_node
{
  const struct spread_node_ops *ops;
  struct spread_net *net;
  uint32_t index;
};

struct spread_node_ops
{
  void (*receive) (
      struct spread_node *node, uint32_t from, const void *data, size_t length, int64_t now);

  /* Does what is due; when to call again. */
  int64_t (*tick) (struct spread_node *node, int64_t now);
};

struct spread_traffic
{
  uint64_t messages;
  uint64_t bytes;
};

/* Messages take between half and one and a half times `delay`. */
struct spread_net *spread_net_new (void *parent, uint64_t seed, int64_t delay);

/* Starts now.  An instance put in the place of another takes over its links. */
void spread_net_put (struct spread_net *net, uint32_t index, struct spread_node *node);

void spread_net_send (
    struct spread_net *net, uint32_t from, uint32_t to, const void *data, size_t length);

/* Share of messages lost at random. */
void spread_net_set_loss (struct spread_net *net, double loss);

/* From now on nothing goes from one to the other, or again. */
void spread_net_cut (struct spread_net *net, uint32_t from, uint32_t to, bool cut);

/* A stopped instance neither ticks nor receives; what is sent to it meanwhile is lost, or, with
 * `keep`, comes when it goes on. */
void spread_net_stop (struct spread_net *net, uint32_t index, bool keep);
void spread_net_go_on (struct spread_net *net, uint32_t index);

int64_t spread_net_now (const struct spread_net *net);
void spread_net_run (struct spread_net *net, int64_t span);

/* Sent by one instance since the start. */
struct spread_traffic spread_net_traffic (const struct spread_net *net, uint32_t index);

END_DECLS

#endif
