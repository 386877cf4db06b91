/* The queue of a pool: which order's pieces go to which idle target next. */
#include "batch_private.h"
#include "text.h"
#include <math.h>
#include <string.h>
#include <utlist.h>

#define PASSES 4

int64_t
batch_rank (const struct batch_demand *demand)
{
  return demand->due + (int64_t) demand->urgency * BATCH_URGENCY_STEP;
}

void
batch_enqueue (struct batch_order *order)
{
  struct batch_pool *pool = order->batch_pool;
  struct batch_order *at;

  if (order->queued || order->n_pending == 0)
    return;
  DL_FOREACH (pool->queue, at)
    if (batch_rank (&order->demand) < batch_rank (&at->demand))
      break;
  if (at == NULL)
    DL_APPEND (pool->queue, order);
  else
    DL_PREPEND_ELEM (pool->queue, at, order);
  order->queued = true;
  pool->n_pending += order->n_pending;
  if (order->begun)
    pool->reserved_bytes += order->n_pending * order->result_size;
}

void
batch_dequeue (struct batch_order *order)
{
  struct batch_pool *pool = order->batch_pool;

  if (!order->queued)
    return;
  DL_DELETE (pool->queue, order);
  order->queued = false;
  pool->n_pending -= order->n_pending;
  if (order->begun)
    pool->reserved_bytes -= order->n_pending * order->result_size;
}

/* When a call can begin at the earliest, as all targets are in backoff; now if one does not, or
 * none is usable.
 */
static int64_t
earliest_begin (const struct batch_pool *pool, int64_t now)
{
  int64_t least = USEC_NEVER;

  for (const struct balance_target *at = pool->batch->config.balance->targets; at != NULL;
       at = at->next)
    {
      int64_t backoff = balance_backoff_left (at, now);

      if (at->usable && !at->excluded && backoff < least && batch_is_in_pool (pool, at))
        least = backoff;
    }
  return least == USEC_NEVER ? now : now + least;
}

/* Ends orders that can no longer meet their deadline, before they cost a target's time. */
static void
end_late_orders (struct batch_pool *pool, int64_t now)
{
  int64_t begin = earliest_begin (pool, now);
  struct batch_order *order = pool->queue;

  while (order != NULL)
    {
      struct batch_order *next = order->next;

      if (begin + batch_expected_time (pool, 1) < order->deadline)
        {
          order = next;
          continue;
        }
      batch_end_order (order, begin > now ? PIECE_BUSY : PIECE_LATE, now);
      /* Ending an order may end others: restart the scan. */
      order = pool->queue;
    }
}

/* The idle targets and the room of a pool, computed anew for each call that is assembled. */
#define CAPACITY_IDLE_MAX 64

struct capacity
{
  struct batch_target *idle[CAPACITY_IDLE_MAX];
  uint32_t n_idle;
  uint32_t calls; /* running */
  uint64_t room;
  uint64_t used;
};

static bool
can_take (const struct batch_pool *pool, const struct batch_target *target, int64_t now)
{
  return now >= target->target->ejected_until && now >= target->paused_until
         && target->calls < pool->spec.slots
         && !batch_target_has_ended (pool->batch, target->target)
         && balance_may_send (pool->batch->config.balance, target->target, BALANCE_STAGE_WORK, now);
}

/* Cold targets get stage work only if no warm one is idle; of warm ones, those to which little was
 * sent lately come first (balance_spread_starts()). */
static void
prefer_warm (struct capacity *capacity, int64_t now)
{
  struct balance_target *targets[CAPACITY_IDLE_MAX];
  uint32_t n_warm = 0;
  uint32_t kept = 0;
  uint32_t next = 0;

  for (uint32_t i = 0; i < capacity->n_idle; i++)
    if (!capacity->idle[i]->target->cold.cold)
      targets[n_warm++] = capacity->idle[i]->target;
  if (n_warm == 0 || targets[0]->cold_pool == NULL)
    return;
  n_warm = balance_spread_starts (targets, n_warm, now);
  for (uint32_t i = 0; i < capacity->n_idle && next < n_warm; i++)
    if (capacity->idle[i]->target == targets[next])
      {
        capacity->idle[kept++] = capacity->idle[i];
        next++;
      }
  capacity->n_idle = kept;
}

static void
read_capacity (struct batch_pool *pool, int64_t now, struct capacity *out)
{
  *out = (struct capacity){ .n_idle = 0 };
  /* Clears the pointers to targets that are gone by now. */
  for (struct batch_target *target = pool->targets; target != NULL; target = target->next)
    target->target = NULL;
  for (struct balance_target *at = pool->batch->config.balance->targets; at != NULL; at = at->next)
    {
      struct batch_target *target;

      if (!batch_is_in_pool (pool, at))
        continue;
      target = batch_get_target (pool, at);
      if (target == NULL || !at->usable || at->excluded)
        continue;
      out->room += pool->spec.result_bytes_max;
      out->used += target->used_bytes;
      out->calls += target->calls;
      if (out->n_idle < sizeof out->idle / sizeof out->idle[0] && can_take (pool, target, now))
        out->idle[out->n_idle++] = target;
    }
  prefer_warm (out, now);
}

/* A call being assembled. */
struct draft
{
  uint32_t places;                  /* pieces that it can still take */
  uint64_t size;                    /* bytes of the results of its pieces */
  const struct batch_order *newest; /* the order of its last piece; NULL while it is empty */
};

/* Is there room for that many more results of the order?  The margin is waived for an order that is
 * begun if no call runs in the pool: nothing else frees room, and its own results stay at their
 * targets until its last piece is made. */
static bool
has_room (const struct batch_pool *pool,
          const struct capacity *capacity,
          const struct batch_target *target,
          const struct batch_order *order,
          const struct draft *draft,
          uint32_t n_results)
{
  uint64_t taken = target->used_bytes + draft->size;
  double used = (double) (taken + n_results * order->result_size);
  double margin = BATCH_ROOM_MARGIN * sqrt (used * (double) order->result_size);

  if (pool->spec.result_bytes_max == 0 || taken == 0)
    return true;
  if (order->begun && capacity->calls == 0)
    margin = 0;
  return used + margin <= (double) pool->spec.result_bytes_max;
}

/* Would the call take only a part of an order that one call can make?  Its results would occupy
 * room at their targets until the rest is made, a whole call later, and keep it from orders that
 * could be done now; the order itself would be done no sooner.  Mean worth over 50 days: 0.626 if
 * orders are split, 0.651 if a call must have places for the whole order, 0.665 if it must have
 * room as well (error 0.004 each). */
static bool
would_split (const struct batch_pool *pool,
             const struct capacity *capacity,
             const struct batch_target *target,
             const struct batch_order *order,
             const struct draft *draft)
{
  if (order->begun || order->n_pending > pool->spec.pieces)
    return false;
  return order->n_pending > draft->places
         || !has_room (pool, capacity, target, order, draft, order->n_pending);
}

/* Is there room for the whole of an order that is not begun, beside the stored results and what
 * begun orders still need?  Orders that each hold part of the room and wait for the rest would
 * deadlock until their results expire. */
static bool
can_begin (const struct batch_pool *pool,
           const struct capacity *capacity,
           const struct batch_order *order)
{
  uint64_t committed = capacity->used + pool->reserved_bytes;

  return order->begun || pool->spec.result_bytes_max == 0 || committed == 0
         || committed + order->n_pending * order->result_size <= capacity->room;
}

/* An order that can no longer be in time goes behind those that can: served first, as the earliest
 * due, it would make the next one late too, and so all of them. */
bool
batch_is_late (const struct batch_pool *pool, const struct batch_demand *demand, int64_t now)
{
  return now + batch_expected_time (pool, 1) + BATCH_LATE_MARGIN > demand->due;
}

static bool
is_preferred (const struct batch_order *order, const struct batch_target *target)
{
  return order->preferred_domain[0] == '\0'
         || strcmp (order->preferred_domain, target->target->domain) == 0;
}

/* Must the order go to a target in its preferred failure domain, where its results are wanted?
 * Only while it has time to spare, no more is queued than fills one call, and there is such a
 * target. */
static bool
must_wait_for_preferred (const struct batch_pool *pool,
                         const struct batch_order *order,
                         int64_t now)
{
  if (order->preferred_domain[0] == '\0' || pool->n_pending > pool->spec.pieces
      || now + batch_expected_time (pool, 1) + BATCH_LOCALITY_SLACK >= order->demand.due)
    return false;
  for (const struct batch_target *target = pool->targets; target != NULL; target = target->next)
    if (target->target != NULL && target->target->usable
        && balance_backoff_left (target->target, now) == 0
        && strcmp (target->target->domain, order->preferred_domain) == 0)
      return true;
  return false;
}

/* Pieces of an order during whose call a target crashed share no call with those of another
 * order. */
static bool
can_share_call (const struct batch_order *order, const struct draft *draft)
{
  return draft->newest == NULL || draft->newest == order
         || (!batch_order_is_isolated (order) && !batch_order_is_isolated (draft->newest));
}

static bool
fits (const struct batch_pool *pool,
      const struct capacity *capacity,
      const struct batch_order *order,
      const struct batch_target *target,
      const struct draft *draft,
      int64_t now)
{
  return now >= order->not_before && can_share_call (order, draft)
         && has_room (pool, capacity, target, order, draft, 1) && can_begin (pool, capacity, order)
         && !would_split (pool, capacity, target, order, draft)
         && (is_preferred (order, target) || !must_wait_for_preferred (pool, order, now));
}

/* Chooses the idle target of the next call among those for which there is an order: the one with
 * the lowest slowness, to which 1 is added outside the order's preferred failure domain. */
static struct batch_target *
choose_target (struct batch_pool *pool, const struct capacity *capacity, int64_t now)
{
  const struct draft empty = { .places = pool->spec.pieces };
  struct batch_target *best = NULL;
  double best_cost = 0;

  for (uint32_t i = 0; i < capacity->n_idle; i++)
    {
      struct batch_target *target = capacity->idle[i];
      struct batch_order *order;
      double cost;

      DL_FOREACH (pool->queue, order)
        if (fits (pool, capacity, order, target, &empty, now))
          break;
      if (order == NULL)
        continue;
      cost = target->slowness + (is_preferred (order, target) ? 0.0 : 1.0);
      if (best == NULL || cost < best_cost)
        {
          best = target;
          best_cost = cost;
        }
    }
  return best;
}

/* Takes a piece of the order for a call.  The results of an order are all read together, so an
 * order without a preferred failure domain prefers that of its first piece from here on. */
static void
take_piece (struct batch_order *order,
            const struct batch_target *target,
            struct capacity *capacity,
            struct batch_piece *out)
{
  batch_dequeue (order);
  if (order->preferred_domain[0] == '\0')
    text_copy_truncated (order->preferred_domain, sizeof order->preferred_domain,
                         target->target->domain);
  *out = (struct batch_piece){
    .serial = order->serial,
    .index = order->pending[--order->n_pending],
    .result_size = order->result_size,
  };
  order->begun = true;
  capacity->used += order->result_size;
  /* Reserves room for the rest, as the order is begun. */
  batch_enqueue (order);
}

/* The pass in which an order is considered for a target: orders that can be in time before those
 * that cannot; within each group, orders that prefer the target's failure domain, or have no time
 * to wait for a target in their own, before the others.  With a queue to choose from, most results
 * then need not cross domains, and no target stays idle for it. */
static int
pass_of (const struct batch_pool *pool,
         const struct batch_order *order,
         const struct batch_target *target,
         int64_t now)
{
  bool late = batch_is_late (pool, &order->demand, now);
  bool near = is_preferred (order, target);
  bool short_of_time =
      now + batch_expected_time (pool, 1) + BATCH_ANY_DOMAIN_SLACK > order->demand.due;

  return (late ? 2 : 0) + (near || (short_of_time && !late) ? 0 : 1);
}

/* Takes pieces for one call: in queue order those that fit and may go there, even if other targets
 * are idle.  Most of a call's time does not depend on the number of pieces, and a target takes one
 * call at a time: spread over idle targets, an order would be done 0.1 s sooner and keep all of
 * them from the next one.  Mean worth over 40 days: 0.488 if spread, 0.511 if packed. */
static uint32_t
take_pieces (struct batch_pool *pool,
             const struct batch_target *target,
             struct capacity *capacity,
             int64_t now,
             struct batch_piece out[BATCH_CALL_PIECES_MAX])
{
  struct draft draft = { .places = pool->spec.pieces };
  uint32_t n = 0;

  for (int pass = 0; pass < PASSES; pass++)
    {
      struct batch_order *order;
      struct batch_order *next;

      DL_FOREACH_SAFE (pool->queue, order, next)
        {
          if (pass_of (pool, order, target, now) != pass)
            continue;
          while (draft.places > 0 && order->n_pending > 0
                 && fits (pool, capacity, order, target, &draft, now))
            {
              draft.size += order->result_size;
              draft.places--;
              draft.newest = order;
              take_piece (order, target, capacity, &out[n++]);
            }
          if (draft.places == 0)
            return n;
        }
    }
  return n;
}

/* The targets now fetch the inputs of these pieces: notifies the caller of each order whose last
 * piece was taken. */
static void
notify_taken (struct batch_pool *pool, const struct batch_piece *pieces, uint32_t n, int64_t now)
{
  for (uint32_t i = 0; i < n; i++)
    {
      struct batch_order *order = batch_order_of (pool->batch, &pieces[i]);
      bool last = i + 1 == n || pieces[i + 1].serial != pieces[i].serial;

      if (order != NULL && last && order->n_pending == 0 && order->ops->taken != NULL)
        order->ops->taken (order, now);
    }
}

void
batch_dispatch (struct batch_pool *pool, int64_t now)
{
  end_late_orders (pool, now);
  while (pool->queue != NULL)
    {
      struct batch_piece pieces[BATCH_CALL_PIECES_MAX];
      struct capacity capacity;
      struct batch_target *target;
      uint32_t n;

      read_capacity (pool, now, &capacity);
      target = choose_target (pool, &capacity, now);
      if (target == NULL)
        return;
      n = take_pieces (pool, target, &capacity, now, pieces);
      if (n > 0 && batch_call_start (pool, target, pieces, n, now))
        {
          notify_taken (pool, pieces, n, now);
          continue;
        }
      target->paused_until = now + BATCH_NO_ROOM_PAUSE;
      for (uint32_t i = 0; i < n; i++)
        batch_requeue (pool, &pieces[i], true, now);
    }
}
