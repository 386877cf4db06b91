/* Which shared parts of prompts each model engine holds.
 *
 * Load pattern: many prompts begin with the same parts, an engine reads a part once and keeps it
 * while it has room.  An engine's own order of giving parts up is not known; the least used goes
 * first.
 *
 * Pure. */
#ifndef ENGINE_CACHE_H
#define ENGINE_CACHE_H

#include "decls.h"
#include <stdint.h>

BEGIN_DECLS

#define ENGINE_PARTS_MAX 8

/* Of an engine's cache so much is taken to hold shared parts; the rest is running requests. */
#define ENGINE_CACHE_SHARE 0.6

/* A prompt: cumulative keys of the parts that it shares, and all its tokens. */
struct engine_prompt
{
  uint32_t n_parts;
  uint64_t parts[ENGINE_PARTS_MAX];
  uint32_t part_tokens[ENGINE_PARTS_MAX];
  uint32_t own_tokens;
};

/* Those of all engines. */
struct engine_caches;

/* One engine's.  Freed with `caches`, or by talloc_free before.  NULL when memory is out. */
struct engine_cache;

/* Freed with `parent`.  NULL when memory is out. */
struct engine_caches *engine_caches_new (void *parent);

/* `tokens` of one engine's whole cache, 0 when not known. */
void engine_caches_set_tokens (struct engine_caches *caches, uint64_t tokens);

struct engine_cache *engine_cache_new (struct engine_caches *caches);

/* The engine reads the prompt, and holds its parts then. */
void engine_cache_use (struct engine_cache *cache, const struct engine_prompt *prompt);

/* Shared tokens that the engine would have to read: a part counts as cached only if all before it
 * are.  NULL is an engine that holds nothing. */
uint32_t engine_cache_to_read (const struct engine_cache *cache,
                               const struct engine_prompt *prompt);

/* Shared tokens that it does not hold and another engine does. */
uint32_t engine_cache_held_elsewhere (const struct engine_caches *caches,
                                      const struct engine_cache *cache,
                                      const struct engine_prompt *prompt);

END_DECLS

#endif
