/* The state machine of claims. */
#include "claim_machine.h"
#include "claim_table.h"
#include "store_clock.h"
#include "text.h"
#include <talloc.h>

#define CLAIM_FORMAT 1

struct claim_machine
{
  struct machine machine;
  struct claim_machine_config config;
  struct store_clock clock;
  struct claim_table *table;
  uint64_t granted;
  uint64_t refused_full;
};

/* An epoch is over once it was declared dead or a later one was seen; it cannot acquire. */
static bool
epoch_is_over (const struct claim_host *host, uint64_t epoch)
{
  return epoch < host->epoch || epoch <= host->dead_epoch_max;
}

static bool
is_same_acquire (const struct claim_record *record,
                 const struct claim_host *host,
                 const struct claim_entry *entry)
{
  return record->host == host && record->epoch == entry->holder.epoch
         && record->acquire_id == entry->acquire_id;
}

static void
assign_record (struct claim_machine *machine,
               struct claim_record *record,
               struct claim_host *host,
               const struct claim_entry *entry,
               enum claim_state state)
{
  claim_table_set_host (record, host);
  record->epoch = entry->holder.epoch;
  record->acquire_id = entry->acquire_id;
  record->state = (uint8_t) state;
  memcpy (record->body_hash, entry->body_hash, sizeof record->body_hash);
  if (state == CLAIM_STATE_HELD)
    machine->granted++;
}

static struct claim_record *
add_record (struct claim_machine *machine, struct claim_host *host, const struct claim_entry *entry)
{
  struct claim_record *record = claim_table_add (machine->table, entry->key, host);

  if (record == NULL)
    {
      machine->refused_full++;
      return NULL;
    }
  record->retention_ms = entry->retention_ms;
  record->expires_ms = machine->clock.now_ms + entry->retention_ms;
  return record;
}

static enum claim_verdict
acquire_new (struct claim_machine *machine,
             struct claim_host *host,
             const struct claim_entry *entry)
{
  struct claim_record *record;

  if (entry->issued_at_ms > 0 && entry->issued_at_ms + entry->retention_ms < machine->clock.now_ms)
    return CLAIM_EXPIRED;
  record = add_record (machine, host, entry);
  if (record == NULL)
    return CLAIM_FULL;
  assign_record (machine, record, host, entry, CLAIM_STATE_HELD);
  return CLAIM_GRANTED;
}

static void
fill_settled (const struct claim_record *record, struct claim_result *result)
{
  result->code = record->code;
  text_copy_truncated (result->outcome, sizeof result->outcome, record->outcome);
  result->body_kept = record->body_kept;
  result->body = record->body;
  result->body_length = record->body_length;
}

static enum claim_verdict
acquire_held (const struct claim_record *record,
              const struct claim_host *host,
              const struct claim_entry *entry,
              struct claim_result *result)
{
  if (is_same_acquire (record, host, entry))
    return CLAIM_GRANTED; /* a retry whose first answer was lost */
  if (epoch_is_over (record->host, record->epoch))
    return CLAIM_UNKNOWN;
  text_copy_truncated (result->holder.host, sizeof result->holder.host, record->host->name);
  result->holder.epoch = record->epoch;
  return CLAIM_IN_FLIGHT;
}

static enum claim_verdict
acquire_known (struct claim_machine *machine,
               struct claim_record *record,
               struct claim_host *host,
               const struct claim_entry *entry,
               struct claim_result *result)
{
  if (record->state == CLAIM_STATE_EXPIRED)
    return CLAIM_EXPIRED;
  if (record->state == CLAIM_STATE_RELEASED && is_same_acquire (record, host, entry))
    return CLAIM_UNREACHABLE; /* abandoned by its requester before this entry was applied */
  if (memcmp (record->body_hash, entry->body_hash, sizeof record->body_hash) != 0)
    return CLAIM_MISMATCH;
  if (record->state == CLAIM_STATE_HELD)
    return acquire_held (record, host, entry, result);
  if (record->state == CLAIM_STATE_SETTLED)
    {
      fill_settled (record, result);
      return CLAIM_SETTLED;
    }
  claim_table_renew (machine->table, record, machine->clock.now_ms + entry->retention_ms);
  assign_record (machine, record, host, entry, CLAIM_STATE_HELD);
  return CLAIM_GRANTED;
}

static enum claim_verdict
acquire (struct claim_machine *machine,
         struct claim_host *host,
         const struct claim_entry *entry,
         struct claim_result *result)
{
  struct claim_record *record = claim_table_find (machine->table, entry->key);

  /* A partitioned host is declared dead, and its acquire is applied late.  If it were granted, the
   * claim would read as unknown at once although its holder is running the request. */
  if (epoch_is_over (host, entry->holder.epoch))
    {
      result->fenced = true;
      return CLAIM_UNREACHABLE;
    }
  if (claim_table_is_abandoned (host, entry->holder.epoch, entry->acquire_id))
    return CLAIM_UNREACHABLE;
  host->epoch = entry->holder.epoch;
  if (record == NULL)
    return acquire_new (machine, host, entry);
  return acquire_known (machine, record, host, entry, result);
}

/* Every verdict ends the retries of the settling host. */
static enum claim_verdict
settle (struct claim_machine *machine, struct claim_host *host, const struct claim_entry *entry)
{
  struct claim_record *record = claim_table_find (machine->table, entry->key);

  if (record == NULL || !is_same_acquire (record, host, entry) || record->state != CLAIM_STATE_HELD)
    return record != NULL && record->state == CLAIM_STATE_SETTLED ? CLAIM_SETTLED : CLAIM_EXPIRED;
  record->state = CLAIM_STATE_SETTLED;
  record->code = (uint16_t) entry->code;
  text_copy_truncated (record->outcome, sizeof record->outcome, entry->outcome);
  if (entry->body != NULL
      && machine->table->answer_bytes + entry->body_length <= machine->config.answer_bytes_max)
    claim_table_set_body (machine->table, record, entry->body, entry->body_length);
  return CLAIM_SETTLED;
}

/* An acquire that its requester abandoned may still be applied, also after another host has
 * acquired and released the claim.  The release records it as abandoned, so that it is refused;
 * otherwise the claim would be held with no host to run or settle it. */
static enum claim_verdict
release (struct claim_machine *machine, struct claim_host *host, const struct claim_entry *entry)
{
  struct claim_record *record = claim_table_find (machine->table, entry->key);

  claim_table_add_abandoned (machine->table, host, entry->holder.epoch, entry->acquire_id);
  if (record == NULL)
    {
      record = add_record (machine, host, entry);
      if (record == NULL)
        return CLAIM_FULL;
      assign_record (machine, record, host, entry, CLAIM_STATE_RELEASED);
    }
  else if (record->state == CLAIM_STATE_HELD && is_same_acquire (record, host, entry))
    record->state = CLAIM_STATE_RELEASED;
  return CLAIM_GRANTED;
}

static enum claim_verdict
apply_entry (struct claim_machine *machine,
             const struct claim_entry *entry,
             struct claim_result *result)
{
  struct claim_host *host = claim_table_get_host (machine->table, entry->holder.host);

  if (host == NULL)
    return CLAIM_FULL;
  switch (entry->op)
    {
    case CLAIM_ACQUIRE:
      return acquire (machine, host, entry, result);
    case CLAIM_SETTLE:
      return settle (machine, host, entry);
    case CLAIM_RELEASE:
      return release (machine, host, entry);
    case CLAIM_HOLDER_STARTED:
      if (entry->holder.epoch > host->epoch)
        host->epoch = entry->holder.epoch;
      return CLAIM_GRANTED;
    case CLAIM_HOLDER_DEAD:
    case CLAIM_OP_COUNT:
    default:
      if (entry->holder.epoch > host->dead_epoch_max)
        host->dead_epoch_max = entry->holder.epoch;
      return CLAIM_GRANTED;
    }
}

static void
apply (struct machine *machine, uint64_t index, const void *data, size_t length, struct bytes *out)
{
  struct claim_machine *self = (struct claim_machine *) machine;
  struct claim_result result = { .verdict = CLAIM_UNREACHABLE };
  struct claim_entry entry;

  (void) index;
  if (claim_entry_unpack (&entry, data, length) == STATUS_OK)
    {
      store_clock_observe (&self->clock, entry.host, entry.time_ms);
      claim_table_expire (self->table, self->clock.now_ms);
      result.verdict = apply_entry (self, &entry, &result);
    }
  claim_result_pack (&result, out);
}

static enum status
save (struct machine *machine, struct bytes *out)
{
  const struct claim_machine *self = (const struct claim_machine *) machine;

  pack_uint (out, CLAIM_FORMAT);
  store_clock_save (&self->clock, out);
  claim_table_save (self->table, out);
  return bytes_has_failed (out) ? status_fail (STATUS_NO_MEMORY, "no memory for a snapshot")
                                : STATUS_OK;
}

static enum status
load (struct machine *machine, uint64_t index, const void *data, size_t length)
{
  struct claim_machine *self = (struct claim_machine *) machine;
  struct pack_reader in;

  (void) index;
  pack_reader_init (&in, data, length);
  if (pack_read_uint (&in, UINT64_MAX) != CLAIM_FORMAT)
    return status_fail (STATUS_UNSUPPORTED, "snapshot of claims has an unsupported format");
  store_clock_load (&self->clock, &in);
  claim_table_load (self->table, &in);
  return store_read_end (&in);
}

static const struct machine_ops machine_ops = { .apply = apply, .save = save, .load = load };

struct claim_machine *
claim_machine_new (void *parent, const struct claim_machine_config *config)
{
  struct claim_machine *self = talloc_zero (parent, struct claim_machine);

  if (self == NULL)
    return NULL;
  self->machine.ops = &machine_ops;
  self->config = *config;
  if (self->config.count_max == 0)
    self->config.count_max = CLAIM_COUNT_MAX;
  if (self->config.answer_bytes_max == 0)
    self->config.answer_bytes_max = CLAIM_ANSWER_BYTES_MAX;
  self->table = claim_table_new (self, self->config.count_max, CLAIM_HOLDERS_MAX);
  if (self->table == NULL)
    talloc_free (self);
  return self->table == NULL ? NULL : self;
}

struct machine *
claim_machine_machine (struct claim_machine *machine)
{
  return &machine->machine;
}

uint32_t
claim_machine_count (const struct claim_machine *machine)
{
  return machine->table->count;
}

json_t *
claim_machine_describe (const struct claim_machine *machine)
{
  return json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I}", "claims", (json_int_t) machine->table->count,
                    "claims_max", (json_int_t) machine->config.count_max, "answer_bytes",
                    (json_int_t) machine->table->answer_bytes, "granted",
                    (json_int_t) machine->granted, "refused_full",
                    (json_int_t) machine->refused_full, "log_time_ms",
                    (json_int_t) machine->clock.now_ms);
}
