/* What targets say of themselves in the heads of their answers: that they want a backoff, or leave.
 */
#include "flow_private.h"
#include "log.h"
#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* What is refused until the first target is free returns within this share of the wait after that.
 */
#define BACKOFF_SPREAD_SHARE 0.25

/* Decimal seconds in microseconds, cut to `most`; -1 for anything else. */
static int64_t
read_backoff (const char *value, int64_t most)
{
  char *end;
  double seconds = strtod (value, &end);

  if (end == value || end[strspn (end, " \t")] != '\0' || !(seconds >= 0))
    return -1;
  return (int64_t) fmin (seconds * USEC_PER_SEC, (double) most);
}

static void
hear_backoff (struct flow *flow, struct board_target *target, const char *value, int64_t now)
{
  int64_t backoff = read_backoff (value, flow->config.settings->target_backoff_max);

  if (backoff < 0)
    return;
  /* Answers to calls under way come in any order: a backoff is never cut short. */
  if (now + backoff > target->backoff_until)
    target->backoff_until = now + backoff;
  flow_count_backoff (flow);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "target-backoff", "{s:s,s:s,s:s,s:I,s:i}", "target",
             target->name, "pool", target->pool, "address", target->address, "left_ms",
             (json_int_t) ((target->backoff_until - now) / USEC_PER_MSEC), "in_flight",
             (int) target->in_flight);
}

void
flow_notice_take (struct flow *flow,
                  struct handle handle,
                  int code,
                  const char *retry_after,
                  const char *leaving,
                  int64_t now)
{
  struct board_target *target = table_get (flow->config.board->targets, handle);

  if (target == NULL)
    return;
  if (code == 503 && retry_after != NULL)
    hear_backoff (flow, target, retry_after, now);
  if (leaving == NULL || strcmp (leaving, "yes") != 0 || target->says_it_leaves)
    return;
  target->says_it_leaves = true;
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "target-leaves", "{s:s,s:s,s:s,s:s}", "target",
             target->name, "pool", target->pool, "address", target->address, "from", "answer");
}

bool
flow_notice_may_send (const struct flow *flow, struct handle handle, int64_t now)
{
  const struct board_target *target = table_get (flow->config.board->targets, handle);

  return target != NULL && !target->says_it_leaves && now >= target->backoff_until;
}

/* Time until the first target of the pool ends its backoff; 0 if one is not in backoff, or none is
 * alive.
 */
static int64_t
rest_left (const struct flow *flow, const char *pool, int64_t now)
{
  const struct board_target *target;
  int64_t least = USEC_NEVER;
  uint32_t cursor = 0;

  while ((target = table_next (flow->config.board->targets, &cursor, NULL)) != NULL)
    if (strcmp (target->pool, pool) == 0 && board_target_is_alive (target, now)
        && target->backoff_until < least)
      least = target->backoff_until;
  return least == USEC_NEVER || least <= now ? 0 : least - now;
}

void
flow_end_without_target (struct flow_request *request, int64_t now)
{
  struct flow *flow = request->flow;
  int64_t backoff = 0;

  for (uint32_t i = request->decide.stage; i < request->spec->n_stages; i++)
    {
      int64_t left = rest_left (flow, request->spec->stages[i].pool, now);

      backoff = left > backoff ? left : backoff;
    }
  if (backoff == 0)
    flow_end_with_reason (request, FLOW_REASON_NO_TARGET, FLOW_RETRY_AFTER_DEFAULT, now);
  else
    flow_end_with_reason (
        request, FLOW_REASON_TARGETS_BACKOFF,
        backoff + (int64_t) (BACKOFF_SPREAD_SHARE * (double) backoff * rng_unit (&flow->rng)), now);
}
