/* A host's process: construction in order, event loop and shutdown.  Talloc frees a parent's
 * children in reverse order of creation, so each component is freed before those it depends on. */
#include "host_private.h"
#include <sodium.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

enum status
host_no_memory (void)
{
  return status_fail (STATUS_NO_MEMORY, "out of memory");
}

static int64_t
wall_clock_usec (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t) now.tv_sec * USEC_PER_SEC + now.tv_nsec / 1000;
}

static enum status
build (struct host *host)
{
  enum status status = host_build_io (host);
  int64_t now;

  if (status != STATUS_OK)
    return status;
  now = loop_now (host->loop);
  host->wall_offset_ms = (wall_clock_usec () - now) / USEC_PER_MSEC;
  status = host_build_state (host, now);
  if (status == STATUS_OK)
    status = host_build_serving (host, now);
  if (status == STATUS_OK)
    status = host_build_drain (host);
  if (status == STATUS_OK)
    host_add_dump_sources (host);
  return status;
}

static void
log_started (const struct host *host)
{
  log_event (LOG_MODULE_HOST, LOG_LEVEL_INFO, "started", "{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:b}",
             "name", host->settings->name, "version", CHERRYARCH_VERSION, "domain",
             host->settings->domain, "callers", host->addresses[HTTP_LISTENER_CALLERS], "operators",
             host->addresses[HTTP_LISTENER_OPERATORS], "targets",
             host->addresses[HTTP_LISTENER_TARGETS], "peers", host->peer_address, "voter",
             host->voter);
}

int
host_run (const struct settings *settings)
{
  struct host *host;
  enum status status;
  int exit;

  if (sodium_init () < 0)
    return HOST_EXIT_START_FAILED;
  host = talloc_zero (NULL, struct host);
  if (host == NULL)
    return HOST_EXIT_START_FAILED;
  host->settings = settings;
  host->incarnation = (uint64_t) wall_clock_usec ();
  host->exit = HOST_EXIT_START_FAILED;
  status = build (host);
  if (status == STATUS_OK)
    {
      log_started (host);
      loop_run (host->loop);
    }
  else
    log_event (LOG_MODULE_HOST, LOG_LEVEL_ERROR, "start-failed", "{s:s,s:s}", "status",
               status_text (status), "message", status_message ());
  exit = host->exit;
  talloc_free (host);
  return exit;
}
