/* Learned distributions of a time by size: wide while unknown, narrow with samples.
 *
 * Each size bucket (a factor of two in tokens) keeps a log-bucket histogram whose old samples are
 * halved away, so that it follows a change within some hundred samples.  The three quantiles that
 * decisions read are kept ready, which makes a read a few instructions. */
#ifndef LEARN_H
#define LEARN_H

#include "decls.h"
#include <stdint.h>

BEGIN_DECLS

#define LEARN_SIZES 20      /* buckets of tokens, from 1 to 2^19 and above */
#define LEARN_PER_OCTAVE 4  /* a quantile is within 9% of the sample */
#define LEARN_BUCKETS 96    /* from 64 us, 24 octaves: to about 18 minutes */
#define LEARN_WINDOW 256    /* samples after which all weights are halved */
#define LEARN_MIN_SAMPLES 4 /* before which a size bucket counts as unknown */

/* Spans in microseconds. */
struct learn_span
{
  double low;    /* hardly ever less: the 5% quantile */
  double middle; /* the median */
  double high;   /* the 95% quantile */
};

struct learn_histogram
{
  float weights[LEARN_BUCKETS];
  float total;
  struct learn_span span; /* of the weights above */
};

struct learn_sizes
{
  struct learn_histogram *sizes[LEARN_SIZES]; /* NULL until the first sample */
};

/* A sample of `span` microseconds.  Histograms are allocated under `parent`; without memory the
 * sample is dropped. */
void learn_record (struct learn_sizes *learn, void *parent, uint32_t tokens, double span);

/* What is known for `tokens`, scaled from the nearest known size where this one is unknown: up in
 * proportion to the size, down not at all for `high`.  False, `out` untouched, when nothing is. */
int learn_read (const struct learn_sizes *learn, uint32_t tokens, struct learn_span *out);

static inline uint32_t
learn_size_of (uint32_t tokens)
{
  uint32_t size = tokens <= 1 ? 0 : 31 - (uint32_t) __builtin_clz (tokens);

  return size < LEARN_SIZES ? size : LEARN_SIZES - 1;
}

END_DECLS

#endif
