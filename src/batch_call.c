/* One call with pieces to a target. */
#include "batch_private.h"
#include "container.h"
#include "log.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>
#include <xxhash.h>

#define SLOWNESS_SMOOTHING 0.3

struct batch_call
{
  struct h1_call call;
  struct timer timer;
  struct batch_pool *pool;
  struct batch_target *target;
  struct balance_target *at; /* in_flight keeps it alive */
  uint32_t n;
  struct batch_piece pieces[BATCH_CALL_PIECES_MAX];
  uint64_t size;
  struct bytes body;
  unsigned status;
  bool not_run;
  double limit; /* as named in the answer; DIALECT_NO_LIMIT for none */
  int64_t started;
};

int64_t
batch_expected_time (const struct batch_pool *pool, uint32_t n_pieces)
{
  return pool->spec.call_time + (int64_t) n_pieces * pool->spec.piece_time;
}

static void
requeue_all (struct batch_call *call, bool tried, int64_t now)
{
  for (uint32_t i = 0; i < call->n; i++)
    batch_requeue (call->pool, &call->pieces[i], tried, now);
}

/* The connection broke: one of the pieces may have crashed the target. */
static void
note_break (struct batch_call *call, int64_t now)
{
  struct batch *batch = call->pool->batch;
  uint64_t before = 0;

  if (batch->watch == NULL)
    return;
  target_watch_connection_broke (batch->watch, call->at, now);
  for (uint32_t i = 0; i < call->n; i++)
    {
      struct batch_order *order = batch_order_of (batch, &call->pieces[i]);

      if (order != NULL && call->pieces[i].serial != before)
        batch_note_break (order, call->at->id_hash, now);
      before = call->pieces[i].serial;
    }
}

static void
log_call (const struct batch_call *call, const char *outcome, int64_t now)
{
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "batch-call", "{s:s,s:s,s:i,s:s,s:i,s:I,s:I,s:i,s:f}",
             "pool", call->pool->name, "target", call->at->id, "pieces", (int) call->n, "outcome",
             outcome, "status", (int) call->status, "took_us", (json_int_t) (now - call->started),
             "expected_us", (json_int_t) batch_expected_time (call->pool, call->n), "queued",
             (int) call->pool->n_pending, "limit_per_sec", call->limit);
}

/* The call is over: frees its slot and the room counted for its results. */
static void
release_slot (struct batch_call *call, bool failed, int64_t now)
{
  struct batch_pool *pool = call->pool;

  timer_disarm (loop_timers (pool->batch->config.loop), &call->timer);
  call->target->calls--;
  call->target->used_bytes -= call->size;
  balance_ended (call->at, failed, failed ? -1 : now - call->started, now);
}

static void
handle_result (struct batch_call *call,
               const struct batch_piece *piece,
               struct piece_result *result,
               int64_t now)
{
  struct batch_pool *pool = call->pool;

  if (result->outcome == PIECE_DONE)
    {
      memcpy (result->result.target, call->at->id, sizeof result->result.target);
      batch_record_result (pool, call->target, result->result.handle, piece,
                           batch_order_of (pool->batch, piece) == NULL, now);
      batch_complete_piece (pool, piece, result, now);
      return;
    }
  /* Waiting does not restore a missing input: the host that ordered the piece has it made again. */
  if (result->outcome == PIECE_INPUT_GONE)
    {
      struct batch_order *order = batch_order_of (pool->batch, piece);

      if (order != NULL)
        batch_end_order (order, PIECE_INPUT_GONE, now);
      return;
    }
  batch_requeue (pool, piece, result->outcome != PIECE_NO_ROOM, now);
}

static void
log_not_made (const struct batch_call *call, const struct piece_result *results)
{
  uint32_t n[PIECE_END_COUNT] = { 0 };

  for (uint32_t i = 0; i < call->n; i++)
    n[results[i].outcome]++;
  if (n[PIECE_DONE] < call->n)
    log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "pieces-not-made", "{s:s,s:s,s:i,s:i,s:i,s:i}",
               "pool", call->pool->name, "target", call->at->id, "late", (int) n[PIECE_LATE],
               "input_gone", (int) n[PIECE_INPUT_GONE], "no_room", (int) n[PIECE_NO_ROOM], "failed",
               (int) n[PIECE_FAILED]);
}

bool
batch_target_is_full (const struct piece_result *results, uint32_t n)
{
  bool full = false;

  for (uint32_t i = 0; i < n; i++)
    {
      if (results[i].outcome == PIECE_DONE)
        return false;
      full |= results[i].outcome == PIECE_NO_ROOM;
    }
  return full;
}

/* Answers to stage work do not identify their call.  A late duplicate of an earlier answer is
 * recognised by handles that are already known. */
static bool
is_foreign_answer (const struct batch_call *call, const struct piece_result *results)
{
  for (uint32_t i = 0; i < call->n; i++)
    if (results[i].outcome == PIECE_DONE
        && batch_handle_is_foreign (call->target, results[i].result.handle, &call->pieces[i]))
      {
        log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "answer-of-another-call", "{s:s,s:s}",
                   "target", call->at->id, "handle", results[i].result.handle);
        return true;
      }
  return false;
}

static bool
handle_results (struct batch_call *call, int64_t now)
{
  struct dialect *dialect = call->pool->batch->config.dialect;
  struct piece_result results[BATCH_CALL_PIECES_MAX];

  if (call->status != HTTP_STATUS_OK
      || !dialect->ops->read_piece_results (dialect, call->body.data, call->body.length, results,
                                            call->n)
      || is_foreign_answer (call, results))
    return false;
  log_not_made (call, results);
  if (batch_target_is_full (results, call->n))
    call->target->paused_until = now + BATCH_NO_ROOM_PAUSE;
  for (uint32_t i = 0; i < call->n; i++)
    handle_result (call, &call->pieces[i], &results[i], now);
  return true;
}

static void
update_slowness (struct batch_call *call, int64_t now)
{
  double ratio =
      (double) (now - call->started) / (double) batch_expected_time (call->pool, call->n);

  call->target->slowness += SLOWNESS_SMOOTHING * (ratio - call->target->slowness);
  histogram_record (call->pool->batch->call_time, (double) (now - call->started));
}

static bool
on_head (struct h1_call *base, const struct h1_head *head, int64_t now)
{
  struct batch_call *call = CONTAINER_OF (base, struct batch_call, call);
  struct dialect *dialect = call->pool->batch->config.dialect;
  struct target_notices *notices = call->pool->batch->notices;
  struct response_fields facts;

  dialect->ops->read_response (dialect, head, &facts);
  /* An answer that names a request is to that request, not to stage work. */
  if (facts.id != NULL && facts.id[0] != '\0')
    return false;
  call->status = head->status;
  call->not_run = facts.not_run;
  call->limit = facts.limit;
  if (notices != NULL)
    target_notices_take (notices, call->at, head->status, &facts, call->started, now);
  return true;
}

static const char *
outcome_text (const struct batch_call *call, enum h1_end end)
{
  if (end != H1_END_WHOLE)
    return h1_end_text (end);
  return call->not_run ? "not run" : "answered";
}

static bool
may_send (struct h1_call *base, int64_t now)
{
  return balance_may_still_send (CONTAINER_OF (base, struct batch_call, call)->at, now);
}

static void
on_ended (struct h1_call *base, enum h1_end end, int64_t now)
{
  struct batch_call *call = CONTAINER_OF (base, struct batch_call, call);
  struct batch_pool *pool = call->pool;
  bool failed = end != H1_END_WHOLE || call->status != HTTP_STATUS_OK;

  log_call (call, outcome_text (call, end), now);
  call->not_run = call->not_run || end == H1_END_WITHDRAWN;
  if (base->request_sent && (end == H1_END_TRUNCATED || end == H1_END_RESET))
    note_break (call, now);
  /* A target that reports that it is full has not failed. */
  release_slot (call, failed && !call->not_run, now);
  if (!failed)
    update_slowness (call, now);
  if (failed || !handle_results (call, now))
    {
      counter_add (pool->batch->failed_calls, 1);
      if (call->not_run)
        call->target->paused_until = now + BATCH_NO_ROOM_PAUSE;
      requeue_all (call, !call->not_run, now);
    }
  talloc_free (call);
  batch_dispatch (pool, now);
}

static void
on_data (struct h1_call *base, const char *data, size_t length, int64_t now)
{
  struct batch_call *call = CONTAINER_OF (base, struct batch_call, call);

  bytes_append_limited (&call->body, data, length, BATCH_ANSWER_BYTES_MAX);
  if (!bytes_has_failed (&call->body))
    {
      h1_call_set_held (base, call->body.capacity, now);
      return;
    }
  /* A statement that nothing was run counts only with the end of the answer. */
  call->not_run = false;
  h1_call_reject (base, "answer too large or out of memory", now);
  on_ended (base, H1_END_TOO_LARGE, now);
}

static const struct h1_call_ops call_ops = {
  .may_send = may_send,
  .head = on_head,
  .data = on_data,
  .ended = on_ended,
};

/* The target may still be working: it gets no other call until it should be done. */
static void
overdue_fired (struct timer *timer, int64_t now)
{
  struct batch_call *call = CONTAINER_OF (timer, struct batch_call, timer);
  struct batch_pool *pool = call->pool;

  log_call (call, "overdue", now);
  counter_add (pool->batch->overdue_calls, 1);
  h1_call_cancel (&call->call);
  call->target->paused_until = now + batch_expected_time (pool, call->n);
  call->target->slowness += SLOWNESS_SMOOTHING * (BATCH_OVERDUE_FACTOR - call->target->slowness);
  release_slot (call, true, now);
  requeue_all (call, true, now);
  talloc_free (call);
  batch_dispatch (pool, now);
}

static const struct timer_ops overdue_ops = { .fire = overdue_fired };

/* Also runs when the batch is freed with calls in flight: the client must not call back into freed
 * memory. */
static int
free_call (struct batch_call *call)
{
  timer_disarm (loop_timers (call->pool->batch->config.loop), &call->timer);
  h1_call_cancel (&call->call);
  return 0;
}

/* Identifies a result: the same piece of the same stage, made of the same inputs or under the same
 * key, is the same. */
static uint64_t
hash_content (const struct batch_order *order, const struct batch_piece *piece)
{
  const char *from = order->inputs == NULL ? order->key : order->inputs;
  uint64_t content =
      XXH3_64bits_withSeed (from, strlen (from), (uint64_t) order->stage << 32 | piece->index);

  return content == 0 ? 1 : content;
}

static void
write_message (struct batch_call *call, int64_t now, struct bytes *out)
{
  struct dialect *dialect = call->pool->batch->config.dialect;
  struct piece_fields facts[BATCH_CALL_PIECES_MAX];

  for (uint32_t i = 0; i < call->n; i++)
    {
      const struct batch_order *order = batch_order_of (call->pool->batch, &call->pieces[i]);

      INVARIANT (order != NULL);
      call->pieces[i].content_hash = hash_content (order, &call->pieces[i]);
      facts[i] = (struct piece_fields){
        .request = order->request,
        .stage = order->stage,
        .piece = call->pieces[i].index,
        .time_left = order->deadline - now,
        .key = order->inputs == NULL ? order->key : NULL,
        .inputs = order->inputs,
      };
    }
  dialect->ops->write_pieces (dialect, call->at->address, call->at->id, facts, call->n, out);
}

static int64_t
overdue_timeout (const struct batch_call *call)
{
  double factor = BATCH_OVERDUE_FACTOR;

  /* A target known to be slow is allowed proportionally more time. */
  if (call->target->slowness > 1)
    factor *= call->target->slowness;
  return (int64_t) (factor * (double) batch_expected_time (call->pool, call->n))
         + BATCH_OVERDUE_SLACK;
}

bool
batch_call_start (struct batch_pool *pool,
                  struct batch_target *target,
                  const struct batch_piece *pieces,
                  uint32_t n,
                  int64_t now)
{
  struct batch *batch = pool->batch;
  struct batch_call *call = talloc_zero (batch, struct batch_call);
  struct bytes message;
  enum status status;

  if (call == NULL)
    return false;
  call->call.ops = &call_ops;
  call->timer.ops = &overdue_ops;
  call->pool = pool;
  call->target = target;
  call->at = target->target;
  call->n = n;
  call->started = now;
  call->limit = DIALECT_NO_LIMIT;
  talloc_set_destructor (call, free_call);
  memcpy (call->pieces, pieces, n * sizeof *pieces);
  for (uint32_t i = 0; i < n; i++)
    call->size += pieces[i].result_size;
  bytes_init (&call->body, call);
  bytes_init (&message, NULL);
  write_message (call, now, &message);
  status =
      h1_call_start (batch->config.client, &call->call, call->at->address, &message, false, now);
  bytes_clear (&message);
  if (status != STATUS_OK)
    {
      talloc_free (call);
      return false;
    }
  balance_started (batch->config.balance, call->at, BALANCE_STAGE_WORK, now);
  target->calls++;
  target->used_bytes += call->size;
  counter_add (batch->calls, 1);
  counter_add (batch->pieces, n);
  timer_arm (loop_timers (batch->config.loop), &call->timer, now + overdue_timeout (call));
  return true;
}
