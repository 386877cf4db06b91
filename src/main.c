/* cherryarch: the host process and the operator commands in one binary. */
#include "cli.h"

int
main (int argc, char **argv)
{
  return cli_main (argc, argv);
}
