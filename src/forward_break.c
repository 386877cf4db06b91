/* What a broken connection says of the request that was sent over it. */
#include "forward_private.h"

const struct request_digest *
job_digest (struct forward_job *job)
{
  if (!job->has_digest)
    request_digest_of (job->exchange->head, job->exchange->body, job->organisation, &job->digest);
  job->has_digest = true;
  return &job->digest;
}

void
job_note_break (struct forward_job *job, int64_t now)
{
  target_watch_broke (job->forward->config.watch, job->target, now);
}
