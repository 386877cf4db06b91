/* The operator API: routing, authorization, and the paths that are not resources. */
#include "operator_private.h"
#include <string.h>

/* Routes that do not belong to a resource kind; they follow the routes of the kinds.  name, path */
#define OTHER_ROUTE_LIST(X)                                                                        \
  X (REVISION, "/v1/revision")                                                                     \
  X (DUMP, "/v1/dump")                                                                             \
  X (METRICS, "/metrics")                                                                          \
  X (HEALTH, "/v1/health")

enum other_route
{
#define X(name, path) ROUTE_##name,
  OTHER_ROUTE_LIST (X)
#undef X
      ROUTE_COUNT
};

static const char *const other_paths[] = {
#define X(name, path) [ROUTE_##name] = path,
  OTHER_ROUTE_LIST (X)
#undef X
};

_Static_assert(RESOURCE_KIND_COUNT + ROUTE_COUNT == OPERATOR_ROUTES, "one route each");

void
operator_reply (struct operator_api *api,
                struct http_exchange *exchange,
                int code,
                const char *body,
                size_t length,
                int64_t now)
{
  const struct board *board = api->config.board;
  char revision[24];
  const struct http_field fields[] = {
    { "content-type", "application/json" },
    { "x-config-revision", revision },
    { "x-config-confirmed", config_is_confirmed (board, now) ? "yes" : "no" },
  };

  snprintf (revision, sizeof revision, "%llu", (unsigned long long) board->revision);
  exchange->watcher = NULL;
  exchange->ops->reply (exchange, code, fields, sizeof fields / sizeof *fields, body, length);
}

void
operator_reply_json (
    struct operator_api *api, struct http_exchange *exchange, int code, json_t *body, int64_t now)
{
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  if (text == NULL)
    http_reply_error (exchange, 500, NULL, "out of memory");
  else
    operator_reply (api, exchange, code, text, strlen (text), now);
  free (text);
}

void
operator_reply_error (struct operator_api *api,
                      struct http_exchange *exchange,
                      int code,
                      const char *field,
                      const char *message,
                      const char *object,
                      size_t object_length,
                      int64_t now)
{
  json_t *body =
      json_pack ("{s:{s:i,s:s?,s:s}}", "error", "code", code, "field", field, "message", message);

  if (object_length > 0)
    json_object_set_new (body, "object", json_loadb (object, object_length, 0, NULL));
  operator_reply_json (api, exchange, code, body, now);
}

/* Changes of operators and hosts grant access, so they need the highest role. */
static enum access_role
required_role (enum resource_kind kind, const char *method)
{
  if (strcmp (method, "GET") == 0)
    return ACCESS_READ;
  return kind == RESOURCE_OPERATOR || kind == RESOURCE_HOST ? ACCESS_ADMIN : ACCESS_WRITE;
}

/* Checks the token and role of the operator; false if the request was refused and answered. */
static bool
check_authorization (struct operator_request *request)
{
  struct operator_api *api = request->api;
  enum access_role role = ACCESS_ADMIN;

  text_copy_truncated (request->operator_name, sizeof request->operator_name, "anonymous");
  if (api->config.access != NULL)
    role = access_authenticate_operator (api->config.access, request->exchange,
                                         request->operator_name);
  if (role >= required_role (request->kind, request->exchange->method))
    return true;
  if (role == ACCESS_NONE)
    http_reply_error (request->exchange, 401, "authorization", "an operator's token is needed");
  else
    http_reply_error (request->exchange, 403, NULL, "this operator's role does not allow it");
  return false;
}

/* Reads the object's name from "/v1/KIND/NAME"; false for any path but that and "/v1/KIND". */
static bool
parse_path (struct operator_request *request, const char *prefix)
{
  const char *rest = request->exchange->path + strlen (prefix);

  if (rest[0] == '\0' || strcmp (rest, "/") == 0)
    return true;
  return rest[0] == '/' && resource_name_is_valid (rest + 1)
         && text_copy (request->name, sizeof request->name, rest + 1);
}

static void
handle_resource_request (struct operator_request *request)
{
  const char *method = request->exchange->method;
  char text[8];

  if (!request->api->config.board->config_ready)
    http_reply_error (request->exchange, 503, NULL,
                      "no confirmed configuration yet: the host is starting or has no quorum");
  else if (strcmp (method, "GET") == 0 && request->name[0] != '\0')
    operator_get (request);
  else if (strcmp (method, "GET") == 0 && http_query (request->exchange, "watch", text, sizeof text)
           && strcmp (text, "0") != 0)
    operator_watch (request);
  else if (strcmp (method, "GET") == 0)
    operator_list (request);
  else if (request->name[0] == '\0')
    http_reply_error (request->exchange, 405, NULL, "changes name one object: /v1/KIND/NAME");
  else
    operator_change (request);
}

static json_t *
describe_revision (const struct operator_api *api, int64_t now)
{
  const struct board *board = api->config.board;
  const struct board_host *host;
  json_t *hosts = json_array ();
  uint32_t cursor = 0;

  while ((host = table_next (board->hosts, &cursor, NULL)) != NULL)
    json_array_append_new (
        hosts, json_pack ("{s:s,s:I,s:b}", "name", host->name, "revision",
                          (json_int_t) (host->self ? board->revision : host->revision), "reachable",
                          host->self || host->state == HOST_ALIVE || host->state == HOST_LEAVING));
  return json_pack ("{s:I,s:b,s:o}", "revision", (json_int_t) board->revision, "confirmed",
                    config_is_confirmed (board, now), "hosts", hosts);
}

static void
reply_metrics (struct operator_api *api, struct http_exchange *exchange)
{
  static const struct http_field type = { "content-type", "text/plain; version=0.0.4" };
  struct bytes text;

  bytes_init (&text, api);
  counters_write (api->config.counters, &text);
  exchange->ops->reply (exchange, 200, &type, 1, text.data, text.length);
  bytes_clear (&text);
}

static void
reply_health (struct operator_api *api, struct http_exchange *exchange, int64_t now)
{
  const struct board *board = api->config.board;
  bool serving = board->config_ready && !board->targets_unknown && !board->refusing;

  operator_reply_json (api, exchange, serving ? 200 : 503,
                       json_pack ("{s:b,s:b,s:b}", "serving", serving, "leaving", board->leaving,
                                  "confirmed", config_is_confirmed (board, now)),
                       now);
}

static void
handle_other_request (struct operator_request *request, enum other_route which)
{
  struct operator_api *api = request->api;
  int64_t now = request->now;

  switch (which)
    {
    case ROUTE_REVISION:
      operator_reply_json (api, request->exchange, 200, describe_revision (api, now), now);
      break;
    case ROUTE_DUMP:
      operator_reply_json (api, request->exchange, 200, dump_describe (api->config.dump, now), now);
      break;
    case ROUTE_METRICS:
      reply_metrics (api, request->exchange);
      break;
    case ROUTE_HEALTH:
    case ROUTE_COUNT:
    default:
      reply_health (api, request->exchange, now);
      break;
    }
}

static void
handle_request (struct http_route *route, struct http_exchange *exchange, int64_t now)
{
  struct operator_route *own = (struct operator_route *) route;
  struct operator_request request = {
    .api = own->api, .exchange = exchange, .kind = own->kind, .now = now
  };
  int which = (int) (own - own->api->routes) - RESOURCE_KIND_COUNT; /* negative for a kind */

  if (own->kind == RESOURCE_KIND_COUNT && strcmp (exchange->method, "GET") != 0)
    http_reply_error (exchange, 405, NULL, "GET only");
  else if (!parse_path (&request, own->prefix)
           || (own->kind == RESOURCE_KIND_COUNT && request.name[0] != '\0'))
    http_reply_error (exchange, 404, NULL, "no such path");
  else if (which != ROUTE_HEALTH && !check_authorization (&request)) /* probes carry no token */
    return;
  else if (own->kind == RESOURCE_KIND_COUNT)
    handle_other_request (&request, (enum other_route) which);
  else
    handle_resource_request (&request);
}

static const struct http_route_ops route_ops = { .request = handle_request };

static void
set_route (struct operator_api *api, uint32_t i, enum resource_kind kind, const char *path)
{
  struct operator_route *route = &api->routes[i];

  text_copy_truncated (route->prefix, sizeof route->prefix, path);
  route->api = api;
  route->kind = kind;
  route->route.ops = &route_ops;
  route->route.listener = HTTP_LISTENER_OPERATORS;
  route->route.prefix = route->prefix;
  api->route_list[i] = &route->route;
}

struct operator_api *
operator_api_new (void *parent, const struct operator_api_config *config)
{
  struct operator_api *api = talloc_zero (parent, struct operator_api);
  char path[RESOURCE_NAME_SIZE];
  uint32_t i;

  if (api == NULL)
    return NULL;
  api->config = *config;
  api->config.host = talloc_strdup (api, config->host);
  for (i = 0; i < RESOURCE_KIND_COUNT; i++)
    {
      snprintf (path, sizeof path, "/v1/%s", resource_kind_plural ((enum resource_kind) i));
      set_route (api, i, (enum resource_kind) i, path);
    }
  for (i = 0; i < ROUTE_COUNT; i++)
    set_route (api, RESOURCE_KIND_COUNT + i, RESOURCE_KIND_COUNT, other_paths[i]);
  api->changes = counter_get (config->counters, "cherryarch_operator_changes_total",
                              "Changes of resources accepted here.", NULL);
  api->conflicts = counter_get (config->counters, "cherryarch_operator_conflicts_total",
                                "Changes refused because the object had changed.", NULL);
  api->resent = counter_get (config->counters, "cherryarch_operator_resent_total",
                             "Changes sent again and given their first answer.", NULL);
  api->watches = operator_watches_new (api);
  if (api->watches == NULL || api->config.host == NULL)
    {
      talloc_free (api);
      return NULL;
    }
  return api;
}

uint32_t
operator_api_routes (struct operator_api *api, struct http_route ***out)
{
  *out = api->route_list;
  return OPERATOR_ROUTES;
}
