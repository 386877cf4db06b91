/* On a host that does not vote: replicates a voter's store, and has a quorum confirm it. */
#ifndef CONFIG_FOLLOW_H
#define CONFIG_FOLLOW_H

#include "config.h"
#include "config_link.h"
#include "decls.h"
#include "settings.h"
#include "store.h"
#include "timer.h"

BEGIN_DECLS

struct config_follow;

struct config_follow_config
{
  struct config_link *link;
  struct config *config;
  struct store *store;
  struct board *board;
  struct timer_service *timers;
  struct counters *counters;
  struct dump *dump;
  const char *host; /* this host's name; its hash spreads followers over voters */
};

/* Freed with `parent`.  NULL when out of memory. */
struct config_follow *config_follow_new (void *parent,
                                         const struct config_follow_config *config,
                                         int64_t now);

/* Set the voters to ask; at least one.  May be called again when they change. */
void config_follow_set_voters (struct config_follow *follow,
                               const struct settings_peer *voters,
                               uint32_t n_voters);

END_DECLS

#endif
