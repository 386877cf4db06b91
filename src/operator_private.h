/* What the parts of the operators' interface share. */
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
  enum resource_kind kind; /* RESOURCE_KIND_COUNT for the others */
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

/* A request to one kind or one of its objects, its rights checked. */
struct operator_request
{
  struct operator_api *api;
  struct http_exchange *exchange;
  enum resource_kind kind;
  char name[RESOURCE_NAME_SIZE]; /* of the object, "" for the kind */
  char who[RESOURCE_NAME_SIZE];  /* the operator */
  int64_t now;
};

/* Answer with JSON, the revision in force here and whether it was confirmed lately. */
void operator_reply (struct operator_api *api,
                     struct http_exchange *exchange,
                     int code,
                     const char *body,
                     size_t length,
                     int64_t now);

/* The same of a value, whose reference is taken. */
void operator_reply_json (
    struct operator_api *api, struct http_exchange *exchange, int code, json_t *body, int64_t now);

/* {"error": ...} and, when not NULL, "object". */
void operator_reply_problem (struct operator_api *api,
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
