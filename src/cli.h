/* The command-line interface: one binary with one subcommand for each task. */
#ifndef CLI_H
#define CLI_H

#include "decls.h"

BEGIN_DECLS

/* Exit codes of every command.  name, code, text */
#define CLI_EXIT_LIST(X)                                                                           \
  X (OK, 0, "done")                                                                                \
  X (FAILED, 1, "refused or failed; the message says why")                                         \
  X (USAGE, 2, "a wrong option or argument")                                                       \
  X (SETTINGS, 3, "the settings file has a fault")                                                 \
  X (UNREACHABLE, 4, "no host answered")                                                           \
  X (NOT_FOUND, 5, "there is no such object")                                                      \
  X (CONFLICT, 6, "the object was changed by somebody else")                                       \
  X (DENIED, 7, "the token is missing, wrong or lacks the role")                                   \
  X (TIMEOUT, 8, "--wait ended before the change was in force on every host")                      \
  X (UNFINISHED, 9, "run: the shutdown time limit passed, or a second signal came")                \
  X (START_FAILED, 10, "run: an address, key or data folder could not be used")

enum cli_exit
{
#define X(name, code, text) CLI_EXIT_##name = (code),
  CLI_EXIT_LIST (X)
#undef X
};

struct cli_command
{
  const char *name;
  const char *summary;
  /* `argv[0]` is "cherryarch NAME", for messages. */
  enum cli_exit (*run) (int argc, char **argv);
};

/* The commands; the last entry has a NULL name. */
extern const struct cli_command cli_commands[];

/* Each command is implemented in its own file. */
enum cli_exit cli_check (int argc, char **argv);
enum cli_exit cli_dump (int argc, char **argv);
enum cli_exit cli_quarantine (int argc, char **argv);
enum cli_exit cli_evacuate (int argc, char **argv);
enum cli_exit cli_evacuations (int argc, char **argv);
enum cli_exit cli_watch (int argc, char **argv);
enum cli_exit cli_delete (int argc, char **argv);
enum cli_exit cli_apply (int argc, char **argv);
enum cli_exit cli_get (int argc, char **argv);
enum cli_exit cli_run (int argc, char **argv);
enum cli_exit cli_keygen (int argc, char **argv);

/* Runs the command that `argv` names and returns its exit code. */
int cli_main (int argc, char **argv);

END_DECLS

#endif
