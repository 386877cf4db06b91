/* Targets that asked this host for a backoff. */
#include "balance.h"
#include "log.h"
#include <jansson.h>

void
balance_heard_backoff (struct balance *balance,
                       struct balance_target *target,
                       int64_t span,
                       int64_t now)
{
  int64_t until = now + (span < balance->backoff_max ? span : balance->backoff_max);

  if (until > target->backoff_until)
    target->backoff_until = until;
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "target-backoff", "{s:s,s:s,s:s,s:I,s:I,s:i}",
             "target", target->id, "pool", target->pool, "address", target->address, "asked_ms",
             (json_int_t) (span / USEC_PER_MSEC), "left_ms",
             (json_int_t) ((target->backoff_until - now) / USEC_PER_MSEC), "in_flight",
             (int) target->in_flight);
}

int64_t
balance_backoff_left (const struct balance_target *target, int64_t now)
{
  return target->backoff_until > now ? target->backoff_until - now : 0;
}

bool
balance_may_still_send (const struct balance_target *target, int64_t now)
{
  return !target->excluded && balance_backoff_left (target, now) == 0;
}
