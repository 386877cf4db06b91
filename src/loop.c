/* Event loop of the process: the libwebsockets poll loop, woken in time for the earliest timer. */
#include "loop.h"
#include "container.h"
#include "log.h"
#include <errno.h>
#include <jansson.h>
#include <libwebsockets.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>
#include <utlist.h>

#define POLL_MARGIN_US (USEC_PER_MSEC / 10)

/* Descriptors other than connections: files, peers, listeners. */
#define LOOP_DESCRIPTOR_RESERVE 8192

/* Maximum size of the headers of one HTTP message; the limit of http_server.c is lower.  There are
 * as many header tables as descriptors: a connection that waits for one would read the data
 * received meanwhile in a way that http_server_connection.c must prevent. */
#define LOOP_HEADER_BYTES 16384

/* Maximum size of one read or write of lws; larger answers are sent in pieces of this size. */
#define LOOP_SERVICE_BUFFER_BYTES 16384

/* Timeout of lws for an incomplete handshake or header. */
#define LOOP_HANDSHAKE_TIMEOUT_SECONDS 10

/* Timers that run later than this are logged. */
#define LOOP_LATE_MIN (250 * USEC_PER_MSEC)

struct loop
{
  struct lws_context *context;
  struct lws_vhost *vhost; /* vhost of the watched descriptors */
  struct timer_service *timers;
  lws_sorted_usec_list_t wake;
  bool stopped;
  uint32_t connections_max;
  struct watch_slot *deferred; /* slots whose writable request is deferred */
  struct loop_watch signal_watch;
  struct loop_signal *signal_handler;
  int signal_fd;
};

/* Freed when lws has closed the adopted descriptor, after the watch was removed. */
struct watch_slot
{
  struct loop *loop;
  struct loop_watch *watch; /* NULL once unwatched */
  struct lws *wsi;
  bool in_writable; /* the writable() callback of its watch is running */
  bool deferred;    /* in the list of deferred requests */
  struct watch_slot *prev;
  struct watch_slot *next;
};

int64_t
loop_now (const struct loop *loop)
{
  struct timespec now;

  (void) loop;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * USEC_PER_SEC + now.tv_nsec / 1000;
}

int64_t
loop_boottime (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return now.tv_sec * USEC_PER_SEC + now.tv_nsec / 1000;
}

/* lws clears the writable request of a descriptor after its writable callback returns, so a request
 * made within the callback is lost and an answer larger than two buffers would stop in the middle.
 * Such a request is deferred until lws has returned. */
static void
defer_writable_request (struct watch_slot *slot)
{
  if (slot->deferred)
    return;
  slot->deferred = true;
  DL_APPEND (slot->loop->deferred, slot);
}

static void
cancel_deferred_request (struct watch_slot *slot)
{
  if (!slot->deferred)
    return;
  slot->deferred = false;
  DL_DELETE (slot->loop->deferred, slot);
}

static void
notify_writable (struct watch_slot *slot)
{
  if (slot->watch == NULL || slot->watch->ops->writable == NULL)
    return;
  slot->in_writable = true;
  slot->watch->ops->writable (slot->watch, loop_now (slot->loop));
  slot->in_writable = false;
}

static int
on_watch_event (struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in, size_t len)
{
  struct watch_slot *slot = wsi == NULL ? NULL : lws_get_opaque_user_data (wsi);

  (void) user;
  (void) in;
  (void) len;
  if (slot == NULL)
    return 0;
  if (reason == LWS_CALLBACK_RAW_RX_FILE)
    {
      if (slot->watch == NULL)
        return -1;
      slot->watch->ops->readable (slot->watch, loop_now (slot->loop));
      return slot->watch == NULL ? -1 : 0;
    }
  if (reason == LWS_CALLBACK_RAW_WRITEABLE_FILE)
    {
      notify_writable (slot);
      return slot->watch == NULL ? -1 : 0;
    }
  if (reason == LWS_CALLBACK_RAW_CLOSE_FILE)
    {
      struct loop_watch *watch = slot->watch;

      slot->watch = NULL;
      if (watch != NULL)
        {
          watch->slot = NULL;
          if (watch->ops->hung_up != NULL)
            watch->ops->hung_up (watch, loop_now (slot->loop));
        }
      lws_set_opaque_user_data (wsi, NULL);
      cancel_deferred_request (slot);
      talloc_free (slot);
    }
  return 0;
}

static const struct lws_protocols watch_protocols[] = {
  { .name = "watch", .callback = on_watch_event },
  { .name = NULL },
};

static int
destroy_loop (struct loop *loop)
{
  /* Children hold connections of the context, so they are freed first. */
  talloc_free_children (loop);
  lws_sul_cancel (&loop->wake);
  if (loop->context != NULL)
    lws_context_destroy (loop->context);
  if (loop->signal_fd >= 0)
    close (loop->signal_fd);
  return 0;
}

/* lws sizes its tables by the descriptor limit of the process, which may be a million.  With a
 * lower limit set in lws itself, it finds descriptors by scanning the whole table for every event.
 * So the limit of the process is lowered (never raised), with room for descriptors that are not
 * connections. */
static void
limit_descriptors (uint32_t connections_max)
{
  struct rlimit limit;
  rlim_t wanted = (rlim_t) connections_max + LOOP_DESCRIPTOR_RESERVE;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur <= wanted)
    return;
  limit.rlim_cur = wanted;
  setrlimit (RLIMIT_NOFILE, &limit);
}

static bool
create_context (struct loop *loop, bool tls)
{
  struct lws_context_creation_info info = {
    .port = CONTEXT_PORT_NO_LISTEN,
    .options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | (tls ? LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT : 0)
               | LWS_SERVER_OPTION_NO_LWS_SYSTEM_STATES | LWS_SERVER_OPTION_DISABLE_IPV6,
    .max_http_header_data2 = LOOP_HEADER_BYTES,
    .pt_serv_buf_size = LOOP_SERVICE_BUFFER_BYTES,
    .timeout_secs = LOOP_HANDSHAKE_TIMEOUT_SECONDS,
    .timeout_secs_ah_idle = LOOP_HANDSHAKE_TIMEOUT_SECONDS,
    .alpn = "http/1.1",
    .protocols = watch_protocols,
    .vhost_name = "watch",
  };

  lws_set_log_level (0, NULL);
  limit_descriptors (loop->connections_max);
  loop->context = lws_create_context (&info);
  if (loop->context == NULL)
    return false;
  loop->vhost = lws_create_vhost (loop->context, &info);
  return loop->vhost != NULL;
}

static struct loop *
create_loop (void *parent, uint32_t connections_max, bool tls)
{
  struct loop *loop = talloc_zero (parent, struct loop);

  if (loop == NULL)
    return NULL;
  loop->signal_fd = -1;
  loop->connections_max = connections_max;
  talloc_set_destructor (loop, destroy_loop);
  loop->timers = timer_service_new (loop);
  if (loop->timers == NULL || !create_context (loop, tls))
    {
      status_fail (STATUS_NO_MEMORY, "cannot create the event loop for %u connections",
                   connections_max);
      talloc_free (loop);
      return NULL;
    }
  return loop;
}

struct loop *
loop_new (void *parent, uint32_t connections_max)
{
  return create_loop (parent, connections_max, true);
}

struct loop *
loop_new_without_tls (void *parent, uint32_t connections_max)
{
  return create_loop (parent, connections_max, false);
}

struct timer_service *
loop_timers (struct loop *loop)
{
  return loop->timers;
}

uint32_t
loop_connections_max (const struct loop *loop)
{
  return loop->connections_max;
}

struct lws_context *
loop_context (struct loop *loop)
{
  return loop->context;
}

/* Takes ownership of `fd`; lws closes it once adopted. */
static enum status
adopt_descriptor (struct loop *loop, struct loop_watch *watch, int fd)
{
  lws_sock_file_fd_type own = { .filefd = fd };
  struct watch_slot *slot;
  lws_adopt_desc_t request = {
    .vh = loop->vhost,
    .type = LWS_ADOPT_RAW_FILE_DESC,
    .fd = own,
    .vh_prot_name = watch_protocols[0].name,
  };

  slot = talloc_zero (NULL, struct watch_slot);
  if (slot == NULL)
    {
      close (fd);
      return status_fail (STATUS_NO_MEMORY, "cannot watch descriptor %d", fd);
    }
  slot->loop = loop;
  slot->watch = watch;
  request.opaque = slot;
  slot->wsi = lws_adopt_descriptor_vhost_via_info (&request);
  if (slot->wsi == NULL)
    {
      talloc_free (slot);
      return status_fail (STATUS_LIMIT, "too many descriptors in the event loop");
    }
  watch->slot = slot;
  return STATUS_OK;
}

enum status
loop_watch_fd (struct loop *loop, struct loop_watch *watch, int fd)
{
  int own = dup (fd);

  if (own < 0)
    return status_fail (STATUS_IO, "cannot watch descriptor %d: %s", fd, strerror (errno));
  return adopt_descriptor (loop, watch, own);
}

enum status
loop_adopt_socket (struct loop *loop, struct loop_watch *watch, int fd)
{
  return adopt_descriptor (loop, watch, fd);
}

void
loop_request_writable (struct loop_watch *watch)
{
  struct watch_slot *slot = watch->slot;

  if (slot == NULL)
    return;
  if (slot->in_writable)
    defer_writable_request (slot);
  else
    lws_callback_on_writable (slot->wsi);
}

void
loop_unwatch (struct loop *loop, struct loop_watch *watch)
{
  struct watch_slot *slot = watch->slot;

  (void) loop;
  if (slot == NULL)
    return;
  slot->watch = NULL;
  watch->slot = NULL;
  lws_set_timeout (slot->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static void
read_signals (struct loop_watch *watch, int64_t now)
{
  struct loop *loop = CONTAINER_OF (watch, struct loop, signal_watch);
  struct signalfd_siginfo info;

  while (read (loop->signal_fd, &info, sizeof info) == (ssize_t) sizeof info)
    loop->signal_handler->ops->raised (loop->signal_handler, (int) info.ssi_signo, now);
}

static const struct loop_watch_ops signal_watch_ops = { .readable = read_signals };

enum status
loop_on_signal (struct loop *loop, struct loop_signal *handler, const int *signals, int n_signals)
{
  sigset_t set;

  sigemptyset (&set);
  for (int i = 0; i < n_signals; i++)
    sigaddset (&set, signals[i]);
  if (sigprocmask (SIG_BLOCK, &set, NULL) != 0)
    return status_fail (STATUS_IO, "cannot block signals: %s", strerror (errno));
  loop->signal_fd = signalfd (loop->signal_fd, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (loop->signal_fd < 0)
    return status_fail (STATUS_IO, "cannot create the signal descriptor: %s", strerror (errno));
  loop->signal_handler = handler;
  if (loop->signal_watch.slot != NULL)
    return STATUS_OK;
  loop->signal_watch.ops = &signal_watch_ops;
  return loop_watch_fd (loop, &loop->signal_watch, loop->signal_fd);
}

/* Only ends the poll in time; the timers run after every iteration.  lws also runs due entries
 * before it polls and would then wait for the next entry, so the entry is scheduled again at once
 * to keep that poll from waiting. */
static void
on_wake (lws_sorted_usec_list_t *wake)
{
  struct loop *loop = CONTAINER_OF (wake, struct loop, wake);

  lws_sul_schedule (loop->context, 0, wake, on_wake, 1);
}

/* Rounds a wait of `span` microseconds up to whole milliseconds.  lws rounds the poll timeout down
 * and would poll without waiting during the last millisecond before a timer: hundreds of polls per
 * second on an idle host.  POLL_MARGIN_US covers the clock reading of lws; a timer is late by less
 * than 1.1 ms. */
static int64_t
round_up_wait (int64_t span)
{
  int64_t rest = span % USEC_PER_MSEC;

  if (span <= 0)
    return 1;
  return span + (rest == 0 ? 0 : USEC_PER_MSEC - rest) + POLL_MARGIN_US;
}

static void
request_deferred_writable (struct loop *loop)
{
  while (loop->deferred != NULL)
    {
      struct watch_slot *slot = loop->deferred;

      cancel_deferred_request (slot);
      lws_callback_on_writable (slot->wsi);
    }
}

/* `due`: when the process was to go on at the latest.  While it is late, answers and messages of
 * other hosts wait as well: too much work for the processor that it gets, or one long computation.
 */
static void
log_if_late (int64_t due, int64_t now)
{
  if (now - due >= LOOP_LATE_MIN)
    log_event (LOG_MODULE_HOST, LOG_LEVEL_WARNING, "loop-late", "{s:I}", "late_ms",
               (json_int_t) ((now - due) / USEC_PER_MSEC));
}

static void
run_once (struct loop *loop, int64_t latest)
{
  int64_t next = timer_service_next_due (loop->timers);
  int64_t now = loop_now (loop);
  int64_t due = next > now ? next : now;

  if (next > latest)
    next = latest;
  if (next == USEC_NEVER)
    lws_sul_cancel (&loop->wake);
  else
    lws_sul_schedule (loop->context, 0, &loop->wake, on_wake, round_up_wait (next - now));
  if (lws_service (loop->context, 0) < 0)
    loop->stopped = true;
  request_deferred_writable (loop);
  now = loop_now (loop);
  log_if_late (due, now);
  timer_service_run (loop->timers, now);
}

void
loop_run (struct loop *loop)
{
  loop->stopped = false;
  while (!loop->stopped)
    run_once (loop, USEC_NEVER);
}

void
loop_stop (struct loop *loop)
{
  loop->stopped = true;
}

void
loop_run_once (struct loop *loop, int64_t wait)
{
  run_once (loop, loop_now (loop) + wait);
}
