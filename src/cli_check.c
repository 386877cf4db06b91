/* `cherryarch check`: checks a settings file and the files it names. */
#include "cli.h"
#include "keyfile.h"
#include "settings.h"
#include <argp.h>
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define OPTION_KEYS 'k'
#define OPTION_NO_FILES 'n'

struct check_options
{
  const char *path;
  bool keys;
  bool no_files;
};

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  struct check_options *options = argp->input;

  switch (key)
    {
    case OPTION_KEYS:
      options->keys = true;
      return 0;
    case OPTION_NO_FILES:
      options->no_files = true;
      return 0;
    case ARGP_KEY_ARG:
      if (options->path != NULL)
        argp_error (argp, "expected one settings file, got more than one");
      options->path = arg;
      return 0;
    case ARGP_KEY_END:
      if (options->path == NULL && !options->keys)
        argp_error (argp, "expected a settings file");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
print_and_clear (struct bytes *text, FILE *stream)
{
  if (text->data != NULL)
    fputs (text->data, stream);
  bytes_clear (text);
}

/* Checks that a file named in the settings is accessible, so that `run` does not fail where `check`
 * passed. */
static bool
check_access (const char *path, int mode, const char *what)
{
  if (path[0] == '\0' || access (path, mode) == 0)
    return true;
  fprintf (stderr, "on this machine: %s %s: %s\n", what, path, strerror (errno));
  return false;
}

/* Reads the key file as `run` does, to detect a mode that lets others read it and keys that do not
 * form a pair. */
static bool
check_key_file (const char *path)
{
  struct key_pair pair;
  bool valid = path[0] == '\0' || keyfile_read (path, &pair) == STATUS_OK;

  if (!valid)
    fprintf (stderr, "on this machine: [keys] file %s\n", status_message ());
  sodium_memzero (&pair, sizeof pair);
  return valid;
}

static bool
check_files (const struct settings *settings)
{
  bool valid = check_key_file (settings->key_file);

  valid = check_access (settings->tls_certificate, R_OK, "[keys] tls_certificate") && valid;
  valid = check_access (settings->tls_key, R_OK, "[keys] tls_key") && valid;
  return check_access (settings->data_folder, R_OK | W_OK | X_OK, "[data] folder") && valid;
}

static void
print_summary (const struct settings *settings)
{
  printf ("%s in %s (%s): callers %s, operators %s, targets %s, peers %s\n", settings->name,
          settings->domain, settings->region, settings->listen_callers, settings->listen_operators,
          settings->listen_targets, settings->listen_peers);
  if (settings->n_voters > 0 && settings->n_voters % 2 == 0)
    printf ("note: %u voters tolerate no more failures than %u\n", settings->n_voters,
            settings->n_voters - 1);
  if (settings->key_file[0] == '\0')
    printf ("note: no [keys] file, so messages between hosts are not encrypted\n");
  if (settings->admin_token_hash[0] == '\0')
    printf ("note: no [keys] admin_token_hash, so anybody who reaches the operators' address is "
            "an operator until an operator resource is applied\n");
}

enum cli_exit
cli_check (int argc, char **argv)
{
  static const struct argp_option options_table[] = {
    { "keys", OPTION_KEYS, NULL, 0, "Print the tables of keys for docs/SETTINGS.md", 0 },
    { "no-files", OPTION_NO_FILES, NULL, 0,
      "Do not look for the files that the settings name: they are another machine's", 0 },
    { 0 },
  };
  const struct argp parser = {
    .options = options_table,
    .parser = parse_option,
    .args_doc = "FILE",
    .doc = "Check a settings file and the files it names.\v"
           "Prints every fault as FILE:LINE: [section] key: expected ..., got ...",
  };
  struct check_options options = { .path = NULL };
  struct settings settings;
  struct bytes text;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  bytes_init (&text, NULL);
  if (options.keys)
    {
      settings_write_table (&text);
      print_and_clear (&text, stdout);
      if (options.path == NULL)
        return CLI_EXIT_OK;
    }
  if (settings_check (options.path, &settings, &text) != STATUS_OK)
    {
      print_and_clear (&text, stderr);
      return CLI_EXIT_SETTINGS;
    }
  bytes_clear (&text);
  if (!options.no_files && !check_files (&settings))
    return CLI_EXIT_SETTINGS;
  print_summary (&settings);
  return CLI_EXIT_OK;
}
