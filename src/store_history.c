/* The most recent changes, in a ring buffer. */
#include "store_history.h"
#include "store_object.h"
#include "text.h"
#include <talloc.h>

#define EVENT_FIELDS 7

struct store_history
{
  struct store_event **ring;
  uint32_t events_max;
  uint32_t first;
  uint32_t count;
  size_t bytes_max;
  size_t bytes;
  uint64_t base_revision; /* the revision just before the oldest event */
};

static const char *const event_texts[] = {
#define X(name, text) [STORE_EVENT_##name] = text,
  STORE_EVENT_LIST (X)
#undef X
};

const char *
store_event_text (enum store_event_type type)
{
  return (unsigned) type < STORE_EVENT_COUNT ? event_texts[type] : "unknown";
}

void
store_event_pack (const struct store_event *event, struct bytes *out)
{
  pack_array (out, EVENT_FIELDS);
  pack_uint (out, event->revision);
  pack_uint (out, event->type);
  pack_uint (out, event->kind);
  pack_text (out, event->name);
  pack_uint (out, event->generation);
  pack_binary (out, event->spec, strlen (event->spec));
  pack_binary (out, event->status, event->status == NULL ? 0 : strlen (event->status));
}

enum status
store_event_unpack (struct store_event *event, struct pack_reader *in, void *parent)
{
  size_t spec_length;
  size_t status_length;
  const char *spec;
  const char *status;

  memset (event, 0, sizeof *event);
  if (pack_read_array (in, EVENT_FIELDS) != EVENT_FIELDS)
    in->failed = true;
  event->revision = pack_read_uint (in, UINT64_MAX);
  event->type = (enum store_event_type) pack_read_uint (in, STORE_EVENT_COUNT - 1);
  event->kind = (enum resource_kind) pack_read_uint (in, RESOURCE_KIND_COUNT - 1);
  pack_read_text (in, event->name, sizeof event->name);
  event->generation = pack_read_uint (in, UINT64_MAX);
  spec = store_read_data (in, &spec_length);
  status = store_read_data (in, &status_length);
  if (in->failed)
    return status_fail (STATUS_MALFORMED, "configuration event is malformed");
  event->spec = talloc_strndup (parent, spec, spec_length);
  event->status = status_length == 0 ? NULL : talloc_strndup (parent, status, status_length);
  if (event->spec == NULL || (status_length > 0 && event->status == NULL))
    return status_fail (STATUS_NO_MEMORY, "no memory for a configuration event");
  return STATUS_OK;
}

void
store_event_write (const struct store_event *event, struct bytes *out)
{
  const struct store_document document = {
    .kind = event->kind,
    .name = event->name,
    .generation = event->generation,
    .revision = event->revision,
    .spec = event->spec,
    .status = event->status,
  };

  store_document_write (&document, out);
}

struct store_history *
store_history_new (void *parent, uint32_t events_max, size_t bytes_max)
{
  struct store_history *history = talloc_zero (parent, struct store_history);

  if (history == NULL)
    return NULL;
  history->ring = talloc_zero_array (history, struct store_event *, events_max);
  history->events_max = events_max;
  history->bytes_max = bytes_max;
  if (history->ring == NULL)
    talloc_free (history);
  return history->ring == NULL ? NULL : history;
}

static size_t
event_size (const struct store_event *event)
{
  return sizeof *event + strlen (event->spec) + 1
         + (event->status == NULL ? 0 : strlen (event->status) + 1);
}

static void
drop_oldest (struct store_history *history)
{
  struct store_event *event = history->ring[history->first];

  history->base_revision = event->revision;
  history->bytes -= event_size (event);
  history->ring[history->first] = NULL;
  talloc_free (event);
  history->first = (history->first + 1) % history->events_max;
  history->count--;
}

/* Copy the event and its texts into one allocation. */
static struct store_event *
copy_event (struct store_history *history, const struct store_event *event)
{
  size_t spec_size = strlen (event->spec) + 1;
  size_t status_size = event->status == NULL ? 0 : strlen (event->status) + 1;
  char *memory = talloc_size (history, sizeof *event + spec_size + status_size);
  struct store_event *copy = (struct store_event *) memory;

  if (memory == NULL)
    return NULL;
  *copy = *event;
  copy->spec = memcpy (memory + sizeof *event, event->spec, spec_size);
  if (status_size > 0)
    copy->status = memcpy (memory + sizeof *event + spec_size, event->status, status_size);
  return copy;
}

void
store_history_add (struct store_history *history, const struct store_event *event)
{
  struct store_event *copy = copy_event (history, event);

  if (copy == NULL)
    {
      /* Out of memory: drop the history, so that watches must list again. */
      store_history_reset (history, event->revision);
      return;
    }
  while (history->count > 0
         && (history->count == history->events_max
             || history->bytes + event_size (copy) > history->bytes_max))
    drop_oldest (history);
  history->ring[(history->first + history->count) % history->events_max] = copy;
  history->count++;
  history->bytes += event_size (copy);
}

void
store_history_reset (struct store_history *history, uint64_t revision)
{
  while (history->count > 0)
    drop_oldest (history);
  history->base_revision = revision;
}

enum status
store_history_next (const struct store_history *history,
                    uint64_t revision,
                    const struct store_event **out)
{
  uint64_t offset;

  *out = NULL;
  if (revision < history->base_revision)
    return status_fail (STATUS_EXPIRED, "revision %llu is too old: list again",
                        (unsigned long long) revision);
  offset = revision - history->base_revision;
  if (offset < history->count)
    *out = history->ring[(history->first + offset) % history->events_max];
  return STATUS_OK;
}

uint64_t
store_history_oldest (const struct store_history *history)
{
  return history->base_revision;
}
