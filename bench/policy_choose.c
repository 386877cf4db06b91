/* The baseline policies: random, round robin, least reported load.
 *
 * They read the same board as the product's policy (leases, leaving state, load reports) and skip
 * targets already tried. */
#include "policy.h"
#include <string.h>

static bool
was_tried (const struct policy_request *request, struct handle handle)
{
  uint32_t i;

  for (i = 0; i < request->n_tried; i++)
    if (handle_equal (request->tried[i], handle))
      return true;
  return false;
}

static bool
is_usable (const struct policy_request *request, const struct policy_target *target, int64_t now)
{
  const struct board_target *entry = table_get (request->host->board->targets, target->handle);

  return entry != NULL && board_target_is_usable (entry, now)
         && !was_tried (request, target->handle);
}

static uint32_t
reported_load (const struct policy_request *request, const struct policy_target *target)
{
  const struct board_target *entry = table_get (request->host->board->targets, target->handle);

  return entry->report.running + entry->report.waiting;
}

static uint32_t
pool_of (const struct policy_request *request)
{
  const struct policy_run *run = request->run;
  const struct stage_spec *spec = &run->specs[request->pipeline].stages[request->decide.stage];
  uint32_t i;

  for (i = 0; i < run->site->n_pools; i++)
    if (strcmp (run->site->pools[i].name, spec->pool) == 0)
      break;
  return i;
}

enum decide_reason
policy_choose_simple (struct policy_request *request, int64_t now, struct decide_choice *out)
{
  struct policy_run *run = request->run;
  uint32_t pool = pool_of (request);
  uint32_t first = run->pool_first[pool];
  uint32_t count = run->pool_first[pool + 1] - first;
  uint32_t start = (uint32_t) rng_below (&run->rng, count);
  struct policy_target *best = NULL;
  uint32_t i;

  if (run->config.arm == POLICY_ROUND_ROBIN)
    start = request->host->turn[pool]++;
  for (i = 0; i < count; i++)
    {
      struct policy_target *target = &run->targets[first + (start + i) % count];

      if (!is_usable (request, target, now))
        continue;
      if (best == NULL || reported_load (request, target) < reported_load (request, best))
        best = target;
      if (run->config.arm != POLICY_LEAST_LOAD)
        break;
    }
  if (best == NULL)
    return DECIDE_NO_TARGET;
  *out = (struct decide_choice){ .target = best->handle,
                                 .first_output_by = USEC_NEVER,
                                 .timeout_at = USEC_NEVER,
                                 .hedge_at = USEC_NEVER };
  /* First output is due in half of the remaining time, so that a hung attempt can be retried. */
  if (request->decide.repeatable
      && request->stage_attempts + 1 < run->specs[request->pipeline].max_attempts)
    out->first_output_by = now + (request->decide.deadline - now) / 2;
  return DECIDE_ADMITTED;
}
