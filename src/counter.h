/* Counters, gauges and log-bucket histograms, written in the text exposition format.
 *
 * Modules register a metric once and keep the pointer; counting is one addition. */
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

/* 16 equal buckets per factor of two, from 1 up to 2^41: a quantile is within 3.2% of the sample.
 * Samples below 1 count in the first bucket, those above the range in the last. */
#define HISTOGRAM_BUCKETS_PER_OCTAVE 16
#define HISTOGRAM_BUCKETS (41 * HISTOGRAM_BUCKETS_PER_OCTAVE)

struct histogram
{
  uint64_t count;
  double sum;
  uint64_t buckets[HISTOGRAM_BUCKETS];
};

struct counters;

/* Freed with `parent`.  NULL when out of memory. */
struct counters *counters_new (void *parent);

/* The counter with that name and label text (such as "stage=\"encode\"", NULL for none), registered
 * on first use.  Never NULL: when out of memory, returns a shared counter that is not exported. */
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

/* The value below which a fraction `q` of the samples lies; 0 when empty. */
double histogram_quantile (const struct histogram *histogram, double q);

/* Writes all registered metrics in the Prometheus text format. */
void counters_write (const struct counters *counters, struct bytes *out);

END_DECLS

#endif
