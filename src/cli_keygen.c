/* `cherryarch keygen`: generates a host's key pair, or a token and its hash. */
#include "access.h"
#include "cli.h"
#include "keyfile.h"
#include <argp.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define OPTION_TOKEN 't'
#define OPTION_PUBLIC 'p'
#define OPTION_OUTPUT 'o'
#define TOKEN_BYTES 24
#define TOKEN_PREFIX "ca-"
#define HASH_HEX_SIZE (2 * RESOURCE_TOKEN_HASH_SIZE + 1)
#define TOKEN_TEXT_SIZE                                                                            \
  (sizeof TOKEN_PREFIX                                                                             \
   + sodium_base64_ENCODED_LEN (TOKEN_BYTES, sodium_base64_VARIANT_URLSAFE_NO_PADDING))

struct keygen_options
{
  const char *path;
  bool token;
  bool public_only;
  bool json;
};

static error_t
parse_option (int key, char *arg, struct argp_state *argp)
{
  struct keygen_options *options = argp->input;

  switch (key)
    {
    case OPTION_TOKEN:
      options->token = true;
      return 0;
    case OPTION_PUBLIC:
      options->public_only = true;
      return 0;
    case OPTION_OUTPUT:
      if (strcmp (arg, "json") != 0 && strcmp (arg, "table") != 0)
        argp_error (argp, "-o: expected json or table, got \"%s\"", arg);
      options->json = strcmp (arg, "json") == 0;
      return 0;
    case ARGP_KEY_ARG:
      if (options->path != NULL)
        argp_error (argp, "expected one file, got more than one");
      options->path = arg;
      return 0;
    case ARGP_KEY_END:
      if (options->token && (options->path != NULL || options->public_only))
        argp_error (argp, "--token cannot be combined with a file or --public");
      if (!options->token && options->path == NULL)
        argp_error (argp, "expected a key file, or --token");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
print_pairs (bool as_json, const char *names[2], const char *values[2])
{
  json_t *object;

  if (!as_json)
    {
      printf ("%-11s %s\n%-11s %s\n", names[0], values[0], names[1], values[1]);
      return;
    }
  object = json_pack ("{s:s,s:s}", names[0], values[0], names[1], values[1]);
  json_dumpf (object, stdout, JSON_COMPACT);
  putchar ('\n');
  json_decref (object);
}

static enum cli_exit
make_token (bool as_json)
{
  unsigned char random[TOKEN_BYTES];
  char token[TOKEN_TEXT_SIZE] = TOKEN_PREFIX;
  uint8_t hash[RESOURCE_TOKEN_HASH_SIZE];
  char hex[HASH_HEX_SIZE];

  if (sodium_init () < 0)
    {
      fprintf (stderr, "no source of random numbers\n");
      return CLI_EXIT_FAILED;
    }
  randombytes_buf (random, sizeof random);
  sodium_bin2base64 (token + strlen (TOKEN_PREFIX), sizeof token - strlen (TOKEN_PREFIX), random,
                     sizeof random, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  access_hash_token (token, hash);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  print_pairs (as_json, (const char *[2]){ "token", "hash" }, (const char *[2]){ token, hex });
  return CLI_EXIT_OK;
}

static enum cli_exit
make_key_file (const struct keygen_options *options)
{
  struct key_pair pair;
  enum status status = STATUS_OK;

  if (options->public_only)
    status = keyfile_read (options->path, &pair);
  else
    {
      status = key_pair_generate (&pair);
      if (status == STATUS_OK)
        status = keyfile_write (options->path, &pair);
    }
  if (status != STATUS_OK)
    {
      fprintf (stderr, "%s\n", status_message ());
      return status == STATUS_EXISTS ? CLI_EXIT_CONFLICT : CLI_EXIT_FAILED;
    }
  print_pairs (options->json, (const char *[2]){ "file", "public_key" },
               (const char *[2]){ options->path, pair.public_key });
  sodium_memzero (&pair, sizeof pair);
  return CLI_EXIT_OK;
}

enum cli_exit
cli_keygen (int argc, char **argv)
{
  static const struct argp_option options_table[] = {
    { "token", OPTION_TOKEN, NULL, 0, "Make a token and its hash in place of a key file", 0 },
    { "public", OPTION_PUBLIC, NULL, 0, "Print the public key of a key file that exists", 0 },
    { "output", OPTION_OUTPUT, "FORMAT", 0, "table (default) or json", 0 },
    { 0 },
  };
  const struct argp parser = {
    .options = options_table,
    .parser = parse_option,
    .args_doc = "FILE\n--token",
    .doc = "Make a host's key pair in FILE (mode 0600), or a token.\v"
           "The public key goes into the other hosts' settings as NAME@IP:PORT/KEY. A token goes "
           "to its caller or operator and is shown this once; its hash goes into the settings "
           "(admin_token_hash), an organisation or an operator. A file that exists is kept.",
  };
  struct keygen_options options = { .path = NULL };

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  return options.token ? make_token (options.json) : make_key_file (&options);
}
