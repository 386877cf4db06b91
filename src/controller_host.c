/* A controller's process: log, document and registrations. */
#include "controller_host.h"
#include "binding_log.h"
#include "binding_store.h"
#include "consensus_voter.h"
#include "container.h"
#include "log.h"
#include "quarantine_control.h"
#include <jansson.h>
#include <signal.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

/* Raft timing.  The election timeout must cover the leader's sync to a slow disk and a process that
 * gets a seventh of a core: a heartbeat every 80 ms allows for four lost or late ones.  After a
 * power loss of all hosts the election delays service by about half a second. */
#define HEARTBEAT (80 * USEC_PER_MSEC)
#define ELECTION_MIN (350 * USEC_PER_MSEC)
#define ELECTION_MAX (700 * USEC_PER_MSEC)

/* A voter silent for this long is replaced by a waiting learner.  A reboot takes about as long; it
 * causes no replacement where no learner waits. */
#define REPLACE_AFTER (1500 * USEC_PER_MSEC)
#define REPAIR_PERIOD (100 * USEC_PER_MSEC)
#define HELLO_PERIOD (300 * USEC_PER_MSEC)
#define HELLO_SILENCE (1500 * USEC_PER_MSEC)

/* The disk is small: a twentieth of the sizes used elsewhere in the product. */
#define RESERVE_BYTES (4u << 20)
#define SEGMENT_BYTES (1u << 20)
#define SNAPSHOT_ENTRIES 256

/* Limits of the time that a shutdown waits for the transfer of leadership and for pending
 * responses. */
#define DRAIN_MAX (1500 * USEC_PER_MSEC)
#define DRAIN_MIN (400 * USEC_PER_MSEC)
#define DRAIN_POLL_PERIOD (50 * USEC_PER_MSEC)

/* Bindings of streams are removed from a disk with less free space, before proposals are refused.
 */
#define BINDINGS_FREE_BYTES_MIN (2 * RESERVE_BYTES)

struct controller_host
{
  struct role_base base;
  struct disk *disk;
  struct document_listener listener;
  struct document *document;
  struct consensus *consensus;
  struct controller *controller;
  struct quarantine_peers peers;
  struct h1_server *control;
  struct h1_server *entries;
  struct loop_signal signals;
  struct timer drain;
  int64_t leaving_since;
  struct dump_source dump;
};

static void
document_changed (struct document_listener *listener, const struct document *document)
{
  struct controller_host *host = CONTAINER_OF (listener, struct controller_host, listener);

  (void) document;
  /* A restart replays the log before the controller is created. */
  if (host->controller != NULL)
    controller_document_changed (host->controller, loop_now (host->base.loop));
}

static void
document_evacuated (struct document_listener *listener, const struct document *document)
{
  struct controller_host *host = CONTAINER_OF (listener, struct controller_host, listener);

  (void) document;
  if (host->controller != NULL)
    controller_evacuations_changed (host->controller, loop_now (host->base.loop));
}

static const struct document_listener_ops listener_ops = {
  .changed = document_changed,
  .evacuated = document_evacuated,
};

static uint32_t
members (void *context, struct controller_member out[SYNC_CONTROLLERS_MAX])
{
  struct controller_host *host = context;
  const struct raft_members *set = raft_get_members (consensus_voter_raft (host->consensus));
  uint32_t n = 0;

  for (uint32_t i = 0; i < set->n && n < SYNC_CONTROLLERS_MAX; i++)
    out[n++] = (struct controller_member){
      .name = set->members[i].name,
      .voter = set->members[i].voter,
    };
  return n;
}

static uint32_t
list_hosts (struct quarantine_peers *peers, const char *out[SYNC_HOSTS_MAX], int64_t now)
{
  struct controller_host *host = CONTAINER_OF (peers, struct controller_host, peers);

  return controller_list_live_hosts (host->controller, out, now);
}

static const struct quarantine_peers_ops peers_ops = { .list = list_hosts };

/* ---- shutdown ---- */

static void
drain_fired (struct timer *timer, int64_t now)
{
  struct controller_host *host = CONTAINER_OF (timer, struct controller_host, drain);
  int64_t since = now - host->leaving_since;
  bool leads = host->consensus->ops->is_leader (host->consensus);
  bool idle = h1_server_pending (host->control) == 0 && h1_server_pending (host->entries) == 0;

  if ((since >= DRAIN_MIN && !leads && idle) || since >= DRAIN_MAX)
    {
      log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "stopped", "{s:b,s:b}", "leads", leads, "idle",
                 idle);
      loop_stop (host->base.loop);
      return;
    }
  if (leads)
    (void) consensus_voter_transfer (host->consensus, now);
  timer_arm (host->base.timers, timer, now + DRAIN_POLL_PERIOD);
}

static const struct timer_ops drain_ops = { .fire = drain_fired };

static void
signal_raised (struct loop_signal *handler, int signo, int64_t now)
{
  struct controller_host *host = CONTAINER_OF (handler, struct controller_host, signals);

  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "signal", "{s:i}", "number", signo);
  if (signo == SIGHUP || host->leaving_since != 0)
    return;
  host->leaving_since = now;
  h1_server_close_after_answers (host->control);
  h1_server_close_after_answers (host->entries);
  timer_arm (host->base.timers, &host->drain, now);
}

static const struct loop_signal_ops signal_ops = { .raised = signal_raised };

static json_t *
describe (struct dump_source *source, int64_t now)
{
  struct controller_host *host = CONTAINER_OF (source, struct controller_host, dump);

  return json_pack ("{s:s,s:I,s:o,s:o}", "name", host->base.settings.name, "version",
                    (json_int_t) document_version (host->document), "evacuations",
                    evacuation_view_describe (controller_evacuations (host->controller), now),
                    "consensus", host->consensus->ops->describe (host->consensus));
}

static const struct dump_source_ops dump_ops = { .describe = describe };

/* ---- construction ---- */

static enum status
build_consensus (struct controller_host *host)
{
  const struct role_settings *settings = &host->base.settings;
  const char *voters[ROLE_SEEDS_MAX];
  enum status status = STATUS_OK;
  struct consensus_voter_config config = {
    .name = settings->peer_address,
    .disk = host->disk = disk_posix_new (host, settings->data_folder, &status),
    .worker = disk_thread_new (host, host->base.loop),
    .voters = voters,
    .n_voters = settings->n_seeds,
    .wanted_voters = 2 * settings->tolerated_failures + 1,
    .join_only = !settings->may_bootstrap,
    .port = host->base.port,
    .timers = host->base.timers,
    .machine = document_machine (host->document),
    .counters = host->base.counters,
    .seed = host->base.seed,
    .timing = { .heartbeat = HEARTBEAT,
                .election_min = ELECTION_MIN,
                .election_max = ELECTION_MAX,
                .replace_after = REPLACE_AFTER,
                .repair_period = REPAIR_PERIOD,
                .hello_period = HELLO_PERIOD,
                .hello_after = HELLO_SILENCE },
    /* A leader lease relies on a clock that stops while the host is suspended. */
    .no_lease = true,
    .snapshot_entries = SNAPSHOT_ENTRIES,
    .segment_bytes = SEGMENT_BYTES,
    .reserve_bytes = RESERVE_BYTES,
  };

  if (config.disk == NULL)
    return status;
  if (config.worker == NULL)
    return STATUS_IO;
  for (uint32_t i = 0; i < settings->n_seeds; i++)
    voters[i] = settings->seeds[i];
  host->consensus = consensus_voter_new (host, &config, &status, loop_now (host->base.loop));
  return status;
}

static enum status
build_controller (struct controller_host *host)
{
  struct controller_config config = {
    .name = host->base.settings.peer_address,
    .consensus = host->consensus,
    .document = host->document,
    .port = host->base.port,
    .timers = host->base.timers,
    .counters = host->base.counters,
    .incarnation = host->base.incarnation,
    .now = loop_now (host->base.loop),
    .members = members,
    .members_context = host,
  };

  host->controller = controller_new (host, &config);
  return host->controller == NULL ? status_fail (STATUS_NO_MEMORY, "out of memory") : STATUS_OK;
}

static enum status
build_evacuations (struct controller_host *host)
{
  const struct role_settings *settings = &host->base.settings;
  struct evacuation_control_config config = {
    .consensus = host->consensus,
    .document = host->document,
    .controller = host->controller,
    .domains = settings->domains,
    .n_domains = settings->n_domains,
    .now = loop_now (host->base.loop),
  };

  host->base.evacuations = evacuation_control_new (host, &config);
  return host->base.evacuations == NULL ? status_fail (STATUS_NO_MEMORY, "out of memory")
                                        : STATUS_OK;
}

static enum status
build_quarantine (struct controller_host *host)
{
  struct quarantine_control_config config = {
    .peers = &host->peers,
    .port = host->base.port,
    .timers = host->base.timers,
    .counters = host->base.counters,
  };

  host->peers.ops = &peers_ops;
  host->base.quarantine = quarantine_control_new (host, &config);
  return host->base.quarantine == NULL ? status_fail (STATUS_NO_MEMORY, "out of memory")
                                       : STATUS_OK;
}

static int64_t
wall_clock (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return now.tv_sec * USEC_PER_SEC + now.tv_nsec / 1000;
}

/* Entry hosts that all end at once find the bindings of their streams here.  Their writes have a
 * worker of their own, so that the log of the configuration does not wait for them. */
static enum status
build_bindings (struct controller_host *host)
{
  const struct binding_log_config log = {
    .disk = host->disk,
    .worker = disk_thread_new (host, host->base.loop),
    .free_bytes_min = BINDINGS_FREE_BYTES_MIN,
    .wall_clock = wall_clock,
  };
  const struct binding_store_config config = {
    .port = host->base.port,
    .timers = host->base.timers,
    .counters = host->base.counters,
    .log = &log,
  };

  if (log.worker == NULL)
    return STATUS_IO;
  return binding_store_new (host, &config) == NULL ? status_fail (STATUS_NO_MEMORY, "out of memory")
                                                   : STATUS_OK;
}

static enum status
build (struct controller_host *host, const struct controller_host_config *config)
{
  const int signals[] = { SIGTERM, SIGINT, SIGHUP };
  enum status status = role_base_build (&host->base, config->settings);

  if (status != STATUS_OK)
    return status;
  host->listener.ops = &listener_ops;
  host->document = document_new (host, &host->listener);
  if (host->document == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  status = build_consensus (host);
  if (status == STATUS_OK)
    status = build_controller (host);
  if (status == STATUS_OK)
    status = build_evacuations (host);
  if (status == STATUS_OK)
    status = build_quarantine (host);
  if (status == STATUS_OK)
    status = build_bindings (host);
  if (status == STATUS_OK)
    status = role_base_listen (&host->base, host->base.settings.control_address, config->control,
                               "control", &host->control);
  if (status == STATUS_OK)
    status = role_base_listen (&host->base, host->base.settings.entries_address, config->entries,
                               "entries", &host->entries);
  if (status != STATUS_OK)
    return status;
  host->drain.ops = &drain_ops;
  host->signals.ops = &signal_ops;
  host->dump.ops = &dump_ops;
  host->dump.name = "controller";
  dump_add (&host->base.dump, &host->dump);
  return loop_on_signal (host->base.loop, &host->signals, signals, 3);
}

struct controller_host *
controller_host_new (const struct controller_host_config *config)
{
  struct controller_host *host = talloc_zero (NULL, struct controller_host);
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

struct role_base *
controller_host_base (struct controller_host *host)
{
  return &host->base;
}

struct controller *
controller_host_controller (struct controller_host *host)
{
  return host->controller;
}

struct consensus *
controller_host_consensus (struct controller_host *host)
{
  return host->consensus;
}

struct evacuation_control *
controller_host_evacuations (struct controller_host *host)
{
  return host->base.evacuations;
}

struct document *
controller_host_document (struct controller_host *host)
{
  return host->document;
}

int
controller_host_run (struct controller_host *host)
{
  const struct role_settings *settings = &host->base.settings;

  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "started", "{s:s,s:s,s:s,s:s,s:s,s:i,s:b,s:I}",
             "name", settings->name, "version", CHERRYARCH_VERSION, "domain", settings->domain,
             "control", settings->control_address, "peer", settings->peer_address, "seeds",
             (int) settings->n_seeds, "may_form", settings->may_bootstrap, "document",
             (json_int_t) document_version (host->document));
  loop_run (host->base.loop);
  talloc_free (host);
  return 0;
}
