/* Claims on unrepeatable requests, as the request path sees them.
 *
 * A claim is taken before the first byte goes to a target and settled with the outcome; a resend
 * of the same request gets the stored outcome and is never run again. */
#ifndef CLAIM_H
#define CLAIM_H

#include "decls.h"
#include "status.h"
#include "usec.h"
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define CLAIM_HASH_SIZE 32

/* name, text */
#define CLAIM_VERDICT_LIST(X)                                                                      \
  X (GRANTED, "granted")         /* the asker alone may run it */                                  \
  X (SETTLED, "settled")         /* it ran: the outcome and answer are given */                    \
  X (IN_FLIGHT, "in-flight")     /* another host or attempt holds it and lives */                  \
  X (MISMATCH, "mismatch")       /* the same id with another body */                               \
  X (UNKNOWN, "unknown")         /* its holder died after the claim: it may have run */            \
  X (EXPIRED, "expired")         /* too old to tell: refused, not run now */                       \
  X (FULL, "full")               /* no room for another claim: not run */                          \
  X (UNREACHABLE, "unreachable") /* no quorum in time: not run by the asker */

enum claim_verdict
{
#define X(name, text) CLAIM_##name,
  CLAIM_VERDICT_LIST (X)
#undef X
      CLAIM_VERDICT_COUNT
};

const char *claim_verdict_text (enum claim_verdict verdict);

struct claim_key
{
  const char *organisation;
  const char *request_id;
};

struct claim_request
{
  struct claim_key key;
  uint8_t body_hash[CLAIM_HASH_SIZE];
  int64_t issued_at_ms; /* wall clock at the caller's first send as far as known, for retention */
};

struct claim_answer
{
  enum claim_verdict verdict;
  int code;            /* HTTP status of the stored outcome, for CLAIM_SETTLED */
  const char *outcome; /* "whole", "failed" or "unknown", for CLAIM_SETTLED */
  const void *body;    /* the whole stored answer; valid during the call */
  size_t body_length;
};

struct claim_waiter
{
  const struct claim_waiter_ops *ops;
  void *owner; /* the claims' own bookkeeping */
};

struct claim_waiter_ops
{
  void (*answered) (struct claim_waiter *waiter, const struct claim_answer *answer, int64_t now);
};

struct claims
{
  const struct claims_ops *ops;
};

struct claims_ops
{
  /* answered() comes exactly once, not during the call, unless withdrawn. */
  enum status (*take) (struct claims *claims,
                       const struct claim_request *request,
                       struct claim_waiter *waiter,
                       int64_t deadline,
                       int64_t now);

  /* Store the outcome; repeated by the claims until it is in the log or the host goes.  answered()
   * comes to `waiter` when it is there, not during the call; NULL where nobody waits. */
  enum status (*settle) (struct claims *claims,
                         const struct claim_key *key,
                         int code,
                         const char *outcome,
                         const void *body,
                         size_t length,
                         struct claim_waiter *waiter,
                         int64_t now);

  /* Give a granted claim back: nothing was sent to any target. */
  enum status (*release) (struct claims *claims, const struct claim_key *key, int64_t now);
  void (*withdraw) (struct claims *claims, struct claim_waiter *waiter);
};

END_DECLS

#endif
