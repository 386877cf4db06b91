/* Comparison of an attempt's age with what other targets of the pool do at the same time. */
#include "slow_attempt.h"
#include <math.h>

/* Weights of a new sample, and the number of deviations above the mean that answers rarely exceed,
 * as in the retransmission time-out of TCP (Jacobson, 1988; RFC 6298). */
#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
#define DEVIATIONS 4.0

/* Least deviation, as a share of the mean: targets with few samples seem to have none. */
#define DEVIATION_MIN_SHARE 0.0625

/* While no other target's times are known: a share of the attempt's age. */
#define UNKNOWN_LATE_SHARE 0.5

/* Time to the next judgement: a share of the attempt's age, so that an attempt is judged a dozen
 * times at most, but not less than this. */
#define LOOK_AGAIN_SHARE 0.125
#define LOOK_AGAIN_MIN (25 * USEC_PER_MSEC)

static const char *const verdict_texts[] = {
#define X(name, text) [SLOW_##name] = text,
  SLOW_VERDICT_LIST (X)
#undef X
};

const char *
slow_verdict_text (enum slow_verdict verdict)
{
  return (unsigned) verdict < SLOW_VERDICT_COUNT ? verdict_texts[verdict] : "unknown";
}

/* ---- observations ---- */

void
slow_target_sent (struct slow_target *target, int64_t now)
{
  if (target->waiting++ == 0)
    target->silent_since = now;
}

void
slow_target_ended (struct slow_target *target)
{
  if (target->waiting > 0)
    target->waiting--;
}

void
slow_target_answers (struct slow_target *target, int64_t now)
{
  slow_target_ended (target);
  target->silent_since = now;
}

void
slow_target_learn (struct slow_target *target, int64_t sent_at, int64_t first)
{
  double sample = (double) first;

  if (target->mean > 0)
    {
      target->deviation += DEVIATION_WEIGHT * (fabs (sample - target->mean) - target->deviation);
      target->mean += MEAN_WEIGHT * (sample - target->mean);
    }
  else
    target->mean = sample;
  if (sent_at > target->newest_sent_at)
    target->newest_sent_at = sent_at;
}

int64_t
slow_target_silence (const struct slow_target *target, int64_t now)
{
  return target->waiting > 0 ? now - target->silent_since : 0;
}

/* ---- judgement ---- */

/* What the other targets' complete answers took.  Their deviation is that within each target or
 * that between them, whichever is larger. */
static double
usual_limit (const struct slow_target *const *others, uint32_t n, double *mean)
{
  double deviation = 0;
  double spread = 0;
  uint32_t known = 0;

  *mean = 0;
  for (uint32_t i = 0; i < n; i++)
    {
      known += others[i]->mean > 0 ? 1 : 0;
      *mean += others[i]->mean;
      deviation += others[i]->deviation;
    }
  if (known == 0)
    return 0;
  *mean /= known;
  for (uint32_t i = 0; i < n; i++)
    spread += others[i]->mean > 0 ? fabs (others[i]->mean - *mean) : 0;
  deviation = fmax (fmax (deviation, spread) / known, DEVIATION_MIN_SHARE * *mean);
  return *mean + DEVIATIONS * deviation;
}

/* The target itself has shown that its answers take this long. */
static double
own_limit (const struct slow_target *target)
{
  return target->mean + DEVIATIONS * fmax (target->deviation, DEVIATION_MIN_SHARE * target->mean);
}

static void
compare (const struct slow_attempt *attempt,
         const struct slow_target *const *others,
         uint32_t n,
         double late,
         int64_t now,
         struct slow_judgement *out)
{
  for (uint32_t i = 0; i < n; i++)
    {
      if ((double) slow_target_silence (others[i], now) > late)
        out->n_late++;
      if (others[i]->newest_sent_at > attempt->sent_at)
        out->n_sooner++;
    }
}

static int64_t
sooner (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

struct slow_judgement
slow_attempt_judge (const struct slow_attempt *attempt,
                    const struct slow_target *const *others,
                    uint32_t n,
                    int64_t now)
{
  struct slow_judgement out = { .verdict = SLOW_LATE };
  double age = (double) (now - attempt->sent_at);
  double usual = usual_limit (others, n, &out.mean);
  double limit = fmax (fmax (usual, own_limit (attempt->target)), (double) attempt->least);

  out.limit = (int64_t) limit;
  out.look_again = now + (int64_t) fmax (LOOK_AGAIN_SHARE * age, LOOK_AGAIN_MIN);
  compare (attempt, others, n, usual > 0 ? usual : UNKNOWN_LATE_SHARE * age, now, &out);
  if (age < limit)
    {
      out.verdict = SLOW_IN_TIME;
      out.look_again = sooner (out.look_again, attempt->sent_at + out.limit + 1);
    }
  else if (out.n_late > out.n_sooner)
    out.verdict = SLOW_POOL_SLOW;
  return out;
}
