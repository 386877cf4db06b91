/* The prefix cache of a fake engine: prompt blocks with bounded capacity and LRU eviction, and the
 * events that an engine would publish. */
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

/* Length in tokens of the longest cached prefix of `prompt`. */
uint32_t fake_cache_match (struct fake_cache *cache, const char *prompt, size_t length);

/* Insert the prompt's blocks. */
void fake_cache_store (struct fake_cache *cache, const char *prompt, size_t length);

/* Insert KV blocks imported from another engine, by their hashes. */
void fake_cache_store_block (struct fake_cache *cache, uint64_t block);

bool fake_cache_contains (const struct fake_cache *cache, uint64_t block);
double fake_cache_used (const struct fake_cache *cache);
void fake_cache_clear (struct fake_cache *cache);

/* The events since the last call, in the format of docs/INTERFACES.md.  A new reference, NULL if
 * there are none.  Sets `first` to the number of the first event. */
json_t *fake_cache_take_events (struct fake_cache *cache, uint64_t *first);

END_DECLS

#endif
