/* Interface between hosts: named peers and message channels, without delivery guarantee.
 *
 * A message arrives once or not at all; messages of a channel between two hosts keep their order
 * while the connection lives.  Users that need more (consensus, claims) retry and deduplicate
 * themselves.  Production uses ZeroMQ (peer_zmq.c); tests drive many instances through fakes. */
#ifndef PEER_H
#define PEER_H

#include "decls.h"
#include "status.h"
#include "usec.h"
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define PEER_MESSAGE_BYTES_MAX (4u << 20)

/* name, text */
#define PEER_CHANNEL_LIST(X)                                                                       \
  X (MEMBER, "member")         /* liveness, load, departure */                                     \
  X (DIRECTORY, "directory")   /* announcements and leases of targets */                           \
  X (CONSENSUS, "consensus")   /* consensus messages between voters */                             \
  X (PROPOSAL, "proposal")     /* proposals and reads forwarded to a voter, and their answers */   \
  X (CONFIG, "config")         /* configuration revisions to followers */                          \
  X (LIMIT, "limit")           /* shares of the limits of organisations */                         \
  X (RESULT, "result")         /* stage results sent to another failure domain */                  \
  X (LOAD, "load")             /* forwarded load reports of targets */                             \
  X (SYNC, "sync")             /* between entry hosts and controllers */                           \
  X (WORK, "work")             /* stage work sent to the host that batches it */                   \
  X (QUARANTINE, "quarantine") /* requests that crash their targets */                             \
  X (TARGET_LIMIT, "target-limit") /* rates that targets name in their answers */                  \
  X (BINDING, "binding")           /* versions that streams are bound to */                        \
  X (TARGET_LEAVE, "target-leave") /* targets that say in their answers that they leave */

enum peer_channel
{
#define X(name, text) PEER_CHANNEL_##name,
  PEER_CHANNEL_LIST (X)
#undef X
      PEER_CHANNEL_COUNT
};

struct peer_listener
{
  const struct peer_listener_ops *ops;
};

struct peer_listener_ops
{
  void (*received) (struct peer_listener *listener,
                    const char *from,
                    const void *data,
                    size_t length,
                    int64_t now);
};

struct peer_port
{
  const struct peer_port_ops *ops;
};

struct peer_port_ops
{
  /* Sets the address of a host; connects when needed.  `public_key` is the Z85 CURVE key, NULL
   * where the settings turn encryption off. */
  enum status (*set_address) (struct peer_port *port,
                              const char *host,
                              const char *address,
                              const char *public_key);
  void (*remove_host) (struct peer_port *port, const char *host);

  /* STATUS_NOT_FOUND for an unknown host, STATUS_AGAIN when its queue is full.  STATUS_OK does not
   * guarantee delivery. */
  enum status (*send) (struct peer_port *port,
                       const char *host,
                       enum peer_channel channel,
                       const void *data,
                       size_t length);

  /* Sets the listener of a channel; one listener per channel. */
  void (*set_listener) (struct peer_port *port,
                        enum peer_channel channel,
                        struct peer_listener *listener);
};

END_DECLS

#endif
