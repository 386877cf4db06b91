/* Byte streams to servers, plain or with TLS. */
#ifndef CLIENT_STREAM_H
#define CLIENT_STREAM_H

#include "decls.h"
#include "tcp.h"
#include "tls_session.h"

BEGIN_DECLS

struct client_stream;

struct client_stream_ops
{
  /* Bytes can be sent.  The stream is not to be closed within it. */
  void (*connected) (struct client_stream *stream, int64_t now);
  void (*received) (struct client_stream *stream, const char *data, size_t length, int64_t now);

  /* As of a tcp_stream.  With TLS an orderly end is told as a reset, as anyone on the way can make
   * one. */
  void (*ended) (struct client_stream *stream, enum tcp_end end, int64_t now);
};

/* Embedded by its user, zeroed and then connected. */
struct client_stream
{
  const struct client_stream_ops *ops;
  struct tcp_stream tcp;
  struct tls_session *tls; /* NULL where it is plain */
};

/* Begin to connect, with TLS where `trust` is not NULL; connected() or ended() follows from the
 * loop. */
enum status client_stream_connect (struct client_stream *stream,
                                   const struct client_stream_ops *ops,
                                   struct loop *loop,
                                   const struct tls_trust *trust,
                                   const char *address);

bool client_stream_is_connected (const struct client_stream *stream);

/* Send or keep; what cannot be sent or kept fails the stream. */
void client_stream_write (struct client_stream *stream, const void *data, size_t length);

/* Can another request be sent after what went over it?  Not where bytes are unsent, or where it
 * failed. */
bool client_stream_is_idle (const struct client_stream *stream);

/* Is there something, or an end, that received() or ended() has yet to tell of? */
bool client_stream_has_unread (const struct client_stream *stream);

void client_stream_close (struct client_stream *stream);

END_DECLS

#endif
