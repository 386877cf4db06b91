/* Declarations shared by the binding_log*.c files. */
#ifndef BINDING_LOG_PRIVATE_H
#define BINDING_LOG_PRIVATE_H

#include "binding_log.h"
#include "bytes.h"

/* ---- binding_log_format.c ---- */

/* The begin of a file: when it was begun, by the wall clock and by the steady clock, in us. */
struct binding_log_header
{
  int64_t wall;
  int64_t steady;
};

/* An entry with when it was added, by the steady clock of its run, in us. */
struct binding_log_record
{
  struct binding_log_entry entry;
  int64_t added;
};

void binding_log_write_header (struct bytes *out, const struct binding_log_header *header);

/* Returns the header's length; 0 if there is none. */
size_t binding_log_read_header (const char *data, size_t length, struct binding_log_header *out);

void binding_log_write_record (struct bytes *out, const struct binding_log_record *record);

/* Returns the record's length; 0 if no record that is whole and sound begins there. */
size_t binding_log_read_record (const char *data, size_t length, struct binding_log_record *out);

/* ---- binding_log_job.c: what the worker does ---- */

enum binding_log_task
{
  BINDING_LOG_LOAD,
  BINDING_LOG_WRITE,
};

struct binding_log_file
{
  uint64_t number;
  uint64_t bytes;
  int64_t expires_at;   /* of its last binding to expire */
  struct bytes content; /* as read */
};

/* The loop leaves all of it alone while the worker runs it. */
struct binding_log_job
{
  struct disk_job job;
  struct binding_log *log;
  struct disk *disk;
  uint64_t free_bytes_min;
  enum binding_log_task task;

  /* BINDING_LOG_LOAD: the files found, ascending. */
  struct binding_log_file files[BINDING_LOG_FILES_MAX];
  uint32_t n_files;

  /* BINDING_LOG_WRITE. */
  uint64_t removed[BINDING_LOG_FILES_MAX];
  uint32_t n_removed;
  uint64_t number; /* of the file that the batch goes to */
  bool is_new;     /* it is created by this job */
  int file;        /* descriptor; -1: none is open */
  struct bytes batch;
  uint32_t n_records;
};

extern const struct disk_job_ops binding_log_job_ops;

/* Called on the loop when a job is over. */
void binding_log_job_done (struct binding_log_job *job, enum status status, int64_t now);

#endif
