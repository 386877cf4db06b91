/* Determines whether a target ended when a connection to it broke. */
#include "container.h"
#include "log.h"
#include "target_watch_private.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

static const char *const fate_texts[] = {
#define X(name, text) [TARGET_FATE_##name] = text,
  TARGET_FATE_LIST (X)
#undef X
};

const char *
target_fate_text (enum target_fate fate)
{
  return fate_texts[fate];
}

struct watched *
watched_find (const struct target_watch *watch, uint64_t incarnation)
{
  struct watched *watched;

  DL_FOREACH (watch->watched, watched)
    if (watched->incarnation == incarnation)
      return watched;
  return NULL;
}

static void
log_fate (const struct watched *watched, enum target_fate fate, const char *by, int64_t now)
{
  counter_add (watched->watch->fates[fate], 1);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "target-fate", "{s:s,s:s,s:s,s:s,s:i,s:I}", "target",
             watched->id, "address", watched->address, "fate", fate_texts[fate], "by", by, "breaks",
             (int) watched->breaks, "after_ms",
             (json_int_t) ((now - watched->broke_at) / USEC_PER_MSEC));
}

/* Report the fate at the breaks up to `until`.  That a target lives on whose answers only ended is
 * no news. */
static void
report_fate (
    struct watched *watched, enum target_fate fate, const char *by, int64_t until, int64_t now)
{
  struct target_watch *watch = watched->watch;

  if (watched->asked_at != 0 || fate == TARGET_FATE_ENDED)
    log_fate (watched, fate, by, now);
  if (watch->config.listener != NULL)
    watch->config.listener->ops->fate (watch->config.listener, watched->incarnation, fate, until,
                                       now);
}

void
watched_set_fate (struct watched *watched, enum target_fate fate, const char *by, int64_t now)
{
  watched->fate = fate;
  report_fate (watched, fate, by, now, now);
}

/* ---- the registry ---- */

/* The target was alive at `alive`, so it did not end at the breaks before. */
static void
note_alive (struct watched *watched, int64_t alive, const char *by, int64_t now)
{
  bool all = alive >= watched->last_broke_at;

  if (!all && (watched->fate != TARGET_FATE_UNKNOWN || alive < watched->broke_at))
    return;
  if (all)
    watched->fate = TARGET_FATE_LIVES;
  report_fate (watched, TARGET_FATE_LIVES, by, alive, now);
  watched->broke_at = alive + 1;
}

static void
check_registry (struct watched *watched, int64_t now)
{
  const struct registry_target *record =
      registry_find (watched->watch->config.registry, watched->id);
  const char *ended = NULL;

  if (record == NULL
      || (watched->started != 0 && record->registration.started_unix_ms != watched->started))
    ended = "another incarnation";
  else if (record->registration.state == REGISTRY_GONE)
    ended = "reported as gone";
  else if (record->expired)
    ended = "its lease has expired";
  if (ended != NULL && watched->fate == TARGET_FATE_UNKNOWN)
    watched_set_fate (watched, TARGET_FATE_ENDED, ended, now);
  if (ended == NULL && watched->fate != TARGET_FATE_LIVES)
    note_alive (watched, record->last_heard_at - TARGET_WATCH_RENEWAL_DELAY_MAX - 1,
                "it renewed its registration", now);
}

static void
drop_watched (struct watched *watched)
{
  struct target_watch *watch = watched->watch;

  watched_end_probe (watched);
  DL_DELETE (watch->watched, watched);
  watch->n--;
  talloc_free (watched);
}

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct target_watch *watch = CONTAINER_OF (timer, struct target_watch, timer);
  struct watched *watched;
  struct watched *next;

  DL_FOREACH_SAFE (watch->watched, watched, next)
    {
      check_registry (watched, now);
      watched_probe (watched, now);
      if (watched->fate != TARGET_FATE_LIVES && now < watched->broke_at + TARGET_WATCH_DURATION)
        continue;
      if (watched->fate == TARGET_FATE_UNKNOWN)
        watched_set_fate (watched, TARGET_FATE_UNKNOWN, "neither shown before the watch ended",
                          now);
      drop_watched (watched);
    }
  if (watch->watched != NULL)
    timer_arm (loop_timers (watch->config.loop), timer, now + TARGET_WATCH_PERIOD);
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

/* ---- breaks ---- */

enum target_fate
target_watch_fate (const struct target_watch *watch, uint64_t incarnation)
{
  const struct watched *watched = watched_find (watch, incarnation);

  return watched == NULL ? TARGET_FATE_UNKNOWN : watched->fate;
}

bool
target_watch_is_watched (const struct target_watch *watch, uint64_t incarnation)
{
  return watched_find (watch, incarnation) != NULL;
}

static struct watched *
add (struct target_watch *watch, const struct balance_target *target, int64_t now)
{
  struct watched *watched;

  if (watch->n == TARGET_WATCHES_MAX)
    return NULL;
  watched = talloc_zero (watch, struct watched);
  if (watched == NULL)
    return NULL;
  watched->watch = watch;
  text_copy_truncated (watched->id, sizeof watched->id, target->id);
  text_copy_truncated (watched->address, sizeof watched->address, target->address);
  text_copy_truncated (watched->pool, sizeof watched->pool, target->pool);
  watched->started = target->started;
  watched->incarnation = target->id_hash;
  watched->broke_at = now;
  watched->probe_timer.ops = &watched_probe_timer_ops;
  DL_APPEND (watch->watched, watched);
  watch->n++;
  return watched;
}

/* The target was shown to live, and the watch not dropped yet: that tells nothing of what follows.
 */
static void
begin_again (struct watched *watched, int64_t now)
{
  watched->fate = TARGET_FATE_UNKNOWN;
  watched->broke_at = now;
  watched->breaks = 0;
  watched->asked_at = 0;
}

/* The watch of the target, which begins now unless it is watched already.  NULL if it is not
 * watched: a leaving target ends all its connections, whatever requests run on them, and the
 * machines of an evacuated one may be switched off. */
static struct watched *
get_watched (struct target_watch *watch, const struct balance_target *target, int64_t now)
{
  struct watched *watched = watched_find (watch, target->id_hash);

  if (target->leaving || target->evacuated)
    return NULL;
  if (watched != NULL && watched->fate == TARGET_FATE_LIVES)
    begin_again (watched, now);
  if (watched != NULL)
    return watched;
  watched = add (watch, target, now);
  if (watched == NULL)
    {
      counter_add (watch->unwatched, 1);
      return NULL;
    }
  watched->last_broke_at = now;
  check_registry (watched, now);
  if (!timer_is_armed (&watch->timer))
    timer_arm (loop_timers (watch->config.loop), &watch->timer, now + TARGET_WATCH_PERIOD);
  return watched;
}

/* Probe it now, or when it may be probed again. */
static void
ask (struct watched *watched, int64_t now)
{
  watched->asked_at = now;
  watched_probe (watched, now);
}

enum target_fate
target_watch_connection_broke (struct target_watch *watch,
                               const struct balance_target *target,
                               int64_t now)
{
  struct watched *watched = get_watched (watch, target, now);

  if (watched == NULL && !target->leaving && !target->evacuated)
    log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "target-not-watched", "{s:s,s:i}", "target",
               target->id, "watched", (int) watch->n);
  if (watched == NULL)
    return TARGET_FATE_UNKNOWN;
  watched->breaks++;
  watched->last_broke_at = now;
  ask (watched, now);
  return watched->fate;
}

enum target_fate
target_watch_connection_ended (struct target_watch *watch,
                               const struct balance_target *target,
                               int64_t now)
{
  struct watched *watched = get_watched (watch, target, now);

  if (watched == NULL)
    return TARGET_FATE_UNKNOWN;
  watched->last_broke_at = now;
  return watched->fate;
}

void
target_watch_answered (struct target_watch *watch, uint64_t incarnation, int64_t now)
{
  struct watched *watched = watched_find (watch, incarnation);

  if (watched != NULL && watched->fate != TARGET_FATE_LIVES)
    note_alive (watched, now - TARGET_WATCH_ANSWER_DELAY_MAX, "it answers", now);
}

void
target_watch_connection_refused (struct target_watch *watch,
                                 const struct balance_target *target,
                                 int64_t now)
{
  struct watched *watched = watched_find (watch, target->id_hash);

  if (watched != NULL)
    ask (watched, now);
}

static int
free_watch (struct target_watch *watch)
{
  while (watch->watched != NULL)
    drop_watched (watch->watched);
  timer_disarm (loop_timers (watch->config.loop), &watch->timer);
  return 0;
}

static void
register_counters (struct target_watch *watch)
{
  for (int fate = 0; fate < TARGET_FATE_COUNT; fate++)
    {
      char label[32];

      snprintf (label, sizeof label, "fate=\"%s\"", fate_texts[fate]);
      watch->fates[fate] =
          counter_get (watch->config.counters, "cherryarch_target_fates_total",
                       "Incarnations whose connections broke, by what became of them.", label);
    }
  watch->unwatched =
      counter_get (watch->config.counters, "cherryarch_target_fates_passed_over_total",
                   "Broken connections whose target could not be watched.", NULL);
}

struct target_watch *
target_watch_new (void *parent, const struct target_watch_config *config)
{
  struct target_watch *watch = talloc_zero (parent, struct target_watch);

  if (watch == NULL)
    return NULL;
  watch->config = *config;
  watch->timer.ops = &timer_ops;
  register_counters (watch);
  talloc_set_destructor (watch, free_watch);
  return watch;
}
