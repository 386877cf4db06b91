/* What peers send: envelopes opened, their senders checked, payloads handed to listeners. */
#include "peer_zmq_private.h"
#include <string.h>
#include <zmq.h>

/* Messages handed over in one turn of the loop, so that a burst does not hold up callers. */
#define RECEIVE_BATCH 256

/* With CURVE a message counts only while its connection's key is the one that the named host must
 * show.  That refuses a host that names another, and one whose key was revoked or replaced after
 * it connected. */
static bool
is_trusted (struct zmq_port *port, zmq_msg_t *message, const char *from)
{
  const char *key;

  if (!port->curve)
    return true;
  key = zmq_msg_gets (message, "User-Id");
  return key != NULL && peer_zmq_key_is (port, from, key);
}

static void
hand_over (struct zmq_port *port, zmq_msg_t *message, int64_t now)
{
  struct peer_envelope envelope;
  struct peer_listener *listener;
  size_t length = zmq_msg_size (message);

  port->traffic.bytes_in += length;
  peer_count (port, PEER_COUNT_bytes_in, (double) length);
  if (peer_envelope_read (&envelope, zmq_msg_data (message), length) != STATUS_OK)
    {
      peer_count (port, PEER_COUNT_dropped_malformed, 1);
      return;
    }
  if (!is_trusted (port, message, envelope.from))
    {
      peer_count (port, PEER_COUNT_dropped_untrusted, 1);
      return;
    }
  listener = port->listeners[envelope.channel];
  if (listener == NULL)
    {
      peer_count (port, PEER_COUNT_dropped_unheard, 1);
      return;
    }
  port->traffic.messages_in++;
  peer_count (port, PEER_COUNT_messages_in, 1);
  listener->ops->received (listener, envelope.from, envelope.payload, envelope.length, now);
}

/* One message of the router: the connection's identity, then exactly one frame. */
static bool
receive_one (struct zmq_port *port, int64_t now)
{
  zmq_msg_t first;
  zmq_msg_t frame;
  int frames = 0;

  zmq_msg_init (&first);
  if (zmq_msg_recv (&first, port->router, ZMQ_DONTWAIT) < 0)
    {
      zmq_msg_close (&first);
      return false;
    }
  zmq_msg_init (&frame);
  for (int more = zmq_msg_more (&first); more; frames++)
    {
      zmq_msg_t spare;

      zmq_msg_init (&spare);
      if (zmq_msg_recv (frames == 0 ? &frame : &spare, port->router, ZMQ_DONTWAIT) < 0)
        more = 0;
      else
        more = zmq_msg_more (frames == 0 ? &frame : &spare);
      zmq_msg_close (&spare);
    }
  if (frames == 1)
    hand_over (port, &frame, now);
  else
    peer_count (port, PEER_COUNT_dropped_malformed, 1);
  zmq_msg_close (&frame);
  zmq_msg_close (&first);
  return true;
}

/* The sockets' descriptors are edge-triggered: they say once that something came.  So both are
 * served until they are empty, again after each other, since answering a key can let messages in;
 * and what a turn leaves is taken up by a timer rather than by the descriptor. */
void
peer_zmq_serve (struct zmq_port *port, int64_t now)
{
  int left = RECEIVE_BATCH;
  bool any = true;

  while (any && left > 0)
    {
      any = peer_zmq_zap_serve (port);
      while (left > 0 && receive_one (port, now))
        {
          any = true;
          left--;
        }
    }
  if (left == 0)
    timer_arm (loop_timers (port->loop), &port->more, now);
}
