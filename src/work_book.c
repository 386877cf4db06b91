/* Bookings of later stages, made with their pools' owners when a request begins. */
#include "container.h"
#include "text.h"
#include "work_private.h"
#include <string.h>
#include <utlist.h>

static void
end_booking (struct work *work, struct work_booking *booking)
{
  timer_disarm (work->config.timers, &booking->timer);
  DL_DELETE (work->bookings, booking);
  booking->work = NULL;
}

static void send_booking (struct work *work, struct work_booking *booking, int64_t now);

/* One shard of a split pool may be full while another has room. */
static bool
book_in_other_shard (struct work_booking *booking, int64_t now)
{
  struct work *work = booking->work;

  if (!work_note_refusal (work, booking->request, booking->pool, booking->domain,
                          &booking->refused_shards))
    return false;
  send_booking (work, booking, now);
  return true;
}

static void
refused (struct work_booking *booking, int64_t now)
{
  if (book_in_other_shard (booking, now))
    return;
  end_booking (booking->work, booking);
  booking->ops->refused (booking, now);
}

/* Called from the event loop: the caller may be using the request while it books. */
static void
booking_fired (struct timer *timer, int64_t now)
{
  refused (CONTAINER_OF (timer, struct work_booking, timer), now);
}

static const struct timer_ops booking_timer_ops = { .fire = booking_fired };

static void
book_locally (struct work *work, struct work_booking *booking, int64_t now)
{
  if (!batch_book (work->config.batch, booking->pool, booking->domain, booking->request,
                   booking->stage, &booking->demand, now))
    timer_arm (work->config.timers, &booking->timer, now);
}

static void
write_name (
    const char *pool, const char *domain, const char *request, uint32_t stage, struct bytes *out)
{
  pack_text (out, pool);
  pack_text (out, domain);
  pack_text (out, request);
  pack_uint (out, stage);
}

/* If the message is lost, nothing is booked and the order is treated like any other. */
static void
book_at_owner (struct work *work, const struct work_booking *booking, int64_t now)
{
  struct bytes out;
  int64_t due_in = booking->demand.due - now;

  work_message_begin (WORK_BOOK, &out);
  pack_uint (&out, booking->number);
  write_name (booking->pool, booking->domain, booking->request, booking->stage, &out);
  pack_uint (&out, booking->demand.n_pieces);
  pack_uint (&out, booking->demand.urgency);
  pack_uint (&out, due_in > 0 ? (uint64_t) due_in : 0);
  pack_bool (&out, booking->demand.may_reject);
  work_message_send (work, booking->owner, &out);
}

static void
send_booking (struct work *work, struct work_booking *booking, int64_t now)
{
  booking->number = ++work->last_number;
  work_choose_shard (work, booking->pool, booking->home_domain, &booking->refused_shards,
                     booking->domain, now);
  text_copy_truncated (booking->owner, sizeof booking->owner,
                       work_owner_of (work, booking->pool, booking->domain, NULL, now));
  if (strcmp (booking->owner, work->config.name) == 0)
    book_locally (work, booking, now);
  else
    book_at_owner (work, booking, now);
}

void
work_book (struct work *work, struct work_booking *booking, int64_t now)
{
  booking->work = work;
  booking->timer = (struct timer){ .ops = &booking_timer_ops };
  booking->refused_shards.n = 0;
  booking->domain[0] = '\0';
  DL_APPEND (work->bookings, booking);
  send_booking (work, booking, now);
}

void
work_book_cancel (struct work *work,
                  const char *owner,
                  const char *pool,
                  const char *domain,
                  const char *request,
                  uint32_t stage)
{
  struct bytes out;

  if (strcmp (owner, work->config.name) == 0)
    {
      batch_unbook (work->config.batch, pool, domain, request, stage);
      return;
    }
  work_message_begin (WORK_UNBOOK, &out);
  write_name (pool, domain, request, stage, &out);
  work_message_send (work, owner, &out);
}

void
work_unbook (struct work_booking *booking)
{
  struct work *work = booking->work;

  if (work == NULL)
    return;
  end_booking (work, booking);
  work_book_cancel (work, booking->owner, booking->pool, booking->domain, booking->request,
                    booking->stage);
}

void
work_use_booking (struct work_booking *booking, struct work_order *order)
{
  if (booking->work == NULL)
    return;
  text_copy_truncated (order->booked_domain, sizeof order->booked_domain, booking->domain);
  text_copy_truncated (order->booked_owner, sizeof order->booked_owner, booking->owner);
  order->refused_shards = booking->refused_shards;
  end_booking (booking->work, booking);
}

void
work_book_drop_all (struct work *work)
{
  while (work->bookings != NULL)
    end_booking (work, work->bookings);
}

/* ---- messages ---- */

struct booking_name
{
  char pool[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE];
  char request[DIALECT_ID_SIZE];
  uint32_t stage;
};

static void
read_name (struct pack_reader *in, struct booking_name *out)
{
  pack_read_text (in, out->pool, sizeof out->pool);
  pack_read_text (in, out->domain, sizeof out->domain);
  pack_read_text (in, out->request, sizeof out->request);
  out->stage = (uint32_t) pack_read_uint (in, ROUTING_STAGES_MAX);
}

void
work_book_handle_book (struct work *work, struct pack_reader *in, const char *from, int64_t now)
{
  uint64_t number = pack_read_uint (in, UINT64_MAX);
  struct batch_demand demand;
  struct booking_name name;
  struct bytes out;

  read_name (in, &name);
  demand.n_pieces = (uint32_t) pack_read_uint (in, DIALECT_PIECES_MAX);
  demand.urgency = (uint32_t) pack_read_uint (in, UINT32_MAX);
  demand.due = now + (int64_t) pack_read_uint (in, INT32_MAX);
  demand.may_reject = pack_read_bool (in);
  if (!pack_read_is_complete (in)
      || batch_book (work->config.batch, name.pool, name.domain, name.request, name.stage, &demand,
                     now))
    return;
  work_message_begin (WORK_BUSY, &out);
  pack_uint (&out, number);
  work_message_send (work, from, &out);
}

void
work_book_handle_unbook (struct work *work, struct pack_reader *in)
{
  struct booking_name name;

  read_name (in, &name);
  if (pack_read_is_complete (in))
    batch_unbook (work->config.batch, name.pool, name.domain, name.request, name.stage);
}

void
work_book_handle_busy (struct work *work, struct pack_reader *in, const char *from, int64_t now)
{
  uint64_t number = pack_read_uint (in, UINT64_MAX);
  struct work_booking *booking;

  if (!pack_read_is_complete (in))
    return;
  DL_FOREACH (work->bookings, booking)
    if (booking->number == number && strcmp (booking->owner, from) == 0)
      break;
  if (booking != NULL)
    refused (booking, now);
}
