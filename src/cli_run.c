/* `cherryarch run`: runs a host in the foreground. */
#include "cli.h"
#include "host.h"
#include "log.h"
#include "settings.h"
#include <argp.h>
#include <stdio.h>

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  const char **path = argp->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (*path != NULL)
        argp_error (argp, "expected one settings file, got more than one");
      *path = arg;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_error (argp, "expected a settings file");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static enum cli_exit
load (const char *path, struct settings *settings)
{
  struct bytes problems;
  enum status status;

  bytes_init (&problems, NULL);
  status = settings_check (path, settings, &problems);
  if (status != STATUS_OK)
    fputs (problems.data == NULL ? status_message () : problems.data, stderr);
  bytes_clear (&problems);
  return status == STATUS_OK ? CLI_EXIT_OK : CLI_EXIT_SETTINGS;
}

static enum status
open_log (const struct settings *settings)
{
  const char *path = settings->log_file[0] == '\0' ? NULL : settings->log_file;
  enum status status = log_open (path, settings->log_level);
  int module;

  if (status != STATUS_OK)
    return status;
  for (module = 0; module < LOG_MODULE_COUNT; module++)
    log_set_level ((enum log_module) module, settings->module_levels[module]);
  return STATUS_OK;
}

/* Maps the exit code of host_run() to the codes that all commands share. */
static enum cli_exit
exit_code (int host_exit)
{
  switch (host_exit)
    {
    case HOST_EXIT_OK:
      return CLI_EXIT_OK;
    case HOST_EXIT_UNFINISHED:
      return CLI_EXIT_UNFINISHED;
    case HOST_EXIT_START_FAILED:
      return CLI_EXIT_START_FAILED;
    default:
      return CLI_EXIT_FAILED;
    }
}

enum cli_exit
cli_run (int argc, char **argv)
{
  const struct argp parser = {
    .parser = parse_option,
    .args_doc = "FILE",
    .doc = "Run a host with these settings, in the foreground.\v"
           "SIGTERM or SIGINT begins a graceful shutdown, a second one ends it at once.",
  };
  struct settings settings;
  const char *path = NULL;
  enum cli_exit code;

  argp_parse (&parser, argc, argv, 0, NULL, &path);
  code = load (path, &settings);
  if (code != CLI_EXIT_OK)
    return code;
  if (open_log (&settings) != STATUS_OK)
    {
      fprintf (stderr, "%s\n", status_message ());
      return CLI_EXIT_FAILED;
    }
  code = exit_code (host_run (&settings));
  log_close ();
  return code;
}
