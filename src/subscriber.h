/* An entry host's view of the system: the configuration in force, the targets, the other entry
 * hosts, and the time of the last confirmation by a quorum. */
#ifndef SUBSCRIBER_H
#define SUBSCRIBER_H

#include "counter.h"
#include "decls.h"
#include "evacuation.h"
#include "host_view.h"
#include "peer.h"
#include "registry.h"
#include "routing.h"
#include "sync.h"
#include "timer.h"

BEGIN_DECLS

/* Interval between requests to each controller.  A change whose push was lost is known within it,
 * and the right to serve keyed requests is renewed many times before it expires. */
#define SYNC_REQUEST_PERIOD (500 * USEC_PER_MSEC)

/* The interval until the first answer. */
#define SYNC_FIRST_REQUEST_PERIOD (100 * USEC_PER_MSEC)

/* The interval while requests go unanswered. */
#define SYNC_SILENT_REQUEST_PERIOD (250 * USEC_PER_MSEC)

/* A controller that answers no request for this long is reached by a new connection.  Longer than a
 * controller without a quorum takes to answer. */
#define SYNC_SILENCE_TIMEOUT (1000 * USEC_PER_MSEC)

/* Interval between new connections to a controller that stays silent. */
#define SYNC_RECONNECT_PERIOD (2 * USEC_PER_SEC)

/* A controller or entry host that sent nothing for this long counts as unreachable. */
#define SYNC_CONTACT_TIMEOUT (2 * USEC_PER_SEC)

/* While a confirmation is waited for, one controller is asked at this interval. */
#define SYNC_CONFIRM_REQUEST_PERIOD (50 * USEC_PER_MSEC)

/* A list of hosts that have lost pools counts for this long.  Controllers repeat it sooner. */
#define SYNC_REACH_LIST_TTL (5 * USEC_PER_SEC)

struct subscriber;

struct subscriber_listener
{
  const struct subscriber_listener_ops *ops;
};

struct subscriber_listener_ops
{
  /* A newer routing came into force; the previous one is valid until the call returns. */
  void (*routing) (struct subscriber_listener *listener,
                   const struct routing *routing,
                   int64_t now);
  void (*target) (struct subscriber_listener *listener,
                  struct registry_target *target,
                  int64_t now);

  /* The marks of evacuated targets have changed; each was reported by target() before.  May be
   * NULL. */
  void (*evacuated) (struct subscriber_listener *listener, int64_t now);
};

/* Embedded in its owner, which must cancel it before it is freed. */
struct subscriber_wait
{
  const struct subscriber_wait_ops *ops;
  struct subscriber_wait *prev;
  struct subscriber_wait *next;
  int64_t since; /* on the clock of `boottime`; 0 while not waiting */
};

struct subscriber_wait_ops
{
  /* A quorum confirmed after the wait began that the routing in force is the newest. */
  void (*confirmed) (struct subscriber_wait *wait, int64_t now);
};

struct subscriber_config
{
  struct sync_host self;
  const char *const *seeds; /* controllers' peer addresses */
  uint32_t n_seeds;
  struct peer_port *port;
  struct timer_service *timers;
  struct counters *counters;
  struct routing_codec *codec;
  struct subscriber_listener *listener;
  int64_t target_lease;   /* in us; a target without a renewal for this long gets no new work */
  int64_t ready_for;      /* in us; this host is ready for this long after a confirmation */
  int64_t outdated_after; /* in us; this host serves nothing once it has known of a newer
                             configuration for this long and does not hold it */
  int64_t (*boottime) (void);
};

/* Freed with `parent`.  NULL when out of memory. */
struct subscriber *subscriber_new (void *parent, const struct subscriber_config *config);

/* Replace the seeds. */
void subscriber_set_seeds (struct subscriber *subscriber,
                           const char (*seeds)[ROUTING_NAME_SIZE],
                           uint32_t n_seeds);

/* NULL until one is in force. */
const struct routing *subscriber_routing (const struct subscriber *subscriber);
struct registry *subscriber_registry (const struct subscriber *subscriber);

/* As registry_hear_leaving(), and reports the change to the listener. */
bool subscriber_hear_leaving (struct subscriber *subscriber,
                              struct registry_target *target,
                              int64_t now);

/* Time in us since the newest confirmed request was sent, on a clock that includes system suspend;
 * USEC_NEVER when none was confirmed since the start. */
int64_t subscriber_confirmation_age (const struct subscriber *subscriber);

/* Whether this host has known for too long of a configuration that is newer than its own. */
bool subscriber_is_outdated (const struct subscriber *subscriber);

/* Request a confirmation that is newer than this call, and call confirmed() once it arrives. */
void subscriber_wait_start (struct subscriber *subscriber,
                            struct subscriber_wait *wait,
                            int64_t now);

/* No effect while not waiting. */
void subscriber_wait_cancel (struct subscriber *subscriber, struct subscriber_wait *wait);

/* Whether clients may be sent to this host. */
bool subscriber_is_ready (const struct subscriber *subscriber);

const char *subscriber_domain (const struct subscriber *subscriber);
bool subscriber_is_self (const struct subscriber *subscriber, const struct sync_host *host);

/* Mark this host as leaving and notify the controllers at once. */
void subscriber_leave (struct subscriber *subscriber, int64_t now);

/* Store the names of the reachable controllers in `out` and return their count.  The names are
 * valid until the next message or timer is handled. */
uint32_t subscriber_list_controllers (const struct subscriber *subscriber,
                                      const char *out[SYNC_HOSTS_MAX]);

/* Whether each controller that is known can be reached, so that this host knows all targets that
 * any other host does. */
bool subscriber_reaches_all_controllers (const struct subscriber *subscriber);

/* Report the pools that this host has lost to the controllers: now, and while there are any with
 * each request. */
void subscriber_set_reach (struct subscriber *subscriber, const struct sync_reach *reach);

/* Whether a controller lists the host as one that has lost the pool. */
bool subscriber_has_lost (const struct subscriber *subscriber,
                          const char *host,
                          const char *pool,
                          int64_t now);

/* Whether there is another entry host that may reach the pool. */
bool subscriber_others_reach (struct subscriber *subscriber, const char *pool, int64_t now);

/* The entry hosts that may share work, including this one unless it is leaving.  Valid until the
 * next message or timer is handled. */
const struct host_view *subscriber_hosts (struct subscriber *subscriber);

/* The evacuated failure domains, as far as this host knows. */
const struct evacuation_view *subscriber_evacuations (const struct subscriber *subscriber);

/* Whether a controller has listed the entry hosts since the start.  If not, subscriber_hosts() has
 * this host alone. */
bool subscriber_knows_hosts (const struct subscriber *subscriber);

END_DECLS

#endif
