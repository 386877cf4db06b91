/* Wires the table of suspected requests to the peer channel: entry hosts and controllers each hold
 * one, and what one learns all know.
 *
 * A host that learns something tells all controllers; one of them passes it on to all entry hosts,
 * where it is worth telling.
 * Each entry host compares its table with that of one controller each QUARANTINE_COMPARE, in turn,
 * which makes good what was lost and gives a host that starts, or was cut off, all there is.  So a
 * host that reaches the controllers knows what any other has known for QUARANTINE_COMPARE and the
 * time of two messages, or that time again for each controller asked that did not know. */
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

#define QUARANTINE_COMPARE (1000 * USEC_PER_MSEC)

/* News wait so long for more: all that ran on a target is told of at once. */
#define QUARANTINE_TELL (5 * USEC_PER_MSEC)

/* Until a first controller is reached. */
#define QUARANTINE_COMPARE_FIRST (100 * USEC_PER_MSEC)

/* Who is told: an entry host's controllers, those it reaches first; a controller's entry hosts. */
struct quarantine_peers
{
  const struct quarantine_peers_ops *ops;
};

struct quarantine_peers_ops
{
  /* The count of names, which live until the next message or timer is handled. */
  uint32_t (*list) (struct quarantine_peers *peers, const char *out[SYNC_HOSTS_MAX], int64_t now);
};

struct quarantine_control_config
{
  struct quarantine_peers *peers;
  bool is_entry; /* compares its table; else a controller, which passes on */
  struct peer_port *port;
  struct timer_service *timers;
  struct counters *counters;
};

struct quarantine_control;

/* Listens on its channel.  Freed with `parent`.  NULL when memory is out. */
struct quarantine_control *quarantine_control_new (void *parent,
                                                   const struct quarantine_control_config *config);

struct quarantine *quarantine_control_table (struct quarantine_control *control);

/* Take in what was learnt here; others are told where it is new. */
void quarantine_control_learn (struct quarantine_control *control,
                               const struct quarantine_suspect *learnt,
                               int64_t now);

/* Others are told of the suspect soon. */
void quarantine_control_tell (struct quarantine_control *control,
                              struct quarantine_suspect *suspect,
                              int64_t now);

/* Ends of a request are taken back, or those of an incarnation that lived at `alive`, where they
 * are before that. */
void quarantine_control_clear (struct quarantine_control *control,
                               const struct request_digest *digest,
                               const char *why,
                               int64_t now);
void quarantine_control_take_back (struct quarantine_control *control,
                                   uint64_t incarnation,
                                   int64_t alive,
                                   const char *why,
                                   int64_t now);

/* The table, for the dump. */
json_t *quarantine_control_describe (struct quarantine_control *control, int64_t now);

END_DECLS

#endif
