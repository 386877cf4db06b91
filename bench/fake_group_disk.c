/* Disk workers of a simulated group. */
#include "container.h"
#include "fake_group_private.h"

#define JOB_TIME_MAX 200 /* of a job on a fast disk, in us */

static void
run_job (struct fake_worker *worker)
{
  worker->is_run = true;
  disk_job_run (worker->job);
}

static void
job_fired (struct timer *timer, int64_t now)
{
  struct fake_worker *worker = CONTAINER_OF (timer, struct fake_worker, timer);
  struct disk_job *job = worker->job;

  if (!worker->is_run)
    run_job (worker);
  worker->job = NULL;
  disk_job_report (job, now);
}

static const struct timer_ops job_ops = { .fire = job_fired };

/* What was done at the start is durable long before the voter hears of it; what is done at the end
 * is lost if its host stops before. */
static void
worker_start (struct disk_worker *base, struct disk_job *job, int64_t now)
{
  struct fake_worker *worker = CONTAINER_OF (base, struct fake_worker, worker);
  struct host *host = worker->host;
  struct disk_fake *disk = disk_fake_of (host->disk);
  uint64_t before = disk_fake_syncs (disk);
  uint64_t syncs = 1;

  INVARIANT (worker->job == NULL);
  worker->job = job;
  worker->is_run = false;
  worker->timer.ops = &job_ops;
  job->began_at = now;
  if (rng_below (&host->group->rng, 2) == 0)
    {
      run_job (worker);
      syncs = disk_fake_syncs (disk) - before;
    }
  timer_arm (host->timers, &worker->timer,
             now + (int64_t) syncs * host->sync_delay
                 + (int64_t) rng_below (&host->group->rng, JOB_TIME_MAX));
}

static bool
worker_abandon (struct disk_worker *base)
{
  struct fake_worker *worker = CONTAINER_OF (base, struct fake_worker, worker);

  timer_disarm (worker->host->timers, &worker->timer);
  worker->job = NULL;
  return true;
}

const struct disk_worker_ops group_worker_ops = {
  .start = worker_start,
  .abandon = worker_abandon,
};
