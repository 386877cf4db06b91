/* HTTP client of the operator commands: one call at a time, with failover between hosts. */
#ifndef CLI_SESSION_H
#define CLI_SESSION_H

#include "bytes.h"
#include "decls.h"
#include "resource.h"
#include "status.h"
#include <argp.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define CLI_HOSTS_MAX 32
#define CLI_TOKEN_SIZE 257
#define CLI_CHANGE_ID_SIZE 33

/* Options common to all commands that call hosts. */
struct cli_options
{
  char hosts[CLI_HOSTS_MAX][RESOURCE_ADDRESS_SIZE]; /* operator addresses */
  uint32_t n_hosts;
  char token[CLI_TOKEN_SIZE]; /* "" for none */
  const char *ca;             /* file; NULL for plain HTTP */
  int64_t timeout;            /* microseconds */
  bool json;
};

/* Argp child for these options; its input is a zeroed struct cli_options. */
extern const struct argp cli_argp;

struct cli_session;

/* NULL on an error, described by status_message(). */
struct cli_session *cli_session_new (void *parent, const struct cli_options *options);

struct cli_request
{
  const char *method;
  const char *path;
  const void *body; /* NULL for none */
  size_t length;
  const char *change_id; /* idempotency key, the same for each resend; NULL for none, as in reads */
};

struct cli_answer
{
  int code;
  struct bytes body;
  char host[RESOURCE_ADDRESS_SIZE]; /* the host that answered */
};

/* Calls the hosts in turn until one gives a final response (any code but 502, 503 and 504) or the
 * options' timeout expires.  Returns OK for any final response, also one with an error code, and
 * STATUS_UNAVAILABLE otherwise, with the failure of each host in status_message(). */
enum status cli_call (struct cli_session *session,
                      const struct cli_request *request,
                      struct cli_answer *out);

struct cli_stream
{
  const struct cli_stream_ops *ops;
};

struct cli_stream_ops
{
  /* Called with the data of one event; returns false to end the stream. */
  bool (*event) (struct cli_stream *stream, const char *data, size_t length);
};

/* Reads an event stream until it ends, the connection fails or the sink ends it.  `code` receives
 * the HTTP status; the body of a response other than 200 is in `error`. */
enum status cli_read_stream (struct cli_session *session,
                             const char *path,
                             struct cli_stream *stream,
                             int *code,
                             struct bytes *error);

/* Runs the event loop for `span` microseconds without a call. */
void cli_pause (struct cli_session *session, int64_t span);
int64_t cli_now (const struct cli_session *session);

/* Generates a unique change id: 128 random bits in hex. */
void cli_make_change_id (char out[CLI_CHANGE_ID_SIZE]);

END_DECLS

#endif
