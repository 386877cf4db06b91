/* The table of commands. */
#include "cli.h"
#include <stddef.h>

const struct cli_command cli_commands[] = {
  { "check", "check a settings file", cli_check },
  { "keygen", "make a host's key, or a token", cli_keygen },
  { NULL, NULL, NULL },
};
