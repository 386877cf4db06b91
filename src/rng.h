/* Seeded random numbers, reproducible from the seed (deterministic stream of libsodium). */
#ifndef RNG_H
#define RNG_H

#include "decls.h"
#include <stdint.h>

BEGIN_DECLS

struct rng
{
  uint64_t seed;
  uint64_t block; /* blocks generated so far, part of the stream key */
  uint32_t used;  /* bytes used of `bytes` */
  uint8_t bytes[512];
};

void rng_init (struct rng *rng, uint64_t seed);
uint64_t rng_u64 (struct rng *rng);

/* Uniform in [0, bound); 0 when bound is 0. */
uint64_t rng_below (struct rng *rng, uint64_t bound);

/* Uniform in [0, 1). */
double rng_unit (struct rng *rng);

/* Exponential with the given mean. */
double rng_exponential (struct rng *rng, double mean);

/* Standard normal. */
double rng_normal (struct rng *rng);

END_DECLS

#endif
