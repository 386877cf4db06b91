/* Determines whether a target ended when a connection to it broke. */
#include "target_watch.h"
#include "container.h"
#include "log.h"
#include "tcp.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>
#include <xxhash.h>

/* A watched incarnation. */
struct watched
{
  struct target_watch *watch;
  char id[ROUTING_NAME_SIZE];
  char address[ROUTING_NAME_SIZE];
  char pool[ROUTING_NAME_SIZE];
  uint64_t started;
  uint64_t incarnation;
  int64_t broke_at;      /* the first break that the target is not known to have outlived */
  int64_t last_broke_at; /* the last break */
  int64_t probed_at;     /* when the last probe began */
  uint32_t breaks;
  enum target_fate fate;
  bool refused;    /* the address refused the last probe */
  bool path_works; /* another target accepted a connection since that probe began */
  uint32_t n_controls;
  struct tcp_stream probe;
  struct tcp_stream control; /* to another target */
  struct timer probe_timer;
  struct watched *prev;
  struct watched *next;
};

struct target_watch
{
  struct target_watch_config config;
  struct watched *watched;
  uint32_t n;
  struct timer timer;
  struct counter *fates[TARGET_FATE_COUNT];
  struct counter *unwatched;
};

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

static struct watched *
find (const struct target_watch *watch, uint64_t incarnation)
{
  struct watched *watched;

  DL_FOREACH (watch->watched, watched)
    if (watched->incarnation == incarnation)
      return watched;
  return NULL;
}

/* Report the fate at the breaks up to `until`. */
static void
report_fate (
    struct watched *watched, enum target_fate fate, const char *by, int64_t until, int64_t now)
{
  struct target_watch *watch = watched->watch;

  counter_add (watch->fates[fate], 1);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "target-fate", "{s:s,s:s,s:s,s:s,s:i,s:I}", "target",
             watched->id, "address", watched->address, "fate", fate_texts[fate], "by", by, "breaks",
             (int) watched->breaks, "after_ms",
             (json_int_t) ((now - watched->broke_at) / USEC_PER_MSEC));
  if (watch->config.listener != NULL)
    watch->config.listener->ops->fate (watch->config.listener, watched->incarnation, fate, until,
                                       now);
}

/* Set the fate and report it for all breaks so far. */
static void
set_fate (struct watched *watched, enum target_fate fate, const char *by, int64_t now)
{
  watched->fate = fate;
  report_fate (watched, fate, by, now, now);
}

/* ---- the probe ---- */

static void
end_probe (struct watched *watched)
{
  timer_disarm (loop_timers (watched->watch->config.loop), &watched->probe_timer);
  if (watched->probe.open)
    tcp_close (&watched->probe, true);
}

static void
end_control (struct watched *watched)
{
  if (watched->control.open)
    tcp_close (&watched->control, true);
}

static void
conclude (struct watched *watched, int64_t now)
{
  if (watched->fate == TARGET_FATE_UNKNOWN && watched->refused && watched->path_works)
    set_fate (watched, TARGET_FATE_ENDED, "its address refuses connections", now);
}

/* The address accepts connections: this incarnation listens there, or already the next one. */
static void
probe_connected (struct tcp_stream *stream, int64_t now)
{
  (void) now;
  end_probe (CONTAINER_OF (stream, struct watched, probe));
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
probe_ended (struct tcp_stream *stream, enum tcp_end end, int64_t now)
{
  struct watched *watched = CONTAINER_OF (stream, struct watched, probe);

  timer_disarm (loop_timers (watched->watch->config.loop), &watched->probe_timer);
  watched->refused = end == TCP_END_REFUSED;
  conclude (watched, now);
}

static const struct tcp_stream_ops probe_ops = {
  .connected = probe_connected,
  .received = probe_received,
  .ended = probe_ended,
};

static void
probe_fired (struct timer *timer, int64_t now)
{
  (void) now;
  end_probe (CONTAINER_OF (timer, struct watched, probe_timer));
}

static const struct timer_ops probe_timer_ops = { .fire = probe_fired };

static void
control_connected (struct tcp_stream *stream, int64_t now)
{
  struct watched *watched = CONTAINER_OF (stream, struct watched, control);

  end_control (watched);
  watched->path_works = true;
  conclude (watched, now);
}

static void
control_ended (struct tcp_stream *stream, enum tcp_end end, int64_t now)
{
  (void) stream;
  (void) end;
  (void) now;
}

static const struct tcp_stream_ops control_ops = {
  .connected = control_connected,
  .received = probe_received,
  .ended = control_ended,
};

/* Order in which another target is tried as a control, lowest first; another one for each control.
 * Targets of the same pool come first, of these the ones whose connections did not break.
 * UINT64_MAX: not at all, or not before `worst`. */
static uint64_t
rank_control (const struct watched *watched, const struct balance_target *target, uint64_t worst)
{
  uint64_t seed = watched->incarnation + watched->n_controls;
  uint64_t rank = XXH3_64bits_withSeed (&target->id_hash, sizeof target->id_hash, seed) >> 3;
  const struct watched *other;

  if (strcmp (target->pool, watched->pool) != 0)
    rank |= UINT64_C (1) << 62;
  if (!target->usable || target->id_hash == watched->incarnation || rank >= worst)
    return UINT64_MAX;
  other = find (watched->watch, target->id_hash);
  if (other != NULL && other->fate == TARGET_FATE_ENDED)
    return UINT64_MAX;
  if (other != NULL && other->fate == TARGET_FATE_UNKNOWN)
    rank |= UINT64_C (1) << 61;
  return rank;
}

static const struct balance_target *
choose_control (const struct watched *watched)
{
  const struct balance *balance = watched->watch->config.balance;
  const struct balance_target *at = balance == NULL ? NULL : balance->targets;
  const struct balance_target *chosen = NULL;
  uint64_t least = UINT64_MAX;

  for (; at != NULL; at = at->next)
    {
      uint64_t rank = rank_control (watched, at, least);

      if (rank >= least)
        continue;
      chosen = at;
      least = rank;
    }
  return chosen;
}

/* Without another target to compare with, a refusal counts by itself. */
static void
begin_control (struct watched *watched)
{
  const struct balance_target *control = choose_control (watched);

  end_control (watched);
  watched->n_controls++;
  watched->path_works = control == NULL;
  if (control != NULL
      && tcp_connect (&watched->control, &control_ops, watched->watch->config.loop,
                      control->address)
             != STATUS_OK)
    log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "probe-failed", "{s:s,s:s}", "address",
               control->address, "message", status_message ());
}

static void
begin_probe (struct watched *watched, int64_t now)
{
  struct loop *loop = watched->watch->config.loop;

  watched->probed_at = now;
  watched->refused = false;
  begin_control (watched);
  if (tcp_connect (&watched->probe, &probe_ops, loop, watched->address) != STATUS_OK)
    {
      log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "probe-failed", "{s:s,s:s}", "address",
                 watched->address, "message", status_message ());
      return;
    }
  timer_arm (loop_timers (loop), &watched->probe_timer, now + TARGET_WATCH_PROBE_TIMEOUT);
}

/* Probe again if a connection broke after the last probe began, which shows nothing about it, or if
 * that probe was refused and the control was not accepted either. */
static void
probe_again (struct watched *watched, int64_t now)
{
  if (watched->fate == TARGET_FATE_UNKNOWN && !watched->probe.open
      && (watched->refused || watched->last_broke_at > watched->probed_at)
      && now >= watched->probed_at + TARGET_WATCH_PERIOD)
    begin_probe (watched, now);
}

/* ---- the registry ---- */

/* The target was alive at `alive`, so it did not end at the breaks before. */
static void
note_alive (struct watched *watched, int64_t alive, int64_t now)
{
  bool all = alive >= watched->last_broke_at;

  if (!all && (watched->fate != TARGET_FATE_UNKNOWN || alive < watched->broke_at))
    return;
  if (all)
    watched->fate = TARGET_FATE_LIVES;
  report_fate (watched, TARGET_FATE_LIVES, "it renewed its registration", alive, now);
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
    set_fate (watched, TARGET_FATE_ENDED, ended, now);
  if (ended == NULL && watched->fate != TARGET_FATE_LIVES)
    note_alive (watched, record->last_heard_at - TARGET_WATCH_RENEWAL_DELAY_MAX - 1, now);
}

static void
drop_watched (struct watched *watched)
{
  struct target_watch *watch = watched->watch;

  end_probe (watched);
  end_control (watched);
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
      probe_again (watched, now);
      if (watched->fate != TARGET_FATE_LIVES && now < watched->broke_at + TARGET_WATCH_DURATION)
        continue;
      if (watched->fate == TARGET_FATE_UNKNOWN)
        set_fate (watched, TARGET_FATE_UNKNOWN, "neither shown before the watch ended", now);
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
  const struct watched *watched = find (watch, incarnation);

  return watched == NULL ? TARGET_FATE_UNKNOWN : watched->fate;
}

bool
target_watch_is_watched (const struct target_watch *watch, uint64_t incarnation)
{
  return find (watch, incarnation) != NULL;
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
  watched->probe_timer.ops = &probe_timer_ops;
  DL_APPEND (watch->watched, watched);
  watch->n++;
  return watched;
}

enum target_fate
target_watch_connection_broke (struct target_watch *watch,
                               const struct balance_target *target,
                               int64_t now)
{
  struct watched *watched = find (watch, target->id_hash);

  /* A leaving target ends all its connections, whatever requests run on them. */
  if (target->leaving)
    return TARGET_FATE_UNKNOWN;
  if (watched == NULL)
    {
      watched = add (watch, target, now);
      if (watched == NULL)
        {
          counter_add (watch->unwatched, 1);
          log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "target-not-watched", "{s:s,s:i}",
                     "target", target->id, "watched", (int) watch->n);
          return TARGET_FATE_UNKNOWN;
        }
      watched->last_broke_at = now;
      check_registry (watched, now);
      if (watched->fate == TARGET_FATE_UNKNOWN)
        begin_probe (watched, now);
      if (!timer_is_armed (&watch->timer))
        timer_arm (loop_timers (watch->config.loop), &watch->timer, now + TARGET_WATCH_PERIOD);
    }
  watched->breaks++;
  watched->last_broke_at = now;
  probe_again (watched, now);
  return watched->fate;
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
