/* Watches: event streams of the changes after a revision, with bookmarks. */
#include "container.h"
#include "log.h"
#include "operator_private.h"
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define WATCHES_MAX 256
#define WATCH_UNSENT_MAX_BYTES (1u << 20) /* sending to a slow client pauses above this */
#define WATCH_PERIOD (2 * USEC_PER_SEC)   /* of bookmarks, and of retries for slow clients */

struct operator_watch_stream
{
  struct http_watcher watcher;
  struct operator_watches *watches;
  struct operator_watch_stream *prev;
  struct operator_watch_stream *next;
  struct http_exchange *exchange;
  enum resource_kind kind;
  uint64_t revision; /* of the last change sent or skipped */
};

struct operator_watches
{
  struct operator_api *api;
  struct store_listener listener;
  struct timer pump;
  struct timer period;
  struct operator_watch_stream *list;
  uint32_t count;
  struct counter *gauge;
};

static void
free_watch (struct operator_watch_stream *watch)
{
  struct operator_watches *watches = watch->watches;

  DL_DELETE (watches->list, watch);
  watches->count--;
  gauge_set (watches->gauge, watches->count);
  talloc_free (watch);
}

static void
closed (struct http_watcher *watcher, int64_t now)
{
  (void) now;
  free_watch ((struct operator_watch_stream *) watcher);
}

static const struct http_watcher_ops watcher_ops = { .closed = closed };

/* Aborts a watch that could not send a change: continuing or ending it normally would hide the gap
 * from the client. */
static void
abort_watch (struct operator_watch_stream *watch)
{
  struct http_exchange *exchange = watch->exchange;

  log_event (LOG_MODULE_STORE, LOG_LEVEL_ERROR, "watch-broken-off", "{s:s,s:s}", "kind",
             resource_kind_plural (watch->kind), "error", "no memory for an event");
  exchange->watcher = NULL;
  free_watch (watch);
  exchange->ops->abort (exchange);
}

/* Sends one event with an object's JSON; false if memory is out and the watch was freed. */
static bool
send_object (struct operator_watch_stream *watch, const char *type, const struct bytes *object)
{
  struct bytes line;
  bool whole;

  bytes_init (&line, watch->watches);
  bytes_append_format (&line, "data: {\"type\":\"%s\",\"object\":", type);
  bytes_append (&line, object->data, object->length);
  bytes_append_text (&line, "}\n\n");
  whole = !bytes_has_failed (object) && !bytes_has_failed (&line);
  if (whole)
    watch->exchange->ops->write (watch->exchange, line.data, line.length);
  bytes_clear (&line);
  if (!whole)
    abort_watch (watch);
  return whole;
}

/* Same return value as send_object(). */
static bool
send_bookmark (struct operator_watch_stream *watch)
{
  struct bytes object;
  bool sent;

  bytes_init (&object, watch->watches);
  bytes_append_format (&object, "{\"kind\":\"%s\",\"metadata\":{\"resourceVersion\":%llu}}",
                       resource_kind_plural (watch->kind), (unsigned long long) watch->revision);
  sent = send_object (watch, "BOOKMARK", &object);
  bytes_clear (&object);
  return sent;
}

/* Ends a watch whose next change is no longer in the history. */
static void
end_too_old (struct operator_watch_stream *watch)
{
  static const char text[] = "data: {\"type\":\"ERROR\",\"object\":{\"code\":410,\"message\":\"too "
                             "old: list again\"}}\n\n";
  struct http_exchange *exchange = watch->exchange;

  exchange->watcher = NULL;
  free_watch (watch);
  exchange->ops->write (exchange, text, sizeof text - 1);
  exchange->ops->finish (exchange);
}

static void
pump (struct operator_watch_stream *watch)
{
  const struct store_history *changes = store_get_history (watch->watches->api->config.store);
  const struct store_event *event;
  struct bytes object;
  bool sent = true;

  while (sent && watch->exchange->ops->unsent (watch->exchange) < WATCH_UNSENT_MAX_BYTES)
    {
      if (store_history_next (changes, watch->revision, &event) != STATUS_OK)
        {
          end_too_old (watch);
          return;
        }
      if (event == NULL)
        return;
      watch->revision = event->revision;
      if (event->kind != watch->kind)
        continue;
      bytes_init (&object, watch->watches);
      store_event_write (event, &object);
      sent = send_object (watch, store_event_text (event->type), &object);
      bytes_clear (&object);
    }
}

static void
pump_all (struct operator_watches *watches)
{
  struct operator_watch_stream *watch;
  struct operator_watch_stream *following;

  DL_FOREACH_SAFE (watches->list, watch, following)
    pump (watch);
}

static void
pump_due (struct timer *timer, int64_t now)
{
  (void) now;
  pump_all (CONTAINER_OF (timer, struct operator_watches, pump));
}

/* Ends all watches when the host shuts down: a watch never ends by itself, so an open one would
 * delay the shutdown until its time limit.  The last bookmark gives the revision from which the
 * client can resume on another host. */
static void
end_all (struct operator_watches *watches)
{
  struct operator_watch_stream *watch;
  struct operator_watch_stream *following;

  DL_FOREACH_SAFE (watches->list, watch, following)
    {
      struct http_exchange *exchange = watch->exchange;

      if (!send_bookmark (watch))
        continue;
      exchange->watcher = NULL;
      free_watch (watch);
      exchange->ops->finish (exchange);
    }
}

static void
period_due (struct timer *timer, int64_t now)
{
  struct operator_watches *watches = CONTAINER_OF (timer, struct operator_watches, period);
  struct operator_watch_stream *watch;
  struct operator_watch_stream *following;

  pump_all (watches);
  if (watches->api->config.board->refusing)
    end_all (watches);
  DL_FOREACH_SAFE (watches->list, watch, following)
    if (watch->exchange->ops->unsent (watch->exchange) == 0)
      send_bookmark (watch);
  if (watches->list != NULL)
    timer_arm (watches->api->config.timers, timer, now + WATCH_PERIOD);
}

static void
store_changed (struct store_listener *listener, const struct store_event *event)
{
  struct operator_watches *watches = CONTAINER_OF (listener, struct operator_watches, listener);

  (void) event;
  if (watches->list != NULL && !timer_is_armed (&watches->pump))
    timer_arm (watches->api->config.timers, &watches->pump, 0);
}

static void
store_replaced (struct store_listener *listener)
{
  store_changed (listener, NULL);
}

/* Sends the current state of all objects; a watch without a revision begins with it. */
static bool
send_all_objects (struct operator_watch_stream *watch, const struct store *store)
{
  const struct store_object *object = store_next (store, watch->kind, "");
  enum resource_kind kind = watch->kind;
  struct bytes text;
  bool sent = true;

  for (; sent && object != NULL; object = store_next (store, kind, object->name))
    {
      bytes_init (&text, watch->watches);
      store_object_write (object, &text);
      sent = send_object (watch, store_event_text (STORE_EVENT_ADDED), &text);
      bytes_clear (&text);
    }
  return sent;
}

static struct operator_watch_stream *
add_watch (struct operator_request *request, uint64_t revision)
{
  struct operator_watches *watches = request->api->watches;
  struct operator_watch_stream *watch = talloc_zero (watches, struct operator_watch_stream);

  if (watch == NULL)
    return NULL;
  watch->watcher.ops = &watcher_ops;
  watch->watches = watches;
  watch->exchange = request->exchange;
  watch->kind = request->kind;
  watch->revision = revision;
  request->exchange->watcher = &watch->watcher;
  DL_APPEND (watches->list, watch);
  watches->count++;
  gauge_set (watches->gauge, watches->count);
  return watch;
}

void
operator_watch (struct operator_request *request)
{
  static const struct http_field fields[] = {
    { "content-type", "text/event-stream" },
    { "cache-control", "no-cache" },
  };
  struct operator_watches *watches = request->api->watches;
  const struct store *store = request->api->config.store;
  struct http_exchange *exchange = request->exchange;
  const struct store_event *event;
  struct operator_watch_stream *watch;
  uint64_t revision = store_revision (store);
  char text[24] = "";
  char *end = text;

  if (http_query (exchange, "resourceVersion", text, sizeof text))
    revision = strtoull (text, &end, 10);
  if (text[0] != '\0' && (end == text || *end != '\0'))
    http_reply_error (exchange, 400, "resourceVersion", "expected a whole number");
  else if (store_history_next (store_get_history (store), revision, &event) != STATUS_OK)
    http_reply_error (exchange, 410, "resourceVersion", status_message ());
  else if (watches->count >= WATCHES_MAX)
    http_reply_error (exchange, 503, NULL, "too many watches on this host: use another");
  else if ((watch = add_watch (request, revision)) == NULL)
    http_reply_error (exchange, 500, NULL, "out of memory");
  else
    {
      exchange->ops->begin (exchange, 200, fields, sizeof fields / sizeof *fields);
      if (text[0] != '\0' || send_all_objects (watch, store))
        send_bookmark (watch);
      timer_arm (request->api->config.timers, &watches->pump, 0);
      if (!timer_is_armed (&watches->period))
        timer_arm (request->api->config.timers, &watches->period, request->now + WATCH_PERIOD);
    }
}

static const struct store_listener_ops listener_ops = {
  .changed = store_changed,
  .replaced = store_replaced,
};
static const struct timer_ops pump_ops = { .fire = pump_due };
static const struct timer_ops period_ops = { .fire = period_due };

static int
destroy (struct operator_watches *watches)
{
  struct operator_watch_stream *watch;

  timer_disarm (watches->api->config.timers, &watches->pump);
  timer_disarm (watches->api->config.timers, &watches->period);
  store_remove_listener (watches->api->config.store, &watches->listener);
  DL_FOREACH (watches->list, watch)
    watch->exchange->watcher = NULL;
  return 0;
}

struct operator_watches *
operator_watches_new (struct operator_api *api)
{
  struct operator_watches *watches = talloc_zero (api, struct operator_watches);

  if (watches == NULL)
    return NULL;
  watches->api = api;
  watches->listener.ops = &listener_ops;
  watches->pump.ops = &pump_ops;
  watches->period.ops = &period_ops;
  watches->gauge =
      gauge_get (api->config.counters, "cherryarch_operator_watches", "Open watches.", NULL);
  store_add_listener (api->config.store, &watches->listener);
  talloc_set_destructor (watches, destroy);
  return watches;
}
