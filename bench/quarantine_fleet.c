/* Targets and requests of the fleet simulation. */
#include "quarantine_fleet.h"
#include "container.h"
#include "quarantine_fleet_private.h"
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#define START (100 * USEC_PER_SEC)

/* Delay in microseconds until a host learns that a broken connection was a crash of the target. */
#define PROBE_DELAY_MIN_USEC 200
#define PROBE_DELAY_SPREAD (10 * USEC_PER_MSEC)

/* A target restarts after two to four seconds. */
#define TARGET_RESTART_TIME (2 * USEC_PER_SEC)
#define NORMAL_RUN_MIN (100 * USEC_PER_MSEC)
#define NORMAL_RUN_SPREAD (900 * USEC_PER_MSEC)

/* A power cut takes one target in this many. */
#define POWER_CUT_ONE_IN 4

/* ---- targets ---- */

static void crash_detected (struct timer *timer, int64_t now);

static const struct timer_ops crash_detected_ops = { .fire = crash_detected };

static void
target_restarted (struct timer *timer, int64_t now)
{
  struct fleet_target *target = CONTAINER_OF (timer, struct fleet_target, timer);

  (void) now;
  target->up = true;
  target->incarnation = rng_u64 (&target->fleet->rng);
}

static const struct timer_ops target_ops = { .fire = target_restarted };

static void
leave_target (struct run *run)
{
  DL_DELETE (run->target->runs, run);
  run->target->n_runs--;
}

/* All runs on the target break; each host learns of the crash after a probe delay. */
static void
crash_target (struct fleet_target *target, int64_t now)
{
  struct fleet *fleet = target->fleet;
  struct run *run;
  struct run *next;

  DL_FOREACH_SAFE (target->runs, run, next)
    {
      leave_target (run);
      run->broke_at = now;
      run->timer.ops = &crash_detected_ops;
      timer_arm (fleet->timers, &run->timer,
                 now + PROBE_DELAY_MIN_USEC + fleet_draw (fleet, PROBE_DELAY_SPREAD));
    }
  target->up = false;
  timer_arm (fleet->timers, &target->timer,
             now + TARGET_RESTART_TIME + fleet_draw (fleet, TARGET_RESTART_TIME));
}

/* ---- requests ---- */

static bool
is_popular (const struct fleet *fleet, uint32_t request)
{
  return request == fleet->config->poison;
}

static void handle_arrival (struct fleet *fleet, uint32_t request, bool is_retry, int64_t now);

static void
retry_fired (struct timer *timer, int64_t now)
{
  struct run *run = CONTAINER_OF (timer, struct run, timer);

  handle_arrival (run->fleet, run->request, true, now);
  talloc_free (run);
}

static const struct timer_ops retry_ops = { .fire = retry_fired };

/* The client retries a normal request once; poison requests arrive at their own rate. */
static void
retry_or_drop (struct run *run, int64_t now)
{
  struct fleet *fleet = run->fleet;

  if (fleet_is_poison (fleet, run->request))
    {
      talloc_free (run);
      return;
    }
  if (run->is_retry)
    {
      fleet->figures->normal_lost++;
      talloc_free (run);
      return;
    }
  run->timer.ops = &retry_ops;
  timer_arm (fleet->timers, &run->timer,
             now + NORMAL_RUN_MIN + fleet_draw (fleet, NORMAL_RUN_SPREAD));
}

static void
crash_detected (struct timer *timer, int64_t now)
{
  struct run *run = CONTAINER_OF (timer, struct run, timer);

  fleet_run_finished (run);
  fleet_note_crash (run, now);
  retry_or_drop (run, now);
}

static void
count_poison_crash (struct poison_request *poison, struct fleet *fleet, int64_t now)
{
  fleet->figures->crashes++;
  poison->crashes++;
  if (poison->crashes == QUARANTINE_CRASH_THRESHOLD)
    poison->third_crash_at = now;
}

/* The run reaches the outcome that was drawn for it. */
static void
run_fired (struct timer *timer, int64_t now)
{
  struct run *run = CONTAINER_OF (timer, struct run, timer);
  struct fleet *fleet = run->fleet;

  if (fleet_is_poison (fleet, run->request))
    {
      count_poison_crash (&fleet->poison[run->request], fleet, now);
      crash_target (run->target, now);
      return;
    }
  leave_target (run);
  fleet_run_finished (run);
  if (is_popular (fleet, run->request) && rng_unit (&fleet->rng) < fleet->config->reset_share)
    {
      retry_or_drop (run, now);
      return;
    }
  fleet_note_answer (run, now);
  talloc_free (run);
}

static const struct timer_ops run_ops = { .fire = run_fired };

/* A random target that is up; for a suspect the one with the fewest runs. */
static struct fleet_target *
choose_target (struct fleet *fleet, bool least_loaded)
{
  uint32_t n = fleet->config->targets;
  uint32_t first = (uint32_t) rng_below (&fleet->rng, n);
  struct fleet_target *best = NULL;

  for (uint32_t i = 0; i < n && (least_loaded || best == NULL); i++)
    {
      struct fleet_target *target = &fleet->targets[(first + i) % n];

      if (target->up && (best == NULL || target->n_runs < best->n_runs))
        best = target;
    }
  return best;
}

static void
count_late_send (struct run *run, int64_t now)
{
  struct fleet *fleet = run->fleet;
  struct poison_request *poison;

  if (!fleet_is_poison (fleet, run->request))
    return;
  poison = &fleet->poison[run->request];
  if (poison->third_crash_at != 0 && now > poison->third_crash_at + FLEET_SETTLE_TIME
      && fleet_is_settled (run->host, now))
    poison->late_sends++;
}

static void
refuse (struct run *run, enum quarantine_verdict verdict, int64_t now)
{
  struct quarantine_fleet_figures *figures = run->fleet->figures;
  bool last = now > START + run->fleet->config->duration * 3 / 4;

  if (!fleet_is_poison (run->fleet, run->request) && verdict == QUARANTINE_REFUSE)
    {
      figures->normal_held++;
      figures->normal_held_last += last ? 1 : 0;
    }
  if (!fleet_is_poison (run->fleet, run->request) && verdict == QUARANTINE_WAIT)
    figures->normal_deferred++;
  talloc_free (run);
}

static void
send_run (struct run *run, bool least_loaded, int64_t now)
{
  struct fleet *fleet = run->fleet;
  bool poison = fleet_is_poison (fleet, run->request);
  int64_t least = poison ? fleet->config->poison_run_max / 10 : NORMAL_RUN_MIN;
  int64_t spread = poison ? fleet->config->poison_run_max - least : NORMAL_RUN_SPREAD;

  run->target = choose_target (fleet, least_loaded);
  if (run->target == NULL)
    {
      retry_or_drop (run, now);
      return;
    }
  count_late_send (run, now);
  fleet_run_started (run);
  run->sent_at = now;
  run->incarnation = run->target->incarnation;
  DL_APPEND (run->target->runs, run);
  run->target->n_runs++;
  run->timer.ops = &run_ops;
  timer_arm (fleet->timers, &run->timer, now + least + fleet_draw (fleet, spread));
}

static void
handle_arrival (struct fleet *fleet, uint32_t request, bool is_retry, int64_t now)
{
  struct run *run = talloc_zero (fleet, struct run);
  enum quarantine_verdict verdict = QUARANTINE_PASS;

  if (run == NULL)
    return;
  run->fleet = fleet;
  run->request = request;
  run->content =
      fleet->config->prompts && fleet_is_poison (fleet, request) ? fleet->next_request++ : request;
  run->is_retry = is_retry;
  fleet_read_features (run);
  run->host = &fleet->nodes[rng_below (&fleet->rng, fleet->config->hosts)];
  run->start_count = run->host->start_count;
  if (run->host->control == NULL)
    {
      retry_or_drop (run, now);
      return;
    }
  if (fleet->config->quarantine_enabled)
    verdict = fleet_judge (run, now);
  if (verdict == QUARANTINE_REFUSE || verdict == QUARANTINE_WAIT)
    refuse (run, verdict, now);
  else
    send_run (run, verdict != QUARANTINE_PASS, now);
}

static int64_t
interarrival_time (const struct arrivals *arrivals)
{
  struct fleet *fleet = arrivals->fleet;
  double mean = USEC_PER_SEC / arrivals->rate;
  bool evenly = fleet->config->poison_is_periodic && fleet_is_poison (fleet, arrivals->request);

  return (int64_t) (evenly ? mean : rng_exponential (&fleet->rng, mean));
}

static void
arrival_fired (struct timer *timer, int64_t now)
{
  struct arrivals *arrivals = CONTAINER_OF (timer, struct arrivals, timer);
  struct fleet *fleet = arrivals->fleet;
  uint32_t request = arrivals->request;

  fleet->now = now;
  timer_arm (fleet->timers, timer, now + interarrival_time (arrivals));
  if (request > fleet->config->poison)
    {
      bool popular = rng_unit (&fleet->rng) < fleet->config->popular;

      request = popular ? fleet->config->poison : fleet->next_request++;
      fleet->figures->normal++;
      fleet->figures->popular += popular ? 1 : 0;
    }
  handle_arrival (fleet, request, false, now);
}

static const struct timer_ops arrival_ops = { .fire = arrival_fired };

/* ---- faults ---- */

/* A target crashes by itself. */
static void
crash_fired (struct timer *timer, int64_t now)
{
  struct fleet *fleet = CONTAINER_OF (timer, struct fleet, crash_timer);
  struct fleet_target *target = choose_target (fleet, false);
  double mean = USEC_PER_SEC / fleet->config->own_crashes;

  fleet->now = now;
  if (target != NULL)
    crash_target (target, now);
  timer_arm (fleet->timers, timer, now + (int64_t) rng_exponential (&fleet->rng, mean));
}

static const struct timer_ops crash_ops = { .fire = crash_fired };

static void
cut_power (struct fleet *fleet, int64_t now)
{
  for (uint32_t i = 0; i < fleet->config->targets; i++)
    if (fleet->targets[i].up && rng_below (&fleet->rng, POWER_CUT_ONE_IN) == 0)
      crash_target (&fleet->targets[i], now);
}

static void
fault_fired (struct timer *timer, int64_t now)
{
  struct fleet *fleet = CONTAINER_OF (timer, struct fleet, fault_timer);
  uint32_t faults_left =
      fleet->faults_left[0] + fleet->faults_left[1] + fleet->faults_left[2] + fleet->faults_left[3];
  uint32_t kind = (uint32_t) rng_below (&fleet->rng, 4);

  fleet->now = now;
  if (faults_left == 0)
    return;
  while (fleet->faults_left[kind] == 0)
    kind = (kind + 1) % 4;
  fleet->faults_left[kind]--;
  if (kind == 0)
    cut_power (fleet, now);
  else if (kind == 3)
    fleet_restart_all (fleet, now);
  else
    fleet_inject_fault (fleet, kind == 1, now);
  timer_arm (fleet->timers, timer,
             now + 2 * fleet_draw (fleet, fleet->config->duration / (faults_left + 1)));
}

static const struct timer_ops fault_ops = { .fire = fault_fired };

/* ---- simulation ---- */

static void
start_arrivals (struct fleet *fleet)
{
  const struct quarantine_fleet_config *config = fleet->config;

  for (uint32_t i = 0; i <= config->poison; i++)
    {
      bool all = i == config->poison;
      struct arrivals *arrivals = &fleet->arrivals[i];

      arrivals->fleet = fleet;
      arrivals->timer.ops = &arrival_ops;
      arrivals->request = all ? config->poison + 1 : i;
      arrivals->rate = all ? config->normal_rate : config->poison_rate;
      if (arrivals->rate > 0)
        timer_arm (fleet->timers, &arrivals->timer,
                   fleet->now + (all ? USEC_PER_SEC : config->poison_after));
    }
  fleet->next_request = config->poison + 1;
}

static bool
build (struct fleet *fleet)
{
  const struct quarantine_fleet_config *config = fleet->config;

  rng_init (&fleet->rng, config->seed);
  fleet->now = START;
  fleet->targets = talloc_zero_array (fleet, struct fleet_target, config->targets);
  if (fleet->targets == NULL || !fleet_create_nodes (fleet))
    return false;
  for (uint32_t i = 0; i < config->targets; i++)
    {
      fleet->targets[i].fleet = fleet;
      fleet->targets[i].timer.ops = &target_ops;
      target_restarted (&fleet->targets[i].timer, fleet->now);
    }
  fleet->faults_left[0] = config->power_cuts;
  fleet->faults_left[1] = config->restarts;
  fleet->faults_left[2] = config->partitions;
  fleet->faults_left[3] = config->full_restarts;
  fleet->fault_timer.ops = &fault_ops;
  timer_arm (fleet->timers, &fleet->fault_timer, fleet->now + USEC_PER_SEC);
  fleet->crash_timer.ops = &crash_ops;
  if (config->own_crashes > 0)
    timer_arm (fleet->timers, &fleet->crash_timer, fleet->now + USEC_PER_SEC);
  start_arrivals (fleet);
  return true;
}

static void
record_table_bytes (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->n_nodes; i++)
    if (fleet->nodes[i].control != NULL)
      {
        size_t size = talloc_total_size (fleet->nodes[i].control);

        if (size > fleet->figures->table_bytes)
          fleet->figures->table_bytes = (uint32_t) size;
      }
}

bool
quarantine_fleet_simulate (const struct quarantine_fleet_config *config,
                           struct quarantine_fleet_figures *out)
{
  struct fleet *fleet = talloc_zero (NULL, struct fleet);
  struct timer_service *timers = timer_service_new (fleet);
  bool built = false;

  *out = (struct quarantine_fleet_figures){ .crashes = 0 };
  if (fleet != NULL && timers != NULL)
    {
      fleet->config = config;
      fleet->figures = out;
      fleet->timers = timers;
      built = build (fleet);
    }
  while (built && timer_service_next_due (timers) < START + config->duration)
    {
      if (timer_service_next_due (timers) > fleet->now)
        fleet->now = timer_service_next_due (timers);
      timer_service_run (timers, fleet->now);
    }
  if (built)
    {
      record_table_bytes (fleet);
      out->messages = fleet->messages / config->hosts / ((double) config->duration / USEC_PER_SEC);
      out->bytes = fleet->bytes / config->hosts / ((double) config->duration / USEC_PER_SEC);
      for (uint32_t i = 0; i < config->poison; i++)
        if (fleet->poison[i].late_sends > out->late_sends_max)
          out->late_sends_max = fleet->poison[i].late_sends;
    }
  /* Each node disarms its timer; the objects that hold the other timers must still exist. */
  for (uint32_t i = 0; fleet != NULL && i < fleet->n_nodes; i++)
    talloc_free (fleet->nodes[i].control);
  talloc_free (fleet);
  return built;
}
