/* Byte streams over TCP on the loop. */
#include "tcp.h"
#include "bytes.h"
#include "container.h"
#include "log.h"
#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define READ_BYTES 32768
#define LISTEN_BACKLOG 512
#define ACCEPT_BATCH 64
#define KEEPALIVE_IDLE_SEC 2
#define KEEPALIVE_INTERVAL_SEC 1
#define KEEPALIVE_PROBES 3

static const char *const end_texts[] = {
#define X(name, text) [TCP_END_##name] = text,
  TCP_END_LIST (X)
#undef X
};

const char *
tcp_end_text (enum tcp_end end)
{
  return end_texts[end];
}

static void
set_option (int fd, int level, int option, int value)
{
  /* Failures are ignored: a connection works without any of these options. */
  (void) setsockopt (fd, level, option, &value, sizeof value);
}

static void
set_options (int fd)
{
  set_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_SEC);
  set_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SEC);
  set_option (fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
  set_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS);
}

/* Make the kernel reset the connection when its descriptor is closed, also by the end of the
 * process. */
static void
reset_on_close (struct tcp_stream *stream, bool reset)
{
  struct linger linger = { .l_onoff = reset, .l_linger = 0 };

  if (setsockopt (stream->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger) != 0)
    log_event (LOG_MODULE_HTTP, LOG_LEVEL_WARNING, "linger-not-set", "{s:s}", "message",
               strerror (errno));
}

static size_t
buffered_bytes (const struct tcp_stream *stream)
{
  return stream->unsent == NULL ? 0 : stream->unsent->length;
}

/* Would closing now truncate what the peer should receive? */
static bool
would_truncate (const struct tcp_stream *stream)
{
  return stream->failed || stream->close_delimited || buffered_bytes (stream) > 0;
}

static void
drop_unsent (struct tcp_stream *stream)
{
  if (stream->unsent != NULL)
    talloc_free (stream->unsent);
  stream->unsent = NULL;
}

/* The event loop closes the descriptor with the watch, in its next iteration. */
static void
drop (struct tcp_stream *stream)
{
  if (!stream->open)
    return;
  if (would_truncate (stream))
    reset_on_close (stream, true);
  stream->open = false;
  timer_disarm (loop_timers (stream->loop), &stream->failure_timer);
  loop_unwatch (stream->loop, &stream->watch);
  drop_unsent (stream);
}

static void
end (struct tcp_stream *stream, enum tcp_end how, int64_t now)
{
  if (!stream->open)
    return;
  drop (stream);
  stream->ops->ended (stream, stream->failed ? stream->failure : how, now);
}

void
tcp_fail (struct tcp_stream *stream, enum tcp_end why)
{
  if (!stream->open || stream->failed)
    return;
  stream->failed = true;
  stream->failure = why;
  reset_on_close (stream, true);
  drop_unsent (stream);
  timer_arm (loop_timers (stream->loop), &stream->failure_timer, 0);
}

static bool
is_transient (int error)
{
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

static enum tcp_end
end_of_error (const struct tcp_stream *stream)
{
  return stream->connecting ? TCP_END_REFUSED : TCP_END_RESET;
}

/* Everything is sent: shut down the sending side. */
static void
send_end (struct tcp_stream *stream)
{
  if (stream->close_delimited)
    reset_on_close (stream, false);
  stream->close_delimited = false;
  (void) shutdown (stream->fd, SHUT_WR);
}

static void
send_rest (struct tcp_stream *stream)
{
  while (buffered_bytes (stream) > 0)
    {
      ssize_t sent = send (stream->fd, stream->unsent->data, stream->unsent->length, MSG_NOSIGNAL);

      if (sent < 0 && is_transient (errno))
        {
          loop_request_writable (&stream->watch);
          return;
        }
      if (sent < 0)
        {
          tcp_fail (stream, TCP_END_RESET);
          return;
        }
      bytes_consume (stream->unsent, (size_t) sent);
    }
  drop_unsent (stream);
  if (stream->closing && !stream->failed)
    send_end (stream);
}

static bool
finish_connect (struct tcp_stream *stream, int64_t now)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (stream->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    {
      end (stream, TCP_END_REFUSED, now);
      return false;
    }
  stream->connecting = false;
  stream->ops->connected (stream, now);
  return stream->open;
}

static void
on_writable (struct loop_watch *watch, int64_t now)
{
  struct tcp_stream *stream = CONTAINER_OF (watch, struct tcp_stream, watch);

  size_t before;

  if (stream->connecting && !finish_connect (stream, now))
    return;
  before = buffered_bytes (stream);
  send_rest (stream);
  if (stream->ops->sent != NULL && buffered_bytes (stream) < before && !stream->failed)
    stream->ops->sent (stream, now);
}

/* Read and deliver some bytes.  False at the end or on an error, with `errno` set; 0 means an
 * orderly end. */
static bool
receive (struct tcp_stream *stream, int64_t now)
{
  static char buffer[READ_BYTES];
  ssize_t got = recv (stream->fd, buffer, sizeof buffer, 0);

  errno = got == 0 ? 0 : errno;
  if (got > 0)
    stream->ops->received (stream, buffer, (size_t) got, now);
  return got > 0;
}

static void
on_readable (struct loop_watch *watch, int64_t now)
{
  struct tcp_stream *stream = CONTAINER_OF (watch, struct tcp_stream, watch);

  if (stream->failed || (stream->connecting && !finish_connect (stream, now))
      || receive (stream, now))
    return;
  if (errno == 0)
    end (stream, TCP_END_ORDERLY, now);
  else if (!is_transient (errno))
    end (stream, end_of_error (stream), now);
}

/* Bytes received before a reset are delivered first: they may be a complete response to a request
 * whose rest could not be sent. */
static void
report_failure (struct timer *timer, int64_t now)
{
  struct tcp_stream *stream = CONTAINER_OF (timer, struct tcp_stream, failure_timer);

  timer_arm (loop_timers (stream->loop), timer, 0);
  if (stream->failure != TCP_END_RESET || !receive (stream, now))
    end (stream, stream->failure, now);
}

static const struct timer_ops failure_timer_ops = { .fire = report_failure };

static void
on_hung_up (struct loop_watch *watch, int64_t now)
{
  struct tcp_stream *stream = CONTAINER_OF (watch, struct tcp_stream, watch);

  end (stream, end_of_error (stream), now);
}

static const struct loop_watch_ops stream_watch_ops = {
  .readable = on_readable,
  .writable = on_writable,
  .hung_up = on_hung_up,
};

static enum status
open_stream (struct tcp_stream *stream, int fd)
{
  enum status status;

  stream->fd = fd;
  stream->closing = false;
  stream->close_delimited = false;
  stream->failed = false;
  stream->failure_timer.ops = &failure_timer_ops;
  stream->unsent = NULL;
  stream->watch = (struct loop_watch){ .ops = &stream_watch_ops };
  set_options (fd);
  status = loop_adopt_socket (stream->loop, &stream->watch, fd);
  stream->open = status == STATUS_OK;
  return status;
}

enum status
tcp_accept (struct tcp_stream *stream, const struct tcp_stream_ops *ops, struct loop *loop, int fd)
{
  stream->ops = ops;
  stream->loop = loop;
  stream->connecting = false;
  return open_stream (stream, fd);
}

enum status
tcp_connect (struct tcp_stream *stream,
             const struct tcp_stream_ops *ops,
             struct loop *loop,
             const char *address)
{
  struct inet_address to;
  enum status status = inet_address_parse (address, &to);
  int fd;

  stream->ops = ops;
  stream->loop = loop;
  if (status != STATUS_OK)
    return status;
  fd = socket (to.socket.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return status_fail (STATUS_LIMIT, "no socket for %s: %s", address, strerror (errno));
  if (connect (fd, (const struct sockaddr *) &to.socket, to.socket_length) != 0
      && errno != EINPROGRESS)
    {
      status = status_fail (STATUS_IO, "cannot connect to %s: %s", address, strerror (errno));
      close (fd);
      return status;
    }
  stream->connecting = true;
  status = open_stream (stream, fd);
  if (status == STATUS_OK)
    loop_request_writable (&stream->watch);
  return status;
}

static void
buffer_data (struct tcp_stream *stream, const char *data, size_t length)
{
  if (stream->unsent == NULL)
    {
      stream->unsent = talloc_zero (NULL, struct bytes);
      if (stream->unsent == NULL)
        {
          tcp_fail (stream, TCP_END_MEMORY);
          return;
        }
      bytes_init (stream->unsent, stream->unsent);
    }
  bytes_append (stream->unsent, data, length);
  if (bytes_has_failed (stream->unsent))
    tcp_fail (stream, TCP_END_MEMORY);
  else
    loop_request_writable (&stream->watch);
}

void
tcp_write (struct tcp_stream *stream, const void *data, size_t length)
{
  const char *rest = data;

  if (!stream->open || stream->failed || length == 0)
    return;
  if (!stream->connecting && buffered_bytes (stream) == 0)
    {
      ssize_t sent = send (stream->fd, rest, length, MSG_NOSIGNAL);

      if (sent < 0 && !is_transient (errno))
        {
          tcp_fail (stream, TCP_END_RESET);
          return;
        }
      if (sent > 0)
        {
          rest += sent;
          length -= (size_t) sent;
        }
      if (length == 0)
        return;
    }
  if (buffered_bytes (stream) + length > TCP_UNSENT_MAX_BYTES)
    {
      tcp_fail (stream, TCP_END_OVERFLOW);
      return;
    }
  buffer_data (stream, rest, length);
}

size_t
tcp_unsent (const struct tcp_stream *stream)
{
  return buffered_bytes (stream) + (stream->failed ? 1 : 0);
}

size_t
tcp_unsent_memory (const struct tcp_stream *stream)
{
  return stream->unsent == NULL ? 0 : stream->unsent->capacity;
}

size_t
tcp_unacknowledged (const struct tcp_stream *stream)
{
  int queued = 0;

  if (!stream->open || ioctl (stream->fd, SIOCOUTQ, &queued) != 0)
    queued = 0;
  return tcp_unsent (stream) + (size_t) queued;
}

bool
tcp_has_unread (const struct tcp_stream *stream)
{
  char byte;

  return recv (stream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || !is_transient (errno);
}

void
tcp_set_close_delimited (struct tcp_stream *stream)
{
  if (!stream->open || stream->failed)
    return;
  stream->close_delimited = true;
  reset_on_close (stream, true);
}

void
tcp_close (struct tcp_stream *stream, bool reset)
{
  if (!stream->open)
    return;
  if (reset)
    reset_on_close (stream, true);
  else if (!would_truncate (stream))
    (void) shutdown (stream->fd, SHUT_RDWR);
  drop (stream);
}

void
tcp_close_when_sent (struct tcp_stream *stream)
{
  stream->closing = true;
  if (stream->open && !stream->connecting && !stream->failed)
    send_rest (stream);
}

/* ---- listeners ---- */

int
tcp_open_spare (void)
{
  return open ("/dev/null", O_RDONLY | O_CLOEXEC);
}

static int
accept_one (int listener, struct sockaddr_storage *from)
{
  socklen_t length = sizeof *from;

  return accept4 (listener, (struct sockaddr *) from, from == NULL ? NULL : &length,
                  SOCK_NONBLOCK | SOCK_CLOEXEC);
}

int
tcp_accept_next (int listener, int *spare, struct sockaddr_storage *from)
{
  int fd = accept_one (listener, from);

  if (*spare < 0)
    *spare = tcp_open_spare ();
  while (fd < 0 && (errno == EMFILE || errno == ENFILE) && *spare >= 0)
    {
      close (*spare);
      fd = accept_one (listener, NULL);
      if (fd >= 0)
        close (fd);
      *spare = tcp_open_spare ();
      if (fd < 0)
        return -1;
      fd = accept_one (listener, from);
    }
  return fd;
}

/* The rest of a burst waits for the next turn of the loop, so that open connections are served. */
static void
on_acceptable (struct loop_watch *watch, int64_t now)
{
  struct tcp_listener *listener = CONTAINER_OF (watch, struct tcp_listener, watch);

  for (int i = 0; i < ACCEPT_BATCH; i++)
    {
      int fd = tcp_accept_next (listener->fd, &listener->spare_fd, NULL);

      if (fd < 0)
        return;
      listener->ops->accepted (listener, fd, now);
    }
}

static const struct loop_watch_ops listener_watch_ops = { .readable = on_acceptable };

enum status
tcp_listen (struct tcp_listener *listener,
            const struct tcp_listener_ops *ops,
            struct loop *loop,
            const char *address)
{
  struct inet_address at;
  enum status status = inet_address_parse (address, &at);
  int yes = 1;

  if (status != STATUS_OK)
    return status;
  listener->ops = ops;
  listener->loop = loop;
  listener->spare_fd = -1;
  listener->watch = (struct loop_watch){ .ops = &listener_watch_ops };
  listener->fd = socket (at.socket.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (listener->fd < 0)
    return status_fail (STATUS_IO, "no socket to listen on %s: %s", address, strerror (errno));
  (void) setsockopt (listener->fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind (listener->fd, (const struct sockaddr *) &at.socket, at.socket_length) != 0
      || listen (listener->fd, LISTEN_BACKLOG) != 0)
    {
      status = status_fail (STATUS_IO, "cannot listen on %s: %s", address, strerror (errno));
      close (listener->fd);
      listener->fd = -1;
      return status;
    }
  listener->spare_fd = tcp_open_spare ();
  return loop_adopt_socket (loop, &listener->watch, listener->fd);
}

void
tcp_listener_close (struct tcp_listener *listener)
{
  if (listener->fd < 0 || listener->loop == NULL)
    return;
  loop_unwatch (listener->loop, &listener->watch);
  if (listener->spare_fd >= 0)
    close (listener->spare_fd);
  listener->spare_fd = -1;
  listener->fd = -1;
}
