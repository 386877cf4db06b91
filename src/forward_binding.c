/* Streams and the versions of the targets that write them: only targets of the version that wrote
 * the first event that the client has may go on with a stream. */
#include "forward_private.h"
#include "log.h"
#include "text.h"
#include <jansson.h>
#include <string.h>

/* Longest life of a stream over all its requests, in multiples of the route's timeout. */
#define STREAM_LIFE_TIMEOUTS 2

/* Least time that a binding is kept.  A caller's own patience may be longer than the route's. */
#define BINDING_LIFETIME_MIN (60 * USEC_PER_SEC)

/* Retry-After, in seconds: another host may know the binding, or have a target of the version. */
#define RESUME_RETRY_AFTER_SEC 0.3

/* Whether the request goes on with a stream that an earlier request began. */
static bool
resumes_stream (const struct forward_job *job)
{
  return job->route.kind == ROUTE_STREAM && job->route.resumable
         && job->facts.last_event[0] != '\0';
}

void
job_note_writer (struct forward_job *job)
{
  binding_to (&job->target->record->registration, &job->attempt_binding);
}

/* Adds the version of the writer to a binding if it has become known since. */
static void
complete_binding (const struct forward_job *job, struct binding *binding)
{
  const struct registry *registry = subscriber_registry (job->forward->config.subscriber);
  const struct registry_target *writer = registry_find (registry, binding->target);

  if (!binding->version_known && writer != NULL
      && writer->registration.started_unix_ms == binding->started)
    binding_to (&writer->registration, binding);
}

static int64_t
binding_lifetime (const struct forward_job *job)
{
  int64_t lifetime = STREAM_LIFE_TIMEOUTS * job->route.timeout;

  return lifetime > BINDING_LIFETIME_MIN ? lifetime : BINDING_LIFETIME_MIN;
}

static void
put_binding (struct forward_job *job, const char *request)
{
  struct forward *forward = job->forward;
  struct binding_key key;

  binding_key_compute (job->organisation, job->route.name, request, &key);
  binding_store_put (forward->config.bindings, &key, &job->stream.binding, binding_lifetime (job),
                     loop_now (forward->config.loop));
}

void
job_bind (struct forward_job *job)
{
  struct forward_stream *stream = &job->stream;

  if (!stream->is_bound)
    {
      complete_binding (job, &job->attempt_binding);
      stream->binding = job->attempt_binding;
      stream->is_bound = true;
    }
  if (!job->route.resumable)
    return;
  put_binding (job, job->facts.id);
  /* The hosts that kept it may be gone. */
  if (resumes_stream (job) && job->facts.resumes[0] != '\0')
    put_binding (job, job->facts.resumes);
}

/* ---- resumed streams ---- */

static bool
has_pool (const struct forward_job *job, const struct routing *routing, const char *name)
{
  for (uint32_t i = 0; i < job->route.n_shares; i++)
    if (strcmp (routing->pools[job->route.shares[i].pool].name, name) == 0)
      return true;
  return false;
}

static void
log_resumption (const struct forward_job *job, enum forward_reason reason)
{
  const struct binding_answer *answer = &job->binding_answer;
  const struct balance *balance = job->forward->config.balance;
  struct balance_query any = { .pool = answer->binding.pool };
  struct balance_query same = { .pool = answer->binding.pool, .binding = &answer->binding };
  bool known = answer->outcome == BINDING_KNOWN;
  int64_t started_at = job->lookup.started_at;

  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "stream-resumed",
             "{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s?,s:s,s:I,s:I,s:i,s:i}", "id", job->facts.id,
             "resumes", job->facts.resumes, "after", job->facts.last_event, "outcome",
             reason == FORWARD_SERVED ? "goes on" : forward_reason_text (reason), "binding",
             binding_outcome_text (answer->outcome), "pool", answer->binding.pool, "writer",
             answer->binding.target, "target_version",
             answer->binding.version_known ? answer->binding.version : NULL, "from", answer->from,
             "age_ms", (json_int_t) (answer->age / USEC_PER_MSEC), "lookup_us",
             (json_int_t) (started_at == 0 ? 0 : loop_now (job->forward->config.loop) - started_at),
             "of_version", known ? (int) balance_count (balance, &same) : 0, "of_pool",
             known ? (int) balance_count (balance, &any) : 0);
}

static void
refuse_resumption (struct forward_job *job, enum forward_reason reason)
{
  counter_add (job->forward->resumptions_refused, 1);
  log_resumption (job, reason);
  job_refuse (job, reason, RESUME_RETRY_AFTER_SEC);
}

/* Binds the stream to the only version that any target had for as long as it may live, by what this
 * host has seen. */
static void
bind_to_single_version (struct forward_job *job, const struct routing *routing, int64_t now)
{
  const struct subscriber *subscriber = job->forward->config.subscriber;
  const char *pool = routing->pools[job->route.shares[0].pool].name;
  const char *version = registry_single_version (subscriber_registry (subscriber), pool, now);
  int64_t longest = STREAM_LIFE_TIMEOUTS * job->route.timeout;

  if (job->binding_answer.outcome != BINDING_UNKNOWN || job->route.n_shares != 1 || version == NULL
      || longest > REGISTRY_RETENTION || now - job->route.shares_since < longest
      || !subscriber_reaches_all_controllers (subscriber))
    return;
  job->binding_answer.outcome = BINDING_KNOWN;
  job->binding_answer.binding = (struct binding){ .version_known = true };
  job->binding_answer.age = now - job->route.shares_since;
  text_copy_truncated (job->binding_answer.binding.pool, ROUTING_NAME_SIZE, pool);
  text_copy_truncated (job->binding_answer.binding.version, REGISTRY_VERSION_SIZE, version);
  text_copy_truncated (job->binding_answer.from, sizeof job->binding_answer.from,
                       "the only version");
}

/* Binds the request to what was found out; false if it was refused and the job freed. */
static bool
resume (struct forward_job *job, const struct routing *routing, int64_t now)
{
  struct binding *binding = &job->binding_answer.binding;
  struct balance_query query = { .pool = binding->pool, .binding = binding };

  complete_binding (job, binding);
  bind_to_single_version (job, routing, now);
  if (job->binding_answer.outcome != BINDING_KNOWN)
    {
      refuse_resumption (job, FORWARD_UNKNOWN_VERSION);
      return false;
    }
  if (!has_pool (job, routing, binding->pool)
      || balance_count (job->forward->config.balance, &query) == 0)
    {
      refuse_resumption (job, FORWARD_NO_VERSION);
      return false;
    }
  job->stream.is_bound = true;
  job->stream.binding = *binding;
  counter_add (job->forward->resumptions, 1);
  log_resumption (job, FORWARD_SERVED);
  return true;
}

bool
job_find_binding (struct forward_job *job, const struct routing *routing, int64_t now)
{
  struct binding_store *store = job->forward->config.bindings;
  struct binding_key key;

  if (!resumes_stream (job))
    return true;
  binding_key_compute (job->organisation, job->route.name, job->facts.resumes, &key);
  if (!job->has_binding_answer && job->facts.resumes[0] != '\0'
      && !binding_store_find (store, &key, &job->binding_answer, now))
    {
      binding_store_look_up (store, &job->lookup, &key, now);
      return false;
    }
  return resume (job, routing, now);
}

/* ---- choice of targets ---- */

const struct binding *
job_binding (const struct forward_job *job)
{
  return job->stream.is_bound ? &job->stream.binding : NULL;
}

static bool
has_target (const struct forward_job *job, uint32_t n_tried)
{
  struct balance_query query = {
    .pool = job->pool,
    .binding = job_binding (job),
    .tried = job->tried,
    .n_tried = n_tried,
  };

  return balance_count (job->forward->config.balance, &query) > 0;
}

bool
job_is_version_gone (const struct forward_job *job)
{
  return job->stream.is_bound && !has_target (job, 0);
}

bool
job_may_go_on (const struct forward_job *job)
{
  return !job->stream.is_bound || has_target (job, job->n_tried)
         || job_backoff_wait (job, loop_now (job->forward->config.loop)) > 0;
}
