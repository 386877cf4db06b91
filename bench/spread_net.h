/* Simulated network for many instances of an I/O-free protocol: virtual time, message delay and
 * loss, cut links, stopped instances, and traffic counters.  Only time and links are modelled, not
 * the machines. */
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

/* One instance; implementations embed it as their first member. */
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

  /* Runs what is due and returns the time of the next call. */
  int64_t (*tick) (struct spread_node *node, int64_t now);
};

struct spread_traffic
{
  uint64_t messages;
  uint64_t bytes;
};

/* Messages take between half and one and a half times `delay`. */
struct spread_net *spread_net_new (void *parent, uint64_t seed, int64_t delay);

/* Starts the instance now.  One that replaces another takes over its links. */
void spread_net_add_node (struct spread_net *net, uint32_t index, struct spread_node *node);

void spread_net_send (
    struct spread_net *net, uint32_t from, uint32_t to, const void *data, size_t length);

/* Sets the share of messages lost at random. */
void spread_net_set_loss (struct spread_net *net, double loss);

/* Cuts or restores the link, in this direction only. */
void spread_net_cut (struct spread_net *net, uint32_t from, uint32_t to, bool cut);

/* A stopped instance neither ticks nor receives.  Messages to it are lost or, with `keep`,
 * delivered after it resumes. */
void spread_net_stop (struct spread_net *net, uint32_t index, bool keep);
void spread_net_resume (struct spread_net *net, uint32_t index);

int64_t spread_net_now (const struct spread_net *net);
void spread_net_run (struct spread_net *net, int64_t span);

/* Sent by one instance since the start. */
struct spread_traffic spread_net_traffic (const struct spread_net *net, uint32_t index);

END_DECLS

#endif
