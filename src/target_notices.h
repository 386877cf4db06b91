/* What targets say of themselves in the heads of their answers: the rate that they take, that they
 * are cold, that they want a backoff, that they leave.  Each way to a target passes its answers'
 * heads here.
 *
 * Other entry hosts are told at once of a target that leaves: it may not have told a controller
 * yet. A host that misses the message learns of it from the target, as this one did. */
#ifndef TARGET_NOTICES_H
#define TARGET_NOTICES_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "dialect.h"
#include "limit_news.h"
#include "peer.h"
#include "subscriber.h"

BEGIN_DECLS

struct target_notices;

struct target_notices_config
{
  struct balance *balance;
  struct subscriber *subscriber;
  struct peer_port *port;
  struct limit_news *limit_news;
  struct counters *counters;
};

/* Listens on PEER_CHANNEL_TARGET_LEAVE.  Freed with `parent`.  NULL when out of memory. */
struct target_notices *target_notices_new (void *parent,
                                           const struct target_notices_config *config);

/* The head of an answer came to a call that was sent to the target at `sent_at`.  One with status
 * 421 is ignored: it is by another target at the same address. */
void target_notices_take (struct target_notices *notices,
                          struct balance_target *target,
                          unsigned status,
                          const struct response_fields *fields,
                          int64_t sent_at,
                          int64_t now);

END_DECLS

#endif
