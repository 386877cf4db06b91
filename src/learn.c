/* Decaying log-bucket histograms of a time, one per size bucket. */
#include "learn.h"
#include <math.h>
#include <talloc.h>

#define BUCKET_0_MAX_US 64.0 /* microseconds; the upper bound of bucket 0 */
#define LOW_QUANTILE 0.05
#define HIGH_QUANTILE 0.95

static uint32_t
bucket_of (double span)
{
  double octaves;

  if (!(span > BUCKET_0_MAX_US))
    return 0;
  octaves = log2 (span / BUCKET_0_MAX_US) * LEARN_PER_OCTAVE;
  return octaves < LEARN_BUCKETS - 1 ? (uint32_t) octaves + 1 : LEARN_BUCKETS - 1;
}

/* The middle of the bucket, on the log scale. */
static double
bucket_centre_us (uint32_t bucket)
{
  return BUCKET_0_MAX_US * exp2 (((double) bucket - 0.5) / LEARN_PER_OCTAVE);
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
  histogram->quantiles.low = bucket_centre_us (quantile_bucket (histogram, LOW_QUANTILE));
  histogram->quantiles.median = bucket_centre_us (quantile_bucket (histogram, 0.5));
  histogram->quantiles.high = bucket_centre_us (quantile_bucket (histogram, HIGH_QUANTILE));
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
  struct learn_histogram **slot = &learn->sizes[learn_size_bucket (tokens)];

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
find_known (const struct learn_sizes *learn, int size)
{
  if (size < 0 || size >= LEARN_SIZES || learn->sizes[size] == NULL)
    return NULL;
  return learn->sizes[size]->total >= LEARN_MIN_SAMPLES ? learn->sizes[size] : NULL;
}

int
learn_read (const struct learn_sizes *learn, uint32_t tokens, struct learn_quantiles *out)
{
  int size = (int) learn_size_bucket (tokens);
  const struct learn_histogram *histogram;
  int distance;

  for (distance = 0; distance < LEARN_SIZES; distance++)
    {
      histogram = find_known (learn, size - distance);
      if (histogram != NULL)
        {
          double up = exp2 (distance);

          *out = (struct learn_quantiles){ .low = histogram->quantiles.low,
                                           .median = histogram->quantiles.median * up,
                                           .high = histogram->quantiles.high * up };
          return 1;
        }
      histogram = find_known (learn, size + distance);
      if (histogram != NULL)
        {
          double down = exp2 (-distance);

          *out = (struct learn_quantiles){ .low = histogram->quantiles.low * down,
                                           .median = histogram->quantiles.median * down,
                                           .high = histogram->quantiles.high };
          return 1;
        }
    }
  return 0;
}
