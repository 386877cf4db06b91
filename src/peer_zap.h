/* Handler of the authentication requests of ZeroMQ (ZAP, RFC 27): accepts known keys and refuses
 * all others. */
#ifndef PEER_ZAP_H
#define PEER_ZAP_H

#include "counter.h"
#include "decls.h"
#include "loop.h"
#include "peer_trust.h"

BEGIN_DECLS

struct peer_zap;

/* Must exist before the first CURVE socket of `context`: without a handler every handshake is
 * accepted.  NULL with status_message() on failure. */
struct peer_zap *peer_zap_new (void *parent,
                               void *context,
                               struct loop *loop,
                               struct counters *counters,
                               const struct peer_trust *trust);

END_DECLS

#endif
