/* Sends the evacuated failure domains to the entry hosts. */
#include "controller_private.h"
#include "log.h"
#include <jansson.h>
#include <string.h>

bool
controller_send_evacuations (struct controller *controller,
                             const struct entry_host_record *host,
                             int64_t now)
{
  struct peer_port *port = controller->config.port;
  struct bytes out;
  enum status status = STATUS_NO_MEMORY;

  if (controller->evacuations.set.revision == 0)
    return true;
  bytes_init (&out, NULL);
  sync_write_header (SYNC_EVACUATIONS, &out);
  evacuation_view_write (&controller->evacuations, now, &out);
  if (!bytes_has_failed (&out))
    status = port->ops->send (port, host->info.name, PEER_CHANNEL_SYNC, out.data, out.length);
  bytes_clear (&out);
  return status == STATUS_OK;
}

/* After a restart the times of the changes are not known: they count as made now. */
void
controller_init_evacuations (struct controller *controller)
{
  controller->evacuated_domains =
      gauge_get (controller->config.counters, "cherryarch_evacuated_domains",
                 "Failure domains that are evacuated.", NULL);
  (void) evacuation_view_update (&controller->evacuations,
                                 document_evacuations (controller->config.document), NULL,
                                 controller->config.now);
  gauge_set (controller->evacuated_domains, evacuation_count (&controller->evacuations.set));
}

void
controller_evacuations_changed (struct controller *controller, int64_t now)
{
  const struct evacuation_set *set = document_evacuations (controller->config.document);
  uint32_t n_sent = 0;

  if (!evacuation_view_update (&controller->evacuations, set, NULL, now))
    return;
  gauge_set (controller->evacuated_domains, evacuation_count (set));
  /* A host that misses it gets it with its next answer. */
  for (uint32_t i = 0; i < controller->n_hosts; i++)
    if (controller_host_is_live (&controller->hosts[i], now))
      n_sent += controller_send_evacuations (controller, &controller->hosts[i], now) ? 1 : 0;
  log_event (LOG_MODULE_STORE, LOG_LEVEL_INFO, "evacuations-changed", "{s:I,s:i,s:i}", "revision",
             (json_int_t) set->revision, "evacuated", (int) evacuation_count (set), "sent_to",
             (int) n_sent);
}

const struct evacuation_view *
controller_evacuations (const struct controller *controller)
{
  return &controller->evacuations;
}

bool
controller_knows_domain (const struct controller *controller, const char *domain)
{
  const struct registry_target *target = controller->registry->targets;

  if (evacuation_find (document_evacuations (controller->config.document), domain) != NULL)
    return true;
  for (uint32_t i = 0; i < controller->n_hosts; i++)
    if (strcmp (controller->hosts[i].info.domain, domain) == 0)
      return true;
  while (target != NULL && strcmp (target->registration.domain, domain) != 0)
    target = target->hh.next;
  return target != NULL;
}
