/* Features of requests, and pools, to which targets gave complete answers lately. */
#include "proven_parts.h"
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

struct proven_entry
{
  uint64_t key;
  int64_t at; /* 0: free */
};

struct proven_parts
{
  struct proven_entry entries[PROVEN_PARTS_SETS][PROVEN_PARTS_WAYS];
};

struct proven_parts *
proven_parts_new (void *parent)
{
  return talloc_zero (parent, struct proven_parts);
}

static uint64_t
key_of_part (const struct request_digest *part)
{
  return XXH3_64bits (part->bytes, REQUEST_DIGEST_SIZE);
}

static uint64_t
key_of_pool (const char *pool)
{
  return XXH3_64bits (pool, strlen (pool));
}

static void
note (struct proven_parts *proven, uint64_t key, int64_t at)
{
  struct proven_entry *set = proven->entries[key % PROVEN_PARTS_SETS];
  struct proven_entry *entry = &set[0];

  for (int i = 0; i < PROVEN_PARTS_WAYS && entry->key != key; i++)
    if (set[i].key == key || set[i].at < entry->at)
      entry = &set[i];
  if (entry->key == key && entry->at >= at)
    return;
  *entry = (struct proven_entry){ .key = key, .at = at };
}

/* 0 if none is known. */
static int64_t
last (const struct proven_parts *proven, uint64_t key)
{
  const struct proven_entry *set = proven->entries[key % PROVEN_PARTS_SETS];

  for (int i = 0; i < PROVEN_PARTS_WAYS; i++)
    if (set[i].key == key)
      return set[i].at;
  return 0;
}

void
proven_parts_note (struct proven_parts *proven, const struct request_digest *part, int64_t at)
{
  note (proven, key_of_part (part), at);
}

void
proven_parts_note_pool (struct proven_parts *proven, const char *pool, int64_t at)
{
  note (proven, key_of_pool (pool), at);
}

int64_t
proven_parts_cleared_until (const struct proven_parts *proven, const struct request_digest *part)
{
  int64_t at = last (proven, key_of_part (part));

  return at == 0 ? INT64_MIN : at + PROVEN_PARTS_TTL;
}

bool
proven_parts_may_blame (const struct proven_parts *proven,
                        const char *pool,
                        const struct request_digest *part,
                        int64_t at)
{
  int64_t answered = last (proven, key_of_pool (pool));

  return at > proven_parts_cleared_until (proven, part)
         && (answered == 0 || at - answered <= PROVEN_PARTS_TTL);
}

enum proven_pool
proven_parts_pool (const struct proven_parts *proven, const char *pool, int64_t now)
{
  int64_t answered = last (proven, key_of_pool (pool));

  if (answered == 0)
    return PROVEN_POOL_UNKNOWN;
  return now - answered <= PROVEN_PARTS_TTL ? PROVEN_POOL_ANSWERS : PROVEN_POOL_SILENT;
}
