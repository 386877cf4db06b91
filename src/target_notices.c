/* Applies what targets say of themselves in their answers, and tells other entry hosts of targets
 * that leave. */
#include "target_notices.h"
#include "log.h"
#include "pack.h"
#include <jansson.h>
#include <talloc.h>

/* Wire format: the hash of the target's identity, and its start in Unix milliseconds, 0 if not
 * known. */

struct target_notices
{
  struct peer_listener listener; /* must be first: the port passes it to callbacks */
  struct target_notices_config config;
  struct counter *backoffs;
  struct counter *leaves;
};

/* ---- targets that leave ---- */

/* `from`: the host that told of it, or "answer". */
static bool
hear_leaving (struct target_notices *notices,
              struct registry_target *record,
              const char *from,
              int64_t now)
{
  if (!subscriber_hear_leaving (notices->config.subscriber, record, now))
    return false;
  counter_add (notices->leaves, 1);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "target-leaves", "{s:s,s:s,s:s,s:s}", "target",
             record->registration.id, "pool", record->registration.pool, "address",
             record->registration.address, "from", from);
  return true;
}

static void
tell_others (const struct target_notices *notices, const struct registry_target *record)
{
  struct peer_port *port = notices->config.port;
  const struct host_view *view = subscriber_hosts (notices->config.subscriber);
  struct bytes message;

  bytes_init (&message, NULL);
  pack_uint (&message, record->id_hash);
  pack_uint (&message, record->registration.started_unix_ms);
  for (uint32_t i = 0; i < view->n && !bytes_has_failed (&message); i++)
    if (!subscriber_is_self (notices->config.subscriber, view->hosts[i]))
      port->ops->send (port, view->hosts[i]->name, PEER_CHANNEL_TARGET_LEAVE, message.data,
                       message.length);
  bytes_clear (&message);
}

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct target_notices *notices = (struct target_notices *) listener;
  struct registry_target *record;
  struct pack_reader in;
  uint64_t id_hash;
  uint64_t started;

  pack_reader_init (&in, data, length);
  id_hash = pack_read_uint (&in, UINT64_MAX);
  started = pack_read_uint (&in, UINT64_MAX);
  if (!pack_read_is_complete (&in))
    {
      log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "target-leave-not-read", "{s:s}", "from",
                 from);
      return;
    }
  record = registry_find_by_hash (subscriber_registry (notices->config.subscriber), id_hash);
  if (record != NULL && record->registration.started_unix_ms == started)
    hear_leaving (notices, record, from, now);
}

static const struct peer_listener_ops listener_ops = { .received = received };

/* ---- answers ---- */

void
target_notices_take (struct target_notices *notices,
                     struct balance_target *target,
                     unsigned status,
                     const struct response_fields *fields,
                     int64_t sent_at,
                     int64_t now)
{
  struct balance *balance = notices->config.balance;

  if (status == HTTP_STATUS_MISDIRECTED_REQUEST)
    return;
  if (fields->cold_left != DIALECT_NO_COLD)
    balance_heard_cold (balance, target, fields->cold_left, sent_at, now);
  if (fields->backoff != DIALECT_NO_BACKOFF)
    {
      balance_heard_backoff (balance, target, fields->backoff, now);
      counter_add (notices->backoffs, 1);
    }
  limit_news_heard (notices->config.limit_news, target, fields->limit, now);
  if (fields->leaving && hear_leaving (notices, target->record, "answer", now))
    tell_others (notices, target->record);
}

struct target_notices *
target_notices_new (void *parent, const struct target_notices_config *config)
{
  struct target_notices *notices = talloc_zero (parent, struct target_notices);

  if (notices == NULL)
    return NULL;
  notices->config = *config;
  notices->listener.ops = &listener_ops;
  notices->backoffs = counter_get (config->counters, "cherryarch_target_backoffs_total",
                                   "Answers in which targets asked for a backoff.", NULL);
  notices->leaves = counter_get (config->counters, "cherryarch_target_leaves_heard_total",
                                 "Targets that said in an answer that they leave.", NULL);
  config->port->ops->set_listener (config->port, PEER_CHANNEL_TARGET_LEAVE, &notices->listener);
  return notices;
}
