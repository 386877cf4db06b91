/* Since when a host has known of versions that are newer than the one it holds. */
#ifndef VERSION_LAG_H
#define VERSION_LAG_H

#include "decls.h"
#include "usec.h"
#include <stdint.h>

BEGIN_DECLS

/* While more versions are known, the newest of them share the time of the last. */
#define VERSION_LAG_MAX 32

struct version_lag
{
  uint32_t n;
  struct
  {
    uint64_t version;
    int64_t known_at;       /* in us */
  } known[VERSION_LAG_MAX]; /* oldest first */
};

/* Note that `version` exists.  No effect unless it is the newest so far. */
void version_lag_learn (struct version_lag *lag, uint64_t version, int64_t now);

/* Forget `version` and all older ones: the host holds it. */
void version_lag_hold (struct version_lag *lag, uint64_t version);

/* When the host learned of the first version that it still lacks, in us; USEC_NEVER if it lacks
 * none. */
int64_t version_lag_since (const struct version_lag *lag);

/* 0 if the host lacks none. */
uint64_t version_lag_newest (const struct version_lag *lag);

END_DECLS

#endif
