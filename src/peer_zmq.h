/* Messages between hosts over ZeroMQ: each host has a ROUTER and one DEALER per peer it sends
 * to. */
#ifndef PEER_ZMQ_H
#define PEER_ZMQ_H

#include "counter.h"
#include "decls.h"
#include "loop.h"
#include "peer.h"

BEGIN_DECLS

struct peer_zmq_config
{
  struct loop *loop;
  struct counters *counters;
  const char *name;       /* name of this host */
  const char *listen;     /* "ip:port" */
  const char *secret_key; /* Z85; NULL turns CURVE off */
  const char *public_key;
  uint32_t queue_messages;     /* maximum queued messages per peer */
  uint32_t reconnect_max_ms;   /* maximum interval between connection attempts; 0: the default */
  uint32_t connect_timeout_ms; /* of one connection attempt; 0: the default */
  uint32_t retransmit_max_ms;  /* closes a connection with data unacknowledged for this long; 0: the
                                  default */
};

struct peer_port *peer_zmq_new (void *parent, const struct peer_zmq_config *config);

/* The TCP port the router is bound to. */
uint16_t peer_zmq_port (const struct peer_port *port);

/* Sets the public key that a host must present.  Connections with unknown keys are refused, and a
 * message is dropped when the key of its connection does not belong to the host it names as its
 * sender.  NULL `public_key` revokes the keys of the host. */
enum status peer_zmq_set_trusted_key (struct peer_port *port,
                                      const char *host,
                                      const char *public_key);

/* Bytes and messages since the start, for measuring the idle cost. */
struct peer_zmq_traffic
{
  uint64_t messages_in;
  uint64_t messages_out;
  uint64_t bytes_in;
  uint64_t bytes_out;
};

void peer_zmq_get_traffic (const struct peer_port *port, struct peer_zmq_traffic *out);

END_DECLS

#endif
