/* Since when a host has known of versions that are newer than the one it holds. */
#include "version_lag.h"
#include <string.h>

void
version_lag_learn (struct version_lag *lag, uint64_t version, int64_t now)
{
  if (version <= version_lag_newest (lag))
    return;
  if (lag->n == VERSION_LAG_MAX)
    {
      lag->known[lag->n - 1].version = version;
      return;
    }
  lag->known[lag->n].version = version;
  lag->known[lag->n].known_at = now;
  lag->n++;
}

void
version_lag_hold (struct version_lag *lag, uint64_t version)
{
  uint32_t held = 0;

  while (held < lag->n && lag->known[held].version <= version)
    held++;
  lag->n -= held;
  memmove (lag->known, lag->known + held, lag->n * sizeof lag->known[0]);
}

int64_t
version_lag_since (const struct version_lag *lag)
{
  return lag->n == 0 ? USEC_NEVER : lag->known[0].known_at;
}

uint64_t
version_lag_newest (const struct version_lag *lag)
{
  return lag->n == 0 ? 0 : lag->known[lag->n - 1].version;
}
