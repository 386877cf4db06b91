/* Prefix locality: the assumed contents of targets' caches, from this host's routing, from cache
 * events, and from the cached token counts in answers. */
#include "decide_state.h"
#include <math.h>

#define SAMPLE_WEIGHT 0.05   /* of a new sample */
#define HASHED_SHARE_MIN 0.5 /* of the hashed blocks; with less of them cached, no sample */

static bool
has_prefix (const struct decide *decide, const struct decide_request *request)
{
  const struct stage_spec *spec = decide_stage_spec (decide, request);

  return spec != NULL && spec->kind == STAGE_GENERATE && request->n_prefix > 0;
}

/* Estimated cached tokens when the first `blocks` hashed blocks are cached.  Only the first blocks
 * of a long prompt are hashed; when all of them are cached, a learned share of the remaining tokens
 * is counted as well. */
uint32_t
decide_prefix_tokens (const struct decide_pool *pool,
                      const struct decide_request *request,
                      uint32_t blocks,
                      uint32_t tokens)
{
  uint32_t hashed = request->n_prefix * DECIDE_BLOCK_TOKENS;
  uint32_t held = blocks * DECIDE_BLOCK_TOKENS;

  if (request->n_prefix == DECIDE_PREFIX_BLOCKS
      && blocks + 2 * PREFIX_SAMPLING >= DECIDE_PREFIX_BLOCKS && tokens > hashed)
    held += (uint32_t) (pool->unhashed_cached_share * (tokens - hashed));
  return held < tokens ? held : tokens;
}

/* Records the prefix when the attempt starts, before any cache event: the target will have it
 * cached after the prefill. */
void
decide_prefix_started (struct decide *decide,
                       const struct decide_request *request,
                       struct handle target,
                       int64_t now)
{
  uint32_t i;

  if (!has_prefix (decide, request))
    return;
  for (i = 0; i < request->n_prefix; i++)
    prefix_add (decide->prefixes, request->prefix[i], target, now);
}

/* The target has processed the prompt, so the prefix is recorded again.  The cached token count
 * updates the learned share of a long prompt that is cached after the hashed blocks. */
void
decide_prefix_ended (struct decide *decide,
                     const struct decide_request *request,
                     struct decide_pool *pool,
                     const struct decide_result *result,
                     int64_t now)
{
  uint32_t hashed = request->n_prefix * DECIDE_BLOCK_TOKENS;
  double found;

  if (!has_prefix (decide, request))
    return;
  decide_prefix_started (decide, request, result->target, now);
  if (result->cached_tokens < hashed * HASHED_SHARE_MIN || result->input_tokens <= hashed
      || request->n_prefix < DECIDE_PREFIX_BLOCKS)
    return;
  found = fmax (0, (double) result->cached_tokens - hashed) / (result->input_tokens - hashed);
  pool->unhashed_cached_share += (found - pool->unhashed_cached_share) * SAMPLE_WEIGHT;
}

void
decide_cache_event (
    struct decide *decide, struct handle target, uint64_t block, bool stored, int64_t now)
{
  if (table_get (decide->board->targets, target) == NULL)
    return;
  if (stored)
    prefix_add (decide->prefixes, block, target, now);
  else
    prefix_remove (decide->prefixes, block, target);
}
