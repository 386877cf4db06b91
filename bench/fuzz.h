/* Seeded mutation of what decoders take from outside.
 *
 * One table names every decoder with valid samples, which the encoders make, so that they stay
 * valid.  The tests run it with a fixed seed under the sanitizers; `fuzz` runs it for longer. */
#ifndef FUZZ_H
#define FUZZ_H

#include "bytes.h"
#include "decls.h"
#include "rng.h"
#include "status.h"
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

struct fuzz_decoder
{
  const char *name;
  uint32_t n_samples;
  void (*sample) (uint32_t i, struct bytes *out);
  /* What it allocates belongs to `parent`. */
  enum status (*decode) (void *parent, const void *data, size_t length);
};

/* Ended by NULL. */
extern const struct fuzz_decoder *const fuzz_decoders[];

struct fuzz_result
{
  uint64_t runs;
  uint64_t taken; /* of mutated inputs, those the decoder took for valid */
  uint64_t refused;
};

/* Change `data` in one to four places: bits, bytes, lengths, cuts, repeats. */
void fuzz_mutate (struct bytes *data, struct rng *rng);

/* Decode a copy that ends where its memory ends, so that a sanitizer sees any read beyond. */
enum status fuzz_decode (const struct fuzz_decoder *decoder, const void *data, size_t length);

/* `runs` mutations of the samples in turn. */
void fuzz_run (const struct fuzz_decoder *decoder,
               uint64_t seed,
               uint64_t runs,
               struct fuzz_result *result);

/* The input that is being decoded, for who must say what crashed. */
extern struct bytes fuzz_current;

END_DECLS

#endif
