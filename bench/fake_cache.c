/* Each block's hash is chained to the previous one, so it identifies the whole prefix up to the
 * block's end. */
#include "fake_cache.h"
#include "status.h"
#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

/* On overflow the buffered events are lost, as in a real engine's queue. */
#define EVENTS_MAX 4096

struct cache_block
{
  uint64_t hash;
  struct cache_block *prev;
  struct cache_block *next;
  UT_hash_handle hh;
};

struct cache_event
{
  uint64_t block;
  bool stored;
};

struct fake_cache
{
  struct cache_block *by_hash;
  struct cache_block *by_use; /* least recently used first */
  uint32_t count;
  uint32_t blocks_max;
  struct cache_event events[EVENTS_MAX];
  uint32_t n_events;
  uint64_t event_number; /* of events[0] */
};

static int
free_blocks (struct fake_cache *cache)
{
  HASH_CLEAR (hh, cache->by_hash);
  return 0;
}

struct fake_cache *
fake_cache_new (void *parent, uint32_t blocks_max)
{
  struct fake_cache *cache = talloc_zero (parent, struct fake_cache);

  cache->blocks_max = blocks_max;
  talloc_set_destructor (cache, free_blocks);
  return cache;
}

static void
publish (struct fake_cache *cache, uint64_t block, bool stored)
{
  if (cache->n_events == EVENTS_MAX)
    {
      cache->event_number += EVENTS_MAX;
      cache->n_events = 0;
    }
  cache->events[cache->n_events++] = (struct cache_event){ .block = block, .stored = stored };
}

/* The functions are short; uthash's macros expand to long code.
 * NOLINTBEGIN(readability-function-size) */
static struct cache_block *
find (const struct fake_cache *cache, uint64_t hash)
{
  struct cache_block *block;

  HASH_FIND (hh, cache->by_hash, &hash, sizeof hash, block);
  return block;
}

static void
evict (struct fake_cache *cache, struct cache_block *block)
{
  INVARIANT (cache->by_hash);
  publish (cache, block->hash, false);
  HASH_DEL (cache->by_hash, block);
  DL_DELETE (cache->by_use, block);
  cache->count--;
  talloc_free (block);
}

static void
touch (struct fake_cache *cache, struct cache_block *block)
{
  DL_DELETE (cache->by_use, block);
  DL_APPEND (cache->by_use, block);
}

void
fake_cache_store_block (struct fake_cache *cache, uint64_t hash)
{
  struct cache_block *block = find (cache, hash);

  if (cache->blocks_max == 0)
    return;
  if (block)
    {
      touch (cache, block);
      return;
    }
  if (cache->by_use && cache->count == cache->blocks_max)
    evict (cache, cache->by_use);
  block = talloc_zero (cache, struct cache_block);
  block->hash = hash;
  HASH_ADD (hh, cache->by_hash, hash, sizeof block->hash, block);
  DL_APPEND (cache->by_use, block);
  cache->count++;
  publish (cache, hash, true);
}

/* NOLINTEND(readability-function-size) */

uint32_t
fake_cache_match (struct fake_cache *cache, const char *prompt, size_t length)
{
  uint64_t hash = 0;
  uint32_t matched = 0;

  for (size_t at = 0; at + FAKE_BLOCK_BYTES <= length; at += FAKE_BLOCK_BYTES)
    {
      struct cache_block *block;

      hash = XXH3_64bits_withSeed (prompt + at, FAKE_BLOCK_BYTES, hash);
      block = find (cache, hash);
      if (!block)
        break;
      touch (cache, block);
      matched++;
    }
  return matched * FAKE_BLOCK_TOKENS;
}

void
fake_cache_store (struct fake_cache *cache, const char *prompt, size_t length)
{
  uint64_t hash = 0;

  for (size_t at = 0; at + FAKE_BLOCK_BYTES <= length; at += FAKE_BLOCK_BYTES)
    {
      hash = XXH3_64bits_withSeed (prompt + at, FAKE_BLOCK_BYTES, hash);
      fake_cache_store_block (cache, hash);
    }
}

bool
fake_cache_contains (const struct fake_cache *cache, uint64_t block)
{
  return find (cache, block) != NULL;
}

double
fake_cache_used (const struct fake_cache *cache)
{
  return cache->blocks_max > 0 ? (double) cache->count / cache->blocks_max : 0;
}

void
fake_cache_clear (struct fake_cache *cache)
{
  while (cache->by_use)
    evict (cache, cache->by_use);
}

json_t *
fake_cache_take_events (struct fake_cache *cache, uint64_t *first)
{
  json_t *events;

  if (cache->n_events == 0)
    return NULL;
  events = json_array ();
  for (uint32_t i = 0; i < cache->n_events; i++)
    {
      char text[17];

      snprintf (text, sizeof text, "%016" PRIx64, cache->events[i].block);
      json_array_append_new (
          events, json_pack ("{s:s, s:b}", "block", text, "stored", cache->events[i].stored));
    }
  *first = cache->event_number;
  cache->event_number += cache->n_events;
  cache->n_events = 0;
  return events;
}
