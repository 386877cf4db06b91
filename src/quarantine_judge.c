/* Verdicts on requests by their features. */
#include "quarantine.h"

static const char *const verdict_texts[] = {
#define X(name, text) [QUARANTINE_##name] = text,
  QUARANTINE_VERDICT_LIST (X)
#undef X
};

const char *
quarantine_verdict_text (enum quarantine_verdict verdict)
{
  return verdict_texts[verdict];
}

static bool
is_due_for_trial (const struct quarantine_suspect *suspect, int64_t now)
{
  static const int64_t waits[QUARANTINE_TRIALS_MAX] = { QUARANTINE_FIRST_TRIAL_DELAY,
                                                        QUARANTINE_SECOND_TRIAL_DELAY };

  return suspect->n_trials < QUARANTINE_TRIALS_MAX
         && now - quarantine_last_event (suspect) >= waits[suspect->n_trials];
}

/* By the number of its crashes, while it may be sent. */
static enum quarantine_verdict
verdict_below_threshold (const struct quarantine_suspect *suspect, uint32_t count)
{
  if (count == 0)
    return QUARANTINE_PASS;
  return count >= QUARANTINE_CRASH_THRESHOLD - 1 && suspect->n_running > 0 ? QUARANTINE_WAIT
                                                                           : QUARANTINE_ISOLATE;
}

enum quarantine_verdict
quarantine_get_verdict (const struct quarantine_suspect *suspect, bool is_trial_host, int64_t now)
{
  uint32_t count = suspect == NULL ? 0 : quarantine_count_crashes (suspect, now);

  if (count < QUARANTINE_CRASH_THRESHOLD)
    return verdict_below_threshold (suspect, count);
  return is_trial_host && is_due_for_trial (suspect, now) ? QUARANTINE_TRIAL : QUARANTINE_REFUSE;
}

/* ---- several features ---- */

/* What a judgement is made from. */
struct question
{
  struct quarantine *quarantine;
  const struct request_feature *features;
  uint32_t n_features;
  const char *pool;
  struct quarantine_view *view;
  int64_t now;
};

static bool
has_feature (const struct question *question, const struct request_digest *digest)
{
  for (uint32_t i = 0; i < question->n_features; i++)
    if (request_digest_equal (&question->features[i].digest, digest))
      return true;
  return false;
}

/* The suspect without the crashes that are no evidence to this host. */
static struct quarantine_suspect
as_viewed (const struct question *question, const struct quarantine_suspect *suspect)
{
  int64_t until = question->view->ops->cleared_until (question->view, &suspect->digest);
  struct quarantine_suspect viewed = *suspect;

  (void) quarantine_retract_until (&viewed, until);
  return viewed;
}

static void
retract_shared (struct quarantine_suspect *suspect, const struct quarantine_suspect *other)
{
  for (uint32_t i = 0; i < other->n_crashes; i++)
    if (!other->crashes[i].retracted)
      (void) quarantine_retract (suspect, other->crashes[i].incarnation, INT64_MAX);
}

static bool
is_part (const struct quarantine_suspect *suspect)
{
  uint64_t part;

  return request_digest_is_part (&suspect->digest, &part);
}

/* Retracts the crashes at which a feature was present that the request does not have, and that
 * explains at least as many.  One of the two is a part: contents are too many to explain each
 * other. */
static void
retract_explained (const struct question *question, struct quarantine_suspect *suspect)
{
  uint32_t count = quarantine_count_crashes (suspect, question->now);
  const struct quarantine_suspect *at;

  if (count >= QUARANTINE_EXPLAINED_CRASHES_MAX)
    return;

  for (uint32_t i = 0; (at = quarantine_at (question->quarantine, i)) != NULL; i++)
    {
      struct quarantine_suspect other;

      if (at->n_crashes < QUARANTINE_CRASH_THRESHOLD || has_feature (question, &at->digest)
          || (!is_part (suspect) && !is_part (at)))
        continue;
      other = as_viewed (question, at);
      if (quarantine_count_crashes (&other, question->now) >= count)
        retract_shared (suspect, &other);
    }
}

/* The parts of the pool's prompts that are held, `part` among them. */
static uint32_t
count_held_parts (const struct question *question, const struct quarantine_suspect *part)
{
  const struct quarantine_suspect *at;
  uint32_t n = 0;

  for (uint32_t i = 0; (at = quarantine_at (question->quarantine, i)) != NULL; i++)
    n += is_part (at) && request_parts_share_pool (&at->digest, &part->digest)
                 && quarantine_count_crashes (at, question->now) >= QUARANTINE_CRASH_THRESHOLD
             ? 1
             : 0;
  return n;
}

/* Targets that answer nothing may crash under any part. */
static bool
may_be_refused (const struct question *question, const struct quarantine_suspect *suspect)
{
  struct quarantine_view *view = question->view;
  enum proven_pool pool;

  if (!is_part (suspect))
    return true;
  pool = view->ops->pool (view, question->pool, question->now);
  if (pool == PROVEN_POOL_SILENT)
    return count_held_parts (question, suspect) <= QUARANTINE_HELD_PARTS_MAX;
  return pool == PROVEN_POOL_ANSWERS;
}

static enum quarantine_verdict
judge_feature (const struct question *question,
               const struct quarantine_suspect *suspect,
               uint32_t *n_crashes)
{
  struct quarantine_view *view = question->view;
  struct quarantine_suspect viewed = as_viewed (question, suspect);
  bool is_trial_host;

  *n_crashes = quarantine_count_crashes (&viewed, question->now);
  if (*n_crashes < QUARANTINE_CRASH_THRESHOLD || !may_be_refused (question, suspect))
    return verdict_below_threshold (&viewed, *n_crashes);
  retract_explained (question, &viewed);
  if (quarantine_count_crashes (&viewed, question->now) < QUARANTINE_CRASH_THRESHOLD)
    return verdict_below_threshold (&viewed, *n_crashes);
  is_trial_host = view->ops->is_trial_host (view, &suspect->digest);
  return is_trial_host && is_due_for_trial (suspect, question->now) ? QUARANTINE_TRIAL
                                                                    : QUARANTINE_REFUSE;
}

/* The verdict that stands where features of a request get several. */
static uint32_t
rank (enum quarantine_verdict verdict)
{
  static const uint32_t ranks[QUARANTINE_VERDICT_COUNT] = {
    [QUARANTINE_PASS] = 0,  [QUARANTINE_ISOLATE] = 1, [QUARANTINE_WAIT] = 2,
    [QUARANTINE_TRIAL] = 3, [QUARANTINE_REFUSE] = 4,
  };

  return ranks[verdict];
}

struct quarantine_judgement
quarantine_judge (struct quarantine *quarantine,
                  const struct request_feature *features,
                  uint32_t n_features,
                  const char *pool,
                  struct quarantine_view *view,
                  int64_t now)
{
  const struct question question = {
    .quarantine = quarantine,
    .features = features,
    .n_features = n_features,
    .pool = pool,
    .view = view,
    .now = now,
  };
  struct quarantine_judgement judgement = { .verdict = QUARANTINE_PASS };

  for (uint32_t i = 0; i < n_features; i++)
    {
      const struct quarantine_suspect *suspect = quarantine_find (quarantine, &features[i].digest);
      enum quarantine_verdict verdict = QUARANTINE_PASS;
      uint32_t n_crashes = 0;

      if (suspect != NULL)
        verdict = judge_feature (&question, suspect, &n_crashes);
      if (rank (verdict) > rank (judgement.verdict))
        judgement = (struct quarantine_judgement){ verdict, suspect, n_crashes };
    }
  return judgement;
}
