/* The operators' client: one call at a time, to whichever of the hosts answers. */
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

/* What every command that talks to a host takes. */
struct cli_options
{
  char hosts[CLI_HOSTS_MAX][RESOURCE_ADDRESS_SIZE]; /* operator addresses */
  uint32_t n_hosts;
  char token[CLI_TOKEN_SIZE]; /* "" for none */
  const char *ca;             /* file; NULL for plain HTTP */
  int64_t timeout;
  bool json;
};

/* Argp child for these options; its input is a struct cli_options that was zeroed. */
extern const struct argp cli_argp;

struct cli_session;

/* NULL with status_message(). */
struct cli_session *cli_session_new (void *parent, const struct cli_options *options);

struct cli_request
{
  const char *method;
  const char *path;
  const void *body; /* NULL for none */
  size_t length;
  const char *change_id; /* NULL where nothing is changed; the same for each resend */
};

struct cli_answer
{
  int code;
  struct bytes body;
  char host[RESOURCE_ADDRESS_SIZE]; /* which answered */
};

/* Ask the hosts in turn until one gives an answer that asking another would not better (anything
 * but 502, 503 and 504), or the options' timeout is over.  OK for any answer, also one with an
 * error code; STATUS_UNAVAILABLE when no host gave one, with each host's failure in
 * status_message(). */
enum status cli_call (struct cli_session *session,
                      const struct cli_request *request,
                      struct cli_answer *out);

struct cli_stream
{
  const struct cli_stream_ops *ops;
};

struct cli_stream_ops
{
  /* One event's data; false ends the stream. */
  bool (*event) (struct cli_stream *stream, const char *data, size_t length);
};

/* Read an event stream until it ends, the connection fails or the sink ends it.  `code` takes the
 * answer's; one other than 200 has its body in `error`. */
enum status cli_read_stream (struct cli_session *session,
                             const char *path,
                             struct cli_stream *stream,
                             int *code,
                             struct bytes *error);

/* Let time pass without a call. */
void cli_pause (struct cli_session *session, int64_t span);
int64_t cli_now (const struct cli_session *session);

/* A change id that nobody else makes: 128 random bits in hex. */
void cli_make_change_id (char out[CLI_CHANGE_ID_SIZE]);

END_DECLS

#endif
