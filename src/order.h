/* Orders to targets.  Assignments declare the wanted state; one leader reconciles the targets with
 * it.
 *
 * Some targets refuse an order with an old fencing number, others ignore the number.  The latter
 * are protected by the leader alone: it sends nothing until the former leader's lease and its last
 * call have certainly ended, stops at once when it no longer leads, has one call at a time in
 * flight for a target, and counts an order as done only when the target's state shows it. */
#ifndef ORDER_H
#define ORDER_H

#include "board.h"
#include "consensus.h"
#include "counter.h"
#include "decls.h"
#include "dump.h"
#include "http.h"
#include "store.h"
#include "timer.h"

BEGIN_DECLS

#define ORDER_CALL_TIMEOUT (5 * USEC_PER_SEC) /* deadline of one call to a target */
#define ORDER_FORMER_LEASE (3 * USEC_PER_SEC) /* longest lease of a leader, with clock drift */

struct orders;

struct order_config
{
  struct store *store;
  struct board *board;
  struct consensus *consensus; /* of the group that holds the resources */
  struct http_client *client;
  struct timer_service *timers;
  struct counters *counters;
  struct dump *dump;
  const char *host;       /* this host's name */
  int64_t wall_offset_ms; /* wall clock minus monotonic clock at the start */
  int64_t former_lease;   /* 0 for ORDER_FORMER_LEASE */
};

/* For every host that may lead.  Freed with `parent`.  NULL when out of memory. */
struct orders *order_new (void *parent, const struct order_config *config, int64_t now);

END_DECLS

#endif
