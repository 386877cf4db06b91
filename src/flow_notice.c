/* What targets say of themselves in the heads of their answers: that they want a rest, or leave. */
#include "flow_private.h"
#include "log.h"
#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* What is refused until the first target is free returns within this share of the wait after that.
 */
#define REST_SPREAD_SHARE 0.25

/* Decimal seconds in microseconds, cut to `most`; -1 for anything else. */
static int64_t
read_rest (const char *value, int64_t most)
{
  char *end;
  double seconds = strtod (value, &end);

  if (end == value || end[strspn (end, " \t")] != '\0' || !(seconds >= 0))
    return -1;
  return (int64_t) fmin (seconds * USEC_PER_SEC, (double) most);
}

static void
hear_rest (struct flow *flow, struct board_target *target, const char *value, int64_t now)
{
  int64_t rest = read_rest (value, flow->config.settings->target_rest_max);

  if (rest < 0)
    return;
  /* Answers to calls under way come in any order: a rest is never cut short. */
  if (now + rest > target->rests_until)
    target->rests_until = now + rest;
  flow_count_rest (flow);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "target-rests", "{s:s,s:s,s:s,s:I,s:i}", "target",
             target->name, "pool", target->pool, "address", target->address, "left_ms",
             (json_int_t) ((target->rests_until - now) / USEC_PER_MSEC), "in_flight",
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
    hear_rest (flow, target, retry_after, now);
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

  return target != NULL && !target->says_it_leaves && now >= target->rests_until;
}

/* Time until the first target of the pool ends its rest; 0 if one does not rest, or none is alive.
 */
static int64_t
rest_left (const struct flow *flow, const char *pool, int64_t now)
{
  const struct board_target *target;
  int64_t least = USEC_NEVER;
  uint32_t cursor = 0;

  while ((target = table_next (flow->config.board->targets, &cursor, NULL)) != NULL)
    if (strcmp (target->pool, pool) == 0 && board_target_is_alive (target, now)
        && target->rests_until < least)
      least = target->rests_until;
  return least == USEC_NEVER || least <= now ? 0 : least - now;
}

void
flow_end_without_target (struct flow_request *request, int64_t now)
{
  struct flow *flow = request->flow;
  int64_t rest = 0;

  for (uint32_t i = request->decide.stage; i < request->spec->n_stages; i++)
    {
      int64_t left = rest_left (flow, request->spec->stages[i].pool, now);

      rest = left > rest ? left : rest;
    }
  if (rest == 0)
    flow_end_with_reason (request, FLOW_REASON_NO_TARGET, FLOW_RETRY_AFTER_DEFAULT, now);
  else
    flow_end_with_reason (
        request, FLOW_REASON_TARGETS_REST,
        rest + (int64_t) (REST_SPREAD_SHARE * (double) rest * rng_unit (&flow->rng)), now);
}
