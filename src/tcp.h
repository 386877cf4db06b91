/* TCP byte streams on the event loop: listeners, connections, bounded send buffers.
 *
 * Used for forwarding requests, where libwebsockets' HTTP does not fit (docs/DESIGN.md): a stream
 * distinguishes an orderly end from a reset, which decides whether a response without a length is
 * complete. */
#ifndef TCP_H
#define TCP_H

#include "bytes.h"
#include "decls.h"
#include "inet_address.h"
#include "loop.h"
#include "timer.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

/* name, text */
#define TCP_END_LIST(X)                                                                            \
  X (ORDERLY, "closed by the other side")                                                          \
  X (RESET, "reset")                                                                               \
  X (REFUSED, "not established")                                                                   \
  X (OVERFLOW, "the other side does not read")                                                     \
  X (MEMORY, "out of memory")

enum tcp_end
{
#define X(name, text) TCP_END_##name,
  TCP_END_LIST (X)
#undef X
      TCP_END_COUNT
};

const char *tcp_end_text (enum tcp_end end);

/* TCP_USER_TIMEOUT: a connection that acknowledges neither data nor a keepalive probe for this long
 * is closed.  A cut link or a silently dropped flow reports no other error. */
#define TCP_USER_TIMEOUT_MS 3000

/* Maximum bytes in the send buffer of one connection; above it the stream fails with
 * TCP_END_OVERFLOW. */
#define TCP_UNSENT_MAX_BYTES (16u << 20)

struct tcp_stream;

struct tcp_stream_ops
{
  void (*connected) (struct tcp_stream *stream, int64_t now);
  void (*received) (struct tcp_stream *stream, const char *data, size_t length, int64_t now);

  /* The connection ended; the stream may be freed or reopened.  Not called after tcp_close(). */
  void (*ended) (struct tcp_stream *stream, enum tcp_end end, int64_t now);

  /* Buffered bytes were sent, all of them if tcp_unsent() is 0; NULL where that does not matter. */
  void (*sent) (struct tcp_stream *stream, int64_t now);
};

/* Embedded by its user, which zeroes it before tcp_connect() or tcp_accept(). */
struct tcp_stream
{
  const struct tcp_stream_ops *ops;
  struct loop *loop;
  struct loop_watch watch;
  int fd;
  bool open;
  bool connecting;
  bool closing;               /* shut down once everything is sent */
  bool close_delimited;       /* an orderly close marks a response as complete, and it is not yet */
  bool failed;                /* nothing more is sent; ended() will report `failure` */
  enum tcp_end failure;       /* stored, as the kernel reports a socket error only once */
  struct timer failure_timer; /* calls ended() from the event loop */
  struct bytes *unsent;
};

/* Start to connect.  On STATUS_OK the event loop calls connected() or ended() later. */
enum status tcp_connect (struct tcp_stream *stream,
                         const struct tcp_stream_ops *ops,
                         struct loop *loop,
                         const char *address);

/* Open a stream on an accepted socket. */
enum status tcp_accept (struct tcp_stream *stream,
                        const struct tcp_stream_ops *ops,
                        struct loop *loop,
                        int fd);

/* Send or buffer the data; the stream fails if neither is possible. */
void tcp_write (struct tcp_stream *stream, const void *data, size_t length);

/* Bytes in the send buffer; never 0 on a stream that failed. */
size_t tcp_unsent (const struct tcp_stream *stream);

/* Memory that the send buffer takes, in bytes. */
size_t tcp_unsent_memory (const struct tcp_stream *stream);

/* Is there input, or an end of the connection, not yet reported by received() or ended()? */
bool tcp_has_unread (const struct tcp_stream *stream);

/* Bytes in the send buffer and bytes that the peer has not acknowledged. */
size_t tcp_unacknowledged (const struct tcp_stream *stream);

/* Fail the stream because bytes are lost: nothing more is sent, the event loop calls ended() with
 * `why`, and the peer sees a reset. */
void tcp_fail (struct tcp_stream *stream, enum tcp_end why);

/* The peer takes an orderly close for the end of a response.  Until tcp_close_when_sent() has sent
 * everything, any close of the connection is a reset, also by the end of this process. */
void tcp_set_close_delimited (struct tcp_stream *stream);

/* Drop unsent bytes and close.  With `reset`, or if bytes are dropped, the peer sees a reset, so
 * that a truncated response cannot look complete. */
void tcp_close (struct tcp_stream *stream, bool reset);

/* Send the rest and shut down the sending side, then keep reading until the peer closes: closing
 * with unread bytes would reset the connection and could lose the response.  ended() reports the
 * close; the user limits the wait. */
void tcp_close_when_sent (struct tcp_stream *stream);

struct tcp_listener;

struct tcp_listener_ops
{
  void (*accepted) (struct tcp_listener *listener, int fd, int64_t now);
};

/* Embedded by its user. */
struct tcp_listener
{
  const struct tcp_listener_ops *ops;
  struct loop *loop;
  struct loop_watch watch;
  int fd;
  int spare_fd; /* of tcp_accept_next() */
};

/* The spare descriptor for tcp_accept_next(); -1 if there is none left. */
int tcp_open_spare (void);

/* Accepts a connection, non-blocking, whose address is set in `from` unless that is NULL; -1 when
 * there is none.  Where no descriptor is left, connections are refused in the place of `spare`:
 * in the backlog they would wake the loop without end, and their clients would wait. */
int tcp_accept_next (int listener, int *spare, struct sockaddr_storage *from);

enum status tcp_listen (struct tcp_listener *listener,
                        const struct tcp_listener_ops *ops,
                        struct loop *loop,
                        const char *address);
void tcp_listener_close (struct tcp_listener *listener);

END_DECLS

#endif
