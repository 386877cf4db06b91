/* The answer to one attempt of a request at a target, and whether another attempt follows. */
#include "container.h"
#include "forward_private.h"
#include "log.h"
#include <jansson.h>
#include <string.h>

/* Least time left before the deadline for a retry. */
#define RETRY_MIN_TIME_LEFT (30 * USEC_PER_MSEC)

/* Retry-After, in seconds: short, as one target's refusal is little evidence about the others. */
#define REFUSED_RETRY_AFTER_SEC 0.2

static bool
is_repeatable (const struct forward_job *job)
{
  return job->route.kind == ROUTE_IDEMPOTENT
         || (job->route.kind == ROUTE_STREAM && job->route.resumable
             && !job->stream.is_unresumable);
}

/* ---- evaluating an answer ---- */

static void
report_call_end (struct forward_job *job, int64_t now)
{
  if (job->is_announced)
    engine_broadcast_ended (job->forward->config.news, job->target->id_hash, job->send_id, now);
}

static void
note_silence_ended (struct forward_job *job)
{
  if (!job->has_head)
    slow_target_ended (&job->target->slow);
}

static void
release_target (struct forward_job *job, bool failed, int64_t now)
{
  int64_t first = job->first_byte_at == 0 ? -1 : job->first_byte_at - job->sent_at;

  if (job->target == NULL)
    return;
  report_call_end (job, now);
  job_run_ended (job);
  note_silence_ended (job);
  /* A refusal shows nothing of the time that answers take. */
  if (!failed && !job->not_run && first >= 0)
    slow_target_learn (&job->target->slow, job->sent_at, first);
  balance_ended (job->target, failed, failed ? -1 : first, now);
  job->target = NULL;
}

/* Cancels the call because the client disconnected or the deadline passed.  This does not count as
 * a failure of the target. */
void
job_cancel_call (struct forward_job *job)
{
  h1_call_cancel (&job->call);
  if (job->target == NULL)
    return;
  report_call_end (job, loop_now (job->forward->config.loop));
  job_run_ended (job);
  note_silence_ended (job);
  job->target->in_flight--;
  job->target = NULL;
}

/* `broke`: the target may have ended, and its log line names what it ran. */
void
job_log_attempt (const struct forward_job *job, const char *outcome, bool broke, int64_t now)
{
  char content[REQUEST_DIGEST_TEXT_SIZE] = "";
  char parts[FORWARD_PARTS_TEXT_SIZE] = "";

  job_format_content (job, content);
  if (broke || job->call.framing == H1_FRAMING_CLOSE)
    job_format_parts (job, parts);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "attempt-ended",
             "{s:s,s:s,s:s,s:s,s:i,s:s,s:b,s:b,s:I,s:I,s:b,s:b,s:i,s:s,s:s,s:s,s:i,s:f,s:s?}", "id",
             job->facts.id, "target", job->target->id, "address", job->target->address, "outcome",
             outcome, "status", (int) job->status, "framing", h1_framing_text (job->call.framing),
             "not_run", job->not_run, "sent", job->call.request_sent, "took_us",
             (json_int_t) (now - job->sent_at), "renewed_ms",
             (json_int_t) ((now - job->target->record->last_heard_at) / USEC_PER_MSEC), "reused",
             job->call.reused, "stream_begun", job->stream.begun, "events",
             (int) job->stream.events, "last_event", job->stream.last_event, "content", content,
             "parts", parts, "in_flight", (int) job->target->in_flight, "limit_per_sec", job->limit,
             "target_version", registry_target_version (job->target->record));
}

bool
job_may_retry (struct forward_job *job, bool ran, int64_t now)
{
  if (now + RETRY_MIN_TIME_LEFT >= job->deadline || job->sends >= FORWARD_SENDS_MAX)
    return false;
  if (ran && (!is_repeatable (job) || job->runs >= job->route.attempts || job->is_suspected))
    return false;
  if (!job_may_go_on (job))
    return false;
  if (!job->call.request_sent)
    return true;
  return job_take_retry (job, now);
}

static void
reset_answer (struct forward_job *job)
{
  bytes_clear (&job->fields);
  bytes_clear (&job->body);
  job->stream.scanned = 0;
  job->stream.skipped = 0;
  job->status = 0;
  job->is_signed = false;
  job->has_events = false;
  job->not_run = false;
  job->limit = DIALECT_NO_LIMIT;
  job->first_byte_at = 0;
  job->has_head = false;
  job->is_judged = false;
  job->is_late = false;
}

void
job_resend (struct forward_job *job, int64_t now)
{
  reset_answer (job);
  if (!job_lacks_results (job))
    job_send (job, now);
  else if (!job_rerun_stages (job, now))
    job_give_up (job, FORWARD_BROKEN, REFUSED_RETRY_AFTER_SEC);
}

/* The attempt gave no answer that can be passed on: retries it or gives the request up. */
static void
attempt_failed (struct forward_job *job, bool ran, enum forward_reason reason, int64_t now)
{
  if (job_may_retry (job, ran, now))
    job_resend (job, now);
  else if (job_is_version_gone (job))
    job_give_up (job, FORWARD_NO_VERSION, REFUSED_RETRY_AFTER_SEC);
  else if (!job_give_up_if_in_backoff (job, now, now))
    job_give_up (job, job->runs == 0 ? FORWARD_REFUSED : reason, REFUSED_RETRY_AFTER_SEC);
}

/* A complete answer which states that the request did not run. */
static void
handle_refusal (struct forward_job *job, int64_t now)
{
  job->runs--;
  /* The target could not fetch an input: its stages run again. */
  if (job->status == HTTP_STATUS_CONFLICT && job_has_stages (job) && !job->stages_rerun)
    {
      if (!job_may_retry (job, false, now))
        {
          job_give_up (job, FORWARD_REFUSED, REFUSED_RETRY_AFTER_SEC);
          return;
        }
      /* The target itself is sound and may be chosen again. */
      job->n_tried--;
      reset_answer (job);
      job_rerun_stages (job, now);
      return;
    }
  attempt_failed (job, false, FORWARD_REFUSED, now);
}

/* A signed failure answer is passed on unchanged if the request cannot be retried.  A 503 is not
 * passed on: it would guarantee that the request has not run, which the target did not state. */
static void
handle_failure (struct forward_job *job, int64_t now)
{
  bool passes = job->is_signed && job->status != HTTP_STATUS_SERVICE_UNAVAILABLE
                && job->status != HTTP_STATUS_TOO_MANY_REQUESTS
                && job->status != HTTP_STATUS_REQUEST_TIMEOUT
                && job->status != HTTP_STATUS_MISDIRECTED_REQUEST;

  if (job->status >= 500 && job_may_retry (job, true, now))
    {
      job_resend (job, now);
      return;
    }
  if (passes)
    job_serve (job);
  else
    job_fail (job, FORWARD_FAILED);
}

static bool
is_stream_answer (const struct forward_job *job)
{
  return job->route.kind == ROUTE_STREAM && job->status == HTTP_STATUS_OK && job->is_signed
         && job->has_events;
}

/* Whether the target's answer is a stream that ends inside an event, although the answer itself is
 * complete. */
static bool
ends_inside_event (const struct forward_job *job)
{
  return job->stream.begun && is_stream_answer (job) && job_is_inside_event (job);
}

/* Only the proper end of a stream completes the stream that the client has the beginning of.  Any
 * other answer, even a complete one, does not contain the events that are still missing. */
static void
handle_answer_within_stream (struct forward_job *job, int64_t now)
{
  if (is_stream_answer (job) && !ends_inside_event (job))
    job_end_stream (job);
  else
    attempt_failed (job, true, FORWARD_BROKEN, now);
}

static void
handle_complete_answer (struct forward_job *job, int64_t now)
{
  bool success = job->status >= 200 && job->status < 300;
  bool cut = ends_inside_event (job);
  bool failed = !job->not_run && (job->status >= 500 || (success && !job->is_signed) || cut);

  job_log_attempt (job, cut ? "ended inside an event" : "answered", cut, now);
  if (cut)
    job_note_break (job, H1_END_TRUNCATED, now);
  else if (success && job->is_signed && !job->not_run)
    job_note_complete_answer (job, now);
  /* A different incarnation has that address. */
  if (job->status == HTTP_STATUS_MISDIRECTED_REQUEST)
    job->target->ejected_until = now + BALANCE_EJECTION_MIN;
  release_target (job, failed, now);
  if (job->not_run)
    handle_refusal (job, now);
  else if (job->stream.begun)
    handle_answer_within_stream (job, now);
  else if (success && job->is_signed)
    job_serve (job);
  else if (success)
    attempt_failed (job, true, FORWARD_BROKEN, now);
  else
    handle_failure (job, now);
}

void
job_abandon_attempt (struct forward_job *job,
                     const char *why,
                     enum forward_reason reason,
                     int64_t now)
{
  job_log_attempt (job, why, true, now);
  job_note_break (job, H1_END_RESET, now);
  h1_call_cancel (&job->call);
  release_target (job, true, now);
  attempt_failed (job, true, reason, now);
}

void
job_end_late_call (struct forward_job *job, int64_t now)
{
  if (job->target == NULL || !h1_call_is_inside_head (&job->call))
    {
      job_cancel_call (job);
      return;
    }
  job_log_attempt (job, "head not complete at the deadline", false, now);
  h1_call_reject (&job->call, "head not complete at the deadline", now);
  release_target (job, true, now);
}

/* Closes the connection because of what the target sent on it.  Not noted as a break: the target
 * runs, so the request did not end it. */
static void
reject_answer (struct forward_job *job, const char *why, int64_t now)
{
  job_log_attempt (job, why, false, now);
  h1_call_reject (&job->call, why, now);
  release_target (job, true, now);
  attempt_failed (job, true, FORWARD_BROKEN, now);
}

/* ---- calls of the client ---- */

static bool
answers_this_request (const struct forward_job *job,
                      const struct h1_head *head,
                      const struct response_fields *facts)
{
  if (facts->id != NULL)
    return strcmp (facts->id, job->facts.id) == 0;
  /* A refusal may omit the id of the request; a success may not. */
  return head->status >= 300;
}

/* On a reused connection, an answer without a request id may be a late answer to the previous call,
 * so it does not show that this request was refused. */
static bool
is_refusal (const struct forward_job *job,
            const struct h1_head *head,
            const struct response_fields *facts)
{
  if (facts->id == NULL && job->call.reused)
    return false;
  return facts->not_run || head->status == HTTP_STATUS_MISDIRECTED_REQUEST;
}

static void
copy_fields (struct forward_job *job, const struct h1_head *head)
{
  for (uint32_t i = 0; i < head->n_fields; i++)
    if (!h1_is_hop_by_hop (head, head->fields[i].name))
      h1_write_field (&job->fields, head->fields[i].name, head->fields[i].value);
  /* The length that GET would have: the answer to HEAD has no body to take it from. */
  if (job->call.no_body && head->has_length)
    h1_write_field (&job->fields, "Content-Length", h1_field_value (head, "content-length"));
}

static void
set_held (struct forward_job *job, int64_t now)
{
  h1_call_set_held (&job->call, job->body.capacity + job->fields.capacity, now);
}

static bool
on_head (struct h1_call *call, const struct h1_head *head, int64_t now)
{
  struct forward_job *job = CONTAINER_OF (call, struct forward_job, call);
  struct dialect *dialect = job->forward->config.dialect;
  struct response_fields facts;

  job->heard_at = now;
  dialect->ops->read_response (dialect, head, &facts);
  if (!answers_this_request (job, head, &facts))
    return false;
  if (!job->has_head)
    slow_target_answers (&job->target->slow, now);
  job->has_head = true;
  job->status = head->status;
  job->is_signed = facts.is_signed;
  job->has_events = h1_is_event_stream (head);
  job->not_run = is_refusal (job, head, &facts);
  job->limit = facts.limit;
  if (head->status != HTTP_STATUS_MISDIRECTED_REQUEST)
    job_note_target_answers (job, now);
  target_notices_take (job->forward->config.notices, job->target, head->status, &facts,
                       job->sent_at, now);
  if (!job->stream.begun)
    copy_fields (job, head);
  set_held (job, now);
  return true;
}

static void
begin_stream (struct forward_job *job)
{
  job->stream.begun = true;
  job->stream.status = job->status;
  h1_reply_begin (job->exchange, job->status, job->fields.data, -1);
}

/* Of an answer that is not a stream. */
static void
hold_data (struct forward_job *job, const char *data, size_t length, int64_t now)
{
  bytes_append_limited (&job->body, data, length, FORWARD_ANSWER_MAX_BYTES);
  if (bytes_has_failed (&job->body))
    reject_answer (job, "answer too large or out of memory", now);
  else
    set_held (job, now);
}

static void
pass_data (struct forward_job *job, const char *data, size_t length, int64_t now)
{
  const char *why;

  if (bytes_has_failed (&job->fields))
    {
      job_abandon_attempt (job, "out of memory for the answer's header", FORWARD_BROKEN, now);
      return;
    }
  if (!job->stream.begun)
    begin_stream (job);
  why = job_pass_events (job, data, length);
  if (why != NULL)
    reject_answer (job, why, now);
  else
    set_held (job, now);
}

static void
on_data (struct h1_call *call, const char *data, size_t length, int64_t now)
{
  struct forward_job *job = CONTAINER_OF (call, struct forward_job, call);

  job->heard_at = now;
  if (job->first_byte_at == 0)
    {
      job->first_byte_at = now;
      histogram_record (job->forward->first_byte, (double) (now - job->arrived));
      if (job->status == HTTP_STATUS_OK)
        job_cancel_stages (job, now);
      if (job->is_announced)
        engine_broadcast_began (job->forward->config.news, job->target->id_hash, job->send_id, now);
    }
  if (!is_stream_answer (job))
    hold_data (job, data, length, now);
  else
    pass_data (job, data, length, now);
}

static bool
may_send (struct h1_call *call, int64_t now)
{
  return balance_may_still_send (CONTAINER_OF (call, struct forward_job, call)->target, now);
}

/* The target wants no calls any more; that is no failure of it. */
static void
handle_withdrawn (struct forward_job *job, int64_t now)
{
  job_log_attempt (job, h1_end_text (H1_END_WITHDRAWN), false, now);
  job_cancel_call (job);
  job->runs--;
  attempt_failed (job, false, FORWARD_BROKEN, now);
}

static void
on_ended (struct h1_call *call, enum h1_end end, int64_t now)
{
  struct forward_job *job = CONTAINER_OF (call, struct forward_job, call);
  bool kept = !bytes_has_failed (&job->body) && !bytes_has_failed (&job->fields);
  bool broke;

  if (end == H1_END_WHOLE && job->status != 0 && kept)
    {
      handle_complete_answer (job, now);
      return;
    }
  if (end == H1_END_WITHDRAWN)
    {
      handle_withdrawn (job, now);
      return;
    }
  broke = call->request_sent && (end == H1_END_TRUNCATED || end == H1_END_RESET);
  if (broke)
    job_note_break (job, end, now);
  job_log_attempt (job,
                   end == H1_END_WHOLE ? "answer too large or out of memory" : h1_end_text (end),
                   broke, now);
  if (end == H1_END_REFUSED)
    job_note_target_refuses (job, now);
  release_target (job, true, now);
  if (!call->request_sent)
    job->runs--;
  attempt_failed (job, call->request_sent, FORWARD_BROKEN, now);
}

const struct h1_call_ops job_call_ops = {
  .may_send = may_send,
  .head = on_head,
  .data = on_data,
  .ended = on_ended,
};

void
job_send_failed (struct forward_job *job, const char *why, int64_t now)
{
  job_log_attempt (job, why, false, now);
  release_target (job, true, now);
  job->runs--;
  attempt_failed (job, false, FORWARD_REFUSED, now);
}
