/* Waits for a confirmation that is newer than the wait. */
#include "subscriber_private.h"
#include <utlist.h>

/* Asks the reachable controllers in turn, so that one that does not answer delays the wait by one
 * period only. */
void
subscriber_request_confirmation (struct subscriber *self, int64_t now)
{
  if (self->waits == NULL || now - self->confirm_requested_at < SYNC_CONFIRM_REQUEST_PERIOD)
    return;
  for (uint32_t i = 0; i < self->n_controllers; i++)
    {
      self->confirmer = (self->confirmer + 1) % self->n_controllers;
      if (!self->controllers[self->confirmer].reachable)
        continue;
      self->confirm_requested_at = now;
      subscriber_send_request (self, &self->controllers[self->confirmer], now);
      return;
    }
}

void
subscriber_wait_start (struct subscriber *self, struct subscriber_wait *wait, int64_t now)
{
  wait->since = self->config.boottime ();
  DL_APPEND (self->waits, wait);
  subscriber_request_confirmation (self, now);
}

void
subscriber_wait_cancel (struct subscriber *self, struct subscriber_wait *wait)
{
  if (wait->since == 0)
    return;
  DL_DELETE (self->waits, wait);
  wait->since = 0;
}

/* confirmed() may start further waits; they are newer than the confirmation. */
void
subscriber_end_waits (struct subscriber *self, int64_t now)
{
  while (self->waits != NULL && self->confirmed && self->waits->since <= self->confirmed_at)
    {
      struct subscriber_wait *wait = self->waits;

      subscriber_wait_cancel (self, wait);
      wait->ops->confirmed (wait, now);
    }
}
