/* `cherryarch watch`: prints changes of resources as they come into force. */
#include "cli_object.h"
#include "text.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define OPTION_FROM 'r'
#define RECONNECT_DELAY (500 * USEC_PER_MSEC)
#define RECONNECTS_MAX 20 /* consecutive, without an event between them */

struct watch_options
{
  struct cli_options common;
  enum resource_kind kind;
  long long from; /* resourceVersion; -1 to start at the current one */
  int arguments;
};

struct watch
{
  struct cli_stream stream;
  const struct watch_options *options;
  long long last_version; /* the highest resourceVersion received */
  int failures;           /* consecutive connections without an event */
};

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  struct watch_options *options = argp->input;
  char *end;

  switch (key)
    {
    case ARGP_KEY_INIT:
      argp->child_inputs[0] = &options->common;
      return 0;
    case OPTION_FROM:
      options->from = strtoll (arg, &end, 10);
      if (end == arg || *end != '\0' || options->from < 0)
        argp_error (argp, "--resource-version: expected a whole number, got \"%s\"", arg);
      return 0;
    case ARGP_KEY_ARG:
      if (options->arguments++ > 0)
        argp_error (argp, "expected one KIND, got more than one");
      options->kind = cli_parse_kind_argument (arg, argp);
      return 0;
    case ARGP_KEY_END:
      if (options->arguments == 0)
        cli_parse_kind_argument (NULL, argp);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static bool
handle_event (struct cli_stream *stream, const char *data, size_t length)
{
  struct watch *watch = (struct watch *) stream;
  json_t *event = json_loadb (data, length, JSON_REJECT_DUPLICATES, NULL);
  const char *type = json_string_value (json_object_get (event, "type"));
  const json_t *metadata = json_object_get (json_object_get (event, "object"), "metadata");
  const char *name = json_string_value (json_object_get (metadata, "name"));
  json_int_t version = json_integer_value (json_object_get (metadata, "resourceVersion"));
  bool bookmark = type != NULL && strcmp (type, "BOOKMARK") == 0;

  if (type == NULL)
    {
      /* Not a valid event: reconnect and resume from the last version seen. */
      json_decref (event);
      return false;
    }
  watch->failures = 0;
  if (version > watch->last_version)
    watch->last_version = version;
  if (watch->options->common.json)
    cli_print_json (event, JSON_COMPACT);
  else if (!bookmark)
    printf ("%-8s  %s %s, version %lld\n", type, resource_kind_plural (watch->options->kind),
            name == NULL ? "?" : name, (long long) version);
  fflush (stdout);
  json_decref (event);
  return !ferror (stdout);
}

static const struct cli_stream_ops stream_ops = { .event = handle_event };

/* Sets the revision to watch from to that of a list request. */
static enum cli_exit
find_start_version (struct cli_session *session, struct watch *watch)
{
  char path[CLI_PATH_SIZE];
  struct cli_request request = { .method = "GET", .path = path };
  struct cli_answer answer;
  json_t *list;

  snprintf (path, sizeof path, "/v1/%s?limit=1", resource_kind_plural (watch->options->kind));
  if (cli_call (session, &request, &answer) != STATUS_OK)
    return cli_report_unreachable ();
  if (answer.code != 200)
    return cli_report_error (&answer, "watch");
  list = cli_answer_json (&answer);
  watch->last_version =
      json_integer_value (json_object_get (json_object_get (list, "metadata"), "resourceVersion"));
  json_decref (list);
  return list == NULL ? CLI_EXIT_FAILED : CLI_EXIT_OK;
}

/* Watches over one connection; true when the caller should reconnect. */
static bool
watch_once (struct cli_session *session, struct watch *watch, enum cli_exit *exit_code)
{
  char path[CLI_PATH_SIZE];
  struct cli_answer answer = { .code = 0, .host = "host" };
  enum status status;

  bytes_init (&answer.body, session);
  snprintf (path, sizeof path, "/v1/%s?watch=1&resourceVersion=%lld",
            resource_kind_plural (watch->options->kind), watch->last_version);
  status = cli_read_stream (session, path, &watch->stream, &answer.code, &answer.body);
  if (ferror (stdout))
    {
      *exit_code = CLI_EXIT_FAILED;
      return false;
    }
  if (answer.code == 410)
    fprintf (
        stderr,
        "version %lld is no longer in the history: list again and watch from the new version\n",
        watch->last_version);
  if (answer.code >= 400 && answer.code < 500)
    {
      *exit_code = cli_report_error (&answer, "watch");
      return false;
    }
  if (++watch->failures <= RECONNECTS_MAX)
    return true;
  fprintf (stderr, "no host keeps the watch open: %s\n", status_text (status));
  *exit_code = CLI_EXIT_UNREACHABLE;
  return false;
}

enum cli_exit
cli_watch (int argc, char **argv)
{
  static const struct argp_option options_table[] = {
    { "resource-version", OPTION_FROM, "N", 0, "Start after this version (default: now)", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cli_argp, 0, NULL, 0 }, { 0 } };
  const struct argp parser = {
    .options = options_table,
    .parser = parse_option,
    .args_doc = "KIND",
    .doc = "Print changes of a kind of resource as they come, until interrupted.\v"
           "A connection that ends is made again, to the next host, from the last version seen: "
           "nothing is left out.",
    .children = children,
  };
  struct watch_options options = { .from = -1 };
  struct watch watch = { .stream = { &stream_ops }, .options = &options };
  struct cli_session *session;
  enum cli_exit code = CLI_EXIT_OK;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  session = cli_session_new (NULL, &options.common);
  if (session == NULL)
    return cli_report_unreachable ();
  watch.last_version = options.from;
  if (options.from < 0)
    code = find_start_version (session, &watch);
  if (code == CLI_EXIT_OK)
    {
      while (watch_once (session, &watch, &code))
        cli_pause (session, RECONNECT_DELAY);
    }
  talloc_free (session);
  return code;
}
