/* GET /v1/entries: lists hosts to callers. */
#include "entries_api.h"
#include "entries.h"
#include "rng.h"
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

struct entries
{
  struct http_route route; /* first member */
  struct board *board;
  int64_t list_keep;
  struct rng rng;
  struct counter *lists[ENTRIES_TIER_COUNT];
};

static json_t *
list_hosts (const struct board *board, const struct entries_choice *choice)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < choice->n_hosts; i++)
    {
      const struct board_host *host = table_get (board->hosts, choice->hosts[i]);

      json_array_append_new (list, json_pack ("{s:s,s:s,s:s}", "name", host->name, "address",
                                              host->entry_address, "domain", host->domain));
    }
  return list;
}

static void
reply (struct entries *entries, struct http_exchange *exchange)
{
  static const struct http_field type = { .name = "content-type", .value = "application/json" };
  int64_t keep = entries->list_keep * 3 / 4
                 + (int64_t) rng_below (&entries->rng, (uint64_t) entries->list_keep / 4 + 1);
  struct entries_choice choice;
  json_t *body;
  char *text;

  entries_choose (entries->board, rng_u64 (&entries->rng), &choice);
  counter_add (entries->lists[choice.tier], 1);
  body = json_pack ("{s:o,s:I,s:I}", "hosts", list_hosts (entries->board, &choice), "keep_ms",
                    (json_int_t) (keep / USEC_PER_MSEC), "revision",
                    (json_int_t) entries->board->revision);
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  if (text == NULL)
    {
      http_reply_error (exchange, 503, NULL, "out of memory");
      return;
    }
  exchange->ops->reply (exchange, 200, &type, 1, text, strlen (text));
  free (text);
}

static void
request (struct http_route *route, struct http_exchange *exchange, int64_t now)
{
  struct entries *entries = (struct entries *) route;

  (void) now;
  if (strcmp (exchange->path, "/v1/entries") != 0)
    http_reply_error (exchange, 404, NULL, "no such call");
  else if (strcmp (exchange->method, "GET") != 0)
    http_reply_error (exchange, 405, NULL, "only GET");
  else
    reply (entries, exchange);
}

static const struct http_route_ops route_ops = { .request = request };

struct entries *
entries_new (void *parent, const struct entries_config *config)
{
  struct entries *entries = talloc_zero (parent, struct entries);

  if (entries == NULL)
    return NULL;
  entries->route = (struct http_route){
    .ops = &route_ops,
    .listener = HTTP_LISTENER_CALLERS,
    .prefix = "/v1/entries",
  };
  entries->board = config->board;
  entries->list_keep = config->list_keep;
  rng_init (&entries->rng, config->seed);
  for (unsigned i = 0; i < ENTRIES_TIER_COUNT; i++)
    {
      char label[64];

      snprintf (label, sizeof label, "tier=\"%s\"", entries_tier_text ((enum entries_tier) i));
      entries->lists[i] = counter_get (config->counters, "cherryarch_entries_lists_total",
                                       "Lists given to callers", label);
    }
  return entries;
}

struct http_route *
entries_route (struct entries *entries)
{
  return &entries->route;
}
