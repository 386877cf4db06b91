/* The HTTP API for targets: passes the parsed bodies (target_body.c) to the directory. */
#include "target_api.h"
#include "rng.h"
#include "target_body.h"
#include "text.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define OTHER_HOSTS_MAX 8

struct target_api
{
  struct http_route route; /* first member */
  struct board *board;
  struct directory *directory;
  uint32_t json_depth;
  struct rng rng;
};

/* ---- responses ---- */

static void
reply_json (struct http_exchange *exchange, int code, json_t *body)
{
  static const struct http_field type = { .name = "content-type", .value = "application/json" };
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  if (text == NULL)
    {
      http_reply_error (exchange, 503, NULL, "out of memory");
      return;
    }
  exchange->ops->reply (exchange, code, &type, 1, text, strlen (text));
  free (text);
}

static json_t *
list_addresses (const struct board_host *const *hosts, uint32_t count, uint64_t start)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < count && i < OTHER_HOSTS_MAX; i++)
    json_array_append_new (list, json_string (hosts[(start + i) % count]->target_address));
  return list;
}

/* Lists other hosts to announce to, starting at a random one so that the targets of a failed host
 * do not all move to the same one. */
static json_t *
other_hosts (struct target_api *api)
{
  const struct board_host *hosts[BOARD_HOSTS_MAX];
  const struct board_host *host;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((host = table_next (api->board->hosts, &cursor, NULL)) != NULL && count < BOARD_HOSTS_MAX)
    if (!host->self && host->state == HOST_ALIVE && host->target_address[0] != '\0')
      hosts[count++] = host;
  return list_addresses (hosts, count, rng_below (&api->rng, count));
}

static void
reply_lease (struct target_api *api, struct http_exchange *exchange, int code)
{
  reply_json (exchange, code,
              json_pack ("{s:I,s:I,s:o}", "lease_ms",
                         (json_int_t) (DIRECTORY_LEASE / USEC_PER_MSEC), "renew_ms",
                         (json_int_t) (DIRECTORY_RENEW_INTERVAL / USEC_PER_MSEC), "hosts",
                         other_hosts (api)));
}

static void
reply_status (struct http_exchange *exchange, enum status status)
{
  int code = 503;

  if (status == STATUS_NOT_FOUND)
    code = 404;
  if (status == STATUS_CONFLICT)
    code = 409;
  http_reply_error (exchange, code, NULL, status_message ());
}

/* Replies to a call whose success has no result. */
static void
reply_result (struct http_exchange *exchange, enum status status)
{
  if (status == STATUS_OK)
    reply_json (exchange, 200, json_object ());
  else
    reply_status (exchange, status);
}

static void
reply_body_error (struct http_exchange *exchange, const struct target_body_error *fault)
{
  http_reply_error (exchange, 400, fault->field, fault->message);
}

/* A leaving host accepts no targets; the response lists other hosts. */
static void
reply_leaving (struct target_api *api, struct http_exchange *exchange, int code)
{
  reply_json (exchange, code,
              json_pack ("{s:{s:i,s:n,s:s},s:o}", "error", "code", code, "field", "message",
                         "this host is leaving", "hosts", other_hosts (api)));
}

/* ---- the calls ---- */

static void
announce (struct target_api *api, struct http_exchange *exchange, const json_t *body, int64_t now)
{
  struct directory_record record;
  struct target_body_error fault = { 0 };
  enum status status;

  if (!target_body_read_record (body, &record, &fault))
    {
      reply_body_error (exchange, &fault);
      return;
    }
  if (api->board->leaving)
    {
      reply_leaving (api, exchange, 503);
      return;
    }
  status = directory_announce (api->directory, &record, now);
  if (status == STATUS_OK)
    reply_lease (api, exchange, 200);
  else
    reply_status (exchange, status);
}

static void
renew (struct target_api *api, struct http_exchange *exchange, const json_t *body, int64_t now)
{
  char name[RESOURCE_NAME_SIZE];
  struct directory_key key;
  struct target_body_error fault = { 0 };
  enum status status;

  if (!target_body_read_key (body, true, name, &key, &fault))
    {
      reply_body_error (exchange, &fault);
      return;
    }
  status = directory_renew (api->directory, &key, now);
  /* The renewal is applied, so that the target gets work until it has moved to another host. */
  if (status == STATUS_OK && api->board->leaving)
    reply_leaving (api, exchange, 404);
  else if (status == STATUS_OK)
    reply_lease (api, exchange, 200);
  else
    reply_status (exchange, status);
}

static void
leave (struct target_api *api, struct http_exchange *exchange, const json_t *body, int64_t now)
{
  char name[RESOURCE_NAME_SIZE];
  struct directory_key key;
  struct target_body_error fault = { 0 };

  if (!target_body_read_key (body, true, name, &key, &fault))
    {
      reply_body_error (exchange, &fault);
      return;
    }
  reply_result (exchange, directory_leave (api->directory, &key, now));
}

static void
load (struct target_api *api, struct http_exchange *exchange, const json_t *body, int64_t now)
{
  char name[RESOURCE_NAME_SIZE];
  struct directory_key key;
  struct target_body_error fault = { 0 };
  uint64_t age = 0;
  uint64_t running = 0;
  uint64_t waiting = 0;
  const json_t *kv_used = json_object_get (body, "kv_used");
  struct load_report report;

  if (!target_body_read_key (body, false, name, &key, &fault)
      || !target_body_read_number (body, "age_ms", 3600000, &age, &fault)
      || !target_body_read_number (body, "running", UINT32_MAX, &running, &fault)
      || !target_body_read_number (body, "waiting", UINT32_MAX, &waiting, &fault))
    {
      reply_body_error (exchange, &fault);
      return;
    }
  if (kv_used != NULL
      && (!json_is_number (kv_used) || json_number_value (kv_used) < 0
          || json_number_value (kv_used) > 1))
    {
      http_reply_error (exchange, 400, "kv_used", "expected a share from 0 to 1");
      return;
    }
  report = (struct load_report){
    .measured_at = now - (int64_t) age * USEC_PER_MSEC,
    .running = (uint32_t) running,
    .waiting = (uint32_t) waiting,
    .kv_used = json_number_value (kv_used),
  };
  reply_result (exchange, directory_report_load (api->directory, &key, &report, now));
}

static void
cache (struct target_api *api, struct http_exchange *exchange, const json_t *body, int64_t now)
{
  char name[RESOURCE_NAME_SIZE];
  struct directory_key key;
  struct directory_cache_event *events = NULL;
  struct target_body_error fault = { 0 };
  uint64_t first = 0;
  size_t count = 0;
  enum status status;

  if (!target_body_read_key (body, false, name, &key, &fault)
      || !target_body_read_number (body, "first", INT64_MAX, &first, &fault)
      || (events = target_body_read_events (api, body, &count, &fault)) == NULL)
    {
      reply_body_error (exchange, &fault);
      return;
    }
  status = directory_report_cache_events (api->directory, &key, first, events, count, now);
  talloc_free (events);
  reply_result (exchange, status);
}

static const struct
{
  const char *path;
  void (*run) (struct target_api *api,
               struct http_exchange *exchange,
               const json_t *body,
               int64_t now);
} calls[] = {
  { "/v1/targets/announce", announce }, { "/v1/targets/renew", renew },
  { "/v1/targets/leave", leave },       { "/v1/targets/load", load },
  { "/v1/targets/cache", cache },
};

static void
call (struct target_api *api, size_t which, struct http_exchange *exchange, int64_t now)
{
  json_error_t error;
  json_t *body;

  if (!target_body_depth_is_within (exchange->body, exchange->body_length, api->json_depth))
    {
      http_reply_error (exchange, 400, NULL, "nested too deeply");
      return;
    }
  body = json_loadb (exchange->body, exchange->body_length, JSON_REJECT_DUPLICATES, &error);
  if (json_is_object (body))
    calls[which].run (api, exchange, body, now);
  else
    http_reply_error (exchange, 400, NULL, "expected a JSON object");
  json_decref (body);
}

static void
request (struct http_route *route, struct http_exchange *exchange, int64_t now)
{
  struct target_api *api = (struct target_api *) route;

  for (size_t i = 0; i < sizeof calls / sizeof calls[0]; i++)
    {
      if (strcmp (exchange->path, calls[i].path) != 0)
        continue;
      if (strcmp (exchange->method, "POST") != 0)
        http_reply_error (exchange, 405, NULL, "only POST");
      else
        call (api, i, exchange, now);
      return;
    }
  http_reply_error (exchange, 404, NULL, "no such call");
}

static const struct http_route_ops route_ops = { .request = request };

struct target_api *
target_api_new (void *parent, const struct target_api_config *config)
{
  struct target_api *api = talloc_zero (parent, struct target_api);

  if (api == NULL)
    return NULL;
  api->route = (struct http_route){
    .ops = &route_ops,
    .listener = HTTP_LISTENER_TARGETS,
    .prefix = "/v1/targets/",
  };
  api->board = config->board;
  api->directory = config->directory;
  api->json_depth = config->json_depth;
  rng_init (&api->rng, config->seed);
  return api;
}

struct http_route *
target_api_route (struct target_api *api)
{
  return &api->route;
}
