/* Samples a host from outside: memory and processor time from /proc, peer traffic from /metrics. */
#include "slopes.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#define CALL_TIMEOUT (20 * USEC_PER_SEC)
#define PROC_BYTES 4096
#define STAT_UTIME 11 /* index of utime in the fields after the command's closing parenthesis */

static enum status
read_proc (pid_t pid, const char *name, char out[PROC_BYTES])
{
  char path[64];
  FILE *file;
  size_t length;

  snprintf (path, sizeof path, "/proc/%d/%s", (int) pid, name);
  file = fopen (path, "re");
  if (file == NULL)
    return status_fail (STATUS_IO, "cannot open %s", path);
  length = fread (out, 1, PROC_BYTES - 1, file);
  out[length] = '\0';
  fclose (file);
  return STATUS_OK;
}

static enum status
sample_process (pid_t pid, struct slopes_sample *out)
{
  char text[PROC_BYTES];
  const char *field;
  char *end;
  enum status status = read_proc (pid, "status", text);

  if (status != STATUS_OK)
    return status;
  field = strstr (text, "\nVmRSS:");
  if (field == NULL)
    return status_fail (STATUS_IO, "status of process %d has no VmRSS line; the process has ended",
                        (int) pid);
  out->totals[SLOPES_RESIDENT] = strtod (field + strlen ("\nVmRSS:"), NULL);
  status = read_proc (pid, "stat", text);
  if (status != STATUS_OK)
    return status;
  field = strrchr (text, ')');
  for (int i = 0; field && i <= STAT_UTIME; i++)
    field = strchr (field + 1, ' ');
  if (field == NULL)
    return status_fail (STATUS_IO, "stat of process %d has too few fields", (int) pid);
  out->totals[SLOPES_PROCESSOR] = strtod (field, &end);
  out->totals[SLOPES_PROCESSOR] += strtod (end, NULL);
  out->totals[SLOPES_PROCESSOR] /= (double) sysconf (_SC_CLK_TCK);
  return STATUS_OK;
}

/* Returns the value of the line that begins with `name`; 0 for a counter that was never written. */
static double
metric (const char *text, const char *name)
{
  size_t length = strlen (name);

  for (const char *line = text; line; line = strchr (line, '\n'))
    {
      line += *line == '\n';
      if (strncmp (line, name, length) == 0 && line[length] == ' ')
        return strtod (line + length, NULL);
    }
  return 0;
}

static enum status
sample_metrics (struct launch *launch, uint32_t host, struct slopes_sample *out)
{
  struct http_call_spec spec = { .address = launch->hosts[host].addresses[LAUNCH_OPERATORS],
                                 .method = "GET",
                                 .path = "/metrics",
                                 .max_body_bytes = 4 << 20 };
  struct call_answer answer = { .code = 0 };
  void *scratch = talloc_new (launch);

  bytes_init (&answer.body, scratch);
  call (launch->caller, &spec, CALL_TIMEOUT, &answer);
  if (answer.code != 200 || answer.body.data == NULL
      || !strstr (answer.body.data, "cherryarch_peer_bytes_total"))
    {
      talloc_free (scratch);
      return status_fail (STATUS_IO, "no peer metrics from host %s",
                          launch->hosts[host].process.name);
    }
#define PEER(what, way)                                                                            \
  metric (answer.body.data, "cherryarch_peer_" what "_total{direction=\"" way "\"}")
  out->totals[SLOPES_MESSAGES_OUT] = PEER ("messages", "out");
  out->totals[SLOPES_MESSAGES_IN] = PEER ("messages", "in");
  out->totals[SLOPES_BYTES_OUT] = PEER ("bytes", "out");
  out->totals[SLOPES_BYTES_IN] = PEER ("bytes", "in");
#undef PEER
  out->leader = metric (answer.body.data, "cherryarch_consensus_leader") > 0;
  talloc_free (scratch);
  return STATUS_OK;
}

enum status
slopes_sample_host (struct launch *launch, uint32_t host, struct slopes_sample *out)
{
  enum status status = sample_metrics (launch, host, out);

  out->at = loop_now (caller_loop (launch->caller));
  return status == STATUS_OK ? sample_process (launch->hosts[host].process.pid, out) : status;
}

void
slopes_rates (const struct slopes_sample *before,
              const struct slopes_sample *after,
              double rates[SLOPES_MEASURE_COUNT])
{
  double seconds = (double) (after->at - before->at) / (double) USEC_PER_SEC;

  INVARIANT (seconds > 0);
  for (int i = 0; i < SLOPES_MEASURE_COUNT; i++)
    rates[i] = (after->totals[i] - before->totals[i]) / seconds;
  rates[SLOPES_RESIDENT] = after->totals[SLOPES_RESIDENT];
  rates[SLOPES_PROCESSOR] *= 100;
}

double
slopes_load_average (void)
{
  double load = -1;

  return getloadavg (&load, 1) == 1 ? load : -1;
}
