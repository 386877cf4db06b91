/* Simulation of model engines behind many entry hosts on virtual time.  Each host balances with
 * balance.c over its own load estimates (engine_load.c), which the hosts update by messages to each
 * other.  Engines prefill prompts one after another and cache the prompt parts they have read.
 *
 * It uses no clock and no socket; the same options give the same result. */
#ifndef ENGINE_MODEL_H
#define ENGINE_MODEL_H

#include "decls.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define ENGINE_MODEL_ENGINES_MAX 128
#define ENGINE_MODEL_HOSTS_MAX 128

/* What happens in the middle third of the time.  name, text */
#define ENGINE_PATTERN_LIST(X)                                                                     \
  X (STEADY, "steady")                                                                             \
  X (BURST, "burst")   /* twice as many requests */                                                \
  X (HOT, "hot")       /* half of the requests share one part */                                   \
  X (LOST, "lost")     /* a quarter of the engines fail and lose their caches */                   \
  X (SLOW, "slow")     /* a tenth of the engines read at a quarter of their rate */                \
  X (FORGET, "forget") /* all hosts restart at its start, without load estimates */

enum engine_pattern
{
#define X(name, text) ENGINE_PATTERN_##name,
  ENGINE_PATTERN_LIST (X)
#undef X
      ENGINE_PATTERN_COUNT
};

const char *engine_pattern_text (enum engine_pattern pattern);

struct engine_model_options
{
  enum engine_pattern pattern;
  uint32_t hosts;
  uint32_t engines;
  uint32_t parts; /* distinct shared prompt parts; each request has one */
  uint32_t part_tokens;
  uint32_t own_tokens; /* of each request, mean */
  double load;         /* share of prefill capacity taken by own tokens and first reads of parts */
  bool told; /* hosts are told of first output and end of a request, not only of its start */
  int64_t news_delay;
  int64_t span; /* of arrivals */
  uint64_t seed;
};

struct engine_model_result
{
  uint64_t requests;
  double wait_mean; /* from arrival to the answer's first byte, in microseconds */
  int64_t wait_p95;
  double expected_mean; /* of the wait, as estimated by the choosing host */
  uint64_t tokens_read;
  uint64_t tokens_again; /* of parts that a live engine had cached or queued already */
};

/* Sets the default options. */
void engine_model_defaults (struct engine_model_options *options);

/* False if the first reads of all parts alone use up the engines' capacity times `load`. */
bool engine_model_has_arrivals (const struct engine_model_options *options);

/* The options must have arrivals. */
void engine_model_run (const struct engine_model_options *options,
                       struct engine_model_result *result);

END_DECLS

#endif
