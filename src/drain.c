/* State machine of the graceful shutdown. */
#include "drain.h"
#include "container.h"
#include "log.h"
#include <stddef.h>
#include <talloc.h>

#define POLL_INTERVAL (20 * USEC_PER_MSEC)

struct drain
{
  struct timer timer; /* first member */
  struct dump_source source;
  struct board *board;
  struct timer_service *timers;
  struct drain_actions *actions;
  int64_t list_keep;
  int64_t drain_bound;
  enum drain_state state;
  int64_t signalled_at;
  int64_t state_entered_at;
};

static const char *const states[] = {
#define X(name, text) [DRAIN_##name] = text,
  DRAIN_STATE_LIST (X)
#undef X
};

const char *
drain_state_text (enum drain_state state)
{
  return (unsigned) state < DRAIN_STATE_COUNT ? states[state] : "unknown";
}

static void
enter_state (struct drain *drain, enum drain_state state, int64_t now)
{
  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "drain", "{s:s,s:s,s:I}", "from",
             drain_state_text (drain->state), "to", drain_state_text (state), "after_ms",
             (json_int_t) ((now - drain->signalled_at) / USEC_PER_MSEC));
  drain->state = state;
  drain->state_entered_at = now;
}

static void
end (struct drain *drain, int64_t now)
{
  uint32_t unfinished = drain->actions->ops->log_unfinished (drain->actions, now);

  enter_state (drain, DRAIN_ENDED, now);
  timer_disarm (drain->timers, &drain->timer);
  drain->actions->ops->end (drain->actions,
                            unfinished == 0 ? DRAIN_EXIT_COMPLETE : DRAIN_EXIT_UNFINISHED, now);
}

static bool
is_quiet (const struct drain *drain, int64_t now)
{
  return now - drain->actions->ops->last_arrival (drain->actions) >= DRAIN_QUIET_PERIOD
         || now - drain->state_entered_at >= DRAIN_QUIET_TIMEOUT;
}

/* Enters the next state if its condition holds; true when another step may follow at once. */
static bool
step (struct drain *drain, int64_t now)
{
  const struct drain_ops *ops = drain->actions->ops;

  switch (drain->state)
    {
    case DRAIN_LEAVING:
      if (now - drain->state_entered_at < drain->list_keep)
        return false;
      drain->board->refusing = true;
      enter_state (drain, DRAIN_REFUSING, now);
      return true;
    case DRAIN_REFUSING:
      if (!ops->is_idle (drain->actions) || !is_quiet (drain, now))
        return false;
      ops->hand_over (drain->actions, now);
      enter_state (drain, DRAIN_HANDING_OVER, now);
      return false; /* requests on the last accepted connections are read first */
    case DRAIN_HANDING_OVER:
      if ((ops->is_handed_over (drain->actions, now) && ops->is_idle (drain->actions))
          || now - drain->state_entered_at >= DRAIN_HAND_OVER_TIMEOUT)
        end (drain, now);
      return false;
    case DRAIN_SERVING:
    case DRAIN_ENDED:
    case DRAIN_STATE_COUNT:
      break;
    }
  return false;
}

static void
fire (struct timer *timer, int64_t now)
{
  struct drain *drain = (struct drain *) timer;

  if (now - drain->signalled_at >= drain->drain_bound)
    {
      log_event (LOG_MODULE_HOST, LOG_LEVEL_WARNING, "drain_bound", NULL);
      end (drain, now);
      return;
    }
  while (step (drain, now))
    ;
  if (drain->state != DRAIN_ENDED)
    timer_arm (drain->timers, timer, now + POLL_INTERVAL);
}

static const struct timer_ops timer_ops = { .fire = fire };

void
drain_signal (struct drain *drain, int64_t now)
{
  if (drain->state == DRAIN_ENDED)
    return;
  if (drain->state != DRAIN_SERVING)
    {
      log_event (LOG_MODULE_HOST, LOG_LEVEL_WARNING, "drain_second_signal", NULL);
      end (drain, now);
      return;
    }
  drain->signalled_at = now;
  drain->board->leaving = true;
  enter_state (drain, DRAIN_LEAVING, now);
  drain->actions->ops->leave (drain->actions, now);
  timer_arm (drain->timers, &drain->timer, now);
}

enum drain_state
drain_state (const struct drain *drain)
{
  return drain->state;
}

static json_t *
describe (struct dump_source *source, int64_t now)
{
  const struct drain *drain = CONTAINER_OF (source, struct drain, source);
  int64_t since = drain->state == DRAIN_SERVING ? 0 : now - drain->signalled_at;

  return json_pack ("{s:s,s:I}", "state", drain_state_text (drain->state), "since_signal_ms",
                    (json_int_t) (since / USEC_PER_MSEC));
}

static const struct dump_source_ops source_ops = { .describe = describe };

static int
free_drain (struct drain *drain)
{
  timer_disarm (drain->timers, &drain->timer);
  return 0;
}

struct drain *
drain_new (void *parent, const struct drain_config *config)
{
  struct drain *drain = talloc_zero (parent, struct drain);

  if (drain == NULL)
    return NULL;
  drain->timer.ops = &timer_ops;
  drain->source.ops = &source_ops;
  drain->source.name = "drain";
  drain->board = config->board;
  drain->timers = config->timers;
  drain->actions = config->actions;
  drain->list_keep = config->list_keep;
  drain->drain_bound = config->drain_bound;
  talloc_set_destructor (drain, free_drain);
  if (config->dump != NULL)
    dump_add (config->dump, &drain->source);
  return drain;
}
