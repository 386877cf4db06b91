/* The configuration in force on this host: applies the store's revisions to the board.
 *
 * Nothing is in force until a quorum has confirmed, after this process's start, that the store
 * holds everything committed, so a restarted host never serves an older revision than one that was
 * in force before.  From then on the board follows the store, and its revision never decreases. */
#ifndef CONFIG_H
#define CONFIG_H

#include "access.h"
#include "board.h"
#include "consensus.h"
#include "counter.h"
#include "decls.h"
#include "dump.h"
#include "store.h"
#include "timer.h"

BEGIN_DECLS

/* Interval between requests to a quorum, before the first confirmation and after it. */
#define CONFIG_REQUEST_PERIOD (USEC_PER_SEC / 4)
#define CONFIG_CONFIRM_PERIOD (2 * USEC_PER_SEC)

/* A confirmation older than this has expired; answers, the dump and entry lists show that. */
#define CONFIG_CONFIRMATION_TTL (10 * USEC_PER_SEC)

struct config;

struct config_config
{
  struct store *store;
  struct board *board;
  struct access *access;       /* NULL without access control for operators */
  struct consensus *consensus; /* NULL on a follower, where config_follow.c confirms */
  struct timer_service *timers;
  struct counters *counters;
  struct dump *dump;
};

/* Freed with `parent`.  NULL when out of memory. */
struct config *config_new (void *parent, const struct config_config *config, int64_t now);

/* Report that a quorum confirmed what the store now holds.  `at` is the local time in us before
 * the quorum was asked. */
void config_set_confirmed (struct config *config, int64_t at, int64_t now);

/* Whether the configuration in force was confirmed within CONFIG_CONFIRMATION_TTL.  If not, the
 * host goes on serving with what it has, reports that, and is left out of entry lists. */
static inline bool
config_is_confirmed (const struct board *board, int64_t now)
{
  return board->config_ready && now - board->confirmed_at < CONFIG_CONFIRMATION_TTL;
}

END_DECLS

#endif
