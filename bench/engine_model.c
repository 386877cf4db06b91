/* Simulation of entry hosts and model engines on virtual time. */
#include "engine_model.h"
#include "balance.h"
#include "container.h"
#include "rng.h"
#include "timer.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define POOL "engines"
#define DOMAINS 3

/* Prefill rate and fixed times of an engine; the hosts' initial rate estimate is close to it. */
#define RATE 60.0 /* tokens a millisecond */
#define FIRST_TIME (4 * USEC_PER_MSEC)
#define ANSWER_TIME (500 * USEC_PER_MSEC)
#define NETWORK_DELAY (1 * USEC_PER_MSEC)

struct model;

struct model_engine
{
  struct registry_target record;
  int64_t free_at; /* when all prompts received so far are read */
  bool *holds;     /* cached parts, by number */
  bool lost;
};

struct model_host
{
  struct balance balance;
  struct engine_load *estimates;
  void *memory; /* parent of its load estimates and its balancer */
  char domain[8];
};

enum update_kind
{
  UPDATE_START,
  UPDATE_FIRST_OUTPUT,
  UPDATE_END
};

/* One request; `timer` fires at each of its steps. */
struct model_request
{
  struct timer timer;
  struct timer update_timer;
  struct model *model;
  uint64_t number;
  uint32_t host;
  uint32_t engine;
  struct engine_prompt prompt;
  int64_t arrived;
  int64_t begins;
  bool began;
  bool ended;
  enum update_kind pending_update;
};

struct model
{
  struct engine_model_options options;
  struct engine_model_result *result;
  struct timer_service *timers;
  struct timer arrival;
  struct rng rng;
  struct model_engine engines[ENGINE_MODEL_ENGINES_MAX];
  struct model_host hosts[ENGINE_MODEL_HOSTS_MAX];
  int64_t now;
  uint64_t last_number;
  int64_t *waits;
  uint64_t n_waits;
  uint64_t waits_max;
  double expected;
  bool changed; /* the middle third has begun */
  bool restored;
};

static const char *const pattern_texts[] = {
#define X(name, text) text,
  ENGINE_PATTERN_LIST (X)
#undef X
};

const char *
engine_pattern_text (enum engine_pattern pattern)
{
  return (unsigned) pattern < ENGINE_PATTERN_COUNT ? pattern_texts[pattern] : "unknown";
}

void
engine_model_defaults (struct engine_model_options *options)
{
  *options = (struct engine_model_options){ .pattern = ENGINE_PATTERN_STEADY,
                                            .hosts = 30,
                                            .engines = 30,
                                            .parts = 300,
                                            .part_tokens = 10000,
                                            .own_tokens = 3000,
                                            .load = 0.8,
                                            .told = false,
                                            .news_delay = 20 * USEC_PER_MSEC,
                                            .span = 30 * USEC_PER_SEC,
                                            .seed = 1 };
}

/* ---- hosts ---- */

static void
begin_host (struct model *model, uint32_t number)
{
  struct model_host *host = &model->hosts[number];

  talloc_free (host->memory);
  host->memory = talloc_new (model);
  host->estimates = engine_load_new (host->memory);
  snprintf (host->domain, sizeof host->domain, "d%u", number % DOMAINS);
  balance_init (&host->balance, host->domain, host->estimates, model->options.seed + number);
  for (uint32_t i = 0; i < model->options.engines; i++)
    {
      model->engines[i].record.user = NULL;
      balance_update (&host->balance, host->memory, &model->engines[i].record);
    }
}

/* A record points to the target of one balancer; here many balancers share the record, so each
 * target's number is read from its id. */
static uint32_t
engine_number (const struct balance_target *target)
{
  return (uint32_t) strtoul (target->id + 1, NULL, 10);
}

static void
deliver_update (struct model *model, const struct model_request *request)
{
  char id[16];

  snprintf (id, sizeof id, "e%u", request->engine);
  for (uint32_t i = 0; i < model->options.hosts; i++)
    {
      struct model_host *host = &model->hosts[i];
      const struct balance_target *target;

      if (i == request->host)
        continue;
      target = balance_find (&host->balance, id);
      if (target == NULL)
        continue;
      if (request->pending_update == UPDATE_START)
        engine_load_started (host->estimates, target->id_hash, request->number, &request->prompt,
                             model->options.told, model->now);
      else if (request->pending_update == UPDATE_FIRST_OUTPUT)
        engine_load_began (host->estimates, target->id_hash, request->number, model->now);
      else
        engine_load_ended (host->estimates, target->id_hash, request->number, model->now);
    }
}

/* ---- engines ---- */

static bool
is_cached_anywhere (const struct model *model, uint64_t part)
{
  for (uint32_t i = 0; i < model->options.engines; i++)
    if (!model->engines[i].lost && model->engines[i].holds[part])
      return true;
  return false;
}

static double
prefill_rate (const struct model *model, uint32_t engine)
{
  bool slow = model->options.pattern == ENGINE_PATTERN_SLOW && model->changed && !model->restored
              && engine % 10 == 0;

  return slow ? RATE / 4 : RATE;
}

static void
read_prompt (struct model *model, struct model_request *request)
{
  struct model_engine *engine = &model->engines[request->engine];
  uint64_t part = request->prompt.parts[0] - 1;
  uint32_t tokens = request->prompt.own_tokens;
  int64_t from = model->now + NETWORK_DELAY;

  if (!engine->holds[part])
    {
      tokens += request->prompt.part_tokens[0];
      if (is_cached_anywhere (model, part))
        model->result->tokens_again += request->prompt.part_tokens[0];
    }
  engine->holds[part] = true;
  model->result->tokens_read += tokens;
  if (engine->free_at > from)
    from = engine->free_at;
  engine->free_at = from + FIRST_TIME
                    + (int64_t) (tokens / prefill_rate (model, request->engine) * USEC_PER_MSEC);
  request->begins = engine->free_at;
}

/* ---- requests ---- */

static void
update_fired (struct timer *timer, int64_t now)
{
  struct model_request *request = CONTAINER_OF (timer, struct model_request, update_timer);
  struct model *model = request->model;

  (void) now;
  deliver_update (model, request);
  if (request->ended)
    talloc_free (request);
}

static const struct timer_ops update_ops = { .fire = update_fired };

static void
schedule_update (struct model_request *request, enum update_kind kind)
{
  struct model *model = request->model;

  /* A pending earlier message is delivered first, if this step came within the delay. */
  if (timer_is_armed (&request->update_timer))
    {
      timer_disarm (model->timers, &request->update_timer);
      deliver_update (model, request);
    }
  request->pending_update = kind;
  timer_arm (model->timers, &request->update_timer, model->now + model->options.news_delay);
}

static void
step_fired (struct timer *timer, int64_t now)
{
  struct model_request *request = CONTAINER_OF (timer, struct model_request, timer);
  struct model *model = request->model;
  struct model_host *host = &model->hosts[request->host];
  char id[16];
  const struct balance_target *target;

  (void) now;
  snprintf (id, sizeof id, "e%u", request->engine);
  target = balance_find (&host->balance, id);
  if (!request->began)
    {
      if (target != NULL)
        engine_load_began (host->estimates, target->id_hash, request->number, model->now);
      request->began = true;
      timer_arm (model->timers, timer, model->now + ANSWER_TIME);
      if (model->options.told)
        schedule_update (request, UPDATE_FIRST_OUTPUT);
      return;
    }
  if (target != NULL)
    engine_load_ended (host->estimates, target->id_hash, request->number, model->now);
  request->ended = true;
  if (model->options.told)
    schedule_update (request, UPDATE_END);
  else if (!timer_is_armed (&request->update_timer))
    talloc_free (request);
}

static const struct timer_ops step_ops = { .fire = step_fired };

static void
note_wait (struct model *model, int64_t wait)
{
  if (model->n_waits == model->waits_max)
    {
      model->waits_max = model->waits_max == 0 ? 1024 : 2 * model->waits_max;
      model->waits = talloc_realloc (model, model->waits, int64_t, model->waits_max);
    }
  model->waits[model->n_waits++] = wait;
}

static uint64_t
choose_part (struct model *model)
{
  bool hot = model->options.pattern == ENGINE_PATTERN_HOT && model->changed && !model->restored;

  if (hot && rng_unit (&model->rng) < 0.5)
    return 1;
  return 1 + rng_below (&model->rng, model->options.parts);
}

static void
send_request (struct model *model)
{
  struct model_request *request = talloc_zero (model, struct model_request);
  struct balance_prompt prompt = { .present = true };
  struct balance_query query = { .pool = POOL, .prompt = &prompt };
  struct balance_target *target;
  struct engine_cost cost;
  struct model_host *host;

  request->model = model;
  request->timer.ops = &step_ops;
  request->update_timer.ops = &update_ops;
  request->number = ++model->last_number;
  request->host = (uint32_t) rng_below (&model->rng, model->options.hosts);
  request->arrived = model->now;
  prompt.prompt.n_parts = 1;
  prompt.prompt.parts[0] = choose_part (model);
  prompt.prompt.part_tokens[0] = model->options.part_tokens;
  prompt.prompt.own_tokens =
      1 + (uint32_t) rng_below (&model->rng, 2 * (uint64_t) model->options.own_tokens);
  request->prompt = prompt.prompt;
  host = &model->hosts[request->host];
  target = balance_choose (&host->balance, &query, model->now);
  INVARIANT (target != NULL);
  request->engine = engine_number (target);
  engine_load_cost (host->estimates, target->id_hash, &prompt.prompt, model->now, &cost);
  engine_load_started (host->estimates, target->id_hash, request->number, &prompt.prompt, true,
                       model->now);
  model->expected += (double) cost.wait;
  read_prompt (model, request);
  note_wait (model, request->begins - request->arrived);
  timer_arm (model->timers, &request->timer, request->begins + NETWORK_DELAY);
  request->pending_update = UPDATE_START;
  timer_arm (model->timers, &request->update_timer, model->now + model->options.news_delay);
}

/* ---- load and fault patterns ---- */

static void
set_lost (struct model *model, bool lost)
{
  for (uint32_t i = 0; i < model->options.engines; i += 4)
    {
      struct model_engine *engine = &model->engines[i];

      engine->lost = lost;
      memset (engine->holds, 0, model->options.parts * sizeof *engine->holds);
      engine->record.registration.state = lost ? REGISTRY_LEAVING : REGISTRY_READY;
      engine->record.registration.started_unix_ms += 1000;
      for (uint32_t j = 0; j < model->options.hosts; j++)
        {
          engine->record.user =
              balance_find (&model->hosts[j].balance, engine->record.registration.id);
          balance_update (&model->hosts[j].balance, model->hosts[j].memory, &engine->record);
        }
    }
}

static void
apply_pattern (struct model *model)
{
  const struct engine_model_options *options = &model->options;

  if (!model->changed && model->now >= options->span / 3)
    {
      model->changed = true;
      if (options->pattern == ENGINE_PATTERN_LOST)
        set_lost (model, true);
      for (uint32_t i = 0; i < options->hosts && options->pattern == ENGINE_PATTERN_FORGET; i++)
        begin_host (model, i);
    }
  if (!model->restored && model->now >= 2 * options->span / 3)
    {
      model->restored = true;
      if (options->pattern == ENGINE_PATTERN_LOST)
        set_lost (model, false);
    }
}

/* Requests per microsecond that use `load` of the prefill capacity: each request reads its own
 * tokens, and each part is read once in the whole span. */
static double
usual_rate (const struct engine_model_options *options)
{
  double capacity = options->load * options->engines * RATE / USEC_PER_MSEC;
  double first_reads = (double) options->parts * options->part_tokens / (double) options->span;
  double each = options->own_tokens + RATE * FIRST_TIME / USEC_PER_MSEC;

  return (capacity - first_reads) / each;
}

bool
engine_model_has_arrivals (const struct engine_model_options *options)
{
  return usual_rate (options) > 0;
}

static double
arrival_rate (const struct model *model)
{
  bool burst = model->options.pattern == ENGINE_PATTERN_BURST && model->changed && !model->restored;

  return (burst ? 2 : 1) * usual_rate (&model->options);
}

static void
arrival_fired (struct timer *timer, int64_t now)
{
  struct model *model = CONTAINER_OF (timer, struct model, arrival);
  double gap = -log (1 - rng_unit (&model->rng)) / arrival_rate (model);

  apply_pattern (model);
  send_request (model);
  if (now + (int64_t) gap < model->options.span)
    timer_arm (model->timers, timer, now + (int64_t) gap);
}

static const struct timer_ops arrival_ops = { .fire = arrival_fired };

static int
compare (const void *a, const void *b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;

  return (x > y) - (x < y);
}

static void
compute_result (struct model *model)
{
  struct engine_model_result *result = model->result;
  double sum = 0;

  result->requests = model->n_waits;
  for (uint64_t i = 0; i < model->n_waits; i++)
    sum += (double) model->waits[i];
  result->wait_mean = sum / (double) model->n_waits;
  result->expected_mean = model->expected / (double) model->n_waits;
  qsort (model->waits, model->n_waits, sizeof *model->waits, compare);
  result->wait_p95 = model->waits[model->n_waits * 95 / 100];
}

static void
begin_engines (struct model *model)
{
  for (uint32_t i = 0; i < model->options.engines; i++)
    {
      struct registry_registration *word = &model->engines[i].record.registration;

      snprintf (word->id, sizeof word->id, "e%u", i);
      snprintf (word->pool, sizeof word->pool, "%s", POOL);
      snprintf (word->address, sizeof word->address, "127.0.0.1:%u", 1000 + i);
      snprintf (word->domain, sizeof word->domain, "d%u", i % DOMAINS);
      word->state = REGISTRY_READY;
      word->started_unix_ms = 1;
      model->engines[i].holds = talloc_zero_array (model, bool, model->options.parts);
    }
}

void
engine_model_run (const struct engine_model_options *options, struct engine_model_result *result)
{
  struct model *model = talloc_zero (NULL, struct model);
  int64_t next;

  INVARIANT (model != NULL && options->engines <= ENGINE_MODEL_ENGINES_MAX
             && options->hosts <= ENGINE_MODEL_HOSTS_MAX && engine_model_has_arrivals (options));
  *result = (struct engine_model_result){ 0 };
  model->options = *options;
  model->result = result;
  model->timers = timer_service_new (model);
  rng_init (&model->rng, options->seed);
  begin_engines (model);
  for (uint32_t i = 0; i < options->hosts; i++)
    begin_host (model, i);
  model->arrival.ops = &arrival_ops;
  timer_arm (model->timers, &model->arrival, USEC_PER_MSEC);
  while ((next = timer_service_next_due (model->timers)) != USEC_NEVER)
    {
      model->now = next;
      timer_service_run (model->timers, next);
    }
  compute_result (model);
  talloc_free (model);
}
