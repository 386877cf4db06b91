/* Public keys of hosts.  A key is looked up by hash for each message; the keys of a host are found
 * by a scan, only when trust changes. */
#include "peer_trust.h"
#include "table.h"
#include "text.h"
#include <string.h>
#include <talloc.h>
#include <uthash.h>
#include <zmq.h>

#define KEY_TEXT_LENGTH 40
#define KEY_BYTES 32

struct trusted_key
{
  char host[RESOURCE_NAME_SIZE];
  char public_key[BOARD_KEY_SIZE];
  uint64_t order; /* insertion order */
  UT_hash_handle hh;
};

struct peer_trust
{
  struct table *keys;
  struct trusted_key *by_key; /* by public_key */
  uint64_t added;
};

/* The uthash macros expand to long code; the functions themselves are short.
 * NOLINTBEGIN(readability-function-size) */

static struct trusted_key *
find_key (const struct peer_trust *trust, const char *public_key)
{
  struct trusted_key *key;

  HASH_FIND_STR (trust->by_key, public_key, key);
  return key;
}

static void
insert_key (struct peer_trust *trust, struct trusted_key *key)
{
  HASH_ADD_STR (trust->by_key, public_key, key);
}

static void
remove_key (struct peer_trust *trust, struct handle handle)
{
  struct trusted_key *key = table_get (trust->keys, handle);

  if (key == NULL)
    return;
  HASH_DEL (trust->by_key, key);
  table_remove (trust->keys, handle);
}

/* NOLINTEND(readability-function-size) */

static int
free_trust (struct peer_trust *trust)
{
  HASH_CLEAR (hh, trust->by_key);
  return 0;
}

struct peer_trust *
peer_trust_new (void *parent)
{
  struct peer_trust *trust = talloc_zero (parent, struct peer_trust);

  if (trust == NULL)
    return NULL;
  trust->keys = table_new (trust, sizeof (struct trusted_key), PEER_TRUST_KEYS_MAX);
  if (trust->keys == NULL)
    {
      talloc_free (trust);
      return NULL;
    }
  talloc_set_destructor (trust, free_trust);
  return trust;
}

/* Counts the keys of a host; `oldest` receives the one added first. */
static uint32_t
count_keys (const struct peer_trust *trust, const char *host, struct handle *oldest)
{
  uint64_t order = UINT64_MAX;
  uint32_t count = 0;
  uint32_t cursor = 0;
  struct handle handle = { 0 };
  const struct trusted_key *key;

  while ((key = table_next (trust->keys, &cursor, &handle)) != NULL)
    {
      if (strcmp (key->host, host) != 0)
        continue;
      count++;
      if (key->order < order)
        {
          order = key->order;
          *oldest = handle;
        }
    }
  return count;
}

enum status
peer_trust_add (struct peer_trust *trust, const char *host, const char *public_key)
{
  uint8_t raw[KEY_BYTES];
  struct trusted_key *key;
  struct handle handle = { 0 };

  if (strlen (public_key) != KEY_TEXT_LENGTH || zmq_z85_decode (raw, public_key) == NULL)
    return status_fail (STATUS_INVALID, "public key of host %s is not %d characters of Z85", host,
                        KEY_TEXT_LENGTH);
  key = find_key (trust, public_key);
  if (key != NULL && strcmp (key->host, host) != 0)
    return status_fail (STATUS_CONFLICT, "public key of host %s is that of %s", host, key->host);
  if (key != NULL)
    return STATUS_OK;
  if (count_keys (trust, host, &handle) >= PEER_TRUST_KEYS_PER_HOST)
    remove_key (trust, handle);
  key = table_add (trust->keys, &handle);
  if (key == NULL)
    return status_fail (STATUS_LIMIT, "no room for another host's key");
  text_copy_truncated (key->host, sizeof key->host, host);
  text_copy_truncated (key->public_key, sizeof key->public_key, public_key);
  key->order = trust->added++;
  insert_key (trust, key);
  return STATUS_OK;
}

void
peer_trust_revoke (struct peer_trust *trust, const char *host)
{
  struct handle handle = { 0 };

  while (count_keys (trust, host, &handle) > 0)
    remove_key (trust, handle);
}

const char *
peer_trust_find_host (const struct peer_trust *trust, const char *public_key)
{
  const struct trusted_key *key = find_key (trust, public_key);

  return key == NULL ? NULL : key->host;
}
