/* What the worker does for a log of bindings: reads all files, or writes a batch. */
#include "binding_log_private.h"
#include "container.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
format_name (uint64_t number, char out[DISK_NAME_SIZE])
{
  snprintf (out, DISK_NAME_SIZE, BINDING_LOG_NAME_PREFIX "%016llx", (unsigned long long) number);
}

static void
remove_file (const struct binding_log_job *job, uint64_t number)
{
  char name[DISK_NAME_SIZE];

  format_name (number, name);
  /* One that stays is found by the next start. */
  (void) job->disk->ops->remove (job->disk, name);
}

/* ---- loading ---- */

/* Keeps the newest files, in ascending order, and removes others. */
static void
note_file (struct binding_log_job *job, uint64_t number)
{
  uint32_t at = job->n_files;

  if (job->n_files == BINDING_LOG_FILES_MAX)
    {
      remove_file (job, number < job->files[0].number ? number : job->files[0].number);
      if (number < job->files[0].number)
        return;
      memmove (job->files, job->files + 1, --job->n_files * sizeof *job->files);
      at = job->n_files;
    }
  while (at > 0 && job->files[at - 1].number > number)
    {
      job->files[at] = job->files[at - 1];
      at--;
    }
  job->files[at] = (struct binding_log_file){ .number = number };
  job->n_files++;
}

static void
collect (void *context, const char *name)
{
  char *end;
  uint64_t number;

  if (strncmp (name, BINDING_LOG_NAME_PREFIX, strlen (BINDING_LOG_NAME_PREFIX)) != 0)
    return;
  number = strtoull (name + strlen (BINDING_LOG_NAME_PREFIX), &end, 16);
  if (*end == '\0')
    note_file (context, number);
}

/* A file that cannot be read is passed over; the others hold. */
static enum status
load (struct binding_log_job *job)
{
  enum status status = job->disk->ops->list (job->disk, collect, job);

  for (uint32_t i = 0; status == STATUS_OK && i < job->n_files; i++)
    {
      struct binding_log_file *file = &job->files[i];
      char name[DISK_NAME_SIZE];

      format_name (file->number, name);
      bytes_init (&file->content, NULL);
      if (job->disk->ops->read (job->disk, name, 0, BINDING_LOG_BYTES_MAX, &file->content)
          != STATUS_OK)
        bytes_clear (&file->content);
      file->bytes = file->content.length;
    }
  return status;
}

/* ---- writing ---- */

static enum status
open_file (struct binding_log_job *job)
{
  char name[DISK_NAME_SIZE];

  if (!job->is_new)
    return STATUS_OK;
  if (job->file >= 0)
    job->disk->ops->close (job->disk, job->file);
  job->file = -1;
  format_name (job->number, name);
  return job->disk->ops->open (job->disk, name, &job->file);
}

static enum status
append (struct binding_log_job *job)
{
  enum status status = open_file (job);

  if (status == STATUS_OK)
    status = job->disk->ops->append (job->disk, job->file, job->batch.data, job->batch.length);
  if (status == STATUS_OK)
    status = job->disk->ops->sync (job->disk, job->file);
  if (status == STATUS_OK && job->is_new)
    status = job->disk->ops->sync_folder (job->disk);
  return status;
}

static enum status
write_batch (struct binding_log_job *job)
{
  enum status status = STATUS_OK;

  for (uint32_t i = 0; i < job->n_removed; i++)
    remove_file (job, job->removed[i]);
  if (job->batch.length == 0)
    return STATUS_OK;
  if (job->disk->ops->free_bytes (job->disk) < job->free_bytes_min)
    status = status_fail (STATUS_DISK_FULL, "less than %llu bytes free",
                          (unsigned long long) job->free_bytes_min);
  else
    status = append (job);
  if (status != STATUS_OK && job->file >= 0)
    {
      job->disk->ops->close (job->disk, job->file);
      job->file = -1;
    }
  return status;
}

static enum status
run (struct disk_job *base)
{
  struct binding_log_job *job = CONTAINER_OF (base, struct binding_log_job, job);

  return job->task == BINDING_LOG_LOAD ? load (job) : write_batch (job);
}

static void
done (struct disk_job *base, enum status status, int64_t now)
{
  binding_log_job_done (CONTAINER_OF (base, struct binding_log_job, job), status, now);
}

const struct disk_job_ops binding_log_job_ops = { .run = run, .done = done };
