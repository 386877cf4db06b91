/* Encodes the state that an entry host lacks as a message. */
#include "controller_private.h"
#include <string.h>

bool
controller_host_is_live (const struct entry_host_record *host, int64_t now)
{
  return now - host->heard_at <= CONTROLLER_HOST_LEASE;
}

/* A state that a host still lacks this long after it was sent is lost; the time doubles with each
 * one, as states take longer over a slow link. */
#define RESEND_AFTER (600 * USEC_PER_MSEC)
#define RESEND_AFTER_MAX (8 * RESEND_AFTER)

static void
await_state (struct entry_host_record *host, int64_t now)
{
  host->unheld.sent_at = now;
  host->unheld.targets = host->targets_revision;
  host->unheld.hosts = host->hosts_revision;
}

void
controller_note_held (struct entry_host_record *host, uint64_t targets, uint64_t hosts, int64_t now)
{
  struct unheld_state *unheld = &host->unheld;
  bool arrived = unheld->sent_at != 0 && targets >= unheld->targets && hosts >= unheld->hosts;
  bool lost = !arrived && unheld->sent_at != 0 && now - unheld->sent_at >= unheld->resend_after;

  if (unheld->sent_at != 0 && !arrived && !lost)
    return;
  if (lost && unheld->resend_after < RESEND_AFTER_MAX)
    unheld->resend_after *= 2;
  if (!lost)
    unheld->resend_after = RESEND_AFTER;
  unheld->sent_at = 0;
  if (arrived && (host->targets_revision > targets || host->hosts_revision > hosts))
    {
      await_state (host, now);
      return;
    }
  if (targets < host->targets_revision || targets == 0)
    host->renewed_until = 0;
  host->targets_revision = targets;
  host->hosts_revision = hosts;
}

static void
write_targets (struct controller *controller,
               const struct entry_host_record *host,
               int64_t now,
               struct bytes *out)
{
  struct registry_target *target;
  struct registry_target *next;
  uint32_t n = 0;

  HASH_ITER (hh, controller->registry->targets, target, next)
    {
      if (target->revision > host->targets_revision)
        n++;
    }
  pack_array (out, n);
  HASH_ITER (hh, controller->registry->targets, target, next)
    {
      if (target->revision > host->targets_revision)
        registry_write (target, now, out);
    }
}

static bool
renewal_is_due (const struct registry_target *target, const struct entry_host_record *host)
{
  return target->revision <= host->targets_revision && target->last_heard_at > host->renewed_until
         && target->registration.state != REGISTRY_GONE;
}

static void
write_renewals (struct controller *controller,
                const struct entry_host_record *host,
                int64_t now,
                struct bytes *out)
{
  struct registry_target *target;
  struct registry_target *next;
  uint32_t n = 0;

  HASH_ITER (hh, controller->registry->targets, target, next)
    {
      if (renewal_is_due (target, host))
        n++;
    }
  pack_array (out, n);
  HASH_ITER (hh, controller->registry->targets, target, next)
    {
      struct sync_renewal renewal = {
        .id_hash = target->id_hash,
        .started = target->registration.started_unix_ms,
        .sequence = target->registration.sequence,
        .age = (uint64_t) (now - target->last_heard_at),
      };

      if (renewal_is_due (target, host))
        sync_write_renewal (&renewal, out);
    }
}

static void
write_hosts (const struct controller *controller, struct bytes *out)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < controller->n_hosts; i++)
    n += controller->hosts[i].listed ? 1 : 0;
  pack_array (out, n);
  for (uint32_t i = 0; i < controller->n_hosts; i++)
    if (controller->hosts[i].listed)
      sync_write_host (&controller->hosts[i].info, out);
}

static void
write_controllers (const struct controller *controller, struct bytes *out)
{
  struct controller_member members[SYNC_CONTROLLERS_MAX];
  uint32_t n = controller->config.members (controller->config.members_context, members);

  pack_array (out, n);
  for (uint32_t i = 0; i < n; i++)
    pack_text (out, members[i].name);
}

bool
controller_send_state (struct controller *controller,
                       struct entry_host_record *host,
                       uint64_t nonce,
                       bool confirmed,
                       int64_t now)
{
  const struct document *document = controller->config.document;
  const struct bytes *text = document_text (document);
  struct sync_state state = {
    .controller = controller->config.incarnation,
    .nonce = nonce,
    .confirmed = confirmed,
    .document = document_version (document),
    .targets = controller->registry->revision,
    .hosts = controller->hosts_revision,
    .has_document = document_version (document) > host->document_version
                    && !controller_host_requests_documents (host),
    .has_hosts = host->hosts_revision != controller->hosts_revision,
  };
  bool changed = state.targets != host->targets_revision || state.hosts != host->hosts_revision;
  struct bytes out;
  bool sent;

  if (nonce != 0 && !controller_send_evacuations (controller, host, now))
    return false;
  bytes_init (&out, NULL);
  sync_write_header (SYNC_STATE, &out);
  sync_write_state (&state, &out);
  if (state.has_document)
    pack_binary (&out, text->data, text->length);
  write_targets (controller, host, now, &out);
  write_renewals (controller, host, now, &out);
  if (state.has_hosts)
    write_hosts (controller, &out);
  write_controllers (controller, &out);
  if (controller_host_requests_documents (host))
    pack_uint (&out, host->targets_revision);
  sent = !bytes_has_failed (&out)
         && controller->config.port->ops->send (controller->config.port, host->info.name,
                                                PEER_CHANNEL_SYNC, out.data, out.length)
                == STATUS_OK;
  bytes_clear (&out);
  if (!sent)
    return false;
  if (state.has_document)
    {
      counter_add (controller->documents, 1);
      counter_add (controller->document_bytes, (double) text->length);
    }
  /* Assume delivery until the host has had the time to say what it holds. */
  host->renewed_until = now;
  host->document_version = state.document;
  host->targets_revision = state.targets;
  host->hosts_revision = state.hosts;
  if (changed && host->unheld.sent_at == 0)
    await_state (host, now);
  return true;
}
