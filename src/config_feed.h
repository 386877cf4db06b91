/* On a voter: sends the configuration's changes to followers, revision by revision. */
#ifndef CONFIG_FEED_H
#define CONFIG_FEED_H

#include "config_link.h"
#include "consensus.h"
#include "counter.h"
#include "decls.h"
#include "dump.h"
#include "store.h"
#include "timer.h"

BEGIN_DECLS

/* A follower that sent no request for this long is dropped and sent nothing more. */
#define CONFIG_FEED_FOLLOWER_TIMEOUT (15 * USEC_PER_SEC)

struct config_feed;

struct config_feed_config
{
  struct config_link *link;
  struct store *store;
  struct consensus *consensus;
  struct timer_service *timers;
  struct counters *counters;
  struct dump *dump;
};

struct config_feed *config_feed_new (void *parent, const struct config_feed_config *config);

END_DECLS

#endif
