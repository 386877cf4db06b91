/* The configuration in force on this host: brings the store's revisions onto the board.
 *
 * Nothing is in force until a quorum has confirmed, after this process's start, that the store
 * holds everything committed: a restarted host never serves an older revision than one that was
 * in force before.  From then on the board follows the store revision by revision, never back. */
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

/* How often a quorum is asked, until ready and then. */
#define CONFIG_ASK_PERIOD (USEC_PER_SEC / 4)
#define CONFIG_CONFIRM_PERIOD (2 * USEC_PER_SEC)

/* A confirmation older than this no longer counts: answers, dump and entry lists show it. */
#define CONFIG_CONFIRMED_FOR (10 * USEC_PER_SEC)

struct config;

struct config_config
{
  struct store *store;
  struct board *board;
  struct access *access;       /* NULL where operators are not told apart */
  struct consensus *consensus; /* NULL on a host that follows: config_follow.c confirms */
  struct timer_service *timers;
  struct counters *counters;
  struct dump *dump;
};

/* Freed with `parent`.  NULL when memory is out. */
struct config *config_new (void *parent, const struct config_config *config, int64_t now);

/* A quorum confirmed at `at` (our clock, before it was asked) what the store now holds. */
void config_confirmed (struct config *config, int64_t at, int64_t now);

/* Was what is in force here confirmed lately?  A host for which this is false serves on with what
 * it has, says so, and is left out of entry lists. */
static inline bool
config_is_confirmed (const struct board *board, int64_t now)
{
  return board->config_ready && now - board->confirmed_at < CONFIG_CONFIRMED_FOR;
}

END_DECLS

#endif
