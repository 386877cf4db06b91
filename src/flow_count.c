/* Counters of the request path, looked up once and cached. */
#include "flow_private.h"
#include <inttypes.h>
#include <talloc.h>

#define LABELS_SIZE 256

/* Counters of one stage of one pipeline. */
struct stage_counts
{
  struct counter *ends[DECIDE_END_COUNT];
  struct counter *cost;
  struct counter *seconds;
  struct counter *input_tokens;
  struct counter *cached_tokens;
  struct counter *output_tokens;
  struct histogram *time;
};

struct pipeline_counts
{
  struct handle pipeline; /* owner of the counters: table slots are reused by other pipelines */
  struct stage_counts *stages[RESOURCE_STAGES_MAX];
};

struct flow_counts
{
  struct counters *counters;
  struct counter *outcomes[FLOW_OUTCOME_COUNT][FLOW_REASON_COUNT];
  struct histogram *times[FLOW_OUTCOME_COUNT];
  struct counter *retries;
  struct counter *hedges;
  struct counter *slow[SLOW_VERDICT_COUNT]; /* verdicts on attempts without an answer */
  struct counter *slow_left;
  struct counter *backoffs;
  struct counter *resumes;
  struct counter *cancels;
  struct counter *cancels_dropped;
  struct counter *wasted;
  struct counter *dropped;
  struct pipeline_counts pipelines[BOARD_PIPELINES_MAX];
};

struct flow_counts *
flow_counts_new (void *parent, struct counters *counters)
{
  struct flow_counts *counts = talloc_zero (parent, struct flow_counts);

  if (counts == NULL)
    return NULL;
  counts->counters = counters;
  counts->retries =
      counter_get (counters, "cherryarch_retries_total", "Attempts after a failed one.", NULL);
  for (int verdict = 0; verdict < SLOW_VERDICT_COUNT; verdict++)
    {
      char label[96];

      snprintf (label, sizeof label, "verdict=\"%s\"",
                slow_verdict_text ((enum slow_verdict) verdict));
      counts->slow[verdict] =
          counter_get (counters, "cherryarch_slow_attempts_total",
                       "Verdicts on attempts without an answer, by what other targets do.", label);
    }
  counts->slow_left =
      counter_get (counters, "cherryarch_slow_attempts_left_total",
                   "Attempts without an answer that were left for another target.", NULL);
  counts->hedges =
      counter_get (counters, "cherryarch_hedges_total", "Attempts beside a slow one.", NULL);
  counts->backoffs = counter_get (counters, "cherryarch_target_backoffs_total",
                                  "Answers in which targets asked for a backoff.", NULL);
  counts->resumes = counter_get (counters, "cherryarch_resumes_total",
                                 "Generations taken up where another attempt broke.", NULL);
  counts->cancels =
      counter_get (counters, "cherryarch_cancels_total", "Cancels sent to targets.", NULL);
  counts->cancels_dropped = counter_get (counters, "cherryarch_cancels_dropped_total",
                                         "Cancels not sent: too many at one time.", NULL);
  counts->wasted = counter_get (counters, "cherryarch_wasted_seconds_total",
                                "Slot seconds of work that was in no whole answer.", NULL);
  counts->dropped =
      counter_get (counters, "cherryarch_answers_dropped_total",
                   "Targets' answers, or parts, that were foreign, malformed, late or "
                   "doubled.",
                   NULL);
  return counts;
}

void
flow_count_outcome (struct flow *flow, const struct flow_verdict *verdict)
{
  struct flow_counts *counts = flow->counts;
  struct counter **counter = &counts->outcomes[verdict->outcome][verdict->reason];
  char labels[LABELS_SIZE];

  if (*counter == NULL)
    {
      snprintf (labels, sizeof labels, "outcome=\"%s\",reason=\"%s\"",
                flow_outcome_text (verdict->outcome), flow_reason_code (verdict->reason));
      *counter = counter_get (counts->counters, "cherryarch_requests_total",
                              "Requests by outcome and reason.", labels);
    }
  counter_add (*counter, 1);
}

void
flow_count_duration (struct flow *flow, enum flow_outcome outcome, int64_t span)
{
  struct flow_counts *counts = flow->counts;
  struct histogram **times = &counts->times[outcome];
  char labels[LABELS_SIZE];

  if (*times == NULL)
    {
      snprintf (labels, sizeof labels, "outcome=\"%s\"", flow_outcome_text (outcome));
      *times = histogram_get (counts->counters, "cherryarch_request_microseconds",
                              "From arrival to outcome.", labels);
    }
  histogram_record (*times, (double) span);
}

void
flow_count_invalid (struct flow *flow, int code)
{
  char labels[LABELS_SIZE];

  snprintf (labels, sizeof labels, "code=\"%d\"", code);
  counter_add (counter_get (flow->counts->counters, "cherryarch_requests_invalid_total",
                            "Requests refused as bad input.", labels),
               1);
}

static struct stage_counts *
new_stage_counts (struct flow_counts *counts, const char *pipeline, const char *stage)
{
  struct counters *counters = counts->counters;
  struct stage_counts *made = talloc_zero (counts, struct stage_counts);
  char labels[LABELS_SIZE];
  int end;

  if (made == NULL)
    return NULL;
  for (end = 0; end < DECIDE_END_COUNT; end++)
    {
      snprintf (labels, sizeof labels, "pipeline=\"%s\",stage=\"%s\",end=\"%s\"", pipeline, stage,
                decide_end_text ((enum decide_end) end));
      made->ends[end] = counter_get (counters, "cherryarch_stage_attempts_total",
                                     "Calls to targets by how they ended.", labels);
    }
  snprintf (labels, sizeof labels, "pipeline=\"%s\",stage=\"%s\"", pipeline, stage);
  made->cost = counter_get (counters, "cherryarch_stage_cost_total",
                            "Cost of all attempts, in the operator's money.", labels);
  made->seconds = counter_get (counters, "cherryarch_stage_seconds_total",
                               "Slot seconds of all attempts.", labels);
  made->input_tokens = counter_get (counters, "cherryarch_stage_input_tokens_total",
                                    "Tokens read, as targets say.", labels);
  made->cached_tokens = counter_get (counters, "cherryarch_stage_cached_tokens_total",
                                     "Tokens found in caches, as targets say.", labels);
  made->output_tokens = counter_get (counters, "cherryarch_stage_output_tokens_total",
                                     "Tokens generated, as targets say.", labels);
  made->time = histogram_get (counters, "cherryarch_stage_microseconds",
                              "Time of an attempt that ended whole.", labels);
  return made;
}

static struct stage_counts *
find_stage_counts (struct flow_counts *counts, const struct flow_request *request, uint32_t stage)
{
  struct handle pipeline = request->decide.pipeline;
  struct pipeline_counts *entry;
  uint32_t i;

  if (pipeline.index >= BOARD_PIPELINES_MAX)
    return NULL;
  entry = &counts->pipelines[pipeline.index];
  if (!handle_equal (entry->pipeline, pipeline))
    {
      for (i = 0; i < RESOURCE_STAGES_MAX; i++)
        TALLOC_FREE (entry->stages[i]);
      entry->pipeline = pipeline;
    }
  if (entry->stages[stage] == NULL)
    entry->stages[stage] =
        new_stage_counts (counts, request->spec->name, request->spec->stages[stage].name);
  return entry->stages[stage];
}

void
flow_count_attempt (struct flow *flow,
                    const struct flow_request *request,
                    const struct flow_attempt *attempt,
                    enum decide_end end,
                    double cost,
                    int64_t span)
{
  struct stage_counts *counts = find_stage_counts (flow->counts, request, attempt->stage);

  if (counts == NULL)
    return;
  counter_add (counts->ends[end], 1);
  counter_add (counts->cost, cost);
  counter_add (counts->seconds, (double) span / USEC_PER_SEC);
  if (end != DECIDE_END_WHOLE)
    return;
  counter_add (counts->input_tokens, attempt->usage.input_tokens);
  counter_add (counts->cached_tokens, attempt->usage.cached_tokens);
  counter_add (counts->output_tokens, attempt->usage.output_tokens);
  histogram_record (counts->time, (double) span);
}

void
flow_count_retry (struct flow *flow)
{
  counter_add (flow->counts->retries, 1);
}

/* A change of the verdict on an attempt that is kept, or an attempt that is left. */
void
flow_count_slow (struct flow *flow, enum slow_verdict verdict, bool left)
{
  counter_add (left ? flow->counts->slow_left : flow->counts->slow[verdict], 1);
}

void
flow_count_hedge (struct flow *flow)
{
  counter_add (flow->counts->hedges, 1);
}

void
flow_count_backoff (struct flow *flow)
{
  counter_add (flow->counts->backoffs, 1);
}

void
flow_count_resume (struct flow *flow)
{
  counter_add (flow->counts->resumes, 1);
}

void
flow_count_cancel (struct flow *flow, bool sent)
{
  counter_add (sent ? flow->counts->cancels : flow->counts->cancels_dropped, 1);
}

void
flow_count_wasted (struct flow *flow, double seconds)
{
  counter_add (flow->counts->wasted, seconds);
}

void
flow_count_dropped (struct flow *flow)
{
  counter_add (flow->counts->dropped, 1);
}
