/* A controller: state replication to the entry hosts. */
#include "container.h"
#include "controller_private.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define TICK_PERIOD (250 * USEC_PER_MSEC)

/* Timeout of a quorum read; after it the state is sent unconfirmed. */
#define QUORUM_READ_TIMEOUT (800 * USEC_PER_MSEC)

/* Delay of a push, so that a burst of changes is sent as one message. */
#define PUSH_DELAY (5 * USEC_PER_MSEC)

/* An answer that an entry host still lacks this long after it was sent is lost. */
#define ANSWER_TRAVEL_MAX (200 * USEC_PER_MSEC)

/* ---- confirmation by a quorum ---- */

static void start_quorum_read (struct controller *controller, int64_t now);

/* A quorum read confirms only requests that arrived before it started: its result does not cover
 * what was committed since.  Each host is answered even if it has sent a newer request meanwhile:
 * reads may take longer than the interval of its requests. */
static void
answer_requests (struct controller *controller, bool confirmed, int64_t now)
{
  bool more = false;

  for (uint32_t i = 0; i < controller->n_hosts; i++)
    {
      struct entry_host_record *host = &controller->hosts[i];
      uint64_t covered = host->read_nonce;

      host->read_nonce = 0;
      more = more || host->nonce != covered;
      if (covered == 0 || !controller_send_state (controller, host, covered, confirmed, now))
        continue;
      host->answered_nonce = covered;
      host->answered_at = now;
      if (host->nonce == covered)
        host->nonce = 0;
    }
  if (more)
    start_quorum_read (controller, now);
}

static void
quorum_read_done (
    struct proposal *proposal, enum status status, const void *result, size_t length, int64_t now)
{
  struct controller *controller = CONTAINER_OF (proposal, struct controller, quorum_read);

  (void) result;
  (void) length;
  controller->quorum_read_pending = false;
  if (status != STATUS_OK)
    counter_add (controller->unconfirmed, 1);
  if ((status == STATUS_OK) != controller->has_quorum)
    {
      controller->has_quorum = status == STATUS_OK;
      log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_INFO,
                 controller->has_quorum ? "quorum-regained" : "quorum-lost", "{s:s,s:I}", "outcome",
                 status_text (status), "document",
                 (json_int_t) document_version (controller->config.document));
    }
  answer_requests (controller, status == STATUS_OK, now);
}

static const struct proposal_ops quorum_read_ops = { .done = quorum_read_done };

static void
start_quorum_read (struct controller *controller, int64_t now)
{
  struct consensus *consensus = controller->config.consensus;
  enum status status;

  if (controller->quorum_read_pending)
    return;
  for (uint32_t i = 0; i < controller->n_hosts; i++)
    controller->hosts[i].read_nonce = controller->hosts[i].nonce;
  controller->quorum_read_pending = true;
  status =
      consensus->ops->read (consensus, &controller->quorum_read, now + QUORUM_READ_TIMEOUT, now);
  if (status == STATUS_OK)
    return;
  controller->quorum_read_pending = false;
  counter_add (controller->unconfirmed, 1);
  answer_requests (controller, false, now);
}

/* ---- entry hosts ---- */

struct entry_host_record *
controller_find_host (struct controller *controller, const char *name)
{
  for (uint32_t i = 0; i < controller->n_hosts; i++)
    if (strcmp (controller->hosts[i].info.name, name) == 0)
      return &controller->hosts[i];
  return NULL;
}

/* When all records are in use, replaces one whose lease has expired. */
struct entry_host_record *
controller_add_host (struct controller *controller, const char *name, int64_t now)
{
  struct entry_host_record *host = controller_find_host (controller, name);

  if (host != NULL)
    return host;
  if (controller->n_hosts < SYNC_HOSTS_MAX)
    host = &controller->hosts[controller->n_hosts++];
  else
    for (uint32_t i = 0; i < controller->n_hosts && host == NULL; i++)
      if (!controller_host_is_live (&controller->hosts[i], now))
        host = &controller->hosts[i];
  if (host == NULL)
    return NULL;
  /* Its lease begins with its first request. */
  *host = (struct entry_host_record){
    .heard_at = now - CONTROLLER_HOST_LEASE - 1,
    .reach = host->reach,
  };
  text_copy_truncated (host->info.name, sizeof host->info.name, name);
  return host;
}

/* A host without a record gets no confirmation and therefore serves no requests. */
static void
reject_host (struct controller *controller, const char *name)
{
  counter_add (controller->hosts_refused, 1);
  log_event (LOG_MODULE_MEMBER, LOG_LEVEL_ERROR, "entry-host-refused", "{s:s,s:i}", "host", name,
             "most", SYNC_HOSTS_MAX);
}

static bool
is_listable (const struct entry_host_record *host, int64_t now)
{
  return controller_host_is_live (host, now) && !host->info.leaving;
}

/* Updates the list of entry hosts; its revision increases whenever a host is added or removed. */
static void
update_host_list (struct controller *controller, int64_t now)
{
  uint32_t listed = 0;

  for (uint32_t i = 0; i < controller->n_hosts; i++)
    {
      struct entry_host_record *host = &controller->hosts[i];
      bool should = is_listable (host, now);

      listed += should ? 1 : 0;
      if (should == host->listed)
        continue;
      host->listed = should;
      controller->hosts_revision++;
      log_event (LOG_MODULE_MEMBER, LOG_LEVEL_INFO,
                 should ? "entry-host-listed" : "entry-host-unlisted", "{s:s,s:b,s:I}", "host",
                 host->info.name, "leaving", host->info.leaving, "age_ms",
                 (json_int_t) ((now - host->heard_at) / USEC_PER_MSEC));
    }
  gauge_set (controller->n_entries, listed);
}

static void
handle_request (struct controller *controller,
                struct pack_reader *in,
                const char *from,
                int64_t now)
{
  struct sync_request request;
  struct entry_host_record *host;

  if (!sync_read_request (in, &request) || !pack_read_is_complete (in)
      || strcmp (request.self.name, from) != 0)
    {
      counter_add (controller->malformed, 1);
      return;
    }
  host = controller_add_host (controller, from, now);
  if (host == NULL)
    {
      reject_host (controller, from);
      return;
    }
  counter_add (controller->requests, 1);
  /* Revisions that it holds from an earlier incarnation of this controller are void. */
  if (request.controller != controller->config.incarnation)
    {
      request.targets = 0;
      request.hosts = 0;
    }
  if (host->info.incarnation != request.self.incarnation)
    {
      host->answered_nonce = 0;
      host->reach_at = 0;
      host->unheld.sent_at = 0;
    }
  host->info = request.self;
  host->heard_at = now;
  host->nonce = request.nonce;
  host->document_version = request.document;
  controller_note_held (host, request.targets, request.hosts, now);
  update_host_list (controller, now);
  start_quorum_read (controller, now);
}

/* The host sends requests that arrive here, but no answer since that to `nonce` has arrived there:
 * replaces the connection that the answers were sent on. */
static void
handle_unanswered (struct controller *controller,
                   struct pack_reader *in,
                   const char *from,
                   int64_t now)
{
  struct entry_host_record *host = controller_find_host (controller, from);
  uint64_t nonce;

  if (!sync_read_unanswered (in, &nonce))
    {
      counter_add (controller->malformed, 1);
      return;
    }
  if (host == NULL || host->answered_nonce < nonce || now - host->answered_at < ANSWER_TRAVEL_MAX)
    return;
  counter_add (controller->reconnects, 1);
  log_event (LOG_MODULE_MEMBER, LOG_LEVEL_WARNING, "entry-host-unreached", "{s:s,s:I}", "host",
             from, "answered_ms", (json_int_t) ((now - host->answered_at) / USEC_PER_MSEC));
  host->answered_nonce = 0;
  host->unheld.sent_at = 0;
  controller->config.port->ops->remove_host (controller->config.port, from);
}

uint32_t
controller_list_live_hosts (const struct controller *controller,
                            const char *out[SYNC_HOSTS_MAX],
                            int64_t now)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < controller->n_hosts; i++)
    if (controller_host_is_live (&controller->hosts[i], now))
      out[n++] = controller->hosts[i].info.name;
  return n;
}

/* Sort key of an entry host in a client's list. */
struct listed
{
  const struct sync_host *host;
  bool in_other_domain;
  uint64_t rank;
};

static int
compare_listed (const void *a, const void *b)
{
  const struct listed *left = a;
  const struct listed *right = b;

  if (left->in_other_domain != right->in_other_domain)
    return left->in_other_domain ? 1 : -1;
  if (left->rank != right->rank)
    return left->rank < right->rank ? -1 : 1;
  return strcmp (left->host->name, right->host->name);
}

static bool
is_offered (const struct entry_host_record *host, int64_t now)
{
  return is_listable (host, now) && host->info.ready;
}

/* Where no host reaches the targets, clients are no better served anywhere else. */
static bool
any_host_serves_requests (const struct controller *controller, int64_t now)
{
  for (uint32_t i = 0; i < controller->n_hosts; i++)
    if (is_offered (&controller->hosts[i], now)
        && !controller_host_lost_requests (&controller->hosts[i], now))
      return true;
  return false;
}

uint32_t
controller_list_entry_hosts (const struct controller *controller,
                             const char *domain,
                             uint32_t limit,
                             const struct sync_host *out[SYNC_HOSTS_MAX],
                             int64_t now)
{
  uint64_t seed = XXH3_64bits (domain, strlen (domain));
  struct listed listed[SYNC_HOSTS_MAX];
  bool any_whole = any_host_serves_requests (controller, now);
  uint32_t n = 0;

  for (uint32_t i = 0; i < controller->n_hosts; i++)
    {
      const struct entry_host_record *host = &controller->hosts[i];
      const char *name = host->info.name;

      if (!is_offered (host, now) || (any_whole && controller_host_lost_requests (host, now)))
        continue;
      listed[n++] = (struct listed){
        .host = &host->info,
        .in_other_domain = strcmp (host->info.domain, domain) != 0,
        .rank = XXH3_64bits_withSeed (name, strlen (name), seed),
      };
    }
  qsort (listed, n, sizeof listed[0], compare_listed);
  if (n > limit)
    n = limit;
  for (uint32_t i = 0; i < n; i++)
    out[i] = listed[i].host;
  return n;
}

/* ---- pushes ---- */

static void
push (struct controller *controller, int64_t now)
{
  for (uint32_t i = 0; i < controller->n_hosts; i++)
    {
      struct entry_host_record *host = &controller->hosts[i];

      if (!controller_host_is_live (host, now))
        continue;
      controller_send_state (controller, host, 0, false, now);
      counter_add (controller->pushes, 1);
    }
}

static void
push_fired (struct timer *timer, int64_t now)
{
  push (CONTAINER_OF (timer, struct controller, push_timer), now);
}

static const struct timer_ops push_ops = { .fire = push_fired };

void
controller_schedule_push (struct controller *controller, int64_t now)
{
  if (!timer_is_armed (&controller->push_timer))
    timer_arm (controller->config.timers, &controller->push_timer, now + PUSH_DELAY);
}

void
controller_push_pending (struct controller *controller, int64_t now)
{
  if (!timer_is_armed (&controller->push_timer))
    return;
  timer_disarm (controller->config.timers, &controller->push_timer);
  push (controller, now);
}

void
controller_document_changed (struct controller *controller, int64_t now)
{
  const struct bytes *text = document_text (controller->config.document);
  char digest[DOCUMENT_DIGEST_SIZE];

  controller_keep_document (controller);
  document_digest (text->data, text->length, digest);
  log_event (LOG_MODULE_STORE, LOG_LEVEL_INFO, "document-changed", "{s:I,s:I,s:s}", "version",
             (json_int_t) document_version (controller->config.document), "bytes",
             (json_int_t) text->length, "content", digest);
  controller_schedule_push (controller, now);
}

/* ---- messages, timers and construction ---- */

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct controller *controller = CONTAINER_OF (listener, struct controller, listener);
  struct pack_reader in;
  enum sync_message type;

  pack_reader_init (&in, data, length);
  if (!sync_read_type (&in, &type))
    return;
  if (type == SYNC_REQUEST)
    handle_request (controller, &in, from, now);
  else if (type == SYNC_TARGET)
    controller_handle_target (controller, &in, from, now);
  else if (type == SYNC_TARGET_ACK)
    controller_handle_target_ack (controller, &in, from, now);
  else if (type == SYNC_UNANSWERED)
    handle_unanswered (controller, &in, from, now);
  else if (type == SYNC_REACH)
    controller_handle_reach (controller, &in, from, now);
  else if (type == SYNC_VERSION_REQUEST)
    controller_handle_version_request (controller, &in, from);
  else if (type == SYNC_DOCUMENT_REQUEST)
    controller_handle_document_request (controller, &in, from, now);
}

static const struct peer_listener_ops listener_ops = { .received = received };

static void
tick_fired (struct timer *timer, int64_t now)
{
  struct controller *controller = CONTAINER_OF (timer, struct controller, tick);

  update_host_list (controller, now);
  registry_expire (controller->registry, REGISTRY_RETENTION, now);
  timer_arm (controller->config.timers, timer, now + TICK_PERIOD);
}

static const struct timer_ops tick_ops = { .fire = tick_fired };

static void
init_counters (struct controller *controller)
{
  struct counters *counters = controller->config.counters;

  controller->requests =
      counter_get (counters, "cherryarch_controller_asks_total", "Questions of entry hosts.", NULL);
  controller->malformed = counter_get (counters, "cherryarch_controller_malformed_total",
                                       "Requests of entry hosts that could not be read.", NULL);
  controller->reconnects =
      counter_get (counters, "cherryarch_controller_reconnects_total",
                   "Connections to entry hosts replaced, as no answer arrived there.", NULL);
  controller->pushes = counter_get (counters, "cherryarch_controller_pushes_total",
                                    "Changes pushed to entry hosts.", NULL);
  controller->documents = counter_get (counters, "cherryarch_controller_documents_total",
                                       "Configurations sent to entry hosts.", NULL);
  controller->document_bytes =
      counter_get (counters, "cherryarch_controller_document_bytes_total", "Bytes of these.", NULL);
  controller->unconfirmed = counter_get (counters, "cherryarch_controller_unconfirmed_total",
                                         "Questions that no quorum answered in time.", NULL);
  controller->hosts_refused =
      counter_get (counters, "cherryarch_controller_hosts_refused_total",
                   "Questions of entry hosts for which there was no place.", NULL);
  controller->leave_timeouts =
      counter_get (counters, "cherryarch_controller_leave_timeouts_total",
                   "Leaving targets not acknowledged for want of other controllers.", NULL);
  controller->n_targets =
      gauge_get (counters, "cherryarch_controller_targets", "Targets remembered.", NULL);
  controller->n_entries =
      gauge_get (counters, "cherryarch_controller_entry_hosts", "Entry hosts listed.", NULL);
}

static int
free_controller (struct controller *controller)
{
  struct consensus *consensus = controller->config.consensus;

  timer_disarm (controller->config.timers, &controller->tick);
  timer_disarm (controller->config.timers, &controller->push_timer);
  timer_disarm (controller->config.timers, &controller->reach_timer);
  if (controller->quorum_read_pending)
    consensus->ops->withdraw (consensus, &controller->quorum_read);
  return 0;
}

struct controller *
controller_new (void *parent, const struct controller_config *config)
{
  struct controller *controller = talloc_zero (parent, struct controller);

  if (controller == NULL)
    return NULL;
  controller->config = *config;
  controller->started_at = config->now;
  controller->registry = registry_new (controller);
  controller->history = document_history_new (controller);
  if (controller->registry == NULL || controller->history == NULL)
    {
      talloc_free (controller);
      return NULL;
    }
  controller->quorum_read.ops = &quorum_read_ops;
  controller->tick.ops = &tick_ops;
  controller->push_timer.ops = &push_ops;
  controller->listener.ops = &listener_ops;
  controller->hosts_revision = 1;
  init_counters (controller);
  controller_keep_document (controller);
  controller_init_reach (controller);
  controller_init_evacuations (controller);
  config->port->ops->set_listener (config->port, PEER_CHANNEL_SYNC, &controller->listener);
  timer_arm (config->timers, &controller->tick, 0);
  talloc_set_destructor (controller, free_controller);
  return controller;
}
