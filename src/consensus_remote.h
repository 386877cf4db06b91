/* The replicated log on a host without a data folder: forwards proposals to a voter.  Reads fail
 * with STATUS_UNSUPPORTED. */
#ifndef CONSENSUS_REMOTE_H
#define CONSENSUS_REMOTE_H

#include "consensus.h"
#include "decls.h"
#include "peer.h"
#include "timer.h"

BEGIN_DECLS

struct consensus_remote_config
{
  const char *const *voters; /* hosts to ask; they name the leader */
  uint32_t n_voters;
  struct peer_port *port;
  struct timer_service *timers;
  uint64_t seed;
};

/* NULL when out of memory. */
struct consensus *consensus_remote_new (void *parent, const struct consensus_remote_config *config);

END_DECLS

#endif
