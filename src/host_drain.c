/* Shutdown of a host: signal handling and the actions of drain.h. */
#include "container.h"
#include "host_private.h"
#include <signal.h>
#include <stddef.h>

static void
drain_leave (struct drain_actions *actions, int64_t now)
{
  struct host *host = CONTAINER_OF (actions, struct host, drain_actions);

  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "leaving", NULL);
  member_announce_leaving (member_control_member (host->members), now);
}

static bool
drain_is_idle (struct drain_actions *actions)
{
  struct host *host = CONTAINER_OF (actions, struct host, drain_actions);

  return flow_is_idle (host->flow) && claim_log_pending (host->claims) == 0
         && http_server_pending (host->server) == 0;
}

static int64_t
drain_last_arrival (struct drain_actions *actions)
{
  struct host *host = CONTAINER_OF (actions, struct host, drain_actions);

  return flow_last_arrival (host->flow);
}

static void
drain_hand_over (struct drain_actions *actions, int64_t now)
{
  struct host *host = CONTAINER_OF (actions, struct host, drain_actions);

  http_server_stop_listening (host->server);
  host_transfer_leadership (host, now);
}

/* Targets of this host move to another one when their renewals are answered that this one is
 * leaving. A leadership transfer that was not accepted is retried. */
static bool
drain_is_handed_over (struct drain_actions *actions, int64_t now)
{
  struct host *host = CONTAINER_OF (actions, struct host, drain_actions);

  if (!host->consensus->ops->is_leader (host->consensus) || table_count (host->board->hosts) == 1)
    return true;
  host_transfer_leadership (host, now);
  return false;
}

static uint32_t
drain_log_unfinished (struct drain_actions *actions, int64_t now)
{
  struct host *host = CONTAINER_OF (actions, struct host, drain_actions);
  uint32_t n = host->board->requests_in_flight;

  flow_abort_all (host->flow, "the host is shutting down", now);
  return n;
}

static void
drain_end (struct drain_actions *actions, int exit_code, int64_t now)
{
  struct host *host = CONTAINER_OF (actions, struct host, drain_actions);

  member_announce_left (member_control_member (host->members), now);
  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "ended", "{s:b}", "whole",
             exit_code == DRAIN_EXIT_COMPLETE);
  host->exit = exit_code == DRAIN_EXIT_COMPLETE ? HOST_EXIT_OK : HOST_EXIT_UNFINISHED;
  loop_stop (host->loop);
}

static const struct drain_ops drain_ops = {
  .leave = drain_leave,
  .is_idle = drain_is_idle,
  .last_arrival = drain_last_arrival,
  .hand_over = drain_hand_over,
  .is_handed_over = drain_is_handed_over,
  .log_unfinished = drain_log_unfinished,
  .end = drain_end,
};

static void
signal_raised (struct loop_signal *handler, int signo, int64_t now)
{
  struct host *host = CONTAINER_OF (handler, struct host, signals);

  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "signal", "{s:i}", "number", signo);
  drain_signal (host->drain, now);
}

static const struct loop_signal_ops signal_ops = { .raised = signal_raised };

enum status
host_build_drain (struct host *host)
{
  const int signals[] = { SIGTERM, SIGINT };
  struct drain_config config = {
    .board = host->board,
    .timers = host->timers,
    .actions = &host->drain_actions,
    .dump = &host->dump,
    .list_keep = host->settings->list_keep,
    .drain_bound = host->settings->drain_bound,
  };

  host->drain_actions.ops = &drain_ops;
  host->drain = drain_new (host, &config);
  if (host->drain == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  host->signals.ops = &signal_ops;
  return loop_on_signal (host->loop, &host->signals, signals, 2);
}
