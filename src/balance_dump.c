/* State dump of the targets. */
#include "balance.h"
#include <jansson.h>

static json_t *
describe_cold (const struct balance_target *target, int64_t now)
{
  if (target->cold_pool == NULL)
    return NULL;
  return json_pack ("{s:I,s:f,s:f,s:f,s:f,s:i}", "left_ms",
                    (json_int_t) (balance_cold_left (target, now) / USEC_PER_MSEC), "bound",
                    target->cold_pool->rule.bound, "part_per_sec", target->cold.part.per_sec,
                    "part_burst", target->cold.part.burst, "part_left", target->cold.bucket.level,
                    "starts", (int) target->cold.starts.total);
}

static json_t *
describe_target (const struct balance_target *target, int64_t now)
{
  return json_pack (
      "{s:s,s:s,s:s,s:s,s:b,s:b,s:i,s:f,s:f,s:I,s:f,s:f,s:I,s:I,s:s?,s:o*}", "id", target->id,
      "pool", target->pool, "address", target->address, "domain", target->domain, "usable",
      target->usable, "evacuated", target->evacuated, "in_flight", (int) target->in_flight,
      "latency_us", target->latency_us, "failing", target->failure_rate, "ejected_ms",
      (json_int_t) (target->ejected_until > now ? (target->ejected_until - now) / USEC_PER_MSEC
                                                : 0),
      "limit_per_sec", target->limit.present ? target->limit.per_sec : -1.0, "limit_left",
      target->limit.bucket.level, "limit_age_ms",
      (json_int_t) (target->limit.present ? (now - target->limit.heard_at) / USEC_PER_MSEC : -1),
      "backoff_ms", (json_int_t) (balance_backoff_left (target, now) / USEC_PER_MSEC),
      "target_version", registry_target_version (target->record), "cold",
      describe_cold (target, now));
}

json_t *
balance_describe_targets (const struct balance *balance, int64_t now)
{
  json_t *targets = json_array ();

  for (const struct balance_target *at = balance->targets; at != NULL; at = at->next)
    json_array_append_new (targets, describe_target (at, now));
  return targets;
}
