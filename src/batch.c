/* Orders of stage work: submission, completion, withdrawal. */
#include "batch_private.h"
#include "container.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

static const char *const piece_end_texts[] = {
#define X(name, text) [PIECE_##name] = text,
  PIECE_OUTCOME_LIST (X)
#undef X
};

const char *
piece_outcome_text (enum piece_outcome end)
{
  return piece_end_texts[end];
}

static struct batch_pool *
find_pool (struct batch *batch, const char *name, const char *domain)
{
  for (uint32_t i = 0; i < batch->n_pools; i++)
    if (strcmp (batch->pools[i].name, name) == 0 && strcmp (batch->pools[i].domain, domain) == 0)
      return &batch->pools[i];
  return NULL;
}

bool
batch_is_in_pool (const struct batch_pool *pool, const struct balance_target *at)
{
  return strcmp (at->pool, pool->name) == 0
         && (pool->domain[0] == '\0' || strcmp (at->domain, pool->domain) == 0);
}

/* ---- orders ---- */

struct batch_order *
batch_order_new (struct batch *batch, uint32_t n_pieces)
{
  struct batch_order *order = talloc_zero (batch, struct batch_order);

  if (order == NULL)
    return NULL;
  order->demand.n_pieces = n_pieces;
  order->results = talloc_zero_array (order, struct piece_result, n_pieces);
  order->pending = talloc_zero_array (order, uint32_t, n_pieces);
  order->attempts = talloc_zero_array (order, uint8_t, n_pieces);
  if (order->results == NULL || order->pending == NULL || order->attempts == NULL)
    {
      talloc_free (order);
      return NULL;
    }
  for (uint32_t i = 0; i < n_pieces; i++)
    order->pending[i] = n_pieces - 1 - i;
  order->n_pending = n_pieces;
  return order;
}

/* uthash: NOLINTBEGIN(readability-function-size) */
struct batch_order *
batch_order_of (struct batch *batch, const struct batch_piece *piece)
{
  struct batch_order *order;

  HASH_FIND (hh, batch->orders, &piece->serial, sizeof piece->serial, order);
  return order;
}
/* NOLINTEND(readability-function-size) */

struct batch_order *
batch_find_order (struct batch *batch, const char *origin, uint64_t number)
{
  struct batch_order *order;
  struct batch_order *next;

  HASH_ITER (hh, batch->orders, order, next)
    {
      if (order->number == number && strcmp (order->origin, origin) == 0)
        return order;
    }
  return NULL;
}

static void
unlink_order (struct batch_order *order)
{
  batch_dequeue (order);
  HASH_DEL (order->batch_pool->batch->orders, order);
}

/* Results made for an order that failed or was withdrawn would occupy room at their targets until
 * they expire. */
static void
free_results (const struct batch_order *order, int64_t now)
{
  for (uint32_t i = 0; i < order->demand.n_pieces; i++)
    if (order->results[i].result.handle[0] != '\0')
      batch_free_result (order->batch_pool, &order->results[i].result, now);
}

/* Updates the smoothed wait, with which later stages of requests are planned.  Orders that were
 * late when submitted are queued behind all others on purpose and do not count; one wait is capped,
 * so that an order delayed by a burst does not outweigh the rest. */
static void
update_smoothed_wait (const struct batch_order *order, int64_t now)
{
  struct batch_pool *pool = order->batch_pool;
  uint32_t pieces =
      order->demand.n_pieces < pool->spec.pieces ? order->demand.n_pieces : pool->spec.pieces;
  int64_t wait = now - order->submitted - batch_expected_time (pool, pieces);

  if (order->late_on_submit)
    return;
  if (wait < 0)
    wait = 0;
  if (wait > BATCH_WAIT_SAMPLE_MAX)
    wait = BATCH_WAIT_SAMPLE_MAX;
  pool->smoothed_wait += BATCH_WAIT_SMOOTHING * ((double) wait - pool->smoothed_wait);
}

void
batch_end_order (struct batch_order *order, enum piece_outcome end, int64_t now)
{
  if (end == PIECE_DONE)
    update_smoothed_wait (order, now);
  unlink_order (order);
  if (end != PIECE_DONE)
    free_results (order, now);
  order->ops->done (order, end, now);
  talloc_free (order);
}

void
batch_cancel (struct batch *batch, struct batch_order *order, int64_t now)
{
  (void) batch;
  unlink_order (order);
  free_results (order, now);
  talloc_free (order);
}

/* ---- pieces ---- */

/* Whether no target can run the pool's pieces, as all are evacuated. */
static bool
is_evacuated (const struct batch_pool *pool)
{
  bool any = false;

  for (const struct balance_target *at = pool->batch->config.balance->targets; at != NULL;
       at = at->next)
    {
      if (!batch_is_in_pool (pool, at))
        continue;
      if (at->usable)
        return false;
      any = any || at->evacuated;
    }
  return any;
}

void
batch_complete_piece (struct batch_pool *pool,
                      const struct batch_piece *piece,
                      const struct piece_result *result,
                      int64_t now)
{
  struct batch_order *order = batch_order_of (pool->batch, piece);

  if (order == NULL)
    return;
  order->results[piece->index] = *result;
  order->n_done++;
  if (order->n_done == order->demand.n_pieces)
    batch_end_order (order, PIECE_DONE, now);
}

/* Requeues a piece that was not made; ends its order after the last attempt or at its deadline. */
void
batch_requeue (struct batch_pool *pool, const struct batch_piece *piece, bool tried, int64_t now)
{
  struct batch_order *order = batch_order_of (pool->batch, piece);

  if (order == NULL)
    return;
  if (target_reach_is_cut_off (pool->batch->reach, pool->name, now))
    {
      batch_end_order (order, PIECE_UNREACHED, now);
      return;
    }
  if (is_evacuated (pool))
    {
      batch_end_order (order, PIECE_BUSY, now);
      return;
    }
  order->attempts[piece->index] += tried ? 1 : 0;
  if (order->attempts[piece->index] >= BATCH_ATTEMPTS_MAX || now >= order->deadline)
    {
      batch_end_order (order, now >= order->deadline ? PIECE_LATE : PIECE_FAILED, now);
      return;
    }
  batch_dequeue (order);
  order->pending[order->n_pending++] = piece->index;
  batch_enqueue (order);
}

/* ---- timers ---- */

static bool
has_results (const struct batch_pool *pool)
{
  for (const struct batch_target *target = pool->targets; target != NULL; target = target->next)
    if (target->results != NULL)
      return true;
  return false;
}

static void
pool_fired (struct timer *timer, int64_t now)
{
  struct batch_pool *pool = CONTAINER_OF (timer, struct batch_pool, timer);
  struct timer_service *timers = loop_timers (pool->batch->config.loop);

  batch_sweep_results (pool, now);
  if (pool->queue != NULL)
    batch_dispatch (pool, now);
  if (pool->queue != NULL || has_results (pool))
    timer_arm (timers, timer, now + BATCH_SWEEP_PERIOD);
}

static const struct timer_ops pool_ops = { .fire = pool_fired };

void
batch_schedule_sweep (struct batch_pool *pool, int64_t now)
{
  struct timer_service *timers = loop_timers (pool->batch->config.loop);

  if (!timer_is_armed (&pool->timer) || pool->timer.due > now + BATCH_SWEEP_PERIOD)
    timer_arm (timers, &pool->timer, now + BATCH_SWEEP_PERIOD);
}

/* ---- pools and setup ---- */

static struct batch_pool *
add_pool (struct batch *batch, const char *name, const char *domain)
{
  struct batch_pool *pool;

  if (batch->n_pools == BATCH_POOLS_MAX)
    return NULL;
  pool = &batch->pools[batch->n_pools++];
  pool->batch = batch;
  pool->timer.ops = &pool_ops;
  text_copy_truncated (pool->name, sizeof pool->name, name);
  text_copy_truncated (pool->domain, sizeof pool->domain, domain);
  return pool;
}

static void
set_spec (struct batch_pool *pool, const struct batch_spec *spec)
{
  pool->spec = *spec;
  if (pool->spec.pieces > BATCH_CALL_PIECES_MAX)
    pool->spec.pieces = BATCH_CALL_PIECES_MAX;
}

void
batch_set_routing (struct batch *batch, const struct routing *routing)
{
  for (uint32_t i = 0; i < routing->n_pools; i++)
    {
      const struct pool *spec = &routing->pools[i];

      if (spec->batch.pieces == 0)
        continue;
      if (find_pool (batch, spec->name, "") == NULL)
        (void) add_pool (batch, spec->name, "");
      for (uint32_t j = 0; j < batch->n_pools; j++)
        if (strcmp (batch->pools[j].name, spec->name) == 0)
          set_spec (&batch->pools[j], &spec->batch);
    }
}

void
batch_set_reach (struct batch *batch, const struct target_reach *reach)
{
  batch->reach = reach;
}

void
batch_end_lost_orders (struct batch *batch, const char *pool_name, int64_t now)
{
  for (uint32_t i = 0; i < batch->n_pools; i++)
    while (strcmp (batch->pools[i].name, pool_name) == 0 && batch->pools[i].queue != NULL)
      batch_end_order (batch->pools[i].queue, PIECE_UNREACHED, now);
}

void
batch_end_evacuated_orders (struct batch *batch, int64_t now)
{
  for (uint32_t i = 0; i < batch->n_pools; i++)
    while (batch->pools[i].queue != NULL && is_evacuated (&batch->pools[i]))
      batch_end_order (batch->pools[i].queue, PIECE_BUSY, now);
}

void
batch_set_notices (struct batch *batch, struct target_notices *notices)
{
  batch->notices = notices;
}

/* The part of a pool in one failure domain is created on first use. */
struct batch_pool *
batch_get_pool (struct batch *batch, const char *name, const char *domain)
{
  struct batch_pool *pool = find_pool (batch, name, domain);
  const struct batch_pool *all = find_pool (batch, name, "");

  if (pool != NULL || all == NULL)
    return pool;
  pool = add_pool (batch, name, domain);
  if (pool != NULL)
    pool->spec = all->spec;
  return pool;
}

/* uthash: NOLINTBEGIN(readability-function-size) */
void
batch_submit (struct batch *batch, struct batch_order *order, int64_t now)
{
  struct batch_pool *pool = batch_get_pool (batch, order->pool, order->domain);

  if (pool == NULL || pool->spec.pieces == 0 || order->demand.n_pieces == 0)
    {
      log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "no-batch-pool", "{s:s,s:s}", "request",
                 order->request, "pool", order->pool);
      order->ops->done (order, PIECE_FAILED, now);
      talloc_free (order);
      return;
    }
  batch_unbook (batch, order->pool, order->domain, order->request, order->stage);
  if (target_reach_is_cut_off (batch->reach, order->pool, now))
    {
      order->ops->done (order, PIECE_UNREACHED, now);
      talloc_free (order);
      return;
    }
  if (is_evacuated (pool)
      || batch_reject_if_late (pool, &order->demand, order->request, order->stage, now))
    {
      order->ops->done (order, PIECE_BUSY, now);
      talloc_free (order);
      return;
    }
  order->batch_pool = pool;
  order->serial = ++batch->last_serial;
  order->submitted = now;
  order->late_on_submit = batch_is_late (pool, &order->demand, now);
  HASH_ADD (hh, batch->orders, serial, sizeof order->serial, order);
  batch_enqueue (order);
  batch_dispatch (pool, now);
  batch_schedule_sweep (pool, now);
}
/* NOLINTEND(readability-function-size) */

void
batch_release_result (struct batch *batch,
                      enum batch_release how,
                      const char *pool_name,
                      const char *domain,
                      const struct stage_result *result,
                      int64_t now)
{
  struct batch_pool *pool = batch_get_pool (batch, pool_name, domain);

  if (pool == NULL)
    return;
  if (how == BATCH_RELEASE_FREE)
    batch_free_result (pool, result, now);
  else
    batch_mark_evictable (pool, result, now);
}

bool
batch_has_pool (const struct batch *batch, const char *pool)
{
  for (uint32_t i = 0; i < batch->n_pools; i++)
    if (strcmp (batch->pools[i].name, pool) == 0)
      return true;
  return false;
}

int64_t
batch_estimate_wait (struct batch *batch, const char *pool_name, const char *domain)
{
  const struct batch_pool *pool = find_pool (batch, pool_name, domain);
  uint32_t targets = 0;

  if (pool == NULL || pool->spec.pieces == 0)
    return 0;
  for (const struct balance_target *at = batch->config.balance->targets; at != NULL; at = at->next)
    targets += at->usable && batch_is_in_pool (pool, at) ? 1 : 0;
  if (targets == 0)
    return batch_expected_time (pool, pool->n_pending);
  return (int64_t) ((double) pool->n_pending / (targets * pool->spec.pieces)
                    * (double) batch_expected_time (pool, pool->spec.pieces));
}

int64_t
batch_smoothed_wait (struct batch *batch, const char *pool_name, const char *domain)
{
  const struct batch_pool *pool = find_pool (batch, pool_name, domain);

  return pool == NULL ? 0 : (int64_t) pool->smoothed_wait;
}

/* Calls in flight refer to the batch, so the client that carries them is freed first. */
static int
free_batch (struct batch *batch)
{
  for (uint32_t i = 0; i < batch->n_pools; i++)
    timer_disarm (loop_timers (batch->config.loop), &batch->pools[i].timer);
  HASH_CLEAR (hh, batch->orders);
  return 0;
}

struct batch *
batch_new (void *parent, const struct batch_config *config)
{
  struct batch *batch = talloc_zero (parent, struct batch);

  if (batch == NULL)
    return NULL;
  batch->config = *config;
  batch->calls = counter_get (config->counters, "cherryarch_batch_calls_total",
                              "Calls to targets that run pieces.", NULL);
  batch->pieces =
      counter_get (config->counters, "cherryarch_batch_pieces_total", "Pieces in them.", NULL);
  batch->failed_calls = counter_get (config->counters, "cherryarch_batch_failed_calls_total",
                                     "Calls that failed or were refused.", NULL);
  batch->overdue_calls = counter_get (config->counters, "cherryarch_batch_overdue_calls_total",
                                      "Calls given up because they took too long.", NULL);
  batch->rejected = counter_get (config->counters, "cherryarch_batch_turned_away_total",
                                 "Orders ended as they came, as too much waited.", NULL);
  batch->dropped = counter_get (config->counters, "cherryarch_batch_results_dropped_total",
                                "Fetched results dropped where room was short.", NULL);
  batch->call_time = histogram_get (config->counters, "cherryarch_batch_call_microseconds",
                                    "Time of a whole call.", NULL);
  talloc_set_destructor (batch, free_batch);
  return batch;
}
