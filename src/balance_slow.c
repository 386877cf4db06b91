/* Latencies of targets compared with those of their pool. */
#include "balance.h"
#include <math.h>
#include <string.h>

#define OTHERS_MAX 8192

struct slow_judgement
balance_judge (const struct balance *balance,
               const struct balance_target *target,
               int64_t sent_at,
               int64_t least,
               int64_t now)
{
  const struct slow_target *others[OTHERS_MAX];
  struct slow_attempt attempt = { .target = &target->slow, .sent_at = sent_at, .least = least };
  uint32_t n = 0;

  for (const struct balance_target *at = balance->targets; at != NULL && n < OTHERS_MAX;
       at = at->next)
    if (at != target && at->usable && !at->excluded && strcmp (at->pool, target->pool) == 0)
      others[n++] = &at->slow;
  return slow_attempt_judge (&attempt, others, n, now);
}

double
balance_pool_latency (struct balance_target *const *targets, uint32_t n)
{
  double sum = 0;
  uint32_t known = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      known += targets[i]->latency_us > 0 ? 1 : 0;
      sum += targets[i]->latency_us;
    }
  return known > 0 ? fmax (sum / known, BALANCE_DEFAULT_LATENCY_US) : BALANCE_DEFAULT_LATENCY_US;
}

double
balance_latency (const struct balance_target *target, double pool_latency, int64_t now)
{
  double age = (double) (now - target->latency_at) / (double) BALANCE_LATENCY_HALF_LIFE;
  double latency = target->latency_us > 0 ? target->latency_us : pool_latency;

  if (latency > pool_latency)
    latency = pool_latency + (latency - pool_latency) * exp2 (-age);
  return fmax (latency, (double) slow_target_silence (&target->slow, now));
}
