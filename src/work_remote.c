/* Orders of other entry hosts for pools that this host owns. */
#include "text.h"
#include "work_private.h"
#include <string.h>
#include <talloc.h>

#define INPUT_BYTES_MAX 65536

static void
remote_done (struct batch_order *order, enum piece_outcome end, int64_t now)
{
  struct work *work = order->user;
  uint32_t n = end == PIECE_DONE ? order->demand.n_pieces : 0;
  struct bytes out;

  (void) now;
  work_message_begin (WORK_DONE, &out);
  pack_uint (&out, order->number);
  pack_uint (&out, end);
  pack_text (&out, order->pool);
  pack_text (&out, order->domain);
  pack_uint (&out, (uint64_t) batch_estimate_wait (work->config.batch, order->pool, order->domain));
  pack_uint (&out, (uint64_t) batch_smoothed_wait (work->config.batch, order->pool, order->domain));
  pack_array (&out, n);
  for (uint32_t i = 0; i < n; i++)
    work_message_write_result (&order->results[i].result, &out);
  work_message_send (work, order->origin, &out);
}

static void
remote_taken (struct batch_order *order, int64_t now)
{
  struct work *work = order->user;
  struct bytes out;

  (void) now;
  /* Without inputs there are no results that its host could release. */
  if (order->inputs == NULL)
    return;
  work_message_begin (WORK_TAKEN, &out);
  pack_uint (&out, order->number);
  work_message_send (work, order->origin, &out);
}

static const struct batch_order_ops remote_ops = { .done = remote_done, .taken = remote_taken };

void
work_remote_run (struct work *work, struct pack_reader *in, const char *from, int64_t now)
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
  pack_read_text (in, read.preferred_domain, sizeof read.preferred_domain);
  read.result_size = pack_read_uint (in, INT64_MAX);
  pack_read_text (in, read.key, sizeof read.key);
  inputs = pack_read_binary (in, INPUT_BYTES_MAX, &inputs_length);
  read.demand.urgency = (uint32_t) pack_read_uint (in, UINT32_MAX);
  due = pack_read_uint (in, INT32_MAX);
  deadline = pack_read_uint (in, INT32_MAX);
  read.demand.may_reject = pack_read_bool (in);
  read.demand.n_pieces = (uint32_t) pack_read_uint (in, DIALECT_PIECES_MAX);
  if (!pack_read_is_complete (in) || read.demand.n_pieces == 0
      || batch_find_order (work->config.batch, from, number) != NULL)
    return;
  order = batch_order_new (work->config.batch, read.demand.n_pieces);
  if (order == NULL)
    return;
  read.results = order->results;
  read.pending = order->pending;
  read.n_pending = order->n_pending;
  read.attempts = order->attempts;
  *order = read;
  text_copy_truncated (order->origin, sizeof order->origin, from);
  order->demand.due = now + (int64_t) due;
  order->deadline = now + (int64_t) deadline;
  if (inputs_length > 0)
    order->inputs = talloc_strndup (order, inputs, inputs_length);
  batch_submit (work->config.batch, order, now);
}

void
work_remote_cancel (struct work *work, struct pack_reader *in, const char *from, int64_t now)
{
  uint64_t number = pack_read_uint (in, UINT64_MAX);
  struct batch_order *order;

  if (!pack_read_is_complete (in))
    return;
  order = batch_find_order (work->config.batch, from, number);
  if (order != NULL)
    batch_cancel (work->config.batch, order, now);
}

void
work_remote_release (struct work *work, struct pack_reader *in, enum batch_release how, int64_t now)
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

      if (!work_message_read_result (in, &result))
        return;
      batch_release_result (work->config.batch, how, pool, domain, &result, now);
    }
}
