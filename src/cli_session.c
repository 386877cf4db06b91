/* Synchronous HTTP calls on an event loop. */
#include "cli_session.h"
#include "counter.h"
#include "http_client.h"
#include "loop.h"
#include "sse.h"
#include "text.h"
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define CLI_CONNECTIONS 16
#define CLI_ANSWER_MAX_BYTES (64u << 20)
#define CLI_EVENT_MAX_BYTES (4u << 20)
#define CONNECT_TIMEOUT (2 * USEC_PER_SEC)
/* Longer than a host retries a change itself (CHANGE_TIMEOUT, 8 s), so that its response is
 * received. */
#define ONE_HOST_TIMEOUT (9 * USEC_PER_SEC)
#define ROUND_RETRY_DELAY (200 * USEC_PER_MSEC)
#define LOOP_WAIT_MAX (100 * USEC_PER_MSEC)
#define FAILURE_SIZE 128
#define HEADERS_MAX 4

struct cli_session
{
  struct cli_options options;
  struct loop *loop;
  struct http_client *http;
  uint32_t current; /* index of the host to call next; unchanged after a final response */
  char authorization[CLI_TOKEN_SIZE + 8];
};

/* A call in flight. */
struct call
{
  struct http_call_sink sink;
  struct bytes *body;
  struct sse_decoder *events; /* of a stream; used only for a 200 response */
  struct sse_sink *event_sink;
  int code;
  bool ended;
  enum status status;
  bool stopped; /* ended by the stream's sink */
};

static void
call_head (struct http_call_sink *sink,
           int code,
           const struct http_field *headers,
           size_t n_headers,
           int64_t now)
{
  (void) headers;
  (void) n_headers;
  (void) now;
  ((struct call *) sink)->code = code;
}

static void
call_data (struct http_call_sink *sink, const void *data, size_t length, int64_t now)
{
  struct call *call = (struct call *) sink;
  enum status status;

  (void) now;
  if (call->events == NULL || call->code != 200)
    {
      bytes_append (call->body, data, length);
      return;
    }
  if (call->stopped)
    return;
  status = sse_feed (call->events, data, length, call->event_sink);
  if (status == STATUS_OK)
    return;
  call->stopped = true;
  call->status = status == STATUS_CANCELLED ? STATUS_OK : status;
}

static void
call_end (struct http_call_sink *sink, int64_t now)
{
  (void) now;
  ((struct call *) sink)->ended = true;
}

static void
call_failed (struct http_call_sink *sink, enum status why, bool sent, int64_t now)
{
  struct call *call = (struct call *) sink;

  (void) sent;
  (void) now;
  call->ended = true;
  call->status = why;
}

static const struct http_call_sink_ops call_ops = {
  .head = call_head,
  .data = call_data,
  .end = call_end,
  .failed = call_failed,
};

struct cli_session *
cli_session_new (void *parent, const struct cli_options *options)
{
  struct cli_session *session = talloc_zero (parent, struct cli_session);
  struct http_client_config config = {
    .calls_max = 1,
    .answer_bytes_max = CLI_ANSWER_MAX_BYTES,
    .connect_timeout = CONNECT_TIMEOUT,
    .tls_ca = options->ca,
  };

  if (session == NULL || sodium_init () < 0)
    {
      status_fail (STATUS_NO_MEMORY, "out of memory");
      talloc_free (session);
      return NULL;
    }
  session->options = *options;
  snprintf (session->authorization, sizeof session->authorization, "Bearer %s", options->token);
  session->loop = loop_new (session, CLI_CONNECTIONS);
  if (session->loop != NULL)
    {
      config.loop = session->loop;
      config.counters = counters_new (session);
      session->http = http_client_new (session, &config);
    }
  if (session->http == NULL)
    {
      talloc_free (session);
      return NULL;
    }
  return session;
}

int64_t
cli_now (const struct cli_session *session)
{
  return loop_now (session->loop);
}

void
cli_pause (struct cli_session *session, int64_t span)
{
  int64_t until = cli_now (session) + span;
  int64_t left;

  while ((left = until - cli_now (session)) > 0)
    loop_run_once (session->loop, left);
}

void
cli_make_change_id (char out[CLI_CHANGE_ID_SIZE])
{
  unsigned char random[(CLI_CHANGE_ID_SIZE - 1) / 2];

  randombytes_buf (random, sizeof random);
  sodium_bin2hex (out, CLI_CHANGE_ID_SIZE, random, sizeof random);
}

static size_t
fill_headers (const struct cli_session *session,
              const struct cli_request *request,
              struct http_field headers[HEADERS_MAX])
{
  size_t n = 0;

  if (session->options.token[0] != '\0')
    headers[n++] = (struct http_field){ "authorization", session->authorization };
  if (request->change_id != NULL)
    headers[n++] = (struct http_field){ "x-change-id", request->change_id };
  if (request->body != NULL)
    headers[n++] = (struct http_field){ "content-type", "application/json" };
  return n;
}

/* Runs one call to completion and returns its status. */
static enum status
run_call (struct cli_session *session,
          const struct cli_request *request,
          const char *host,
          int64_t deadline,
          struct call *call)
{
  struct http_field headers[HEADERS_MAX];
  struct http_call_spec spec = {
    .address = host,
    .method = request->method,
    .path = request->path,
    .headers = headers,
    .n_headers = fill_headers (session, request, headers),
    .body = request->body,
    .body_length = request->length,
    .deadline = deadline,
    .max_body_bytes = call->events == NULL ? 0 : SIZE_MAX, /* a watch has no length limit */
  };
  struct http_call *handle;
  enum status status;

  call->sink.ops = &call_ops;
  status =
      session->http->ops->start (session->http, &spec, &call->sink, cli_now (session), &handle);
  if (status != STATUS_OK)
    return status;
  while (!call->ended && !call->stopped)
    loop_run_once (session->loop, LOOP_WAIT_MAX);
  if (!call->ended)
    session->http->ops->cancel (session->http, handle);
  return call->status;
}

/* True for codes on which the request is retried, on another host or later. */
static bool
is_transient (int code)
{
  return code == 502 || code == 503 || code == 504;
}

/* Calls the current host; true when its response is final, else `failure` receives the reason. */
static bool
try_host (struct cli_session *session,
          const struct cli_request *request,
          int64_t deadline,
          struct cli_answer *out,
          char failure[FAILURE_SIZE],
          bool *reached)
{
  int64_t now = cli_now (session);
  struct call call = { .body = &out->body };
  enum status status;

  text_copy_truncated (out->host, sizeof out->host, session->options.hosts[session->current]);
  bytes_clear (&out->body);
  if (deadline > now + ONE_HOST_TIMEOUT)
    deadline = now + ONE_HOST_TIMEOUT;
  status = run_call (session, request, out->host, deadline, &call);
  out->code = call.code;
  if (status != STATUS_OK)
    {
      snprintf (failure, FAILURE_SIZE, "%s: %s", out->host, status_message ());
      return false;
    }
  *reached = true;
  if (!is_transient (call.code))
    return true;
  snprintf (failure, FAILURE_SIZE, "%s: answered %d", out->host, call.code);
  return false;
}

/* Calls the hosts in turn; true when one gave a final response. */
static bool
try_all_hosts (struct cli_session *session,
               const struct cli_request *request,
               int64_t deadline,
               struct cli_answer *out,
               struct bytes *failures,
               bool *reached)
{
  char failure[FAILURE_SIZE];
  uint32_t i;

  bytes_clear (failures);
  *reached = false;
  for (i = 0; i < session->options.n_hosts; i++)
    {
      if (try_host (session, request, deadline, out, failure, reached))
        return true;
      bytes_append_format (failures, "%s%s", i == 0 ? "" : "; ", failure);
      session->current = (session->current + 1) % session->options.n_hosts;
      if (cli_now (session) >= deadline)
        break;
    }
  return false;
}

enum status
cli_call (struct cli_session *session, const struct cli_request *request, struct cli_answer *out)
{
  int64_t deadline = cli_now (session) + session->options.timeout;
  struct bytes failures;
  bool reached;
  bool answered;

  bytes_init (&failures, session);
  bytes_init (&out->body, session);
  for (;;)
    {
      answered = try_all_hosts (session, request, deadline, out, &failures, &reached);
      /* Retry while hosts that were reached elect a leader.  If no host was reached, fail at once
       * and leave it to the user to check the addresses. */
      if (answered || !reached || cli_now (session) + ROUND_RETRY_DELAY >= deadline)
        break;
      cli_pause (session, ROUND_RETRY_DELAY);
    }
  if (!answered)
    status_fail (STATUS_UNAVAILABLE, "no host answered: %s",
                 failures.data == NULL ? "out of time" : failures.data);
  bytes_clear (&failures);
  return answered ? STATUS_OK : STATUS_UNAVAILABLE;
}

struct event_sink
{
  struct sse_sink sink;
  struct cli_stream *stream;
};

static bool
handle_event (struct sse_sink *sink, const char *name, const char *data, size_t length)
{
  struct cli_stream *stream = ((struct event_sink *) sink)->stream;

  (void) name;
  return stream->ops->event (stream, data, length);
}

static const struct sse_sink_ops event_ops = { .event = handle_event };

enum status
cli_read_stream (struct cli_session *session,
                 const char *path,
                 struct cli_stream *stream,
                 int *code,
                 struct bytes *error)
{
  const struct cli_request request = { .method = "GET", .path = path };
  struct event_sink event_sink = { .sink = { &event_ops }, .stream = stream };
  struct sse_decoder events;
  struct call call = { .body = error, .events = &events, .event_sink = &event_sink.sink };
  enum status status;

  sse_init (&events, session, CLI_EVENT_MAX_BYTES);
  status =
      run_call (session, &request, session->options.hosts[session->current], USEC_NEVER, &call);
  sse_clear (&events);
  *code = call.code;
  if (status != STATUS_OK || is_transient (call.code))
    session->current = (session->current + 1) % session->options.n_hosts;
  return status;
}
