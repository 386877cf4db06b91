/* Bindings of streams at this host and at others. */
#include "binding_store.h"
#include "binding_log.h"
#include "binding_wire.h"
#include "container.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

/* The kind of a message.  Wire format: never renumbered. */
enum binding_message
{
  BINDING_MESSAGE_PUT = 1,    /* key, lifetime in us, binding */
  BINDING_MESSAGE_LOOKUP = 2, /* number, key */
  BINDING_MESSAGE_ANSWER = 3, /* number, key, outcome; if known also age in us, binding */
};

struct binding_store
{
  struct peer_listener listener; /* must be first: the port passes it to callbacks */
  struct binding_store_config config;
  struct binding_table *table;
  struct binding_log_listener log_listener;
  struct binding_log *log; /* NULL: bindings are kept in memory alone */
  struct binding_lookup *lookups;
  uint64_t last_number;
  struct counter *held;
  struct counter *evicted;
  struct counter *sent;
  struct counter *outcomes[BINDING_OUTCOME_COUNT];
};

static const char *const outcome_texts[] = {
#define X(name, text) [BINDING_##name] = text,
  BINDING_OUTCOME_LIST (X)
#undef X
};

const char *
binding_outcome_text (enum binding_outcome outcome)
{
  return outcome_texts[outcome];
}

/* ---- messages ---- */

static bool
send_to (struct binding_store *store, const char *host, const struct bytes *message)
{
  struct peer_port *port = store->config.port;

  if (bytes_has_failed (message)
      || port->ops->send (port, host, PEER_CHANNEL_BINDING, message->data, message->length)
             != STATUS_OK)
    return false;
  counter_add (store->sent, 1);
  return true;
}

/* Sends to as many of the hosts as wanted, in their order; the number sent. */
static uint32_t
send_to_first (struct binding_store *store,
               const char *const *hosts,
               uint32_t n,
               uint32_t wanted,
               const struct bytes *message)
{
  uint32_t sent = 0;

  for (uint32_t i = 0; i < n && sent < wanted; i++)
    sent += send_to (store, hosts[i], message) ? 1 : 0;
  return sent;
}

/* Sets `to_all` to whether it was sent to each peer that is listed. */
static uint32_t
send_to_peers (struct binding_store *store,
               const struct binding_key *key,
               uint32_t hosts_wanted,
               uint32_t controllers_wanted,
               const struct bytes *message,
               bool *to_all)
{
  struct binding_peers *peers = store->config.peers;
  const char *hosts[BINDING_LOOKUP_HOSTS];
  const char *controllers[BINDING_LOOKUP_CONTROLLERS];
  uint32_t n_hosts = peers->ops->list_hosts (peers, key, BINDING_LOOKUP_HOSTS, hosts);
  uint32_t n_controllers =
      peers->ops->list_controllers (peers, key, BINDING_LOOKUP_CONTROLLERS, controllers);

  uint32_t sent = send_to_first (store, hosts, n_hosts, hosts_wanted, message);

  sent += send_to_first (store, controllers, n_controllers, controllers_wanted, message);
  *to_all = sent == n_hosts + n_controllers;
  return sent;
}

/* ---- keeping ---- */

static void
keep (struct binding_store *store,
      const struct binding_key *key,
      const struct binding *binding,
      int64_t lifetime,
      int64_t now)
{
  uint64_t evicted = binding_table_evicted (store->table);

  binding_table_put (store->table, key, binding, lifetime, now);
  counter_add (store->evicted, (double) (binding_table_evicted (store->table) - evicted));
  gauge_set (store->held, binding_table_count (store->table));
}

void
binding_store_put (struct binding_store *store,
                   const struct binding_key *key,
                   const struct binding *binding,
                   int64_t lifetime,
                   int64_t now)
{
  struct bytes message;
  bool to_all;

  keep (store, key, binding, lifetime, now);
  bytes_init (&message, NULL);
  pack_uint (&message, BINDING_MESSAGE_PUT);
  binding_write_key (&message, key);
  pack_uint (&message, (uint64_t) lifetime);
  binding_write (&message, binding);
  send_to_peers (store, key, BINDING_REPLICA_HOSTS, BINDING_REPLICA_CONTROLLERS, &message, &to_all);
  bytes_clear (&message);
}

bool
binding_store_find (const struct binding_store *store,
                    const struct binding_key *key,
                    struct binding_answer *out,
                    int64_t now)
{
  const struct binding_record *record = binding_table_find (store->table, key, now);

  *out = (struct binding_answer){ .outcome = BINDING_UNKNOWN };
  if (record == NULL)
    return false;
  out->outcome = record->is_ambiguous ? BINDING_AMBIGUOUS : BINDING_KNOWN;
  out->binding = record->binding;
  out->age = now - record->stored_at;
  text_copy_truncated (out->from, sizeof out->from, "this host");
  return true;
}

/* ---- lookups ---- */

void
binding_store_cancel (struct binding_lookup *lookup)
{
  if (lookup->number == 0)
    return;
  timer_disarm (lookup->store->config.timers, &lookup->timer);
  DL_DELETE (lookup->store->lookups, lookup);
  lookup->number = 0;
}

static void
finish (struct binding_lookup *lookup, const struct binding_answer *answer, int64_t now)
{
  counter_add (lookup->store->outcomes[answer->outcome], 1);
  binding_store_cancel (lookup);
  lookup->ops->answered (lookup, answer, now);
}

static void
send_lookup (struct binding_lookup *lookup)
{
  struct binding_peers *peers = lookup->store->config.peers;
  struct bytes message;
  bool to_all;

  bytes_init (&message, NULL);
  pack_uint (&message, BINDING_MESSAGE_LOOKUP);
  pack_uint (&message, lookup->number);
  binding_write_key (&message, &lookup->key);
  lookup->n_sent += send_to_peers (lookup->store, &lookup->key, BINDING_LOOKUP_HOSTS,
                                   BINDING_LOOKUP_CONTROLLERS, &message, &to_all);
  lookup->sent_to_all = to_all && peers->ops->is_complete (peers);
  bytes_clear (&message);
}

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct binding_lookup *lookup = CONTAINER_OF (timer, struct binding_lookup, timer);
  struct binding_answer unknown = { .outcome = BINDING_UNKNOWN };

  if (now - lookup->started_at >= BINDING_LOOKUP_TIMEOUT)
    {
      finish (lookup, &unknown, now);
      return;
    }
  send_lookup (lookup);
  timer_arm (lookup->store->config.timers, timer, now + BINDING_LOOKUP_PERIOD);
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

void
binding_store_look_up (struct binding_store *store,
                       struct binding_lookup *lookup,
                       const struct binding_key *key,
                       int64_t now)
{
  lookup->key = *key;
  lookup->number = ++store->last_number;
  lookup->started_at = now;
  lookup->n_sent = 0;
  lookup->n_unknown = 0;
  lookup->store = store;
  lookup->timer.ops = &timer_ops;
  DL_APPEND (store->lookups, lookup);
  send_lookup (lookup);
  timer_arm (store->config.timers, &lookup->timer, now + BINDING_LOOKUP_PERIOD);
}

/* ---- receiving ---- */

static void
handle_put (struct binding_store *store, struct pack_reader *in, int64_t now)
{
  struct binding_log_entry entry;

  binding_read_key (in, &entry.key);
  entry.lifetime = (int64_t) pack_read_uint (in, (uint64_t) INT64_MAX);
  binding_read (in, &entry.binding);
  if (!pack_read_is_complete (in))
    return;
  keep (store, &entry.key, &entry.binding, entry.lifetime, now);
  if (store->log != NULL)
    binding_log_add (store->log, &entry, now);
}

/* A lookup that comes before all is restored is not answered that the binding is unknown: it is
 * repeated. */
static bool
may_be_restored (const struct binding_store *store, const struct binding_answer *answer)
{
  return answer->outcome == BINDING_UNKNOWN && store->log != NULL
         && binding_log_is_loading (store->log);
}

static void
handle_lookup (struct binding_store *store, struct pack_reader *in, const char *from, int64_t now)
{
  uint64_t number = pack_read_uint (in, UINT64_MAX);
  struct binding_answer answer;
  struct binding_key key;
  struct bytes message;

  binding_read_key (in, &key);
  if (!pack_read_is_complete (in))
    return;
  binding_store_find (store, &key, &answer, now);
  if (may_be_restored (store, &answer))
    return;
  bytes_init (&message, NULL);
  pack_uint (&message, BINDING_MESSAGE_ANSWER);
  pack_uint (&message, number);
  binding_write_key (&message, &key);
  pack_uint (&message, answer.outcome);
  if (answer.outcome == BINDING_KNOWN)
    {
      pack_uint (&message, (uint64_t) answer.age);
      binding_write (&message, &answer.binding);
    }
  (void) send_to (store, from, &message); /* the lookup is repeated */
  bytes_clear (&message);
}

static struct binding_lookup *
find_lookup (const struct binding_store *store, uint64_t number, const struct binding_key *key)
{
  struct binding_lookup *lookup = store->lookups;

  while (lookup != NULL && lookup->number != number)
    lookup = lookup->next;
  if (lookup == NULL || memcmp (&lookup->key, key, sizeof *key) != 0)
    return NULL;
  return lookup;
}

static void
handle_answer (struct binding_store *store, struct pack_reader *in, const char *from, int64_t now)
{
  uint64_t number = pack_read_uint (in, UINT64_MAX);
  struct binding_answer answer = { .outcome = BINDING_UNKNOWN };
  struct binding_lookup *lookup;
  struct binding_key key;

  binding_read_key (in, &key);
  answer.outcome = (enum binding_outcome) pack_read_uint (in, BINDING_OUTCOME_COUNT - 1);
  if (answer.outcome == BINDING_KNOWN)
    {
      answer.age = (int64_t) pack_read_uint (in, (uint64_t) INT64_MAX);
      binding_read (in, &answer.binding);
    }
  if (!pack_read_is_complete (in))
    return;
  lookup = find_lookup (store, number, &key);
  if (lookup == NULL)
    return;
  text_copy_truncated (answer.from, sizeof answer.from, from);
  if (answer.outcome == BINDING_UNKNOWN
      && (++lookup->n_unknown < lookup->n_sent || !lookup->sent_to_all))
    return;
  finish (lookup, &answer, now);
}

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct binding_store *store = (struct binding_store *) listener;
  struct pack_reader in;
  uint64_t kind;

  pack_reader_init (&in, data, length);
  kind = pack_read_uint (&in, UINT64_MAX);
  if (kind == BINDING_MESSAGE_PUT)
    handle_put (store, &in, now);
  else if (kind == BINDING_MESSAGE_LOOKUP)
    handle_lookup (store, &in, from, now);
  else if (kind == BINDING_MESSAGE_ANSWER)
    handle_answer (store, &in, from, now);
  if (!pack_read_is_complete (&in))
    log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "binding-message-not-read", "{s:s,s:I}", "from",
               from, "kind", (json_int_t) kind);
}

static const struct peer_listener_ops listener_ops = { .received = received };

/* ---- restoring ---- */

static void
restored (struct binding_log_listener *listener,
          const struct binding_log_entry *entry,
          int64_t age,
          int64_t now)
{
  struct binding_store *store = CONTAINER_OF (listener, struct binding_store, log_listener);

  binding_table_restore (store->table, &entry->key, &entry->binding, age, entry->lifetime, now);
}

static void
loaded (struct binding_log_listener *listener, int64_t now)
{
  struct binding_store *store = CONTAINER_OF (listener, struct binding_store, log_listener);

  (void) now;
  gauge_set (store->held, binding_table_count (store->table));
}

static const struct binding_log_listener_ops log_ops = { .restored = restored, .loaded = loaded };

/* ---- setup ---- */

static enum status
open_log (struct binding_store *store)
{
  struct binding_log_config config = *store->config.log;

  store->log_listener.ops = &log_ops;
  config.listener = &store->log_listener;
  config.timers = store->config.timers;
  config.counters = store->config.counters;
  store->log = binding_log_new (store, &config);
  return store->log == NULL ? STATUS_NO_MEMORY : STATUS_OK;
}

static void
init_counters (struct binding_store *store)
{
  struct counters *counters = store->config.counters;

  store->held =
      gauge_get (counters, "cherryarch_bindings", "Streams whose version this host keeps.", NULL);
  store->evicted = counter_get (counters, "cherryarch_bindings_evicted_total",
                                "Streams whose version made room for others early.", NULL);
  store->sent = counter_get (counters, "cherryarch_binding_messages_total",
                             "Messages to other hosts about versions of streams.", NULL);
  for (int i = 0; i < BINDING_OUTCOME_COUNT; i++)
    {
      char label[64];

      snprintf (label, sizeof label, "outcome=\"%s\"",
                binding_outcome_text ((enum binding_outcome) i));
      store->outcomes[i] = counter_get (counters, "cherryarch_binding_lookups_total",
                                        "Lookups at other hosts by their outcome.", label);
    }
}

static int
free_store (struct binding_store *store)
{
  while (store->lookups != NULL)
    binding_store_cancel (store->lookups);
  return 0;
}

struct binding_store *
binding_store_new (void *parent, const struct binding_store_config *config)
{
  struct binding_store *store = talloc_zero (parent, struct binding_store);

  if (store == NULL)
    return NULL;
  store->config = *config;
  store->table = binding_table_new (store);
  if (store->table == NULL || (config->log != NULL && open_log (store) != STATUS_OK))
    {
      talloc_free (store);
      return NULL;
    }
  store->listener.ops = &listener_ops;
  init_counters (store);
  config->port->ops->set_listener (config->port, PEER_CHANNEL_BINDING, &store->listener);
  talloc_set_destructor (store, free_store);
  return store;
}
