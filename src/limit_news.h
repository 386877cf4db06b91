/* Tells the other entry hosts which targets name a limit in their answers, and applies what they
 * tell.
 *
 * A host learns of a limit, and of its end, only from an answer to itself; hosts without a part of
 * the limit send nothing to the target and get no answers.  Changes are sent at once, limits that
 * stay each LIMIT_NEWS_PERIOD. */
#ifndef LIMIT_NEWS_H
#define LIMIT_NEWS_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "peer.h"
#include "subscriber.h"
#include "timer.h"

BEGIN_DECLS

#define LIMIT_NEWS_PERIOD (2 * USEC_PER_SEC)
#define LIMIT_NEWS_DELAY (15 * USEC_PER_MSEC) /* limits named within it share a message */

struct limit_news;

struct limit_news_config
{
  struct balance *balance;
  struct subscriber *subscriber;
  struct peer_port *port;
  struct timer_service *timers;
  struct counters *counters;
};

/* Listens on PEER_CHANNEL_TARGET_LIMIT.  Freed with `parent`.  NULL when out of memory. */
struct limit_news *limit_news_new (void *parent, const struct limit_news_config *config);

/* An answer of the target came; `per_sec` is negative if it names no limit. */
void limit_news_heard (struct limit_news *news,
                       struct balance_target *target,
                       double per_sec,
                       int64_t now);

END_DECLS

#endif
