/* cherryarch: the host's process and its operators' commands in one binary. */
#include "cli.h"

int
main (int argc, char **argv)
{
  return cli_main (argc, argv);
}
