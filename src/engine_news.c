/* Events of model engines between entry hosts. */
#include "engine_news.h"
#include "container.h"
#include "pack.h"
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define NEWS_EVENTS_MAX 1024

/* Other failure domains to which a host sends relay messages.  Hosts of any further domain are sent
 * the starts directly. */
#define NEWS_DOMAINS_MAX 32

/* The kind of a message.  Wire format: never renumbered. */
enum news_kind
{
  NEWS_DIRECT = 1, /* all events of the sender */
  NEWS_PASSED = 2, /* starts only: the sender's, or those that it relays */
  NEWS_RELAY = 3,  /* starts only, for the receiver to relay in its domain */
};

/* Wire format: never renumbered. */
enum news_event
{
  NEWS_STARTED = 0, /* target, request, own tokens, parts with their tokens */
  NEWS_BEGAN = 1,   /* target, request */
  NEWS_ENDED = 2,   /* target, request */
  NEWS_EVENT_COUNT
};

struct engine_news
{
  struct engine_news_config config;
  struct peer_listener listener;
  struct timer timer;
  struct bytes starts;
  uint32_t n_starts;
  struct bytes ends; /* beginnings and ends */
  uint32_t n_ends;
  struct timer pass_timer;
  struct bytes passed; /* starts of hosts of other domains, to relay in this host's domain */
  uint32_t n_passed;
  struct counter *sent;
};

/* Whether `host` and this host send each other beginnings and ends as well as starts.  NULL: a host
 * that no controller has announced yet. */
static bool
tells_all (const struct engine_news *news,
           const struct host_view *view,
           const struct sync_host *host)
{
  return view->n <= ENGINE_NEWS_ALL
         || (host != NULL
             && strcmp (host->domain, subscriber_domain (news->config.subscriber)) == 0);
}

static void
append_events (const struct bytes *events, struct bytes *out)
{
  bytes_append (out, events->data == NULL ? "" : events->data, events->length);
}

static void
write_message (enum news_kind kind,
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
send_to (struct engine_news *news, const struct sync_host *host, const struct bytes *message)
{
  struct peer_port *port = news->config.port;

  if (bytes_failed (message))
    return;
  port->ops->send (port, host->name, PEER_CHANNEL_LOAD, message->data, message->length);
  counter_add (news->sent, 1);
}

/* Send to all hosts with which this host exchanges all events. */
static void
send_near (struct engine_news *news, const struct bytes *message)
{
  const struct host_view *view = subscriber_hosts (news->config.subscriber);

  for (uint32_t i = 0; i < view->n; i++)
    if (!subscriber_is_self (news->config.subscriber, view->hosts[i])
        && tells_all (news, view, view->hosts[i]))
      send_to (news, view->hosts[i], message);
}

/* The host of a domain that relays starts there: the one whose name has the highest hash. */
struct passer
{
  const struct sync_host *host;
  uint64_t score;
};

static struct passer *
passer_of (struct passer passers[NEWS_DOMAINS_MAX], uint32_t *n, const char *domain)
{
  for (uint32_t i = 0; i < *n; i++)
    if (strcmp (passers[i].host->domain, domain) == 0)
      return &passers[i];
  if (*n == NEWS_DOMAINS_MAX)
    return NULL;
  passers[*n] = (struct passer){ .host = NULL };
  return &passers[(*n)++];
}

/* Send the starts to the hosts of other domains.  In a large fleet they go to one host of each
 * domain, as messages to every host grow with the square of the number of hosts.  Only that host
 * gets a relay message: if all hosts of a domain got one, each would send it to all others. */
static void
send_far (struct engine_news *news)
{
  const struct host_view *view = subscriber_hosts (news->config.subscriber);
  struct passer passers[NEWS_DOMAINS_MAX];
  struct bytes single;
  struct bytes relay;
  uint32_t n = 0;

  write_message (NEWS_PASSED, &news->starts, news->n_starts, &single);
  write_message (NEWS_RELAY, &news->starts, news->n_starts, &relay);
  for (uint32_t i = 0; i < view->n; i++)
    {
      const struct sync_host *host = view->hosts[i];
      uint64_t score = XXH3_64bits (host->name, strlen (host->name));
      struct passer *passer;

      if (subscriber_is_self (news->config.subscriber, host) || tells_all (news, view, host))
        continue;
      passer = view->n <= ENGINE_NEWS_SINGLY ? NULL : passer_of (passers, &n, host->domain);
      if (passer == NULL)
        send_to (news, host, &single);
      else if (passer->host == NULL || score > passer->score)
        *passer = (struct passer){ .host = host, .score = score };
    }
  for (uint32_t i = 0; i < n; i++)
    send_to (news, passers[i].host, &relay);
  bytes_clear (&single);
  bytes_clear (&relay);
}

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct engine_news *news = CONTAINER_OF (timer, struct engine_news, timer);
  struct bytes near;

  (void) now;
  write_message (NEWS_DIRECT, &news->starts, news->n_starts + news->n_ends, &near);
  append_events (&news->ends, &near);
  send_near (news, &near);
  bytes_clear (&near);
  if (news->n_starts > 0)
    send_far (news);
  bytes_clear (&news->starts);
  bytes_clear (&news->ends);
  news->n_starts = 0;
  news->n_ends = 0;
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

static void
pass_on (struct engine_news *news)
{
  struct bytes message;

  write_message (NEWS_PASSED, &news->passed, news->n_passed, &message);
  if (news->n_passed > 0)
    send_near (news, &message);
  bytes_clear (&message);
  bytes_clear (&news->passed);
  news->n_passed = 0;
}

static void
pass_fired (struct timer *timer, int64_t now)
{
  (void) now;
  pass_on (CONTAINER_OF (timer, struct engine_news, pass_timer));
}

static const struct timer_ops pass_timer_ops = { .fire = pass_fired };

/* Queue the encoded events of a relay message, unchanged, to be relayed. */
static void
pass_soon (
    struct engine_news *news, const void *events, size_t length, uint32_t n_events, int64_t now)
{
  if (news->n_passed + n_events > NEWS_EVENTS_MAX)
    pass_on (news);
  bytes_append (&news->passed, events, length);
  news->n_passed += n_events;
  if (!timer_is_armed (&news->pass_timer))
    timer_arm (news->config.timers, &news->pass_timer, now + ENGINE_NEWS_PASS_DELAY);
}

static void
begin_event (struct bytes *events, enum news_event event, uint64_t target, uint64_t request)
{
  pack_uint (events, event);
  pack_uint (events, target);
  pack_uint (events, request);
}

static void
send_soon (struct engine_news *news, int64_t now)
{
  if (!timer_is_armed (&news->timer))
    timer_arm (news->config.timers, &news->timer, now + ENGINE_NEWS_DELAY);
}

void
engine_news_started (struct engine_news *news,
                     uint64_t target,
                     uint64_t request,
                     const struct engine_prompt *prompt,
                     int64_t now)
{
  engine_load_started (news->config.load, target, request, prompt, true, now);
  begin_event (&news->starts, NEWS_STARTED, target, request);
  pack_uint (&news->starts, prompt->own_tokens);
  pack_array (&news->starts, prompt->n_parts);
  for (uint32_t i = 0; i < prompt->n_parts; i++)
    {
      pack_uint (&news->starts, prompt->parts[i]);
      pack_uint (&news->starts, prompt->part_tokens[i]);
    }
  news->n_starts++;
  send_soon (news, now);
}

void
engine_news_began (struct engine_news *news, uint64_t target, uint64_t request, int64_t now)
{
  engine_load_began (news->config.load, target, request, now);
  begin_event (&news->ends, NEWS_BEGAN, target, request);
  news->n_ends++;
  send_soon (news, now);
}

void
engine_news_ended (struct engine_news *news, uint64_t target, uint64_t request, int64_t now)
{
  engine_load_ended (news->config.load, target, request, now);
  begin_event (&news->ends, NEWS_ENDED, target, request);
  news->n_ends++;
  send_soon (news, now);
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
  return pack_read_ok (in);
}

static bool
read_event (struct engine_news *news, struct pack_reader *in, bool told, int64_t now)
{
  enum news_event event = (enum news_event) pack_read_uint (in, NEWS_EVENT_COUNT - 1);
  uint64_t target = pack_read_uint (in, UINT64_MAX);
  uint64_t request = pack_read_uint (in, UINT64_MAX);
  struct engine_prompt prompt;

  if (!pack_read_ok (in))
    return false;
  if (event == NEWS_STARTED)
    {
      if (!read_prompt (in, &prompt))
        return false;
      engine_load_started (news->config.load, target, request, &prompt, told, now);
    }
  else if (event == NEWS_BEGAN)
    engine_load_began (news->config.load, target, request, now);
  else
    engine_load_ended (news->config.load, target, request, now);
  return true;
}

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct engine_news *news = CONTAINER_OF (listener, struct engine_news, listener);
  const struct host_view *view = subscriber_hosts (news->config.subscriber);
  struct pack_reader in;
  const char *events;
  uint64_t kind;
  uint32_t n;
  bool told;

  pack_reader_init (&in, data, length);
  kind = pack_read_uint (&in, NEWS_RELAY);
  n = pack_read_array (&in, NEWS_EVENTS_MAX);
  told = kind == NEWS_DIRECT && tells_all (news, view, host_view_find (view, from));
  events = in.data;
  for (uint32_t i = 0; i < n && kind >= NEWS_DIRECT; i++)
    if (!read_event (news, &in, told, now))
      return;
  if (kind == NEWS_RELAY && n > 0 && pack_read_end (&in))
    pass_soon (news, events, (size_t) (in.data - events), n, now);
}

static const struct peer_listener_ops listener_ops = { .received = received };

static int
free_news (struct engine_news *news)
{
  timer_disarm (news->config.timers, &news->timer);
  timer_disarm (news->config.timers, &news->pass_timer);
  return 0;
}

struct engine_news *
engine_news_new (void *parent, const struct engine_news_config *config)
{
  struct engine_news *news = talloc_zero (parent, struct engine_news);

  if (news == NULL)
    return NULL;
  news->config = *config;
  news->timer.ops = &timer_ops;
  news->pass_timer.ops = &pass_timer_ops;
  news->listener.ops = &listener_ops;
  bytes_init (&news->starts, news);
  bytes_init (&news->ends, news);
  bytes_init (&news->passed, news);
  news->sent = counter_get (config->counters, "cherryarch_engine_news_total",
                            "Messages to other entry hosts about model engines.", NULL);
  config->port->ops->listen (config->port, PEER_CHANNEL_LOAD, &news->listener);
  talloc_set_destructor (news, free_news);
  return news;
}
