/* Registration of targets at a controller and replication to the other controllers. */
#include "container.h"
#include "controller_private.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <string.h>

static void
log_target (const struct registry_target *target, const char *by, int64_t now)
{
  const struct registry_registration *word = &target->registration;

  log_event (LOG_MODULE_DIRECTORY, LOG_LEVEL_INFO, "target",
             "{s:s,s:I,s:s,s:s,s:s,s:I,s:I,s:s,s:I,s:s?}", "id", word->id, "started",
             (json_int_t) word->started_unix_ms, "pool", word->pool, "address", word->address,
             "state", registry_state_text (word->state), "sequence", (json_int_t) word->sequence,
             "age_ms", (json_int_t) ((now - target->last_heard_at) / USEC_PER_MSEC), "by", by,
             "cold_ms", (json_int_t) registry_cold_left (target, now) / USEC_PER_MSEC, "version",
             registry_target_version (target));
}

static struct registry_target *
merge (struct controller *controller,
       const struct registry_registration *word,
       int64_t age,
       const char *by,
       int64_t now)
{
  struct registry_target *target;
  enum registry_merge_result news = registry_merge (controller->registry, word, age, now, &target);

  if (target == NULL || news == REGISTRY_MERGE_NONE || news == REGISTRY_MERGE_STALE)
    return target;
  log_target (target, by, now);
  gauge_set (controller->n_targets, HASH_COUNT (controller->registry->targets));
  controller_schedule_push (controller, now);
  return target;
}

static void
finish_wait (struct controller_wait *wait, enum status status, int64_t now)
{
  struct controller *controller = wait->controller;
  struct controller_wait **at = &controller->waits;

  timer_disarm (controller->config.timers, &wait->timer);
  while (*at != NULL && *at != wait)
    at = &(*at)->next;
  if (*at != NULL)
    *at = wait->next;
  if (status != STATUS_OK)
    counter_add (controller->leave_timeouts, 1);
  wait->ops->done (wait, status, now);
}

static void
wait_fired (struct timer *timer, int64_t now)
{
  finish_wait (CONTAINER_OF (timer, struct controller_wait, timer), STATUS_TIMEOUT, now);
}

static const struct timer_ops wait_ops = { .fire = wait_fired };

static const struct controller_member *
find_member (const struct controller_member *members, uint32_t n, const char *name)
{
  for (uint32_t i = 0; i < n; i++)
    if (strcmp (members[i].name, name) == 0)
      return &members[i];
  return NULL;
}

static bool
is_voter (const struct controller_member *members, uint32_t n, const char *name)
{
  const struct controller_member *member = find_member (members, n, name);

  return member != NULL && member->voter;
}

/* The number of other voters that must hold a registration so that, with this controller, it
 * survives as many losses as the log does. */
static uint32_t
count_acks_needed (const struct controller *controller,
                   const struct controller_member *members,
                   uint32_t n)
{
  uint32_t voters = 0;

  for (uint32_t i = 0; i < n; i++)
    voters += members[i].voter ? 1 : 0;
  return voters / 2 + (is_voter (members, n, controller->config.name) ? 0 : 1);
}

/* Sends a registration to the other controllers; true when none is needed for a majority. */
static bool
replicate (struct controller *controller,
           const struct registry_target *target,
           struct controller_wait *wait,
           int64_t now)
{
  struct controller_member members[SYNC_CONTROLLERS_MAX];
  uint32_t n = controller->config.members (controller->config.members_context, members);
  struct peer_port *port = controller->config.port;
  struct bytes out;

  wait->controller = controller;
  wait->number = ++controller->last_wait;
  wait->acks_needed = count_acks_needed (controller, members, n);
  wait->n_acks = 0;
  bytes_init (&out, NULL);
  sync_write_header (SYNC_TARGET, &out);
  pack_uint (&out, controller->config.incarnation);
  pack_uint (&out, wait->number);
  registry_write (target, now, &out);
  for (uint32_t i = 0; i < n; i++)
    if (strcmp (members[i].name, controller->config.name) != 0)
      port->ops->send (port, members[i].name, PEER_CHANNEL_SYNC, out.data, out.length);
  bytes_clear (&out);
  if (wait->acks_needed == 0 && n > 0)
    {
      controller_push_pending (controller, now);
      return true;
    }
  wait->timer.ops = &wait_ops;
  wait->next = controller->waits;
  controller->waits = wait;
  timer_arm (controller->config.timers, &wait->timer, now + CONTROLLER_LEAVE_TIMEOUT);
  return false;
}

bool
controller_can_accept_targets (const struct controller *controller, int64_t now)
{
  struct controller_member members[SYNC_CONTROLLERS_MAX];
  uint32_t n = controller->config.members (controller->config.members_context, members);

  if (find_member (members, n, controller->config.name) == NULL)
    return false;
  for (uint32_t i = 0; i < controller->n_hosts; i++)
    if (controller_host_is_live (&controller->hosts[i], now))
      return true;
  return n == 1 || now - controller->started_at < CONTROLLER_START_GRACE;
}

/* A leaving target must get no new work even if all controllers fail right after the
 * acknowledgement, so the registration is replicated to a majority, and sent to the entry hosts,
 * first.  A lost renewal is repeated by the target. */
bool
controller_register (struct controller *controller,
                     const struct registry_registration *word,
                     struct controller_wait *wait,
                     int64_t now)
{
  struct registry_target *target = merge (controller, word, 0, "target", now);

  if (target == NULL || word->state == REGISTRY_READY)
    return true;
  return replicate (controller, target, wait, now);
}

bool
controller_deregister (struct controller *controller,
                       const char *id,
                       uint64_t started,
                       struct controller_wait *wait,
                       int64_t now)
{
  struct registry_target *target = registry_find (controller->registry, id);
  struct registry_registration word = { .state = REGISTRY_GONE };

  if (target != NULL)
    word = target->registration;
  else
    text_copy_truncated (word.id, sizeof word.id, id);
  word.state = REGISTRY_GONE;
  word.is_short = true;
  if (started != 0)
    word.started_unix_ms = started;
  return controller_register (controller, &word, wait, now);
}

void
controller_cancel_wait (struct controller *controller, struct controller_wait *wait)
{
  struct controller_wait **at = &controller->waits;

  timer_disarm (controller->config.timers, &wait->timer);
  while (*at != NULL && *at != wait)
    at = &(*at)->next;
  if (*at != NULL)
    *at = wait->next;
}

void
controller_handle_target (struct controller *controller,
                          struct pack_reader *in,
                          const char *from,
                          int64_t now)
{
  uint64_t incarnation = pack_read_uint (in, UINT64_MAX);
  uint64_t number = pack_read_uint (in, UINT64_MAX);
  struct registry_registration word;
  int64_t age;
  struct bytes out;

  if (!registry_read (in, &word, &age) || !pack_read_is_complete (in))
    return;
  merge (controller, &word, age, from, now);
  bytes_init (&out, NULL);
  sync_write_header (SYNC_TARGET_ACK, &out);
  pack_uint (&out, incarnation);
  pack_uint (&out, number);
  if (!bytes_has_failed (&out))
    controller->config.port->ops->send (controller->config.port, from, PEER_CHANNEL_SYNC, out.data,
                                        out.length);
  bytes_clear (&out);
}

static void
write_version (const struct registry_target *target, struct bytes *out)
{
  if (target != NULL && target->registration.version_known)
    registry_write_version (target, out);
}

void
controller_handle_version_request (struct controller *controller,
                                   struct pack_reader *in,
                                   const char *from)
{
  const struct registry *registry = controller->registry;
  struct sync_version_request request;
  struct bytes out;
  uint32_t n = 0;

  if (!sync_read_version_request (in, &request))
    {
      counter_add (controller->malformed, 1);
      return;
    }
  for (uint32_t i = 0; i < request.n; i++)
    {
      const struct registry_target *target = registry_find_by_hash (registry, request.id_hashes[i]);

      n += target != NULL && target->registration.version_known ? 1 : 0;
    }
  if (n == 0)
    return;
  bytes_init (&out, NULL);
  sync_write_header (SYNC_VERSIONS, &out);
  pack_array (&out, n);
  for (uint32_t i = 0; i < request.n; i++)
    write_version (registry_find_by_hash (registry, request.id_hashes[i]), &out);
  if (!bytes_has_failed (&out))
    controller->config.port->ops->send (controller->config.port, from, PEER_CHANNEL_SYNC, out.data,
                                        out.length);
  bytes_clear (&out);
}

/* Records an acknowledgement; true when the host had acknowledged already, as messages may be
 * duplicated. */
static bool
record_ack (struct controller_wait *wait, const char *from)
{
  for (uint32_t i = 0; i < wait->n_acks; i++)
    if (strcmp (wait->acked_by[i], from) == 0)
      return true;
  if (wait->n_acks < SYNC_CONTROLLERS_MAX)
    text_copy_truncated (wait->acked_by[wait->n_acks++], ROUTING_NAME_SIZE, from);
  return false;
}

void
controller_handle_target_ack (struct controller *controller,
                              struct pack_reader *in,
                              const char *from,
                              int64_t now)
{
  uint64_t incarnation = pack_read_uint (in, UINT64_MAX);
  uint64_t number = pack_read_uint (in, UINT64_MAX);
  struct controller_wait *wait = controller->waits;
  struct controller_member members[SYNC_CONTROLLERS_MAX];
  uint32_t n = controller->config.members (controller->config.members_context, members);

  if (!pack_read_is_complete (in) || incarnation != controller->config.incarnation)
    return;
  while (wait != NULL && wait->number != number)
    wait = wait->next;
  if (wait == NULL || !is_voter (members, n, from) || record_ack (wait, from)
      || wait->n_acks < wait->acks_needed)
    return;
  controller_push_pending (controller, now);
  finish_wait (wait, STATUS_OK, now);
}
