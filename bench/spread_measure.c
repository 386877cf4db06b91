/* Benchmarks of membership protocols.  Trials are independent, each with new instances. */
#include "spread_measure.h"
#include "rng.h"
#include "status.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define DELAY (1 * USEC_PER_MSEC)
#define WARM_UP (60 * USEC_PER_SEC)
#define POLL (50 * USEC_PER_MSEC)
#define GIVE_UP (120 * USEC_PER_SEC)

struct group
{
  void *memory;
  struct spread_net *net;
  const struct spread_protocol *way;
  struct spread_node *nodes[SPREAD_HOSTS_MAX];
  uint32_t n;
};

static struct group *
start_group (const struct spread_case *c, uint64_t seed)
{
  struct group *group = talloc_zero (NULL, struct group);

  INVARIANT (group != NULL);
  group->net = spread_net_new (group, seed, DELAY);
  group->way = c->way;
  group->n = c->n_hosts;
  for (uint32_t i = 0; i < c->n_hosts; i++)
    group->nodes[i] = c->way->start (group, group->net, i, c->n_hosts, seed);
  spread_net_run (group->net, WARM_UP);
  spread_net_set_loss (group->net, c->loss);
  return group;
}

static void
read_traffic (const struct group *group, struct spread_traffic out[SPREAD_HOSTS_MAX])
{
  for (uint32_t i = 0; i < group->n; i++)
    out[i] = spread_net_traffic (group->net, i);
}

static uint32_t
count_seen (const struct group *group)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->n; i++)
    for (uint32_t j = 0; j < group->n; j++)
      count += i != j && group->way->sees (group->nodes[i], j) ? 1 : 0;
  return count;
}

static void
run_busy (struct group *group, int64_t span, uint64_t seed)
{
  struct rng rng;

  rng_init (&rng, seed);
  for (int64_t done = 0; done < span; done += USEC_PER_SEC)
    {
      for (uint32_t i = 0; i < group->n && group->way->change_load != NULL; i++)
        group->way->change_load (group->nodes[i], rng_unit (&rng),
                                 100 + (uint64_t) (done / USEC_PER_SEC / 20));
      spread_net_run (group->net, USEC_PER_SEC);
    }
}

static void
measure_cost (const struct spread_case *c, bool busy)
{
  struct group *group = start_group (c, c->seed);
  struct spread_traffic before[SPREAD_HOSTS_MAX] = { 0 };
  struct spread_traffic after[SPREAD_HOSTS_MAX] = { 0 };
  double seconds = (double) c->span / USEC_PER_SEC;
  double messages = 0;
  double bytes = 0;
  double most = 0;

  read_traffic (group, before);
  if (busy)
    run_busy (group, c->span, c->seed);
  else
    spread_net_run (group->net, c->span);
  read_traffic (group, after);
  for (uint32_t i = 0; i < group->n; i++)
    {
      double mine = (double) (after[i].bytes - before[i].bytes) / seconds;

      messages += (double) (after[i].messages - before[i].messages) / seconds / group->n;
      bytes += mine / group->n;
      most = mine > most ? mine : most;
    }
  printf (
      "%s way=%s hosts=%u messages_per_host_s=%.2f bytes_per_host_s=%.0f most=%.0f seen=%u/%u\n",
      busy ? "busy" : "idle", c->way->name, c->n_hosts, messages, bytes, most, count_seen (group),
      c->n_hosts * (c->n_hosts - 1));
  talloc_free (group);
}

void
spread_measure_idle (const struct spread_case *c)
{
  measure_cost (c, false);
}

void
spread_measure_busy (const struct spread_case *c)
{
  measure_cost (c, true);
}

/* ---- detection times ---- */

struct samples
{
  double *values; /* seconds */
  uint32_t count;
  uint32_t never;
};

static void
add_sample (struct samples *samples, double value)
{
  samples->values = talloc_realloc (NULL, samples->values, double, samples->count + 1);
  INVARIANT (samples->values != NULL);
  samples->values[samples->count++] = value;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *) a;
  double right = *(const double *) b;

  return left < right ? -1 : left > right ? 1 : 0;
}

static double
quantile (const struct samples *samples, double q)
{
  if (samples->count == 0)
    return 0;
  return samples->values[(uint32_t) (q * (samples->count - 1))];
}

static void
print_samples (const char *what, struct samples *samples)
{
  if (samples->count > 0)
    qsort (samples->values, samples->count, sizeof samples->values[0], compare_doubles);
  printf (" %s_p50=%.2f %s_p99=%.2f %s_max=%.2f never=%u", what, quantile (samples, 0.5), what,
          quantile (samples, 0.99), what, quantile (samples, 1), samples->never);
  talloc_free (samples->values);
}

/* Adds the time since `from` for each host whose `look` at `about` first returns `wanted`. */
static void
sample_detections (struct group *group,
                   uint32_t about,
                   bool (*look) (const struct spread_node *node, uint32_t about),
                   bool wanted,
                   int64_t from,
                   bool done[SPREAD_HOSTS_MAX],
                   struct samples *samples)
{
  for (uint32_t i = 0; i < group->n; i++)
    {
      if (i == about || done[i] || look (group->nodes[i], about) != wanted)
        continue;
      done[i] = true;
      add_sample (samples, (double) (spread_net_now (group->net) - from) / USEC_PER_SEC);
    }
}

struct detection
{
  struct samples unnamed; /* no longer listed to callers */
  struct samples dead;
};

static uint32_t
count_done (const struct group *group, const bool done[SPREAD_HOSTS_MAX])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->n; i++)
    count += done[i] ? 1 : 0;
  return count;
}

static void
wait_for_detection (struct group *group,
                    uint32_t about,
                    bool until_dead,
                    struct detection *detection)
{
  bool unnamed[SPREAD_HOSTS_MAX] = { false };
  bool dead[SPREAD_HOSTS_MAX] = { false };
  int64_t from = spread_net_now (group->net);

  while (spread_net_now (group->net) - from < GIVE_UP
         && count_done (group, until_dead ? dead : unnamed) < group->n - 1)
    {
      spread_net_run (group->net, POLL);
      sample_detections (group, about, group->way->sees, false, from, unnamed, &detection->unnamed);
      sample_detections (group, about, group->way->considers_dead, true, from, dead,
                         &detection->dead);
    }
  detection->unnamed.never += group->n - 1 - count_done (group, unnamed);
  detection->dead.never += until_dead ? group->n - 1 - count_done (group, dead) : 0;
}

static void
measure_detection (const struct spread_case *c, bool silent)
{
  struct detection detection = { 0 };

  for (uint32_t trial = 0; trial < c->trials; trial++)
    {
      struct group *group = start_group (c, c->seed + trial);
      uint32_t victim = trial % c->n_hosts;

      /* Each trial starts at a different phase of the probe round. */
      spread_net_run (group->net, (int64_t) trial * 137 * USEC_PER_MSEC);
      if (silent)
        for (uint32_t i = 0; i < group->n; i++)
          {
            spread_net_cut (group->net, i, victim, true);
            spread_net_cut (group->net, victim, i, true);
          }
      else
        spread_net_stop (group->net, victim, false);
      wait_for_detection (group, victim, true, &detection);
      talloc_free (group);
    }
  printf ("%s way=%s hosts=%u trials=%u loss=%.3f", silent ? "silent" : "dead", c->way->name,
          c->n_hosts, c->trials, c->loss);
  print_samples ("unnamed_s", &detection.unnamed);
  print_samples ("dead_s", &detection.dead);
  printf ("\n");
}

void
spread_measure_dead (const struct spread_case *c)
{
  measure_detection (c, false);
}

void
spread_measure_silent (const struct spread_case *c)
{
  measure_detection (c, true);
}

static uint64_t
total_bytes (const struct group *group, uint64_t *messages)
{
  uint64_t bytes = 0;

  *messages = 0;
  for (uint32_t i = 0; i < group->n; i++)
    {
      struct spread_traffic traffic = spread_net_traffic (group->net, i);

      bytes += traffic.bytes;
      *messages += traffic.messages;
    }
  return bytes;
}

/* Extra traffic of one leave over an idle period of the same length. */
void
spread_measure_leave (const struct spread_case *c)
{
  struct detection detection = { 0 };
  double extra_bytes = 0;
  double extra_messages = 0;

  for (uint32_t trial = 0; trial < c->trials; trial++)
    {
      struct group *group = start_group (c, c->seed + trial);
      uint64_t messages[3];
      uint64_t bytes[3];
      int64_t window = 20 * USEC_PER_SEC;
      int64_t from;

      bytes[0] = total_bytes (group, &messages[0]);
      spread_net_run (group->net, window);
      bytes[1] = total_bytes (group, &messages[1]);
      from = spread_net_now (group->net);
      c->way->leave (group->nodes[trial % c->n_hosts], from);
      wait_for_detection (group, trial % c->n_hosts, false, &detection);
      spread_net_run (group->net, from + window - spread_net_now (group->net));
      bytes[2] = total_bytes (group, &messages[2]);
      extra_bytes += (double) (bytes[2] - bytes[1]) - (double) (bytes[1] - bytes[0]);
      extra_messages += (double) (messages[2] - messages[1]) - (double) (messages[1] - messages[0]);
      talloc_free (group);
    }
  printf ("leave way=%s hosts=%u trials=%u loss=%.3f extra_bytes_per_host=%.0f "
          "extra_messages_per_host=%.2f",
          c->way->name, c->n_hosts, c->trials, c->loss, extra_bytes / c->trials / c->n_hosts,
          extra_messages / c->trials / c->n_hosts);
  print_samples ("unnamed_s", &detection.unnamed);
  printf ("\n");
}

/* All hosts stay alive, so every detection is a false positive. */
static void
count_alarms (const struct spread_case *c, struct group *group, const char *what)
{
  bool *named = talloc_zero_array (group, bool, (size_t) c->n_hosts * c->n_hosts);
  bool *dead = talloc_zero_array (group, bool, (size_t) c->n_hosts * c->n_hosts);
  int64_t end = spread_net_now (group->net) + c->span;
  uint64_t unnamed_count = 0;
  uint64_t dead_count = 0;
  uint64_t unnamed_polls = 0;
  int64_t step = 250 * USEC_PER_MSEC;

  INVARIANT (named != NULL && dead != NULL);
  memset (named, 1, (size_t) c->n_hosts * c->n_hosts);
  while (spread_net_now (group->net) < end)
    {
      spread_net_run (group->net, step);
      for (uint32_t pair = 0; pair < c->n_hosts * c->n_hosts; pair++)
        {
          uint32_t i = pair / c->n_hosts;
          uint32_t j = pair % c->n_hosts;
          bool now_named = i == j || group->way->sees (group->nodes[i], j);
          bool now_dead = i != j && group->way->considers_dead (group->nodes[i], j);

          unnamed_count += named[pair] && !now_named ? 1 : 0;
          dead_count += !dead[pair] && now_dead ? 1 : 0;
          unnamed_polls += now_named ? 0 : 1;
          named[pair] = now_named;
          dead[pair] = now_dead;
        }
    }
  printf ("%s way=%s hosts=%u minutes=%.0f loss=%.3f unnamed=%llu dead=%llu unnamed_seconds=%.1f\n",
          what, c->way->name, c->n_hosts, (double) c->span / USEC_PER_SEC / 60, c->loss,
          (unsigned long long) unnamed_count, (unsigned long long) dead_count,
          (double) (unnamed_polls * (uint64_t) step) / USEC_PER_SEC);
}

void
spread_measure_alarms (const struct spread_case *c)
{
  struct group *group = start_group (c, c->seed);

  count_alarms (c, group, "alarms");
  talloc_free (group);
}

/* One link is cut in both directions. */
void
spread_measure_link (const struct spread_case *c)
{
  struct group *group = start_group (c, c->seed);

  spread_net_cut (group->net, 3, 5, true);
  spread_net_cut (group->net, 5, 3, true);
  count_alarms (c, group, "link");
  talloc_free (group);
}
