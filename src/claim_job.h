/* One claim operation of this host in the replicated log: its steps, retries and answers. */
#ifndef CLAIM_JOB_H
#define CLAIM_JOB_H

#include "claim_entry.h"
#include "claim_log.h"
#include "decls.h"
#include <uthash.h>

BEGIN_DECLS

#define CLAIM_EPOCH_SHIFT 8 /* 2^8 epochs an incarnation; each time declared dead uses one */

/* The entry that a job proposes, or what it waits for. */
enum job_step
{
  JOB_ACQUIRE,       /* until answered or the deadline passes */
  JOB_DECLARE_DEAD,  /* declares the holder dead, then acquires again */
  JOB_HELD,          /* granted: waits for settle() or release() */
  JOB_SETTLE,        /* until applied */
  JOB_RELEASE,       /* until applied, then done */
  JOB_RENEW_EPOCH,   /* releases under the fenced epoch, then acquires under a new one */
  JOB_ANNOUNCE_START /* announces the start of this process to a group */
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
  struct claim_waiter *settle_waiter; /* notified when the settle is applied; NULL for none */
  struct consensus *group;
  enum job_step step;
  bool proposed;          /* done() is pending */
  bool may_be_held;       /* an acquire was proposed: it may have been granted */
  bool acquire_timed_out; /* an acquire failed or timed out: it may still be applied */
  bool in_granted_table;  /* in the hash table of granted claims */
  int64_t deadline;
  int64_t retry_delay;
  struct claim_entry entry; /* of the acquire; settle() and pack_step() fill in the rest */
  struct claim_holder dead_holder;
  char *body; /* of the settle; owned by the job */
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
  uint64_t last_acquire_id;
  int64_t started_at;
  struct counter *verdicts[CLAIM_VERDICT_COUNT];
  struct counter *settled;
  struct counter *retries;
};

struct claim_job *claim_job_add (struct claim_log *log,
                                 enum job_step step,
                                 struct consensus *group);
void claim_job_set_step (struct claim_job *job, enum job_step step);

/* Propose the entry of the job's step; its result moves the job to the next step. */
void claim_job_propose (struct claim_job *job, int64_t now);

/* Release the claim, whether it is granted already or by a late entry. */
void claim_job_release (struct claim_job *job, int64_t now);
void claim_job_end (struct claim_job *job);

/* A granted claim of this host by its key; NULL when there is none. */
struct claim_job *claim_job_find_granted (const struct claim_log *log,
                                          const uint8_t key[CLAIM_KEY_SIZE]);
void claim_job_remove_granted (struct claim_job *job);

END_DECLS

#endif
