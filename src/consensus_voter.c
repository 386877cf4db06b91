/* A host with a data folder: its making, and the way of proposals and reads through it. */
#include "consensus_voter.h"
#include "consensus_voter_private.h"
#include "log.h"
#include "snapshot.h"
#include "text.h"
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define SLOW_PERIOD USEC_PER_SEC
#define FORM_PERIOD (200 * USEC_PER_MSEC)
#define NO_LEADER_BACKOFF (50 * USEC_PER_MSEC)
#define BATCH_BYTES (256u << 10)
#define MAX_IN_FLIGHT 16
#define CHUNK_BYTES (256u << 10)

/* Have the flush run in this turn of the loop or the next. */
void
voter_wake (struct consensus_voter *self, int64_t now)
{
  if (self->health == STATUS_OK && !timer_is_armed (&self->flush_timer))
    timer_arm (self->config.timers, &self->flush_timer, now);
}

const char *
voter_leader_name (const struct consensus_voter *self)
{
  uint64_t leader = self->health == STATUS_OK ? raft_leader (self->raft) : 0;
  const struct raft_member *member = raft_members_find (raft_member_set (self->raft), leader);

  return member != NULL ? member->name : "";
}

static bool
leads (const struct consensus_voter *self)
{
  return self->health == STATUS_OK && raft_role (self->raft) == RAFT_LEADER;
}

static enum status
push_pending (struct consensus_voter *self, const struct voter_pending *pending)
{
  uint32_t used = self->pending_first + self->n_pending;
  struct voter_pending *grown;

  if (self->pending_first > 0 && self->pending_first >= self->n_pending)
    {
      memmove (self->pending, self->pending + self->pending_first,
               self->n_pending * sizeof *self->pending);
      self->pending_first = 0;
      used = self->n_pending;
    }
  if (talloc_array_length (self->pending) <= used)
    {
      grown = talloc_realloc (self, self->pending, struct voter_pending, used * 2 + 64);
      if (grown == NULL)
        return status_fail (STATUS_NO_MEMORY, "proposals in the log");
      self->pending = grown;
    }
  self->pending[used] = *pending;
  self->n_pending++;
  return STATUS_OK;
}

static enum status
propose_here (struct consensus_voter *self, struct request *request)
{
  struct voter_pending pending = { .request = request->number };
  enum status status;

  if (self->low_space)
    return status_fail (STATUS_DISK_FULL, "too little room in the leader's data folder");
  status = raft_propose (self->raft, request->data, request->length, &pending.index, &pending.term);
  if (status != STATUS_OK)
    return status;
  request->place = REQUEST_PENDING;
  request->index = pending.index;
  request->term = pending.term;
  return push_pending (self, &pending);
}

static enum status
read_here (struct consensus_voter *self, struct request *request, int64_t now)
{
  enum status status = raft_read_request (self->raft, request->number, now);

  if (status == STATUS_OK)
    request->place = REQUEST_READING;
  return status;
}

/* Send a request of this host to where it may be answered. */
static void
forward (struct consensus_voter *self, struct request *request, int64_t now)
{
  const char *leader = voter_leader_name (self);
  bool member = self->health == STATUS_OK && raft_member_set (self->raft)->n > 0;

  if (self->config.port != NULL && (leader[0] != '\0' || !member)
      && strcmp (leader, self->name) != 0)
    {
      if (leader[0] != '\0')
        text_copy_cut (self->client.leader, sizeof self->client.leader, leader);
      client_send (&self->client, request, now);
      return;
    }
  request->place = REQUEST_FORWARDED;
  request_arm (request, now + NO_LEADER_BACKOFF);
}

void
voter_submit (struct consensus_voter *self, struct request *request, int64_t now)
{
  enum status status = STATUS_NOT_LEADER;

  if (leads (self))
    {
      status = request->kind == REQUEST_PROPOSE ? propose_here (self, request)
                                                : read_here (self, request, now);
      voter_wake (self, now);
    }
  if (status == STATUS_OK)
    request_arm (request, request->deadline);
  else if (status == STATUS_NOT_LEADER && request->proposal != NULL)
    forward (self, request, now);
  else
    request_finish (request, status, NULL, 0, now);
}

/* After losing leadership: what is in the log may be committed by the next leader or not, so those
 * who asked propose again; the machine knows a resend.  After gaining it: what waited for a leader
 * is ours. */
void
voter_role_changed (struct consensus_voter *self, int64_t now)
{
  struct request *request;
  struct request *next;
  bool lead = leads (self);

  if (lead == self->led)
    return;
  self->led = lead;
  self->led_at = now;
  if (!lead)
    self->n_pending = 0;
  HASH_ITER (hh, self->requests.by_number, request, next)
    {
      bool ours = request->proposal != NULL;

      if (lead && ours && request->place == REQUEST_FORWARDED)
        request_arm (request, now);
      else if (!lead && request->place != REQUEST_FORWARDED && ours
               && request->place != REQUEST_APPLYING)
        {
          request->place = REQUEST_FORWARDED;
          request_arm (request, now);
        }
      else if (!lead && !ours)
        request_finish (request, STATUS_UNAVAILABLE, NULL, 0, now);
    }
}

/* Stop taking part, for good: what this voter stored can no longer be relied on.  Requests go to
 * other voters from here on. */
void
voter_fail (struct consensus_voter *self, enum status status, const char *what, int64_t now)
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
}

static struct consensus_voter *
of_requests (struct requests *requests)
{
  return (struct consensus_voter *) ((char *) requests
                                     - offsetof (struct consensus_voter, requests));
}

static void
request_due (struct requests *requests, struct request *request, int64_t now)
{
  struct consensus_voter *self = of_requests (requests);

  if (request->place == REQUEST_FORWARDED)
    voter_submit (self, request, now);
  else
    request_arm (request, request->deadline);
}

static void
request_answer (struct requests *requests,
                struct request *request,
                enum status status,
                const void *result,
                size_t length)
{
  struct consensus_voter *self = of_requests (requests);
  struct client_answer answer = {
    .number = request->origin_number,
    .status = status,
    .index = request->index,
    .result = result,
    .length = length,
  };
  struct bytes out;

  text_copy_cut (answer.leader, sizeof answer.leader, voter_leader_name (self));
  bytes_init (&out, self);
  client_write_answer (&answer, &out);
  if (!bytes_failed (&out))
    self->config.port->ops->send (self->config.port, request->origin, PEER_CHANNEL_PROPOSAL,
                                  out.data, out.length);
  bytes_clear (&out);
}

static const struct requests_ops requests_ops = { .due = request_due, .answer = request_answer };

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
  enum status status;

  if (length > RAFT_ENTRY_MAX)
    return status_fail (STATUS_TOO_LARGE, "entry of %zu bytes, %u at most", length, RAFT_ENTRY_MAX);
  if (kind == REQUEST_PROPOSE && leads (self) && self->low_space)
    return status_fail (STATUS_DISK_FULL, "too little room in the leader's data folder");
  request = request_new (&self->requests, kind, entry, length, deadline, &status);
  if (request == NULL)
    return status;
  request->proposal = proposal;
  proposal->owner = request;
  /* Not at once: done() must not come before this returns. */
  request->place = REQUEST_FORWARDED;
  if (leads (self) && kind == REQUEST_PROPOSE)
    voter_submit (self, request, now);
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
  return leads ((const struct consensus_voter *) consensus);
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
  const struct raft_members *members = raft_member_set (self->raft);
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
      "journal_bytes", (json_int_t) journal_bytes (self->journal), "waiting",
      (json_int_t) HASH_COUNT (self->requests.by_number), "low_space", self->low_space, "members",
      list);
}

static const struct consensus_ops ops = {
  .propose = voter_propose,
  .read = voter_read,
  .withdraw = voter_withdraw,
  .is_leader = voter_is_leader,
  .leader = voter_leader,
  .describe = voter_describe,
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

/* Refuse proposals early enough that votes, and entries under way, still find room. */
static void
watch_room (struct consensus_voter *self)
{
  uint64_t room = self->config.disk->ops->free_bytes (self->config.disk);

  self->low_space = room < self->config.reserve_bytes;
  raft_hold (self->raft, room < self->config.reserve_bytes / 2);
}

static void
slow_fired (struct timer *timer, int64_t now)
{
  struct consensus_voter *self =
      (struct consensus_voter *) ((char *) timer - offsetof (struct consensus_voter, slow_timer));

  if (self->health != STATUS_OK)
    return;
  watch_room (self);
  voter_form (self, now);
  voter_repair (self, now);
  timer_arm (self->config.timers, timer,
             now + (raft_member_set (self->raft)->n == 0 ? FORM_PERIOD : SLOW_PERIOD));
}

static const struct timer_ops flush_ops = { .fire = flush_fired };
static const struct timer_ops tick_ops = { .fire = tick_fired };
static const struct timer_ops slow_ops = { .fire = slow_fired };

static uint64_t
new_id (struct consensus_voter *self)
{
  uint64_t id = 0;

  while (id == 0)
    id = rng_u64 (&self->rng);
  return id;
}

/* The folder's identity; made in an empty folder.  The count of starts grows on disk before
 * anything is sent, so that of two copies of a folder the one started last shows. */
static enum status
open_identity (struct consensus_voter *self)
{
  struct disk *disk = self->config.disk;
  enum status status = journal_identity_read (disk, &self->identity);

  if (status == STATUS_NOT_FOUND)
    {
      self->identity = (struct journal_identity){ .id = new_id (self) };
      text_copy_cut (self->identity.name, sizeof self->identity.name, self->name);
      status = STATUS_OK;
    }
  else if (status == STATUS_OK && strcmp (self->identity.name, self->name) != 0)
    status = status_fail (STATUS_CONFLICT, "the data folder belongs to host %s, not to %s",
                          self->identity.name, self->name);
  if (status != STATUS_OK)
    return status;
  self->identity.starts++;
  return journal_identity_write (disk, &self->identity);
}

static enum status
load_machine (struct consensus_voter *self,
              const struct raft_snapshot *snapshot,
              const struct bytes *payload)
{
  size_t length;
  enum status status = snapshot_check (payload->data, payload->length, &length);

  if (status == STATUS_OK)
    status = self->config.machine->ops->load (self->config.machine, snapshot->index, payload->data,
                                              length);
  return status;
}

static void
raft_options_of (struct consensus_voter *self, struct raft_options *options)
{
  *options = (struct raft_options){
    .id = self->identity.id,
    .seed = rng_u64 (&self->rng),
    .heartbeat = self->config.timing.heartbeat,
    .election_min = self->config.timing.election_min,
    .election_max = self->config.timing.election_max,
    .drift_ppm = self->config.timing.drift_ppm,
    .lease_reads = !self->config.no_lease,
    .batch_bytes = BATCH_BYTES,
    .max_in_flight = MAX_IN_FLIGHT,
    .chunk_bytes = CHUNK_BYTES,
  };
}

static enum status
restore_raft (struct consensus_voter *self,
              const struct raft_snapshot *snapshot,
              struct journal_found *found,
              int64_t now)
{
  struct raft_options options;
  enum status status = STATUS_OK;

  raft_options_of (self, &options);
  self->raft = raft_new (self, &options, &found->state, snapshot, found->log.base_index,
                         found->log.base_term, now);
  if (self->raft == NULL)
    return status_fail (STATUS_NO_MEMORY, "raft");
  for (uint32_t i = 0; status == STATUS_OK && i < found->log.count; i++)
    status = raft_restore_entry (self->raft, &found->log.entries[i]);
  talloc_free (found->log.entries);
  raft_restored (self->raft, now);
  return status;
}

static enum status
restore (struct consensus_voter *self, int64_t now)
{
  struct raft_snapshot snapshot;
  struct journal_found found;
  struct bytes payload;
  enum status status = open_identity (self);

  if (status != STATUS_OK)
    return status;
  bytes_init (&payload, self);
  status = snapshot_load (self->config.disk, &snapshot, &payload);
  if (status == STATUS_OK)
    status = load_machine (self, &snapshot, &payload);
  else if (status == STATUS_NOT_FOUND)
    status = STATUS_OK;
  bytes_clear (&payload);
  if (status == STATUS_OK)
    self->journal = journal_open (self, self->config.disk, self->identity.id,
                                  self->config.segment_bytes, &snapshot, &found, &status);
  if (status != STATUS_OK)
    return status;
  if (found.fresh && self->identity.group != 0)
    return status_fail (STATUS_CORRUPT, "the journal of a voter is missing");
  /* Taken into a group, or about to form one, and stopped before anything was stored: nothing was
   * sent either, since that comes after. */
  if (found.state.term == 0 && found.log.count == 0 && snapshot.index == 0)
    self->identity.group = 0;
  if (found.torn_bytes > 0)
    log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_WARNING, "torn tail of the journal cut", "{s:I}",
               "bytes", (json_int_t) found.torn_bytes);
  return restore_raft (self, &snapshot, &found, now);
}

static void
take_defaults (struct consensus_voter_config *config)
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
  if (config->snapshot_entries == 0)
    config->snapshot_entries = CONSENSUS_SNAPSHOT_ENTRIES;
  if (config->segment_bytes == 0)
    config->segment_bytes = JOURNAL_SEGMENT_BYTES;
  if (config->reserve_bytes == 0)
    config->reserve_bytes = CONSENSUS_RESERVE_BYTES;
}

static void
take_counters (struct consensus_voter *self, struct counters *counters)
{
  if (counters == NULL)
    return;
  self->applied_entries =
      counter_get (counters, "consensus_applied_total", "Entries applied.", NULL);
  self->syncs = counter_get (counters, "consensus_syncs_total", "Batches synced.", NULL);
  self->snapshots = counter_get (counters, "consensus_snapshots_total", "Snapshots stored.", NULL);
  self->term_gauge = gauge_get (counters, "consensus_term", "Term of the election.", NULL);
  self->leader_gauge = gauge_get (counters, "consensus_leader", "1 on the leader.", NULL);
  self->health_gauge =
      gauge_get (counters, "consensus_healthy", "0 once this voter stopped for good.", NULL);
  gauge_set (self->health_gauge, 1);
}

static int
free_voter (struct consensus_voter *self)
{
  requests_clear (&self->requests);
  timer_disarm (self->config.timers, &self->flush_timer);
  timer_disarm (self->config.timers, &self->tick_timer);
  timer_disarm (self->config.timers, &self->slow_timer);
  return 0;
}

static void
take_config (struct consensus_voter *self, const struct consensus_voter_config *config)
{
  self->consensus.ops = &ops;
  self->config = *config;
  take_defaults (&self->config);
  self->flush_timer.ops = &flush_ops;
  self->tick_timer.ops = &tick_ops;
  self->slow_timer.ops = &slow_ops;
  rng_init (&self->rng, config->seed);
  text_copy_cut (self->name, sizeof self->name, config->name);
  for (uint32_t i = 0; i < config->n_voters && i < CLIENT_HOSTS_MAX; i++)
    text_copy_cut (self->first_voters[self->n_first_voters++], RESOURCE_NAME_SIZE,
                   config->voters[i]);
  requests_init (&self->requests, &requests_ops, self, config->timers, rng_u64 (&self->rng));
  client_init (&self->client, &self->requests, config->port, self->name, config->voters,
               config->n_voters, rng_u64 (&self->rng));
  take_counters (self, config->counters);
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
  take_config (self, config);
  talloc_set_destructor (self, free_voter);
  *status = restore (self, now);
  if (*status != STATUS_OK)
    {
      talloc_free (self);
      return NULL;
    }
  if (config->port != NULL)
    voter_listen (self);
  watch_room (self);
  timer_arm (config->timers, &self->slow_timer, now);
  voter_wake (self, now);
  return &self->consensus;
}

enum status
consensus_voter_change (struct consensus *consensus, const struct raft_change *change, int64_t now)
{
  struct consensus_voter *self = (struct consensus_voter *) consensus;
  enum status status = STATUS_NOT_LEADER;

  if (leads (self))
    status = raft_change_members (self->raft, change);
  if (status == STATUS_OK)
    voter_wake (self, now);
  return status;
}

enum status
consensus_voter_transfer (struct consensus *consensus, int64_t now)
{
  struct consensus_voter *self = (struct consensus_voter *) consensus;
  enum status status = STATUS_NOT_LEADER;

  if (leads (self))
    status = raft_transfer (self->raft, 0, now);
  if (status == STATUS_OK)
    voter_wake (self, now);
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
