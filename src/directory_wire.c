/* Encoding and decoding of the directory's messages. */
#include "directory_wire.h"
#include "text.h"
#include <string.h>

#define SLOTS_MAX BOARD_TARGETS_MAX

static const char *const phases[] = {
#define X(name, text) [DIRECTORY_##name] = text,
  DIRECTORY_PHASE_LIST (X)
#undef X
};

const char *
directory_phase_text (enum directory_phase phase)
{
  return (unsigned) phase < DIRECTORY_PHASE_COUNT ? phases[phase] : "unknown";
}

void
directory_write_request (struct bytes *out, const struct directory_request_message *request)
{
  pack_uint (out, DIRECTORY_REQUEST_MESSAGE);
  pack_uint (out, request->requested_at);
  pack_uint (out, request->epoch);
  pack_uint (out, request->version);
  pack_uint (out, request->base);
  pack_array (out, request->n_interest);
  for (uint32_t i = 0; i < request->n_interest; i++)
    pack_uint (out, request->interest[i]);
}

bool
directory_read_request (struct pack_reader *reader, struct directory_request_message *request)
{
  request->requested_at = pack_read_uint (reader, INT64_MAX);
  request->epoch = pack_read_uint (reader, UINT64_MAX);
  request->version = pack_read_uint (reader, UINT64_MAX);
  request->base = pack_read_uint (reader, UINT64_MAX);
  request->n_interest = pack_read_array (reader, DIRECTORY_INTEREST_MAX);
  for (uint32_t i = 0; i < request->n_interest; i++)
    request->interest[i] = (uint32_t) pack_read_uint (reader, SLOTS_MAX - 1);
  return pack_read_is_complete (reader);
}

void
directory_write_head (struct bytes *out, const struct directory_head *head)
{
  pack_uint (out, head->kind);
  pack_uint (out, head->requested_at);
  pack_uint (out, head->epoch);
  pack_uint (out, head->since);
  pack_uint (out, head->version);
  pack_uint (out, head->current);
  pack_uint (out, head->lease_ms);
  pack_bool (out, head->reset);
  pack_array (out, head->n_exceptions);
  for (uint32_t i = 0; i < head->n_exceptions; i++)
    {
      pack_uint (out, head->exceptions[i].slot);
      pack_uint (out, head->exceptions[i].remaining_ms);
    }
  pack_array (out, head->n_loads);
  for (uint32_t i = 0; i < head->n_loads; i++)
    {
      pack_uint (out, head->loads[i].slot);
      pack_uint (out, head->loads[i].age_ms);
      pack_uint (out, head->loads[i].running);
      pack_uint (out, head->loads[i].waiting);
      pack_uint (out, head->loads[i].kv_percent);
    }
  pack_array (out, head->n_changes);
}

bool
directory_read_head (struct pack_reader *reader, struct directory_head *head)
{
  head->requested_at = pack_read_uint (reader, INT64_MAX);
  head->epoch = pack_read_uint (reader, UINT64_MAX);
  head->since = pack_read_uint (reader, UINT64_MAX);
  head->version = pack_read_uint (reader, UINT64_MAX);
  head->current = pack_read_uint (reader, UINT64_MAX);
  head->lease_ms = (uint32_t) pack_read_uint (reader, DIRECTORY_ANSWER_LEASE / USEC_PER_MSEC);
  head->reset = pack_read_bool (reader);
  head->n_exceptions = pack_read_array (reader, DIRECTORY_EXCEPTIONS_MAX);
  for (uint32_t i = 0; i < head->n_exceptions; i++)
    {
      head->exceptions[i].slot = (uint32_t) pack_read_uint (reader, SLOTS_MAX - 1);
      head->exceptions[i].remaining_ms =
          (uint32_t) pack_read_uint (reader, DIRECTORY_LEASE / USEC_PER_MSEC);
      if (i > 0 && head->exceptions[i].slot <= head->exceptions[i - 1].slot)
        reader->failed = true;
    }
  head->n_loads = pack_read_array (reader, DIRECTORY_LOADS_MAX);
  for (uint32_t i = 0; i < head->n_loads; i++)
    {
      head->loads[i].slot = (uint32_t) pack_read_uint (reader, SLOTS_MAX - 1);
      head->loads[i].age_ms = (uint32_t) pack_read_uint (reader, UINT32_MAX);
      head->loads[i].running = (uint32_t) pack_read_uint (reader, UINT32_MAX);
      head->loads[i].waiting = (uint32_t) pack_read_uint (reader, UINT32_MAX);
      head->loads[i].kv_percent = (uint32_t) pack_read_uint (reader, 100);
    }
  head->n_changes = pack_read_array (reader, DIRECTORY_CHANGES_MAX);
  return pack_read_is_ok (reader);
}

static void
write_names (struct bytes *out, const char names[][RESOURCE_NAME_SIZE], uint32_t count)
{
  pack_array (out, count);
  for (uint32_t i = 0; i < count; i++)
    pack_text (out, names[i]);
}

static uint32_t
read_names (struct pack_reader *reader, char names[][RESOURCE_NAME_SIZE])
{
  uint32_t count = pack_read_array (reader, BOARD_MODELS_MAX);

  for (uint32_t i = 0; i < count; i++)
    pack_read_text (reader, names[i], RESOURCE_NAME_SIZE);
  return count;
}

void
directory_write_change (struct bytes *out,
                        const struct directory_change *change,
                        const struct board_target *target)
{
  pack_uint (out, change->slot);
  pack_uint (out, change->version);
  pack_uint (out, change->phase);
  pack_text (out, change->record.name);
  pack_uint (out, change->record.incarnation);
  pack_uint (out, change->record.sequence);
  if (change->phase == DIRECTORY_GONE)
    return;
  pack_text (out, target->pool);
  pack_text (out, target->domain);
  pack_text (out, target->address);
  pack_uint (out, target->kind);
  write_names (out, target->models, target->n_models);
  write_names (out, target->adapters, target->n_adapters);
  pack_text (out, target->version);
  pack_bool (out, target->checks_orders);
  pack_bool (out, target->reports_load);
  pack_uint (out, target->slots);
}

bool
directory_read_change (struct pack_reader *reader, struct directory_change *change)
{
  struct directory_record *record = &change->record;

  memset (change, 0, sizeof *change);
  change->slot = (uint32_t) pack_read_uint (reader, SLOTS_MAX - 1);
  change->version = pack_read_uint (reader, UINT64_MAX);
  change->phase = (enum directory_phase) pack_read_uint (reader, DIRECTORY_PHASE_COUNT - 1);
  pack_read_text (reader, record->name, sizeof record->name);
  record->incarnation = pack_read_uint (reader, UINT64_MAX);
  record->sequence = pack_read_uint (reader, UINT64_MAX);
  if (change->phase == DIRECTORY_GONE)
    return pack_read_is_ok (reader) && record->name[0] != '\0';
  pack_read_text (reader, record->pool, sizeof record->pool);
  pack_read_text (reader, record->domain, sizeof record->domain);
  pack_read_text (reader, record->address, sizeof record->address);
  record->kind = (enum stage_kind) pack_read_uint (reader, STAGE_KIND_COUNT - 1);
  record->n_models = read_names (reader, record->models);
  record->n_adapters = read_names (reader, record->adapters);
  pack_read_text (reader, record->version, sizeof record->version);
  record->checks_orders = pack_read_bool (reader);
  record->reports_load = pack_read_bool (reader);
  record->slots = (uint32_t) pack_read_uint (reader, UINT32_MAX);
  return pack_read_is_ok (reader) && record->name[0] != '\0';
}
