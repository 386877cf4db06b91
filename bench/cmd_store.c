/* Measures the state machines alone: entries per second, memory, and load time.
 *
 * There is no log and no disk, so the figures cover processor time only. */
#include "claim_machine.h"
#include "store.h"
#include "text.h"
#include <malloc.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#define OBJECTS 1000
#define BODY_BYTES 1024
#define RETENTION_MS 600000

static double
seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double) now.tv_sec + (double) now.tv_nsec / 1e9;
}

static double
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double) (info.uordblks + info.hblkhd);
}

/* Encode a change to one of OBJECTS organisations; every change differs. */
static void
encode_change (uint32_t number, bool with_id, struct bytes *out)
{
  struct store_change change = { .op = STORE_PUT, .kind = RESOURCE_ORGANISATION };
  char spec[256];

  snprintf (change.name, sizeof change.name, "organisation-%04u", number % OBJECTS);
  change.length = (size_t) snprintf (spec, sizeof spec,
                                     "{\"concurrency\":%u,\"requestsPerSecond\":50,"
                                     "\"tokenHashes\":[\"%064x\"],\"weight\":2}",
                                     number, number);
  change.text = spec;
  if (with_id)
    snprintf (change.change_id, sizeof change.change_id, "change-%08u", number);
  text_copy_truncated (change.host, sizeof change.host, number % 2 ? "host-1" : "host-2");
  change.time_ms = number * INT64_C (500);
  store_change_pack (&change, out);
}

static void
apply_changes (struct store *store, uint32_t first, uint32_t count, bool with_id)
{
  struct machine *machine = store_machine (store);
  struct bytes entry;
  struct bytes result;
  uint32_t i;

  bytes_init (&entry, NULL);
  bytes_init (&result, NULL);
  for (i = first; i < first + count; i++)
    {
      entry.length = 0;
      result.length = 0;
      encode_change (i, with_id, &entry);
      machine->ops->apply (machine, i + 1, entry.data, entry.length, &result);
    }
  bytes_clear (&entry);
  bytes_clear (&result);
}

static void
measure_changes (uint32_t count)
{
  const struct store_config config = { 0 };
  struct store *store = store_new (NULL, &config);
  struct store *other = store_new (NULL, &config);
  struct machine *machine = store_machine (store);
  struct bytes saved;
  double begin;
  double replayed;
  double saved_in;
  double loaded;

  begin = seconds ();
  apply_changes (store, 0, count, true);
  replayed = seconds () - begin;
  bytes_init (&saved, NULL);
  begin = seconds ();
  INVARIANT (machine->ops->save (machine, &saved) == STATUS_OK);
  saved_in = seconds () - begin;
  begin = seconds ();
  machine = store_machine (other);
  INVARIANT (machine->ops->load (machine, 1, saved.data, saved.length) == STATUS_OK);
  loaded = seconds () - begin;
  printf ("changes %u: %.0f/s, replay %.1f ms; snapshot %zu bytes, save %.2f ms, load %.2f ms\n",
          count, count / replayed, replayed * 1e3, saved.length, saved_in * 1e3, loaded * 1e3);
  bytes_clear (&saved);
  talloc_free (store);
  talloc_free (other);
}

static void
measure_resource_memory (void)
{
  const struct store_config config = { .history_events_max = 1 };
  struct store *store = store_new (NULL, &config);
  double before = allocated_bytes ();

  apply_changes (store, 0, OBJECTS, false);
  printf ("resource: %.0f bytes each (%d of them, without history)\n",
          (allocated_bytes () - before) / OBJECTS, OBJECTS);
  talloc_free (store);
}

static void
measure_history_memory (void)
{
  const struct store_config config = { 0 };
  struct store *store = store_new (NULL, &config);
  double before;

  apply_changes (store, 0, OBJECTS, false);
  before = allocated_bytes ();
  apply_changes (store, OBJECTS, 2000, false);
  printf ("history: %.0f bytes a change\n", (allocated_bytes () - before) / 2000);
  before = allocated_bytes ();
  apply_changes (store, OBJECTS + 2000, 4000, true);
  printf ("change id with its answer, and history: %.0f bytes a change\n",
          (allocated_bytes () - before) / 4000);
  talloc_free (store);
}

static void
claim_entry (enum claim_op op, uint32_t number, struct claim_entry *entry)
{
  static const char body[BODY_BYTES];

  memset (entry, 0, sizeof *entry);
  entry->op = op;
  snprintf (entry->host, sizeof entry->host, "host-%u", number % 6);
  text_copy_truncated (entry->holder.host, sizeof entry->holder.host, entry->host);
  entry->holder.epoch = 1;
  entry->time_ms = 1000;
  memcpy (entry->key, &number, sizeof number);
  entry->acquire_id = number;
  entry->retention_ms = RETENTION_MS;
  entry->code = 200;
  text_copy_truncated (entry->outcome, sizeof entry->outcome, "whole");
  if (op == CLAIM_SETTLE)
    {
      entry->body = body;
      entry->body_length = sizeof body;
    }
}

static double
apply_claims (struct claim_machine *claims, enum claim_op op, uint32_t count)
{
  struct machine *machine = claim_machine_machine (claims);
  struct claim_entry entry;
  struct bytes packed;
  struct bytes result;
  double begin = seconds ();
  uint32_t i;

  bytes_init (&packed, NULL);
  bytes_init (&result, NULL);
  for (i = 0; i < count; i++)
    {
      packed.length = 0;
      result.length = 0;
      claim_entry (op, i, &entry);
      claim_entry_pack (&entry, &packed);
      machine->ops->apply (machine, i + 1, packed.data, packed.length, &result);
    }
  bytes_clear (&packed);
  bytes_clear (&result);
  return seconds () - begin;
}

static void
measure_claims (uint32_t count)
{
  const struct claim_machine_config config = { .count_max = count, .answer_bytes_max = 1u << 30 };
  struct claim_machine *claims = claim_machine_new (NULL, &config);
  struct claim_machine *other = claim_machine_new (NULL, &config);
  struct machine *machine = claim_machine_machine (claims);
  struct bytes saved;
  double before = allocated_bytes ();
  double taken = apply_claims (claims, CLAIM_ACQUIRE, count);
  double held = (allocated_bytes () - before) / count;
  double settled;
  double begin;

  INVARIANT (claim_machine_count (claims) == count);
  before = allocated_bytes ();
  settled = apply_claims (claims, CLAIM_SETTLE, count);
  printf ("claims %u: %.0f takes/s, %.0f settles/s of %d bytes, %.0f bytes a claim, %.0f more with "
          "its answer\n",
          count, count / taken, count / settled, BODY_BYTES, held,
          (allocated_bytes () - before) / count);
  bytes_init (&saved, NULL);
  begin = seconds ();
  INVARIANT (machine->ops->save (machine, &saved) == STATUS_OK);
  taken = seconds () - begin;
  begin = seconds ();
  machine = claim_machine_machine (other);
  INVARIANT (machine->ops->load (machine, 1, saved.data, saved.length) == STATUS_OK);
  printf ("claims %u: snapshot %zu bytes, save %.1f ms, load %.1f ms\n", count, saved.length,
          taken * 1e3, (seconds () - begin) * 1e3);
  bytes_clear (&saved);
  talloc_free (claims);
  talloc_free (other);
}

int
main (void)
{
  measure_changes (500);
  measure_changes (8000);
  measure_changes (50000);
  measure_resource_memory ();
  measure_history_memory ();
  measure_claims (10000);
  measure_claims (100000);
  return 0;
}
