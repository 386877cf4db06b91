/* A controller: a host that follows the log, takes the operators' document and the targets'
 * registrations, and keeps the entry hosts up to date. */
#ifndef CONTROLLER_H
#define CONTROLLER_H

#include "consensus.h"
#include "counter.h"
#include "decls.h"
#include "document.h"
#include "peer.h"
#include "registry.h"
#include "sync.h"
#include "timer.h"

BEGIN_DECLS

/* An entry host not heard for so long is no longer named to clients.  It asks every
 * SYNC_REQUEST_PERIOD, so that two asks may be lost. */
#define CONTROLLER_HOST_LEASE (1800 * USEC_PER_MSEC)

/* After its start a controller counts on entry hosts to ask within so long; they try a controller
 * that did not answer yet several times a second.  Where all hosts start at once, a target that was
 * turned away meanwhile would come back a heartbeat later, and get no work until then. */
#define CONTROLLER_START_GRACE (3 * USEC_PER_SEC)

/* A leaving target's word must be on a majority of the controllers before it is acknowledged, by
 * then at the latest: who gets no answer within a second asks the next controller. */
#define CONTROLLER_LEAVE_WAIT (700 * USEC_PER_MSEC)

struct controller;

struct controller_member
{
  const char *name; /* its peer address */
  bool voter;       /* else a learner: it follows the log and serves like the others */
};

struct controller_config
{
  const char *name; /* our peer address */
  struct consensus *consensus;
  struct document *document;
  struct peer_port *port;
  struct timer_service *timers;
  struct counters *counters;
  uint64_t incarnation;
  int64_t now; /* of the loop, at the start */

  /* The controllers that follow the log, as it knows them; the count. */
  uint32_t (*members) (void *context, struct controller_member out[SYNC_CONTROLLERS_MAX]);
  void *members_context;
};

/* Freed with `parent`.  NULL when memory is out. */
struct controller *controller_new (void *parent, const struct controller_config *config);

/* Embedded by who waits for a word to be taken. */
struct controller_wait
{
  const struct controller_wait_ops *ops;
  struct controller_wait *next;
  struct timer timer;
  struct controller *controller;
  uint64_t number;
  uint32_t wanted; /* acknowledgements of other controllers still to come */
  char seen[SYNC_CONTROLLERS_MAX][ROUTING_NAME_SIZE];
  uint32_t n_seen;
};

struct controller_wait_ops
{
  /* OK: known to as many controllers as a majority of the voters.  STATUS_TIMEOUT: perhaps not. */
  void (*done) (struct controller_wait *wait, enum status status, int64_t now);
};

/* May a target register here?  Not at a controller that does not follow the log, or that no entry
 * host asks, while others are there: entry hosts would never hear of the target, which would wait
 * for work that does not come. */
bool controller_reaches_entries (const struct controller *controller, int64_t now);

/* A target renewed, leaves, or is gone.  True: taken, and done() will not come. */
bool controller_register (struct controller *controller,
                          const struct registry_registration *word,
                          struct controller_wait *wait,
                          int64_t now);

/* A target says that it is gone, by its identity and the time of its start (0: not told).  The
 * same, and true for one not known. */
bool controller_deregister (struct controller *controller,
                            const char *id,
                            uint64_t started,
                            struct controller_wait *wait,
                            int64_t now);
void controller_withdraw (struct controller *controller, struct controller_wait *wait);

/* The entry hosts that clients of a failure domain ("" for any) may use now, `most` at most; the
 * count.
 *
 * Load pattern: more entry hosts than a list may name.  Were the first ones named to all, the
 * others would get nothing and those all the load.  Hosts of the clients' own domain go first, so
 * that each is named to somebody, and the rest in an order that differs from domain to domain.  It
 * is the same at all controllers and at all times: a client that was named other hosts at each
 * question would give up its connections each time. */
uint32_t controller_entries (const struct controller *controller,
                             const char *domain,
                             uint32_t most,
                             const struct sync_host *out[SYNC_HOSTS_MAX],
                             int64_t now);

/* The entry hosts that were heard lately, by name; the count.  The names hold until the next
 * message is handled. */
uint32_t controller_hosts (const struct controller *controller,
                           const char *out[SYNC_HOSTS_MAX],
                           int64_t now);

/* The document changed: tell the entry hosts now. */
void controller_document_changed (struct controller *controller, int64_t now);

END_DECLS

#endif
