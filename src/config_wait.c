/* Waits until a revision is in force on every reachable host, and answers hosts that wait. */
#include "config_wait.h"
#include "config_link.h"
#include "container.h"
#include "text.h"
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#define WAIT_REPEAT_INTERVAL (USEC_PER_SEC / 4)
#define WAIT_GRACE (USEC_PER_SEC / 2) /* before an unreachable host is skipped */
#define WAITS_MAX 256
#define ASKERS_MAX 1024

struct wait_host
{
  char name[RESOURCE_NAME_SIZE];
  bool self;
  bool answered;
  uint64_t revision;
};

/* A wait started on this host. */
struct wait_round
{
  struct wait_round *prev;
  struct wait_round *next;
  struct config_waiter *waiter;
  uint64_t id;
  uint64_t revision;
  int64_t started;
  int64_t deadline;
  struct wait_host *hosts;
  uint32_t n_hosts;
};

/* Another host that waits for a revision on this one. */
struct wait_asker
{
  struct wait_asker *prev;
  struct wait_asker *next;
  char host[RESOURCE_NAME_SIZE];
  uint64_t id;
  uint64_t revision;
};

struct config_wait
{
  struct config_wait_config config;
  struct config_handler handler;
  struct board_subscriber subscriber;
  struct timer timer;
  struct wait_round *rounds;
  struct wait_asker *askers;
  uint32_t n_rounds;
  uint32_t n_askers;
  uint64_t last_id;
};

static void
send_message (struct config_wait *wait,
              enum config_message type,
              const char *host,
              uint64_t id,
              uint64_t revision)
{
  struct bytes message;

  bytes_init (&message, wait);
  config_link_write_header (type, &message);
  pack_uint (&message, id);
  pack_uint (&message, revision);
  config_link_send (wait->config.link, host, &message); /* repeated by the waiting host */
}

/* The gossiped state may be out of date; a host that answered is reachable whatever its state. */
static bool
is_unreachable (const struct config_wait *wait, const struct wait_host *host)
{
  const struct board_host *entry = board_find_host (wait->config.board, host->name, NULL);

  if (host->answered || host->self)
    return false;
  return entry == NULL || (entry->state != HOST_ALIVE && entry->state != HOST_LEAVING);
}

static bool
has_revision (const struct config_wait *wait,
              const struct wait_round *round,
              const struct wait_host *host)
{
  if (host->self)
    return wait->config.board->revision >= round->revision;
  return host->answered && host->revision >= round->revision;
}

static bool
is_complete (const struct config_wait *wait, const struct wait_round *round, int64_t now)
{
  uint32_t i;

  for (i = 0; i < round->n_hosts; i++)
    if (!has_revision (wait, round, &round->hosts[i])
        && !(is_unreachable (wait, &round->hosts[i]) && now >= round->started + WAIT_GRACE))
      return false;
  return true;
}

static void
drop_round (struct config_wait *wait, struct wait_round *round)
{
  DL_DELETE (wait->rounds, round);
  wait->n_rounds--;
  round->waiter->owner = NULL;
  talloc_free (round);
}

static void
finish (struct config_wait *wait, struct wait_round *round, int64_t now)
{
  struct config_wait_result result = { .revision = round->revision };
  struct config_waiter *waiter = round->waiter;
  uint32_t i;

  result.behind = json_array ();
  result.cut_off = json_array ();
  for (i = 0; i < round->n_hosts; i++)
    {
      const struct wait_host *host = &round->hosts[i];

      if (has_revision (wait, round, host))
        result.hosts++;
      else
        json_array_append_new (is_unreachable (wait, host) ? result.cut_off : result.behind,
                               json_string (host->name));
    }
  result.everywhere = json_array_size (result.behind) == 0;
  drop_round (wait, round);
  waiter->ops->done (waiter, &result, now);
  json_decref (result.behind);
  json_decref (result.cut_off);
}

static void
request_missing (struct config_wait *wait, const struct wait_round *round)
{
  uint32_t i;

  for (i = 0; i < round->n_hosts && wait->config.link != NULL; i++)
    if (!round->hosts[i].self && !has_revision (wait, round, &round->hosts[i]))
      send_message (wait, CONFIG_WAIT_REQUEST, round->hosts[i].name, round->id, round->revision);
}

/* The first round up to id `newest` that has to end now; NULL for none. */
static struct wait_round *
find_ended (const struct config_wait *wait, uint64_t newest, int64_t now)
{
  struct wait_round *round;

  DL_FOREACH (wait->rounds, round)
    if (round->id <= newest && (is_complete (wait, round, now) || now >= round->deadline))
      break;
  return round;
}

/* The end of a round may begin rounds and cancel others, so the list is searched anew after each;
 * what begins meanwhile is checked the next time. */
static void
check_rounds (struct timer *timer, int64_t now)
{
  struct config_wait *wait = CONTAINER_OF (timer, struct config_wait, timer);
  uint64_t newest = wait->last_id;
  struct wait_round *round;

  while ((round = find_ended (wait, newest, now)) != NULL)
    finish (wait, round, now);
  DL_FOREACH (wait->rounds, round)
    request_missing (wait, round);
  if (wait->rounds != NULL)
    timer_arm (wait->config.timers, timer, now + WAIT_REPEAT_INTERVAL);
}

static void
drop_asker (struct config_wait *wait, struct wait_asker *asker)
{
  DL_DELETE (wait->askers, asker);
  wait->n_askers--;
  talloc_free (asker);
}

/* Answer at once, which shows that this host is reachable, and again when the revision is in
 * force. */
static void
handle_request (struct config_wait *wait, const char *from, uint64_t id, uint64_t revision)
{
  struct wait_asker *asker;

  send_message (wait, CONFIG_WAIT_REPLY, from, id, wait->config.board->revision);
  if (wait->config.board->revision >= revision)
    return;
  DL_FOREACH (wait->askers, asker)
    if (asker->id == id && strcmp (asker->host, from) == 0)
      return;
  if (wait->n_askers == ASKERS_MAX)
    drop_asker (wait, wait->askers); /* it repeats its request */
  asker = talloc_zero (wait, struct wait_asker);
  if (asker == NULL)
    return;
  text_copy_truncated (asker->host, sizeof asker->host, from);
  asker->id = id;
  asker->revision = revision;
  DL_APPEND (wait->askers, asker);
  wait->n_askers++;
}

static void
answered (struct config_wait *wait, const char *from, uint64_t id, uint64_t revision, int64_t now)
{
  struct wait_round *round;
  uint32_t i;

  DL_FOREACH (wait->rounds, round)
    if (round->id == id)
      break;
  if (round == NULL)
    return;
  for (i = 0; i < round->n_hosts; i++)
    {
      if (strcmp (round->hosts[i].name, from) != 0)
        continue;
      round->hosts[i].answered = true;
      if (revision > round->hosts[i].revision)
        round->hosts[i].revision = revision;
    }
  if (is_complete (wait, round, now))
    finish (wait, round, now);
}

static void
received (struct config_handler *handler,
          enum config_message type,
          const char *from,
          struct pack_reader *body,
          int64_t now)
{
  struct config_wait *wait = CONTAINER_OF (handler, struct config_wait, handler);
  uint64_t id = pack_read_uint (body, UINT64_MAX);
  uint64_t revision = pack_read_uint (body, UINT64_MAX);

  if (!pack_read_is_complete (body))
    return;
  if (type == CONFIG_WAIT_REQUEST)
    handle_request (wait, from, id, revision);
  else
    answered (wait, from, id, revision, now);
}

static void
board_changed (struct board_subscriber *subscriber,
               enum board_event event,
               struct handle handle,
               int64_t now)
{
  struct config_wait *wait = CONTAINER_OF (subscriber, struct config_wait, subscriber);
  struct wait_asker *asker;
  struct wait_asker *following;

  (void) handle;
  (void) now;
  if (event != BOARD_CONFIG_CHANGED)
    return;
  DL_FOREACH_SAFE (wait->askers, asker, following)
    {
      if (wait->config.board->revision < asker->revision)
        continue;
      send_message (wait, CONFIG_WAIT_REPLY, asker->host, asker->id, wait->config.board->revision);
      drop_asker (wait, asker);
    }
  if (wait->rounds != NULL)
    timer_arm (wait->config.timers, &wait->timer, 0);
}

static const struct config_handler_ops handler_ops = { .received = received };
static const struct board_subscriber_ops subscriber_ops = { .changed = board_changed };
static const struct timer_ops timer_ops = { .fire = check_rounds };

static int
destroy (struct config_wait *wait)
{
  timer_disarm (wait->config.timers, &wait->timer);
  return 0;
}

struct config_wait *
config_wait_new (void *parent, const struct config_wait_config *config)
{
  struct config_wait *wait = talloc_zero (parent, struct config_wait);

  if (wait == NULL)
    return NULL;
  wait->config = *config;
  wait->handler.ops = &handler_ops;
  wait->subscriber.ops = &subscriber_ops;
  wait->timer.ops = &timer_ops;
  board_subscribe (config->board, &wait->subscriber);
  if (config->link != NULL)
    {
      config_link_set_handler (config->link, CONFIG_WAIT_REQUEST, &wait->handler);
      config_link_set_handler (config->link, CONFIG_WAIT_REPLY, &wait->handler);
    }
  talloc_set_destructor (wait, destroy);
  return wait;
}

static bool
list_hosts (struct config_wait *wait, struct wait_round *round)
{
  const struct board_host *host;
  uint32_t cursor = 0;

  round->hosts =
      talloc_zero_array (round, struct wait_host, table_count (wait->config.board->hosts) + 1);
  if (round->hosts == NULL)
    return false;
  while ((host = table_next (wait->config.board->hosts, &cursor, NULL)) != NULL)
    {
      struct wait_host *own = &round->hosts[round->n_hosts];

      if (host->state == HOST_LEFT)
        continue;
      text_copy_truncated (own->name, sizeof own->name, host->name);
      own->self = host->self;
      round->n_hosts++;
    }
  return true;
}

enum status
config_wait_start (struct config_wait *wait,
                   struct config_waiter *waiter,
                   uint64_t revision,
                   int64_t deadline,
                   int64_t now)
{
  struct wait_round *round;

  if (wait->n_rounds == WAITS_MAX)
    return status_fail (STATUS_LIMIT, "too many changes are waited for");
  round = talloc_zero (wait, struct wait_round);
  if (round == NULL || !list_hosts (wait, round))
    {
      talloc_free (round);
      return status_fail (STATUS_NO_MEMORY, "no memory to wait for a change");
    }
  round->waiter = waiter;
  round->id = ++wait->last_id;
  round->revision = revision;
  round->started = now;
  round->deadline = deadline;
  waiter->owner = round;
  DL_APPEND (wait->rounds, round);
  wait->n_rounds++;
  timer_arm (wait->config.timers, &wait->timer, now);
  return STATUS_OK;
}

void
config_wait_cancel (struct config_wait *wait, struct config_waiter *waiter)
{
  if (waiter->owner != NULL)
    drop_round (wait, waiter->owner);
}
