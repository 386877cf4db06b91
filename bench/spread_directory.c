/* Benchmarks of the directory: traffic by number of targets, and how long new work still goes to a
 * target that leaves or dies. */
#include "counter.h"
#include "directory.h"
#include "pack.h"
#include "rng.h"
#include "spread_measure.h"
#include "status.h"
#include "text.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define DELAY (1 * USEC_PER_MSEC)
#define HOME 0
#define POLL (10 * USEC_PER_MSEC)

struct follower
{
  struct spread_node node; /* first member */
  struct directory_wire wire;
  struct board *board;
  struct directory *directory;
};

struct testbed
{
  void *memory;
  struct spread_net *net;
  struct counters *counters;
  struct follower *hosts[SPREAD_HOSTS_MAX];
  uint32_t n_hosts;
  uint32_t n_homes; /* the first hosts; targets are spread over them */
  uint32_t n_targets;
  struct directory_record *targets;
  int64_t *renew_at; /* each target's next renewal; USEC_NEVER once it has left or died */
};

static void
wire_send (struct directory_wire *wire, const char *host, const void *data, size_t length)
{
  struct follower *self = (struct follower *) ((char *) wire - offsetof (struct follower, wire));

  spread_net_send (self->node.net, self->node.index, (uint32_t) strtoul (host + 1, NULL, 10), data,
                   length);
}

static const struct directory_wire_ops wire_ops = { .send = wire_send };

static void
receive (struct spread_node *node, uint32_t from, const void *data, size_t length, int64_t now)
{
  char name[RESOURCE_NAME_SIZE];

  snprintf (name, sizeof name, "h%u", from);
  directory_receive (((struct follower *) node)->directory, name, data, length, now);
}

static int64_t
tick (struct spread_node *node, int64_t now)
{
  return directory_tick (((struct follower *) node)->directory, now);
}

static const struct spread_node_ops node_ops = { .receive = receive, .tick = tick };

static void
start_host (struct testbed *testbed, uint32_t index, uint64_t seed)
{
  struct follower *self = talloc_zero (testbed, struct follower);
  struct directory_config config = { 0 };
  char name[RESOURCE_NAME_SIZE];

  INVARIANT (self != NULL);
  self->node.ops = &node_ops;
  self->wire.ops = &wire_ops;
  self->board = board_new (self);
  for (uint32_t i = 0; i < testbed->n_hosts; i++)
    {
      struct handle handle;
      struct board_host *host = table_add (self->board->hosts, &handle);

      snprintf (host->name, sizeof host->name, "h%u", i);
      host->self = i == index;
      if (host->self)
        self->board->self = handle;
    }
  snprintf (name, sizeof name, "h%u", index);
  config.board = self->board;
  config.counters = testbed->counters;
  config.wire = &self->wire;
  config.self = name;
  config.incarnation = 1700000000000;
  config.seed = seed + index;
  self->directory = directory_new (self, &config);
  INVARIANT (self->directory != NULL);
  testbed->hosts[index] = self;
  spread_net_add_node (testbed->net, index, &self->node);
}

static void
announce_all (struct testbed *testbed, struct rng *rng)
{
  int64_t now = spread_net_now (testbed->net);

  for (uint32_t i = 0; i < testbed->n_targets; i++)
    {
      struct directory_record *t = &testbed->targets[i];

      snprintf (t->name, sizeof t->name, "runner-%04u", i);
      snprintf (t->pool, sizeof t->pool, "pool-%02u", i % 20);
      snprintf (t->domain, sizeof t->domain, "bkk-%u", i % 8);
      snprintf (t->address, sizeof t->address, "10.1.%u.%u:9000", i / 250, i % 250);
      text_copy_truncated (t->models[0], sizeof t->models[0], "claims-letters-7b");
      text_copy_truncated (t->version, sizeof t->version, "2026-11-28");
      t->n_models = 1;
      t->kind = STAGE_GENERATE;
      t->slots = 16;
      t->incarnation = 1700000000000;
      t->sequence = 1;
      INVARIANT (directory_announce (testbed->hosts[i % testbed->n_homes]->directory, t, now)
                 == STATUS_OK);
      testbed->renew_at[i] = now + (int64_t) rng_below (rng, DIRECTORY_RENEW_INTERVAL);
    }
}

static struct testbed *
start_testbed (uint32_t n_hosts, uint32_t n_homes, uint32_t n_targets, uint64_t seed)
{
  struct testbed *testbed = talloc_zero (NULL, struct testbed);
  struct rng rng;

  INVARIANT (testbed != NULL);
  rng_init (&rng, seed);
  testbed->net = spread_net_new (testbed, seed, DELAY);
  testbed->counters = counters_new (testbed);
  testbed->n_hosts = n_hosts;
  testbed->n_homes = n_homes;
  testbed->n_targets = n_targets;
  testbed->targets = talloc_zero_array (testbed, struct directory_record, n_targets);
  testbed->renew_at = talloc_zero_array (testbed, int64_t, n_targets);
  INVARIANT (testbed->targets != NULL && testbed->renew_at != NULL);
  for (uint32_t i = 0; i < n_hosts; i++)
    start_host (testbed, i, seed);
  announce_all (testbed, &rng);
  return testbed;
}

static void
run_testbed (struct testbed *testbed, int64_t span)
{
  int64_t end = spread_net_now (testbed->net) + span;

  while (spread_net_now (testbed->net) < end)
    {
      int64_t now = spread_net_now (testbed->net);

      for (uint32_t i = 0; i < testbed->n_targets; i++)
        {
          const struct directory_record *t = &testbed->targets[i];
          struct directory_key key = { t->name, t->incarnation, t->sequence };

          if (now < testbed->renew_at[i])
            continue;
          (void) directory_renew (testbed->hosts[i % testbed->n_homes]->directory, &key, now);
          testbed->renew_at[i] += DIRECTORY_RENEW_INTERVAL;
        }
      spread_net_run (testbed->net, POLL);
    }
}

static uint32_t
count_usable (const struct testbed *testbed, uint32_t host)
{
  const struct board_target *target;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((target = table_next (testbed->hosts[host]->board->targets, &cursor, NULL)) != NULL)
    count += board_target_is_usable (target, spread_net_now (testbed->net)) ? 1 : 0;
  return count;
}

/* Size of one renewal forwarded on its own: name, incarnation, sequence. */
static size_t
renewal_bytes (const struct testbed *testbed)
{
  const struct directory_record *t = &testbed->targets[0];
  struct bytes out;
  size_t length;

  bytes_init (&out, testbed->counters);
  pack_text (&out, t->name);
  pack_uint (&out, t->incarnation);
  pack_uint (&out, t->sequence);
  length = out.length;
  bytes_clear (&out);
  return length;
}

void
spread_measure_directory (
    uint32_t n_hosts, uint32_t n_homes, uint32_t n_targets, int64_t span, uint64_t seed)
{
  struct testbed *testbed = start_testbed (n_hosts, n_homes, n_targets, seed);
  double seconds = (double) span / USEC_PER_SEC;
  struct spread_traffic home[3];
  struct spread_traffic other[3];
  uint32_t usable;

  home[0] = spread_net_traffic (testbed->net, HOME);
  other[0] = spread_net_traffic (testbed->net, n_hosts - 1);
  run_testbed (testbed, 30 * USEC_PER_SEC);
  home[1] = spread_net_traffic (testbed->net, HOME);
  other[1] = spread_net_traffic (testbed->net, n_hosts - 1);
  run_testbed (testbed, span);
  home[2] = spread_net_traffic (testbed->net, HOME);
  other[2] = spread_net_traffic (testbed->net, n_hosts - 1);
  usable = count_usable (testbed, n_hosts - 1);
  printf ("directory hosts=%u homes=%u targets=%u start_bytes_home=%llu home_bytes_s=%.0f "
          "home_messages_s=%.2f "
          "host_bytes_s=%.0f host_messages_s=%.2f usable=%u each_renewal_passed_on_bytes_s=%.0f\n",
          n_hosts, n_homes, n_targets, (unsigned long long) (home[1].bytes - home[0].bytes),
          (double) (home[2].bytes - home[1].bytes) / seconds,
          (double) (home[2].messages - home[1].messages) / seconds,
          (double) (other[2].bytes - other[1].bytes) / seconds,
          (double) (other[2].messages - other[1].messages) / seconds, usable,
          (double) n_targets * (n_hosts - 1) * (double) renewal_bytes (testbed));
  talloc_free (testbed);
}

/* ---- time until no new work is sent ---- */

enum ending
{
  LEAVES,        /* notifies its home */
  LEAVES_UNTOLD, /* as above, while the link from its home to one host is cut */
  DIES,          /* stops renewing */
  ENDING_COUNT
};

static const char *const endings[] = { "leaves", "leaves-untold", "dies" };

/* Returns the seconds until the last host stops using the target. */
static double
trial_ending (enum ending ending, uint32_t n_hosts, double loss, uint64_t seed)
{
  struct testbed *testbed = start_testbed (n_hosts, 1, 18, seed);
  const struct directory_record *t = &testbed->targets[7];
  struct directory_key key = { t->name, t->incarnation, t->sequence + 1 };
  int64_t last = 0;
  int64_t from;

  spread_net_set_loss (testbed->net, loss);
  run_testbed (testbed, 5 * USEC_PER_SEC + (int64_t) (seed % 100) * POLL);
  from = spread_net_now (testbed->net);
  if (ending == LEAVES_UNTOLD)
    spread_net_cut (testbed->net, HOME, 1 + (uint32_t) (seed % (n_hosts - 1)), true);
  if (ending == DIES)
    from = testbed->renew_at[7] - DIRECTORY_RENEW_INTERVAL; /* its last renewal */
  else
    INVARIANT (directory_leave (testbed->hosts[HOME]->directory, &key, from) == STATUS_OK);
  testbed->renew_at[7] = USEC_NEVER;
  for (int step = 0; step < 500; step++)
    {
      for (uint32_t i = 0; i < n_hosts; i++)
        {
          const struct board_target *seen =
              board_find_target (testbed->hosts[i]->board, t->name, NULL);

          if (seen != NULL && board_target_is_usable (seen, spread_net_now (testbed->net)))
            last = spread_net_now (testbed->net) - from;
        }
      run_testbed (testbed, POLL);
    }
  talloc_free (testbed);
  return (double) last / USEC_PER_SEC;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *) a;
  double right = *(const double *) b;

  return left < right ? -1 : left > right ? 1 : 0;
}

void
spread_measure_target_leave (uint32_t n_hosts, uint32_t trials, double loss, uint64_t seed)
{
  for (int ending = 0; ending < ENDING_COUNT; ending++)
    {
      double *values = talloc_array (NULL, double, trials);

      INVARIANT (values != NULL);
      for (uint32_t trial = 0; trial < trials; trial++)
        values[trial] = trial_ending ((enum ending) ending, n_hosts, loss, seed + trial);
      qsort (values, trials, sizeof values[0], compare_doubles);
      printf (
          "target %s hosts=%u trials=%u loss=%.3f until_no_new_work_s p50=%.2f p99=%.2f max=%.2f\n",
          endings[ending], n_hosts, trials, loss, values[trials / 2],
          values[(uint32_t) (0.99 * (trials - 1))], values[trials - 1]);
      talloc_free (values);
    }
}
