/* Decaying log-bucket histograms of a time, one per size bucket. */
#include "learn.h"
#include <math.h>
#include <talloc.h>

#define FIRST_SPAN 64.0 /* microseconds; the upper bound of bucket 0 */
#define LOW_QUANTILE 0.05
#define HIGH_QUANTILE 0.95

static uint32_t
bucket_of (double span)
{
  double octaves;

  if (!(span > FIRST_SPAN))
    return 0;
  octaves = log2 (span / FIRST_SPAN) * LEARN_PER_OCTAVE;
  return octaves < LEARN_BUCKETS - 1 ? (uint32_t) octaves + 1 : LEARN_BUCKETS - 1;
}

/* The middle of the bucket, on the log scale. */
static double
span_of (uint32_t bucket)
{
  return FIRST_SPAN * exp2 (((double) bucket - 0.5) / LEARN_PER_OCTAVE);
}

static uint32_t
quantile_bucket (const struct learn_histogram *histogram, double share)
{
  double below = histogram->total * share;
  uint32_t i;

  for (i = 0; i < LEARN_BUCKETS - 1; i++)
    {
      below -= histogram->weights[i];
      if (below < 0)
        break;
    }
  return i;
}

static void
refresh (struct learn_histogram *histogram)
{
  histogram->span.low = span_of (quantile_bucket (histogram, LOW_QUANTILE));
  histogram->span.middle = span_of (quantile_bucket (histogram, 0.5));
  histogram->span.high = span_of (quantile_bucket (histogram, HIGH_QUANTILE));
}

static void
halve (struct learn_histogram *histogram)
{
  uint32_t i;

  for (i = 0; i < LEARN_BUCKETS; i++)
    histogram->weights[i] /= 2;
  histogram->total /= 2;
}

void
learn_record (struct learn_sizes *learn, void *parent, uint32_t tokens, double span)
{
  struct learn_histogram **slot = &learn->sizes[learn_size_of (tokens)];

  if (*slot == NULL)
    *slot = talloc_zero (parent, struct learn_histogram);
  if (*slot == NULL)
    return;
  (*slot)->weights[bucket_of (span)] += 1;
  (*slot)->total += 1;
  if ((*slot)->total >= LEARN_WINDOW)
    halve (*slot);
  refresh (*slot);
}

static const struct learn_histogram *
known (const struct learn_sizes *learn, int size)
{
  if (size < 0 || size >= LEARN_SIZES || learn->sizes[size] == NULL)
    return NULL;
  return learn->sizes[size]->total >= LEARN_MIN_SAMPLES ? learn->sizes[size] : NULL;
}

int
learn_read (const struct learn_sizes *learn, uint32_t tokens, struct learn_span *out)
{
  int size = (int) learn_size_of (tokens);
  const struct learn_histogram *histogram;
  int distance;

  for (distance = 0; distance < LEARN_SIZES; distance++)
    {
      histogram = known (learn, size - distance);
      if (histogram != NULL)
        {
          double up = exp2 (distance);

          *out = (struct learn_span){ .low = histogram->span.low,
                                      .middle = histogram->span.middle * up,
                                      .high = histogram->span.high * up };
          return 1;
        }
      histogram = known (learn, size + distance);
      if (histogram != NULL)
        {
          double down = exp2 (-distance);

          *out = (struct learn_span){ .low = histogram->span.low * down,
                                      .middle = histogram->span.middle * down,
                                      .high = histogram->span.high };
          return 1;
        }
    }
  return 0;
}
