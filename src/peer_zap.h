/* The answers to ZeroMQ's authentication requests (ZAP, RFC 27): known keys in, all others out. */
#ifndef PEER_ZAP_H
#define PEER_ZAP_H

#include "counter.h"
#include "decls.h"
#include "loop.h"
#include "peer_trust.h"

BEGIN_DECLS

struct peer_zap;

/* Must be there before the first CURVE socket of `context`: without it a handshake is let in.
 * NULL with status_message(). */
struct peer_zap *peer_zap_new (void *parent,
                               void *context,
                               struct loop *loop,
                               struct counters *counters,
                               const struct peer_trust *trust);

END_DECLS

#endif
