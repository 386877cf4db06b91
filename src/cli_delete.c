/* `cherryarch delete`: deletes a resource. */
#include "cli_object.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define OPTION_VERSION 'r'
#define VERSION_DIGITS_MAX 20

struct delete_options
{
  struct cli_options common;
  enum resource_kind kind;
  const char *name;
  const char *version; /* NULL to delete any version */
  int arguments;
};

static void
parse_version (struct delete_options *options, const char *text, struct argp_state *argp)
{
  if (strlen (text) > VERSION_DIGITS_MAX || strspn (text, "0123456789") != strlen (text)
      || text[0] == '\0')
    argp_error (argp, "--resource-version: expected a whole number, got \"%s\"", text);
  options->version = text;
}

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  struct delete_options *options = argp->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      argp->child_inputs[0] = &options->common;
      return 0;
    case OPTION_VERSION:
      parse_version (options, arg, argp);
      return 0;
    case ARGP_KEY_ARG:
      if (options->arguments == 0)
        options->kind = cli_parse_kind_argument (arg, argp);
      else if (options->arguments == 1)
        options->name = arg;
      else
        argp_error (argp, "expected KIND and NAME");
      options->arguments++;
      return 0;
    case ARGP_KEY_END:
      if (options->arguments < 2)
        argp_error (argp, "expected KIND and NAME");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

enum cli_exit
cli_delete (int argc, char **argv)
{
  static const struct argp_option options_table[] = {
    { "resource-version", OPTION_VERSION, "N", 0,
      "Only if the object is still at this resourceVersion", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cli_argp, 0, NULL, 0 }, { 0 } };
  const struct argp parser = {
    .options = options_table,
    .parser = parse_option,
    .args_doc = "KIND NAME",
    .doc = "Delete a resource.",
    .children = children,
  };
  struct delete_options options = { .name = NULL };
  char change_id[CLI_CHANGE_ID_SIZE];
  char path[CLI_PATH_SIZE];
  char about[CLI_PATH_SIZE];
  struct cli_request request = { .method = "DELETE", .path = path, .change_id = change_id };
  struct cli_answer answer;
  struct cli_session *session;
  enum cli_exit code = CLI_EXIT_OK;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  snprintf (about, sizeof about, "%s %.100s", resource_kind_plural (options.kind), options.name);
  snprintf (path, sizeof path, "/v1/%s/%.100s%s%s", resource_kind_plural (options.kind),
            options.name, options.version == NULL ? "" : "?resourceVersion=",
            options.version == NULL ? "" : options.version);
  session = cli_session_new (NULL, &options.common);
  if (session != NULL)
    cli_make_change_id (change_id);
  if (session == NULL || cli_call (session, &request, &answer) != STATUS_OK)
    code = cli_report_unreachable ();
  else if (answer.code >= 300)
    code = cli_report_error (&answer, about);
  else if (options.common.json)
    printf ("%s\n", answer.body.data == NULL ? "{}" : answer.body.data);
  else
    printf ("%s deleted\n", about);
  talloc_free (session);
  return code;
}
