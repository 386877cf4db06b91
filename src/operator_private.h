/* Internal declarations shared by the operator_*.c files. */
#ifndef OPERATOR_PRIVATE_H
#define OPERATOR_PRIVATE_H

#include "operator.h"
#include "text.h"
#include <jansson.h>
#include <talloc.h>

#define OPERATOR_JSON_DEPTH 32
#define OPERATOR_ROUTES (RESOURCE_KIND_COUNT + 4)

struct operator_watches;

struct operator_route
{
  struct http_route route;
  struct operator_api *api;
  enum resource_kind kind; /* RESOURCE_KIND_COUNT for a path that is not a kind */
  char prefix[RESOURCE_NAME_SIZE];
};

struct operator_api
{
  struct operator_api_config config;
  struct operator_route routes[OPERATOR_ROUTES];
  struct http_route *route_list[OPERATOR_ROUTES];
  struct operator_watches *watches;
  struct counter *changes;
  struct counter *conflicts;
  struct counter *resent;
};

/* A request for a resource kind, one of its objects or another path of the operator API.  Handlers
 * get it after the token's role was checked; only the health path needs no token. */
struct operator_request
{
  struct operator_api *api;
  struct http_exchange *exchange;
  enum resource_kind kind;
  char name[RESOURCE_NAME_SIZE];          /* of the object, "" for the whole kind */
  char operator_name[RESOURCE_NAME_SIZE]; /* name of the operator, for the audit log */
  int64_t now;
};

/* Replies with a JSON body, and headers with the revision in force on this host and whether it was
 * confirmed recently. */
void operator_reply (struct operator_api *api,
                     struct http_exchange *exchange,
                     int code,
                     const char *body,
                     size_t length,
                     int64_t now);

/* Same as operator_reply() for a JSON value; steals the reference to `body`. */
void operator_reply_json (
    struct operator_api *api, struct http_exchange *exchange, int code, json_t *body, int64_t now);

/* Replies with {"error": ...} and, if `object_length` > 0, the current "object". */
void operator_reply_error (struct operator_api *api,
                           struct http_exchange *exchange,
                           int code,
                           const char *field,
                           const char *message,
                           const char *object,
                           size_t object_length,
                           int64_t now);

void operator_get (struct operator_request *request);
void operator_list (struct operator_request *request);
void operator_change (struct operator_request *request);

struct operator_watches *operator_watches_new (struct operator_api *api);
void operator_watch (struct operator_request *request);

#endif
