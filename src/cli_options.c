/* The options shared by the commands that talk to hosts. */
#include "cli_session.h"
#include "settings_value.h"
#include "text.h"
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OPTION_HOST 'H'
#define OPTION_TOKEN_FILE 't'
#define OPTION_CA 'c'
#define OPTION_TIMEOUT 'T'
#define OPTION_OUTPUT 'o'
#define HOSTS_VARIABLE "CHERRYARCH_HOSTS"
#define TOKEN_FILE_VARIABLE "CHERRYARCH_TOKEN_FILE"
#define TIMEOUT_DEFAULT (10 * USEC_PER_SEC)
#define TIMEOUT_MAX_SECONDS 3600

static const struct argp_option options_table[] = {
  { "host", OPTION_HOST, "IP:PORT,...", 0,
    "Operator addresses of hosts, tried in turn (default: $" HOSTS_VARIABLE ")", 1 },
  { "token-file", OPTION_TOKEN_FILE, "FILE", 0,
    "The operator's token (default: $" TOKEN_FILE_VARIABLE ")", 1 },
  { "ca", OPTION_CA, "FILE", 0, "PEM certificate to trust; turns TLS on", 1 },
  { "timeout", OPTION_TIMEOUT, "SECONDS", 0, "Fail after this many seconds (default: 10)", 1 },
  { "output", OPTION_OUTPUT, "FORMAT", 0, "table (default) or json", 1 },
  { 0 },
};

static void
add_hosts (struct argp_state *argp, struct cli_options *options, const char *list)
{
  const char *from = list;

  options->n_hosts = 0;
  while (*from != '\0')
    {
      size_t length = strcspn (from, ", ");
      char *address;

      if (length >= RESOURCE_ADDRESS_SIZE || options->n_hosts == CLI_HOSTS_MAX)
        argp_error (argp, "--host: expected at most %d of IP:PORT", CLI_HOSTS_MAX);
      address = options->hosts[options->n_hosts];
      memcpy (address, from, length);
      address[length] = '\0';
      if (length > 0)
        {
          if (!setting_is_address (address, false))
            argp_error (argp, "--host: expected IP:PORT with an IPv4 address, got \"%s\"", address);
          options->n_hosts++;
        }
      from += length;
      from += strspn (from, ", ");
    }
}

/* Reads the token from the first line of a file: on the command line it would be visible in the
 * process list. */
static void
read_token (struct argp_state *argp, struct cli_options *options, const char *path)
{
  FILE *file = fopen (path, "re");

  if (file == NULL)
    argp_failure (argp, argp_err_exit_status, errno, "%s", path);
  else if (fgets (options->token, sizeof options->token, file) == NULL)
    argp_error (argp, "%s: expected a token on the first line", path);
  if (file != NULL)
    fclose (file);
  options->token[strcspn (options->token, "\r\n")] = '\0';
}

static void
read_timeout (struct argp_state *argp, struct cli_options *options, const char *text)
{
  char *end;
  long seconds = strtol (text, &end, 10);

  if (end == text || *end != '\0' || seconds < 1 || seconds > TIMEOUT_MAX_SECONDS)
    argp_error (argp, "--timeout: expected seconds from 1 to %d", TIMEOUT_MAX_SECONDS);
  options->timeout = seconds * USEC_PER_SEC;
}

static void
fill_defaults (struct argp_state *argp, struct cli_options *options)
{
  const char *hosts = getenv (HOSTS_VARIABLE);
  const char *token_file = getenv (TOKEN_FILE_VARIABLE);

  if (options->n_hosts == 0 && hosts != NULL)
    add_hosts (argp, options, hosts);
  if (options->n_hosts == 0)
    argp_error (argp, "expected --host IP:PORT or $" HOSTS_VARIABLE);
  if (options->token[0] == '\0' && token_file != NULL && token_file[0] != '\0')
    read_token (argp, options, token_file);
  if (options->timeout == 0)
    options->timeout = TIMEOUT_DEFAULT;
}

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  struct cli_options *options = argp->input;

  switch (key)
    {
    case OPTION_HOST:
      add_hosts (argp, options, arg);
      return 0;
    case OPTION_TOKEN_FILE:
      read_token (argp, options, arg);
      return 0;
    case OPTION_CA:
      options->ca = arg;
      return 0;
    case OPTION_TIMEOUT:
      read_timeout (argp, options, arg);
      return 0;
    case OPTION_OUTPUT:
      if (strcmp (arg, "json") != 0 && strcmp (arg, "table") != 0)
        argp_error (argp, "--output: expected json or table, got \"%s\"", arg);
      options->json = strcmp (arg, "json") == 0;
      return 0;
    case ARGP_KEY_END:
      fill_defaults (argp, options);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

const struct argp cli_argp = { .options = options_table, .parser = parse_option };
