/* Requests the configuration from one controller at a time. */
#include "log.h"
#include "patch.h"
#include "raft_message.h"
#include "subscriber_private.h"
#include <jansson.h>

/* Another controller is asked after this time, which doubles with each request for one version: on
 * a slow link an answer takes longer, and each further request brings one more. */
#define FETCH_TIMEOUT (400 * USEC_PER_MSEC)
#define FETCH_TIMEOUT_MAX (8 * FETCH_TIMEOUT)

/* Until a version that could not be decoded is requested again. */
#define FETCH_AFTER_MALFORMED (5 * USEC_PER_SEC)

/* Share of its time that this host spends on putting configurations in force while versions follow
 * each other; requests from callers wait meanwhile. */
#define FETCH_WORK_SHARE 0.2

static enum status
send_request (struct subscriber *self,
              const struct known_controller *controller,
              const struct sync_document_request *request)
{
  struct bytes out;

  bytes_init (&out, NULL);
  sync_write_header (SYNC_DOCUMENT_REQUEST, &out);
  sync_write_document_request (request, &out);
  return subscriber_send (self, controller, &out);
}

void
subscriber_introduce (struct subscriber *self, const struct known_controller *controller)
{
  const struct sync_document_request request = { .incarnation = self->self.incarnation };

  (void) send_request (self, controller, &request); /* repeated with the next request */
}

/* ---- requests ---- */

/* The controller that holds the newest version and has the next turn; NULL if there is none.  Any
 * newer version will do while none that can be reached holds the newest. */
static struct known_controller *
choose_controller (struct subscriber *self)
{
  struct known_controller *best = NULL;

  for (uint32_t i = 0; i < self->n_controllers; i++)
    {
      struct known_controller *each =
          &self->controllers[(self->fetch.turn + i) % self->n_controllers];

      if (each->reachable && each->document > subscriber_version (self)
          && (best == NULL || each->document > best->document))
        best = each;
    }
  return best;
}

static void
request_document (struct subscriber *self, const struct known_controller *controller, int64_t now)
{
  struct document_fetch *fetch = &self->fetch;
  struct sync_document_request request = {
    .incarnation = self->self.incarnation,
    .number = ++fetch->number,
    .wanted = true,
    .held = self->document.length == 0 || fetch->wants_whole ? 0 : subscriber_version (self),
  };

  fetch->out = send_request (self, controller, &request) == STATUS_OK;
  fetch->retry_at = now + fetch->timeout;
  fetch->turn = (uint32_t) (controller - self->controllers) + 1; /* if this one does not answer */
}

static bool
is_due (const struct subscriber *self, int64_t now)
{
  uint64_t newest = version_lag_newest (&self->lag);

  if (newest == 0 || now < self->fetch.earliest)
    return false;
  return now >= self->fetch.retry_at || (!self->fetch.out && newest != self->not_understood);
}

void
subscriber_fetch_document (struct subscriber *self, int64_t now)
{
  struct document_fetch *fetch = &self->fetch;
  const struct known_controller *controller = is_due (self, now) ? choose_controller (self) : NULL;

  if (controller == NULL)
    return;
  counter_add (self->fetch_timeouts, fetch->out ? 1 : 0);
  if (!fetch->out)
    fetch->timeout = FETCH_TIMEOUT;
  else if (fetch->timeout < FETCH_TIMEOUT_MAX)
    fetch->timeout *= 2;
  request_document (self, controller, now);
}

/* ---- answers ---- */

static void
log_not_read (struct subscriber *self,
              const struct known_controller *controller,
              const struct sync_document *header,
              const char *message)
{
  counter_add (self->malformed, 1);
  log_event (LOG_MODULE_STORE, LOG_LEVEL_ERROR, "document-not-read", "{s:s,s:I,s:I,s:I,s:s}",
             "controller", controller->name, "version", (json_int_t) header->version, "base",
             (json_int_t) header->base, "held", (json_int_t) subscriber_version (self), "message",
             message);
}

/* A whole text that cannot be read is requested of the next controller after a pause. */
static int64_t
pause_after (const struct sync_document *header, enum status status, int64_t work)
{
  if (status != STATUS_OK && header->base == 0)
    return FETCH_TIMEOUT;
  return (int64_t) ((double) work * (1 / FETCH_WORK_SHARE - 1));
}

/* False if the text has to be requested again, whole. */
static bool
apply_answer (struct subscriber *self,
              const struct known_controller *controller,
              const struct sync_document *header,
              const void *patch,
              size_t length)
{
  const struct bytes *base = header->base == 0 ? NULL : &self->document;
  int64_t begun = self->config.boottime ();
  struct bytes text;
  enum status status;

  bytes_init (&text, NULL);
  if (base != NULL && header->base != subscriber_version (self))
    status = status_fail (STATUS_CORRUPT, "the difference from a version that is not held");
  else
    status = patch_read (base, patch, length, RAFT_ENTRY_MAX, &text);
  if (status == STATUS_OK)
    subscriber_apply_document (self, controller, header->version, text.data, text.length);
  else
    log_not_read (self, controller, header, status_message ());
  bytes_clear (&text);
  self->fetch.earliest = self->now + pause_after (header, status, self->config.boottime () - begun);
  return status == STATUS_OK;
}

void
subscriber_handle_document (struct subscriber *self,
                            const struct known_controller *controller,
                            struct pack_reader *in,
                            int64_t now)
{
  struct document_fetch *fetch = &self->fetch;
  struct sync_document header;
  const void *patch = NULL;
  size_t length = 0;
  bool newest;

  if (sync_read_document (in, &header))
    patch = pack_read_binary (in, RAFT_ENTRY_MAX, &length);
  if (!pack_read_is_complete (in))
    {
      log_not_read (self, controller, &header, "the message cannot be read");
      return;
    }
  newest = header.number == fetch->number;
  counter_add (self->documents, 1);
  counter_add (self->document_bytes, (double) length);
  if (header.version <= subscriber_version (self))
    counter_add (self->superseded, 1);
  else if (newest || header.base == 0 || header.base == subscriber_version (self))
    fetch->wants_whole = !apply_answer (self, controller, &header, patch, length);
  if (newest)
    {
      fetch->out = false;
      fetch->retry_at = now + FETCH_AFTER_MALFORMED;
    }
  subscriber_fetch_document (self, now);
  subscriber_update_ready (self);
  subscriber_end_waits (self, now);
}
