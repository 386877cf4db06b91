/* The messages between entry hosts about stage work. */
#include "work_private.h"
#include <string.h>

void
work_message_begin (enum work_message type, struct bytes *out)
{
  bytes_init (out, NULL);
  pack_uint (out, WORK_FORMAT);
  pack_uint (out, type);
}

enum status
work_message_send (struct work *work, const char *host, struct bytes *out)
{
  enum status status = STATUS_NO_MEMORY;

  if (!bytes_has_failed (out))
    status = work->config.port->ops->send (work->config.port, host, PEER_CHANNEL_WORK, out->data,
                                           out->length);
  bytes_clear (out);
  return status;
}

void
work_message_write_result (const struct stage_result *result, struct bytes *out)
{
  pack_text (out, result->target);
  pack_text (out, result->handle);
}

bool
work_message_read_result (struct pack_reader *in, struct stage_result *out)
{
  pack_read_text (in, out->target, sizeof out->target);
  pack_read_text (in, out->handle, sizeof out->handle);
  return pack_read_is_ok (in);
}

static uint64_t
time_left (int64_t until, int64_t now)
{
  return until > now ? (uint64_t) (until - now) : 0;
}

enum status
work_message_send_run (struct work *work, const struct work_order *order, int64_t now)
{
  struct bytes out;

  work_message_begin (WORK_RUN, &out);
  pack_uint (&out, order->number);
  pack_text (&out, order->request);
  pack_uint (&out, order->stage);
  pack_text (&out, order->pool);
  pack_text (&out, order->domain);
  pack_text (&out, order->preferred_domain);
  pack_uint (&out, order->result_size);
  pack_text (&out, order->key);
  pack_binary (&out, order->inputs_copy == NULL ? "" : order->inputs_copy,
               order->inputs_copy == NULL ? 0 : strlen (order->inputs_copy));
  pack_uint (&out, order->urgency);
  pack_uint (&out, time_left (order->due, now));
  pack_uint (&out, time_left (order->deadline, now));
  pack_bool (&out, order->may_reject);
  pack_uint (&out, order->n_pieces);
  return work_message_send (work, order->owner, &out);
}

void
work_message_send_short (struct work *work, const char *host, enum work_message type)
{
  struct bytes out;

  work_message_begin (type, &out);
  work_message_send (work, host, &out);
}
