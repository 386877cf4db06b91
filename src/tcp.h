/* Byte streams over TCP on the loop: listeners, connections, bounded buffers of what is unsent.
 *
 * Beneath the forwarding of requests, where libwebsockets' HTTP does not fit (docs/DESIGN.md): an
 * orderly end is told apart from a reset, which decides whether an answer without a length is
 * whole. */
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

/* A connection that does not acknowledge what was sent, or a probe, for this long is dead: a cut
 * link or a silently dropped flow shows no other error. */
#define TCP_SILENCE_MS 3000

/* Unsent bytes kept for one connection at most, in bytes; then it ends as overflowed. */
#define TCP_UNSENT_MAX (16u << 20)

struct tcp_stream;

struct tcp_stream_ops
{
  void (*connected) (struct tcp_stream *stream, int64_t now);
  void (*received) (struct tcp_stream *stream, const char *data, size_t length, int64_t now);

  /* The connection is over; the stream may be freed or opened anew.  Not called after
   * tcp_close(). */
  void (*ended) (struct tcp_stream *stream, enum tcp_end end, int64_t now);
};

/* Embedded by its user, zeroed and then opened. */
struct tcp_stream
{
  const struct tcp_stream_ops *ops;
  struct loop *loop;
  struct loop_watch watch;
  int fd;
  bool open;
  bool connecting;
  bool closing;         /* ends once all is sent */
  bool whole_by_end;    /* our end would say that an answer is whole, and is not sent */
  bool failed;          /* nothing more is sent; ended() will say `failure` */
  enum tcp_end failure; /* kept, as the system tells an error only once */
  struct timer tell;    /* has ended() called from the loop */
  struct bytes *unsent;
};

/* Begin to connect; connected() or ended() follows from the loop. */
enum status tcp_connect (struct tcp_stream *stream,
                         const struct tcp_stream_ops *ops,
                         struct loop *loop,
                         const char *address);

/* Take an accepted socket. */
enum status tcp_accept (struct tcp_stream *stream,
                        const struct tcp_stream_ops *ops,
                        struct loop *loop,
                        int fd);

/* Send or keep; what cannot be sent or kept fails the stream. */
void tcp_write (struct tcp_stream *stream, const void *data, size_t length);

/* Bytes that were given and are not sent; never 0 on a stream that failed. */
size_t tcp_unsent (const struct tcp_stream *stream);

/* Is there something, or an end, that received() or ended() has yet to tell of? */
bool tcp_has_unread (const struct tcp_stream *stream);

/* What is unsent, and what the other side's system has not taken yet. */
size_t tcp_unacknowledged (const struct tcp_stream *stream);

/* Send nothing more: bytes are missing.  ended() is called soon from the loop and says `why`, and
 * the other side sees a reset. */
void tcp_fail (struct tcp_stream *stream, enum tcp_end why);

/* The other side takes our end for the end of an answer.  Until tcp_close_when_sent() has sent all
 * and our end, however the connection ends is a reset for it, the end of this process included. */
void tcp_end_means_whole (struct tcp_stream *stream);

/* Drop what is unsent, and close.  With `reset`, or where something is dropped, the other side sees
 * a reset, so that a cut answer cannot look complete. */
void tcp_close (struct tcp_stream *stream, bool reset);

/* Send what is left and our end, then throw away what comes until the other side ends too: closing
 * with unread bytes would reset the connection and could take the answer with it.  ended() tells
 * when; the user bounds the wait. */
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
};

enum status tcp_listen (struct tcp_listener *listener,
                        const struct tcp_listener_ops *ops,
                        struct loop *loop,
                        const char *address);
void tcp_listener_close (struct tcp_listener *listener);

END_DECLS

#endif
