/* Client byte streams over TCP, with an optional TLS layer. */
#include "client_stream.h"
#include "container.h"
#include <talloc.h>

static struct client_stream *
stream_of (struct tcp_stream *tcp)
{
  return CONTAINER_OF (tcp, struct client_stream, tcp);
}

static void
start_handshake (struct client_stream *stream)
{
  struct bytes out;

  bytes_init (&out, NULL);
  if (tls_session_begin (stream->tls, &out) == STATUS_OK)
    tcp_write (&stream->tcp, out.data, out.length);
  else
    tcp_fail (&stream->tcp, TCP_END_MEMORY);
  bytes_clear (&out);
}

static void
tcp_connected (struct tcp_stream *tcp, int64_t now)
{
  struct client_stream *stream = stream_of (tcp);

  if (stream->tls != NULL)
    start_handshake (stream);
  else
    stream->ops->connected (stream, now);
}

/* Plaintext of complete records is delivered even if a later record fails to decrypt. */
static void
decrypt_received (struct client_stream *stream, const char *data, size_t length, int64_t now)
{
  bool was_ready = tls_session_is_ready (stream->tls);
  struct bytes plain;
  struct bytes out;
  enum status status;

  bytes_init (&plain, NULL);
  bytes_init (&out, NULL);
  status = tls_session_read (stream->tls, data, length, &plain, &out);
  tcp_write (&stream->tcp, out.data, out.length);
  if (status != STATUS_OK)
    tcp_fail (&stream->tcp, was_ready ? TCP_END_RESET : TCP_END_REFUSED);
  else if (!was_ready && tls_session_is_ready (stream->tls))
    stream->ops->connected (stream, now);
  if (plain.length > 0)
    stream->ops->received (stream, plain.data, plain.length, now);
  bytes_clear (&plain);
  bytes_clear (&out);
}

static void
tcp_received (struct tcp_stream *tcp, const char *data, size_t length, int64_t now)
{
  struct client_stream *stream = stream_of (tcp);

  if (stream->tls != NULL)
    decrypt_received (stream, data, length, now);
  else
    stream->ops->received (stream, data, length, now);
}

static void
tcp_ended (struct tcp_stream *tcp, enum tcp_end end, int64_t now)
{
  struct client_stream *stream = stream_of (tcp);

  if (stream->tls != NULL && end == TCP_END_ORDERLY)
    end = TCP_END_RESET;
  stream->ops->ended (stream, end, now);
}

static const struct tcp_stream_ops tcp_ops = {
  .connected = tcp_connected,
  .received = tcp_received,
  .ended = tcp_ended,
};

static void
free_session (struct client_stream *stream)
{
  if (stream->tls != NULL)
    talloc_free (stream->tls);
  stream->tls = NULL;
}

enum status
client_stream_connect (struct client_stream *stream,
                       const struct client_stream_ops *ops,
                       struct loop *loop,
                       const struct tls_trust *trust,
                       const char *address)
{
  enum status status;

  stream->ops = ops;
  stream->tls = trust == NULL ? NULL : tls_session_new (NULL, trust);
  if (trust != NULL && stream->tls == NULL)
    return status_fail (STATUS_NO_MEMORY, "no memory for a TLS session");
  status = tcp_connect (&stream->tcp, &tcp_ops, loop, address);
  if (status != STATUS_OK)
    free_session (stream);
  return status;
}

bool
client_stream_is_connected (const struct client_stream *stream)
{
  return !stream->tcp.connecting && (stream->tls == NULL || tls_session_is_ready (stream->tls));
}

void
client_stream_write (struct client_stream *stream, const void *data, size_t length)
{
  struct bytes encrypted;

  if (stream->tls == NULL)
    {
      tcp_write (&stream->tcp, data, length);
      return;
    }
  bytes_init (&encrypted, NULL);
  if (tls_session_write (stream->tls, data, length, &encrypted) == STATUS_OK)
    tcp_write (&stream->tcp, encrypted.data, encrypted.length);
  else
    tcp_fail (&stream->tcp, TCP_END_MEMORY);
  bytes_clear (&encrypted);
}

bool
client_stream_is_idle (const struct client_stream *stream)
{
  return stream->tcp.open && tcp_unsent (&stream->tcp) == 0;
}

bool
client_stream_has_unread (const struct client_stream *stream)
{
  return tcp_has_unread (&stream->tcp);
}

size_t
client_stream_unacknowledged (const struct client_stream *stream)
{
  return tcp_unacknowledged (&stream->tcp);
}

void
client_stream_close (struct client_stream *stream)
{
  tcp_close (&stream->tcp, false);
  free_session (stream);
}
