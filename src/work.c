/* Stage work as an entry host asks for it, and as the owner of a pool takes it in. */
#include "work.h"
#include "container.h"
#include "log.h"
#include "pack.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>
#include <xxhash.h>

#define WORK_FORMAT 1

/* Written into messages: never renumbered. */
enum work_message
{
  WORK_RUN = 0,    /* to the owner */
  WORK_DONE = 1,   /* its answer */
  WORK_CANCEL = 2, /* to the owner */
  WORK_FREE = 3,   /* to the owner: results nobody needs */
  WORK_PING = 4,   /* to the owner */
  WORK_PONG = 5,   /* its answer */
  WORK_MESSAGE_COUNT
};

#define INPUT_BYTES_MAX 65536

/* A host that has, or had, work of ours. */
struct work_owner
{
  char name[ROUTING_NAME_SIZE];
  int64_t heard;
  int64_t suspect_until;
  uint32_t orders;
};

/* The part of a pool that one owner has, and how long its queue is. */
struct work_shard
{
  char pool[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE];
  int64_t wait;
  int64_t told; /* when */
};

struct work
{
  struct work_config config;
  struct work_shard shards[WORK_SHARDS_MAX];
  uint32_t n_shards;
  struct peer_listener listener;
  struct timer ping;
  struct timer warm;
  struct work_owner owners[WORK_OWNERS_MAX];
  uint32_t n_owners;
  struct work_order *orders;
  uint64_t last_number;
  struct counter *submitted;
  struct counter *resent;
  struct counter *failed;
};

/* ---- who owns a pool ---- */

static uint64_t
owner_score (const char *host, const char *pool, const char *domain)
{
  uint64_t seed = XXH3_64bits_withSeed (pool, strlen (pool), XXH3_64bits (domain, strlen (domain)));

  return XXH3_64bits_withSeed (host, strlen (host), seed);
}

static struct work_owner *
find_owner (struct work *work, const char *name)
{
  for (uint32_t i = 0; i < work->n_owners; i++)
    if (strcmp (work->owners[i].name, name) == 0)
      return &work->owners[i];
  return NULL;
}

/* The record of an owner; in place of one without orders when all are taken. */
static struct work_owner *
take_owner (struct work *work, const char *name)
{
  struct work_owner *owner = find_owner (work, name);

  if (owner != NULL)
    return owner;
  if (work->n_owners < WORK_OWNERS_MAX)
    owner = &work->owners[work->n_owners++];
  for (uint32_t i = 0; owner == NULL && i < work->n_owners; i++)
    if (work->owners[i].orders == 0)
      owner = &work->owners[i];
  if (owner == NULL)
    return NULL;
  *owner = (struct work_owner){ .orders = 0 };
  text_copy_cut (owner->name, sizeof owner->name, name);
  return owner;
}

static bool
is_suspect (struct work *work, const char *name, int64_t now)
{
  const struct work_owner *owner = find_owner (work, name);

  return owner != NULL && now < owner->suspect_until;
}

/* The host with the highest score, where the pool is split one in the targets' failure domain;
 * ourselves when no other is known. */
static const char *
owner_of (struct work *work, const char *pool, const char *domain, int64_t now)
{
  const struct sync_host *hosts[SYNC_HOSTS_MAX];
  uint32_t n = subscriber_hosts (work->config.subscriber, hosts);
  const char *best = work->config.name;
  uint64_t best_score = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      uint64_t score = owner_score (hosts[i]->name, pool, domain);

      /* A host elsewhere is taken where there is none in the domain. */
      if (strcmp (hosts[i]->domain, domain) != 0)
        score >>= 1;
      else
        score |= UINT64_C (1) << 63;
      if (score < best_score || is_suspect (work, hosts[i]->name, now))
        continue;
      best = hosts[i]->name;
      best_score = score;
    }
  return best;
}

/* ---- where pieces are made ---- */

static struct work_shard *
find_shard (struct work *work, const char *pool, const char *domain)
{
  for (uint32_t i = 0; i < work->n_shards; i++)
    if (strcmp (work->shards[i].pool, pool) == 0 && strcmp (work->shards[i].domain, domain) == 0)
      return &work->shards[i];
  return NULL;
}

static void
note_wait (struct work *work, const char *pool, const char *domain, int64_t wait, int64_t now)
{
  struct work_shard *shard = find_shard (work, pool, domain);

  if (shard == NULL)
    {
      if (work->n_shards == WORK_SHARDS_MAX)
        return;
      shard = &work->shards[work->n_shards++];
      text_copy_cut (shard->pool, sizeof shard->pool, pool);
      text_copy_cut (shard->domain, sizeof shard->domain, domain);
    }
  shard->wait = wait;
  shard->told = now;
}

static int64_t
wait_of (struct work *work, const char *pool, const char *domain, int64_t now)
{
  const struct work_shard *shard = find_shard (work, pool, domain);

  return shard == NULL || now - shard->told > WORK_WAIT_FRESH ? 0 : shard->wait;
}

static uint32_t
count_targets (const struct work *work, const char *pool)
{
  uint32_t n = 0;

  for (const struct balance_target *at = work->config.balance->targets; at != NULL; at = at->next)
    n += at->usable && strcmp (at->pool, pool) == 0 ? 1 : 0;
  return n;
}

/* A large pool is split by failure domain: the wanted one, unless its queue is longer than what
 * results cost that cross. */
static void
choose_domain (struct work *work, struct work_order *order, int64_t now)
{
  const struct balance_target *at;
  int64_t best = 0;

  order->domain[0] = '\0';
  if (count_targets (work, order->pool) < WORK_SPLIT_TARGETS)
    return;
  for (at = work->config.balance->targets; at != NULL; at = at->next)
    {
      int64_t cost;

      if (!at->usable || strcmp (at->pool, order->pool) != 0)
        continue;
      cost = wait_of (work, order->pool, at->domain, now)
             + (strcmp (at->domain, order->near) == 0 ? 0 : WORK_CROSSING);
      if (order->domain[0] != '\0' && cost >= best)
        continue;
      best = cost;
      text_copy_cut (order->domain, sizeof order->domain, at->domain);
    }
}

/* ---- messages ---- */

static void
begin (enum work_message type, struct bytes *out)
{
  bytes_init (out, NULL);
  pack_uint (out, WORK_FORMAT);
  pack_uint (out, type);
}

static enum status
send_bytes (struct work *work, const char *host, struct bytes *out)
{
  enum status status = STATUS_NO_MEMORY;

  if (!bytes_failed (out))
    status = work->config.port->ops->send (work->config.port, host, PEER_CHANNEL_WORK, out->data,
                                           out->length);
  bytes_clear (out);
  return status;
}

static void
write_result (const struct stage_result *result, struct bytes *out)
{
  pack_text (out, result->target);
  pack_text (out, result->handle);
}

static bool
read_result (struct pack_reader *in, struct stage_result *out)
{
  pack_read_text (in, out->target, sizeof out->target);
  pack_read_text (in, out->handle, sizeof out->handle);
  return pack_read_ok (in);
}

static uint64_t
span (int64_t until, int64_t now)
{
  return until > now ? (uint64_t) (until - now) : 0;
}

static enum status
send_run (struct work *work, const struct work_order *order, int64_t now)
{
  struct bytes out;

  begin (WORK_RUN, &out);
  pack_uint (&out, order->number);
  pack_text (&out, order->request);
  pack_uint (&out, order->stage);
  pack_text (&out, order->pool);
  pack_text (&out, order->domain);
  pack_text (&out, order->near);
  pack_uint (&out, order->result_size);
  pack_text (&out, order->key);
  pack_binary (&out, order->inputs_copy == NULL ? "" : order->inputs_copy,
               order->inputs_copy == NULL ? 0 : strlen (order->inputs_copy));
  pack_uint (&out, order->urgency);
  pack_uint (&out, span (order->due, now));
  pack_uint (&out, span (order->deadline, now));
  pack_uint (&out, order->n_pieces);
  return send_bytes (work, order->owner, &out);
}

/* ---- orders of our own ---- */

static struct work_order *
find_order (struct work *work, uint64_t number)
{
  struct work_order *order;

  DL_FOREACH (work->orders, order)
    if (order->number == number)
      return order;
  return NULL;
}

static void
count_order (struct work *work, const char *name, int change)
{
  struct work_owner *owner = find_owner (work, name);

  if (owner != NULL)
    owner->orders += (uint32_t) change;
}

static void
drop (struct work_order *order)
{
  struct work *work = order->work;

  timer_disarm (work->config.timers, &order->timer);
  count_order (work, order->owner, -1);
  DL_DELETE (work->orders, order);
  talloc_free (order->inputs_copy);
  order->inputs_copy = NULL;
  order->work = NULL;
}

static void
finish (struct work_order *order, enum piece_end end, int64_t now)
{
  if (end != PIECE_DONE)
    counter_add (order->work->failed, 1);
  drop (order);
  order->ops->done (order, end, now);
}

static void
local_done (struct batch_order *batch_order, enum piece_end end, int64_t now)
{
  struct work *work = batch_order->user;
  struct work_order *order = find_order (work, batch_order->number);

  if (order == NULL)
    return;
  note_wait (work, order->pool, order->domain,
             batch_wait (work->config.batch, order->pool, order->domain), now);
  order->local = NULL;
  for (uint32_t i = 0; end == PIECE_DONE && i < order->n_pieces; i++)
    order->results[i] = batch_order->results[i].result;
  finish (order, end, now);
}

static const struct batch_order_ops local_ops = { .done = local_done };

static void
run_here (struct work *work, struct work_order *order, int64_t now)
{
  struct batch_order *local = batch_order_new (work->config.batch, order->n_pieces);

  if (local == NULL)
    {
      finish (order, PIECE_FAILED, now);
      return;
    }
  local->ops = &local_ops;
  local->user = work;
  local->number = order->number;
  local->stage = order->stage;
  local->result_size = order->result_size;
  local->urgency = order->urgency;
  local->due = order->due;
  local->deadline = order->deadline;
  text_copy_cut (local->origin, sizeof local->origin, work->config.name);
  text_copy_cut (local->request, sizeof local->request, order->request);
  text_copy_cut (local->pool, sizeof local->pool, order->pool);
  text_copy_cut (local->domain, sizeof local->domain, order->domain);
  text_copy_cut (local->near, sizeof local->near, order->near);
  text_copy_cut (local->key, sizeof local->key, order->key);
  if (order->inputs_copy != NULL)
    local->inputs = talloc_strdup (local, order->inputs_copy);
  order->local = local;
  batch_submit (work->config.batch, local, now);
}

/* No connection to the owner: it is being made, or the owner is dead.  Made here instead, the
 * pieces would meet the owner's own calls at the targets, and both would find them full. */
static void
send_later (struct work_order *order, struct work_owner *owner, int64_t now)
{
  struct work *work = order->work;

  order->owner[0] = '\0';
  if (++order->send_tries % WORK_SEND_TRIES == 0)
    owner->suspect_until = now + WORK_SUSPECT;
  timer_arm (work->config.timers, &order->timer, now + WORK_SEND_AGAIN);
}

/* Send to the owner, or do it here where we own the pool. */
static void
dispatch (struct work_order *order, int64_t now)
{
  struct work *work = order->work;
  struct work_owner *owner;

  choose_domain (work, order, now);
  text_copy_cut (order->owner, sizeof order->owner,
                 owner_of (work, order->pool, order->domain, now));
  timer_arm (work->config.timers, &order->timer, order->deadline);
  owner = take_owner (work, order->owner);
  if (owner == NULL || strcmp (order->owner, work->config.name) == 0)
    {
      text_copy_cut (order->owner, sizeof order->owner, work->config.name);
      count_order (work, order->owner, 1);
      run_here (work, order, now);
      return;
    }
  if (send_run (work, order, now) != STATUS_OK)
    {
      send_later (order, owner, now);
      return;
    }
  if (owner->orders++ == 0)
    owner->heard = now;
  if (!timer_is_armed (&work->ping))
    timer_arm (work->config.timers, &work->ping, now + WORK_PING_PERIOD);
}

static void
order_fired (struct timer *timer, int64_t now)
{
  struct work_order *order = CONTAINER_OF (timer, struct work_order, timer);

  if (order->owner[0] == '\0' && now < order->deadline)
    {
      dispatch (order, now);
      return;
    }
  if (order->local != NULL)
    batch_cancel (order->work->config.batch, order->local, now);
  order->local = NULL;
  finish (order, PIECE_LATE, now);
}

/* The owner may be dead, or the message lost with its connection: the pieces are made again, by the
 * owner as it is now known. */
static void
resend_orders (struct work *work, struct work_owner *owner, int64_t now)
{
  struct work_order *order;
  struct work_order *next;

  DL_FOREACH_SAFE (work->orders, order, next)
    {
      if (strcmp (order->owner, owner->name) != 0)
        continue;
      counter_add (work->resent, 1);
      log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "stage-work-resent", "{s:s,s:i,s:s,s:s,s:I}",
                 "id", order->request, "stage", (int) order->stage, "pool", order->pool, "owner",
                 order->owner, "silent_ms", (json_int_t) ((now - owner->heard) / USEC_PER_MSEC));
      owner->orders--;
      dispatch (order, now);
    }
}

static void
send_short (struct work *work, const char *host, enum work_message type)
{
  struct bytes out;

  begin (type, &out);
  send_bytes (work, host, &out);
}

static void
ping_fired (struct timer *timer, int64_t now)
{
  struct work *work = CONTAINER_OF (timer, struct work, ping);
  bool any = false;

  for (uint32_t i = 0; i < work->n_owners; i++)
    {
      struct work_owner *owner = &work->owners[i];

      if (owner->orders == 0 || strcmp (owner->name, work->config.name) == 0)
        continue;
      any = true;
      if (now - owner->heard > WORK_OWNER_SILENCE)
        {
          owner->suspect_until = now + WORK_SUSPECT;
          resend_orders (work, owner, now);
        }
      else
        send_short (work, owner->name, WORK_PING);
    }
  if (any)
    timer_arm (work->config.timers, timer, now + WORK_PING_PERIOD);
}

static const struct timer_ops ping_ops = { .fire = ping_fired };

static void
warm_owner (struct work *work, const char *pool, const char *domain, int64_t now)
{
  const char *name = owner_of (work, pool, domain, now);
  struct work_owner *owner = strcmp (name, work->config.name) == 0 ? NULL : take_owner (work, name);

  if (owner != NULL && now - owner->heard > WORK_WARM_SILENCE)
    send_short (work, owner->name, WORK_PING);
}

static void
warm_fired (struct timer *timer, int64_t now)
{
  struct work *work = CONTAINER_OF (timer, struct work, warm);

  for (const struct balance_target *at = work->config.balance->targets; at != NULL; at = at->next)
    if (at->usable && batch_knows (work->config.batch, at->pool))
      warm_owner (work, at->pool,
                  count_targets (work, at->pool) < WORK_SPLIT_TARGETS ? "" : at->domain, now);
  timer_arm (work->config.timers, timer, now + WORK_WARM_PERIOD);
}

static const struct timer_ops warm_ops = { .fire = warm_fired };

static const struct timer_ops order_ops = { .fire = order_fired };

void
work_submit (struct work *work, struct work_order *order, int64_t now)
{
  order->work = work;
  order->number = ++work->last_number;
  order->send_tries = 0;
  order->owner[0] = '\0';
  order->timer = (struct timer){ .ops = &order_ops };
  order->local = NULL;
  order->inputs_copy = order->inputs == NULL ? NULL : talloc_strdup (work, order->inputs);
  DL_APPEND (work->orders, order);
  counter_add (work->submitted, 1);
  /* From the loop, so that done() never comes while its user is still at work on the order. */
  timer_arm (work->config.timers, &order->timer, now);
}

void
work_cancel (struct work_order *order, int64_t now)
{
  struct work *work = order->work;
  struct bytes out;

  if (work == NULL)
    return;
  if (order->local != NULL)
    batch_cancel (work->config.batch, order->local, now);
  else
    {
      begin (WORK_CANCEL, &out);
      pack_uint (&out, order->number);
      send_bytes (work, order->owner, &out);
    }
  order->local = NULL;
  drop (order);
}

void
work_free_results (struct work *work,
                   const char *pool,
                   const char *domain,
                   const struct stage_result *results,
                   uint32_t n,
                   int64_t now)
{
  const char *owner = owner_of (work, pool, domain, now);
  struct bytes out;

  if (strcmp (owner, work->config.name) == 0)
    {
      for (uint32_t i = 0; i < n; i++)
        batch_free_result (work->config.batch, pool, domain, &results[i], now);
      return;
    }
  begin (WORK_FREE, &out);
  pack_text (&out, pool);
  pack_text (&out, domain);
  pack_array (&out, n);
  for (uint32_t i = 0; i < n; i++)
    write_result (&results[i], &out);
  send_bytes (work, owner, &out);
}

static void
got_done (struct work *work, struct pack_reader *in, const char *from, int64_t now)
{
  uint64_t number = pack_read_uint (in, UINT64_MAX);
  enum piece_end end = (enum piece_end) pack_read_uint (in, PIECE_END_COUNT - 1);
  uint64_t wait = pack_read_uint (in, INT64_MAX);
  uint32_t n = pack_read_array (in, DIALECT_PIECES_MAX);
  struct work_order *order = pack_read_ok (in) ? find_order (work, number) : NULL;

  if (order != NULL)
    note_wait (work, order->pool, order->domain, (int64_t) wait, now);
  /* An owner of before may still answer: its results are as good, but only whole ones. */
  if (order == NULL || order->local != NULL
      || (end != PIECE_DONE && strcmp (from, order->owner) != 0)
      || (end == PIECE_DONE && n != order->n_pieces))
    return;
  for (uint32_t i = 0; i < n; i++)
    read_result (in, &order->results[i]);
  if (pack_read_end (in))
    finish (order, end, now);
}

/* ---- orders of other hosts ---- */

static void
remote_done (struct batch_order *order, enum piece_end end, int64_t now)
{
  struct work *work = order->user;
  uint32_t n = end == PIECE_DONE ? order->n_pieces : 0;
  struct bytes out;

  (void) now;
  begin (WORK_DONE, &out);
  pack_uint (&out, order->number);
  pack_uint (&out, end);
  pack_uint (&out, (uint64_t) batch_wait (work->config.batch, order->pool, order->domain));
  pack_array (&out, n);
  for (uint32_t i = 0; i < n; i++)
    write_result (&order->results[i].result, &out);
  send_bytes (work, order->origin, &out);
}

static const struct batch_order_ops remote_ops = { .done = remote_done };

static void
got_run (struct work *work, struct pack_reader *in, const char *from, int64_t now)
{
  uint64_t number = pack_read_uint (in, UINT64_MAX);
  struct batch_order read = { .ops = &remote_ops, .user = work, .number = number };
  struct batch_order *order;
  const char *inputs;
  size_t inputs_length = 0;
  uint64_t due;
  uint64_t deadline;

  pack_read_text (in, read.request, sizeof read.request);
  read.stage = (uint32_t) pack_read_uint (in, ROUTING_STAGES_MAX);
  pack_read_text (in, read.pool, sizeof read.pool);
  pack_read_text (in, read.domain, sizeof read.domain);
  pack_read_text (in, read.near, sizeof read.near);
  read.result_size = pack_read_uint (in, INT64_MAX);
  pack_read_text (in, read.key, sizeof read.key);
  inputs = pack_read_binary (in, INPUT_BYTES_MAX, &inputs_length);
  read.urgency = (uint32_t) pack_read_uint (in, UINT32_MAX);
  due = pack_read_uint (in, INT32_MAX);
  deadline = pack_read_uint (in, INT32_MAX);
  read.n_pieces = (uint32_t) pack_read_uint (in, DIALECT_PIECES_MAX);
  if (!pack_read_end (in) || read.n_pieces == 0
      || batch_find (work->config.batch, from, number) != NULL)
    return;
  order = batch_order_new (work->config.batch, read.n_pieces);
  if (order == NULL)
    return;
  read.results = order->results;
  read.pending = order->pending;
  read.n_pending = order->n_pending;
  read.tries = order->tries;
  *order = read;
  text_copy_cut (order->origin, sizeof order->origin, from);
  order->due = now + (int64_t) due;
  order->deadline = now + (int64_t) deadline;
  if (inputs_length > 0)
    order->inputs = talloc_strndup (order, inputs, inputs_length);
  batch_submit (work->config.batch, order, now);
}

static void
got_cancel (struct work *work, struct pack_reader *in, const char *from, int64_t now)
{
  uint64_t number = pack_read_uint (in, UINT64_MAX);
  struct batch_order *order;

  if (!pack_read_end (in))
    return;
  order = batch_find (work->config.batch, from, number);
  if (order != NULL)
    batch_cancel (work->config.batch, order, now);
}

static void
got_free (struct work *work, struct pack_reader *in, int64_t now)
{
  char pool[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE];
  uint32_t n;

  pack_read_text (in, pool, sizeof pool);
  pack_read_text (in, domain, sizeof domain);
  n = pack_read_array (in, DIALECT_PIECES_MAX);
  for (uint32_t i = 0; i < n; i++)
    {
      struct stage_result result;

      if (!read_result (in, &result))
        return;
      batch_free_result (work->config.batch, pool, domain, &result, now);
    }
}

static void
hear_owner (struct work *work, const char *from, int64_t now)
{
  struct work_owner *owner = find_owner (work, from);

  if (owner == NULL)
    return;
  owner->heard = now;
  owner->suspect_until = 0;
}

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct work *work = CONTAINER_OF (listener, struct work, listener);
  struct pack_reader in;
  uint64_t type;

  pack_reader_init (&in, data, length);
  if (pack_read_uint (&in, UINT64_MAX) != WORK_FORMAT)
    return;
  type = pack_read_uint (&in, WORK_MESSAGE_COUNT - 1);
  if (!pack_read_ok (&in))
    return;
  hear_owner (work, from, now);
  if (type == WORK_RUN)
    got_run (work, &in, from, now);
  else if (type == WORK_DONE)
    got_done (work, &in, from, now);
  else if (type == WORK_CANCEL)
    got_cancel (work, &in, from, now);
  else if (type == WORK_FREE)
    got_free (work, &in, now);
  else if (type == WORK_PING)
    send_short (work, from, WORK_PONG);
}

static const struct peer_listener_ops listener_ops = { .received = received };

static int
free_work (struct work *work)
{
  struct work_order *order;

  timer_disarm (work->config.timers, &work->ping);
  timer_disarm (work->config.timers, &work->warm);
  DL_FOREACH (work->orders, order)
    {
      timer_disarm (work->config.timers, &order->timer);
      order->work = NULL;
    }
  return 0;
}

struct work *
work_new (void *parent, const struct work_config *config)
{
  struct work *work = talloc_zero (parent, struct work);

  if (work == NULL)
    return NULL;
  work->config = *config;
  work->listener.ops = &listener_ops;
  work->ping.ops = &ping_ops;
  work->warm.ops = &warm_ops;
  timer_arm (config->timers, &work->warm, 0);
  work->last_number = config->first_number;
  work->submitted =
      counter_get (config->counters, "cherryarch_work_orders_total", "Stages ordered.", NULL);
  work->resent = counter_get (config->counters, "cherryarch_work_resent_total",
                              "Stages ordered again for want of news.", NULL);
  work->failed = counter_get (config->counters, "cherryarch_work_failed_total",
                              "Stages that could not be made in time.", NULL);
  config->port->ops->listen (config->port, PEER_CHANNEL_WORK, &work->listener);
  talloc_set_destructor (work, free_work);
  return work;
}
