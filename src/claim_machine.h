/* The claims' state machine: at most one grant a request, remembered for its retention.
 *
 * States of a claim: held by a host's epoch, settled with its outcome, released (nothing was sent;
 * may be taken again), expired (its outcome is forgotten; it is refused, not run).  A claim held by
 * an epoch that is over, because the host started anew or was declared gone, reads as unknown: its
 * holder may have sent it.  Its settling is still taken should the holder live after all. */
#ifndef CLAIM_MACHINE_H
#define CLAIM_MACHINE_H

#include "claim_entry.h"
#include "consensus.h"
#include "decls.h"

BEGIN_DECLS

#define CLAIM_COUNT_MAX 100000
#define CLAIM_ANSWER_BYTES_MAX (24u << 20)
#define CLAIM_HOLDERS_MAX 4096

/* The same on every replica of a group: they decide what the machine answers.  A zero takes the
 * bound above. */
struct claim_machine_config
{
  uint32_t count_max;      /* claims and those expired of late */
  size_t answer_bytes_max; /* of all stored answers; over it an outcome is kept without */
};

struct claim_machine;

struct claim_machine *claim_machine_new (void *parent, const struct claim_machine_config *config);

/* Entries are packed `struct claim_entry`, results packed `struct claim_result`. */
struct machine *claim_machine_machine (struct claim_machine *machine);

uint32_t claim_machine_count (const struct claim_machine *machine);
json_t *claim_machine_describe (const struct claim_machine *machine);

END_DECLS

#endif
