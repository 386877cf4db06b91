/* Asks a target whether it lives: connects to its address, and to that of another target as a
 * control. */
#include "container.h"
#include "log.h"
#include "target_watch_private.h"
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

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
    watched_set_fate (watched, TARGET_FATE_ENDED, "its address refuses connections", now);
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

const struct timer_ops watched_probe_timer_ops = { .fire = probe_fired };

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
  other = watched_find (watched->watch, target->id_hash);
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

static bool
is_evacuated (const struct watched *watched)
{
  const struct registry_target *record =
      registry_find (watched->watch->config.registry, watched->id);

  return record != NULL && record->evacuated;
}

void
watched_probe (struct watched *watched, int64_t now)
{
  if (is_evacuated (watched))
    return;
  if (watched->fate == TARGET_FATE_UNKNOWN && !watched->probe.open
      && (watched->refused || watched->asked_at > watched->probed_at)
      && now >= watched->probed_at + TARGET_WATCH_PERIOD)
    begin_probe (watched, now);
}

void
watched_end_probe (struct watched *watched)
{
  end_probe (watched);
  end_control (watched);
}
