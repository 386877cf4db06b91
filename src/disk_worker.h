/* Disk work off the event loop.
 *
 * A write or sync to a disk that stalls may take seconds, in which a process that waited for it
 * would answer nobody.  A worker runs one job at a time, and tells the loop when it is over.  This
 * is the one place where the product uses a thread of its own; the loop and the thread share
 * nothing but the job that is under way. */
#ifndef DISK_WORKER_H
#define DISK_WORKER_H

#include "decls.h"
#include "loop.h"
#include "status.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

struct disk_job;

struct disk_job_ops
{
  /* Does the work, perhaps on another thread: it uses only the job and what the loop leaves alone
   * until done() was called. */
  enum status (*run) (struct disk_job *job);

  /* Called on the loop.  status_message() has the reason of a failure. */
  void (*done) (struct disk_job *job, enum status status, int64_t now);
};

/* Embedded in its owner. */
struct disk_job
{
  const struct disk_job_ops *ops;
  int64_t began_at; /* set by the worker; monotonic clock, us */
  enum status status;
  char message[STATUS_MESSAGE_SIZE];
};

struct disk_worker
{
  const struct disk_worker_ops *ops;
};

struct disk_worker_ops
{
  /* Starts the job; no other one is under way.  done() may be called before this returns. */
  void (*start) (struct disk_worker *worker, struct disk_job *job, int64_t now);

  /* Forgets the job under way, whose done() will not be called: waits for it for a moment, and
   * returns whether it is over.  If not, it may go on for ever, and what it uses must not be
   * freed. */
  bool (*abandon) (struct disk_worker *worker);
};

/* Runs jobs within start(). */
struct disk_worker *disk_worker_inline (void);

/* Runs jobs on a thread.  NULL with status_message() on failure. */
struct disk_worker *disk_thread_new (void *parent, struct loop *loop);

/* For implementations: runs the job and keeps its outcome; then reports it. */
void disk_job_run (struct disk_job *job);
void disk_job_report (struct disk_job *job, int64_t now);

END_DECLS

#endif
