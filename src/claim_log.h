/* Claims of this host over the replicated log.
 *
 * A take is repeated until it is answered or its deadline comes; one that was given up is released,
 * should it be in the log or still on its way.  A settle is repeated until it is in the log.  A
 * take that finds the claim in flight looks again until its deadline, so that the resend gets the
 * first run's answer; where the holder is known to be gone it says so in the log, and the claim
 * then reads as unknown. */
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
  /* A claim belongs to the group that its key's hash names.  The same groups in the same order on
   * every host. */
  struct consensus *groups[CLAIM_LOG_GROUPS_MAX];
  uint32_t n_groups;
  struct board *board; /* tells which holders are gone */
  struct timer_service *timers;
  struct counters *counters;
  struct dump *dump;
  const char *host;       /* our name, */
  uint64_t incarnation;   /* and that of this process: grows at each start, below 2^55 */
  int64_t wall_offset_ms; /* wall clock minus monotonic clock at the start */
  int64_t retention;      /* USEC */
  uint32_t answer_bytes;  /* a bigger answer is kept as an outcome without its body */
};

/* Freed with `parent`.  NULL when memory is out. */
struct claim_log *claim_log_new (void *parent, const struct claim_log_config *config, int64_t now);

/* The interface of the request path. */
struct claims *claim_log_claims (struct claim_log *log);

/* Takes, settles and releases not yet in the log: a shutdown waits for these. */
uint32_t claim_log_pending (const struct claim_log *log);

END_DECLS

#endif
