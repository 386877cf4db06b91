/* What the ends of runs show of the features of their requests.
 *
 * A run whose connection broke, or whose answer nothing but the end of its connection completes, is
 * kept until it is known whether its target crashed.  If it did, that is evidence against each of
 * its features; else an answer that looked complete was complete.
 *
 * A complete answer shows that the parts of its prompt crash no target.  They are not blamed for
 * crashes soon after it, so that a part which all prompts share is no suspect while targets crash
 * under another part. */
#ifndef QUARANTINE_EVIDENCE_H
#define QUARANTINE_EVIDENCE_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "loop.h"
#include "quarantine_control.h"
#include "registry.h"
#include "target_watch.h"

BEGIN_DECLS

/* Runs that broke, and such that ended with their connection, whose target's fate is not known
 * yet. */
#define QUARANTINE_PENDING_MAX 512

struct quarantine_evidence;

struct quarantine_evidence_config
{
  struct loop *loop;
  struct registry *registry;
  const struct balance *balance; /* the targets */
  struct quarantine_control *control;
  struct counters *counters;
};

/* Freed with `parent`, before the control.  NULL when memory is out. */
struct quarantine_evidence *quarantine_evidence_new (
    void *parent, const struct quarantine_evidence_config *config);

/* A run on a target that may have crashed. */
struct quarantine_run
{
  const struct request_feature *features; /* the first is its content */
  uint32_t n_features;
  const char *organisation;
  const char *route;
  const char *pool;
  int64_t from; /* the target crashed in this span, if it did */
  int64_t to;
};

/* A request to the pool whose prompt has these parts has had a complete answer: they crash no
 * target. */
void quarantine_evidence_parts_proven (struct quarantine_evidence *evidence,
                                       const char *pool,
                                       const struct request_feature *parts,
                                       uint32_t n_parts,
                                       int64_t now);

/* A request has had a complete answer, which clears its features. */
void quarantine_evidence_answer_completed (struct quarantine_evidence *evidence,
                                           const struct request_feature *features,
                                           uint32_t n_features,
                                           int64_t now);

/* The connection to the target broke during the run. */
void quarantine_evidence_connection_broke (struct quarantine_evidence *evidence,
                                           const struct balance_target *target,
                                           const struct quarantine_run *run,
                                           int64_t now);

/* The answer ended in order with its connection and nothing else: it is complete if the target
 * lives on. */
void quarantine_evidence_connection_ended (struct quarantine_evidence *evidence,
                                           const struct balance_target *target,
                                           const struct quarantine_run *run,
                                           int64_t now);

/* The target has begun an answer. */
void quarantine_evidence_target_answered (struct quarantine_evidence *evidence,
                                          const struct balance_target *target,
                                          int64_t now);

/* The target refused a connection. */
void quarantine_evidence_connection_refused (struct quarantine_evidence *evidence,
                                             const struct balance_target *target,
                                             int64_t now);

/* Crashes up to this time are no evidence against the feature. */
int64_t quarantine_evidence_cleared_until (const struct quarantine_evidence *evidence,
                                           const struct request_digest *feature);

enum proven_pool quarantine_evidence_pool (const struct quarantine_evidence *evidence,
                                           const char *pool,
                                           int64_t now);

/* Whether the fate of some run's target is not known yet. */
bool quarantine_evidence_is_pending (const struct quarantine_evidence *evidence);

/* The watch that finds out whether targets ended when connections to them broke. */
struct target_watch *quarantine_evidence_watch (struct quarantine_evidence *evidence);

END_DECLS

#endif
