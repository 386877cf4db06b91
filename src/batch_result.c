/* Results stored at their targets: how much room they take, and when they are freed. */
#include "batch_private.h"
#include "container.h"
#include "text.h"
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#define FREED_AT_ONCE 128

static void
remove_result (struct batch_target *target, struct batch_result *result)
{
  DL_DELETE (target->results, result);
  target->used_bytes -= result->size;
  talloc_free (result);
}

/* A restarted target holds no results and counts as of normal speed.  The room of running calls is
 * given back as they end. */
static void
reset_incarnation (struct batch_target *target, uint64_t started)
{
  while (target->results != NULL)
    remove_result (target, target->results);
  target->started = started;
  target->slowness = 1;
  target->paused_until = 0;
}

struct batch_target *
batch_get_target (struct batch_pool *pool, struct balance_target *at)
{
  struct batch_target *target = pool->targets;

  while (target != NULL && strcmp (target->id, at->id) != 0)
    target = target->next;
  if (target == NULL)
    {
      target = talloc_zero (pool->batch, struct batch_target);
      if (target == NULL)
        return NULL;
      text_copy_truncated (target->id, sizeof target->id, at->id);
      target->slowness = 1;
      target->started = at->started;
      target->next = pool->targets;
      pool->targets = target;
    }
  if (target->started != at->started)
    reset_incarnation (target, at->started);
  target->target = at;
  return target;
}

void
batch_record_result (struct batch_pool *pool,
                     struct batch_target *target,
                     const char *handle,
                     const struct batch_piece *piece,
                     bool unneeded,
                     int64_t now)
{
  struct batch_result *result = talloc_zero (target, struct batch_result);

  if (result == NULL)
    return;
  text_copy_truncated (result->handle, sizeof result->handle, handle);
  if (piece != NULL)
    {
      result->content_hash = piece->content_hash;
      result->size = piece->result_size;
    }
  result->unneeded = unneeded;
  result->expires = now + pool->spec.result_ttl;
  DL_APPEND (target->results, result);
  target->used_bytes += result->size;
}

static struct batch_target *
find_target (struct batch_pool *pool, const char *id)
{
  struct balance_target *at = balance_find (pool->batch->config.balance, id);

  return at == NULL ? NULL : batch_get_target (pool, at);
}

static struct batch_result *
find_result (const struct batch_target *target, const char *handle)
{
  struct batch_result *result;

  DL_FOREACH (target->results, result)
    if (strcmp (result->handle, handle) == 0)
      return result;
  return NULL;
}

bool
batch_handle_is_foreign (const struct batch_target *target,
                         const char *handle,
                         const struct batch_piece *piece)
{
  const struct batch_result *held = find_result (target, handle);

  return held != NULL && held->content_hash != 0 && held->content_hash != piece->content_hash;
}

void
batch_mark_evictable (struct batch_pool *pool, const struct stage_result *fetched, int64_t now)
{
  struct batch_target *target = find_target (pool, fetched->target);
  struct batch_result *result = target == NULL ? NULL : find_result (target, fetched->handle);

  if (result == NULL)
    return;
  result->evictable = true;
  batch_schedule_sweep (pool, now);
}

void
batch_free_result (struct batch_pool *pool, const struct stage_result *unneeded, int64_t now)
{
  struct batch_target *target = find_target (pool, unneeded->target);
  struct batch_result *result = target == NULL ? NULL : find_result (target, unneeded->handle);

  if (target == NULL)
    return;
  if (result != NULL)
    result->unneeded = true;
  else
    batch_record_result (pool, target, unneeded->handle, NULL, true, now);
  batch_schedule_sweep (pool, now);
}

/* ---- free calls ---- */

struct free_call
{
  struct h1_call call;
  struct timer timer;
  struct batch *batch;
  struct balance_target *at;
  int64_t sent_at;
  size_t received; /* bytes of the answer */
};

static bool
may_send (struct h1_call *base, int64_t now)
{
  const struct balance_target *at = CONTAINER_OF (base, struct free_call, call)->at;

  return !at->evacuated && balance_backoff_left (at, now) == 0;
}

static bool
on_head (struct h1_call *base, const struct h1_head *head, int64_t now)
{
  struct free_call *call = CONTAINER_OF (base, struct free_call, call);
  struct dialect *dialect = call->batch->config.dialect;
  struct response_fields fields;

  dialect->ops->read_response (dialect, head, &fields);
  if (call->batch->notices != NULL)
    target_notices_take (call->batch->notices, call->at, head->status, &fields, call->sent_at, now);
  return true;
}

/* The outcome is ignored: results that were not freed expire.  Only an answer that is none counts
 * as a failure of the target. */
static void
on_ended (struct h1_call *base, enum h1_end end, int64_t now)
{
  struct free_call *call = CONTAINER_OF (base, struct free_call, call);

  if (end == H1_END_MALFORMED || end == H1_END_TOO_LARGE)
    balance_ended (call->at, true, -1, now);
  else
    call->at->in_flight--;
  talloc_free (call);
}

static void
on_data (struct h1_call *base, const char *data, size_t length, int64_t now)
{
  struct free_call *call = CONTAINER_OF (base, struct free_call, call);

  (void) data;
  call->received += length;
  if (call->received <= BATCH_FREE_ANSWER_BYTES_MAX)
    return;
  h1_call_reject (base, "answer too large", now);
  on_ended (base, H1_END_TOO_LARGE, now);
}

static const struct h1_call_ops free_ops = {
  .may_send = may_send,
  .head = on_head,
  .data = on_data,
  .ended = on_ended,
};

static void
free_timed_out (struct timer *timer, int64_t now)
{
  struct free_call *call = CONTAINER_OF (timer, struct free_call, timer);

  (void) now;
  call->at->in_flight--;
  talloc_free (call);
}

static const struct timer_ops free_timer_ops = { .fire = free_timed_out };

static int
end_free_call (struct free_call *call)
{
  timer_disarm (loop_timers (call->batch->config.loop), &call->timer);
  h1_call_cancel (&call->call);
  return 0;
}

static void
send_free (struct batch_pool *pool,
           struct balance_target *at,
           const char *const *handles,
           uint32_t n,
           int64_t now)
{
  struct batch_config *config = &pool->batch->config;
  struct free_call *call = talloc_zero (pool->batch, struct free_call);
  struct bytes message;

  if (call == NULL)
    return;
  call->call.ops = &free_ops;
  call->timer.ops = &free_timer_ops;
  call->batch = pool->batch;
  call->at = at;
  call->sent_at = now;
  talloc_set_destructor (call, end_free_call);
  bytes_init (&message, NULL);
  config->dialect->ops->write_free (config->dialect, at->address, at->id, handles, n, &message);
  if (h1_call_start (config->client, &call->call, at->address, &message, false, now) == STATUS_OK)
    {
      balance_started (config->balance, at, BALANCE_STAGE_WORK, now);
      timer_arm (loop_timers (config->loop), &call->timer, now + BATCH_FREE_TIMEOUT);
    }
  else
    talloc_free (call);
  bytes_clear (&message);
}

static bool
is_short_of_room (const struct batch_pool *pool, const struct batch_target *target)
{
  return pool->spec.result_bytes_max > 0
         && (double) target->used_bytes
                > BATCH_EVICTION_THRESHOLD * (double) pool->spec.result_bytes_max;
}

/* An evacuated target, or one in backoff, is sent nothing: its results stay until that ends or they
 * expire. */
static void
sweep_target (struct batch_pool *pool, struct batch_target *target, int64_t now)
{
  const char *handles[FREED_AT_ONCE];
  struct batch_result *freed[FREED_AT_ONCE];
  struct batch_result *result;
  struct batch_result *next;
  uint32_t n = 0;
  bool short_of_room = is_short_of_room (pool, target);

  DL_FOREACH_SAFE (target->results, result, next)
    {
      bool drop = result->unneeded || (result->evictable && short_of_room);
      bool held = target->target != NULL
                  && (target->target->evacuated || balance_backoff_left (target->target, now) > 0);

      if (now >= result->expires || (drop && target->target == NULL))
        remove_result (target, result);
      else if (drop && !held && n < FREED_AT_ONCE)
        {
          handles[n] = result->handle;
          freed[n++] = result;
          counter_add (pool->batch->dropped, result->unneeded ? 0 : 1);
        }
    }
  if (n == 0)
    return;
  send_free (pool, target->target, handles, n, now);
  for (uint32_t i = 0; i < n; i++)
    remove_result (target, freed[i]);
}

void
batch_sweep_results (struct batch_pool *pool, int64_t now)
{
  struct batch_target **at = &pool->targets;

  while (*at != NULL)
    {
      struct batch_target *target = *at;

      target->target = balance_find (pool->batch->config.balance, target->id);
      sweep_target (pool, target, now);
      if (target->target == NULL && target->calls == 0 && target->results == NULL)
        {
          *at = target->next;
          talloc_free (target);
          continue;
        }
      at = &target->next;
    }
}
