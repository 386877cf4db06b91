/* Table of what crashes targets: features of requests, that is, their whole content or single parts
 * of their prompts, whose runs crash the targets that execute them, with the evidence against each
 * and the verdict that follows from it.
 *
 * A crash is the end of an incarnation, for whatever reason, while it ran a request with the
 * feature.
 *
 * Load pattern: requests with one feature come at any host, and each run crashes a target and fails
 * everything else that runs there.  Every feature of every request that ran on a target when it
 * crashed becomes a suspect.  A complete answer clears a suspect, so that only the feature that is
 * present at every crash stays one.  Where parts are present at the same crashes as others, one
 * explains those of the others: a request is refused only for crashes that nothing explains which
 * it does not have.
 *
 * The evidence against a feature is a set of crashes, each valid or retracted.  Sets may be merged
 * in any order, any number of times, and the verdict is a function of the set.  Only crashes that
 * cannot share one cause are counted separately: several targets that lose power together count
 * once.
 *
 * Pure: time is passed in. */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include "decls.h"
#include "proven_parts.h"
#include "request_digest.h"
#include "routing.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* Requests with a feature are not sent any more once this many of its crashes are counted. */
#define QUARANTINE_CRASH_THRESHOLD 3

/* A feature whose crashes another one explains is held all the same from this many on. */
#define QUARANTINE_EXPLAINED_CRASHES_MAX 6

/* Where this host sees a pool answer nothing, it refuses no part of its prompts while more of them
 * than this are held: its targets crash under anything. */
#define QUARANTINE_HELD_PARTS_MAX 8

/* Crashes stored per feature, retracted ones included. */
#define QUARANTINE_CRASHES_MAX 8

/* Suspects of one kind: whole requests, or parts. */
#define QUARANTINE_SUSPECTS_MAX 512

/* Suspects of one kind per organisation, so that one that sends invented requests cannot evict the
 * suspects of others. */
#define QUARANTINE_ORGANISATION_SUSPECTS_MAX 64

/* A suspect that no client has sent for this long is dropped. */
#define QUARANTINE_SUSPECT_TTL (3600 * USEC_PER_SEC)

/* Crashes within this span may share one cause if runs of the request were in flight on all of
 * these targets. */
#define QUARANTINE_COMMON_CAUSE_SPAN (200 * USEC_PER_MSEC)

/* Tolerated difference between the timestamps of two hosts when deciding whether one run began
 * after another one had finished. */
#define QUARANTINE_CLOCK_TOLERANCE (20 * USEC_PER_MSEC)

/* Crashes further apart than this are not counted together: a request that is sent all day is in
 * flight on some target whenever one crashes. */
#define QUARANTINE_WINDOW (600 * USEC_PER_SEC)

/* A request that is not sent any more is tried again this long after its last crash, and once more
 * this long after that trial: it may only have run beside a poison request. */
#define QUARANTINE_FIRST_TRIAL_DELAY (10 * USEC_PER_SEC)
#define QUARANTINE_SECOND_TRIAL_DELAY (600 * USEC_PER_SEC)
#define QUARANTINE_TRIALS_MAX 2

/* A crash of the incarnation while it ran a request with the feature.  The cause lies between
 * `from` and `to`, and within the run. */
struct quarantine_crash
{
  uint64_t incarnation;
  int64_t from;
  int64_t to;
  bool retracted; /* the incarnation lives, or a complete answer followed */
};

/* A feature and the evidence against it. */
struct quarantine_suspect
{
  struct request_digest digest;
  char organisation[ROUTING_NAME_SIZE]; /* whose request had it first */
  char route[ROUTING_NAME_SIZE];        /* by which it first came; for display only */
  int64_t last_seen;                    /* last known time at which a client sent it */
  int64_t last_trial;                   /* time of the last trial; 0 if this host knows of none */
  uint32_t n_trials;
  uint32_t n_crashes;
  struct quarantine_crash crashes[QUARANTINE_CRASHES_MAX];

  /* Local, not replicated. */
  uint32_t n_running;     /* runs in flight on this host */
  int64_t last_announced; /* last time it was announced to other hosts */
  bool announce_due;
};

struct quarantine;

/* Freed with `parent`.  NULL when memory is out. */
struct quarantine *quarantine_new (void *parent);

/* True if nothing is suspected; then a request need not be digested. */
bool quarantine_is_empty (const struct quarantine *quarantine);

/* Merges the evidence in `from`; true if any of it was new.  `out` receives the resulting suspect,
 * valid until the next call that modifies the table, or NULL if `from` is older than
 * QUARANTINE_SUSPECT_TTL or there is no room. */
bool quarantine_merge (struct quarantine *quarantine,
                       const struct quarantine_suspect *from,
                       int64_t now,
                       struct quarantine_suspect **out);

/* NULL if the request is not suspected. */
struct quarantine_suspect *quarantine_find (struct quarantine *quarantine,
                                            const struct request_digest *digest);

/* The suspects by index from 0; NULL past the last one. */
struct quarantine_suspect *quarantine_at (struct quarantine *quarantine, uint32_t place);

/* Number of crashes that cannot share one cause and lie within one QUARANTINE_WINDOW.  A number
 * below QUARANTINE_CRASH_THRESHOLD expires QUARANTINE_WINDOW after the first of its crashes. */
uint32_t quarantine_count_crashes (const struct quarantine_suspect *suspect, int64_t now);

/* name, text */
#define QUARANTINE_VERDICT_LIST(X)                                                                 \
  X (PASS, "not suspected")                                                                        \
  X (ISOLATE, "where it hurts least")                                                              \
  X (WAIT, "one at a time")                                                                        \
  X (REFUSE, "not to be sent")                                                                     \
  X (TRIAL, "another try")

enum quarantine_verdict
{
#define X(name, text) QUARANTINE_##name,
  QUARANTINE_VERDICT_LIST (X)
#undef X
      QUARANTINE_VERDICT_COUNT
};

const char *quarantine_verdict_text (enum quarantine_verdict verdict);

/* Whether and how a request may be sent now of which this is the only suspected feature.
 * `is_trial_host`: this host makes its trials.  WAIT: not while another run of it is in flight.
 * NULL stands for a feature that is not suspected. */
enum quarantine_verdict quarantine_get_verdict (const struct quarantine_suspect *suspect,
                                                bool is_trial_host,
                                                int64_t now);

/* What the host that judges knows besides the table. */
struct quarantine_view
{
  const struct quarantine_view_ops *ops;
};

struct quarantine_view_ops
{
  /* Crashes up to this time are no evidence against the feature. */
  int64_t (*cleared_until) (struct quarantine_view *view, const struct request_digest *feature);

  enum proven_pool (*pool) (struct quarantine_view *view, const char *pool, int64_t now);

  /* Whether this host makes the trials of the feature. */
  bool (*is_trial_host) (struct quarantine_view *view, const struct request_digest *feature);
};

struct quarantine_judgement
{
  enum quarantine_verdict verdict;
  const struct quarantine_suspect *suspect; /* what decided it; NULL for PASS */
  uint32_t n_crashes;                       /* that count against that */
};

/* Whether and how a request with these features may be sent to the pool now.  The suspect stays
 * valid until the next call that modifies the table. */
struct quarantine_judgement quarantine_judge (struct quarantine *quarantine,
                                              const struct request_feature *features,
                                              uint32_t n_features,
                                              const char *pool,
                                              struct quarantine_view *view,
                                              int64_t now);

/* The time of its newest crash or trial. */
int64_t quarantine_last_event (const struct quarantine_suspect *suspect);

/* Retracts all crashes of a request; false if none was valid. */
bool quarantine_clear (struct quarantine_suspect *suspect);

/* Retracts the crashes up to a time; false if none was valid. */
bool quarantine_retract_until (struct quarantine_suspect *suspect, int64_t until);

/* The incarnation was alive at `alive`: retracts its crash unless that is later; false if nothing
 * changed. */
bool quarantine_retract (struct quarantine_suspect *suspect, uint64_t incarnation, int64_t alive);

/* Drops suspects that expired or whose crashes no longer count. */
void quarantine_expire (struct quarantine *quarantine, int64_t now);

/* Whether entry hosts need to know of it.  When a host of targets loses power, hundreds of
 * requests get one crash each; only controllers, which receive all crashes, need those. */
bool quarantine_is_shared (const struct quarantine_suspect *suspect);

/* Order-independent hash of the valid crashes and the trials of suspects with a count of 2 or
 * more, equal for tables that agree on them. */
uint64_t quarantine_summary (const struct quarantine *quarantine, int64_t now);

END_DECLS

#endif
