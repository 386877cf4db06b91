/* Claims on non-idempotent requests: the interface of the request path.
 *
 * A claim is acquired before the first byte is sent to a target and settled with the outcome.  A
 * resend of the same request gets the stored outcome and is never run again. */
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
  X (GRANTED, "granted")         /* only this requester may run it */                              \
  X (SETTLED, "settled")         /* it ran: the stored outcome and answer are returned */          \
  X (IN_FLIGHT, "in-flight")     /* held by another host or attempt that is alive */               \
  X (MISMATCH, "mismatch")       /* the same request id with another body */                       \
  X (UNKNOWN, "unknown")         /* the holder died after claiming: it may have run */             \
  X (EXPIRED, "expired")         /* past its retention: refused, not run */                        \
  X (FULL, "full")               /* the claim table is full: not run */                            \
  X (UNREACHABLE, "unreachable") /* no quorum before the deadline: not run here */

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
  int64_t issued_at_ms; /* first send, wall clock, as far as known; for retention; 0: unknown */
};

struct claim_answer
{
  enum claim_verdict verdict;
  int code;            /* HTTP status of the stored outcome, for CLAIM_SETTLED */
  const char *outcome; /* "whole", "failed" or "unknown", for CLAIM_SETTLED */
  const void *body;    /* the complete stored answer; valid during the call */
  size_t body_length;
};

struct claim_waiter
{
  const struct claim_waiter_ops *ops;
  void *owner; /* private to the implementation */
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
  /* answered() is called exactly once, after this call has returned, unless the waiter is
   * withdrawn first. */
  enum status (*acquire) (struct claims *claims,
                          const struct claim_request *request,
                          struct claim_waiter *waiter,
                          int64_t deadline,
                          int64_t now);

  /* Store the outcome.  Retried internally until it is applied or the process ends.  answered() of
   * `waiter` is called once it is applied, after this call has returned; `waiter` may be NULL.
   * STATUS_NOT_FOUND when this host holds no such claim. */
  enum status (*settle) (struct claims *claims,
                         const struct claim_key *key,
                         int code,
                         const char *outcome,
                         const void *body,
                         size_t length,
                         struct claim_waiter *waiter,
                         int64_t now);

  /* Release a granted claim: nothing was sent to any target. */
  enum status (*release) (struct claims *claims, const struct claim_key *key, int64_t now);
  void (*withdraw) (struct claims *claims, struct claim_waiter *waiter);
};

END_DECLS

#endif
