/* Public keys of hosts. */
#ifndef PEER_TRUST_H
#define PEER_TRUST_H

#include "board.h"
#include "decls.h"
#include "status.h"

BEGIN_DECLS

#define PEER_TRUST_KEYS_MAX 2048

/* A host has two keys during a key rotation; adding a third removes the oldest. */
#define PEER_TRUST_KEYS_PER_HOST 2

struct peer_trust;

struct peer_trust *peer_trust_new (void *parent);

/* `public_key` is Z85 text.  STATUS_INVALID for a malformed key, STATUS_CONFLICT for a key of
 * another host, STATUS_LIMIT when the table is full. */
enum status peer_trust_add (struct peer_trust *trust, const char *host, const char *public_key);
void peer_trust_revoke (struct peer_trust *trust, const char *host);

/* The host that owns the key, NULL for an unknown key. */
const char *peer_trust_find_host (const struct peer_trust *trust, const char *public_key);

END_DECLS

#endif
