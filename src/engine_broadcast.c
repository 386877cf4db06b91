/* Events of model engines between entry hosts. */
#include "engine_broadcast.h"
#include "container.h"
#include "pack.h"
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define ENGINE_MESSAGE_EVENTS_MAX 1024

/* Other failure domains to which a host sends relay messages.  Hosts of any further domain are sent
 * the starts directly. */
#define ENGINE_RELAY_DOMAINS_MAX 32

/* The kind of a message.  Wire format: never renumbered. */
enum engine_message_kind
{
  ENGINE_MESSAGE_DIRECT = 1, /* all events of the sender */
  ENGINE_MESSAGE_STARTS = 2, /* starts only: the sender's, or those that it relays */
  ENGINE_MESSAGE_RELAY = 3,  /* starts only, for the receiver to relay in its domain */
};

/* Wire format: never renumbered. */
enum engine_event
{
  ENGINE_EVENT_STARTED = 0, /* target, request, own tokens, parts with their tokens */
  ENGINE_EVENT_BEGAN = 1,   /* target, request */
  ENGINE_EVENT_ENDED = 2,   /* target, request */
  ENGINE_EVENT_COUNT
};

struct engine_broadcast
{
  struct engine_broadcast_config config;
  struct peer_listener listener;
  struct timer timer;
  struct bytes starts;
  uint32_t n_starts;
  struct bytes ends; /* beginnings and ends */
  uint32_t n_ends;
  struct timer relay_timer;
  struct bytes relayed; /* starts of other domains' hosts, to be sent in this host's domain */
  uint32_t n_relayed;
  struct counter *sent;
};

/* Whether `host` and this host send each other beginnings and ends as well as starts.  NULL: a host
 * that no controller has announced yet. */
static bool
exchanges_all_events (const struct engine_broadcast *broadcast,
                      const struct host_view *view,
                      const struct sync_host *host)
{
  return view->n <= ENGINE_BROADCAST_ALL_EVENTS_HOSTS_MAX
         || (host != NULL
             && strcmp (host->domain, subscriber_domain (broadcast->config.subscriber)) == 0);
}

static void
append_events (const struct bytes *events, struct bytes *out)
{
  bytes_append (out, events->data == NULL ? "" : events->data, events->length);
}

static void
write_message (enum engine_message_kind kind,
               const struct bytes *events,
               uint32_t n_events,
               struct bytes *out)
{
  bytes_init (out, NULL);
  pack_uint (out, kind);
  pack_array (out, n_events);
  append_events (events, out);
}

static void
send_to (struct engine_broadcast *broadcast,
         const struct sync_host *host,
         const struct bytes *message)
{
  struct peer_port *port = broadcast->config.port;

  if (bytes_has_failed (message))
    return;
  port->ops->send (port, host->name, PEER_CHANNEL_LOAD, message->data, message->length);
  counter_add (broadcast->sent, 1);
}

/* Send to all hosts with which this host exchanges all events. */
static void
send_near (struct engine_broadcast *broadcast, const struct bytes *message)
{
  const struct host_view *view = subscriber_hosts (broadcast->config.subscriber);

  for (uint32_t i = 0; i < view->n; i++)
    if (!subscriber_is_self (broadcast->config.subscriber, view->hosts[i])
        && exchanges_all_events (broadcast, view, view->hosts[i]))
      send_to (broadcast, view->hosts[i], message);
}

/* The host of a domain that relays starts there: the one whose name has the highest hash. */
struct relay_host
{
  const struct sync_host *host;
  uint64_t score;
};

static struct relay_host *
relay_host_of (struct relay_host relay_hosts[ENGINE_RELAY_DOMAINS_MAX],
               uint32_t *n,
               const char *domain)
{
  for (uint32_t i = 0; i < *n; i++)
    if (strcmp (relay_hosts[i].host->domain, domain) == 0)
      return &relay_hosts[i];
  if (*n == ENGINE_RELAY_DOMAINS_MAX)
    return NULL;
  relay_hosts[*n] = (struct relay_host){ .host = NULL };
  return &relay_hosts[(*n)++];
}

/* Send the starts to the hosts of other domains.  In a large fleet they go to one host of each
 * domain, as messages to every host grow with the square of the number of hosts.  Only that host
 * gets a relay message: if all hosts of a domain got one, each would send it to all others. */
static void
send_far (struct engine_broadcast *broadcast)
{
  const struct host_view *view = subscriber_hosts (broadcast->config.subscriber);
  struct relay_host relay_hosts[ENGINE_RELAY_DOMAINS_MAX];
  struct bytes single;
  struct bytes relay;
  uint32_t n = 0;

  write_message (ENGINE_MESSAGE_STARTS, &broadcast->starts, broadcast->n_starts, &single);
  write_message (ENGINE_MESSAGE_RELAY, &broadcast->starts, broadcast->n_starts, &relay);
  for (uint32_t i = 0; i < view->n; i++)
    {
      const struct sync_host *host = view->hosts[i];
      uint64_t score = XXH3_64bits (host->name, strlen (host->name));
      struct relay_host *relay_host;

      if (subscriber_is_self (broadcast->config.subscriber, host)
          || exchanges_all_events (broadcast, view, host))
        continue;
      relay_host = view->n <= ENGINE_BROADCAST_DIRECT_HOSTS_MAX
                       ? NULL
                       : relay_host_of (relay_hosts, &n, host->domain);
      if (relay_host == NULL)
        send_to (broadcast, host, &single);
      else if (relay_host->host == NULL || score > relay_host->score)
        *relay_host = (struct relay_host){ .host = host, .score = score };
    }
  for (uint32_t i = 0; i < n; i++)
    send_to (broadcast, relay_hosts[i].host, &relay);
  bytes_clear (&single);
  bytes_clear (&relay);
}

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct engine_broadcast *broadcast = CONTAINER_OF (timer, struct engine_broadcast, timer);
  struct bytes near;

  (void) now;
  write_message (ENGINE_MESSAGE_DIRECT, &broadcast->starts, broadcast->n_starts + broadcast->n_ends,
                 &near);
  append_events (&broadcast->ends, &near);
  send_near (broadcast, &near);
  bytes_clear (&near);
  if (broadcast->n_starts > 0)
    send_far (broadcast);
  bytes_clear (&broadcast->starts);
  bytes_clear (&broadcast->ends);
  broadcast->n_starts = 0;
  broadcast->n_ends = 0;
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

static void
send_relayed (struct engine_broadcast *broadcast)
{
  struct bytes message;

  write_message (ENGINE_MESSAGE_STARTS, &broadcast->relayed, broadcast->n_relayed, &message);
  if (broadcast->n_relayed > 0)
    send_near (broadcast, &message);
  bytes_clear (&message);
  bytes_clear (&broadcast->relayed);
  broadcast->n_relayed = 0;
}

static void
relay_timer_fired (struct timer *timer, int64_t now)
{
  (void) now;
  send_relayed (CONTAINER_OF (timer, struct engine_broadcast, relay_timer));
}

static const struct timer_ops relay_timer_ops = { .fire = relay_timer_fired };

/* Queue the encoded events of a relay message, unchanged, to be relayed. */
static void
queue_relayed (struct engine_broadcast *broadcast,
               const void *events,
               size_t length,
               uint32_t n_events,
               int64_t now)
{
  if (broadcast->n_relayed + n_events > ENGINE_MESSAGE_EVENTS_MAX)
    send_relayed (broadcast);
  bytes_append (&broadcast->relayed, events, length);
  broadcast->n_relayed += n_events;
  if (!timer_is_armed (&broadcast->relay_timer))
    timer_arm (broadcast->config.timers, &broadcast->relay_timer,
               now + ENGINE_BROADCAST_RELAY_DELAY);
}

static void
write_event_header (struct bytes *events,
                    enum engine_event event,
                    uint64_t target,
                    uint64_t request)
{
  pack_uint (events, event);
  pack_uint (events, target);
  pack_uint (events, request);
}

static void
schedule_send (struct engine_broadcast *broadcast, int64_t now)
{
  if (!timer_is_armed (&broadcast->timer))
    timer_arm (broadcast->config.timers, &broadcast->timer, now + ENGINE_BROADCAST_DELAY);
}

void
engine_broadcast_started (struct engine_broadcast *broadcast,
                          uint64_t target,
                          uint64_t request,
                          const struct engine_prompt *prompt,
                          int64_t now)
{
  engine_load_started (broadcast->config.load, target, request, prompt, true, now);
  write_event_header (&broadcast->starts, ENGINE_EVENT_STARTED, target, request);
  pack_uint (&broadcast->starts, prompt->own_tokens);
  pack_array (&broadcast->starts, prompt->n_parts);
  for (uint32_t i = 0; i < prompt->n_parts; i++)
    {
      pack_uint (&broadcast->starts, prompt->parts[i]);
      pack_uint (&broadcast->starts, prompt->part_tokens[i]);
    }
  broadcast->n_starts++;
  schedule_send (broadcast, now);
}

void
engine_broadcast_began (struct engine_broadcast *broadcast,
                        uint64_t target,
                        uint64_t request,
                        int64_t now)
{
  engine_load_began (broadcast->config.load, target, request, now);
  write_event_header (&broadcast->ends, ENGINE_EVENT_BEGAN, target, request);
  broadcast->n_ends++;
  schedule_send (broadcast, now);
}

void
engine_broadcast_ended (struct engine_broadcast *broadcast,
                        uint64_t target,
                        uint64_t request,
                        int64_t now)
{
  engine_load_ended (broadcast->config.load, target, request, now);
  write_event_header (&broadcast->ends, ENGINE_EVENT_ENDED, target, request);
  broadcast->n_ends++;
  schedule_send (broadcast, now);
}

static bool
read_prompt (struct pack_reader *in, struct engine_prompt *out)
{
  memset (out, 0, sizeof *out);
  out->own_tokens = (uint32_t) pack_read_uint (in, UINT32_MAX);
  out->n_parts = pack_read_array (in, ENGINE_PARTS_MAX);
  for (uint32_t i = 0; i < out->n_parts; i++)
    {
      out->parts[i] = pack_read_uint (in, UINT64_MAX);
      out->part_tokens[i] = (uint32_t) pack_read_uint (in, UINT32_MAX);
    }
  return pack_read_is_ok (in);
}

static bool
read_event (struct engine_broadcast *broadcast,
            struct pack_reader *in,
            bool expects_begin,
            int64_t now)
{
  enum engine_event event = (enum engine_event) pack_read_uint (in, ENGINE_EVENT_COUNT - 1);
  uint64_t target = pack_read_uint (in, UINT64_MAX);
  uint64_t request = pack_read_uint (in, UINT64_MAX);
  struct engine_prompt prompt;

  if (!pack_read_is_ok (in))
    return false;
  if (event == ENGINE_EVENT_STARTED)
    {
      if (!read_prompt (in, &prompt))
        return false;
      engine_load_started (broadcast->config.load, target, request, &prompt, expects_begin, now);
      if (broadcast->config.balance != NULL)
        balance_started_elsewhere (broadcast->config.balance, target, now);
    }
  else if (event == ENGINE_EVENT_BEGAN)
    engine_load_began (broadcast->config.load, target, request, now);
  else
    engine_load_ended (broadcast->config.load, target, request, now);
  return true;
}

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct engine_broadcast *broadcast = CONTAINER_OF (listener, struct engine_broadcast, listener);
  const struct host_view *view = subscriber_hosts (broadcast->config.subscriber);
  struct pack_reader in;
  const char *events;
  uint64_t kind;
  uint32_t n;
  bool expects_begin;

  pack_reader_init (&in, data, length);
  kind = pack_read_uint (&in, ENGINE_MESSAGE_RELAY);
  n = pack_read_array (&in, ENGINE_MESSAGE_EVENTS_MAX);
  expects_begin = kind == ENGINE_MESSAGE_DIRECT
                  && exchanges_all_events (broadcast, view, host_view_find (view, from));
  events = in.data;
  for (uint32_t i = 0; i < n && kind >= ENGINE_MESSAGE_DIRECT; i++)
    if (!read_event (broadcast, &in, expects_begin, now))
      return;
  if (kind == ENGINE_MESSAGE_RELAY && n > 0 && pack_read_is_complete (&in))
    queue_relayed (broadcast, events, (size_t) (in.data - events), n, now);
}

static const struct peer_listener_ops listener_ops = { .received = received };

static int
free_broadcast (struct engine_broadcast *broadcast)
{
  timer_disarm (broadcast->config.timers, &broadcast->timer);
  timer_disarm (broadcast->config.timers, &broadcast->relay_timer);
  return 0;
}

struct engine_broadcast *
engine_broadcast_new (void *parent, const struct engine_broadcast_config *config)
{
  struct engine_broadcast *broadcast = talloc_zero (parent, struct engine_broadcast);

  if (broadcast == NULL)
    return NULL;
  broadcast->config = *config;
  broadcast->timer.ops = &timer_ops;
  broadcast->relay_timer.ops = &relay_timer_ops;
  broadcast->listener.ops = &listener_ops;
  bytes_init (&broadcast->starts, broadcast);
  bytes_init (&broadcast->ends, broadcast);
  bytes_init (&broadcast->relayed, broadcast);
  broadcast->sent = counter_get (config->counters, "cherryarch_engine_news_total",
                                 "Messages to other entry hosts about model engines.", NULL);
  config->port->ops->set_listener (config->port, PEER_CHANNEL_LOAD, &broadcast->listener);
  talloc_set_destructor (broadcast, free_broadcast);
  return broadcast;
}
