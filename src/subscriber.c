/* An entry host's view of the rest. */
#include "subscriber.h"
#include "container.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define TICK_PERIOD (50 * USEC_PER_MSEC)

/* A controller learned from another one is forgotten when neither it nor word of it came for so
 * long. */
#define FORGET_AFTER (30 * USEC_PER_SEC)

/* Asks that may still be answered: the next one goes out before a slow answer is here. */
#define ASKS_KEPT 8

struct ask_record
{
  uint64_t nonce;
  int64_t at; /* on the clock that goes on in suspension */
};

struct known_controller
{
  char name[ROUTING_NAME_SIZE];
  bool seed;
  uint64_t incarnation;
  uint64_t targets; /* revisions held */
  uint64_t hosts;
  uint64_t last_nonce;
  struct ask_record asks[ASKS_KEPT]; /* the last ones */
  int64_t next_ask;
  int64_t heard;    /* 0: never */
  int64_t named_at; /* by another controller */
  bool in_touch;
  uint32_t n_list;
  struct sync_host *list; /* entry hosts, as it names them */
};

struct subscriber
{
  struct subscriber_config config;
  struct peer_listener listener;
  struct document_listener document_listener;
  struct timer tick;
  struct document *document;
  struct routing *routing;
  struct registry *registry;
  struct known_controller controllers[SYNC_CONTROLLERS_MAX];
  uint32_t n_controllers;
  struct sync_host self;
  bool confirmed;
  bool was_ready;
  int64_t confirmed_at;
  int64_t now;
  int64_t expire_at;
  struct counter *confirmations;
  struct counter *malformed;
  struct counter *age_gauge;
  struct counter *version_gauge;
};

/* ---- controllers ---- */

static struct known_controller *
find_controller (struct subscriber *self, const char *name)
{
  for (uint32_t i = 0; i < self->n_controllers; i++)
    if (strcmp (self->controllers[i].name, name) == 0)
      return &self->controllers[i];
  return NULL;
}

static struct known_controller *
add_controller (struct subscriber *self, const char *name, int64_t now)
{
  struct known_controller *controller = find_controller (self, name);

  if (controller != NULL || self->n_controllers == SYNC_CONTROLLERS_MAX)
    return controller;
  controller = &self->controllers[self->n_controllers++];
  /* An answer to an ask of an earlier start of ours must match none of this one. */
  *controller = (struct known_controller){
    .named_at = now,
    .last_nonce = self->self.incarnation,
  };
  text_copy_cut (controller->name, sizeof controller->name, name);
  return controller;
}

static void
forget_controllers (struct subscriber *self, int64_t now)
{
  for (uint32_t i = 0; i < self->n_controllers; i++)
    {
      struct known_controller *controller = &self->controllers[i];
      int64_t last =
          controller->heard > controller->named_at ? controller->heard : controller->named_at;

      if (controller->seed || now - last <= FORGET_AFTER)
        continue;
      self->config.port->ops->forget (self->config.port, controller->name);
      talloc_free (controller->list);
      *controller = self->controllers[--self->n_controllers];
      i--;
    }
}

static void
send_ask (struct subscriber *self, struct known_controller *controller, int64_t now)
{
  struct sync_ask ask = {
    .nonce = ++controller->last_nonce,
    .document = document_version (self->document),
    .controller = controller->incarnation,
    .targets = controller->targets,
    .hosts = controller->hosts,
    .self = self->self,
  };
  struct bytes out;

  ask.self.ready = subscriber_ready (self);
  controller->asks[ask.nonce % ASKS_KEPT] =
      (struct ask_record){ .nonce = ask.nonce, .at = self->config.boottime () };
  controller->next_ask = now + (controller->heard == 0 ? SYNC_FIRST_ASK_PERIOD : SYNC_ASK_PERIOD);
  bytes_init (&out, NULL);
  sync_begin (SYNC_ASK, &out);
  sync_write_ask (&ask, &out);
  if (!bytes_failed (&out))
    self->config.port->ops->send (self->config.port, controller->name, PEER_CHANNEL_SYNC, out.data,
                                  out.length);
  bytes_clear (&out);
}

static void
note_touch (struct known_controller *controller, bool in_touch, int64_t now)
{
  if (controller->in_touch == in_touch)
    return;
  controller->in_touch = in_touch;
  log_event (
      LOG_MODULE_MEMBER, LOG_LEVEL_INFO, in_touch ? "controller-regained" : "controller-lost",
      "{s:s,s:I}", "controller", controller->name, "age_ms",
      (json_int_t) (controller->heard == 0 ? -1 : (now - controller->heard) / USEC_PER_MSEC));
}

/* ---- the configuration ---- */

static void
document_changed (struct document_listener *listener, const struct document *document)
{
  struct subscriber *self = CONTAINER_OF (listener, struct subscriber, document_listener);
  const struct bytes *text = document_text (document);
  struct routing *routing =
      self->config.codec->ops->decode (self->config.codec, self, text->data, text->length);
  struct routing *before = self->routing;

  if (routing == NULL)
    {
      log_event (LOG_MODULE_STORE, LOG_LEVEL_ERROR, "document-not-understood", "{s:I,s:s}",
                 "version", (json_int_t) document_version (document), "message", status_message ());
      return;
    }
  self->routing = routing;
  gauge_set (self->version_gauge, (double) routing->version);
  log_event (LOG_MODULE_STORE, LOG_LEVEL_INFO, "routing-in-force", "{s:I,s:i,s:i}", "version",
             (json_int_t) routing->version, "routes", (int) routing->n_routes, "pools",
             (int) routing->n_pools);
  self->config.listener->ops->routing (self->config.listener, routing, self->now);
  talloc_free (before);
}

static const struct document_listener_ops document_listener_ops = { .changed = document_changed };

/* ---- states ---- */

static void
tell_target (struct subscriber *self, struct registry_target *target, int64_t now)
{
  const struct registry_word *word = &target->word;

  log_event (LOG_MODULE_DIRECTORY, LOG_LEVEL_INFO, "target", "{s:s,s:I,s:s,s:s,s:s,s:I,s:b,s:I}",
             "id", word->id, "started", (json_int_t) word->started, "pool", word->pool, "address",
             word->address, "state", registry_state_text (word->state), "sequence",
             (json_int_t) word->sequence, "expired", target->expired, "age_ms",
             (json_int_t) ((now - target->heard) / USEC_PER_MSEC));
  self->config.listener->ops->target (self->config.listener, target, now);
}

/* What a word of one target did to the others at its address shows in their revisions. */
static void
tell_changed (struct subscriber *self, uint64_t since, int64_t now)
{
  struct registry_target *target;
  struct registry_target *next;

  if (self->registry->revision == since)
    return;
  HASH_ITER (hh, self->registry->targets, target, next)
    {
      if (target->revision > since)
        tell_target (self, target, now);
    }
}

static void
read_targets (struct subscriber *self, struct pack_reader *in, int64_t now)
{
  uint32_t n = pack_read_array (in, SYNC_TARGETS_MAX);

  for (uint32_t i = 0; i < n; i++)
    {
      struct registry_word word;
      struct registry_target *target;
      int64_t age;

      if (!registry_read (in, &word, &age))
        return;
      registry_merge (self->registry, &word, age, now, &target);
    }
}

static void
take_renewal (struct subscriber *self, const struct sync_renewal *renewal, int64_t now)
{
  struct registry_target *target;
  struct registry_target *next;

  HASH_ITER (hh, self->registry->targets, target, next)
    {
      struct registry_word word;

      if (sync_id_hash (target->word.id) != renewal->id_hash)
        continue;
      /* Of a start whose whole word is not here yet. */
      if (renewal->started > target->word.started)
        return;
      word = target->word;
      word.started = renewal->started;
      word.sequence = renewal->sequence;
      registry_merge (self->registry, &word, (int64_t) renewal->age, now, &target);
      return;
    }
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
      take_renewal (self, &renewal, now);
    }
}

static void
read_hosts (struct subscriber *self, struct known_controller *controller, struct pack_reader *in)
{
  uint32_t n = pack_read_array (in, SYNC_HOSTS_MAX);
  struct sync_host *list = talloc_zero_array (self, struct sync_host, n == 0 ? 1 : n);

  for (uint32_t i = 0; i < n && list != NULL; i++)
    sync_read_host (in, &list[i]);
  if (list == NULL || !pack_read_ok (in))
    {
      talloc_free (list);
      return;
    }
  talloc_free (controller->list);
  controller->list = list;
  controller->n_list = n;
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
      if (!pack_read_ok (in))
        return;
      controller = add_controller (self, name, now);
      if (controller != NULL)
        controller->named_at = now;
    }
}

/* A confirmation counts from when its question was asked: one that was held up grants nothing. */
static void
take_confirmation (struct subscriber *self,
                   const struct known_controller *controller,
                   const struct sync_state *state)
{
  const struct ask_record *ask = &controller->asks[state->nonce % ASKS_KEPT];

  if (!state->confirmed || state->nonce == 0 || state->nonce != ask->nonce
      || document_version (self->document) < state->document)
    return;
  counter_add (self->confirmations, 1);
  if (!self->confirmed || ask->at > self->confirmed_at)
    self->confirmed_at = ask->at;
  self->confirmed = true;
}

static void
note_ready (struct subscriber *self)
{
  bool ready = subscriber_ready (self);

  if (ready == self->was_ready)
    return;
  self->was_ready = ready;
  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, ready ? "ready" : "not-ready", "{s:b,s:I,s:I}",
             "confirmed", self->confirmed, "age_ms",
             (json_int_t) (self->confirmed ? subscriber_age (self) / USEC_PER_MSEC : -1), "version",
             (json_int_t) document_version (self->document));
  for (uint32_t i = 0; i < self->n_controllers; i++)
    self->controllers[i].next_ask = 0;
}

static void
got_state (struct subscriber *self,
           struct known_controller *controller,
           struct pack_reader *in,
           int64_t now)
{
  uint64_t revision = self->registry->revision;
  struct sync_state state;
  const void *text = NULL;
  size_t length = 0;

  if (!sync_read_state (in, &state))
    return;
  if (state.has_document)
    text = pack_read_binary (in, SYNC_DOCUMENT_MAX, &length);
  if (!pack_read_ok (in))
    return;
  controller->heard = now;
  note_touch (controller, true, now);
  if (text != NULL)
    document_take (self->document, state.document, text, length);
  read_targets (self, in, now);
  read_renewals (self, in, now);
  if (state.has_hosts && pack_read_ok (in))
    read_hosts (self, controller, in);
  if (pack_read_ok (in))
    read_controllers (self, in, now);
  tell_changed (self, revision, now);
  if (!pack_read_end (in))
    {
      counter_add (self->malformed, 1);
      return;
    }
  controller->incarnation = state.controller;
  controller->targets = state.targets;
  controller->hosts = state.hosts;
  take_confirmation (self, controller, &state);
  note_ready (self);
}

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct subscriber *self = CONTAINER_OF (listener, struct subscriber, listener);
  struct known_controller *controller = find_controller (self, from);
  struct pack_reader in;
  enum sync_message type;

  self->now = now;
  pack_reader_init (&in, data, length);
  if (controller != NULL && sync_read_type (&in, &type) && type == SYNC_STATE)
    got_state (self, controller, &in, now);
}

static const struct peer_listener_ops listener_ops = { .received = received };

/* ---- time ---- */

static void
expire_targets (struct subscriber *self, int64_t now)
{
  uint64_t revision = self->registry->revision;

  if (now < self->expire_at)
    return;
  self->expire_at = now + SYNC_ASK_PERIOD;
  registry_expire (self->registry, self->config.target_lease, now);
  tell_changed (self, revision, now);
}

static void
tick_fired (struct timer *timer, int64_t now)
{
  struct subscriber *self = CONTAINER_OF (timer, struct subscriber, tick);

  self->now = now;
  for (uint32_t i = 0; i < self->n_controllers; i++)
    {
      struct known_controller *controller = &self->controllers[i];

      if (now >= controller->next_ask)
        send_ask (self, controller, now);
      if (now - controller->heard > SYNC_TOUCH)
        note_touch (controller, false, now);
    }
  forget_controllers (self, now);
  expire_targets (self, now);
  note_ready (self);
  if (self->confirmed)
    gauge_set (self->age_gauge, (double) subscriber_age (self) / (double) USEC_PER_SEC);
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
      struct known_controller *controller = add_controller (self, seeds[i], self->now);

      if (controller != NULL)
        controller->seed = true;
    }
}

/* ---- what others ask ---- */

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
subscriber_age (const struct subscriber *self)
{
  return self->confirmed ? self->config.boottime () - self->confirmed_at : USEC_NEVER;
}

bool
subscriber_ready (const struct subscriber *self)
{
  return self->routing != NULL && !self->self.leaving
         && subscriber_age (self) <= self->config.ready_for;
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
  for (uint32_t i = 0; i < self->n_controllers; i++)
    send_ask (self, &self->controllers[i], now);
  note_ready (self);
}

static int
compare_hosts (const void *a, const void *b)
{
  const struct sync_host *const *left = a;
  const struct sync_host *const *right = b;

  return strcmp ((*left)->name, (*right)->name);
}

static bool
is_among (const struct sync_host *const *hosts, uint32_t n, const char *name)
{
  for (uint32_t i = 0; i < n; i++)
    if (strcmp (hosts[i]->name, name) == 0)
      return true;
  return false;
}

static bool
any_in_touch (const struct subscriber *self)
{
  for (uint32_t i = 0; i < self->n_controllers; i++)
    if (self->controllers[i].in_touch)
      return true;
  return false;
}

/* A host that is cut off from all controllers goes by what it heard last: the other entry hosts may
 * still be there, and hosts that each took themselves for the only one would collide at targets. */
uint32_t
subscriber_hosts (const struct subscriber *self, const struct sync_host *out[SYNC_HOSTS_MAX])
{
  bool touch = any_in_touch (self);
  uint32_t n = 0;

  if (!self->self.leaving)
    out[n++] = &self->self;
  for (uint32_t i = 0; i < self->n_controllers; i++)
    {
      const struct known_controller *controller = &self->controllers[i];

      for (uint32_t j = 0; (controller->in_touch || !touch) && j < controller->n_list; j++)
        if (n < SYNC_HOSTS_MAX && strcmp (controller->list[j].name, self->self.name) != 0
            && !is_among (out, n, controller->list[j].name))
          out[n++] = &controller->list[j];
    }
  qsort (out, n, sizeof (const struct sync_host *), compare_hosts);
  return n;
}

static int
free_subscriber (struct subscriber *self)
{
  timer_disarm (self->config.timers, &self->tick);
  return 0;
}

static void
take_counters (struct subscriber *self)
{
  struct counters *counters = self->config.counters;

  self->confirmations = counter_get (counters, "cherryarch_subscriber_confirmations_total",
                                     "Answers that a quorum confirmed.", NULL);
  self->malformed = counter_get (counters, "cherryarch_subscriber_malformed_total",
                                 "Answers that could not be read.", NULL);
  self->age_gauge = gauge_get (counters, "cherryarch_subscriber_age_seconds",
                               "Since the newest confirmed question was asked.", NULL);
  self->version_gauge = gauge_get (counters, "cherryarch_subscriber_version",
                                   "Version of the configuration in force.", NULL);
}

struct subscriber *
subscriber_new (void *parent, const struct subscriber_config *config)
{
  struct subscriber *self = talloc_zero (parent, struct subscriber);

  if (self == NULL)
    return NULL;
  self->config = *config;
  self->self = config->self;
  self->listener.ops = &listener_ops;
  self->document_listener.ops = &document_listener_ops;
  self->tick.ops = &tick_ops;
  self->document = document_new (self, &self->document_listener);
  self->registry = registry_new (self);
  if (self->document == NULL || self->registry == NULL)
    {
      talloc_free (self);
      return NULL;
    }
  for (uint32_t i = 0; i < config->n_seeds; i++)
    {
      struct known_controller *controller = add_controller (self, config->seeds[i], 0);

      if (controller != NULL)
        controller->seed = true;
    }
  take_counters (self);
  config->port->ops->listen (config->port, PEER_CHANNEL_SYNC, &self->listener);
  timer_arm (config->timers, &self->tick, 0);
  talloc_set_destructor (self, free_subscriber);
  return self;
}
