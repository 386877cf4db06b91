/* Features of requests in the fleet simulation, and what hosts make of them. */
#include "container.h"
#include "quarantine_fleet_private.h"
#include <string.h>
#include <xxhash.h>

/* Numbers of parts: one that all prompts share, poison ones, such that many share, and rare ones.
 */
#define SHARED_PART 1
#define POISON_PARTS 100
#define COMMON_PARTS 1000
#define RARE_PARTS 10000
#define COMMON_PARTS_COUNT 10
#define RARE_PARTS_COUNT 1000

static struct request_digest
make_digest (uint32_t content)
{
  struct request_digest digest = { .bytes = { 0 } };

  memcpy (digest.bytes, &content, sizeof content);
  return digest;
}

static void
add_part (struct run *run, uint64_t part)
{
  request_part_digest (FLEET_POOL, part, &run->features[run->n_features++].digest);
}

void
fleet_read_features (struct run *run)
{
  uint32_t content = run->content;
  uint64_t hash = XXH3_64bits (&content, sizeof content);

  run->features[0].digest = make_digest (content);
  run->n_features = 1;
  if (!run->fleet->config->prompts)
    return;
  add_part (run, SHARED_PART);
  if (fleet_is_poison (run->fleet, run->request))
    add_part (run, POISON_PARTS + run->request);
  add_part (run, COMMON_PARTS + hash % COMMON_PARTS_COUNT);
  add_part (run, RARE_PARTS + hash / COMMON_PARTS_COUNT % RARE_PARTS_COUNT);
}

/* The table of the run's host; NULL if it has restarted. */
static struct quarantine *
table_of (const struct run *run)
{
  if (run->host->control == NULL || run->host->start_count != run->start_count)
    return NULL;
  return quarantine_control_table (run->host->control);
}

/* ---- verdicts ---- */

static int64_t
cleared_until (struct quarantine_view *view, const struct request_digest *feature)
{
  return proven_parts_cleared_until (CONTAINER_OF (view, struct node, view)->proven, feature);
}

static bool
is_trial_host (struct quarantine_view *view, const struct request_digest *feature)
{
  const struct node *node = CONTAINER_OF (view, struct node, view);
  uint64_t hash = XXH3_64bits (feature->bytes, REQUEST_DIGEST_SIZE);

  return node->allows_trials && node == &node->fleet->nodes[hash % node->fleet->config->hosts];
}

static enum proven_pool
get_pool (struct quarantine_view *view, const char *pool, int64_t now)
{
  return proven_parts_pool (CONTAINER_OF (view, struct node, view)->proven, pool, now);
}

const struct quarantine_view_ops fleet_view_ops = {
  .cleared_until = cleared_until,
  .pool = get_pool,
  .is_trial_host = is_trial_host,
};

static void
record_trial (struct run *run, const struct request_digest *digest, int64_t now)
{
  const struct quarantine_suspect *suspect = quarantine_find (table_of (run), digest);
  struct quarantine_suspect tried;

  if (suspect == NULL || quarantine_count_crashes (suspect, now) < QUARANTINE_CRASH_THRESHOLD)
    return;
  tried = *suspect;
  tried.n_trials++;
  tried.last_trial = now;
  quarantine_control_learn (run->host->control, &tried, now);
}

enum quarantine_verdict
fleet_judge (struct run *run, int64_t now)
{
  struct node *node = run->host;
  enum quarantine_verdict verdict;

  node->allows_trials = true;
  verdict = quarantine_judge (table_of (run), run->features, run->n_features, FLEET_POOL,
                              &node->view, now)
                .verdict;
  for (uint32_t i = 0; i < run->n_features && verdict == QUARANTINE_TRIAL; i++)
    record_trial (run, &run->features[i].digest, now);
  return verdict;
}

void
fleet_run_started (struct run *run)
{
  for (uint32_t i = 0; i < run->n_features; i++)
    {
      struct quarantine_suspect *suspect =
          quarantine_find (table_of (run), &run->features[i].digest);

      run->features[i].is_counted = suspect != NULL;
      if (suspect != NULL)
        suspect->n_running++;
    }
}

void
fleet_run_finished (struct run *run)
{
  struct quarantine *table = table_of (run);

  for (uint32_t i = 0; table != NULL && i < run->n_features; i++)
    {
      struct quarantine_suspect *suspect = quarantine_find (table, &run->features[i].digest);

      if (run->features[i].is_counted && suspect != NULL && suspect->n_running > 0)
        suspect->n_running--;
    }
}

/* ---- evidence ---- */

void
fleet_note_crash (struct run *run, int64_t now)
{
  int64_t instant = run->broke_at - QUARANTINE_COMMON_CAUSE_SPAN;
  struct quarantine_suspect learnt = {
    .organisation = "o",
    .route = "r",
    .last_seen = now,
    .n_crashes = 1,
    .crashes = { { .incarnation = run->incarnation,
                   .from = instant > run->sent_at ? instant : run->sent_at,
                   .to = run->broke_at } },
  };

  for (uint32_t i = 0; table_of (run) != NULL && i < run->n_features; i++)
    {
      const struct request_digest *digest = &run->features[i].digest;
      const struct proven_parts *proven = run->host->proven;
      uint64_t part;

      if (run->broke_at <= proven_parts_cleared_until (proven, digest)
          || (request_digest_is_part (digest, &part)
              && !proven_parts_may_blame (proven, FLEET_POOL, digest, run->broke_at)))
        continue;
      learnt.digest = *digest;
      quarantine_control_learn (run->host->control, &learnt, now);
    }
}

void
fleet_note_answer (struct run *run, int64_t now)
{
  if (table_of (run) == NULL)
    return;
  proven_parts_note_pool (run->host->proven, FLEET_POOL, now);
  for (uint32_t i = 0; i < run->n_features; i++)
    {
      proven_parts_note (run->host->proven, &run->features[i].digest, now);
      quarantine_control_clear (run->host->control, &run->features[i].digest, "a whole answer",
                                now);
    }
}
