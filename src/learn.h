/* Learned distribution of a time by size: wide with few samples, narrower with more.
 *
 * Each size bucket (a factor of two in tokens) is a log-bucket histogram whose weights are halved
 * regularly, so that it follows a change within a few hundred samples.  The three quantiles that
 * decisions read are computed at each sample, so that a read takes a few instructions. */
#ifndef LEARN_H
#define LEARN_H

#include "decls.h"
#include <stdint.h>

BEGIN_DECLS

#define LEARN_SIZES 20      /* buckets of tokens, from 1 to 2^19 and above */
#define LEARN_PER_OCTAVE 4  /* error of a quantile: 9% at most */
#define LEARN_BUCKETS 96    /* 24 octaves from 64 us, to about 18 minutes */
#define LEARN_WINDOW 256    /* samples after which all weights are halved */
#define LEARN_MIN_SAMPLES 4 /* a size bucket with fewer counts as unknown */

/* Quantiles of a time, in microseconds. */
struct learn_quantiles
{
  double low;    /* the 5% quantile */
  double median; /* the median */
  double high;   /* the 95% quantile */
};

struct learn_histogram
{
  float weights[LEARN_BUCKETS];
  float total;
  struct learn_quantiles quantiles; /* quantiles of the weights */
};

struct learn_sizes
{
  struct learn_histogram *sizes[LEARN_SIZES]; /* NULL until the first sample */
};

/* Adds a sample of `span` microseconds.  Histograms are allocated under `parent`; when out of
 * memory the sample is dropped. */
void learn_record (struct learn_sizes *learn, void *parent, uint32_t tokens, double span);

/* Reads the quantiles for `tokens`.  When the size is unknown they are scaled from the nearest
 * known one in proportion to the size, but `low` is not scaled up and `high` is not scaled down. 0,
 * and `out` unchanged, when no size is known. */
int learn_read (const struct learn_sizes *learn, uint32_t tokens, struct learn_quantiles *out);

static inline uint32_t
learn_size_bucket (uint32_t tokens)
{
  uint32_t size = tokens <= 1 ? 0 : 31 - (uint32_t) __builtin_clz (tokens);

  return size < LEARN_SIZES ? size : LEARN_SIZES - 1;
}

END_DECLS

#endif
