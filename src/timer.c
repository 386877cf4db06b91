/* The timer service: a binary heap of armed timers that each store their heap position. */
#include "timer.h"
#include "status.h"
#include <stddef.h>
#include <talloc.h>

struct timer_service
{
  struct timer **heap; /* 1-based */
  uint32_t count;
  uint32_t capacity;
};

struct timer_service *
timer_service_new (void *parent)
{
  return talloc_zero (parent, struct timer_service);
}

static void
place (struct timer_service *service, uint32_t position, struct timer *timer)
{
  service->heap[position] = timer;
  timer->position = position;
}

static void
sift_up (struct timer_service *service, uint32_t position)
{
  struct timer *timer = service->heap[position];

  while (position > 1 && service->heap[position / 2]->due > timer->due)
    {
      place (service, position, service->heap[position / 2]);
      position /= 2;
    }
  place (service, position, timer);
}

static void
sift_down (struct timer_service *service, uint32_t position)
{
  struct timer *timer = service->heap[position];

  for (;;)
    {
      uint32_t child = position * 2;

      if (child > service->count)
        break;
      if (child < service->count && service->heap[child + 1]->due < service->heap[child]->due)
        child++;
      if (service->heap[child]->due >= timer->due)
        break;
      place (service, position, service->heap[child]);
      position = child;
    }
  place (service, position, timer);
}

static void
grow (struct timer_service *service)
{
  uint32_t capacity = service->capacity == 0 ? 64 : service->capacity * 2;

  service->heap = talloc_realloc (service, service->heap, struct timer *, capacity);
  /* A timer that cannot be armed is a timeout that never fires; no safe way to continue exists. */
  INVARIANT (service->heap != NULL);
  service->capacity = capacity;
}

void
timer_arm (struct timer_service *service, struct timer *timer, int64_t due)
{
  timer_disarm (service, timer);
  if (service->count + 1 >= service->capacity)
    grow (service);
  timer->due = due;
  place (service, ++service->count, timer);
  sift_up (service, timer->position);
}

void
timer_disarm (struct timer_service *service, struct timer *timer)
{
  uint32_t position = timer->position;
  struct timer *last;

  if (position == 0)
    return;
  last = service->heap[service->count--];
  timer->position = 0;
  if (last == timer)
    return;
  place (service, position, last);
  sift_up (service, position);
  sift_down (service, last->position);
}

bool
timer_is_armed (const struct timer *timer)
{
  return timer->position != 0;
}

/* Timers armed during the run enter the heap.  A run fires at most as many timers as were armed at
 * its start, so a timer that rearms itself cannot block the loop. */
unsigned
timer_service_run (struct timer_service *service, int64_t now)
{
  uint32_t bound = service->count;
  unsigned fired = 0;

  while (fired < bound && service->count > 0 && service->heap[1]->due <= now)
    {
      struct timer *timer = service->heap[1];

      timer_disarm (service, timer);
      timer->ops->fire (timer, now);
      fired++;
    }
  return fired;
}

int64_t
timer_service_next_due (const struct timer_service *service)
{
  return service->count == 0 ? USEC_NEVER : service->heap[1]->due;
}
