/* Bindings of streams to the versions of the targets that began them. */
#include "binding.h"
#include "text.h"
#include <sodium.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

_Static_assert(BINDING_KEY_SIZE >= crypto_generichash_BYTES_MIN
                   && BINDING_KEY_SIZE <= crypto_generichash_BYTES_MAX,
               "BINDING_KEY_SIZE is not a valid size of a BLAKE2b digest");

struct binding_table
{
  struct binding_record *records; /* by key */
  struct binding_record *oldest;  /* list in the order in which they were put */
  uint64_t evicted;
};

void
binding_to (const struct registry_registration *writer, struct binding *out)
{
  *out = (struct binding){
    .started = writer->started_unix_ms,
    .version_known = writer->version_known,
  };
  text_copy_truncated (out->pool, sizeof out->pool, writer->pool);
  text_copy_truncated (out->target, sizeof out->target, writer->id);
  text_copy_truncated (out->version, sizeof out->version, writer->version);
}

bool
binding_allows (const struct binding *binding, const struct registry_registration *target)
{
  if (strcmp (binding->pool, target->pool) != 0)
    return false;
  if (binding->version_known && target->version_known)
    return strcmp (binding->version, target->version) == 0;
  return binding->started == target->started_unix_ms && strcmp (binding->target, target->id) == 0;
}

bool
binding_equal (const struct binding *a, const struct binding *b)
{
  if (strcmp (a->pool, b->pool) != 0)
    return false;
  if (a->version_known && b->version_known)
    return strcmp (a->version, b->version) == 0;
  return a->started == b->started && strcmp (a->target, b->target) == 0;
}

/* The NUL is hashed as well, so that different lists of texts never give the same bytes. */
static void
hash_text (crypto_generichash_state *state, const char *text)
{
  crypto_generichash_update (state, (const unsigned char *) text, strlen (text) + 1);
}

void
binding_key_compute (const char *organisation,
                     const char *route,
                     const char *request,
                     struct binding_key *out)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, sizeof out->bytes);
  hash_text (&state, organisation);
  hash_text (&state, route);
  hash_text (&state, request);
  crypto_generichash_final (&state, out->bytes, sizeof out->bytes);
}

/* uthash: NOLINTBEGIN(readability-function-size) */
static struct binding_record *
find (const struct binding_table *table, const struct binding_key *key)
{
  struct binding_record *record;

  HASH_FIND (hh, table->records, key, sizeof *key, record);
  return record;
}

static void
free_record (struct binding_table *table, struct binding_record *record)
{
  INVARIANT (table->records != NULL);
  HASH_DEL (table->records, record);
  DL_DELETE (table->oldest, record);
  talloc_free (record);
}

static struct binding_record *
add (struct binding_table *table, const struct binding_key *key)
{
  struct binding_record *record = talloc_zero (table, struct binding_record);

  if (record == NULL)
    return NULL;
  record->key = *key;
  HASH_ADD (hh, table->records, key, sizeof record->key, record);
  DL_APPEND (table->oldest, record);
  return record;
}
/* NOLINTEND(readability-function-size) */

static int
free_table (struct binding_table *table)
{
  HASH_CLEAR (hh, table->records);
  return 0;
}

struct binding_table *
binding_table_new (void *parent)
{
  struct binding_table *table = talloc_zero (parent, struct binding_table);

  if (table != NULL)
    talloc_set_destructor (table, free_table);
  return table;
}

static void
make_room (struct binding_table *table, int64_t now)
{
  while (table->oldest != NULL && now >= table->oldest->expires_at)
    free_record (table, table->oldest);
  if (table->oldest == NULL || binding_table_count (table) < BINDINGS_MAX)
    return;
  free_record (table, table->oldest);
  table->evicted++;
}

/* Keeps what began `stored_at` under the key until `expires_at`, at least. */
static void
keep (struct binding_table *table,
      const struct binding_key *key,
      const struct binding *binding,
      int64_t stored_at,
      int64_t expires_at,
      int64_t now)
{
  struct binding_record *record = find (table, key);

  if (record != NULL && now >= record->expires_at)
    {
      free_record (table, record);
      record = NULL;
    }
  if (record == NULL)
    {
      make_room (table, now);
      record = add (table, key);
      if (record == NULL)
        return;
      record->binding = *binding;
      record->stored_at = stored_at;
    }
  else
    {
      DL_DELETE (table->oldest, record);
      DL_APPEND (table->oldest, record);
    }
  if (!binding_equal (&record->binding, binding))
    record->is_ambiguous = true;
  if (!record->binding.version_known)
    record->binding = *binding;
  if (stored_at < record->stored_at)
    record->stored_at = stored_at;
  if (expires_at > record->expires_at)
    record->expires_at = expires_at;
}

int64_t
binding_bound_lifetime (int64_t lifetime)
{
  return lifetime < BINDING_LIFETIME_MAX ? lifetime : BINDING_LIFETIME_MAX;
}

void
binding_table_put (struct binding_table *table,
                   const struct binding_key *key,
                   const struct binding *binding,
                   int64_t lifetime,
                   int64_t now)
{
  keep (table, key, binding, now, now + binding_bound_lifetime (lifetime), now);
}

void
binding_table_restore (struct binding_table *table,
                       const struct binding_key *key,
                       const struct binding *binding,
                       int64_t age,
                       int64_t lifetime,
                       int64_t now)
{
  int64_t expires_at = now - age + binding_bound_lifetime (lifetime);

  if (expires_at > now)
    keep (table, key, binding, now - age, expires_at, now);
}

const struct binding_record *
binding_table_find (const struct binding_table *table, const struct binding_key *key, int64_t now)
{
  const struct binding_record *record = find (table, key);

  return record == NULL || now >= record->expires_at ? NULL : record;
}

uint32_t
binding_table_count (const struct binding_table *table)
{
  return HASH_COUNT (table->records);
}

uint64_t
binding_table_evicted (const struct binding_table *table)
{
  return table->evicted;
}
