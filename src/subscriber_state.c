/* Handles the states that controllers send: targets, entry hosts, controllers, the document, and
 * its confirmation. */
#include "container.h"
#include "log.h"
#include "raft_message.h"
#include "subscriber_private.h"
#include "text.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static void
report_target (struct subscriber *self, struct registry_target *target, int64_t now)
{
  const struct registry_registration *word = &target->registration;

  log_event (LOG_MODULE_DIRECTORY, LOG_LEVEL_INFO, "target",
             "{s:s,s:I,s:s,s:s,s:s,s:I,s:b,s:I,s:I,s:s?}", "id", word->id, "started",
             (json_int_t) word->started_unix_ms, "pool", word->pool, "address", word->address,
             "state", registry_state_text (word->state), "sequence", (json_int_t) word->sequence,
             "expired", target->expired, "age_ms",
             (json_int_t) ((now - target->last_heard_at) / USEC_PER_MSEC), "cold_ms",
             (json_int_t) registry_cold_left (target, now) / USEC_PER_MSEC, "version",
             registry_target_version (target));
  self->config.listener->ops->target (self->config.listener, target, now);
}

/* A record of one target may change others at its address; their revisions show which. */
void
subscriber_report_changed (struct subscriber *self, uint64_t since, int64_t now)
{
  struct registry_target *target;
  struct registry_target *next;

  if (self->registry->revision == since)
    return;
  HASH_ITER (hh, self->registry->targets, target, next)
    {
      if (target->revision > since)
        report_target (self, target, now);
    }
}

bool
subscriber_hear_leaving (struct subscriber *self, struct registry_target *target, int64_t now)
{
  uint64_t since = self->registry->revision;

  if (!registry_hear_leaving (self->registry, target))
    return false;
  subscriber_report_changed (self, since, now);
  return true;
}

static void
read_targets (struct subscriber *self,
              const struct known_controller *controller,
              struct pack_reader *in,
              int64_t now)
{
  struct sync_version_request versions = { .n = 0 };
  uint32_t n = pack_read_array (in, SYNC_TARGETS_MAX);

  for (uint32_t i = 0; i < n; i++)
    {
      struct registry_registration word;
      struct registry_target *target;
      int64_t age;

      if (!registry_read (in, &word, &age))
        return;
      registry_merge (self->registry, &word, age, now, &target);
      if (target == NULL)
        continue;
      (void) subscriber_mark_target (self, target);
      subscriber_need_version (self, controller, &versions, target->id_hash);
    }
  subscriber_request_versions (self, controller, &versions);
}

static void
apply_renewal (struct subscriber *self, const struct sync_renewal *renewal, int64_t now)
{
  struct registry_target *target = registry_find_by_hash (self->registry, renewal->id_hash);
  struct registry_registration word;

  /* The target's full record, or that of this incarnation, has not arrived yet. */
  if (target == NULL || renewal->started > target->registration.started_unix_ms)
    return;
  word = target->registration;
  word.started_unix_ms = renewal->started;
  word.sequence = renewal->sequence;
  word.version_known = false; /* a renewal does not name it */
  word.is_short = true;
  registry_merge (self->registry, &word, (int64_t) renewal->age, now, &target);
}

static void
read_renewals (struct subscriber *self, struct pack_reader *in, int64_t now)
{
  uint32_t n = pack_read_array (in, SYNC_TARGETS_MAX);

  for (uint32_t i = 0; i < n; i++)
    {
      struct sync_renewal renewal;

      if (!sync_read_renewal (in, &renewal))
        return;
      apply_renewal (self, &renewal, now);
    }
}

static void
read_hosts (struct subscriber *self, struct known_controller *controller, struct pack_reader *in)
{
  uint32_t n = pack_read_array (in, SYNC_HOSTS_MAX);
  struct sync_host *list = talloc_zero_array (self, struct sync_host, n == 0 ? 1 : n);

  for (uint32_t i = 0; i < n && list != NULL; i++)
    sync_read_host (in, &list[i]);
  if (list == NULL || !pack_read_is_ok (in))
    {
      talloc_free (list);
      return;
    }
  talloc_free (controller->list);
  controller->list = list;
  controller->n_list = n;
  self->knows_hosts = self->knows_hosts || n > 0;
  self->view_stale = true;
}

static void
read_controllers (struct subscriber *self, struct pack_reader *in, int64_t now)
{
  uint32_t n = pack_read_array (in, SYNC_CONTROLLERS_MAX);

  for (uint32_t i = 0; i < n; i++)
    {
      char name[ROUTING_NAME_SIZE];
      struct known_controller *controller;

      pack_read_text (in, name, sizeof name);
      if (!pack_read_is_ok (in))
        return;
      controller = subscriber_add_controller (self, name, now);
      if (controller != NULL)
        controller->named_at = now;
    }
}

/* The revision of the controller's targets that this host holds after the message: it may have
 * missed an earlier one. */
static uint64_t
read_targets_revision (struct subscriber *self,
                       const struct known_controller *controller,
                       const struct sync_state *state,
                       struct pack_reader *in)
{
  uint64_t held = controller->incarnation == state->controller ? controller->targets : 0;
  /* Controllers of earlier releases do not tell what the records follow. */
  uint64_t base = pack_read_is_complete (in) ? held : pack_read_uint (in, UINT64_MAX);

  if (base <= held)
    return state->targets;
  counter_add (self->missed_states, 1);
  return held;
}

/* A confirmation counts from when its request was sent, so a delayed one extends nothing. */
static void
apply_confirmation (struct subscriber *self,
                    struct known_controller *controller,
                    const struct sync_state *state)
{
  const struct request_record *request = &controller->requests[state->nonce % REQUESTS_KEPT];

  if (state->nonce == 0 || state->nonce != request->nonce)
    return;
  if (request->introduced)
    controller->introduced = state->controller;
  if (!state->confirmed)
    return;
  if (subscriber_version (self) >= state->document)
    subscriber_confirm (self, request->sent_at);
  /* The earliest is kept: while versions follow each other, later ones would wait for each next. */
  else if (controller->early.document == 0)
    controller->early = (struct early_confirmation){
      .document = state->document,
      .requested_at = request->sent_at,
    };
}

void
subscriber_confirm (struct subscriber *self, int64_t requested_at)
{
  bool first = !self->confirmed;

  counter_add (self->confirmations, 1);
  if (first || requested_at > self->confirmed_at)
    self->confirmed_at = requested_at;
  self->confirmed = true;
  if (first)
    subscriber_mark_targets (self, self->now);
}

void
subscriber_update_ready (struct subscriber *self)
{
  bool ready = subscriber_is_ready (self);

  if (ready == self->was_ready)
    return;
  self->was_ready = ready;
  log_event (
      LOG_MODULE_HOST, LOG_LEVEL_INFO, ready ? "ready" : "not-ready", "{s:b,s:I,s:I}", "confirmed",
      self->confirmed, "age_ms",
      (json_int_t) (self->confirmed ? subscriber_confirmation_age (self) / USEC_PER_MSEC : -1),
      "version", (json_int_t) subscriber_version (self));
  for (uint32_t i = 0; i < self->n_controllers; i++)
    self->controllers[i].next_request = 0;
}

/* This host stays as it is although the controller may hold a newer configuration. */
static void
report_malformed (struct subscriber *self, const struct known_controller *controller)
{
  counter_add (self->malformed, 1);
  log_event (LOG_MODULE_STORE, LOG_LEVEL_ERROR, "state-not-read", "{s:s,s:I}", "controller",
             controller->name, "version", (json_int_t) subscriber_version (self));
}

static void
handle_state (struct subscriber *self,
              struct known_controller *controller,
              struct pack_reader *in,
              int64_t now)
{
  uint64_t revision = self->registry->revision;
  uint64_t targets;
  struct sync_state state;
  const void *text = NULL;
  size_t length = 0;

  if (sync_read_state (in, &state) && state.has_document)
    text = pack_read_binary (in, RAFT_ENTRY_MAX, &length);
  if (!pack_read_is_ok (in))
    {
      report_malformed (self, controller);
      return;
    }
  controller->heard = now;
  controller->unanswered_since = 0;
  controller->next_reconnect = 0;
  subscriber_set_reachable (self, controller, true, now);
  controller->document = state.document;
  subscriber_learn_version (self, state.document);
  if (text != NULL)
    {
      counter_add (self->documents, 1);
      counter_add (self->document_bytes, (double) length);
      subscriber_apply_document (self, controller, state.document, text, length);
    }
  read_targets (self, controller, in, now);
  read_renewals (self, in, now);
  if (state.has_hosts && pack_read_is_ok (in))
    read_hosts (self, controller, in);
  if (pack_read_is_ok (in))
    read_controllers (self, in, now);
  targets = read_targets_revision (self, controller, &state, in);
  subscriber_report_changed (self, revision, now);
  if (!pack_read_is_complete (in))
    {
      report_malformed (self, controller);
      return;
    }
  controller->targets = targets;
  /* Without a list the revision is that of one that this host may have missed. */
  if (state.has_hosts)
    controller->hosts = state.hosts;
  else if (controller->incarnation != state.controller)
    controller->hosts = 0;
  controller->incarnation = state.controller;
  apply_confirmation (self, controller, &state);
  subscriber_fetch_document (self, now);
  subscriber_update_ready (self);
  subscriber_end_waits (self, now);
}

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct subscriber *self = CONTAINER_OF (listener, struct subscriber, listener);
  struct known_controller *controller = subscriber_find_controller (self, from);
  struct pack_reader in;
  enum sync_message type;

  self->now = now;
  pack_reader_init (&in, data, length);
  if (controller == NULL || !sync_read_type (&in, &type))
    return;
  if (type == SYNC_STATE)
    handle_state (self, controller, &in, now);
  else if (type == SYNC_REACH_LIST)
    subscriber_handle_reach_list (self, controller, &in, now);
  else if (type == SYNC_VERSIONS)
    subscriber_handle_versions (self, controller, &in, now);
  else if (type == SYNC_EVACUATIONS)
    subscriber_handle_evacuations (self, controller, &in, now);
  else if (type == SYNC_DOCUMENT)
    subscriber_handle_document (self, controller, &in, now);
}

const struct peer_listener_ops subscriber_listener_ops = { .received = received };
