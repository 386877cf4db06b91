/* Quarantine on an entry host: which requests broke, whether their targets crashed, and what may
 * be sent. */
#ifndef QUARANTINE_ENTRY_H
#define QUARANTINE_ENTRY_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "loop.h"
#include "peer.h"
#include "quarantine_control.h"
#include "subscriber.h"
#include "target_watch.h"

BEGIN_DECLS

/* Broken requests whose target's fate is not known yet. */
#define QUARANTINE_PENDING_MAX 256

struct quarantine_entry;

struct quarantine_entry_config
{
  struct loop *loop;
  const struct balance *balance; /* the targets */
  struct subscriber *subscriber;
  struct peer_port *port;
  struct counters *counters;
};

/* Freed with `parent`.  NULL when memory is out. */
struct quarantine_entry *quarantine_entry_new (void *parent,
                                               const struct quarantine_entry_config *config);

/* A request need not be digested while nothing is suspected. */
bool quarantine_entry_is_empty (const struct quarantine_entry *entry);

/* Verdict on a request that a client sends.  QUARANTINE_TRIAL is returned once and recorded as a
 * trial. */
enum quarantine_verdict quarantine_entry_admit (struct quarantine_entry *entry,
                                                const struct request_digest *digest,
                                                int64_t now);

/* Verdict on a request that was admitted, just before it is sent to a target. */
enum quarantine_verdict quarantine_entry_get_verdict (const struct quarantine_entry *entry,
                                                      const struct request_digest *digest,
                                                      int64_t now);

/* Count a run in and out.  False: the request is not suspected, and
 * quarantine_entry_run_finished() need not be called. */
bool quarantine_entry_run_started (struct quarantine_entry *entry,
                                   const struct request_digest *digest);
void quarantine_entry_run_finished (struct quarantine_entry *entry,
                                    const struct request_digest *digest);

/* The request has had a complete answer, which clears it also of breaks whose target's fate is not
 * known yet. */
void quarantine_entry_answer_completed (struct quarantine_entry *entry,
                                        const struct request_digest *digest,
                                        int64_t now);

/* The connection to the target broke while it ran `suspect`, which has one crash: the span in
 * which the target ended, if it did. */
void quarantine_entry_connection_broke (struct quarantine_entry *entry,
                                        const struct balance_target *target,
                                        const struct quarantine_suspect *suspect,
                                        int64_t now);

/* The watch that finds out whether targets ended when connections to them broke. */
struct target_watch *quarantine_entry_watch (struct quarantine_entry *entry);

/* The replicated table. */
struct quarantine_control *quarantine_entry_control (struct quarantine_entry *entry);

END_DECLS

#endif
