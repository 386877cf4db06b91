/* Reading of resources: a single object, or a list in pages. */
#include "operator_private.h"
#include <stdlib.h>
#include <string.h>

#define LIST_LIMIT_DEFAULT 500
#define LIST_LIMIT_MAX 5000
#define BEHIND_HOSTS_MAX 16

/* Continuation token of a list: the revision of its first page and the last name returned.  A watch
 * from that revision reports every change made while the pages were read. */
struct list_token
{
  uint64_t revision;
  char after[RESOURCE_NAME_SIZE];
};

static bool
parse_token (const char *text, struct list_token *out)
{
  char *end;

  out->revision = strtoull (text, &end, 10);
  return end != text && *end == ':' && resource_name_is_valid (end + 1)
         && text_copy (out->after, sizeof out->after, end + 1);
}

/* Describes on how many hosts `revision` is in force and which hosts are behind. */
static json_t *
describe_in_force (const struct operator_api *api, uint64_t revision)
{
  const struct board *board = api->config.board;
  const struct board_host *host;
  json_t *behind = json_array ();
  uint32_t cursor = 0;
  json_int_t count = 0;
  json_int_t hosts = 0;

  while ((host = table_next (board->hosts, &cursor, NULL)) != NULL)
    {
      hosts++;
      if ((host->self ? board->revision : host->revision) >= revision)
        count++;
      else if (json_array_size (behind) < BEHIND_HOSTS_MAX)
        json_array_append_new (behind, json_string (host->name));
    }
  return json_pack ("{s:b,s:I,s:I,s:o}", "here", board->revision >= revision, "hosts", hosts,
                    "inForce", count, "behind", behind);
}

void
operator_get (struct operator_request *request)
{
  struct operator_api *api = request->api;
  const struct store_object *object = store_find (api->config.store, request->kind, request->name);
  struct bytes text;
  json_t *json;

  if (object == NULL)
    {
      http_reply_error (request->exchange, 404, NULL, "no such object");
      return;
    }
  bytes_init (&text, api);
  store_object_write (object, &text);
  json = json_loadb (text.data, text.length, 0, NULL);
  bytes_clear (&text);
  json_object_set_new (json_object_get (json, "status"), "revision",
                       describe_in_force (api, object->revision));
  operator_reply_json (api, request->exchange, 200, json, request->now);
}

static uint32_t
list_limit (const struct http_exchange *exchange)
{
  char text[16];
  long limit;

  if (!http_query (exchange, "limit", text, sizeof text))
    return LIST_LIMIT_DEFAULT;
  limit = strtol (text, NULL, 10);
  if (limit < 1)
    return LIST_LIMIT_DEFAULT;
  return limit > LIST_LIMIT_MAX ? LIST_LIMIT_MAX : (uint32_t) limit;
}

static void
write_list (const struct operator_request *request,
            const struct list_token *from,
            struct bytes *out)
{
  const struct store *store = request->api->config.store;
  const struct store_object *object = store_next (store, request->kind, from->after);
  uint32_t left = list_limit (request->exchange);
  const char *last = NULL;

  bytes_append_text (out, "{\"items\":[");
  for (; object != NULL && left > 0; left--)
    {
      if (last != NULL)
        bytes_append_text (out, ",");
      store_object_write (object, out);
      last = object->name;
      object = store_next (store, request->kind, object->name);
    }
  bytes_append_format (out, "],\"metadata\":{\"resourceVersion\":%llu",
                       (unsigned long long) from->revision);
  if (object != NULL && last != NULL)
    bytes_append_format (out, ",\"continue\":\"%llu:%s\"", (unsigned long long) from->revision,
                         last);
  bytes_append_text (out, "}}");
}

void
operator_list (struct operator_request *request)
{
  struct operator_api *api = request->api;
  struct list_token token = { .revision = store_revision (api->config.store) };
  char text[RESOURCE_NAME_SIZE + 24];
  struct bytes body;

  if (http_query (request->exchange, "continue", text, sizeof text) && text[0] != '\0'
      && !parse_token (text, &token))
    {
      http_reply_error (request->exchange, 400, "continue", "not a token that a list gave");
      return;
    }
  if (token.revision < store_history_oldest (store_get_history (api->config.store))
      && token.after[0] != '\0')
    {
      http_reply_error (request->exchange, 410, "continue", "the list is too old: list again");
      return;
    }
  if (token.revision > store_revision (api->config.store))
    {
      http_reply_error (request->exchange, 503, "continue",
                        "this host is behind the list: ask again");
      return;
    }
  bytes_init (&body, api);
  write_list (request, &token, &body);
  if (bytes_has_failed (&body))
    http_reply_error (request->exchange, 500, NULL, "out of memory");
  else
    operator_reply (api, request->exchange, 200, body.data, body.length, request->now);
  bytes_clear (&body);
}
