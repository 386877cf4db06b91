/* The timer service: modules arm timers, the loop fires those that are due.
 *
 * The caller passes the current time and the service never reads a clock, so tests run it on
 * virtual time. */
#ifndef TIMER_H
#define TIMER_H

#include "decls.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

struct timer;
struct timer_service;

struct timer_ops
{
  /* Called once when due; the timer is disarmed before the call and may be rearmed in it. */
  void (*fire) (struct timer *timer, int64_t now);
};

/* Embedded in its owner, which must disarm it before it is freed. */
struct timer
{
  const struct timer_ops *ops;
  int64_t due;
  uint32_t position; /* 1-based position in the heap; 0 while not armed */
};

/* Freed with `parent`.  NULL when out of memory. */
struct timer_service *timer_service_new (void *parent);

/* Arms `timer`, or moves it, to fire at `due` (microseconds, monotonic clock). */
void timer_arm (struct timer_service *service, struct timer *timer, int64_t due);
void timer_disarm (struct timer_service *service, struct timer *timer);
bool timer_is_armed (const struct timer *timer);

/* Fires the timers due at `now`, earliest first, and returns their number.  One run fires at most
 * as many timers as were armed at its start, so a timer that rearms itself cannot block the
 * loop. */
unsigned timer_service_run (struct timer_service *service, int64_t now);

/* The due time of the earliest timer, USEC_NEVER when none is armed. */
int64_t timer_service_next_due (const struct timer_service *service);

END_DECLS

#endif
