/* Which hosts callers are named, and in which order. */
#ifndef ENTRIES_H
#define ENTRIES_H

#include "board.h"
#include "decls.h"

BEGIN_DECLS

#define ENTRIES_MAX 16

/* Which hosts the list was made of, worse ones only where there is nothing better.  name, text */
#define ENTRIES_TIER_LIST(X)                                                                       \
  X (SOUND, "sound")         /* alive, in touch, and with the configuration in force */            \
  X (BEHIND, "behind")       /* alive, but all are behind in configuration or cut off */           \
  X (ELSEWHERE, "elsewhere") /* we are cut off: what we hold against others is worth nothing */    \
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

/* Pure: the same board and seed give the same list.  Each place is drawn at random, weighted by how
 * idle a host says it is, and neighbours in the list are of different failure domains.  The first
 * is not "the best host": every caller would take it, and the load it was named for is old by then.
 * A caller's address has no part in it, because many callers share one. */
void entries_choose (const struct board *board, uint64_t seed, struct entries_choice *out);

END_DECLS

#endif
