/* Sends a request to a target: choice of the target, the message, the time-outs. */
#include "forward_private.h"
#include "log.h"
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

/* Retry-After, in seconds: targets may have registered by then. */
#define NO_TARGET_RETRY_AFTER_SEC 0.3

static void
write_request (const struct forward_job *job, int64_t now, struct bytes *out)
{
  struct dialect *dialect = job->forward->config.dialect;
  const struct h1_head *head = job->exchange->head;
  const struct bytes *body = job->exchange->body;
  struct bytes inputs;
  struct call_fields facts = {
    .time_left = job->deadline - now,
    .target = job->target->id,
    .organisation = job->organisation[0] == '\0' ? NULL : job->organisation,
  };

  bytes_init (&inputs, NULL);
  job_write_inputs (job, route_last_stages (&job->route), &inputs);
  facts.last_event = job_last_event (job);
  facts.inputs = inputs.length > 0 ? inputs.data : NULL;
  bytes_append_format (out, "%s %s HTTP/1.1\r\n", http_method_str ((enum http_method) head->method),
                       head->target);
  for (uint32_t i = 0; i < head->n_fields; i++)
    if (!h1_is_hop_by_hop (head, head->fields[i].name)
        && dialect->ops->forwards_header (dialect, head->fields[i].name))
      h1_write_field (out, head->fields[i].name, head->fields[i].value);
  dialect->ops->write_call_headers (dialect, &facts, out);
  if (body->length > 0 || head->has_length || head->chunked)
    bytes_append_format (out, "Content-Length: %zu\r\n", body->length);
  bytes_append_text (out, "\r\n");
  bytes_append (out, body->data, body->length);
  out->failed = out->failed || bytes_has_failed (&inputs);
  bytes_clear (&inputs);
}

static uint64_t
hash_address (const struct balance_target *target)
{
  return XXH3_64bits (target->address, strlen (target->address));
}

bool
job_was_sent_to (const struct forward_job *job, const struct balance_target *target)
{
  uint64_t hash = hash_address (target);

  for (uint32_t i = 0; i < job->sends; i++)
    if (job->sent_to[i % FORWARD_SENDS_MAX] == hash)
      return true;
  return false;
}

static void
log_choice (const struct forward_job *job, bool fresh, int64_t now)
{
  const struct balance_target *target = job->target;
  const struct target_limit *limit = &target->limit;
  struct engine_cost cost = { .wait = -1 };

  if (job->prompt.present)
    engine_load_cost (job->forward->config.balance->engines, target->id_hash, &job->prompt.prompt,
                      now, &cost);

  log_event (
      LOG_MODULE_FLOW, LOG_LEVEL_INFO, "target-chosen",
      "{s:s,s:s,s:s,s:s,s:i,s:I,s:I,s:I,s:i,s:b,s:f,s:I,s:I,s:i,s:i,s:i,s:f,s:f,s:I,s:b,s:b,s:I,s:"
      "s?}",
      "id", job->facts.id, "target", target->id, "address", target->address, "pool", job->pool,
      "in_flight", (int) target->in_flight, "latency_us", (json_int_t) target->latency_us,
      "renewed_ms", (json_int_t) ((now - target->record->last_heard_at) / USEC_PER_MSEC),
      "sequence", (json_int_t) target->record->registration.sequence, "send", (int) job->sends,
      "fresh", fresh, "failing", target->failure_rate, "left_ms",
      (json_int_t) ((job->deadline - now) / USEC_PER_MSEC), "expected_wait_us",
      (json_int_t) cost.wait, "read_again_tokens", (int) cost.read_again_tokens, "engine_running",
      (int) cost.running, "prompt_tokens", (int) job->facts.input_tokens, "limit_per_sec",
      limit->present ? limit->per_sec : -1.0, "limit_left", limit->bucket.level, "limit_age_ms",
      (json_int_t) (limit->present ? (now - limit->heard_at) / USEC_PER_MSEC : -1), "limit_direct",
      limit->is_direct, "cold", target->cold.cold, "cold_ms",
      (json_int_t) (balance_cold_left (target, now) / USEC_PER_MSEC), "target_version",
      registry_target_version (target->record));
}

void
job_send (struct forward_job *job, int64_t now)
{
  struct forward_config *config = &job->forward->config;
  struct bytes message;
  enum status status;
  bool fresh;

  if (!job_may_run (job, now) || job_give_up_if_cut_off (job, now))
    return;
  if (job_has_stages (job))
    job_locate_results (job);
  job->target = job_choose_target (job, now);
  if (job->target == NULL)
    {
      if (!job_give_up_if_lost (job, now) && !job_wait_for_backoff (job, now)
          && !job_give_up_if_in_backoff (job, now, now) && !job_give_up_if_limited (job, now, now))
        job_give_up (job, job_is_version_gone (job) ? FORWARD_NO_VERSION : FORWARD_NO_TARGET,
                     NO_TARGET_RETRY_AFTER_SEC);
      return;
    }
  job->tried[job->n_tried % BALANCE_TRIED_MAX] = job->target->serial;
  if (job->n_tried < BALANCE_TRIED_MAX - 1)
    job->n_tried++;
  fresh = job_was_sent_to (job, job->target);
  if (fresh)
    counter_add (job->forward->fresh_connections, 1);
  job->sent_to[job->sends++ % FORWARD_SENDS_MAX] = hash_address (job->target);
  job_note_writer (job);
  /* Random, not the client's id: each retry, and each request of a client that uses an id twice,
   * counts as a send of its own. */
  job->send_id = rng_u64 (&job->forward->rng);
  job->runs++;
  job->sent_at = now;
  job->heard_at = now;
  job->fetched_at = 0;
  job->call.ops = &job_call_ops;
  job->call.no_body = job->exchange->head->method == HTTP_HEAD;
  balance_started (config->balance, job->target, BALANCE_REQUEST, now);
  slow_target_sent (&job->target->slow, now);
  job_run_began (job);
  log_choice (job, fresh, now);
  /* Of pools with cold targets all hosts know all starts. */
  job->is_announced = job->prompt.present || job->target->cold_pool != NULL;
  if (job->is_announced)
    engine_broadcast_started (config->news, job->target->id_hash, job->send_id, &job->prompt.prompt,
                              now);
  bytes_init (&message, NULL);
  write_request (job, now, &message);
  status = h1_call_start (config->client, &job->call, job->target->address, &message, fresh, now);
  bytes_clear (&message);
  if (status == STATUS_OK)
    {
      job_expect_answer (job, now);
      if (job_has_stages (job))
        job_expect_fetch (job, &job->fetched_at, now);
      return;
    }
  job_send_failed (job, status_message (), now);
}
