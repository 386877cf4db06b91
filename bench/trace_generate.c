/* Generates traces from a seed.
 *
 * Arrivals are Poisson with a rate that steps up in the middle third.  A document (a case file, a
 * ledger) has a lognormal body and a Pareto tail of sizes, and is the subject of several
 * requests, recent ones most often, which is what gives prefix caches hits.  In the burst, half of
 * the requests come from the largest organisation and half of the documents requested are new, like
 * the case files of a cancelled flight. */
#include "rng.h"
#include "site.h"
#include "text.h"
#include "trace.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define DOCUMENTS_KNOWN 200 /* ring buffer of the documents that requests still refer to */
#define DOCUMENT_SIGMA 0.9
#define DOCUMENT_TOKENS_MIN 200
#define DOCUMENT_TOKENS_MAX 60000
#define TAIL_SHARE 0.04       /* of documents from the Pareto tail */
#define TAIL_START_FACTOR 5.0 /* times the median */
#define TAIL_ALPHA 1.3
#define QUESTION_MEDIAN_TOKENS 60.0
#define QUESTION_SIGMA 0.7
#define QUESTION_MAX_TOKENS 1000
#define NEW_DOCUMENT_SHARE 0.25
#define NEW_DOCUMENT_SHARE_BURST 0.5
#define LARGEST_SHARE_BURST 0.5 /* of the burst's requests from the largest organisation */

struct document
{
  uint32_t number;
  uint32_t tokens;
};

struct generator
{
  const struct site *site;
  struct rng rng;
  struct document documents[SITE_PIPELINES_MAX][DOCUMENTS_KNOWN];
  uint32_t made[SITE_PIPELINES_MAX]; /* by group of pipelines with the same median size */
  uint32_t last_number;
  bool in_burst;
};

/* Pipelines with the same document median share documents; the first of them identifies the
 * group. */
static uint32_t
document_group (const struct site *site, uint32_t pipeline)
{
  uint32_t group = 0;

  while (site->pipelines[group].document_median != site->pipelines[pipeline].document_median)
    group++;
  return group;
}

static uint32_t
clamp_tokens (double tokens, double min, double max)
{
  return (uint32_t) fmin (fmax (tokens, min), max);
}

static uint32_t
document_tokens (struct generator *generator, double median)
{
  double tokens = median * exp (DOCUMENT_SIGMA * rng_normal (&generator->rng));

  if (rng_unit (&generator->rng) < TAIL_SHARE)
    tokens = TAIL_START_FACTOR * median * pow (1 - rng_unit (&generator->rng), -1 / TAIL_ALPHA);
  return clamp_tokens (tokens, DOCUMENT_TOKENS_MIN, DOCUMENT_TOKENS_MAX);
}

static const struct document *
pick_document (struct generator *generator, uint32_t pipeline)
{
  uint32_t group = document_group (generator->site, pipeline);
  uint32_t *made = &generator->made[group];
  uint32_t known = *made < DOCUMENTS_KNOWN ? *made : DOCUMENTS_KNOWN;
  double fresh = generator->in_burst ? NEW_DOCUMENT_SHARE_BURST : NEW_DOCUMENT_SHARE;
  struct document *document;
  double back;

  if (known == 0 || rng_unit (&generator->rng) < fresh)
    {
      document = &generator->documents[group][(*made)++ % DOCUMENTS_KNOWN];
      document->number = ++generator->last_number;
      document->tokens =
          document_tokens (generator, generator->site->pipelines[pipeline].document_median);
      return document;
    }
  /* Squaring biases the choice towards recent documents. */
  back = rng_unit (&generator->rng);
  back = back * back * known;
  return &generator->documents[group][(*made - 1 - (uint32_t) back) % DOCUMENTS_KNOWN];
}

static uint32_t
pick_pipeline (struct generator *generator)
{
  double at = rng_unit (&generator->rng);
  uint32_t i = 0;

  while (i + 1 < generator->site->n_pipelines && at >= generator->site->pipelines[i].share)
    at -= generator->site->pipelines[i++].share;
  return i;
}

static const char *
pick_organisation (struct generator *generator)
{
  double at = rng_unit (&generator->rng);
  uint32_t i = 0;

  if (generator->in_burst && rng_unit (&generator->rng) < LARGEST_SHARE_BURST)
    return generator->site->organisations[0].name;
  while (i + 1 < SITE_ORGANISATIONS && at >= generator->site->organisations[i].share)
    at -= generator->site->organisations[i++].share;
  return generator->site->organisations[i].name;
}

static void
fill_request (struct generator *generator, struct trace_request *request)
{
  uint32_t index = pick_pipeline (generator);
  const struct site_pipeline *pipeline = &generator->site->pipelines[index];
  double question = QUESTION_MEDIAN_TOKENS * exp (QUESTION_SIGMA * rng_normal (&generator->rng));

  text_copy_truncated (request->organisation, sizeof request->organisation,
                       pick_organisation (generator));
  text_copy_truncated (request->pipeline, sizeof request->pipeline, pipeline->name);
  request->service = strcmp (pipeline->stages, "C") == 0;
  request->repeatable = pipeline->repeatable;
  request->priority = pipeline->priority;
  request->deadline = pipeline->deadline;
  request->input_tokens = clamp_tokens (question, 16, QUESTION_MAX_TOKENS);
  if (pipeline->output_max > 0)
    request->output_tokens =
        pipeline->output_min
        + (uint32_t) rng_below (&generator->rng, pipeline->output_max - pipeline->output_min + 1);
  if (pipeline->document_median > 0)
    {
      const struct document *document = pick_document (generator, index);

      request->document = document->number;
      request->prefix_tokens = document->tokens;
      request->input_tokens += document->tokens;
    }
}

static double
rate_at (int64_t at, int64_t length, double rate, double burst)
{
  bool middle = at >= length / 3 && at < 2 * (length / 3);

  return middle ? rate * burst : rate;
}

struct trace *
trace_generate (
    void *parent, enum trace_site site, uint64_t seed, int64_t length, double rate, double burst)
{
  struct trace *trace = talloc_zero (parent, struct trace);
  struct generator *generator = talloc_zero (trace, struct generator);
  double top = rate * fmax (burst, 1);
  uint32_t capacity = 0;
  double at = 0;

  generator->site = site_get (site);
  rng_init (&generator->rng, seed);
  for (;;)
    {
      double now_rate;
      struct trace_request *request;

      /* Thinning: draw at the peak rate, and accept in proportion to the current rate. */
      at += rng_exponential (&generator->rng, USEC_PER_SEC / top);
      if (at >= (double) length)
        break;
      now_rate = rate_at ((int64_t) at, length, rate, burst);
      if (rng_unit (&generator->rng) * top >= now_rate)
        continue;
      if (trace->count == capacity)
        {
          capacity = capacity ? 2 * capacity : 256;
          trace->requests = talloc_realloc (trace, trace->requests, struct trace_request, capacity);
          INVARIANT (trace->requests);
        }
      generator->in_burst = burst > 1 && now_rate > rate;
      request = &trace->requests[trace->count];
      *request = (struct trace_request){ .at = (int64_t) at };
      snprintf (request->id, sizeof request->id, "%s-%llu-%06u", generator->site->name,
                (unsigned long long) seed, trace->count);
      fill_request (generator, request);
      trace->count++;
    }
  talloc_free (generator);
  return trace;
}

static int
compare_arrivals (const void *a, const void *b)
{
  const struct trace_request *x = a;
  const struct trace_request *y = b;

  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return strcmp (x->id, y->id);
}

void
trace_flood (struct trace *trace,
             enum trace_site site,
             uint64_t seed,
             int64_t length,
             double rate,
             const char *organisation)
{
  struct trace *flood = trace_generate (trace, site, seed, length, rate, 1);
  uint32_t count = trace->count + flood->count;

  trace->requests = talloc_realloc (trace, trace->requests, struct trace_request, count);
  INVARIANT (trace->requests);
  for (uint32_t i = 0; i < flood->count; i++)
    {
      struct trace_request *request = &flood->requests[i];

      text_copy_truncated (request->organisation, sizeof request->organisation, organisation);
      snprintf (request->id, sizeof request->id, "%s-%06u-flood", site_get (site)->name, i);
      trace->requests[trace->count + i] = *request;
    }
  trace->count = count;
  qsort (trace->requests, count, sizeof *trace->requests, compare_arrivals);
  talloc_free (flood);
}
