/* Sends the answers of a fake target, whole or streamed, as modified by its faults. */
#include "answer.h"
#include "fake_task_private.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Header fields of an answer; a fault may replace the request id. */
static size_t
answer_fields (const struct fake_task *task, const char *type, struct http_field out[3])
{
  out[0] = (struct http_field){ "content-type", type };
  out[1] =
      (struct http_field){ "x-request-id", task->fault.other ? "of-another-request" : task->id };
  out[2] = (struct http_field){ "x-attempt", task->attempt };
  return 3;
}

static void
deliver_whole (struct fake_task *task, int64_t now)
{
  struct http_exchange *exchange = fake_task_detach_exchange (task);
  struct http_field fields[3];
  size_t n = answer_fields (task, "application/json", fields);

  if (task->fault.die)
    {
      exchange->ops->begin (exchange, 200, fields, n);
      exchange->ops->write (exchange, task->answer.data, task->answer.length / 2);
      exchange->ops->abort (exchange);
      fake_task_end (task, false, now);
      return;
    }
  if (task->fault.twice)
    {
      exchange->ops->begin (exchange, 200, fields, n);
      exchange->ops->write (exchange, task->answer.data, task->answer.length);
      exchange->ops->write (exchange, task->answer.data, task->answer.length);
      exchange->ops->finish (exchange);
      fake_task_end (task, false, now);
      return;
    }
  exchange->ops->reply (exchange, 200, fields, n, task->answer.data, task->answer.length);
  fake_task_end (task, true, now);
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
  struct http_exchange *exchange = fake_task_detach_exchange (task);

  exchange->ops->write (exchange, done, sizeof done - 1);
  exchange->ops->finish (exchange);
  fake_task_end (task, true, now);
}

void
fake_task_decode (struct fake_task *task, int64_t now)
{
  struct fake_target *target = task->target;
  struct service_load load = fake_task_load (target);
  struct http_exchange *exchange;
  bool last;

  do
    {
      last = task->piece + 1 >= piece_count (task);
      if (task->fault.die && task->piece >= piece_count (task) / 2)
        {
          exchange = fake_task_detach_exchange (task);
          exchange->ops->abort (exchange);
          fake_task_end (task, false, now);
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
             now + fake_task_scaled (target, piece_tokens (task) * service_time_per_token (&load)));
}

static void
begin_stream (struct fake_task *task, int64_t now)
{
  struct fake_target *target = task->target;
  struct service_load load = fake_task_load (target);
  struct http_field fields[3];
  size_t n = answer_fields (task, "text/event-stream", fields);

  fake_cache_store (target->cache, task->prompt, task->prompt_length);
  task->exchange->ops->begin (task->exchange, 200, fields, n);
  task->state = TASK_DECODING;
  if (target->options->time_scale <= 0)
    {
      fake_task_decode (task, now);
      return;
    }
  timer_arm (loop_timers (target->loop), &task->timer,
             now + fake_task_scaled (target, piece_tokens (task) * service_time_per_token (&load)));
}

void
fake_task_first_output (struct fake_task *task, int64_t now)
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
