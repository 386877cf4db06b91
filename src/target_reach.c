/* Observes which pools this host reaches. */
#include "target_reach.h"
#include "container.h"
#include "log.h"
#include "tcp.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/* A tick that is later than this shows that the process did not run, and time-outs that passed
 * meanwhile show nothing. */
#define TICK_LATE_MAX (300 * USEC_PER_MSEC)

struct probe
{
  struct tcp_stream stream;
  struct timer timer;
  struct target_reach *reach;
  struct pool_reach *pool;
  uint64_t target;
};

/* A pool's state, and when it was probed. */
struct observed_pool
{
  struct pool_reach state; /* must be first: probes point to it */
  int64_t probed_at;       /* or a call failed, which takes the place of the first probe */
  int64_t used_at;         /* when a call last connected, was answered or failed; 0: never */
  uint32_t n_probes;
};

struct target_reach
{
  struct h1_path_listener paths;
  struct target_reach_config config;
  struct observed_pool pools[TARGET_REACH_POOLS_MAX];
  uint32_t n_pools;
  struct probe probes[TARGET_REACH_PROBES_MAX];
  uint64_t seed; /* of the order in which targets are probed, another one on each host */
  struct timer tick;
  struct counter *n_probed;
  struct counter *n_lost;
};

/* ---- pools ---- */

static struct observed_pool *
find_pool (const struct target_reach *reach, const char *name)
{
  for (uint32_t i = 0; i < reach->n_pools; i++)
    if (strcmp (reach->pools[i].state.pool, name) == 0)
      return (struct observed_pool *) &reach->pools[i];
  return NULL;
}

static struct observed_pool *
get_pool (struct target_reach *reach, const char *name)
{
  struct observed_pool *pool = find_pool (reach, name);

  if (pool != NULL || reach->n_pools == TARGET_REACH_POOLS_MAX)
    return pool;
  pool = &reach->pools[reach->n_pools++];
  text_copy_truncated (pool->state.pool, sizeof pool->state.pool, name);
  return pool;
}

static bool
needs_probes (const struct observed_pool *pool)
{
  return pool->state.lost || pool->state.failing_since != 0;
}

/* Adds the pools of usable targets that no call has failed to yet. */
static void
find_pools (struct target_reach *reach)
{
  for (const struct balance_target *at = reach->config.balance->targets; at != NULL; at = at->next)
    if (at->usable)
      (void) get_pool (reach, at->pool);
}

static int64_t
sound_period (const struct observed_pool *pool, int64_t now)
{
  bool used = pool->used_at != 0 && now - pool->used_at <= TARGET_REACH_USE_TTL;

  return used ? TARGET_REACH_SOUND_PERIOD : TARGET_REACH_UNUSED_PERIOD;
}

static int64_t
probe_period (const struct observed_pool *pool, int64_t now)
{
  if (pool->state.lost)
    return TARGET_REACH_LOST_PERIOD;
  return pool->state.failing_since != 0 ? TARGET_REACH_PERIOD : sound_period (pool, now);
}

static const struct balance_target *
find_target (const struct target_reach *reach, const char *address)
{
  for (const struct balance_target *at = reach->config.balance->targets; at != NULL; at = at->next)
    if (at->usable && strcmp (at->address, address) == 0)
      return at;
  return NULL;
}

static struct pool_reach_targets
read_targets (const struct target_reach *reach, struct pool_reach *pool)
{
  struct pool_reach_targets targets = { .n = 0 };

  for (const struct balance_target *at = reach->config.balance->targets; at != NULL; at = at->next)
    {
      if (strcmp (at->pool, pool->pool) != 0)
        continue;
      if (at->evacuated)
        pool_reach_forget (pool, at->id_hash);
      if (!at->usable)
        continue;
      targets.n++;
      if (pool_reach_is_unreachable (pool, at->id_hash)
          && at->record->last_heard_at > targets.renewed_at)
        targets.renewed_at = at->record->last_heard_at;
    }
  return targets;
}

static void
report_change (struct target_reach *reach,
               const struct pool_reach *pool,
               const struct pool_reach_targets *targets,
               int64_t now)
{
  int64_t since = pool->failing_since == 0 ? now : pool->failing_since;

  log_event (
      LOG_MODULE_FLOW, LOG_LEVEL_WARNING, pool->lost ? "pool-lost" : "pool-regained",
      "{s:s,s:i,s:i,s:I,s:I}", "pool", pool->pool, "targets", (int) targets->n, "unreachable",
      (int) pool->n_unreachable, "failing_ms", (json_int_t) ((now - since) / USEC_PER_MSEC),
      "renewed_ms",
      (json_int_t) (targets->renewed_at == 0 ? -1 : (now - targets->renewed_at) / USEC_PER_MSEC));
  if (reach->config.listener != NULL)
    reach->config.listener->ops->changed (reach->config.listener, pool->pool, pool->lost, now);
}

static void
update (struct target_reach *reach, struct pool_reach *pool, int64_t now)
{
  struct pool_reach_targets targets = read_targets (reach, pool);
  const char *lost[TARGET_REACH_POOLS_MAX];

  if (!pool_reach_update (pool, &targets, now))
    return;
  gauge_set (reach->n_lost, target_reach_list_lost (reach, lost));
  report_change (reach, pool, &targets, now);
}

/* ---- probes ---- */

static void
end_probe (struct probe *probe)
{
  timer_disarm (loop_timers (probe->reach->config.loop), &probe->timer);
  if (probe->stream.open)
    tcp_close (&probe->stream, true);
  probe->pool = NULL;
}

static void
probe_connected (struct tcp_stream *stream, int64_t now)
{
  struct probe *probe = CONTAINER_OF (stream, struct probe, stream);
  struct pool_reach *pool = probe->pool;

  end_probe (probe);
  pool_reach_connected (pool, now);
  update (probe->reach, pool, now);
}

static void
probe_received (struct tcp_stream *stream, const char *data, size_t length, int64_t now)
{
  (void) stream;
  (void) data;
  (void) length;
  (void) now;
}

static void
probe_failed (struct probe *probe, int64_t now)
{
  struct pool_reach *pool = probe->pool;

  end_probe (probe);
  pool_reach_failed (pool, probe->target, true, now);
  update (probe->reach, pool, now);
}

static void
probe_ended (struct tcp_stream *stream, enum tcp_end end, int64_t now)
{
  (void) end;
  probe_failed (CONTAINER_OF (stream, struct probe, stream), now);
}

static const struct tcp_stream_ops probe_ops = {
  .connected = probe_connected,
  .received = probe_received,
  .ended = probe_ended,
};

static void
probe_fired (struct timer *timer, int64_t now)
{
  probe_failed (CONTAINER_OF (timer, struct probe, timer), now);
}

static const struct timer_ops probe_timer_ops = { .fire = probe_fired };

static struct probe *
find_free_probe (struct target_reach *reach)
{
  for (uint32_t i = 0; i < TARGET_REACH_PROBES_MAX; i++)
    if (reach->probes[i].pool == NULL)
      return &reach->probes[i];
  return NULL;
}

static bool
is_being_probed (const struct target_reach *reach, uint64_t target)
{
  for (uint32_t i = 0; i < TARGET_REACH_PROBES_MAX; i++)
    if (reach->probes[i].pool != NULL && reach->probes[i].target == target)
      return true;
  return false;
}

/* Targets in an order that changes with each probe and differs between hosts, so that these do not
 * all probe the same one; targets known to be unreachable last. */
static const struct balance_target *
choose_target (const struct target_reach *reach, const struct observed_pool *pool)
{
  const struct balance_target *chosen = NULL;
  uint64_t least = UINT64_MAX;

  for (const struct balance_target *at = reach->config.balance->targets; at != NULL; at = at->next)
    {
      uint64_t order =
          XXH3_64bits_withSeed (&at->id_hash, sizeof at->id_hash, reach->seed + pool->n_probes)
          >> 1;

      if (!at->usable || strcmp (at->pool, pool->state.pool) != 0
          || is_being_probed (reach, at->id_hash))
        continue;
      if (pool_reach_is_unreachable (&pool->state, at->id_hash))
        order |= UINT64_C (1) << 63;
      if (chosen != NULL && order >= least)
        continue;
      chosen = at;
      least = order;
    }
  return chosen;
}

static void
begin_probe (struct target_reach *reach, struct observed_pool *pool, int64_t now)
{
  const struct balance_target *target = choose_target (reach, pool);
  struct probe *probe = target == NULL ? NULL : find_free_probe (reach);
  struct loop *loop = reach->config.loop;

  pool->probed_at = now;
  if (probe == NULL)
    return;
  pool->n_probes++;
  counter_add (reach->n_probed, 1);
  probe->stream = (struct tcp_stream){ .fd = -1 };
  if (tcp_connect (&probe->stream, &probe_ops, loop, target->address) != STATUS_OK)
    {
      log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "probe-failed", "{s:s,s:s}", "address",
                 target->address, "message", status_message ());
      return;
    }
  probe->pool = &pool->state;
  probe->target = target->id_hash;
  timer_arm (loop_timers (loop), &probe->timer, now + TARGET_REACH_PROBE_TIMEOUT);
}

/* ---- time ---- */

static void
restart (struct target_reach *reach)
{
  for (uint32_t i = 0; i < TARGET_REACH_PROBES_MAX; i++)
    if (reach->probes[i].pool != NULL)
      end_probe (&reach->probes[i]);
  for (uint32_t i = 0; i < reach->n_pools; i++)
    pool_reach_restart (&reach->pools[i].state);
}

static int64_t
next_probe_at (const struct observed_pool *pool, int64_t now)
{
  int64_t since = pool->probed_at;

  if (!needs_probes (pool) && pool->state.connected_at > since)
    since = pool->state.connected_at;
  return since + probe_period (pool, now);
}

static void
tick_fired (struct timer *timer, int64_t now)
{
  struct target_reach *reach = CONTAINER_OF (timer, struct target_reach, tick);
  bool any = false;

  if (now - timer->due > TICK_LATE_MAX)
    restart (reach);
  find_pools (reach);
  for (uint32_t i = 0; i < reach->n_pools; i++)
    {
      struct observed_pool *pool = &reach->pools[i];

      any = any || needs_probes (pool);
      update (reach, &pool->state, now);
      if (now >= next_probe_at (pool, now))
        begin_probe (reach, pool, now);
    }
  timer_arm (loop_timers (reach->config.loop), timer,
             now + (any ? TARGET_REACH_PERIOD : TARGET_REACH_SOUND_PERIOD));
}

static const struct timer_ops tick_ops = { .fire = tick_fired };

/* ---- calls ---- */

static void
path_worked (struct h1_path_listener *listener, const char *address, bool connected, int64_t now)
{
  struct target_reach *reach = CONTAINER_OF (listener, struct target_reach, paths);
  const struct balance_target *target = find_target (reach, address);
  struct observed_pool *pool = target == NULL ? NULL : find_pool (reach, target->pool);

  if (pool == NULL)
    return;
  pool->used_at = now;
  if (connected)
    pool_reach_connected (&pool->state, now);
  else
    pool_reach_answered (&pool->state, now);
  update (reach, &pool->state, now);
}

/* The first probe waits for a period, as a call may connect to another target before. */
static void
path_failed (struct h1_path_listener *listener, const char *address, bool unreachable, int64_t now)
{
  struct target_reach *reach = CONTAINER_OF (listener, struct target_reach, paths);
  const struct balance_target *target = find_target (reach, address);
  struct observed_pool *pool = target == NULL ? NULL : get_pool (reach, target->pool);

  if (pool == NULL)
    return;
  pool->used_at = now;
  if (!needs_probes (pool))
    pool->probed_at = now;
  pool_reach_failed (&pool->state, target->id_hash, unreachable, now);
  update (reach, &pool->state, now);
  if (reach->tick.due > now + TARGET_REACH_PERIOD)
    timer_arm (loop_timers (reach->config.loop), &reach->tick, now + TARGET_REACH_PERIOD);
}

static const struct h1_path_listener_ops path_ops = {
  .worked = path_worked,
  .failed = path_failed,
};

struct h1_path_listener *
target_reach_path_listener (struct target_reach *reach)
{
  return &reach->paths;
}

/* ---- queries ---- */

bool
target_reach_is_lost (const struct target_reach *reach, const char *pool)
{
  const struct observed_pool *found = reach == NULL ? NULL : find_pool (reach, pool);

  return found != NULL && found->state.lost;
}

bool
target_reach_is_cut_off (const struct target_reach *reach, const char *pool, int64_t now)
{
  const struct observed_pool *found = reach == NULL ? NULL : find_pool (reach, pool);

  return found != NULL && pool_reach_is_cut_off (&found->state, now);
}

bool
target_reach_is_in_doubt (const struct target_reach *reach, const char *pool)
{
  const struct observed_pool *found = reach == NULL ? NULL : find_pool (reach, pool);

  return found != NULL && needs_probes (found);
}

uint32_t
target_reach_list_lost (const struct target_reach *reach, const char *out[TARGET_REACH_POOLS_MAX])
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < reach->n_pools; i++)
    if (reach->pools[i].state.lost)
      out[n++] = reach->pools[i].state.pool;
  return n;
}

/* ---- setup ---- */

static int
free_reach (struct target_reach *reach)
{
  timer_disarm (loop_timers (reach->config.loop), &reach->tick);
  for (uint32_t i = 0; i < TARGET_REACH_PROBES_MAX; i++)
    if (reach->probes[i].pool != NULL)
      end_probe (&reach->probes[i]);
  return 0;
}

struct target_reach *
target_reach_new (void *parent, const struct target_reach_config *config)
{
  struct target_reach *reach = talloc_zero (parent, struct target_reach);

  if (reach == NULL)
    return NULL;
  reach->config = *config;
  reach->seed = rng_u64 (&config->balance->rng);
  reach->paths.ops = &path_ops;
  reach->tick.ops = &tick_ops;
  for (uint32_t i = 0; i < TARGET_REACH_PROBES_MAX; i++)
    {
      reach->probes[i].reach = reach;
      reach->probes[i].timer.ops = &probe_timer_ops;
    }
  reach->n_probed = counter_get (config->counters, "cherryarch_reach_probes_total",
                                 "Targets asked to accept a connection.", NULL);
  reach->n_lost = gauge_get (config->counters, "cherryarch_reach_lost_pools",
                             "Pools of which this host reaches no target.", NULL);
  timer_arm (loop_timers (config->loop), &reach->tick,
             loop_now (config->loop) + TARGET_REACH_SOUND_PERIOD);
  talloc_set_destructor (reach, free_reach);
  return reach;
}
