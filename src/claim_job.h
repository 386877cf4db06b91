/* One claim of this host on its way through the log: its steps, repeats and answers. */
#ifndef CLAIM_JOB_H
#define CLAIM_JOB_H

#include "claim_entry.h"
#include "claim_log.h"
#include "decls.h"
#include <uthash.h>

BEGIN_DECLS

#define CLAIM_EPOCH_SHIFT 8 /* an incarnation's epochs: 256 times declared dead at most */

/* What a job is about to have applied, or waits for. */
enum job_step
{
  JOB_TAKE,    /* until answered */
  JOB_GONE,    /* says that the holder is dead, then takes again */
  JOB_HELD,    /* granted: waits for settle or release */
  JOB_SETTLE,  /* until applied */
  JOB_RELEASE, /* until applied, then done */
  JOB_REFRESH, /* a release under an epoch that is over, then takes again under the new one */
  JOB_STARTED  /* tells a group that this process began */
};

struct claim_job
{
  struct claim_log *log;
  struct claim_job *prev;
  struct claim_job *next;
  UT_hash_handle hh; /* by key, while granted */
  struct proposal proposal;
  struct timer timer;
  struct claim_waiter *waiter;        /* NULL once answered or withdrawn */
  struct claim_waiter *settle_waiter; /* told when the settle is in the log; NULL for none */
  struct consensus *group;
  enum job_step step;
  bool proposed;   /* done() will come */
  bool maybe_held; /* a take of ours was proposed */
  bool uncertain;  /* a take of ours timed out: it may be in the log yet */
  bool listed;     /* in the table of granted claims */
  int64_t deadline;
  int64_t pause;
  struct claim_entry entry; /* of the take; op and more are set as the step needs */
  struct claim_holder gone;
  char *body; /* of the settle */
};

struct claim_log
{
  struct claims claims;
  struct claim_log_config config;
  struct dump_source source;
  struct claim_job *jobs;
  struct claim_job *granted; /* by key */
  uint32_t pending;          /* jobs that are not JOB_HELD */
  uint64_t epoch;
  uint64_t last_take;
  int64_t started_at;
  struct counter *verdicts[CLAIM_VERDICT_COUNT];
  struct counter *settled;
  struct counter *repeats;
};

struct claim_job *claim_job_add (struct claim_log *log,
                                 enum job_step step,
                                 struct consensus *group);
void claim_job_set_step (struct claim_job *job, enum job_step step);

/* Propose the entry of the job's step, and go on from its answer. */
void claim_job_propose (struct claim_job *job, int64_t now);

/* Give the claim back, if it is or will be ours. */
void claim_job_release (struct claim_job *job, int64_t now);
void claim_job_end (struct claim_job *job);

/* The granted claims are found by key. */
struct claim_job *claim_job_find_granted (const struct claim_log *log,
                                          const uint8_t key[CLAIM_KEY_SIZE]);
void claim_job_unlist (struct claim_job *job);

END_DECLS

#endif
