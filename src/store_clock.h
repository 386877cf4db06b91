/* Log time: deterministic, and not affected by a wrong clock on one host.
 *
 * Entries carry their proposer's wall clock as data.  The log time is the second latest of the
 * times stated by recent proposers (the latest when there is only one), and never decreases.  If
 * one host's clock jumped ahead by a day and the log time followed it, every claim and change id
 * would expire at once and a resend would run again; so two hosts must state a time before it
 * counts. */
#ifndef STORE_CLOCK_H
#define STORE_CLOCK_H

#include "decls.h"
#include "resource.h"
#include "store_pack.h"

BEGIN_DECLS

#define STORE_CLOCK_HOSTS 8
#define STORE_CLOCK_WINDOW 256 /* entries until the time of a silent host is dropped */

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
