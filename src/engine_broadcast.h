/* Sends the events of this host's requests to model engines (started, began, ended) to the other
 * entry hosts, and applies those that they send. */
#ifndef ENGINE_BROADCAST_H
#define ENGINE_BROADCAST_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "engine_load.h"
#include "peer.h"
#include "subscriber.h"
#include "timer.h"

BEGIN_DECLS

/* Events are batched for this long: an estimate a few milliseconds old is as good, and a message
 * for each event would cost more than it is worth. */
#define ENGINE_BROADCAST_DELAY (15 * USEC_PER_MSEC)

/* Up to this many entry hosts, all events go to all hosts.  Beyond it only starts do, so that all
 * know which engine holds a shared part; beginnings and ends go to the hosts of the same failure
 * domain, as messages grow with the square of the number of hosts.  Hosts to which they are not
 * sent estimate them from the expected waits. */
#define ENGINE_BROADCAST_ALL_EVENTS_HOSTS_MAX 24

/* Up to this many entry hosts, a start goes to every host.  Beyond it a start goes to the hosts of
 * the same domain and to one host of each other domain, which relays it: sent to every host, starts
 * alone would be most of a host's work. */
#define ENGINE_BROADCAST_DIRECT_HOSTS_MAX 96

/* Starts to relay are batched for this long: one message then carries those of all hosts of other
 * domains.  Until the controllers announce that a relaying host has left or died, its domain misses
 * these starts, and its engines read some parts again. */
#define ENGINE_BROADCAST_RELAY_DELAY (30 * USEC_PER_MSEC)

struct engine_broadcast;

struct engine_broadcast_config
{
  struct engine_load *load;
  struct balance *balance; /* counts what other hosts start; NULL: nothing does */
  struct subscriber *subscriber;
  struct peer_port *port;
  struct timer_service *timers;
  struct counters *counters;
};

struct engine_broadcast *engine_broadcast_new (void *parent,
                                               const struct engine_broadcast_config *config);

/* Record an event in this host's estimate and send it to the other hosts. */
void engine_broadcast_started (struct engine_broadcast *broadcast,
                               uint64_t target,
                               uint64_t request,
                               const struct engine_prompt *prompt,
                               int64_t now);
void engine_broadcast_began (struct engine_broadcast *broadcast,
                             uint64_t target,
                             uint64_t request,
                             int64_t now);
void engine_broadcast_ended (struct engine_broadcast *broadcast,
                             uint64_t target,
                             uint64_t request,
                             int64_t now);

END_DECLS

#endif
