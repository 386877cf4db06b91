/* News of targets' limits between entry hosts. */
#include "limit_news.h"
#include "container.h"
#include "log.h"
#include "pack.h"
#include <jansson.h>
#include <talloc.h>

#define LIMIT_NEWS_ITEMS_MAX 1024
#define LIMIT_NEWS_PER_SEC_MAX 1e9

/* Wire format: an array of targets, each with the hash of its identity and incarnation, its limit
 * per second, negative for none, and the age of the answer in us. */

struct limit_news
{
  struct peer_listener listener; /* must be first: the port passes it to callbacks */
  struct limit_news_config config;
  struct timer timer;
  struct counter *sent;
  struct counter *changes;
};

static void
report_change (struct limit_news *news,
               const struct balance_target *target,
               const char *from,
               int64_t now)
{
  const struct target_limit *limit = &target->limit;
  struct rate_limit part = balance_limit_part (news->config.balance, target, now);

  counter_add (news->changes, 1);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "target-limit", "{s:s,s:s,s:f,s:s,s:I,s:f,s:f}",
             "target", target->id, "pool", target->pool, "limit_per_sec",
             limit->present ? limit->per_sec : -1.0, "from", from, "age_ms",
             (json_int_t) ((now - limit->heard_at) / USEC_PER_MSEC), "part_per_sec", part.per_sec,
             "part_burst", part.burst);
}

/* ---- sending ---- */

static uint32_t
count_due (const struct balance *balance)
{
  uint32_t n = 0;

  for (const struct balance_target *at = balance->targets; at != NULL; at = at->next)
    n += at->limit_news_due ? 1 : 0;
  return n < LIMIT_NEWS_ITEMS_MAX ? n : LIMIT_NEWS_ITEMS_MAX;
}

static void
write_due (struct balance *balance, struct bytes *out, int64_t now)
{
  uint32_t left = count_due (balance);

  pack_array (out, left);
  for (struct balance_target *at = balance->targets; at != NULL && left > 0; at = at->next)
    {
      if (!at->limit_news_due)
        continue;
      pack_uint (out, at->id_hash);
      pack_double (out, at->limit.present ? at->limit.per_sec : -1.0);
      pack_uint (out, (uint64_t) (now - at->limit.heard_at));
      at->limit_news_due = false;
      at->limit_told_at = now;
      left--;
    }
}

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct limit_news *news = CONTAINER_OF (timer, struct limit_news, timer);
  struct peer_port *port = news->config.port;
  const struct host_view *view = subscriber_hosts (news->config.subscriber);
  struct bytes message;

  bytes_init (&message, NULL);
  write_due (news->config.balance, &message, now);
  for (uint32_t i = 0; i < view->n && !bytes_has_failed (&message); i++)
    {
      if (subscriber_is_self (news->config.subscriber, view->hosts[i]))
        continue;
      /* A host that misses it hears of the limit again within the period, or from the target. */
      port->ops->send (port, view->hosts[i]->name, PEER_CHANNEL_TARGET_LIMIT, message.data,
                       message.length);
      counter_add (news->sent, 1);
    }
  bytes_clear (&message);
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

void
limit_news_heard (struct limit_news *news,
                  struct balance_target *target,
                  double per_sec,
                  int64_t now)
{
  bool changed = target_limit_hear (&target->limit, per_sec, true, now, now);

  if (changed)
    report_change (news, target, "answer", now);
  if (!changed && (!target->limit.present || now - target->limit_told_at < LIMIT_NEWS_PERIOD))
    return;
  target->limit_news_due = true;
  if (!timer_is_armed (&news->timer))
    timer_arm (news->config.timers, &news->timer, now + LIMIT_NEWS_DELAY);
}

/* ---- receiving ---- */

static struct balance_target *
find_by_hash (const struct balance *balance, uint64_t id_hash)
{
  struct balance_target *target = balance->targets;

  while (target != NULL && target->id_hash != id_hash)
    target = target->next;
  return target;
}

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct limit_news *news = (struct limit_news *) listener;
  struct pack_reader in;
  uint32_t n;

  pack_reader_init (&in, data, length);
  n = pack_read_array (&in, LIMIT_NEWS_ITEMS_MAX);
  for (uint32_t i = 0; i < n; i++)
    {
      uint64_t id_hash = pack_read_uint (&in, UINT64_MAX);
      double per_sec = pack_read_double (&in);
      int64_t age = (int64_t) pack_read_uint (&in, (uint64_t) now);
      struct balance_target *target;

      if (!pack_read_is_ok (&in) || per_sec > LIMIT_NEWS_PER_SEC_MAX)
        {
          log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "limit-news-not-read", "{s:s}", "from",
                     from);
          return;
        }
      target = find_by_hash (news->config.balance, id_hash);
      if (target != NULL && target_limit_hear (&target->limit, per_sec, false, now - age, now))
        report_change (news, target, from, now);
    }
}

static const struct peer_listener_ops listener_ops = { .received = received };

/* ---- setup ---- */

static int
free_news (struct limit_news *news)
{
  timer_disarm (news->config.timers, &news->timer);
  return 0;
}

struct limit_news *
limit_news_new (void *parent, const struct limit_news_config *config)
{
  struct limit_news *news = talloc_zero (parent, struct limit_news);

  if (news == NULL)
    return NULL;
  news->config = *config;
  news->listener.ops = &listener_ops;
  news->timer.ops = &timer_ops;
  news->sent = counter_get (config->counters, "cherryarch_limit_news_total",
                            "Messages to other entry hosts about targets' limits.", NULL);
  news->changes = counter_get (config->counters, "cherryarch_target_limit_changes_total",
                               "Limits that targets named, changed or lifted.", NULL);
  config->port->ops->set_listener (config->port, PEER_CHANNEL_TARGET_LIMIT, &news->listener);
  talloc_set_destructor (news, free_news);
  return news;
}
