/* A small site for the demo and for tests on real processes. */
#include "site.h"
#include "text.h"
#include <talloc.h>

#define DEMO_INPUT_TOKENS 40
#define DEMO_PREFIX_TOKENS 64
#define DEMO_PRIORITY 5

static const struct site demo = {
  .name = "demo",
  .domains = { "demo-a", "demo-b", "demo-c" },
  .objective = OBJECTIVE_ATTAINMENT,
  .pools = {
    { .name = "encoders", .kind = STAGE_ENCODE, .targets = 1, .reports_load = true,
      .cost_per_second = 0.2 },
    { .name = "retrievers", .kind = STAGE_RETRIEVE, .targets = 1, .reports_load = true,
      .cost_per_second = 0.1 },
    { .name = "rerankers", .kind = STAGE_RERANK, .targets = 1, .reports_load = true,
      .cost_per_second = 0.2 },
    { .name = "runners", .kind = STAGE_GENERATE, .targets = 2, .reports_load = true,
      .cost_per_second = 1.0 },
    { .name = "counter", .kind = STAGE_CALL, .targets = 1, .reports_load = false,
      .cost_per_second = 0.02 },
  },
  .n_pools = 5,
  .pipelines = {
    { .name = "answer", .stages = "ETRG", .share = 0.5, .priority = DEMO_PRIORITY,
      .repeatable = true, .deadline = 10 * USEC_PER_SEC, .output_min = 16, .output_max = 48 },
    { .name = "price", .stages = "C", .call_pool = "counter", .share = 0.25, .priority = 9,
      .repeatable = true, .deadline = 5 * USEC_PER_SEC },
    { .name = "order", .stages = "C", .call_pool = "counter", .share = 0.25, .priority = 8,
      .repeatable = false, .deadline = 10 * USEC_PER_SEC },
  },
  .n_pipelines = 3,
  .organisations = {
    { "north", 0.4 }, { "south", 0.3 }, { "east", 0.1 }, { "west", 0.1 }, { "centre", 0.1 },
  },
};

const struct site *
site_demo (void)
{
  return &demo;
}

/* Cycles through answer, price, answer, order. */
static uint32_t
demo_pipeline (uint32_t i)
{
  static const uint32_t turns[] = { 0, 1, 0, 2 };

  return turns[i % (sizeof turns / sizeof turns[0])];
}

struct trace *
site_demo_trace (void *parent, const char *prefix, uint32_t count, int64_t spacing)
{
  struct trace *trace = talloc_zero (parent, struct trace);

  trace->requests = talloc_zero_array (trace, struct trace_request, count);
  trace->count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      struct trace_request *request = &trace->requests[i];
      const struct site_pipeline *pipeline = &demo.pipelines[demo_pipeline (i)];

      request->at = i * spacing;
      snprintf (request->id, sizeof request->id, "%s-%06u", prefix, i);
      text_copy_truncated (request->organisation, sizeof request->organisation,
                           demo.organisations[i % SITE_ORGANISATIONS].name);
      text_copy_truncated (request->pipeline, sizeof request->pipeline, pipeline->name);
      request->service = strcmp (pipeline->stages, "C") == 0;
      request->repeatable = pipeline->repeatable;
      request->priority = pipeline->priority;
      request->deadline = pipeline->deadline;
      request->input_tokens = DEMO_INPUT_TOKENS;
      if (request->service)
        continue;
      request->document = 1 + i % 7;
      request->prefix_tokens = DEMO_PREFIX_TOKENS;
      request->input_tokens += DEMO_PREFIX_TOKENS;
      request->output_tokens =
          pipeline->output_min + i % (pipeline->output_max - pipeline->output_min + 1);
    }
  return trace;
}
