/* Messages between hosts over ZeroMQ.
 *
 * The bound ROUTER only receives; the DEALER of each peer only sends.  ZeroMQ runs one I/O thread
 * inside the library; everything here runs on the loop.
 *
 * The heartbeats of ZeroMQ are off: to 359 peers they cost more than the budget of a host for
 * control traffic, and membership probes detect a silent peer anyway.  The case they would cover, a
 * connection that is dead without an error and holds its queue, is closed by ZMQ_TCP_MAXRT.
 * ZMQ_IMMEDIATE prevents messages from queueing for a peer without a connection, so they hold no
 * memory and the end of a partition brings no burst of old messages. */
#include "peer_zmq.h"
#include "container.h"
#include "log.h"
#include "pack.h"
#include "peer_zap.h"
#include "peer_zmq_private.h"
#include "text.h"
#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <zmq.h>

/* Room for the envelope.  ZeroMQ closes a connection that sends more than PEER_MESSAGE_BYTES_MAX
 * plus this; a message just over PEER_MESSAGE_BYTES_MAX is counted and dropped here. */
#define PEER_ENVELOPE_OVERHEAD_BYTES 65536

#define PEER_SOCKETS_MAX 1100
#define PEER_RECONNECT_MIN_MS 100
#define PEER_RECONNECT_MAX_MS 2000
#define PEER_CONNECT_TIMEOUT_MS 2000
#define PEER_RETRANSMIT_MAX_MS 5000
#define PEER_HANDSHAKE_TIMEOUT_MS 3000

static void
readable (struct loop_watch *watch, int64_t now)
{
  peer_zmq_receive (CONTAINER_OF (watch, struct peer_zmq, watch), now);
}

static void
resume_receive (struct timer *timer, int64_t now)
{
  peer_zmq_receive (CONTAINER_OF (timer, struct peer_zmq, resume_receive), now);
}

static const struct loop_watch_ops watch_ops = { .readable = readable };
static const struct timer_ops resume_receive_ops = { .fire = resume_receive };

/* ---- sending ---- */

static bool
set_int_option (void *socket, int option, int value)
{
  return zmq_setsockopt (socket, option, &value, sizeof value) == 0;
}

static bool
set_text_option (void *socket, int option, const char *text)
{
  return zmq_setsockopt (socket, option, text, strlen (text)) == 0;
}

static bool
set_common_options (struct peer_zmq *peer, void *socket)
{
  return set_int_option (socket, ZMQ_LINGER, 0)
         && set_int_option (socket, ZMQ_SNDHWM, peer->queue_messages)
         && set_int_option (socket, ZMQ_RCVHWM, peer->queue_messages)
         && set_int_option (socket, ZMQ_TCP_MAXRT, peer->retransmit_max_ms)
         && set_int_option (socket, ZMQ_TCP_KEEPALIVE, 1)
         && set_int_option (socket, ZMQ_HANDSHAKE_IVL, PEER_HANDSHAKE_TIMEOUT_MS);
}

static bool
set_dealer_options (struct peer_zmq *peer, void *socket, const char *server_key)
{
  if (!set_common_options (peer, socket) || !set_int_option (socket, ZMQ_IMMEDIATE, 1)
      || !set_int_option (socket, ZMQ_RECONNECT_IVL, PEER_RECONNECT_MIN_MS)
      || !set_int_option (socket, ZMQ_RECONNECT_IVL_MAX, peer->reconnect_max_ms)
      || !set_int_option (socket, ZMQ_CONNECT_TIMEOUT, peer->connect_timeout_ms))
    return false;
  if (!peer->uses_curve)
    return true;
  return set_text_option (socket, ZMQ_CURVE_SERVERKEY, server_key)
         && set_text_option (socket, ZMQ_CURVE_PUBLICKEY, peer->public_key)
         && set_text_option (socket, ZMQ_CURVE_SECRETKEY, peer->secret_key);
}

static enum status
connect_peer (struct peer_zmq *peer, struct peer *to)
{
  char endpoint[RESOURCE_ADDRESS_SIZE + 8];

  snprintf (endpoint, sizeof endpoint, "tcp://%s", to->address);
  to->socket = zmq_socket (peer->context, ZMQ_DEALER);
  if (to->socket == NULL)
    return status_fail (STATUS_LIMIT, "cannot create the socket for peer %s: %s", to->name,
                        zmq_strerror (errno));
  if (set_dealer_options (peer, to->socket, to->public_key)
      && zmq_connect (to->socket, endpoint) == 0)
    return STATUS_OK;
  status_fail (STATUS_INVALID, "cannot connect to peer %s at %s: %s", to->name, to->address,
               zmq_strerror (errno));
  zmq_close (to->socket);
  to->socket = NULL;
  return STATUS_INVALID;
}

/* The uthash macros expand to long code; the functions themselves are short.
 * NOLINTBEGIN(readability-function-size) */

static struct peer *
find_peer (const struct peer_zmq *peer, const char *host)
{
  struct peer *found;

  HASH_FIND_STR (peer->peers, host, found);
  return found;
}

static void
remove_peer (struct peer_zmq *peer, struct peer *gone)
{
  HASH_DEL (peer->peers, gone);
  if (gone->socket != NULL)
    zmq_close (gone->socket);
  talloc_free (gone);
}

static void
add_peer (struct peer_zmq *peer, struct peer *new_peer)
{
  HASH_ADD_STR (peer->peers, name, new_peer);
}

/* NOLINTEND(readability-function-size) */

static enum status
set_address (struct peer_port *port, const char *host, const char *address, const char *public_key)
{
  struct peer_zmq *peer = (struct peer_zmq *) port;
  struct peer *to = find_peer (peer, host);
  const char *key = public_key == NULL ? "" : public_key;
  enum status status;

  if (peer->uses_curve && key[0] == '\0')
    return status_fail (STATUS_DENIED, "peer %s has no public key", host);
  if (to != NULL && strcmp (to->address, address) == 0 && strcmp (to->public_key, key) == 0)
    return STATUS_OK;
  if (to != NULL)
    remove_peer (peer, to);
  to = talloc_zero (peer, struct peer);
  if (to == NULL)
    return status_fail (STATUS_NO_MEMORY, "no memory for peer %s", host);
  text_copy_truncated (to->name, sizeof to->name, host);
  text_copy_truncated (to->address, sizeof to->address, address);
  text_copy_truncated (to->public_key, sizeof to->public_key, key);
  status = connect_peer (peer, to);
  if (status != STATUS_OK)
    {
      talloc_free (to);
      return status;
    }
  add_peer (peer, to);
  return STATUS_OK;
}

static void
remove_host (struct peer_port *port, const char *host)
{
  struct peer_zmq *peer = (struct peer_zmq *) port;
  struct peer *gone = find_peer (peer, host);

  if (gone != NULL)
    remove_peer (peer, gone);
}

/* Tracks whether messages to a peer find a connection and logs each change; the first connection to
 * a peer is not a change. */
static void
update_reachability (struct peer *to, bool sent)
{
  bool first = !to->was_connected;

  to->was_connected = to->was_connected || sent;
  if (first || to->unreachable != sent)
    return;
  to->unreachable = !sent;
  log_event (LOG_MODULE_PEER, sent ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING,
             sent ? "connection-regained" : "connection-lost", "{s:s,s:s}", "host", to->name,
             "address", to->address);
}

static enum status
send_message (struct peer_port *port,
              const char *host,
              enum peer_channel channel,
              const void *data,
              size_t length)
{
  struct peer_zmq *peer = (struct peer_zmq *) port;
  struct peer *to = find_peer (peer, host);
  struct bytes envelope;
  int sent;

  if (to == NULL)
    return status_fail (STATUS_NOT_FOUND, "no peer %s", host);
  if (length > PEER_MESSAGE_BYTES_MAX)
    return status_fail (STATUS_TOO_LARGE, "message of %zu bytes to %s", length, host);
  bytes_init (&envelope, NULL);
  pack_array (&envelope, PEER_ENVELOPE_FIELDS);
  pack_uint (&envelope, PEER_ENVELOPE_VERSION);
  pack_text (&envelope, peer->name);
  pack_uint (&envelope, (uint64_t) channel);
  pack_binary (&envelope, data, length);
  if (bytes_has_failed (&envelope))
    {
      bytes_clear (&envelope);
      return status_fail (STATUS_NO_MEMORY, "no memory for a message to %s", host);
    }
  sent = zmq_send (to->socket, envelope.data, envelope.length, ZMQ_DONTWAIT);
  if (sent >= 0)
    {
      peer->traffic.messages_out++;
      peer->traffic.bytes_out += envelope.length;
      counter_add (peer->messages_out, 1);
      counter_add (peer->bytes_out, (double) envelope.length);
    }
  else
    counter_add (peer->not_sent, 1);
  update_reachability (to, sent >= 0);
  bytes_clear (&envelope);
  return sent >= 0 ? STATUS_OK : STATUS_AGAIN;
}

static void
set_listener (struct peer_port *port, enum peer_channel channel, struct peer_listener *listener)
{
  ((struct peer_zmq *) port)->listeners[channel] = listener;
}

static const struct peer_port_ops port_ops = {
  .set_address = set_address,
  .remove_host = remove_host,
  .send = send_message,
  .set_listener = set_listener,
};

/* ---- construction ---- */

static bool
set_router_options (struct peer_zmq *peer)
{
  int64_t message_max = PEER_MESSAGE_BYTES_MAX + PEER_ENVELOPE_OVERHEAD_BYTES;

  if (!set_common_options (peer, peer->router)
      || zmq_setsockopt (peer->router, ZMQ_MAXMSGSIZE, &message_max, sizeof message_max) != 0)
    return false;
  if (!peer->uses_curve)
    return true;
  return set_int_option (peer->router, ZMQ_CURVE_SERVER, 1)
         && set_text_option (peer->router, ZMQ_ZAP_DOMAIN, "cherryarch")
         && set_text_option (peer->router, ZMQ_CURVE_SECRETKEY, peer->secret_key);
}

static enum status
bind_router (struct peer_zmq *peer, const char *listen)
{
  char endpoint[RESOURCE_ADDRESS_SIZE + 8];
  size_t size = sizeof endpoint;
  const char *colon;

  peer->router = zmq_socket (peer->context, ZMQ_ROUTER);
  if (peer->router == NULL || !set_router_options (peer))
    return status_fail (STATUS_IO, "cannot create the peer socket: %s", zmq_strerror (errno));
  snprintf (endpoint, sizeof endpoint, "tcp://%s", listen);
  if (zmq_bind (peer->router, endpoint) != 0)
    return status_fail (STATUS_IO, "cannot listen to peers on %s: %s", listen,
                        zmq_strerror (errno));
  if (zmq_getsockopt (peer->router, ZMQ_LAST_ENDPOINT, endpoint, &size) != 0)
    return status_fail (STATUS_IO, "cannot read the address of the peer socket");
  colon = strrchr (endpoint, ':');
  peer->bound_port = colon == NULL ? 0 : (uint16_t) strtoul (colon + 1, NULL, 10);
  return STATUS_OK;
}

static enum status
watch_router (struct peer_zmq *peer)
{
  size_t size = sizeof (int);
  int fd;

  if (zmq_getsockopt (peer->router, ZMQ_FD, &fd, &size) != 0)
    return status_fail (STATUS_IO, "cannot read the descriptor of the peer socket");
  return loop_watch_fd (peer->loop, &peer->watch, fd);
}

static int
free_port (struct peer_zmq *peer)
{
  struct peer *each;
  struct peer *next;

  timer_disarm (loop_timers (peer->loop), &peer->resume_receive);
  loop_unwatch (peer->loop, &peer->watch);
  HASH_ITER (hh, peer->peers, each, next)
    {
      remove_peer (peer, each);
    }
  if (peer->router != NULL)
    zmq_close (peer->router);
  return 0;
}

/* Ends the I/O thread of the library once all sockets are closed, the ZAP socket included.  The
 * holder is a child of the port and is therefore freed before the other children of the parent of
 * the port. */
static int
free_context (void **context)
{
  zmq_ctx_term (*context);
  return 0;
}

static void
register_counters (struct peer_zmq *peer, struct counters *counters)
{
  peer->malformed = counter_get (counters, "cherryarch_peer_malformed_total",
                                 "Messages of peers that could not be read.", NULL);
  peer->sender_mismatch =
      counter_get (counters, "cherryarch_peer_wrong_name_total",
                   "Messages whose sender's key is not that of its name.", NULL);
  peer->not_sent = counter_get (counters, "cherryarch_peer_not_sent_total",
                                "Messages dropped for want of a connection or of room.", NULL);
  peer->messages_in = counter_get (counters, "cherryarch_peer_messages_total",
                                   "Messages between hosts.", "direction=\"in\"");
  peer->messages_out = counter_get (counters, "cherryarch_peer_messages_total",
                                    "Messages between hosts.", "direction=\"out\"");
  peer->bytes_in =
      counter_get (counters, "cherryarch_peer_bytes_total",
                   "Bytes of them, without framing, CURVE and TCP/IP.", "direction=\"in\"");
  peer->bytes_out =
      counter_get (counters, "cherryarch_peer_bytes_total",
                   "Bytes of them, without framing, CURVE and TCP/IP.", "direction=\"out\"");
}

static enum status
open_port (struct peer_zmq *peer, const struct peer_zmq_config *config)
{
  void **holder = talloc (peer, void *);
  enum status status;

  if (holder == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  peer->context = zmq_ctx_new ();
  if (peer->context == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  *holder = peer->context;
  talloc_set_destructor (holder, free_context);
  zmq_ctx_set (peer->context, ZMQ_MAX_SOCKETS, PEER_SOCKETS_MAX);
  peer->trust = peer_trust_new (peer);
  if (peer->trust == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory");
  if (peer->uses_curve
      && peer_zap_new (peer, peer->context, config->loop, config->counters, peer->trust) == NULL)
    return STATUS_IO;
  status = bind_router (peer, config->listen);
  return status == STATUS_OK ? watch_router (peer) : status;
}

static int
value_or_default (uint32_t value, int default_value)
{
  return value == 0 ? default_value : (int) value;
}

struct peer_port *
peer_zmq_new (void *parent, const struct peer_zmq_config *config)
{
  struct peer_zmq *peer = talloc_zero (parent, struct peer_zmq);

  if (peer == NULL)
    return NULL;
  peer->port.ops = &port_ops;
  peer->watch.ops = &watch_ops;
  peer->resume_receive.ops = &resume_receive_ops;
  peer->loop = config->loop;
  peer->uses_curve = config->secret_key != NULL;
  peer->queue_messages = (int) config->queue_messages;
  peer->reconnect_max_ms = value_or_default (config->reconnect_max_ms, PEER_RECONNECT_MAX_MS);
  peer->connect_timeout_ms = value_or_default (config->connect_timeout_ms, PEER_CONNECT_TIMEOUT_MS);
  peer->retransmit_max_ms = value_or_default (config->retransmit_max_ms, PEER_RETRANSMIT_MAX_MS);
  text_copy_truncated (peer->name, sizeof peer->name, config->name);
  if (peer->uses_curve)
    {
      text_copy_truncated (peer->secret_key, sizeof peer->secret_key, config->secret_key);
      text_copy_truncated (peer->public_key, sizeof peer->public_key, config->public_key);
    }
  register_counters (peer, config->counters);
  talloc_set_destructor (peer, free_port);
  if (open_port (peer, config) != STATUS_OK)
    {
      talloc_free (peer);
      return NULL;
    }
  return &peer->port;
}

uint16_t
peer_zmq_port (const struct peer_port *port)
{
  return ((const struct peer_zmq *) port)->bound_port;
}

enum status
peer_zmq_set_trusted_key (struct peer_port *port, const char *host, const char *public_key)
{
  struct peer_zmq *peer = (struct peer_zmq *) port;

  if (public_key != NULL)
    return peer_trust_add (peer->trust, host, public_key);
  peer_trust_revoke (peer->trust, host);
  return STATUS_OK;
}

void
peer_zmq_get_traffic (const struct peer_port *port, struct peer_zmq_traffic *out)
{
  *out = ((const struct peer_zmq *) port)->traffic;
}
