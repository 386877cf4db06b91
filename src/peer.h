/* The edge between hosts: named peers, message channels, no delivery guarantee.
 *
 * A message arrives once or not at all; between two hosts messages of a channel keep their order
 * while the connection lives.  Who needs more (consensus, claims) repeats and deduplicates itself.
 * The product's implementation (peer_zmq.c) is ZeroMQ; tests drive many instances through fakes. */
#ifndef PEER_H
#define PEER_H

#include "decls.h"
#include "status.h"
#include "usec.h"
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define PEER_MESSAGE_MAX (4u << 20)

/* name, text */
#define PEER_CHANNEL_LIST(X)                                                                       \
  X (MEMBER, "member")         /* liveness, load, leaving */                                       \
  X (DIRECTORY, "directory")   /* targets' announcements and leases */                             \
  X (CONSENSUS, "consensus")   /* between voters */                                                \
  X (PROPOSAL, "proposal")     /* proposals and reads forwarded to a voter, and their answers */   \
  X (CONFIG, "config")         /* configuration revisions to followers */                          \
  X (LIMIT, "limit")           /* shares of organisations' limits */                               \
  X (RESULT, "result")         /* stage results handed to another failure domain */                \
  X (LOAD, "load")             /* targets' load reports passed on */                               \
  X (SYNC, "sync")             /* between entry hosts and controllers */                           \
  X (WORK, "work")             /* stage work handed to the host that batches it */                 \
  X (QUARANTINE, "quarantine") /* requests that end the targets that run them */

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
  /* Say where a host is; connects when needed.  `public_key` is the Z85 CURVE key, NULL where the
   * settings turn encryption off. */
  enum status (*set_address) (struct peer_port *port,
                              const char *host,
                              const char *address,
                              const char *public_key);
  void (*forget) (struct peer_port *port, const char *host);

  /* STATUS_NOT_FOUND for an unknown host, STATUS_AGAIN when its queue is full.  OK promises
   * nothing about arrival. */
  enum status (*send) (struct peer_port *port,
                       const char *host,
                       enum peer_channel channel,
                       const void *data,
                       size_t length);

  /* One listener a channel. */
  void (*listen) (struct peer_port *port,
                  enum peer_channel channel,
                  struct peer_listener *listener);
};

END_DECLS

#endif
