/* Seeded random fault injection into a simulated group; all invariants are checked after each
 * event. */
#ifndef EXPLORE_H
#define EXPLORE_H

#include "decls.h"
#include "fake_group.h"

BEGIN_DECLS

struct explore_config
{
  uint64_t seed;
  uint32_t voters;
  uint32_t spares;  /* non-voting hosts that replicate the log and can replace a lost voter */
  uint32_t steps;   /* random actions; some tens of events lie between two */
  bool no_contests; /* no leader contests; keeps the runs of the first seeds that found faults */
  bool tight_disks; /* a disk that fills up has room for some more writes */
  bool bad_disks;   /* disks also fill up, reported or not, and fail to sync */
};

struct explore_result
{
  char breach[GROUP_VIOLATION_SIZE]; /* "" if no invariant was violated */
  uint64_t events;
  struct fake_group_count count;
};

/* Runs the random steps, then removes all faults and checks that the group recovers and commits
 * again. */
void explore (const struct explore_config *config, struct explore_result *out);

END_DECLS

#endif
