/* Structured logs: one JSON object per line, through log4c.
 *
 * Each line has time (RFC 3339, UTC, microseconds), level, module, event and the fields of the
 * event. */
#ifndef LOG_H
#define LOG_H

#include "decls.h"
#include "status.h"

BEGIN_DECLS

/* name, text */
#define LOG_MODULE_LIST(X)                                                                         \
  X (HOST, "host")                                                                                 \
  X (HTTP, "http")                                                                                 \
  X (PEER, "peer")                                                                                 \
  X (FLOW, "flow")                                                                                 \
  X (DECIDE, "decide")                                                                             \
  X (CONSENSUS, "consensus")                                                                       \
  X (STORE, "store")                                                                               \
  X (MEMBER, "member")                                                                             \
  X (DIRECTORY, "directory")                                                                       \
  X (AUDIT, "audit")

enum log_module
{
#define X(name, text) LOG_MODULE_##name,
  LOG_MODULE_LIST (X)
#undef X
      LOG_MODULE_COUNT
};

/* name, text */
#define LOG_LEVEL_LIST(X)                                                                          \
  X (ERROR, "error")                                                                               \
  X (WARNING, "warning")                                                                           \
  X (INFO, "info")                                                                                 \
  X (DEBUG, "debug")

enum log_level
{
#define X(name, text) LOG_LEVEL_##name,
  LOG_LEVEL_LIST (X)
#undef X
      LOG_LEVEL_COUNT
};

/* The `path` value that selects standard output. */
#define LOG_STANDARD_OUTPUT "-"

/* Maximum lines at level info or below written per second; lines beyond it are counted as dropped,
 * and the count is logged as a line of its own.  A line takes about 15 us, so logging takes at most
 * a twentieth of a core. */
#define LOG_LINES_PER_SECOND 3000

/* Call before the first event; earlier events are discarded.  `path` NULL means standard error. */
enum status log_open (const char *path, enum log_level level);
void log_close (void);
void log_set_level (enum log_module module, enum log_level level);

/* Writes an event.  `fields` is a jansson json_pack() format of an object, such as "{s:s,s:I}",
 * followed by its arguments; NULL for none. */
void log_event (
    enum log_module module, enum log_level level, const char *event, const char *fields, ...);

/* Lets a caller build expensive fields only when the line will be written. */
int log_is_enabled (enum log_module module, enum log_level level);

END_DECLS

#endif
