/* A log of bindings: what is written when, which files stay, and the restoring of earlier runs. */
#include "binding_log_private.h"
#include "container.h"
#include "log.h"
#include <jansson.h>
#include <string.h>
#include <talloc.h>

struct binding_log
{
  struct binding_log_config config;
  struct timer timer;
  struct binding_log_job *job; /* no parent: a job that hangs outlives the log */
  bool is_busy;                /* the worker has the job */
  bool is_loading;
  bool was_read; /* the job holds what the files have */
  uint32_t n_restored;
  uint32_t n_restored_files; /* of those found */
  int64_t newest_wall;       /* of the last entry found, by the wall clock; 0: there is none */
  int64_t downtime;          /* since then */

  struct binding_log_file files[BINDING_LOG_FILES_MAX]; /* ascending; their content is not used */
  uint32_t n_files;
  uint64_t last_number;
  bool has_file; /* the last file is open, and may take more */
  uint64_t removed[BINDING_LOG_FILES_MAX];
  uint32_t n_removed; /* files that the next write removes */

  struct bytes pending;
  uint32_t n_pending;
  int64_t pending_expires_at; /* of the last one to expire */
  int64_t written_at;         /* the start of the last write */
  int64_t paused_until;

  struct counter *written;
  struct counter *lost;
  struct counter *restored;
  struct counter *syncs;
  struct counter *failures;
  struct counter *bytes;
};

/* ---- files ---- */

static uint64_t
total_bytes (const struct binding_log *log)
{
  uint64_t bytes = 0;

  for (uint32_t i = 0; i < log->n_files; i++)
    bytes += log->files[i].bytes;
  return bytes;
}

/* The next write removes the file.  Where too many wait for that, it is found by the next start. */
static void
drop_file (struct binding_log *log, uint32_t at)
{
  if (log->n_removed < BINDING_LOG_FILES_MAX)
    log->removed[log->n_removed++] = log->files[at].number;
  memmove (&log->files[at], &log->files[at + 1], (--log->n_files - at) * sizeof *log->files);
  if (at == log->n_files)
    log->has_file = false;
}

static void
drop_all_files (struct binding_log *log)
{
  while (log->n_files > 0)
    drop_file (log, log->n_files - 1);
}

static void
drop_expired_files (struct binding_log *log, int64_t now)
{
  for (uint32_t i = log->n_files; i-- > 0;)
    if (now >= log->files[i].expires_at)
      drop_file (log, i);
}

static void
make_room (struct binding_log *log, uint64_t bytes)
{
  while (log->n_files > 0
         && (log->n_files == BINDING_LOG_FILES_MAX
             || total_bytes (log) + bytes > BINDING_LOG_BYTES_MAX))
    drop_file (log, 0);
}

static void
begin_file (struct binding_log *log)
{
  log->files[log->n_files++] = (struct binding_log_file){ .number = ++log->last_number };
  log->has_file = true;
}

/* ---- writing ---- */

static void
count_lost (struct binding_log *log, uint32_t n)
{
  counter_add (log->lost, n);
}

static void
drop_pending (struct binding_log *log)
{
  count_lost (log, log->n_pending);
  log->n_pending = 0;
  bytes_clear (&log->pending);
}

/* Arms the timer for the next write, or for the removal of files that have expired. */
static void
schedule (struct binding_log *log, int64_t now)
{
  int64_t due = now + BINDING_LOG_SWEEP_PERIOD;

  if (log->is_busy || log->is_loading)
    return;
  if (log->n_pending > 0 || log->n_removed > 0)
    due = log->written_at + BINDING_LOG_WRITE_PERIOD;
  else if (log->n_files == 0)
    return;
  if (!timer_is_armed (&log->timer) || log->timer.due > due)
    timer_arm (log->config.timers, &log->timer, due > now ? due : now);
}

static void
start (struct binding_log *log, int64_t now)
{
  log->is_busy = true;
  log->config.worker->ops->start (log->config.worker, &log->job->job, now);
}

/* Hands what is pending to the worker, in one write with one sync. */
static void
start_write (struct binding_log *log, int64_t now)
{
  struct binding_log_job *job = log->job;

  if (log->has_file && log->files[log->n_files - 1].bytes >= BINDING_LOG_FILE_BYTES)
    log->has_file = false;
  job->task = BINDING_LOG_WRITE;
  job->is_new = !log->has_file && log->n_pending > 0;
  bytes_clear (&job->batch);
  if (job->is_new)
    {
      const struct binding_log_header header = { .wall = log->config.wall_clock (), .steady = now };

      make_room (log, log->pending.length);
      begin_file (log);
      binding_log_write_header (&job->batch, &header);
    }
  bytes_append (&job->batch, log->pending.data, log->pending.length);
  if (bytes_has_failed (&job->batch))
    {
      /* A part of it would make the rest of the file unreadable. */
      bytes_clear (&job->batch);
      drop_pending (log);
      log->has_file = false;
    }
  job->n_records = log->n_pending;
  job->number = log->last_number;
  memcpy (job->removed, log->removed, log->n_removed * sizeof *log->removed);
  job->n_removed = log->n_removed;
  log->n_removed = 0;
  log->n_pending = 0;
  bytes_clear (&log->pending);
  log->written_at = now;
  start (log, now);
}

static void
write_failed (struct binding_log *log, enum status status, int64_t now)
{
  uint32_t n_lost = log->job->n_records + log->n_pending;

  counter_add (log->failures, 1);
  count_lost (log, log->job->n_records);
  drop_pending (log);
  log->has_file = false;
  log->paused_until = now + BINDING_LOG_PAUSE;
  if (status == STATUS_DISK_FULL)
    drop_all_files (log);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "bindings-not-written", "{s:i,s:s,s:I,s:b}",
             "bindings", (int) n_lost, "message", status_message (), "pause_ms",
             (json_int_t) (BINDING_LOG_PAUSE / USEC_PER_MSEC), "removed",
             status == STATUS_DISK_FULL);
}

static void
write_done (struct binding_log *log, enum status status, int64_t now)
{
  const struct binding_log_job *job = log->job;

  if (job->batch.length > 0 && status != STATUS_OK)
    write_failed (log, status, now);
  else if (job->batch.length > 0)
    {
      struct binding_log_file *file = &log->files[log->n_files - 1];

      file->bytes += job->batch.length;
      if (log->pending_expires_at > file->expires_at)
        file->expires_at = log->pending_expires_at;
      counter_add (log->written, job->n_records);
      counter_add (log->syncs, 1);
    }
  gauge_set (log->bytes, (double) total_bytes (log));
  schedule (log, now);
}

void
binding_log_add (struct binding_log *log, const struct binding_log_entry *entry, int64_t now)
{
  struct binding_log_record record = { .entry = *entry, .added = now };
  int64_t expires_at = now + binding_bound_lifetime (entry->lifetime);

  if (now < log->paused_until || log->pending.length >= BINDING_LOG_PENDING_MAX)
    {
      count_lost (log, 1);
      return;
    }
  binding_log_write_record (&log->pending, &record);
  if (bytes_has_failed (&log->pending))
    {
      log->n_pending++;
      drop_pending (log);
      return;
    }
  log->n_pending++;
  if (expires_at > log->pending_expires_at)
    log->pending_expires_at = expires_at;
  schedule (log, now);
}

/* ---- restoring ---- */

/* Reads the record at `*at` and moves behind it; false at the end of what is sound.  `*at` is 0 if
 * the file has no header. */
static bool
next_record (const struct bytes *content, size_t *at, struct binding_log_record *out)
{
  size_t length =
      *at == 0 ? 0 : binding_log_read_record (content->data + *at, content->length - *at, out);

  *at += length;
  return length > 0;
}

/* When an entry was added, by the wall clock. */
static int64_t
wall_time (const struct binding_log_header *header, const struct binding_log_record *record)
{
  return header->wall + (record->added - header->steady);
}

/* That of the last sound record; 0: there is none. */
static int64_t
find_newest (const struct binding_log_job *job)
{
  int64_t newest = 0;

  for (uint32_t i = job->n_files; i-- > 0 && newest == 0;)
    {
      const struct bytes *content = &job->files[i].content;
      struct binding_log_header header;
      struct binding_log_record record;
      size_t at = binding_log_read_header (content->data, content->length, &header);

      while (next_record (content, &at, &record))
        newest = wall_time (&header, &record);
    }
  return newest;
}

static void
restore (struct binding_log *log,
         const struct binding_log_header *header,
         const struct binding_log_record *record,
         struct binding_log_file *file,
         int64_t now)
{
  int64_t since_newest = log->newest_wall - wall_time (header, record);
  int64_t age = (since_newest > 0 ? since_newest : 0) + log->downtime;
  int64_t expires_at = now - age + binding_bound_lifetime (record->entry.lifetime);

  if (expires_at <= now)
    return;
  if (expires_at > file->expires_at)
    file->expires_at = expires_at;
  counter_add (log->restored, 1);
  log->n_restored++;
  log->config.listener->ops->restored (log->config.listener, &record->entry, age, now);
}

/* Restores what the file has up to its first record that is not sound. */
static void
restore_file (struct binding_log *log, struct binding_log_file *file, int64_t now)
{
  const struct bytes *content = &file->content;
  struct binding_log_header header;
  struct binding_log_record record;
  size_t at = binding_log_read_header (content->data, content->length, &header);

  while (next_record (content, &at, &record))
    restore (log, &header, &record, file, now);
  if (at < content->length)
    log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "bindings-cut-off", "{s:I,s:I,s:I}", "file",
               (json_int_t) file->number, "read", (json_int_t) at, "bytes",
               (json_int_t) content->length);
}

static void
loading_done (struct binding_log *log, int64_t now)
{
  log->is_loading = false;
  drop_expired_files (log, now);
  gauge_set (log->bytes, (double) total_bytes (log));
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "bindings-restored", "{s:i,s:i,s:I}", "bindings",
             (int) log->n_restored, "files", (int) log->job->n_files, "downtime_ms",
             (json_int_t) (log->downtime / USEC_PER_MSEC));
  log->job->n_files = 0;
  log->config.listener->ops->loaded (log->config.listener, now);
  schedule (log, now);
}

/* One file a turn of the loop, so that the loop is never held up for long. */
static void
restore_next (struct binding_log *log, int64_t now)
{
  struct binding_log_job *job = log->job;
  struct binding_log_file *file = &job->files[log->n_restored_files];

  if (log->n_restored_files == job->n_files)
    {
      loading_done (log, now);
      return;
    }
  restore_file (log, file, now);
  bytes_clear (&file->content);
  log->files[log->n_files++] = *file;
  log->last_number = file->number;
  log->n_restored_files++;
  timer_arm (log->config.timers, &log->timer, now);
}

static void
loaded (struct binding_log *log, enum status status, int64_t now)
{
  struct binding_log_job *job = log->job;
  int64_t downtime;

  if (status != STATUS_OK)
    {
      log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "bindings-not-read", "{s:s}", "message",
                 status_message ());
      /* The numbers of the files are not known, and a write might go to one of them. */
      log->paused_until = USEC_NEVER;
    }
  log->was_read = true;
  log->newest_wall = find_newest (job);
  downtime = log->config.wall_clock () - log->newest_wall;
  if (log->newest_wall == 0 || downtime < 0)
    downtime = 0;
  log->downtime = downtime < BINDING_LOG_DOWNTIME_MAX ? downtime : BINDING_LOG_DOWNTIME_MAX;
  timer_arm (log->config.timers, &log->timer, now);
}

void
binding_log_job_done (struct binding_log_job *job, enum status status, int64_t now)
{
  struct binding_log *log = job->log;

  log->is_busy = false;
  if (job->task == BINDING_LOG_LOAD)
    loaded (log, status, now);
  else
    write_done (log, status, now);
}

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct binding_log *log = CONTAINER_OF (timer, struct binding_log, timer);

  if (log->is_loading)
    {
      if (log->was_read)
        restore_next (log, now);
      else
        start (log, now);
      return;
    }
  drop_expired_files (log, now);
  if (log->n_pending > 0 || log->n_removed > 0)
    start_write (log, now);
  else
    schedule (log, now);
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

bool
binding_log_is_loading (const struct binding_log *log)
{
  return log->is_loading;
}

/* ---- setup ---- */

static void
init_counters (struct binding_log *log)
{
  struct counters *counters = log->config.counters;

  log->written = counter_get (counters, "cherryarch_bindings_written_total",
                              "Versions of streams that are on this host's disk.", NULL);
  log->lost = counter_get (counters, "cherryarch_bindings_not_written_total",
                           "Versions of streams that are kept in memory alone, as the disk failed, "
                           "was full or too slow.",
                           NULL);
  log->restored = counter_get (counters, "cherryarch_bindings_restored_total",
                               "Versions of streams of earlier runs found on the disk.", NULL);
  log->syncs = counter_get (counters, "cherryarch_binding_syncs_total",
                            "Writes of versions of streams, each with a sync.", NULL);
  log->failures = counter_get (counters, "cherryarch_binding_write_failures_total",
                               "Writes of versions of streams that failed.", NULL);
  log->bytes = gauge_get (counters, "cherryarch_binding_log_bytes",
                          "Bytes on disk of the versions of streams.", NULL);
}

static int
free_log (struct binding_log *log)
{
  struct binding_log_job *job = log->job;

  timer_disarm (log->config.timers, &log->timer);
  if (log->is_busy && !log->config.worker->ops->abandon (log->config.worker))
    {
      /* The worker goes on with them. */
      talloc_steal (NULL, log->config.disk);
      return 0;
    }
  if (job->file >= 0)
    job->disk->ops->close (job->disk, job->file);
  for (uint32_t i = 0; i < job->n_files; i++)
    bytes_clear (&job->files[i].content);
  talloc_free (job);
  return 0;
}

struct binding_log *
binding_log_new (void *parent, const struct binding_log_config *config)
{
  struct binding_log *log = talloc_zero (parent, struct binding_log);

  if (log == NULL)
    return NULL;
  log->config = *config;
  log->timer.ops = &timer_ops;
  log->is_loading = true;
  bytes_init (&log->pending, log);
  log->job = talloc_zero (NULL, struct binding_log_job);
  if (log->job == NULL)
    {
      talloc_free (log);
      return NULL;
    }
  log->job->job.ops = &binding_log_job_ops;
  log->job->log = log;
  log->job->disk = config->disk;
  log->job->free_bytes_min = config->free_bytes_min;
  log->job->task = BINDING_LOG_LOAD;
  log->job->file = -1;
  bytes_init (&log->job->batch, log->job);
  init_counters (log);
  talloc_set_destructor (log, free_log);
  timer_arm (config->timers, &log->timer, 0);
  return log;
}
