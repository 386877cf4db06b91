/* Circuit breaker of one target. */
#include "eject.h"
#include "usec.h"

#define FAILURES_TO_EJECT 3
#define FIRST_SPAN (2 * USEC_PER_SEC)
#define DOUBLINGS_MAX 4 /* 32 seconds at most */

enum eject_state
eject_state (const struct eject *eject, int64_t now)
{
  if (eject->until == 0)
    return EJECT_IN_USE;
  if (now < eject->until || eject->probing)
    return EJECT_OUT;
  return EJECT_PROBE;
}

void
eject_started (struct eject *eject, int64_t now)
{
  if (eject_state (eject, now) == EJECT_PROBE)
    eject->probing = true;
}

void
eject_success (struct eject *eject)
{
  *eject = (struct eject){ .until = 0 };
}

static void
put_out (struct eject *eject, int64_t now)
{
  uint32_t doublings = eject->times < DOUBLINGS_MAX ? eject->times : DOUBLINGS_MAX;

  eject->until = now + (FIRST_SPAN << doublings);
  eject->times++;
  eject->probing = false;
  eject->failures = 0;
}

bool
eject_failure (struct eject *eject, uint32_t weight, bool may_eject, int64_t now)
{
  if (eject->until != 0)
    {
      /* Only a failed probe counts, not attempts started before the ejection. */
      if (eject->probing)
        put_out (eject, now);
      return false;
    }
  eject->failures += weight;
  if (eject->failures < FAILURES_TO_EJECT || !may_eject)
    return false;
  put_out (eject, now);
  return true;
}

void
eject_neutral (struct eject *eject)
{
  eject->probing = false;
}
