/* Parsing and validation of a caller's HTTP request: path, headers and body. */
#ifndef CALLER_H
#define CALLER_H

#include "decls.h"
#include "http.h"
#include "resource.h"
#include "settings.h"
#include "status.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define CALLER_ID_SIZE 129 /* with the NUL */
#define CALLER_PREFIX_PIPELINES "/v1/pipelines"
#define CALLER_PREFIX_SERVICES "/v1/services"
#define CALLER_TOKENS_MAX 1000000 /* upper limit of max_tokens */

/* A yes/no header that may be absent. */
enum caller_choice
{
  CALLER_UNSET,
  CALLER_YES,
  CALLER_NO
};

struct caller_request
{
  char pipeline[RESOURCE_NAME_SIZE];
  bool service;
  char id[CALLER_ID_SIZE]; /* "" when the caller gave none */
  int64_t timeout;         /* time until the deadline, USEC; 0 when not given */
  enum caller_choice repeatable;
  int priority; /* -1 when not given */
  bool stream;
  uint32_t max_tokens; /* 0 when not given */
  json_t *input;       /* a new reference; NULL for a service */
};

/* Why a request is rejected: HTTP status, the field at fault (NULL for none) and a message. */
struct caller_error
{
  int code;
  const char *field;
  char message[160];
};

/* Parses and validates a request; on STATUS_INVALID `error` is filled in. */
enum status caller_parse_request (const struct http_exchange *exchange,
                                  const struct settings *settings,
                                  struct caller_request *out,
                                  struct caller_error *error);

void caller_clear (struct caller_request *request);

/* Is `id` 1 to 128 printable characters without spaces? */
bool caller_id_is_valid (const char *id);

END_DECLS

#endif
