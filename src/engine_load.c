/* Estimate of the queue of prompts at each model engine. */
#include "engine_load.h"
#include <math.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

/* The time from a request's arrival at an idle engine to its first byte, without the reading. */
#define FIRST_BYTE_OVERHEAD (4 * USEC_PER_MSEC)

/* Only prompts of at least this many tokens, with nothing before them, are samples of the rate. */
#define RATE_SAMPLE_TOKENS_MIN 1000
#define RATE_SMOOTHING 0.1

/* A sample is limited to the rate times this: a prompt that was cached unknown to this host takes
 * almost no time. */
#define RATE_SAMPLE_MAX_FACTOR 2.0

/* A target's slowness is the ratio of its wait to the one at the common rate, learned from its own
 * answers. */
#define SLOWNESS_SMOOTHING 0.25
#define SLOWNESS_MAX 20.0

/* Slowness decays with this half-life: an engine that was slow gets few requests that could show
 * that it has recovered. */
#define SLOWNESS_HALF_LIFE (2 * USEC_PER_SEC)

/* Ended requests that are remembered, to recognise copies of their starts that arrive later; a
 * power of two. */
#define ENDED_KEYS_MAX 1024

/* A request at an engine that has not ended. */
struct engine_request
{
  uint64_t id;
  uint32_t tokens; /* to be read for it */
  int64_t started_at;
  int64_t expected_wait; /* wait, as estimated at its start */
  int64_t read_time;     /* the part of it in which the engine reads this prompt */
  int64_t begins_at;     /* when its answer begins, as expected now */
  bool expects_begin;    /* a message will report when it begins */
  bool began;
  struct engine_request *prev;
  struct engine_request *next;
};

struct engine_target
{
  uint64_t id;
  struct engine_request *requests;
  struct engine_cache *cache;
  int64_t read_until;    /* when it has read all prompts sent to it, as expected now */
  int64_t last_began_at; /* when an answer last began here, or a request ended without that */
  double slowness;
  int64_t slowness_at;
  UT_hash_handle hh;
};

struct engine_load
{
  struct engine_target *targets;
  struct engine_caches *caches;
  double tokens_per_ms;                /* the reading rate */
  uint64_t ended_keys[ENDED_KEYS_MAX]; /* ended requests, each at index key % ENDED_KEYS_MAX */
};

static int
free_load (struct engine_load *load)
{
  HASH_CLEAR (hh, load->targets);
  return 0;
}

struct engine_load *
engine_load_new (void *parent)
{
  struct engine_load *load = talloc_zero (parent, struct engine_load);

  if (load == NULL)
    return NULL;
  talloc_set_destructor (load, free_load);
  load->tokens_per_ms = ENGINE_INITIAL_TOKENS_PER_MSEC;
  load->caches = engine_caches_new (load);
  if (load->caches == NULL)
    {
      talloc_free (load);
      return NULL;
    }
  return load;
}

void
engine_load_set_cache_tokens (struct engine_load *load, uint64_t cache_tokens)
{
  engine_caches_set_capacity (load->caches, cache_tokens);
}

/* uthash's macros are long, and the analyzer does not follow them.
 * NOLINTBEGIN(readability-function-size,clang-analyzer-core.NullDereference) */

static struct engine_target *
find_target (const struct engine_load *load, uint64_t id)
{
  struct engine_target *target;

  HASH_FIND (hh, load->targets, &id, sizeof id, target);
  return target;
}

static struct engine_target *
ensure_target (struct engine_load *load, uint64_t id)
{
  struct engine_target *target = find_target (load, id);

  if (target != NULL)
    return target;
  target = talloc_zero (load, struct engine_target);
  if (target == NULL)
    return NULL;
  target->cache = engine_cache_new (load->caches);
  if (target->cache == NULL)
    {
      talloc_free (target);
      return NULL;
    }
  target->id = id;
  target->slowness = 1;
  HASH_ADD (hh, load->targets, id, sizeof target->id, target);
  return target;
}

/* NOLINTEND(readability-function-size,clang-analyzer-core.NullDereference) */

/* ---- requests ---- */

static struct engine_request *
find_request (const struct engine_target *target, uint64_t id)
{
  struct engine_request *request;

  DL_FOREACH (target->requests, request)
    if (request->id == id)
      return request;
  return NULL;
}

static uint64_t
request_key (uint64_t target, uint64_t request)
{
  return XXH3_64bits_withSeed (&request, sizeof request, target);
}

static bool
has_ended (const struct engine_load *load, uint64_t target, uint64_t request)
{
  uint64_t key = request_key (target, request);

  return load->ended_keys[key % ENDED_KEYS_MAX] == key;
}

static void
remember_ended (struct engine_load *load, uint64_t target, uint64_t request)
{
  uint64_t key = request_key (target, request);

  load->ended_keys[key % ENDED_KEYS_MAX] = key;
}

/* Whether its prompt is being read or waits to be. */
static bool
is_unread (const struct engine_request *request, int64_t now)
{
  int64_t bound =
      (int64_t) (ENGINE_BEGUN_FACTOR * (double) request->expected_wait) + ENGINE_BEGUN_SLACK;

  if (request->began)
    return false;
  return request->expects_begin ? now - request->started_at < bound : now < request->begins_at;
}

/* How late the engine is: the longest overdue answer among those whose beginning would have been
 * reported. */
static int64_t
max_lateness (const struct engine_target *target, int64_t now)
{
  const struct engine_request *request;
  int64_t most = 0;

  DL_FOREACH (target->requests, request)
    if (request->expects_begin && is_unread (request, now) && now - request->begins_at > most)
      most = now - request->begins_at;
  return most;
}

static uint32_t
count_requests (const struct engine_target *target)
{
  const struct engine_request *request;
  uint32_t n = 0;

  DL_COUNT (target->requests, request, n);
  return n;
}

/* A request began, or left the queue, earlier or later than expected by `by`: shift the requests
 * after it as well. */
static void
shift_later_requests (struct engine_target *target,
                      struct engine_request *first,
                      int64_t by,
                      int64_t now)
{
  for (struct engine_request *request = first->next; request != NULL; request = request->next)
    if (!request->began)
      request->begins_at += by;
  target->read_until += by;
  if (target->read_until < now)
    target->read_until = now;
}

static double
current_slowness (const struct engine_target *target, int64_t now)
{
  double age = (double) (now - target->slowness_at) / (double) SLOWNESS_HALF_LIFE;

  return 1 + (target->slowness - 1) * exp2 (-age);
}

static int64_t
estimate_read_time (const struct engine_load *load,
                    const struct engine_target *target,
                    uint64_t tokens,
                    int64_t now)
{
  double slowness = target == NULL ? 1 : current_slowness (target, now);

  return (int64_t) (slowness
                    * ((double) tokens / load->tokens_per_ms * USEC_PER_MSEC
                       + (double) FIRST_BYTE_OVERHEAD));
}

void
engine_load_cost (struct engine_load *load,
                  uint64_t id,
                  const struct engine_prompt *prompt,
                  int64_t now,
                  struct engine_cost *out)
{
  struct engine_target *target = find_target (load, id);
  const struct engine_cache *cache = target == NULL ? NULL : target->cache;
  uint32_t shared = engine_cache_uncached_tokens (cache, prompt);
  int64_t before = 0;

  out->running = 0;
  if (target != NULL)
    {
      out->running = count_requests (target);
      before = max_lateness (target, now);
      before += target->read_until > now ? target->read_until - now : 0;
    }
  out->read_time = estimate_read_time (load, target, shared + prompt->own_tokens, now);
  out->wait = before + out->read_time;
  out->read_again_tokens = engine_cache_tokens_held_elsewhere (load->caches, cache, prompt);
}

/* Drop requests whose end was never reported. */
static void
drop_expired (struct engine_target *target, int64_t now)
{
  struct engine_request *request;
  struct engine_request *next;

  DL_FOREACH_SAFE (target->requests, request, next)
    {
      if (now - request->started_at < ENGINE_REQUEST_EXPIRY)
        return;
      DL_DELETE (target->requests, request);
      talloc_free (request);
    }
}

/* Whether a start is known already: it was relayed twice, or sent again.  The copy may still bring
 * that the beginning will be reported, so `expects_begin` is merged. */
static bool
is_known (const struct engine_load *load,
          const struct engine_target *target,
          uint64_t request_id,
          bool expects_begin)
{
  struct engine_request *request = find_request (target, request_id);

  if (request == NULL)
    return has_ended (load, target->id, request_id);
  request->expects_begin |= expects_begin;
  return true;
}

void
engine_load_started (struct engine_load *load,
                     uint64_t id,
                     uint64_t request_id,
                     const struct engine_prompt *prompt,
                     bool expects_begin,
                     int64_t now)
{
  struct engine_target *target = ensure_target (load, id);
  struct engine_request *request;
  struct engine_cost cost;

  if (target == NULL)
    return;
  drop_expired (target, now);
  if (is_known (load, target, request_id, expects_begin))
    return;
  request = talloc_zero (target, struct engine_request);
  if (request == NULL)
    return;
  engine_load_cost (load, id, prompt, now, &cost);
  request->id = request_id;
  request->tokens = engine_cache_uncached_tokens (target->cache, prompt) + prompt->own_tokens;
  request->started_at = now;
  request->expected_wait = cost.wait;
  request->read_time = cost.read_time;
  request->begins_at = now + cost.wait;
  request->expects_begin = expects_begin;
  target->read_until = (target->read_until > now ? target->read_until : now) + cost.read_time;
  DL_APPEND (target->requests, request);
  engine_cache_add_prompt (target->cache, prompt);
}

/* Whether the engine read the prompt at once.  Another host's prompt may have been read before it
 * unknown to the sender: its answer began meanwhile, or its beginning is not reported. */
static bool
was_read_at_once (const struct engine_target *target, const struct engine_request *request)
{
  const struct engine_request *other;

  if (target->requests != request || target->last_began_at >= request->started_at)
    return false;
  for (other = request->next; other != NULL; other = other->next)
    if (!other->expects_begin)
      return false;
  return true;
}

/* Learn the rate from prompts that had nothing before them, and the target's slowness from all. */
static void
learn_from_answer (struct engine_load *load,
                   struct engine_target *target,
                   const struct engine_request *request,
                   int64_t now)
{
  double took = (double) (now - request->started_at);
  double ratio = took / (double) (request->expected_wait > 0 ? request->expected_wait : 1);

  if (request->tokens >= RATE_SAMPLE_TOKENS_MIN && took > (double) FIRST_BYTE_OVERHEAD
      && was_read_at_once (target, request) && target->slowness < 2)
    {
      double rate = request->tokens / ((took - (double) FIRST_BYTE_OVERHEAD) / USEC_PER_MSEC);

      if (rate > RATE_SAMPLE_MAX_FACTOR * load->tokens_per_ms)
        rate = RATE_SAMPLE_MAX_FACTOR * load->tokens_per_ms;
      load->tokens_per_ms += RATE_SMOOTHING * (rate - load->tokens_per_ms);
    }
  target->slowness = current_slowness (target, now);
  target->slowness_at = now;
  ratio *= target->slowness;
  if (ratio > SLOWNESS_MAX)
    ratio = SLOWNESS_MAX;
  target->slowness += SLOWNESS_SMOOTHING * (ratio - target->slowness);
  if (target->slowness < 1)
    target->slowness = 1;
}

void
engine_load_began (struct engine_load *load, uint64_t id, uint64_t request_id, int64_t now)
{
  struct engine_target *target = find_target (load, id);
  struct engine_request *request = target == NULL ? NULL : find_request (target, request_id);

  if (request == NULL || request->began)
    return;
  learn_from_answer (load, target, request, now);
  request->began = true;
  target->last_began_at = now;
  shift_later_requests (target, request, now - request->begins_at, now);
}

void
engine_load_ended (struct engine_load *load, uint64_t id, uint64_t request_id, int64_t now)
{
  struct engine_target *target = find_target (load, id);
  struct engine_request *request = target == NULL ? NULL : find_request (target, request_id);

  remember_ended (load, id, request_id);
  if (request == NULL)
    return;
  if (!request->began)
    target->last_began_at = now;
  if (is_unread (request, now))
    shift_later_requests (target, request, -request->read_time, now);
  DL_DELETE (target->requests, request);
  talloc_free (request);
}

void
engine_load_remove_target (struct engine_load *load, uint64_t id)
{
  struct engine_target *target = find_target (load, id);

  if (target == NULL)
    return;
  talloc_free (target->cache);
  HASH_DEL (load->targets, target);
  talloc_free (target);
}
