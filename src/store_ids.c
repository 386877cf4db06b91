/* Recent change ids. */
#include "store_ids.h"
#include <string.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>

#define ID_FIELDS 4

struct store_id
{
  UT_hash_handle hh;
  struct store_id *prev;
  struct store_id *next;
  int64_t added_ms;
  uint8_t body_hash[STORE_BODY_HASH_SIZE];
  struct bytes answer;
  char change_id[]; /* including the NUL */
};

struct store_ids
{
  struct store_ids_config config;
  struct store_id *by_id;
  struct store_id *oldest;
  uint32_t count;
  size_t bytes;
};

/* uthash does not allocate from talloc. */
static int
ids_destroy (struct store_ids *ids)
{
  HASH_CLEAR (hh, ids->by_id);
  return 0;
}

struct store_ids *
store_ids_new (void *parent, const struct store_ids_config *config)
{
  struct store_ids *ids = talloc_zero (parent, struct store_ids);

  if (ids == NULL)
    return NULL;
  ids->config = *config;
  talloc_set_destructor (ids, ids_destroy);
  return ids;
}

static void
drop_oldest (struct store_ids *ids)
{
  struct store_id *id = ids->oldest;

  INVARIANT (ids->by_id != NULL);
  HASH_DEL (ids->by_id, id);
  DL_DELETE (ids->oldest, id);
  ids->count--;
  ids->bytes -= id->answer.length;
  talloc_free (id);
}

void
store_ids_expire (struct store_ids *ids, int64_t now_ms)
{
  while (ids->oldest != NULL && ids->oldest->added_ms + ids->config.retention_ms <= now_ms)
    drop_oldest (ids);
}

/* uthash's macros are long; the functions are not.
 * NOLINTBEGIN(readability-function-size) */
const struct bytes *
store_ids_find (const struct store_ids *ids,
                const char *change_id,
                const uint8_t body_hash[STORE_BODY_HASH_SIZE],
                bool *same_body)
{
  struct store_id *id;

  HASH_FIND_STR (ids->by_id, change_id, id);
  if (id == NULL)
    return NULL;
  *same_body = memcmp (id->body_hash, body_hash, sizeof id->body_hash) == 0;
  return &id->answer;
}

bool
store_ids_is_full (const struct store_ids *ids)
{
  return ids->count >= ids->config.count_max || ids->bytes >= ids->config.bytes_max;
}

void
store_ids_add (struct store_ids *ids,
               const char *change_id,
               const uint8_t body_hash[STORE_BODY_HASH_SIZE],
               int64_t now_ms,
               const void *answer,
               size_t length)
{
  size_t id_size = strlen (change_id) + 1;
  struct store_id *id = talloc_zero_size (ids, sizeof *id + id_size);

  /* Abort: a replica without this id would diverge from the others. */
  INVARIANT (id != NULL);
  memcpy (id->change_id, change_id, id_size);
  memcpy (id->body_hash, body_hash, sizeof id->body_hash);
  id->added_ms = now_ms;
  bytes_init (&id->answer, id);
  bytes_append (&id->answer, answer, length);
  INVARIANT (!bytes_has_failed (&id->answer));
  HASH_ADD_STR (ids->by_id, change_id, id);
  DL_APPEND (ids->oldest, id);
  ids->count++;
  ids->bytes += length;
}
/* NOLINTEND(readability-function-size) */

uint32_t
store_ids_count (const struct store_ids *ids)
{
  return ids->count;
}

void
store_ids_clear (struct store_ids *ids)
{
  while (ids->oldest != NULL)
    drop_oldest (ids);
}

void
store_ids_save (const struct store_ids *ids, struct bytes *out)
{
  const struct store_id *id;

  pack_array (out, ids->count);
  DL_FOREACH (ids->oldest, id)
    {
      pack_array (out, ID_FIELDS);
      pack_text (out, id->change_id);
      pack_binary (out, id->body_hash, sizeof id->body_hash);
      store_pack_time (out, id->added_ms);
      pack_binary (out, id->answer.data, id->answer.length);
    }
}

void
store_ids_load (struct store_ids *ids, struct pack_reader *in)
{
  uint32_t count = pack_read_array (in, ids->config.count_max);
  uint32_t i;

  for (i = 0; i < count && !in->failed; i++)
    {
      char change_id[STORE_CHANGE_ID_SIZE];
      uint8_t body_hash[STORE_BODY_HASH_SIZE];
      int64_t added_ms;
      const void *answer;
      size_t length;

      if (pack_read_array (in, ID_FIELDS) != ID_FIELDS)
        in->failed = true;
      pack_read_text (in, change_id, sizeof change_id);
      store_read_fixed (in, body_hash, sizeof body_hash);
      added_ms = store_read_time (in);
      answer = store_read_data (in, &length);
      if (!in->failed)
        store_ids_add (ids, change_id, body_hash, added_ms, answer, length);
    }
}
