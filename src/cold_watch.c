/* Reports which targets are cold. */
#include "cold_watch.h"
#include "container.h"
#include "log.h"
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* The metrics of a pool, at the index that it has in the balance. */
struct pool_metrics
{
  char pool[ROUTING_NAME_SIZE];
  uint64_t sent; /* of the pool, as counted last */
  uint64_t withheld;
  struct counter *cold;
  struct counter *n_sent;
  struct counter *n_withheld;
};

struct cold_watch
{
  struct cold_watch_config config;
  struct timer timer;
  struct pool_metrics metrics[ROUTING_POOLS_MAX];
};

static void
register_pool (struct cold_watch *watch, struct pool_metrics *metrics, const char *pool)
{
  struct counters *counters = watch->config.counters;
  char labels[ROUTING_NAME_SIZE + sizeof "pool=\"\""];

  snprintf (labels, sizeof labels, "pool=\"%s\"", pool);
  *metrics = (struct pool_metrics){
    .cold = gauge_get (counters, "cherryarch_cold_targets", "Targets that are cold.", labels),
    .n_sent = counter_get (counters, "cherryarch_cold_sent_total",
                           "Requests that this host sent to cold targets.", labels),
    .n_withheld = counter_get (counters, "cherryarch_cold_withheld_total",
                               "Choices of a target for which a cold one had no room.", labels),
  };
  memcpy (metrics->pool, pool, sizeof metrics->pool);
}

static void
update_pool (struct cold_watch *watch, uint32_t index)
{
  const struct balance_cold_pool *pool = &watch->config.balance->cold_pools[index];
  struct pool_metrics *metrics = &watch->metrics[index];

  if (metrics->cold == NULL || strcmp (metrics->pool, pool->name) != 0)
    register_pool (watch, metrics, pool->name);
  counter_add (metrics->n_sent, (double) (pool->sent - metrics->sent));
  counter_add (metrics->n_withheld, (double) (pool->withheld - metrics->withheld));
  metrics->sent = pool->sent;
  metrics->withheld = pool->withheld;
  gauge_set (metrics->cold, 0);
}

static void
update_target (struct cold_watch *watch, struct balance_target *target, int64_t now)
{
  const struct balance_cold_pool *pools = watch->config.balance->cold_pools;
  struct pool_metrics *metrics = &watch->metrics[target->cold_pool - pools];
  bool cold = balance_cold_left (target, now) > 0;

  counter_add (metrics->cold, cold && target->usable ? 1 : 0);
  if (cold == target->reported_cold)
    return;
  target->reported_cold = cold;
  (void) balance_may_send (watch->config.balance, target, BALANCE_REQUEST, now);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, cold ? "target-cold" : "target-warm",
             "{s:s,s:s,s:I,s:I,s:f,s:f,s:i}", "target", target->id, "pool", target->pool, "left_ms",
             (json_int_t) (balance_cold_left (target, now) / USEC_PER_MSEC), "restored_ms",
             (json_int_t) (target->record->restored_at == 0
                               ? -1
                               : (now - target->record->restored_at) / USEC_PER_MSEC),
             "part_per_sec", target->cold.part.per_sec, "part_burst", target->cold.part.burst,
             "starts", (int) cold_limit_starts (&target->cold, now));
}

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct cold_watch *watch = CONTAINER_OF (timer, struct cold_watch, timer);
  struct balance *balance = watch->config.balance;

  for (uint32_t i = 0; i < balance->n_cold_pools; i++)
    update_pool (watch, i);
  for (struct balance_target *at = balance->targets; at != NULL; at = at->next)
    if (at->cold_pool != NULL)
      update_target (watch, at, now);
  if (balance->n_cold_pools > 0)
    timer_arm (watch->config.timers, timer, now + COLD_WATCH_PERIOD);
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

void
cold_watch_pools_changed (struct cold_watch *watch, int64_t now)
{
  timer_fired (&watch->timer, now);
}

static int
free_watch (struct cold_watch *watch)
{
  timer_disarm (watch->config.timers, &watch->timer);
  return 0;
}

struct cold_watch *
cold_watch_new (void *parent, const struct cold_watch_config *config)
{
  struct cold_watch *watch = talloc_zero (parent, struct cold_watch);

  if (watch == NULL)
    return NULL;
  watch->config = *config;
  watch->timer.ops = &timer_ops;
  talloc_set_destructor (watch, free_watch);
  return watch;
}
