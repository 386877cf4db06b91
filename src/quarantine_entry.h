/* An entry host's part in keeping requests from targets that they would end: what broke, whether
 * its target ended, and what may be sent. */
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

/* Broken requests whose targets' fate is not known yet. */
#define QUARANTINE_PENDING_MAX 256

struct quarantine_entry;

struct quarantine_entry_config
{
  struct loop *loop;
  struct subscriber *subscriber;
  struct peer_port *port;
  struct counters *counters;
};

/* Freed with `parent`.  NULL when memory is out. */
struct quarantine_entry *quarantine_entry_new (void *parent,
                                               const struct quarantine_entry_config *config);

/* Where nothing is suspected no request need be digested. */
bool quarantine_entry_is_empty (const struct quarantine_entry *entry);

/* A client sends it now: may it go to a target?  TRY is given once, and counts. */
enum quarantine_verdict quarantine_entry_judge (struct quarantine_entry *entry,
                                                const struct request_digest *digest,
                                                int64_t now);

/* The same of one that was let in, as it goes to a target. */
enum quarantine_verdict quarantine_entry_judge_again (const struct quarantine_entry *entry,
                                                      const struct request_digest *digest,
                                                      int64_t now);

/* A run of it begins, and is over.  False: it is not suspected, and its end need not be told. */
bool quarantine_entry_began (struct quarantine_entry *entry, const struct request_digest *digest);
void quarantine_entry_over (struct quarantine_entry *entry, const struct request_digest *digest);

/* It has had a whole answer, which clears it of breaks whose fate is not known yet, too. */
void quarantine_entry_whole (struct quarantine_entry *entry,
                             const struct request_digest *digest,
                             int64_t now);

/* The connection to the target broke while it ran `suspect`, which has one end: the span in which
 * the target ended, if it did. */
void quarantine_entry_broke (struct quarantine_entry *entry,
                             const struct balance_target *target,
                             const struct quarantine_suspect *suspect,
                             int64_t now);

/* Whether targets ended when connections to them broke. */
struct target_watch *quarantine_entry_watch (struct quarantine_entry *entry);

/* What it knows, and tells others. */
struct quarantine_control *quarantine_entry_control (struct quarantine_entry *entry);

END_DECLS

#endif
