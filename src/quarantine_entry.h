/* Quarantine on an entry host: what may be sent to targets. */
#ifndef QUARANTINE_ENTRY_H
#define QUARANTINE_ENTRY_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "loop.h"
#include "peer.h"
#include "quarantine_evidence.h"
#include "subscriber.h"

BEGIN_DECLS

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

/* Verdict on a request that a client sends, named by `id` in the log.  QUARANTINE_TRIAL is returned
 * once and recorded as a trial of all its held features. */
enum quarantine_verdict quarantine_entry_admit (struct quarantine_entry *entry,
                                                const char *id,
                                                const struct request_feature *features,
                                                uint32_t n_features,
                                                const char *pool,
                                                int64_t now);

/* Verdict on a request that was admitted, just before it is sent to a target. */
enum quarantine_verdict quarantine_entry_get_verdict (struct quarantine_entry *entry,
                                                      const struct request_feature *features,
                                                      uint32_t n_features,
                                                      const char *pool,
                                                      int64_t now);

/* Count a run in and out with each feature that is suspected when it starts. */
void quarantine_entry_run_started (struct quarantine_entry *entry,
                                   struct request_feature *features,
                                   uint32_t n_features);
void quarantine_entry_run_finished (struct quarantine_entry *entry,
                                    struct request_feature *features,
                                    uint32_t n_features);

/* What the ends of runs show. */
struct quarantine_evidence *quarantine_entry_evidence (struct quarantine_entry *entry);

/* The replicated table. */
struct quarantine_control *quarantine_entry_control (struct quarantine_entry *entry);

END_DECLS

#endif
