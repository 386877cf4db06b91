/* The prefix cache of a fake engine: blocks of prompts in limited memory, least recently used out
 * first, and the events it would publish. */
#ifndef FAKE_CACHE_H
#define FAKE_CACHE_H

#include "decls.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define FAKE_BLOCK_BYTES 256
#define FAKE_BLOCK_TOKENS 64

struct fake_cache;

struct fake_cache *fake_cache_new (void *parent, uint32_t blocks_max);

/* The tokens of `prompt` whose blocks are held, from its start. */
uint32_t fake_cache_match (struct fake_cache *cache, const char *prompt, size_t length);

/* Hold the prompt's blocks. */
void fake_cache_store (struct fake_cache *cache, const char *prompt, size_t length);

/* KV that came from another engine, by its blocks' hashes. */
void fake_cache_store_block (struct fake_cache *cache, uint64_t block);

bool fake_cache_holds (const struct fake_cache *cache, uint64_t block);
double fake_cache_used (const struct fake_cache *cache);
void fake_cache_clear (struct fake_cache *cache);

/* The events since the last call, as docs/INTERFACES.md has them, a new reference; NULL when there
 * are none.  `first` takes the number of the first one. */
json_t *fake_cache_take_events (struct fake_cache *cache, uint64_t *first);

END_DECLS

#endif
