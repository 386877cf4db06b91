/* Status codes and the last failure message. */
#include "status.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

static _Thread_local char last_message[STATUS_MESSAGE_SIZE];

static const char *const status_texts[] = {
#define X(name, text) [STATUS_##name] = text,
  STATUS_LIST (X)
#undef X
};

const char *
status_text (enum status status)
{
  if ((unsigned) status >= STATUS_COUNT)
    return "unknown status";
  return status_texts[status];
}

enum status
status_fail (enum status status, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (last_message, sizeof last_message, format, args);
  va_end (args);
  return status;
}

const char *
status_message (void)
{
  return last_message;
}

void
status_invariant_failed (const char *file, int line, const char *condition)
{
  fprintf (stderr, "%s:%d: invariant broken: %s\n", file, line, condition);
  abort ();
}
