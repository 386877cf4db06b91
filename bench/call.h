/* Blocking HTTP calls, for programs and tests that drive a system step by step. */
#ifndef CALL_H
#define CALL_H

#include "bytes.h"
#include "decls.h"
#include "http.h"
#include "loop.h"
#include <jansson.h>

BEGIN_DECLS

#define CALL_OUTCOME_SIZE 16

struct caller;

struct call_answer
{
  int code; /* HTTP status; 0: no complete answer */
  bool sent;
  char outcome[CALL_OUTCOME_SIZE]; /* x-outcome, "" if absent */
  char request_id[160];            /* x-request-id */
  struct bytes body;               /* allocated under the caller; freed with it */
};

/* The event loop and HTTP client used for the calls. */
struct caller *caller_new (void *parent);
struct loop *caller_loop (struct caller *caller);
struct http_client *caller_client (struct caller *caller);

/* Make the call and run the loop until it ends.  Headers may be NULL when `n_headers` is 0; the
 * body may be NULL. */
void call (struct caller *caller,
           const struct http_call_spec *spec,
           int64_t timeout,
           struct call_answer *out);

/* The same with JSON bodies.  Takes the reference to `body`, which may be NULL.  Returns a new
 * reference, NULL without an answer or if it is not JSON. */
json_t *call_json (struct caller *caller,
                   const char *address,
                   const char *method,
                   const char *path,
                   json_t *body,
                   int64_t timeout,
                   int *code);

END_DECLS

#endif
