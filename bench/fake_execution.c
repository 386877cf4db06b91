/* Execution counts by request id. */
#include "fake_execution.h"
#include "text.h"
#include <string.h>
#include <talloc.h>
#include <uthash.h>

struct fake_execution
{
  char id[160];
  uint32_t count;
  UT_hash_handle hh;
};

/* The functions are short; uthash's macros expand to long code.
 * NOLINTBEGIN(readability-function-size) */
void
fake_execution_count (struct fake_target *target, const char *id)
{
  struct fake_execution *execution;

  HASH_FIND_STR (target->executions, id, execution);
  if (!execution)
    {
      execution = talloc_zero (target, struct fake_execution);
      text_copy_truncated (execution->id, sizeof execution->id, id);
      HASH_ADD_STR (target->executions, id, execution);
    }
  execution->count++;
}

/* NOLINTEND(readability-function-size) */

json_t *
fake_execution_describe (const struct fake_target *target)
{
  json_t *counts = json_object ();

  for (const struct fake_execution *execution = target->executions; execution;
       execution = execution->hh.next)
    json_object_set_new (counts, execution->id, json_integer (execution->count));
  return counts;
}

void
fake_execution_clear (struct fake_target *target)
{
  HASH_CLEAR (hh, target->executions);
}
