/* Seeded mutation of the input of decoders of external data.
 *
 * One table lists every decoder with valid samples.  The encoders make the samples, so that they
 * stay valid.  The tests run it with a fixed seed under the sanitizers; `fuzz` runs it longer. */
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
  /* Allocates under `parent`. */
  enum status (*decode) (void *parent, const void *data, size_t length);
};

/* Terminated by NULL. */
extern const struct fuzz_decoder *const fuzz_decoders[];

struct fuzz_result
{
  uint64_t runs;
  uint64_t accepted; /* mutated inputs that the decoder accepted */
  uint64_t rejected;
};

/* Applies one to four random mutations to `data`: changed bits, bytes and lengths, removed and
 * repeated slices. */
void fuzz_mutate (struct bytes *data, struct rng *rng);

/* Decodes a copy of exactly `length` bytes, so that a sanitizer reports any read past the end. */
enum status fuzz_decode (const struct fuzz_decoder *decoder, const void *data, size_t length);

/* Decodes `runs` mutated inputs, taking the samples in turn. */
void fuzz_run (const struct fuzz_decoder *decoder,
               uint64_t seed,
               uint64_t runs,
               struct fuzz_result *result);

/* The input being decoded, for crash reports. */
extern struct bytes fuzz_current_input;

END_DECLS

#endif
