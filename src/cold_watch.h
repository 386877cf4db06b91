/* Reports which targets are cold: a log line when a target turns cold or warm, gauges, counters. */
#ifndef COLD_WATCH_H
#define COLD_WATCH_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "timer.h"

BEGIN_DECLS

#define COLD_WATCH_PERIOD (100 * USEC_PER_MSEC)

struct cold_watch;

struct cold_watch_config
{
  struct balance *balance;
  struct timer_service *timers;
  struct counters *counters;
};

/* Freed with `parent`.  NULL when out of memory. */
struct cold_watch *cold_watch_new (void *parent, const struct cold_watch_config *config);

/* To be called after balance_set_cold_pools(). */
void cold_watch_pools_changed (struct cold_watch *watch, int64_t now);

END_DECLS

#endif
