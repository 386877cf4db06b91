/* The ends of a request: served, refused as not run, failed. */
#include "forward_private.h"
#include "log.h"
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define DENIAL_LINES_PER_SECOND 20

static const char *const reason_texts[] = {
#define X(name, text) [FORWARD_##name] = text,
  FORWARD_REASON_LIST (X)
#undef X
};

const char *
forward_reason_text (enum forward_reason reason)
{
  return reason_texts[reason];
}

struct forward_client_answer
job_answer_so_far (const struct forward_job *job)
{
  return (struct forward_client_answer){ .status = job->stream.status, .whole = false };
}

void
job_log (const struct forward_job *job,
         enum forward_reason reason,
         struct forward_client_answer client_response)
{
  const struct forward *forward = job->forward;
  int64_t now = loop_now (forward->config.loop);
  int64_t age = subscriber_confirmation_age (forward->config.subscriber);

  counter_add (forward->reasons[reason], 1);
  log_event (
      LOG_MODULE_FLOW, LOG_LEVEL_INFO, "request-ended",
      "{s:s,s:s,s:s,s:s,s:i,s:b,s:I,s:I,s:I,s:i,s:i,s:I,s:I,s:I,s:I,s:i,s:s,s:s}", "id",
      job->facts.id, "route", job->route.name, "pool", job->pool, "outcome", reason_texts[reason],
      "status", (int) client_response.status, "whole", client_response.whole, "age_ms",
      (json_int_t) (job->age / USEC_PER_MSEC), "version", (json_int_t) job->version,
      "version_age_ms", (json_int_t) (age == USEC_NEVER ? -1 : age / USEC_PER_MSEC), "sends",
      (int) job->sends, "runs", (int) job->runs, "stages_us",
      (json_int_t) (job->stages_done == 0 ? -1 : job->stages_done - job->arrived), "first_us",
      (json_int_t) (job->first_byte_at == 0 ? -1 : job->first_byte_at - job->arrived), "took_us",
      (json_int_t) (now - job->arrived), "late_ms",
      (json_int_t) (job->deadline != 0 && now > job->deadline
                        ? (now - job->deadline) / USEC_PER_MSEC
                        : 0),
      "events", (int) job->stream.events, "resumes", job->facts.resumes, "resumes_after",
      job->facts.last_event);
}

/* Sends an answer of this host, without a body.  The exchange is valid until the job is freed. */
static void
reply_without_body (struct forward_job *job,
                    enum forward_reason reason,
                    unsigned status,
                    const char *fields)
{
  job_log (job, reason, (struct forward_client_answer){ .status = status, .whole = true });
  h1_reply (job->exchange, status, fields, NULL, 0);
  job->exchange = NULL;
}

/* The request has not run and will not run. */
void
job_refuse (struct forward_job *job, enum forward_reason reason, double retry_after_seconds)
{
  char field[48];

  INVARIANT (!job->stream.begun && job->runs == 0);
  snprintf (field, sizeof field, "Retry-After: %.3f\r\n", retry_after_seconds);
  reply_without_body (job, reason, HTTP_STATUS_SERVICE_UNAVAILABLE, field);
  job_free (job);
}

/* The request may have run: the status does not state whether it did. */
void
job_fail (struct forward_job *job, enum forward_reason reason)
{
  unsigned status =
      reason == FORWARD_TIMEOUT ? HTTP_STATUS_GATEWAY_TIMEOUT : HTTP_STATUS_BAD_GATEWAY;

  if (job->stream.begun)
    {
      job_log (job, reason, job_answer_so_far (job));
      h1_reply_end (job->exchange, false);
      job->exchange = NULL;
    }
  else
    reply_without_body (job, reason, status, NULL);
  job_free (job);
}

void
job_give_up (struct forward_job *job, enum forward_reason reason, double retry_after_seconds)
{
  if (job->runs == 0 && !job->stream.begun)
    job_refuse (job, reason, retry_after_seconds);
  else
    job_fail (job, reason);
}

/* States what a denial rests on.  A warning, so that lines about other requests cannot displace it;
 * bounded, since clients decide how many there are. */
static void
log_denial (const struct forward_job *job, enum forward_reason reason)
{
  struct forward *forward = job->forward;
  int64_t now = loop_now (forward->config.loop);
  int64_t age = subscriber_confirmation_age (forward->config.subscriber);
  const char *host = h1_field_value (job->exchange->head, "host");

  if (now - forward->denials_since >= USEC_PER_SEC)
    {
      forward->denials_since = now;
      forward->denials_logged = 0;
    }
  if (forward->denials_logged >= DENIAL_LINES_PER_SECOND)
    {
      forward->denials_omitted++;
      return;
    }
  forward->denials_logged++;
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "request-denied", "{s:s,s:s,s:s,s:I,s:I,s:I}",
             "id", job->facts.id, "outcome", reason_texts[reason], "host", host == NULL ? "" : host,
             "version", (json_int_t) job->version, "version_age_ms",
             (json_int_t) (age == USEC_NEVER ? -1 : age / USEC_PER_MSEC), "omitted",
             (json_int_t) forward->denials_omitted);
  forward->denials_omitted = 0;
}

/* The request is malformed or not allowed by the configuration. */
void
job_reject (struct forward_job *job, enum forward_reason reason, unsigned status)
{
  if (reason == FORWARD_NO_ROUTE || reason == FORWARD_NO_KEY)
    log_denial (job, reason);
  reply_without_body (job, reason, status, NULL);
  job_free (job);
}

void
job_serve (struct forward_job *job)
{
  INVARIANT (!job->stream.begun);
  job_log (job, FORWARD_SERVED,
           (struct forward_client_answer){ .status = job->status, .whole = true });
  h1_reply (job->exchange, job->status, job->fields.data, job->body.data, job->body.length);
  job->exchange = NULL;
  job_free (job);
}

void
job_end_stream (struct forward_job *job)
{
  INVARIANT (job->stream.begun);
  job_log (job, FORWARD_SERVED,
           (struct forward_client_answer){ .status = job->stream.status, .whole = true });
  h1_reply_data (job->exchange, job->body.data, job->body.length);
  h1_reply_end (job->exchange, true);
  job->exchange = NULL;
  job_free (job);
}
