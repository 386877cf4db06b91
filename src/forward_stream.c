/* Event streams: whole events go to the client as they arrive.
 *
 * A target may break off, or end its answer, inside an event.  Only whole events are passed on, so
 * that a stream that goes on at another target continues behind the last one that the client has,
 * and one that cannot go on never ends in half an event. */
#include "forward_private.h"
#include "text.h"
#include <string.h>

/* The length of the first whole event, its empty line included; 0 when there is none. */
static size_t
event_length (const char *data, size_t length)
{
  for (size_t i = 0; i + 1 < length; i++)
    {
      if (data[i] != '\n')
        continue;
      if (data[i + 1] == '\n')
        return i + 2;
      if (data[i + 1] == '\r' && i + 2 < length && data[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Comments and empty lines belong to no event. */
bool
job_is_inside_event (const struct forward_job *job)
{
  const char *line = job->body.data;
  const char *end = line + job->body.length;

  while (line < end)
    {
      const char *next = memchr (line, '\n', (size_t) (end - line));

      if (*line != ':' && *line != '\r' && *line != '\n')
        return true;
      line = next == NULL ? end : next + 1;
    }
  return false;
}

static void
note_id (struct forward_job *job, const char *event, size_t length)
{
  const char *line = event;
  const char *end = event + length;

  while (line < end)
    {
      const char *next = memchr (line, '\n', (size_t) (end - line));
      size_t size = next == NULL ? (size_t) (end - line) : (size_t) (next - line);

      if (size > 0 && line[size - 1] == '\r')
        size--;
      if (size > 3 && memcmp (line, "id:", 3) == 0)
        {
          size_t skip = line[3] == ' ' ? 4 : 3;

          snprintf (job->stream.last_event, sizeof job->stream.last_event, "%.*s",
                    (int) (size - skip), line + skip);
        }
      if (next == NULL)
        return;
      line = next + 1;
    }
}

void
job_pass_events (struct forward_job *job, const char *data, size_t length)
{
  size_t whole = 0;
  size_t event;

  bytes_append (&job->body, data, length);
  while ((event = event_length (job->body.data + whole, job->body.length - whole)) > 0)
    {
      note_id (job, job->body.data + whole, event);
      job->stream.events++;
      whole += event;
    }
  if (whole == 0)
    return;
  h1_reply_data (job->exchange, job->body.data, whole);
  bytes_consume (&job->body, whole);
}
