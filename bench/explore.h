/* A seeded random walk through what can fail in a group, with all rules checked after each event.
 */
#ifndef EXPLORE_H
#define EXPLORE_H

#include "decls.h"
#include "fake_group.h"

BEGIN_DECLS

struct explore_config
{
  uint64_t seed;
  uint32_t voters;
  uint32_t spares; /* hosts that follow the log and take a lost voter's place */
  uint32_t steps;  /* random deeds; some tens of events lie between two */
  bool plain;      /* without contests of leaders: the walks of the first seeds that found faults */
  bool tight_disks; /* those that fill up have room for some writes more */
  bool bad_disks;   /* disks also fill up, noticed or not, and fail to sync */
};

struct explore_result
{
  char breach[GROUP_BREACH_SIZE]; /* "" when all rules held */
  uint64_t events;
  struct fake_group_count count;
};

/* Walk, then heal everything and see that the group becomes whole and commits again. */
void explore (const struct explore_config *config, struct explore_result *out);

END_DECLS

#endif
