/* Interface of the replicated log: propose entries, and read after a barrier.
 *
 * Implemented by a voter (consensus_voter.c on top of raft.c, journal.c and a disk), by a host
 * without a data folder that forwards to a voter (consensus_remote.c), by a group of one in memory
 * (consensus_local.c), and by test doubles. */
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

/* The replicated state machine.  It must be deterministic: apply() depends only on the entry and
 * the state, never on a clock, an address or hash order. */
struct machine
{
  const struct machine_ops *ops;
};

struct machine_ops
{
  /* Apply a committed entry.  `result` is returned to the proposer. */
  void (*apply) (struct machine *machine,
                 uint64_t index,
                 const void *entry,
                 size_t length,
                 struct bytes *result);
  enum status (*save) (struct machine *machine, struct bytes *out);
  enum status (*load) (struct machine *machine, uint64_t index, const void *data, size_t length);
};

/* Embedded by the caller that waits for a proposal or a read.  done() is called exactly once unless
 * the proposal is withdrawn. */
struct proposal
{
  const struct proposal_ops *ops;
  void *owner; /* private to the implementation */
};

struct proposal_ops
{
  /* STATUS_OK: applied; `result` is the result of apply() (empty for a read).  With STATUS_TIMEOUT
   * and STATUS_UNAVAILABLE the entry may or may not be applied, now or later, so entries carry an
   * id by which the state machine recognises a retry. */
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
  /* On failure nothing was proposed and done() is not called. */
  enum status (*propose) (struct consensus *consensus,
                          const void *entry,
                          size_t length,
                          struct proposal *proposal,
                          int64_t deadline,
                          int64_t now);

  /* Read barrier: done(STATUS_OK) once the state machine of this host has applied everything
   * committed before the call, as confirmed by a quorum.  STATUS_UNAVAILABLE or STATUS_TIMEOUT when
   * the state machine of this host no longer applies entries, or has not caught up in time; returns
   * STATUS_UNSUPPORTED on a host without a state machine. */
  enum status (*read) (struct consensus *consensus,
                       struct proposal *proposal,
                       int64_t deadline,
                       int64_t now);
  void (*withdraw) (struct consensus *consensus, struct proposal *proposal);
  bool (*is_leader) (const struct consensus *consensus);

  /* Name of the leader's host; "" while unknown. */
  const char *(*leader) (const struct consensus *consensus);
  json_t *(*describe) (const struct consensus *consensus);

  /* The log position that answers are based on, for log lines: group, role, leader, term, and the
   * indices committed and applied on this host. */
  json_t *(*position) (const struct consensus *consensus);
};

END_DECLS

#endif
