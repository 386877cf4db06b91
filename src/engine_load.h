/* What model engines have to read, as all entry hosts together know it.
 *
 * An engine reads prompts one after another, so the wait for a first byte is the prompts before it;
 * a part that it read lately is not read again.  Each host tells the others what it sends, when the
 * answer begins and when it ends (engine_news.c), so that all choose on the same picture, a few
 * milliseconds old, without asking the engines.
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

/* Prompt tokens that an engine reads in a millisecond, until its answers show another rate. */
#define ENGINE_FIRST_RATE 60.0

/* A start without news of its first byte counts as begun after so many times what was expected, and
 * a little: the message may be lost. */
#define ENGINE_BEGUN_FACTOR 1.3
#define ENGINE_BEGUN_MORE (50 * USEC_PER_MSEC)

/* And is forgotten after this. */
#define ENGINE_FORGET (20 * USEC_PER_SEC)

struct engine_load;

/* Freed with `parent`.  `cache_tokens` of one engine, 0 when not known. */
struct engine_load *engine_load_new (void *parent);
void engine_load_set_cache (struct engine_load *load, uint64_t cache_tokens);

/* A host sent a prompt, its answer began, it ended.  `told`: we shall hear of the beginning; where
 * not it is taken to come as expected.  Idempotent by target and request: a prompt that is sent to
 * the same target again is another request. */
void engine_load_started (struct engine_load *load,
                          uint64_t target,
                          uint64_t request,
                          const struct engine_prompt *prompt,
                          bool told,
                          int64_t now);
void engine_load_began (struct engine_load *load, uint64_t target, uint64_t request, int64_t now);
void engine_load_ended (struct engine_load *load, uint64_t target, uint64_t request, int64_t now);

/* The target is gone: nothing of it counts. */
void engine_load_forget (struct engine_load *load, uint64_t target);

struct engine_cost
{
  int64_t wait;        /* until the answer begins, expected, in microseconds */
  int64_t reading;     /* the part of it in which the engine reads this prompt */
  uint32_t read_again; /* shared tokens to be read that another engine holds */
  uint32_t running;    /* requests on it */
};

void engine_load_cost (struct engine_load *load,
                       uint64_t target,
                       const struct engine_prompt *prompt,
                       int64_t now,
                       struct engine_cost *out);

END_DECLS

#endif
