/* Forwarding of client requests to targets: admission, stages, attempts, answers.
 *
 * Guarantees for each request: it runs at most as often as its route allows; the client gets the
 * complete answer of one run or an answer that is recognizable as a failure; an answer "not run" is
 * given only if the request did not run. */
#ifndef FORWARD_H
#define FORWARD_H

#include "balance.h"
#include "binding_store.h"
#include "counter.h"
#include "decls.h"
#include "dialect.h"
#include "engine_broadcast.h"
#include "h1_client.h"
#include "h1_server.h"
#include "quarantine_entry.h"
#include "rate_share.h"
#include "retry_budget.h"
#include "subscriber.h"
#include "target_notices.h"
#include "target_reach.h"
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
  struct engine_broadcast *news;
  struct target_notices *notices;
  struct quarantine_entry *quarantine;
  struct counters *counters;
  uint64_t seed;
  int64_t confirmed_for;      /* with an older confirmation, requests with keys are refused; us */
  struct retry_limit retries; /* to each pool */
  struct rate_share *rate_share;
  const struct target_reach *reach; /* NULL: all pools are reached */
  struct binding_store *bindings;
};

/* Freed with `parent`.  Returns NULL when out of memory. */
struct forward *forward_new (void *parent, const struct forward_config *config);

/* The handler to configure an h1_server with. */
struct h1_handler *forward_handler (struct forward *forward);

/* Refuses all further requests as not run, with a Retry-After of 0 so that clients try another host
 * at once. */
void forward_refuse_all (struct forward *forward);
uint32_t forward_in_flight (const struct forward *forward);

END_DECLS

#endif
