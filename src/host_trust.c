/* Public keys of peers from host resources. */
#include "host_trust.h"
#include "board.h"
#include "log.h"
#include "peer_zmq.h"
#include "table.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>

struct declared_host
{
  char name[RESOURCE_NAME_SIZE];
};

struct host_trust
{
  struct store_listener listener; /* first member */
  struct store *store;
  struct peer_port *port;
  const char *self;
  struct table *declared;
};

static bool
is_declared (const struct host_trust *trust, const char *name)
{
  const struct declared_host *host;
  uint32_t cursor = 0;

  while ((host = table_next (trust->declared, &cursor, NULL)) != NULL)
    if (strcmp (host->name, name) == 0)
      return true;
  return false;
}

static void
add_declared (struct host_trust *trust, const char *name)
{
  struct declared_host *host;
  struct handle handle;

  if (is_declared (trust, name))
    return;
  host = table_add (trust->declared, &handle);
  if (host != NULL)
    text_copy_truncated (host->name, sizeof host->name, name);
}

static void
trust_declared_key (struct host_trust *trust, const char *name, const char *spec)
{
  json_t *json = json_loads (spec, JSON_REJECT_DUPLICATES, NULL);
  const char *key = json_string_value (json_object_get (json, "publicKey"));

  if (key != NULL && strcmp (name, trust->self) != 0)
    {
      if (peer_zmq_set_trusted_key (trust->port, name, key) == STATUS_OK)
        add_declared (trust, name);
      else
        log_event (LOG_MODULE_PEER, LOG_LEVEL_WARNING, "key-not-taken", "{s:s,s:s}", "host", name,
                   "message", status_message ());
    }
  json_decref (json);
}

static void
revoke (struct host_trust *trust, const char *name)
{
  log_event (LOG_MODULE_PEER, LOG_LEVEL_INFO, "key-revoked", "{s:s}", "host", name);
  peer_zmq_set_trusted_key (trust->port, name, NULL);
}

static void
changed (struct store_listener *listener, const struct store_event *event)
{
  struct host_trust *trust = (struct host_trust *) listener;

  if (event->kind != RESOURCE_HOST)
    return;
  if (event->type != STORE_EVENT_DELETED)
    trust_declared_key (trust, event->name, event->spec);
  else if (is_declared (trust, event->name))
    revoke (trust, event->name);
}

/* Revoke the keys of declared hosts that are missing from the new snapshot: a host that was
 * partitioned while a host resource was deleted receives no event for the deletion. */
static void
replaced (struct store_listener *listener)
{
  struct host_trust *trust = (struct host_trust *) listener;
  const struct declared_host *host;
  const struct store_object *object;
  struct handle handle;
  uint32_t cursor = 0;
  const char *after = "";

  while ((host = table_next (trust->declared, &cursor, &handle)) != NULL)
    {
      if (store_find (trust->store, RESOURCE_HOST, host->name) != NULL)
        continue;
      revoke (trust, host->name);
      table_remove (trust->declared, handle);
    }
  while ((object = store_next (trust->store, RESOURCE_HOST, after)) != NULL)
    {
      trust_declared_key (trust, object->name, object->spec);
      after = object->name;
    }
}

static const struct store_listener_ops listener_ops = { .changed = changed, .replaced = replaced };

static int
free_trust (struct host_trust *trust)
{
  store_remove_listener (trust->store, &trust->listener);
  return 0;
}

struct host_trust *
host_trust_new (void *parent, struct store *store, struct peer_port *port, const char *self)
{
  struct host_trust *trust = talloc_zero (parent, struct host_trust);

  if (trust == NULL)
    return NULL;
  trust->listener.ops = &listener_ops;
  trust->store = store;
  trust->port = port;
  trust->self = self;
  trust->declared = table_new (trust, sizeof (struct declared_host), BOARD_HOSTS_MAX);
  if (trust->declared == NULL)
    {
      talloc_free (trust);
      return NULL;
    }
  store_add_listener (store, &trust->listener);
  talloc_set_destructor (trust, free_trust);
  return trust;
}
