/* The queue of stage work: orders in, pieces to idle targets. */
#include "batch_private.h"
#include "container.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

/* While pieces wait for a target that pauses or comes back, the queue is looked at this often. */
#define LOOK_PERIOD (20 * USEC_PER_MSEC)

static const char *const piece_end_texts[] = {
#define X(name, text) [PIECE_##name] = text,
  PIECE_END_LIST (X)
#undef X
};

const char *
piece_end_text (enum piece_end end)
{
  return piece_end_texts[end];
}

static struct batch_pool *
find_pool (struct batch *batch, const char *name)
{
  for (uint32_t i = 0; i < batch->n_pools; i++)
    if (strcmp (batch->pools[i].name, name) == 0)
      return &batch->pools[i];
  return NULL;
}

/* ---- orders ---- */

struct batch_order *
batch_order_new (struct batch *batch, uint32_t n_pieces)
{
  struct batch_order *order = talloc_zero (batch, struct batch_order);

  if (order == NULL)
    return NULL;
  order->n_pieces = n_pieces;
  order->results = talloc_zero_array (order, struct piece_result, n_pieces);
  if (order->results == NULL)
    {
      talloc_free (order);
      return NULL;
    }
  return order;
}

static void
unlink_order (struct batch *batch, struct batch_order *order)
{
  struct batch_order_link *link;

  DL_FOREACH (batch->orders, link)
  if (link->order == order)
    {
      DL_DELETE (batch->orders, link);
      talloc_free (link);
      return;
    }
}

struct batch_order *
batch_find (struct batch *batch, const char *origin, uint64_t number)
{
  struct batch_order_link *link;

  DL_FOREACH (batch->orders, link)
  if (link->order->number == number && strcmp (link->order->origin, origin) == 0)
    return link->order;
  return NULL;
}

/* Its waiting pieces go; those in calls lose their order, and their results are freed. */
static void
drop_pieces (struct batch *batch, const struct batch_order *order)
{
  struct batch_pool *pool = find_pool (batch, order->pool);
  struct batch_piece *piece;
  struct batch_piece *next;

  if (pool == NULL)
    return;
  DL_FOREACH_SAFE (pool->queue, piece, next)
  {
    if (piece->order != order)
      continue;
    DL_DELETE (pool->queue, piece);
    pool->n_queued--;
    talloc_free (piece);
  }
}

/* What was made for an order that comes to nothing would lie in the makers' room until it expires.
 */
static void
free_results (struct batch *batch, const struct batch_order *order, int64_t now)
{
  for (uint32_t i = 0; i < order->n_pieces; i++)
    if (order->results[i].result.handle[0] != '\0')
      batch_free_result (batch, order->pool, &order->results[i].result, now);
}

static void
end_order (struct batch *batch, struct batch_order *order, enum piece_end end, int64_t now)
{
  unlink_order (batch, order);
  drop_pieces (batch, order);
  if (end != PIECE_DONE)
    free_results (batch, order, now);
  order->ops->done (order, end, now);
  talloc_free (order);
}

void
batch_cancel (struct batch *batch, struct batch_order *order, int64_t now)
{
  unlink_order (batch, order);
  drop_pieces (batch, order);
  free_results (batch, order, now);
  talloc_free (order);
}

bool
batch_is_wanted (const struct batch *batch, const struct batch_piece *piece)
{
  const struct batch_order_link *link;

  DL_FOREACH (batch->orders, link)
  if (link->serial == piece->serial)
    return true;
  return false;
}

void
batch_piece_done (struct batch_pool *pool,
                  struct batch_piece *piece,
                  const struct piece_result *result,
                  int64_t now)
{
  struct batch_order *order = piece->order;
  uint32_t index = piece->index;
  bool wanted = batch_is_wanted (pool->batch, piece);

  talloc_free (piece);
  if (!wanted)
    return;
  order->results[index] = *result;
  order->n_done++;
  if (order->n_done == order->n_pieces)
    end_order (pool->batch, order, PIECE_DONE, now);
}

/* ---- the queue ---- */

/* When a piece should be taken, urgency counted as time.  An order that was begun is finished before
 * others are: its results take room that only its last piece sets free. */
static int64_t
rank (const struct batch_piece *piece)
{
  if (piece->order->begun)
    return piece->order->due - BATCH_BEGUN_BONUS;
  return piece->order->due + (int64_t) piece->order->urgency * BATCH_URGENCY_STEP;
}

static void
enqueue (struct batch_pool *pool, struct batch_piece *piece)
{
  struct batch_piece *at;

  DL_FOREACH (pool->queue, at)
  if (rank (piece) < rank (at))
    break;
  if (at == NULL)
    DL_APPEND (pool->queue, piece);
  else
    DL_PREPEND_ELEM (pool->queue, at, piece);
  pool->n_queued++;
}

void
batch_requeue (struct batch_pool *pool, struct batch_piece *piece, bool tried, int64_t now)
{
  struct batch_order *order = piece->order;

  piece->tries += tried ? 1 : 0;
  if (!batch_is_wanted (pool->batch, piece))
    {
      talloc_free (piece);
      return;
    }
  if (piece->tries >= BATCH_TRIES_MAX || now >= order->deadline)
    {
      talloc_free (piece);
      end_order (pool->batch, order, now >= order->deadline ? PIECE_LATE : PIECE_FAILED, now);
      return;
    }
  order->n_taken--;
  enqueue (pool, piece);
}

/* Orders whose results would be worthless are ended before they cost a target's time. */
static void
drop_late (struct batch_pool *pool, int64_t now)
{
  struct batch_piece *piece;
  bool again = true;

  while (again)
    {
      again = false;
      DL_FOREACH (pool->queue, piece)
      if (now + batch_expected (pool, 1) >= piece->order->deadline)
        {
          end_order (pool->batch, piece->order, PIECE_LATE, now);
          again = true;
          break;
        }
    }
}

static void
mark_begun (struct batch_order *order)
{
  order->begun = true;
  order->n_taken++;
}

/* The rest of an order that was begun moves forward in the queue. */
static void
move_forward (struct batch_pool *pool, const struct batch_order *order)
{
  struct batch_piece *moved = NULL;
  struct batch_piece *piece;
  struct batch_piece *next;

  DL_FOREACH_SAFE (pool->queue, piece, next)
  {
    if (piece->order != order)
      continue;
    DL_DELETE (pool->queue, piece);
    pool->n_queued--;
    DL_APPEND (moved, piece);
  }
  DL_FOREACH_SAFE (moved, piece, next)
  {
    DL_DELETE (moved, piece);
    enqueue (pool, piece);
  }
}

static bool
can_take (const struct batch_pool *pool,
          const struct batch_target *target,
          const struct balance_target *at,
          int64_t now)
{
  return at->usable && !at->gone && now >= at->ejected_until && now >= target->paused_until
         && target->calls < pool->spec.slots;
}

/* Room for the whole of an order that is not begun, beside what lies there and what the begun ones
 * still need.  Orders that each hold a part of the room and wait for the rest would stop each other
 * until their results expire. */
static bool
may_begin (const struct batch_pool *pool, const struct batch_order *order)
{
  const struct batch_order_link *link;
  uint64_t committed = 0;
  uint64_t room = 0;

  if (order->begun || pool->spec.room == 0)
    return true;
  for (const struct batch_target *target = pool->targets; target != NULL; target = target->next)
    if (target->target != NULL && target->target->usable)
      {
        room += pool->spec.room;
        committed += target->used;
      }
  DL_FOREACH (pool->batch->orders, link)
  if (link->order->begun && strcmp (link->order->pool, pool->name) == 0)
    committed += (link->order->n_pieces - link->order->n_taken) * link->order->result_size;
  return committed + order->n_pieces * order->result_size <= room || committed == 0;
}

static bool
has_room (const struct batch_pool *pool, const struct batch_target *target, uint64_t size)
{
  return pool->spec.room == 0 || target->used + size <= pool->spec.room
         || target->results == NULL;
}

/* Must the piece go to a target in the failure domain where its result is wanted?  Only while it
 * has time to spare, not more waits than fills a call, and there is such a target. */
static bool
waits_for_near (const struct batch_pool *pool, const struct batch_piece *piece, int64_t now)
{
  const struct batch_order *order = piece->order;

  if (order->near[0] == '\0' || pool->n_queued > pool->spec.pieces
      || now + batch_expected (pool, 1) + BATCH_NEAR_SLACK >= order->due)
    return false;
  for (const struct balance_target *at = pool->batch->config.balance->targets; at != NULL;
       at = at->next)
    if (at->usable && strcmp (at->pool, pool->name) == 0 && strcmp (at->domain, order->near) == 0)
      return true;
  return false;
}

/* A piece that cannot be in time any more goes behind those that can: served first, as the earliest
 * due, it would make the next one late too, and so all. */
static bool
is_late (const struct batch_pool *pool, const struct batch_piece *piece, int64_t now)
{
  return now + batch_expected (pool, 1) > piece->order->due;
}

/* Would this slow target make a piece late that another can make in time? */
static bool
is_too_slow (const struct batch_pool *pool,
             const struct batch_target *target,
             const struct batch_piece *piece,
             int64_t now)
{
  double takes = target->slowness * (double) batch_expected (pool, pool->spec.pieces / 2);

  return target->slowness > BATCH_SLOW && now - target->called_at < BATCH_PROBE_PERIOD
         && now + (int64_t) takes > piece->order->due && !is_late (pool, piece, now);
}

static bool
may_go_to (const struct batch_pool *pool,
           const struct batch_piece *piece,
           const struct batch_target *target,
           int64_t now)
{
  const struct balance_target *at = target->target;

  if (is_too_slow (pool, target, piece, now))
    return false;
  return strcmp (piece->order->near, at->domain) == 0 || !waits_for_near (pool, piece, now);
}

/* The idle target to be given work next: the fastest for which there is a piece, one that is near
 * before others.  Counts the idle ones. */
static struct batch_target *
choose_target (struct batch_pool *pool, uint32_t *n_idle, int64_t now)
{
  struct batch_target *best = NULL;
  double best_cost = 0;

  *n_idle = 0;
  for (struct balance_target *at = pool->batch->config.balance->targets; at != NULL; at = at->next)
    {
      struct batch_target *target;
      struct batch_piece *piece;
      double cost;

      if (strcmp (at->pool, pool->name) != 0)
        continue;
      target = batch_target_of (pool, at);
      if (target == NULL || !can_take (pool, target, at, now))
        continue;
      ++*n_idle;
      DL_FOREACH (pool->queue, piece)
      if (has_room (pool, target, piece->result_size) && may_begin (pool, piece->order)
          && may_go_to (pool, piece, target, now))
        break;
      if (piece == NULL)
        continue;
      cost = target->slowness + (strcmp (piece->order->near, at->domain) == 0 ? 0.0 : 1.0);
      if (best == NULL || cost < best_cost)
        {
          best = target;
          best_cost = cost;
        }
    }
  return best;
}

/* Take pieces for one call: in their order those that fit and may go there, and not all where other
 * targets are idle too. */
static uint32_t
take_pieces (struct batch_pool *pool,
             const struct batch_target *target,
             uint32_t n_idle,
             int64_t now,
             struct batch_piece *out[BATCH_CALL_PIECES_MAX])
{
  uint32_t most = (pool->n_queued + n_idle - 1) / n_idle;
  struct batch_piece *piece;
  struct batch_piece *next;
  uint64_t size = 0;
  uint32_t n = 0;

  if (most > pool->spec.pieces)
    most = pool->spec.pieces;
  if (most > BATCH_CALL_PIECES_MAX)
    most = BATCH_CALL_PIECES_MAX;
  for (int late = 0; late < 2; late++)
    DL_FOREACH_SAFE (pool->queue, piece, next)
    {
      if (n == most)
        return n;
      if (is_late (pool, piece, now) != (late == 1)
          || !has_room (pool, target, size + piece->result_size)
          || !may_begin (pool, piece->order) || !may_go_to (pool, piece, target, now))
        continue;
      mark_begun (piece->order);
      size += piece->result_size;
      DL_DELETE (pool->queue, piece);
      pool->n_queued--;
      out[n++] = piece;
    }
  return n;
}

void
batch_dispatch (struct batch_pool *pool, int64_t now)
{
  struct timer_service *timers = loop_timers (pool->batch->config.loop);

  drop_late (pool, now);
  while (pool->queue != NULL)
    {
      struct batch_piece *pieces[BATCH_CALL_PIECES_MAX];
      uint32_t n_idle;
      struct batch_target *target = choose_target (pool, &n_idle, now);
      uint32_t n;

      if (target == NULL)
        break;
      n = take_pieces (pool, target, n_idle, now, pieces);
      for (uint32_t i = 0; i < n; i++)
        move_forward (pool, pieces[i]->order);
      if (n > 0 && batch_call_start (pool, target, pieces, n, now))
        continue;
      target->paused_until = now + BATCH_NO_ROOM_PAUSE;
      for (uint32_t i = 0; i < n; i++)
        batch_requeue (pool, pieces[i], true, now);
    }
  if (!timer_is_armed (&pool->timer))
    timer_arm (timers, &pool->timer, now + LOOK_PERIOD);
}

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

  if (now >= pool->free_at)
    {
      pool->free_at = now + BATCH_FREE_PERIOD;
      batch_sweep_results (pool, now);
    }
  if (pool->queue != NULL)
    batch_dispatch (pool, now);
  if (!timer_is_armed (timer) && (pool->queue != NULL || has_results (pool)))
    timer_arm (timers, timer, now + (pool->queue != NULL ? LOOK_PERIOD : BATCH_FREE_PERIOD));
}

static const struct timer_ops pool_ops = { .fire = pool_fired };

/* Free what is unneeded with the next look. */
void
batch_look_soon (struct batch_pool *pool, int64_t now)
{
  struct timer_service *timers = loop_timers (pool->batch->config.loop);

  if (!timer_is_armed (&pool->timer) || pool->timer.due > now + LOOK_PERIOD)
    timer_arm (timers, &pool->timer, now + LOOK_PERIOD);
}

static void
fail_at_once (struct batch_order *order, int64_t now)
{
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "no-batch-pool", "{s:s,s:s}", "request",
             order->request, "pool", order->pool);
  order->ops->done (order, PIECE_FAILED, now);
  talloc_free (order);
}

void
batch_submit (struct batch *batch, struct batch_order *order, int64_t now)
{
  struct batch_pool *pool = find_pool (batch, order->pool);
  struct batch_order_link *link = talloc_zero (batch, struct batch_order_link);

  if (pool == NULL || link == NULL || pool->spec.pieces == 0 || order->n_pieces == 0)
    {
      talloc_free (link);
      fail_at_once (order, now);
      return;
    }
  link->order = order;
  link->serial = ++batch->last_serial;
  DL_APPEND (batch->orders, link);
  for (uint32_t i = 0; i < order->n_pieces; i++)
    {
      struct batch_piece *piece = talloc_zero (batch, struct batch_piece);

      if (piece == NULL)
        {
          end_order (batch, order, PIECE_FAILED, now);
          return;
        }
      piece->order = order;
      piece->serial = link->serial;
      piece->index = i;
      piece->result_size = order->result_size;
      enqueue (pool, piece);
    }
  batch_dispatch (pool, now);
}

/* ---- the whole ---- */

void
batch_set_routing (struct batch *batch, const struct routing *routing)
{
  for (uint32_t i = 0; i < routing->n_pools; i++)
    {
      struct batch_pool *pool = find_pool (batch, routing->pools[i].name);

      if (routing->pools[i].batch.pieces == 0)
        continue;
      if (pool == NULL && batch->n_pools < BATCH_POOLS_MAX)
        {
          pool = &batch->pools[batch->n_pools++];
          pool->batch = batch;
          pool->timer.ops = &pool_ops;
          text_copy_cut (pool->name, sizeof pool->name, routing->pools[i].name);
        }
      if (pool != NULL)
        pool->spec = routing->pools[i].batch;
    }
}

static int
free_batch (struct batch *batch)
{
  for (uint32_t i = 0; i < batch->n_pools; i++)
    timer_disarm (loop_timers (batch->config.loop), &batch->pools[i].timer);
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
  batch->call_time = histogram_get (config->counters, "cherryarch_batch_call_microseconds",
                                    "Time of a whole call.", NULL);
  talloc_set_destructor (batch, free_batch);
  return batch;
}
