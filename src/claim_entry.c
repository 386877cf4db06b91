/* Encoding and decoding of claim entries and results. */
#include "claim_entry.h"
#include "store_pack.h"

#define ENTRY_FIELDS 14
#define RESULT_FIELDS 8

void
claim_entry_pack (const struct claim_entry *entry, struct bytes *out)
{
  pack_array (out, ENTRY_FIELDS);
  pack_uint (out, entry->op);
  pack_text (out, entry->holder.host);
  pack_uint (out, entry->holder.epoch);
  pack_text (out, entry->host);
  store_pack_time (out, entry->time_ms);
  pack_binary (out, entry->key, sizeof entry->key);
  pack_uint (out, entry->acquire_id);
  pack_binary (out, entry->body_hash, sizeof entry->body_hash);
  store_pack_time (out, entry->issued_at_ms);
  store_pack_time (out, entry->retention_ms);
  pack_uint (out, entry->code);
  pack_text (out, entry->outcome);
  pack_bool (out, entry->body != NULL);
  pack_binary (out, entry->body, entry->body_length);
}

enum status
claim_entry_unpack (struct claim_entry *entry, const void *data, size_t length)
{
  struct pack_reader in;
  bool has_body;

  memset (entry, 0, sizeof *entry);
  pack_reader_init (&in, data, length);
  if (pack_read_array (&in, ENTRY_FIELDS) != ENTRY_FIELDS)
    in.failed = true;
  entry->op = (enum claim_op) pack_read_uint (&in, CLAIM_OP_COUNT - 1);
  pack_read_text (&in, entry->holder.host, sizeof entry->holder.host);
  entry->holder.epoch = pack_read_uint (&in, UINT64_MAX);
  pack_read_text (&in, entry->host, sizeof entry->host);
  entry->time_ms = store_read_time (&in);
  store_read_fixed (&in, entry->key, sizeof entry->key);
  entry->acquire_id = pack_read_uint (&in, UINT64_MAX);
  store_read_fixed (&in, entry->body_hash, sizeof entry->body_hash);
  entry->issued_at_ms = store_read_time (&in);
  entry->retention_ms = store_read_time (&in);
  entry->code = (uint32_t) pack_read_uint (&in, UINT32_MAX);
  pack_read_text (&in, entry->outcome, sizeof entry->outcome);
  has_body = pack_read_bool (&in);
  entry->body = store_read_data (&in, &entry->body_length);
  if (!has_body)
    entry->body = NULL;
  return store_read_end (&in);
}

void
claim_result_pack (const struct claim_result *result, struct bytes *out)
{
  pack_array (out, RESULT_FIELDS);
  pack_uint (out, result->verdict);
  pack_bool (out, result->fenced);
  pack_text (out, result->holder.host);
  pack_uint (out, result->holder.epoch);
  pack_uint (out, result->code);
  pack_text (out, result->outcome);
  pack_bool (out, result->body_kept);
  pack_binary (out, result->body, result->body_length);
}

enum status
claim_result_unpack (struct claim_result *result, const void *data, size_t length)
{
  struct pack_reader in;

  memset (result, 0, sizeof *result);
  pack_reader_init (&in, data, length);
  if (pack_read_array (&in, RESULT_FIELDS) != RESULT_FIELDS)
    in.failed = true;
  result->verdict = (enum claim_verdict) pack_read_uint (&in, CLAIM_VERDICT_COUNT - 1);
  result->fenced = pack_read_bool (&in);
  pack_read_text (&in, result->holder.host, sizeof result->holder.host);
  result->holder.epoch = pack_read_uint (&in, UINT64_MAX);
  result->code = (uint32_t) pack_read_uint (&in, UINT32_MAX);
  pack_read_text (&in, result->outcome, sizeof result->outcome);
  result->body_kept = pack_read_bool (&in);
  result->body = store_read_data (&in, &result->body_length);
  return store_read_end (&in);
}
