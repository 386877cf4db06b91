/* Fault injection of the experiments, on the virtual time of the run. */
#include "policy.h"
#include <stddef.h>

#define SLOW_TIMES 5
#define LEAVING_TARGETS 2

static uint32_t
pool_of_kind (const struct policy_run *run, enum stage_kind kind)
{
  uint32_t i = 0;

  while (run->site->pools[i].kind != kind)
    i++;
  return i;
}

static void
slow_pool (struct policy_run *run, enum stage_kind kind, double slowdown)
{
  uint32_t pool = pool_of_kind (run, kind);
  uint32_t i;

  for (i = run->pool_first[pool]; i < run->pool_first[pool + 1]; i++)
    run->targets[i].slowdown = slowdown;
}

static void
lose_domain (struct policy_run *run, int64_t now)
{
  uint32_t i;
  uint32_t h;

  for (i = 0; i < run->n_targets; i += SITE_DOMAINS)
    {
      run->targets[i].lost_at = now;
      for (h = 0; h < run->config.hosts; h++)
        {
          struct board_target *entry =
              table_get (run->hosts[h].board->targets, run->targets[i].handle);

          entry->lease_until = now + POLICY_LEASE;
        }
    }
}

/* The first step starts the leave at the target; in the second, POLICY_LEAVE_KNOWN later, the hosts
 * learn of it. */
static void
leave (struct policy_run *run, bool known, int64_t now)
{
  uint32_t first = run->pool_first[pool_of_kind (run, STAGE_GENERATE)];
  uint32_t i;
  uint32_t h;

  for (i = first; i < first + LEAVING_TARGETS; i++)
    {
      run->targets[i].leaving_at = now - (known ? POLICY_LEAVE_KNOWN : 0);
      for (h = 0; known && h < run->config.hosts; h++)
        {
          struct board *board = run->hosts[h].board;
          struct board_target *entry = table_get (board->targets, run->targets[i].handle);

          entry->state = TARGET_LEAVING;
          board_publish (board, BOARD_TARGET_CHANGED, run->targets[i].handle, now);
        }
    }
}

static void
clear_caches (struct policy_run *run, int64_t now)
{
  uint32_t i;

  for (i = 0; i < run->n_targets; i++)
    policy_target_clear_cache (&run->targets[i], now);
}

/* Fires first at a third of the length, then as it rearms itself. */
static void
fault (struct timer *timer, int64_t now)
{
  struct policy_run *run =
      (struct policy_run *) ((char *) timer - offsetof (struct policy_run, fault));
  uint32_t step = run->fault_step++;
  int64_t third = run->config.length / 3;

  switch (run->config.experiment)
    {
    case POLICY_SLOW_STAGE:
      slow_pool (run, STAGE_GENERATE, step == 0 ? SLOW_TIMES : 1);
      if (step == 0)
        timer_arm (run->timers, timer, now + third);
      break;
    case POLICY_DOMAIN_LOST:
      if (step == 0)
        timer_arm (run->timers, timer, now + third / 2);
      else
        lose_domain (run, now);
      break;
    case POLICY_HANG:
      run->targets[run->pool_first[pool_of_kind (run, STAGE_GENERATE)]].hangs = true;
      break;
    case POLICY_LEAVING:
      leave (run, step == 1, now);
      if (step == 0)
        timer_arm (run->timers, timer, now + POLICY_LEAVE_KNOWN);
      break;
    case POLICY_COLD_CACHES:
      clear_caches (run, now);
      if (step < 2)
        timer_arm (run->timers, timer, now + third / 2);
      break;
    default:
      break;
    }
}

const struct timer_ops policy_fault_ops = { .fire = fault };
