/* An entry host's view of the system: requests to controllers, and queries of other modules. */
#include "container.h"
#include "log.h"
#include "subscriber_private.h"
#include "text.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define TICK_PERIOD (50 * USEC_PER_MSEC)

/* A longer interval between two ticks shows that this host did not run. */
#define TICK_LATE_MAX (500 * USEC_PER_MSEC)

/* A controller learned from another one is removed when it neither sent a message nor was named by
 * another for this long. */
#define CONTROLLER_TTL (30 * USEC_PER_SEC)

/* ---- controllers ---- */

struct known_controller *
subscriber_find_controller (struct subscriber *self, const char *name)
{
  for (uint32_t i = 0; i < self->n_controllers; i++)
    if (strcmp (self->controllers[i].name, name) == 0)
      return &self->controllers[i];
  return NULL;
}

struct known_controller *
subscriber_add_controller (struct subscriber *self, const char *name, int64_t now)
{
  struct known_controller *controller = subscriber_find_controller (self, name);

  if (controller != NULL || self->n_controllers == SYNC_CONTROLLERS_MAX)
    return controller;
  controller = &self->controllers[self->n_controllers++];
  /* An answer to a request of an earlier incarnation of this host must match none of this one. */
  *controller = (struct known_controller){
    .named_at = now,
    .last_nonce = self->self.incarnation,
  };
  text_copy_truncated (controller->name, sizeof controller->name, name);
  return controller;
}

static void
remove_silent_controllers (struct subscriber *self, int64_t now)
{
  for (uint32_t i = 0; i < self->n_controllers; i++)
    {
      struct known_controller *controller = &self->controllers[i];
      int64_t last =
          controller->heard > controller->named_at ? controller->heard : controller->named_at;

      if (controller->seed || now - last <= CONTROLLER_TTL)
        continue;
      self->config.port->ops->remove_host (self->config.port, controller->name);
      talloc_free (controller->list);
      talloc_free (controller->lost);
      *controller = self->controllers[--self->n_controllers];
      self->view_stale = true;
      i--;
    }
}

/* Sends and frees `message`. */
enum status
subscriber_send (struct subscriber *self,
                 const struct known_controller *controller,
                 struct bytes *message)
{
  enum status status = STATUS_NO_MEMORY;

  if (!bytes_has_failed (message))
    status = self->config.port->ops->send (self->config.port, controller->name, PEER_CHANNEL_SYNC,
                                           message->data, message->length);
  bytes_clear (message);
  return status;
}

static int64_t
request_period (const struct known_controller *controller, bool sent, bool silent)
{
  if (controller->heard == 0 || !sent)
    return SYNC_FIRST_REQUEST_PERIOD;
  return silent ? SYNC_SILENT_REQUEST_PERIOD : SYNC_REQUEST_PERIOD;
}

static bool
is_silent (const struct known_controller *controller, int64_t now)
{
  return controller->unanswered_since != 0
         && now - controller->unanswered_since > SYNC_SILENCE_TIMEOUT;
}

/* Requests are sent and not answered: the connection may deliver nothing without showing an error.
 * Replaces it; without a connection, requests are not sent and the port connects by itself. */
static void
reconnect_if_silent (struct subscriber *self, struct known_controller *controller, int64_t now)
{
  if (!is_silent (controller, now) || now < controller->next_reconnect)
    return;
  controller->next_reconnect = now + SYNC_RECONNECT_PERIOD;
  controller->next_request = now;
  counter_add (self->reconnects, 1);
  log_event (LOG_MODULE_MEMBER, LOG_LEVEL_WARNING, "controller-silent", "{s:s,s:I}", "controller",
             controller->name, "unanswered_ms",
             (json_int_t) ((now - controller->unanswered_since) / USEC_PER_MSEC));
  self->config.port->ops->remove_host (self->config.port, controller->name);
}

/* Answers may wait to be read after a time in which this host did not run. */
static void
restart_silence (struct subscriber *self, int64_t now)
{
  for (uint32_t i = 0; i < self->n_controllers; i++)
    if (self->controllers[i].unanswered_since != 0)
      self->controllers[i].unanswered_since = now;
}

static void
send_unanswered (struct subscriber *self, const struct known_controller *controller)
{
  struct bytes out;

  bytes_init (&out, NULL);
  sync_write_header (SYNC_UNANSWERED, &out);
  sync_write_unanswered (controller->unanswered_nonce, &out);
  (void) subscriber_send (self, controller, &out); /* repeated with the next request */
}

void
subscriber_send_request (struct subscriber *self, struct known_controller *controller, int64_t now)
{
  struct sync_request request = {
    .nonce = ++controller->last_nonce,
    .document = subscriber_version (self),
    .controller = controller->incarnation,
    .targets = controller->targets,
    .hosts = controller->hosts,
    .self = self->self,
  };
  bool silent = is_silent (controller, now);
  bool introduces =
      controller->introduced == 0 || controller->introduced != controller->incarnation;
  bool sent;
  struct bytes out;

  request.self.ready = subscriber_is_ready (self);
  controller->requests[request.nonce % REQUESTS_KEPT] = (struct request_record){
    .nonce = request.nonce,
    .sent_at = self->config.boottime (),
    .introduced = introduces,
  };
  if (introduces)
    subscriber_introduce (self, controller);
  if (silent)
    send_unanswered (self, controller);
  bytes_init (&out, NULL);
  sync_write_header (SYNC_REQUEST, &out);
  sync_write_request (&request, &out);
  sent = subscriber_send (self, controller, &out) == STATUS_OK;
  controller->next_request = now + request_period (controller, sent, silent);
  if (sent)
    {
      subscriber_send_reach (self, controller);
      subscriber_request_unknown_versions (self, controller);
    }
  if (!sent || controller->unanswered_since != 0)
    return;
  controller->unanswered_since = now;
  controller->unanswered_nonce = request.nonce;
}

void
subscriber_set_reachable (struct subscriber *self,
                          struct known_controller *controller,
                          bool reachable,
                          int64_t now)
{
  if (controller->reachable == reachable)
    return;
  controller->reachable = reachable;
  self->view_stale = true;
  log_event (
      LOG_MODULE_MEMBER, LOG_LEVEL_INFO, reachable ? "controller-regained" : "controller-lost",
      "{s:s,s:I}", "controller", controller->name, "age_ms",
      (json_int_t) (controller->heard == 0 ? -1 : (now - controller->heard) / USEC_PER_MSEC));
}

/* ---- time ---- */

static void
expire_targets (struct subscriber *self, int64_t now)
{
  uint64_t revision = self->registry->revision;

  if (now < self->expire_at)
    return;
  self->expire_at = now + SYNC_REQUEST_PERIOD;
  registry_expire (self->registry, self->config.target_lease, now);
  subscriber_report_changed (self, revision, now);
}

static void
tick_fired (struct timer *timer, int64_t now)
{
  struct subscriber *self = CONTAINER_OF (timer, struct subscriber, tick);

  if (now - self->ticked_at > TICK_LATE_MAX)
    restart_silence (self, now);
  self->now = now;
  self->ticked_at = now;
  for (uint32_t i = 0; i < self->n_controllers; i++)
    {
      struct known_controller *controller = &self->controllers[i];

      reconnect_if_silent (self, controller, now);
      if (now >= controller->next_request)
        subscriber_send_request (self, controller, now);
      if (now - controller->heard > SYNC_CONTACT_TIMEOUT)
        subscriber_set_reachable (self, controller, false, now);
    }
  subscriber_fetch_document (self, now);
  subscriber_request_confirmation (self, now);
  remove_silent_controllers (self, now);
  expire_targets (self, now);
  subscriber_update_ready (self);
  subscriber_report_lag (self);
  if (self->confirmed)
    gauge_set (self->age_gauge,
               (double) subscriber_confirmation_age (self) / (double) USEC_PER_SEC);
  timer_arm (self->config.timers, timer, now + TICK_PERIOD);
}

static const struct timer_ops tick_ops = { .fire = tick_fired };

void
subscriber_set_seeds (struct subscriber *self,
                      const char (*seeds)[ROUTING_NAME_SIZE],
                      uint32_t n_seeds)
{
  for (uint32_t i = 0; i < self->n_controllers; i++)
    self->controllers[i].seed = false;
  for (uint32_t i = 0; i < n_seeds; i++)
    {
      struct known_controller *controller = subscriber_add_controller (self, seeds[i], self->now);

      if (controller != NULL)
        controller->seed = true;
    }
}

/* ---- queries ---- */

const struct routing *
subscriber_routing (const struct subscriber *self)
{
  return self->confirmed ? self->routing : NULL;
}

struct registry *
subscriber_registry (const struct subscriber *self)
{
  return self->registry;
}

int64_t
subscriber_confirmation_age (const struct subscriber *self)
{
  return self->confirmed ? self->config.boottime () - self->confirmed_at : USEC_NEVER;
}

bool
subscriber_is_ready (const struct subscriber *self)
{
  return self->routing != NULL && !self->self.leaving && !subscriber_is_outdated (self)
         && subscriber_confirmation_age (self) <= self->config.ready_for;
}

const char *
subscriber_domain (const struct subscriber *self)
{
  return self->self.domain;
}

bool
subscriber_is_self (const struct subscriber *self, const struct sync_host *host)
{
  return strcmp (host->name, self->self.name) == 0;
}

void
subscriber_leave (struct subscriber *self, int64_t now)
{
  self->self.leaving = true;
  self->view_stale = true;
  for (uint32_t i = 0; i < self->n_controllers; i++)
    subscriber_send_request (self, &self->controllers[i], now);
  subscriber_update_ready (self);
}

uint32_t
subscriber_list_controllers (const struct subscriber *self, const char *out[SYNC_HOSTS_MAX])
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < self->n_controllers; i++)
    if (self->controllers[i].reachable)
      out[n++] = self->controllers[i].name;
  return n;
}

bool
subscriber_reaches_all_controllers (const struct subscriber *self)
{
  for (uint32_t i = 0; i < self->n_controllers; i++)
    if (!self->controllers[i].reachable)
      return false;
  return self->n_controllers > 0;
}

static bool
has_reachable_controller (const struct subscriber *self)
{
  for (uint32_t i = 0; i < self->n_controllers; i++)
    if (self->controllers[i].reachable)
      return true;
  return false;
}

/* A view that lacks some hosts differs from those of other hosts, so hosts would compute different
 * owners. */
static void
log_left_out (struct subscriber *self)
{
  bool full = self->view.n_omitted > 0;

  counter_add (self->left_out, self->view.n_omitted);
  if (full == self->view_was_full)
    return;
  self->view_was_full = full;
  log_event (LOG_MODULE_MEMBER, full ? LOG_LEVEL_ERROR : LOG_LEVEL_INFO,
             full ? "too-many-entry-hosts" : "entry-hosts-fit", "{s:i,s:i}", "held",
             (int) self->view.n, "left_out", (int) self->view.n_omitted);
}

/* A host that is cut off from all controllers uses the last lists it received: the other entry
 * hosts may still be up, and hosts that each counted only themselves would collide at targets. */
static void
merge_lists (struct subscriber *self)
{
  bool any_reachable = has_reachable_controller (self);

  counter_add (self->merges, 1);
  host_view_clear (&self->view);
  host_view_add (&self->view, &self->self, 1);
  for (uint32_t i = 0; i < self->n_controllers; i++)
    {
      const struct known_controller *controller = &self->controllers[i];

      if (controller->reachable || !any_reachable)
        host_view_add (&self->view, controller->list, controller->n_list);
    }
  if (self->self.leaving)
    host_view_remove (&self->view, self->self.name);
  log_left_out (self);
}

const struct host_view *
subscriber_hosts (struct subscriber *self)
{
  if (self->view_stale)
    merge_lists (self);
  self->view_stale = false;
  return &self->view;
}

bool
subscriber_knows_hosts (const struct subscriber *self)
{
  return self->knows_hosts;
}

static int
free_subscriber (struct subscriber *self)
{
  timer_disarm (self->config.timers, &self->tick);
  return 0;
}

static void
create_counters (struct subscriber *self)
{
  struct counters *counters = self->config.counters;

  self->confirmations = counter_get (counters, "cherryarch_subscriber_confirmations_total",
                                     "Answers that a quorum confirmed.", NULL);
  self->malformed = counter_get (counters, "cherryarch_subscriber_malformed_total",
                                 "Answers that could not be read.", NULL);
  self->reconnects = counter_get (counters, "cherryarch_subscriber_reconnects_total",
                                  "Connections to controllers replaced for want of answers.", NULL);
  self->merges = counter_get (counters, "cherryarch_subscriber_host_merges_total",
                              "Controllers' lists of entry hosts merged into one.", NULL);
  self->left_out = counter_get (counters, "cherryarch_subscriber_hosts_left_out_total",
                                "Entry hosts named beyond what one host can keep.", NULL);
  self->documents = counter_get (counters, "cherryarch_subscriber_documents_total",
                                 "Configurations received from controllers.", NULL);
  self->document_bytes =
      counter_get (counters, "cherryarch_subscriber_document_bytes_total", "Bytes of these.", NULL);
  self->superseded = counter_get (counters, "cherryarch_subscriber_documents_superseded_total",
                                  "Those that were not newer than the one in force.", NULL);
  self->fetch_timeouts =
      counter_get (counters, "cherryarch_subscriber_document_timeouts_total",
                   "Requests for the configuration that a controller left unanswered.", NULL);
  self->missed_states =
      counter_get (counters, "cherryarch_subscriber_missed_states_total",
                   "States received after one with records of targets that was lost.", NULL);
  self->behind_gauge =
      gauge_get (counters, "cherryarch_subscriber_behind_seconds",
                 "Since this host learned of the first configuration that it lacks.", NULL);
  self->age_gauge = gauge_get (counters, "cherryarch_subscriber_age_seconds",
                               "Since the newest confirmed question was asked.", NULL);
  self->version_gauge = gauge_get (counters, "cherryarch_subscriber_version",
                                   "Version of the configuration in force.", NULL);
  self->evacuated_domains = gauge_get (counters, "cherryarch_evacuated_domains",
                                       "Failure domains that are evacuated.", NULL);
}

struct subscriber *
subscriber_new (void *parent, const struct subscriber_config *config)
{
  struct subscriber *self = talloc_zero (parent, struct subscriber);

  if (self == NULL)
    return NULL;
  self->config = *config;
  self->self = config->self;
  self->view_stale = true;
  bytes_init (&self->document, self);
  self->listener.ops = &subscriber_listener_ops;
  self->tick.ops = &tick_ops;
  self->registry = registry_new (self);
  if (self->registry == NULL)
    {
      talloc_free (self);
      return NULL;
    }
  for (uint32_t i = 0; i < config->n_seeds; i++)
    {
      struct known_controller *controller = subscriber_add_controller (self, config->seeds[i], 0);

      if (controller != NULL)
        controller->seed = true;
    }
  create_counters (self);
  config->port->ops->set_listener (config->port, PEER_CHANNEL_SYNC, &self->listener);
  timer_arm (config->timers, &self->tick, 0);
  talloc_set_destructor (self, free_subscriber);
  return self;
}
