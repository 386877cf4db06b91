// Traces, sites and the service-time model used by the replayer and the policy driver.
#include "service_time.h"
#include "site.h"
#include "trace.h"
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <set>
#include <string>
#include <talloc.h>
#include <unistd.h>

namespace
{

const enum trace_site both_sites[] = { TRACE_BKK, TRACE_AR_CENTRO };

class TemporaryFile
{
public:
  TemporaryFile ()
  {
    close (mkstemp (path_));
  }
  ~TemporaryFile ()
  {
    unlink (path_);
  }
  const char *
  path () const
  {
    return path_;
  }

private:
  char path_[32] = "/tmp/cherryarch-trace-XXXXXX";
};

void
write_text (const char *path, const char *text)
{
  FILE *file = fopen (path, "w");

  ASSERT_NE (file, nullptr);
  fputs (text, file);
  fclose (file);
}

TEST (Trace, SaveAndLoadRoundTrips)
{
  for (enum trace_site site : both_sites)
    {
      struct trace *trace = trace_generate (nullptr, site, 3, 20 * USEC_PER_SEC, 20, 3);
      TemporaryFile file;
      struct trace *loaded;

      ASSERT_GT (trace->count, 300u);
      ASSERT_EQ (trace_save (trace, file.path ()), STATUS_OK);
      loaded = trace_load (trace, file.path ());
      ASSERT_NE (loaded, nullptr) << status_message ();
      ASSERT_EQ (loaded->count, trace->count);
      for (uint32_t i = 0; i < trace->count; i++)
        {
          const struct trace_request &a = trace->requests[i];
          const struct trace_request &b = loaded->requests[i];

          EXPECT_EQ (a.at, b.at);
          EXPECT_STREQ (a.id, b.id);
          EXPECT_STREQ (a.organisation, b.organisation);
          EXPECT_STREQ (a.pipeline, b.pipeline);
          EXPECT_EQ (a.service, b.service);
          EXPECT_EQ (a.repeatable, b.repeatable);
          EXPECT_EQ (a.priority, b.priority);
          EXPECT_EQ (a.deadline, b.deadline);
          EXPECT_EQ (a.input_tokens, b.input_tokens);
          EXPECT_EQ (a.output_tokens, b.output_tokens);
          EXPECT_EQ (a.document, b.document);
          EXPECT_EQ (a.prefix_tokens, b.prefix_tokens);
        }
      talloc_free (trace);
    }
}

TEST (Trace, SeedDeterminesTheTrace)
{
  struct trace *a = trace_generate (nullptr, TRACE_BKK, 5, 10 * USEC_PER_SEC, 20, 3);
  struct trace *same = trace_generate (a, TRACE_BKK, 5, 10 * USEC_PER_SEC, 20, 3);
  struct trace *other = trace_generate (a, TRACE_BKK, 6, 10 * USEC_PER_SEC, 20, 3);

  ASSERT_EQ (a->count, same->count);
  for (uint32_t i = 0; i < a->count; i++)
    EXPECT_EQ (a->requests[i].at, same->requests[i].at);
  EXPECT_NE (a->requests[0].at, other->requests[0].at);
  talloc_free (a);
}

TEST (Trace, IdsAreUniqueAndTheMiddleThirdIsTheBurst)
{
  struct trace *trace = trace_generate (nullptr, TRACE_BKK, 1, 60 * USEC_PER_SEC, 20, 3);
  std::set<std::string> ids;
  uint32_t middle = 0;

  for (uint32_t i = 0; i < trace->count; i++)
    {
      const struct trace_request &request = trace->requests[i];

      ids.insert (request.id);
      middle += request.at >= 20 * USEC_PER_SEC && request.at < 40 * USEC_PER_SEC;
      EXPECT_LE (request.prefix_tokens, request.input_tokens);
    }
  EXPECT_EQ (ids.size (), trace->count);
  EXPECT_NEAR (middle, 1200, 200);
  EXPECT_NEAR (trace->count, 2000, 250);
  talloc_free (trace);
}

TEST (Trace, ErrorNamesTheInvalidLine)
{
  TemporaryFile file;

  write_text (file.path (), "{\"at_us\": 0}\n");
  EXPECT_EQ (trace_load (nullptr, file.path ()), nullptr);
  EXPECT_NE (std::string (status_message ()).find (":1:"), std::string::npos);
  write_text (file.path (), "not json\n");
  EXPECT_EQ (trace_load (nullptr, file.path ()), nullptr);
  EXPECT_EQ (trace_load (nullptr, "/nowhere/at/all"), nullptr);
}

TEST (Site, EveryStageHasAPoolOfItsKind)
{
  for (enum trace_site id : both_sites)
    {
      const struct site *site = site_get (id);
      double shares = 0;

      for (uint32_t i = 0; i < site->n_pipelines; i++)
        {
          struct pipeline_spec spec;

          site_pipeline_spec (site, i, &spec);
          shares += site->pipelines[i].share;
          for (uint32_t s = 0; s < spec.n_stages; s++)
            {
              uint32_t found = 0;

              for (uint32_t p = 0; p < site->n_pools; p++)
                found += std::string (site->pools[p].name) == spec.stages[s].pool
                         && site->pools[p].kind == spec.stages[s].kind;
              EXPECT_EQ (found, 1u) << spec.name << " " << spec.stages[s].name;
            }
        }
      EXPECT_NEAR (shares, 1, 1e-9);
    }
}

TEST (ServiceTime, GrowsWithTokensAndBatchAndShrinksWithTheCache)
{
  struct service_load alone = { .running = 1, .slowdown = 1 };
  struct service_load batch = { .running = 16, .slowdown = 1 };
  struct service_load slow = { .running = 1, .slowdown = 5 };
  int64_t cold = service_time_first_output (STAGE_GENERATE, 4000, 0, &alone);

  EXPECT_LT (cold, service_time_first_output (STAGE_GENERATE, 8000, 0, &alone));
  EXPECT_LT (cold, service_time_first_output (STAGE_GENERATE, 4000, 0, &batch));
  EXPECT_EQ (5 * cold, service_time_first_output (STAGE_GENERATE, 4000, 0, &slow));
  EXPECT_GT (cold, service_time_first_output (STAGE_GENERATE, 4000, 3900, &alone));
  EXPECT_EQ (service_time_first_output (STAGE_GENERATE, 4000, 4000, &alone),
             service_time_first_output (STAGE_GENERATE, 4000, 9000, &alone));
  EXPECT_LT (service_time_per_token (&alone), service_time_per_token (&batch));
}

} // namespace
