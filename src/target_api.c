/* The targets' calls: JSON bodies checked field by field, then the directory. */
#include "target_api.h"
#include "rng.h"
#include "text.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define OTHER_HOSTS_MAX 8
#define CACHE_EVENTS_MAX 4096

struct target_api
{
  struct http_route route; /* first member */
  struct board *board;
  struct directory *directory;
  uint32_t json_depth;
  struct rng rng;
};

/* What was wrong with a body. */
struct fault
{
  const char *field;
  const char *message;
};

/* ---- reading ---- */

/* Nesting at most `limit`: checked before the parser, whose own limit is far above ours. */
static bool
depth_within (const char *text, size_t length, uint32_t limit)
{
  uint32_t depth = 0;
  bool quoted = false;

  for (size_t i = 0; i < length; i++)
    {
      if (quoted && text[i] == '\\')
        i++;
      else if (text[i] == '"')
        quoted = !quoted;
      else if (!quoted && (text[i] == '{' || text[i] == '[') && ++depth > limit)
        return false;
      else if (!quoted && (text[i] == '}' || text[i] == ']') && depth > 0)
        depth--;
    }
  return true;
}

static bool
fail (struct fault *fault, const char *field, const char *message)
{
  /* The first fault is told. */
  if (fault->message == NULL)
    *fault = (struct fault){ .field = field, .message = message };
  return false;
}

static bool
name_is_valid (const char *text)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.";

  return text[0] != '\0' && strlen (text) < RESOURCE_NAME_SIZE
         && text[strspn (text, allowed)] == '\0';
}

static bool
copy_name (const json_t *value, char out[RESOURCE_NAME_SIZE])
{
  const char *text = json_string_value (value);

  return text != NULL && name_is_valid (text) && text_copy (out, RESOURCE_NAME_SIZE, text);
}

static bool
read_name (const json_t *body, const char *field, char out[RESOURCE_NAME_SIZE], struct fault *fault)
{
  if (copy_name (json_object_get (body, field), out))
    return true;
  return fail (fault, field, "expected a name of 1 to 63 letters, digits, '-' and '.'");
}

static bool
read_address (const json_t *body, char out[RESOURCE_ADDRESS_SIZE], struct fault *fault)
{
  const char *text = json_string_value (json_object_get (body, "address"));

  /* XXX: only the form is checked; that it is an IP number shows when we connect. */
  if (text != NULL && strchr (text, ':') != NULL
      && strspn (text, "0123456789abcdefABCDEF.:[]") == strlen (text)
      && text_copy (out, RESOURCE_ADDRESS_SIZE, text))
    return true;
  return fail (fault, "address", "expected \"ip:port\"");
}

static bool
read_number (
    const json_t *body, const char *field, uint64_t max, uint64_t *out, struct fault *fault)
{
  const json_t *value = json_object_get (body, field);
  json_int_t number = json_integer_value (value);

  if (!json_is_integer (value) || number < 0 || (uint64_t) number > max)
    return fail (fault, field, "expected a whole number in range");
  *out = (uint64_t) number;
  return true;
}

static bool
read_flag (const json_t *body, const char *field, bool *out, struct fault *fault)
{
  const json_t *value = json_object_get (body, field);

  if (value != NULL && !json_is_boolean (value))
    return fail (fault, field, "expected true or false");
  *out = json_is_true (value);
  return true;
}

static bool
read_names (const json_t *body,
            const char *field,
            char out[][RESOURCE_NAME_SIZE],
            uint32_t *count,
            struct fault *fault)
{
  const json_t *list = json_object_get (body, field);

  *count = 0;
  if (list == NULL)
    return true;
  if (!json_is_array (list) || json_array_size (list) > BOARD_MODELS_MAX)
    return fail (fault, field, "expected a list of at most 8 names");
  for (size_t i = 0; i < json_array_size (list); i++)
    if (!copy_name (json_array_get (list, i), out[i]))
      return fail (fault, field, "expected a list of names");
  *count = (uint32_t) json_array_size (list);
  return true;
}

static bool
read_kind (const json_t *body, enum stage_kind *out, struct fault *fault)
{
  static const char *const kinds[] = {
#define X(name, text) [STAGE_##name] = text,
    STAGE_KIND_LIST (X)
#undef X
  };
  const char *text = json_string_value (json_object_get (body, "kind"));

  for (unsigned i = 0; text != NULL && i < STAGE_KIND_COUNT; i++)
    if (strcmp (text, kinds[i]) == 0)
      {
        *out = (enum stage_kind) i;
        return true;
      }
  return fail (fault, "kind", "expected encode, retrieve, rerank, generate or call");
}

static bool
read_record (const json_t *body, struct directory_record *out, struct fault *fault)
{
  uint64_t slots = 0;
  const char *version = json_string_value (json_object_get (body, "version"));

  memset (out, 0, sizeof *out);
  if (version != NULL && !text_copy (out->version, sizeof out->version, version))
    return fail (fault, "version", "expected at most 63 bytes");
  if (json_object_get (body, "slots") != NULL && !read_number (body, "slots", 65535, &slots, fault))
    return false;
  out->slots = (uint32_t) slots;
  return read_name (body, "name", out->name, fault) && read_name (body, "pool", out->pool, fault)
         && read_name (body, "domain", out->domain, fault) && read_kind (body, &out->kind, fault)
         && read_address (body, out->address, fault)
         && read_names (body, "models", out->models, &out->n_models, fault)
         && read_names (body, "adapters", out->adapters, &out->n_adapters, fault)
         && read_flag (body, "checks_orders", &out->checks_orders, fault)
         && read_flag (body, "reports_load", &out->reports_load, fault)
         && read_number (body, "incarnation", INT64_MAX, &out->incarnation, fault)
         && read_number (body, "sequence", INT64_MAX, &out->sequence, fault);
}

static bool
read_key (const json_t *body,
          bool with_sequence,
          char name[RESOURCE_NAME_SIZE],
          struct directory_key *out,
          struct fault *fault)
{
  *out = (struct directory_key){ .name = name };
  return read_name (body, "name", name, fault)
         && read_number (body, "incarnation", INT64_MAX, &out->incarnation, fault)
         && (!with_sequence || read_number (body, "sequence", INT64_MAX, &out->sequence, fault));
}

/* ---- answering ---- */

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

/* Where else to announce: from a random place on, so that the targets of a host that dies do not
 * all go to the same one. */
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
                         (json_int_t) (DIRECTORY_RENEW / USEC_PER_MSEC), "hosts",
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

/* Of what has nothing to tell when it went well. */
static void
reply_done (struct http_exchange *exchange, enum status status)
{
  if (status == STATUS_OK)
    reply_json (exchange, 200, json_object ());
  else
    reply_status (exchange, status);
}

static void
reply_fault (struct http_exchange *exchange, const struct fault *fault)
{
  http_reply_error (exchange, 400, fault->field, fault->message);
}

/* A host that leaves is no home to come to; the answer names others. */
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
  struct directory_record said;
  struct fault fault = { 0 };
  enum status status;

  if (!read_record (body, &said, &fault))
    {
      reply_fault (exchange, &fault);
      return;
    }
  if (api->board->leaving)
    {
      reply_leaving (api, exchange, 503);
      return;
    }
  status = directory_announce (api->directory, &said, now);
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
  struct fault fault = { 0 };
  enum status status;

  if (!read_key (body, true, name, &key, &fault))
    {
      reply_fault (exchange, &fault);
      return;
    }
  status = directory_renew (api->directory, &key, now);
  /* The renewal counts, so that work goes on until the target has its new home. */
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
  struct fault fault = { 0 };

  if (!read_key (body, true, name, &key, &fault))
    {
      reply_fault (exchange, &fault);
      return;
    }
  reply_done (exchange, directory_leave (api->directory, &key, now));
}

static void
load (struct target_api *api, struct http_exchange *exchange, const json_t *body, int64_t now)
{
  char name[RESOURCE_NAME_SIZE];
  struct directory_key key;
  struct fault fault = { 0 };
  uint64_t age = 0;
  uint64_t running = 0;
  uint64_t waiting = 0;
  const json_t *kv_used = json_object_get (body, "kv_used");
  struct load_report report;

  if (!read_key (body, false, name, &key, &fault)
      || !read_number (body, "age_ms", 3600000, &age, &fault)
      || !read_number (body, "running", UINT32_MAX, &running, &fault)
      || !read_number (body, "waiting", UINT32_MAX, &waiting, &fault))
    {
      reply_fault (exchange, &fault);
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
  reply_done (exchange, directory_load (api->directory, &key, &report, now));
}

static bool
read_event (const json_t *from, struct directory_cache_event *out)
{
  const char *block = json_string_value (json_object_get (from, "block"));
  const json_t *stored = json_object_get (from, "stored");

  if (block == NULL || strlen (block) != 16 || strspn (block, "0123456789abcdefABCDEF") != 16
      || !json_is_boolean (stored))
    return false;
  out->block = strtoull (block, NULL, 16);
  out->stored = json_is_true (stored);
  return true;
}

static struct directory_cache_event *
read_events (void *parent, const json_t *body, size_t *count, struct fault *fault)
{
  const json_t *list = json_object_get (body, "events");
  struct directory_cache_event *events;

  *count = json_array_size (list);
  if (!json_is_array (list) || *count > CACHE_EVENTS_MAX)
    {
      fail (fault, "events", "expected a list of at most 4096 events");
      return NULL;
    }
  events = talloc_array (parent, struct directory_cache_event, *count + 1);
  for (size_t i = 0; events != NULL && i < *count; i++)
    if (!read_event (json_array_get (list, i), &events[i]))
      {
        fail (fault, "events", "expected {\"block\": 16 hex digits, \"stored\": BOOL}");
        talloc_free (events);
        return NULL;
      }
  if (events == NULL)
    fail (fault, "events", "out of memory");
  return events;
}

static void
cache (struct target_api *api, struct http_exchange *exchange, const json_t *body, int64_t now)
{
  char name[RESOURCE_NAME_SIZE];
  struct directory_key key;
  struct directory_cache_event *events = NULL;
  struct fault fault = { 0 };
  uint64_t first = 0;
  size_t count = 0;
  enum status status;

  if (!read_key (body, false, name, &key, &fault)
      || !read_number (body, "first", INT64_MAX, &first, &fault)
      || (events = read_events (api, body, &count, &fault)) == NULL)
    {
      reply_fault (exchange, &fault);
      return;
    }
  status = directory_cache (api->directory, &key, first, events, count, now);
  talloc_free (events);
  reply_done (exchange, status);
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

  if (!depth_within (exchange->body, exchange->body_length, api->json_depth))
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
