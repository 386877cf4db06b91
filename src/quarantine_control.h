/* Replicates the table of suspects over the peer channel.  Entry hosts and controllers
 * each hold a copy.
 *
 * A host sends new evidence to all controllers; one of them relays it to all entry hosts if these
 * need it.
 *
 * A host that has seen a suspect answered completely retracts the crashes that this refutes as soon
 * as it is told of them: a part that many requests share is known to be sound at some host.
 *
 * Anti-entropy: each QUARANTINE_COMPARE_PERIOD an entry host compares its table with that of one
 * controller, in turn.  This repairs lost messages and fills the table of a host that starts or
 * was cut off.  A host that reaches the controllers thus knows what any other host has known for
 * QUARANTINE_COMPARE_PERIOD plus two message delays, or that time again for each controller asked
 * that did not know it. */
#ifndef QUARANTINE_CONTROL_H
#define QUARANTINE_CONTROL_H

#include "counter.h"
#include "decls.h"
#include "peer.h"
#include "quarantine.h"
#include "sync.h"
#include "timer.h"
#include <jansson.h>

BEGIN_DECLS

#define QUARANTINE_COMPARE_PERIOD (1000 * USEC_PER_MSEC)

/* Delay of an announcement, so that one message carries all that ran on a target. */
#define QUARANTINE_ANNOUNCE_DELAY (5 * USEC_PER_MSEC)

/* Period until a first controller is reached. */
#define QUARANTINE_COMPARE_RETRY_PERIOD (100 * USEC_PER_MSEC)

/* Recipients: on an entry host the controllers, those it reaches first; on a controller the entry
 * hosts. */
struct quarantine_peers
{
  const struct quarantine_peers_ops *ops;
};

struct quarantine_peers_ops
{
  /* Returns the number of names, which stay valid until the next message or timer is handled. */
  uint32_t (*list) (struct quarantine_peers *peers, const char *out[SYNC_HOSTS_MAX], int64_t now);
};

struct quarantine_control_config
{
  struct quarantine_peers *peers;
  bool is_entry;                /* compares its table; else a controller, which relays */
  struct quarantine_view *view; /* what this host knows besides; NULL for nothing */
  struct peer_port *port;
  struct timer_service *timers;
  struct counters *counters;
};

struct quarantine_control;

/* Listens on PEER_CHANNEL_QUARANTINE.  Freed with `parent`.  NULL when memory is out. */
struct quarantine_control *quarantine_control_new (void *parent,
                                                   const struct quarantine_control_config *config);

struct quarantine *quarantine_control_table (struct quarantine_control *control);

/* Merges evidence of this host and announces it if any of it is new. */
void quarantine_control_learn (struct quarantine_control *control,
                               const struct quarantine_suspect *learnt,
                               int64_t now);

/* Schedules an announcement of the suspect after QUARANTINE_ANNOUNCE_DELAY. */
void quarantine_control_announce (struct quarantine_control *control,
                                  struct quarantine_suspect *suspect,
                                  int64_t now);

/* Retract all crashes of a feature, or the crashes of an incarnation that was alive at `alive`
 * unless they are later, and announce the change.  `why` is logged. */
void quarantine_control_clear (struct quarantine_control *control,
                               const struct request_digest *digest,
                               const char *why,
                               int64_t now);
void quarantine_control_retract (struct quarantine_control *control,
                                 uint64_t incarnation,
                                 int64_t alive,
                                 const char *why,
                                 int64_t now);

/* The table as JSON, for the state dump. */
json_t *quarantine_control_describe (struct quarantine_control *control, int64_t now);

END_DECLS

#endif
