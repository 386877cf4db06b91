/* The replicated log on a host with a data folder: setup, timers, and the consensus interface. */
#include "consensus_voter.h"
#include "consensus_voter_private.h"
#include "log.h"
#include "text.h"
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define FORM_PERIOD (200 * USEC_PER_MSEC)

/* Schedule the flush for this event loop iteration or the next. */
void
voter_schedule_flush (struct consensus_voter *self, int64_t now)
{
  if (self->health == STATUS_OK && !timer_is_armed (&self->flush_timer))
    timer_arm (self->config.timers, &self->flush_timer, now);
}

const char *
voter_leader_name (const struct consensus_voter *self)
{
  uint64_t leader = self->health == STATUS_OK ? raft_leader (self->raft) : 0;
  const struct raft_member *member = raft_members_find (raft_get_members (self->raft), leader);

  return member != NULL ? member->name : "";
}

bool
voter_has_leadership (const struct consensus_voter *self)
{
  return self->health == STATUS_OK && raft_role (self->raft) == RAFT_LEADER;
}

/* A voter that has stopped no longer applies entries.  When such a voter still had its reads
 * confirmed by the leader, it answered them with a configuration that had been replaced seconds
 * before, and confirmed it to entry hosts as the newest: the leader confirms the read index, not
 * that this host follows the log. */
bool
voter_can_read (const struct consensus_voter *self)
{
  return self->health == STATUS_OK;
}

/* Reschedule the local reads in progress. */
static void
restart_reads (struct consensus_voter *self, int64_t now)
{
  struct request *request;
  struct request *next;

  HASH_ITER (hh, self->requests.by_number, request, next)
    {
      if (request->kind != REQUEST_READ || request->proposal == NULL)
        continue;
      request->stage = REQUEST_FORWARDED;
      request_arm (request, now);
    }
}

/* Stop this voter permanently: its stored state can no longer be relied on.  From here on proposals
 * are forwarded to other voters, and reads are refused. */
void
voter_stop (struct consensus_voter *self, enum status status, const char *what, int64_t now)
{
  if (self->health != STATUS_OK)
    return;
  self->health = status;
  snprintf (self->health_message, sizeof self->health_message, "%s: %s", what, status_message ());
  log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_ERROR, "voter stopped for good", "{s:s,s:s,s:s}",
             "status", status_text (status), "what", what, "message", status_message ());
  timer_disarm (self->config.timers, &self->flush_timer);
  timer_disarm (self->config.timers, &self->tick_timer);
  if (self->health_gauge != NULL)
    gauge_set (self->health_gauge, 0);
  voter_role_changed (self, now);
  restart_reads (self, now);
}

static enum status
submit_own (struct consensus_voter *self,
            enum request_kind kind,
            const void *entry,
            size_t length,
            struct proposal *proposal,
            int64_t deadline,
            int64_t now)
{
  struct request *request;
  enum status status = STATUS_OK;

  if (kind == REQUEST_READ && !voter_can_read (self))
    return status_fail (STATUS_UNAVAILABLE, "this voter has stopped: %s", self->health_message);
  if (kind == REQUEST_PROPOSE && voter_has_leadership (self))
    status = voter_check_disk (self);
  if (status != STATUS_OK)
    return status;
  request = request_new_local (&self->requests, kind, entry, length, proposal, deadline, &status);
  if (request == NULL)
    return status;
  /* Forwarded proposals and reads are submitted from the timer, since done() must not be called
   * before this returns. */
  request->stage = REQUEST_FORWARDED;
  if (voter_has_leadership (self) && kind == REQUEST_PROPOSE)
    voter_route_request (self, request, now);
  else
    request_arm (request, now);
  return STATUS_OK;
}

static enum status
voter_propose (struct consensus *consensus,
               const void *entry,
               size_t length,
               struct proposal *proposal,
               int64_t deadline,
               int64_t now)
{
  struct consensus_voter *self = (struct consensus_voter *) consensus;

  return submit_own (self, REQUEST_PROPOSE, entry, length, proposal, deadline, now);
}

static enum status
voter_read (struct consensus *consensus, struct proposal *proposal, int64_t deadline, int64_t now)
{
  struct consensus_voter *self = (struct consensus_voter *) consensus;

  return submit_own (self, REQUEST_READ, NULL, 0, proposal, deadline, now);
}

static void
voter_withdraw (struct consensus *consensus, struct proposal *proposal)
{
  requests_withdraw (&((struct consensus_voter *) consensus)->requests, proposal);
}

static bool
voter_is_leader (const struct consensus *consensus)
{
  return voter_has_leadership ((const struct consensus_voter *) consensus);
}

static const char *
voter_leader (const struct consensus *consensus)
{
  return voter_leader_name ((const struct consensus_voter *) consensus);
}

static json_t *
describe_member (const struct consensus_voter *self, const struct raft_member *member)
{
  struct raft_progress progress = { 0 };
  char id[20];

  raft_progress_of (self->raft, member->id, &progress);
  snprintf (id, sizeof id, "%016" PRIx64, member->id);
  return json_pack ("{s:s,s:s,s:b,s:I,s:b}", "name", member->name, "id", id, "voter", member->voter,
                    "match", (json_int_t) progress.match, "sending_snapshot",
                    progress.sending_snapshot);
}

static json_t *
voter_describe (const struct consensus *consensus)
{
  const struct consensus_voter *self = (const struct consensus_voter *) consensus;
  const struct raft_members *members = raft_get_members (self->raft);
  json_t *list = json_array ();
  char id[20];
  char group[20];

  for (uint32_t i = 0; i < members->n; i++)
    json_array_append_new (list, describe_member (self, &members->members[i]));
  snprintf (id, sizeof id, "%016" PRIx64, self->identity.id);
  snprintf (group, sizeof group, "%016" PRIx64, self->identity.group);
  return json_pack (
      "{s:s,s:s,s:s,s:s,s:I,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:b,s:o}", "role",
      raft_role_text (raft_role (self->raft)), "health",
      self->health == STATUS_OK ? "ok" : self->health_message, "id", id, "group", group, "term",
      (json_int_t) raft_term (self->raft), "leader", voter_leader_name (self), "committed",
      (json_int_t) raft_committed (self->raft), "applied", (json_int_t) raft_applied (self->raft),
      "first", (json_int_t) raft_first (self->raft), "last", (json_int_t) raft_last (self->raft),
      "journal_bytes", (json_int_t) self->journal_size, "waiting",
      (json_int_t) HASH_COUNT (self->requests.by_number), "low_space", self->low_space, "members",
      list);
}

static json_t *
voter_position (const struct consensus *consensus)
{
  const struct consensus_voter *self = (const struct consensus_voter *) consensus;
  bool is_healthy = self->health == STATUS_OK;
  char group[20];

  snprintf (group, sizeof group, "%016" PRIx64, self->identity.group);
  return json_pack ("{s:s,s:s,s:s,s:I,s:I,s:I}", "group", group, "role",
                    is_healthy ? raft_role_text (raft_role (self->raft)) : "stopped", "leader",
                    voter_leader_name (self), "term", (json_int_t) raft_term (self->raft),
                    "committed", (json_int_t) raft_committed (self->raft), "applied",
                    (json_int_t) raft_applied (self->raft));
}

static const struct consensus_ops ops = {
  .propose = voter_propose,
  .read = voter_read,
  .withdraw = voter_withdraw,
  .is_leader = voter_is_leader,
  .leader = voter_leader,
  .describe = voter_describe,
  .position = voter_position,
};

static void
flush_fired (struct timer *timer, int64_t now)
{
  voter_flush (
      (struct consensus_voter *) ((char *) timer - offsetof (struct consensus_voter, flush_timer)),
      now);
}

static void
tick_fired (struct timer *timer, int64_t now)
{
  struct consensus_voter *self =
      (struct consensus_voter *) ((char *) timer - offsetof (struct consensus_voter, tick_timer));

  raft_tick (self->raft, now);
  voter_flush (self, now);
}

/* Refuse proposals early enough that votes, and entries in flight, still fit on the disk. */
static void
check_free_space (struct consensus_voter *self, int64_t now)
{
  uint64_t available = self->config.disk->ops->free_bytes (self->config.disk);
  bool low = available < self->config.reserve_bytes;
  bool pause_entries = available < (self->config.reserve_bytes + 1) / 2;

  if (low != self->low_space)
    log_event (LOG_MODULE_CONSENSUS, low ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO,
               low ? "room-lost" : "room-regained", "{s:I,s:b}", "free_bytes",
               (json_int_t) (available > INT64_MAX ? INT64_MAX : available), "leads",
               voter_has_leadership (self));
  self->low_space = low;
  raft_set_paused (self->raft, pause_entries);
  /* A leader with a full disk refused every change although a quorum had space.  It transfers
   * leadership only once it refuses entries itself: then it is not a candidate for the next
   * transfer, and two hosts that are both short of space do not pass leadership back and forth. */
  if (pause_entries && raft_has_quorum_without_leader (self->raft, now))
    (void) consensus_voter_transfer (&self->consensus, now);
}

static void
maintenance_fired (struct timer *timer, int64_t now)
{
  struct consensus_voter *self =
      (struct consensus_voter *) ((char *) timer
                                  - offsetof (struct consensus_voter, maintenance_timer));

  if (self->health != STATUS_OK)
    return;
  check_free_space (self, now);
  voter_form_or_join (self, now);
  voter_repair_group (self, now);
  timer_arm (self->config.timers, timer,
             now
                 + (raft_get_members (self->raft)->n == 0 ? FORM_PERIOD
                                                          : self->config.timing.repair_period));
}

static const struct timer_ops flush_ops = { .fire = flush_fired };
static const struct timer_ops tick_ops = { .fire = tick_fired };
static const struct timer_ops maintenance_ops = { .fire = maintenance_fired };

static void
set_defaults (struct consensus_voter_config *config)
{
  struct consensus_timing *timing = &config->timing;

  if (timing->heartbeat == 0)
    timing->heartbeat = CONSENSUS_HEARTBEAT;
  if (timing->election_min == 0)
    timing->election_min = CONSENSUS_ELECTION_MIN;
  if (timing->election_max == 0)
    timing->election_max = CONSENSUS_ELECTION_MAX;
  if (timing->replace_after == 0)
    timing->replace_after = CONSENSUS_REPLACE_AFTER;
  if (timing->drift_ppm == 0)
    timing->drift_ppm = CONSENSUS_DRIFT_PPM;
  if (timing->repair_period == 0)
    timing->repair_period = CONSENSUS_REPAIR_PERIOD;
  if (timing->hello_period == 0)
    timing->hello_period = CONSENSUS_HELLO_PERIOD;
  if (timing->hello_after == 0)
    timing->hello_after = CONSENSUS_HELLO_AFTER;
  if (config->snapshot_entries == 0)
    config->snapshot_entries = CONSENSUS_SNAPSHOT_ENTRIES;
  if (config->segment_bytes == 0)
    config->segment_bytes = JOURNAL_SEGMENT_BYTES;
  if (config->reserve_bytes == 0)
    config->reserve_bytes = CONSENSUS_RESERVE_BYTES;
  if (config->worker == NULL)
    config->worker = disk_worker_inline ();
}

static void
register_metrics (struct consensus_voter *self, struct counters *counters)
{
  if (counters == NULL)
    return;
  self->applied_entries =
      counter_get (counters, "cherryarch_consensus_applied_total", "Entries applied.", NULL);
  self->syncs = counter_get (counters, "cherryarch_consensus_syncs_total", "Batches synced.", NULL);
  self->snapshots =
      counter_get (counters, "cherryarch_consensus_snapshots_total", "Snapshots stored.", NULL);
  self->term_gauge =
      gauge_get (counters, "cherryarch_consensus_term", "Term of the election.", NULL);
  self->leader_gauge =
      gauge_get (counters, "cherryarch_consensus_leader", "1 on the leader.", NULL);
  self->health_gauge = gauge_get (counters, "cherryarch_consensus_healthy",
                                  "0 once this voter stopped for good.", NULL);
  gauge_set (self->health_gauge, 1);
  self->stalled_gauge = gauge_get (counters, "cherryarch_disk_stalled",
                                   "1 while a write to the data folder takes long.", NULL);
  self->store_time = histogram_get (counters, "cherryarch_disk_store_microseconds",
                                    "Time to write and sync a batch.", NULL);
  self->store_wait = histogram_get (counters, "cherryarch_disk_wait_microseconds",
                                    "Time that a batch waited for the disk thread.", NULL);
}

static int
free_voter (struct consensus_voter *self)
{
  requests_clear (&self->requests);
  timer_disarm (self->config.timers, &self->flush_timer);
  timer_disarm (self->config.timers, &self->tick_timer);
  timer_disarm (self->config.timers, &self->maintenance_timer);
  timer_disarm (self->config.timers, &self->stall_timer);
  voter_release_storage (self);
  return 0;
}

static void
set_config (struct consensus_voter *self, const struct consensus_voter_config *config)
{
  self->consensus.ops = &ops;
  self->config = *config;
  set_defaults (&self->config);
  self->flush_timer.ops = &flush_ops;
  self->tick_timer.ops = &tick_ops;
  self->maintenance_timer.ops = &maintenance_ops;
  self->stall_timer.ops = &voter_stall_ops;
  rng_init (&self->rng, config->seed);
  text_copy_truncated (self->name, sizeof self->name, config->name);
  for (uint32_t i = 0; i < config->n_voters && i < CLIENT_HOSTS_MAX; i++)
    text_copy_truncated (self->initial_voters[self->n_initial_voters++], RESOURCE_NAME_SIZE,
                         config->voters[i]);
  requests_init (&self->requests, &voter_requests_ops, self, config->timers, rng_u64 (&self->rng));
  client_init (&self->client, &self->requests, config->port, self->name, config->voters,
               config->n_voters, rng_u64 (&self->rng));
  register_metrics (self, config->counters);
}

struct consensus *
consensus_voter_new (void *parent,
                     const struct consensus_voter_config *config,
                     enum status *status,
                     int64_t now)
{
  struct consensus_voter *self = talloc_zero (parent, struct consensus_voter);

  if (self == NULL)
    {
      *status = status_fail (STATUS_NO_MEMORY, "voter");
      return NULL;
    }
  set_config (self, config);
  talloc_set_destructor (self, free_voter);
  *status = voter_restore (self, now);
  if (*status != STATUS_OK)
    {
      talloc_free (self);
      return NULL;
    }
  if (config->port != NULL)
    voter_listen (self);
  check_free_space (self, now);
  timer_arm (config->timers, &self->maintenance_timer, now);
  voter_schedule_flush (self, now);
  return &self->consensus;
}

enum status
consensus_voter_change (struct consensus *consensus, const struct raft_change *change, int64_t now)
{
  struct consensus_voter *self = (struct consensus_voter *) consensus;
  enum status status = STATUS_NOT_LEADER;

  if (voter_has_leadership (self))
    status = raft_change_members (self->raft, change);
  if (status == STATUS_OK)
    voter_schedule_flush (self, now);
  return status;
}

enum status
consensus_voter_transfer (struct consensus *consensus, int64_t now)
{
  struct consensus_voter *self = (struct consensus_voter *) consensus;
  enum status status = STATUS_NOT_LEADER;

  if (voter_has_leadership (self))
    status = raft_transfer (self->raft, 0, now);
  if (status == STATUS_OK)
    voter_schedule_flush (self, now);
  return status;
}

enum status
consensus_voter_health (const struct consensus *consensus)
{
  return ((const struct consensus_voter *) consensus)->health;
}

const struct raft *
consensus_voter_raft (const struct consensus *consensus)
{
  return ((const struct consensus_voter *) consensus)->raft;
}

uint64_t
consensus_voter_group (const struct consensus *consensus)
{
  return ((const struct consensus_voter *) consensus)->identity.group;
}
