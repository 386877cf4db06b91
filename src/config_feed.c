/* Sends the configuration's changes to followers. */
#include "config_feed.h"
#include "container.h"
#include "resource.h"
#include "text.h"
#include <talloc.h>
#include <utlist.h>

#define FOLLOWERS_MAX 1024
#define MESSAGE_BYTES (256u << 10) /* approximate size of the changes or objects in a message */
#define SNAPSHOT_INTERVAL_MIN (3 * USEC_PER_SEC) /* between snapshots sent to one follower */
#define READ_TIMEOUT (2 * USEC_PER_SEC)

struct feed_follower
{
  struct feed_follower *prev;
  struct feed_follower *next;
  char host[RESOURCE_NAME_SIZE];
  uint64_t held_revision;   /* revision that it last reported */
  uint64_t sent_revision;   /* revision up to which changes were sent */
  uint64_t nonce;           /* of its waiting request */
  bool has_request;         /* its request waits for a read that begins after it */
  bool read_covers_request; /* the read in progress began after its request */
  int64_t heard_at;
  int64_t snapshot_at; /* when it was last sent a snapshot, 0 for never */
};

struct config_feed
{
  struct config_feed_config config;
  struct config_handler handler;
  struct store_listener listener;
  struct timer push;
  struct proposal proposal;
  struct dump_source source;
  struct feed_follower *followers;
  uint32_t n_followers;
  bool reading;
  struct counter *snapshots;
};

static struct feed_follower *
find_follower (struct config_feed *feed, const char *host)
{
  struct feed_follower *follower;

  DL_FOREACH (feed->followers, follower)
    if (strcmp (follower->host, host) == 0)
      return follower;
  return NULL;
}

static void
drop (struct config_feed *feed, struct feed_follower *follower)
{
  DL_DELETE (feed->followers, follower);
  feed->n_followers--;
  talloc_free (follower);
}

static struct feed_follower *
add_follower (struct config_feed *feed, const char *host)
{
  struct feed_follower *follower;

  if (feed->n_followers == FOLLOWERS_MAX)
    return NULL;
  follower = talloc_zero (feed, struct feed_follower);
  if (follower == NULL)
    return NULL;
  text_copy_truncated (follower->host, sizeof follower->host, host);
  DL_APPEND (feed->followers, follower);
  feed->n_followers++;
  return follower;
}

static void
send_part (struct config_feed *feed,
           const struct feed_follower *follower,
           uint32_t number,
           bool last,
           struct bytes *events,
           uint32_t count)
{
  struct bytes message;

  bytes_init (&message, feed);
  config_link_write_header (CONFIG_SNAPSHOT_PART, &message);
  pack_uint (&message, store_revision (feed->config.store));
  pack_uint (&message, number);
  pack_bool (&message, last);
  pack_array (&message, count);
  bytes_append (&message, events->data, events->length);
  bytes_clear (events);
  config_link_send (feed->config.link, follower->host, &message); /* the follower retries */
}

/* Send every object, in parts.  The follower repeats its request when a part is lost. */
static void
send_snapshot (struct config_feed *feed, struct feed_follower *follower)
{
  const struct store_object *object;
  struct bytes events;
  uint32_t number = 0;
  uint32_t count = 0;
  int kind;

  bytes_init (&events, feed);
  for (kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
    {
      object = store_next (feed->config.store, (enum resource_kind) kind, "");
      for (; object != NULL; object = store_next (feed->config.store, object->kind, object->name))
        {
          struct store_event event = { .revision = object->revision,
                                       .kind = object->kind,
                                       .generation = object->generation,
                                       .spec = object->spec,
                                       .status = object->status };

          text_copy_truncated (event.name, sizeof event.name, object->name);
          store_event_pack (&event, &events);
          count++;
          if (events.length < MESSAGE_BYTES)
            continue;
          send_part (feed, follower, number++, false, &events, count);
          count = 0;
        }
    }
  send_part (feed, follower, number, true, &events, count);
  follower->sent_revision = store_revision (feed->config.store);
  counter_add (feed->snapshots, 1);
}

/* Send the changes after the last one sent to the follower, or a snapshot when the history no
 * longer holds them. */
static void
push (struct config_feed *feed, struct feed_follower *follower, int64_t now)
{
  const struct store_history *changes = store_get_history (feed->config.store);
  const struct store_event *event = NULL;
  struct bytes events;
  struct bytes message;
  uint32_t count;

  do
    {
      bytes_init (&events, feed);
      for (count = 0; events.length < MESSAGE_BYTES; count++)
        {
          if (store_history_next (changes, follower->sent_revision, &event) != STATUS_OK)
            {
              bytes_clear (&events);
              if (follower->snapshot_at != 0 && now < follower->snapshot_at + SNAPSHOT_INTERVAL_MIN)
                return;
              follower->snapshot_at = now;
              send_snapshot (feed, follower);
              return;
            }
          if (event == NULL)
            break;
          store_event_pack (event, &events);
          follower->sent_revision = event->revision;
        }
      if (count == 0)
        return;
      bytes_init (&message, feed);
      config_link_write_header (CONFIG_CHANGES, &message);
      pack_array (&message, count);
      bytes_append (&message, events.data, events.length);
      bytes_clear (&events);
      config_link_send (feed->config.link, follower->host, &message);
    }
  while (event != NULL);
}

static void
push_due (struct timer *timer, int64_t now)
{
  struct config_feed *feed = CONTAINER_OF (timer, struct config_feed, push);
  struct feed_follower *follower;
  struct feed_follower *following;

  DL_FOREACH_SAFE (feed->followers, follower, following)
    if (now - follower->heard_at > CONFIG_FEED_FOLLOWER_TIMEOUT)
      drop (feed, follower);
    else
      push (feed, follower, now);
}

static void
changed (struct store_listener *listener, const struct store_event *event)
{
  struct config_feed *feed = CONTAINER_OF (listener, struct config_feed, listener);

  (void) event;
  if (feed->followers != NULL && !timer_is_armed (&feed->push))
    timer_arm (feed->config.timers, &feed->push, 0);
}

static void
replaced (struct store_listener *listener)
{
  changed (listener, NULL);
}

/* One read serves every request that arrived before it began.  A request that arrives during a read
 * waits for the next: the read may have been confirmed before a change that the follower must not
 * miss. */
static void
begin_read (struct config_feed *feed, int64_t now)
{
  struct consensus *consensus = feed->config.consensus;
  struct feed_follower *follower;
  bool wanted = false;

  if (feed->reading)
    return;
  DL_FOREACH (feed->followers, follower)
    {
      follower->read_covers_request = follower->has_request;
      wanted = wanted || follower->has_request;
    }
  feed->reading =
      wanted
      && consensus->ops->read (consensus, &feed->proposal, now + READ_TIMEOUT, now) == STATUS_OK;
}

static void
send_confirmation (struct config_feed *feed, const struct feed_follower *follower)
{
  struct bytes message;

  bytes_init (&message, feed);
  config_link_write_header (CONFIG_CONFIRMATION, &message);
  pack_uint (&message, follower->nonce);
  pack_uint (&message, store_revision (feed->config.store));
  config_link_send (feed->config.link, follower->host, &message);
}

static void
read_done (
    struct proposal *proposal, enum status status, const void *result, size_t length, int64_t now)
{
  struct config_feed *feed = CONTAINER_OF (proposal, struct config_feed, proposal);
  struct feed_follower *follower;

  (void) result;
  (void) length;
  feed->reading = false;
  DL_FOREACH (feed->followers, follower)
    {
      if (!follower->read_covers_request)
        continue;
      follower->read_covers_request = false;
      follower->has_request = false; /* without a quorum it retries, perhaps at another voter */
      if (status != STATUS_OK)
        continue;
      push (feed, follower, now);
      send_confirmation (feed, follower);
    }
  begin_read (feed, now);
}

static void
received (struct config_handler *handler,
          enum config_message type,
          const char *from,
          struct pack_reader *body,
          int64_t now)
{
  struct config_feed *feed = CONTAINER_OF (handler, struct config_feed, handler);
  uint64_t nonce = pack_read_uint (body, UINT64_MAX);
  uint64_t held_revision = pack_read_uint (body, UINT64_MAX);
  struct feed_follower *follower = find_follower (feed, from);

  (void) type;
  if (!pack_read_is_complete (body))
    return;
  if (follower == NULL)
    follower = add_follower (feed, from);
  if (follower == NULL)
    return;
  follower->held_revision = held_revision;
  follower->sent_revision = held_revision;
  follower->heard_at = now;
  /* A repeat does not replace a waiting request: the read in progress may have begun before the
   * repeat, and repeats that arrive faster than reads end would postpone the answer for ever. */
  if (!follower->has_request)
    {
      follower->nonce = nonce;
      follower->has_request = true;
      follower->read_covers_request = false;
    }
  begin_read (feed, now);
}

static json_t *
describe (struct dump_source *source, int64_t now)
{
  const struct config_feed *feed = CONTAINER_OF (source, struct config_feed, source);
  const struct feed_follower *follower;
  json_t *followers = json_array ();

  DL_FOREACH (feed->followers, follower)
    json_array_append_new (followers,
                           json_pack ("{s:s,s:I,s:I}", "host", follower->host, "revision",
                                      (json_int_t) follower->held_revision, "heard_ms_ago",
                                      (json_int_t) ((now - follower->heard_at) / USEC_PER_MSEC)));
  return json_pack ("{s:o}", "followers", followers);
}

static const struct config_handler_ops handler_ops = { .received = received };
static const struct store_listener_ops listener_ops = { .changed = changed, .replaced = replaced };
static const struct timer_ops push_ops = { .fire = push_due };
static const struct proposal_ops proposal_ops = { .done = read_done };
static const struct dump_source_ops source_ops = { .describe = describe };

static int
destroy (struct config_feed *feed)
{
  timer_disarm (feed->config.timers, &feed->push);
  store_remove_listener (feed->config.store, &feed->listener);
  if (feed->reading)
    feed->config.consensus->ops->withdraw (feed->config.consensus, &feed->proposal);
  return 0;
}

struct config_feed *
config_feed_new (void *parent, const struct config_feed_config *config)
{
  struct config_feed *feed = talloc_zero (parent, struct config_feed);

  if (feed == NULL)
    return NULL;
  feed->config = *config;
  feed->handler.ops = &handler_ops;
  feed->listener.ops = &listener_ops;
  feed->push.ops = &push_ops;
  feed->proposal.ops = &proposal_ops;
  feed->source.ops = &source_ops;
  feed->source.name = "config_feed";
  feed->snapshots = counter_get (config->counters, "cherryarch_config_copies_sent_total",
                                 "Whole copies of the configuration sent to followers.", NULL);
  store_add_listener (config->store, &feed->listener);
  config_link_set_handler (config->link, CONFIG_REQUEST, &feed->handler);
  if (config->dump != NULL)
    dump_add (config->dump, &feed->source);
  talloc_set_destructor (feed, destroy);
  return feed;
}
