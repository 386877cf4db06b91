/* HTTP/1.1 client: calls to targets and hosts over persistent connections, plain or with TLS. */
#ifndef H1_CLIENT_H
#define H1_CLIENT_H

#include "counter.h"
#include "decls.h"
#include "h1.h"
#include "loop.h"
#include "quota.h"
#include "tls_session.h"

BEGIN_DECLS

/* Idle timeout of a connection, in microseconds, when the target sends no keep-alive timeout. */
#define H1_DEFAULT_KEEP_ALIVE (10 * USEC_PER_SEC)

/* Responses that may precede the one to a call: informational ones, and late ones to other calls;
 * and the bytes of their bodies, which are not kept. */
#define H1_SKIPPED_RESPONSES_MAX 32
#define H1_SKIPPED_BYTES_MAX (16u << 20)

/* Bytes of responses in sum over all running calls: their heads, and what the users of the client
 * hold.  Above it, the call with the largest response is ended with H1_END_TOO_LARGE. */
#define H1_HELD_BYTES_MAX (256u << 20)

/* Log lines per second about rejected responses. */
#define H1_REJECTIONS_LOGGED_PER_SECOND 20

/* name, text.  WHOLE is the only success: the response is complete by its framing. */
#define H1_END_LIST(X)                                                                             \
  X (WHOLE, "whole")                                                                               \
  X (REFUSED, "no connection")                                                                     \
  X (TRUNCATED, "connection closed before the end of the answer")                                  \
  X (RESET, "connection reset")                                                                    \
  X (OVERFLOW, "target does not read")                                                             \
  X (MEMORY, "out of memory")                                                                      \
  X (MALFORMED, "not an answer")                                                                   \
  X (TOO_LARGE, "answer over a limit of size")                                                     \
  X (WITHDRAWN, "withdrawn before it was sent")

enum h1_end
{
#define X(name, text) H1_END_##name,
  H1_END_LIST (X)
#undef X
      H1_END_COUNT
};

const char *h1_end_text (enum h1_end end);

struct h1_call;

struct h1_call_ops
{
  /* A connection was opened for the call; the request is sent now, unless this returns false: then
   * the call ends as withdrawn.  NULL: it is sent. */
  bool (*may_send) (struct h1_call *call, int64_t now);

  /* The head of a response.  Return false if it belongs to another call; it is skipped and the next
   * response is tried. */
  bool (*head) (struct h1_call *call, const struct h1_head *head, int64_t now);
  void (*data) (struct h1_call *call, const char *data, size_t length, int64_t now);

  /* The last callback; the call may be freed or started again. */
  void (*ended) (struct h1_call *call, enum h1_end end, int64_t now);
};

struct h1_client_connection;

/* Embedded by its user. */
struct h1_call
{
  const struct h1_call_ops *ops;
  struct h1_client_connection *connection; /* NULL while not running */
  bool no_body;                            /* set by the user: the request is a HEAD */
  bool request_sent;                       /* bytes of the request were sent: it may run */
  bool reused;                             /* the connection was kept from an earlier call */
  bool answered;                           /* bytes of a response were received */
  enum h1_framing framing;                 /* of the response, once its head was accepted */
  size_t held;                             /* bytes of the response that the user holds */
};

/* Observes whether addresses can be reached. */
struct h1_path_listener
{
  const struct h1_path_listener_ops *ops;
};

struct h1_path_listener_ops
{
  /* The address accepted a connection (`connected`), or it acknowledged or answered a request. */
  void (*worked) (struct h1_path_listener *listener,
                  const char *address,
                  bool connected,
                  int64_t now);

  /* A call failed before its answer, or nothing came back H1_PATH_CHECK_DELAY after its start.
   * `unreachable`: no connection could be made.  May be called twice for a call. */
  void (*failed) (struct h1_path_listener *listener,
                  const char *address,
                  bool unreachable,
                  int64_t now);
};

/* An attempt to connect, or a request, is checked this long after its start. */
#define H1_PATH_CHECK_DELAY (200 * USEC_PER_MSEC)

struct h1_client;

struct h1_client_config
{
  struct loop *loop;
  struct counters *counters;
  int64_t connect_timeout;        /* microseconds */
  const struct tls_trust *trust;  /* NULL for plain connections */
  struct h1_path_listener *paths; /* NULL for none */
  struct quota *quota;            /* counts the client's connections; NULL for none */
  uint64_t held_max;              /* bytes, at most H1_HELD_BYTES_MAX; 0: that */
};

struct h1_client *h1_client_new (void *parent, const struct h1_client_config *config);

/* Send `message`, a complete request; `fresh` forces a new connection.  On STATUS_OK the event loop
 * calls ended() later; on failure nothing was sent and no callback follows. */
enum status h1_call_start (struct h1_client *client,
                           struct h1_call *call,
                           const char *address,
                           const struct bytes *message,
                           bool fresh,
                           int64_t now);

/* Cancel the call without a callback.  The connection is closed, which signals the target to
 * stop. */
void h1_call_cancel (struct h1_call *call);

/* As h1_call_cancel(), because of what the target sent: counts and logs it with the reason. */
void h1_call_reject (struct h1_call *call, const char *why, int64_t now);

/* The user holds so many bytes of the response now.  If all users together hold too many, the event
 * loop ends calls, this one maybe. */
void h1_call_set_held (struct h1_call *call, size_t bytes, int64_t now);

/* Has a part of a head arrived, but not its end? */
bool h1_call_is_inside_head (const struct h1_call *call);

/* Is there an idle connection to the address, so that a call needs no new one? */
bool h1_client_has_idle (const struct h1_client *client, const char *address);

/* Close the idle connections to the address of a removed target. */
void h1_client_close_idle (struct h1_client *client, const char *address);

END_DECLS

#endif
