/* ZAP handler on the event loop: a REP socket on which ZeroMQ sessions ask to authenticate each
 * handshake. */
#include "peer_zap.h"
#include "log.h"
#include <errno.h>
#include <string.h>
#include <talloc.h>
#include <zmq.h>

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"
#define ZAP_FRAME_MAX 256
#define ZAP_KEY_BYTES 32

/* Frames of a request, in protocol order. */
enum zap_frame
{
  ZAP_FRAME_VERSION,
  ZAP_FRAME_REQUEST,
  ZAP_FRAME_DOMAIN,
  ZAP_FRAME_ADDRESS,
  ZAP_FRAME_IDENTITY,
  ZAP_FRAME_MECHANISM,
  ZAP_FRAME_KEY,
  ZAP_FRAMES
};

struct zap_request
{
  char frames[ZAP_FRAMES][ZAP_FRAME_MAX];
  int lengths[ZAP_FRAMES];
  int n_frames;
};

struct peer_zap
{
  struct loop_watch watch;
  struct loop *loop;
  void *socket;
  const struct peer_trust *trust;
  struct counter *refused;
};

/* False when no request is pending.  Frames past the last known one are read and discarded. */
static bool
receive_request (struct peer_zap *zap, struct zap_request *out)
{
  int more = 1;

  memset (out, 0, sizeof *out);
  while (more)
    {
      char discarded[ZAP_FRAME_MAX];
      bool known = out->n_frames < ZAP_FRAMES;
      char *frame = known ? out->frames[out->n_frames] : discarded;
      int length = zmq_recv (zap->socket, frame, ZAP_FRAME_MAX - 1, ZMQ_DONTWAIT);
      size_t size = sizeof more;

      if (length < 0)
        return false;
      if (known)
        out->lengths[out->n_frames++] = length;
      if (zmq_getsockopt (zap->socket, ZMQ_RCVMORE, &more, &size) != 0)
        return false;
    }
  return true;
}

/* Writes the key of the request as Z85 text; false unless it belongs to a known host. */
static bool
is_known_key (const struct peer_zap *zap,
              const struct zap_request *request,
              char key[BOARD_KEY_SIZE])
{
  if (request->n_frames != ZAP_FRAMES || strcmp (request->frames[ZAP_FRAME_MECHANISM], "CURVE") != 0
      || request->lengths[ZAP_FRAME_KEY] != ZAP_KEY_BYTES)
    return false;
  zmq_z85_encode (key, (const uint8_t *) request->frames[ZAP_FRAME_KEY], ZAP_KEY_BYTES);
  return peer_trust_find_host (zap->trust, key) != NULL;
}

/* ZeroMQ attaches the key to every message of the connection as its "User-Id" property. */
static void
send_reply (struct peer_zap *zap, const struct zap_request *request)
{
  char key[BOARD_KEY_SIZE] = "";
  bool known = is_known_key (zap, request, key);
  const char *parts[] = { ZAP_VERSION,           request->frames[ZAP_FRAME_REQUEST],
                          known ? "200" : "400", known ? "OK" : "unknown key",
                          known ? key : "",      "" };
  size_t n_parts = sizeof parts / sizeof parts[0];
  size_t i;

  if (!known)
    {
      counter_add (zap->refused, 1);
      log_event (LOG_MODULE_PEER, LOG_LEVEL_WARNING, "key-refused", "{s:s}", "address",
                 request->frames[ZAP_FRAME_ADDRESS]);
    }
  for (i = 0; i < n_parts; i++)
    if (zmq_send (zap->socket, parts[i], strlen (parts[i]), i + 1 < n_parts ? ZMQ_SNDMORE : 0) < 0)
      return;
}

static void
readable (struct loop_watch *watch, int64_t now)
{
  struct peer_zap *zap = (struct peer_zap *) watch;
  struct zap_request request;

  (void) now;
  /* The ZMQ_FD descriptor is edge-triggered: read until no request is left. */
  while (receive_request (zap, &request))
    send_reply (zap, &request);
}

static const struct loop_watch_ops watch_ops = { .readable = readable };

static int
free_zap (struct peer_zap *zap)
{
  loop_unwatch (zap->loop, &zap->watch);
  zmq_close (zap->socket);
  return 0;
}

struct peer_zap *
peer_zap_new (void *parent,
              void *context,
              struct loop *loop,
              struct counters *counters,
              const struct peer_trust *trust)
{
  struct peer_zap *zap = talloc_zero (parent, struct peer_zap);
  size_t size = sizeof (int);
  int linger = 0;
  int fd;

  if (zap == NULL)
    return NULL;
  zap->watch.ops = &watch_ops;
  zap->loop = loop;
  zap->trust = trust;
  zap->refused = counter_get (counters, "cherryarch_peer_keys_refused_total",
                              "Handshakes of hosts whose key is not known.", NULL);
  zap->socket = zmq_socket (context, ZMQ_REP);
  if (zap->socket == NULL || zmq_setsockopt (zap->socket, ZMQ_LINGER, &linger, sizeof linger) != 0
      || zmq_bind (zap->socket, ZAP_ENDPOINT) != 0
      || zmq_getsockopt (zap->socket, ZMQ_FD, &fd, &size) != 0
      || loop_watch_fd (loop, &zap->watch, fd) != STATUS_OK)
    {
      status_fail (STATUS_IO, "cannot start the authentication of peers: %s", zmq_strerror (errno));
      if (zap->socket != NULL)
        zmq_close (zap->socket);
      talloc_free (zap);
      return NULL;
    }
  talloc_set_destructor (zap, free_zap);
  return zap;
}
