/* Estimate of the queue of prompts at each model engine, from the events of all entry hosts.
 *
 * An engine reads prompts (prefill) one after another, so the wait for a first byte is the time to
 * read the prompts before it; a part that it read lately is still cached and not read again.  Each
 * host announces to the others what it sends, when the answer begins and when it ends
 * (engine_broadcast.c), so that all choose by the same estimate, a few milliseconds old, without
 * querying the engines.
 *
 * Pure: time is passed in. */
#ifndef ENGINE_LOAD_H
#define ENGINE_LOAD_H

#include "decls.h"
#include "engine_cache.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* Initial estimate of the reading rate, in prompt tokens per millisecond; answers correct it. */
#define ENGINE_INITIAL_TOKENS_PER_MSEC 60.0

/* A request whose first byte is not reported counts as begun after the expected wait times this
 * factor, plus ENGINE_BEGUN_SLACK: the message may be lost. */
#define ENGINE_BEGUN_FACTOR 1.3
#define ENGINE_BEGUN_SLACK (50 * USEC_PER_MSEC)

/* A request whose end is not reported is dropped this long after its start. */
#define ENGINE_REQUEST_EXPIRY (20 * USEC_PER_SEC)

struct engine_load;

/* Freed with `parent`.  NULL when out of memory. */
struct engine_load *engine_load_new (void *parent);

/* `cache_tokens`: the size of one engine's cache, 0 when not known. */
void engine_load_set_cache_tokens (struct engine_load *load, uint64_t cache_tokens);

/* A host sent a prompt, its answer began, it ended.  `expects_begin`: a message will report the
 * beginning; otherwise the answer is assumed to begin when expected.  Idempotent by target and
 * request number: a prompt that is sent to the same target again has another number. */
void engine_load_started (struct engine_load *load,
                          uint64_t target,
                          uint64_t request,
                          const struct engine_prompt *prompt,
                          bool expects_begin,
                          int64_t now);
void engine_load_began (struct engine_load *load, uint64_t target, uint64_t request, int64_t now);
void engine_load_ended (struct engine_load *load, uint64_t target, uint64_t request, int64_t now);

/* The target was removed: drop its requests and its cache. */
void engine_load_remove_target (struct engine_load *load, uint64_t target);

struct engine_cost
{
  int64_t wait;               /* expected until the answer begins, in microseconds */
  int64_t read_time;          /* the part of `wait` in which the engine reads this prompt */
  uint32_t read_again_tokens; /* shared tokens to read that another engine holds already */
  uint32_t running;           /* requests on the engine that have not ended */
};

/* Estimate what the prompt would cost on the target if it were sent now. */
void engine_load_cost (struct engine_load *load,
                       uint64_t target,
                       const struct engine_prompt *prompt,
                       int64_t now,
                       struct engine_cost *out);

END_DECLS

#endif
