/* The state machine of claims: at most one grant per request, kept for its retention.
 *
 * A claim is held by an epoch of a host, settled with its outcome, released (nothing was sent; it
 * may be acquired again) or expired (its outcome is forgotten; the request is refused, not run).  A
 * claim held by an epoch that is over, because the host restarted or was declared dead, reads as
 * unknown: its holder may have sent the request.  If the holder was alive after all, its settle is
 * still accepted. */
#ifndef CLAIM_MACHINE_H
#define CLAIM_MACHINE_H

#include "claim_entry.h"
#include "consensus.h"
#include "decls.h"

BEGIN_DECLS

#define CLAIM_COUNT_MAX 100000
#define CLAIM_ANSWER_BYTES_MAX (24u << 20)
#define CLAIM_HOLDERS_MAX 4096

/* Must be the same on every replica of a group, since results depend on them.  0 selects the bound
 * above. */
struct claim_machine_config
{
  uint32_t count_max;      /* claims, including expired ones that are still remembered */
  size_t answer_bytes_max; /* of all stored answers; beyond it only outcomes are stored */
};

struct claim_machine;

struct claim_machine *claim_machine_new (void *parent, const struct claim_machine_config *config);

/* Entries are packed `struct claim_entry`, results packed `struct claim_result`. */
struct machine *claim_machine_machine (struct claim_machine *machine);

uint32_t claim_machine_count (const struct claim_machine *machine);
json_t *claim_machine_describe (const struct claim_machine *machine);

END_DECLS

#endif
