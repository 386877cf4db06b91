/* Admission control: which orders are rejected when submitted, and bookings of later stages.
 *
 * Load pattern: a burst of one class.  Orders arrive faster than the pool's targets make their
 * pieces.  If all were admitted, each would wait until it is late; its client would learn so only
 * when a retry is late too, and the work of earlier stages would be wasted.  So the owner estimates
 * the work ahead of an order and rejects it at once if it would be late: its client retries when
 * the queue may be shorter.  A request with several stages books the later ones when it begins, as
 * the full pool may be one of theirs; bookings count like queued orders. */
#include "batch_private.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

struct batch_booking
{
  char request[DIALECT_ID_SIZE];
  uint32_t stage;
  struct batch_demand demand;
  struct batch_booking *prev;
  struct batch_booking *next;
};

/* The slots that a target can fill: fewer where it names a limit on calls or is cold. */
static double
usable_slots (const struct batch_pool *pool, const struct balance_target *target, int64_t now)
{
  double call_time = (double) batch_expected_time (pool, pool->spec.pieces) / USEC_PER_SEC;
  double limited = balance_stage_rate (target, now) * call_time;

  return limited < pool->spec.slots ? limited : pool->spec.slots;
}

static double
count_slots (const struct batch_pool *pool, int64_t now)
{
  double n = 0;

  for (const struct balance_target *at = pool->batch->config.balance->targets; at != NULL;
       at = at->next)
    n += at->usable && batch_is_in_pool (pool, at) ? usable_slots (pool, at, now) : 0;
  return n;
}

/* The least time, in microseconds, in which all targets of the pool make that many pieces: with
 * full calls. */
static int64_t
estimate_time (const struct batch_pool *pool, uint32_t n_pieces, int64_t now)
{
  double calls = (double) n_pieces / pool->spec.pieces;
  double slots = count_slots (pool, now);

  return (int64_t) (calls * (double) batch_expected_time (pool, pool->spec.pieces)
                    / (slots == 0 ? 1 : slots));
}

/* Time until a target of the pool may be sent a call, where all name a limit. */
static int64_t
limits_wait (const struct batch_pool *pool, int64_t now)
{
  struct balance_pool_limits state =
      balance_read_limits (pool->batch->config.balance, pool->name, BALANCE_STAGE_WORK, now);

  return state.n_limited == 0 ? 0 : state.wait;
}

/* Counts the pieces that will be taken before those of the demand. */
static uint32_t
count_pieces_ahead (const struct batch_pool *pool, const struct batch_demand *demand, int64_t now)
{
  int64_t rank = batch_rank (demand);
  const struct batch_order *order;
  const struct batch_booking *booking;
  uint32_t n = 0;

  for (order = pool->queue; order != NULL && batch_rank (&order->demand) <= rank;
       order = order->next)
    if (!batch_is_late (pool, &order->demand, now))
      n += order->n_pending;
  DL_FOREACH (pool->bookings, booking)
    if (batch_rank (&booking->demand) <= rank && !batch_is_late (pool, &booking->demand, now))
      n += booking->demand.n_pieces;
  return n;
}

/* Drops bookings whose order never came: the request ended elsewhere, or the order went to another
 * owner. */
static void
drop_expired_bookings (struct batch_pool *pool, int64_t now)
{
  struct batch_booking *booking;
  struct batch_booking *next;

  DL_FOREACH_SAFE (pool->bookings, booking, next)
    {
      if (now <= booking->demand.due)
        continue;
      DL_DELETE (pool->bookings, booking);
      talloc_free (booking);
    }
}

bool
batch_reject_if_late (struct batch_pool *pool,
                      const struct batch_demand *demand,
                      const char *request,
                      uint32_t stage,
                      int64_t now)
{
  uint32_t pieces_ahead;
  int64_t wait;
  int64_t limit_wait;

  drop_expired_bookings (pool, now);
  pieces_ahead = count_pieces_ahead (pool, demand, now);
  wait = estimate_time (pool, pieces_ahead, now);
  limit_wait = limits_wait (pool, now);
  if (limit_wait > wait)
    wait = limit_wait;
  if (limit_wait == 0 && (!demand->may_reject || pieces_ahead == 0))
    return false;
  if (wait < USEC_NEVER && !batch_is_late (pool, demand, now + wait))
    return false;
  counter_add (pool->batch->rejected, 1);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "order-turned-away",
             "{s:s,s:i,s:s,s:s,s:i,s:i,s:I,s:I}", "id", request, "stage", (int) stage, "pool",
             pool->name, "domain", pool->domain, "pieces", (int) demand->n_pieces, "before",
             (int) pieces_ahead, "wait_us", (json_int_t) wait, "due_in_us",
             (json_int_t) (demand->due - now));
  return true;
}

bool
batch_book (struct batch *batch,
            const char *pool_name,
            const char *domain,
            const char *request,
            uint32_t stage,
            const struct batch_demand *demand,
            int64_t now)
{
  struct batch_pool *pool = batch_get_pool (batch, pool_name, domain);
  struct batch_booking *booking;

  /* The order of a lost pool will be made by another owner. */
  if (pool == NULL || pool->spec.pieces == 0
      || target_reach_is_cut_off (batch->reach, pool_name, now))
    return true;
  if (batch_reject_if_late (pool, demand, request, stage, now))
    return false;
  booking = talloc_zero (batch, struct batch_booking);
  if (booking == NULL)
    return true;
  booking->demand = *demand;
  booking->stage = stage;
  text_copy_truncated (booking->request, sizeof booking->request, request);
  DL_APPEND (pool->bookings, booking);
  return true;
}

void
batch_unbook (struct batch *batch,
              const char *pool_name,
              const char *domain,
              const char *request,
              uint32_t stage)
{
  struct batch_pool *pool = batch_get_pool (batch, pool_name, domain);
  struct batch_booking *booking;

  if (pool == NULL)
    return;
  DL_FOREACH (pool->bookings, booking)
    if (booking->stage == stage && strcmp (booking->request, request) == 0)
      break;
  if (booking == NULL)
    return;
  DL_DELETE (pool->bookings, booking);
  talloc_free (booking);
}
