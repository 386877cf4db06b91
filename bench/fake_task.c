/* Calls of a fake target: queued by priority for a batch slot, delayed by the service time of
 * service_time.h at the current batch size, and answered by fake_answer.c. */
#include "answer.h"
#include "fake_execution.h"
#include "fake_task_private.h"
#include "text.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#define PRIORITY_MAX 9
#define TOKENS_MAX 100000

static void start_waiting (struct fake_target *target, int64_t now);

int64_t
fake_task_scaled (const struct fake_target *target, int64_t span)
{
  return (int64_t) llround ((double) span * target->options->time_scale);
}

struct service_load
fake_task_load (const struct fake_target *target)
{
  return (struct service_load){ .running = target->n_running, .slowdown = target->fault.slow };
}

static int
free_task (struct fake_task *task)
{
  json_decref (task->body);
  timer_disarm (loop_timers (task->target->loop), &task->timer);
  return 0;
}

void
fake_task_end (struct fake_task *task, bool answered, int64_t now)
{
  struct fake_target *target = task->target;

  if (task->state == TASK_WAITING)
    {
      DL_DELETE (target->waiting, task);
      target->n_waiting--;
    }
  else
    {
      int64_t spent = now - task->started;

      DL_DELETE (target->running, task);
      target->n_running--;
      target->counts.busy += spent;
      if (!answered)
        target->counts.wasted += spent;
    }
  if (answered)
    target->counts.answered++;
  else
    target->counts.cancelled++;
  talloc_free (task);
  start_waiting (target, now);
}

struct http_exchange *
fake_task_detach_exchange (struct fake_task *task)
{
  struct http_exchange *exchange = task->exchange;

  exchange->watcher = NULL;
  task->exchange = NULL;
  return exchange;
}

static void
on_timer (struct timer *timer, int64_t now)
{
  struct fake_task *task =
      (struct fake_task *) ((char *) timer - offsetof (struct fake_task, timer));

  if (task->state == TASK_DECODING)
    fake_task_decode (task, now);
  else
    fake_task_first_output (task, now);
}

static void
start_task (struct fake_task *task, int64_t now)
{
  struct fake_target *target = task->target;
  struct service_load load;
  int64_t span;

  /* The analyzer does not know that the list of a waiting task is not empty.
   * NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
  DL_DELETE (target->waiting, task);
  target->n_waiting--;
  DL_APPEND (target->running, task);
  target->n_running++;
  task->started = now;
  fake_execution_count (target, task->id);
  if (task->fault.hang)
    {
      task->state = TASK_HUNG;
      return;
    }
  task->state = TASK_WORKING;
  if (task->body)
    task->cached_tokens = fake_cache_match (target->cache, task->prompt, task->prompt_length);
  load = fake_task_load (target);
  span = fake_task_scaled (target,
                           service_time_first_output (target->options->kind, task->input_tokens,
                                                      task->cached_tokens, &load));
  if (span <= 0 && task->fault.late == 0)
    fake_task_first_output (task, now);
  else
    timer_arm (loop_timers (target->loop), &task->timer, now + span);
}

/* Recursive if answers take no time, as each end starts the next call; the depth is bounded by the
 * queue's length. */
static void
start_waiting (struct fake_target *target, int64_t now)
{
  while (target->waiting && target->n_running < fake_target_slots (target))
    start_task (target->waiting, now);
}

static void
on_closed (struct http_watcher *watcher, int64_t now)
{
  struct fake_task *task = (struct fake_task *) watcher;

  task->exchange = NULL;
  fake_task_end (task, false, now);
}

static bool
read_generation (struct fake_task *task, const struct http_exchange *exchange)
{
  json_t *body = json_loadb (exchange->body, exchange->body_length, JSON_REJECT_DUPLICATES, NULL);
  const json_t *prompt = json_object_get (body, "prompt");
  json_int_t max_tokens = json_integer_value (json_object_get (body, "max_tokens"));
  json_int_t from = json_integer_value (json_object_get (body, "resume_from"));

  task->body = body;
  if (!json_is_string (prompt) || max_tokens <= 0 || max_tokens > TOKENS_MAX || from < 0
      || from > max_tokens)
    return false;
  task->prompt = json_string_value (prompt);
  task->prompt_length = json_string_length (prompt);
  task->prompt_hash = answer_prompt_hash (task->prompt, task->prompt_length);
  task->max_tokens = (uint32_t) max_tokens;
  task->piece = (uint32_t) from;
  task->input_tokens = (uint32_t) (task->prompt_length / ANSWER_BYTES_PER_TOKEN);
  return true;
}

static bool
read_call (struct fake_task *task, const struct http_exchange *exchange)
{
  enum stage_kind kind = task->target->options->kind;

  if (kind == STAGE_GENERATE)
    return read_generation (task, exchange);
  task->input_tokens = (uint32_t) (exchange->body_length / ANSWER_BYTES_PER_TOKEN);
  bytes_init (&task->answer, task);
  return fake_reply_body (kind, exchange->body, exchange->body_length, &task->answer);
}

/* Answer 503 with x-not-run: the call was not executed. */
static void
refuse (struct fake_target *target, struct http_exchange *exchange)
{
  const char *id = http_header (exchange, "x-request-id");
  const char *attempt = http_header (exchange, "x-attempt");
  const struct http_field fields[] = { { "x-not-run", "yes" },
                                       { "content-type", "application/json" },
                                       { "x-request-id", id ? id : "" },
                                       { "x-attempt", attempt ? attempt : "" } };

  target->counts.refused++;
  exchange->ops->reply (exchange, 503, fields, 4, "{}", 2);
}

static struct fake_fault
consume_fault (struct fake_target *target)
{
  struct fake_fault fault = target->fault;
  bool affects_answer =
      fault.refuse || fault.hang || fault.die || fault.twice || fault.other || fault.late > 0;

  if (!affects_answer)
    return fault;
  target->counts.faults++;
  if (target->fault.times > 0 && --target->fault.times == 0)
    target->fault = (struct fake_fault){ .slow = fault.slow, .silent = fault.silent };
  return fault;
}

static void
enqueue (struct fake_target *target, struct fake_task *task)
{
  struct fake_task *at = NULL;

  DL_FOREACH (target->waiting, at)
    {
      if (at->priority < task->priority)
        break;
    }
  if (at)
    DL_PREPEND_ELEM (target->waiting, at, task);
  else
    DL_APPEND (target->waiting, task);
  target->n_waiting++;
}

void
fake_task_accept (struct fake_target *target, struct http_exchange *exchange, int64_t now)
{
  static const struct http_watcher_ops watcher_ops = { .closed = on_closed };
  static const struct timer_ops timer_ops = { .fire = on_timer };
  const char *id = http_header (exchange, "x-request-id");
  const char *attempt = http_header (exchange, "x-attempt");
  const char *priority = http_header (exchange, "x-priority");
  struct fake_fault fault = consume_fault (target);
  struct fake_task *task;

  if (target->left_at > 0)
    {
      target->counts.after_leave++;
      target->counts.last_call_after_leave = now - target->left_at;
    }
  if (fault.refuse || target->n_waiting >= target->options->queue_max)
    {
      refuse (target, exchange);
      return;
    }
  task = talloc_zero (target, struct fake_task);
  task->watcher.ops = &watcher_ops;
  task->timer.ops = &timer_ops;
  task->target = target;
  task->fault = fault;
  talloc_set_destructor (task, free_task);
  if (!id || !text_copy (task->id, sizeof task->id, id) || !attempt
      || !text_copy (task->attempt, sizeof task->attempt, attempt))
    {
      http_reply_error (exchange, 400, "x-request-id", "x-request-id and x-attempt are needed");
      talloc_free (task);
      return;
    }
  if (!read_call (task, exchange))
    {
      http_reply_error (exchange, 400, NULL, "the body is not of this call");
      talloc_free (task);
      return;
    }
  task->priority = priority ? (uint32_t) strtoul (priority, NULL, 10) % (PRIORITY_MAX + 1) : 0;
  task->exchange = exchange;
  exchange->watcher = &task->watcher;
  target->counts.calls++;
  enqueue (target, task);
  start_waiting (target, now);
}

static bool
cancel_in (struct fake_task *list, const char *id, const char *attempt, int64_t now)
{
  struct fake_task *task;
  struct http_exchange *exchange;

  DL_FOREACH (list, task)
    {
      if (strcmp (task->id, id) != 0 || strcmp (task->attempt, attempt) != 0)
        continue;
      exchange = fake_task_detach_exchange (task);
      exchange->ops->abort (exchange);
      fake_task_end (task, false, now);
      return true;
    }
  return false;
}

void
fake_task_cancel (struct fake_target *target, const char *id, const char *attempt, int64_t now)
{
  if (!cancel_in (target->running, id, attempt, now))
    cancel_in (target->waiting, id, attempt, now);
}

void
fake_task_release_hung (struct fake_target *target, int64_t now)
{
  struct fake_task *task;
  struct fake_task *next;

  DL_FOREACH_SAFE (target->running, task, next)
    {
      struct http_exchange *exchange;

      if (task->state != TASK_HUNG)
        continue;
      exchange = fake_task_detach_exchange (task);
      exchange->ops->abort (exchange);
      fake_task_end (task, false, now);
    }
}
