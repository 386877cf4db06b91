/* Recorded requests: one JSON object a line, checked in small and made longer from a seed. */
#ifndef TRACE_H
#define TRACE_H

#include "decls.h"
#include "resource.h"
#include "status.h"
#include "usec.h"

BEGIN_DECLS

struct trace_request
{
  int64_t at; /* from the trace's start */
  char id[RESOURCE_NAME_SIZE];
  char organisation[RESOURCE_NAME_SIZE];
  char pipeline[RESOURCE_NAME_SIZE]; /* or service */
  bool service;
  bool repeatable;
  uint32_t priority;
  int64_t deadline; /* a span */
  uint32_t input_tokens;
  uint32_t output_tokens;
  uint32_t document;      /* requests with the same number share a prefix */
  uint32_t prefix_tokens; /* shared with others of the same document */
};

struct trace
{
  struct trace_request *requests; /* by `at` */
  uint32_t count;
};

enum trace_site
{
  TRACE_BKK,
  TRACE_AR_CENTRO
};

struct trace *trace_load (void *parent, const char *path);
enum status trace_save (const struct trace *trace, const char *path);

/* A trace of the site's sizes: `rate` requests a second for `length`, times `burst` in its middle
 * third. */
struct trace *trace_generate (
    void *parent, enum trace_site site, uint64_t seed, int64_t length, double rate, double burst);

/* Add as many requests again, all of one organisation: ids end in "-flood". */
void trace_flood (struct trace *trace,
                  enum trace_site site,
                  uint64_t seed,
                  int64_t length,
                  double rate,
                  const char *organisation);

END_DECLS

#endif
