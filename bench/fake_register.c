/* Registration of a fake target with the hosts (announce, renew, leave) and its load and cache
 * reports, sent with a lag and with losses.
 *
 * Uses one host at a time and switches to the next if that one does not answer, so that the target
 * stays registered when its home host crashes or is partitioned. */
#include "fake.h"
#include "text.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define MESSAGE_TIMEOUT (600 * USEC_PER_MSEC) /* two attempts fit well within a lease of 3 s */
#define RETRY_FIRST (50 * USEC_PER_MSEC)
#define RETRY_MAX (500 * USEC_PER_MSEC)
#define RENEW_DEFAULT USEC_PER_SEC
#define REPORTS_KEPT 64
#define ANSWER_BYTES_MAX 65536
#define ADDRESSES_MAX 32

enum message_kind
{
  MESSAGE_ANNOUNCE,
  MESSAGE_RENEW,
  MESSAGE_LEAVE,
  MESSAGE_LOAD,
  MESSAGE_CACHE
};

static const char *const message_paths[] = {
  [MESSAGE_ANNOUNCE] = "/v1/targets/announce", [MESSAGE_RENEW] = "/v1/targets/renew",
  [MESSAGE_LEAVE] = "/v1/targets/leave",       [MESSAGE_LOAD] = "/v1/targets/load",
  [MESSAGE_CACHE] = "/v1/targets/cache",
};

/* One call to a host. */
struct message
{
  struct http_call_sink sink; /* must be first: callbacks cast it back */
  struct fake_register *registration;
  enum message_kind kind;
  int code;
  struct bytes answer;
};

struct report
{
  int64_t measured_at;
  uint32_t running;
  uint32_t waiting;
  double kv_used;
  json_t *events; /* NULL if none */
  uint64_t first_event;
};

struct fake_register
{
  struct fake_target *target;
  struct timer renew_timer;
  struct timer report_timer;
  char addresses[ADDRESSES_MAX][RESOURCE_ADDRESS_SIZE];
  uint32_t n_addresses;
  uint32_t current;
  uint64_t sequence;
  bool announced;
  bool leaving;
  bool left; /* a host acknowledged the leave */
  bool in_call;
  int64_t retry;
  int64_t renew;
  struct report reports[REPORTS_KEPT]; /* ring buffer */
  uint32_t report_first;
  uint32_t n_reports;
};

static void send_next_message (struct fake_register *registration, int64_t now);

static void
add_address (struct fake_register *registration, const char *address)
{
  for (uint32_t i = 0; i < registration->n_addresses; i++)
    if (strcmp (registration->addresses[i], address) == 0)
      return;
  if (registration->n_addresses == ADDRESSES_MAX)
    return;
  if (text_copy (registration->addresses[registration->n_addresses], RESOURCE_ADDRESS_SIZE,
                 address))
    registration->n_addresses++;
}

static void
arm_renew (struct fake_register *registration, int64_t due)
{
  timer_arm (loop_timers (registration->target->loop), &registration->renew_timer, due);
}

static void
try_next_host (struct fake_register *registration, int64_t now)
{
  registration->announced = false;
  registration->current = (registration->current + 1) % registration->n_addresses;
  arm_renew (registration, now + registration->retry);
  registration->retry *= 2;
  if (registration->retry > RETRY_MAX)
    registration->retry = RETRY_MAX;
}

static void
handle_answer (struct message *message, int64_t now)
{
  struct fake_register *registration = message->registration;
  json_t *body = json_loadb (message->answer.data ? message->answer.data : "",
                             message->answer.length, 0, NULL);
  json_int_t renew = json_integer_value (json_object_get (body, "renew_ms"));
  json_t *host;
  size_t i;

  json_array_foreach (json_object_get (body, "hosts"), i, host)
    {
      if (json_is_string (host))
        add_address (registration, json_string_value (host));
    }
  json_decref (body);
  registration->retry = RETRY_FIRST;
  registration->announced = true;
  registration->renew = renew > 0 ? renew * USEC_PER_MSEC : RENEW_DEFAULT;
  arm_renew (registration, now + registration->renew);
}

static void
message_ended (struct message *message, int64_t now)
{
  struct fake_register *registration = message->registration;

  if (message->kind == MESSAGE_LOAD || message->kind == MESSAGE_CACHE)
    return;
  registration->in_call = false;
  if (message->kind == MESSAGE_LEAVE && (message->code == 200 || message->code == 404))
    {
      registration->left = true;
      return;
    }
  if (registration->leaving)
    {
      send_next_message (registration, now);
      return;
    }
  if (message->code == 200)
    {
      handle_answer (message, now);
      return;
    }
  if (message->code == 404 || message->code == 409)
    {
      registration->announced = false;
      arm_renew (registration, now + registration->retry);
      return;
    }
  try_next_host (registration, now);
}

static void
on_head (struct http_call_sink *sink,
         int code,
         const struct http_field *headers,
         size_t n_headers,
         int64_t now)
{
  struct message *message = (struct message *) sink;

  (void) headers;
  (void) n_headers;
  (void) now;
  message->code = code;
}

static void
on_data (struct http_call_sink *sink, const void *data, size_t length, int64_t now)
{
  struct message *message = (struct message *) sink;

  (void) now;
  bytes_append (&message->answer, data, length);
}

static void
on_end (struct http_call_sink *sink, int64_t now)
{
  struct message *message = (struct message *) sink;

  message_ended (message, now);
  talloc_free (message);
}

static void
on_failed (struct http_call_sink *sink, enum status why, bool sent, int64_t now)
{
  struct message *message = (struct message *) sink;

  (void) why;
  (void) sent;
  message->code = 0;
  message_ended (message, now);
  talloc_free (message);
}

static const struct http_call_sink_ops sink_ops = {
  .head = on_head, .data = on_data, .end = on_end, .failed = on_failed
};

/* Takes the reference to `body`.  False if the call could not be started. */
static bool
send_message (struct fake_register *registration, enum message_kind kind, json_t *body, int64_t now)
{
  static const struct http_field fields[] = { { "content-type", "application/json" } };
  struct fake_target *target = registration->target;
  char *text = json_dumps (body, JSON_COMPACT);
  struct message *message = talloc_zero (registration, struct message);
  struct http_call *call;
  struct http_call_spec spec = {
    .address = registration->addresses[registration->current],
    .method = "POST",
    .path = message_paths[kind],
    .headers = fields,
    .n_headers = 1,
    .body = text,
    .body_length = strlen (text),
    .deadline = now + MESSAGE_TIMEOUT,
    .max_body_bytes = ANSWER_BYTES_MAX,
  };
  enum status status;

  *message =
      (struct message){ .sink = { .ops = &sink_ops }, .registration = registration, .kind = kind };
  bytes_init (&message->answer, message);
  status = target->client->ops->start (target->client, &spec, &message->sink, now, &call);
  json_decref (body);
  free (text);
  if (status != STATUS_OK)
    talloc_free (message);
  return status == STATUS_OK;
}

static json_t *
message_base (const struct fake_register *registration)
{
  const struct fake_target *target = registration->target;

  return json_pack ("{s:s, s:I, s:I}", "name", target->name, "incarnation",
                    (json_int_t) target->incarnation, "sequence",
                    (json_int_t) registration->sequence);
}

static json_t *
announcement (const struct fake_register *registration)
{
  static const char *const kinds[] = {
#define X(name, text) [STAGE_##name] = text,
    STAGE_KIND_LIST (X)
#undef X
  };
  const struct fake_target *target = registration->target;
  const struct fake_options *options = target->options;
  json_t *body = message_base (registration);

  json_object_update_new (
      body, json_pack ("{s:s, s:s, s:s, s:s, s:[s], s:[], s:s, s:b, s:b, s:I}", "pool",
                       options->pool, "kind", kinds[options->kind], "address", target->address,
                       "domain", target->domain, "models", options->model, "adapters", "version",
                       "1", "checks_orders", options->checks_orders, "reports_load",
                       options->reports_load, "slots", (json_int_t) fake_target_slots (target)));
  return body;
}

/* Send the next registration message: leave, announce or renew. */
static void
send_next_message (struct fake_register *registration, int64_t now)
{
  enum message_kind kind = registration->announced ? MESSAGE_RENEW : MESSAGE_ANNOUNCE;
  json_t *body;

  if (registration->in_call || registration->left)
    return;
  if (registration->leaving)
    kind = MESSAGE_LEAVE;
  if (kind != MESSAGE_RENEW)
    registration->sequence++;
  body = kind == MESSAGE_ANNOUNCE ? announcement (registration) : message_base (registration);
  registration->in_call = send_message (registration, kind, body, now);
  if (!registration->in_call)
    try_next_host (registration, now);
}

static void
on_renew (struct timer *timer, int64_t now)
{
  struct fake_register *registration =
      (struct fake_register *) ((char *) timer - offsetof (struct fake_register, renew_timer));

  if (registration->target->fault.silent && !registration->leaving)
    {
      arm_renew (registration, now + RENEW_DEFAULT);
      return;
    }
  send_next_message (registration, now);
}

static void
queue_report (struct fake_register *registration, int64_t now)
{
  struct fake_target *target = registration->target;
  struct report *report;

  if (registration->n_reports == REPORTS_KEPT)
    {
      json_decref (registration->reports[registration->report_first].events);
      registration->report_first = (registration->report_first + 1) % REPORTS_KEPT;
      registration->n_reports--;
    }
  report = &registration
                ->reports[(registration->report_first + registration->n_reports++) % REPORTS_KEPT];
  *report = (struct report){ .measured_at = now,
                             .running = target->n_running,
                             .waiting = target->n_waiting,
                             .kv_used = fake_cache_used (target->cache) };
  report->events = fake_cache_take_events (target->cache, &report->first_event);
}

/* Takes the reference to the report's events. */
static void
send_report (struct fake_register *registration, const struct report *report, int64_t now)
{
  struct fake_target *target = registration->target;
  bool drop = !registration->announced || target->fault.silent;

  if (target->options->reports_load && !drop
      && rng_unit (&target->rng) >= target->options->report_drop)
    send_message (registration, MESSAGE_LOAD,
                  json_pack ("{s:s, s:I, s:I, s:I, s:I, s:f}", "name", target->name, "incarnation",
                             (json_int_t) target->incarnation, "age_ms",
                             (json_int_t) ((now - report->measured_at) / USEC_PER_MSEC), "running",
                             (json_int_t) report->running, "waiting", (json_int_t) report->waiting,
                             "kv_used", report->kv_used),
                  now);
  if (!report->events)
    return;
  if (drop || rng_unit (&target->rng) < target->options->report_drop)
    {
      json_decref (report->events);
      return;
    }
  send_message (registration, MESSAGE_CACHE,
                json_pack ("{s:s, s:I, s:I, s:o}", "name", target->name, "incarnation",
                           (json_int_t) target->incarnation, "first",
                           (json_int_t) report->first_event, "events", report->events),
                now);
}

static void
on_report (struct timer *timer, int64_t now)
{
  struct fake_register *registration =
      (struct fake_register *) ((char *) timer - offsetof (struct fake_register, report_timer));
  const struct fake_options *options = registration->target->options;

  queue_report (registration, now);
  while (registration->n_reports > 0)
    {
      struct report *report = &registration->reports[registration->report_first];

      if (now - report->measured_at < options->report_lag)
        break;
      registration->report_first = (registration->report_first + 1) % REPORTS_KEPT;
      registration->n_reports--;
      send_report (registration, report, now);
    }
  timer_arm (loop_timers (registration->target->loop), timer, now + options->report_interval);
}

struct fake_register *
fake_register_new (struct fake_target *target, int64_t now)
{
  static const struct timer_ops renew_ops = { .fire = on_renew };
  static const struct timer_ops report_ops = { .fire = on_report };
  struct fake_register *registration = talloc_zero (target, struct fake_register);

  registration->target = target;
  registration->retry = RETRY_FIRST;
  registration->renew_timer.ops = &renew_ops;
  registration->report_timer.ops = &report_ops;
  for (uint32_t i = 0; i < target->options->n_hosts; i++)
    add_address (registration, target->options->hosts[i]);
  if (registration->n_addresses == 0)
    return registration;
  registration->current = (uint32_t) rng_below (&target->rng, registration->n_addresses);
  arm_renew (registration, now);
  if (target->options->report_interval > 0)
    timer_arm (loop_timers (target->loop), &registration->report_timer,
               now + target->options->report_interval);
  return registration;
}

void
fake_register_leave (struct fake_register *registration, int64_t now)
{
  if (registration->leaving || registration->n_addresses == 0)
    return;
  registration->leaving = true;
  send_next_message (registration, now);
}

bool
fake_register_is_announced (const struct fake_register *registration)
{
  return registration->announced;
}

bool
fake_register_has_left (const struct fake_register *registration)
{
  return registration->left || registration->n_addresses == 0;
}
