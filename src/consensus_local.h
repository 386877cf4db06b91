/* The replicated log of a host without configured voters: a group of one, in memory.
 *
 * Entries are applied from the event loop, not during propose(), as in the other implementations.
 * Nothing survives the process: for trials of the product and for tests. */
#ifndef CONSENSUS_LOCAL_H
#define CONSENSUS_LOCAL_H

#include "consensus.h"
#include "decls.h"
#include "timer.h"

BEGIN_DECLS

struct consensus_local_config
{
  struct timer_service *timers;
  struct machine *machine;
  const char *name; /* of this host */
};

struct consensus *consensus_local_new (void *parent, const struct consensus_local_config *config);

END_DECLS

#endif
