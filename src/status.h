/* Status codes, and the message of the last failure. */
#ifndef STATUS_H
#define STATUS_H

#include "decls.h"

BEGIN_DECLS

/* name, text */
#define STATUS_LIST(X)                                                                             \
  X (OK, "ok")                                                                                     \
  X (INVALID, "invalid argument")                                                                  \
  X (NOT_FOUND, "not found")                                                                       \
  X (EXISTS, "already exists")                                                                     \
  X (CONFLICT, "conflict")                                                                         \
  X (DENIED, "denied")                                                                             \
  X (LIMIT, "limit reached")                                                                       \
  X (TOO_LARGE, "too large")                                                                       \
  X (NO_MEMORY, "out of memory")                                                                   \
  X (IO, "input or output failed")                                                                 \
  X (DISK_FULL, "disk full")                                                                       \
  X (CORRUPT, "corrupt data")                                                                      \
  X (MALFORMED, "malformed message")                                                               \
  X (TIMEOUT, "timed out")                                                                         \
  X (UNAVAILABLE, "unavailable")                                                                   \
  X (NOT_LEADER, "not the leader")                                                                 \
  X (CANCELLED, "cancelled")                                                                       \
  X (EXPIRED, "expired")                                                                           \
  X (AGAIN, "try again")                                                                           \
  X (UNSUPPORTED, "not supported")

#define STATUS_MESSAGE_SIZE 512

enum status
{
#define X(name, text) STATUS_##name,
  STATUS_LIST (X)
#undef X
      STATUS_COUNT
};

/* The lower-case text of `status`, for logs and messages. */
const char *status_text (enum status status);

/* Records a failure message and returns `status`, for use as `return status_fail (STATUS_INVALID,
 * "...", ...)`.  The message is that of the calling thread, valid until its next failure. */
enum status status_fail (enum status status, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* The message of the last failure, "" when there was none. */
const char *status_message (void);

/* Aborts the process when `condition` is false.  Only for broken invariants, never for errors that
 * can occur in operation. */
#define INVARIANT(condition)                                                                       \
  ((condition) ? (void) 0 : status_invariant_failed (__FILE__, __LINE__, #condition))

void status_invariant_failed (const char *file, int line, const char *condition)
    __attribute__ ((noreturn));

END_DECLS

#endif
