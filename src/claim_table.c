/* The tables of holders and claims. */
#include "claim_table.h"
#include "text.h"
#include <talloc.h>
#include <utlist.h>

#define HOST_FIELDS 4
#define RECORD_FIELDS 13

static int
table_destroy (struct claim_table *table)
{
  HASH_CLEAR (hh, table->hosts_by_name);
  HASH_CLEAR (hh, table->by_key);
  return 0;
}

struct claim_table *
claim_table_new (void *parent, uint32_t records_max, uint32_t hosts_max)
{
  struct claim_table *table = talloc_zero (parent, struct claim_table);

  if (table == NULL)
    return NULL;
  table->host_entries = table_new (table, sizeof (struct claim_host), hosts_max);
  table->record_entries = table_new (table, sizeof (struct claim_record), records_max);
  talloc_set_destructor (table, table_destroy);
  if (table->host_entries != NULL && table->record_entries != NULL)
    return table;
  talloc_free (table);
  return NULL;
}

/* uthash's macros are long; the functions are not.
 * NOLINTBEGIN(readability-function-size) */
static void
drop_host (struct claim_table *table, struct claim_host *host)
{
  INVARIANT (table->hosts_by_name != NULL);
  HASH_DEL (table->hosts_by_name, host);
  DL_DELETE (table->hosts, host);
  talloc_free (host->abandoned);
  table_remove (table->host_entries, host->handle);
}

/* Drop the least recently used host that no claim refers to.  If that host returns, it is added
 * again. */
static void
evict_host (struct claim_table *table)
{
  struct claim_host *host;

  DL_FOREACH (table->hosts, host)
    if (host->n_claims == 0)
      break;
  if (host != NULL)
    drop_host (table, host);
}

static struct claim_host *
add_host (struct claim_table *table, const char *name)
{
  struct handle handle;
  struct claim_host *host = table_add (table->host_entries, &handle);

  if (host == NULL)
    {
      evict_host (table);
      host = table_add (table->host_entries, &handle);
    }
  if (host == NULL)
    return NULL;
  host->handle = handle;
  text_copy_truncated (host->name, sizeof host->name, name);
  HASH_ADD_STR (table->hosts_by_name, name, host);
  DL_APPEND (table->hosts, host);
  return host;
}

static struct claim_host *
find_host (const struct claim_table *table, const char *name)
{
  struct claim_host *host;

  HASH_FIND_STR (table->hosts_by_name, name, host);
  return host;
}

struct claim_host *
claim_table_get_host (struct claim_table *table, const char *name)
{
  struct claim_host *host = find_host (table, name);

  if (host == NULL)
    return add_host (table, name);
  DL_DELETE (table->hosts, host);
  DL_APPEND (table->hosts, host);
  return host;
}

void
claim_table_add_abandoned (struct claim_table *table,
                           struct claim_host *host,
                           uint64_t epoch,
                           uint64_t acquire_id)
{
  if (host->abandoned == NULL)
    host->abandoned = talloc_zero_array (table, struct claim_abandoned, CLAIM_ABANDONED_MAX);
  INVARIANT (host->abandoned != NULL);
  host->abandoned[host->next_abandoned] =
      (struct claim_abandoned){ .epoch = epoch, .acquire_id = acquire_id };
  host->next_abandoned = (host->next_abandoned + 1) % CLAIM_ABANDONED_MAX;
  if (host->n_abandoned < CLAIM_ABANDONED_MAX)
    host->n_abandoned++;
}

bool
claim_table_is_abandoned (const struct claim_host *host, uint64_t epoch, uint64_t acquire_id)
{
  uint32_t i;

  for (i = 0; i < host->n_abandoned; i++)
    if (host->abandoned[i].acquire_id == acquire_id && host->abandoned[i].epoch == epoch)
      return true;
  return false;
}

struct claim_record *
claim_table_find (const struct claim_table *table, const uint8_t key[CLAIM_KEY_SIZE])
{
  struct claim_record *record;

  HASH_FIND (hh, table->by_key, key, CLAIM_KEY_SIZE, record);
  return record;
}

struct claim_record *
claim_table_add (struct claim_table *table,
                 const uint8_t key[CLAIM_KEY_SIZE],
                 struct claim_host *host)
{
  struct handle handle;
  struct claim_record *record = table_add (table->record_entries, &handle);

  if (record == NULL)
    return NULL;
  record->handle = handle;
  record->host = host;
  host->n_claims++;
  memcpy (record->key, key, sizeof record->key);
  HASH_ADD (hh, table->by_key, key, CLAIM_KEY_SIZE, record);
  DL_APPEND (table->live, record);
  table->count++;
  return record;
}

/* The caller has removed the record from its list. */
static void
remove_record (struct claim_table *table, struct claim_record *record)
{
  INVARIANT (table->by_key != NULL);
  HASH_DEL (table->by_key, record);
  claim_table_drop_body (table, record);
  record->host->n_claims--;
  table->count--;
  table_remove (table->record_entries, record->handle);
}
/* NOLINTEND(readability-function-size) */

void
claim_table_set_host (struct claim_record *record, struct claim_host *host)
{
  record->host->n_claims--;
  record->host = host;
  host->n_claims++;
}

void
claim_table_set_body (struct claim_table *table,
                      struct claim_record *record,
                      const void *body,
                      size_t length)
{
  claim_table_drop_body (table, record);
  record->body_kept = true;
  if (length == 0)
    return;
  record->body = talloc_memdup (table, body, length);
  /* Abort: a replica without this answer would diverge from the others. */
  INVARIANT (record->body != NULL);
  record->body_length = (uint32_t) length;
  table->answer_bytes += length;
}

void
claim_table_drop_body (struct claim_table *table, struct claim_record *record)
{
  table->answer_bytes -= record->body_length;
  talloc_free (record->body);
  record->body = NULL;
  record->body_length = 0;
  record->body_kept = false;
}

void
claim_table_renew (struct claim_table *table, struct claim_record *record, int64_t expires_ms)
{
  DL_DELETE (table->live, record);
  record->expires_ms = expires_ms;
  DL_APPEND (table->live, record);
}

void
claim_table_expire (struct claim_table *table, int64_t now_ms)
{
  struct claim_record *record;

  while ((record = table->expired) != NULL && record->expires_ms <= now_ms)
    {
      DL_DELETE (table->expired, record);
      remove_record (table, record);
    }
  while ((record = table->live) != NULL && record->expires_ms <= now_ms)
    {
      DL_DELETE (table->live, record);
      if (record->state == CLAIM_STATE_RELEASED)
        {
          remove_record (table, record);
          continue;
        }
      claim_table_drop_body (table, record);
      record->state = CLAIM_STATE_EXPIRED;
      record->expires_ms += record->retention_ms;
      DL_APPEND (table->expired, record);
    }
}

void
claim_table_clear (struct claim_table *table)
{
  struct claim_record *record;
  struct claim_host *host;

  while ((record = table->live) != NULL)
    {
      DL_DELETE (table->live, record);
      remove_record (table, record);
    }
  while ((record = table->expired) != NULL)
    {
      DL_DELETE (table->expired, record);
      remove_record (table, record);
    }
  while ((host = table->hosts) != NULL)
    drop_host (table, host);
}

static void
save_host (const struct claim_host *host, struct bytes *out)
{
  uint32_t first = host->n_abandoned < CLAIM_ABANDONED_MAX ? 0 : host->next_abandoned;
  uint32_t i;

  pack_array (out, HOST_FIELDS);
  pack_text (out, host->name);
  pack_uint (out, host->epoch);
  pack_uint (out, host->dead_epoch_max);
  pack_array (out, host->n_abandoned * 2);
  for (i = 0; i < host->n_abandoned; i++)
    {
      const struct claim_abandoned *one = &host->abandoned[(first + i) % CLAIM_ABANDONED_MAX];

      pack_uint (out, one->epoch);
      pack_uint (out, one->acquire_id);
    }
}

static void
save_record (const struct claim_record *record, struct bytes *out)
{
  pack_array (out, RECORD_FIELDS);
  pack_binary (out, record->key, sizeof record->key);
  pack_text (out, record->host->name);
  pack_uint (out, record->epoch);
  pack_uint (out, record->acquire_id);
  store_pack_time (out, record->expires_ms);
  store_pack_time (out, record->retention_ms);
  pack_uint (out, record->state);
  pack_uint (out, record->code);
  pack_text (out, record->outcome);
  pack_binary (out, record->body_hash, sizeof record->body_hash);
  pack_bool (out, record->body_kept);
  pack_binary (out, record->body, record->body_length);
  pack_bool (out, record->state == CLAIM_STATE_EXPIRED);
}

void
claim_table_save (const struct claim_table *table, struct bytes *out)
{
  const struct claim_host *host;
  const struct claim_record *record;

  pack_array (out, table_count (table->host_entries));
  DL_FOREACH (table->hosts, host)
    save_host (host, out);
  pack_array (out, table->count);
  DL_FOREACH (table->live, record)
    save_record (record, out);
  DL_FOREACH (table->expired, record)
    save_record (record, out);
}

static void
load_host (struct claim_table *table, struct pack_reader *in)
{
  char name[RESOURCE_NAME_SIZE];
  struct claim_host *host;
  uint32_t count;

  if (pack_read_array (in, HOST_FIELDS) != HOST_FIELDS)
    in->failed = true;
  pack_read_text (in, name, sizeof name);
  host = in->failed ? NULL : claim_table_get_host (table, name);
  if (host == NULL)
    {
      in->failed = true;
      return;
    }
  host->epoch = pack_read_uint (in, UINT64_MAX);
  host->dead_epoch_max = pack_read_uint (in, UINT64_MAX);
  for (count = pack_read_array (in, CLAIM_ABANDONED_MAX * 2) / 2; count > 0; count--)
    {
      uint64_t epoch = pack_read_uint (in, UINT64_MAX);
      uint64_t acquire_id = pack_read_uint (in, UINT64_MAX);

      if (!in->failed)
        claim_table_add_abandoned (table, host, epoch, acquire_id);
    }
}

/* A record whose host is not in the table is refused: adding the host here would change the saved
 * order of use. */
static struct claim_record *
load_new_record (struct claim_table *table, struct pack_reader *in)
{
  uint8_t key[CLAIM_KEY_SIZE];
  char name[RESOURCE_NAME_SIZE];
  struct claim_host *host = NULL;

  if (pack_read_array (in, RECORD_FIELDS) != RECORD_FIELDS)
    in->failed = true;
  store_read_fixed (in, key, sizeof key);
  pack_read_text (in, name, sizeof name);
  if (!in->failed)
    host = find_host (table, name);
  if (host == NULL || claim_table_find (table, key) != NULL)
    return NULL;
  return claim_table_add (table, key, host);
}

static void
load_record (struct claim_table *table, struct pack_reader *in)
{
  struct claim_record *record = load_new_record (table, in);
  const void *body;
  size_t length;
  bool kept;

  if (record == NULL)
    {
      in->failed = true;
      return;
    }
  record->epoch = pack_read_uint (in, UINT64_MAX);
  record->acquire_id = pack_read_uint (in, UINT64_MAX);
  record->expires_ms = store_read_time (in);
  record->retention_ms = store_read_time (in);
  record->state = (uint8_t) pack_read_uint (in, CLAIM_STATE_COUNT - 1);
  record->code = (uint16_t) pack_read_uint (in, UINT16_MAX);
  pack_read_text (in, record->outcome, sizeof record->outcome);
  store_read_fixed (in, record->body_hash, sizeof record->body_hash);
  kept = pack_read_bool (in);
  body = store_read_data (in, &length);
  if (kept && !in->failed)
    claim_table_set_body (table, record, body, length);
  if (pack_read_bool (in))
    {
      DL_DELETE (table->live, record);
      DL_APPEND (table->expired, record);
    }
}

void
claim_table_load (struct claim_table *table, struct pack_reader *in)
{
  uint32_t count = pack_read_array (in, UINT32_MAX);
  uint32_t i;

  claim_table_clear (table);
  for (i = 0; i < count && !in->failed; i++)
    load_host (table, in);
  count = pack_read_array (in, UINT32_MAX);
  for (i = 0; i < count && !in->failed; i++)
    load_record (table, in);
}
