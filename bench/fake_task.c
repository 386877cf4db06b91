/* The work of a fake target: calls wait by priority for a slot of the batch, take the time that
 * service_time.h says at the batch's size of the moment, and are answered as answer.h says. */
#include "answer.h"
#include "fake.h"
#include "fake_execution.h"
#include "service_time.h"
#include "text.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#define ID_SIZE 160
#define ATTEMPT_SIZE 24
#define PRIORITY_MAX 9
#define TOKENS_MAX 100000

enum task_state
{
  TASK_WAITING,
  TASK_WORKING, /* up to the first output, or the whole of it */
  TASK_DECODING,
  TASK_HELD, /* finished, and late by a fault */
  TASK_HUNG
};

struct fake_task
{
  struct http_watcher watcher; /* first: its callback casts back */
  struct timer timer;
  struct fake_target *target;
  struct http_exchange *exchange;
  char id[ID_SIZE];
  char attempt[ATTEMPT_SIZE];
  uint32_t priority;
  enum task_state state;
  struct fake_fault fault; /* as it was when the call came */
  int64_t started;
  uint32_t input_tokens;
  uint32_t cached_tokens;
  uint32_t max_tokens;
  uint32_t piece; /* the next to send */
  uint64_t prompt_hash;
  json_t *body; /* of a generation: owns the prompt */
  const char *prompt;
  size_t prompt_length;
  struct bytes answer; /* of what comes whole */
  struct fake_task *prev;
  struct fake_task *next;
};

static void start_waiting (struct fake_target *target, int64_t now);

static int64_t
scaled (const struct fake_target *target, int64_t span)
{
  return (int64_t) llround ((double) span * target->options->time_scale);
}

static struct service_load
load_of (const struct fake_target *target)
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

/* The slot is free again; the exchange is no longer ours. */
static void
end_task (struct fake_task *task, bool answered, int64_t now)
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

/* The other side's view of a call, with the id a fault may have changed. */
static size_t
answer_fields (const struct fake_task *task, const char *type, struct http_field out[3])
{
  out[0] = (struct http_field){ "content-type", type };
  out[1] =
      (struct http_field){ "x-request-id", task->fault.other ? "of-another-request" : task->id };
  out[2] = (struct http_field){ "x-attempt", task->attempt };
  return 3;
}

static struct http_exchange *
give_up_exchange (struct fake_task *task)
{
  struct http_exchange *exchange = task->exchange;

  exchange->watcher = NULL;
  task->exchange = NULL;
  return exchange;
}

static void
deliver_whole (struct fake_task *task, int64_t now)
{
  struct http_exchange *exchange = give_up_exchange (task);
  struct http_field fields[3];
  size_t n = answer_fields (task, "application/json", fields);

  if (task->fault.die)
    {
      exchange->ops->begin (exchange, 200, fields, n);
      exchange->ops->write (exchange, task->answer.data, task->answer.length / 2);
      exchange->ops->abort (exchange);
      end_task (task, false, now);
      return;
    }
  if (task->fault.twice)
    {
      exchange->ops->begin (exchange, 200, fields, n);
      exchange->ops->write (exchange, task->answer.data, task->answer.length);
      exchange->ops->write (exchange, task->answer.data, task->answer.length);
      exchange->ops->finish (exchange);
      end_task (task, false, now);
      return;
    }
  exchange->ops->reply (exchange, 200, fields, n, task->answer.data, task->answer.length);
  end_task (task, true, now);
}

static uint32_t
piece_count (const struct fake_task *task)
{
  uint32_t tokens = task->target->options->piece_tokens;

  return (task->max_tokens + tokens - 1) / tokens;
}

static uint32_t
piece_tokens (const struct fake_task *task)
{
  uint32_t tokens = task->target->options->piece_tokens;
  uint32_t from = task->piece * tokens;
  uint32_t left = from < task->max_tokens ? task->max_tokens - from : 0;

  return left < tokens ? left : tokens;
}

static void
write_event (struct fake_task *task, json_t *event)
{
  struct http_exchange *exchange = task->exchange;
  char *text = json_dumps (event, JSON_COMPACT);
  struct bytes out;

  bytes_init (&out, task);
  for (int i = 0; i < (task->fault.twice ? 2 : 1); i++)
    {
      bytes_append_text (&out, "data: ");
      bytes_append_text (&out, text);
      bytes_append_text (&out, "\n\n");
    }
  exchange->ops->write (exchange, out.data, out.length);
  bytes_clear (&out);
  free (text);
  json_decref (event);
}

static void
write_piece (struct fake_task *task, bool last)
{
  uint32_t tokens = piece_tokens (task);
  uint32_t from = task->piece * task->target->options->piece_tokens;
  struct bytes text;
  json_t *choice;
  json_t *event;

  bytes_init (&text, task);
  bytes_append (&text, "", 0);
  for (uint32_t i = 0; i < tokens; i++)
    {
      char piece[ANSWER_BYTES_PER_TOKEN + 1];

      answer_piece (task->prompt_hash, from + i, piece);
      bytes_append (&text, piece, ANSWER_BYTES_PER_TOKEN);
    }
  choice =
      json_pack ("{s:s%, s:I}", "text", text.data, text.length, "index", (json_int_t) task->piece);
  bytes_clear (&text);
  if (last)
    json_object_set_new (choice, "finish_reason", json_string ("stop"));
  event = json_pack ("{s:[o]}", "choices", choice);
  if (last)
    json_object_set_new (event, "usage",
                         json_pack ("{s:I, s:I, s:I}", "prompt_tokens",
                                    (json_int_t) task->input_tokens, "completion_tokens",
                                    (json_int_t) task->max_tokens, "cached_tokens",
                                    (json_int_t) task->cached_tokens));
  write_event (task, event);
  task->piece++;
}

static void
finish_stream (struct fake_task *task, int64_t now)
{
  static const char done[] = "data: [DONE]\n\n";
  struct http_exchange *exchange = give_up_exchange (task);

  exchange->ops->write (exchange, done, sizeof done - 1);
  exchange->ops->finish (exchange);
  end_task (task, true, now);
}

/* Send the next piece; the stream goes on, ends, or dies by a fault. */
static void
decode (struct fake_task *task, int64_t now)
{
  struct fake_target *target = task->target;
  struct service_load load = load_of (target);
  struct http_exchange *exchange;
  bool last;

  do
    {
      last = task->piece + 1 >= piece_count (task);
      if (task->fault.die && task->piece >= piece_count (task) / 2)
        {
          exchange = give_up_exchange (task);
          exchange->ops->abort (exchange);
          end_task (task, false, now);
          return;
        }
      write_piece (task, last);
    }
  while (!last && target->options->time_scale <= 0);
  if (last)
    {
      finish_stream (task, now);
      return;
    }
  timer_arm (loop_timers (target->loop), &task->timer,
             now + scaled (target, piece_tokens (task) * service_time_token (&load)));
}

static void
begin_stream (struct fake_task *task, int64_t now)
{
  struct fake_target *target = task->target;
  struct service_load load = load_of (target);
  struct http_field fields[3];
  size_t n = answer_fields (task, "text/event-stream", fields);

  fake_cache_store (target->cache, task->prompt, task->prompt_length);
  task->exchange->ops->begin (task->exchange, 200, fields, n);
  task->state = TASK_DECODING;
  if (target->options->time_scale <= 0)
    {
      decode (task, now);
      return;
    }
  timer_arm (loop_timers (target->loop), &task->timer,
             now + scaled (target, piece_tokens (task) * service_time_token (&load)));
}

static void
first_output (struct fake_task *task, int64_t now)
{
  if (task->state == TASK_WORKING && task->fault.late > 0)
    {
      task->state = TASK_HELD;
      timer_arm (loop_timers (task->target->loop), &task->timer, now + task->fault.late);
      return;
    }
  if (task->body)
    begin_stream (task, now);
  else
    deliver_whole (task, now);
}

static void
on_timer (struct timer *timer, int64_t now)
{
  struct fake_task *task =
      (struct fake_task *) ((char *) timer - offsetof (struct fake_task, timer));

  if (task->state == TASK_DECODING)
    decode (task, now);
  else
    first_output (task, now);
}

static void
start_task (struct fake_task *task, int64_t now)
{
  struct fake_target *target = task->target;
  struct service_load load;
  int64_t span;

  /* The analyzer does not know that a waiting task is in a list with a head.
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
  load = load_of (target);
  span = scaled (target, service_time_first (target->options->kind, task->input_tokens,
                                             task->cached_tokens, &load));
  if (span <= 0 && task->fault.late == 0)
    first_output (task, now);
  else
    timer_arm (loop_timers (target->loop), &task->timer, now + span);
}

/* With answers that come at once, each end starts the next: the depth is the queue's, bounded. */
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
  end_task (task, false, now);
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
  return fake_reply_whole (kind, exchange->body, exchange->body_length, &task->answer);
}

/* Say that nothing was done. */
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
take_fault (struct fake_target *target)
{
  struct fake_fault fault = target->fault;
  bool spoils =
      fault.refuse || fault.hang || fault.die || fault.twice || fault.other || fault.late > 0;

  if (!spoils)
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
fake_task_take (struct fake_target *target, struct http_exchange *exchange, int64_t now)
{
  static const struct http_watcher_ops watcher_ops = { .closed = on_closed };
  static const struct timer_ops timer_ops = { .fire = on_timer };
  const char *id = http_header (exchange, "x-request-id");
  const char *attempt = http_header (exchange, "x-attempt");
  const char *priority = http_header (exchange, "x-priority");
  struct fake_fault fault = take_fault (target);
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
      exchange = give_up_exchange (task);
      exchange->ops->abort (exchange);
      end_task (task, false, now);
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
fake_task_release (struct fake_target *target, int64_t now)
{
  struct fake_task *task;
  struct fake_task *next;

  DL_FOREACH_SAFE (target->running, task, next)
    {
      struct http_exchange *exchange;

      if (task->state != TASK_HUNG)
        continue;
      exchange = give_up_exchange (task);
      exchange->ops->abort (exchange);
      end_task (task, false, now);
    }
}
