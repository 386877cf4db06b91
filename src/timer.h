/* The timer service: parts of the process subscribe, the loop runs what is due.
 *
 * Pure: the service is told the time and never reads it, so tests run it on virtual time. */
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
  /* Called once when due; the timer is disarmed before the call and may be armed again in it. */
  void (*fire) (struct timer *timer, int64_t now);
};

/* Embedded in its subscriber; the subscriber must disarm it before it is freed. */
struct timer
{
  const struct timer_ops *ops;
  int64_t due;
  uint32_t position; /* in the service's heap, from 1; 0 while not armed */
};

/* Freed with `parent`.  NULL when memory is out. */
struct timer_service *timer_service_new (void *parent);

/* Arm, or move, `timer` to fire at `due`. */
void timer_arm (struct timer_service *service, struct timer *timer, int64_t due);
void timer_disarm (struct timer_service *service, struct timer *timer);
bool timer_is_armed (const struct timer *timer);

/* Fire what is due at `now`, earliest first; the count fired.  One run fires at most as many timers
 * as were armed at its start, so that a timer that arms itself again cannot hold the loop. */
unsigned timer_service_run (struct timer_service *service, int64_t now);

/* When the earliest timer is due, USEC_NEVER when none is armed. */
int64_t timer_service_next (const struct timer_service *service);

END_DECLS

#endif
