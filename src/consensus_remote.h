/* A host without a data folder: sends its proposals and reads to a voter. */
#ifndef CONSENSUS_REMOTE_H
#define CONSENSUS_REMOTE_H

#include "consensus.h"
#include "decls.h"
#include "peer.h"
#include "timer.h"

BEGIN_DECLS

struct consensus_remote_config
{
  const char *const *voters; /* hosts to ask; the leader is learned from them */
  uint32_t n_voters;
  struct peer_port *port;
  struct timer_service *timers;
  uint64_t seed;
};

/* NULL when out of memory. */
struct consensus *consensus_remote_new (void *parent, const struct consensus_remote_config *config);

END_DECLS

#endif
