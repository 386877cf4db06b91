/* Event streams: complete events are sent to the client as they arrive.
 *
 * A target may break off, or end its answer, inside an event.  Only complete events are passed on,
 * so that a stream resumed at another target continues after the client's last event, and a stream
 * that cannot be resumed never ends inside an event. */
#include "forward_private.h"
#include "text.h"
#include <string.h>

/* The length of the first complete event with its empty line; 0 if there is none.  Its end is known
 * not to begin before `from`: an event that arrives in many small pieces is not scanned from its
 * beginning for each of them. */
static size_t
event_length (const char *data, size_t length, size_t from)
{
  for (size_t i = from; i + 1 < length; i++)
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

/* Whether the data hold a line of an event, that is, any but comments and empty lines. */
static bool
holds_event (const char *data, size_t length)
{
  const char *end = data + length;
  const char *next;

  for (const char *line = data; line < end; line = next)
    {
      const char *newline = memchr (line, '\n', (size_t) (end - line));

      if (*line != ':' && *line != '\r' && *line != '\n')
        return true;
      next = newline == NULL ? end : newline + 1;
    }
  return false;
}

/* Whether the data hold a line with data, without which a client makes no event of them. */
static bool
holds_data (const char *data, size_t length)
{
  const char *end = data + length;
  const char *next;

  for (const char *line = data; line < end; line = next)
    {
      const char *newline = memchr (line, '\n', (size_t) (end - line));

      next = newline == NULL ? end : newline + 1;
      if (next - line >= 4 && memcmp (line, "data", 4) == 0)
        return true;
    }
  return false;
}

bool
job_is_inside_event (const struct forward_job *job)
{
  return job->body.length > 0 && holds_event (job->body.data, job->body.length);
}

/* ---- ids ---- */

static bool
is_number (const char *id)
{
  return id[0] != '\0' && id[strspn (id, "0123456789")] == '\0';
}

static int
compare_numbers (const char *a, const char *b)
{
  a += strspn (a, "0");
  b += strspn (b, "0");
  if (strlen (a) != strlen (b))
    return strlen (a) < strlen (b) ? -1 : 1;
  return strcmp (a, b);
}

/* Whether an event with this id may follow one with the id `last`.  Numeric ids must increase;
 * other ids only have to differ. */
static bool
id_may_follow (const char *last, const char *id)
{
  if (is_number (last) && is_number (id))
    return compare_numbers (last, id) < 0;
  return strcmp (last, id) != 0;
}

const char *
job_last_event (const struct forward_job *job)
{
  if (job->stream.last_event[0] != '\0')
    return job->stream.last_event;
  return job->facts.last_event[0] != '\0' ? job->facts.last_event : NULL;
}

/* The value of the event's last `id` field; false if it has none, or one that is too long to be
 * sent to another target. */
static bool
read_id (const char *event, size_t length, char out[DIALECT_ID_SIZE])
{
  const char *end = event + length;
  const char *next;
  bool found = false;

  for (const char *line = event; line < end; line = next)
    {
      const char *newline = memchr (line, '\n', (size_t) (end - line));
      size_t size = (size_t) ((newline == NULL ? end : newline) - line);
      size_t skip = size > 3 && line[3] == ' ' ? 4 : 3;

      next = newline == NULL ? end : newline + 1;
      if (size > 0 && line[size - 1] == '\r')
        size--;
      if (size <= skip || memcmp (line, "id:", 3) != 0)
        continue;
      found = size - skip < DIALECT_ID_SIZE;
      if (!found)
        continue;
      memcpy (out, line + skip, size - skip);
      out[size - skip] = '\0';
    }
  return found;
}

/* A target that sends bytes but no data makes no progress, however long it goes on. */
static bool
is_stalled (struct forward_stream *stream, const char *event, size_t length)
{
  stream->skipped = holds_data (event, length) ? 0 : stream->skipped + length;
  return stream->skipped > FORWARD_SKIPPED_BYTES_MAX;
}

/* The reason if the event cannot be passed on.  A target that starts over, or whose ids go back,
 * generates a different text from the one that the client has the beginning of. */
static const char *
accept_event (struct forward_job *job, const char *event, size_t length)
{
  struct forward_stream *stream = &job->stream;
  const char *last = job->route.resumable ? job_last_event (job) : stream->last_event;
  char id[DIALECT_ID_SIZE];
  bool named = read_id (event, length, id);

  if (is_stalled (stream, event, length))
    return "too many bytes without an event";
  if (!holds_event (event, length))
    return NULL;
  if (named && last != NULL && !id_may_follow (last, id))
    return "event id out of order";
  if (named)
    memcpy (stream->last_event, id, sizeof id);
  stream->is_unresumable = !named;
  if (stream->events++ == 0)
    job_bind (job);
  return NULL;
}

/* Accepts the complete events that are held; the length of those accepted. */
static size_t
accept_events (struct forward_job *job, const char **why)
{
  const struct bytes *held = &job->body;
  size_t whole = 0;
  size_t from = job->stream.scanned;
  size_t event;

  while ((event = event_length (held->data + whole, held->length - whole, from)) > 0)
    {
      *why = accept_event (job, held->data + whole, event);
      if (*why != NULL)
        return whole;
      whole += event;
      from = 0;
    }
  /* An end takes up to three bytes, of which two may have arrived. */
  job->stream.scanned = held->length - whole < 2 ? 0 : held->length - whole - 2;
  return whole;
}

const char *
job_pass_events (struct forward_job *job, const char *data, size_t length)
{
  const char *why = NULL;
  size_t whole;

  bytes_append_limited (&job->body, data, length, FORWARD_EVENT_MAX_BYTES);
  if (bytes_has_failed (&job->body))
    return "event too large or out of memory";
  whole = accept_events (job, &why);
  if (whole > 0)
    h1_reply_data (job->exchange, job->body.data, whole);
  bytes_consume (&job->body, whole);
  return why;
}
