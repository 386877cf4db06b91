/* The metrics registry and its text exposition.
 *
 * Format: the Prometheus text exposition format, version 0.0.4. */
#include "counter.h"
#include "status.h"
#include <math.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>

#define HISTOGRAM_OCTAVES (HISTOGRAM_BUCKETS / HISTOGRAM_BUCKETS_PER_OCTAVE)

/* name, text */
#define METRIC_TYPE_LIST(X)                                                                        \
  X (COUNTER, "counter")                                                                           \
  X (GAUGE, "gauge")                                                                               \
  X (HISTOGRAM, "histogram")

enum metric_type
{
#define X(name, text) METRIC_##name,
  METRIC_TYPE_LIST (X)
#undef X
};

static const char *const metric_types[] = {
#define X(name, text) [METRIC_##name] = text,
  METRIC_TYPE_LIST (X)
#undef X
};

/* One label set of a metric. */
struct series
{
  char *labels;      /* "" for none */
  void *value;       /* struct counter, or struct histogram for METRIC_HISTOGRAM */
  UT_hash_handle hh; /* by labels */
};

struct metric
{
  char *name;
  char *help;
  enum metric_type type;
  struct series *series;
  UT_hash_handle hh; /* by name */
};

struct counters
{
  struct metric *metrics;
};

/* Returned when memory is exhausted; never exported. */
static struct counter fallback_counter;
static struct histogram fallback_histogram;

static int
counters_destroy (struct counters *counters)
{
  struct metric *metric;
  struct metric *next;

  HASH_ITER (hh, counters->metrics, metric, next)
    {
      HASH_CLEAR (hh, metric->series);
    }
  HASH_CLEAR (hh, counters->metrics);
  return 0;
}

struct counters *
counters_new (void *parent)
{
  struct counters *counters = talloc_zero (parent, struct counters);

  if (counters != NULL)
    talloc_set_destructor (counters, counters_destroy);
  return counters;
}

/* The uthash macros expand to long code; the functions themselves are short.
 * NOLINTBEGIN(readability-function-size) */
static struct metric *
metric_get (struct counters *counters, const char *name, const char *help, enum metric_type type)
{
  struct metric *metric;

  HASH_FIND_STR (counters->metrics, name, metric);
  if (metric != NULL)
    {
      INVARIANT (metric->type == type);
      return metric;
    }
  metric = talloc_zero (counters, struct metric);
  if (metric == NULL)
    return NULL;
  metric->type = type;
  metric->name = talloc_strdup (metric, name);
  metric->help = talloc_strdup (metric, help == NULL ? "" : help);
  if (metric->name == NULL || metric->help == NULL)
    {
      talloc_free (metric);
      return NULL;
    }
  HASH_ADD_KEYPTR (hh, counters->metrics, metric->name, strlen (metric->name), metric);
  return metric;
}

static struct series *
series_get (struct counters *counters,
            const char *name,
            const char *help,
            const char *labels,
            enum metric_type type)
{
  struct metric *metric = metric_get (counters, name, help, type);
  const char *key = labels == NULL ? "" : labels;
  struct series *series;

  if (metric == NULL)
    return NULL;
  HASH_FIND_STR (metric->series, key, series);
  if (series != NULL)
    return series;
  series = talloc_zero (metric, struct series);
  if (series == NULL)
    return NULL;
  series->labels = talloc_strdup (series, key);
  series->value = type == METRIC_HISTOGRAM ? (void *) talloc_zero (series, struct histogram)
                                           : (void *) talloc_zero (series, struct counter);
  if (series->labels == NULL || series->value == NULL)
    {
      talloc_free (series);
      return NULL;
    }
  HASH_ADD_KEYPTR (hh, metric->series, series->labels, strlen (series->labels), series);
  return series;
}

/* NOLINTEND(readability-function-size) */

struct counter *
counter_get (struct counters *counters, const char *name, const char *help, const char *labels)
{
  struct series *series = series_get (counters, name, help, labels, METRIC_COUNTER);

  return series == NULL ? &fallback_counter : series->value;
}

struct counter *
gauge_get (struct counters *counters, const char *name, const char *help, const char *labels)
{
  struct series *series = series_get (counters, name, help, labels, METRIC_GAUGE);

  return series == NULL ? &fallback_counter : series->value;
}

struct histogram *
histogram_get (struct counters *counters, const char *name, const char *help, const char *labels)
{
  struct series *series = series_get (counters, name, help, labels, METRIC_HISTOGRAM);

  return series == NULL ? &fallback_histogram : series->value;
}

static uint32_t
find_bucket (double value)
{
  int exponent;
  double fraction;

  if (!(value >= 1))
    return 0;
  if (isinf (value))
    return HISTOGRAM_BUCKETS - 1;
  fraction = frexp (value, &exponent); /* value = fraction * 2^exponent, fraction in [0.5, 1) */
  if (exponent > HISTOGRAM_OCTAVES)
    return HISTOGRAM_BUCKETS - 1;
  return (uint32_t) (exponent - 1) * HISTOGRAM_BUCKETS_PER_OCTAVE
         + (uint32_t) ((fraction * 2 - 1) * HISTOGRAM_BUCKETS_PER_OCTAVE);
}

static double
bucket_lower (uint32_t bucket)
{
  return ldexp (1 + (double) (bucket % HISTOGRAM_BUCKETS_PER_OCTAVE) / HISTOGRAM_BUCKETS_PER_OCTAVE,
                (int) (bucket / HISTOGRAM_BUCKETS_PER_OCTAVE));
}

void
histogram_record (struct histogram *histogram, double value)
{
  histogram->count++;
  /* A NaN or infinite sample would make the sum non-finite permanently. */
  if (isfinite (value))
    histogram->sum += value;
  histogram->buckets[find_bucket (value)]++;
}

double
histogram_quantile (const struct histogram *histogram, double q)
{
  double wanted = q * (double) histogram->count;
  uint64_t below = 0;
  uint32_t i;

  if (histogram->count == 0)
    return 0;
  for (i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      below += histogram->buckets[i];
      if (below > 0 && (double) below >= wanted)
        return (bucket_lower (i) + bucket_lower (i + 1)) / 2;
    }
  return bucket_lower (HISTOGRAM_BUCKETS);
}

/* Help texts escape backslash and line feed. */
static void
write_help (struct bytes *out, const char *text)
{
  const char *c;

  for (c = text; *c != '\0'; c++)
    {
      if (*c == '\\')
        bytes_append_text (out, "\\\\");
      else if (*c == '\n')
        bytes_append_text (out, "\\n");
      else
        bytes_append (out, c, 1);
    }
}

static void
write_sample (struct bytes *out, const struct metric *metric, const char *labels, double value)
{
  if (labels[0] == '\0')
    bytes_append_format (out, "%s %.15g\n", metric->name, value);
  else
    bytes_append_format (out, "%s{%s} %.15g\n", metric->name, labels, value);
}

/* Cumulative counts at powers of two, up to the highest recorded sample. */
static void
write_histogram (struct bytes *out, const struct metric *metric, const struct series *series)
{
  const struct histogram *histogram = series->value;
  const char *labels = series->labels;
  const char *comma = labels[0] == '\0' ? "" : ",";
  uint64_t below = 0;
  uint32_t i;

  for (i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      if (i % HISTOGRAM_BUCKETS_PER_OCTAVE == 0 && below == histogram->count)
        break;
      below += histogram->buckets[i];
      if (i % HISTOGRAM_BUCKETS_PER_OCTAVE == HISTOGRAM_BUCKETS_PER_OCTAVE - 1)
        bytes_append_format (out, "%s_bucket{%s%sle=\"%.0f\"} %llu\n", metric->name, labels, comma,
                             bucket_lower (i + 1), (unsigned long long) below);
    }
  bytes_append_format (out, "%s_bucket{%s%sle=\"+Inf\"} %llu\n", metric->name, labels, comma,
                       (unsigned long long) histogram->count);
  bytes_append_format (out, labels[0] == '\0' ? "%s_sum%s %.15g\n" : "%s_sum{%s} %.15g\n",
                       metric->name, labels, histogram->sum);
  bytes_append_format (out, labels[0] == '\0' ? "%s_count%s %llu\n" : "%s_count{%s} %llu\n",
                       metric->name, labels, (unsigned long long) histogram->count);
}

void
counters_write (const struct counters *counters, struct bytes *out)
{
  const struct metric *metric;
  const struct series *series;

  for (metric = counters->metrics; metric != NULL; metric = metric->hh.next)
    {
      bytes_append_format (out, "# HELP %s ", metric->name);
      write_help (out, metric->help);
      bytes_append_format (out, "\n# TYPE %s %s\n", metric->name, metric_types[metric->type]);
      for (series = metric->series; series != NULL; series = series->hh.next)
        {
          if (metric->type == METRIC_HISTOGRAM)
            write_histogram (out, metric, series);
          else
            write_sample (out, metric, series->labels, ((struct counter *) series->value)->value);
        }
    }
}
