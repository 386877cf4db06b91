/* Selection and order of the hosts that are listed to callers. */
#ifndef ENTRIES_H
#define ENTRIES_H

#include "board.h"
#include "decls.h"

BEGIN_DECLS

#define ENTRIES_MAX 16

/* The set of hosts a list was drawn from; a worse tier is used only when all better ones are empty.
 * name, text */
#define ENTRIES_TIER_LIST(X)                                                                       \
  X (SOUND, "sound")         /* alive, connected, with the configuration in force */               \
  X (BEHIND, "behind")       /* alive, but all have a stale configuration or are cut off */        \
  X (ELSEWHERE, "elsewhere") /* this host is cut off, so its view of others is stale */            \
  X (NONE, "none")

enum entries_tier
{
#define X(name, text) ENTRIES_##name,
  ENTRIES_TIER_LIST (X)
#undef X
      ENTRIES_TIER_COUNT
};

const char *entries_tier_text (enum entries_tier tier);

struct entries_choice
{
  enum entries_tier tier;
  struct handle hosts[ENTRIES_MAX];
  uint32_t n_hosts;
};

/* Deterministic: the same board and seed give the same list.  Each place is drawn at random,
 * weighted by the reported idle capacity; neighbours in the list are of different failure domains.
 * Always listing the least loaded host first would send all callers to it, and its load report is
 * stale by then.  The caller's address is not used, because many callers share one. */
void entries_choose (const struct board *board, uint64_t seed, struct entries_choice *out);

END_DECLS

#endif
