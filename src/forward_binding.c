/* Streams and the versions of the targets that write them: only targets of the version that wrote
 * the first event that the client has may go on with a stream. */
#include "forward_private.h"
#include "text.h"
#include <string.h>

static void
read_version (const struct forward_job *job, struct binding *out)
{
  const char *version = registry_target_version (job->target->record);

  *out = (struct binding){ .version_known = version != NULL };
  memcpy (out->pool, job->pool, sizeof out->pool);
  text_copy_truncated (out->version, sizeof out->version, version == NULL ? "" : version);
}

void
job_note_version (struct forward_job *job)
{
  job->attempt_started = job->target->started;
  read_version (job, &job->attempt_binding);
}

void
job_bind (struct forward_job *job)
{
  struct forward_stream *stream = &job->stream;

  if (stream->is_bound)
    return;
  /* The version may have become known since.  Not of another incarnation: it has not written
   * this. */
  if (!job->attempt_binding.version_known && job->target->started == job->attempt_started)
    read_version (job, &job->attempt_binding);
  stream->is_bound = true;
  stream->binding = job->attempt_binding;
}

const char *
job_bound_version (const struct forward_job *job)
{
  return job->stream.is_bound ? job->stream.binding.version : NULL;
}

bool
job_is_version_gone (const struct forward_job *job)
{
  struct balance_query query = {
    .pool = job->pool,
    .version = job_bound_version (job),
    .tried = job->tried,
    .n_tried = job->n_tried,
  };

  if (!job->stream.is_bound)
    return false;
  return !job->stream.binding.version_known
         || balance_count (job->forward->config.balance, &query) == 0;
}
