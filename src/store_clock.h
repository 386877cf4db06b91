/* The log's own time: deterministic, and not moved by one host's wrong clock.
 *
 * Entries carry their proposer's wall clock as data.  The log's time is the second latest of what
 * the hosts that proposed lately stated (the latest when only one did), and never goes back.
 * Failure guarded against: one host's clock jumps ahead by a day; every claim and change id would
 * expire at once and a resend would run again.  Two hosts' clocks must agree before time moves. */
#ifndef STORE_CLOCK_H
#define STORE_CLOCK_H

#include "decls.h"
#include "resource.h"
#include "store_pack.h"

BEGIN_DECLS

#define STORE_CLOCK_HOSTS 8
#define STORE_CLOCK_WINDOW 256 /* entries after which a silent host's time no longer counts */

struct store_clock
{
  struct
  {
    char host[RESOURCE_NAME_SIZE];
    int64_t time_ms;
    uint64_t entry;
  } seen[STORE_CLOCK_HOSTS];
  uint32_t n_seen;
  uint64_t entries;
  int64_t now_ms;
};

void store_clock_observe (struct store_clock *clock, const char *host, int64_t time_ms);
void store_clock_save (const struct store_clock *clock, struct bytes *out);
void store_clock_load (struct store_clock *clock, struct pack_reader *in);

END_DECLS

#endif
