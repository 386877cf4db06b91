/* Messages between hosts over ZeroMQ: peers, their keys, and sending. */
#include "peer_zmq.h"
#include "peer_zmq_private.h"
#include "text.h"
#include <libwebsockets.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <zmq.h>

/* A silent partition shows no error on a socket: a connection without a sign of life for this long
 * is dropped and made again.  It only frees what is stuck; membership has its own probes. */
#define HEARTBEAT_MS 10000

#define HANDSHAKE_MS 5000
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000

#define ENDPOINT_SIZE 128

/* A rare large message does not keep its buffer. */
#define SCRATCH_KEPT 65536

/* What one frame may be; over it libzmq closes the connection.  A little over the limit of a
 * message, so that one just over it is counted here. */
#define FRAME_MAX ((int64_t) PEER_MESSAGE_MAX + 65536)

/* uthash's macros are long; the functions are not.
 * NOLINTBEGIN(readability-function-size) */

struct zmq_peer *
peer_zmq_find (struct zmq_port *port, const char *name)
{
  struct zmq_peer *peer;

  HASH_FIND_STR (port->peers, name, peer);
  return peer;
}

static struct zmq_peer *
find_or_add (struct zmq_port *port, const char *name)
{
  struct zmq_peer *peer = peer_zmq_find (port, name);

  if (peer != NULL)
    return peer;
  peer = talloc_zero (port, struct zmq_peer);
  if (peer == NULL || !text_copy (peer->name, sizeof peer->name, name))
    {
      talloc_free (peer);
      return NULL;
    }
  HASH_ADD_STR (port->peers, name, peer);
  return peer;
}

static void
drop_when_empty (struct zmq_port *port, struct zmq_peer *peer)
{
  if (peer->dealer != NULL || peer->trusted_key[0] != '\0')
    return;
  HASH_DEL (port->peers, peer);
  talloc_free (peer);
}

/* NOLINTEND(readability-function-size) */

bool
peer_zmq_key_is (struct zmq_port *port, const char *name, const char *key)
{
  const struct zmq_peer *peer = peer_zmq_find (port, name);

  return peer != NULL && peer->trusted_key[0] != '\0' && strcmp (peer->trusted_key, key) == 0;
}

bool
peer_zmq_key_known (struct zmq_port *port, const char *key)
{
  struct zmq_peer *peer;
  struct zmq_peer *next;

  HASH_ITER (hh, port->peers, peer, next)
    {
      if (peer->trusted_key[0] != '\0' && strcmp (peer->trusted_key, key) == 0)
        return true;
    }
  return false;
}

static bool
set_int (void *socket, int option, int value)
{
  return zmq_setsockopt (socket, option, &value, sizeof value) == 0;
}

static bool
set_common (struct zmq_port *port, void *socket, const char *address)
{
  int64_t frame_max = FRAME_MAX;

  return set_int (socket, ZMQ_LINGER, 0) && set_int (socket, ZMQ_SNDHWM, port->queue_messages)
         && set_int (socket, ZMQ_RCVHWM, port->queue_messages)
         && set_int (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS)
         && set_int (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_MS)
         && set_int (socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS)
         && set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS)
         && set_int (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
         && set_int (socket, ZMQ_IPV6, address[0] == '[')
         && zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &frame_max, sizeof frame_max) == 0;
}

static bool
set_key (void *socket, int option, const char *key)
{
  return zmq_setsockopt (socket, option, key, PEER_KEY_SIZE) == 0;
}

/* A connection that is not there takes no messages (ZMQ_IMMEDIATE): they would arrive stale once it
 * is, and who sends repeats anyway. */
static void *
connect_dealer (struct zmq_port *port, const char *address, const char *server_key)
{
  void *dealer = zmq_socket (port->context, ZMQ_DEALER);
  char endpoint[ENDPOINT_SIZE];
  bool good;

  if (dealer == NULL)
    return NULL;
  good = set_common (port, dealer, address) && set_int (dealer, ZMQ_IMMEDIATE, 1);
  if (good && port->curve)
    good = set_key (dealer, ZMQ_CURVE_SERVERKEY, server_key)
           && set_key (dealer, ZMQ_CURVE_PUBLICKEY, port->public_key)
           && set_key (dealer, ZMQ_CURVE_SECRETKEY, port->secret_key);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  if (good && zmq_connect (dealer, endpoint) == 0)
    return dealer;
  zmq_close (dealer);
  return NULL;
}

static enum status
set_address (struct peer_port *self, const char *host, const char *address, const char *public_key)
{
  struct zmq_port *port = (struct zmq_port *) self;
  const char *key = public_key == NULL ? "" : public_key;
  struct zmq_peer *peer;

  if (port->curve && strlen (key) != PEER_KEY_SIZE - 1)
    return status_fail (STATUS_INVALID, "host %s has no key", host);
  peer = find_or_add (port, host);
  if (peer == NULL)
    return status_fail (STATUS_INVALID, "host name \"%s\" is too long", host);
  if (peer->dealer != NULL && strcmp (peer->address, address) == 0
      && (!port->curve || strcmp (peer->server_key, key) == 0))
    return STATUS_OK;
  if (peer->dealer != NULL)
    zmq_close (peer->dealer);
  talloc_free (peer->address);
  peer->address = talloc_strdup (peer, address);
  text_copy_cut (peer->server_key, sizeof peer->server_key, key);
  peer->dealer = peer->address == NULL ? NULL : connect_dealer (port, address, key);
  if (peer->dealer != NULL)
    return STATUS_OK;
  status_fail (STATUS_INVALID, "cannot connect to host %s at %s: %s", host, address,
               zmq_strerror (zmq_errno ()));
  drop_when_empty (port, peer);
  return STATUS_INVALID;
}

static void
forget (struct peer_port *self, const char *host)
{
  struct zmq_port *port = (struct zmq_port *) self;
  struct zmq_peer *peer = peer_zmq_find (port, host);

  if (peer == NULL || peer->dealer == NULL)
    return;
  zmq_close (peer->dealer);
  peer->dealer = NULL;
  drop_when_empty (port, peer);
}

static enum status
send_message (struct peer_port *self,
              const char *host,
              enum peer_channel channel,
              const void *data,
              size_t length)
{
  struct zmq_port *port = (struct zmq_port *) self;
  struct zmq_peer *peer = peer_zmq_find (port, host);
  struct bytes *scratch = &port->scratch;
  size_t sent;

  if (peer == NULL || peer->dealer == NULL)
    return status_fail (STATUS_NOT_FOUND, "host %s is not known", host);
  if (length > PEER_MESSAGE_MAX)
    return status_fail (STATUS_TOO_LARGE, "a message of %zu bytes", length);
  scratch->length = 0;
  peer_envelope_write (scratch, port->name, channel, data, length);
  sent = scratch->length;
  if (bytes_failed (scratch))
    {
      bytes_clear (scratch);
      return status_fail (STATUS_NO_MEMORY, "no memory for a message of %zu bytes", length);
    }
  if (zmq_send (peer->dealer, scratch->data, sent, ZMQ_DONTWAIT) < 0)
    {
      peer_count (port, PEER_COUNT_queue_full, 1);
      return status_fail (STATUS_AGAIN, "host %s takes no message now", host);
    }
  if (scratch->capacity > SCRATCH_KEPT)
    bytes_clear (scratch);
  port->traffic.messages_out++;
  port->traffic.bytes_out += sent;
  peer_count (port, PEER_COUNT_messages_out, 1);
  peer_count (port, PEER_COUNT_bytes_out, (double) sent);
  return STATUS_OK;
}

static void
set_listener (struct peer_port *self, enum peer_channel channel, struct peer_listener *listener)
{
  ((struct zmq_port *) self)->listeners[channel] = listener;
}

static const struct peer_port_ops port_ops = {
  .set_address = set_address,
  .forget = forget,
  .send = send_message,
  .listen = set_listener,
};

static void
router_ready (struct loop_watch *watch, int64_t now)
{
  peer_zmq_serve (lws_container_of (watch, struct zmq_port, router_watch), now);
}

static void
zap_ready (struct loop_watch *watch, int64_t now)
{
  peer_zmq_serve (lws_container_of (watch, struct zmq_port, zap_watch), now);
}

static void
more_ready (struct timer *timer, int64_t now)
{
  peer_zmq_serve (lws_container_of (timer, struct zmq_port, more), now);
}

static const struct loop_watch_ops router_watch_ops = { .ready = router_ready };
static const struct loop_watch_ops zap_watch_ops = { .ready = zap_ready };
static const struct timer_ops more_ops = { .fire = more_ready };

static enum status
watch_socket (struct zmq_port *port, struct loop_watch *watch, void *socket)
{
  int fd = -1;
  size_t size = sizeof fd;

  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  return loop_watch_fd (port->loop, watch, fd);
}

static enum status
bind_router (struct zmq_port *port, const char *address)
{
  char endpoint[ENDPOINT_SIZE];
  size_t size = sizeof endpoint;
  bool good;

  port->router = zmq_socket (port->context, ZMQ_ROUTER);
  good = port->router != NULL && set_common (port, port->router, address);
  if (good && port->curve)
    good = set_int (port->router, ZMQ_CURVE_SERVER, 1)
           && set_key (port->router, ZMQ_CURVE_SECRETKEY, port->secret_key)
           && zmq_setsockopt (port->router, ZMQ_ZAP_DOMAIN, "peers", 5) == 0;
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  if (!good || zmq_bind (port->router, endpoint) != 0)
    return status_fail (STATUS_IO, "peers address %s: %s", address, zmq_strerror (zmq_errno ()));
  if (zmq_getsockopt (port->router, ZMQ_LAST_ENDPOINT, endpoint, &size) == 0)
    port->bound = (uint16_t) strtoul (strrchr (endpoint, ':') + 1, NULL, 10);
  return STATUS_OK;
}

static enum status
open_port (struct zmq_port *port, const char *address)
{
  enum status status = STATUS_OK;

  port->context = zmq_ctx_new ();
  if (port->context == NULL)
    return status_fail (STATUS_NO_MEMORY, "cannot start ZeroMQ");
  /* Before the router: without a handler libzmq would let every key in. */
  if (port->curve)
    status = peer_zmq_zap_open (port);
  if (status == STATUS_OK)
    status = bind_router (port, address);
  if (status == STATUS_OK)
    status = watch_socket (port, &port->router_watch, port->router);
  if (status == STATUS_OK && port->curve)
    status = watch_socket (port, &port->zap_watch, port->zap);
  /* What came before the descriptors were watched gave its one sign already. */
  timer_arm (loop_timers (port->loop), &port->more, loop_now (port->loop));
  return status;
}

static int
destroy_port (struct zmq_port *port)
{
  struct zmq_peer *peer;
  struct zmq_peer *next;

  timer_disarm (loop_timers (port->loop), &port->more);
  loop_unwatch (port->loop, &port->router_watch);
  loop_unwatch (port->loop, &port->zap_watch);
  HASH_ITER (hh, port->peers, peer, next)
    {
      if (peer->dealer != NULL)
        zmq_close (peer->dealer);
    }
  HASH_CLEAR (hh, port->peers);
  if (port->router != NULL)
    zmq_close (port->router);
  if (port->zap != NULL)
    zmq_close (port->zap);
  if (port->context != NULL)
    zmq_ctx_term (port->context);
  return 0;
}

static bool
copy_config (struct zmq_port *port, const struct peer_zmq_config *config)
{
  port->port.ops = &port_ops;
  port->loop = config->loop;
  port->queue_messages = (int) config->queue_messages;
  port->curve = config->secret_key != NULL;
  port->router_watch.ops = &router_watch_ops;
  port->zap_watch.ops = &zap_watch_ops;
  port->more.ops = &more_ops;
  bytes_init (&port->scratch, port);
  if (!text_copy (port->name, sizeof port->name, config->name))
    return false;
  if (!port->curve)
    return true;
  return config->public_key != NULL && strlen (config->secret_key) == PEER_KEY_SIZE - 1
         && strlen (config->public_key) == PEER_KEY_SIZE - 1
         && text_copy (port->secret_key, sizeof port->secret_key, config->secret_key)
         && text_copy (port->public_key, sizeof port->public_key, config->public_key);
}

struct peer_port *
peer_zmq_new (void *parent, const struct peer_zmq_config *config)
{
  static const char *const names[][2] = {
#define X(name, help) { "peer_" #name, help },
    PEER_COUNTER_LIST (X)
#undef X
  };
  struct zmq_port *port = talloc_zero (parent, struct zmq_port);

  if (port == NULL)
    return NULL;
  if (!copy_config (port, config))
    {
      status_fail (STATUS_INVALID, "the host's name or keys are not well formed");
      talloc_free (port);
      return NULL;
    }
  for (int i = 0; i < PEER_COUNT_N && config->counters != NULL; i++)
    port->counters[i] = counter_get (config->counters, names[i][0], names[i][1], NULL);
  talloc_set_destructor (port, destroy_port);
  if (open_port (port, config->listen) != STATUS_OK)
    {
      talloc_free (port);
      return NULL;
    }
  return &port->port;
}

uint16_t
peer_zmq_port (const struct peer_port *port)
{
  return ((const struct zmq_port *) port)->bound;
}

enum status
peer_zmq_trust (struct peer_port *self, const char *host, const char *public_key)
{
  struct zmq_port *port = (struct zmq_port *) self;
  struct zmq_peer *peer =
      public_key == NULL ? peer_zmq_find (port, host) : find_or_add (port, host);

  if (peer == NULL)
    return public_key == NULL ? STATUS_OK
                              : status_fail (STATUS_INVALID, "host name \"%s\" is too long", host);
  if (public_key == NULL)
    peer->trusted_key[0] = '\0';
  else if (strlen (public_key) != PEER_KEY_SIZE - 1)
    {
      drop_when_empty (port, peer);
      return status_fail (STATUS_INVALID, "the key of host %s is not well formed", host);
    }
  else
    text_copy_cut (peer->trusted_key, sizeof peer->trusted_key, public_key);
  drop_when_empty (port, peer);
  return STATUS_OK;
}

void
peer_zmq_count (const struct peer_port *port, struct peer_zmq_traffic *out)
{
  *out = ((const struct zmq_port *) port)->traffic;
}
