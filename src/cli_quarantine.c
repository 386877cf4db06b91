/* `cherryarch quarantine`: lists the requests and parts of prompts whose targets crashed while
 * running them, and releases one so that it may be sent again. */
#include "cli_object.h"
#include "request_digest.h"
#include <stdio.h>
#include <string.h>
#include <talloc.h>

struct quarantine_options
{
  struct cli_options common;
  const char *release; /* digest of a request, or key of a part, in hex; NULL to list */
};

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  struct quarantine_options *options = argp->input;
  struct request_digest digest;

  switch (key)
    {
    case ARGP_KEY_INIT:
      argp->child_inputs[0] = &options->common;
      return 0;
    case 'r':
      if (!request_digest_parse (arg, &digest))
        argp_error (argp,
                    "--release: \"%s\": expected %d hexadecimal digits, as listed under CONTENT",
                    arg, REQUEST_DIGEST_TEXT_SIZE - 1);
      options->release = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
print_suspect (const json_t *suspect)
{
  const char *content = "";
  const char *part = "";
  const char *organisation = "";
  const char *route = "";
  const char *verdict = "";
  json_int_t seen = 0;
  int ends = 0;

  json_unpack ((json_t *) suspect, "{s:s,s:s,s:s,s:s,s:s,s:i,s:I}", "content", &content, "part",
               &part, "organisation", &organisation, "route", &route, "verdict", &verdict, "ends",
               &ends, "seen_ms", &seen);
  printf ("%-64s  %-16s  %4d  %8lld  %-28s  %s  %s\n", content, part[0] == '\0' ? "-" : part, ends,
          (long long) (seen / 1000), verdict, organisation, route);
}

static enum cli_exit
print_list (const struct cli_answer *answer, bool as_json)
{
  json_t *list = cli_answer_json (answer);
  size_t place;
  json_t *suspect;

  if (list == NULL)
    return CLI_EXIT_FAILED;
  if (as_json)
    cli_print_json (list, JSON_COMPACT);
  else
    {
      printf ("%-64s  %-16s  %4s  %8s  %-28s  %s  %s\n", "CONTENT", "PART", "ENDS", "SEEN S",
              "VERDICT", "ORGANISATION", "ROUTE");
      json_array_foreach (list, place, suspect)
        {
          print_suspect (suspect);
        }
    }
  json_decref (list);
  return CLI_EXIT_OK;
}

enum cli_exit
cli_quarantine (int argc, char **argv)
{
  static const struct argp_option options_table[] = {
    { "release", 'r', "CONTENT", 0, "This request or part may be sent again, at all hosts", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cli_argp, 0, NULL, 0 }, { 0 } };
  const struct argp parser = {
    .options = options_table,
    .parser = parse_option,
    .doc = "List the requests and parts of prompts under which targets ended, or release one.\v"
           "--host names the metrics address of an entry host or a controller.",
    .children = children,
  };
  struct quarantine_options options = { .release = NULL };
  struct cli_request request = { .method = "GET", .path = "/quarantine" };
  char path[sizeof "/quarantine/release/" + REQUEST_DIGEST_TEXT_SIZE];
  struct cli_answer answer;
  struct cli_session *session;
  enum cli_exit code = CLI_EXIT_OK;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  if (options.release != NULL)
    {
      snprintf (path, sizeof path, "/quarantine/release/%s", options.release);
      request = (struct cli_request){ .method = "POST", .path = path };
    }
  session = cli_session_new (NULL, &options.common);
  if (session == NULL || cli_call (session, &request, &answer) != STATUS_OK)
    code = cli_report_unreachable ();
  else if (answer.code != 200)
    code = cli_report_error (&answer, "quarantine");
  else if (options.release == NULL)
    code = print_list (&answer, options.common.json);
  talloc_free (session);
  return code;
}
