/* Builds the serving components of a host: membership, targets, routing decisions, the request path
 * and the list of entry hosts. */
#include "container.h"
#include "entries_api.h"
#include "host_private.h"
#include "share_control.h"
#include "text.h"
#include <string.h>
#include <talloc.h>
#include <time.h>

static void
describe_self (const struct host *host, struct board_host *out)
{
  const struct settings *settings = host->settings;

  *out = (struct board_host){
    .state = HOST_ALIVE,
    .self = true,
    .voter = settings->data_folder[0] != '\0',
    .incarnation = host->incarnation,
  };
  text_copy_truncated (out->name, sizeof out->name, settings->name);
  text_copy_truncated (out->domain, sizeof out->domain, settings->domain);
  text_copy_truncated (out->region, sizeof out->region, settings->region);
  text_copy_truncated (out->entry_address, sizeof out->entry_address,
                       host->addresses[HTTP_LISTENER_CALLERS]);
  text_copy_truncated (out->operator_address, sizeof out->operator_address,
                       host->addresses[HTTP_LISTENER_OPERATORS]);
  text_copy_truncated (out->target_address, sizeof out->target_address,
                       host->addresses[HTTP_LISTENER_TARGETS]);
  text_copy_truncated (out->peer_address, sizeof out->peer_address, host->peer_address);
  text_copy_truncated (out->public_key, sizeof out->public_key, host->keys.public_key);
}

/* Both the seeds and the voters are contacted at the start. */
static uint32_t
collect_seeds (const struct settings *settings, struct member_seed *out)
{
  const struct settings_peer *lists[] = { settings->seeds, settings->voters };
  const uint32_t counts[] = { settings->n_seeds, settings->n_voters };
  uint32_t n = 0;
  uint32_t list;
  uint32_t i;

  for (list = 0; list < 2; list++)
    {
      for (i = 0; i < counts[list]; i++)
        {
          const struct settings_peer *peer = &lists[list][i];

          if (strcmp (peer->name, settings->name) == 0)
            continue;
          text_copy_truncated (out[n].name, sizeof out[n].name, peer->name);
          text_copy_truncated (out[n].address, sizeof out[n].address, peer->address);
          text_copy_truncated (out[n].public_key, sizeof out[n].public_key, peer->public_key);
          n++;
        }
    }
  return n;
}

static enum status
build_members (struct host *host, int64_t now)
{
  struct member_seed seeds[SETTINGS_SEEDS_MAX + SETTINGS_VOTERS_MAX];
  struct member_control_config config = {
    .board = host->board,
    .counters = host->counters,
    .port = host->port,
    .timers = host->timers,
    .dump = &host->dump,
    .seeds = seeds,
    .n_seeds = collect_seeds (host->settings, seeds),
    .seed = host_random_seed (),
    .now = now,
  };

  describe_self (host, &config.self);
  host->members = member_control_new (host, &config);
  return host->members == NULL ? host_no_memory () : STATUS_OK;
}

static void
cache_event (struct directory_cache_sink *sink,
             struct handle target,
             const struct directory_cache_event *event,
             int64_t now)
{
  struct host *host = CONTAINER_OF (sink, struct host, cache_events);

  decide_cache_event (host->decide, target, event->block, event->stored, now);
}

static const struct directory_cache_sink_ops cache_event_ops = { .event = cache_event };

static enum status
build_targets (struct host *host, int64_t now)
{
  struct directory_control_config config = {
    .board = host->board,
    .counters = host->counters,
    .port = host->port,
    .timers = host->timers,
    .dump = &host->dump,
    .cache = &host->cache_events,
    .self = host->settings->name,
    .incarnation = host->incarnation,
    .seed = host_random_seed (),
    .now = now,
  };
  struct target_api_config api = {
    .board = host->board,
    .json_depth = host->settings->json_depth,
    .seed = host_random_seed (),
  };

  host->cache_events.ops = &cache_event_ops;
  host->directory = directory_control_new (host, &config);
  if (host->directory == NULL)
    return host_no_memory ();
  api.directory = directory_control_directory (host->directory);
  if (host->settings->n_seeds + host->settings->n_voters > 1)
    directory_ready_start (api.directory, now);
  host->targets = target_api_new (host, &api);
  if (host->targets == NULL)
    return host_no_memory ();
  return http_server_add_route (host->server, target_api_route (host->targets));
}

static int64_t
wall_clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static enum status
build_flow (struct host *host)
{
  struct flow_config config = {
    .board = host->board,
    .decide = host->decide,
    .client = host->client,
    .claims = claim_log_claims (host->claims),
    .timers = host->timers,
    .counters = host->counters,
    .dump = &host->dump,
    .access = host->access,
    .settings = host->settings,
    .self = host->settings->name,
    .seed = host_random_seed (),
    .wall_clock_ms = wall_clock_ms,
  };
  struct http_route *routes[FLOW_ROUTES];

  host->flow = flow_new (host, &config);
  if (host->flow == NULL)
    return host_no_memory ();
  flow_routes (host->flow, routes);
  return http_server_add_routes (host->server, routes, FLOW_ROUTES);
}

static enum status
build_entries (struct host *host)
{
  struct entries_config config = {
    .board = host->board,
    .counters = host->counters,
    .list_keep = host->settings->list_keep,
    .seed = host_random_seed (),
  };
  struct entries *entries = entries_new (host, &config);

  if (entries == NULL)
    return host_no_memory ();
  return http_server_add_route (host->server, entries_route (entries));
}

static enum status
build_shares (struct host *host, int64_t now)
{
  struct share_control_config config = {
    .board = host->board,
    .decide = host->decide,
    .timers = host->timers,
    .port = host->port,
    .now = now,
  };

  return share_control_new (host, &config) == NULL ? host_no_memory () : STATUS_OK;
}

enum status
host_build_serving (struct host *host, int64_t now)
{
  enum status status = build_members (host, now);

  if (status != STATUS_OK)
    return status;
  host->decide = decide_new (host, host->board, host->counters, host_random_seed ());
  if (host->decide == NULL)
    return host_no_memory ();
  status = build_shares (host, now);
  if (status == STATUS_OK)
    status = build_targets (host, now);
  if (status == STATUS_OK)
    status = build_flow (host);
  if (status == STATUS_OK)
    status = build_entries (host);
  return status;
}
