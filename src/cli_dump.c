/* `cherryarch dump`: prints the internal state of a host's process. */
#include "cli_object.h"
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define OPTION_METRICS 'm'

struct dump_options
{
  struct cli_options common;
  const char *part; /* NULL for all */
  bool metrics;
};

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  struct dump_options *options = argp->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      argp->child_inputs[0] = &options->common;
      return 0;
    case OPTION_METRICS:
      options->metrics = true;
      return 0;
    case ARGP_KEY_ARG:
      if (options->part != NULL)
        argp_error (argp, "expected one PART, got more than one");
      options->part = arg;
      return 0;
    case ARGP_KEY_END:
      if (options->part != NULL && options->metrics)
        argp_error (argp, "--metrics cannot be combined with PART");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Reports an unknown part and lists the known ones. */
static enum cli_exit
report_unknown_part (const json_t *dump, const char *part)
{
  const char *key;
  json_t *value;

  fprintf (stderr, "unknown part \"%s\"; expected one of:", part);
  json_object_foreach ((json_t *) dump, key, value)
    {
      fprintf (stderr, " %s", key);
    }
  fputc ('\n', stderr);
  return CLI_EXIT_NOT_FOUND;
}

static enum cli_exit
print_dump (const struct cli_answer *answer, const struct dump_options *options)
{
  json_t *dump = cli_answer_json (answer);
  const json_t *shown = options->part == NULL ? dump : json_object_get (dump, options->part);
  enum cli_exit code = CLI_EXIT_OK;

  if (dump == NULL)
    return CLI_EXIT_FAILED;
  if (shown == NULL)
    code = report_unknown_part (dump, options->part);
  else
    cli_print_json (shown, options->common.json ? JSON_COMPACT : JSON_INDENT (2));
  json_decref (dump);
  return code;
}

enum cli_exit
cli_dump (int argc, char **argv)
{
  static const struct argp_option options_table[] = {
    { "metrics", OPTION_METRICS, NULL, 0, "Print the counters instead", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cli_argp, 0, NULL, 0 }, { 0 } };
  const struct argp parser = {
    .options = options_table,
    .parser = parse_option,
    .args_doc = "[PART]",
    .doc = "Print the state of one host's process as JSON, without stopping it.\v"
           "The first host of --host that answers is asked; name one host to be sure which. "
           "-o json prints one line.",
    .children = children,
  };
  struct dump_options options = { .part = NULL };
  struct cli_request request = { .method = "GET", .path = "/v1/dump" };
  struct cli_answer answer;
  struct cli_session *session;
  enum cli_exit code = CLI_EXIT_OK;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  if (options.metrics)
    request.path = "/metrics";
  session = cli_session_new (NULL, &options.common);
  if (session == NULL || cli_call (session, &request, &answer) != STATUS_OK)
    code = cli_report_unreachable ();
  else if (answer.code != 200)
    code = cli_report_error (&answer, "dump");
  else if (options.metrics)
    fwrite (answer.body.data, 1, answer.body.length, stdout);
  else
    code = print_dump (&answer, &options);
  talloc_free (session);
  return code;
}
