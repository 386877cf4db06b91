/* Recorded requests, one JSON object a line.  Small traces are checked in; longer ones are
 * generated from a seed. */
#ifndef TRACE_H
#define TRACE_H

#include "decls.h"
#include "resource.h"
#include "status.h"
#include "usec.h"

BEGIN_DECLS

struct trace_request
{
  int64_t at; /* microseconds since the start of the trace */
  char id[RESOURCE_NAME_SIZE];
  char organisation[RESOURCE_NAME_SIZE];
  char pipeline[RESOURCE_NAME_SIZE]; /* or the service's name */
  bool service;
  bool repeatable;
  uint32_t priority;
  int64_t deadline; /* microseconds from arrival */
  uint32_t input_tokens;
  uint32_t output_tokens;
  uint32_t document;      /* requests with the same number share a prefix */
  uint32_t prefix_tokens; /* shared with others of the same document */
};

struct trace
{
  struct trace_request *requests; /* sorted by `at` */
  uint32_t count;
};

enum trace_site
{
  TRACE_BKK,
  TRACE_AR_CENTRO
};

struct trace *trace_load (void *parent, const char *path);
enum status trace_save (const struct trace *trace, const char *path);

/* Generate a trace for the site: `rate` requests per second for `length` microseconds, multiplied
 * by `burst` in the middle third. */
struct trace *trace_generate (
    void *parent, enum trace_site site, uint64_t seed, int64_t length, double rate, double burst);

/* Double the number of requests; the added ones belong to one organisation and have ids that end in
 * "-flood". */
void trace_flood (struct trace *trace,
                  enum trace_site site,
                  uint64_t seed,
                  int64_t length,
                  double rate,
                  const char *organisation);

END_DECLS

#endif
