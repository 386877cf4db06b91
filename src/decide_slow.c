/* Attempts in flight without an answer: comparison with the other targets of the pool. */
#include "decide_state.h"
#include <talloc.h>

void
decide_attempt_answers (struct decide *decide, const struct decide_choice *choice, int64_t now)
{
  struct decide_target *target = decide_target_find (decide, choice->target);

  if (target != NULL)
    slow_target_answers (&target->slow, now);
}

static bool
is_comparable (const struct decide *decide, const struct decide_target *target, int64_t now)
{
  const struct board_target *entry = table_get (decide->board->targets, target->handle);

  return entry != NULL && board_target_is_usable (entry, now);
}

struct slow_judgement
decide_attempt_judge (const struct decide *decide,
                      const struct decide_choice *choice,
                      int64_t started,
                      int64_t now)
{
  const struct decide_target *target = decide_target_find (decide, choice->target);
  const struct slow_target **others;
  struct slow_judgement judgement;
  struct slow_attempt attempt;
  uint32_t n = 0;

  if (target == NULL)
    return (struct slow_judgement){ .verdict = SLOW_LATE, .look_again = now + USEC_PER_SEC };
  attempt = (struct slow_attempt){ .target = &target->slow,
                                   .sent_at = started,
                                   .least = choice->first_output_by - started };
  others = talloc_array (NULL, const struct slow_target *, target->pool->n_targets);
  for (uint32_t i = 0; others != NULL && i < target->pool->n_targets; i++)
    {
      const struct decide_target *other = target->pool->targets[i];

      if (other != target && is_comparable (decide, other, now))
        others[n++] = &other->slow;
    }
  judgement = slow_attempt_judge (&attempt, others, n, now);
  talloc_free (others);
  return judgement;
}

void
decide_attempt_late (struct decide *decide, const struct decide_result *result, int64_t now)
{
  struct decide_target *target = decide_target_find (decide, result->target);

  if (target == NULL)
    return;
  decide_ejection_update (decide, target, DECIDE_END_TIMED_OUT, now);
  decide_learn_timeout (target, result, now);
}
