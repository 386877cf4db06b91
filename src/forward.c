/* Requests from clients: admission, route, organisation and deadlines. */
#include "forward.h"
#include "container.h"
#include "forward_private.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>
#include <xxhash.h>

/* Share of the time from objective to deadline for which the stage work of a late request goes on.
 * A late answer is worth only a fraction of one in time, and the client has to wait for it. */
#define LATE_WORK_SHARE 0.25

/* Requests between two removals of the targets that are gone. */
#define SWEEP_REQUESTS 32

/* Retry-After, in seconds.  NOT_READY: the time that a start of the whole system takes, as a client
 * that retries too soon may not try a third time.  OTHER_HOST: at once, at another host, where only
 * this one shuts down or has lost the controllers. */
#define NOT_READY_RETRY_AFTER_SEC 2.0
#define OTHER_HOST_RETRY_AFTER_SEC 0.0

/* Jitter added to NOT_READY_RETRY_AFTER_SEC, in seconds.  Clients that all retried at one moment
 * would fill the stages' queues and delay requests that could still be in time.  Mean worth over 40
 * days: 0.463 without jitter, 0.474 with 1 s, 0.468 with 2 s, 0.445 with a Retry-After that ends as
 * soon as a start should be over. */
#define NOT_READY_JITTER_SEC 1.0

/* Longest wait for the confirmation that a denial rests on.  Several controllers can be asked in
 * this time, and a client that is then refused can still try another host. */
#define DENIAL_CONFIRM_TIMEOUT (400 * USEC_PER_MSEC)

void
job_free (struct forward_job *job)
{
  struct forward *forward = job->forward;

  subscriber_wait_cancel (forward->config.subscriber, &job->confirmation);
  binding_store_cancel (&job->lookup);
  timer_disarm (loop_timers (forward->config.loop), &job->timer);
  timer_disarm (loop_timers (forward->config.loop), &job->fetch_timer);
  job_cancel_call (job);
  job_cancel_stages (job, loop_now (forward->config.loop));
  DL_DELETE (forward->jobs, job);
  forward->n_jobs--;
  talloc_free (job);
}

static double
not_ready_retry_after (struct forward *forward)
{
  return NOT_READY_RETRY_AFTER_SEC + NOT_READY_JITTER_SEC * rng_unit (&forward->rng);
}

/* ---- arrival ---- */

/* Reads the parts of the prompt.  All but the last may be shared with other requests. */
static void
read_prompt (struct forward_job *job)
{
  struct engine_prompt *prompt = &job->prompt.prompt;
  uint64_t key = 0;
  uint32_t shared = 0;

  if (!job->route.affinity || job->facts.input_tokens == 0)
    return;
  for (uint32_t i = 0; i + 1 < job->facts.n_parts && i < ENGINE_PARTS_MAX; i++)
    {
      key = XXH3_64bits_withSeed (&job->facts.parts[i].id, sizeof job->facts.parts[i].id, key);
      prompt->parts[i] = key;
      prompt->part_tokens[i] = job->facts.parts[i].tokens;
      prompt->n_parts++;
      shared += job->facts.parts[i].tokens;
    }
  if (job->facts.input_tokens > shared)
    prompt->own_tokens = job->facts.input_tokens - shared;
  job->prompt.present = true;
}

/* Answers that the route or key does not exist.  A newer configuration may have it, so the answer
 * waits until the one in force is known to be the newest since the request arrived; if that cannot
 * be known, the request is refused. */
static void
deny (struct forward_job *job, enum forward_reason reason, unsigned status, int64_t now)
{
  struct forward *forward = job->forward;
  int64_t timeout = DENIAL_CONFIRM_TIMEOUT;

  if (job->may_be_denied)
    {
      job_reject (job, reason, status);
      return;
    }
  if (subscriber_confirmation_age (forward->config.subscriber) > forward->config.confirmed_for)
    {
      job_refuse (job, FORWARD_STALE, OTHER_HOST_RETRY_AFTER_SEC);
      return;
    }
  if (job->facts.has_deadline && job->facts.time_left < timeout)
    timeout = job->facts.time_left;
  timer_arm (loop_timers (forward->config.loop), &job->timer, now + timeout);
  subscriber_wait_start (forward->config.subscriber, &job->confirmation, now);
}

/* Finds the organisation whose key the request has.  If false, the request was refused and the job
 * freed, or it waits to be denied. */
static bool
check_key (struct forward_job *job, const struct routing *routing, int64_t now)
{
  struct forward *forward = job->forward;
  const struct organisation *organisation;

  if (routing->n_organisations == 0 || job->route.open)
    return true;
  /* The key may have been revoked since the last confirmation: a host without contact to a quorum
   * must not go on accepting it. */
  if (subscriber_confirmation_age (forward->config.subscriber) > forward->config.confirmed_for)
    {
      job_refuse (job, FORWARD_STALE, NOT_READY_RETRY_AFTER_SEC);
      return false;
    }
  organisation = job->facts.has_key ? routing_organisation (routing, job->facts.key) : NULL;
  if (organisation == NULL)
    {
      deny (job, FORWARD_NO_KEY, HTTP_STATUS_UNAUTHORIZED, now);
      return false;
    }
  text_copy_truncated (job->organisation, sizeof job->organisation, organisation->name);
  if (organisation->has_priority)
    job->route.priority = organisation->priority;
  return true;
}

static void
compute_deadlines (struct forward_job *job)
{
  int64_t patience = job->route.timeout;
  int64_t counted_from;

  if (job->facts.has_deadline && job->facts.time_left < patience)
    patience = job->facts.time_left;
  if (job->facts.has_deadline)
    job->age =
        request_age_estimate (job->forward->request_age, job->route.name, job->facts.time_left);
  job->deadline = job->arrived + patience;
  /* The objective is that of the first event, which the client of a resumed stream has already. */
  counted_from = job->stream.is_bound ? job->arrived : job->arrived - job->age;
  job->objective_at = counted_from + job->route.objective;
  job->give_up_at = job->deadline;
  if (job->objective_at < job->deadline)
    job->give_up_at = job->objective_at
                      + (int64_t) (LATE_WORK_SHARE * (double) (job->deadline - job->objective_at));
}

static void
choose_pool (struct forward_job *job, const struct routing *routing)
{
  uint32_t drawn = route_draw_pool (&job->route, rng_unit (&job->forward->rng));
  const char *name = job->stream.is_bound ? job->stream.binding.pool : routing->pools[drawn].name;

  text_copy_truncated (job->pool, sizeof job->pool, name);
}

static void
admit (struct forward_job *job, int64_t now)
{
  struct forward *forward = job->forward;
  const struct routing *routing = subscriber_routing (forward->config.subscriber);
  const struct h1_head *head = job->exchange->head;
  const char *host = h1_field_value (head, "host");
  const struct route *route;

  if (forward->refusing)
    {
      job_refuse (job, FORWARD_SHUTTING_DOWN, OTHER_HOST_RETRY_AFTER_SEC);
      return;
    }
  if (routing == NULL)
    {
      job_refuse (job, FORWARD_NOT_READY, not_ready_retry_after (forward));
      return;
    }
  if (subscriber_is_outdated (forward->config.subscriber))
    {
      job_refuse (job, FORWARD_OUTDATED, OTHER_HOST_RETRY_AFTER_SEC);
      return;
    }
  job->version = routing->version;
  route = routing_match (routing, host == NULL ? "" : host, head->target);
  if (route == NULL)
    {
      deny (job, FORWARD_NO_ROUTE, HTTP_STATUS_NOT_FOUND, now);
      return;
    }
  job->route = *route;
  if (!check_key (job, routing, now) || !job_find_binding (job, routing, now))
    return;
  choose_pool (job, routing);
  if (!job_is_admitted (job, now))
    return;
  compute_deadlines (job);
  read_prompt (job);
  forward_count_request (forward, job->pool, now);
  if (job_plan_stages (job, routing) != STATUS_OK)
    {
      job_refuse (job, FORWARD_STAGE, NOT_READY_RETRY_AFTER_SEC);
      return;
    }
  if (job_give_up_if_cut_off (job, now) || job_give_up_if_evacuated (job))
    return;
  timer_arm (loop_timers (forward->config.loop), &job->timer, job->deadline);
  if (job_has_stages (job)
      && (job_give_up_if_in_backoff (job, job->deadline, now)
          || job_give_up_if_limited (job, job->deadline, now)))
    return;
  if (job_has_stages (job))
    job_begin_stages (job, now);
  else
    job_send (job, now);
}

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct forward_job *job = CONTAINER_OF (timer, struct forward_job, timer);

  if (job->confirmation.since != 0)
    {
      job_refuse (job, FORWARD_STALE, OTHER_HOST_RETRY_AFTER_SEC);
      return;
    }
  if (now < job->deadline && job->first_byte_at != 0)
    {
      timer_arm (loop_timers (job->forward->config.loop), timer, job->deadline);
      return;
    }
  if (now < job->deadline && job->waits_for_backoff)
    {
      job->waits_for_backoff = false;
      job_send (job, now);
      return;
    }
  if (now < job->deadline)
    {
      job_judge_attempt (job, now);
      return;
    }
  /* A request that was never written to a target's connection cannot have run. */
  if (job->target != NULL && !job->call.request_sent)
    job->runs--;
  job_end_late_call (job, now);
  job_give_up (job, FORWARD_TIMEOUT, NOT_READY_RETRY_AFTER_SEC);
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

static void
confirmed (struct subscriber_wait *wait, int64_t now)
{
  struct forward_job *job = CONTAINER_OF (wait, struct forward_job, confirmation);

  timer_disarm (loop_timers (job->forward->config.loop), &job->timer);
  job->may_be_denied = true;
  admit (job, now);
}

static const struct subscriber_wait_ops confirmation_ops = { .confirmed = confirmed };

static void
binding_answered (struct binding_lookup *lookup, const struct binding_answer *answer, int64_t now)
{
  struct forward_job *job = CONTAINER_OF (lookup, struct forward_job, lookup);

  job->binding_answer = *answer;
  job->has_binding_answer = true;
  admit (job, now);
}

static const struct binding_lookup_ops lookup_ops = { .answered = binding_answered };

static void
on_request (struct h1_handler *handler, struct h1_exchange *exchange, int64_t now)
{
  struct forward *forward = CONTAINER_OF (handler, struct forward, handler);
  struct forward_job *job = talloc_zero (forward, struct forward_job);
  enum status status;

  if (job == NULL)
    {
      h1_reply (exchange, HTTP_STATUS_SERVICE_UNAVAILABLE, NULL, NULL, 0);
      return;
    }
  job->forward = forward;
  job->exchange = exchange;
  job->arrived = exchange->arrived;
  job->timer.ops = &timer_ops;
  job->confirmation.ops = &confirmation_ops;
  job->lookup.ops = &lookup_ops;
  job->limit = DIALECT_NO_LIMIT;
  bytes_init (&job->fields, job);
  bytes_init (&job->body, job);
  exchange->user = job;
  DL_APPEND (forward->jobs, job);
  forward->n_jobs++;
  if (forward->arrivals++ % SWEEP_REQUESTS == 0)
    balance_sweep (forward->config.balance);
  status = forward->config.dialect->ops->read_request (forward->config.dialect, exchange->head,
                                                       &job->facts);
  if (status == STATUS_OK)
    admit (job, now);
  else
    job_reject (job, FORWARD_BAD_REQUEST, HTTP_STATUS_BAD_REQUEST);
}

/* The client disconnected: closing the connections to targets stops their work for it. */
static void
on_disconnect (struct h1_handler *handler, struct h1_exchange *exchange, int64_t now)
{
  struct forward_job *job = exchange->user;

  (void) handler;
  (void) now;
  if (job == NULL)
    return;
  job->exchange = NULL;
  job_log (job, FORWARD_CLIENT_GONE, job_answer_so_far (job));
  job_free (job);
}

static const struct h1_handler_ops handler_ops = { .request = on_request, .gone = on_disconnect };

/* ---- setup ---- */

void
forward_refuse_all (struct forward *forward)
{
  forward->refusing = true;
}

uint32_t
forward_in_flight (const struct forward *forward)
{
  return forward->n_jobs;
}

struct h1_handler *
forward_handler (struct forward *forward)
{
  return &forward->handler;
}

static void
register_counters (struct forward *forward)
{
  struct counters *counters = forward->config.counters;

  for (int reason = 0; reason < FORWARD_REASON_COUNT; reason++)
    {
      char label[96];

      snprintf (label, sizeof label, "outcome=\"%s\"",
                forward_reason_text ((enum forward_reason) reason));
      forward->reasons[reason] = counter_get (counters, "cherryarch_forward_requests_total",
                                              "Requests by how they ended.", label);
    }
  forward->retries = counter_get (counters, "cherryarch_forward_retries_total",
                                  "Requests sent to another target.", NULL);
  forward->retries_denied =
      counter_get (counters, "cherryarch_forward_retries_denied_total",
                   "Requests not sent to another target, as the retry budget was spent.", NULL);
  for (int verdict = 0; verdict < SLOW_VERDICT_COUNT; verdict++)
    {
      char label[96];

      snprintf (label, sizeof label, "verdict=\"%s\"",
                slow_verdict_text ((enum slow_verdict) verdict));
      forward->slow[verdict] =
          counter_get (counters, "cherryarch_forward_slow_attempts_total",
                       "Verdicts on attempts without an answer, by what other targets do.", label);
    }
  forward->slow_left =
      counter_get (counters, "cherryarch_forward_slow_attempts_left_total",
                   "Attempts without an answer that were left for another target.", NULL);
  forward->backoffs_awaited =
      counter_get (counters, "cherryarch_forward_backoffs_awaited_total",
                   "Times that a request waited as the targets it may go to are in backoff.", NULL);
  forward->fresh_connections = counter_get (
      counters, "cherryarch_forward_fresh_connections_total",
      "Sends over a new connection as the target was sent the same request before.", NULL);
  forward->resumptions = counter_get (counters, "cherryarch_forward_streams_resumed_total",
                                      "Requests that go on with a stream of an earlier one.", NULL);
  forward->resumptions_refused = counter_get (
      counters, "cherryarch_forward_streams_not_resumed_total",
      "Requests refused as their stream's version is not known or has no target.", NULL);
  forward->first_byte = histogram_get (counters, "cherryarch_forward_first_byte_microseconds",
                                       "From arrival to the answer's first byte.", NULL);
  forward->stage_time = histogram_get (counters, "cherryarch_forward_stages_microseconds",
                                       "From arrival to the last stage's end.", NULL);
}

/* Frees the requests in flight.  Their exchanges belong to the server. */
static int
free_forward (struct forward *forward)
{
  while (forward->jobs != NULL)
    job_free (forward->jobs);
  return 0;
}

struct forward *
forward_new (void *parent, const struct forward_config *config)
{
  struct forward *forward = talloc_zero (parent, struct forward);

  if (forward == NULL)
    return NULL;
  forward->handler.ops = &handler_ops;
  forward->config = *config;
  forward->request_age = request_age_new (forward);
  rng_init (&forward->rng, config->seed);
  if (forward->request_age == NULL)
    {
      talloc_free (forward);
      return NULL;
    }
  register_counters (forward);
  talloc_set_destructor (forward, free_forward);
  return forward;
}
