/* Decoders of claims: log entries, results of the state machine and snapshots. */
#include "claim_entry.h"
#include "claim_machine.h"
#include "fuzz_parts.h"
#include <string.h>
#include <talloc.h>

#define WALL_MS 1000000
#define DAY_MS 86400000

static void
fill_entry (uint32_t i, struct claim_entry *entry)
{
  *entry = (struct claim_entry){
    .op = (enum claim_op) i,
    .holder = { .host = "a", .epoch = 4 },
    .host = "a",
    .time_ms = WALL_MS,
    .key = { 1, 2, 3 },
    .acquire_id = 9,
    .body_hash = { 4, 5, 6 },
    .retention_ms = DAY_MS,
  };
  if (entry->op == CLAIM_SETTLE)
    {
      entry->code = 200;
      memcpy (entry->outcome, "whole", sizeof "whole");
      entry->body = "{}";
      entry->body_length = 2;
    }
}

static void
entry_sample (uint32_t i, struct bytes *out)
{
  struct claim_entry entry;

  fill_entry (i, &entry);
  claim_entry_pack (&entry, out);
}

/* Returns a machine that has applied the start of the holder's epoch and one claim of it. */
static struct machine *
filled_machine (void *parent)
{
  static const enum claim_op history[] = { CLAIM_HOLDER_STARTED, CLAIM_ACQUIRE };
  struct machine *machine = claim_machine_machine (
      claim_machine_new (parent, &(struct claim_machine_config){ .count_max = 64 }));
  struct bytes entry;
  struct bytes result;
  size_t i;

  bytes_init (&entry, parent);
  bytes_init (&result, parent);
  for (i = 0; i < sizeof history / sizeof history[0]; i++)
    {
      bytes_clear (&entry);
      bytes_clear (&result);
      entry_sample (history[i], &entry);
      machine->ops->apply (machine, i + 1, entry.data, entry.length, &result);
    }
  bytes_clear (&entry);
  bytes_clear (&result);
  return machine;
}

/* Applies the entry, valid or not; the result of a valid one must decode. */
static enum status
entry_decode (void *parent, const void *data, size_t length)
{
  struct machine *machine = filled_machine (parent);
  struct claim_entry entry;
  struct claim_result answer;
  struct bytes result;
  enum status status = claim_entry_unpack (&entry, data, length);

  bytes_init (&result, parent);
  machine->ops->apply (machine, 3, data, length, &result);
  if (status == STATUS_OK)
    INVARIANT (claim_result_unpack (&answer, result.data, result.length) == STATUS_OK);
  return status;
}

const struct fuzz_decoder fuzz_claim_entry = {
  .name = "claim-entry",
  .n_samples = CLAIM_OP_COUNT,
  .sample = entry_sample,
  .decode = entry_decode,
};

static void
result_sample (uint32_t i, struct bytes *out)
{
  const struct claim_result result = {
    .verdict = (enum claim_verdict) i,
    .holder = { .host = "b", .epoch = 1 },
    .code = 200,
    .outcome = "whole",
    .body_kept = true,
    .body = "{}",
    .body_length = 2,
  };

  claim_result_pack (&result, out);
}

static enum status
result_decode (void *parent, const void *data, size_t length)
{
  struct claim_result result;

  (void) parent;
  return claim_result_unpack (&result, data, length);
}

const struct fuzz_decoder fuzz_claim_result = {
  .name = "claim-result",
  .n_samples = CLAIM_VERDICT_COUNT,
  .sample = result_sample,
  .decode = result_decode,
};

static void
snapshot_sample (uint32_t i, struct bytes *out)
{
  void *parent = talloc_new (NULL);
  struct machine *machine = filled_machine (parent);

  (void) i;
  machine->ops->save (machine, out);
  talloc_free (parent);
}

static enum status
snapshot_decode (void *parent, const void *data, size_t length)
{
  struct machine *machine = filled_machine (parent);
  struct bytes again;
  enum status status = machine->ops->load (machine, 5, data, length);

  bytes_init (&again, parent);
  if (status == STATUS_OK)
    status = machine->ops->save (machine, &again);
  bytes_clear (&again);
  return status;
}

const struct fuzz_decoder fuzz_claim_snapshot = {
  .name = "claim-snapshot",
  .n_samples = 1,
  .sample = snapshot_sample,
  .decode = snapshot_decode,
};
