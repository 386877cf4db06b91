/* Queueing delay of admitted work in a pool, by priority.
 *
 * Engines schedule by priority: a call waits for the backlog of its own and higher priorities, and
 * calls of higher priority that arrive later overtake it. */
#include "decide_state.h"
#include <math.h>

#define RATE_TIME_CONSTANT (5.0 * USEC_PER_SEC) /* time constant of the rate's decay */
/* Share of the expected later arrivals of higher priority that is counted.  They continue only as
 * long as the burst does, and admitting a call that then waits costs nothing. */
#define LATER_ARRIVALS_WEIGHT 0.4
#define HIGHER_PRIORITY_MAX 0.8 /* upper bound on the share of slots taken by higher priorities */

static double
decayed_rate (const struct decide_queue *queue, int64_t now)
{
  double age = (double) (now - queue->rate_at);

  return age > 0 ? queue->rate * exp (-age / RATE_TIME_CONSTANT) : queue->rate;
}

void
decide_queue_add (struct decide_queue *queue, double work, int64_t now)
{
  queue->count++;
  queue->work += work;
  queue->rate = decayed_rate (queue, now) + work * USEC_PER_SEC / RATE_TIME_CONSTANT;
  queue->rate_at = now;
}

void
decide_queue_remove (struct decide_queue *queue, double work)
{
  if (queue->count > 0)
    queue->count--;
  queue->work = queue->count == 0 ? 0 : fmax (0, queue->work - work);
}

/* Slots of the pool available to this host: an even split, or, by load reports, the larger of the
 * slots that other hosts leave free and this host's share of the running calls, since callers are
 * spread unevenly over hosts.
 *
 * XXX: when the callers use a few of many hosts (64 groups, 360 hosts), a loaded host's part is
 * too small at the start of a burst: random choice without admission attains 0.003 more. */
static double
available_slots (const struct decide *decide, const struct decide_pool *pool)
{
  double even = pool->slots / decide_hosts (decide);
  double others = fmax (0, pool->reported - pool->running);
  double ours = pool->running > 0 ? pool->slots * pool->running / (pool->running + others) : 0;

  return fmax (even, fmax (ours, pool->slots - others) * pool->report_confidence);
}

/* Expected queueing delay of a new call at `priority`, in microseconds.  `slope` is the relative
 * increase of the work's time when all slots are in use. */
double
decide_queue_wait (const struct decide *decide,
                   const struct decide_pool *pool,
                   uint32_t priority,
                   double slope,
                   int64_t now)
{
  double slots = available_slots (decide, pool);
  double count = 0;
  double work = 0;
  double higher = 0;
  double ahead;
  uint32_t i;

  if (slots <= 0)
    return USEC_PER_SEC;
  for (i = priority; i < DECIDE_PRIORITIES; i++)
    {
      count += pool->queues[i].count;
      work += pool->queues[i].work;
      if (i > priority)
        higher += decayed_rate (&pool->queues[i], now);
    }
  if (count < slots)
    return 0;
  ahead = work * (count - slots + 1) / count;
  higher = fmin (higher * (1 + slope) / slots, HIGHER_PRIORITY_MAX);
  return ahead * (1 + slope) / slots * (1 + LATER_ARRIVALS_WEIGHT * higher / (1 - higher))
         * USEC_PER_SEC;
}
