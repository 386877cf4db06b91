/* A disk worker with a thread.
 *
 * The loop hands a job over under the mutex; the thread hands it back the same way and writes a
 * byte to a pipe that the loop watches. */
#include "container.h"
#include "disk_worker.h"
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#define STACK_BYTES (256u << 10)

/* How long the end of the process waits for a job that is under way. */
#define ABANDON_WAIT (500 * USEC_PER_MSEC)

/* Used by both threads, and never freed while a job is under way. */
struct shared
{
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  struct disk_job *job; /* to be run or running; NULL: none */
  bool over;            /* `job` was run */
  bool stop;
  int notify; /* written to once a job was run */
};

struct disk_thread
{
  struct disk_worker worker;
  struct loop_watch watch;
  struct loop *loop;
  struct shared *shared;
  pthread_t thread;
  int notified;
  bool is_stuck; /* a job was abandoned that was not over */
};

static int64_t
monotonic_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * USEC_PER_SEC + now.tv_nsec / 1000;
}

static void *
run_jobs (void *argument)
{
  struct shared *shared = argument;

  pthread_mutex_lock (&shared->mutex);
  while (!shared->stop)
    {
      struct disk_job *job = shared->job;

      if (job == NULL || shared->over)
        {
          pthread_cond_wait (&shared->changed, &shared->mutex);
          continue;
        }
      pthread_mutex_unlock (&shared->mutex);
      job->began_at = monotonic_now ();
      disk_job_run (job);
      pthread_mutex_lock (&shared->mutex);
      shared->over = true;
      pthread_cond_broadcast (&shared->changed);
      /* The pipe holds at most this one byte, so the write never blocks. */
      while (write (shared->notify, "", 1) < 0 && errno == EINTR)
        ;
    }
  pthread_mutex_unlock (&shared->mutex);
  return NULL;
}

static void
thread_start (struct disk_worker *worker, struct disk_job *job, int64_t now)
{
  const struct disk_thread *self = (const struct disk_thread *) worker;
  struct shared *shared = self->shared;

  (void) now;
  INVARIANT (!self->is_stuck);
  pthread_mutex_lock (&shared->mutex);
  INVARIANT (shared->job == NULL);
  shared->job = job;
  shared->over = false;
  pthread_cond_broadcast (&shared->changed);
  pthread_mutex_unlock (&shared->mutex);
}

static void
on_notified (struct loop_watch *watch, int64_t now)
{
  struct disk_thread *self = CONTAINER_OF (watch, struct disk_thread, watch);
  struct shared *shared = self->shared;
  struct disk_job *job;
  char byte;

  if (read (self->notified, &byte, 1) != 1)
    return;
  pthread_mutex_lock (&shared->mutex);
  job = shared->over ? shared->job : NULL;
  if (job != NULL)
    shared->job = NULL;
  pthread_mutex_unlock (&shared->mutex);
  if (job != NULL)
    disk_job_report (job, now);
}

static bool
thread_abandon (struct disk_worker *worker)
{
  struct disk_thread *self = (struct disk_thread *) worker;
  struct shared *shared = self->shared;
  struct timespec until;
  bool over;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_nsec += ABANDON_WAIT * 1000;
  until.tv_sec += until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  pthread_mutex_lock (&shared->mutex);
  while (shared->job != NULL && !shared->over
         && pthread_cond_timedwait (&shared->changed, &shared->mutex, &until) != ETIMEDOUT)
    ;
  over = shared->job == NULL || shared->over;
  self->is_stuck = self->is_stuck || !over;
  shared->job = NULL;
  shared->over = false;
  pthread_mutex_unlock (&shared->mutex);
  return over;
}

static const struct disk_worker_ops thread_ops = { .start = thread_start,
                                                   .abandon = thread_abandon };
static const struct loop_watch_ops watch_ops = { .readable = on_notified };

static int
free_thread (struct disk_thread *self)
{
  struct shared *shared = self->shared;

  loop_unwatch (self->loop, &self->watch);
  close (self->notified);
  (void) thread_abandon (&self->worker);
  if (self->is_stuck)
    {
      pthread_detach (self->thread);
      return 0;
    }
  pthread_mutex_lock (&shared->mutex);
  shared->stop = true;
  pthread_cond_broadcast (&shared->changed);
  pthread_mutex_unlock (&shared->mutex);
  pthread_join (self->thread, NULL);
  close (shared->notify);
  pthread_cond_destroy (&shared->changed);
  pthread_mutex_destroy (&shared->mutex);
  talloc_free (shared);
  return 0;
}

/* Signals that the loop handles must not be taken by the thread, where their default action would
 * end the process. */
static int
create_thread (struct disk_thread *self)
{
  static const int handled[] = { SIGTERM, SIGINT, SIGHUP, SIGQUIT, SIGUSR1, SIGUSR2, SIGPIPE };
  pthread_attr_t attributes;
  sigset_t blocked;
  sigset_t before;
  int error;

  sigemptyset (&blocked);
  for (size_t i = 0; i < sizeof handled / sizeof handled[0]; i++)
    sigaddset (&blocked, handled[i]);
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  pthread_sigmask (SIG_BLOCK, &blocked, &before);
  error = pthread_create (&self->thread, &attributes, run_jobs, self->shared);
  pthread_sigmask (SIG_SETMASK, &before, NULL);
  pthread_attr_destroy (&attributes);
  return error;
}

static enum status
set_up (struct disk_thread *self, struct loop *loop)
{
  int pipe_ends[2];
  int error;

  if (pipe2 (pipe_ends, O_CLOEXEC | O_NONBLOCK) != 0)
    return status_fail (STATUS_IO, "pipe of the disk thread: %s", strerror (errno));
  self->notified = pipe_ends[0];
  self->shared->notify = pipe_ends[1];
  pthread_mutex_init (&self->shared->mutex, NULL);
  pthread_cond_init (&self->shared->changed, NULL);
  error = create_thread (self);
  if (error == 0 && loop_watch_fd (loop, &self->watch, self->notified) == STATUS_OK)
    {
      talloc_set_destructor (self, free_thread);
      return STATUS_OK;
    }
  if (error != 0)
    status_fail (STATUS_IO, "disk thread: %s", strerror (error));
  close (pipe_ends[0]);
  close (pipe_ends[1]);
  return STATUS_IO;
}

struct disk_worker *
disk_thread_new (void *parent, struct loop *loop)
{
  struct disk_thread *self = talloc_zero (parent, struct disk_thread);

  if (self == NULL)
    return NULL;
  self->worker.ops = &thread_ops;
  self->watch.ops = &watch_ops;
  self->loop = loop;
  self->shared = talloc_zero (NULL, struct shared);
  if (self->shared == NULL || set_up (self, loop) != STATUS_OK)
    {
      talloc_free (self->shared);
      talloc_free (self);
      return NULL;
    }
  return &self->worker;
}
