/* `cherryarch get`: prints declared resources. */
#include "cli_object.h"
#include <stdio.h>
#include <string.h>
#include <talloc.h>

struct get_options
{
  struct cli_options common;
  enum resource_kind kind;
  const char *name; /* NULL for all */
  int arguments;
};

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  struct get_options *options = argp->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      argp->child_inputs[0] = &options->common;
      return 0;
    case ARGP_KEY_ARG:
      if (options->arguments == 0)
        options->kind = cli_parse_kind_argument (arg, argp);
      else if (options->arguments == 1)
        options->name = arg;
      else
        argp_error (argp, "expected KIND and at most one NAME");
      options->arguments++;
      return 0;
    case ARGP_KEY_END:
      if (options->arguments == 0)
        cli_parse_kind_argument (NULL, argp);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Prints on how many hosts the object's revision is in force, and which are behind. */
static void
print_in_force (const json_t *object)
{
  const json_t *force = json_object_get (json_object_get (object, "status"), "revision");
  const json_t *behind = json_object_get (force, "behind");
  size_t i;

  if (force == NULL)
    return;
  printf ("in force on %lld of %lld hosts",
          (long long) json_integer_value (json_object_get (force, "inForce")),
          (long long) json_integer_value (json_object_get (force, "hosts")));
  for (i = 0; i < json_array_size (behind); i++)
    printf ("%s%s", i == 0 ? ", not on " : ", ", json_string_value (json_array_get (behind, i)));
  putchar ('\n');
}

static enum cli_exit
get_one (struct cli_session *session, const struct get_options *options)
{
  char path[CLI_PATH_SIZE];
  char about[CLI_PATH_SIZE];
  struct cli_request request = { .method = "GET", .path = path };
  struct cli_answer answer;
  json_t *object;

  snprintf (path, sizeof path, "/v1/%s/%.100s", resource_kind_plural (options->kind),
            options->name);
  snprintf (about, sizeof about, "%s %.100s", resource_kind_plural (options->kind), options->name);
  if (cli_call (session, &request, &answer) != STATUS_OK)
    return cli_report_unreachable ();
  if (answer.code != 200)
    return cli_report_error (&answer, about);
  object = cli_answer_json (&answer);
  if (object == NULL)
    return CLI_EXIT_FAILED;
  if (options->common.json)
    cli_print_json (object, JSON_INDENT (2));
  else
    {
      json_t *items = json_pack ("[O]", object);

      cli_print_table (options->kind, items);
      print_in_force (object);
      json_decref (items);
    }
  json_decref (object);
  return CLI_EXIT_OK;
}

/* Appends one page to `items`.  `next` holds the token of the page to read and receives that of
 * the following page, "" after the last. */
static enum cli_exit
get_page (struct cli_session *session,
          enum resource_kind kind,
          json_t *items,
          char next[CLI_PATH_SIZE / 2])
{
  const char *plural = resource_kind_plural (kind);
  char path[CLI_PATH_SIZE];
  struct cli_request request = { .method = "GET", .path = path };
  struct cli_answer answer;
  const char *token;
  json_t *page;

  snprintf (path, sizeof path, "/v1/%s%s%s", plural, next[0] == '\0' ? "" : "?continue=", next);
  if (cli_call (session, &request, &answer) != STATUS_OK)
    return cli_report_unreachable ();
  if (answer.code != 200)
    return cli_report_error (&answer, plural);
  page = cli_answer_json (&answer);
  if (page == NULL)
    return CLI_EXIT_FAILED;
  json_array_extend (items, json_object_get (page, "items"));
  token = json_string_value (json_object_get (json_object_get (page, "metadata"), "continue"));
  snprintf (next, CLI_PATH_SIZE / 2, "%s", token == NULL ? "" : token);
  json_decref (page);
  return CLI_EXIT_OK;
}

static enum cli_exit
get_all (struct cli_session *session, const struct get_options *options)
{
  json_t *items = json_array ();
  char next[CLI_PATH_SIZE / 2] = "";
  enum cli_exit code;

  do
    code = get_page (session, options->kind, items, next);
  while (code == CLI_EXIT_OK && next[0] != '\0');
  if (code == CLI_EXIT_OK && options->common.json)
    cli_print_json (items, JSON_INDENT (2));
  else if (code == CLI_EXIT_OK)
    cli_print_table (options->kind, items);
  json_decref (items);
  return code;
}

enum cli_exit
cli_get (int argc, char **argv)
{
  static const struct argp_child children[] = { { &cli_argp, 0, NULL, 0 }, { 0 } };
  const struct argp parser = {
    .parser = parse_option,
    .args_doc = "KIND [NAME]",
    .doc = "Show resources: pipelines, services, pools, organisations, hosts, operators or "
           "assignments.\v"
           "With NAME also says on how many hosts its revision is in force.",
    .children = children,
  };
  struct get_options options = { .name = NULL };
  struct cli_session *session;
  enum cli_exit code;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  session = cli_session_new (NULL, &options.common);
  if (session == NULL)
    return cli_report_unreachable ();
  code = options.name == NULL ? get_all (session, &options) : get_one (session, &options);
  talloc_free (session);
  return code;
}
