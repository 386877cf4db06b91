/* Ejection of a target that fails, answers wrongly or hangs, and its probing.
 *
 * Consecutive failures eject it for a while that doubles with each ejection; then one attempt at a
 * time probes it, and a whole answer brings it back.  How many of a pool may be out at once is the
 * caller's to bound. */
#ifndef EJECT_H
#define EJECT_H

#include "decls.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

struct eject
{
  int64_t until;     /* ejected until then; 0 while in use */
  uint32_t failures; /* in a row */
  uint32_t times;    /* ejected in a row, without a whole answer between */
  bool probing;      /* one attempt is out to see whether it is back */
};

enum eject_state
{
  EJECT_IN_USE,
  EJECT_OUT,   /* no attempts */
  EJECT_PROBE, /* one attempt may be sent */
};

enum eject_state eject_state (const struct eject *eject, int64_t now);

/* An attempt was started; it is the probe when the target was due for one. */
void eject_started (struct eject *eject, int64_t now);
void eject_success (struct eject *eject);

/* `may_eject` says whether the pool's bound leaves room; true when this failure ejected it. */
bool eject_failure (struct eject *eject, uint32_t weight, bool may_eject, int64_t now);

/* An attempt ended without saying anything of the target (cancelled by us). */
void eject_neutral (struct eject *eject);

END_DECLS

#endif
