/* The replicated log as its users see it: propose an entry, read after a barrier.
 *
 * Behind the vtable stands a voter (consensus_voter.c over raft.c, journal.c and a disk), a host
 * that is not a voter and forwards to one (consensus_remote.c), or, in tests, something that
 * applies at once. */
#ifndef CONSENSUS_H
#define CONSENSUS_H

#include "bytes.h"
#include "decls.h"
#include "status.h"
#include "usec.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

/* The replicated state machine.  Deterministic: what apply() does depends on the entry and on the
 * state alone, never on a clock, an address or a hash order. */
struct machine
{
  const struct machine_ops *ops;
};

struct machine_ops
{
  /* Apply a committed entry; `result` goes back to who proposed it. */
  void (*apply) (struct machine *machine,
                 uint64_t index,
                 const void *entry,
                 size_t length,
                 struct bytes *result);
  enum status (*save) (struct machine *machine, struct bytes *out);
  enum status (*load) (struct machine *machine, uint64_t index, const void *data, size_t length);
};

/* Embedded by who waits for a proposal or a read.  done() comes exactly once unless withdrawn. */
struct proposal
{
  const struct proposal_ops *ops;
  void *owner; /* the consensus's own bookkeeping */
};

struct proposal_ops
{
  /* OK: applied, `result` is the machine's answer (for a read: empty).  STATUS_TIMEOUT and
   * STATUS_UNAVAILABLE leave it open whether the entry was or will be applied, so entries carry
   * an id by which the machine recognises a resend. */
  void (*done) (struct proposal *proposal,
                enum status status,
                const void *result,
                size_t length,
                int64_t now);
};

struct consensus
{
  const struct consensus_ops *ops;
};

struct consensus_ops
{
  /* A failure returned here means nothing was proposed and done() will not come. */
  enum status (*propose) (struct consensus *consensus,
                          const void *entry,
                          size_t length,
                          struct proposal *proposal,
                          int64_t deadline,
                          int64_t now);

  /* A barrier: done(OK) when this host's machine holds everything committed before the call, as
   * confirmed by a quorum; STATUS_UNAVAILABLE or a timeout on a host whose machine takes in nothing
   * any more, or not yet; STATUS_UNSUPPORTED at once on one without a machine. */
  enum status (*read) (struct consensus *consensus,
                       struct proposal *proposal,
                       int64_t deadline,
                       int64_t now);
  void (*withdraw) (struct consensus *consensus, struct proposal *proposal);
  bool (*is_leader) (const struct consensus *consensus);

  /* "" while unknown. */
  const char *(*leader) (const struct consensus *consensus);
  json_t *(*describe) (const struct consensus *consensus);

  /* What an answer given now rests on, for a log line: group, role, leader, term, and the indices
   * committed and applied here. */
  json_t *(*position) (const struct consensus *consensus);
};

END_DECLS

#endif
