/* What all workers share, and the one without a thread. */
#include "disk_worker.h"
#include "text.h"

void
disk_job_run (struct disk_job *job)
{
  job->status = job->ops->run (job);
  text_copy_truncated (job->message, sizeof job->message,
                       job->status == STATUS_OK ? "" : status_message ());
}

void
disk_job_report (struct disk_job *job, int64_t now)
{
  enum status status = job->status;

  if (status != STATUS_OK)
    status_fail (status, "%s", job->message);
  job->ops->done (job, status, now);
}

static void
inline_start (struct disk_worker *worker, struct disk_job *job, int64_t now)
{
  (void) worker;
  job->began_at = now;
  disk_job_run (job);
  disk_job_report (job, now);
}

static bool
inline_abandon (struct disk_worker *worker)
{
  (void) worker;
  return true;
}

struct disk_worker *
disk_worker_inline (void)
{
  static const struct disk_worker_ops ops = { .start = inline_start, .abandon = inline_abandon };
  static struct disk_worker worker = { .ops = &ops };

  return &worker;
}
