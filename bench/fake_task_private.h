/* A call to a fake target, shared by fake_task.c (lifecycle) and fake_answer.c (answer). */
#ifndef FAKE_TASK_PRIVATE_H
#define FAKE_TASK_PRIVATE_H

#include "decls.h"
#include "fake.h"
#include "service_time.h"

BEGIN_DECLS

#define FAKE_TASK_ID_SIZE 160
#define FAKE_TASK_ATTEMPT_SIZE 24

enum task_state
{
  TASK_WAITING,
  TASK_WORKING, /* until the first output, or the whole answer */
  TASK_DECODING,
  TASK_HELD, /* finished, delayed by a fault */
  TASK_HUNG
};

struct fake_task
{
  struct http_watcher watcher; /* must be first: its callback casts it back */
  struct timer timer;
  struct fake_target *target;
  struct http_exchange *exchange;
  char id[FAKE_TASK_ID_SIZE];
  char attempt[FAKE_TASK_ATTEMPT_SIZE];
  uint32_t priority;
  enum task_state state;
  struct fake_fault fault; /* copied when the call arrived */
  int64_t started;
  uint32_t input_tokens;
  uint32_t cached_tokens;
  uint32_t max_tokens;
  uint32_t piece; /* index of the next piece to send */
  uint64_t prompt_hash;
  json_t *body; /* of a generation: owns the prompt */
  const char *prompt;
  size_t prompt_length;
  struct bytes answer; /* if not streamed */
  struct fake_task *prev;
  struct fake_task *next;
};

/* ---- fake_task.c ---- */

/* Free the task and its slot.  The exchange must no longer be used. */
void fake_task_end (struct fake_task *task, bool answered, int64_t now);

/* Detach and return the task's exchange; it is no longer watched. */
struct http_exchange *fake_task_detach_exchange (struct fake_task *task);

/* A duration multiplied by time_scale, and the load that determines service times. */
int64_t fake_task_scaled (const struct fake_target *target, int64_t span);
struct service_load fake_task_load (const struct fake_target *target);

/* ---- fake_answer.c ---- */

/* Send the whole answer or begin the stream, after the delay of a `late` fault. */
void fake_task_first_output (struct fake_task *task, int64_t now);

/* Send the next piece, then continue, finish or, by a fault, abort the stream. */
void fake_task_decode (struct fake_task *task, int64_t now);

END_DECLS

#endif
