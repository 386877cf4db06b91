/* Index of targets by pool, updated by the board's events, so that a choice scans only the targets
 * of one pool. */
#include "decide_state.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

#define UNHASHED_CACHED_SHARE_START 0.5 /* initial value of the learned share */
#define SLOPE_START 0.5                 /* initial value: a full batch takes 1.5 times as long */
#define FILL_START 0.3
#define DEFAULT_SLOTS 8 /* when neither the target nor its pool gives a number */

/* The size comes from uthash's macros.
 * NOLINTBEGIN(readability-function-size) */
struct decide_pool *
decide_pool_get (struct decide *decide, const char *name)
{
  struct decide_pool *pool;

  HASH_FIND_STR (decide->pools, name, pool);
  if (pool != NULL)
    return pool;
  pool = talloc_zero (decide, struct decide_pool);
  if (pool == NULL)
    return NULL;
  text_copy_truncated (pool->name, sizeof pool->name, name);
  pool->unhashed_cached_share = UNHASHED_CACHED_SHARE_START;
  pool->drift = 1;
  HASH_ADD_STR (decide->pools, name, pool);
  return pool;
}

/* NOLINTEND(readability-function-size) */

struct decide_model *
decide_model_get (struct decide_pool *pool, const char *model)
{
  struct decide_model *entry;
  uint32_t i;

  for (i = 0; i < pool->n_models; i++)
    if (strcmp (pool->models[i].model, model) == 0)
      return &pool->models[i];
  /* Models beyond DECIDE_MODELS_MAX share the last entry. */
  if (pool->n_models == DECIDE_MODELS_MAX)
    return &pool->models[DECIDE_MODELS_MAX - 1];
  entry = &pool->models[pool->n_models++];
  text_copy_truncated (entry->model, sizeof entry->model, model);
  entry->first_slope = (struct decide_slope){ .slope = SLOPE_START, .mean_fill = FILL_START };
  entry->token_slope = entry->first_slope;
  return entry;
}

static bool
pool_append (struct decide_pool *pool, struct decide_target *target)
{
  if (pool->n_targets == pool->capacity)
    {
      uint32_t capacity = pool->capacity == 0 ? 16 : pool->capacity * 2;
      struct decide_target **targets =
          talloc_realloc (pool, pool->targets, struct decide_target *, capacity);

      if (targets == NULL)
        return false;
      pool->targets = targets;
      pool->capacity = capacity;
    }
  target->pool = pool;
  target->position = pool->n_targets;
  pool->targets[pool->n_targets++] = target;
  return true;
}

static void
pool_remove (struct decide_target *target)
{
  struct decide_pool *pool = target->pool;
  struct decide_target *last = pool->targets[--pool->n_targets];

  pool->log_slowness -= target->log_slowness;
  pool->targets[target->position] = last;
  last->position = target->position;
  if (target->eject.until != 0 && pool->n_ejected > 0)
    pool->n_ejected--;
  /* Its attempts end after the target is removed and would not be subtracted then. */
  pool->running -= target->in_flight < pool->running ? target->in_flight : pool->running;
}

static void
target_removed (struct decide *decide, struct handle handle)
{
  struct board_target *entry = table_get (decide->board->targets, handle);

  if (entry == NULL || entry->decide == NULL)
    return;
  pool_remove (entry->decide);
  TALLOC_FREE (entry->decide);
}

static void
target_added (struct decide *decide, struct handle handle, int64_t now)
{
  struct board_target *entry = table_get (decide->board->targets, handle);
  struct decide_pool *pool;
  struct decide_target *target;

  if (entry == NULL || entry->decide != NULL)
    return;
  pool = decide_pool_get (decide, entry->pool);
  target = pool == NULL ? NULL : talloc_zero (decide, struct decide_target);
  if (target == NULL)
    return;
  target->handle = handle;
  target->incarnation = entry->incarnation;
  target->added_at = now;
  target->slowness = 1;
  if (!pool_append (pool, target))
    {
      talloc_free (target);
      return;
    }
  entry->decide = target;
}

/* A new incarnation of the target: its cache is empty, and the failures of the previous process
 * do not apply to it.  Attempts on the previous process stay counted until they end. */
static void
target_restarted (struct decide *decide, struct decide_target *target, int64_t now)
{
  const struct board_target *entry = table_get (decide->board->targets, target->handle);

  target->incarnation = entry->incarnation;
  target->added_at = now;
  target->timed_out = false;
  if (target->eject.until != 0 && target->pool->n_ejected > 0)
    target->pool->n_ejected--;
  target->eject = (struct eject){ .until = 0 };
  target->slow = (struct slow_target){ .waiting = target->slow.waiting,
                                       .silent_since = target->slow.silent_since };
  decide_slowness_reset (target);
  prefix_remove_target (decide->prefixes, target->handle);
}

/* A target that moved to another pool is removed and added as a new one. */
static void
target_changed (struct decide *decide, struct handle handle, int64_t now)
{
  struct board_target *entry = table_get (decide->board->targets, handle);

  if (entry == NULL)
    return;
  if (entry->decide != NULL && strcmp (entry->decide->pool->name, entry->pool) != 0)
    target_removed (decide, handle);
  if (entry->decide != NULL && entry->decide->incarnation != entry->incarnation)
    target_restarted (decide, entry->decide, now);
  target_added (decide, handle, now);
}

void
decide_index_changed (struct board_subscriber *subscriber,
                      enum board_event event,
                      struct handle handle,
                      int64_t now)
{
  struct decide *decide = (struct decide *) subscriber;

  switch (event)
    {
    case BOARD_TARGET_ADDED:
    case BOARD_TARGET_CHANGED:
      target_changed (decide, handle, now);
      break;
    case BOARD_TARGET_REMOVED:
      target_removed (decide, handle);
      break;
    case BOARD_HOST_ADDED:
    case BOARD_HOST_CHANGED:
      decide->hosts = 0;
      break;
    default:
      break;
    }
}

void
decide_index_all (struct decide *decide, int64_t now)
{
  uint32_t cursor = 0;
  struct handle handle;

  while (table_next (decide->board->targets, &cursor, &handle) != NULL)
    target_added (decide, handle, now);
}

static uint32_t
slots_of (const struct decide *decide, const struct board_target *entry)
{
  const struct board_pool *declared = table_get (decide->board->pools, entry->pool_handle);

  if (entry->slots > 0)
    return entry->slots;
  return declared != NULL && declared->spec.slots > 0 ? declared->spec.slots : DEFAULT_SLOTS;
}

double
decide_target_slots (const struct decide *decide, const struct decide_target *target)
{
  const struct board_target *entry = table_get (decide->board->targets, target->handle);

  return entry == NULL ? 0 : slots_of (decide, entry);
}

/* Estimated share of the pool's slots in use: from reports as far as they are recent, else from
 * the assumption that every host has as many attempts there as this one. */
double
decide_pool_fill (const struct decide *decide, const struct decide_pool *pool)
{
  double estimated = pool->running * decide_hosts (decide);
  double load =
      pool->report_confidence * pool->reported + (1 - pool->report_confidence) * estimated;

  return pool->slots > 0 && load < pool->slots ? load / pool->slots : 1;
}

static double
count_hosts (const struct board *board)
{
  uint32_t cursor = 0;
  uint32_t alive = 0;
  const struct board_host *host;

  while ((host = table_next (board->hosts, &cursor, NULL)) != NULL)
    alive += host->self || host->state == HOST_ALIVE || host->state == HOST_SUSPECT;
  return alive == 0 ? 1 : alive;
}

/* Recounts when a host changed, or REFRESH_INTERVAL after the last count, not at each decision. */
void
decide_hosts_refresh (struct decide *decide, int64_t now)
{
  if (decide->hosts > 0 && now - decide->hosts_at < REFRESH_INTERVAL)
    return;
  decide->hosts = count_hosts (decide->board);
  decide->hosts_at = now;
}

/* Number of live hosts that share the targets, this one included. */
double
decide_hosts (const struct decide *decide)
{
  return decide->hosts > 0 ? decide->hosts : count_hosts (decide->board);
}

/* Weight of a report by its age: 1 when new, falling linearly to 0 at REPORT_TTL. */
double
decide_report_weight (const struct load_report *report, int64_t now)
{
  int64_t age = now - report->measured_at;

  if (report->received_at == 0 || age >= REPORT_TTL)
    return 0;
  return age <= 0 ? 1 : 1 - (double) age / REPORT_TTL;
}

/* Recounts the pool's capacity and its reported load, at most once per REFRESH_INTERVAL.  Reports
 * lag anyway, so recounting at each decision would gain nothing. */
void
decide_pool_refresh (struct decide *decide, struct decide_pool *pool, int64_t now)
{
  double reported = 0;
  double weight = 0;
  uint32_t usable = 0;
  int64_t since;
  uint32_t i;

  if (pool->refreshed_at != 0 && now - pool->refreshed_at < REFRESH_INTERVAL)
    return;
  since = pool->refreshed_at == 0 ? 0 : now - pool->refreshed_at;
  pool->refreshed_at = now;
  decide_drift_update (pool, now);
  pool->slots = 0;
  for (i = 0; i < pool->n_targets; i++)
    {
      struct decide_target *target = pool->targets[i];
      const struct board_target *entry = table_get (decide->board->targets, target->handle);
      double fresh;

      decide_slowness_decay (target, since);
      if (entry == NULL || !board_target_is_usable (entry, now) || target->eject.until > now)
        continue;
      usable++;
      pool->slots += slots_of (decide, entry) / target->slowness;
      fresh = decide_report_weight (&entry->report, now);
      reported += fresh * (entry->report.running + entry->report.waiting);
      weight += fresh;
    }
  pool->n_usable = usable;
  pool->report_confidence = usable == 0 ? 0 : weight / usable;
  pool->reported = weight > 0 ? reported / weight * usable : 0;
}
