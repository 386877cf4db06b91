/* Model of the prefix cache of each model engine: which shared prompt parts it holds.
 *
 * Load pattern: many prompts begin with the same parts; an engine reads a part once and keeps it
 * while it has room.  An engine's real eviction order is not known; least recently used is assumed.
 *
 * Pure. */
#ifndef ENGINE_CACHE_H
#define ENGINE_CACHE_H

#include "decls.h"
#include <stdint.h>

BEGIN_DECLS

#define ENGINE_PARTS_MAX 8

/* The fraction of an engine's cache that is assumed to hold shared parts; running requests take the
 * rest. */
#define ENGINE_CACHE_SHARED_FRACTION 0.6

/* A prompt: cumulative keys and token counts of the parts that it shares with others, and the count
 * of its other tokens. */
struct engine_prompt
{
  uint32_t n_parts;
  uint64_t parts[ENGINE_PARTS_MAX];
  uint32_t part_tokens[ENGINE_PARTS_MAX];
  uint32_t own_tokens;
};

/* The caches of all engines. */
struct engine_caches;

/* The cache of one engine.  Freed with `caches`, or by talloc_free before. */
struct engine_cache;

/* Freed with `parent`.  NULL when out of memory. */
struct engine_caches *engine_caches_new (void *parent);

/* `tokens`: the size of one engine's whole cache, 0 when not known. */
void engine_caches_set_capacity (struct engine_caches *caches, uint64_t tokens);

/* NULL when out of memory. */
struct engine_cache *engine_cache_new (struct engine_caches *caches);

/* Record that the engine reads the prompt and holds its parts from then on. */
void engine_cache_add_prompt (struct engine_cache *cache, const struct engine_prompt *prompt);

/* The shared tokens that the engine would have to read.  A part counts as cached only if all parts
 * before it are.  `cache` NULL: an engine that holds nothing. */
uint32_t engine_cache_uncached_tokens (const struct engine_cache *cache,
                                       const struct engine_prompt *prompt);

/* The shared tokens that this engine does not hold and another one does.  `cache` NULL: an engine
 * that holds nothing. */
uint32_t engine_cache_tokens_held_elsewhere (const struct engine_caches *caches,
                                             const struct engine_cache *cache,
                                             const struct engine_prompt *prompt);

END_DECLS

#endif
