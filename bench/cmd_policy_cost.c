/* Measures the cost of a decision: time of admission and of target choice, and memory per known
 * target.
 *
 * For instruction counts, which do not vary between runs, run it under
 * `valgrind --tool=callgrind --toggle-collect=decide_choose` (or decide_admit). */
#include "decide.h"
#include "rng.h"
#include "text.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>
#include <time.h>

#define STAGES 4
#define ORGANISATIONS 560

struct options
{
  uint32_t targets;
  uint32_t pools; /* pools that the targets are spread over */
  uint32_t hosts;
  uint32_t decisions;
};

struct fixture
{
  struct board *board;
  struct decide *decide;
  struct handle pipeline;
  struct handle organisation;
  struct rng rng;
  int64_t now;
  double admit; /* seconds */
  double choose;
  double account;
};

static double
seconds (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (double) time.tv_sec + (double) time.tv_nsec / 1e9;
}

static void
add_pools (struct fixture *fixture, const struct options *options)
{
  uint32_t i;

  for (i = 0; i < options->pools; i++)
    {
      struct handle handle;
      struct board_pool *pool = table_add (fixture->board->pools, &handle);

      snprintf (pool->spec.name, sizeof pool->spec.name, "pool-%u", i);
      pool->spec.slots = 16;
      pool->spec.eject_share_max = 0.3;
    }
}

static void
add_targets (struct fixture *fixture, const struct options *options)
{
  uint32_t i;

  for (i = 0; i < options->targets; i++)
    {
      struct handle handle;
      struct board_target *target = table_add (fixture->board->targets, &handle);

      snprintf (target->name, sizeof target->name, "target-%u", i);
      snprintf (target->pool, sizeof target->pool, "pool-%u", i % options->pools);
      snprintf (target->domain, sizeof target->domain, "domain-%u", i % 8);
      text_copy (target->models[0], RESOURCE_NAME_SIZE, "model");
      target->n_models = 1;
      target->slots = 16;
      target->lease_until = USEC_NEVER;
      board_find_pool (fixture->board, target->pool, &target->pool_handle);
      board_publish (fixture->board, BOARD_TARGET_ADDED, handle, 0);
    }
}

static void
add_rest (struct fixture *fixture, const struct options *options)
{
  struct board_pipeline *pipeline = table_add (fixture->board->pipelines, &fixture->pipeline);
  struct handle handle;
  uint32_t i;

  text_copy (pipeline->spec.name, RESOURCE_NAME_SIZE, "pipeline");
  pipeline->spec.n_stages = STAGES;
  pipeline->spec.deadline = 4 * USEC_PER_SEC;
  pipeline->spec.max_attempts = 3;
  pipeline->spec.retry_share = 0.1;
  pipeline->spec.hedge_share = 0.02;
  for (i = 0; i < STAGES; i++)
    {
      snprintf (pipeline->spec.stages[i].pool, RESOURCE_NAME_SIZE, "pool-%u", i % options->pools);
      pipeline->spec.stages[i].kind = i + 1 == STAGES ? STAGE_GENERATE : STAGE_ENCODE;
      text_copy (pipeline->spec.stages[i].model, RESOURCE_NAME_SIZE, "model");
    }
  for (i = 0; i < options->hosts; i++)
    {
      struct board_host *host = table_add (fixture->board->hosts, &handle);

      snprintf (host->name, sizeof host->name, "host-%u", i);
      host->self = i == 0;
    }
  for (i = 0; i < ORGANISATIONS; i++)
    {
      struct board_organisation *organisation =
          table_add (fixture->board->organisations, &fixture->organisation);

      snprintf (organisation->spec.name, RESOURCE_NAME_SIZE, "organisation-%u", i);
      organisation->spec.weight = 1;
      organisation->spec.requests_per_sec = 1e9;
      organisation->spec.burst = 1e9;
    }
}

static void
run_stage (struct fixture *fixture, struct decide_request *request)
{
  struct decide_choice choice;
  struct decide_result result = { .end = DECIDE_END_WHOLE, .output_tokens = 100 };
  double start = seconds ();
  enum decide_reason reason = decide_choose (fixture->decide, request, request->input_tokens, NULL,
                                             0, fixture->now, &choice);
  double chosen = seconds ();

  fixture->choose += chosen - start;
  if (reason != DECIDE_ADMITTED)
    return;
  decide_attempt_started (fixture->decide, request, &choice, fixture->now);
  result.target = choice.target;
  result.choice = choice;
  result.started = fixture->now;
  result.first_data = fixture->now + 50 * USEC_PER_MSEC;
  result.ended = fixture->now + (int64_t) (200 * USEC_PER_MSEC);
  result.input_tokens = request->input_tokens;
  decide_attempt_ended (fixture->decide, request, &result, result.ended);
  fixture->account += seconds () - chosen;
}

static void
run_request (struct fixture *fixture)
{
  struct decide_request request = { .pipeline = fixture->pipeline,
                                    .organisation = fixture->organisation,
                                    .arrived = fixture->now,
                                    .deadline = fixture->now + 4 * USEC_PER_SEC,
                                    .output_tokens = 100,
                                    .priority = 5,
                                    .repeatable = true };
  double start;
  uint64_t document = rng_below (&fixture->rng, 1000);
  uint32_t i;

  request.input_tokens = 100 + (uint32_t) rng_below (&fixture->rng, 8000);
  request.n_prefix = DECIDE_PREFIX_BLOCKS;
  for (i = 0; i < DECIDE_PREFIX_BLOCKS; i++)
    request.prefix[i] = (document * DECIDE_PREFIX_BLOCKS + i + 1) * UINT64_C (0x9e3779b97f4a7c15);
  start = seconds ();
  decide_admit (fixture->decide, &request, fixture->now);
  fixture->admit += seconds () - start;
  for (i = 0; i < STAGES; i++)
    {
      request.stage = i;
      run_stage (fixture, &request);
    }
  decide_finish (fixture->decide, &request, true, fixture->now);
  fixture->now += 2 * USEC_PER_MSEC;
}

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct options *options = state->input;
  uint32_t number = value == NULL ? 0 : (uint32_t) strtoul (value, NULL, 10);

  if (key != 't' && key != 'p' && key != 'h' && key != 'n')
    return ARGP_ERR_UNKNOWN;
  if (number == 0)
    argp_error (state, "expected a number of at least 1");
  *(key == 't'   ? &options->targets
    : key == 'p' ? &options->pools
    : key == 'h' ? &options->hosts
                 : &options->decisions) = number;
  return 0;
}

static const struct argp_option option_list[] = {
  { "targets", 't', "N", 0, "known targets (default 18)", 0 },
  { "pools", 'p', "N", 0, "pools they are in (default 1)", 0 },
  { "hosts", 'h', "N", 0, "entry hosts (default 6)", 0 },
  { "requests", 'n', "N", 0, "requests of four stages (default 50000)", 0 },
  { 0 },
};

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    option_list, parse_option, NULL, "Time the decisions.", 0, 0, 0
  };
  struct options options = { .targets = 18, .pools = 1, .hosts = 6, .decisions = 50000 };
  struct fixture fixture = { .now = USEC_PER_SEC };
  size_t before;
  uint32_t i;

  if (argp_parse (&argp, argc, argv, 0, NULL, &options) != 0)
    return EXIT_FAILURE;
  rng_init (&fixture.rng, 1);
  fixture.board = board_new (NULL);
  fixture.decide = decide_new (fixture.board, fixture.board, counters_new (fixture.board), 1);
  add_pools (&fixture, &options);
  add_rest (&fixture, &options);
  before = talloc_total_size (fixture.decide);
  add_targets (&fixture, &options);
  printf ("targets %u, pools %u, hosts %u\n", options.targets, options.pools, options.hosts);
  printf ("bytes for each target: %.0f of the decisions, %zu of the board\n",
          (double) (talloc_total_size (fixture.decide) - before) / options.targets,
          sizeof (struct board_target));
  for (i = 0; i < options.decisions / 5; i++)
    run_request (&fixture);
  fixture.admit = fixture.choose = fixture.account = 0;
  for (i = 0; i < options.decisions; i++)
    run_request (&fixture);
  printf ("admission of four stages %.2f us, choice %.2f us, start and end of an attempt %.2f us\n",
          fixture.admit / options.decisions * 1e6,
          fixture.choose / options.decisions / STAGES * 1e6,
          fixture.account / options.decisions / STAGES * 1e6);
  printf ("bytes of the decisions in all: %zu\n", talloc_total_size (fixture.decide));
  talloc_free (fixture.board);
  return EXIT_SUCCESS;
}
