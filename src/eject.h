/* Circuit breaker of one target: ejection of a target that fails, answers wrongly or hangs.
 *
 * Consecutive failures eject the target for a time that doubles with each ejection.  Then one
 * attempt at a time probes it, and a complete answer ends the ejection.  The caller limits how many
 * targets of a pool are ejected at once. */
#ifndef EJECT_H
#define EJECT_H

#include "decls.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

struct eject
{
  int64_t until;        /* end of the ejection; 0 while in use */
  uint32_t failures;    /* consecutive */
  uint32_t n_ejections; /* ejections since the last complete answer */
  bool probing;         /* a probe is in flight */
};

enum eject_state
{
  EJECT_IN_USE,
  EJECT_EJECTED, /* no attempts */
  EJECT_PROBE,   /* one attempt may be sent as a probe */
};

enum eject_state eject_state (const struct eject *eject, int64_t now);

/* Records the start of an attempt, which is the probe when the ejection time is over. */
void eject_attempt_started (struct eject *eject, int64_t now);
void eject_attempt_succeeded (struct eject *eject);

/* Records a failure that counts `weight` times.  `may_eject`: the pool's bound allows another
 * ejection.  True when this failure ejected the target; false for a failed probe. */
bool eject_attempt_failed (struct eject *eject, uint32_t weight, bool may_eject, int64_t now);

/* Records the end of an attempt without a result (cancelled by us). */
void eject_attempt_cancelled (struct eject *eject);

END_DECLS

#endif
