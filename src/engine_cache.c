/* Model of the prefix cache of each model engine. */
#include "engine_cache.h"
#include <stdbool.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>

/* A part in an engine's cache, in a list by last use. */
struct engine_part
{
  uint64_t key;
  uint32_t tokens;
  struct engine_part *prev;
  struct engine_part *next;
  UT_hash_handle hh;
};

/* The number of engines that hold a part. */
struct engine_part_holders
{
  uint64_t key;
  uint32_t engines;
  UT_hash_handle hh;
};

struct engine_caches
{
  struct engine_part_holders *part_holders;
  uint64_t capacity_tokens; /* for shared parts in one engine, 0 when not known */
};

struct engine_cache
{
  struct engine_caches *caches;
  struct engine_part *parts; /* by key */
  struct engine_part *lru;   /* most recently used first */
  uint64_t tokens;
};

static int
free_caches (struct engine_caches *caches)
{
  HASH_CLEAR (hh, caches->part_holders);
  return 0;
}

struct engine_caches *
engine_caches_new (void *parent)
{
  struct engine_caches *caches = talloc_zero (parent, struct engine_caches);

  if (caches != NULL)
    talloc_set_destructor (caches, free_caches);
  return caches;
}

void
engine_caches_set_capacity (struct engine_caches *caches, uint64_t tokens)
{
  caches->capacity_tokens = (uint64_t) (ENGINE_CACHE_SHARED_FRACTION * (double) tokens);
}

/* uthash's macros are long, and the analyzer does not follow them.
 * NOLINTBEGIN(readability-function-size,clang-analyzer-core.NullDereference) */

static void
count_holder (struct engine_caches *caches, uint64_t key, int change)
{
  struct engine_part_holders *holders;

  HASH_FIND (hh, caches->part_holders, &key, sizeof key, holders);
  if (holders == NULL && change > 0)
    {
      holders = talloc_zero (caches, struct engine_part_holders);
      if (holders == NULL)
        return;
      holders->key = key;
      HASH_ADD (hh, caches->part_holders, key, sizeof holders->key, holders);
    }
  if (holders == NULL)
    return;
  holders->engines += (uint32_t) change;
  if (holders->engines > 0)
    return;
  HASH_DEL (caches->part_holders, holders);
  talloc_free (holders);
}

static struct engine_part *
find_part (const struct engine_cache *cache, uint64_t key)
{
  struct engine_part *part;

  HASH_FIND (hh, cache->parts, &key, sizeof key, part);
  return part;
}

static void
drop_part (struct engine_cache *cache, struct engine_part *part)
{
  HASH_DEL (cache->parts, part);
  DL_DELETE (cache->lru, part);
  cache->tokens -= part->tokens;
  count_holder (cache->caches, part->key, -1);
  talloc_free (part);
}

static int
free_cache (struct engine_cache *cache)
{
  while (cache->lru != NULL)
    drop_part (cache, cache->lru);
  return 0;
}

struct engine_cache *
engine_cache_new (struct engine_caches *caches)
{
  struct engine_cache *cache = talloc_zero (caches, struct engine_cache);

  if (cache == NULL)
    return NULL;
  cache->caches = caches;
  talloc_set_destructor (cache, free_cache);
  return cache;
}

static void
touch_part (struct engine_cache *cache, uint64_t key, uint32_t tokens)
{
  uint64_t capacity_tokens = cache->caches->capacity_tokens;
  struct engine_part *part = find_part (cache, key);

  if (part != NULL)
    {
      DL_DELETE (cache->lru, part);
      DL_PREPEND (cache->lru, part);
      return;
    }
  part = talloc_zero (cache, struct engine_part);
  if (part == NULL)
    return;
  part->key = key;
  part->tokens = tokens;
  HASH_ADD (hh, cache->parts, key, sizeof part->key, part);
  DL_PREPEND (cache->lru, part);
  cache->tokens += tokens;
  count_holder (cache->caches, key, 1);
  while (capacity_tokens > 0 && cache->tokens > capacity_tokens && cache->lru->prev != cache->lru)
    drop_part (cache, cache->lru->prev);
}

void
engine_cache_add_prompt (struct engine_cache *cache, const struct engine_prompt *prompt)
{
  for (uint32_t i = 0; i < prompt->n_parts; i++)
    touch_part (cache, prompt->parts[i], prompt->part_tokens[i]);
}

uint32_t
engine_cache_uncached_tokens (const struct engine_cache *cache, const struct engine_prompt *prompt)
{
  uint32_t tokens = 0;
  bool cached = cache != NULL;

  for (uint32_t i = 0; i < prompt->n_parts; i++)
    {
      cached = cached && find_part (cache, prompt->parts[i]) != NULL;
      if (!cached)
        tokens += prompt->part_tokens[i];
    }
  return tokens;
}

uint32_t
engine_cache_tokens_held_elsewhere (const struct engine_caches *caches,
                                    const struct engine_cache *cache,
                                    const struct engine_prompt *prompt)
{
  uint32_t tokens = 0;

  for (uint32_t i = 0; i < prompt->n_parts; i++)
    {
      struct engine_part_holders *holders;

      HASH_FIND (hh, caches->part_holders, &prompt->parts[i], sizeof prompt->parts[i], holders);
      if (holders != NULL && (cache == NULL || find_part (cache, prompt->parts[i]) == NULL))
        tokens += prompt->part_tokens[i];
    }
  return tokens;
}

/* NOLINTEND(readability-function-size,clang-analyzer-core.NullDereference) */
