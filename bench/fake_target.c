/* HTTP interface of a fake target: calls of its kind, cancel, KV, orders, faults and counters. */
#include "fake.h"
#include "fake_execution.h"
#include "service_time.h"
#include "text.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>
#include <xxhash.h>

#define HEADER_BYTES 16384
#define BODY_BYTES (8 * 1024 * 1024)
#define IDLE_TIMEOUT (120 * USEC_PER_SEC)
#define BODY_TIMEOUT (30 * USEC_PER_SEC)
#define UNSENT_BYTES (8 * 1024 * 1024)

static const char *const call_paths[] = {
  [STAGE_ENCODE] = "/v1/embeddings", [STAGE_RETRIEVE] = "/v1/retrieve",
  [STAGE_RERANK] = "/v1/rerank",     [STAGE_GENERATE] = "/v1/completions",
  [STAGE_CALL] = "/v1/call",
};

uint32_t
fake_target_slots (const struct fake_target *target)
{
  const struct fake_options *options = target->options;

  return options->slots > 0 ? options->slots : service_time_slots (options->kind);
}

void
fake_reply_json (struct http_exchange *exchange, int code, json_t *body)
{
  static const struct http_field fields[] = { { "content-type", "application/json" } };
  char *text = json_dumps (body, JSON_COMPACT);

  exchange->ops->reply (exchange, code, fields, 1, text, strlen (text));
  free (text);
  json_decref (body);
}

static void
on_cancel (struct fake_target *target, struct http_exchange *exchange, json_t *body, int64_t now)
{
  const char *id = json_string_value (json_object_get (body, "request_id"));
  json_int_t attempt = json_integer_value (json_object_get (body, "attempt"));
  char text[32];

  snprintf (text, sizeof text, "%lld", (long long) attempt);
  if (id)
    fake_task_cancel (target, id, text, now);
  fake_reply_json (exchange, 200, json_object ());
}

static bool
read_block (const json_t *text, uint64_t *out)
{
  const char *hex = json_string_value (text);
  char *end;

  if (!hex || strlen (hex) != 16)
    return false;
  *out = strtoull (hex, &end, 16);
  return *end == '\0';
}

/* An export lists which of the requested blocks are cached; an import adds the blocks to the
 * cache. */
static void
on_export (struct fake_target *target, struct http_exchange *exchange, json_t *body, int64_t now)
{
  json_t *held = json_array ();
  json_t *text;
  size_t i;

  (void) now;
  json_array_foreach (json_object_get (body, "blocks"), i, text)
    {
      uint64_t block;

      if (read_block (text, &block) && fake_cache_contains (target->cache, block))
        json_array_append (held, text);
    }
  fake_reply_json (exchange, 200, json_pack ("{s:o}", "blocks", held));
}

static void
on_import (struct fake_target *target, struct http_exchange *exchange, json_t *body, int64_t now)
{
  json_int_t tokens = 0;
  json_t *text;
  size_t i;

  (void) now;
  json_array_foreach (json_object_get (body, "blocks"), i, text)
    {
      uint64_t block;

      if (!read_block (text, &block))
        continue;
      fake_cache_store_block (target->cache, block);
      tokens += FAKE_BLOCK_TOKENS;
    }
  fake_reply_json (exchange, 200, json_pack ("{s:I}", "tokens", tokens));
}

static void
on_order (struct fake_target *target, struct http_exchange *exchange, json_t *body, int64_t now)
{
  json_int_t fence = json_integer_value (json_object_get (body, "fence"));

  (void) now;
  if (target->options->checks_orders && fence < (json_int_t) target->fence)
    {
      fake_reply_json (exchange, 409, json_pack ("{s:I}", "fence", (json_int_t) target->fence));
      return;
    }
  target->fence = (uint64_t) fence;
  fake_reply_json (exchange, 200, json_pack ("{s:I}", "fence", fence));
}

static void
on_state (struct fake_target *target, struct http_exchange *exchange, json_t *body, int64_t now)
{
  (void) body;
  (void) now;
  fake_reply_json (exchange, 200,
                   json_pack ("{s:[s], s:[], s:s, s:s, s:I, s:I}", "models", target->options->model,
                              "adapters", "version", "1", "role", "", "fence",
                              (json_int_t) target->fence, "incarnation",
                              (json_int_t) target->incarnation));
}

static void
on_fault (struct fake_target *target, struct http_exchange *exchange, json_t *body, int64_t now)
{
  if (fake_target_set_fault (target, body, now) != STATUS_OK)
    http_reply_error (exchange, 400, NULL, status_message ());
  else
    fake_reply_json (exchange, 200, json_object ());
}

static void
on_counts (struct fake_target *target, struct http_exchange *exchange, json_t *body, int64_t now)
{
  (void) body;
  (void) now;
  fake_reply_json (exchange, 200, fake_target_describe (target));
}

typedef void call_function (struct fake_target *target,
                            struct http_exchange *exchange,
                            json_t *body,
                            int64_t now);

static const struct
{
  const char *method;
  const char *path;
  call_function *call;
} side_calls[] = {
  { "POST", "/v1/cancel", on_cancel },     { "POST", "/v1/kv/export", on_export },
  { "POST", "/v1/kv/import", on_import },  { "POST", "/v1/orders", on_order },
  { "GET", "/v1/state", on_state },        { "POST", "/v1/fault", on_fault },
  { "GET", "/v1/fake/counts", on_counts },
};

static void
on_request (struct http_route *route, struct http_exchange *exchange, int64_t now)
{
  struct fake_target *target = (struct fake_target *) route;

  if (strcmp (exchange->path, call_paths[target->options->kind]) == 0)
    {
      fake_task_accept (target, exchange, now);
      return;
    }
  for (size_t i = 0; i < sizeof side_calls / sizeof side_calls[0]; i++)
    {
      json_t *body;

      if (strcmp (exchange->path, side_calls[i].path) != 0
          || strcmp (exchange->method, side_calls[i].method) != 0)
        continue;
      body = json_loadb (exchange->body, exchange->body_length, JSON_REJECT_DUPLICATES, NULL);
      side_calls[i].call (target, exchange, body, now);
      json_decref (body);
      return;
    }
  http_reply_error (exchange, 404, NULL, "a target of this kind has no such call");
}

/* Persistent settings of a fault; the other keys take effect at once. */
static bool
set_fault (struct fake_fault *fault, const char *key, const json_t *value)
{
  struct
  {
    const char *key;
    bool *flag;
  } const flags[] = { { "refuse", &fault->refuse }, { "hang", &fault->hang },
                      { "die", &fault->die },       { "twice", &fault->twice },
                      { "other", &fault->other },   { "silent", &fault->silent } };

  for (size_t i = 0; i < sizeof flags / sizeof flags[0]; i++)
    if (strcmp (key, flags[i].key) == 0)
      {
        *flags[i].flag = json_is_true (value);
        return json_is_boolean (value);
      }
  if (strcmp (key, "slow") == 0)
    fault->slow = json_number_value (value);
  else if (strcmp (key, "late_ms") == 0)
    fault->late = json_integer_value (value) * USEC_PER_MSEC;
  else if (strcmp (key, "times") == 0)
    fault->times = json_integer_value (value);
  else
    return false;
  return json_is_number (value) && fault->slow > 0 && fault->late >= 0 && fault->times >= 0;
}

enum status
fake_target_set_fault (struct fake_target *target, const json_t *fault, int64_t now)
{
  struct fake_fault set = target->fault;
  bool leave = json_is_true (json_object_get (fault, "leave"));
  bool recover = json_is_true (json_object_get (fault, "recover"));
  const char *key;
  json_t *value;

  if (!json_is_object (fault))
    return status_fail (STATUS_INVALID, "a fault is a JSON object");
  if (recover)
    set = (struct fake_fault){ .slow = 1 };
  json_object_foreach ((json_t *) fault, key, value)
    {
      if (strcmp (key, "target") == 0 || strcmp (key, "leave") == 0 || strcmp (key, "recover") == 0
          || strcmp (key, "cold") == 0)
        continue;
      if (!set_fault (&set, key, value))
        return status_fail (STATUS_INVALID, "%s: not a fault, or a bad value", key);
    }
  target->fault = set;
  if (json_is_true (json_object_get (fault, "cold")))
    fake_cache_clear (target->cache);
  if (leave)
    fake_target_leave (target, now);
  if (recover)
    fake_task_release_hung (target, now);
  return STATUS_OK;
}

void
fake_target_leave (struct fake_target *target, int64_t now)
{
  if (target->left_at > 0)
    return;
  target->left_at = now;
  fake_register_leave (target->registration, now);
}

bool
fake_target_has_left (const struct fake_target *target)
{
  return fake_register_has_left (target->registration);
}

bool
fake_target_is_idle (const struct fake_target *target)
{
  return target->n_running == 0 && target->n_waiting == 0;
}

json_t *
fake_target_describe (const struct fake_target *target)
{
  const struct fake_counts *counts = &target->counts;
  json_t *json;

  json = json_pack (
      "{s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "name",
      target->name, "pool", target->options->pool, "address", target->address, "announced",
      fake_register_is_announced (target->registration), "calls", (json_int_t) counts->calls,
      "refused", (json_int_t) counts->refused, "answered", (json_int_t) counts->answered,
      "cancelled", (json_int_t) counts->cancelled, "faults", (json_int_t) counts->faults, "busy_us",
      (json_int_t) counts->busy, "wasted_us", (json_int_t) counts->wasted, "after_leave",
      (json_int_t) counts->after_leave, "last_call_after_leave_us",
      (json_int_t) counts->last_call_after_leave, "running", (json_int_t) target->n_running,
      "waiting", (json_int_t) target->n_waiting, "incarnation", (json_int_t) target->incarnation);
  json_object_set_new (json, "executions", fake_execution_describe (target));
  return json;
}

static int
free_target (struct fake_target *target)
{
  fake_execution_clear (target);
  return 0;
}

/* Used as incarnation: increases with each start of the process. */
static uint64_t
wall_clock (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t) (now.tv_sec * USEC_PER_SEC + now.tv_nsec / 1000);
}

static bool
listen_on (struct fake_target *target, struct counters *counters, const char *listen)
{
  static const struct http_route_ops ops = { .request = on_request };
  const char *colon = strrchr (listen, ':');
  struct http_server_config config = {
    .loop = target->loop,
    .counters = counters,
    .listen = { [HTTP_LISTENER_CALLERS] = listen },
    .limits = { .header_bytes = HEADER_BYTES,
                .body_bytes = BODY_BYTES,
                .idle_timeout = IDLE_TIMEOUT,
                .body_timeout = BODY_TIMEOUT,
                .unsent_bytes = UNSENT_BYTES },
  };

  target->server = http_server_new (target, &config);
  if (!target->server || !colon)
    return false;
  snprintf (target->address, sizeof target->address, "%.*s:%u", (int) (colon - listen), listen,
            http_server_port (target->server, HTTP_LISTENER_CALLERS));
  target->route =
      (struct http_route){ .ops = &ops, .listener = HTTP_LISTENER_CALLERS, .prefix = "/" };
  return http_server_add_route (target->server, &target->route) == STATUS_OK;
}

struct fake_target *
fake_target_new (void *parent,
                 const struct fake_options *options,
                 struct loop *loop,
                 struct http_client *client,
                 struct counters *counters,
                 const char *name,
                 const char *domain,
                 const char *listen)
{
  struct fake_target *target = talloc_zero (parent, struct fake_target);

  target->options = options;
  target->loop = loop;
  target->client = client;
  target->fault.slow = 1;
  target->incarnation = wall_clock ();
  rng_init (&target->rng, XXH3_64bits_withSeed (name, strlen (name), options->seed));
  text_copy_truncated (target->name, sizeof target->name, name);
  text_copy_truncated (target->domain, sizeof target->domain, domain);
  target->cache = fake_cache_new (target, options->cache_blocks);
  talloc_set_destructor (target, free_target);
  if (!listen_on (target, counters, listen))
    {
      talloc_free (target);
      return NULL;
    }
  target->registration = fake_register_new (target, loop_now (loop));
  return target;
}
