/* Command-line entry point: parses the command name and runs the command. */
#include "cli.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROGRAM "cherryarch"
#define FULL_NAME_SIZE 64

const char *argp_program_version = PROGRAM " " CHERRYARCH_VERSION;
error_t argp_err_exit_status = CLI_EXIT_USAGE;

static const struct cli_command *
find_command (const char *name)
{
  const struct cli_command *command;

  for (command = cli_commands; command->name != NULL; command++)
    {
      if (strcmp (command->name, name) == 0)
        return command;
    }
  return NULL;
}

/* Arguments after the command name are left for the command's own parser. */
static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  int *first = argp->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (find_command (arg) == NULL)
        argp_error (argp, "unknown command \"%s\"", arg);
      *first = argp->next - 1;
      argp->next = argp->argc;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (argp);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Appends the commands and the exit codes to the --help text. */
static char *
help_filter (int key, const char *text, void *input)
{
  const struct cli_command *command;
  char *out = NULL;
  size_t size = 0;
  FILE *stream;

  (void) input;
  if (key != ARGP_KEY_HELP_POST_DOC)
    return (char *) text;
  stream = open_memstream (&out, &size);
  if (stream == NULL)
    return NULL;
  fputs ("Commands:\n", stream);
  for (command = cli_commands; command->name != NULL; command++)
    fprintf (stream, "  %-8s %s\n", command->name, command->summary);
  fputs ("\nExit codes:\n", stream);
#define X(name, code, about) fprintf (stream, "  %d  %s\n", code, about);
  CLI_EXIT_LIST (X)
#undef X
  fputs ("\n`" PROGRAM " COMMAND --help` explains a command.", stream);
  fclose (stream);
  return out;
}

int
cli_main (int argc, char **argv)
{
  const struct argp parser = {
    .parser = parse_option,
    .args_doc = "COMMAND [ARGUMENT...]",
    .doc = "Serve multi-stage model pipelines within their deadlines.\v",
    .help_filter = help_filter,
  };
  char full_name[FULL_NAME_SIZE];
  int first = 0;

  argp_parse (&parser, argc, argv, ARGP_IN_ORDER, NULL, &first);
  snprintf (full_name, sizeof full_name, PROGRAM " %s", argv[first]);
  argv[first] = full_name;
  return find_command (strchr (full_name, ' ') + 1)->run (argc - first, argv + first);
}
