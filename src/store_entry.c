/* Encoding and decoding of changes and answers. */
#include "store_entry.h"
#include "store_pack.h"
#include <string.h>

#define CHANGE_FIELDS 12
#define ANSWER_FIELDS 4

static const char *const messages[] = {
#define X(name, code, message) [STORE_##name] = message,
  STORE_VERDICT_LIST (X)
#undef X
};

static const int codes[] = {
#define X(name, code, message) [STORE_##name] = code,
  STORE_VERDICT_LIST (X)
#undef X
};

const char *
store_verdict_message (enum store_verdict verdict)
{
  return (unsigned) verdict < STORE_VERDICT_COUNT ? messages[verdict] : "unknown";
}

int
store_verdict_code (enum store_verdict verdict)
{
  return (unsigned) verdict < STORE_VERDICT_COUNT ? codes[verdict] : 500;
}

void
store_change_pack (const struct store_change *change, struct bytes *out)
{
  uint32_t i;

  pack_array (out, CHANGE_FIELDS);
  pack_uint (out, change->op);
  pack_uint (out, change->kind);
  pack_text (out, change->name);
  pack_binary (out, change->text, change->length);
  pack_array (out, change->n_references * 2);
  for (i = 0; i < change->n_references; i++)
    {
      pack_uint (out, change->references[i].kind);
      pack_text (out, change->references[i].name);
    }
  pack_uint (out, change->has_version);
  pack_uint (out, change->version);
  pack_uint (out, change->retry_on_conflict);
  pack_text (out, change->change_id);
  pack_binary (out, change->body_hash, sizeof change->body_hash);
  pack_text (out, change->host);
  store_pack_time (out, change->time_ms);
}

enum status
store_change_unpack (struct store_change *change, const void *data, size_t length)
{
  struct pack_reader in;
  uint32_t i;

  memset (change, 0, sizeof *change);
  pack_reader_init (&in, data, length);
  if (pack_read_array (&in, CHANGE_FIELDS) != CHANGE_FIELDS)
    in.failed = true;
  change->op = (enum store_op) pack_read_uint (&in, STORE_OP_COUNT - 1);
  change->kind = (enum resource_kind) pack_read_uint (&in, RESOURCE_KIND_COUNT - 1);
  pack_read_text (&in, change->name, sizeof change->name);
  change->text = store_read_data (&in, &change->length);
  change->n_references = pack_read_array (&in, RESOURCE_REFERENCES_MAX * 2) / 2;
  for (i = 0; i < change->n_references; i++)
    {
      change->references[i].kind =
          (enum resource_kind) pack_read_uint (&in, RESOURCE_KIND_COUNT - 1);
      pack_read_text (&in, change->references[i].name, sizeof change->references[i].name);
    }
  change->has_version = pack_read_uint (&in, 1) != 0;
  change->version = pack_read_uint (&in, UINT64_MAX);
  change->retry_on_conflict = pack_read_uint (&in, 1) != 0;
  pack_read_text (&in, change->change_id, sizeof change->change_id);
  store_read_fixed (&in, change->body_hash, sizeof change->body_hash);
  pack_read_text (&in, change->host, sizeof change->host);
  change->time_ms = store_read_time (&in);
  return store_read_end (&in);
}

void
store_answer_pack (const struct store_answer *answer, struct bytes *out)
{
  pack_array (out, ANSWER_FIELDS);
  pack_uint (out, answer->verdict);
  pack_uint (out, answer->resent);
  pack_uint (out, answer->revision);
  pack_binary (out, answer->text, answer->length);
}

enum status
store_answer_unpack (struct store_answer *answer, const void *data, size_t length)
{
  struct pack_reader in;

  memset (answer, 0, sizeof *answer);
  pack_reader_init (&in, data, length);
  if (pack_read_array (&in, ANSWER_FIELDS) != ANSWER_FIELDS)
    in.failed = true;
  answer->verdict = (enum store_verdict) pack_read_uint (&in, STORE_VERDICT_COUNT - 1);
  answer->resent = pack_read_uint (&in, 1) != 0;
  answer->revision = pack_read_uint (&in, UINT64_MAX);
  answer->text = store_read_data (&in, &answer->length);
  return store_read_end (&in);
}
