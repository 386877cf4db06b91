/* Rate limits of one organisation on one host: request rate, token rate and concurrency, each the
 * cluster-wide limit times this host's share. */
#ifndef LIMIT_H
#define LIMIT_H

#include "decls.h"
#include "resource.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* A token bucket that may go negative by one request's cost; it then refills before the next.  It
 * starts full: each start of a process admits this host's share of the burst anew. */
struct limit_bucket
{
  double level;
  int64_t filled_at; /* time of the last refill; 0: unused, starts full */
};

struct limit
{
  double share; /* of the cluster-wide limit, 0 to 1 */
  struct limit_bucket requests;
  struct limit_bucket tokens;
  uint32_t running; /* admitted requests that have not ended */
  double demand;    /* requests per second, admitted or not, decayed */
  int64_t demand_at;
};

enum limit_verdict
{
  LIMIT_OK,
  LIMIT_REQUESTS,
  LIMIT_TOKENS,
  LIMIT_RUNNING
};

/* Checks a request of `tokens` against the limits.  LIMIT_OK takes it from the limits; otherwise
 * the result is the exceeded limit, and `retry_after` is set, in microseconds. */
enum limit_verdict limit_take (struct limit *limit,
                               const struct organisation_spec *spec,
                               double tokens,
                               int64_t now,
                               int64_t *retry_after);

/* Reverts limit_take() for a request that was refused for another reason. */
void limit_undo (struct limit *limit, const struct organisation_spec *spec, double tokens);

/* Records the end of a request; `unused_tokens` of those taken are returned. */
void limit_finish (struct limit *limit, const struct organisation_spec *spec, double unused_tokens);

/* Counts a request in the demand, admitted or not. */
void limit_demand_add (struct limit *limit, int64_t now);
double limit_demand (const struct limit *limit, int64_t now);

END_DECLS

#endif
