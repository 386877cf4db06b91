/* Orders of evacuation over HTTP. */
#include "evacuation_api.h"
#include "container.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define PATH_LIST "/evacuations"
#define PATH_BEGIN "/evacuations/begin/"
#define PATH_FINISH "/evacuations/finish/"

#define RETRY_AFTER_FIELD "Retry-After: 0.3\r\n"
#define ALLOW_FIELD "Allow: POST\r\n"

struct order_call
{
  struct evacuation_call call;
  struct h1_exchange *exchange;
  const struct evacuation_api_ops *ops;
};

static void
order_done (struct evacuation_call *base, enum evacuation_result result, int64_t now)
{
  static const unsigned statuses[] = {
    [EVACUATION_RESULT_DONE] = HTTP_STATUS_OK,
    [EVACUATION_RESULT_UNKNOWN] = HTTP_STATUS_NOT_FOUND,
    [EVACUATION_RESULT_REFUSED] = HTTP_STATUS_CONFLICT,
    [EVACUATION_RESULT_UNAVAILABLE] = HTTP_STATUS_SERVICE_UNAVAILABLE,
  };
  struct order_call *order = CONTAINER_OF (base, struct order_call, call);

  (void) now;
  order->exchange->user = NULL;
  order->ops->reply (order->exchange, statuses[result],
                     result == EVACUATION_RESULT_UNAVAILABLE ? RETRY_AFTER_FIELD : NULL,
                     result == EVACUATION_RESULT_DONE ? NULL : evacuation_result_text (result));
  talloc_free (order);
}

static const struct evacuation_call_ops order_ops = { .done = order_done };

static bool
copy_name (const char *name, size_t length, char out[ROUTING_NAME_SIZE])
{
  if (length >= ROUTING_NAME_SIZE)
    return false;
  memcpy (out, name, length);
  out[length] = '\0';
  return evacuation_name_is_valid (out);
}

void
evacuation_api_order (struct evacuation_control *control,
                      struct h1_exchange *exchange,
                      const char *name,
                      size_t length,
                      bool begins,
                      const struct evacuation_api_ops *ops,
                      int64_t now)
{
  char domain[ROUTING_NAME_SIZE];
  struct order_call *order;

  if (exchange->head->method != HTTP_POST)
    {
      ops->reply (exchange, HTTP_STATUS_METHOD_NOT_ALLOWED, ALLOW_FIELD, "only POST");
      return;
    }
  if (exchange->body->length > 0)
    {
      ops->reply (exchange, HTTP_STATUS_BAD_REQUEST, NULL, "the call has no body");
      return;
    }
  if (!copy_name (name, length, domain))
    {
      ops->reply (exchange, HTTP_STATUS_BAD_REQUEST, NULL,
                  "the name of a domain is expected, not encoded");
      return;
    }
  order = control == NULL ? NULL : talloc_zero (control, struct order_call);
  if (order == NULL)
    {
      ops->reply (exchange, HTTP_STATUS_SERVICE_UNAVAILABLE, RETRY_AFTER_FIELD,
                  evacuation_result_text (EVACUATION_RESULT_UNAVAILABLE));
      return;
    }
  order->call.ops = &order_ops;
  order->exchange = exchange;
  order->ops = ops;
  exchange->user = order;
  evacuation_control_order (control, &order->call, domain, begins, now);
}

void
evacuation_api_gone (struct h1_exchange *exchange, int64_t now)
{
  struct order_call *order = exchange->user;

  if (order == NULL)
    return;
  evacuation_control_cancel (&order->call, now);
  talloc_free (order);
}

/* ---- the operators' interface ---- */

static void
reply_json (struct h1_exchange *exchange, unsigned status, const char *fields, json_t *json)
{
  char *text = json == NULL ? NULL : json_dumps (json, JSON_INDENT (1));

  h1_reply (exchange, status, fields, text, text == NULL ? 0 : strlen (text));
  free (text);
  json_decref (json);
}

static void
reply_order (struct h1_exchange *exchange, unsigned status, const char *fields, const char *message)
{
  reply_json (exchange, status, fields,
              message == NULL ? json_object ()
                              : json_pack ("{s:{s:s}}", "error", "message", message));
}

static const struct evacuation_api_ops metrics_ops = { .reply = reply_order };

bool
evacuation_api_serve_metrics (struct evacuation_control *control,
                              struct h1_exchange *exchange,
                              int64_t now)
{
  const char *target = exchange->head->target;
  bool begins = strncmp (target, PATH_BEGIN, strlen (PATH_BEGIN)) == 0;
  bool finishes = strncmp (target, PATH_FINISH, strlen (PATH_FINISH)) == 0;
  const char *name;

  if (strcmp (target, PATH_LIST) == 0)
    reply_json (exchange, HTTP_STATUS_OK, "Content-Type: application/json\r\n",
                evacuation_view_describe (evacuation_control_view (control), now));
  else if (begins || finishes)
    {
      name = target + strlen (begins ? PATH_BEGIN : PATH_FINISH);
      evacuation_api_order (control, exchange, name, strlen (name), begins, &metrics_ops, now);
    }
  else
    return false;
  return true;
}
