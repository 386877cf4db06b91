/* `cherryarch apply`: creates or replaces the resources in files. */
#include "cli_object.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define OPTION_FILE 'f'
#define OPTION_WAIT 'w'
#define WAIT_DEFAULT (30 * USEC_PER_SEC)
#define WAIT_MAX_SECONDS 3600
#define WAIT_POLL_INTERVAL (100 * USEC_PER_MSEC)

struct apply_options
{
  struct cli_options common;
  const char *path;
  int64_t wait; /* microseconds, 0 for no wait */
};

static void
parse_wait (struct apply_options *options, const char *text, struct argp_state *argp)
{
  char *end = NULL;
  long seconds = text == NULL ? 0 : strtol (text, &end, 10);

  options->wait = WAIT_DEFAULT;
  if (text == NULL)
    return;
  if (end == text || *end != '\0' || seconds < 1 || seconds > WAIT_MAX_SECONDS)
    argp_error (argp, "--wait: expected seconds from 1 to %d", WAIT_MAX_SECONDS);
  options->wait = seconds * USEC_PER_SEC;
}

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  struct apply_options *options = argp->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      argp->child_inputs[0] = &options->common;
      return 0;
    case OPTION_FILE:
      if (options->path != NULL)
        argp_error (argp, "-f: expected one file or folder, got more than one");
      options->path = arg;
      return 0;
    case OPTION_WAIT:
      parse_wait (options, arg, argp);
      return 0;
    case ARGP_KEY_ARG:
      argp_error (argp, "expected the file or folder after -f, got argument \"%s\"", arg);
      return 0;
    case ARGP_KEY_END:
      if (options->path == NULL)
        argp_error (argp, "-f: expected a file or folder");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static json_int_t
version_of (const json_t *object)
{
  return json_integer_value (
      json_object_get (json_object_get (object, "metadata"), "resourceVersion"));
}

static void
print_applied (const struct apply_options *options,
               const struct cli_object *object,
               const struct cli_answer *answer,
               const json_t *applied)
{
  if (options->common.json)
    cli_print_json (applied, JSON_COMPACT);
  else
    printf ("%s %s %s, version %lld\n", resource_kind_plural (object->kind), object->name,
            answer->code == 201 ? "created" : "applied", (long long) version_of (applied));
}

/* Applies one object.  Resends to other hosts use the same change id.  `version` is raised to the
 * object's resourceVersion if that is higher. */
static enum cli_exit
apply_object (struct cli_session *session,
              const struct apply_options *options,
              const struct cli_object *object,
              json_int_t *version)
{
  char change_id[CLI_CHANGE_ID_SIZE];
  char path[CLI_PATH_SIZE];
  char about[CLI_PATH_SIZE];
  char *body = json_dumps (object->json, JSON_COMPACT);
  struct cli_request request = { .method = "PUT", .path = path, .change_id = change_id };
  struct cli_answer answer;
  enum cli_exit code = CLI_EXIT_OK;
  json_t *applied;

  if (body == NULL)
    return CLI_EXIT_FAILED;
  cli_make_change_id (change_id);
  snprintf (path, sizeof path, "/v1/%s/%s", resource_kind_plural (object->kind), object->name);
  snprintf (about, sizeof about, "%s %s", resource_kind_plural (object->kind), object->name);
  request.body = body;
  request.length = strlen (body);
  if (cli_call (session, &request, &answer) != STATUS_OK)
    code = cli_report_unreachable ();
  else if (answer.code >= 300)
    code = cli_report_error (&answer, about);
  else
    {
      applied = cli_answer_json (&answer);
      if (applied != NULL)
        print_applied (options, object, &answer, applied);
      if (version_of (applied) > *version)
        *version = version_of (applied);
      json_decref (applied);
    }
  free (body);
  return code;
}

/* ---- --wait ---- */

struct progress
{
  size_t behind;      /* reachable hosts with an older revision */
  size_t unreachable; /* unreachable hosts, whose revision is unknown */
  char names[256];    /* of the hosts counted above, each with the reason */
};

static void
add_name (struct progress *progress, const char *name, const char *what)
{
  size_t used = strlen (progress->names);

  snprintf (progress->names + used, sizeof progress->names - used, "%s%s (%s)",
            used == 0 ? "" : ", ", name, what);
}

static void
read_progress (const json_t *revision, json_int_t wanted, struct progress *out)
{
  const json_t *hosts = json_object_get (revision, "hosts");
  size_t i;

  *out = (struct progress){ .behind = 0 };
  for (i = 0; i < json_array_size (hosts); i++)
    {
      const json_t *host = json_array_get (hosts, i);
      const char *name = json_string_value (json_object_get (host, "name"));

      if (json_integer_value (json_object_get (host, "revision")) >= wanted)
        continue;
      if (json_is_true (json_object_get (host, "reachable")))
        {
          out->behind++;
          add_name (out, name == NULL ? "?" : name, "behind");
        }
      else
        {
          out->unreachable++;
          add_name (out, name == NULL ? "?" : name, "not reachable");
        }
    }
}

/* Reads the revision of every host once; false, with the error reported and `code` set, on
 * failure. */
static bool
poll_progress (struct cli_session *session,
               json_int_t wanted,
               struct progress *progress,
               enum cli_exit *code)
{
  const struct cli_request request = { .method = "GET", .path = "/v1/revision" };
  struct cli_answer answer;
  json_t *revision;

  if (cli_call (session, &request, &answer) != STATUS_OK)
    {
      *code = cli_report_unreachable ();
      return false;
    }
  if (answer.code != 200)
    {
      *code = cli_report_error (&answer, "revision");
      return false;
    }
  revision = cli_answer_json (&answer);
  if (revision == NULL)
    {
      *code = CLI_EXIT_FAILED;
      return false;
    }
  read_progress (revision, wanted, progress);
  json_decref (revision);
  return true;
}

/* Polls until every reachable host has revision `wanted` in force.  An unreachable host applies the
 * revision before it serves again, so it is reported and not waited for. */
static enum cli_exit
wait_in_force (struct cli_session *session, const struct apply_options *options, json_int_t wanted)
{
  int64_t deadline = cli_now (session) + options->wait;
  struct progress progress;
  enum cli_exit code = CLI_EXIT_OK;

  while (poll_progress (session, wanted, &progress, &code))
    {
      if (progress.behind == 0)
        {
          if (!options->common.json)
            printf ("version %lld is in force on every host that can be reached\n",
                    (long long) wanted);
          if (progress.unreachable > 0)
            fprintf (stderr, "not waited for: %s\n", progress.names);
          return CLI_EXIT_OK;
        }
      if (cli_now (session) >= deadline)
        {
          fprintf (stderr, "version %lld is not yet in force everywhere: %s\n", (long long) wanted,
                   progress.names);
          return CLI_EXIT_TIMEOUT;
        }
      cli_pause (session, WAIT_POLL_INTERVAL);
    }
  return code;
}

static enum cli_exit
apply_all (struct cli_session *session,
           const struct apply_options *options,
           const struct cli_objects *objects)
{
  enum cli_exit code = CLI_EXIT_OK;
  json_int_t version = 0;
  size_t i;

  for (i = 0; i < objects->count && code == CLI_EXIT_OK; i++)
    code = apply_object (session, options, &objects->items[i], &version);
  if (code != CLI_EXIT_OK && objects->count > 1)
    fprintf (stderr, "applied %zu of %zu objects\n", i - 1, objects->count);
  if (code == CLI_EXIT_OK && options->wait > 0)
    code = wait_in_force (session, options, version);
  return code;
}

enum cli_exit
cli_apply (int argc, char **argv)
{
  static const struct argp_option options_table[] = {
    { "file", OPTION_FILE, "FILE|DIR", 0, "A JSON object or array, or a folder of *.json files",
      0 },
    { "wait", OPTION_WAIT, "SECONDS", OPTION_ARG_OPTIONAL,
      "Wait until the change is in force on every host that can be reached (default: 30)", 0 },
    { 0 },
  };
  static const struct argp_child children[] = { { &cli_argp, 0, NULL, 0 }, { 0 } };
  const struct argp parser = {
    .options = options_table,
    .parser = parse_option,
    .args_doc = "-f FILE|DIR",
    .doc = "Create or replace resources.\v"
           "Every file is read before the first change is sent; objects are applied in order, "
           "files of a folder by name, and the first one refused ends the command. A change whose "
           "answer is lost is sent again to the next host under the same change id, so that it "
           "counts once.",
    .children = children,
  };
  struct apply_options options = { .path = NULL };
  struct cli_objects objects;
  struct cli_session *session;
  enum cli_exit code;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  if (cli_objects_read (NULL, options.path, &objects) != STATUS_OK)
    {
      fprintf (stderr, "%s\n", status_message ());
      return CLI_EXIT_FAILED;
    }
  session = cli_session_new (NULL, &options.common);
  code = session == NULL ? cli_report_unreachable () : apply_all (session, &options, &objects);
  cli_objects_clear (&objects);
  talloc_free (session);
  return code;
}
