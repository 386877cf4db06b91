/* Orders to targets, as declared state: one leader reconciles what targets have with what the
 * assignments want.
 *
 * Some targets refuse an order with an old fencing number, others ignore the number.  For the
 * latter the leader alone protects them: it sends nothing until the former leader's lease and its
 * last call have surely ended, stops at once when it leads no more, has one call at a time for a
 * target, and counts an order as done only when the target's state shows it. */
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

#define ORDER_CALL_WITHIN (5 * USEC_PER_SEC)  /* of one call to a target */
#define ORDER_FORMER_LEASE (3 * USEC_PER_SEC) /* a leader's lease at most, with drift */

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
  const char *host;       /* our name, */
  int64_t wall_offset_ms; /* wall clock minus monotonic clock at the start */
  int64_t former_lease;   /* 0 for ORDER_FORMER_LEASE */
};

/* On every host that may lead. */
struct orders *order_new (void *parent, const struct order_config *config, int64_t now);

END_DECLS

#endif
