/* Which public keys belong to which hosts. */
#ifndef PEER_TRUST_H
#define PEER_TRUST_H

#include "board.h"
#include "decls.h"
#include "status.h"

BEGIN_DECLS

#define PEER_TRUST_MAX 2048

/* A host has two keys while it changes from one to the next; a third drops the oldest. */
#define PEER_TRUST_KEYS_PER_HOST 2

struct peer_trust;

struct peer_trust *peer_trust_new (void *parent);

/* Z85 text.  STATUS_INVALID for what is no key, STATUS_CONFLICT for another host's key,
 * STATUS_LIMIT when the table is full. */
enum status peer_trust_add (struct peer_trust *trust, const char *host, const char *public_key);
void peer_trust_revoke (struct peer_trust *trust, const char *host);

/* The host whose key it is, NULL for an unknown key. */
const char *peer_trust_host (const struct peer_trust *trust, const char *public_key);

END_DECLS

#endif
