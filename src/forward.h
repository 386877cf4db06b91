/* Requests from clients to targets: admission, stages, attempts, answers.
 *
 * What holds for each request: it runs at most as often as its route allows; its client gets the
 * whole answer of one run or sees a failure as such; an answer that says "not run" is true. */
#ifndef FORWARD_H
#define FORWARD_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "dialect.h"
#include "engine_news.h"
#include "h1_client.h"
#include "h1_server.h"
#include "quarantine_entry.h"
#include "subscriber.h"
#include "timer.h"
#include "work.h"

BEGIN_DECLS

struct forward;

struct forward_config
{
  struct loop *loop;
  struct subscriber *subscriber;
  struct balance *balance;
  struct h1_client *client;
  struct dialect *dialect;
  struct work *work;
  struct engine_news *news;
  struct quarantine_entry *quarantine;
  struct counters *counters;
  uint64_t seed;
  int64_t confirmed_for; /* keyed requests are refused when the last confirmation is older */
  double retry_share;    /* sends beyond the first, of all requests to a pool */
  double retry_spare;    /* and this many over the window, on all entry hosts together */
};

/* Freed with `parent`.  NULL when memory is out. */
struct forward *forward_new (void *parent, const struct forward_config *config);

/* Takes the requests of an h1_server. */
struct h1_handler *forward_handler (struct forward *forward);

/* From now on requests are refused as not run, to be sent elsewhere. */
void forward_refuse_all (struct forward *forward);
uint32_t forward_in_flight (const struct forward *forward);

END_DECLS

#endif
