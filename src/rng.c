/* Seeded random numbers from the deterministic stream of libsodium. */
#include "rng.h"
#include <math.h>
#include <sodium.h>
#include <string.h>

static void
refill (struct rng *rng)
{
  uint8_t key[randombytes_SEEDBYTES] = { 0 };

  memcpy (key, &rng->seed, sizeof rng->seed);
  memcpy (key + sizeof rng->seed, &rng->block, sizeof rng->block);
  randombytes_buf_deterministic (rng->bytes, sizeof rng->bytes, key);
  rng->block++;
  rng->used = 0;
}

void
rng_init (struct rng *rng, uint64_t seed)
{
  rng->seed = seed;
  rng->block = 0;
  refill (rng);
}

uint64_t
rng_u64 (struct rng *rng)
{
  uint64_t value;

  if (rng->used + sizeof value > sizeof rng->bytes)
    refill (rng);
  memcpy (&value, rng->bytes + rng->used, sizeof value);
  rng->used += sizeof value;
  return value;
}

/* The high half of a 128-bit product maps to [0, bound) with a bias under bound / 2^64. */
uint64_t
rng_below (struct rng *rng, uint64_t bound)
{
  return (uint64_t) (((unsigned __int128) rng_u64 (rng) * bound) >> 64);
}

double
rng_unit (struct rng *rng)
{
  return (double) (rng_u64 (rng) >> 11) * 0x1.0p-53;
}

double
rng_exponential (struct rng *rng, double mean)
{
  return -mean * log1p (-rng_unit (rng));
}

/* The Box-Muller method; the second value of a pair is discarded to keep the state small. */
double
rng_normal (struct rng *rng)
{
  double radius = sqrt (-2.0 * log1p (-rng_unit (rng)));

  return radius * cos (2.0 * M_PI * rng_unit (rng));
}
