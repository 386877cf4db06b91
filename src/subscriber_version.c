/* Versions of the targets' software, which controllers send on request. */
#include "log.h"
#include "subscriber_private.h"
#include <jansson.h>

void
subscriber_request_versions (struct subscriber *self,
                             const struct known_controller *controller,
                             struct sync_version_request *request)
{
  struct bytes out;

  if (request->n == 0)
    return;
  bytes_init (&out, NULL);
  sync_write_header (SYNC_VERSION_REQUEST, &out);
  sync_write_version_request (request, &out);
  (void) subscriber_send (self, controller, &out); /* repeated while a version is not known */
  request->n = 0;
}

void
subscriber_need_version (struct subscriber *self,
                         const struct known_controller *controller,
                         struct sync_version_request *request,
                         uint64_t id_hash)
{
  request->id_hashes[request->n++] = id_hash;
  if (request->n == SYNC_VERSIONS_MAX)
    subscriber_request_versions (self, controller, request);
}

void
subscriber_request_unknown_versions (struct subscriber *self,
                                     const struct known_controller *controller)
{
  struct sync_version_request request = { .n = 0 };
  const struct registry_target *target;

  for (target = self->registry->targets; target != NULL; target = target->hh.next)
    if (!target->registration.version_known && target->registration.state != REGISTRY_GONE)
      subscriber_need_version (self, controller, &request, target->id_hash);
  subscriber_request_versions (self, controller, &request);
}

void
subscriber_handle_versions (struct subscriber *self,
                            const struct known_controller *controller,
                            struct pack_reader *in,
                            int64_t now)
{
  uint64_t revision = self->registry->revision;
  uint32_t n = pack_read_array (in, SYNC_VERSIONS_MAX);

  for (uint32_t i = 0; i < n; i++)
    {
      struct registry_version version;

      if (!registry_read_version (in, &version))
        break;
      registry_merge_version (self->registry, &version, now);
    }
  subscriber_report_changed (self, revision, now);
  if (pack_read_is_complete (in))
    return;
  counter_add (self->malformed, 1);
  log_event (LOG_MODULE_DIRECTORY, LOG_LEVEL_ERROR, "versions-not-read", "{s:s}", "controller",
             controller->name);
}
