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
  /* Bytes can be sent.  The callback must not close the stream. */
  void (*connected) (struct client_stream *stream, int64_t now);
  void (*received) (struct client_stream *stream, const char *data, size_t length, int64_t now);

  /* As for a tcp_stream.  With TLS an orderly end is reported as a reset, because a TCP FIN is not
   * authenticated and can be forged on the path. */
  void (*ended) (struct client_stream *stream, enum tcp_end end, int64_t now);
};

/* Embedded by its user, which zeroes it before client_stream_connect(). */
struct client_stream
{
  const struct client_stream_ops *ops;
  struct tcp_stream tcp;
  struct tls_session *tls; /* NULL without TLS */
};

/* Start to connect, with TLS if `trust` is not NULL.  On STATUS_OK the event loop calls connected()
 * or ended() later. */
enum status client_stream_connect (struct client_stream *stream,
                                   const struct client_stream_ops *ops,
                                   struct loop *loop,
                                   const struct tls_trust *trust,
                                   const char *address);

bool client_stream_is_connected (const struct client_stream *stream);

/* Send or buffer the data; the stream fails if neither is possible. */
void client_stream_write (struct client_stream *stream, const void *data, size_t length);

/* Can another request be sent?  False while bytes are unsent or if the stream failed. */
bool client_stream_is_idle (const struct client_stream *stream);

/* Is there input, or an end of the connection, not yet reported by received() or ended()? */
bool client_stream_has_unread (const struct client_stream *stream);

/* Bytes that are unsent, or sent and not acknowledged by the peer. */
size_t client_stream_unacknowledged (const struct client_stream *stream);

void client_stream_close (struct client_stream *stream);

END_DECLS

#endif
