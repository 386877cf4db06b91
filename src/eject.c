/* Circuit breaker of one target. */
#include "eject.h"
#include "usec.h"

#define FAILURES_TO_EJECT 3
#define EJECTION_MIN (2 * USEC_PER_SEC)
#define DOUBLINGS_MAX 4 /* 32 seconds at most */

enum eject_state
eject_state (const struct eject *eject, int64_t now)
{
  if (eject->until == 0)
    return EJECT_IN_USE;
  if (now < eject->until || eject->probing)
    return EJECT_EJECTED;
  return EJECT_PROBE;
}

void
eject_attempt_started (struct eject *eject, int64_t now)
{
  if (eject_state (eject, now) == EJECT_PROBE)
    eject->probing = true;
}

void
eject_attempt_succeeded (struct eject *eject)
{
  *eject = (struct eject){ .until = 0 };
}

static void
start_ejection (struct eject *eject, int64_t now)
{
  uint32_t doublings = eject->n_ejections < DOUBLINGS_MAX ? eject->n_ejections : DOUBLINGS_MAX;

  eject->until = now + (EJECTION_MIN << doublings);
  eject->n_ejections++;
  eject->probing = false;
  eject->failures = 0;
}

bool
eject_attempt_failed (struct eject *eject, uint32_t weight, bool may_eject, int64_t now)
{
  if (eject->until != 0)
    {
      /* Only a failed probe counts, not attempts started before the ejection. */
      if (eject->probing)
        start_ejection (eject, now);
      return false;
    }
  eject->failures += weight;
  if (eject->failures < FAILURES_TO_EJECT || !may_eject)
    return false;
  start_ejection (eject, now);
  return true;
}

void
eject_attempt_cancelled (struct eject *eject)
{
  eject->probing = false;
}
