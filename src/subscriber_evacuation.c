/* Marks the targets of evacuated failure domains on an entry host. */
#include "log.h"
#include "subscriber_private.h"
#include <jansson.h>

/* Before the first confirmation the set may be an older one or not have come yet. */
bool
subscriber_mark_target (const struct subscriber *self, struct registry_target *target)
{
  const char *domain = target->registration.domain;
  bool evacuated = evacuation_includes (&self->evacuations.set, domain);
  int64_t restored_at = evacuation_view_restored_at (&self->evacuations, domain);
  bool changed = evacuated != target->evacuated || target->unconfirmed == self->confirmed;

  target->evacuated = evacuated;
  target->unconfirmed = !self->confirmed;
  if (restored_at != 0)
    target->restored_at = restored_at;
  return changed;
}

void
subscriber_mark_targets (struct subscriber *self, int64_t now)
{
  const struct subscriber_listener_ops *ops = self->config.listener->ops;
  struct registry_target *target;
  struct registry_target *next;
  uint32_t n_marked = 0;
  uint32_t n_changed = 0;

  HASH_ITER (hh, self->registry->targets, target, next)
    {
      bool changed = subscriber_mark_target (self, target);

      n_marked += target->evacuated ? 1 : 0;
      n_changed += changed ? 1 : 0;
      if (changed)
        ops->target (self->config.listener, target, now);
    }
  if (n_changed > 0 && ops->evacuated != NULL)
    ops->evacuated (self->config.listener, now);
  if (self->evacuations.set.revision == 0)
    return;
  gauge_set (self->evacuated_domains, evacuation_count (&self->evacuations.set));
  log_event (LOG_MODULE_DIRECTORY, LOG_LEVEL_INFO, "evacuations-in-force", "{s:I,s:b,s:i,s:i,s:i}",
             "revision", (json_int_t) self->evacuations.set.revision, "confirmed", self->confirmed,
             "evacuated", (int) evacuation_count (&self->evacuations.set), "targets",
             (int) n_marked, "changed", (int) n_changed);
}

void
subscriber_handle_evacuations (struct subscriber *self,
                               const struct known_controller *controller,
                               struct pack_reader *in,
                               int64_t now)
{
  struct evacuation_message message;

  if (!evacuation_message_read (in, &message))
    {
      counter_add (self->malformed, 1);
      log_event (LOG_MODULE_STORE, LOG_LEVEL_ERROR, "evacuations-not-read", "{s:s}", "controller",
                 controller->name);
      return;
    }
  if (evacuation_view_update (&self->evacuations, &message.set, message.ages, now))
    subscriber_mark_targets (self, now);
}

const struct evacuation_view *
subscriber_evacuations (const struct subscriber *self)
{
  return &self->evacuations;
}
