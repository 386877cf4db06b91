/* Readiness of a host that just started.
 *
 * Without it, a host that restarts under load is listed to callers as soon as its configuration is
 * confirmed, and fails a request midway because the home of a later stage's targets has not
 * answered yet.  Until every live host has sent its list, or until READY_TIMEOUT, the board's
 * `targets_unknown` is set: requests are refused as not run and the host is not listed to
 * callers. */
#include "directory_state.h"

#define READY_TIMEOUT (3 * USEC_PER_SEC)

/* uthash's macros expand to long code.
 * NOLINTBEGIN(readability-function-size) */
static bool
has_answered (const struct directory *directory, const struct board_host *host)
{
  struct directory_home *home;

  HASH_FIND_STR (directory->homes, host->name, home);
  return home != NULL && home->epoch != 0 && home->version >= home->base;
}

/* NOLINTEND(readability-function-size) */

static bool
all_have_answered (const struct directory *directory)
{
  const struct board_host *host;
  uint32_t others = 0;
  uint32_t cursor = 0;

  while ((host = table_next (directory->board->hosts, &cursor, NULL)) != NULL)
    {
      if (host->self || host->state != HOST_ALIVE)
        continue;
      others++;
      if (!has_answered (directory, host))
        return false;
    }
  return others > 0;
}

void
directory_ready_start (struct directory *directory, int64_t now)
{
  directory->ready_deadline = now + READY_TIMEOUT;
  directory->board->targets_unknown = true;
}

void
directory_ready_tick (struct directory *directory, int64_t now)
{
  if (directory->ready_deadline == 0)
    return;
  if (now < directory->ready_deadline && !all_have_answered (directory))
    return;
  directory->ready_deadline = 0;
  directory->board->targets_unknown = false;
}
