/* Claims of this host over the replicated log.
 *
 * An acquire is retried until it is answered or its deadline passes.  One that timed out is
 * released, since its entry may be in the log or still be applied.  A settle is retried until it is
 * applied.  An acquire that finds the claim in flight polls until its deadline, so that a resend
 * gets the first run's answer.  If the holder is known to be dead, a log entry declares it dead,
 * and the claim then reads as unknown. */
#ifndef CLAIM_LOG_H
#define CLAIM_LOG_H

#include "board.h"
#include "claim.h"
#include "consensus.h"
#include "counter.h"
#include "decls.h"
#include "dump.h"
#include "timer.h"

BEGIN_DECLS

#define CLAIM_LOG_GROUPS_MAX 64

struct claim_log;

struct claim_log_config
{
  /* The hash of a claim's key selects its group, so every host must have the same groups in the
   * same order. */
  struct consensus *groups[CLAIM_LOG_GROUPS_MAX];
  uint32_t n_groups;
  struct board *board; /* shows which holders are dead */
  struct timer_service *timers;
  struct counters *counters;
  struct dump *dump;
  const char *host;       /* name of this host */
  uint64_t incarnation;   /* of this process: increases at each start, below 2^55 */
  int64_t wall_offset_ms; /* wall clock minus monotonic clock at the start */
  int64_t retention;      /* USEC */
  uint32_t answer_bytes;  /* of a larger answer only the outcome is stored */
};

/* Freed with `parent`.  NULL when out of memory. */
struct claim_log *claim_log_new (void *parent, const struct claim_log_config *config, int64_t now);

/* The interface of the request path. */
struct claims *claim_log_claims (struct claim_log *log);

/* The number of acquires, settles and releases not yet applied; a shutdown waits for these. */
uint32_t claim_log_pending (const struct claim_log *log);

END_DECLS

#endif
