/* Targets and requests of the fleet simulation. */
#include "quarantine_fleet.h"
#include "container.h"
#include "quarantine_fleet_private.h"
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#define START (100 * USEC_PER_SEC)

/* Delay in microseconds until a host learns that a broken connection was the end of the target. */
#define PROBE_LEAST 200
#define PROBE_SPREAD (10 * USEC_PER_MSEC)

/* A target restarts after two to four seconds. */
#define TARGET_BACK (2 * USEC_PER_SEC)
#define SOUND_RUN (100 * USEC_PER_MSEC)
#define SOUND_RUN_SPREAD (900 * USEC_PER_MSEC)

/* A power cut takes one target in this many. */
#define POWER_CUT_ONE_IN 4

/* ---- targets ---- */

static void run_learns (struct timer *timer, int64_t now);

static const struct timer_ops learn_ops = { .fire = run_learns };

static void
target_fired (struct timer *timer, int64_t now)
{
  struct fleet_target *target = CONTAINER_OF (timer, struct fleet_target, timer);

  (void) now;
  target->up = true;
  target->incarnation = rng_u64 (&target->fleet->rng);
}

static const struct timer_ops target_ops = { .fire = target_fired };

static void
leave_target (struct run *run)
{
  DL_DELETE (run->target->runs, run);
  run->target->n_runs--;
}

/* All runs on the target break; each host learns of the end after a probe delay. */
static void
end_target (struct fleet_target *target, int64_t now)
{
  struct fleet *fleet = target->fleet;
  struct run *run;
  struct run *next;

  DL_FOREACH_SAFE (target->runs, run, next)
    {
      leave_target (run);
      run->broke = now;
      run->timer.ops = &learn_ops;
      timer_arm (fleet->timers, &run->timer, now + PROBE_LEAST + fleet_draw (fleet, PROBE_SPREAD));
    }
  target->up = false;
  timer_arm (fleet->timers, &target->timer, now + TARGET_BACK + fleet_draw (fleet, TARGET_BACK));
}

/* ---- requests ---- */

static struct request_digest
digest_of (uint32_t request)
{
  struct request_digest digest = { .bytes = { 0 } };

  memcpy (digest.bytes, &request, sizeof request);
  return digest;
}

static bool
is_bad (const struct fleet *fleet, uint32_t request)
{
  return request < fleet->config->bad;
}

static bool
is_popular (const struct fleet *fleet, uint32_t request)
{
  return request == fleet->config->bad;
}

/* The suspect in the table of the run's host; NULL if there is none or the host has restarted. */
static struct quarantine_suspect *
suspect_of (const struct run *run)
{
  struct request_digest digest = digest_of (run->request);

  if (run->host->control == NULL || run->host->start != run->start)
    return NULL;
  return quarantine_find (quarantine_control_table (run->host->control), &digest);
}

static void
end_run (struct run *run)
{
  struct quarantine_suspect *suspect = suspect_of (run);

  if (run->counted && suspect != NULL && suspect->running > 0)
    suspect->running--;
  run->counted = false;
}

static void arrive (struct fleet *fleet, uint32_t request, bool again, int64_t now);

static void
return_fired (struct timer *timer, int64_t now)
{
  struct run *run = CONTAINER_OF (timer, struct run, timer);

  arrive (run->fleet, run->request, true, now);
  talloc_free (run);
}

static const struct timer_ops return_ops = { .fire = return_fired };

/* The client retries a normal request once; poison requests arrive at their own rate. */
static void
lose (struct run *run, int64_t now)
{
  struct fleet *fleet = run->fleet;

  if (is_bad (fleet, run->request))
    {
      talloc_free (run);
      return;
    }
  if (run->again)
    {
      fleet->figures->sound_lost++;
      talloc_free (run);
      return;
    }
  run->timer.ops = &return_ops;
  timer_arm (fleet->timers, &run->timer, now + SOUND_RUN + fleet_draw (fleet, SOUND_RUN_SPREAD));
}

static void
run_learns (struct timer *timer, int64_t now)
{
  struct run *run = CONTAINER_OF (timer, struct run, timer);
  int64_t instant = run->broke - QUARANTINE_INSTANT;
  struct quarantine_suspect learnt = {
    .digest = digest_of (run->request),
    .organisation = "o",
    .route = "r",
    .seen = now,
    .n_ends = 1,
    .ends = { { .incarnation = run->incarnation,
                .from = instant > run->sent ? instant : run->sent,
                .to = run->broke } },
  };

  end_run (run);
  if (run->host->control != NULL && run->host->start == run->start)
    quarantine_control_learn (run->host->control, &learnt, now);
  lose (run, now);
}

static void
count_bad_end (struct bad_request *bad, struct fleet *fleet, int64_t now)
{
  fleet->figures->ends++;
  bad->ends++;
  if (bad->ends == QUARANTINE_ENDS)
    bad->third = now;
}

/* The run reaches the outcome that was drawn for it. */
static void
run_fired (struct timer *timer, int64_t now)
{
  struct run *run = CONTAINER_OF (timer, struct run, timer);
  struct fleet *fleet = run->fleet;
  struct request_digest digest = digest_of (run->request);

  if (is_bad (fleet, run->request))
    {
      count_bad_end (&fleet->bad[run->request], fleet, now);
      end_target (run->target, now);
      return;
    }
  leave_target (run);
  end_run (run);
  if (is_popular (fleet, run->request) && rng_unit (&fleet->rng) < fleet->config->resets)
    {
      lose (run, now);
      return;
    }
  if (run->host->control != NULL && run->host->start == run->start)
    quarantine_control_clear (run->host->control, &digest, "a whole answer", now);
  talloc_free (run);
}

static const struct timer_ops run_ops = { .fire = run_fired };

/* A random target that is up; for a suspect the one with the fewest runs. */
static struct fleet_target *
choose_target (struct fleet *fleet, bool apart)
{
  uint32_t n = fleet->config->targets;
  uint32_t first = (uint32_t) rng_below (&fleet->rng, n);
  struct fleet_target *best = NULL;

  for (uint32_t i = 0; i < n && (apart || best == NULL); i++)
    {
      struct fleet_target *target = &fleet->targets[(first + i) % n];

      if (target->up && (best == NULL || target->n_runs < best->n_runs))
        best = target;
    }
  return best;
}

static void
note_send (struct run *run, int64_t now)
{
  struct fleet *fleet = run->fleet;
  struct bad_request *bad;

  if (!is_bad (fleet, run->request))
    return;
  bad = &fleet->bad[run->request];
  if (bad->third != 0 && now > bad->third + FLEET_CONTACT && fleet_is_in_touch (run->host, now))
    bad->late++;
}

static void
refuse (struct run *run, enum quarantine_verdict verdict, int64_t now)
{
  struct quarantine_fleet_figures *figures = run->fleet->figures;
  bool last = now > START + run->fleet->config->span * 3 / 4;

  if (!is_bad (run->fleet, run->request) && verdict == QUARANTINE_REFUSE)
    {
      figures->sound_held++;
      figures->sound_held_last += last ? 1 : 0;
    }
  if (!is_bad (run->fleet, run->request) && verdict == QUARANTINE_WAIT)
    figures->sound_asked_to_wait++;
  talloc_free (run);
}

static void
send_run (struct run *run, bool apart, int64_t now)
{
  struct fleet *fleet = run->fleet;
  struct quarantine_suspect *suspect = suspect_of (run);
  bool bad = is_bad (fleet, run->request);
  int64_t least = bad ? fleet->config->bad_run / 10 : SOUND_RUN;
  int64_t spread = bad ? fleet->config->bad_run - least : SOUND_RUN_SPREAD;

  run->target = choose_target (fleet, apart);
  if (run->target == NULL)
    {
      lose (run, now);
      return;
    }
  note_send (run, now);
  run->counted = suspect != NULL;
  if (suspect != NULL)
    suspect->running++;
  run->sent = now;
  run->incarnation = run->target->incarnation;
  DL_APPEND (run->target->runs, run);
  run->target->n_runs++;
  run->timer.ops = &run_ops;
  timer_arm (fleet->timers, &run->timer, now + least + fleet_draw (fleet, spread));
}

/* Trials of a request are made by one host. */
static enum quarantine_verdict
judge (struct run *run, int64_t now)
{
  struct quarantine_suspect *suspect = suspect_of (run);
  bool here = run->host == &run->fleet->nodes[run->request % run->fleet->config->hosts];
  enum quarantine_verdict verdict = quarantine_judge (suspect, here, now);
  struct quarantine_suspect tried;

  if (verdict != QUARANTINE_TRY)
    return verdict;
  tried = *suspect;
  tried.trials++;
  tried.tried = now;
  quarantine_control_learn (run->host->control, &tried, now);
  return verdict;
}

static void
arrive (struct fleet *fleet, uint32_t request, bool again, int64_t now)
{
  struct run *run = talloc_zero (fleet, struct run);
  enum quarantine_verdict verdict = QUARANTINE_PASS;

  if (run == NULL)
    return;
  run->fleet = fleet;
  run->request = request;
  run->again = again;
  run->host = &fleet->nodes[rng_below (&fleet->rng, fleet->config->hosts)];
  run->start = run->host->start;
  if (run->host->control == NULL)
    {
      lose (run, now);
      return;
    }
  if (fleet->config->holds_back)
    verdict = judge (run, now);
  if (verdict == QUARANTINE_REFUSE || verdict == QUARANTINE_WAIT)
    refuse (run, verdict, now);
  else
    send_run (run, verdict != QUARANTINE_PASS, now);
}

static int64_t
time_to_next (const struct arrivals *arrivals)
{
  struct fleet *fleet = arrivals->fleet;
  double mean = USEC_PER_SEC / arrivals->rate;
  bool evenly = fleet->config->bad_evenly && is_bad (fleet, arrivals->request);

  return (int64_t) (evenly ? mean : rng_exponential (&fleet->rng, mean));
}

static void
arrival_fired (struct timer *timer, int64_t now)
{
  struct arrivals *arrivals = CONTAINER_OF (timer, struct arrivals, timer);
  struct fleet *fleet = arrivals->fleet;
  uint32_t request = arrivals->request;

  fleet->now = now;
  timer_arm (fleet->timers, timer, now + time_to_next (arrivals));
  if (request > fleet->config->bad)
    {
      bool popular = rng_unit (&fleet->rng) < fleet->config->popular;

      request = popular ? fleet->config->bad : fleet->next_request++;
      fleet->figures->sound++;
      fleet->figures->popular += popular ? 1 : 0;
    }
  arrive (fleet, request, false, now);
}

static const struct timer_ops arrival_ops = { .fire = arrival_fired };

/* ---- faults ---- */

static void
cut_power (struct fleet *fleet, int64_t now)
{
  for (uint32_t i = 0; i < fleet->config->targets; i++)
    if (fleet->targets[i].up && rng_below (&fleet->rng, POWER_CUT_ONE_IN) == 0)
      end_target (&fleet->targets[i], now);
}

static void
trouble_fired (struct timer *timer, int64_t now)
{
  struct fleet *fleet = CONTAINER_OF (timer, struct fleet, troubles);
  uint32_t left = fleet->left[0] + fleet->left[1] + fleet->left[2] + fleet->left[3];
  uint32_t kind = (uint32_t) rng_below (&fleet->rng, 4);

  fleet->now = now;
  if (left == 0)
    return;
  while (fleet->left[kind] == 0)
    kind = (kind + 1) % 4;
  fleet->left[kind]--;
  if (kind == 0)
    cut_power (fleet, now);
  else if (kind == 3)
    fleet_black_out (fleet, now);
  else
    fleet_disturb (fleet, kind == 1, now);
  timer_arm (fleet->timers, timer, now + 2 * fleet_draw (fleet, fleet->config->span / (left + 1)));
}

static const struct timer_ops trouble_ops = { .fire = trouble_fired };

/* ---- simulation ---- */

static void
begin_arrivals (struct fleet *fleet)
{
  const struct quarantine_fleet_config *config = fleet->config;

  for (uint32_t i = 0; i <= config->bad; i++)
    {
      bool all = i == config->bad;
      struct arrivals *arrivals = &fleet->arrivals[i];

      arrivals->fleet = fleet;
      arrivals->timer.ops = &arrival_ops;
      arrivals->request = all ? config->bad + 1 : i;
      arrivals->rate = all ? config->sound_rate : config->bad_rate;
      if (arrivals->rate > 0)
        timer_arm (fleet->timers, &arrivals->timer, fleet->now + USEC_PER_SEC);
    }
  fleet->next_request = config->bad + 1;
}

static bool
build (struct fleet *fleet)
{
  const struct quarantine_fleet_config *config = fleet->config;

  rng_init (&fleet->rng, config->seed);
  fleet->now = START;
  fleet->targets = talloc_zero_array (fleet, struct fleet_target, config->targets);
  if (fleet->targets == NULL || !fleet_build_nodes (fleet))
    return false;
  for (uint32_t i = 0; i < config->targets; i++)
    {
      fleet->targets[i].fleet = fleet;
      fleet->targets[i].timer.ops = &target_ops;
      target_fired (&fleet->targets[i].timer, fleet->now);
    }
  fleet->left[0] = config->power_cuts;
  fleet->left[1] = config->restarts;
  fleet->left[2] = config->cuts;
  fleet->left[3] = config->blackouts;
  fleet->troubles.ops = &trouble_ops;
  timer_arm (fleet->timers, &fleet->troubles, fleet->now + USEC_PER_SEC);
  begin_arrivals (fleet);
  return true;
}

static void
note_memory (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->n_nodes; i++)
    if (fleet->nodes[i].control != NULL)
      {
        size_t size = talloc_total_size (fleet->nodes[i].control);

        if (size > fleet->figures->memory)
          fleet->figures->memory = (uint32_t) size;
      }
}

bool
quarantine_fleet_play (const struct quarantine_fleet_config *config,
                       struct quarantine_fleet_figures *out)
{
  struct fleet *fleet = talloc_zero (NULL, struct fleet);
  struct timer_service *timers = timer_service_new (fleet);
  bool built = false;

  *out = (struct quarantine_fleet_figures){ .ends = 0 };
  if (fleet != NULL && timers != NULL)
    {
      fleet->config = config;
      fleet->figures = out;
      fleet->timers = timers;
      built = build (fleet);
    }
  while (built && timer_service_next (timers) < START + config->span)
    {
      if (timer_service_next (timers) > fleet->now)
        fleet->now = timer_service_next (timers);
      timer_service_run (timers, fleet->now);
    }
  if (built)
    {
      note_memory (fleet);
      out->messages = fleet->messages / config->hosts / ((double) config->span / USEC_PER_SEC);
      out->bytes = fleet->bytes / config->hosts / ((double) config->span / USEC_PER_SEC);
      for (uint32_t i = 0; i < config->bad; i++)
        if (fleet->bad[i].late > out->late_most)
          out->late_most = fleet->bad[i].late;
    }
  /* Each node disarms its timer; the objects that hold the other timers must still exist. */
  for (uint32_t i = 0; fleet != NULL && i < fleet->n_nodes; i++)
    talloc_free (fleet->nodes[i].control);
  talloc_free (fleet);
  return built;
}
