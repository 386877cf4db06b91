/* One target: read its state, send an order, and poll the state until it shows the order. */
#include "log.h"
#include "order_private.h"
#include "text.h"
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define STATE_READ_PERIOD (15 * USEC_PER_SEC) /* of a target that is as wanted */
#define BACKOFF_MIN (USEC_PER_SEC)
#define BACKOFF_MAX (15 * USEC_PER_SEC)
#define ORDER_RESEND_AFTER (60 * USEC_PER_SEC) /* if the state does not show the order */
#define IN_FLIGHT_MAX 64
#define STATE_BYTES_MAX (64u << 10)

static const char *const phases[] = {
#define X(name, text) [ORDER_PHASE_##name] = text,
  ORDER_PHASE_LIST (X)
#undef X
};

const char *
order_phase_text (enum order_phase phase)
{
  return (unsigned) phase < ORDER_PHASE_COUNT ? phases[phase] : "unknown";
}

static void
end_call (struct order_target *target)
{
  if (target->call != NULL)
    target->orders->in_flight--;
  target->call = NULL;
}

void
order_target_drop (struct order_target *target)
{
  struct orders *orders = target->orders;

  if (target->call != NULL)
    orders->config.client->ops->cancel (orders->config.client, target->call);
  end_call (target);
  DL_DELETE (orders->targets, target);
  talloc_free (target);
}

static void
back_off (struct order_target *target, int64_t now)
{
  target->next_at = now + target->backoff;
  target->backoff = target->backoff * 2 < BACKOFF_MAX ? target->backoff * 2 : BACKOFF_MAX;
}

static void
fail (struct order_target *target, const char *message, int64_t now)
{
  text_copy_truncated (target->fault, sizeof target->fault, message);
  target->phase = target->step_pending ? ORDER_PHASE_SETTLING : ORDER_PHASE_IDLE;
  back_off (target, now);
}

static void
start (struct order_target *target,
       const struct board_target *entry,
       const char *method,
       const char *path,
       const char *body,
       int64_t now)
{
  static const struct http_field type = { "content-type", "application/json" };
  struct http_client *client = target->orders->config.client;
  const struct http_call_spec spec = {
    .address = entry->address,
    .method = method,
    .path = path,
    .headers = &type,
    .n_headers = body == NULL ? 0 : 1,
    .body = body,
    .body_length = body == NULL ? 0 : strlen (body),
    .deadline = now + ORDER_CALL_TIMEOUT,
    .max_body_bytes = STATE_BYTES_MAX,
  };

  bytes_clear (&target->body);
  target->code = 0;
  if (client->ops->start (client, &spec, &target->sink, now, &target->call) != STATUS_OK)
    {
      target->call = NULL;
      fail (target, status_message (), now);
      return;
    }
  target->orders->in_flight++;
}

static void
read_state (struct order_target *target, const struct board_target *entry, int64_t now)
{
  target->sending_order = false;
  target->phase = target->step_pending ? ORDER_PHASE_SETTLING : ORDER_PHASE_READING;
  start (target, entry, "GET", "/v1/state", NULL, now);
}

static void
send_order (struct order_target *target, const struct board_target *entry, int64_t now)
{
  json_t *body = json_pack ("{s:I,s:s,s:s}", "fence", (json_int_t) target->orders->fence, "order",
                            order_kind_text (target->step.kind), "value", target->step.value);
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  if (text == NULL)
    {
      fail (target, "out of memory", now);
      return;
    }
  target->sending_order = true;
  target->phase = ORDER_PHASE_ORDERING;
  target->step_pending = true;
  target->ordered_at = now;
  target->backoff = BACKOFF_MIN;
  target->n_sent++;
  counter_add (target->orders->sent, 1);
  log_event (LOG_MODULE_AUDIT, LOG_LEVEL_INFO, "order", "{s:s,s:s,s:s,s:I}", "target", target->name,
             "order", order_kind_text (target->step.kind), "value", target->step.value, "fence",
             (json_int_t) target->orders->fence);
  start (target, entry, "POST", "/v1/orders", text, now);
  free (text);
}

void
order_target_advance (struct order_target *target, const struct board_target *entry, int64_t now)
{
  if (target->call != NULL || now < target->next_at || target->orders->in_flight >= IN_FLIGHT_MAX)
    return;
  if (target->phase == ORDER_PHASE_ORDERING)
    send_order (target, entry, now);
  else
    read_state (target, entry, now);
}

static void
mark_done (struct order_target *target, int64_t now)
{
  if (target->phase != ORDER_PHASE_DONE)
    counter_add (target->orders->done, target->n_sent > 0);
  target->phase = ORDER_PHASE_DONE;
  target->step_pending = false;
  target->n_sent = 0;
  target->backoff = BACKOFF_MIN;
  target->next_at = now + STATE_READ_PERIOD;
  target->fault[0] = '\0';
}

/* Handle the state that the target reports: prepare the next order, unless the same order was sent
 * less than ORDER_RESEND_AFTER ago, as the target may still be carrying it out. */
static void
handle_state (struct order_target *target, int64_t now)
{
  const struct board_target *entry =
      board_find_target (target->orders->config.board, target->name, NULL);
  const struct assignment_spec *wanted =
      entry == NULL ? NULL : order_find_assignment (target->orders, entry);
  struct order_state state;
  struct order_step step;

  if (wanted == NULL)
    return; /* the next pass drops it */
  if (order_state_parse (target->body.data, target->body.length, &state) != STATUS_OK)
    {
      fail (target, status_message (), now);
      return;
    }
  if (state.fence > target->orders->fence_seen)
    target->orders->fence_seen = state.fence;
  if (!order_next_step (wanted, &state, &step))
    {
      mark_done (target, now);
      return;
    }
  if (target->step_pending && step.kind == target->step.kind
      && strcmp (step.value, target->step.value) == 0
      && now < target->ordered_at + ORDER_RESEND_AFTER)
    {
      target->phase = ORDER_PHASE_SETTLING;
      back_off (target, now);
      return;
    }
  target->step = step;
  target->step_pending = false;
  target->phase = ORDER_PHASE_ORDERING;
  target->next_at = now;
}

/* 409: the target has seen a higher fencing number than ours, from another leader or from an
 * earlier installation of the system whose log had advanced further.  A new number is requested. */
static void
handle_refusal (struct order_target *target, int64_t now)
{
  struct orders *orders = target->orders;

  counter_add (orders->refused, 1);
  target->step_pending = false;
  if (target->code == 409 && now >= orders->fence_proposed_at + ORDER_CALL_TIMEOUT)
    orders->fence = 0;
  fail (target, target->code == 409 ? "refused: old fencing number" : "refused", now);
}

static void
sink_head (struct http_call_sink *sink,
           int code,
           const struct http_field *headers,
           size_t n_headers,
           int64_t now)
{
  (void) headers;
  (void) n_headers;
  (void) now;
  ((struct order_target *) sink)->code = code;
}

static void
sink_data (struct http_call_sink *sink, const void *data, size_t length, int64_t now)
{
  (void) now;
  bytes_append (&((struct order_target *) sink)->body, data, length);
}

static void
sink_end (struct http_call_sink *sink, int64_t now)
{
  struct order_target *target = (struct order_target *) sink;

  end_call (target);
  if (target->code == 200 && target->sending_order)
    {
      target->phase = ORDER_PHASE_SETTLING;
      target->next_at = now;
    }
  else if (target->code == 200)
    handle_state (target, now);
  else if (target->sending_order)
    handle_refusal (target, now);
  else
    fail (target, "its state is not to be had", now);
}

/* An order whose answer is lost may have been accepted: the state is read before it is resent. */
static void
sink_failed (struct http_call_sink *sink, enum status why, bool sent, int64_t now)
{
  struct order_target *target = (struct order_target *) sink;

  end_call (target);
  if (target->sending_order && !sent)
    target->step_pending = false;
  fail (target, status_text (why), now);
}

const struct http_call_sink_ops order_target_sink_ops = {
  .head = sink_head,
  .data = sink_data,
  .end = sink_end,
  .failed = sink_failed,
};
