/* A call to a fake target, shared by its life (fake_task.c) and its answer (fake_answer.c). */
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
  char id[FAKE_TASK_ID_SIZE];
  char attempt[FAKE_TASK_ATTEMPT_SIZE];
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

/* ---- fake_task.c ---- */

/* The slot is free again; the exchange is no longer ours. */
void fake_task_end (struct fake_task *task, bool answered, int64_t now);

/* The exchange, no longer watched nor the task's. */
struct http_exchange *fake_task_give_up (struct fake_task *task);

/* A span of the site's time as the target's clock has it, and the load that its calls feel. */
int64_t fake_task_scaled (const struct fake_target *target, int64_t span);
struct service_load fake_task_load (const struct fake_target *target);

/* ---- fake_answer.c ---- */

/* Its work is done: answer whole or begin the stream, later where a fault says so. */
void fake_task_first_output (struct fake_task *task, int64_t now);

/* Send the next piece; the stream goes on, ends, or dies by a fault. */
void fake_task_decode (struct fake_task *task, int64_t now);

END_DECLS

#endif
