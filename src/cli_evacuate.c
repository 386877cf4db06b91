/* `cherryarch evacuate` and `cherryarch evacuations`: failure domains that are out of use. */
#include "cli_object.h"
#include "evacuation.h"
#include <stdio.h>
#include <talloc.h>

#define HOST_TEXT "--host names the metrics address of a controller."

struct evacuate_options
{
  struct cli_options common;
  const char *domain;
  bool finish;
};

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  struct evacuate_options *options = argp->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      argp->child_inputs[0] = &options->common;
      return 0;
    case 'f':
      options->finish = true;
      return 0;
    case ARGP_KEY_ARG:
      if (options->domain != NULL || !evacuation_name_is_valid (arg))
        argp_error (argp, "expected the name of one failure domain");
      options->domain = arg;
      return 0;
    case ARGP_KEY_END:
      if (options->domain == NULL)
        argp_error (argp, "expected the name of a failure domain");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

enum cli_exit
cli_evacuate (int argc, char **argv)
{
  static const struct argp_option options_table[] = {
    { "finish", 'f', NULL, 0, "Revert the evacuation", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cli_argp, 0, NULL, 0 }, { 0 } };
  const struct argp parser = {
    .options = options_table,
    .parser = parse_option,
    .args_doc = "DOMAIN",
    .doc = "Take a failure domain out of use: its targets get nothing more.\v" HOST_TEXT,
    .children = children,
  };
  struct evacuate_options options = { .domain = NULL };
  char path[CLI_PATH_SIZE];
  struct cli_request request = { .method = "POST", .path = path };
  struct cli_answer answer;
  struct cli_session *session;
  enum cli_exit code = CLI_EXIT_OK;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  snprintf (path, sizeof path, "/evacuations/%s/%s", options.finish ? "finish" : "begin",
            options.domain);
  session = cli_session_new (NULL, &options.common);
  if (session == NULL || cli_call (session, &request, &answer) != STATUS_OK)
    code = cli_report_unreachable ();
  else if (answer.code != 200)
    code = cli_report_error (&answer, options.domain);
  else
    printf ("%s is %s\n", options.domain, options.finish ? "in use" : "evacuated");
  talloc_free (session);
  return code;
}

static void
print_domain (const json_t *domain)
{
  const char *name = "";
  int evacuated = 0;
  json_int_t revision = 0;
  json_int_t age = 0;

  json_unpack ((json_t *) domain, "{s:s,s:b,s:I,s:I}", "domain", &name, "evacuated", &evacuated,
               "revision", &revision, "age_ms", &age);
  printf ("%-32s  %-9s  %8lld  %8lld\n", name, evacuated != 0 ? "evacuated" : "in use",
          (long long) revision, (long long) (age / 1000));
}

static enum cli_exit
print_list (const struct cli_answer *answer, bool as_json)
{
  json_t *list = cli_answer_json (answer);
  size_t place;
  json_t *domain;

  if (list == NULL)
    return CLI_EXIT_FAILED;
  if (as_json)
    cli_print_json (list, JSON_COMPACT);
  else
    {
      printf ("%-32s  %-9s  %8s  %8s\n", "DOMAIN", "STATE", "REVISION", "SINCE S");
      json_array_foreach (json_object_get (list, "domains"), place, domain)
        {
          print_domain (domain);
        }
    }
  json_decref (list);
  return CLI_EXIT_OK;
}

static error_t
parse_list_option (int key, char *arg, struct argp_state *argp)
{
  (void) arg;
  if (key != ARGP_KEY_INIT)
    return ARGP_ERR_UNKNOWN;
  argp->child_inputs[0] = argp->input;
  return 0;
}

enum cli_exit
cli_evacuations (int argc, char **argv)
{
  static const struct argp_child children[] = { { &cli_argp, 0, NULL, 0 }, { 0 } };
  const struct argp parser = {
    .parser = parse_list_option,
    .doc = "List the failure domains for which evacuations were ordered.\v" HOST_TEXT,
    .children = children,
  };
  struct cli_options options = { .n_hosts = 0 };
  struct cli_request request = { .method = "GET", .path = "/evacuations" };
  struct cli_answer answer;
  struct cli_session *session;
  enum cli_exit code;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  session = cli_session_new (NULL, &options);
  if (session == NULL || cli_call (session, &request, &answer) != STATUS_OK)
    code = cli_report_unreachable ();
  else if (answer.code != 200)
    code = cli_report_error (&answer, "evacuations");
  else
    code = print_list (&answer, options.json);
  talloc_free (session);
  return code;
}
