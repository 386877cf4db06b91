/* Opening a data folder: reads its identity, loads the snapshot into the state machine, and
 * restores raft from the journal. */
#include "consensus_voter_private.h"
#include "log.h"
#include "snapshot.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

#define BATCH_BYTES (256u << 10)
#define MAX_IN_FLIGHT 16
#define CHUNK_BYTES (256u << 10)

static uint64_t
new_id (struct consensus_voter *self)
{
  uint64_t id = 0;

  while (id == 0)
    id = rng_u64 (&self->rng);
  return id;
}

/* Read the identity of the folder; create it in an empty folder.  The start counter is incremented
 * on disk before anything is sent, so that of two copies of a folder the one started last is
 * recognised. */
static enum status
open_identity (struct consensus_voter *self)
{
  struct disk *disk = self->config.disk;
  enum status status = journal_identity_read (disk, &self->identity);

  if (status == STATUS_NOT_FOUND)
    {
      self->identity = (struct journal_identity){ .id = new_id (self) };
      text_copy_truncated (self->identity.name, sizeof self->identity.name, self->name);
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
              struct journal_recovery *found,
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

enum status
voter_restore (struct consensus_voter *self, int64_t now)
{
  struct raft_snapshot snapshot;
  struct journal_recovery found;
  struct bytes payload;
  enum status status = open_identity (self);

  if (status != STATUS_OK)
    return status;
  self->storage = talloc_new (NULL);
  bytes_init (&payload, self);
  status = snapshot_load (self->config.disk, &snapshot, &payload);
  if (status == STATUS_OK)
    status = load_machine (self, &snapshot, &payload);
  else if (status == STATUS_NOT_FOUND)
    status = STATUS_OK;
  bytes_clear (&payload);
  if (status == STATUS_OK)
    self->journal = journal_open (self->storage, self->config.disk, self->identity.id,
                                  self->config.segment_bytes, &snapshot, &found, &status);
  if (status != STATUS_OK)
    return status;
  self->journal_size = journal_bytes (self->journal);
  if (found.fresh && self->identity.group != 0)
    return status_fail (STATUS_CORRUPT, "the journal of a voter is missing");
  /* Stopped after storing the group id but before storing anything else: nothing was sent either,
   * since sending comes after storing. */
  if (found.state.term == 0 && found.log.count == 0 && snapshot.index == 0)
    self->identity.group = 0;
  if (found.torn_bytes > 0)
    log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_WARNING, "torn tail of the journal cut", "{s:I}",
               "bytes", (json_int_t) found.torn_bytes);
  return restore_raft (self, &snapshot, &found, now);
}
