/* Stage work as an entry host orders it. */
#include "container.h"
#include "log.h"
#include "text.h"
#include "work_private.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

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
remove_order (struct work_order *order)
{
  struct work *work = order->work;

  timer_disarm (work->config.timers, &order->timer);
  work_owner_add_orders (work, order->owner, -1);
  DL_DELETE (work->orders, order);
  talloc_free (order->inputs_copy);
  order->inputs_copy = NULL;
  order->work = NULL;
}

static void
finish_order (struct work_order *order, enum piece_outcome end, int64_t now)
{
  if (end != PIECE_DONE)
    counter_add (order->work->failed, 1);
  remove_order (order);
  order->ops->done (order, end, now);
}

static void dispatch (struct work_order *order, int64_t now);

static void
dispatch_again (struct work_order *order, int64_t now)
{
  work_owner_add_orders (order->work, order->owner, -1);
  order->owner[0] = '\0';
  dispatch (order, now);
}

/* One shard of a split pool may be full while another has room, and one owner may be cut from
 * targets that another reaches. */
static bool
can_go_elsewhere (struct work_order *order, enum piece_outcome end, int64_t now)
{
  struct work *work = order->work;

  if (end == PIECE_BUSY)
    return work_note_refusal (work, order->request, order->pool, order->domain,
                              &order->refused_shards);
  return end == PIECE_UNREACHED && work_note_unreaching (work, order, now);
}

/* The owner reported how the order ended. */
static void
handle_end (struct work_order *order, enum piece_outcome end, int64_t now)
{
  if (can_go_elsewhere (order, end, now))
    dispatch_again (order, now);
  else
    finish_order (order, end, now);
}

static void
local_done (struct batch_order *batch_order, enum piece_outcome end, int64_t now)
{
  struct work *work = batch_order->user;
  struct work_order *order = find_order (work, batch_order->number);

  if (order == NULL)
    return;
  work_note_wait (work, order->pool, order->domain,
                  batch_estimate_wait (work->config.batch, order->pool, order->domain),
                  batch_smoothed_wait (work->config.batch, order->pool, order->domain), now);
  order->local = NULL;
  for (uint32_t i = 0; end == PIECE_DONE && i < order->n_pieces; i++)
    order->results[i] = batch_order->results[i].result;
  handle_end (order, end, now);
}

static void
local_taken (struct batch_order *batch_order, int64_t now)
{
  struct work_order *order = find_order (batch_order->user, batch_order->number);

  if (order != NULL && order->ops->taken != NULL)
    order->ops->taken (order, now);
}

static const struct batch_order_ops local_ops = { .done = local_done, .taken = local_taken };

static void
run_locally (struct work *work, struct work_order *order, int64_t now)
{
  struct batch_order *local = batch_order_new (work->config.batch, order->n_pieces);

  if (local == NULL)
    {
      finish_order (order, PIECE_FAILED, now);
      return;
    }
  local->ops = &local_ops;
  local->user = work;
  local->number = order->number;
  local->stage = order->stage;
  local->result_size = order->result_size;
  local->demand.urgency = order->urgency;
  local->demand.due = order->due;
  local->demand.may_reject = order->may_reject;
  local->deadline = order->deadline;
  text_copy_truncated (local->origin, sizeof local->origin, work->config.name);
  text_copy_truncated (local->request, sizeof local->request, order->request);
  text_copy_truncated (local->pool, sizeof local->pool, order->pool);
  text_copy_truncated (local->domain, sizeof local->domain, order->domain);
  text_copy_truncated (local->preferred_domain, sizeof local->preferred_domain,
                       order->preferred_domain);
  text_copy_truncated (local->key, sizeof local->key, order->key);
  if (order->inputs_copy != NULL)
    local->inputs = talloc_strdup (local, order->inputs_copy);
  order->local = local;
  batch_submit (work->config.batch, local, now);
}

/* There is no connection to the owner: it is being opened, or the owner is dead.  If this host made
 * the pieces itself, its calls would compete with the owner's for the targets, and both would find
 * them full. */
static void
schedule_resend (struct work_order *order, struct work_owner *owner, int64_t now)
{
  struct work *work = order->work;

  order->owner[0] = '\0';
  if (++order->send_attempts % WORK_SEND_ATTEMPTS == 0)
    owner->suspect_until = now + WORK_SUSPECT_PERIOD;
  timer_arm (work->config.timers, &order->timer, now + WORK_SEND_RETRY_DELAY);
}

/* Sends the order to the owner, or runs it here if this host owns the pool. */
static void
dispatch (struct work_order *order, int64_t now)
{
  struct work *work = order->work;
  struct work_owner *owner;

  work_choose_domain (work, order, now);
  text_copy_truncated (order->owner, sizeof order->owner,
                       work_owner_of (work, order->pool, order->domain, &order->unreaching, now));
  timer_arm (work->config.timers, &order->timer, order->deadline);
  owner = work_owner_get (work, order->owner);
  if (owner == NULL || strcmp (order->owner, work->config.name) == 0)
    {
      text_copy_truncated (order->owner, sizeof order->owner, work->config.name);
      work_owner_add_orders (work, order->owner, 1);
      run_locally (work, order, now);
      return;
    }
  if (work_message_send_run (work, order, now) != STATUS_OK)
    {
      schedule_resend (order, owner, now);
      return;
    }
  if (owner->n_orders++ == 0)
    owner->last_heard = now;
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
  finish_order (order, PIECE_LATE, now);
}

/* The owner may be dead, or the message was lost with its connection: the pieces are made again, by
 * the owner that is now known.  The orders are dispatched by their timers: an order may end as it
 * is dispatched, which frees others, and changes the table of owners. */
static void
resend_orders (struct work *work, struct work_owner *owner, int64_t now)
{
  struct work_order *order;

  DL_FOREACH (work->orders, order)
    {
      if (strcmp (order->owner, owner->name) != 0)
        continue;
      counter_add (work->resent, 1);
      log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "stage-work-resent", "{s:s,s:i,s:s,s:s,s:I}",
                 "id", order->request, "stage", (int) order->stage, "pool", order->pool, "owner",
                 order->owner, "silent_ms",
                 (json_int_t) ((now - owner->last_heard) / USEC_PER_MSEC));
      order->owner[0] = '\0';
      timer_arm (work->config.timers, &order->timer, now);
    }
  owner->n_orders = 0;
}

static void
ping_fired (struct timer *timer, int64_t now)
{
  struct work *work = CONTAINER_OF (timer, struct work, ping);
  bool any = false;

  for (uint32_t i = 0; i < work->n_owners; i++)
    {
      struct work_owner *owner = &work->owners[i];

      if (owner->n_orders == 0 || strcmp (owner->name, work->config.name) == 0)
        continue;
      any = true;
      if (now - owner->last_heard > WORK_OWNER_TIMEOUT)
        {
          owner->suspect_until = now + WORK_SUSPECT_PERIOD;
          resend_orders (work, owner, now);
        }
      else
        work_message_send_short (work, owner->name, WORK_PING);
    }
  if (any)
    timer_arm (work->config.timers, timer, now + WORK_PING_PERIOD);
}

static const struct timer_ops ping_ops = { .fire = ping_fired };

static void
warm_owner (struct work *work, const char *pool, const char *domain, int64_t now)
{
  const char *name = work_owner_of (work, pool, domain, NULL, now);
  struct work_owner *owner =
      strcmp (name, work->config.name) == 0 ? NULL : work_owner_get (work, name);

  if (owner != NULL && now - owner->last_heard > WORK_WARM_IDLE)
    work_message_send_short (work, owner->name, WORK_PING);
}

static void
warm_fired (struct timer *timer, int64_t now)
{
  struct work *work = CONTAINER_OF (timer, struct work, warm);

  for (const struct balance_target *at = work->config.balance->targets; at != NULL; at = at->next)
    if (at->usable && batch_has_pool (work->config.batch, at->pool))
      warm_owner (work, at->pool, work_pool_is_split (work, at->pool) ? at->domain : "", now);
  timer_arm (work->config.timers, timer, now + WORK_WARM_PERIOD);
}

static const struct timer_ops warm_ops = { .fire = warm_fired };

static const struct timer_ops order_ops = { .fire = order_fired };

void
work_submit (struct work *work, struct work_order *order, int64_t now)
{
  order->work = work;
  order->number = ++work->last_number;
  order->send_attempts = 0;
  order->owner[0] = '\0';
  order->timer = (struct timer){ .ops = &order_ops };
  order->local = NULL;
  order->inputs_copy = order->inputs == NULL ? NULL : talloc_strdup (work, order->inputs);
  DL_APPEND (work->orders, order);
  counter_add (work->submitted, 1);
  /* Dispatched from the event loop, so that done() is never called from within this function. */
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
      work_message_begin (WORK_CANCEL, &out);
      pack_uint (&out, order->number);
      work_message_send (work, order->owner, &out);
    }
  order->local = NULL;
  remove_order (order);
}

static void
release_at_owner (struct work *work,
                  const char *owner,
                  enum batch_release how,
                  const char *pool,
                  const char *domain,
                  const struct stage_result *results,
                  uint32_t n)
{
  struct bytes out;

  work_message_begin (how == BATCH_RELEASE_FREE ? WORK_FREE : WORK_EVICTABLE, &out);
  pack_text (&out, pool);
  pack_text (&out, domain);
  pack_array (&out, n);
  for (uint32_t i = 0; i < n; i++)
    work_message_write_result (&results[i], &out);
  work_message_send (work, owner, &out);
}

void
work_release_results (struct work *work,
                      enum batch_release how,
                      const char *pool,
                      const char *domain,
                      const struct stage_result *results,
                      uint32_t n,
                      int64_t now)
{
  const char *owner = work_owner_of (work, pool, domain, NULL, now);

  if (strcmp (owner, work->config.name) != 0)
    {
      release_at_owner (work, owner, how, pool, domain, results, n);
      return;
    }
  for (uint32_t i = 0; i < n; i++)
    batch_release_result (work->config.batch, how, pool, domain, &results[i], now);
}

/* An owner's answer to an order. */
struct work_answer
{
  uint64_t number;
  enum piece_outcome end;
  char pool[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE];
  int64_t wait; /* of the owner's queue */
  int64_t smoothed_wait;
  uint32_t n;
  struct stage_result results[DIALECT_PIECES_MAX];
};

static bool
read_answer (struct pack_reader *in, struct work_answer *out)
{
  out->number = pack_read_uint (in, UINT64_MAX);
  out->end = (enum piece_outcome) pack_read_uint (in, PIECE_END_COUNT - 1);
  pack_read_text (in, out->pool, sizeof out->pool);
  pack_read_text (in, out->domain, sizeof out->domain);
  out->wait = (int64_t) pack_read_uint (in, INT64_MAX);
  out->smoothed_wait = (int64_t) pack_read_uint (in, INT64_MAX);
  out->n = pack_read_array (in, DIALECT_PIECES_MAX);
  for (uint32_t i = 0; i < out->n; i++)
    if (!work_message_read_result (in, &out->results[i]))
      return false;
  return pack_read_is_complete (in);
}

/* An earlier owner may still answer: its results are as good, but only if complete.  Results for an
 * order that was withdrawn, or that another owner has made, would occupy room at their targets
 * until they expire; a message makes the owner that made them free them. */
static void
handle_done (struct work *work, struct pack_reader *in, const char *from, int64_t now)
{
  struct work_answer answer;
  struct work_order *order;

  if (!read_answer (in, &answer))
    return;
  work_note_wait (work, answer.pool, answer.domain, answer.wait, answer.smoothed_wait, now);
  order = find_order (work, answer.number);
  if (order == NULL || order->local != NULL)
    {
      if (answer.n > 0)
        release_at_owner (work, from, BATCH_RELEASE_FREE, answer.pool, answer.domain,
                          answer.results, answer.n);
      return;
    }
  if ((answer.end != PIECE_DONE && strcmp (from, order->owner) != 0)
      || (answer.end == PIECE_DONE && answer.n != order->n_pieces))
    return;
  memcpy (order->results, answer.results, answer.n * sizeof answer.results[0]);
  handle_end (order, answer.end, now);
}

static void
handle_taken (struct work *work, struct pack_reader *in, const char *from, int64_t now)
{
  uint64_t number = pack_read_uint (in, UINT64_MAX);
  struct work_order *order;

  if (!pack_read_is_complete (in))
    return;
  order = find_order (work, number);
  if (order != NULL && strcmp (order->owner, from) == 0 && order->ops->taken != NULL)
    order->ops->taken (order, now);
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
  if (!pack_read_is_ok (&in))
    return;
  work_owner_heard (work, from, now);
  if (type == WORK_RUN)
    work_remote_run (work, &in, from, now);
  else if (type == WORK_DONE)
    handle_done (work, &in, from, now);
  else if (type == WORK_TAKEN)
    handle_taken (work, &in, from, now);
  else if (type == WORK_CANCEL)
    work_remote_cancel (work, &in, from, now);
  else if (type == WORK_FREE)
    work_remote_release (work, &in, BATCH_RELEASE_FREE, now);
  else if (type == WORK_EVICTABLE)
    work_remote_release (work, &in, BATCH_RELEASE_EVICTABLE, now);
  else if (type == WORK_BOOK)
    work_book_handle_book (work, &in, from, now);
  else if (type == WORK_UNBOOK)
    work_book_handle_unbook (work, &in);
  else if (type == WORK_BUSY)
    work_book_handle_busy (work, &in, from, now);
  else if (type == WORK_PING)
    work_message_send_short (work, from, WORK_PONG);
}

static const struct peer_listener_ops listener_ops = { .received = received };

static int
free_work (struct work *work)
{
  struct work_order *order;

  timer_disarm (work->config.timers, &work->ping);
  timer_disarm (work->config.timers, &work->warm);
  work_book_drop_all (work);
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
  config->port->ops->set_listener (config->port, PEER_CHANNEL_WORK, &work->listener);
  talloc_set_destructor (work, free_work);
  return work;
}
