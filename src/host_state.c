/* Builds a host's shared state: the replicated log, resources, claims and the operators' API. */
#include "claim_machine.h"
#include "consensus_local.h"
#include "consensus_remote.h"
#include "consensus_voter.h"
#include "host_private.h"
#include "host_trust.h"
#include "order.h"
#include "store_group.h"
#include <string.h>
#include <talloc.h>

/* Resources and claims share one log.  XXX: move claims to shards of their own before their rate
 * reaches the commit rate of one log; see docs/CAPACITY.md. */
static struct machine *
build_machine (struct host *host)
{
  struct store_config store_config = { 0 };
  struct claim_machine_config claim_config = { 0 };
  struct store_group *group = store_group_new (host);
  struct claim_machine *claims = claim_machine_new (host, &claim_config);

  host->store = store_new (host, &store_config);
  if (group == NULL || claims == NULL || host->store == NULL)
    return NULL;
  store_group_add (group, STORE_PART_RESOURCES, store_machine (host->store));
  store_group_add (group, STORE_PART_CLAIMS, claim_machine_machine (claims));
  return store_group_machine (group);
}

static uint32_t
collect_voter_names (const struct settings *settings, const char *out[SETTINGS_VOTERS_MAX])
{
  uint32_t i;

  for (i = 0; i < settings->n_voters; i++)
    out[i] = settings->voters[i].name;
  if (settings->n_voters == 0)
    out[0] = settings->name;
  return settings->n_voters == 0 ? 1 : settings->n_voters;
}

static struct consensus *
build_voter (struct host *host, struct machine *machine, int64_t now)
{
  const char *names[SETTINGS_VOTERS_MAX];
  enum status status = STATUS_OK;
  struct consensus_voter_config config = {
    .name = host->settings->name,
    .disk = disk_posix_new (host, host->settings->data_folder, &status),
    .worker = disk_thread_new (host, host->loop),
    .voters = names,
    .n_voters = collect_voter_names (host->settings, names),
    .timers = host->timers,
    .machine = machine,
    .counters = host->counters,
    .seed = host_random_seed (),
  };

  if (config.disk == NULL || config.worker == NULL)
    return NULL;
  if (host->settings->n_voters > 0)
    config.port = host->port;
  return consensus_voter_new (host, &config, &status, now);
}

static struct consensus *
build_remote (struct host *host)
{
  const char *names[SETTINGS_VOTERS_MAX];
  struct consensus_remote_config config = {
    .voters = names,
    .n_voters = collect_voter_names (host->settings, names),
    .port = host->port,
    .timers = host->timers,
    .seed = host_random_seed (),
  };

  return consensus_remote_new (host, &config);
}

/* A host with a data folder is a voter.  Without one it uses the voters in the settings; if there
 * are none it is a group of one, in memory. */
static enum status
build_consensus (struct host *host, int64_t now)
{
  struct machine *machine = build_machine (host);
  struct consensus_local_config local = {
    .timers = host->timers,
    .machine = machine,
    .name = host->settings->name,
  };

  if (machine == NULL)
    return host_no_memory ();
  host->voter = true;
  if (host->settings->data_folder[0] != '\0')
    host->consensus = build_voter (host, machine, now);
  else if (host->settings->n_voters > 0)
    {
      host->voter = false;
      host->consensus = build_remote (host);
    }
  else
    host->consensus = consensus_local_new (host, &local);
  return host->consensus == NULL ? STATUS_IO : STATUS_OK;
}

static enum status
build_config (struct host *host, int64_t now)
{
  struct config_config config = {
    .store = host->store,
    .board = host->board,
    .access = host->access,
    .consensus = host->voter ? host->consensus : NULL,
    .timers = host->timers,
    .counters = host->counters,
    .dump = &host->dump,
  };
  struct config_wait_config wait = {
    .board = host->board,
    .timers = host->timers,
  };

  host->config = config_new (host, &config, now);
  host->link = config_link_new (host, host->port);
  wait.link = host->link;
  host->wait = config_wait_new (host, &wait);
  return host->config == NULL || host->link == NULL || host->wait == NULL ? host_no_memory ()
                                                                          : STATUS_OK;
}

static enum status
build_config_feed (struct host *host)
{
  struct config_feed_config config = {
    .link = host->link,
    .store = host->store,
    .consensus = host->consensus,
    .timers = host->timers,
    .counters = host->counters,
    .dump = &host->dump,
  };

  return config_feed_new (host, &config) == NULL ? host_no_memory () : STATUS_OK;
}

static enum status
build_config_follow (struct host *host, int64_t now)
{
  struct config_follow_config config = {
    .link = host->link,
    .config = host->config,
    .store = host->store,
    .board = host->board,
    .timers = host->timers,
    .counters = host->counters,
    .dump = &host->dump,
    .host = host->settings->name,
  };
  struct config_follow *follow = config_follow_new (host, &config, now);

  if (follow == NULL)
    return host_no_memory ();
  config_follow_set_voters (follow, host->settings->voters, host->settings->n_voters);
  return STATUS_OK;
}

static enum status
build_claims (struct host *host, int64_t now)
{
  struct claim_log_config config = {
    .groups = { host->consensus },
    .n_groups = 1,
    .board = host->board,
    .timers = host->timers,
    .counters = host->counters,
    .dump = &host->dump,
    .host = host->settings->name,
    .incarnation = host->incarnation,
    .wall_offset_ms = host->wall_offset_ms,
    .retention = host->settings->claim_retention,
    .answer_bytes = host->settings->claim_answer_bytes,
  };

  host->claims = claim_log_new (host, &config, now);
  return host->claims == NULL ? host_no_memory () : STATUS_OK;
}

static enum status
build_operators (struct host *host)
{
  struct operator_api_config config = {
    .store = host->store,
    .board = host->board,
    .access = host->access,
    .consensus = host->consensus,
    .wait = host->wait,
    .timers = host->timers,
    .counters = host->counters,
    .dump = &host->dump,
    .host = host->settings->name,
    .wall_offset_ms = host->wall_offset_ms,
  };
  struct http_route **routes;
  uint32_t n_routes;

  host->operators = operator_api_new (host, &config);
  if (host->operators == NULL)
    return host_no_memory ();
  n_routes = operator_api_routes (host->operators, &routes);
  return http_server_add_routes (host->server, routes, n_routes);
}

/* Only a voter can be the leader, and only the leader issues orders. */
static enum status
build_orders (struct host *host, int64_t now)
{
  struct order_config config = {
    .store = host->store,
    .board = host->board,
    .consensus = host->consensus,
    .client = host->client,
    .timers = host->timers,
    .counters = host->counters,
    .dump = &host->dump,
    .host = host->settings->name,
    .wall_offset_ms = host->wall_offset_ms,
  };

  if (!host->voter)
    return STATUS_OK;
  return order_new (host, &config, now) == NULL ? host_no_memory () : STATUS_OK;
}

static enum status
build_trust (struct host *host)
{
  if (host->keys.secret_key[0] == '\0')
    return STATUS_OK;
  if (host_trust_new (host, host->store, host->port, host->settings->name) == NULL)
    return host_no_memory ();
  return STATUS_OK;
}

enum status
host_build_state (struct host *host, int64_t now)
{
  enum status status;

  host->board = board_new (host);
  if (host->board == NULL)
    return host_no_memory ();
  host->access = access_new (host, host->board, host->settings);
  if (host->access == NULL)
    return host_no_memory ();
  status = build_consensus (host, now);
  if (status == STATUS_OK)
    status = build_config (host, now);
  if (status == STATUS_OK)
    status = host->voter ? build_config_feed (host) : build_config_follow (host, now);
  if (status == STATUS_OK)
    status = build_claims (host, now);
  if (status == STATUS_OK)
    status = build_trust (host);
  if (status == STATUS_OK)
    status = build_orders (host, now);
  if (status == STATUS_OK)
    status = build_operators (host);
  return status;
}

void
host_transfer_leadership (struct host *host, int64_t now)
{
  enum status status;

  if (host->settings->data_folder[0] == '\0')
    return;
  status = consensus_voter_transfer (host->consensus, now);
  if (status != STATUS_OK && status != STATUS_AGAIN)
    log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_DEBUG, "no-transfer", "{s:s}", "message",
               status_message ());
}
