/* The service-time model.
 *
 * It models the shape of the curves, not a real machine: prefill is linear in the tokens that are
 * not cached and shares the engine with the batch; decoding slows a little with each call in the
 * batch (continuous batching as in Yu et al., "Orca", OSDI 2022); encoders and rerankers are linear
 * in tokens; retrieval and plain services are almost constant. */
#include "service_time.h"
#include <math.h>

struct stage_cost
{
  double fixed_usec;     /* of a call that runs alone */
  double usec_per_token; /* of input that is not cached */
  double sharing;        /* added to the factor by each other call in the batch */
  uint32_t slots;
};

static const struct stage_cost stage_costs[STAGE_KIND_COUNT] = {
  [STAGE_ENCODE] = { .fixed_usec = 3000, .usec_per_token = 12, .sharing = 0.10, .slots = 8 },
  [STAGE_RETRIEVE] = { .fixed_usec = 12000, .usec_per_token = 0.2, .sharing = 0.03, .slots = 16 },
  [STAGE_RERANK] = { .fixed_usec = 8000, .usec_per_token = 20, .sharing = 0.15, .slots = 8 },
  [STAGE_GENERATE] = { .fixed_usec = 10000, .usec_per_token = 80, .sharing = 0.20, .slots = 16 },
  [STAGE_CALL] = { .fixed_usec = 15000, .usec_per_token = 1, .sharing = 0.05, .slots = 16 },
};

#define TOKEN_FIXED_USEC 18000.0
#define TOKEN_USEC_PER_OTHER_CALL 700.0
/* Reading a cached block has a small cost. */
#define CACHED_USEC_PER_TOKEN 0.5

static double
other_calls (const struct service_load *load)
{
  return load->running > 1 ? load->running - 1 : 0;
}

int64_t
service_time_first_output (enum stage_kind kind,
                           uint32_t input_tokens,
                           uint32_t cached_tokens,
                           const struct service_load *load)
{
  const struct stage_cost *cost = &stage_costs[kind];
  uint32_t cached = cached_tokens < input_tokens ? cached_tokens : input_tokens;
  double alone;

  alone = cost->fixed_usec + cost->usec_per_token * (input_tokens - cached);
  alone += CACHED_USEC_PER_TOKEN * cached;
  return (int64_t) llround (alone * (1 + cost->sharing * other_calls (load)) * load->slowdown);
}

int64_t
service_time_per_token (const struct service_load *load)
{
  double usec = TOKEN_FIXED_USEC + TOKEN_USEC_PER_OTHER_CALL * other_calls (load);

  return (int64_t) llround (usec * load->slowdown);
}

uint32_t
service_time_slots (enum stage_kind kind)
{
  return stage_costs[kind].slots;
}
