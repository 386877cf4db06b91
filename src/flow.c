/* Construction of the request path and functions shared by its files. */
#include "flow_private.h"
#include <talloc.h>

static const struct
{
  const char *code;
} reasons[] = {
#define X(name, code, status, message) [FLOW_REASON_##name] = { code },
  FLOW_REASON_LIST (X)
#undef X
};

static const char *const outcomes[] = {
#define X(name, text) [FLOW_##name] = text,
  FLOW_OUTCOME_LIST (X)
#undef X
};

const char *
flow_outcome_text (enum flow_outcome outcome)
{
  return (unsigned) outcome < FLOW_OUTCOME_COUNT ? outcomes[outcome] : "unknown";
}

const char *
flow_reason_code (enum flow_reason reason)
{
  return (unsigned) reason < FLOW_REASON_COUNT ? reasons[reason].code : "unknown";
}

struct flow_request *
flow_find_request (const struct flow *flow, struct handle handle)
{
  return table_get (flow->requests, handle);
}

struct flow_attempt *
flow_find_attempt (const struct flow *flow, struct handle handle)
{
  return table_get (flow->attempts, handle);
}

void
flow_update_load (struct flow *flow)
{
  struct board *board = flow->config.board;
  uint32_t bound = flow->config.settings->requests_in_flight;

  board->requests_in_flight = table_count (flow->requests);
  board->load = bound > 0 ? (double) board->requests_in_flight / bound : 0;
}

static const struct http_route_ops route_ops = { .request = flow_arrive };
static const struct dump_source_ops dump_ops = { .describe = flow_describe };

static bool
make_tables (struct flow *flow)
{
  uint32_t bound = flow->config.settings->requests_in_flight;

  flow->requests = table_new (flow, sizeof (struct flow_request), bound);
  flow->attempts = table_new (flow, sizeof (struct flow_attempt), bound * FLOW_LIVE_ATTEMPTS_MAX);
  flow->counts = flow_counts_new (flow, flow->config.counters);
  return flow->requests != NULL && flow->attempts != NULL && flow->counts != NULL
         && flow_cancel_init (flow);
}

/* Closes all calls: the client would call into freed memory otherwise. */
static int
free_flow (struct flow *flow)
{
  struct http_client *client = flow->config.client;
  uint32_t cursor = 0;
  const struct flow_attempt *attempt;

  while ((attempt = table_next (flow->attempts, &cursor, NULL)) != NULL)
    client->ops->cancel (client, attempt->call);
  flow_cancels_close (flow);
  return 0;
}

struct flow *
flow_new (void *parent, const struct flow_config *config)
{
  static const char *const prefixes[FLOW_ROUTES] = { CALLER_PREFIX_PIPELINES,
                                                     CALLER_PREFIX_SERVICES };
  struct flow *flow = talloc_zero (parent, struct flow);
  int i;

  if (flow == NULL)
    return NULL;
  flow->config = *config;
  rng_init (&flow->rng, config->seed);
  if (!make_tables (flow))
    {
      talloc_free (flow);
      return NULL;
    }
  for (i = 0; i < FLOW_ROUTES; i++)
    {
      flow->routes[i].flow = flow;
      flow->routes[i].route = (struct http_route){
        .ops = &route_ops,
        .listener = HTTP_LISTENER_CALLERS,
        .prefix = prefixes[i],
      };
    }
  talloc_set_destructor (flow, free_flow);
  flow->dump = (struct dump_source){ .ops = &dump_ops, .name = "flow" };
  if (config->dump != NULL)
    dump_add (config->dump, &flow->dump);
  return flow;
}

void
flow_routes (struct flow *flow, struct http_route *out[FLOW_ROUTES])
{
  int i;

  for (i = 0; i < FLOW_ROUTES; i++)
    out[i] = &flow->routes[i].route;
}

bool
flow_is_idle (const struct flow *flow)
{
  return table_count (flow->requests) == 0 && table_count (flow->cancels) == 0;
}

int64_t
flow_last_arrival (const struct flow *flow)
{
  return flow->last_arrival;
}

uint32_t
flow_abort_all (struct flow *flow, const char *why, int64_t now)
{
  uint32_t cursor = 0;
  uint32_t count = 0;
  struct flow_request *request;

  while ((request = table_next (flow->requests, &cursor, NULL)) != NULL)
    {
      count++;
      log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "unfinished", "{s:s,s:s,s:s,s:b}",
                 "request_id", request->id, "organisation", request->organisation, "why", why,
                 "repeatable", request->decide.repeatable);
      if (request->awaits_claim)
        flow_claim_withdraw (request);
      flow_end_with_reason (request, FLOW_REASON_ABORTED, 0, now);
    }
  return count;
}
