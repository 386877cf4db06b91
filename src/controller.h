/* A controller: a host that replicates the log, accepts the operators' document and the targets'
 * registrations, and sends both to the entry hosts. */
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

/* Lease of an entry host: one that sent nothing for this long is no longer listed to clients.  It
 * sends a request every SYNC_REQUEST_PERIOD, so two may be lost. */
#define CONTROLLER_HOST_LEASE (1800 * USEC_PER_MSEC)

/* After its start a controller accepts targets for this long although no entry host has sent a
 * request yet; entry hosts retry a controller that has not answered several times a second.  When
 * all hosts start at once, a target rejected in that time would retry only a heartbeat later and
 * get no work until then. */
#define CONTROLLER_START_GRACE (3 * USEC_PER_SEC)

/* Timeout for replicating a leaving target's registration to a majority of the controllers, which
 * precedes the acknowledgement.  It is below one second, after which a target without an answer
 * tries the next controller. */
#define CONTROLLER_LEAVE_TIMEOUT (700 * USEC_PER_MSEC)

struct controller;

struct controller_member
{
  const char *name; /* its peer address */
  bool voter;       /* else a learner, which replicates the log and serves but does not vote */
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
  int64_t now; /* loop time at the start, USEC */

  /* Writes the log's member list (voters and learners) to `out`; returns the count. */
  uint32_t (*members) (void *context, struct controller_member out[SYNC_CONTROLLERS_MAX]);
  void *members_context;
};

/* Freed with `parent`.  NULL when out of memory. */
struct controller *controller_new (void *parent, const struct controller_config *config);

/* A pending replication of a registration; embedded by its owner. */
struct controller_wait
{
  const struct controller_wait_ops *ops;
  struct controller_wait *next;
  struct timer timer;
  struct controller *controller;
  uint64_t number;
  uint32_t acks_needed; /* acknowledgements needed from other voters */
  char acked_by[SYNC_CONTROLLERS_MAX][ROUTING_NAME_SIZE];
  uint32_t n_acks;
};

struct controller_wait_ops
{
  /* STATUS_OK: held by a majority of the voters.  STATUS_TIMEOUT: perhaps not. */
  void (*done) (struct controller_wait *wait, enum status status, int64_t now);
};

/* May a target register here?  False at a controller that is not a member of the log and, where
 * there are other controllers, at one without a live entry host after CONTROLLER_START_GRACE: entry
 * hosts would never learn of the target, and it would get no work. */
bool controller_can_accept_targets (const struct controller *controller, int64_t now);

/* Stores a target's registration: a renewal, leaving or gone.  True: accepted, and done() will not
 * be called. */
bool controller_register (struct controller *controller,
                          const struct registry_registration *word,
                          struct controller_wait *wait,
                          int64_t now);

/* Marks a target as gone, by its identity and start time (0: not given).  Returns as
 * controller_register() does; also accepts an unknown target. */
bool controller_deregister (struct controller *controller,
                            const char *id,
                            uint64_t started,
                            struct controller_wait *wait,
                            int64_t now);
void controller_cancel_wait (struct controller *controller, struct controller_wait *wait);

/* Lists the entry hosts that clients of a failure domain ("" for any) may use now, at most `limit`;
 * returns the count.
 *
 * There may be more entry hosts than a list can hold.  If all clients got the same ones, these
 * would take all the load and the others none.  Hosts of the clients' own domain come first, so
 * that each host is in some list, then the rest in an order that differs between domains.  The
 * order is the same at all controllers and at all times: a client that got different hosts at each
 * request would drop its connections each time.
 *
 * Hosts that have lost a pool that takes requests are left out while there are others. */
uint32_t controller_list_entry_hosts (const struct controller *controller,
                                      const char *domain,
                                      uint32_t limit,
                                      const struct sync_host *out[SYNC_HOSTS_MAX],
                                      int64_t now);

/* Lists the names of the entry hosts whose leases are valid; returns the count.  The names stay
 * valid until the next message is handled. */
uint32_t controller_list_live_hosts (const struct controller *controller,
                                     const char *out[SYNC_HOSTS_MAX],
                                     int64_t now);

/* Logs the new document version and schedules a push to the entry hosts. */
void controller_document_changed (struct controller *controller, int64_t now);

/* Sends the evacuated failure domains to the entry hosts at once. */
void controller_evacuations_changed (struct controller *controller, int64_t now);
const struct evacuation_view *controller_evacuations (const struct controller *controller);

/* Does a registered target, an entry host or an earlier order of evacuation name the domain? */
bool controller_knows_domain (const struct controller *controller, const char *domain);

END_DECLS

#endif
