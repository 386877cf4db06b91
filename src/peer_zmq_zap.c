/* Who may connect: the ZeroMQ authentication protocol (RFC 27), answered in the loop.
 *
 * A connection is let in when its CURVE key is one that a host must show.  Which host it speaks for
 * is checked message by message (peer_zmq_receive.c), so that taking trust away holds at once also
 * for connections that are there. */
#include "peer_zmq_private.h"
#include <string.h>
#include <zmq.h>

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_PROTOCOL "1.0"
#define ZAP_FRAME_MAX 256
#define ZAP_KEY_BYTES 32

/* name; the frames of a request, in their order */
#define ZAP_FRAME_LIST(X)                                                                          \
  X (VERSION)                                                                                      \
  X (REQUEST_ID)                                                                                   \
  X (DOMAIN)                                                                                       \
  X (ADDRESS)                                                                                      \
  X (IDENTITY)                                                                                     \
  X (MECHANISM)                                                                                    \
  X (CREDENTIALS)

enum zap_frame
{
#define X(name) ZAP_##name,
  ZAP_FRAME_LIST (X)
#undef X
      ZAP_FRAMES
};

struct zap_request
{
  char frames[ZAP_FRAMES][ZAP_FRAME_MAX];
  int lengths[ZAP_FRAMES]; /* above ZAP_FRAME_MAX where cut */
  int count;
};

enum status
peer_zmq_zap_open (struct zmq_port *port)
{
  static const int linger = 0;

  port->zap = zmq_socket (port->context, ZMQ_REP);
  if (port->zap == NULL || zmq_setsockopt (port->zap, ZMQ_LINGER, &linger, sizeof linger) != 0
      || zmq_bind (port->zap, ZAP_ENDPOINT) != 0)
    return status_fail (STATUS_IO, "cannot check peers' keys: %s", zmq_strerror (zmq_errno ()));
  return STATUS_OK;
}

static bool
receive (void *zap, struct zap_request *request)
{
  char spare[ZAP_FRAME_MAX];
  int more = 1;

  request->count = 0;
  while (more)
    {
      size_t size = sizeof more;
      bool kept = request->count < ZAP_FRAMES;
      int length = zmq_recv (zap, kept ? request->frames[request->count] : spare, ZAP_FRAME_MAX,
                             ZMQ_DONTWAIT);

      if (length < 0)
        return false;
      if (kept)
        request->lengths[request->count] = length;
      request->count++;
      zmq_getsockopt (zap, ZMQ_RCVMORE, &more, &size);
    }
  return true;
}

/* The Z85 key of an acceptable connection; false refuses it. */
static bool
accepted_key (struct zmq_port *port, const struct zap_request *request, char key[PEER_KEY_SIZE])
{
  if (request->count != ZAP_FRAMES || request->lengths[ZAP_MECHANISM] != 5
      || memcmp (request->frames[ZAP_MECHANISM], "CURVE", 5) != 0
      || request->lengths[ZAP_CREDENTIALS] != ZAP_KEY_BYTES)
    return false;
  if (zmq_z85_encode (key, (const uint8_t *) request->frames[ZAP_CREDENTIALS], ZAP_KEY_BYTES)
      == NULL)
    return false;
  return peer_zmq_key_known (port, key);
}

static void
answer (void *zap, const struct zap_request *request, const char *code, const char *user)
{
  int id_length = request->count > ZAP_REQUEST_ID ? request->lengths[ZAP_REQUEST_ID] : 0;

  if (id_length > ZAP_FRAME_MAX)
    id_length = ZAP_FRAME_MAX;
  zmq_send (zap, ZAP_PROTOCOL, strlen (ZAP_PROTOCOL), ZMQ_SNDMORE);
  zmq_send (zap, request->frames[ZAP_REQUEST_ID], (size_t) id_length, ZMQ_SNDMORE);
  zmq_send (zap, code, strlen (code), ZMQ_SNDMORE);
  zmq_send (zap, "", 0, ZMQ_SNDMORE);
  zmq_send (zap, user, strlen (user), ZMQ_SNDMORE);
  zmq_send (zap, "", 0, 0);
}

bool
peer_zmq_zap_serve (struct zmq_port *port)
{
  struct zap_request request;
  char key[PEER_KEY_SIZE];
  bool any = false;

  while (port->zap != NULL && receive (port->zap, &request))
    {
      any = true;
      if (accepted_key (port, &request, key))
        answer (port->zap, &request, "200", key);
      else
        {
          peer_count (port, PEER_COUNT_refused_keys, 1);
          answer (port->zap, &request, "400", "");
        }
    }
  return any;
}
