/* A host's process: builds and connects all components and runs until a signal stops it. */
#ifndef HOST_H
#define HOST_H

#include "decls.h"
#include "settings.h"

BEGIN_DECLS

/* name, value: the exit status of `cherryarch run` */
#define HOST_EXIT_LIST(X)                                                                          \
  X (OK, 0)           /* shut down gracefully, no request cut */                                   \
  X (UNFINISHED, 3)   /* drain_bound exceeded or second signal: see the log */                     \
  X (START_FAILED, 4) /* an address, key or data folder could not be used */

enum host_exit
{
#define X(name, value) HOST_EXIT_##name = value,
  HOST_EXIT_LIST (X)
#undef X
};

/* Runs until a signal ends it.  Returns an enum host_exit. */
int host_run (const struct settings *settings);

END_DECLS

#endif
