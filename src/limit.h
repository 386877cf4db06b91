/* Limits of one organisation on one host: rate, tokens and concurrency, each times this host's
 * share of the cluster-wide limit. */
#ifndef LIMIT_H
#define LIMIT_H

#include "decls.h"
#include "resource.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* A token bucket that may go below zero by one request's cost, which it then waits off. */
struct limit_bucket
{
  double held;
  int64_t filled_at; /* 0: not yet used, starts full */
};

struct limit
{
  double share; /* of the cluster-wide limit, 0 to 1 */
  struct limit_bucket requests;
  struct limit_bucket tokens;
  uint32_t running; /* admitted and not finished */
  double demand;    /* requests a second, decayed, admitted or not */
  int64_t demand_at;
};

enum limit_verdict
{
  LIMIT_OK,
  LIMIT_REQUESTS,
  LIMIT_TOKENS,
  LIMIT_RUNNING
};

/* May a request of `tokens` pass?  Takes from the limits when it may; `retry_after` is set when
 * it may not. */
enum limit_verdict limit_take (struct limit *limit,
                               const struct organisation_spec *spec,
                               double tokens,
                               int64_t now,
                               int64_t *retry_after);

/* Give back what limit_take() took: the request was refused for another reason. */
void limit_undo (struct limit *limit, const struct organisation_spec *spec, double tokens);

/* The request is over; `unused_tokens` were asked for and not used. */
void limit_finish (struct limit *limit, const struct organisation_spec *spec, double unused_tokens);

/* Count a request for demand, admitted or not. */
void limit_demand_add (struct limit *limit, int64_t now);
double limit_demand (const struct limit *limit, int64_t now);

END_DECLS

#endif
