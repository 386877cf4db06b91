// A disk worker that holds its job.
#ifndef HELD_WORKER_H
#define HELD_WORKER_H

#include "disk_worker.h"

// Holds a job until it is told to run it.
struct held_worker
{
  struct disk_worker worker; // must be first
  struct disk_job *job = nullptr;
  bool holds = false;

  held_worker ()
  {
    static const struct disk_worker_ops ops = {
      .start =
          [] (struct disk_worker *base, struct disk_job *one, int64_t now) {
            auto *self = reinterpret_cast<held_worker *> (base);

            self->job = one;
            if (!self->holds)
              self->release (now);
          },
      .abandon =
          [] (struct disk_worker *base) {
            reinterpret_cast<held_worker *> (base)->job = nullptr;
            return true;
          },
    };

    worker.ops = &ops;
  }

  void
  release (int64_t now)
  {
    struct disk_job *one = job;

    job = nullptr;
    if (one == nullptr)
      return;
    disk_job_run (one);
    disk_job_report (one, now);
  }
};

#endif
