/* An entry host: takes requests from clients and forwards them. */
#include "entry_host.h"
#include "binding_peers.h"
#include "cold_watch.h"
#include "container.h"
#include "forward.h"
#include "log.h"
#include "quarantine_entry.h"
#include "subscriber.h"
#include "target_reach.h"
#include <jansson.h>
#include <signal.h>
#include <stddef.h>
#include <string.h>
#include <talloc.h>

/* On a shutdown requests are accepted for this long, while clients remove this host from their
 * lists; then they are rejected as not run, for a retry at another host.  What remains of
 * shutdown_timeout must be enough for a stream to end. */
#define DRAIN_ACCEPT_TIME (2000 * USEC_PER_MSEC)

/* The process does not exit earlier, so that a client with a stale list gets a rejection instead of
 * a closed port. */
#define DRAIN_MIN (3000 * USEC_PER_MSEC)

/* Remaining requests are aborted this long before shutdown_timeout. */
#define DRAIN_ABORT_MARGIN (400 * USEC_PER_MSEC)

#define DRAIN_POLL_PERIOD (50 * USEC_PER_MSEC)

/* Timeout of a connection attempt to a target. */
#define TARGET_CONNECT_TIMEOUT (1000 * USEC_PER_MSEC)

/* Share of the host's memory that incomplete answers of targets may take; the rest is for requests,
 * connections and answers on their way to clients. */
#define HELD_MEMORY_SHARE 0.25

struct entry_host
{
  struct role_base base;
  struct subscriber_listener listener;
  struct target_reach_listener reach_listener;
  struct binding_peers_view binding_peers;
  struct binding_store *bindings;
  struct balance balance;
  struct batch *batch;
  struct work *work;
  struct engine_load *engines;
  struct engine_broadcast *news;
  struct limit_news *limit_news;
  struct target_notices *notices;
  struct cold_watch *cold_watch;
  struct quarantine_entry *quarantine;
  struct target_reach *reach;
  struct h1_client *client;
  struct subscriber *subscriber;
  struct rate_share rate_share;
  struct forward *forward;
  struct h1_limits client_limits;
  struct h1_server *clients;
  struct loop_signal signals;
  struct timer drain;
  int64_t leaving_since; /* 0: not leaving */
  struct dump_source dump;
};

/* ---- pools that are lost ---- */

static void
report_reach (struct entry_host *host)
{
  const struct routing *routing = subscriber_routing (host->subscriber);
  const char *names[TARGET_REACH_POOLS_MAX];
  struct sync_reach reach = { .n = target_reach_list_lost (host->reach, names) };

  for (uint32_t i = 0; i < reach.n; i++)
    {
      memcpy (reach.pools[i], names[i], sizeof reach.pools[i]);
      reach.requests_lost =
          reach.requests_lost || (routing != NULL && routing_forwards_to (routing, names[i]));
    }
  subscriber_set_reach (host->subscriber, &reach);
}

static void
reach_changed (struct target_reach_listener *listener, const char *pool, bool lost, int64_t now)
{
  struct entry_host *host = CONTAINER_OF (listener, struct entry_host, reach_listener);

  report_reach (host);
  if (lost && target_reach_is_cut_off (host->reach, pool, now))
    batch_end_lost_orders (host->batch, pool, now);
}

static const struct target_reach_listener_ops reach_ops = { .changed = reach_changed };

/* ---- routing and target updates ---- */

static void
routing_changed (struct subscriber_listener *listener, const struct routing *routing, int64_t now)
{
  struct entry_host *host = CONTAINER_OF (listener, struct entry_host, listener);

  host->client_limits = routing->limits;
  balance_set_cold_pools (&host->balance, routing, &host->base.settings.cold);
  cold_watch_pools_changed (host->cold_watch, now);
  batch_set_routing (host->batch, routing);
  for (uint32_t i = 0; i < routing->n_pools; i++)
    if (routing->pools[i].engine.present)
      engine_load_set_cache_tokens (host->engines, routing->pools[i].engine.cache_tokens);
  report_reach (host);
}

static void
target_changed (struct subscriber_listener *listener, struct registry_target *target, int64_t now)
{
  struct entry_host *host = CONTAINER_OF (listener, struct entry_host, listener);

  (void) now;
  balance_update (&host->balance, host, target);
  if (target->registration.state == REGISTRY_GONE || target->evacuated)
    h1_client_close_idle (host->client, target->registration.address);
}

static void
evacuated (struct subscriber_listener *listener, int64_t now)
{
  batch_end_evacuated_orders (CONTAINER_OF (listener, struct entry_host, listener)->batch, now);
}

static const struct subscriber_listener_ops listener_ops = {
  .routing = routing_changed,
  .target = target_changed,
  .evacuated = evacuated,
};

/* ---- shutdown ---- */

static void
stop (struct entry_host *host, bool drained)
{
  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "stopped", "{s:b,s:i}", "whole", drained, "in_flight",
             (int) forward_in_flight (host->forward));
  loop_stop (host->base.loop);
}

static void
drain_fired (struct timer *timer, int64_t now)
{
  struct entry_host *host = CONTAINER_OF (timer, struct entry_host, drain);
  int64_t since = now - host->leaving_since;

  if (since >= DRAIN_ACCEPT_TIME)
    forward_refuse_all (host->forward);
  if (since >= DRAIN_MIN && h1_server_pending (host->clients) == 0)
    {
      stop (host, true);
      return;
    }
  if (since >= host->base.settings.shutdown_timeout - DRAIN_ABORT_MARGIN)
    {
      stop (host, false);
      return;
    }
  timer_arm (host->base.timers, timer, now + DRAIN_POLL_PERIOD);
}

static const struct timer_ops drain_ops = { .fire = drain_fired };

static void
signal_raised (struct loop_signal *handler, int signo, int64_t now)
{
  struct entry_host *host = CONTAINER_OF (handler, struct entry_host, signals);

  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "signal", "{s:i}", "number", signo);
  if (signo == SIGHUP || host->leaving_since != 0)
    return;
  host->leaving_since = now;
  subscriber_leave (host->subscriber, now);
  h1_server_close_after_answers (host->clients);
  timer_arm (host->base.timers, &host->drain, now + DRAIN_POLL_PERIOD);
}

static const struct loop_signal_ops signal_ops = { .raised = signal_raised };

/* ---- dump ---- */

static json_t *
describe_lost_pools (const struct target_reach *reach)
{
  const char *lost[TARGET_REACH_POOLS_MAX];
  uint32_t n = target_reach_list_lost (reach, lost);
  json_t *names = json_array ();

  for (uint32_t i = 0; i < n; i++)
    json_array_append_new (names, json_string (lost[i]));
  return names;
}

static json_t *
describe (struct dump_source *source, int64_t now)
{
  struct entry_host *host = CONTAINER_OF (source, struct entry_host, dump);
  const struct routing *routing = subscriber_routing (host->subscriber);

  return json_pack ("{s:s,s:b,s:I,s:i,s:o,s:o,s:o}", "name", host->base.settings.name, "ready",
                    subscriber_is_ready (host->subscriber), "version",
                    (json_int_t) (routing == NULL ? 0 : routing->version), "in_flight",
                    (int) forward_in_flight (host->forward), "lost_pools",
                    describe_lost_pools (host->reach), "evacuations",
                    evacuation_view_describe (subscriber_evacuations (host->subscriber), now),
                    "targets", balance_describe_targets (&host->balance, now));
}

static const struct dump_source_ops dump_ops = { .describe = describe };

/* ---- construction ---- */

static enum status
build_work (struct entry_host *host)
{
  struct work_config work = {
    .name = host->base.settings.peer_address,
    .subscriber = host->subscriber,
    .batch = host->batch,
    .balance = &host->balance,
    .reach = host->reach,
    .port = host->base.port,
    .timers = host->base.timers,
    .counters = host->base.counters,
    .first_number = host->base.incarnation >> 8,
  };
  struct engine_broadcast_config news = {
    .load = host->engines,
    .balance = &host->balance,
    .subscriber = host->subscriber,
    .port = host->base.port,
    .timers = host->base.timers,
    .counters = host->base.counters,
  };
  struct quarantine_entry_config quarantine = {
    .loop = host->base.loop,
    .balance = &host->balance,
    .subscriber = host->subscriber,
    .port = host->base.port,
    .counters = host->base.counters,
  };
  struct limit_news_config limit_news = {
    .balance = &host->balance,
    .subscriber = host->subscriber,
    .port = host->base.port,
    .timers = host->base.timers,
    .counters = host->base.counters,
  };

  struct target_notices_config notices = {
    .balance = &host->balance,
    .subscriber = host->subscriber,
    .port = host->base.port,
    .counters = host->base.counters,
  };
  struct cold_watch_config cold_watch = {
    .balance = &host->balance,
    .timers = host->base.timers,
    .counters = host->base.counters,
  };

  host->balance.registry = subscriber_registry (host->subscriber);
  host->rate_share.subscriber = host->subscriber;
  host->rate_share.name = host->base.settings.peer_address;
  host->balance.rate_share = &host->rate_share;
  host->work = work_new (host, &work);
  host->news = engine_broadcast_new (host, &news);
  host->limit_news = limit_news_new (host, &limit_news);
  notices.limit_news = host->limit_news;
  host->notices = target_notices_new (host, &notices);
  host->cold_watch = cold_watch_new (host, &cold_watch);
  host->quarantine = quarantine_entry_new (host, &quarantine);
  if (host->work == NULL || host->news == NULL || host->limit_news == NULL || host->notices == NULL
      || host->cold_watch == NULL || host->quarantine == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  host->base.quarantine = quarantine_entry_control (host->quarantine);
  batch_set_watch (host->batch,
                   quarantine_evidence_watch (quarantine_entry_evidence (host->quarantine)));
  batch_set_notices (host->batch, host->notices);
  batch_set_reach (host->batch, host->reach);
  return STATUS_OK;
}

static enum status
build_batch (struct entry_host *host, struct dialect *dialect)
{
  struct batch_config config = {
    .loop = host->base.loop,
    .balance = &host->balance,
    .client = host->client,
    .dialect = dialect,
    .counters = host->base.counters,
  };

  host->batch = batch_new (host, &config);
  return host->batch == NULL ? status_fail (STATUS_NO_MEMORY, "out of memory") : STATUS_OK;
}

static void
describe_self (const struct role_base *base, struct sync_host *out)
{
  *out = (struct sync_host){ .incarnation = base->incarnation };
  memcpy (out->name, base->settings.peer_address, sizeof out->name);
  memcpy (out->address, base->settings.client_address, sizeof out->address);
  memcpy (out->domain, base->settings.domain, sizeof out->domain);
  memcpy (out->region, base->settings.region, sizeof out->region);
}

static enum status
build_subscriber (struct entry_host *host, struct routing_codec *codec)
{
  const struct role_settings *settings = &host->base.settings;
  const char *seeds[ROLE_SEEDS_MAX];
  struct subscriber_config config = {
    .seeds = seeds,
    .n_seeds = settings->n_seeds,
    .port = host->base.port,
    .timers = host->base.timers,
    .counters = host->base.counters,
    .codec = codec,
    .listener = &host->listener,
    .target_lease = settings->target_lease,
    .ready_for = settings->ready_for,
    .outdated_after = settings->outdated_after,
    .boottime = loop_boottime,
  };

  for (uint32_t i = 0; i < settings->n_seeds; i++)
    seeds[i] = settings->seeds[i];
  describe_self (&host->base, &config.self);
  host->listener.ops = &listener_ops;
  host->subscriber = subscriber_new (host, &config);
  return host->subscriber == NULL ? status_fail (STATUS_NO_MEMORY, "out of memory") : STATUS_OK;
}

static enum status
build_bindings (struct entry_host *host)
{
  struct binding_store_config config = {
    .peers = &host->binding_peers.peers,
    .port = host->base.port,
    .timers = host->base.timers,
    .counters = host->base.counters,
  };

  binding_peers_init (&host->binding_peers, host->subscriber, host->base.settings.peer_address);
  host->bindings = binding_store_new (host, &config);
  return host->bindings == NULL ? status_fail (STATUS_NO_MEMORY, "out of memory") : STATUS_OK;
}

static enum status
build_forward (struct entry_host *host, struct dialect *dialect)
{
  const struct role_settings *settings = &host->base.settings;
  struct forward_config config = {
    .loop = host->base.loop,
    .subscriber = host->subscriber,
    .balance = &host->balance,
    .client = host->client,
    .dialect = dialect,
    .work = host->work,
    .news = host->news,
    .notices = host->notices,
    .quarantine = host->quarantine,
    .counters = host->base.counters,
    .seed = host->base.seed + 1,
    .confirmed_for = settings->confirmed_for,
    .retries = settings->retries,
    .rate_share = &host->rate_share,
    .reach = host->reach,
    .bindings = host->bindings,
  };
  struct h1_server_config server = {
    .loop = host->base.loop,
    .listen = settings->client_address,
    .limits = &host->client_limits,
    .quota = host->base.quota,
    .body_copies = 1, /* the message to a target */
    .counters = host->base.counters,
    .label = "clients",
  };

  host->forward = forward_new (host, &config);
  if (host->forward == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  server.handler = forward_handler (host->forward);
  host->clients = h1_server_new (host, &server);
  return host->clients == NULL ? STATUS_IO : STATUS_OK;
}

static enum status
build_client (struct entry_host *host)
{
  struct target_reach_config reach = {
    .loop = host->base.loop,
    .balance = &host->balance,
    .counters = host->base.counters,
    .listener = &host->reach_listener,
  };
  struct h1_client_config client = {
    .loop = host->base.loop,
    .counters = host->base.counters,
    .connect_timeout = TARGET_CONNECT_TIMEOUT,
    .quota = host->base.quota,
    .held_max = (uint64_t) (HELD_MEMORY_SHARE * (double) host->base.settings.memory_bytes),
  };

  host->reach_listener.ops = &reach_ops;
  host->reach = target_reach_new (host, &reach);
  if (host->reach == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  client.paths = target_reach_path_listener (host->reach);
  host->client = h1_client_new (host, &client);
  return host->client == NULL ? status_fail (STATUS_NO_MEMORY, "out of memory") : STATUS_OK;
}

static enum status
build (struct entry_host *host, const struct entry_host_config *config)
{
  const int signals[] = { SIGTERM, SIGINT, SIGHUP };
  enum status status = role_base_build (&host->base, config->settings);

  if (status != STATUS_OK)
    return status;
  host->client_limits = host->base.limits;
  host->client_limits.idle_timeout = H1_DEFAULT_IDLE_TIMEOUT;
  host->engines = engine_load_new (host);
  if (host->engines == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  balance_init (&host->balance, host->base.settings.domain, host->engines, host->base.seed);
  host->balance.backoff_max = host->base.settings.backoff_max;
  status = build_client (host);
  if (status == STATUS_OK)
    status = build_batch (host, config->dialect);
  if (status == STATUS_OK)
    status = build_subscriber (host, config->codec);
  if (status == STATUS_OK)
    status = build_work (host);
  if (status == STATUS_OK)
    status = build_bindings (host);
  if (status == STATUS_OK)
    status = build_forward (host, config->dialect);
  if (status == STATUS_OK)
    status = role_base_listen (&host->base, host->base.settings.ready_address, config->ready,
                               "ready", NULL);
  if (status != STATUS_OK)
    return status;
  host->drain.ops = &drain_ops;
  host->signals.ops = &signal_ops;
  host->dump.ops = &dump_ops;
  host->dump.name = "entry_host";
  dump_add (&host->base.dump, &host->dump);
  return loop_on_signal (host->base.loop, &host->signals, signals, 3);
}

struct entry_host *
entry_host_new (const struct entry_host_config *config)
{
  struct entry_host *host = talloc_zero (NULL, struct entry_host);
  enum status status;

  if (host == NULL)
    return NULL;
  status = build (host, config);
  if (status == STATUS_OK)
    return host;
  role_log_start_failed (status);
  talloc_free (host);
  return NULL;
}

bool
entry_host_is_ready (const struct entry_host *host)
{
  return subscriber_is_ready (host->subscriber);
}

void
entry_host_reload (struct entry_host *host, const struct role_settings *settings)
{
  host->base.settings.n_seeds = settings->n_seeds;
  memcpy (host->base.settings.seeds, settings->seeds, sizeof settings->seeds);
  subscriber_set_seeds (host->subscriber, settings->seeds, settings->n_seeds);
}

struct role_base *
entry_host_base (struct entry_host *host)
{
  return &host->base;
}

int
entry_host_run (struct entry_host *host)
{
  const struct role_settings *settings = &host->base.settings;

  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "started", "{s:s,s:s,s:s,s:s,s:s,s:i}", "name",
             settings->name, "version", CHERRYARCH_VERSION, "domain", settings->domain, "clients",
             settings->client_address, "peer", settings->peer_address, "seeds",
             (int) settings->n_seeds);
  loop_run (host->base.loop);
  talloc_free (host);
  return 0;
}
