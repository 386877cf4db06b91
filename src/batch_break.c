/* Orders during whose calls targets crash.
 *
 * Load pattern: a piece that crashes each target it is sent to.  Batched with others again and
 * again it would use up their attempts; so an order during whose call a target crashed gets calls
 * of its own, and fails when that has happened BATCH_ENDED_TARGETS_MAX times. */
#include "batch_private.h"
#include "log.h"
#include <jansson.h>
#include <string.h>

void
batch_set_watch (struct batch *batch, struct target_watch *watch)
{
  batch->watch = watch;
}

bool
batch_target_has_ended (const struct batch *batch, const struct balance_target *target)
{
  return batch->watch != NULL
         && target_watch_fate (batch->watch, target->id_hash) == TARGET_FATE_ENDED;
}

/* Counts the targets on which its calls broke that are known to have ended. */
static uint32_t
count_ended_targets (const struct batch_order *order)
{
  const struct target_watch *watch = order->batch_pool->batch->watch;
  uint32_t n = 0;

  for (uint32_t i = 0; watch != NULL && i < order->n_broken_incarnations; i++)
    n += target_watch_fate (watch, order->broken_incarnations[i]) == TARGET_FATE_ENDED ? 1 : 0;
  return n;
}

bool
batch_order_is_isolated (const struct batch_order *order)
{
  return order->n_broken_incarnations > 0 && count_ended_targets (order) > 0;
}

void
batch_note_break (struct batch_order *order, uint64_t incarnation, int64_t now)
{
  uint32_t ends = count_ended_targets (order);

  if (ends >= BATCH_ENDED_TARGETS_MAX - 1)
    {
      log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "order-ends-targets", "{s:s,s:i,s:s,s:i}",
                 "id", order->request, "stage", (int) order->stage, "pool", order->pool, "ends",
                 (int) ends + 1);
      batch_end_order (order, PIECE_ENDS_TARGETS, now);
      return;
    }
  order->not_before = now + BATCH_BREAK_RETRY_DELAY;
  batch_schedule_sweep (order->batch_pool, order->not_before);
  if (order->n_broken_incarnations == BATCH_ENDED_TARGETS_MAX)
    memmove (order->broken_incarnations, order->broken_incarnations + 1,
             --order->n_broken_incarnations * sizeof *order->broken_incarnations);
  order->broken_incarnations[order->n_broken_incarnations++] = incarnation;
}
