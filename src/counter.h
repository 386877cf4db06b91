/* Counters, gauges and log-bucket histograms, written in the text exposition format.
 *
 * Parts register what they count once and keep the pointer; counting is one addition. */
#ifndef COUNTER_H
#define COUNTER_H

#include "bytes.h"
#include "decls.h"
#include <stdint.h>

BEGIN_DECLS

struct counter
{
  double value;
};

/* 16 equal buckets in each factor of two from 1 up to 2^41: a quantile is within 3.2% of the
 * sample. Samples under 1 count in the first bucket, those above in the last. */
#define HISTOGRAM_SUB 16
#define HISTOGRAM_BUCKETS (41 * HISTOGRAM_SUB)

struct histogram
{
  uint64_t count;
  double sum;
  uint64_t buckets[HISTOGRAM_BUCKETS];
};

struct counters;

/* Freed with `parent`.  NULL when memory is out. */
struct counters *counters_new (void *parent);

/* The counter of that name and label text (such as "stage=\"encode\"", NULL for none), registered
 * on first use.  Never NULL: when memory is out a shared spare is given and nothing is shown. */
struct counter *counter_get (struct counters *counters,
                             const char *name,
                             const char *help,
                             const char *labels);
struct counter *gauge_get (struct counters *counters,
                           const char *name,
                           const char *help,
                           const char *labels);
struct histogram *histogram_get (struct counters *counters,
                                 const char *name,
                                 const char *help,
                                 const char *labels);

static inline void
counter_add (struct counter *counter, double amount)
{
  counter->value += amount;
}

static inline void
gauge_set (struct counter *gauge, double value)
{
  gauge->value = value;
}

void histogram_record (struct histogram *histogram, double value);

/* The value below which a share `q` of the samples lies; 0 when empty. */
double histogram_quantile (const struct histogram *histogram, double q);

/* Everything registered, in the Prometheus text format. */
void counters_write (const struct counters *counters, struct bytes *out);

END_DECLS

#endif
