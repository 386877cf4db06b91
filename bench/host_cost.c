/* Keeps calls in flight and measures their latency; checks each answer against the expected one. */
#include "host_cost.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define WINDOW (60 * USEC_PER_SEC)
#define ID_SIZE 32

struct run;

struct slot
{
  struct http_call_sink sink; /* must be first: its callbacks cast to struct slot */
  struct run *run;
  uint32_t step;
  int code;
  int64_t started;
  char id[ID_SIZE];
  struct bytes answer;
};

struct run
{
  struct timer observer_timer; /* must be first: its callback casts to struct run */
  const struct host_cost_observer *observer;
  struct caller *caller;
  const struct host_cost_request *request;
  struct host_cost_result *result;
  uint32_t to_start;
  uint32_t running;
};

static void start_step (struct slot *slot);

void
host_cost_result_init (struct host_cost_result *result, void *parent, uint32_t capacity)
{
  *result = (struct host_cost_result){ .capacity = capacity };
  result->latencies_us = talloc_array (parent, int64_t, capacity);
}

static void
start_request (struct slot *slot)
{
  static uint64_t ids; /* per process, so that a host never sees an id twice */
  struct run *run = slot->run;

  run->to_start--;
  run->running++;
  slot->step = 0;
  slot->started = loop_now (caller_loop (run->caller));
  snprintf (slot->id, sizeof slot->id, "cost-%llu", (unsigned long long) ids++);
  start_step (slot);
}

static void
end_request (struct slot *slot)
{
  struct run *run = slot->run;

  run->running--;
  if (run->to_start > 0)
    start_request (slot);
  else if (run->running == 0)
    loop_stop (caller_loop (run->caller));
}

static void
start_step (struct slot *slot)
{
  struct run *run = slot->run;
  const struct host_cost_step *step = &run->request->steps[slot->step];
  struct http_client *client = caller_client (run->caller);
  int64_t now = loop_now (caller_loop (run->caller));
  const struct http_field headers[] = {
    { "content-type", "application/json" },
    { "x-organisation", "north" },
    { "x-request-id", slot->id },
    { "x-attempt", "1" },
    { "x-priority", "5" },
  };
  const struct http_call_spec spec = {
    .address = step->address,
    .method = "POST",
    .path = step->path,
    .headers = headers,
    .n_headers = sizeof headers / sizeof headers[0],
    .body = step->body.data,
    .body_length = step->body.length,
    .deadline = now + WINDOW,
  };
  struct http_call *call;

  slot->code = 0;
  bytes_consume (&slot->answer, slot->answer.length);
  /* Cannot run out of calls: the client allows more than there are slots. */
  INVARIANT (client->ops->start (client, &spec, &slot->sink, now, &call) == STATUS_OK);
}

static void
on_head (struct http_call_sink *sink,
         int code,
         const struct http_field *headers,
         size_t n_headers,
         int64_t now)
{
  (void) headers;
  (void) n_headers;
  (void) now;
  ((struct slot *) sink)->code = code;
}

static void
on_data (struct http_call_sink *sink, const void *data, size_t length, int64_t now)
{
  (void) now;
  bytes_append (&((struct slot *) sink)->answer, data, length);
}

static bool
answer_is_expected (const struct slot *slot)
{
  const struct bytes *expected = &slot->run->request->expected;

  return slot->answer.length > 0
         && memmem (slot->answer.data, slot->answer.length, expected->data, expected->length);
}

static void
count_answer (struct slot *slot)
{
  struct host_cost_result *result = slot->run->result;

  if (!answer_is_expected (slot))
    {
      if (result->wrong++ == 0)
        fprintf (stderr, "expected %s, got %s\n", slot->run->request->expected.data,
                 slot->answer.data ? slot->answer.data : "nothing");
      return;
    }
  INVARIANT (result->correct < result->capacity);
  result->latencies_us[result->correct++] =
      loop_now (caller_loop (slot->run->caller)) - slot->started;
}

static void
on_end (struct http_call_sink *sink, int64_t now)
{
  struct slot *slot = (struct slot *) sink;
  struct host_cost_result *result = slot->run->result;

  (void) now;
  if (slot->code == 429 || slot->code == 503)
    result->refused++;
  else if (slot->code != 200)
    result->failed++;
  else if (++slot->step < slot->run->request->n_steps)
    {
      start_step (slot);
      return;
    }
  else
    count_answer (slot);
  end_request (slot);
}

static void
on_failed (struct http_call_sink *sink, enum status why, bool sent, int64_t now)
{
  struct slot *slot = (struct slot *) sink;

  (void) why;
  (void) sent;
  (void) now;
  slot->run->result->failed++;
  end_request (slot);
}

static void
on_observer_timer (struct timer *timer, int64_t now)
{
  struct run *run = (struct run *) timer;

  (void) now;
  run->observer->observe (run->observer->user, run->running);
}

void
host_cost_run (struct caller *caller,
               const struct host_cost_request *request,
               uint32_t requests,
               uint32_t in_flight,
               const struct host_cost_observer *look,
               struct host_cost_result *result)
{
  static const struct http_call_sink_ops ops = {
    .head = on_head, .data = on_data, .end = on_end, .failed = on_failed
  };
  static const struct timer_ops observer_ops = { .fire = on_observer_timer };
  struct loop *loop = caller_loop (caller);
  struct run *run = talloc_zero (NULL, struct run);
  struct slot *slots = talloc_zero_array (run, struct slot, HOST_COST_SLOTS_MAX);
  int64_t start = loop_now (loop);

  INVARIANT (in_flight <= HOST_COST_SLOTS_MAX && requests > 0);
  *run = (struct run){ .observer_timer = { .ops = &observer_ops },
                       .observer = look,
                       .caller = caller,
                       .request = request,
                       .result = result,
                       .to_start = requests };
  if (look)
    timer_arm (loop_timers (loop), &run->observer_timer, start + look->after_us);
  for (uint32_t i = 0; i < in_flight && run->to_start > 0; i++)
    {
      slots[i] = (struct slot){ .sink = { .ops = &ops }, .run = run };
      bytes_init (&slots[i].answer, run);
      start_request (&slots[i]);
    }
  loop_run (loop);
  timer_disarm (loop_timers (loop), &run->observer_timer);
  result->elapsed_us += loop_now (loop) - start;
  talloc_free (run);
}

static int
compare (const void *a, const void *b)
{
  int64_t left = *(const int64_t *) a;
  int64_t right = *(const int64_t *) b;

  return (left > right) - (left < right);
}

int64_t
host_cost_quantile (struct host_cost_result *result, double q)
{
  if (result->correct == 0)
    return 0;
  qsort (result->latencies_us, result->correct, sizeof *result->latencies_us, compare);
  return result->latencies_us[(uint32_t) (q * (result->correct - 1))];
}
