/* Shared by the files of the ZeroMQ peer port: peer_zmq.c has peers and sending, peer_zmq_receive.c
 * what comes in, peer_zmq_zap.c who may connect, peer_zmq_envelope.c the form of a message. */
#ifndef PEER_ZMQ_PRIVATE_H
#define PEER_ZMQ_PRIVATE_H

#include "bytes.h"
#include "peer_zmq.h"
#include "timer.h"
#include <stdbool.h>
#include <uthash.h>

#define PEER_NAME_SIZE 64
#define PEER_KEY_SIZE 41 /* Z85 of 32 bytes, and the NUL */

#define PEER_ENVELOPE_VERSION 1

/* name, help */
#define PEER_COUNTER_LIST(X)                                                                       \
  X (messages_in, "Messages handed to a listener")                                                 \
  X (messages_out, "Messages queued for a peer")                                                   \
  X (bytes_in, "Bytes of messages received")                                                       \
  X (bytes_out, "Bytes of messages sent")                                                          \
  X (queue_full, "Messages not sent: no connection, or its queue is full")                         \
  X (refused_keys, "Connections refused: a key that no host has")                                  \
  X (dropped_malformed, "Messages dropped: not an envelope, or over the size limit")               \
  X (dropped_untrusted, "Messages dropped: the key does not belong to the host named")             \
  X (dropped_unheard, "Messages dropped: nobody listens to the channel")

enum peer_counter
{
#define X(name, help) PEER_COUNT_##name,
  PEER_COUNTER_LIST (X)
#undef X
      PEER_COUNT_N
};

/* What is known of a host: where it is, which key it must show, or both. */
struct zmq_peer
{
  char name[PEER_NAME_SIZE];
  char *address;                   /* NULL while not known */
  void *dealer;                    /* NULL while not connected to */
  char server_key[PEER_KEY_SIZE];  /* that `dealer` expects, "" without CURVE */
  char trusted_key[PEER_KEY_SIZE]; /* "" when none is */
  UT_hash_handle hh;
};

struct zmq_port
{
  struct peer_port port;
  struct loop *loop;
  char name[PEER_NAME_SIZE];
  bool curve;
  char secret_key[PEER_KEY_SIZE];
  char public_key[PEER_KEY_SIZE];
  int queue_messages;
  void *context;
  void *router;
  void *zap; /* NULL without CURVE */
  struct loop_watch router_watch;
  struct loop_watch zap_watch;
  struct timer more; /* what a turn left undone */
  uint16_t bound;
  struct peer_listener *listeners[PEER_CHANNEL_COUNT];
  struct zmq_peer *peers; /* hash by name */
  struct counter *counters[PEER_COUNT_N];
  struct peer_zmq_traffic traffic;
  struct bytes scratch; /* the message being sent */
};

struct peer_envelope
{
  char from[PEER_NAME_SIZE];
  enum peer_channel channel;
  const char *payload; /* within the message */
  size_t length;
};

static inline void
peer_count (struct zmq_port *port, enum peer_counter counter, double amount)
{
  if (port->counters[counter] != NULL)
    counter_add (port->counters[counter], amount);
}

/* peer_zmq.c */
struct zmq_peer *peer_zmq_find (struct zmq_port *port, const char *name);

/* Is this the key that the host must show now? */
bool peer_zmq_key_is (struct zmq_port *port, const char *name, const char *key);

/* Does any host have this key? */
bool peer_zmq_key_known (struct zmq_port *port, const char *key);

/* peer_zmq_receive.c */

/* Serve both sockets until nothing is left or the turn's share is done. */
void peer_zmq_serve (struct zmq_port *port, int64_t now);

/* peer_zmq_zap.c */
enum status peer_zmq_zap_open (struct zmq_port *port);

/* Answer what asks to connect; true when anything did. */
bool peer_zmq_zap_serve (struct zmq_port *port);

/* peer_zmq_envelope.c */

void peer_envelope_write (struct bytes *out,
                          const char *from,
                          enum peer_channel channel,
                          const void *payload,
                          size_t length);
enum status peer_envelope_read (struct peer_envelope *out, const void *data, size_t length);

#endif
