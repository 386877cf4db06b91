/* The table of subcommands. */
#include "cli.h"
#include "platform.h"
#include <stddef.h>

const struct cli_command cli_commands[] = {
  { "run", "run a host", cli_run },
  { "check", "check a settings file", cli_check },
  { "keygen", "make a host's key, or a token", cli_keygen },
  { "get", "show resources", cli_get },
  { "apply", "create or replace resources", cli_apply },
  { "delete", "delete a resource", cli_delete },
  { "watch", "print changes of resources as they come", cli_watch },
  { "dump", "print the state of a host's process", cli_dump },
  { "quarantine", "list or release requests under which targets ended", cli_quarantine },
  { "evacuate", "take a failure domain out of use, or revert that", cli_evacuate },
  { "evacuations", "list evacuated failure domains", cli_evacuations },
  { "entry", "run an entry host on the users' platform", platform_entry_command },
  { "controller", "run a controller on the users' platform", platform_controller_command },
  { NULL, NULL, NULL },
};
