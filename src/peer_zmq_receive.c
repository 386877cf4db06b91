/* Receiving from peers: parses envelopes, authenticates senders and passes payloads to
 * listeners. */
#include "pack.h"
#include "peer_zmq_private.h"
#include <string.h>
#include <zmq.h>

/* Messages received per loop iteration, so that a message flood leaves time for other events. */
#define PEER_RECEIVE_BATCH 256

struct envelope
{
  char from[RESOURCE_NAME_SIZE];
  enum peer_channel channel;
  const void *payload;
  size_t length;
};

static bool
open_envelope (const void *data, size_t length, struct envelope *out)
{
  struct pack_reader reader;

  pack_reader_init (&reader, data, length);
  if (pack_read_array (&reader, PEER_ENVELOPE_FIELDS) != PEER_ENVELOPE_FIELDS
      || pack_read_uint (&reader, UINT32_MAX) != PEER_ENVELOPE_VERSION)
    return false;
  pack_read_text (&reader, out->from, sizeof out->from);
  out->channel = (enum peer_channel) pack_read_uint (&reader, PEER_CHANNEL_COUNT - 1);
  out->payload = pack_read_binary (&reader, PEER_MESSAGE_BYTES_MAX, &out->length);
  return pack_read_is_complete (&reader) && out->from[0] != '\0';
}

/* Prevents a host with a known key from sending in the name of another, or from continuing on an
 * open connection after its key was revoked or replaced.  Each message carries the key its
 * connection authenticated with, and the owner of that key is looked up for each message. */
static bool
sender_is_authentic (const struct peer_zmq *peer, zmq_msg_t *message, const char *from)
{
  const char *key;
  const char *host;

  if (!peer->uses_curve)
    return true;
  key = zmq_msg_gets (message, "User-Id");
  host = key == NULL ? NULL : peer_trust_find_host (peer->trust, key);
  return host != NULL && strcmp (host, from) == 0;
}

static void
dispatch_message (struct peer_zmq *peer, zmq_msg_t *message, int64_t now)
{
  struct envelope envelope;
  struct peer_listener *listener;

  peer->traffic.messages_in++;
  peer->traffic.bytes_in += zmq_msg_size (message);
  counter_add (peer->messages_in, 1);
  counter_add (peer->bytes_in, (double) zmq_msg_size (message));
  if (!open_envelope (zmq_msg_data (message), zmq_msg_size (message), &envelope))
    {
      counter_add (peer->malformed, 1);
      return;
    }
  if (!sender_is_authentic (peer, message, envelope.from))
    {
      counter_add (peer->sender_mismatch, 1);
      return;
    }
  listener = peer->listeners[envelope.channel];
  if (listener != NULL)
    listener->ops->received (listener, envelope.from, envelope.payload, envelope.length, now);
}

/* Receives one message of any number of frames.  A valid message has two: the routing id and the
 * envelope.  False when no message is pending. */
static bool
receive_message (struct peer_zmq *peer, int64_t now)
{
  unsigned frames = 0;
  int more = 1;

  while (more)
    {
      zmq_msg_t message;

      zmq_msg_init (&message);
      if (zmq_msg_recv (&message, peer->router, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&message);
          return false;
        }
      more = zmq_msg_more (&message);
      frames++;
      if (!more && frames == 2)
        dispatch_message (peer, &message, now);
      else if (!more)
        counter_add (peer->malformed, 1);
      zmq_msg_close (&message);
    }
  return true;
}

/* The ZMQ_FD descriptor is edge-triggered, so messages left after a full batch are received from
 * the timer. */
void
peer_zmq_receive (struct peer_zmq *peer, int64_t now)
{
  unsigned n = 0;

  while (n < PEER_RECEIVE_BATCH && receive_message (peer, now))
    n++;
  if (n == PEER_RECEIVE_BATCH)
    timer_arm (loop_timers (peer->loop), &peer->resume_receive, now);
}
