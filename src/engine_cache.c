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
struct engine_place
{
  uint64_t key;
  uint32_t engines;
  UT_hash_handle hh;
};

struct engine_caches
{
  struct engine_place *places;
  uint64_t room; /* for shared parts in one engine, in tokens; 0 when not known */
};

struct engine_cache
{
  struct engine_caches *caches;
  struct engine_part *parts; /* by key */
  struct engine_part *used;  /* most recently used first */
  uint64_t tokens;
};

static int
free_caches (struct engine_caches *caches)
{
  HASH_CLEAR (hh, caches->places);
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
engine_caches_set_tokens (struct engine_caches *caches, uint64_t tokens)
{
  caches->room = (uint64_t) (ENGINE_CACHE_SHARE * (double) tokens);
}

/* uthash's macros are long, and the analyzer does not follow them.
 * NOLINTBEGIN(readability-function-size,clang-analyzer-core.NullDereference) */

static void
count_place (struct engine_caches *caches, uint64_t key, int change)
{
  struct engine_place *place;

  HASH_FIND (hh, caches->places, &key, sizeof key, place);
  if (place == NULL && change > 0)
    {
      place = talloc_zero (caches, struct engine_place);
      if (place == NULL)
        return;
      place->key = key;
      HASH_ADD (hh, caches->places, key, sizeof place->key, place);
    }
  if (place == NULL)
    return;
  place->engines += (uint32_t) change;
  if (place->engines > 0)
    return;
  HASH_DEL (caches->places, place);
  talloc_free (place);
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
  DL_DELETE (cache->used, part);
  cache->tokens -= part->tokens;
  count_place (cache->caches, part->key, -1);
  talloc_free (part);
}

static int
free_cache (struct engine_cache *cache)
{
  while (cache->used != NULL)
    drop_part (cache, cache->used);
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
use_part (struct engine_cache *cache, uint64_t key, uint32_t tokens)
{
  uint64_t room = cache->caches->room;
  struct engine_part *part = find_part (cache, key);

  if (part != NULL)
    {
      DL_DELETE (cache->used, part);
      DL_PREPEND (cache->used, part);
      return;
    }
  part = talloc_zero (cache, struct engine_part);
  if (part == NULL)
    return;
  part->key = key;
  part->tokens = tokens;
  HASH_ADD (hh, cache->parts, key, sizeof part->key, part);
  DL_PREPEND (cache->used, part);
  cache->tokens += tokens;
  count_place (cache->caches, key, 1);
  while (room > 0 && cache->tokens > room && cache->used->prev != cache->used)
    drop_part (cache, cache->used->prev);
}

void
engine_cache_use (struct engine_cache *cache, const struct engine_prompt *prompt)
{
  for (uint32_t i = 0; i < prompt->n_parts; i++)
    use_part (cache, prompt->parts[i], prompt->part_tokens[i]);
}

uint32_t
engine_cache_to_read (const struct engine_cache *cache, const struct engine_prompt *prompt)
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
engine_cache_held_elsewhere (const struct engine_caches *caches,
                             const struct engine_cache *cache,
                             const struct engine_prompt *prompt)
{
  uint32_t tokens = 0;

  for (uint32_t i = 0; i < prompt->n_parts; i++)
    {
      struct engine_place *place;

      HASH_FIND (hh, caches->places, &prompt->parts[i], sizeof prompt->parts[i], place);
      if (place != NULL && (cache == NULL || find_part (cache, prompt->parts[i]) == NULL))
        tokens += prompt->part_tokens[i];
    }
  return tokens;
}

/* NOLINTEND(readability-function-size,clang-analyzer-core.NullDereference) */
