/* Structured logs through log4c, with a custom layout and appender.
 *
 * The stock layouts and appenders do not write JSON; log4c manages the levels of the modules.  A
 * line is written with one system call that never blocks: what the reader does not accept at once
 * is dropped and counted, and the count is the next line written. */
#include "log.h"
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <limits.h>
#include <log4c.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#define LOG_TYPE_NAME "json-line"
#define LOG_CATEGORY_SIZE 64
#define LOG_FILE_MODE 0640
/* Buffer for the rest of a partially written line, which is written before the next line. */
#define LOG_PARTIAL_LINE_SIZE 65536

static const char *const module_names[] = {
#define X(name, text) [LOG_MODULE_##name] = text,
  LOG_MODULE_LIST (X)
#undef X
};

static const char *const level_names[] = {
#define X(name, text) [LOG_LEVEL_##name] = text,
  LOG_LEVEL_LIST (X)
#undef X
};

static const int priorities[] = {
  [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
  [LOG_LEVEL_WARNING] = LOG4C_PRIORITY_WARN,
  [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
  [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

/* Process-wide, like the registries of log4c. */
static struct
{
  log4c_category_t *categories[LOG_MODULE_COUNT]; /* NULL while closed */
  log4c_appender_t *appender;
  int fd;
  bool is_socket;
  bool write_error_reported;
  uint64_t dropped; /* lines since the last one written */
  time_t second;    /* the second that lines_in_second counts */
  uint32_t lines_in_second;
  json_t *fields;       /* of the event being written, or NULL */
  enum log_level level; /* of the event being written */
  char *line;           /* last result of the layout */
  size_t line_length;
  char partial_line[LOG_PARTIAL_LINE_SIZE];
  size_t partial_line_length;
  bool is_standard_output;
} state = { .fd = -1 };

/* ---- layout ---- */

static void
format_time (char *out, size_t size, const struct timeval *at)
{
  struct tm utc;
  char seconds[32];

  gmtime_r (&at->tv_sec, &utc);
  strftime (seconds, sizeof seconds, "%Y-%m-%dT%H:%M:%S", &utc);
  snprintf (out, size, "%s.%06ldZ", seconds, (long) at->tv_usec);
}

/* The component of a category name after the last dot. */
static const char *
module_of (const char *category)
{
  const char *dot = strrchr (category, '.');

  return dot == NULL ? category : dot + 1;
}

/* Formats an event as one line, to be freed; NULL when out of memory. */
static char *
format_line (const struct timeval *at,
             enum log_level level,
             const char *module,
             const char *event,
             json_t *fields)
{
  char time_text[48];
  json_t *object;
  char *line = NULL;

  format_time (time_text, sizeof time_text, at);
  object = json_pack ("{s:s,s:s,s:s,s:s}", "time", time_text, "level", level_names[level], "module",
                      module, "event", event);
  if (object != NULL && fields != NULL)
    json_object_update_missing (object, fields);
  if (object != NULL)
    line = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return line;
}

static const char *
layout_format (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void) layout;
  free (state.line);
  state.line = format_line (&event->evt_timestamp, state.level, module_of (event->evt_category),
                            event->evt_msg, state.fields);
  return state.line == NULL ? "" : state.line;
}

static const log4c_layout_type_t layout_type = {
  .name = LOG_TYPE_NAME,
  .format = layout_format,
};

/* ---- appender ---- */

/* Standard output is shared with the parent process, so its flags are not changed.  A pipe reported
 * writable accepts PIPE_BUF bytes without blocking; one that is not is not written to. */
static bool
write_would_block (void)
{
  struct pollfd at = { .fd = state.fd, .events = POLLOUT };

  return state.is_standard_output && (poll (&at, 1, 0) != 1 || (at.revents & POLLOUT) == 0);
}

static ssize_t
write_some (const char *data, size_t length)
{
  if (write_would_block ())
    {
      errno = EAGAIN;
      return -1;
    }
  if (state.is_standard_output && length > PIPE_BUF)
    length = PIPE_BUF;
  if (state.is_socket)
    return send (state.fd, data, length, MSG_DONTWAIT | MSG_NOSIGNAL);
  return write (state.fd, data, length);
}

/* Reports once, on standard error, that lines are lost for a reason other than a slow reader. */
static void
report_write_error (int error)
{
  char text[128];
  int length;

  if (state.write_error_reported)
    return;
  state.write_error_reported = true;
  length = snprintf (text, sizeof text, "cherryarch: log not written: %s\n", strerror (error));
  if (length > 0 && write (STDERR_FILENO, text, (size_t) length) < 0)
    return; /* standard error failed too */
}

/* The rest of a partially written line must precede anything else, or two lines are joined. */
static bool
flush_partial_line (void)
{
  ssize_t written;

  if (state.partial_line_length == 0)
    return true;
  written = write_some (state.partial_line, state.partial_line_length);
  if (written > 0)
    {
      state.partial_line_length -= (size_t) written;
      memmove (state.partial_line, state.partial_line + written, state.partial_line_length);
    }
  return state.partial_line_length == 0;
}

/* Writes a line whose line feed is at `data[length - 1]`; false when it was dropped. */
static bool
write_line (const char *data, size_t length)
{
  ssize_t written;

  if (!flush_partial_line ())
    return false;
  written = write_some (data, length);
  if (written < 0)
    {
      if (errno != EAGAIN && errno != EINTR)
        report_write_error (errno);
      return false;
    }
  state.write_error_reported = false;
  if ((size_t) written < length)
    {
      state.partial_line_length = length - (size_t) written;
      if (state.partial_line_length > sizeof state.partial_line)
        {
          /* The rest does not fit: terminate the truncated line so that it does not corrupt the
           * next. */
          state.partial_line[0] = '\n';
          state.partial_line_length = 1;
          return false;
        }
      memcpy (state.partial_line, data + written, state.partial_line_length);
    }
  return true;
}

/* Writes `line`, whose terminating NUL is replaced by the line feed. */
static bool
write_text (char *line)
{
  size_t length = strlen (line);

  line[length] = '\n';
  return write_line (line, length + 1);
}

static void
report_dropped (const struct timeval *at)
{
  json_t *fields = json_pack ("{s:I}", "lines", (json_int_t) state.dropped);
  char *line = format_line (at, LOG_LEVEL_WARNING, module_names[LOG_MODULE_HOST],
                            "log_lines_dropped", fields);

  if (line != NULL && write_text (line))
    state.dropped = 0;
  free (line);
  json_decref (fields);
}

static int
appender_append (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void) appender;
  if (state.line == NULL || state.fd < 0)
    return -1;
  if (state.dropped > 0)
    report_dropped (&event->evt_timestamp);
  if (state.dropped > 0 || !write_text (state.line))
    state.dropped++;
  return 0;
}

static int
appender_open (log4c_appender_t *appender)
{
  (void) appender;
  return 0;
}

static int
appender_close (log4c_appender_t *appender)
{
  (void) appender;
  return 0;
}

static const log4c_appender_type_t appender_type = {
  .name = LOG_TYPE_NAME,
  .open = appender_open,
  .append = appender_append,
  .close = appender_close,
};

/* ---- public ---- */

/* Reopens standard error as a separate file description, so that O_NONBLOCK does not affect the one
 * shared with the shell; a socket cannot be reopened and is written with MSG_DONTWAIT. */
static int
open_stderr (void)
{
  int fd = open ("/proc/self/fd/2", O_WRONLY | O_APPEND | O_NONBLOCK | O_CLOEXEC);

  return fd >= 0 ? fd : fcntl (STDERR_FILENO, F_DUPFD_CLOEXEC, 3);
}

enum status
log_open (const char *path, enum log_level level)
{
  struct stat file_status;
  int module;

  log_close ();
  state.is_standard_output = path != NULL && strcmp (path, LOG_STANDARD_OUTPUT) == 0;
  state.fd =
      path == NULL ? open_stderr ()
      : state.is_standard_output
          ? STDOUT_FILENO
          : open (path, O_WRONLY | O_APPEND | O_CREAT | O_NONBLOCK | O_CLOEXEC, LOG_FILE_MODE);
  if (state.fd < 0)
    return status_fail (STATUS_IO, "cannot open log file %s: %s",
                        path == NULL ? "(standard error)" : path, strerror (errno));
  state.is_socket = fstat (state.fd, &file_status) == 0 && S_ISSOCK (file_status.st_mode);
  /* A reader that closes its end of the log must not terminate the process. */
  signal (SIGPIPE, SIG_IGN);
  /* A log or journal file that reaches the file size limit must not terminate it either: the write
   * fails, as on a full disk, and the caller handles the error. */
  signal (SIGXFSZ, SIG_IGN);
  log4c_layout_type_set (&layout_type);
  log4c_appender_type_set (&appender_type);
  state.appender = log4c_appender_get (LOG_TYPE_NAME);
  log4c_appender_set_type (state.appender, &appender_type);
  log4c_appender_set_layout (state.appender, log4c_layout_get (LOG_TYPE_NAME));
  log4c_layout_set_type (log4c_layout_get (LOG_TYPE_NAME), &layout_type);
  for (module = 0; module < LOG_MODULE_COUNT; module++)
    {
      char name[LOG_CATEGORY_SIZE];

      snprintf (name, sizeof name, "cherryarch.%s", module_names[module]);
      state.categories[module] = log4c_category_get (name);
      log4c_category_set_appender (state.categories[module], state.appender);
      log4c_category_set_additivity (state.categories[module], 0);
      log_set_level ((enum log_module) module, level);
    }
  return STATUS_OK;
}

void
log_close (void)
{
  if (state.fd >= 0)
    {
      flush_partial_line ();
      if (!state.is_standard_output)
        close (state.fd);
    }
  free (state.line);
  memset (&state, 0, sizeof state);
  state.fd = -1;
}

void
log_set_level (enum log_module module, enum log_level level)
{
  if (state.categories[module] != NULL)
    log4c_category_set_priority (state.categories[module], priorities[level]);
}

int
log_is_enabled (enum log_module module, enum log_level level)
{
  const log4c_category_t *category = state.categories[module];

  return category != NULL && log4c_category_is_priority_enabled (category, priorities[level]);
}

/* Limits the CPU time spent on logging under high request rates.  Warnings and errors are few and
 * always written. */
static bool
exceeds_line_rate (enum log_level level)
{
  struct timespec now;

  if (level < LOG_LEVEL_INFO)
    return false;
  clock_gettime (CLOCK_MONOTONIC, &now);
  if (now.tv_sec != state.second)
    {
      state.second = now.tv_sec;
      state.lines_in_second = 0;
    }
  if (state.lines_in_second >= LOG_LINES_PER_SECOND)
    {
      state.dropped++;
      return true;
    }
  state.lines_in_second++;
  return false;
}

void
log_event (enum log_module module, enum log_level level, const char *event, const char *fields, ...)
{
  json_error_t error;
  va_list args;

  if (!log_is_enabled (module, level) || exceeds_line_rate (level))
    return;
  if (fields != NULL)
    {
      va_start (args, fields);
      state.fields = json_vpack_ex (&error, 0, fields, args);
      va_end (args);
      /* An event whose fields are not valid UTF-8 is still logged. */
      if (state.fields == NULL)
        state.fields = json_pack ("{s:s}", "fields_error", error.text);
    }
  state.level = level;
  log4c_category_log (state.categories[module], priorities[level], "%s", event);
  json_decref (state.fields);
  state.fields = NULL;
}
